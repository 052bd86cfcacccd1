"""Sends one request to one target and reads its response."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import (
    CONNECTION_REFUSED,
    SILENT,
    UNFINISHED,
    Connection,
    ConnectionLostError,
    ConnectionPool,
    RawResponseHead,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.messages import Dialect, Dispatch, HttpCall, ResponseHead

_MISDIRECTED = 421
# Refused connections of one request. Each takes a round trip to a crashed target, which
# is cheap but should not go on for long.
MAX_REFUSED_CONNECTIONS = 8
# Statuses that tell callers that their request has not run. A target's response with
# one of them does not guarantee that, so it is never forwarded as it is.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class NotRunError(BergamotsaddleError):
    """The target did not run the request: it said so, or nothing was sent.

    Args:
        reason: One word for logs.
        status: HTTP status of the target, 0 if nothing was sent to it.
    """

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status

    @property
    def is_connection_refused(self) -> bool:
        """Whether the target refused the connection, which takes one round trip."""
        return self.status == 0 and self.reason == CONNECTION_REFUSED


class OutcomeUnknownError(BergamotsaddleError):
    """The target may have run the request, but sent no complete response.

    Args:
        reason: One word for logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Response(NamedTuple):
    """Head of a target's response.

    Attributes:
        head: Status and headers as received.
        decoded: What the platform's headers say.
    """

    head: RawResponseHead
    decoded: ResponseHead

    @property
    def is_success(self) -> bool:
        """Whether the status is a success."""
        return self.head.is_success


class Attempt:
    """One request at one target, from sending it to the end of the response.

    Use it as a context manager. Leaving it closes the connection unless the response
    was read to its end, and the target then drops the request.

    Args:
        context: The request.
        state: State of the target.
        pool: Connections to targets.
        dialect: Makes and decodes headers.

    Attributes:
        started_at: When the attempt was made, on the hub's clock.
    """

    def __init__(
        self,
        context: Context,
        state: TargetState,
        pool: ConnectionPool,
        dialect: Dialect,
    ) -> None:
        self._context = context
        self._state = state
        self._pool = pool
        self._dialect = dialect
        self._connection: Connection | None = None
        self._keep_alive_seconds: float | None = None
        self.started_at = now()

    def __enter__(self) -> "Attempt":
        self._state.in_flight += 1
        return self

    def __exit__(self, *_: object) -> None:
        self._state.in_flight -= 1
        if self._connection is not None:
            self._connection.close()

    def send(
        self,
        dispatch: Dispatch,
        *,
        limit: float,
        max_wait: float | None = None,
        keeps_waiting: Callable[[], bool] | None = None,
        on_sent: Callable[[int], None] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send the request and wait for the head of the response.

        Args:
            dispatch: Parameters of the request for the target.
            limit: Seconds after which a silent target counts as lost.
            max_wait: Seconds to wait for a target while ``keeps_waiting`` says so.
                Defaults to ``limit``.
            keeps_waiting: Returns whether to wait for longer than the limit. By
                default, whether the target has responded to other requests meanwhile:
                a busy engine reads other prompts first, and abandoning it would only
                have the work done twice.
            on_sent: Called with the size of the request once it has been handed to the
                connection.
            may_send: Returns whether the target may still get the request. It may have
                announced that it is leaving while the connection was opened.

        Raises:
            NotRunError: If the target did not run the request.
            OutcomeUnknownError: If the target may have run the request.
        """
        context = self._context
        body = context.body
        headers = self._dialect.forward(context.head, dispatch, len(body))
        call = HttpCall(context.head.method, context.head.path, headers, body)
        try:
            connection = self._pool.acquire(dispatch.target.address, limit=limit)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=True)
            raise NotRunError(error.reason) from error
        self._connection = connection
        if not may_send():
            raise NotRunError("left")
        context.progress.is_sent = True
        context.progress.is_framed = None
        try:
            size = connection.send(call, limit=limit)
            if on_sent is not None:
                on_sent(size)
            head = self._read_head(connection, limit, max_wait or limit, keeps_waiting)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        return self._check_head(head)

    def _read_head(
        self,
        connection: Connection,
        limit: float,
        max_wait: float,
        keeps_waiting: Callable[[], bool] | None,
    ) -> RawResponseHead:
        deadline_at = now() + max_wait
        while True:
            waiting_since = now()
            try:
                return connection.read_head(
                    limit=min(limit, deadline_at - waiting_since)
                )
            except ConnectionLostError as error:
                if error.reason != SILENT or now() >= deadline_at:
                    raise
                is_busy = self._state.last_seen_at > waiting_since
                if not (is_busy if keeps_waiting is None else keeps_waiting()):
                    raise

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Read the complete body.

        Args:
            limit: Seconds after which the target counts as lost.
            max_bytes: Size that the body may have.

        Raises:
            OutcomeUnknownError: If the body is incomplete.
        """
        try:
            body = self._connection.read_body(limit=limit, max_bytes=max_bytes)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        self._return_connection()
        return body

    def read_some(self, *, limit: float) -> bytes | None:
        """Read the next chunk of the body.

        Args:
            limit: Seconds after which a silent target counts as lost.

        Returns:
            The chunk, None at the end of the body. ``finish_stream`` must follow it.

        Raises:
            OutcomeUnknownError: If the body broke off or nothing arrived in time.
        """
        try:
            data = self._connection.read_some(limit=limit)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        self._state.last_seen_at = self._pool.last_response_at = now()
        return data

    def finish_stream(self, *, is_whole: bool) -> None:
        """End a response that was read to the end of its body.

        Args:
            is_whole: Whether its content may be complete too.

        Raises:
            OutcomeUnknownError: If it is not.
        """
        if not is_whole:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(UNFINISHED)
        self._return_connection()

    def _check_head(self, head: RawResponseHead) -> Response:
        self._context.progress.is_framed = head.is_framed
        self._pool.last_response_at = now()
        decoded = self._dialect.read_response(head.headers)
        self._keep_alive_seconds = decoded.keep_alive_seconds
        self._state.record_load(decoded.load)
        self._state.record_response(head.status, decoded)
        if decoded.limit is not None:
            self._state.record_limit(decoded.limit)
        if decoded.not_run or head.status == _MISDIRECTED:
            self._drain()
            raise NotRunError("refused", head.status)
        if decoded.request_id and decoded.request_id != self._context.head.id:
            # A late response to an earlier request. The one to this request may still
            # come, but the two can't be told apart any more on this connection.
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError("crossed")
        if decoded.is_encoded or (head.is_success and not decoded.is_signed):
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError("unsigned")
        # A refusal may leave out the limit. Only the response to a request that has run
        # ends it.
        self._state.record_limit(decoded.limit)
        return Response(head, decoded)

    def _drain(self) -> None:
        try:
            self._connection.read_body(limit=0.1, max_bytes=65_536)
        except ConnectionLostError:
            # The body of a refusal is not needed; only the connection can't be reused.
            return
        self._return_connection()

    def _return_connection(self) -> None:
        connection, self._connection = self._connection, None
        self._pool.release(connection, self._keep_alive_seconds)
