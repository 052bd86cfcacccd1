"""How often requests are sent to a second target, over all instances together.

This module does no input or output.
"""

from bergamotsaddle_daemon.clock import now

# Hedges of calm times that may be saved for a target that turns slow.
_MAX_SAVED = 10.0
# The same at an instance that has not told them yet.
_MAX_UNTOLD = 1.0
# What an instance tells without wanting a hedge, and how often at most: the sum of what
# hundreds of instances have earned is then known, and each of them rarely sends.
_MIN_TOLD = 0.1
_TELL_INTERVAL_S = 5.0


class HedgePool:
    """Keeps the hedges of all instances within a share of the requests.

    This serves services all of whose targets slow down together: each request is slow
    then, and hedges would double the load of targets that are behind already. Each
    request earns the share, and each hedge costs one. One instance owns the pool of a
    service. The others tell it what their requests have earned when they want a hedge,
    and from time to time: of hundreds of instances with a request in some seconds each,
    one that wants a hedge has earned a small part of it.

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
        self._told_at_by_service: dict[str, float] = {}

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
        self._told_at_by_service[service] = now()
        return self._earned_by_service.pop(service, 0.0)

    def take_due(self, service: str) -> float:
        """Return the same if it is to be told without a question, 0 if it is not."""
        told_at = self._told_at_by_service.get(service)
        is_early = told_at is not None and now() - told_at < _TELL_INTERVAL_S
        if is_early or self._earned_by_service.get(service, 0.0) < _MIN_TOLD:
            return 0.0
        return self.take_earned(service)

    def add(self, service: str, earned: float) -> None:
        """Add what an instance has earned, in hedges."""
        saved = self._saved_by_service.get(service, 0.0) + earned
        self._saved_by_service[service] = min(_MAX_SAVED, saved)

    def grant(self, service: str, earned: float) -> bool:
        """Add what an instance has earned, and use a hedge if there is one.

        Args:
            service: The service.
            earned: What the instance has earned, in hedges.

        Returns:
            Whether the instance may send a hedge.
        """
        self.add(service, earned)
        is_granted = self._saved_by_service[service] >= 1.0
        self._saved_by_service[service] -= is_granted
        return is_granted
