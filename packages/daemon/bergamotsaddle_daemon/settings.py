"""The settings of one daemon, read from an INI file and validated at start."""

from collections.abc import Callable
from typing import Any, NamedTuple, get_type_hints

from bergamotsaddle_contracts.ini import (
    Address,
    IniFile,
    parse_address,
    parse_count,
    parse_duration,
)
from bergamotsaddle_daemon.registry import (
    ADMISSION_POLICIES,
    LIMIT_POLICIES,
    ROUTING_POLICIES,
)

_ANY_PORT = Address("127.0.0.1", 0)
_MIN_KEY_CHARACTERS = 16


def parse_peer_key(text: str) -> bytes:
    """Parse the key that all instances of a deployment share.

    Raises:
        ValueError: If the key is shorter than 16 characters.
    """
    if len(text) < _MIN_KEY_CHARACTERS:
        raise ValueError(f"expected at least {_MIN_KEY_CHARACTERS} characters")
    return text.encode()


class DaemonSettings(NamedTuple):
    """Identity and addresses of this instance (``[daemon]``).

    Attributes:
        id: Name of this instance, as in the platform's instance list.
        zone: Its availability zone.
        peer_key: Shared by all instances; signs datagrams and tickets.
        caller_address: Address for callers; with port 0 the kernel picks the port.
        operator_address: Address for operators and probes.
        peer_address: Address for other instances, both TCP and UDP.
    """

    id: str
    zone: str
    peer_key: bytes
    caller_address: Address = _ANY_PORT
    operator_address: Address = _ANY_PORT
    peer_address: Address = _ANY_PORT


class PlatformSettings(NamedTuple):
    """Addresses at which the platform publishes (``[platform]``)."""

    config_address: Address
    instances_address: Address


class TimingSettings(NamedTuple):
    """Intervals and time limits in seconds (``[timing]``).

    Attributes:
        heartbeat: Interval between two heartbeats to one neighbour.
        peer_silence: Time without a heartbeat after which a peer is unreachable.
        watch_wait: Longest time that the platform may hold a watch.
        watch_pause: Shortest interval between two reads of the platform.
        view_limit: Age at which a view counts as stale.
        list_lag: Longest time that the platform's instance list may lag behind.
        permit_lifetime: Longest time that a permit for a cold target is valid.
        ticket_lifetime: Time from a ticket's issue to the last start of its request.
        ticket_memory: Time for which starts and outcomes of tickets are kept.
        peer_call: Time limit of a short call to a peer.
        report_poll: Interval between two polls of a target's load.
        report_limit: Age at which a target's report is ignored.
        token_silence: Longest gap between two tokens before a stream is resumed.
        connect: Time limit for connecting to a target.
        placement: Interval between two checks of the placement of models.
        load_model: Longest time that loading a model may take.
        return_ramp: Time over which a returning zone's share of work grows to full.
        stop_notice: Time between the ready probe failing and the listener closing.
        stop_limit: Longest wait for running requests at a planned stop.
        header: Time limit for a caller to send its request.
    """

    heartbeat: float = 0.5
    peer_silence: float = 2.0
    watch_wait: float = 2.0
    watch_pause: float = 0.2
    view_limit: float = 6.0
    list_lag: float = 5.0
    permit_lifetime: float = 5.0
    ticket_lifetime: float = 30.0
    ticket_memory: float = 600.0
    peer_call: float = 0.5
    report_poll: float = 0.25
    report_limit: float = 3.0
    token_silence: float = 1.0
    connect: float = 0.5
    placement: float = 1.0
    load_model: float = 120.0
    return_ramp: float = 5.0
    stop_notice: float = 1.0
    stop_limit: float = 60.0
    header: float = 10.0


class LimitSettings(NamedTuple):
    """Bounds on the resources of this instance (``[limits]``).

    Attributes:
        body_bytes: Size of the largest request body.
        request_bytes: Bytes of the bodies of all requests together.
        connections: Concurrent requests of callers.
        operators: Concurrent connections of operators and probes.
        queue: Requests waiting for one kind of target.
        tickets: Tickets whose starts and outcomes are kept.
        decisions: Requests whose decisions ``explain`` can show.
        neighbours: Peers that receive heartbeats; in a smaller fleet all of them do.
        followed_homes: In a larger fleet, homes whose targets are used.
        followers: Instances other than neighbours that receive this one's reports.
        retry_percent: Retries per hundred calls of a team to a kind of target.
        hedge_percent: Hedges per hundred calls of a team to a kind of target.
        peer_workers: Concurrent calls of peers.
    """

    body_bytes: int = 1_000_000
    request_bytes: int = 90_000_000
    connections: int = 1024
    operators: int = 256
    queue: int = 512
    tickets: int = 20_000
    decisions: int = 2_000
    neighbours: int = 8
    followed_homes: int = 6
    followers: int = 64
    retry_percent: int = 10
    hedge_percent: int = 4
    peer_workers: int = 16


class PolicySettings(NamedTuple):
    """Names of the policies in use (``[policies]``).

    Attributes:
        routing: Chooses a target among candidates.
        limit: Limits this instance's concurrent calls to one target.
        admission: Decides whether to reject requests that can't meet their deadline.
    """

    routing: str = "least_of_few"
    limit: str = "adaptive"
    admission: str = "feasible"


class Settings(NamedTuple):
    """All settings of one daemon."""

    daemon: DaemonSettings
    platform: PlatformSettings
    timing: TimingSettings
    limits: LimitSettings
    policies: PolicySettings


_PARSER_BY_TYPE: dict[type, Callable[[str], Any]] = {
    str: str,
    bytes: parse_peer_key,
    int: parse_count,
    float: parse_duration,
    Address: parse_address,
}
_PARSER_BY_POLICY = {
    "routing": ROUTING_POLICIES.parse,
    "limit": LIMIT_POLICIES.parse,
    "admission": ADMISSION_POLICIES.parse,
}


def parse_settings(text: str, *, name: str = "settings") -> Settings:
    """Parse and validate a daemon's settings.

    Raises:
        InvalidFileError: If the file has faults, with all of them.
    """
    ini = IniFile(text, name=name)
    sections = {
        section: _read_section(ini, section, section_type)
        for section, section_type in get_type_hints(Settings).items()
    }
    for section in ini.sections:
        if section not in sections:
            ini.add_fault(section, "", "", "unknown section")
    ini.raise_for_faults()
    return Settings(**sections)


def _read_section(ini: IniFile, section: str, section_type: Any) -> Any:
    values = {}
    for field, field_type in get_type_hints(section_type).items():
        parse = _PARSER_BY_TYPE[field_type]
        if section == "policies":
            parse = _PARSER_BY_POLICY[field]
        values[field] = ini.get(
            section, field, parse, section_type._field_defaults.get(field)
        )
    return section_type(**values)
