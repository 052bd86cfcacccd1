"""Decides how much slower than usual an engine is, from the requests that it serves.

This module does no input or output.
"""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from bergamotsaddle_daemon.registry import Registry

# Id and start time of an engine.
Incarnation = tuple[str, int]

# Usual ratio of actual to expected time before any request was served, the weight of
# the newest ratio, and the largest one that counts.
_INITIAL_RATIO = 1.5
_RATIO_WEIGHT = 0.05
_MAX_RATIO = 3.0
# An engine is slow if it takes this many times as long as usual and this much longer.
_SLOW_FACTOR = 2.0
_SLOW_EXTRA_S = 0.1
_MAX_SLOWDOWN = 8.0
# Shorter expected times say little about a ratio.
_MIN_EXPECTED_S = 0.05
# How long an observation holds. Requests then find out again how fast the engine is.
_TTL_S = 3.0
# A confirmed slowdown is reported again after this time.
_REPORT_INTERVAL_S = 1.0


class EnginePaces(Protocol):
    """How many times as long as usual each engine takes until a first event."""

    def observe(
        self,
        engine: Incarnation,
        expected: float,
        seconds: float,
        at: float,
        *,
        is_done: bool,
    ) -> float | None:
        """Record how long an engine has taken for one request.

        Args:
            engine: The engine.
            expected: Expected seconds at the usual pace.
            seconds: Seconds until the first event, or so far without one.
            at: Current time on the hub's clock.
            is_done: Whether the first event has arrived.

        Returns:
            The slowdown to report to the other instances, None if it is not news.
        """

    def record(self, engine: Incarnation, slowdown: float, at: float) -> None:
        """Record the slowdown that an instance observed."""

    def slowdown(self, engine: Incarnation, at: float) -> float:
        """Return how many times as long as usual an engine takes, at least 1."""

    def patience(self, expected: float) -> float:
        """Return the seconds after which an engine without a first event is slow."""


PACES: Registry[Callable[[], EnginePaces]] = Registry("pace")


@PACES.register("declared")
class DeclaredPaces:
    """Takes all engines to be equally fast.

    This suits engines whose waiting prompt tokens explain how long they take.
    """

    def observe(self, *_: object, is_done: bool) -> float | None:
        """Return None: nothing is ever reported."""

    def record(self, *_: object) -> None:
        """Ignore the report."""

    def slowdown(self, *_: object) -> float:
        """Return 1."""
        return 1.0

    def patience(self, _: float) -> float:
        """Return infinity: no engine is ever slow."""
        return float("inf")


class _Slowdown(NamedTuple):
    """An observed slowdown."""

    value: float
    observed_at: float
    reported_at: float


@PACES.register("observed")
class ObservedPaces:
    """Learns from first events, and from their absence, which engines are slow.

    This suits engines that turn slow for some seconds under load. In a large fleet an
    instance sends a request to one engine every half minute, so it needs to hear what
    the other instances observe. Slow means slower than engines usually are against
    their forecast, which this instance learns from all of them.
    """

    def __init__(self) -> None:
        self._usual_ratio = _INITIAL_RATIO
        self._slowdown_by_engine: dict[Incarnation, _Slowdown] = {}

    def observe(
        self,
        engine: Incarnation,
        expected: float,
        seconds: float,
        at: float,
        *,
        is_done: bool,
    ) -> float | None:
        """Record how long an engine has taken for one request."""
        usual = self._usual_seconds(expected)
        value = min(_MAX_SLOWDOWN, round(seconds / usual, 1))
        is_slow = value >= _SLOW_FACTOR and seconds >= usual + _SLOW_EXTRA_S
        if is_done:
            ratio = min(_MAX_RATIO, seconds / max(_MIN_EXPECTED_S, expected))
            self._usual_ratio += _RATIO_WEIGHT * (ratio - self._usual_ratio)
        known = self._known(engine, at)
        if not is_slow:
            value = 1.0
        if not is_done and (not is_slow or value <= known.value):
            return None
        if value == known.value == 1.0:
            return None
        is_news = is_slow != (known.value > 1.0)
        is_due = is_news or at - known.reported_at >= _REPORT_INTERVAL_S
        reported_at = at if is_due else known.reported_at
        self._slowdown_by_engine[engine] = _Slowdown(value, at, reported_at)
        return value if is_due else None

    def record(self, engine: Incarnation, slowdown: float, at: float) -> None:
        """Record the slowdown that an instance observed."""
        self._slowdown_by_engine[engine] = _Slowdown(slowdown, at, at)

    def slowdown(self, engine: Incarnation, at: float) -> float:
        """Return how many times as long as usual an engine takes, at least 1."""
        return self._known(engine, at).value

    def patience(self, expected: float) -> float:
        """Return the seconds after which an engine without a first event is slow."""
        usual = self._usual_seconds(expected)
        return max(_SLOW_FACTOR * usual, usual + _SLOW_EXTRA_S)

    def _usual_seconds(self, expected: float) -> float:
        return max(_MIN_EXPECTED_S, expected) * self._usual_ratio

    def _known(self, engine: Incarnation, at: float) -> _Slowdown:
        known = self._slowdown_by_engine.get(engine)
        if known is not None and at - known.observed_at <= _TTL_S:
            return known
        self._slowdown_by_engine.pop(engine, None)
        return _Slowdown(1.0, at, float("-inf"))
