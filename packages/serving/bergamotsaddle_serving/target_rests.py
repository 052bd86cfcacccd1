"""Targets that have asked this instance to send nothing for a while."""

from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target

# A longer rest would outlast any overload; a faulty target may ask for days.
_MAX_REST_S = 60.0
# While a target rests, another one of its service gets at most this many requests per
# slot. More would only move the overload there.
_MAX_REQUESTS_PER_SLOT = 2


class TargetRests:
    """Rests that targets ask for when they reject a request.

    A rest applies to the instance that was rejected. The other instances are not told:
    a target that sheds a part of its load would otherwise lose all of it, and the
    other targets would be overloaded.

    Args:
        logger: Gets a line when a rest begins or is extended.
    """

    def __init__(self, logger: Any) -> None:
        self._logger = logger
        self._until_by_incarnation: dict[tuple[str, int], float] = {}
        self._until_by_service: dict[str, float] = {}

    def record(self, target: Target, seconds: float) -> None:
        """Record that a target asked for rest.

        Args:
            target: The target.
            seconds: How long it wants to get nothing.
        """
        until = now() + min(seconds, _MAX_REST_S)
        if until <= self._until_by_incarnation.get(target.incarnation, 0.0):
            return
        self._until_by_incarnation[target.incarnation] = until
        until_for_service = self._until_by_service.get(target.service, 0.0)
        self._until_by_service[target.service] = max(until, until_for_service)
        self._logger.info("target_rests", target=target.id, seconds=seconds)

    def wait(self, target: Target) -> float:
        """Return the remaining seconds of a target's rest, 0 if it does not rest."""
        if not self._until_by_incarnation:
            return 0.0
        until = self._until_by_incarnation.get(target.incarnation, 0.0)
        return max(0.0, until - now())

    def has_room(self, target: Target, requests: int) -> bool:
        """Return whether a target may get a request besides those that it has.

        Args:
            target: The target.
            requests: Requests of all instances at the target, as far as known.
        """
        if not self._until_by_service:
            return True
        if self.wait(target):
            return False
        if now() >= self._until_by_service.get(target.service, 0.0):
            return True
        return requests < _MAX_REQUESTS_PER_SLOT * max(1, target.slots)

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget other incarnations and rests that are over."""
        at = now()
        for incarnation, until in list(self._until_by_incarnation.items()):
            if incarnation not in incarnations or until <= at:
                del self._until_by_incarnation[incarnation]
        for service, until in list(self._until_by_service.items()):
            if until <= at:
                del self._until_by_service[service]
