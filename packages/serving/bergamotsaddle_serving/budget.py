"""Limits that hold over all instances together, kept by each one's own share."""

from collections import deque

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.settings import BoundSettings

# The part of what is allowed that is used. Instances count for themselves, so that a
# service sees their windows overlap, and a dying one leaves its calls to be repeated.
_USED_PART = 0.6
# An instance that knows of few others may just have started.
_LEAST_FLEET = 6


class _Window:
    """Counts events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self) -> None:
        self._times.append(now())

    def count(self) -> int:
        begin = now() - self._seconds
        while self._times and self._times[0] < begin:
            self._times.popleft()
        return len(self._times)


class RetryBudget:
    """Extra calls by service.

    When a service fails, retries add load to what is left of it and keep it down; its
    targets see arrivals several times the requests. A budget that only plain requests
    and a constant feed bounds that growth, and each instance takes its share of the
    constant only.

    Args:
        bounds: What is allowed over all instances.
        fleet_size: Tells how many instances share it.
    """

    def __init__(self, bounds: BoundSettings, fleet_size: object) -> None:
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._plain_by_service: dict[str, _Window] = {}
        self._extra_by_service: dict[str, _Window] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request for a service."""
        self._window(self._plain_by_service, service).add()

    def try_acquire(self, service: str) -> bool:
        """Use one extra call if there is one left."""
        extra = self._window(self._extra_by_service, service)
        if extra.count() + 1 > self._allowed(service):
            return False
        extra.add()
        return True

    def remaining(self, service: str) -> float:
        """Extra calls that are left."""
        extra = self._window(self._extra_by_service, service)
        return self._allowed(service) - extra.count()

    def _allowed(self, service: str) -> float:
        plain = self._window(self._plain_by_service, service).count()
        size = max(_LEAST_FLEET, self._fleet_size())
        share = self._bounds.retry_extra / size
        return max(1.0, _USED_PART * (self._bounds.retry_ratio * plain + share))

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._bounds.retry_window)
        return window


class ColdRateLimiter:
    """Spaces the requests of one instance to cold targets.

    A cold target crashes when all instances together send more than it bears; callers
    then lose it for seconds more. Each instance leaves so much time between its own
    requests to a target that all of them together stay within the target's rate, with
    no word between them, also while they are cut off from each other.

    Args:
        fleet_size: Tells how many instances there are.
    """

    def __init__(self, fleet_size: object) -> None:
        self._fleet_size = fleet_size
        self._next_by_target: dict[str, float] = {}

    def may_send(self, target_id: str) -> bool:
        """Tell whether a cold target may get a request now."""
        return now() >= self._next_by_target.get(target_id, 0.0)

    def record_sent(self, target_id: str, rate: float) -> None:
        """Note a request to a cold target that bears so many a second."""
        size = max(_LEAST_FLEET, self._fleet_size())
        self._next_by_target[target_id] = now() + size / max(rate, 0.1)
