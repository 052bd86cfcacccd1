"""Who of a fleet gets the permits of a rate."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.shared_rate import RateOwner
from tests._paused import advance, use_paused_clock

KEY = "t"
STEP_S = 0.05


class RateOwnerTest(unittest.TestCase):
    """One owner, asked again and again."""

    def setUp(self):
        use_paused_clock()
        self.part = 1.0
        self.owner = RateOwner(lambda: self.part)

    def granted(self, seconds, rate, urgencies=(0,)):
        """Count the permits of each urgency when all ask all the time."""
        counts = dict.fromkeys(urgencies, 0)
        for _ in range(round(seconds / STEP_S)):
            for urgency in urgencies:
                counts[urgency] += not self.owner.request_permit(KEY, rate, urgency)
            advance(STEP_S)
        return counts

    @parameterized.expand([("slow", 0.5), ("one", 1.0), ("fast", 9.0)])
    def test_all_of_the_rate_is_given_out_and_no_more(self, _, rate):
        count = self.granted(40.0, rate)[0]
        self.assertAlmostEqual(count, 40.0 * rate, delta=2)

    def test_an_owner_that_takes_over_begins_with_nothing(self):
        """Guards against two owners whose kept permits add up."""
        self.assertGreater(self.owner.request_permit(KEY, 2.0, 0), 0)

    @parameterized.expand([("slow", 1.0, 2), ("fast", 20.0, 10)])
    def test_few_permits_are_kept(self, _, rate, most):
        self.owner.request_permit(KEY, rate, 0)
        advance(60.0)
        count = 0
        while not self.owner.request_permit(KEY, rate, 0):
            count += 1
        self.assertEqual(count, most)

    def test_a_part_of_the_fleet_gives_out_its_part(self):
        self.part = 0.25
        self.assertAlmostEqual(self.granted(40.0, 4.0)[0], 40.0, delta=2)

    def test_urgent_requests_go_first_and_nobody_starves(self):
        """Guards against kinds of requests that a permit never reaches."""
        counts = self.granted(100.0, 1.0, urgencies=(2, 0))
        self.assertGreater(counts[0], 60)
        self.assertGreater(counts[2], 15)

    def test_the_wait_is_until_the_next_permit(self):
        self.owner.request_permit(KEY, 2.0, 0)
        advance(0.1)
        self.assertAlmostEqual(self.owner.request_permit(KEY, 2.0, 0), 0.4)

    def test_a_rate_of_nothing_is_tried_now_and_then(self):
        """Guards against a limit of 0 whose end nobody would learn."""
        self.assertEqual(self.granted(61.0, 0.0)[0], 6)
