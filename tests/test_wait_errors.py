"""Tests for the correction of wait forecasts by their errors."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.admission import Forecast, admits
from bergamotsaddle_serving.stage_load import PLACES
from bergamotsaddle_serving.wait_errors import StageKey, WaitErrors

CALL_S = 0.3
DRAINS = [0.3] * PLACES


def replay(errors, actual, *, count=30, place=0):
    """Record stages of two pieces that were expected to take 0.6 s."""
    for number in range(count):
        stage = StageKey(f"r{number}", 0, 0)
        errors.record_start(stage, place, 2, 0.6, float(number))
        errors.record_piece_done(stage, number + 0.1)
        errors.record_piece_done(stage, number + actual)


class WaitErrorsTest(unittest.TestCase):
    """Corrections after stages that took longer than expected, or as long."""

    def test_a_burst_that_waits_for_memory_is_rejected(self):
        """Targets wait for memory, and stages take 1.5 s instead of the expected 0.6 s.

        With the uncorrected forecast, requests with an objective of 1.1 s would be
        admitted and finish late, while the queue in front of them grows.
        """
        errors = WaitErrors()
        replay(errors, 1.5)
        wait = errors.correct(DRAINS, CALL_S)[0] + CALL_S
        uncorrected = Forecast(0.6 + 0.1, 0.4, 1.1, 5.0)
        self.assertTrue(admits(uncorrected, 0.0))
        self.assertFalse(admits(uncorrected._replace(seconds=wait + 0.1), 0.0))

    def test_the_error_decays_when_the_burst_is_over(self):
        errors = WaitErrors()
        replay(errors, 1.5)
        replay(errors, 0.6)
        self.assertAlmostEqual(errors.correct(DRAINS, CALL_S)[0], 0.3, delta=0.05)

    @parameterized.expand([("others", 1, 0.3), ("own", 0, 1.2)])
    def test_places_are_distinguished(self, _, place, expected):
        errors = WaitErrors()
        replay(errors, 1.5)
        found = errors.correct(DRAINS, CALL_S)[place]
        self.assertAlmostEqual(found, expected, delta=0.1)

    def test_a_single_stage_has_little_weight(self):
        """A target died, and one stage took ten times as long as expected."""
        errors = WaitErrors()
        replay(errors, 6.0, count=1)
        self.assertLess(errors.correct(DRAINS, CALL_S)[0], 0.6)
