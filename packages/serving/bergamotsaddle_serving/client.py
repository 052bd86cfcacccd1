"""Connections to targets and to the store: strict, kept and checked before use."""

import socket
from collections.abc import Iterator, Sequence
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
# A connection between zones takes two trips of a few ms; a target that has not taken
# one after this is dead, cut off or out of places.
CONNECT_LIMIT_S = 0.4
# A machine that is there answers a connection within a trip or two.
_LISTENING_TIMEOUT_S = 0.1
# An instance without power acknowledges nothing. The kernel then ends the connection
# after this time instead of after many minutes.
_UNACKNOWLEDGED_TIMEOUT_MS = 1_500
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# How long an idle connection is kept if the target doesn't say.
_DEFAULT_KEEP_ALIVE_S = 4.0
# A connection that the target is about to close is not used any more: a request that
# meets the close would have an unknown outcome.
_KEEP_ALIVE_MARGIN_S = 0.8
# Bodies above this are sent beside reading the answer, since a target may answer
# before it has read them all.
_MAX_INLINE_SEND = 16_384

# Reasons of a connection that ended before its answer did.
BROKEN_CONNECTION_REASONS = frozenset(("closed", "cut", "reset", "send"))

# Headers that concern one connection only and are not passed on.
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
    """A connection that ended, fell silent or spoke no HTTP.

    Args:
        reason: One word for logs.
        is_unsent: Whether no byte of the request has left.
    """

    def __init__(self, reason: str, *, is_unsent: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.is_unsent = is_unsent


class RawResponseHead(NamedTuple):
    """Status and headers of an answer, header names in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]


class Connection:
    """One connection, for one request after the other.

    Args:
        address: Where to connect.

    Raises:
        ConnectionLostError: If it can't be made in time.
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
        try:
            self._socket.settimeout(max(0.001, limit))
            self._set_options()
            self._socket.connect(tuple(address))
        except OSError as error:
            self._socket.close()
            is_refused = isinstance(error, ConnectionRefusedError)
            reason = "refused" if is_refused else "connect"
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
        """Tell whether an idle connection may carry another request.

        Bytes that wait on an idle connection are a close, or a late second answer
        that would be taken for the next one.
        """
        if now() - self.idle_since > self.keep_alive_seconds - _KEEP_ALIVE_MARGIN_S:
            return False
        poll = _original_select.poll()
        poll.register(self._socket.fileno(), _original_select.POLLIN)
        return not poll.poll(0)

    def send(self, request: HttpCall, *, limit: float) -> int:
        """Send a request.

        Returns:
            Its size in bytes; a large one is still being sent.

        Raises:
            ConnectionLostError: If that failed.
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
            # The reader of the answer meets the same end and tells of it.
            return False
        return True

    def read_head(self, *, limit: float) -> RawResponseHead:
        """Wait for the head of the answer.

        Raises:
            ConnectionLostError: If there is none in time.
        """
        event = self._next_event(limit)
        while isinstance(event, h11.InformationalResponse):
            event = self._next_event(limit)
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("no_head")
        return RawResponseHead(event.status_code, list(event.headers))

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Read the whole body of the answer.

        Args:
            limit: Seconds for all of it.
            max_bytes: Bytes that it may have.

        Raises:
            ConnectionLostError: If it is not whole.
        """
        until = now() + limit
        chunks = []
        size = 0
        while (data := self.read_some(limit=until - now())) is not None:
            chunks.append(data)
            size += len(data)
            if size > max_bytes:
                raise ConnectionLostError("too_long")
        return b"".join(chunks)

    def read_some(self, *, limit: float) -> bytes | None:
        """Read the next part of the body; None at its proper end.

        Raises:
            ConnectionLostError: If the body broke off or nothing came in time.
        """
        event = self._next_event(limit)
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            return None
        raise ConnectionLostError("cut")

    def exchange(
        self, call: HttpCall, *, limit: float, max_bytes: int
    ) -> tuple[RawResponseHead, bytes]:
        """Send a call and read its whole answer; a failure closes the connection.

        Args:
            call: The call.
            limit: Seconds for each step.
            max_bytes: Bytes that the body may have.

        Raises:
            ConnectionLostError: If there is no whole answer in time.
        """
        try:
            self.send(call, limit=limit)
            head = self.read_head(limit=limit)
            return head, self.read_body(limit=limit, max_bytes=max_bytes)
        except BaseException:
            self.close()
            raise

    def prepare_next(self) -> bool:
        """Make ready for another request; False if the connection can't take one."""
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
        """Close it; a target drops the request that it still has from it."""
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
            raise ConnectionLostError("silent")
        try:
            return receive(self._socket, _CHUNK, limit)
        except TimeoutError as error:
            raise ConnectionLostError("silent") from error
        except OSError as error:
            raise ConnectionLostError("reset") from error


class ConnectionPool:
    """Idle connections by address, so that few new ones are made."""

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self.opened = 0

    def acquire(
        self, address: Address, *, limit: float = CONNECT_LIMIT_S
    ) -> Connection:
        """Take an idle connection that is still good, or make one.

        Raises:
            ConnectionLostError: If none can be made in time.
        """
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        self.opened += 1
        return Connection(address, limit=min(limit, CONNECT_LIMIT_S))

    def release(self, connection: Connection, keep_alive_seconds: float | None) -> None:
        """Take back a connection whose answer has been read to its end."""
        if keep_alive_seconds is not None:
            connection.keep_alive_seconds = keep_alive_seconds
        if not connection.prepare_next():
            connection.close()
            return
        self._idle_by_address.setdefault(connection.address, []).append(connection)

    def is_refused(self, address: Address) -> bool:
        """Tell whether nobody listens at an address.

        A connection that is made is kept for the next request.
        """
        try:
            connection = self.acquire(address, limit=_LISTENING_TIMEOUT_S)
        except ConnectionLostError as error:
            return error.reason == "refused"
        self._idle_by_address.setdefault(address, []).append(connection)
        return False

    def prune(self) -> None:
        """Close idle connections that are past their time."""
        for address, idle in list(self._idle_by_address.items()):
            for connection in [c for c in idle if not c.is_usable()]:
                idle.remove(connection)
                connection.close()
            if not idle:
                del self._idle_by_address[address]


def end_to_end_headers(
    headers: Sequence[tuple[bytes, bytes]],
) -> Iterator[tuple[bytes, bytes]]:
    """Yield the headers of an answer that concern more than one connection."""
    for name, value in headers:
        if name not in HOP_BY_HOP_HEADERS:
            yield name, value
