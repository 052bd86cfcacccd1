"""What this instance has seen of each target."""

from collections.abc import Callable

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.messages import TargetLoad

_LATENCY_WEIGHT = 0.15
_FIRST_LATENCY_S = 0.05
# A target that failed gets nothing for a time that doubles up to the longest.
_FIRST_REST_S = 0.25
_LONGEST_REST_S = 4.0
# One failure may be the request's own; that many in a row are the target's.
_FAILURES_TO_REST = 2
_LOAD_AGE_S = 0.5


class TargetState:
    """One life of a target as seen from here.

    Args:
        target: The target.
        on_limit: Called with the target and the limit that each answer names.
    """

    def __init__(
        self, target: Target, on_limit: Callable[[Target, float | None], None]
    ) -> None:
        self.target = target
        self._on_limit = on_limit
        self.in_flight = 0
        self.prompt_tokens_ahead = 0
        self.latency = _FIRST_LATENCY_S
        self.failures = 0
        self.rest_until = 0.0
        self.last_seen_at = 0.0
        self.load: TargetLoad | None = None
        self.load_at = 0.0

    def is_backing_off(self) -> bool:
        """Tell whether it has failed lately."""
        return now() < self.rest_until

    def record_load(self, load: TargetLoad | None) -> None:
        """Note what it says of its load."""
        if load is not None:
            self.load = load
            self.load_at = now()

    def record_limit(self, limit: float | None) -> None:
        """Note the limit that an answer names, None if it names none."""
        self._on_limit(self.target, limit)

    def waiting(self) -> int:
        """Requests that waited there by its own word, 0 if that is too old."""
        if self.load is None or now() - self.load_at > _LOAD_AGE_S:
            return 0
        return self.load.waiting

    def record_success(self, seconds: float) -> None:
        """Note an answer and how long it took."""
        self.failures = 0
        self.last_seen_at = now()
        self.latency += _LATENCY_WEIGHT * (seconds - self.latency)

    def record_failure(self, *, is_certain: bool) -> None:
        """Note a failure.

        Args:
            is_certain: Whether it is the target's for certain, as when it takes no
                connection.
        """
        self.failures += 1
        if is_certain or self.failures >= _FAILURES_TO_REST:
            pause = _FIRST_REST_S * 2.0 ** min(self.failures, 10)
            self.rest_until = now() + min(_LONGEST_REST_S, pause)


class Health:
    """The states of all targets.

    Args:
        on_limit: Called with the target and the limit that each answer names.
    """

    def __init__(
        self,
        on_limit: Callable[[Target, float | None], None] = lambda target, limit: None,
    ) -> None:
        self._on_limit = on_limit
        self._state_by_life: dict[tuple[str, int], TargetState] = {}

    def of(self, target: Target) -> TargetState:
        """The state of a target's life."""
        state = self._state_by_life.get(target.incarnation)
        if state is None:
            state = self._state_by_life[target.incarnation] = TargetState(
                target, self._on_limit
            )
        state.target = target
        return state

    def keep_only(self, lives: set[tuple[str, int]]) -> None:
        """Forget targets that are gone and have no request of ours any more."""
        for life, state in list(self._state_by_life.items()):
            if life not in lives and not state.in_flight:
                del self._state_by_life[life]

    def prefill_tokens(self) -> dict[str, int]:
        """Prompt tokens of this instance's requests that engines have still to read."""
        return {
            state.target.id: state.prompt_tokens_ahead
            for state in self._state_by_life.values()
            if state.prompt_tokens_ahead
        }

    def running(self) -> dict[str, int]:
        """Requests of this instance at each target that has any."""
        return {
            state.target.id: state.in_flight
            for state in self._state_by_life.values()
            if state.in_flight
        }
