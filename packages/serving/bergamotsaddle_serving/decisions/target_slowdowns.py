"""How long work takes at each target of a service now.

This module does no input or output.
"""

from collections.abc import Set
from statistics import median

from bergamotsaddle_daemon.clock import now

# A report that is older says nothing about the present; a younger one counts less with
# its age.
MAX_REPORT_AGE_S = 1.0
# Reported and measured multiples are held within these bounds, so that a false report
# shifts no more work than a target that really is this fast or slow.
MIN_SLOWDOWN = 0.5
MAX_SLOWDOWN = 10.0
# Usual seconds of a request before the first one has ended, as for ``TargetState``.
_INITIAL_SECONDS = 0.05
_MIN_SECONDS = 0.001
# Weight of each run in the pace of its target, and in the usual seconds of its route:
# what a single target changes is mostly attributed to it.
_RUN_WEIGHT = 0.1
_ROUTE_WEIGHT = 0.03
# Routes whose usual seconds are remembered.
_MAX_ROUTES = 256
# Reports are believed while this fraction of the latest runs took about the time that
# they predicted.
_MIN_TRUST = 0.5
_TRUST_WEIGHT = 0.25
# Seconds that differ from those predicted by this factor contradict the report.
_CONTRADICTION = 3.0


class _TargetSpeed:
    """What is known about the speed of one incarnation of a target.

    Attributes:
        pace: Usual seconds of a request, as a multiple of those at all targets.
    """

    def __init__(self) -> None:
        self.pace = 1.0
        self.reported = 1.0
        self.reported_at = float("-inf")
        self.measured = 1.0
        self.measured_at = float("-inf")
        self.trust = 1.0

    @property
    def is_believed(self) -> bool:
        """Whether its reports agree with the seconds of its runs."""
        return self.trust >= _MIN_TRUST

    def weigh_trust(self, is_right: bool) -> None:
        """Count a report that a run has confirmed or contradicted."""
        self.trust += _TRUST_WEIGHT * (is_right - self.trust)


class TargetSlowdowns:
    """Expected seconds of a request at each target, by reports and by measured seconds.

    This answers targets that share their machines: for a part of a second a neighbour
    makes work take several times as long, then it is as usual again. One instance among
    many hears of a target too rarely to notice. The owner of a service's queue hears of
    all requests; each of them brings a report, which is no better than its age.
    Reports that the seconds of runs contradict are replaced by these seconds.

    The routes of a service differ in their work, so each run is compared with the usual
    seconds of its own route. Quick ones would otherwise contradict true reports, and
    the target that happened to get the last one would look fast.
    """

    def __init__(self) -> None:
        # Usual seconds at all targets, None before the first run.
        self._mean: float | None = None
        self._mean_by_route: dict[str, float] = {}
        self._speed_by_incarnation: dict[tuple[str, int], _TargetSpeed] = {}

    def __len__(self) -> int:
        """Return the number of incarnations that are known."""
        return len(self._speed_by_incarnation)

    def record(
        self,
        incarnation: tuple[str, int],
        *,
        seconds: float | None = None,
        slowdown: float | None = None,
        age: float = 0.0,
        route: str = "",
    ) -> None:
        """Record the end of a run.

        Args:
            incarnation: The target's incarnation.
            seconds: Seconds that the run took, None if it was not completed.
            slowdown: Reported multiple of the usual time, None if there is none.
            age: Seconds since the report was sent.
            route: Name of the route of the request.
        """
        speed = self._speed_by_incarnation.setdefault(incarnation, _TargetSpeed())
        at = now()
        if slowdown is not None and at - age >= speed.reported_at:
            speed.reported = _clamp(slowdown)
            speed.reported_at = at - max(0.0, age)
        if seconds is None:
            return
        mean = self._mean_by_route.get(route)
        if mean is not None:
            usual = mean * speed.pace
            if slowdown is not None:
                factor = seconds / (usual * _clamp(slowdown))
                speed.weigh_trust(1 / _CONTRADICTION < factor < _CONTRADICTION)
            speed.measured = _clamp(seconds / usual)
            speed.measured_at = at
        divisor = _clamp(slowdown) if slowdown and speed.is_believed else 1.0
        self._learn(speed, route, max(_MIN_SECONDS, seconds / divisor))

    def _learn(self, speed: _TargetSpeed, route: str, seconds: float) -> None:
        """Learn from the seconds of a run as they would usually be."""
        at_all = seconds / speed.pace
        mean = self._mean if self._mean is not None else at_all
        self._mean = mean + _ROUTE_WEIGHT * (at_all - mean)
        # One that has not been used for longest makes room.
        route_mean = self._mean_by_route.pop(route, at_all)
        self._mean_by_route[route] = route_mean + _ROUTE_WEIGHT * (at_all - route_mean)
        if len(self._mean_by_route) > _MAX_ROUTES:
            del self._mean_by_route[next(iter(self._mean_by_route))]
        speed.pace += _RUN_WEIGHT * (seconds / route_mean - speed.pace)

    def slowdown(self, incarnation: tuple[str, int]) -> float:
        """Return the multiple of the usual time that work takes now."""
        speed = self._speed_by_incarnation.get(incarnation)
        if speed is None:
            return 1.0
        if speed.is_believed:
            return _fade(speed.reported, speed.reported_at)
        return _fade(speed.measured, speed.measured_at)

    def usual(self, incarnation: tuple[str, int]) -> float:
        """Return the seconds of a request when the target is as usual."""
        speed = self._speed_by_incarnation.get(incarnation)
        return self._usual_of(speed) if speed is not None else self.typical()

    def typical(self) -> float:
        """Return the usual seconds of a request at the median target."""
        if not self._speed_by_incarnation:
            return _INITIAL_SECONDS
        return median(map(self._usual_of, self._speed_by_incarnation.values()))

    def _usual_of(self, speed: _TargetSpeed) -> float:
        mean = self._mean if self._mean is not None else _INITIAL_SECONDS
        return mean * speed.pace

    def expected(self, incarnation: tuple[str, int]) -> float:
        """Return the seconds that a request takes if it starts now."""
        return self.usual(incarnation) * self.slowdown(incarnation)

    def keep_only(self, incarnations: Set[tuple[str, int]]) -> None:
        """Forget all other incarnations."""
        for incarnation in self._speed_by_incarnation.keys() - incarnations:
            del self._speed_by_incarnation[incarnation]


def _clamp(slowdown: float) -> float:
    return min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, slowdown))


def _fade(value: float, at: float) -> float:
    """Return what is left of a value: with its age it approaches the usual one."""
    weight = max(0.0, 1.0 - (now() - at) / MAX_REPORT_AGE_S)
    return 1.0 + weight * (value - 1.0)
