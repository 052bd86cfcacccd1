"""Datagrams between the instances, as MessagePack arrays."""

import msgspec

from bergamotsaddle_serving.messages import PieceFailure


class Message(msgspec.Struct, tag=True, array_like=True, frozen=True):
    """Base of all datagrams."""


class Contact(msgspec.Struct, array_like=True, frozen=True):
    """Where an instance is reached."""

    id: str
    zone: str
    host: str


class Heartbeat(Message, tag="Hello"):
    """A heartbeat.

    Attributes:
        sender: Who sends it.
        life: Random name of its process's life.
        takes_work: Whether it takes work for others: not before its view is complete,
            and not while it stops.
        revision: Up to which its view knows the store.
        loads: Load of each stage queue that it owns, by service: seconds until what
            waits is done for each urgency from 0 on, call time, pieces a second.
        coming: Pieces of its admitted requests that will come to a stage later:
            service, zone, number by urgency.
        running: Requests that it has at each engine.
        reading: Prompt tokens of its requests that each engine has still to read.
        strength: How much work for others its machine can do, in cores.
        contacts: Other instances that it has heard lately.
        missed: Ids of instances that did not answer it lately.
        digest: Digest of the facts that it holds.
    """

    sender: Contact
    incarnation: str
    accepts_work: bool
    revision: int
    loads: dict[str, list[float]]
    pending: list[tuple[str, str, list[int]]]
    running: dict[str, int]
    prefill_tokens: dict[str, int]
    cores: float
    contacts: list[Contact]
    unresponsive: list[str] = []
    digest: int = 0


class Fact(msgspec.Struct, array_like=True, frozen=True):
    """Something that an instance observed.

    Attributes:
        topic: What kind of fact it is.
        key: What it is about.
        value: What holds.
        age: Seconds since it was observed.
    """

    topic: str
    key: str
    value: float
    age: float


class GossipUpdate(Message, tag="News"):
    """Facts that the receiver may not know."""

    facts: list[Fact]


class HeartbeatRequest(Message, tag="Inquiry"):
    """Asks for a heartbeat at once."""


class RateRequest(Message, tag="RateAsk"):
    """Asks the owner of a shared rate for a permit.

    Attributes:
        number: The sender's number for the question.
        key: What the rate is for.
        scope: The zone whose instances own it.
        rate: Permits a second, for all instances together.
        urgency: Of the request, 0 first.
    """

    number: int
    key: str
    scope: str
    rate: float
    urgency: int


class RateResponse(Message, tag="RateAnswer"):
    """The owner's answer.

    Attributes:
        number: Number of the question.
        wait: 0 if there is a permit, else the seconds after which to ask again.
    """

    number: int
    wait: float


class Submit(Message):
    """Pieces of one stage of a request, for the owner of a stage queue.

    Sent again and again while the sender waits: it is the sender's sign of life, and
    has a lost result sent once more.

    Attributes:
        request: Id of the request.
        stage: Number of the stage.
        service: Stage service that does it.
        numbers: Numbers of the pieces that are missing.
        key: The request's piece key, for a stage without predecessors.
        inputs: Handles of the results that it needs, else.
        urgency: 0 first.
        has_begun: Whether earlier stages of the request have run.
        result_bytes: Approximate size of a result.
        input_bytes: Approximate size of all inputs together.
        zone: Where the result is needed.
        objective: Seconds until the result should be there for the request to be on
            time.
        remaining: Seconds after which the result is of no use.
        round: Counts how often the sender had to begin the stage anew. Pieces of
            another round are other pieces: their inputs are gone or given up.
        work: Fingerprint of the request.
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


class Accepted(Message):
    """The owner's answer to a submission: the pieces are in its queue.

    Attributes:
        request: Id of the request.
        stage: Number of the stage.
        number: Number of the first piece that was asked for.
        round: That of the submission.
        service: The stage service.
        load: Load of its queue, as in a heartbeat.
    """

    request: str
    stage: int
    number: int
    round: int
    service: str
    load: list[float]


class PieceOutcome(msgspec.Struct, array_like=True, frozen=True):
    """How one piece ended: a handle to its result, or why there is none."""

    number: int
    handle: str
    reason: PieceFailure | None = None


class Results(Message):
    """Results of pieces of one round."""

    request: str
    stage: int
    round: int
    done: list[PieceOutcome]


class Started(Message):
    """A target works on pieces and has fetched their inputs."""

    request: str
    stage: int
    round: int
    numbers: list[int]


class Cancel(Message):
    """The request has ended: its pieces are not needed any more."""

    request: str


class Release(Message):
    """Results that nobody needs any more."""

    service: str
    handles: list[str]


Datagram = (
    Heartbeat
    | GossipUpdate
    | HeartbeatRequest
    | RateRequest
    | RateResponse
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
    """Turn a message into a datagram."""
    return _encoder.encode(message)


def decode(datagram: bytes) -> Datagram:
    """Turn a datagram into a message.

    Raises:
        msgspec.DecodeError: If it is none.
    """
    return _decoder.decode(datagram)
