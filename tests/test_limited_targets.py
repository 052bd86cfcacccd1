"""Targets that name a limit for all instances together."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

SIZES = [("small", 7), ("middle", 66), ("large", 195)]
STEP_S = 0.05
WINDOW_S = 4.0
# Time for all instances to learn of a limit.
STABLE_S = 3.0
BURST_FACTOR = 1.5
SLACK = 5
# The part of what a target takes that it should get when more is asked for.
USED_PART = 0.8


def most_in_a_window(moments):
    """The most arrivals in any span of the window's length."""
    return max(
        (sum(begin <= m < begin + WINDOW_S for m in moments) for begin in moments),
        default=0,
    )


class LimitedTargetTest(unittest.TestCase):
    """A fleet whose callers ask for more than a target in need takes."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    def start(self, size, targets):
        self.fleet = VirtualFleet(size, targets=targets)
        self.fleet.start()
        advance(2.0)

    def ask(self, seconds, rate):
        """Have callers ask, spread over all instances."""
        callers = []
        for step in range(round(seconds / STEP_S)):
            if random.random() < rate * STEP_S:
                number = random.randrange(len(self.fleet.instances))
                callers.append(self.fleet.ask(number, b"/%d" % step, b"body"))
            advance(STEP_S)
        return callers

    def limit_home(self, limit):
        """Have the target name a limit that gets most requests."""
        self.ask(2.0, 6.0)
        home = max(self.fleet.targets, key=lambda target: len(target.arrivals))
        home.limit = limit
        self.named_at = now()
        return home

    def bounded(self, target):
        """Arrivals at a target from when all instances must keep to its limit."""
        since = self.named_at + STABLE_S
        return [a.moment for a in target.arrivals if a.moment >= since]

    def assert_within_limit(self, target):
        allowed = BURST_FACTOR * target.limit * WINDOW_S + SLACK
        self.assertLessEqual(most_in_a_window(self.bounded(target)), allowed)

    @parameterized.expand(SIZES)
    def test_all_instances_together_keep_to_a_limit(self, _, size):
        """Guards against a limit that each instance ignores, or keeps to by itself."""
        self.start(size, targets=9)
        home = self.limit_home(1.0)
        callers = self.ask(10.0, 6.0)
        advance(1.0)
        self.assert_within_limit(home)
        # Other targets have room for the rest.
        self.assertEqual({caller.status for caller in callers}, {200})
