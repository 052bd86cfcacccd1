"""Calls from the owner of a stage queue to its targets."""

import secrets
from collections.abc import Callable, Sequence
from typing import TypeVar

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import (
    CROSSED,
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.decisions.stage_queue import QueuedPiece
from bergamotsaddle_serving.given_results import GivenResults
from bergamotsaddle_serving.messages import Dialect, HttpCall, Piece, PieceResult
from bergamotsaddle_serving.named_limits import NamedLimits
from bergamotsaddle_serving.target_notices import TargetNotices
from bergamotsaddle_serving.target_rates import TargetRates
from bergamotsaddle_serving.view import View

T = TypeVar("T")

_OK = 200
_MISDIRECTED = 421
_MAX_BODY_BYTES = 1_000_000
_ID_BYTES = 8
# Calls that need no slot at the target get a response within a few ms.
_RELEASE_TIMEOUT_S = 0.5
_QUERY_TIMEOUT_S = 0.3


class StageCalls:
    """Makes calls to stage targets.

    Args:
        view: Determines whether a target may still get work.
        pool: Connections to targets.
        dialect: Encodes calls and decodes responses.
        limits: Records the limits that responses name.
        rates: Keeps the calls within these limits.
        notices: Reads what targets say about themselves.
    """

    def __init__(
        self,
        view: View,
        pool: ConnectionPool,
        dialect: Dialect,
        limits: NamedLimits,
        rates: TargetRates,
        *,
        notices: TargetNotices,
    ) -> None:
        self._notices = notices
        self._rates = rates
        self._limits = limits
        self._view = view
        self._given = GivenResults()
        self._pool = pool
        self._dialect = dialect

    def run(
        self,
        target: Target,
        batch: Sequence[QueuedPiece],
        limit: float,
        *,
        on_connected: Callable[[], None] = lambda: None,
    ) -> list[PieceResult] | None:
        """Run pieces at a target.

        Args:
            target: The target.
            batch: The pieces.
            limit: Seconds after which the call counts as lost.
            on_connected: Called when the connection is open, just before the call is
                sent.

        Returns:
            A result for each piece, None if the target was full, wants to be left alone
            or had no permit available.

        Raises:
            ConnectionLostError: If the target may not get work or broke off.
            ValueError: If the response is invalid.
        """
        self._check_target(target)
        if not self._notices.may_send(target):
            return None
        urgency = min(piece.urgency for piece in batch)
        if not self._rates.reserve(target, batch[0].key.request, urgency):
            return None
        at = now()
        pieces = [
            Piece(*p.key[:3], p.input_key, p.inputs, p.expires_at - at) for p in batch
        ]
        call = self._dialect.run_pieces(pieces, target)
        connection = self._pool.acquire(target.address)
        try:
            # The target may have announced that it is leaving while the permit or the
            # connection was awaited.
            self._check_target(target)
        except ConnectionLostError:
            connection.close()
            raise
        if not self._notices.may_send(target):
            connection.close()
            return None
        on_connected()
        status, results = self._exchange(
            connection,
            target,
            call,
            limit,
            read=lambda body: self._read_results(pieces, body),
            is_named=True,
            is_certain=_has_result,
        )
        if status == _MISDIRECTED:
            raise ConnectionLostError("misdirected", is_unsent=True)
        return results

    def _read_results(self, pieces: list[Piece], body: bytes) -> list[PieceResult]:
        """Decode the results of a call.

        Raises:
            ConnectionLostError: If they are those of another call.
            ValueError: If they are invalid.
        """
        results = self._dialect.read_results(body)
        if len(results) != len(pieces):
            raise ValueError("expected a result for each piece")
        if not self._given.add(pieces, results):
            raise ConnectionLostError(CROSSED)
        return results

    def wait(self, target: Target) -> float:
        """Return for how many seconds a target wants no calls from this instance."""
        return self._notices.wait(target)

    def query_free_memory(self, target: Target) -> float:
        """Return how many bytes of memory a target has free at most.

        Raises:
            ConnectionLostError: If the target did not respond.
            ValueError: If the response is invalid.
        """
        call = self._dialect.query_free_memory(target)
        connection = self._pool.acquire(target.address)
        _, free = self._exchange(
            connection,
            target,
            call,
            _QUERY_TIMEOUT_S,
            read=self._dialect.read_free_memory,
        )
        if free is None:
            raise ValueError("expected a report")
        return free

    def release(self, target: Target, handles: Sequence[str]) -> None:
        """Release results at a target.

        Raises:
            ConnectionLostError: If the target did not respond.
        """
        call = self._dialect.release_results(handles, target)
        connection = self._pool.acquire(target.address)
        self._exchange(
            connection,
            target,
            call,
            _RELEASE_TIMEOUT_S,
            read=lambda body: None,
            is_named=True,
        )

    def _check_target(self, target: Target) -> None:
        if not self._view.may_get_work(target):
            raise ConnectionLostError("left", is_unsent=True)

    def _exchange(
        self,
        connection: Connection,
        target: Target,
        call: HttpCall,
        limit: float,
        *,
        read: Callable[[bytes], T],
        is_named: bool = False,
        is_certain: Callable[[T | None], bool] = lambda value: True,
    ) -> tuple[int, T | None]:
        """Send a call and read its response.

        The connection is closed unless the response is known to belong to the call.

        Args:
            connection: Connection to the target.
            target: The target.
            call: The call.
            limit: Seconds after which the call counts as lost.
            read: Decodes the body of a success.
            is_named: Whether the call gets an id, which its response may name.
            is_certain: Returns whether what was read can't come from a second copy of
                an earlier response, which leaves that to the call for the next one.

        Returns:
            The status, and what was read; None unless it is a success.

        Raises:
            ConnectionLostError: If there is no response, or one to another call.
            ValueError: If the body is invalid.
        """
        call_id = secrets.token_hex(_ID_BYTES) if is_named else ""
        if is_named:
            call = self._dialect.name_call(call, call_id)
        head, body = connection.exchange(call, limit=limit, max_bytes=_MAX_BODY_BYTES)
        response = self._dialect.read_response(head.headers)
        try:
            if response.request_id not in ("", call_id):
                raise ConnectionLostError(CROSSED)
            # What the head says of the target holds whatever the body is.
            self._notices.read(target, head.status, response)
            value = read(body) if head.status == _OK else None
        except (ConnectionLostError, ValueError):
            connection.close()
            raise
        if response.limit is not None or head.status == _OK:
            self._limits.record(target, response.limit)
        is_named_or_first = bool(response.request_id) or not connection.is_reused
        if is_named_or_first or is_certain(value):
            self._pool.release(connection, response.keep_alive_seconds)
        else:
            connection.close()
        return head.status, value


def _has_result(results: list[PieceResult] | None) -> bool:
    """Return whether a response brings a result, which no other response brought."""
    return any(result.handle for result in results or ())
