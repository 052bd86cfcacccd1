"""Keeps requests to targets within the limits that the targets name."""

from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.named_limits import NamedLimits
from bergamotsaddle_serving.rate_exchange import RateExchange


class TargetRates:
    """Permits for requests to targets that name a limit.

    Args:
        limits: Limits of the targets.
        exchange: Requests permits from the owner of a rate.
        logger: Gets a line when a target has no permit.
    """

    def __init__(
        self, limits: NamedLimits, exchange: RateExchange, logger: Any
    ) -> None:
        self._limits = limits
        self._exchange = exchange
        self._logger = logger
        self._free_at_by_incarnation: dict[tuple[str, int], float] = {}

    def reserve(self, target: Target, request: str, urgency: int) -> bool:
        """Acquire a permit for one request if the target requires one.

        Args:
            target: The target.
            request: Id of the request.
            urgency: Urgency of the request, 0 first.

        Returns:
            Whether the request may be sent.
        """
        limit = self._limits.of(target)
        if limit is None:
            return True
        if self.wait(target) > 0:
            return False
        key = f"{target.id} {target.started_ms}"
        wait = self._exchange.request_permit(key, target.zone, limit, urgency)
        if wait <= 0:
            return True
        self._free_at_by_incarnation[target.incarnation] = now() + wait
        self._logger.info(
            "limit_reached",
            request=request,
            target=target.id,
            limit=limit,
            wait=round(wait, 3),
        )
        return False

    def wait(self, target: Target) -> float:
        """Return the seconds until a target may have a permit, 0 if it may now."""
        if not self._free_at_by_incarnation or self._limits.of(target) is None:
            return 0.0
        return max(
            0.0, self._free_at_by_incarnation.get(target.incarnation, 0.0) - now()
        )

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other target incarnations."""
        for incarnation in set(self._free_at_by_incarnation) - incarnations:
            del self._free_at_by_incarnation[incarnation]
