"""Requests that arrive just after many targets have crashed at once."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

TARGETS = 12
CRASHED = 7
NO_PROMPT = ""
REQUESTS = 60
START_S = 2.0
# The crashed targets are still listed for this time.
LISTED_S = 1.0
FINISH_S = 4.0


def preferred_targets(fleet):
    """Return the targets in the order in which requests without a prompt use them."""
    return sorted(
        fleet.targets, key=lambda t: rendezvous_weight(t.id, NO_PROMPT), reverse=True
    )


class CrashedTargetsTest(unittest.TestCase):
    """A fleet in which more than half of the targets have crashed."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_refused_connections_use_up_no_repeats(self, _, size):
        """Guards against requests that fail because crashed targets refused them.

        A refused connection reaches no target, so it neither counts as a repeat nor
        shows that the remaining targets are full.
        """
        fleet = VirtualFleet(size, targets=TARGETS)
        fleet.start()
        advance(START_S)
        for target in preferred_targets(fleet)[:CRASHED]:
            fleet.targets.crash(target, target.incarnation)
        callers = []
        for number in range(REQUESTS):
            path = b"/%d" % number
            callers.append(fleet.send_request(random.randrange(size), path))
            advance(LISTED_S / REQUESTS)
        advance(FINISH_S)
        self.assertEqual([caller.status for caller in callers], [200] * REQUESTS)
        arrivals = sum(len(target.arrivals) for target in fleet.targets)
        self.assertEqual(arrivals, REQUESTS)
