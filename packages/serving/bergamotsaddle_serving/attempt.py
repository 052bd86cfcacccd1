"""Sends one request to one target and reads its response."""

from collections.abc import Callable
from typing import NamedTuple, NoReturn, TypeVar

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.body_memory import MemoryShortError, Remainder
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import (
    CONNECTION_REFUSED,
    CROSSED,
    NO_MEMORY,
    SILENT,
    TOO_LONG,
    UNFINISHED,
    Connection,
    ConnectionLostError,
    ConnectionPool,
    EndlessError,
    RawResponseHead,
)
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.messages import Dialect, Dispatch, HttpCall, ResponseHead
from bergamotsaddle_serving.response_identity import is_own_response

T = TypeVar("T")

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


class SilentError(OutcomeUnknownError):
    """The target has sent nothing for a time, but may still go on.

    The connection is open, and the part that was being read may be read again.
    """

    def __init__(self) -> None:
        super().__init__(SILENT)


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
        is_sent: Whether the request was sent on a connection, whole or in part.
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
        self._is_silent = False
        self._is_writing = False
        self._is_framed: bool | None = None
        self._response_id = ""
        self._is_reused = False
        # The part of an event whose rest has not arrived.
        self._part = Remainder(context.memory)
        self.is_sent = False
        self.started_at = now()

    def __enter__(self) -> "Attempt":
        self._state.in_flight += 1
        return self

    def __exit__(self, *_: object) -> None:
        self._state.in_flight -= 1
        self._state.silent -= self._is_silent
        self._state.writing -= self._is_writing
        self._is_silent = self._is_writing = False
        self._part.resize(0)
        if self._connection is not None:
            self._connection.close()

    def send(
        self,
        dispatch: Dispatch,
        *,
        limit: float,
        max_wait: float | None = None,
        on_sent: Callable[[int], None] | None = None,
        may_send: Callable[[], bool] = lambda: True,
    ) -> Response:
        """Send the request and wait for the head of the response.

        Args:
            dispatch: Parameters of the request for the target.
            limit: Seconds after which a target that sends nothing counts as silent.
            max_wait: Seconds to wait while the target responds to other requests.
                Defaults to ``limit``.
            on_sent: Called with the size of the request once it has been handed to the
                connection.
            may_send: Returns whether the target may still get the request. It may have
                announced that it is leaving while the connection was opened.

        Raises:
            NotRunError: If the target did not run the request.
            SilentError: If the head did not arrive within the limit.
            OutcomeUnknownError: If the target may have run the request.
        """
        context = self._context
        body = context.body
        headers = self._dialect.forward(context.head, dispatch, len(body))
        call = HttpCall(context.head.method, context.head.path, headers, body)
        try:
            connection = self._acquire(dispatch.target.address, limit)
        except ConnectionLostError as error:
            self._state.record_failure(is_certain=True)
            raise NotRunError(error.reason) from error
        self._connection = connection
        if not may_send():
            raise NotRunError("left")
        self.is_sent = context.progress.is_sent = True
        self._is_reused = connection.is_reused
        context.progress.addresses.add(dispatch.target.address)
        size = self._read(lambda: connection.send(call, limit=limit))
        if on_sent is not None:
            on_sent(size)
        return self.read_response(limit=limit, max_wait=max_wait)

    def _acquire(self, address: Address, limit: float) -> Connection:
        """Return a connection that has not carried this request before.

        A late second response to an earlier run at the same target names the request
        as well, so only a new connection tells it from the response that is awaited.
        """
        if address in self._context.progress.addresses:
            return self._pool.open(address, limit=limit)
        return self._pool.acquire(address, limit=limit)

    def read_response(self, *, limit: float, max_wait: float | None = None) -> Response:
        """Wait for the head of the response, as ``send`` does.

        Raises:
            NotRunError: If the target did not run the request.
            SilentError: If the head did not arrive within the limit.
            OutcomeUnknownError: If the target may have run the request.
        """
        head = self._read(lambda: self._read_head(limit, max_wait or limit))
        return self._check_head(head)

    def _read_head(self, limit: float, max_wait: float) -> RawResponseHead:
        deadline_at = now() + max_wait
        wait = limit
        while True:
            waiting_since = now()
            try:
                return self._connection.read_head(
                    limit=min(wait, deadline_at - waiting_since)
                )
            except ConnectionLostError as error:
                last_seen_at = self._state.last_seen_at
                is_over = error.reason != SILENT or now() >= deadline_at
                if is_over or last_seen_at <= waiting_since:
                    raise
                # A busy engine reads other prompts first, and a hedge would only have
                # the work done twice.
                wait = last_seen_at + limit - now()

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Read the complete body, which the request holds until it ends.

        Args:
            limit: Seconds after which the target counts as silent.
            max_bytes: Size that the body may have.

        Raises:
            SilentError: If it did not arrive within the limit. What has arrived is
                kept for the next call.
            OutcomeUnknownError: If the body is incomplete.
        """
        connection = self._connection
        body = self._read(
            lambda: connection.read_body(limit=limit, max_bytes=max_bytes)
        )
        self._return_connection()
        self._context.memory.keep(len(body))
        return body

    def read_some(self, *, limit: float) -> bytes | None:
        """Read the next chunk of the body.

        Args:
            limit: Seconds after which the target counts as silent.

        Returns:
            The chunk, None at the end of the body. ``finish_stream`` must follow it.

        Raises:
            SilentError: If nothing arrived within the limit.
            OutcomeUnknownError: If the body broke off.
        """
        data = self._read(lambda: self._connection.read_some(limit=limit))
        self._state.last_seen_at = self._pool.last_response_at = now()
        if data is not None and not self._is_writing:
            self._is_writing = True
            self._state.writing += 1
        return data

    def describe_response(self) -> dict[str, bool | str | None]:
        """Return, for logs, what shows whose response was read.

        Returns:
            Whether the response states where its body ends, None before its head has
            arrived; the id of the request that it names, empty if it names none; and
            whether its connection has carried other requests before.
        """
        return {
            "framed": self._is_framed,
            "response_id": self._response_id,
            "reused": self._is_reused,
        }

    def hold(self, size: int) -> None:
        """Hold a part of an event until the rest of it arrives.

        Args:
            size: Bytes of the part, 0 if there is none.

        Raises:
            OutcomeUnknownError: If that is more than the request may hold.
        """
        try:
            self._part.resize(size)
        except MemoryShortError:
            self._read(lambda: self._connection.refuse(NO_MEMORY, "event", size))

    def refuse_body(self, size: int) -> NoReturn:
        """Give up a body that is longer than it may be.

        Args:
            size: Its size as stated.

        Raises:
            OutcomeUnknownError: Always.
        """
        self._read(lambda: self._connection.refuse(TOO_LONG, "body", size))

    def _read(self, part: Callable[[], T]) -> T:
        """Use the connection, and record whether the target is silent.

        Raises:
            SilentError: If the target sent nothing in time.
            OutcomeUnknownError: If the connection failed.
        """
        try:
            value = part()
        except ConnectionLostError as error:
            if error.reason != SILENT:
                is_certain = isinstance(error, EndlessError) and error.is_certain
                self._state.record_failure(is_certain=is_certain)
                raise OutcomeUnknownError(error.reason) from error
            self._record_silence()
            raise SilentError from error
        if self._is_silent:
            self._is_silent = False
            self._state.silent -= 1
            self._state.record_end_of_silence()
        return value

    def _record_silence(self) -> None:
        if not self._is_silent:
            self._is_silent = True
            self._state.silent += 1
            self._state.record_failure(is_certain=False)

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
        self._is_framed = head.is_framed
        self._pool.last_response_at = now()
        decoded = self._dialect.read_response(head.headers)
        self._response_id = decoded.request_id
        self._check_identity(decoded)
        self._keep_alive_seconds = decoded.keep_alive_seconds
        self._state.record_load(decoded.load)
        self._state.record_response(head.status, decoded)
        if decoded.limit is not None:
            self._state.record_limit(decoded.limit)
        if decoded.not_run or head.status == _MISDIRECTED:
            self._drain()
            raise NotRunError("refused", head.status)
        if decoded.is_encoded or (head.is_success and not decoded.is_signed):
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError("unsigned")
        # A refusal may leave out the limit. Only the response to a request that has run
        # ends it.
        self._state.record_limit(decoded.limit)
        return Response(head, decoded)

    def _check_identity(self, decoded: ResponseHead) -> None:
        """Check that a response belongs to this request before anything it says counts.

        Raises:
            OutcomeUnknownError: If it may belong to an earlier request.
        """
        is_own = is_own_response(
            decoded.request_id,
            self._context.head.id,
            is_reused=self._is_reused,
        )
        if not is_own:
            self._state.record_failure(is_certain=False)
            raise OutcomeUnknownError(CROSSED)

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
