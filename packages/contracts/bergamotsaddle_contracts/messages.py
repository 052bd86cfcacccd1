"""Messages between entry instances and their codec."""

import hashlib
import hmac
from typing import Any, NamedTuple

import msgspec

from bergamotsaddle_contracts.decoding import decode_msgpack
from bergamotsaddle_contracts.ticket import Ticket

_MAC_BYTES = 8


class TargetReport(NamedTuple):
    """A target's report of its load.

    Attributes:
        target_id: The target.
        cold: Whether it is in cold start.
        in_flight: Number of calls in progress.
        age: Seconds between the measurement and the sending of the report.
        models: Models that it has loaded; None if it holds all that it may.
    """

    target_id: str
    cold: bool
    in_flight: int
    age: float
    models: tuple[str, ...] | None = None


class Heartbeat(NamedTuple):
    """Datagram that an instance sends to its neighbours.

    Attributes:
        sender: Id of the sending instance.
        incarnation: Random name of the sending process.
        clock: Seconds on the sender's clock.
        echo: Latest clock value received from the receiver, on the receiver's clock.
        echo_incarnation: Incarnation of the receiver that sent the echoed value.
        platform_query_age: Seconds since the sender last queried the platform and
            received its response or found that there was none.
        revision: Revision of the declaration in force at the sender.
        digest: Digest of that declaration.
        list_version: Version of the sender's instance list.
        stopping: Whether the sender has started a planned stop.
        follows: Whether the sender uses targets whose home is the receiver.
        reports: Reports of the targets whose home is the sender, if the receiver
            uses them.
    """

    sender: str
    incarnation: str
    clock: float
    echo: float
    echo_incarnation: str
    platform_query_age: float
    revision: int
    digest: str
    list_version: int
    stopping: bool
    follows: bool
    reports: tuple[TargetReport, ...]


class ServiceRequest(NamedTuple):
    """A caller's request to a plain service.

    Attributes:
        id: Id of the request.
        team: Team of the caller.
        kind: Kind of target.
        path: Path below the service, without a leading slash.
        body: Body as received from the caller.
        remaining: Seconds until the deadline at the time of sending.
    """

    id: str
    team: str
    kind: str
    path: str
    body: bytes
    remaining: float


class Outcome(NamedTuple):
    """Result of a request that was sent with a ticket.

    Attributes:
        state: ``finished``, ``not_run`` for good, ``unknown``, ``reused`` if the
            ticket was used with another request, ``unused`` or ``busy`` if it may
            still be used, or ``elsewhere`` if the queried instance doesn't know.
        status: HTTP status of the target's response when finished.
        body: Body of the target's response when finished.
        detail: One sentence for the caller in all other states.
    """

    state: str
    status: int = 0
    body: bytes = b""
    detail: str = ""


FINISHED = "finished"
NOT_RUN = "not_run"
UNKNOWN = "unknown"
REUSED = "reused"
UNUSED = "unused"
BUSY = "busy"
ELSEWHERE = "elsewhere"


class StartRecord(NamedTuple):
    """Asks the witness to record that a ticket's request is about to be sent."""

    ticket: Ticket


class StartAnswer(NamedTuple):
    """Whether the witness recorded the start."""

    recorded: bool


class OutcomeRecord(NamedTuple):
    """Reports to the witness how a ticket's request ended."""

    ticket: Ticket
    outcome: Outcome


class Done(NamedTuple):
    """An empty acknowledgement."""

    ok: bool = True


class OutcomeQuery(NamedTuple):
    """Asks the issuer or the witness for a ticket's outcome, without changing it."""

    ticket: Ticket


class RunTicket(NamedTuple):
    """Asks a ticket's issuer or witness to run its request or settle its outcome."""

    ticket: Ticket
    request: ServiceRequest


class TicketHandover(NamedTuple):
    """Reports to the witness that the issuer will start no more tickets.

    Attributes:
        incarnation: Random name of the issuer's process.
        used: Tickets that were rejected or may have been started; the witness may
            run all others.
    """

    incarnation: str
    used: tuple[Ticket, ...]


class PermitQuery(NamedTuple):
    """Asks a target's home for a permit for one call to the cold target."""

    target_id: str
    holder: str
    lifetime: float


class PermitAnswer(NamedTuple):
    """A permit's number, or zero and the reason for the refusal."""

    permit: int
    reason: str


class PermitReturn(NamedTuple):
    """Returns a permit after the target has responded."""

    target_id: str
    permit: int


class PermitHandover(NamedTuple):
    """Reports a stopping home's outstanding permits to the target's next home.

    Attributes:
        target_id: The target.
        permits: Remaining seconds of each outstanding permit.
    """

    target_id: str
    permits: tuple[float, ...]


class DeclarationQuery(NamedTuple):
    """Asks a peer for the declaration that is in force at the peer."""

    revision: int


class DeclarationText(NamedTuple):
    """A declaration's text; empty when there is none."""

    text: str


class InstancesQuery(NamedTuple):
    """Asks a peer for its instance list."""

    version: int


class InstancesPayload(NamedTuple):
    """An instance list as published; empty when there is none."""

    payload: bytes


RESPONSE_BY_QUERY: dict[type, type] = {
    StartRecord: StartAnswer,
    OutcomeRecord: Done,
    OutcomeQuery: Outcome,
    RunTicket: Outcome,
    TicketHandover: Done,
    PermitQuery: PermitAnswer,
    PermitReturn: Done,
    PermitHandover: Done,
    DeclarationQuery: DeclarationText,
    InstancesQuery: InstancesPayload,
}


def encode(message: Any) -> bytes:
    """Encode a message."""
    return msgspec.msgpack.encode(message)


def decode(payload: bytes, kind: type) -> Any:
    """Decode a message of a given type.

    Raises:
        ValueError: If the payload isn't a message of that type.
    """
    try:
        return decode_msgpack(payload, kind)
    except ValueError as error:
        raise ValueError(f"{kind.__name__}: {error}") from error


def sign(message: Any, key: bytes) -> bytes:
    """Encode a message and prepend a MAC, which only holders of the key can make."""
    body = encode(message)
    return _mac(body, key) + body


def verify_signed(payload: bytes, kind: type, key: bytes) -> Any:
    """Verify the MAC of a message and decode it as a given type.

    Raises:
        ValueError: If the message is malformed or its MAC was made with another key.
    """
    mac, body = payload[:_MAC_BYTES], payload[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, key)):
        raise ValueError(f"{kind.__name__} made with another key")
    return decode(body, kind)


def _mac(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_MAC_BYTES, key=key).digest()
