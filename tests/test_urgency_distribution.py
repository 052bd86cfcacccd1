"""Tests for the distribution of the urgencies of recent requests."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.admission import Forecast, admits
from bergamotsaddle_serving.decisions.urgency_distribution import UrgencyDistribution

NEARLY_FULL = Forecast(seconds=0.9, idle_seconds=0.4, objective=1.4, remaining=5.0)


def make_distribution(*urgencies):
    """Return the distribution of requests that arrived 0.1 s apart."""
    distribution = UrgencyDistribution()
    for number, urgency in enumerate(urgencies):
        distribution.record(urgency, 0.1 * number)
    return distribution


class UrgencyDistributionTest(unittest.TestCase):
    """Requests of several teams and routes."""

    @parameterized.expand(
        [
            ("nothing_came", (), 3, 0.0),
            ("only_its_own", (3, 3, 3), 3, 0.0),
            ("half_are_ahead", (0, 1, 0, 1), 1, 0.5),
            ("less_urgent_ones", (4, 5, 4, 5), 3, 0.0),
        ]
    )
    def test_more_urgent_fraction(self, _, arrived, urgency, expected):
        found = make_distribution(*arrived).more_urgent_fraction(urgency)
        self.assertAlmostEqual(found, expected, delta=0.02)

    def test_old_requests_decay(self):
        distribution = make_distribution(0, 0, 0, 0)
        distribution.record(1, 30.0)
        self.assertLess(distribution.more_urgent_fraction(1), 0.02)

    def test_a_rare_urgent_team_does_not_block_other_teams(self):
        """One request in twenty is of a team that goes before all other teams.

        The first kind of the other teams ranks behind three urgencies of that team. If
        urgencies were counted, it would be rejected at half of its acceptable wait.
        """
        distribution = make_distribution(0, *[3] * 19)
        self.assertTrue(admits(NEARLY_FULL, distribution.more_urgent_fraction(3)))

    def test_a_flood_of_urgent_requests_keeps_its_capacity(self):
        distribution = make_distribution(*[0] * 19, 3)
        self.assertFalse(admits(NEARLY_FULL, distribution.more_urgent_fraction(3)))
