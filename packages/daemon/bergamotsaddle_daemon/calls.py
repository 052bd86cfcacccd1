"""Calls to targets over HTTP, with the checks that keep answers apart."""

import itertools
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, ReadTimeoutError
from urllib3.response import BaseHTTPResponse
from urllib3.util.connection import is_connection_dropped

from bergamotsaddle_contracts.errors import TargetError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now

REQUEST_HEADER = "X-Request-Id"
STAGE_HEADER = "X-Stage"
DEADLINE_HEADER = "X-Remaining-Ms"
PRIORITY_HEADER = "X-Priority"
_IDLE_KEPT = 64
_LEAST_WAIT = 0.001
_FAILURES = (HTTPError, OSError, eventlet.Timeout)

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
        priority: 1 before 9, for targets that honour it.
        headers: Further headers.
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
    """A target's whole answer."""

    status: int
    body: bytes


class ResponseStream:
    """A target's answer while it arrives.

    Args:
        connection: The connection, which nothing else uses meanwhile.
        response: The answer with its headers read.
    """

    def __init__(self, connection: HTTPConnection, response: BaseHTTPResponse) -> None:
        self._connection = connection
        self._response = response

    def read_available(self, silence: float) -> bytes:
        """Read what has arrived, or wait for more.

        Args:
            silence: Seconds without a byte after which the stream counts as cut.

        Returns:
            Some bytes, or none at the end of the answer.

        Raises:
            TargetError: If the stream was cut or is silent.
        """
        # A timer of the hub for each token would cost as much as reading it; the
        # socket's own limit starts one only if there is nothing to read yet.
        self._connection.sock.settimeout(max(_LEAST_WAIT, silence))
        try:
            return self._response.read1()
        except _FAILURES as error:
            timed_out = isinstance(error, (TimeoutError, ReadTimeoutError))
            detail = f"stream: {error!r}"
            raise TargetError(detail, sent=True, timed_out=timed_out) from error

    def close(self) -> None:
        """Close the connection, which cancels the work at the target."""
        self._connection.close()


class Connections:
    """Kept connections to targets; never used again after anything went wrong."""

    def __init__(self) -> None:
        self._idle_by_address: dict[Address, list[HTTPConnection]] = {}
        self._attempts = itertools.count(1)
        self.responses_discarded = 0

    def next_attempt_number(self) -> int:
        """A number for the next attempt, unlike any other of this process."""
        return next(self._attempts)

    def post(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post and read the whole answer, on a kept connection if there is one.

        Args:
            address: The target.
            call: What to post.
            guard: Called right before the first byte is sent; raises to stop.

        Raises:
            RequestError: From the guard.
            TargetError: If there is no usable answer.
        """
        connection = self._take_idle(address) or self._connect(address, call)
        reply = self._exchange(connection, call, guard)
        self._keep(address, connection)
        return reply

    def post_once(self, address: Address, call: Call, guard: Guard) -> Reply:
        """Post on a connection of its own, which was proven alive just before.

        A kept connection may have been forgotten by something in between. A call
        that must not be repeated would be lost in it with its outcome unknown.
        """
        connection = self._connect(address, call)
        try:
            return self._exchange(connection, call, guard)
        finally:
            connection.close()

    def open_stream(self, address: Address, call: Call, guard: Guard) -> ResponseStream:
        """Post and return as soon as the answer's headers are there.

        Raises:
            RequestError: From the guard.
            TargetError: If the target does not begin to answer as it should.
        """
        connection = self._connect(address, call)
        try:
            response = self._send(connection, call, guard, stream=True)
            self._check(response, call)
            if response.status != 200:
                raise TargetError(f"status {response.status}", sent=True)
        except BaseException:
            connection.close()
            raise
        return ResponseStream(connection, response)

    def close_idle(self, address: Address) -> None:
        """Close the kept connections to a target.

        If one of them has gone silent the others often have too, and each would
        cost a request its time before it shows.
        """
        for connection in self._idle_by_address.pop(address, []):
            connection.close()

    def _take_idle(self, address: Address) -> HTTPConnection | None:
        idle = self._idle_by_address.get(address, [])
        while idle:
            connection = idle.pop()
            if not is_connection_dropped(connection):
                return connection
            connection.close()
        return None

    def _keep(self, address: Address, connection: HTTPConnection) -> None:
        idle = self._idle_by_address.setdefault(address, [])
        if connection.sock is None or len(idle) >= _IDLE_KEPT:
            connection.close()
            return
        idle.append(connection)

    def _connect(self, address: Address, call: Call) -> HTTPConnection:
        limit = min(call.connect_timeout, call.deadline - now())
        if limit <= 0:
            raise TargetError("no time left to connect", sent=False)
        connection = HTTPConnection(address.host, address.port, timeout=limit)
        try:
            connection.connect()
        except _FAILURES as error:
            connection.close()
            raise TargetError(f"connect: {error}", sent=False) from error
        return connection

    def _exchange(self, connection: HTTPConnection, call: Call, guard: Guard) -> Reply:
        try:
            response = self._send(connection, call, guard, stream=False)
            self._check(response, call)
        except BaseException:
            # After a timeout the answer may still arrive; whoever used this
            # connection next would get it as their own. So it is closed.
            connection.close()
            raise
        return Reply(response.status, response.data)

    def _send(
        self, connection: HTTPConnection, call: Call, guard: Guard, *, stream: bool
    ) -> BaseHTTPResponse:
        remaining = call.deadline - now()
        if remaining <= 0:
            raise TargetError("no time left to send", sent=False)
        headers = {
            "Content-Type": "application/json",
            REQUEST_HEADER: call.request,
            STAGE_HEADER: call.stage,
            DEADLINE_HEADER: str(int(remaining * 1000)),
            PRIORITY_HEADER: str(call.priority),
            **call.headers,
        }
        guard()
        try:
            with eventlet.Timeout(remaining):
                # Sending sets the socket's limit anew from this; the limit for
                # connecting would cut off every answer that takes longer.
                connection.timeout = None
                connection.request(
                    "POST",
                    call.path,
                    body=call.body,
                    headers=headers,
                    preload_content=not stream,
                )
                return connection.getresponse()
        except _FAILURES as error:
            timed_out = isinstance(error, eventlet.Timeout)
            detail = f"exchange: {error!r}"
            raise TargetError(detail, sent=True, timed_out=timed_out) from error

    def _check(self, response: BaseHTTPResponse, call: Call) -> None:
        """Refuse an answer that names another request, stage or attempt.

        A target or something before it may answer late or mix answers up. The
        caller would get somebody else's data; the names in the answer tell.
        """
        named = (
            response.headers.get(REQUEST_HEADER),
            response.headers.get(STAGE_HEADER),
        )
        if named != (call.request, call.stage):
            self.responses_discarded += 1
            raise TargetError(f"answer names {named}", sent=True)
