"""Typed messages between the parts of the core and the adapter of a platform."""

from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Configuration, Target, Team

RawHeaders = list[tuple[bytes, bytes]]


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    id: str
    tokens: int


class RequestHead(NamedTuple):
    """The head of a caller's request, decoded.

    Attributes:
        id: The caller's own id for this attempt.
        method: HTTP method.
        path: Path and query exactly as received.
        host: Host that the request names.
        key: API key, empty if there is none.
        deadline: Seconds that the caller will wait.
        prompt: Parts of the prompt in order, empty unless it goes to an engine.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens that will be generated at most.
        pieces: Number of pieces of each stage.
        piece_key: What first stages need to know of the request.
        last_event_id: Where a stream is to go on, None for its start.
        forwarded: Headers to pass on unchanged.
    """

    id: str
    method: bytes
    path: bytes
    host: str
    key: str
    deadline: float
    prompt: tuple[PromptPart, ...] = ()
    prompt_tokens: int = 0
    output_tokens: int = 0
    pieces: tuple[int, ...] = ()
    piece_key: str = ""
    last_event_id: int | None = None
    forwarded: tuple[tuple[bytes, bytes], ...] = ()


class Dispatch(NamedTuple):
    """What a target is told beside the caller's own request.

    Attributes:
        target: Who is meant; any other target refuses.
        remaining: Seconds that are left.
        team: Whose request it is, None on public routes.
        priority: Urgency, 0 first.
        inputs: Handles of the results that the request needs.
        last_event_id: Where a stream is to go on, None for its start.
    """

    target: Target
    remaining: float
    team: Team | None = None
    priority: int = 5
    inputs: tuple[str, ...] = ()
    last_event_id: int | None = None


class TargetLoad(NamedTuple):
    """A target's own count of its requests."""

    running: int
    waiting: int
    slots: int


class ResponseHead(NamedTuple):
    """What the headers of a target's answer say.

    Attributes:
        request_id: Id of the request that it answers, empty if not told.
        is_sealed: Whether the target signed it.
        not_run: Whether the target states that it did not run the request.
        load: Its load, None if not told.
        keep_seconds: How long an idle connection is kept, None if not told.
        is_encoded: Whether the body is in some encoding and thus not the target's.
        limit: Requests a second that it takes from all instances, None if not told.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    load: TargetLoad | None
    keep_alive_seconds: float | None
    is_encoded: bool
    limit: float | None = None


class Piece(NamedTuple):
    """One piece of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Number of the stage.
        number: Number of the piece within the stage.
        key: The request's piece key, for a stage without predecessors.
        inputs: Handles of the results that it needs, else.
        remaining: Seconds after which the result is of no use.
    """

    request: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    remaining: float


class PieceFailure(StrEnum):
    """Why a piece has no result; the first four are said by targets."""

    ERROR = "error"
    GONE = "gone"
    LATE = "late"
    NO_MEMORY = "room"
    FAILED = "failed"
    MOVED = "moved"
    NO_TARGET = "no_target"


class PieceResult(NamedTuple):
    """How one piece ended: a handle to its result, or why there is none."""

    handle: str
    reason: PieceFailure | None = None


class StoreEntry(NamedTuple):
    """One item of the platform's store: a target, an evacuation or the configuration.

    Attributes:
        key: Its key in the store.
        revision: When it changed last, in the store's own count.
        value: What it holds, None if it was deleted.
    """

    key: str
    revision: int
    value: bytes | None


class StorePage(NamedTuple):
    """A page of items, or of changes.

    Attributes:
        entries: Items in order.
        revision: The store's revision when it was read.
        has_more: Whether more pages follow.
    """

    entries: list[StoreEntry]
    revision: int
    has_more: bool = False


class Evacuation(NamedTuple):
    """The operators' wish that a zone's targets get nothing."""

    zone: str


class HttpCall(NamedTuple):
    """A call to a target or the store, ready to be sent."""

    method: bytes
    path: bytes
    headers: RawHeaders
    body: bytes = b""


Decoded = Configuration | Target | Evacuation


class Dialect(Protocol):
    """What the core asks of a platform's adapter: names, formats and calls."""

    def read_head(
        self, method: bytes, path: bytes, headers: Sequence[tuple[bytes, bytes]]
    ) -> RequestHead:
        """Decode a caller's request; raises RequestError if it is improper."""

    def forward(self, head: RequestHead, dispatch: Dispatch, size: int) -> RawHeaders:
        """Headers of the request as a target gets it."""

    def read_response(self, headers: Sequence[tuple[bytes, bytes]]) -> ResponseHead:
        """Decode the headers of a target's answer."""

    def run_pieces(self, pieces: Sequence[Piece], target: Target) -> HttpCall:
        """Make the call that has a stage target work on pieces."""

    def read_results(self, body: bytes) -> list[PieceResult]:
        """Decode its answer; raises ValueError if it is none."""

    def release_results(self, handles: Sequence[str], target: Target) -> HttpCall:
        """Make the call that gives up results."""

    def query_free_memory(self, target: Target) -> HttpCall:
        """Make the call that asks a stage target for its free room."""

    def read_free_memory(self, body: bytes) -> float:
        """Decode its answer to the bytes that are free at most.

        Raises:
            ValueError: If it is none.
        """

    def result_address(self, handle: str) -> Address:
        """Address of the target that holds a result."""

    def list_entries(self, after: str) -> HttpCall:
        """Make the call that reads a page of the store."""

    def watch_entries(self, after: int, wait: float) -> HttpCall:
        """Make the call that waits for changes after a revision."""

    def read_page(self, body: bytes) -> StorePage:
        """Decode a page; raises ValueError if it is none."""

    def target_id(self, key: str) -> str | None:
        """Id of the target that an entry of the store tells of, None if it is none."""

    def decode(self, entry: StoreEntry) -> Decoded | None:
        """Decode an item; None if it is of no concern, ValueError if malformed."""
