"""What stages cost in time, measured, so that a deadline can be split among them."""

from typing import NamedTuple

_WEIGHT = 0.05
_SPREAD = 2.0
_MIN_ATTEMPT = 0.25
_ATTEMPT_FACTOR = 5.0


class Cost(NamedTuple):
    """Measured seconds of one stage.

    Attributes:
        mean: Moving average.
        spread: Moving average of the distance to the mean.
    """

    mean: float
    spread: float

    @property
    def careful(self) -> float:
        """Seconds that most calls stay under."""
        return self.mean + _SPREAD * self.spread


_UNKNOWN = Cost(0.0, 0.0)


class StageLatencies:
    """Measured costs by pipeline and stage; unknown stages count as free."""

    def __init__(self) -> None:
        self.by_stage: dict[tuple[str, str], Cost] = {}

    def record(self, pipeline: str, stage: str, seconds: float) -> None:
        """Take one answered call into account."""
        known = self.by_stage.get((pipeline, stage))
        if known is None:
            self.by_stage[pipeline, stage] = Cost(seconds, 0.0)
            return
        error = seconds - known.mean
        mean = known.mean + _WEIGHT * error
        spread = known.spread + _WEIGHT * (abs(error) - known.spread)
        self.by_stage[pipeline, stage] = Cost(mean, spread)

    def of(self, pipeline: str, stage: str) -> Cost:
        """Cost of one stage."""
        return self.by_stage.get((pipeline, stage), _UNKNOWN)

    def total(self, pipeline: str, stages: tuple[str, ...]) -> float:
        """Seconds that several stages, one after the other, mostly stay under."""
        return sum(self.of(pipeline, stage).careful for stage in stages)

    def attempt_limit(self, pipeline: str, stage: str, budget: float) -> float:
        """Seconds to give one attempt, so that another one fits into the budget.

        A connection that something in between has forgotten never answers. Waiting
        on it for the whole budget would use up the deadline; several times the usual
        cost is enough to call the attempt lost.
        """
        usual = self.of(pipeline, stage).careful
        if usual == 0.0:
            return budget / 2
        return min(budget, max(_MIN_ATTEMPT, _ATTEMPT_FACTOR * usual))
