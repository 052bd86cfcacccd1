"""Finds out whether a target has outlived a response without a length or chunks."""

from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import (
    SILENT,
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.target_notices import TargetNotices

_OK = 200
_MISDIRECTED = 421
_MAX_BODY_BYTES = 65_536
# A sound target may be silent for a second. A caller that waits for the end of a stream
# leaves after two.
_LIMIT_S = 1.5
# Signs that name no failure of a connection.
_RESPONDS = "responds"
_REPLACED = "replaced"
_MALFORMED = "malformed"


class TargetLife:
    """Finds out whether a target has outlived a response without a length or chunks.

    Such a response ends with its connection, and the kernel closes the connections of a
    process that has crashed in the same way. That something accepts connections at the
    address of the target is no sign of life: a relay does, or the next incarnation. So
    the target is asked when it started, and has to respond.

    Args:
        pool: Connections to targets.
        dialect: Makes and decodes the calls.
        notices: Reads what targets say about themselves.
        logger: Logger of this instance.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        dialect: Dialect,
        notices: TargetNotices,
        logger: Any,
    ) -> None:
        self._pool = pool
        self._dialect = dialect
        self._notices = notices
        self._logger = logger

    def has_outlived(self, target: Target, request: str) -> bool:
        """Return whether a target has outlived its unframed response.

        A target that does not say when it started is believed once it responds.

        Args:
            target: The target.
            request: Id of the request that it responded to.
        """
        started_at = now()
        sign = self._find_sign(target, started_at + _LIMIT_S)
        self._logger.info(
            "unframed_end",
            request=request,
            target=target.id,
            sign=sign,
            is_whole=sign == _RESPONDS,
            seconds=round(now() - started_at, 3),
        )
        return sign == _RESPONDS

    def _find_sign(self, target: Target, until: float) -> str:
        """Ask a target, on a new connection if an idle one has ended meanwhile."""
        sign = SILENT
        for connect in (self._pool.acquire, self._pool.open):
            try:
                connection = connect(target.address, limit=until - now())
                return self._ask(target, connection, until)
            except ConnectionLostError as error:
                sign = error.reason
            if now() >= until:
                break
        return sign

    def _ask(self, target: Target, connection: Connection, until: float) -> str:
        """Ask a target when it started.

        Raises:
            ConnectionLostError: If it does not respond.
        """
        call = self._dialect.query_start(target)
        head, body = connection.exchange(
            call, limit=until - now(), max_bytes=_MAX_BODY_BYTES
        )
        response = self._dialect.read_response(head.headers)
        self._notices.read(target, head.status, response)
        self._pool.release(connection, response.keep_alive_seconds)
        if head.status == _MISDIRECTED:
            return _REPLACED
        if head.status != _OK:
            return _RESPONDS
        try:
            started_ms = self._dialect.read_start(body)
        except ValueError:
            return _MALFORMED
        is_known = started_ms and target.started_ms
        return _REPLACED if is_known and started_ms != target.started_ms else _RESPONDS
