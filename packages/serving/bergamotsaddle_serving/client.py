"""HTTP connections to targets and the store, strictly parsed, pooled and checked."""

import re
import socket
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple, NoReturn

import eventlet
import h11
from eventlet import patcher

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import (
    UNLIMITED,
    BodyMemory,
    MemoryShortError,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._parts import Parts
from bergamotsaddle_serving._sockets import receive
from bergamotsaddle_serving._turn import Turn
from bergamotsaddle_serving.messages import HttpCall

_original_select = patcher.original("select")

_CHUNK_BYTES = 16_384
# Also the maximum size of a chunk's line and of the trailers.
_MAX_HEAD_BYTES = 65_536
_MAX_INTERIM_RESPONSES = 64
# Bytes of a response beside its body: heads, lines of chunks, trailers. The body allows
# for more of them, as chunks may be small.
_MAX_FRAMING_BYTES = 131_072
_MAX_FRAMING_FACTOR = 2
# Parts of a response after which other green threads get to run.
_PARTS_A_TURN = 8
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
# Reason of responses of which more comes than any sound one has beside its body.
ENDLESS = "endless"
# Reason of bodies that are larger than they may be.
TOO_LONG = "too_long"
# Reason of bodies that are larger than this process can hold now.
NO_MEMORY = "no_memory"
# Reason of streams that ended inside an event or before their first one.
UNFINISHED = "unfinished"
# Reason of responses that belong to another request on the same connection.
CROSSED = "crossed"
# Reasons of connections that were closed before the response was complete.
BROKEN_CONNECTION_REASONS = frozenset(("closed", "cut", "reset", "send", UNFINISHED))

_SUCCESS = range(200, 300)
_MAX_STATUS = 599
_VERSIONS = frozenset((b"1.0", b"1.1"))
# A head that broke off inside a value runs into the next one on its connection.
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")
_CONTROLS = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
# Status with which the parser reports a head, a line or trailers without end.
_TOO_LARGE = 431
_WITHOUT_BODY = frozenset((204, 304))
# States of a parser that may hold a part of a response.
_READING_STATES = frozenset((h11.SEND_RESPONSE, h11.SEND_BODY, h11.ERROR))
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
# Start of the names of headers that only instances set, for each other.
INSTANCE_PREFIX = b"bergamotsaddle-"


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


class EndlessError(ConnectionLostError):
    """More came than a response may have, so no answer is expected of it.

    Args:
        reason: One word for logs.
        place: Part of the response that it came in.
        size: Bytes of that part so far, or as stated.
    """

    def __init__(self, reason: str, place: str, size: int) -> None:
        super().__init__(reason)
        self.place = place
        self.size = size

    @property
    def is_certain(self) -> bool:
        """Whether a sound response never has that much."""
        return self.reason != NO_MEMORY


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
        """Whether a length, chunks or the status state where the body ends.

        Without them the body ends with the connection, also if the sender crashes.
        """
        has_body = self.status not in _WITHOUT_BODY
        return not has_body or any(name in _FRAMING_HEADERS for name, _ in self.headers)

    @property
    def body_bytes(self) -> int | None:
        """Size of the body as stated, None if it is not.

        The response to a request for the head alone states it too.
        """
        if self.status in _WITHOUT_BODY:
            return None
        value_by_name = dict(self.headers)
        if b"transfer-encoding" in value_by_name:
            return None
        length = value_by_name.get(b"content-length")
        return None if length is None else int(length)


def _is_malformed(response: h11.Response) -> bool:
    """Return whether a head that the parser accepts is none of a response."""
    texts = (bytes(response.reason), *(value for _, value in response.headers))
    return (
        response.status_code > _MAX_STATUS
        or response.http_version not in _VERSIONS
        or any(map(_STATUS_LINE.search, texts))
        or any(map(_CONTROLS.search, texts))
    )


OnEndless = Callable[[Address, EndlessError], None]


def ignore_endless(address: Address, error: EndlessError) -> None:
    """Ignore a response without end."""


class Connection:
    """A client connection that carries one request after the other.

    Args:
        address: Address to connect to.
        limit: Seconds for connecting.

    Attributes:
        address: Address that it is connected to.
        memory: Memory for bodies. Unless it is replaced, only their size is limited.
        is_reused: Whether it has carried other requests before.
        on_endless: Called with the address and the error when more comes than a
            response may have.

    Raises:
        ConnectionLostError: If the connection can't be made in time.
    """

    def __init__(self, address: Address, *, limit: float = CONNECT_LIMIT_S) -> None:
        self.address = address
        self.memory = UNLIMITED
        self.is_reused = False
        self.on_endless: OnEndless = ignore_endless
        self._turn = Turn(_PARTS_A_TURN)
        # Bytes of the current response, and those of its body among them.
        self._received_bytes = 0
        self._body_bytes = 0
        self._interim_responses = 0
        self._has_head = False
        self._stated_bytes: int | None = None
        self._wants_body = True
        # Whether the memory for a body of the stated size has been taken.
        self._has_reserved = False
        self.idle_since = now()
        self.keep_alive_seconds = _DEFAULT_KEEP_ALIVE_S
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._sender: eventlet.greenthread.GreenThread | None = None
        self._has_send_failed = False
        self._has_peer_closed = False
        # Parts of a body that is being read.
        self._parts = Parts()
        try:
            self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except OSError as error:
            raise ConnectionLostError("connect", is_unsent=True) from error
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
            limit: Seconds for sending it. A large one may take until the connection
                is closed, as its target may pause.

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
        self._wants_body = request.method != b"HEAD"
        parts = [head]
        if request.body:
            parts.append(self._h11.send(h11.Data(data=request.body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        size = sum(map(len, parts))
        if size > _MAX_INLINE_SEND:
            self._socket.settimeout(None)
            # Joining them would copy a long body once more.
            self._sender = eventlet.spawn(self._send_in_background, parts)
            return size
        self._socket.settimeout(max(0.001, limit))
        try:
            self._socket.sendall(memoryview(b"".join(parts)))
        except OSError as error:
            raise ConnectionLostError("send") from error
        return size

    def _send_in_background(self, parts: Sequence[bytes]) -> bool:
        try:
            for part in filter(None, parts):
                self._socket.sendall(memoryview(part))
        except OSError:
            # What has arrived may hold a whole response. A socket reports a reset only
            # once, so the end of what has arrived looks like a proper end.
            self._has_send_failed = True
            return False
        return True

    def read_head(self, *, limit: float) -> RawResponseHead:
        """Read the head of the response, behind any interim responses.

        Args:
            limit: Seconds for all of them.

        Raises:
            EndlessError: If more of them come than before any sound response.
            ConnectionLostError: If no head arrives in time, or parts of two of them.
        """
        until = now() + limit
        event = self._next_event(limit)
        while isinstance(event, h11.InformationalResponse):
            self._interim_responses += 1
            if self._interim_responses > _MAX_INTERIM_RESPONSES:
                self.refuse(ENDLESS, "interim responses", self._received_bytes)
            event = self._next_event(until - now())
        if not isinstance(event, h11.Response):
            raise ConnectionLostError("no_head")
        head = RawResponseHead(event.status_code, list(event.headers))
        if _is_malformed(event):
            raise ConnectionLostError("no_http")
        self._has_head = True
        self._stated_bytes = head.body_bytes if self._wants_body else None
        return head

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Read the whole body of the response.

        What has arrived is kept for the next call if the rest did not arrive in time.

        Args:
            limit: Seconds for the whole body.
            max_bytes: Maximum size of the body.

        Raises:
            EndlessError: If the body is too large.
            ConnectionLostError: If it is incomplete.
        """
        until = now() + limit
        if self._stated_bytes is not None and self._stated_bytes > max_bytes:
            self.refuse(TOO_LONG, "body", self._stated_bytes)
        if self._stated_bytes is not None and not self._has_reserved:
            self._take(self._stated_bytes)
            self._has_reserved = True
        parts = self._parts
        while (data := self.read_some(limit=until - now())) is not None:
            parts.append(data)
            if parts.size > max_bytes:
                self.refuse(TOO_LONG, "body", parts.size)
            if not self._has_reserved:
                self._take(len(data))
        return parts.join()

    def _take(self, size: int) -> None:
        try:
            self.memory.take(size)
        except MemoryShortError as error:
            self.refuse(NO_MEMORY, "body", error.size)

    def read_some(self, *, limit: float) -> bytes | bytearray | None:
        """Read the next chunk of the body; return None at its proper end.

        Args:
            limit: Seconds to wait for the chunk.

        Raises:
            ConnectionLostError: If the body was cut off or no data arrived in time.
        """
        event = self._next_event(limit)
        if isinstance(event, h11.Data):
            self._body_bytes += len(event.data)
            return event.data
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
        self.is_reused = True
        self._sender = None
        self._received_bytes = self._body_bytes = self._interim_responses = 0
        self._has_head = False
        self._stated_bytes = None
        self._has_reserved = False
        self.memory.close()
        self.idle_since = now()
        return True

    def close(self) -> None:
        """Close the connection; the target drops a request that is still running."""
        self._socket.close()
        # The error that ended the reading may refer to what was read for longer.
        self._parts.clear()
        if self._h11.their_state in _READING_STATES:
            self._h11 = h11.Connection(h11.CLIENT)
        self.memory.close()
        # Another error for this green thread may arrive while it waits for the end of
        # the sender.
        if self._sender is not None and not self._sender.dead:
            self._sender.kill()

    def refuse(self, reason: str, place: str, size: int) -> NoReturn:
        """Report that more came than the response may have.

        Args:
            reason: One word for logs.
            place: Part of the response that it came in.
            size: Bytes of that part so far, or as stated.

        Raises:
            EndlessError: Always.
        """
        error = EndlessError(reason, place, size)
        self.on_endless(self.address, error)
        raise error

    def _next_event(self, limit: float) -> object:
        until = now() + limit
        while True:
            self._turn.step()
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                if error.error_status_hint == _TOO_LARGE:
                    self._refuse_framing()
                reason = "closed" if self._has_peer_closed else "no_http"
                raise ConnectionLostError(reason) from error
            if event is not h11.NEED_DATA:
                return event
            framing = self._received_bytes - self._body_bytes
            allowed = _MAX_FRAMING_BYTES + _MAX_FRAMING_FACTOR * self._body_bytes
            if framing > allowed:
                self._refuse_framing()
            data = self._receive(until - now())
            self._has_peer_closed = not data
            self._received_bytes += len(data)
            self._h11.receive_data(data)

    def _refuse_framing(self) -> NoReturn:
        place = "framing" if self._has_head else "head"
        self.refuse(ENDLESS, place, self._received_bytes - self._body_bytes)

    def _receive(self, limit: float) -> bytes:
        if limit <= 0:
            raise ConnectionLostError(SILENT)
        try:
            data = receive(self._socket, _CHUNK_BYTES, limit, turn=self._turn)
        except TimeoutError as error:
            raise ConnectionLostError(SILENT) from error
        except OSError as error:
            raise ConnectionLostError("reset") from error
        if not data and self._has_send_failed:
            raise ConnectionLostError("reset")
        return data


class ConnectionPool:
    """A pool of idle connections by address.

    Args:
        memory: Memory for the bodies of responses, None if only their size is limited.
        on_endless: Called with the address and the error when more comes than a
            response may have.

    Attributes:
        opened: Number of connections opened so far.
        last_acquired_at: When a connection was last acquired to send something.
        last_response_at: When a part of a response was last read.
        on_opened: Called with each address to which a connection was opened, and
            whether that succeeded.
        on_refused: Called with each address that refused a connection.
    """

    def __init__(
        self,
        *,
        memory: BodyMemory | None = None,
        on_endless: OnEndless = ignore_endless,
    ) -> None:
        self._memory = memory
        self._on_endless = on_endless
        self._idle_by_address: dict[Address, list[Connection]] = {}
        self.opened = 0
        self.last_acquired_at = float("-inf")
        self.last_response_at = float("-inf")
        self.on_opened: Callable[[Address, bool], None] = lambda address, is_open: None
        self.on_refused: Callable[[Address], None] = lambda address: None

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
        idle = self.take_idle(address)
        return self.open(address, limit=limit) if idle is None else idle

    def take_idle(self, address: Address) -> Connection | None:
        """Return a usable idle connection, None if there is none."""
        idle = self._idle_by_address.get(address)
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                self.last_acquired_at = now()
                return connection
            connection.close()
        return None

    def open(self, address: Address, *, limit: float = CONNECT_LIMIT_S) -> Connection:
        """Return a new connection, in place of an idle one if there is any.

        A target resets connections beyond those that it accepts from all instances.

        Args:
            address: Address to connect to.
            limit: Seconds for connecting, at most ``CONNECT_LIMIT_S``.

        Raises:
            ConnectionLostError: If it can't be made in time.
        """
        self.last_acquired_at = now()
        if idle := self._idle_by_address.get(address):
            idle.pop().close()
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
            connection = self.connect(address, limit=limit)
        except ConnectionLostError as error:
            self.on_opened(address, False)
            if error.reason == CONNECTION_REFUSED:
                self.on_refused(address)
            raise
        self.on_opened(address, True)
        return connection

    def connect(
        self, address: Address, *, limit: float = CONNECT_LIMIT_S
    ) -> Connection:
        """Return a new connection that the pool knows nothing of.

        Args:
            address: Address to connect to.
            limit: Seconds for connecting.

        Raises:
            ConnectionLostError: If it can't be made in time.
        """
        connection = Connection(address, limit=limit)
        if self._memory is not None:
            connection.memory = self._memory.open()
        connection.on_endless = self._on_endless
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

        An idle connection says nothing of that: the kernel closes those of a process
        that has ended one after the other. If a new one is accepted, the pool keeps it
        for the next request.
        """
        try:
            connection = self.open(address, limit=_LISTENING_TIMEOUT_S)
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
    """Yield the headers of a response that apply to more than one connection.

    Those of instances are left out: in a target's response they would tell the instance
    that handed the request over what no instance has said.
    """
    for name, value in headers:
        if name not in HOP_BY_HOP_HEADERS and not name.startswith(INSTANCE_PREFIX):
            yield name, value
