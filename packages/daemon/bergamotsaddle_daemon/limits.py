"""Limits on the concurrent calls of this instance to one target."""

from typing import Protocol

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.registry import LIMIT_POLICIES

_GROWTH_UTILIZATION = 0.8
_SHRINK_FACTOR = 0.85
_SHRINK_LATENCY_FACTOR = 1.5
_BASE_DRIFT = 0.02
_MIN_SHRINK_INTERVAL = 0.25
_UNLIMITED = 1_000_000


class Limit(Protocol):
    """A limit on concurrent calls, which may adapt to latency.

    Attributes:
        value: The current limit.
    """

    value: float

    def record_success(self, latency: float, in_flight: int) -> None:
        """Record the latency in seconds of a call that was answered."""

    def record_failure(self) -> None:
        """Record a call that failed."""

    def set_share(self, share: float) -> None:
        """Set this instance's even share of the declared limit."""


@LIMIT_POLICIES.register("unlimited")
class Unlimited:
    """No limit; the baseline policy."""

    def __init__(self, share: float, ceiling: float) -> None:
        self.value: float = _UNLIMITED

    def record_success(self, latency: float, in_flight: int) -> None:
        """Do nothing."""

    def record_failure(self) -> None:
        """Do nothing."""

    def set_share(self, share: float) -> None:
        """Do nothing."""


@LIMIT_POLICIES.register("declared")
class DeclaredLimit(Unlimited):
    """This instance's even share of the declared limit; a second baseline policy."""

    def __init__(self, share: float, ceiling: float) -> None:
        self.value = share

    def set_share(self, share: float) -> None:
        """Set the limit to the new share."""
        self.value = share


@LIMIT_POLICIES.register("adaptive")
class AdaptiveLimit:
    """A limit with additive increase and multiplicative decrease.

    It grows while latency stays near its base, the lowest latency of recent calls, and
    shrinks when latency rises or a call fails.

    Args:
        share: Initial limit, this instance's even share of the declared limit.
        ceiling: Upper bound, the declared limit.
    """

    def __init__(self, share: float, ceiling: float) -> None:
        self.value = share
        self._ceiling = ceiling
        self._base_latency = 0.0
        self._last_shrunk_at = float("-inf")

    def record_success(self, latency: float, in_flight: int) -> None:
        """Record the latency in seconds of a call that was answered."""
        if self._base_latency == 0.0 or latency < self._base_latency:
            self._base_latency = latency
        self._base_latency += _BASE_DRIFT * (latency - self._base_latency)
        if latency > _SHRINK_LATENCY_FACTOR * self._base_latency:
            self._shrink()
        elif in_flight >= _GROWTH_UTILIZATION * self.value:
            self.value = min(self._ceiling, self.value + 1.0 / self.value)

    def record_failure(self) -> None:
        """Record a call that failed, which shrinks the limit."""
        self._shrink()

    def set_share(self, share: float) -> None:
        """Set the limit to the new share unless it has already adapted to latency."""
        if self._base_latency == 0.0:
            self.value = share

    def _shrink(self) -> None:
        # All calls of one slow period would shrink the limit in turn and reduce it to 1
        # at once. The minimum interval lets the effect of one step show first.
        if now() - self._last_shrunk_at < _MIN_SHRINK_INTERVAL:
            return
        self._last_shrunk_at = now()
        self.value = max(1.0, self.value * _SHRINK_FACTOR)
