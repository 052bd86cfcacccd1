"""How far off an owner's forecasts of waits are. No input or output here."""

from collections import OrderedDict
from typing import NamedTuple

from bergamotsaddle_serving.stage_load import PLACES

# Weight of the newest stage in the mean error: some ten stages, a second or two in a
# burst, so that the error is forgotten as fast as it came.
_WEIGHT = 0.12
# A single stage counts as no more than so many times too long or too short.
_MOST_RATIO = 4.0
_LEAST_RATIO = 0.7
# Below this an expected time says little about a ratio.
_LEAST_EXPECTED_S = 0.05
# Stages whose expected times are kept until they end.
_KEPT = 2_000


class StageKey(NamedTuple):
    """What tells a stage of a request from all others."""

    request: str
    stage: int
    round: int


class _Expected:
    """What was expected of a stage when its pieces came in."""

    def __init__(self, place: int, pieces: int, begun_at: float, seconds: float):
        self.place = place
        self.pieces = pieces
        self.begun_at = begun_at
        self.seconds = seconds


class WaitErrors:
    """The errors of forecasts at one queue, by place.

    Answers bursts in which a queue does less than its targets could: they wait for
    room, lose a zone or go part-empty. A forecast from what waits and what targets can
    do is too good then, by a half on average and a factor of three at times. Requests
    that will be late are admitted, and keep out others that could be on time.
    """

    def __init__(self) -> None:
        self._ratios = [1.0] * PLACES
        self._expected_by_stage: OrderedDict[StageKey, _Expected] = OrderedDict()

    def has(self, stage: StageKey) -> bool:
        """Tell whether something is expected of a stage already."""
        return stage in self._expected_by_stage

    def record_start(
        self, stage: StageKey, place: int, pieces: int, seconds: float, moment: float
    ) -> None:
        """Note what is expected of a stage whose pieces have come in.

        Args:
            stage: Which one.
            place: Place that its pieces have in the queue.
            pieces: Number of its pieces.
            seconds: Expected seconds until it is done.
            moment: Now, on the hub's clock.
        """
        self._expected_by_stage[stage] = _Expected(place, pieces, moment, seconds)
        while len(self._expected_by_stage) > _KEPT:
            self._expected_by_stage.popitem(last=False)

    def record_piece_done(self, stage: StageKey, moment: float) -> None:
        """Learn from a stage once its last piece is done."""
        expected = self._expected_by_stage.get(stage)
        if expected is None:
            return
        expected.pieces -= 1
        if expected.pieces > 0:
            return
        del self._expected_by_stage[stage]
        actual = moment - expected.begun_at
        ratio = actual / max(_LEAST_EXPECTED_S, expected.seconds)
        ratio = min(_MOST_RATIO, max(_LEAST_RATIO, ratio))
        known = self._ratios[expected.place]
        self._ratios[expected.place] += _WEIGHT * (ratio - known)

    def correct(self, drains: list[float], call: float) -> list[float]:
        """Correct forecasts by what was learnt.

        Args:
            drains: Expected seconds until what waits is done, by place.
            call: Seconds of a call, which are not waited but worked.
        """
        return [
            max(0.0, ratio * (drain + call) - call)
            for ratio, drain in zip(self._ratios, drains, strict=True)
        ]
