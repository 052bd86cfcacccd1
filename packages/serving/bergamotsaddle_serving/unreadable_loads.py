"""Targets that report a load that can't be read."""

from typing import Any

from bergamotsaddle_serving.catalog import Target


class UnreadableLoads:
    """Counts loads that can't be read, with one log line for each target.

    Args:
        logger: Gets a line for the first one of each incarnation.

    Attributes:
        count: Number of responses with such a load.
    """

    def __init__(self, logger: Any) -> None:
        self._logger = logger
        self._incarnations: set[tuple[str, int]] = set()
        self.count = 0

    def record(self, target: Target) -> None:
        """Record a response whose load can't be read."""
        self.count += 1
        if target.incarnation not in self._incarnations:
            self._incarnations.add(target.incarnation)
            self._logger.warning("load_unreadable", target=target.id)

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other incarnations."""
        self._incarnations &= incarnations
