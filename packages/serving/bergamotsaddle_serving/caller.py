"""Callers' connections: strict parsing, limits, and detection of disconnects."""

import contextlib
import re
import socket
import struct
from collections.abc import Callable, Iterator
from math import inf
from typing import NamedTuple

import eventlet
import h11
from eventlet.greenthread import GreenThread
from eventlet.hubs import trampoline
from greenlet import greenlet

from bergamotsaddle_contracts.errors import (
    BergamotsaddleError,
    ErrorKind,
    RequestError,
)
from bergamotsaddle_daemon.body_memory import BodyMemory
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._parts import Parts
from bergamotsaddle_serving._turn import SharedTurn, Turn
from bergamotsaddle_serving.catalog import CallerLimits
from bergamotsaddle_serving.chunked_body import ChunkDecoder, ChunkError
from bergamotsaddle_serving.connection_table import Phase
from bergamotsaddle_serving.messages import RawHeaders

# Bytes that are read at once, of a body and of anything else.
_BODY_PART_BYTES = 65_536
_PART_BYTES = 16_384
# What a parsed header takes beside its bytes, which are held twice.
_HEADER_BYTES = 256
_HEAD_COPIES = 2
# Heads and bodies that are longer wait for each other, so that others run between
# them. Chunks take more work than a body of a stated length.
_SHORT_HEAD_BYTES = 2_048
_SHORT_BODY_BYTES = 65_536
_SHORT_CHUNKS_BYTES = 2_048
# Parts of a request or of a response after which other green threads get to run.
_PARTS_A_TURN = 8
_HEAD_END = b"\r\n\r\n"
_HEAD = b"HEAD"
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


# Bytes that are read only to be discarded are put here.
_discarded = bytearray(_BODY_PART_BYTES)


class CallerLeftError(BergamotsaddleError):
    """The caller closed its connection before its response was complete."""


class EvictedError(BergamotsaddleError):
    """The connection is closed to admit another one."""


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
        memory: Memory for requests. Unless it is given, only their size is limited.
        turns: Turn of all connections for steps of long work.
        on_phase: Called when the connection enters a phase.

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
        turns: SharedTurn | None = None,
        on_phase: Callable[["CallerConnection", Phase], None] = lambda *_: None,
    ) -> None:
        self.is_peer = is_peer
        self._memory = memory or BodyMemory(inf)
        self._request_share = self._memory.open()
        self._received_share = self._memory.open()
        self._socket = sock
        self._limits = limits
        self._is_stopping = is_stopping
        self._turns = turns or SharedTurn()
        self._on_phase = on_phase
        # What has arrived and has not been parsed.
        self._received = bytearray()
        self._turn = Turn(_PARTS_A_TURN)
        self._waiter: greenlet | None = None
        # Reads a request, or discards the rest of one.
        self._reader: greenlet | None = None
        self._is_closing = False
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_BUFFERED)
        self.is_idle = True
        self.must_close = False
        self.has_started = False
        # Whether the request is not for the head of its response alone.
        self._wants_body = True
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def read(self) -> RawRequest | None:
        """Read the next request; return None if the caller sends no more.

        The memory that it takes is held until ``release_request``.

        Raises:
            RequestError: If the request is invalid, too large or too slow, or there is
                no memory for it.
            CallerLeftError: If the caller disconnected in the middle of it.
            EvictedError: If the connection is closed to admit another one.
        """
        self.is_idle = True
        self.has_started = False
        self._wants_body = True
        self._on_phase(self, Phase.READING)
        if not self._received and not self._wait_first_byte():
            return None
        self.is_idle = False
        self._on_phase(self, Phase.READING)
        started_at = now()
        self._reader = eventlet.getcurrent()
        self._memory.begin(self._request_share, self._refuse_reading)
        try:
            return self._read_request(started_at)
        except h11.RemoteProtocolError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, "malformed request") from error
        finally:
            self._memory.end(self._request_share)
            self._reader = None
            self._on_phase(self, Phase.SERVING)

    def release_request(self) -> None:
        """Give back the memory for the current request."""
        self._request_share.close()

    def drop_request(self) -> None:
        """Drop what has arrived of a request that is refused."""
        self._request_share.close()
        self._drop_received()

    def discard(self) -> None:
        """Discard the rest of a request that has got its response.

        A connection that is closed with unread data is reset, and the caller may lose
        the response.
        """
        self.is_idle = True
        left = self._limits().body_bytes
        self._reader = eventlet.getcurrent()
        self._on_phase(self, Phase.ENDING)
        # Fails if the caller has already closed the connection.
        with (
            contextlib.suppress(OSError, EOFError, CallerLeftError, EvictedError),
            eventlet.Timeout(_BODY_TIMEOUT_S, False),
        ):
            self._socket.shutdown(socket.SHUT_WR)
            while left > 0:
                left -= self._discard_part()
        self._reader = None

    def _discard_part(self) -> int:
        """Discard data that has arrived; return how many bytes.

        Raises:
            CallerLeftError: If there is no more.
        """
        self._wait_readable()
        with self._turns:
            try:
                size = self._socket.fd.recv_into(_discarded)
            except BlockingIOError:
                return 0
        if not size:
            raise CallerLeftError("closed")
        return size

    def evict(self) -> None:
        """Close the connection, whose request is not being served."""
        if self._reader is not None:
            eventlet.kill(self._reader, EvictedError("others wait"))
        else:
            self.close_idle()

    def _refuse_reading(self) -> None:
        """Refuse the request that is being read, as others need its memory."""
        if self._reader is not None:
            eventlet.kill(self._reader, _memory_error())

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

    def respond(
        self,
        status: int,
        headers: RawHeaders,
        body: bytes,
        *,
        size: int | None = None,
    ) -> None:
        """Send a complete response.

        Args:
            status: HTTP status.
            headers: End-to-end headers.
            body: Complete body, of which a request for the head alone gets the size.
            size: Size of a body that is not there, as its target states it.
        """
        has_size = self._wants_body or body or size is not None
        if has_size:
            stated = len(body) if size is None else size
            headers = [*headers, (b"content-length", b"%d" % stated)]
        self.start(status, headers)
        if body and self._wants_body:
            self._write(self._h11.send(h11.Data(data=body)))
        self.finish()

    def start(self, status: int, headers: RawHeaders) -> None:
        """Send the head of a response whose body follows."""
        # A request that the caller has already sent behind this one is served as well.
        is_last = not self._received
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
        self._h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=_MAX_BUFFERED)
        return True

    def close(self) -> None:
        """Close the connection so that data already written still arrives.

        An unfinished response is reset if it could look complete.
        """
        self.drop_request()
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
            self._keep_received(self._receive_available() or self._wait_for_data())
        except _CONNECTION_ERRORS:
            # A caller that resets while idle has no request pending.
            return False
        return bool(self._received)

    def _wait_for_data(self) -> bytes:
        """Wait for data; return none if the connection is to be closed instead."""
        if self._is_closing:
            return b""
        self._waiter = eventlet.getcurrent()
        try:
            with eventlet.Timeout(self._limits().idle_seconds):
                return self._socket.recv(_PART_BYTES)
        except (eventlet.Timeout, _StopWaitingError):
            # Data may have arrived since the hub last polled the socket.
            return self._receive_available()
        finally:
            self._waiter = None

    def _receive_available(self, size: int = _PART_BYTES) -> bytes:
        """Return data that has already arrived, none if there is none."""
        try:
            return self._socket.fd.recv(size)
        except BlockingIOError:
            return b""

    def _keep_received(self, data: bytes) -> None:
        """Keep data that has arrived until it is parsed."""
        self._received += data
        self._received_share.hold(len(self._received))

    def _drop_received(self) -> None:
        self._received.clear()
        self._received_share.close()

    def _take_received(self, size: int) -> bytes:
        """Return the first bytes that have arrived, and keep the others."""
        data = bytes(self._received[:size])
        del self._received[:size]
        self._received_share.hold(len(self._received))
        return data

    def _read_request(self, started_at: float) -> RawRequest:
        limits = self._limits()
        try:
            with eventlet.Timeout(limits.head_seconds):
                event = self._read_head(limits)
        except eventlet.Timeout as error:
            raise RequestError(ErrorKind.TOO_SLOW, "the head took too long") from error
        self._wants_body = event.method != _HEAD
        _check_lengths(event, limits)
        stated = _stated_length(event)
        self._take(stated)
        self._send_continue()
        try:
            with eventlet.Timeout(_BODY_TIMEOUT_S):
                body = self._read_body(limits, event, stated)
        except eventlet.Timeout as error:
            raise RequestError(ErrorKind.TOO_SLOW, "the body took too long") from error
        except ChunkError as error:
            raise RequestError(ErrorKind.BAD_REQUEST, str(error)) from error
        headers = list(event.headers)
        return RawRequest(
            event.method, event.target, headers, body, started_at, self.is_peer
        )

    def _read_head(self, limits: CallerLimits) -> h11.Request:
        """Read and parse a head.

        Raises:
            RequestError: If it is too large or malformed, or there is no memory for it.
        """
        head = self._read_head_bytes(limits)
        if len(head) <= _SHORT_HEAD_BYTES:
            return self._parse_head(head)
        with self._turns:
            return self._parse_head(head)

    def _read_head_bytes(self, limits: CallerLimits) -> bytes:
        searched = 0
        while True:
            if not searched and self._received[:1] in (b"\r", b"\n"):
                self._received = self._received.lstrip(b"\r\n")
            size = self._received.find(_HEAD_END, searched)
            if max(size, len(self._received) if size < 0 else 0) > limits.head_bytes:
                raise RequestError(ErrorKind.HEAD_TOO_LARGE, "the head is too large")
            if size >= 0:
                return self._take_received(size + len(_HEAD_END))
            # A head whose lines end in a bare LF never has the proper end.
            if self._received.find(b"\n\n", searched) >= 0:
                raise RequestError(ErrorKind.BAD_REQUEST, "malformed head")
            searched = max(0, len(self._received) - len(_HEAD_END) + 1)
            self._receive_head()

    def _parse_head(self, head: bytes) -> h11.Request:
        lines = head.count(b"\n")
        self._take(_HEAD_COPIES * len(head) + _HEADER_BYTES * lines)
        if len(_LENGTH_LINE.findall(head)) > 1:
            raise RequestError(ErrorKind.BAD_REQUEST, "two lengths")
        if _BARE_LINE_END.search(head) or _FOLDED.search(head):
            # Parsers disagree on such lines, so a second request could be smuggled in
            # what one of them parses as a header.
            raise RequestError(ErrorKind.BAD_REQUEST, "malformed head")
        self._h11.receive_data(head)
        event = self._h11.next_event()
        if not isinstance(event, h11.Request):
            raise RequestError(ErrorKind.BAD_REQUEST, "expected a request")
        return event

    def _send_continue(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            event = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._h11.send(event))

    def _take(self, size: int) -> None:
        """Take memory for a part of the request.

        Raises:
            RequestError: If there is none, and no slower request can be evicted.
        """
        while not self._request_share.may_take(size):
            if not self._memory.reclaim(self._request_share):
                raise _memory_error()
        self._request_share.keep(size)

    def _read_body(
        self, limits: CallerLimits, request: h11.Request, stated: int
    ) -> bytes:
        if _is_chunked(request):
            body = self._read_chunks(limits)
        else:
            body = self._read_stated(stated)
        if not isinstance(self._h11.next_event(), h11.EndOfMessage):
            raise RequestError(ErrorKind.BAD_REQUEST, "expected the end of the body")
        return body

    def _read_stated(self, size: int) -> bytes:
        parts = Parts()
        while parts.size < size:
            is_long = parts.size > _SHORT_BODY_BYTES
            with self._body_step(is_long=is_long, needs_data=not self._received):
                self._h11.receive_data(self._take_received(size - parts.size))
                parts.append(self._h11.next_event().data)
        return parts.join()

    def _read_chunks(self, limits: CallerLimits) -> bytes:
        decoder = ChunkDecoder(limits.head_bytes)
        parts = Parts()
        needs_data = not self._received
        while not decoder.is_complete:
            is_long = decoder.decoded > _SHORT_CHUNKS_BYTES
            with self._body_step(is_long=is_long, needs_data=needs_data):
                content = decoder.decode(self._received)
            self._received_share.hold(len(self._received))
            needs_data = not content
            if parts.size + len(content) > limits.body_bytes:
                raise RequestError(ErrorKind.TOO_LARGE, "the body is too large")
            self._take(len(content))
            parts.append(content)
        # The parser of the head learns how the body has ended.
        self._h11.receive_data(b"0\r\n" + decoder.trailers + b"\r\n")
        return parts.join()

    @contextlib.contextmanager
    def _body_step(self, *, is_long: bool, needs_data: bool) -> Iterator[None]:
        """Surround a step of work on the body, and receive data for it.

        Args:
            is_long: Whether the body waits for its turn. Short ones do not, so that
                they are not delayed by the long ones.
            needs_data: Whether the step needs more data than has been received.
        """
        if needs_data:
            self._wait_readable()
        with self._turns if is_long else contextlib.nullcontext():
            if needs_data:
                self._receive_ready()
            yield

    def _wait_readable(self) -> None:
        """Wait until the connection has data, or has ended."""
        try:
            trampoline(self._socket.fd, read=True)
        except _CONNECTION_ERRORS as error:
            raise CallerLeftError("reset") from error

    def _receive_head(self) -> None:
        """Wait for a part of a head and keep it.

        Raises:
            CallerLeftError: If the caller disconnected.
            RequestError: If there is no memory for it.
        """
        self._turn.step()
        self._wait_readable()
        self._receive_ready(_PART_BYTES)
        while not self._received_share.may_take(0):
            if not self._memory.reclaim(self._request_share):
                raise _memory_error()

    def _receive_ready(self, size: int = _BODY_PART_BYTES) -> None:
        """Keep data that has arrived.

        Raises:
            CallerLeftError: If the caller disconnected.
        """
        try:
            data = self._socket.fd.recv(size)
        except BlockingIOError:
            return
        except _CONNECTION_ERRORS as error:
            raise CallerLeftError("reset") from error
        if not data:
            raise CallerLeftError("closed")
        self._keep_received(data)

    def _watch_for_disconnect(self, worker: GreenThread) -> None:
        """Read what the caller sends ahead, until it disconnects.

        As much is read as there is memory for. The disconnect of a caller that sends
        more ahead is noticed behind the response.
        """
        turn = Turn(_PARTS_A_TURN)
        while True:
            turn.step()
            try:
                self._wait_readable()
                room = self._ahead_room()
                flags = 0 if room else socket.MSG_PEEK
                data = self._socket.fd.recv(room or 1, flags)
            except BlockingIOError:
                continue
            except (CallerLeftError, *_CONNECTION_ERRORS):
                data = b""
            if not data:
                eventlet.kill(worker, CallerLeftError("closed"))
                return
            if not room:
                return
            self._keep_received(data)

    def _ahead_room(self) -> int:
        """Return how many bytes may be read ahead now."""
        room = min(_PART_BYTES, _MAX_BUFFERED - len(self._received))
        return room if room > 0 and self._received_share.may_take(room) else 0

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


def _memory_error() -> RequestError:
    return RequestError(
        ErrorKind.OVERLOADED, "no memory for the request", retry_after=_RETRY_S
    )


def _is_chunked(request: h11.Request) -> bool:
    """Return whether the body comes in chunks, the only encoding that is accepted."""
    return any(name == b"transfer-encoding" for name, _ in request.headers)


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
