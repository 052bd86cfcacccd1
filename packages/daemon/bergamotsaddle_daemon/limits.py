"""How many calls this instance has at one target at once."""

from typing import Protocol

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.registry import LIMIT_POLICIES

_GROWTH_FILL = 0.8
_SHRINK = 0.85
_SLOW_FACTOR = 1.5
_BASE_DRIFT = 0.02
_SHRINK_PAUSE = 0.25
_UNLIMITED = 1_000_000


class Limit(Protocol):
    """A bound on concurrent calls that may follow latency."""

    value: float

    def finish(self, latency: float, in_flight: int) -> None:
        """Learn from a call that was answered, latency in seconds."""

    def fail(self) -> None:
        """Learn from a call that failed."""

    def share(self, start: float) -> None:
        """Follow a change of this instance's even share of the declared limit."""


@LIMIT_POLICIES.register("unlimited")
class Unlimited:
    """No bound; the baseline."""

    def __init__(self, start: float, ceiling: float) -> None:
        self.value: float = _UNLIMITED

    def finish(self, latency: float, in_flight: int) -> None:
        """Do nothing."""

    def fail(self) -> None:
        """Do nothing."""

    def share(self, start: float) -> None:
        """Do nothing."""


@LIMIT_POLICIES.register("declared")
class Declared(Unlimited):
    """This instance's even share of the declared limit; a second baseline."""

    def __init__(self, start: float, ceiling: float) -> None:
        self.value = start

    def share(self, start: float) -> None:
        """Take the new share."""
        self.value = start


@LIMIT_POLICIES.register("adaptive")
class Adaptive:
    """Additive increase while latency is near its base, else multiplicative decrease.

    Args:
        start: First value, this instance's even share of the declared limit.
        ceiling: Highest value, the declared limit.
    """

    def __init__(self, start: float, ceiling: float) -> None:
        self.value = start
        self._ceiling = ceiling
        self._base = 0.0
        self._shrunk_at = float("-inf")

    def finish(self, latency: float, in_flight: int) -> None:
        """Learn from a call that was answered, latency in seconds."""
        if self._base == 0.0 or latency < self._base:
            self._base = latency
        self._base += _BASE_DRIFT * (latency - self._base)
        if latency > _SLOW_FACTOR * self._base:
            self._shrink()
        elif in_flight >= _GROWTH_FILL * self.value:
            self.value = min(self._ceiling, self.value + 1.0 / self.value)

    def fail(self) -> None:
        """Learn from a call that failed."""
        self._shrink()

    def share(self, start: float) -> None:
        """Take the new share, unless something better has been learnt."""
        if self._base == 0.0:
            self.value = start

    def _shrink(self) -> None:
        # Every call of one slow moment would shrink the limit again and bring it
        # to one at once; shrinking once per pause lets the effect show first.
        if now() - self._shrunk_at < _SHRINK_PAUSE:
            return
        self._shrunk_at = now()
        self.value = max(1.0, self.value * _SHRINK)
