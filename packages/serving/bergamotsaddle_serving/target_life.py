"""Finds out whether a target has outlived a response without a length or chunks."""

from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import CONNECTION_REFUSED, ConnectionPool
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.target_notices import TargetNotices


class TargetLife:
    """Finds out whether a target has outlived a response without a length or chunks.

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

        Args:
            target: The target.
            request: Id of the request that it responded to.
        """
        started_at = now()
        is_refused = self._pool.is_refused(target.address)
        self._logger.info(
            "unframed_end",
            request=request,
            target=target.id,
            sign=CONNECTION_REFUSED if is_refused else "accepted",
            is_whole=not is_refused,
            seconds=round(now() - started_at, 3),
        )
        return not is_refused
