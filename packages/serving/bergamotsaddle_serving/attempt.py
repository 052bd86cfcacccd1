"""One request sent to one target."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import (
    Connection,
    ConnectionLostError,
    ConnectionPool,
    RawResponseHead,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.messages import Dialect, Dispatch, HttpCall, ResponseHead

_MISDIRECTED = 421
_SUCCESS = range(200, 300)
# Statuses that promise callers that nothing has run; a target's own may not.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class NotRunError(BergamotsaddleError):
    """The target did not run the request, by its own word or since nothing left.

    Args:
        reason: One word for logs.
        status: The target's status, 0 if it got nothing.
    """

    def __init__(self, reason: str, status: int = 0) -> None:
        super().__init__(reason)
        self.reason = reason
        self.status = status


class OutcomeUnknownError(BergamotsaddleError):
    """The target may have run the request, and no whole answer came.

    Args:
        reason: One word for logs.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class Response(NamedTuple):
    """The head of a target's answer to this very request."""

    head: RawResponseHead
    decoded: ResponseHead

    @property
    def is_success(self) -> bool:
        """Whether its status is a success."""
        return self.head.status in _SUCCESS


class Attempt:
    """One request at one target, from sending to the end of the answer.

    Use it as a context manager: leaving it closes a connection that was not read to its
    end, upon which the target drops the request.

    Args:
        context: The request.
        state: The target.
        pool: Connections.
        dialect: Makes its headers.
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
        most: float | None = None,
        on_sent: Callable[[int], None] | None = None,
    ) -> Response:
        """Send the request and wait for the head of the answer.

        Args:
            dispatch: What the target is told.
            limit: Seconds after which a silent target counts as lost.
            most: Seconds to wait for one that goes on answering other requests; a
                busy engine reads other prompts first, and leaving it then would only
                have the work done twice. The same as the limit if left out.
            on_sent: Called with the size of the request once it was handed to the
                connection.

        Raises:
            NotRunError: If the target did not run it.
            UnknownRunError: If it may have.
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
        context.progress.is_sent = True
        try:
            size = connection.send(call, limit=limit)
            if on_sent is not None:
                on_sent(size)
            head = self._read_head(connection, limit, most or limit)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        return self._check_head(head)

    def _read_head(
        self, connection: Connection, limit: float, most: float
    ) -> RawResponseHead:
        deadline_at = now() + most
        while True:
            waiting_since = now()
            try:
                return connection.read_head(
                    limit=min(limit, deadline_at - waiting_since)
                )
            except ConnectionLostError as error:
                is_busy = self._state.last_seen_at > waiting_since
                if error.reason != "silent" or not is_busy or now() >= deadline_at:
                    raise

    def read_body(self, *, limit: float, most: int) -> bytes:
        """Read the whole body.

        Raises:
            UnknownRunError: If it is not whole.
        """
        try:
            body = self._connection.read_body(limit=limit, max_bytes=most)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        self._return_connection()
        return body

    def read_some(self, *, limit: float) -> bytes | None:
        """Read the next part of the body, None at its proper end.

        Raises:
            UnknownRunError: If the body broke off or nothing came in time.
        """
        try:
            data = self._connection.read_some(limit=limit)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(error.reason) from error
        self._state.last_seen_at = now()
        if data is None:
            self._return_connection()
        return data

    def _check_head(self, head: RawResponseHead) -> Response:
        decoded = self._dialect.read_response(head.headers)
        self._keep_alive_seconds = decoded.keep_alive_seconds
        self._state.record_load(decoded.load)
        if decoded.limit is not None:
            self._state.record_limit(decoded.limit)
        if decoded.not_run or head.status == _MISDIRECTED:
            self._drain()
            raise NotRunError("refused", head.status)
        if decoded.request_id and decoded.request_id != self._context.head.id:
            # A late answer to an earlier request: this one's may still come, but
            # which bytes are whose can't be told any more on this connection.
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError("crossed")
        if decoded.is_encoded or (head.status in _SUCCESS and not decoded.is_signed):
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError("unsigned")
        # A refusal may leave the limit out; only an answer that ran ends it.
        self._state.record_limit(decoded.limit)
        return Response(head, decoded)

    def _drain(self) -> None:
        try:
            self._connection.read_body(limit=0.1, max_bytes=65_536)
        except ConnectionLostError:
            # The refusal's body is of no use; only the connection is lost with it.
            return
        self._return_connection()

    def _return_connection(self) -> None:
        connection, self._connection = self._connection, None
        self._pool.release(connection, self._keep_alive_seconds)
