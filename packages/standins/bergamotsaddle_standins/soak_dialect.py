"""The dialect of the soak: JSON bodies and short header names on real sockets."""

from collections.abc import Sequence

import msgspec

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_contracts.ini import Address, parse_address
from bergamotsaddle_serving.catalog import (
    Batching,
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Service,
    Share,
    Stage,
    Target,
    Team,
)
from bergamotsaddle_serving.messages import (
    Decoded,
    Dispatch,
    Evacuation,
    HttpCall,
    Piece,
    PieceResult,
    PromptPart,
    RawHeaders,
    RequestHead,
    ResponseHead,
    StoreEntry,
    StorePage,
    TargetLoad,
)

HOST = "soak"
CONFIGURATION_KEY = "configuration"
TARGET_PREFIX = "targets/"
EVACUATED_PREFIX = "evacuated/"
BOOKING_PREFIX = "/book/"
LOOKUP_PREFIX = "/look/"
CHAT_PREFIX = "/chat/"
# Streams that another engine may resume.
TALK_PREFIX = "/talk/"
# Streams of an experiment, whose rules the configuration sets.
TRIAL_PREFIX = "/trial/"
STREAM_PREFIXES = (CHAT_PREFIX, TALK_PREFIX, TRIAL_PREFIX)
# Streams that need results of a stage, and how many of them.
STAGED_PREFIXES = (CHAT_PREFIX, TALK_PREFIX)
PIECES = 3
# Requests that may run once at most.
ONCE_PREFIXES = (BOOKING_PREFIX, CHAT_PREFIX)
ATTEMPTS_BY_PREFIX = {
    BOOKING_PREFIX: 1,
    LOOKUP_PREFIX: 2,
    CHAT_PREFIX: 1,
    TALK_PREFIX: 3,
}
ENGINE = "engine"
RERANK = "rerank"
LOOKUPS = "orders"
RERANK_CALL_S = 0.05
CHAT_DEADLINE_S = 6.0
PLAIN_DEADLINE_S = 1.5
_STREAM_OBJECTIVE_S = 1.0
# Seconds without an event after which callers abandon a stream.
STREAM_PATIENCE_S = 4.0 * _STREAM_OBJECTIVE_S
_BATCHING = Batching(
    slots=1,
    size=8,
    call_seconds=RERANK_CALL_S,
    piece_seconds=0.002,
    memory_bytes=1e8,
    ttl_seconds=4.0,
)
_CHAT_STAGE = Stage(RERANK, (), 10_000)
_MS = 0.001
_PART_TOKENS = 20
# A port that nothing listens on.
_UNKNOWN_ADDRESS = Address("127.0.0.1", 1)


class TrialRules(msgspec.Struct):
    """Rules for the streams of an experiment.

    Attributes:
        attempts: Maximum number of engines that one stream may run on.
        objective: Seconds until its first event is due.
        event_gap: Seconds until the next one is due.
        has_stage: Whether a stage runs first.
    """

    attempts: int
    objective: float
    event_gap: float
    has_stage: bool = False


class SoakConfiguration(msgspec.Struct):
    """What operators change during a soak.

    Attributes:
        version: Version of the configuration.
        bookings: Service that runs bookings.
        keys: Valid API keys.
        trial: Rules for the streams of an experiment, None if there is none.
    """

    version: int
    bookings: str
    keys: list[str]
    trial: TrialRules | None = None


class SoakTarget(msgspec.Struct):
    """The entry that a target publishes.

    Attributes:
        service: Name of its service.
        addresses: Host and port at which each instance reaches it, by instance id.
        zone: Its availability zone.
        is_draining: Whether it is about to leave.
        slots: Requests that it runs at once.
        software: Version of its software.
    """

    service: str
    addresses: dict[str, str]
    zone: str
    is_draining: bool = False
    slots: int = 32
    software: str = ""


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str | None


class _Page(msgspec.Struct):
    items: list[_Item]
    revision: int


def encode_page(entries: Sequence[StoreEntry], revision: int) -> bytes:
    """Encode a page of the store."""
    items = [
        _Item(e.key, e.revision, None if e.value is None else e.value.decode())
        for e in entries
    ]
    return msgspec.json.encode(_Page(items, revision))


class SoakDialect:
    """Names, formats and calls of the soak's store, targets and callers.

    Args:
        instance: Id of the instance, which its calls to the store name.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._address_by_target: dict[str, Address] = {}
        self._store_headers = [
            (b"host", b"store"),
            (b"instance", instance.encode()),
        ]

    def read_head(
        self, method: bytes, path: bytes, headers: Sequence[tuple[bytes, bytes]]
    ) -> RequestHead:
        """Decode the head of a caller's request.

        Raises:
            RequestError: If the request has no id.
        """
        by_name = dict(headers)
        if b"id" not in by_name:
            raise RequestError(ErrorKind.BAD_REQUEST, "expected an id")
        is_chat = path.decode("latin-1").startswith(STREAM_PREFIXES)
        return RequestHead(
            id=by_name[b"id"].decode(),
            method=method,
            path=path,
            host=HOST,
            key=by_name.get(b"key", b"").decode(),
            deadline=int(by_name[b"deadline-ms"]) * _MS,
            prompt=_parse_parts(by_name.get(b"parts", b"")),
            prompt_tokens=100 if is_chat else 0,
            output_tokens=20 if is_chat else 0,
            pieces=(PIECES,) if is_chat else (),
            piece_key="p" if is_chat else "",
            last_event_id=_parse_event_id(by_name.get(b"last-event-id")),
            resumed_request=by_name.get(b"resumes", b"").decode(),
            forwarded=(
                (b"id", by_name[b"id"]),
                (b"sent-at", by_name[b"sent-at"]),
                (b"stream", by_name.get(b"resumes", by_name[b"id"])),
                (b"parts", by_name.get(b"parts", b"")),
            ),
        )

    def forward(self, head: RequestHead, dispatch: Dispatch, size: int) -> RawHeaders:
        """Return the headers with which a request is sent to a target."""
        last = dispatch.last_event_id
        resumed = [] if last is None else [(b"last-event-id", b"%d" % last)]
        return [
            (b"host", HOST.encode()),
            (b"instance", self._instance.encode()),
            *resumed,
            *head.forwarded,
            (b"inputs", ",".join(dispatch.inputs).encode()),
            (b"target", dispatch.target.id.encode()),
            (b"content-length", b"%d" % size),
        ]

    def read_response(self, headers: Sequence[tuple[bytes, bytes]]) -> ResponseHead:
        """Decode the headers of a target's response."""
        by_name = dict(headers)
        request_id = by_name.get(b"id", b"").decode()
        return ResponseHead(
            request_id,
            is_signed=True,
            not_run=b"not-run" in by_name,
            load=_parse_load(by_name.get(b"load")),
            keep_alive_seconds=None,
            is_encoded=False,
            brittleness=_parse_number(by_name.get(b"brittle")),
            is_leaving=b"leaving" in by_name,
            rest_seconds=_parse_number(by_name.get(b"rest")),
        )

    def run_pieces(self, pieces: Sequence[Piece], target: Target) -> HttpCall:
        """Make the call that runs pieces at a stage target."""
        body = msgspec.json.encode([[p.request, p.number] for p in pieces])
        return self._post(b"/pieces", body, target)

    def name_call(self, call: HttpCall, call_id: str) -> HttpCall:
        """Return a call with an id, which its response may name."""
        return call._replace(headers=[*call.headers, (b"call", call_id.encode())])

    def read_results(self, body: bytes) -> list[PieceResult]:
        """Decode the response to ``run_pieces``."""
        handles = msgspec.json.decode(body, type=list[str])
        return [PieceResult(handle) for handle in handles]

    def release_results(self, handles: Sequence[str], target: Target) -> HttpCall:
        """Make the call that releases results."""
        return self._post(b"/release", msgspec.json.encode(handles), target)

    def query_free_memory(self, target: Target) -> HttpCall:
        """Make the call that queries the free memory of a stage target."""
        return self._post(b"/memory", b"", target)

    def read_free_memory(self, body: bytes) -> float:
        """Decode the response to ``query_free_memory``."""
        return msgspec.json.decode(body, type=float)

    def query_start(self, target: Target) -> HttpCall:
        """Make the call that asks a target when it started."""
        return self._post(b"/start", b"", target)

    def read_start(self, body: bytes) -> int:
        """Decode the response to ``query_start``; no target says when it started."""
        return msgspec.json.decode(body, type=int)

    def result_address(self, handle: str) -> Address:
        """Return the address of the target that holds a result."""
        target = handle.partition("/")[0]
        return self._address_by_target.get(target, _UNKNOWN_ADDRESS)

    def _post(self, path: bytes, body: bytes, target: Target) -> HttpCall:
        headers = [
            (b"host", HOST.encode()),
            (b"instance", self._instance.encode()),
            (b"target", target.id.encode()),
            (b"content-length", b"%d" % len(body)),
        ]
        return HttpCall(b"POST", path, headers, body)

    def list_entries(self, after: str) -> HttpCall:
        """Make the call that reads all entries of the store."""
        return HttpCall(b"GET", b"/list", self._store_headers)

    def watch_entries(self, after: int, wait: float) -> HttpCall:
        """Make the call that waits for changes after a revision."""
        path = b"/watch?%d&%d" % (after, wait / _MS)
        return HttpCall(b"GET", path, self._store_headers)

    def read_era(self, headers: Sequence[tuple[bytes, bytes]]) -> int:
        """Return the era of the store that a response names."""
        return int(dict(headers)[b"era"])

    def read_page(self, body: bytes, era: int) -> StorePage:
        """Decode a page of entries or changes."""
        page = msgspec.json.decode(body, type=_Page)
        entries = [
            StoreEntry(
                item.key,
                item.revision,
                None if item.value is None else item.value.encode(),
                era,
            )
            for item in page.items
        ]
        return StorePage(entries, page.revision, era=era)

    def target_id(self, key: str) -> str | None:
        """Return the id of the target with a store key, None for other keys."""
        if not key.startswith(TARGET_PREFIX):
            return None
        return key.removeprefix(TARGET_PREFIX)

    def decode(self, entry: StoreEntry) -> Decoded | None:
        """Decode a store entry; return None for a deletion."""
        if entry.key.startswith(EVACUATED_PREFIX):
            return Evacuation(entry.key.removeprefix(EVACUATED_PREFIX))
        if entry.value is None:
            return None
        if entry.key == CONFIGURATION_KEY:
            return _make_configuration(
                msgspec.json.decode(entry.value, type=SoakConfiguration)
            )
        published = msgspec.json.decode(entry.value, type=SoakTarget)
        target_id = entry.key.removeprefix(TARGET_PREFIX)
        address = parse_address(published.addresses[self._instance])
        self._address_by_target[target_id] = address
        return Target(
            id=target_id,
            service=published.service,
            address=address,
            zone=published.zone,
            slots=published.slots,
            is_draining=published.is_draining,
            software=published.software,
        )


def _parse_parts(value: bytes) -> tuple[PromptPart, ...]:
    parts = [part for part in value.decode().split(",") if part]
    return tuple(PromptPart(part, _PART_TOKENS) for part in parts)


def _parse_event_id(value: bytes | None) -> int | None:
    return None if value is None else int(value)


def _parse_load(value: bytes | None) -> TargetLoad | None:
    if value is None:
        return None
    running, waiting, slots, slowdown = value.split(b",")
    return TargetLoad(int(running), int(waiting), int(slots), float(slowdown))


def _parse_number(value: bytes | None) -> float | None:
    return None if value is None else float(value)


def _make_configuration(declared: SoakConfiguration) -> Configuration:
    routes = [
        _plain_route("book", BOOKING_PREFIX, Kind.ONCE, declared.bookings),
        _plain_route("look", LOOKUP_PREFIX, Kind.IDEMPOTENT, LOOKUPS),
        _stream_route("chat", CHAT_PREFIX, is_resumable=False),
        _stream_route("talk", TALK_PREFIX, is_resumable=True),
    ]
    if declared.trial is not None:
        routes.append(_trial_route(declared.trial))
    services = [
        Service(declared.bookings, 1_000),
        Service(LOOKUPS, 1_000),
        Service(ENGINE, 1_000, engine_slots=32),
        Service(RERANK, 1_000, batching=_BATCHING),
    ]
    teams = [(Team("t"), tuple(declared.keys))]
    return Configuration(declared.version, routes, services, teams, CallerLimits())


def _plain_route(name: str, prefix: str, kind: Kind, service: str) -> Route:
    return Route(
        name=name,
        host=HOST,
        prefix=prefix,
        kind=kind,
        timeout=PLAIN_DEADLINE_S,
        objective=0.2,
        attempts=ATTEMPTS_BY_PREFIX[prefix],
        priority=0,
        shares=(Share(service, 1.0),),
    )


def _stream_route(name: str, prefix: str, *, is_resumable: bool) -> Route:
    return Route(
        name=name,
        host=HOST,
        prefix=prefix,
        kind=Kind.STREAM,
        timeout=CHAT_DEADLINE_S,
        objective=_STREAM_OBJECTIVE_S,
        attempts=ATTEMPTS_BY_PREFIX[prefix],
        priority=1,
        shares=(Share(ENGINE, 1.0),),
        stages=(_CHAT_STAGE,),
        is_resumable=is_resumable,
    )


def _trial_route(rules: TrialRules) -> Route:
    return Route(
        name="trial",
        host=HOST,
        prefix=TRIAL_PREFIX,
        kind=Kind.STREAM,
        timeout=CHAT_DEADLINE_S,
        objective=rules.objective,
        attempts=rules.attempts,
        priority=1,
        shares=(Share(ENGINE, 1.0),),
        stages=(_CHAT_STAGE,) if rules.has_stage else (),
        is_resumable=True,
        event_gap=rules.event_gap,
    )
