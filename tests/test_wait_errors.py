"""What an owner learns of its own forecasts."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.admission import Forecast, admits
from bergamotsaddle_serving.stage_load import PLACES
from bergamotsaddle_serving.wait_errors import StageKey, WaitErrors

CALL_S = 0.3
DRAINS = [0.3] * PLACES


def replay(errors, actual, *, count=30, place=0):
    """Have stages end of two pieces of which 0.6 s were expected."""
    for number in range(count):
        stage = StageKey(f"r{number}", 0, 0)
        errors.record_start(stage, place, 2, 0.6, float(number))
        errors.record_piece_done(stage, number + 0.1)
        errors.record_piece_done(stage, number + actual)


class WaitErrorsTest(unittest.TestCase):
    """Stages that take longer than expected, or not."""

    def test_a_burst_that_waits_for_room_is_not_let_in(self):
        """Targets wait for room, and stages take 1.5 s of which 0.6 s were expected.

        By the plain forecast requests that have 1.1 s would be admitted and end late,
        one after the other, while the queue in front of them grows.
        """
        errors = WaitErrors()
        replay(errors, 1.5)
        wait = errors.correct(DRAINS, CALL_S)[0] + CALL_S
        plain = Forecast(0.6 + 0.1, 0.4, 1.1, 5.0)
        self.assertTrue(admits(plain, 0.0))
        self.assertFalse(admits(plain._replace(seconds=wait + 0.1), 0.0))

    def test_it_is_forgotten_when_the_burst_is_over(self):
        errors = WaitErrors()
        replay(errors, 1.5)
        replay(errors, 0.6)
        self.assertAlmostEqual(errors.correct(DRAINS, CALL_S)[0], 0.3, delta=0.05)

    @parameterized.expand([("others", 1, 0.3), ("own", 0, 1.2)])
    def test_places_are_told_apart(self, _, place, expected):
        errors = WaitErrors()
        replay(errors, 1.5)
        found = errors.correct(DRAINS, CALL_S)[place]
        self.assertAlmostEqual(found, expected, delta=0.1)

    def test_one_stage_counts_little(self):
        """A target died, and one stage took ten times as long."""
        errors = WaitErrors()
        replay(errors, 6.0, count=1)
        self.assertLess(errors.correct(DRAINS, CALL_S)[0], 0.6)
