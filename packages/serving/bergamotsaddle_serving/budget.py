"""Limits over all instances together, of which each instance uses its own share."""

from collections import deque
from collections.abc import Callable

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.settings import BoundSettings

# The fraction of a limit that is used. Instances count on their own, so a service sees
# their windows overlap, and the calls of a failed instance are repeated at other ones.
_USED_FRACTION = 0.6
# An instance that knows fewer instances than this may have just started.
_MIN_FLEET = 6


class _Window:
    """Counts the events of the last seconds."""

    def __init__(self, seconds: float) -> None:
        self._seconds = seconds
        self._times: deque[float] = deque()

    def add(self) -> float:
        at = now()
        self._times.append(at)
        return at

    def remove(self, at: float) -> None:
        if at in self._times:
            self._times.remove(at)

    def count(self) -> int:
        start = now() - self._seconds
        while self._times and self._times[0] < start:
            self._times.popleft()
        return len(self._times)


class Repeat:
    """One extra call that nobody else may use meanwhile.

    Args:
        window: Where extra calls are counted.
    """

    def __init__(self, window: _Window) -> None:
        self._window = window
        self._counted_at: float | None = window.add()

    def use(self) -> None:
        """Count the call now, as it is about to be sent."""
        self.cancel()
        self._window.add()

    def cancel(self) -> None:
        """Give the call back unless it was used."""
        if self._counted_at is not None:
            self._window.remove(self._counted_at)
            self._counted_at = None


class RetryBudget:
    """Limits the extra calls of each service.

    When a service fails, retries add load to its remaining targets and keep it down;
    the targets see several times as many calls as there are requests. A budget that
    grows only with first calls and a constant limits that growth. Each instance takes
    only its share of the constant.

    Args:
        bounds: Limits for all instances together.
        fleet_size: Returns the number of instances that share them.
    """

    def __init__(self, bounds: BoundSettings, fleet_size: Callable[[], int]) -> None:
        self._bounds = bounds
        self._fleet_size = fleet_size
        self._requests_by_service: dict[str, _Window] = {}
        self._extra_by_service: dict[str, _Window] = {}

    def count_request(self, service: str) -> None:
        """Count a caller's request to a service."""
        self._window(self._requests_by_service, service).add()

    def try_acquire(self, service: str) -> bool:
        """Use one extra call and return True, or return False if none remains."""
        return self.reserve(service) is not None

    def reserve(self, service: str) -> Repeat | None:
        """Return an extra call that is kept until it is used or canceled, if any."""
        extra = self._window(self._extra_by_service, service)
        if extra.count() + 1 > self._allowed(service):
            return None
        return Repeat(extra)

    def remaining(self, service: str) -> float:
        """Return the number of extra calls that remain."""
        extra = self._window(self._extra_by_service, service)
        return self._allowed(service) - extra.count()

    def _allowed(self, service: str) -> float:
        requests = self._window(self._requests_by_service, service).count()
        size = max(_MIN_FLEET, self._fleet_size())
        share = self._bounds.retry_extra / size
        return max(1.0, _USED_FRACTION * (self._bounds.retry_ratio * requests + share))

    def _window(self, windows: dict[str, _Window], service: str) -> _Window:
        window = windows.get(service)
        if window is None:
            window = windows[service] = _Window(self._bounds.retry_window)
        return window


class ColdTurn:
    """One request to a cold target that no other one may be sent before.

    Args:
        limiter: Where turns are counted, None for a target that needs none.
        target_id: Id of the target.
        rate: Requests per second that it can serve.
    """

    def __init__(
        self, limiter: "ColdRateLimiter | None", target_id: str, rate: float
    ) -> None:
        self._limiter = limiter
        self._target_id = target_id
        self._rate = rate

    def use(self) -> None:
        """Count the request now, as it is about to be sent."""
        limiter, self._limiter = self._limiter, None
        if limiter is not None:
            limiter.end_turn(self._target_id)
            limiter.record_sent(self._target_id, self._rate)

    def cancel(self) -> None:
        """Give the turn back unless it was used."""
        limiter, self._limiter = self._limiter, None
        if limiter is not None:
            limiter.end_turn(self._target_id)


class ColdRateLimiter:
    """Limits the rate of one instance's requests to each cold target.

    A cold target crashes if all instances together send more than it can serve, and
    callers then lose it for further seconds. Each instance spaces its own requests to
    a target so that all instances together stay within the target's rate. That needs
    no communication, so it also holds while instances are cut off from each other.

    A request is prepared for a while before it is sent, so it takes a turn first. Of
    many streams that go on at the same moment only one then gets the target.

    Each instance may send its first request at once. What callers send arrives at
    different times. But a target that fails has all instances repeat its requests at
    the same moment, so only a few of them may send repeats to a cold target.

    Args:
        fleet_size: Returns the number of instances.
        rank: Returns the place of this instance, from 0, in an order of all instances
            that is another one for each target.
    """

    def __init__(
        self,
        fleet_size: Callable[[], int],
        rank: Callable[[str], int] = lambda target_id: 0,
    ) -> None:
        self._fleet_size = fleet_size
        self._rank = rank
        self._next_send_at_by_target: dict[str, float] = {}
        self._taken: set[str] = set()

    def may_send(self, target_id: str) -> bool:
        """Return whether a cold target may get a request now."""
        is_due = now() >= self._next_send_at_by_target.get(target_id, 0.0)
        return is_due and target_id not in self._taken

    def reserve(
        self, target_id: str, rate: float, *, is_repeat: bool = False
    ) -> ColdTurn | None:
        """Return a turn that is kept until it is used or canceled, None if not now.

        Args:
            target_id: Id of the target.
            rate: Requests per second that it can serve.
            is_repeat: Whether another target has failed the request.
        """
        if not self.may_send(target_id):
            return None
        if is_repeat and self._rank(target_id) >= max(1.0, rate):
            return None
        self._taken.add(target_id)
        return ColdTurn(self, target_id, rate)

    def end_turn(self, target_id: str) -> None:
        """Let another request take a turn."""
        self._taken.discard(target_id)

    def record_sent(self, target_id: str, rate: float) -> None:
        """Record a request to a cold target.

        Args:
            target_id: Id of the target.
            rate: Requests per second that it can serve.
        """
        size = max(_MIN_FLEET, self._fleet_size())
        self._next_send_at_by_target[target_id] = now() + size / max(rate, 0.1)
