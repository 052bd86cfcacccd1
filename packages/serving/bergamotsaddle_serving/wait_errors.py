"""Errors of the wait forecasts of a stage queue's owner.

This module does no input or output.
"""

from collections import OrderedDict
from typing import NamedTuple

from bergamotsaddle_serving.stage_load import PLACES

# Weight of the newest stage in the mean error. It spans some ten stages, a second or
# two in a burst, so that the error is forgotten as fast as it arose.
_WEIGHT = 0.12
# Limits of the ratio of actual to expected time that a single stage can contribute.
_MAX_RATIO = 4.0
_MIN_RATIO = 0.7
# Shorter expected times say little about a ratio.
_MIN_EXPECTED_S = 0.05
# Number of stages whose expected times are kept until the stages end.
_MAX_EXPECTED_STAGES = 2_000


class StageKey(NamedTuple):
    """Unique key of a stage of a request.

    Attributes:
        request: Id of the request.
        stage: Index of the stage.
        round: Round in which it was submitted, see ``StageRun``.
    """

    request: str
    stage: int
    round: int


class _Expected:
    """The expected time of a stage when its pieces arrived."""

    def __init__(self, place: int, pieces: int, started_at: float, seconds: float):
        self.place = place
        self.pieces = pieces
        self.started_at = started_at
        self.seconds = seconds


class WaitErrors:
    """The forecast errors of one queue, by place.

    This serves bursts in which a queue does less than its targets could, because they
    wait for memory, lose a zone or make partly empty calls. A forecast from the waiting
    pieces and the capacity of the targets is then too low, by half on average and
    sometimes by a factor of three. Requests that will be late are admitted, and keep
    out other requests that could be on time.
    """

    def __init__(self) -> None:
        self._ratios = [1.0] * PLACES
        self._expected_by_stage: OrderedDict[StageKey, _Expected] = OrderedDict()

    def has(self, stage: StageKey) -> bool:
        """Return whether the expected time of a stage is already recorded."""
        return stage in self._expected_by_stage

    def record_start(
        self, stage: StageKey, place: int, pieces: int, seconds: float, now: float
    ) -> None:
        """Record the expected time of a stage whose pieces have arrived.

        Args:
            stage: The stage.
            place: Place of its pieces in the queue.
            pieces: Number of its pieces.
            seconds: Expected seconds until it is done.
            now: Current time on the hub's clock.
        """
        self._expected_by_stage[stage] = _Expected(place, pieces, now, seconds)
        while len(self._expected_by_stage) > _MAX_EXPECTED_STAGES:
            self._expected_by_stage.popitem(last=False)

    def record_piece_done(self, stage: StageKey, now: float) -> None:
        """Record the end of a piece; the last one of a stage updates the error."""
        expected = self._expected_by_stage.get(stage)
        if expected is None:
            return
        expected.pieces -= 1
        if expected.pieces > 0:
            return
        del self._expected_by_stage[stage]
        actual = now - expected.started_at
        ratio = actual / max(_MIN_EXPECTED_S, expected.seconds)
        ratio = min(_MAX_RATIO, max(_MIN_RATIO, ratio))
        known = self._ratios[expected.place]
        self._ratios[expected.place] += _WEIGHT * (ratio - known)

    def correct(self, drains: list[float], call: float) -> list[float]:
        """Return forecasts corrected by the mean error.

        Args:
            drains: Expected seconds until the waiting pieces are done, by place.
            call: Seconds of a call, which are work rather than waiting.
        """
        return [
            max(0.0, ratio * (drain + call) - call)
            for ratio, drain in zip(self._ratios, drains, strict=True)
        ]
