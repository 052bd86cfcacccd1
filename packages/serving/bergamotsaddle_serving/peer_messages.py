"""Datagrams that instances send each other, encoded as MessagePack arrays.

The first item of each array is the datagram's tag, then its fields follow in order.
"""

from enum import IntEnum
from typing import Annotated

import msgspec

from bergamotsaddle_serving.messages import PieceFailure, StorePosition

# Behind every round of a request.
ALL_ROUNDS = 2**31


# At least one place, the seconds of a call, and the pieces per second.
QueueLoad = Annotated[list[float], msgspec.Meta(min_length=3)]


class PlaceDecision(IntEnum):
    """What a request for a place gets."""

    PLACED = 0
    """A target."""
    WAITS = 1
    """A place in the order; a target or a refusal follows."""
    REFUSED = 2
    """Nothing; the caller may return later."""
    LOCAL = 3
    """Nothing; its instance chooses a target itself."""


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Base class of all datagrams."""


class Contact(msgspec.Struct, array_like=True, frozen=True):
    """Identity and address of an instance.

    Attributes:
        id: Id of the instance.
        zone: Its availability zone.
        host: Its IP address.
    """

    id: str
    zone: str
    host: str


class Demand(msgspec.Struct, array_like=True, frozen=True):
    """Requests of one service that an instance served or rejected lately.

    Attributes:
        service: Name of the service.
        arrived: Requests by level of urgency, without the zeros at the end.
        missed: Those of them that were rejected or late, in the same way.
        teams: Requests by key of the team, of the teams with most requests; empty
            unless room is short.
    """

    service: str
    arrived: list[int]
    missed: list[int] = []
    teams: dict[int, int] = {}


class Heartbeat(Message, tag="Hello"):
    """The periodic state report of an instance.

    Attributes:
        sender: Contact of the instance that sends it.
        incarnation: Random id that the instance's process chose at its start.
        accepts_work: Whether the instance accepts work from other instances. It does
            not before its view is complete, nor while it stops.
        position: Place in the store's history up to which its view is complete.
        loads: Load of each stage queue that it owns, by service: seconds until the
            waiting pieces are done for each place of ``stage_load.place``, seconds per
            call, and pieces per second.
        pending: Pieces of its admitted requests that will reach a stage later, as
            service, scope and count by urgency.
        running: Number of its requests that run at each engine, by target id.
        prefill_tokens: Prompt tokens of its requests that each engine has still to
            process, by target id.
        cores: Processor cores that it can spend on work for other instances.
        contacts: Other instances that it received a heartbeat from recently.
        unresponsive: Ids of instances that did not respond to it recently.
        digest: Digest of the gossip facts that it holds.
        unreachable: Names of services whose targets it cannot reach.
        has_history: Whether it knows all versions of software that served lately.
        demand: Its requests of the last seconds, by service.
    """

    sender: Contact
    incarnation: str
    accepts_work: bool
    position: StorePosition
    loads: dict[str, QueueLoad]
    pending: list[tuple[str, str, list[int]]]
    running: dict[str, int]
    prefill_tokens: dict[str, int]
    cores: float
    contacts: list[Contact]
    unresponsive: list[str] = []
    digest: int = 0
    unreachable: list[str] = []
    has_history: bool = False
    demand: list[Demand] = []


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """A gossip fact: a value that some instance observed for a key.

    Attributes:
        topic: Name of the topic that the fact belongs to.
        key: Key of the fact within its topic.
        value: The observed value.
        age: Seconds since the observation.
    """

    topic: str
    key: str
    value: float
    age: float


class GossipUpdate(Message, tag="News"):
    """Gossip facts that the receiver may not have yet."""

    facts: list[Fact]


class GossipQuery(Message, tag="NewsAsk"):
    """Asks the receiver for the facts that the sender lacks.

    Attributes:
        group_digests: Digests of the groups of facts that the sender holds.
    """

    group_digests: bytes


class HeartbeatRequest(Message, tag="Inquiry"):
    """Asks the receiver to send a heartbeat at once."""


class OriginGroup(msgspec.Struct, array_like=True, frozen=True):
    """Streams that began at one version of a service's software.

    Attributes:
        service: Name of the service, empty if different origins were reported.
        software: Version of the software.
        keys: Keys of the streams, one after the other.
        units: A byte for each stream, how long it is to be known.
    """

    service: str
    software: str
    keys: bytes
    units: bytes


class OriginUpdate(Message, tag="Origins"):
    """Origins of streams that the receiver may not know."""

    groups: list[OriginGroup]


class OriginQuery(Message, tag="OriginAsk"):
    """Asks the receiver for the origins of streams, as far as it knows them."""

    keys: list[int]


class RateRequest(Message, tag="RateAsk"):
    """Asks the owner of a shared rate for a permit.

    Attributes:
        number: Number of this request at its sender.
        key: Key of the shared rate.
        scope: Zone whose instances may own the rate.
        rate: Permits per second for all instances together.
        urgency: Urgency of the caller's request, 0 first.
    """

    number: int
    key: str
    scope: str
    rate: float
    urgency: int


class RateResponse(Message, tag="RateAnswer"):
    """The owner's response to a ``RateRequest``.

    Attributes:
        number: Number of the request.
        wait: 0 if a permit is granted, otherwise seconds until the next attempt.
    """

    number: int
    wait: float


class HedgeRequest(Message):
    """Asks the owner of a service's hedges for one.

    Attributes:
        number: Number of this request at its sender.
        service: Name of the service.
        earned: What the sender's requests have earned since its last request, in
            hedges.
    """

    number: int
    service: str
    earned: float


class HedgeResponse(Message):
    """The owner's response to a ``HedgeRequest``.

    Attributes:
        number: Number of the request.
        is_granted: Whether a hedge may be sent.
    """

    number: int
    is_granted: bool


class HedgeEarnings(Message, tag="Earned"):
    """Tells the owner of a service's hedges what requests have earned.

    Attributes:
        service: Name of the service.
        earned: What the sender's requests have earned since it told any owner, in
            hedges.
    """

    service: str
    earned: float


class ReturnNotice(Message, tag="Told"):
    """Says that a rejected caller was told when to come back.

    Attributes:
        key: Key of the request, the same for each of its tries.
        seconds: Seconds from now until it comes back.
    """

    key: int
    seconds: float


class ReturnQuery(Message, tag="ToldAsk"):
    """Asks whether a caller comes back when it was told.

    Attributes:
        key: Key of the request.
    """

    key: int


class ReturnResponse(Message, tag="ToldAnswer"):
    """The response to a ``ReturnQuery``.

    Attributes:
        key: Key of the request.
        is_told: Whether the caller came back when it was told.
    """

    key: int
    is_told: bool


class PlaceRequest(Message, tag="PlaceAsk"):
    """Asks the owner of a plain service's queue for a place at a target.

    The sender repeats it while it waits.

    Attributes:
        number: Number of this request at its sender.
        sender: Id of the instance that sends it.
        zone: Availability zone of the sender.
        service: The plain service.
        request: Id of the caller's request.
        urgency: Urgency of the request, 0 first.
        team: Name of the caller's team, empty on public routes.
        objective: Seconds until the response is late.
        remaining: Seconds until the caller gives up.
        excluded: Ids of targets that must not get the request.
    """

    number: int
    sender: str
    zone: str
    service: str
    request: str
    urgency: int
    team: str
    objective: float
    remaining: float
    excluded: list[str]


class PlaceResponse(Message, tag="PlaceAnswer"):
    """The owner's response to a ``PlaceRequest``.

    Attributes:
        number: Number of the request.
        decision: What the request gets.
        target: Id of its target if it is placed, empty otherwise.
        retry_after: Seconds after which the caller may return if it is refused.
    """

    number: int
    decision: PlaceDecision
    target: str = ""
    retry_after: float = 0.0


class PlaceDone(Message):
    """Reports that a request has left its place, or waits for none any longer.

    Attributes:
        number: Number of the ``PlaceRequest``.
        sender: Id of the instance that sent it.
        service: The plain service.
        seconds: Seconds that the run took, None if it was not completed.
        slowdown: Multiple of the usual time that the target reported, None if it
            reported none.
        age: Seconds since that report.
        route: Name of the route of the request, empty if it was not completed.
    """

    number: int
    sender: str
    service: str
    seconds: float | None = None
    slowdown: float | None = None
    age: float = 0.0
    route: str = ""


class Submit(Message):
    """Submits pieces of one stage of a request to the owner of a stage queue.

    The sender repeats it while it waits. Each repetition shows the owner that the
    sender is still alive, and makes the owner send a lost result again.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        service: Service that runs the stage.
        numbers: Numbers of the pieces whose results the sender does not have.
        key: The request's piece key, for a stage without predecessors.
        inputs: Handles of the input results, for a stage with predecessors.
        urgency: Urgency of the request, 0 first.
        has_started: Whether earlier stages of the request have run.
        result_bytes: Approximate size of one result.
        input_bytes: Approximate size of all inputs together.
        zone: Zone in which the result is needed.
        objective: Seconds within which the result keeps the request on time.
        remaining: Seconds after which the result is useless.
        round: Round of the submission, see ``StageRun``. Pieces of different rounds
            are distinct, because the inputs of an earlier round are lost or released.
        fingerprint: Fingerprint of the request.
        team: Team of the request, empty if shares of teams don't apply.
        by_urgency: Whether the wait of a started request was forecast by urgency.
        input_count: Number of results that each piece needs, None if unknown.
    """

    request: str
    stage: int
    service: str
    numbers: list[int]
    key: str
    inputs: list[str]
    urgency: int
    has_started: bool
    result_bytes: int
    input_bytes: int
    zone: str
    objective: float
    remaining: float
    round: int
    fingerprint: str = ""
    team: str = ""
    by_urgency: bool = False
    input_count: int | None = None


class Accepted(Message):
    """Confirms that the pieces of a ``Submit`` are in the owner's queue.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        number: Number of the first submitted piece.
        round: Round of the submission.
        service: Service that runs the stage.
        load: Load of the queue, as in ``Heartbeat.loads``.
    """

    request: str
    stage: int
    number: int
    round: int
    service: str
    load: QueueLoad


class PieceOutcome(msgspec.Struct, array_like=True, frozen=True):
    """The handle of one piece's result, or the reason why there is none."""

    number: int
    handle: str
    reason: PieceFailure | None = None


class Results(Message):
    """Outcomes of pieces of one round of a stage."""

    request: str
    stage: int
    round: int
    done: list[PieceOutcome]


class Started(Message):
    """Reports that a target runs pieces and has fetched their inputs."""

    request: str
    stage: int
    round: int
    numbers: list[int]


class Cancel(Message):
    """Withdraws pieces of a request that has ended, or that needs no stages now.

    Attributes:
        request: Id of the request.
        before_round: First round that is not withdrawn.
    """

    request: str
    before_round: int = ALL_ROUNDS


class Release(Message):
    """Releases results that no request needs any longer."""

    service: str
    handles: list[str]


Datagram = (
    Heartbeat
    | GossipUpdate
    | GossipQuery
    | HeartbeatRequest
    | OriginUpdate
    | OriginQuery
    | RateRequest
    | RateResponse
    | HedgeRequest
    | HedgeResponse
    | HedgeEarnings
    | ReturnNotice
    | ReturnQuery
    | ReturnResponse
    | PlaceRequest
    | PlaceResponse
    | PlaceDone
    | Submit
    | Accepted
    | Started
    | Results
    | Cancel
    | Release
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode(message: Message) -> bytes:
    """Encode a message as a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> Datagram:
    """Decode a datagram.

    Raises:
        ValueError: If it is not a valid message.
    """
    try:
        return _decoder.decode(datagram)
    except RecursionError as error:
        raise ValueError("nested too deeply") from error
