"""Targets that announce a rate limit for all instances together."""

import random
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving import stream_run
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

SIZES = [("small", 7), ("middle", 66), ("large", 195)]
STEP_S = 0.05
WINDOW_S = 4.0
# Time until all instances know a limit.
STABLE_S = 3.0
BURST_FACTOR = 1.5
SLACK = 5
# The fraction of its limit that a target should get when more is requested.
USED_FRACTION = 0.8


def max_in_window(times):
    """Return the largest number of arrivals in any span of ``WINDOW_S``."""
    return max(
        (sum(start <= t < start + WINDOW_S for t in times) for start in times),
        default=0,
    )


class LimitedTargetTest(unittest.TestCase):
    """A fleet whose callers send more than a limited target accepts."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    def start(self, size, targets):
        self.fleet = VirtualFleet(size, targets=targets)
        self.fleet.start()
        advance(2.0)

    def send_requests(self, seconds, rate):
        """Send requests at a rate, spread over all instances."""
        callers = []
        for step in range(round(seconds / STEP_S)):
            if random.random() < rate * STEP_S:
                number = random.randrange(len(self.fleet.instances))
                callers.append(self.fleet.send_request(number, b"/%d" % step, b"body"))
            advance(STEP_S)
        return callers

    def limit_busiest(self, limit):
        """Make the target that gets most requests announce a limit."""
        self.send_requests(2.0, 6.0)
        busiest = max(self.fleet.targets, key=lambda target: len(target.arrivals))
        busiest.limit = limit
        self.named_at = now()
        return busiest

    def bounded(self, target):
        """Return the arrival times since all instances must apply the limit."""
        since = self.named_at + STABLE_S
        return [a.at for a in target.arrivals if a.at >= since]

    def assert_within_limit(self, target):
        allowed = BURST_FACTOR * target.limit * WINDOW_S + SLACK
        self.assertLessEqual(max_in_window(self.bounded(target)), allowed)

    @parameterized.expand(SIZES)
    def test_all_instances_together_keep_to_a_limit(self, _, size):
        """Guards against a limit that instances ignore, or each apply in full."""
        self.start(size, targets=9)
        busiest = self.limit_busiest(1.0)
        callers = self.send_requests(10.0, 6.0)
        advance(1.0)
        self.assert_within_limit(busiest)
        # Other targets have capacity for the remaining requests.
        self.assertEqual({caller.status for caller in callers}, {200})

    @parameterized.expand(SIZES)
    def test_a_limit_is_used_up_and_further_requests_rejected_at_once(self, _, size):
        """Guards against shares of a limit for instances that don't use them."""
        self.start(size, targets=1)
        (target,) = self.fleet.targets
        target.limit = 2.0
        self.named_at = now()
        callers = self.send_requests(14.0, 6.0)
        self.assert_within_limit(target)
        used = len(self.bounded(target)) / (now() - self.named_at - STABLE_S)
        self.assertGreaterEqual(used, USED_FRACTION * target.limit)
        advance(1.0)
        rejected = [caller for caller in callers if caller.status == 503]
        self.assertEqual({c.status for c in callers}, {200, 503})
        for caller in rejected:
            self.assertIn(b"retry-after", dict(caller.headers))

    @parameterized.expand(
        [
            ("cut", lambda fleet, owner: fleet.peers.partition_zone(owner.own.zone)),
            ("killed", lambda fleet, owner: fleet.peers.kill(owner.own.id)),
            ("stopped", lambda fleet, owner: setattr(owner, "accepts_work", False)),
        ]
    )
    def test_a_limit_holds_while_its_owner_changes(self, _, disrupt):
        """Guards against two owners that each grant the full rate."""
        self.start(12, targets=1)
        (target,) = self.fleet.targets
        target.limit = 3.0
        self.named_at = now()
        self.send_requests(6.0, 12.0)
        key = f"{target.id} 0"
        peers = next(iter(self.fleet.peers))
        name = rank_owners(peers, key, target.zone)[0]
        disrupt(self.fleet, next(p for p in self.fleet.peers if p.own.id == name))
        self.send_requests(8.0, 12.0)
        self.assert_within_limit(target)

    def test_a_target_without_its_former_limit_gets_its_requests_again(self):
        """Guards against a target that is avoided for ever, or overloaded at once."""
        self.start(7, targets=9)
        busiest = self.limit_busiest(0.5)
        self.send_requests(6.0, 6.0)
        busiest.limit = None
        lifted_at = now()
        self.send_requests(6.0, 6.0)
        after = [a.at for a in busiest.arrivals if a.at > lifted_at + STABLE_S]
        self.assertGreater(len(after), 6)
        self.assertLessEqual(max_in_window(after), 6.0 * WINDOW_S + SLACK)

    def test_delayed_requests_do_not_arrive_together(self):
        """Guards against permits of many seconds that are used at the same time."""
        self.start(7, targets=1)
        (target,) = self.fleet.targets
        target.limit = 5.0
        self.named_at = now()
        self.send_requests(4.0, 30.0)
        free_at = now() + 6.0

        def delay(run, choice):
            eventlet.sleep(max(0.0, free_at - now()))
            run._inputs.handles = ()

        with mock.patch.object(stream_run.StreamRun, "_run_stages", delay):
            self.send_requests(10.0, 30.0)
        self.assert_within_limit(target)
