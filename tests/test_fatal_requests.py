"""A request under which targets end, and those that ran beside it."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

FATAL = b"/fatal"
TARGETS = 9
TRIES = 8
# After the third target has ended, and the news had this long to spread, so many more
# tries may reach targets at most.
SPREAD_S = 3.0
MOST_LATE_TRIES = 3


def late_tries(fleet):
    """Tries of the fatal request that reached targets once its harm was known."""
    arrivals = sorted(
        arrival
        for target in fleet.targets
        for arrival in target.arrivals
        if arrival.path == FATAL
    )
    known_at = arrivals[2].moment + SPREAD_S if len(arrivals) > 2 else float("inf")
    return [arrival for arrival in arrivals if arrival.moment > known_at]


class FatalRequestTest(unittest.TestCase):
    """A caller sends a request that ends each target which runs it, again and again."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_a_fatal_request_stops_reaching_targets(self, _, size):
        """Guards against each try of a fatal request being some instance's first."""
        fleet = VirtualFleet(size, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        for _ in range(TRIES):
            fleet.ask(random.randrange(size), FATAL, b"body")
            advance(1.0)
        self.assertLessEqual(len(late_tries(fleet)), MOST_LATE_TRIES)
        self.assertLessEqual(fleet.targets.ended, 3)
