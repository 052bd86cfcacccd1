"""Messages between entry instances and their codec."""

import hashlib
import hmac
from typing import Any, NamedTuple

import msgspec

from bergamotsaddle_contracts.ticket import Ticket

_MAC_BYTES = 8


class TargetReport(NamedTuple):
    """What a target said about its load.

    Attributes:
        target_id: The target.
        cold: Whether it is in cold start.
        in_flight: Calls it was working on.
        age: Seconds since it measured, at the time of sending.
        models: Models it has loaded; None if it holds all that it may.
    """

    target_id: str
    cold: bool
    in_flight: int
    age: float
    models: tuple[str, ...] | None = None


class Heartbeat(NamedTuple):
    """A datagram that an instance sends to its neighbours.

    Attributes:
        sender: Id of the sending instance.
        incarnation: Random name of the sending process.
        clock: Seconds on the sender's clock.
        echo: The latest clock heard from the receiver, on the receiver's clock.
        echo_incarnation: The receiver's process that the echo came from.
        asked_age: Seconds since the sender last asked the platform and had its answer
            or found that there was none.
        revision: Revision of the declaration in force at the sender.
        digest: Digest of that declaration.
        list_version: Version of the sender's instance list.
        stopping: Whether the sender has begun a planned stop.
        follows: Whether the sender uses targets that the receiver is home to.
        reports: Reports of the targets that the sender is home to, if the receiver
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
        body: Body as received.
        remaining: Seconds until the deadline at the time of sending.
    """

    id: str
    team: str
    kind: str
    path: str
    body: bytes
    remaining: float


class Outcome(NamedTuple):
    """How a ticketed request ended.

    Attributes:
        state: ``finished``, ``not_run`` for good, ``unknown``, ``reused`` if the
            ticket was used with another request, ``unused`` or ``busy`` if it may
            still be used, or ``elsewhere`` if the asked instance can't tell.
        status: HTTP status of the target's answer when finished.
        body: The target's answer when finished.
        detail: One sentence for the caller otherwise.
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
    """Asks the witness to remember that a ticket's request is about to be sent."""

    ticket: Ticket


class StartAnswer(NamedTuple):
    """Whether the witness remembered the start."""

    recorded: bool


class OutcomeRecord(NamedTuple):
    """Tells the witness how a ticket's request ended."""

    ticket: Ticket
    outcome: Outcome


class Done(NamedTuple):
    """An empty acknowledgement."""

    ok: bool = True


class OutcomeQuery(NamedTuple):
    """Asks issuer or witness what became of a ticket, without changing it."""

    ticket: Ticket


class RunTicket(NamedTuple):
    """Asks a ticket's issuer, or who took over from it, to run its request."""

    ticket: Ticket
    request: ServiceRequest


class TicketHandover(NamedTuple):
    """Tells the witness that the issuer will start no ticket any more.

    Attributes:
        incarnation: The issuer's process.
        used: Tickets that were refused or may have been started; the others are
            the witness's to run.
    """

    incarnation: str
    used: tuple[Ticket, ...]


class PermitQuery(NamedTuple):
    """Asks a target's home for one call's place at a cold target."""

    target_id: str
    holder: str
    lifetime: float


class PermitAnswer(NamedTuple):
    """A permit's number, or zero and a reason."""

    permit: int
    reason: str


class PermitReturn(NamedTuple):
    """Gives a permit back once the target has answered."""

    target_id: str
    permit: int


class PermitHandover(NamedTuple):
    """Tells the next home of a target what the stopping home has given out.

    Attributes:
        target_id: The target.
        permits: Remaining seconds of each permit still out.
    """

    target_id: str
    permits: tuple[float, ...]


class DeclarationQuery(NamedTuple):
    """Asks a peer for the declaration that is in force there."""

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


RESPONSE_TYPES: dict[type, type] = {
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
    """Write a message."""
    return msgspec.msgpack.encode(message)


def decode(payload: bytes, kind: type) -> Any:
    """Read a message of a given type.

    Raises:
        ValueError: If the payload is no such message.
    """
    try:
        return msgspec.msgpack.decode(payload, type=kind)
    except msgspec.MsgspecError as error:
        raise ValueError(f"{kind.__name__}: {error}") from error


def sign(message: Any, key: bytes) -> bytes:
    """Write a message that only holders of the key can make."""
    body = encode(message)
    return _mac(body, key) + body


def verify_signed(payload: bytes, kind: type, key: bytes) -> Any:
    """Read a message of a given type and check who made it.

    Raises:
        ValueError: If it is malformed or made with another key.
    """
    mac, body = payload[:_MAC_BYTES], payload[_MAC_BYTES:]
    if not hmac.compare_digest(mac, _mac(body, key)):
        raise ValueError(f"{kind.__name__} made with another key")
    return decode(body, kind)


def _mac(body: bytes, key: bytes) -> bytes:
    return hashlib.blake2b(body, digest_size=_MAC_BYTES, key=key).digest()
