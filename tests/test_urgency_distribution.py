"""How much of what comes in is more urgent."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.admission import Forecast, admits
from bergamotsaddle_serving.urgency_distribution import UrgencyDistribution

NEARLY_FULL = Forecast(seconds=0.9, idle_seconds=0.4, objective=1.4, remaining=5.0)


def mix_of(*urgencies):
    """The mix of requests that came 0.1 s apart."""
    mix = UrgencyDistribution()
    for number, urgency in enumerate(urgencies):
        mix.record(urgency, 0.1 * number)
    return mix


class UrgencyMixTest(unittest.TestCase):
    """Requests of several teams and routes."""

    @parameterized.expand(
        [
            ("nothing_came", (), 3, 0.0),
            ("only_its_own", (3, 3, 3), 3, 0.0),
            ("half_are_ahead", (0, 1, 0, 1), 1, 0.5),
            ("less_urgent_ones", (4, 5, 4, 5), 3, 0.0),
        ]
    )
    def test_share(self, _, came, urgency, expected):
        found = mix_of(*came).more_urgent_fraction(urgency)
        self.assertAlmostEqual(found, expected, delta=0.02)

    def test_it_forgets(self):
        mix = mix_of(0, 0, 0, 0)
        mix.record(1, 30.0)
        self.assertLess(mix.more_urgent_fraction(1), 0.02)

    def test_a_team_that_hardly_comes_shuts_nobody_out(self):
        """One request in twenty is of a team that goes before all others.

        The first kind of the other teams stands behind three places of that team.
        Counting places it would be refused at half of the wait that it could bear.
        """
        mix = mix_of(0, *[3] * 19)
        self.assertTrue(admits(NEARLY_FULL, mix.more_urgent_fraction(3)))

    def test_a_flood_of_urgent_requests_is_left_its_room(self):
        mix = mix_of(*[0] * 19, 3)
        self.assertFalse(admits(NEARLY_FULL, mix.more_urgent_fraction(3)))
