"""Tests for the owner of a shared rate, which grants its permits to a fleet."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.shared_rate import RateOwner
from tests._paused import advance, use_paused_clock

KEY = "t"
STEP_S = 0.05


class RateOwnerTest(unittest.TestCase):
    """Repeated permit requests to one owner."""

    def setUp(self):
        use_paused_clock()
        self.fraction = 1.0
        self.owner = RateOwner(lambda: self.fraction)

    def count_granted(self, seconds, rate, urgencies=(0,)):
        """Count the permits of each urgency when all urgencies request continuously."""
        counts = dict.fromkeys(urgencies, 0)
        for _ in range(round(seconds / STEP_S)):
            for urgency in urgencies:
                counts[urgency] += not self.owner.request_permit(KEY, rate, urgency)
            advance(STEP_S)
        return counts

    @parameterized.expand([("slow", 0.5), ("one", 1.0), ("fast", 9.0)])
    def test_exactly_the_rate_is_granted(self, _, rate):
        count = self.count_granted(40.0, rate)[0]
        self.assertAlmostEqual(count, 40.0 * rate, delta=2)

    def test_a_new_owner_starts_without_permits(self):
        """Guards against saved permits that add up when the owner changes."""
        self.assertGreater(self.owner.request_permit(KEY, 2.0, 0), 0)

    @parameterized.expand([("slow", 1.0, 2), ("fast", 20.0, 10)])
    def test_few_permits_are_saved(self, _, rate, expected):
        self.owner.request_permit(KEY, rate, 0)
        advance(60.0)
        count = 0
        while not self.owner.request_permit(KEY, rate, 0):
            count += 1
        self.assertEqual(count, expected)

    def test_a_fraction_of_the_fleet_grants_its_fraction(self):
        self.fraction = 0.25
        self.assertAlmostEqual(self.count_granted(40.0, 4.0)[0], 40.0, delta=2)

    def test_urgent_requests_go_first_and_none_starve(self):
        """Guards against urgencies that never get a permit."""
        counts = self.count_granted(100.0, 1.0, urgencies=(2, 0))
        self.assertGreater(counts[0], 60)
        self.assertGreater(counts[2], 15)

    def test_the_wait_lasts_until_the_next_permit(self):
        self.owner.request_permit(KEY, 2.0, 0)
        advance(0.1)
        self.assertAlmostEqual(self.owner.request_permit(KEY, 2.0, 0), 0.4)

    def test_a_rate_of_zero_is_tried_at_intervals(self):
        """Guards against a limit of 0 whose removal would never be noticed."""
        self.assertEqual(self.count_granted(61.0, 0.0)[0], 6)
