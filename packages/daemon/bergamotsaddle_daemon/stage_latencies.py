"""Measured latencies of stages, used to split a deadline among them."""

from typing import NamedTuple

_WEIGHT = 0.05
_SPREAD = 2.0
_MIN_ATTEMPT = 0.25
_ATTEMPT_FACTOR = 5.0


class Latency(NamedTuple):
    """Measured seconds of one stage.

    Attributes:
        mean: Moving average.
        spread: Moving average of the distance to the mean.
    """

    mean: float
    spread: float

    @property
    def upper_estimate(self) -> float:
        """Seconds that most calls stay under."""
        return self.mean + _SPREAD * self.spread


_UNKNOWN = Latency(0.0, 0.0)


class StageLatencies:
    """Measured latencies by pipeline and stage; unknown stages count as 0 seconds."""

    def __init__(self) -> None:
        self.by_stage: dict[tuple[str, str], Latency] = {}

    def record(self, pipeline: str, stage: str, seconds: float) -> None:
        """Record the latency of one answered call."""
        known = self.by_stage.get((pipeline, stage))
        if known is None:
            self.by_stage[pipeline, stage] = Latency(seconds, 0.0)
            return
        error = seconds - known.mean
        mean = known.mean + _WEIGHT * error
        spread = known.spread + _WEIGHT * (abs(error) - known.spread)
        self.by_stage[pipeline, stage] = Latency(mean, spread)

    def of(self, pipeline: str, stage: str) -> Latency:
        """Return the latency of one stage."""
        return self.by_stage.get((pipeline, stage), _UNKNOWN)

    def total(self, pipeline: str, stages: tuple[str, ...]) -> float:
        """Return the seconds within which several stages in sequence mostly end."""
        return sum(self.of(pipeline, stage).upper_estimate for stage in stages)

    def attempt_timeout(self, pipeline: str, stage: str, budget: float) -> float:
        """Return the timeout of one attempt, which leaves time for another one.

        No response ever arrives on a connection that a middlebox has dropped. Waiting
        for the whole budget would use up the deadline; several times the usual latency
        is enough to call the attempt lost.
        """
        usual = self.of(pipeline, stage).upper_estimate
        if usual == 0.0:
            return budget / 2
        return min(budget, max(_MIN_ATTEMPT, _ATTEMPT_FACTOR * usual))
