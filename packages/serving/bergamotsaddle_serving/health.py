"""State of each target as this instance observes it."""

from collections.abc import Callable

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.decisions.engine_speeds import EngineSpeed
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.messages import ResponseHead, TargetLoad

_LATENCY_WEIGHT = 0.15
_INITIAL_LATENCY_S = 0.05
# A target that failed gets no requests for a time that doubles up to the maximum.
_INITIAL_BACKOFF_S = 0.25
_MAX_BACKOFF_S = 4.0
# One failure may be due to the request; this many in a row are due to the target.
_FAILURES_TO_BACK_OFF = 2
_MAX_LOAD_AGE_S = 0.5


def ignore_response(target: Target, status: int, head: ResponseHead) -> None:
    """Ignore what a response says about its target."""


class TargetState:
    """One incarnation of a target as this instance observes it.

    Args:
        target: The target.
        on_limit: Called with the target and the limit that each response names.
        on_response: Called with the target, and the status and decoded headers of each
            response.
        reporting: Services whose targets report how fast they work now.

    Attributes:
        target: The target.
        in_flight: Running requests of this instance.
        prompt_tokens_ahead: Prompt tokens of these that wait for prefill.
        latency: Moving average of the seconds of a request.
        failures: Number of failures in a row.
        backoff_until: When the target may get requests again.
        last_seen_at: When it last responded.
        silent: Running requests of this instance that have waited for longer than
            their limit.
        writing: Running requests of this instance whose bodies have begun to arrive.
        load: Last load that it reported, None before the first report.
        load_at: When it reported that load.
        speed: Speed of an engine, None unless it is learnt.
    """

    def __init__(
        self,
        target: Target,
        on_limit: Callable[[Target, float | None], None],
        on_response: Callable[[Target, int, ResponseHead], None] = ignore_response,
        reporting: ReportingServices | None = None,
    ) -> None:
        self.target = target
        self._reporting = reporting or ReportingServices()
        self._on_response = on_response
        self._on_limit = on_limit
        self.in_flight = 0
        self.prompt_tokens_ahead = 0
        self.latency = _INITIAL_LATENCY_S
        self.failures = 0
        self.backoff_until = 0.0
        self.last_seen_at = 0.0
        self.silent = 0
        self.writing = 0
        self.load: TargetLoad | None = None
        self.load_at = 0.0
        self.speed: EngineSpeed | None = None

    def is_backing_off(self) -> bool:
        """Return whether the target gets no requests after recent failures."""
        return self.backoff_until > 0.0 and now() < self.backoff_until

    def is_quiet(self, seconds: float) -> bool:
        """Return whether the target seems to have stopped.

        Args:
            seconds: Pause between two parts of a response that is not unusual.
        """
        is_overdue = now() - self.last_seen_at > seconds
        return self.silent > 0 or (self.writing > 0 and is_overdue)

    def record_load(self, load: TargetLoad | None) -> None:
        """Record the load that the target reports, if any."""
        if load is None:
            return
        self.load = load
        self.load_at = now()
        if load.slowdown is not None:
            self._reporting.record(self.target.service)

    def record_response(self, status: int, head: ResponseHead) -> None:
        """Record the status and headers of a response."""
        self._on_response(self.target, status, head)

    def record_limit(self, limit: float | None) -> None:
        """Record the limit that a response names, None if it names none."""
        self._on_limit(self.target, limit)

    def waiting(self) -> int:
        """Return the waiting requests that the target reported, 0 if too old."""
        if self.load is None or now() - self.load_at > _MAX_LOAD_AGE_S:
            return 0
        return self.load.waiting

    def record_success(self, seconds: float) -> None:
        """Record a response and the seconds that it took."""
        self.failures = 0
        self.last_seen_at = now()
        self.latency += _LATENCY_WEIGHT * (seconds - self.latency)

    def record_end_of_silence(self) -> None:
        """Record that the target goes on after a silence."""
        self.failures = 0
        self.backoff_until = 0.0
        self.last_seen_at = now()

    def record_failure(self, *, is_certain: bool) -> None:
        """Record a failure.

        Args:
            is_certain: Whether the failure is certainly due to the target, such as a
                refused connection.
        """
        self.failures += 1
        if is_certain or self.failures >= _FAILURES_TO_BACK_OFF:
            pause = _INITIAL_BACKOFF_S * 2.0 ** min(self.failures, 10)
            self.backoff_until = now() + min(_MAX_BACKOFF_S, pause)


class Health:
    """The states of all targets.

    Args:
        on_limit: Called with the target and the limit that each response names.
        on_response: Called with the target, and the status and decoded headers of each
            response.
        reporting: Services whose targets report how fast they work now.

    Attributes:
        reporting: The same.
    """

    def __init__(
        self,
        on_limit: Callable[[Target, float | None], None] = lambda target, limit: None,
        on_response: Callable[[Target, int, ResponseHead], None] = ignore_response,
        reporting: ReportingServices | None = None,
    ) -> None:
        self._on_limit = on_limit
        self._on_response = on_response
        self.reporting = reporting or ReportingServices()
        self._state_by_incarnation: dict[tuple[str, int], TargetState] = {}

    def of(self, target: Target) -> TargetState:
        """Return the state of a target's incarnation."""
        state = self._state_by_incarnation.get(target.incarnation)
        if state is None:
            state = self._state_by_incarnation[target.incarnation] = TargetState(
                target, self._on_limit, self._on_response, self.reporting
            )
        state.target = target
        return state

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget other incarnations that run no request of this instance."""
        for incarnation, state in list(self._state_by_incarnation.items()):
            if incarnation not in incarnations and not state.in_flight:
                del self._state_by_incarnation[incarnation]

    def prefill_tokens(self) -> dict[str, int]:
        """Return this instance's prompt tokens that wait for prefill, by target id."""
        return {
            state.target.id: state.prompt_tokens_ahead
            for state in self._state_by_incarnation.values()
            if state.prompt_tokens_ahead
        }

    def running(self) -> dict[str, int]:
        """Return this instance's running requests by target id."""
        return {
            state.target.id: state.in_flight
            for state in self._state_by_incarnation.values()
            if state.in_flight
        }
