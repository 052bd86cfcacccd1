"""Targets that name a limit for all instances together."""

import random
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving import streams
from bergamotsaddle_serving.owners import rank_owners
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
                callers.append(self.fleet.send_request(number, b"/%d" % step, b"body"))
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
        return [a.at for a in target.arrivals if a.at >= since]

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

    @parameterized.expand(SIZES)
    def test_what_a_limit_allows_is_used_and_the_rest_refused_at_once(self, _, size):
        """Guards against a limit that is divided among instances which have no use."""
        self.start(size, targets=1)
        (target,) = self.fleet.targets
        target.limit = 2.0
        self.named_at = now()
        callers = self.ask(14.0, 6.0)
        self.assert_within_limit(target)
        used = len(self.bounded(target)) / (now() - self.named_at - STABLE_S)
        self.assertGreaterEqual(used, USED_PART * target.limit)
        advance(1.0)
        refused = [caller for caller in callers if caller.status == 503]
        self.assertEqual({c.status for c in callers}, {200, 503})
        for caller in refused:
            self.assertIn(b"retry-after", dict(caller.headers))

    @parameterized.expand(
        [
            ("cut", lambda fleet, owner: fleet.peers.partition_zone(owner.own.zone)),
            ("killed", lambda fleet, owner: fleet.peers.kill(owner.own.id)),
            ("stopped", lambda fleet, owner: setattr(owner, "accepts_work", False)),
        ]
    )
    def test_a_limit_holds_while_its_owner_changes(self, _, harm):
        """Guards against two owners that each give out the whole rate."""
        self.start(12, targets=1)
        (target,) = self.fleet.targets
        target.limit = 3.0
        self.named_at = now()
        self.ask(6.0, 12.0)
        key = f"{target.id} 0"
        peers = next(iter(self.fleet.peers))
        name = rank_owners(peers, key, target.zone)[0]
        harm(self.fleet, next(p for p in self.fleet.peers if p.own.id == name))
        self.ask(8.0, 12.0)
        self.assert_within_limit(target)

    def test_a_target_that_names_no_limit_any_more_gets_its_requests_again(self):
        """Guards against a target that is left alone for good, or overrun at once."""
        self.start(7, targets=9)
        home = self.limit_home(0.5)
        self.ask(6.0, 6.0)
        home.limit = None
        ended_at = now()
        self.ask(6.0, 6.0)
        after = [a.at for a in home.arrivals if a.at > ended_at + STABLE_S]
        self.assertGreater(len(after), 6)
        self.assertLessEqual(most_in_a_window(after), 6.0 * WINDOW_S + SLACK)

    def test_requests_that_were_held_up_do_not_arrive_together(self):
        """Guards against permits of many seconds that are used at one moment."""
        self.start(7, targets=1)
        (target,) = self.fleet.targets
        target.limit = 5.0
        self.named_at = now()
        self.ask(4.0, 30.0)
        free_at = now() + 6.0

        def hold_up(run, choice):
            eventlet.sleep(max(0.0, free_at - now()))
            run._inputs = ()

        with mock.patch.object(streams._StreamRun, "_run_stages", hold_up):
            self.ask(10.0, 30.0)
        self.assert_within_limit(target)
