"""Learns how long the requests of each route take here.

This module does no input or output.
"""

from collections import OrderedDict, deque
from typing import NamedTuple

from bergamotsaddle_serving.catalog import Route

_MAX_ROUTES = 1_000
_MAX_REQUESTS = 32
# Share of the requests that take no longer than usual, if a cut one may be repeated.
_USUAL_SHARE = 0.9


class _Times(NamedTuple):
    """How long the last requests of a route took.

    Attributes:
        whole: Seconds from the arrival to the end.
        runs: Seconds from when a target was sent the request to the end.
    """

    whole: deque[float]
    runs: deque[float]


class RequestTimes:
    """Keeps how long the last requests of each route took."""

    def __init__(self) -> None:
        self._times_by_route: OrderedDict[str, _Times] = OrderedDict()

    def record(self, route: Route, whole: float, run: float | None) -> None:
        """Record a request that has ended.

        Args:
            route: Its route.
            whole: Seconds from its arrival to its end, or to its deadline.
            run: Seconds from when a target was sent it to its end, None if that is
                unknown.
        """
        times = self._times_by_route.pop(route.name, None)
        if times is None:
            times = _Times(deque(maxlen=_MAX_REQUESTS), deque(maxlen=_MAX_REQUESTS))
        times.whole.append(whole)
        if run is not None:
            times.runs.append(run)
        self._times_by_route[route.name] = times
        if len(self._times_by_route) > _MAX_ROUTES:
            self._times_by_route.popitem(last=False)

    def usual(self, route: Route) -> float | None:
        """Return the seconds within which requests of a route end, None if unknown.

        All of the last ones did if a request that is cut can't be repeated, and most of
        them otherwise.
        """
        times = self._times_by_route.get(route.name)
        if times is None:
            return None
        ordered = sorted(times.whole)
        share = _USUAL_SHARE if route.may_repeat else 1.0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]

    def shortest_run(self, route: Route) -> float:
        """Return the seconds that each run of a route takes, 0 if unknown."""
        times = self._times_by_route.get(route.name)
        return min(times.runs, default=0.0) if times is not None else 0.0
