"""Callers' connections: strict parsing, limits, and detection of disconnects."""

import contextlib
import re
import socket
import struct
from collections.abc import Callable
from math import inf
from typing import NamedTuple

import eventlet
import h11
from eventlet.greenthread import GreenThread
from greenlet import greenlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    RequestError,
)
from bergamotsaddle_daemon.body_memory import BodyMemory, MemoryShortError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._parts import Parts
from bergamotsaddle_serving._turn import Turn
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.messages import RawHeaders

_CHUNK = 65_536
# Bytes of a request's body beside its content: lines of chunks and trailers. The
# content allows for more of them, as chunks may be small.
_MAX_FRAMING_BYTES = 131_072
_MAX_FRAMING_FACTOR = 2
# Parts of a request or of a response after which other green threads get to run.
_PARTS_A_TURN = 8
_HEAD_END = b"\r\n\r\n"
_BARE_LINE_END = re.compile(rb"(?<!\r)\n|\r(?!\n)")
_LENGTH_LINE = re.compile(rb"\r\ncontent-length[ \t]*:", re.IGNORECASE)
_FOLDED = re.compile(rb"\r\n[ \t]")
# A body takes far less on any link that is fast enough for deadlines of seconds.
_BODY_TIMEOUT_S = 10.0
# A caller that does not read its response for this long counts as gone.
_WRITE_TIMEOUT_S = 10.0
# Maximum number of bytes buffered of requests that a caller sends ahead.
_MAX_BUFFERED = 262_144
# SO_LINGER enabled with a time of 0: closing sends a reset instead of a proper end.
_RESET = struct.pack("ii", 1, 0)
_NO_RESET = struct.pack("ii", 0, 0)
# When the caller of a request that there was no memory for may try again.
_RETRY_S = 1.0
# When a green thread closes a green socket, another one that reads from it gets an
# EOFError. Uncaught, the error propagates from the hub and ends the process, while a
# stopping instance is still sending responses.
_CONNECTION_ERRORS = (OSError, EOFError)


class CallerLeftError(BergamotsaddleError):
    """The caller closed its connection before its response was complete."""


class _StopWaitingError(BergamotsaddleError):
    """The connection is to be closed unless a request has arrived."""


class RawRequest(NamedTuple):
    """A complete request as received.

    Attributes:
        method: HTTP method.
        path: Path and query, unchanged.
        headers: Headers, names in lower case.
        body: The complete body.
        started_at: Time on the hub's clock when its first byte was read.
        is_from_peer: Whether another instance handed it over.
    """

    method: bytes
    path: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    started_at: float
    is_from_peer: bool = False


class CallerConnection:
    """One connection of a caller.

    Args:
        sock: The accepted socket.
        limits: Returns the limits in force.
        is_stopping: Returns whether this instance is stopping.
        is_peer: Whether it is a connection of another instance.
        memory: Memory for the bodies of requests. Unless it is given, only their size
            is limited.

    Attributes:
        is_peer: Whether another instance hands over requests of its callers on it.
        is_idle: Whether the connection waits for the first byte of a request.
        must_close: Whether it has to be closed after the current response.
        has_started: Whether a response to the current request has been started.
    """

    def __init__(
        self,
        sock: socket.socket,
        limits: Callable[[], CallerLimits],
        is_stopping: Callable[[], bool],
        *,
        is_peer: bool = False,
        memory: BodyMemory | None = None,
    ) -> None:
        self.is_peer = is_peer
        memory = memory or BodyMemory(inf)
        self._body_share = memory.open()
        # For what the caller sends ahead.
        self._ahead_share = memory.open()
        self._socket = sock
        self._limits = limits
        self._is_stopping = is_stopping
        self._buffered: bytes | bytearray = b""
        self._turn = Turn(_PARTS_A_TURN)
        self._waiter: greenlet | None = None
        self._is_closing = False
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_BUFFERED)
        self.is_idle = True
        self.must_close = False
        self.has_started = False
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self) -> RawRequest | None:
        """Read the next request; return None if the caller sends no more.

        The memory for its body is taken until ``release_body``.

        Raises:
            RequestError: If the request is invalid, too large or too slow, or there is
                no memory for its body.
            CallerLeftError: If the caller disconnected in the middle of it.
        """
        self.is_idle = True
        self.has_started = False
        if not self._buffered and not self._wait_first_byte():
            return None
        self.is_idle = False
        started_at = now()
        try:
            request = self._read_request(started_at)
        except h11.RemoteProtocolError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, "malformed request") from error
        self._buffered = bytes(self._h11.trailing_data[0])
        return request

    def release_body(self) -> None:
        """Give back the memory for the body of the current request."""
        self._body_share.close()

    def discard(self) -> None:
        """Discard the rest of a request that has got its response.

        A connection that is closed with unread data is reset, and the caller may lose
        the response.
        """
        self.is_idle = True
        left = self._limits().body_bytes
        # Fails if the caller has already closed the connection.
        with (
            contextlib.suppress(OSError, EOFError),
            eventlet.Timeout(_BODY_TIMEOUT_S, False),
        ):
            self._socket.shutdown(socket.SHUT_WR)
            while left > 0 and (data := self._socket.recv(_CHUNK)):
                left -= len(data)
                self._turn.step()

    def run_while_connected(self, work: Callable[[], None]) -> None:
        """Run the work for a request, and abort it when the caller disconnects.

        Raises:
            CallerLeftError: If the caller disconnected before the work was done.
        """
        watcher = eventlet.spawn(self._watch_for_disconnect, eventlet.getcurrent())
        try:
            work()
        finally:
            watcher.kill()

    def respond(self, status: int, headers: RawHeaders, body: bytes) -> None:
        """Send a complete response."""
        length = [(b"content-length", b"%d" % len(body))]
        self.start(status, [*headers, *length])
        self._write(self._h11.send(h11.Data(data=body)) if body else b"")
        self.finish()

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of a response whose body follows."""
        # A request that the caller has already sent behind this one is served as well.
        is_last = not self._buffered
        if is_last and (self._is_closing or self._is_stopping()):
            self.must_close = True
        if self.must_close:
            headers = [*headers, (b"connection", b"close")]
        self.has_started = True
        head = self._h11.send(h11.Response(status_code=status, headers=headers))
        if self._ends_with_connection():
            # Closing it before the end of the response resets it then, also if the
            # kernel closes it after a crash of this process.
            self._set_linger(_RESET)
        self._write(head)

    def send(self, data: bytes) -> None:
        """Send a chunk of the body."""
        self._write(self._h11.send(h11.Data(data=data)))

    def finish(self) -> None:
        """End the response properly."""
        ends_with_connection = self._ends_with_connection()
        self._write(self._h11.send(h11.EndOfMessage()))
        if ends_with_connection:
            self._set_linger(_NO_RESET)

    def prepare_next(self) -> bool:
        """Prepare for another request; return False if the connection has to close."""
        if self.must_close or self._h11.our_state is not h11.DONE:
            return False
        if self._h11.their_state is not h11.DONE:
            return False
        # The old parser still holds bytes that were read ahead. They are parsed with
        # the next request, so that one needs a new parser.
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_BUFFERED)
        return True

    def close(self) -> None:
        """Close the connection so that data already written still arrives.

        An unfinished response is reset if it could look complete.
        """
        self._body_share.close()
        self._ahead_share.close()
        if self._ends_with_connection():
            self.reset()
            return
        # Fails if the caller has already closed the connection.
        with contextlib.suppress(OSError):
            self._socket.shutdown(socket.SHUT_WR)
        self._socket.close()

    def close_idle(self) -> None:
        """Make the green thread that waits for a request close the connection.

        A request whose first bytes have already arrived is served before that. Neither
        the socket nor its reading side is closed here: the waiting thread would block
        until the descriptor is reused, or the end of input would be taken for a
        disconnect of the caller and abort the request.
        """
        self._is_closing = True
        if self._waiter is not None:
            eventlet.kill(self._waiter, _StopWaitingError("closing"))

    def reset(self) -> None:
        """Reset the connection, so that an unfinished response never looks complete."""
        self.must_close = True
        self._set_linger(_RESET)
        self._socket.close()

    def _ends_with_connection(self) -> bool:
        """Return whether a response is being sent that ends with its connection."""
        is_sending = self._h11.our_state is h11.SEND_BODY
        return is_sending and self._h11.their_http_version == b"1.0"

    def _set_linger(self, option: bytes) -> None:
        # Fails if the connection is already gone.
        with contextlib.suppress(OSError):
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)

    def _wait_first_byte(self) -> bool:
        try:
            self._buffered = self._receive_available() or self._wait_for_data()
        except _CONNECTION_ERRORS:
            # A caller that resets while idle has no request pending.
            return False
        return bool(self._buffered)

    def _wait_for_data(self) -> bytes:
        """Wait for data; return none if the connection is to be closed instead."""
        if self._is_closing:
            return b""
        self._waiter = eventlet.getcurrent()
        try:
            with eventlet.Timeout(self._limits().idle_seconds):
                return self._socket.recv(_CHUNK)
        except (eventlet.Timeout, _StopWaitingError):
            # Data may have arrived since the hub last polled the socket.
            return self._receive_available()
        finally:
            self._waiter = None

    def _receive_available(self) -> bytes:
        """Return data that has already arrived, none if there is none."""
        try:
            return self._socket.fd.recv(_CHUNK)
        except BlockingIOError:
            return b""

    def _read_request(self, started_at: float) -> RawRequest:
        limits = self._limits()
        self._ahead_share.close()
        try:
            with eventlet.Timeout(limits.head_seconds):
                head, remainder = self._read_head(limits)
        except eventlet.Timeout as error:
            raise RequestError(ErrorKind.TOO_SLOW, "the head took too long") from error
        self._h11.receive_data(head)
        event = self._h11.next_event()
        if not isinstance(event, h11.Request):
            raise RequestError(ErrorKind.BAD_REQUEST, "expected a request")
        _check_lengths(event, limits)
        self._take(_stated_length(event))
        self._send_continue()
        if remainder:
            self._h11.receive_data(remainder)
        try:
            with eventlet.Timeout(_BODY_TIMEOUT_S):
                body = self._read_body(limits, _stated_length(event))
        except eventlet.Timeout as error:
            raise RequestError(ErrorKind.TOO_SLOW, "the body took too long") from error
        headers = list(event.headers)
        return RawRequest(
            event.method, event.target, headers, body, started_at, self.is_peer
        )

    def _read_head(self, limits: CallerLimits) -> tuple[bytes, bytes]:
        data = bytearray(self._buffered)
        if data[:1] in (b"\r", b"\n"):
            data = data.lstrip(b"\r\n")
        searched = 0
        while data.find(_HEAD_END, searched) < 0:
            if len(data) > limits.head_bytes:
                raise RequestError(ErrorKind.HEAD_TOO_LARGE, "the head is too large")
            # A head whose lines end in a bare LF never has the proper end.
            if data.find(b"\n\n", searched) >= 0:
                raise RequestError(ErrorKind.BAD_REQUEST, "malformed head")
            searched = max(0, len(data) - len(_HEAD_END) + 1)
            data += self._receive()
        head, _, remainder = bytes(data).partition(_HEAD_END)
        if len(head) > limits.head_bytes:
            raise RequestError(ErrorKind.HEAD_TOO_LARGE, "the head is too large")
        if len(_LENGTH_LINE.findall(head)) > 1:
            raise RequestError(ErrorKind.BAD_REQUEST, "two lengths")
        if _BARE_LINE_END.search(head) or _FOLDED.search(head):
            # Parsers disagree on such lines, so a second request could be smuggled in
            # what one of them parses as a header.
            raise RequestError(ErrorKind.BAD_REQUEST, "malformed head")
        return head + _HEAD_END, remainder

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._h11.send(event))

    def _take(self, size: int) -> None:
        """Take memory for a body, or a part of it.

        Raises:
            RequestError: If there is none.
        """
        try:
            self._body_share.take(size)
        except MemoryShortError as error:
            raise RequestError(
                ErrorKind.OVERLOADED, "no memory for the body", retry_after=_RETRY_S
            ) from error

    def _read_body(self, limits: CallerLimits, stated: int) -> bytes:
        parts = Parts()
        received = 0
        while True:
            self._turn.step()
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                allowed = _MAX_FRAMING_BYTES + _MAX_FRAMING_FACTOR * parts.size
                if received - parts.size > allowed:
                    raise RequestError(ErrorKind.BAD_REQUEST, "too many chunks")
                data = self._receive()
                received += len(data)
                self._h11.receive_data(data)
            elif isinstance(event, h11.Data):
                parts.append(event.data)
                if parts.size > limits.body_bytes:
                    raise RequestError(ErrorKind.TOO_LARGE, "the body is too large")
                if not stated:
                    self._take(len(event.data))
            else:
                return parts.join()

    def _receive(self) -> bytes:
        self._turn.step()
        try:
            data = self._socket.recv(_CHUNK)
        except _CONNECTION_ERRORS as error:
            raise CallerLeftError("reset") from error
        if not data:
            raise CallerLeftError("closed")
        return data

    def _watch_for_disconnect(self, worker: GreenThread) -> None:
        turn = Turn(_PARTS_A_TURN)
        self._buffered = bytearray(self._buffered)
        while len(self._buffered) < _MAX_BUFFERED and self._ahead_share.may_take(1):
            turn.step()
            try:
                data = self._socket.recv(_CHUNK)
            except _CONNECTION_ERRORS:
                data = b""
            if not data:
                eventlet.kill(worker, CallerLeftError("closed"))
                return
            self._buffered += data
            self._ahead_share.keep(len(data))

    def _write(self, data: bytes) -> None:
        if not data:
            return
        self._turn.step()
        try:
            # Nearly all writes fit into the kernel's buffer and need no timer.
            rest = memoryview(data)[self._send_available(data) :]
            if rest:
                with eventlet.Timeout(_WRITE_TIMEOUT_S):
                    self._socket.sendall(rest)
        except (eventlet.Timeout, OSError) as error:
            raise CallerLeftError("unread") from error

    def _send_available(self, data: bytes) -> int:
        """Send what the kernel takes at once; return the number of bytes."""
        if not data:
            return 0
        try:
            return self._socket.fd.send(data)
        except BlockingIOError:
            return 0


def _stated_length(request: h11.Request) -> int:
    """Return the length that a request states for its body, 0 if it states none."""
    return int(dict(request.headers).get(b"content-length", b"0"))


def _check_lengths(request: h11.Request, limits: CallerLimits) -> None:
    names = [name for name, _ in request.headers]
    lengths = [v for name, v in request.headers if name == b"content-length"]
    if len(lengths) > 1 or (lengths and b"transfer-encoding" in names):
        # The request states its length twice. The next parser may use the other length
        # and see a second request inside the body.
        raise RequestError(ErrorKind.BAD_REQUEST, "two lengths")
    if lengths and int(lengths[0]) > limits.body_bytes:
        raise RequestError(ErrorKind.TOO_LARGE, "the body is too large")
