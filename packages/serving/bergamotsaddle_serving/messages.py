"""Typed messages between the serving core and the adapter of a platform."""

from collections.abc import Sequence
from enum import StrEnum
from hashlib import blake2b
from typing import NamedTuple, Protocol

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Configuration, Target, Team

RawHeaders = list[tuple[bytes, bytes]]

# Parts of a prompt that are told from each other; the rest of a longer one is not.
_MAX_SHARED_PARTS = 256
_MAX_PART_ID = 32
_DIGEST_BYTES = 8


class PromptPart(NamedTuple):
    """A section of a prompt that several requests may share.

    Attributes:
        id: Id of the section; equal sections have equal ids.
        tokens: Its length in tokens.
    """

    id: str
    tokens: int


def _short_name(part_id: str) -> str:
    """Return the id of a part, or a digest of an id that no log or datagram holds."""
    if len(part_id) <= _MAX_PART_ID and part_id.isalnum():
        return part_id
    return blake2b(part_id.encode(), digest_size=_DIGEST_BYTES).hexdigest()


class RequestHead(NamedTuple):
    """The decoded head of a caller's request.

    Attributes:
        id: The caller's id for this attempt.
        method: HTTP method.
        path: Path and query exactly as received.
        host: Host name that the request is addressed to.
        key: API key, empty if there is none.
        deadline: Seconds that the caller will wait.
        prompt: Sections of the prompt in order, empty unless an engine serves it.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Maximum number of tokens to generate.
        pieces: Number of pieces of each stage.
        piece_key: Input of the stages without predecessors.
        last_event_id: Event after which a stream resumes, None to start it.
        forwarded: Headers to forward unchanged.
        resumed_request: Id of the request that brought the first event of the stream,
            if the caller takes one up again; empty if it names none.
        length_hint: The caller's estimate of the tokens to generate, 0 if there is
            none. It is right in the median only.
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
    resumed_request: str = ""
    length_hint: int = 0

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Ids of all parts of the prompt but the last one, each of them once.

        The last part belongs to the request itself; the others may be shared.
        """
        shared = self.prompt[:-1][:_MAX_SHARED_PARTS]
        return tuple(dict.fromkeys(_short_name(part.id) for part in shared))

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has a part of the stream already."""
        return bool(self.resumed_request) or self.last_event_id is not None


class Dispatch(NamedTuple):
    """What a target receives in addition to the caller's request.

    Attributes:
        target: The intended target; any other target rejects the request.
        remaining: Seconds until the request's deadline.
        team: Team that sent the request, None on public routes.
        priority: Urgency of the request, 0 first.
        inputs: Handles of the results that the request needs.
        last_event_id: Event after which a stream resumes, None to start it.
    """

    target: Target
    remaining: float
    team: Team | None = None
    priority: int = 5
    inputs: tuple[str, ...] = ()
    last_event_id: int | None = None


class TargetLoad(NamedTuple):
    """A target's own account of its load.

    Attributes:
        running: Requests that it runs.
        waiting: Requests that wait at it.
        slots: Requests that it can run at once.
        slowdown: Time that work takes on its machine at this moment, as a multiple of
            the usual time; None if the target does not report it.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


class ResponseHead(NamedTuple):
    """The decoded headers of a target's response.

    Attributes:
        request_id: Id of the request that it responds to, empty if not given.
        is_signed: Whether the target signed the response.
        not_run: Whether the target states that it did not run the request.
        load: Load of the target, None if not given or unreadable.
        keep_alive_seconds: How long the target keeps an idle connection open, None if
            not given.
        is_encoded: Whether the body has a content encoding. Targets apply none, so
            such a body is not the target's own.
        limit: Requests per second that the target accepts from all instances together,
            None if not given.
        brittleness: Number of requests that the target, and each other one of its
            service, can reject in a second without failing; None if not given.
        is_leaving: Whether the target states that it is about to leave.
        rest_seconds: How long a target that rejects a request wants no other one from
            this instance, None if not given.
        has_unreadable_load: Whether it has a load that can't be read.
    """

    request_id: str
    is_signed: bool
    not_run: bool
    load: TargetLoad | None
    keep_alive_seconds: float | None
    is_encoded: bool
    limit: float | None = None
    brittleness: float | None = None
    is_leaving: bool = False
    rest_seconds: float | None = None
    has_unreadable_load: bool = False


class Piece(NamedTuple):
    """One piece of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        number: Number of the piece within the stage.
        key: The request's piece key, for a stage without predecessors.
        inputs: Handles of the input results, for a stage with predecessors.
        remaining: Seconds after which the result is useless.
    """

    request: str
    stage: int
    number: int
    key: str
    inputs: tuple[str, ...]
    remaining: float


class PieceFailure(StrEnum):
    """Reason why a piece has no result. Targets report the first four."""

    ERROR = "error"
    GONE = "gone"
    LATE = "late"
    NO_MEMORY = "room"
    FAILED = "failed"
    MOVED = "moved"
    NO_TARGET = "no_target"


class PieceResult(NamedTuple):
    """The handle of one piece's result, or the reason why there is none."""

    handle: str
    reason: PieceFailure | None = None


class StorePosition(NamedTuple):
    """A place in the history of the store; later places are greater.

    Attributes:
        era: Era of the store, which rises each time that the store comes back from an
            older copy. Revisions are given out again then.
        revision: Revision within the era.
    """

    era: int
    revision: int


# Before everything that the store holds.
NO_POSITION = StorePosition(0, 0)


class StoreEntry(NamedTuple):
    """One entry of the platform's store: a target, an evacuation or the configuration.

    Attributes:
        key: Key of the entry.
        revision: Store revision of its last change.
        value: Encoded value, None if the entry was deleted.
        era: Era of the store in which it was read.
        deleted_value: For a deletion, the value that the entry had, None if unknown.
        earlier_revisions: Revisions of the last versions before it, as far as known.
        created: Store revision at which the entry was created, 0 if unknown.
    """

    key: str
    revision: int
    value: bytes | None
    era: int = 0
    deleted_value: bytes | None = None
    earlier_revisions: tuple[int, ...] = ()
    created: int = 0

    @property
    def position(self) -> StorePosition:
        """Place of the entry in the history of the store."""
        return StorePosition(self.era, self.revision)


class StorePage(NamedTuple):
    """A page of store entries, or of changes to them.

    Attributes:
        entries: Entries in order.
        revision: Store revision at which the page was read.
        has_more: Whether more pages follow.
        era: Era of the store.
    """

    entries: list[StoreEntry]
    revision: int
    has_more: bool = False
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """Place in the history of the store at which the page was read."""
        return StorePosition(self.era, self.revision)


class Evacuation(NamedTuple):
    """An operators' order to send no requests to the targets of a zone."""

    zone: str


class HttpCall(NamedTuple):
    """An HTTP request to a target or to the store, ready to be sent."""

    method: bytes
    path: bytes
    headers: RawHeaders
    body: bytes = b""


Decoded = Configuration | Target | Evacuation


class Dialect(Protocol):
    """Interface of a platform's adapter: its names, formats and calls."""

    def read_head(
        self, method: bytes, path: bytes, headers: Sequence[tuple[bytes, bytes]]
    ) -> RequestHead:
        """Decode the head of a caller's request.

        Raises:
            RequestError: If the request is invalid.
        """

    def forward(self, head: RequestHead, dispatch: Dispatch, size: int) -> RawHeaders:
        """Return the headers with which the request is sent to a target."""

    def read_response(self, headers: Sequence[tuple[bytes, bytes]]) -> ResponseHead:
        """Decode the headers of a target's response."""

    def run_pieces(self, pieces: Sequence[Piece], target: Target) -> HttpCall:
        """Make the call that runs pieces at a stage target."""

    def name_call(self, call: HttpCall, call_id: str) -> HttpCall:
        """Return a call with an id, which its response may name."""

    def read_results(self, body: bytes) -> list[PieceResult]:
        """Decode the response to ``run_pieces``.

        Raises:
            ValueError: If the body is malformed.
        """

    def release_results(self, handles: Sequence[str], target: Target) -> HttpCall:
        """Make the call that releases results at the target that holds them."""

    def query_free_memory(self, target: Target) -> HttpCall:
        """Make the call that queries a stage target's free memory for results."""

    def read_free_memory(self, body: bytes) -> float:
        """Decode the response to ``query_free_memory``.

        Returns:
            An upper bound of the free memory in bytes.

        Raises:
            ValueError: If the body is malformed.
        """

    def query_start(self, target: Target) -> HttpCall:
        """Make the call that asks a target when it started. It needs no slot."""

    def read_start(self, body: bytes) -> int:
        """Decode the response to ``query_start``.

        Returns:
            Unix time in milliseconds, 0 if the target does not say.

        Raises:
            ValueError: If the body is malformed.
        """

    def result_address(self, handle: str) -> Address:
        """Return the address of the target that holds a result."""

    def list_entries(self, after: str) -> HttpCall:
        """Make the call that reads the page of store entries after a key."""

    def watch_entries(self, after: int, wait: float) -> HttpCall:
        """Make the call that waits for changes after a revision."""

    def read_era(self, headers: Sequence[tuple[bytes, bytes]]) -> int:
        """Return the store's era, which any of its responses names; 0 if it has none.

        Raises:
            ValueError: If it is malformed.
        """

    def read_page(self, body: bytes, era: int) -> StorePage:
        """Decode a page of entries or changes.

        Args:
            body: Body of the response.
            era: Era of the store in the response.

        Raises:
            ValueError: If the body is malformed.
        """

    def target_id(self, key: str) -> str | None:
        """Return the id of the target with a store key, None for other keys."""

    def decode(self, entry: StoreEntry) -> Decoded | None:
        """Decode a store entry; return None for an entry that the core does not use.

        Raises:
            ValueError: If the entry is malformed.
        """
