"""Callers of a soak, which use connections in all ways that HTTP allows."""

import random
import re
import socket
from collections.abc import Callable, Iterable
from itertools import count
from typing import NamedTuple

import eventlet
import h11

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.soak_dialect import (
    BOOKING_PREFIX,
    CHAT_DEADLINE_S,
    CHAT_PREFIX,
    HOST,
    LOOKUP_PREFIX,
    PLAIN_DEADLINE_S,
    STREAM_PREFIXES,
    TALK_PREFIX,
)

_CHUNK = 65_536
_MAX_PAUSE_S = 0.3
_MAX_BODY_BYTES = 20_000
_UPLOAD_FRACTION = 0.2
# More than the kernel takes at once.
_MIN_UPLOAD_BYTES = 240_000
_MAX_UPLOAD_BYTES = 320_000
_SLOW_PARTS = 4
_MAX_SLOW_PAUSE_S = 0.08
_MAX_REQUESTS = 6
_MAX_TAKE_UPS = 4
# Streams that callers leave to take them up at another instance.
_LEFT = 0.3
_MAX_EVENTS_TO_LEAVE = 6
_CONNECT_TIMEOUT_S = 1.0
# What a helper has less of the time until the deadline.
HELPER_RESERVE_S = 0.02
# A caller waits somewhat longer than its deadline for a late response.
_READ_MARGIN_S = 2.0
_MS = 0.001
_TOPICS = 3
_OK = 200
# Status of a response whose head is none.
MALFORMED = -1
_HEAD_END = b"\r\n\r\n"
# Targets name a request in the first one, instances in the second one.
_ID_HEADERS = (b"id", b"x-request-id")
_EVENT = re.compile(rb"id: ([0-9]+)\ndata: ([^\n]*)\n\n")


class SentRequest(NamedTuple):
    """A request before it is sent.

    Attributes:
        id: Its id.
        path: Its path.
        key: API key.
        body: Its body.
        resumes: Id of the request that brought the first event of the stream, empty
            unless the stream is taken up again.
        last_event: Number of the last event that its caller has, -1 if it has none.
        waited: Seconds for which its caller has waited before.
        parts: Ids of the parts of its prompt.
    """

    id: str
    path: str
    key: str
    body: bytes
    resumes: str = ""
    last_event: int = -1
    waited: float = 0.0
    parts: tuple[str, ...] = ()

    @property
    def stream(self) -> str:
        """Id of the request that began the stream."""
        return self.resumes or self.id

    @property
    def prefix(self) -> str:
        """Prefix of its path, which selects the route."""
        return "/" + self.path.split("/")[1] + "/"

    @property
    def deadline(self) -> float:
        """Seconds from its first byte for which the caller waits."""
        is_chat = self.path.startswith(STREAM_PREFIXES)
        return (CHAT_DEADLINE_S if is_chat else PLAIN_DEADLINE_S) - self.waited

    def encode(self) -> bytes:
        """Encode the whole request."""
        resumption = ""
        if self.resumes:
            resumption = (
                f"Resumes: {self.resumes}\r\nLast-Event-Id: {self.last_event}\r\n"
            )
        head = (
            f"POST {self.path} HTTP/1.1\r\nHost: {HOST}\r\nId: {self.id}\r\n"
            f"Key: {self.key}\r\nDeadline-Ms: {self.deadline / _MS:.0f}\r\n"
            f"Sent-At: {now():.6f}\r\n{resumption}Parts: {','.join(self.parts)}\r\n"
            f"Content-Length: {len(self.body)}\r\n\r\n"
        )
        return head.encode() + self.body


class Exchange(NamedTuple):
    """A request that was sent as a whole, and what its caller got.

    Attributes:
        request: The request.
        host: IP address of the instance that it was sent to.
        started_at: When its first byte was sent, on the hub's clock.
        sent_at: When its last byte was sent.
        ended_at: When the response or the connection ended.
        status: HTTP status, 0 without a response, MALFORMED if its head is none.
        is_complete: Whether the response came to its proper end.
        body: What was received of the response's body.
        longest_pause: Longest time in which nothing of the response came, in seconds.
        answered: Id of the request that the response names, empty if it names none.
        is_behind_break: Whether an earlier response on its connection broke off.
        has_left: Whether the caller closed the connection in the middle of a stream.
    """

    request: SentRequest
    host: str
    started_at: float
    sent_at: float
    ended_at: float
    status: int
    is_complete: bool
    body: bytes = b""
    longest_pause: float = 0.0
    answered: str = ""
    is_behind_break: bool = False
    has_left: bool = False

    @property
    def events(self) -> list[tuple[int, bytes]]:
        """Number and data of each event that it brought."""
        return [(int(n), data) for n, data in _EVENT.findall(self.body)]

    @property
    def is_resumable(self) -> bool:
        """Whether it brought a part of a stream that may be taken up again."""
        is_talk = self.request.path.startswith(TALK_PREFIX)
        return is_talk and not self.is_complete and bool(self.events)

    @property
    def has_time_left(self) -> bool:
        """Whether it ended before its deadline passed at a helper.

        An instance that hands a request over keeps some time for the response.
        """
        seconds = self.ended_at - self.started_at
        return seconds < self.request.deadline - HELPER_RESERVE_S

    @property
    def is_in_time(self) -> bool:
        """Whether it ended before the deadline of the request."""
        return self.ended_at - self.started_at < self.request.deadline


class ReceivedResponse(NamedTuple):
    """What a caller received of a response.

    Attributes:
        status: HTTP status, 0 without a response, MALFORMED if its head is none.
        is_complete: Whether the response came to its proper end.
        body: The bytes of its body.
        longest_pause: Longest time in which nothing came, in seconds.
        answered: Id of the request that it names, empty if it names none.
    """

    status: int
    is_complete: bool
    body: bytes
    longest_pause: float = 0.0
    answered: str = ""


class CallerSocket:
    """One connection, with responses in the order of the requests.

    Args:
        address: Host and port of an instance.

    Raises:
        OSError: If the instance accepts no connection.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        self._socket = socket.create_connection(address, timeout=_CONNECT_TIMEOUT_S)
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._buffered = b""
        # Ids of requests whose responses may still come.
        self._overdue: set[str] = set()
        self.is_open = True

    def send(self, data: bytes) -> None:
        """Send bytes.

        Raises:
            OSError: If the connection is gone.
        """
        self._socket.sendall(data)

    def read(
        self,
        request_id: str,
        limit: float,
        *,
        max_events: int | None = None,
        on_data: Callable[[], None] = lambda: None,
    ) -> ReceivedResponse:
        """Read the response to a request, behind late ones to earlier requests.

        Args:
            request_id: Id of the request.
            limit: Seconds to wait for each part of a response.
            max_events: Number of events after which to stop, None for all.
            on_data: Called when a part of its body has arrived.
        """
        while True:
            response = self._read_next(limit, max_events, on_data)
            if not response.is_complete or response.answered not in self._overdue:
                break
            self._overdue.discard(response.answered)
        if not response.is_complete:
            self._overdue.add(request_id)
        if response.answered in self._overdue - {request_id}:
            # A part of a late response. Nothing has come of the awaited one.
            return ReceivedResponse(0, False, b"", response.longest_pause)
        return response

    def _read_next(
        self, limit: float, max_events: int | None, on_data: Callable[[], None]
    ) -> ReceivedResponse:
        """Read the next response on the connection."""
        received = self._buffered
        parser = self._start_parser()
        self._socket.settimeout(limit)
        status = 0
        answered = ""
        body = b""
        pause, since = 0.0, now()
        try:
            while True:
                event = parser.next_event()
                if event is h11.NEED_DATA:
                    data = self._socket.recv(_CHUNK)
                    received += b"" if status else data
                    parser.receive_data(data)
                    pause, since = max(pause, now() - since), now()
                elif isinstance(event, h11.Response):
                    status = event.status_code
                    answered = _find_id(event.headers)
                elif isinstance(event, h11.Data):
                    body += bytes(event.data)
                    on_data()
                    if max_events and len(_EVENT.findall(body)) >= max_events:
                        break
                elif isinstance(event, h11.EndOfMessage):
                    self._buffered = parser.trailing_data[0]
                    self.is_open = parser.their_state is not h11.MUST_CLOSE
                    return ReceivedResponse(status, True, body, pause, answered)
                elif isinstance(event, h11.ConnectionClosed):
                    break
        except OSError:
            # The instance closed or reset the connection; the audit judges that.
            status = status or 0
        except h11.RemoteProtocolError:
            # The same, unless a whole head has come.
            if not status and _HEAD_END in received:
                status = MALFORMED
        self.is_open = False
        pause = max(pause, now() - since)
        return ReceivedResponse(status, False, body, pause, answered)

    def _start_parser(self) -> h11.Connection:
        """Return a parser of a response, which has what was read ahead."""
        parser = h11.Connection(h11.CLIENT)
        headers = [("host", HOST), ("content-length", "0")]
        parser.send(h11.Request(method="POST", target="/", headers=headers))
        parser.send(h11.EndOfMessage())
        if self._buffered:
            parser.receive_data(self._buffered)
            self._buffered = b""
        return parser

    def close(self) -> None:
        """Close the connection."""
        self._socket.close()


def _find_id(headers: Iterable[tuple[bytes, bytes]]) -> str:
    """Return the id of the request that a response names, empty if it names none."""
    by_name = dict(headers)
    return next((by_name[n].decode() for n in _ID_HEADERS if n in by_name), "")


Send = Callable[[CallerSocket, list[SentRequest], random.Random], None]
SENDERS: dict[str, Send] = {}


def register_sender(name: str) -> Callable[[Send], Send]:
    """Return a decorator that registers a way to send requests."""

    def add(function: Send) -> Send:
        SENDERS[name] = function
        return function

    return add


@register_sender("one by one")
def send_one(
    connection: CallerSocket, requests: list[SentRequest], rng: random.Random
) -> None:
    """Send the first request at once."""
    del requests[1:]
    connection.send(requests[0].encode())


@register_sender("pipelined")
def send_pipelined(
    connection: CallerSocket, requests: list[SentRequest], rng: random.Random
) -> None:
    """Send all requests at once."""
    connection.send(b"".join(request.encode() for request in requests))


@register_sender("slow")
def send_slowly(
    connection: CallerSocket, requests: list[SentRequest], rng: random.Random
) -> None:
    """Send the first request in parts, which may end within its head."""
    del requests[1:]
    data = requests[0].encode()
    cuts = sorted(rng.randrange(len(data)) for _ in range(_SLOW_PARTS - 1))
    for start, end in zip([0, *cuts], [*cuts, len(data)], strict=True):
        connection.send(data[start:end])
        eventlet.sleep(rng.uniform(0.0, _MAX_SLOW_PAUSE_S))


class SoakCaller:
    """Sends requests over one connection after the other.

    Args:
        number: Number of the caller, part of its requests' ids.
        pick_address: Returns the address of an instance that accepts callers.
        pick_key: Returns an API key.
        rng: Chooses requests, bodies and pauses.
        has_uploads: Whether some of the bodies are long.

    Attributes:
        exchanges: Requests that were sent as a whole.
        partial: Number of requests that were cut off while they were sent.
        is_stopped: Whether the caller ends after its current requests.
    """

    def __init__(
        self,
        number: int,
        pick_address: Callable[[], tuple[str, int]],
        pick_key: Callable[[], str],
        rng: random.Random,
        *,
        has_uploads: bool = False,
    ) -> None:
        self._has_uploads = has_uploads
        self._number = number
        self._pick_address = pick_address
        self._pick_key = pick_key
        self._rng = rng
        self._ids = count()
        self._send = [*SENDERS.values()][number % len(SENDERS)]
        self.exchanges: list[Exchange] = []
        self.partial = 0
        self.is_stopped = False

    def run(self) -> None:
        """Send requests until the caller is stopped."""
        while not self.is_stopped:
            address = self._pick_address()
            try:
                connection = CallerSocket(address)
            except OSError:
                # The instance has just stopped; the next one is tried.
                eventlet.sleep(self._rng.uniform(0.0, _MAX_PAUSE_S))
                continue
            try:
                self._use(connection, address[0])
            finally:
                connection.close()

    def _use(self, connection: CallerSocket, host: str) -> None:
        for _ in range(self._rng.randint(1, _MAX_REQUESTS)):
            requests = [self._make_request() for _ in range(2)]
            started_at = now()
            try:
                self._send(connection, requests, self._rng)
            except OSError:
                self.partial += 1
                return
            sent_at = now()
            is_broken = False
            for request in requests:
                max_events = self._pick_events_to_read(request)
                limit = request.deadline + _READ_MARGIN_S
                response = connection.read(request.id, limit, max_events=max_events)
                times = (started_at, sent_at, now())
                exchange = Exchange(request, host, *times, *response, is_broken)
                has_left = max_events is not None and exchange.is_resumable
                if has_left:
                    connection.close()
                self.exchanges.append(exchange._replace(has_left=has_left))
                is_broken |= not response.is_complete
                if exchange.is_resumable:
                    self._take_up(exchange)
                if has_left:
                    return
            if self.is_stopped or not connection.is_open:
                return
            # Half of the requests follow the response at once.
            if self._rng.random() < 0.5:
                eventlet.sleep(self._rng.uniform(0.0, _MAX_PAUSE_S))

    def _pick_events_to_read(self, request: SentRequest) -> int | None:
        """Return after how many events to leave a stream, None to read all of it."""
        is_left = request.path.startswith(TALK_PREFIX) and self._rng.random() < _LEFT
        return self._rng.randint(1, _MAX_EVENTS_TO_LEAVE) if is_left else None

    def _take_up(self, exchange: Exchange) -> None:
        """Take a stream that broke off up again, at any instance."""
        first = exchange.request
        last_event = exchange.events[-1][0]
        for number in range(1, _MAX_TAKE_UPS + 1):
            eventlet.sleep(self._rng.uniform(0.0, _MAX_PAUSE_S))
            waited = now() - exchange.started_at
            if waited >= first.deadline:
                return
            again = first._replace(
                id=f"{first.id}.{number}",
                key=self._pick_key(),
                resumes=first.id,
                last_event=last_event,
                waited=waited,
            )
            taken = self._send_again(again)
            if taken is None:
                continue
            self.exchanges.append(taken)
            if taken.is_complete and taken.status == _OK:
                return
            if taken.events:
                last_event = taken.events[-1][0]

    def _send_again(self, request: SentRequest) -> Exchange | None:
        """Send one request over a connection of its own, None if there is none."""
        address = self._pick_address()
        started_at = now()
        try:
            connection = CallerSocket(address)
            connection.send(request.encode())
        except OSError:
            return None
        sent_at = now()
        response = connection.read(request.id, request.deadline + _READ_MARGIN_S)
        connection.close()
        return Exchange(request, address[0], started_at, sent_at, now(), *response)

    def _make_request(self) -> SentRequest:
        request = f"c{self._number}-{next(self._ids)}"
        prefix = self._rng.choice(
            [BOOKING_PREFIX, LOOKUP_PREFIX, CHAT_PREFIX, TALK_PREFIX]
        )
        size = self._rng.randrange(_MAX_BODY_BYTES)
        if self._has_uploads and self._rng.random() < _UPLOAD_FRACTION:
            size = self._rng.randrange(_MIN_UPLOAD_BYTES, _MAX_UPLOAD_BYTES)
        parts = ()
        if prefix in STREAM_PREFIXES:
            parts = ("system", f"topic{self._number % _TOPICS}", request)
        body = b"x" * size
        key = self._pick_key()
        return SentRequest(request, prefix + request, key, body, parts=parts)
