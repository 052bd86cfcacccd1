"""The settings of a serving daemon, read from an INI file and validated at startup."""

import re
import resource
from typing import NamedTuple

from bergamotsaddle_contracts.ini import Address, IniFile, parse_address, parse_words
from bergamotsaddle_serving.policy import FULL_POLICY, Policy, parse_policy

# Bandwidth in megabits per second that an owner of queues needs for each core that it
# uses.
_MBPS_PER_CORE = 20.0
_BYTES_PER_MB = 1e6
# Requests leave room for the rest of the process, and for one more copy of those that
# are being read. Short ones may take somewhat more than long ones.
_REQUEST_FRACTION = 0.3
_SHORT_REQUEST_FRACTION = 0.35
# So do connections of callers. Each of them takes its parser, its green thread, and
# what the kernel holds of its bytes.
_CONNECTION_FRACTION = 0.25
_CONNECTION_BYTES = 48_000.0
# Fractions of the descriptors for connections of callers, for those of instances that
# hand requests over, and for those at each of the other listeners. The rest is for
# targets, the store, other instances and files.
_CALLER_DESCRIPTORS = 1 / 2
_RELAY_DESCRIPTORS = 1 / 8
_PAGE_DESCRIPTORS = 1 / 32
_MAX_PAGE_CONNECTIONS = 128
_MIN_DESCRIPTORS = 64.0
# Seconds until a change must be in force where the settings name no bound.
_DEFAULT_CHANGE_S = 2.0
_DEFAULT_HEARTBEAT_S = 1.0
_HEARTBEATS_TO_LAPSE = 2.0
_HEARTBEATS_OF_ENTRY = 3.0
_MS_PER_S = 1_000.0
_NUMBER = re.compile(r"(?:[0-9]+\.?[0-9]*|\.[0-9]+)(?:[eE][+-]?[0-9]+)?")
# Longer times overflow the timers of sockets.
_MAX_NUMBER = 1e9
_MAX_PORT = 65_535


class InstanceSettings(NamedTuple):
    """Identity of this instance (``[instance]``).

    Attributes:
        id: Id of the instance.
        zone: Its availability zone.
        host: Its IP address.
        is_first_start: Whether the whole system starts for the first time.
    """

    id: str
    zone: str
    host: str
    is_first_start: bool = False


class ListenSettings(NamedTuple):
    """Addresses and ports of this instance (``[listen]``).

    Attributes:
        callers: Address at which callers connect.
        ready: Address of the load balancer's readiness probe.
        peer_port: UDP and TCP port for other instances, the same at all of them.
        metrics_port: Port at which metrics are served.
        relay_port: TCP port for requests that other instances hand over, the same at
            all of them. Defaults to the port after ``peer_port``.
    """

    callers: Address
    ready: Address
    peer_port: int
    metrics_port: int
    relay_port: int


class PeerSettings(NamedTuple):
    """How other instances are found (``[peers]``).

    Attributes:
        seeds: Addresses of instances that are contacted first.
    """

    seeds: tuple[str, ...]


class ZoneSettings(NamedTuple):
    """The availability zones of the deployment (``[zones]``).

    Attributes:
        region_by_zone: Region of each zone.
    """

    region_by_zone: dict[str, str]


class StoreSettings(NamedTuple):
    """The store in which operators and targets publish (``[store]``).

    Attributes:
        address: Address of the store.
        heartbeat: Seconds between two writes of a target that is alive.
    """

    address: Address
    heartbeat: float = _DEFAULT_HEARTBEAT_S

    @property
    def min_outage(self) -> float:
        """Seconds for which the store has to be away before entries may lapse.

        An entry lapses when its target has been silent for three heartbeats, the last
        one of which may be a heartbeat old when the store goes away.
        """
        return _HEARTBEATS_TO_LAPSE * self.heartbeat

    @property
    def entry_ttl(self) -> float:
        """Seconds after which the store removes the entry of a silent target."""
        return _HEARTBEATS_OF_ENTRY * self.heartbeat


class BoundSettings(NamedTuple):
    """Bounds that the deployment sets (``[bounds]``).

    Attributes:
        grace: Seconds between the signal to stop and the kill of the process.
        retry_ratio: Extra calls allowed, as a fraction of the first calls.
        retry_window: Seconds over which extra calls are counted.
        retry_extra: Number of extra calls allowed besides, over all instances.
        configuration: Seconds until a new configuration must be in force.
        drain: Seconds until a draining target must get no more requests.
        evacuation: Seconds until an evacuated zone must get no more requests.
    """

    grace: float
    retry_ratio: float
    retry_window: float
    retry_extra: float
    configuration: float = _DEFAULT_CHANGE_S
    drain: float = _DEFAULT_CHANGE_S
    evacuation: float = _DEFAULT_CHANGE_S

    @property
    def change(self) -> float:
        """Seconds until any change in the store must be in force."""
        return min(self.configuration, self.drain, self.evacuation)


class CapacitySettings(NamedTuple):
    """Resources that this instance may use of its machine (``[capacity]``).

    Attributes:
        cpu_share: Fraction of the time of each core.
        cpus: Number of cores.
        link_mbps: Bandwidth of its link in megabits per second.
        memory_mb: Memory in megabytes beyond which its process is killed.
        descriptors: Number of descriptors that its process may open.
    """

    cpu_share: float = 1.0
    cpus: float = 1.0
    link_mbps: float = 1_000.0
    memory_mb: float = 300.0
    descriptors: float = 4_100.0

    @property
    def cores(self) -> float:
        """Cores that it can spend on work for other instances."""
        return min(self.cpu_share * self.cpus, self.link_mbps / _MBPS_PER_CORE)

    @property
    def request_bytes(self) -> float:
        """Bytes that long requests may take together."""
        return self.memory_mb * _BYTES_PER_MB * _REQUEST_FRACTION

    @property
    def max_request_bytes(self) -> float:
        """Bytes that all requests may take together."""
        return self.memory_mb * _BYTES_PER_MB * _SHORT_REQUEST_FRACTION

    @property
    def caller_connections(self) -> int:
        """Number of connections that callers may have open."""
        memory = self.memory_mb * _BYTES_PER_MB * _CONNECTION_FRACTION
        by_memory = memory / _CONNECTION_BYTES
        return int(min(by_memory, self.descriptors * _CALLER_DESCRIPTORS))

    @property
    def relay_connections(self) -> int:
        """Number of connections that hand requests over."""
        share = _RELAY_DESCRIPTORS / _CALLER_DESCRIPTORS
        return int(self.caller_connections * share)

    @property
    def page_connections(self) -> int:
        """Number of connections at each of the other listeners."""
        return min(_MAX_PAGE_CONNECTIONS, int(self.descriptors * _PAGE_DESCRIPTORS))


class SuspectSettings(NamedTuple):
    """What is suspected of crashing targets (``[suspects]``).

    Attributes:
        allowed_parts: Ids of parts of prompts that are never quarantined.
        allowed_requests: Fingerprints of requests that are never quarantined.
    """

    allowed_parts: frozenset[str] = frozenset()
    allowed_requests: frozenset[str] = frozenset()


class TargetSettings(NamedTuple):
    """What operators know of the targets (``[targets]``).

    Attributes:
        share_machines: Whether the targets of all services share their machines with
            others, also if they do not report how fast they work.
    """

    share_machines: bool = False


class HedgingSettings(NamedTuple):
    """How often requests are sent to a second target (``[hedging]``).

    Attributes:
        max_share: Hedges allowed, as a fraction of the repeatable requests; 0 for none.
    """

    max_share: float = 0.0


class ServingSettings(NamedTuple):
    """All settings of a serving daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    peers: PeerSettings
    zones: ZoneSettings
    store: StoreSettings
    bounds: BoundSettings
    policy: Policy = FULL_POLICY
    capacity: CapacitySettings = CapacitySettings()
    suspects: SuspectSettings = SuspectSettings()
    hedging: HedgingSettings = HedgingSettings()
    targets: TargetSettings = TargetSettings()


def _parse_number(text: str) -> float:
    """Parse a number that is not negative.

    Raises:
        ValueError: If the text is no such number.
    """
    if not _NUMBER.fullmatch(text.strip()):
        raise ValueError("expected a number from 0 on")
    value = float(text)
    if value > _MAX_NUMBER:
        raise ValueError(f"expected a number up to {_MAX_NUMBER:.0f}")
    return value


def _parse_positive(text: str) -> float:
    """Parse a number above zero.

    Raises:
        ValueError: If the text is no such number.
    """
    value = _parse_number(text)
    if not value:
        raise ValueError("expected a number above 0")
    return value


def _parse_descriptors(text: str) -> float:
    """Parse a number of descriptors that a daemon can work with.

    Raises:
        ValueError: If the text is no such number.
    """
    value = _parse_number(text)
    if value < _MIN_DESCRIPTORS:
        raise ValueError(f"expected a number from {_MIN_DESCRIPTORS:.0f} on")
    return value


def _limit_of_descriptors() -> float:
    """Return how many descriptors the operating system lets this process open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _MAX_NUMBER if limit == resource.RLIM_INFINITY else float(limit)


def _parse_share(text: str) -> float:
    """Parse a number from 0 to 1.

    Raises:
        ValueError: If the text is no such number.
    """
    value = _parse_number(text)
    if value > 1:
        raise ValueError("expected a number from 0 to 1")
    return value


def _parse_milliseconds(text: str) -> float:
    """Parse a positive number of milliseconds; return seconds.

    Raises:
        ValueError: If the text is no such number.
    """
    return _parse_positive(text) / _MS_PER_S


def _parse_port(text: str) -> int:
    return parse_address(f"127.0.0.1:{text.strip()}").port


def _parse_seeds(text: str) -> tuple[str, ...]:
    """Parse a list of addresses, which stay texts.

    Raises:
        ValueError: If one of them is no address.
    """
    words = parse_words(text)
    for word in words:
        parse_address(word)
    return words


def _parse_flag(text: str) -> bool:
    """Parse a word that says yes or no.

    Raises:
        ValueError: If the text is neither ``true`` nor ``false``.
    """
    words = {"true": True, "false": False}
    if text.strip() not in words:
        raise ValueError("expected true or false")
    return words[text.strip()]


def _parse_name(text: str) -> str:
    if not text.strip():
        raise ValueError("expected a name")
    return text.strip()


def _parse_pairs(text: str) -> dict[str, str]:
    """Parse words of the form ``zone=region`` into a dictionary.

    Raises:
        ValueError: If a word does not have this form.
    """
    pairs = {}
    for word in parse_words(text):
        zone, sign, region = word.partition("=")
        if not (zone and sign and region):
            raise ValueError(f"expected zone=region, not {word!r}")
        pairs[zone] = region
    return pairs


def parse_settings(text: str, *, name: str) -> ServingSettings:
    """Parse and validate settings.

    Args:
        text: Text of the INI file.
        name: Name of the file, for error messages.

    Raises:
        InvalidFileError: If settings are invalid; it lists all of them.
    """
    ini = IniFile(text, name=name)
    peer_port = ini.get("listen", "peer_port", _parse_port)
    settings = ServingSettings(
        InstanceSettings(
            ini.get("instance", "id", _parse_name),
            ini.get("instance", "zone", _parse_name),
            ini.get("instance", "host", _parse_name),
            ini.get("instance", "first_start", _parse_flag, False),
        ),
        ListenSettings(
            ini.get("listen", "callers", parse_address),
            ini.get("listen", "ready", parse_address),
            peer_port,
            ini.get("listen", "metrics_port", _parse_port),
            ini.get("listen", "relay_port", _parse_port, (peer_port or 0) + 1),
        ),
        PeerSettings(ini.get("peers", "seeds", _parse_seeds, ())),
        ZoneSettings(ini.get("zones", "regions", _parse_pairs, {})),
        StoreSettings(
            ini.get("store", "address", parse_address),
            ini.get("store", "heartbeat_ms", _parse_milliseconds, _DEFAULT_HEARTBEAT_S),
        ),
        BoundSettings(
            ini.get("bounds", "grace_s", _parse_number),
            ini.get("bounds", "retry_ratio", _parse_number),
            ini.get("bounds", "retry_window_s", _parse_number),
            ini.get("bounds", "retry_extra", _parse_number),
            ini.get(
                "bounds", "configuration_ms", _parse_milliseconds, _DEFAULT_CHANGE_S
            ),
            ini.get("bounds", "drain_ms", _parse_milliseconds, _DEFAULT_CHANGE_S),
            ini.get("bounds", "evacuation_ms", _parse_milliseconds, _DEFAULT_CHANGE_S),
        ),
        ini.get("policy", "off", parse_policy, FULL_POLICY),
        CapacitySettings(
            ini.get("capacity", "cpu_share", _parse_positive, 1.0),
            ini.get("capacity", "cpus", _parse_positive, 1.0),
            ini.get("capacity", "link_mbps", _parse_positive, 1_000.0),
            ini.get("capacity", "memory_mb", _parse_positive, 300.0),
            ini.get(
                "capacity", "descriptors", _parse_descriptors, _limit_of_descriptors()
            ),
        ),
        SuspectSettings(
            frozenset(ini.get("suspects", "allowed_parts", parse_words, ())),
            frozenset(ini.get("suspects", "allowed_requests", parse_words, ())),
        ),
        HedgingSettings(ini.get("hedging", "max_share", _parse_share, 0.0)),
        TargetSettings(ini.get("targets", "share_machines", _parse_flag, False)),
    )
    if settings.listen.relay_port > _MAX_PORT:
        ini.add_fault("listen", "relay_port", "", "missing, no port is after peer_port")
    ini.raise_for_faults()
    return settings
