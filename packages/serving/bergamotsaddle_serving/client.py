"""HTTP connections to targets and the store, strictly parsed, pooled and checked."""

import socket
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import eventlet
import h11
from eventlet import patcher

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._sockets import receive
from bergamotsaddle_serving.messages import HttpCall

_original_select = patcher.original("select")

_CHUNK = 65_536
_MAX_HEAD_BYTES = 65_536
# Connecting between zones takes two trips of a few ms. A target that has not accepted
# after this time is dead, unreachable or out of connections.
CONNECT_LIMIT_S = 0.4
# A reachable machine accepts or refuses a connection within a trip or two.
_LISTENING_TIMEOUT_S = 0.1
# A machine that has lost power acknowledges nothing. The kernel then closes the
# connection after this time instead of after many minutes. Once it is set, it also
# decides when unanswered keep-alive probes close an idle connection, whatever their
# number. A sound target may be silent for a second or two, so a probe that follows such
# a silence must still be answered in time.
_UNACKNOWLEDGED_TIMEOUT_MS = 3_500
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
# How long an idle connection is kept if the target names no time.
_DEFAULT_KEEP_ALIVE_S = 4.0
# An idle connection is not reused this long before the target closes it: a request that
# is sent while the target closes would have an unknown outcome.
_KEEP_ALIVE_MARGIN_S = 0.8
# Requests larger than this are sent while the response is read, because a target may
# respond before it has read the whole body.
_MAX_INLINE_SEND = 16_384

# Reason of connections that the peer's machine refused, since nothing listens there.
CONNECTION_REFUSED = "refused"
# Reason of connections whose response did not arrive in time.
SILENT = "silent"
# Reason of streams that ended inside an event or before their first one.
UNFINISHED = "unfinished"
# Reasons of connections that were closed before the response was complete.
BROKEN_CONNECTION_REASONS = frozenset(("closed", "cut", "reset", "send", UNFINISHED))

_SUCCESS = range(200, 300)
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))
# Headers that apply to one connection only and are not forwarded.
HOP_BY_HOP_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
    )
)


class ConnectionLostError(BergamotsaddleError):
    """A connection was refused, closed or silent, or its peer violated HTTP.

    Args:
        reason: One word for logs.
        is_unsent: Whether no byte of the request has been sent.
    """

    def __init__(self, reason: str, *, is_unsent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_unsent = is_unsent


class RawResponseHead(NamedTuple):
    """Status and headers of a response, header names in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return self.status in _SUCCESS

    @property
    def is_framed(self) -> bool:
        """Whether a length or chunks state where the body ends.

        Without them the body ends with the connection, also if the sender crashes.
        """
        return any(name in _FRAMING_HEADERS for name, _ in self.headers)


class Connection:
    """A client connection that carries one request after the other.

    Args:
        address: Address to connect to.
        limit: Seconds for connecting.

    Raises:
        ConnectionLostError: If the connection can't be made in time.
    """

    def __init__(self, address: Address, *, limit: float = CONNECT_LIMIT_S) -> None:
        self.address = address
        self.idle_since = now()
        self.keep_alive_seconds = _DEFAULT_KEEP_ALIVE_S
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._sender: eventlet.greenthread.GreenThread | None = None
        self._has_peer_closed = False
        # Chunks of a body that is being read.
        self._chunks: list[bytes] = []
        try:
            self._socket.settimeout(max(0.001, limit))
            self._set_options()
            self._socket.connect(tuple(address))
        except OSError as error:
            self._socket.close()
            is_refused = isinstance(error, ConnectionRefusedError)
            reason = CONNECTION_REFUSED if is_refused else "connect"
            raise ConnectionLostError(reason, is_unsent=True) from error

    def _set_options(self) -> None:
        sock = self._socket
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_TIMEOUT_MS
        )
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)

    def is_usable(self) -> bool:
        """Return whether an idle connection may carry another request.

        A readable idle connection was closed, or holds a late second response that
        would be taken for the response to the next request.
        """
        if now() - self.idle_since > self.keep_alive_seconds - _KEEP_ALIVE_MARGIN_S:
            return False
        poll = _original_select.poll()
        poll.register(self._socket.fileno(), _original_select.POLLIN)
        return not poll.poll(0)

    def send(self, request: HttpCall, *, limit: float) -> int:
        """Send a request.

        Args:
            request: The request.
            limit: Seconds for sending it.

        Returns:
            Size of the request in bytes. A large one is still being sent.

        Raises:
            ConnectionLostError: If sending failed.
        """
        head = self._h11.send(
            h11.Request(
                method=request.method, target=request.path, headers=request.headers
            )
        )
        data = head
        if request.body:
            data += self._h11.send(h11.Data(data=request.body))
        data += self._h11.send(h11.EndOfMessage())
        self._socket.settimeout(max(0.001, limit))
        if len(data) > _MAX_INLINE_SEND:
            self._sender = eventlet.spawn(self._send_in_background, data)
            return len(data)
        try:
            self._socket.sendall(data)
        except OSError as error:
            raise ConnectionLostError("send") from error
        return len(data)

    def _send_in_background(self, data: bytes) -> bool:
        try:
            self._socket.sendall(data)
        except OSError:
            # Reading the response fails as well and reports the error.
            return False
        return True

    def read_head(self, *, limit: float) -> RawResponseHead:
        """Read the head of the response.

        Args:
            limit: Seconds for each event of the parser.

        Raises:
            ConnectionLostError: If no head arrives in time.
        """
        event = self._next_event(limit)
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event(limit)
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("no_head")
        return RawResponseHead(event.status_code, list(event.headers))

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Read the whole body of the response.

        What has arrived is kept for the next call if the rest did not arrive in time.

        Args:
            limit: Seconds for the whole body.
            max_bytes: Maximum size of the body.

        Raises:
            ConnectionLostError: If the body is incomplete or too large.
        """
        until = now() + limit
        chunks = self._chunks
        size = sum(map(len, chunks))
        while (data := self.read_some(limit=until - now())) is not None:
            chunks.append(data)
            size += len(data)
            if size > max_bytes:
                raise ConnectionLostError("too_long")
        self._chunks = []
        return b"".join(chunks)

    def read_some(self, *, limit: float) -> bytes | None:
        """Read the next chunk of the body; return None at its proper end.

        Args:
            limit: Seconds to wait for the chunk.

        Raises:
            ConnectionLostError: If the body was cut off or no data arrived in time.
        """
        event = self._next_event(limit)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError("cut")

    def exchange(
        self,
        call: HttpCall,
        *,
        limit: float,
        max_bytes: int,
        body_limit: float | None = None,
    ) -> tuple[RawResponseHead, bytes]:
        """Send a call and read its whole response; a failure closes the connection.

        Args:
            call: The call.
            limit: Seconds for each of sending, the head and the body.
            max_bytes: Maximum size of the response's body.
            body_limit: Seconds for the body, where they differ from the limit.

        Raises:
            ConnectionLostError: If no complete response arrives in time.
        """
        try:
            self.send(call, limit=limit)
            head = self.read_head(limit=limit)
            body_limit = limit if body_limit is None else body_limit
            return head, self.read_body(limit=body_limit, max_bytes=max_bytes)
        except BaseException:
            self.close()
            raise

    def prepare_next(self) -> bool:
        """Prepare for another request; return False if that is not possible."""
        sender = self._sender
        if sender is not None and not (sender.dead and sender.wait()):
            return False
        if self._h11.trailing_data[0] or self._h11.their_state is not h11.DONE:
            return False
        if self._h11.our_state is not h11.DONE:
            return False
        self._h11.start_next_cycle()
        self._sender = None
        self.idle_since = now()
        return True

    def close(self) -> None:
        """Close the connection; the target drops a request that is still running."""
        if self._sender is not None and not self._sender.dead:
            self._sender.kill()
        self._socket.close()

    def _next_event(self, limit: float) -> object:
        until = now() + limit
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                reason = "closed" if self._has_peer_closed else "no_http"
                raise ConnectionLostError(reason) from error
            if event is not h11.NEED_DATA:
                return event
            data = self._receive(until - now())
            self._has_peer_closed = not data
            self._h11.receive_data(data)

    def _receive(self, limit: float) -> bytes:
        if limit <= 0:
            raise ConnectionLostError(SILENT)
        try:
            return receive(self._socket, _CHUNK, limit)
        except TimeoutError as error:
            raise ConnectionLostError(SILENT) from error
        except OSError as error:
            raise ConnectionLostError("reset") from error


class ConnectionPool:
    """A pool of idle connections by address.

    Attributes:
        opened: Number of connections opened so far.
        last_acquired_at: When a connection was last acquired to send something.
        last_response_at: When a part of a response was last read.
        on_opened: Called with each address to which a connection was opened, and
            whether that succeeded.
    """

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self.opened = 0
        self.last_acquired_at = float("-inf")
        self.last_response_at = float("-inf")
        self.on_opened: Callable[[Address, bool], None] = lambda address, is_open: None

    def acquire(
        self, address: Address, *, limit: float = CONNECT_LIMIT_S
    ) -> Connection:
        """Return a usable idle connection, or open a new one.

        Args:
            address: Address to connect to.
            limit: Seconds for connecting, at most ``CONNECT_LIMIT_S``.

        Raises:
            ConnectionLostError: If no connection can be made in time.
        """
        self.last_acquired_at = now()
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return self._open(address, min(limit, CONNECT_LIMIT_S))

    def probe(self, address: Address, limit: float) -> bool:
        """Return whether a new connection to an address can be opened.

        The pool keeps the connection for the next request.

        Args:
            address: Address to connect to.
            limit: Seconds for connecting.
        """
        try:
            connection = self._open(address, limit)
        except ConnectionLostError:
            # The result says that it failed, and the listener records it.
            return False
        self._idle_by_address.setdefault(address, []).append(connection)
        return True

    def _open(self, address: Address, limit: float) -> Connection:
        self.opened += 1
        try:
            connection = Connection(address, limit=limit)
        except ConnectionLostError:
            self.on_opened(address, False)
            raise
        self.on_opened(address, True)
        return connection

    def release(self, connection: Connection, keep_alive_seconds: float | None) -> None:
        """Return a connection to the pool after its response was read to the end.

        Args:
            connection: The connection.
            keep_alive_seconds: How long the target keeps it open, None if unknown.
        """
        if keep_alive_seconds is not None:
            connection.keep_alive_seconds = keep_alive_seconds
        self.last_response_at = now()
        if not connection.prepare_next():
            connection.close()
            return
        self._idle_by_address.setdefault(connection.address, []).append(connection)

    def is_refused(self, address: Address) -> bool:
        """Return whether an address refuses connections.

        If a connection is accepted, the pool keeps it for the next request.
        """
        try:
            connection = self.acquire(address, limit=_LISTENING_TIMEOUT_S)
        except ConnectionLostError as error:
            return error.reason == CONNECTION_REFUSED
        self._idle_by_address.setdefault(address, []).append(connection)
        return False

    def prune(self) -> None:
        """Close idle connections that may not carry another request."""
        for address, idle in list(self._idle_by_address.items()):
            for connection in [c for c in idle if not c.is_usable()]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle_by_address[address]


def end_to_end_headers(
    headers: Sequence[tuple[bytes, bytes]],
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers of a response that apply to more than one connection."""
    for name, value in headers:
        if name not in HOP_BY_HOP_HEADERS:
            yield name, value
