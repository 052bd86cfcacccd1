"""How often requests are sent to a second target, over all instances together.

This module does no input or output.
"""

# Hedges of calm times that may be saved for a target that turns slow.
_MAX_SAVED = 10.0
# The same at an instance that has not told them yet.
_MAX_UNTOLD = 1.0


class HedgePool:
    """Keeps the hedges of all instances within a share of the requests.

    This serves services all of whose targets slow down together: each request is slow
    then, and hedges would double the load of targets that are behind already. Each
    request earns the share, and each hedge costs one. One instance owns the pool of a
    service. The others add what their requests have earned when they want a hedge, so
    that hundreds of instances with a request in some seconds each can use them.

    Nothing is spent that was not earned and told before. A pool that is lost with its
    owner, a message that is lost on its way, or an instance that ends with what it has
    earned therefore leads to fewer hedges, never to more; zones that are cut off from
    each other have a pool each, of what their own requests have earned.

    Args:
        max_share: Hedges allowed, as a fraction of the repeatable requests.
    """

    def __init__(self, max_share: float) -> None:
        self._max_share = max_share
        self._earned_by_service: dict[str, float] = {}
        self._saved_by_service: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether any hedge is allowed."""
        return self._max_share > 0

    def count_request(self, service: str) -> None:
        """Count a repeatable request of this instance."""
        earned = self._earned_by_service.get(service, 0.0) + self._max_share
        self._earned_by_service[service] = min(_MAX_UNTOLD, earned)

    def take_earned(self, service: str) -> float:
        """Return what this instance has earned since the last call, in hedges."""
        return self._earned_by_service.pop(service, 0.0)

    def grant(self, service: str, earned: float) -> bool:
        """Add what an instance has earned, and use a hedge if there is one.

        Args:
            service: The service.
            earned: What the instance has earned, in hedges.

        Returns:
            Whether the instance may send a hedge.
        """
        saved = min(_MAX_SAVED, self._saved_by_service.get(service, 0.0) + earned)
        is_granted = saved >= 1.0
        self._saved_by_service[service] = saved - is_granted
        return is_granted
