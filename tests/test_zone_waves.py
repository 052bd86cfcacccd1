"""Demand that moves from zone to zone, and the queues of stages that it fills."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.scopes import MAX_SHARED_TARGETS
from tests._paused import use_paused_clock
from tests._zone_waves import PHASES, REGION, SERVICES, ZONES, WaveFleet

# How far the worst-served zone may be behind the best-served one.
MAX_LAG = 0.05
PERIODS = 2
FEW, MANY = 3, 5


def lag(fleet, phase=None):
    """Return how far the worst-served zone is behind the best-served one."""
    fractions = [fleet.on_time_fraction(zone, phase) for zone in ZONES]
    return max(fractions) - min(fractions)


class ZoneWavesTest(unittest.TestCase):
    """Callers of three zones in waves a third of a period apart.

    At its peak a zone asks for up to 1.4 times what its own targets can serve, while
    another one asks for half of it. Each zone is compared with the others over the
    whole time and in each third of the period, in which one of them is at its peak.
    """

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def play(self, targets, load, **options):
        """Return a fleet after some periods."""
        fleet = WaveFleet(targets, load, **options)
        fleet.run(PERIODS)
        return fleet

    @parameterized.expand([("few", FEW, REGION), ("many", MANY, ZONES[0])])
    def test_a_zone_at_its_peak_is_served_like_the_others(self, _, targets, scope):
        """Guards against requests refused in one zone while others have room."""
        is_shared = targets * len(ZONES) <= MAX_SHARED_TARGETS
        self.assertEqual(is_shared, scope == REGION)
        fleet = self.play(targets, 0.9)
        found = fleet.instances[0].scopes.of(SERVICES[0], ZONES[0])
        self.assertEqual(found, scope)
        self.assertLessEqual(lag(fleet), MAX_LAG)
        for phase in range(PHASES):
            self.assertLessEqual(lag(fleet, phase), MAX_LAG, phase)

    @parameterized.expand([("few", FEW), ("many", MANY)])
    def test_a_zone_that_is_cut_off_keeps_what_it_has(self, _, targets):
        """Guards against stages that are sent to zones out of reach.

        The peak of the zone is within what its own targets can serve.
        """
        zone = ZONES[-1]
        fleet = self.play(targets, 0.6, cut_off=zone)
        crossed = [
            pair for pair in fleet.ran_in if (pair[0] == zone) != (pair[1] == zone)
        ]
        self.assertEqual(crossed, [])
        self.assertLessEqual(lag(fleet), MAX_LAG)

    def test_nothing_moves_while_each_zone_has_room(self):
        """Guards against results that cross between zones without need."""
        fleet = self.play(MANY, 0.6)
        moved = sum(n for (at, ran), n in fleet.ran_in.items() if at != ran)
        self.assertEqual((moved, fleet.crossed_bytes), (0, 0))


if __name__ == "__main__":
    unittest.main()
