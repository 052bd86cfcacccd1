"""How long requests wait for the owners of stage queues after a start of all instances.

This module does no input or output.
"""

from collections.abc import Callable

# Instances that start together know each other and own their queues within this time.
_MAX_START_S = 2.0
# How often a request that waits looks for owners.
_POLL_S = 0.05


class FleetStart:
    """The time in which instances that have just started may lack owners of queues.

    This serves the return of a fleet after a loss of power: its callers come back
    before the instances know each other, so that nobody owns a queue of a stage yet. A
    request that was refused then would come back after most of its objective, while the
    queues are empty and their owners known a moment later. Once an instance has run for
    a while, a queue without an owner is beyond its reach, and requests are not kept
    waiting for it.

    Args:
        now: Returns the time on the hub's clock.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._ends_at = now() + _MAX_START_S

    def pause(self, due_at: float) -> float:
        """Return the seconds after which to look for owners again, 0 for no more.

        Args:
            due_at: When the request is due, on the hub's clock. A request that is late
                is better refused, so that its caller can return.
        """
        left = min(self._ends_at, due_at) - self._now()
        return max(0.0, min(_POLL_S, left))
