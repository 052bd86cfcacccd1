"""Calls to targets over HTTP, with checks that match responses to requests."""

import itertools
from collections.abc import Callable
from http.client import HTTPException
from typing import NamedTuple

import eventlet
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse
from urllib3.util.connection import is_connection_dropped

from bergamotsaddle_contracts.errors import TargetError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.whole_responses import WholeConnection
from bergamotsaddle_daemon._reset_socket import ResetSocket
from bergamotsaddle_daemon.clock import now

REQUEST_HEADER = "X-Request-Id"
STAGE_HEADER = "X-Stage"
REMAINING_TIME_HEADER = "X-Remaining-Ms"
PRIORITY_HEADER = "X-Priority"
_MAX_IDLE_CONNECTIONS = 64
_MIN_READ_TIMEOUT = 0.001
_CONNECTION_ERRORS = (HTTPException, HTTPError, OSError, eventlet.Timeout)

Guard = Callable[[], None]


class Call(NamedTuple):
    """One attempt at one stage of one request.

    Attributes:
        request: Id of the request.
        stage: Stage and attempt, such as ``rerank.1``.
        path: Path at the target.
        body: Body to post.
        deadline: When the attempt ends, on the hub's clock.
        connect_timeout: Seconds for connecting.
        priority: From 1, the most urgent, to 9, for targets that honour it.
        headers: Additional headers.
    """

    request: str
    stage: str
    path: str
    body: bytes
    deadline: float
    connect_timeout: float
    priority: int
    headers: dict[str, str]


class Reply(NamedTuple):
    """A target's complete response."""

    status: int
    body: bytes


class ResponseStream:
    """A target's response, read while it arrives.

    Args:
        connection: The connection, used only by this stream.
        sock: Its socket. The connection gives it up if the response has no length.
        response: The response, with its headers already read.
    """

    def __init__(
        self,
        connection: WholeConnection,
        sock: ResetSocket,
        response: BaseHTTPResponse,
    ) -> None:
        self._connection = connection
        self._socket = sock
        self._response = response

    def read_available(self, silence: float) -> bytes:
        """Read the bytes that have arrived, or wait for some.

        Args:
            silence: Seconds without a byte after which the stream counts as cut.

        Returns:
            The bytes, empty at the end of the response.

        Raises:
            TargetError: If the stream was cut or no byte arrived in time.
        """
        # A hub timer for each token would cost as much as reading it. The socket's
        # own timeout starts one only if there is nothing to read yet.
        self._socket.settimeout(max(_MIN_READ_TIMEOUT, silence))
        try:
            data = self._response.read1()
        except _CONNECTION_ERRORS as error:
            timed_out = isinstance(error, (TimeoutError, ReadTimeoutError))
            detail = f"stream: {error!r}"
            raise TargetError(detail, sent=True, timed_out=timed_out) from error
        if not data and self._response.length_remaining:
            raise TargetError("stream: shorter than its length", sent=True)
        return data

    def close(self) -> None:
        """Close the connection, which cancels the work at the target."""
        self._response.close()
        self._connection.close()


class Connections:
    """Keep-alive connections to targets; one is never reused after an error."""

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[WholeConnection]] = {}
        self._attempt_numbers = itertools.count(1)
        self.responses_discarded = 0

    def next_attempt_number(self) -> int:
        """Return a number for the next attempt, unique within this process."""
        return next(self._attempt_numbers)

    def post(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post a call and read the response, on an idle connection if there is one.

        Args:
            address: The target.
            call: The call to post.
            guard: Called right before the first byte is sent; raises to prevent it.

        Raises:
            RequestError: From the guard.
            TargetError: If there is no usable response.
        """
        connection = self._pop_idle(address) or self._connect(address, call)
        reply = self._exchange(connection, call, guard)
        self._return_idle(address, connection)
        return reply

    def post_once(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post a call on a new connection, which is known to work.

        A router or firewall may have dropped the state of an idle connection. A call
        that must not be repeated would be lost on it with its outcome unknown.
        """
        connection = self._connect(address, call)
        try:
            return self._exchange(connection, call, guard)
        finally:
            connection.close()

    def open_stream(self, address: Address, call: Call, guard: Guard) -> ResponseStream:
        """Post a call and return as soon as the response headers have arrived.

        Raises:
            RequestError: From the guard.
            TargetError: If the target does not start a valid response.
        """
        connection = self._connect(address, call)
        sock = connection.sock
        try:
            response = self._send(connection, call, guard, stream=True)
            self._check_response(response, call)
            if response.status != 200:
                raise TargetError(f"status {response.status}", sent=True)
        except BaseException:
            connection.close()
            raise
        return ResponseStream(connection, sock, response)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a target.

        If one of them has gone silent the others often have too, and each would cost
        a request its time limit before this is noticed.
        """
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def _pop_idle(self, address: Address) -> WholeConnection | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if not is_connection_dropped(connection):
                return connection
            connection.close()
        return None

    def _return_idle(self, address: Address, connection: WholeConnection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if connection.sock is None or len(idle) >= _MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        idle.append(connection)

    def _connect(self, address: Address, call: Call) -> WholeConnection:
        timeout = min(call.connect_timeout, call.deadline - now())
        if timeout <= 0:
            raise TargetError("no time left to connect", sent=False)
        connection = WholeConnection(address.host, address.port, timeout=timeout)
        try:
            connection.connect()
        except _CONNECTION_ERRORS as error:
            connection.close()
            raise TargetError(f"connect: {error}", sent=False) from error
        connection.sock = ResetSocket(connection.sock)
        return connection

    def _exchange(self, connection: WholeConnection, call: Call, guard: Guard) -> Reply:
        try:
            response = self._send(connection, call, guard, stream=False)
            self._check_response(response, call)
        except BaseException:
            # After a timeout the response may still arrive, and the next request on
            # this connection would read it as its own. So the connection is closed.
            connection.close()
            raise
        return Reply(response.status, response.data)

    def _send(
        self, connection: WholeConnection, call: Call, guard: Guard, *, stream: bool
    ) -> BaseHTTPResponse:
        remaining = call.deadline - now()
        if remaining <= 0:
            raise TargetError("no time left to send", sent=False)
        headers = {
            "Content-Type": "application/json",
            REQUEST_HEADER: call.request,
            STAGE_HEADER: call.stage,
            REMAINING_TIME_HEADER: str(int(remaining * 1000)),
            PRIORITY_HEADER: str(call.priority),
            **call.headers,
        }
        guard()
        try:
            with eventlet.Timeout(remaining):
                # Sending sets the socket's timeout from this attribute. The connect
                # timeout would cut off every response that takes longer.
                connection.timeout = None
                connection.request(
                    "POST",
                    call.path,
                    body=call.body,
                    headers=headers,
                    preload_content=not stream,
                )
                return connection.getresponse()
        except _CONNECTION_ERRORS as error:
            timed_out = isinstance(error, eventlet.Timeout)
            detail = f"exchange: {error!r}"
            raise TargetError(detail, sent=True, timed_out=timed_out) from error

    def _check_response(self, response: BaseHTTPResponse, call: Call) -> None:
        """Reject a response that names another request, stage or attempt.

        A target, or a proxy before it, may respond late or mix up responses. Without
        this check the caller would get the data of another request.
        """
        named = (
            response.headers.get(REQUEST_HEADER),
            response.headers.get(STAGE_HEADER),
        )
        if named != (call.request, call.stage):
            self.responses_discarded += 1
            raise TargetError(f"answer names {named}", sent=True)
