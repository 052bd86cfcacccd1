"""The queue of a plain service before few targets, with loads replayed on it."""

import unittest
from functools import cache, partial

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.decisions.plain_queue import Applicant, Place, PlainQueue
from bergamotsaddle_serving.decisions.target_slowdowns import TargetSlowdowns
from tests._paused import advance, use_paused_clock
from tests._plain_loads import (
    SLOTS,
    WORK_S,
    JointPlacement,
    LocalChoice,
    percentile,
    replay,
)

INSTANCES = 75
# Half of what three targets can serve, and three times as much as they can.
CAPACITY = 3 * SLOTS / WORK_S
HALF = CAPACITY / 2
BURST = 3 * CAPACITY
BURST_S = 3.0
OBJECTIVE_S = 0.274
DEADLINE_S = 1.318
PLACES = [Place(f"t{n}", (f"t{n}", 0), "abc"[n], 2) for n in range(3)]


@cache
def noisy(kind, seed):
    """Replay a noisy service at half of its capacity; return targets and seconds."""
    makes = {
        "local": partial(LocalChoice, size=INSTANCES),
        "joint": JointPlacement,
        "none": partial(JointPlacement, report_age=None),
        "old": partial(JointPlacement, report_age=1.0),
        "false": partial(JointPlacement, lie=1_000_000.0),
    }
    arrivals = [(HALF, 10.0)]
    targets, replies, _ = replay(makes[kind], arrivals=arrivals, noise=0.15, seed=seed)
    return targets, [reply.seconds for reply in replies if not reply.is_refused]


class NoisyServiceTest(unittest.TestCase):
    """Targets that are 2.5 times as slow 15 % of the time, for 0.6 s each."""

    @parameterized.expand([(1,), (2,), (3,)])
    def test_the_99th_percentile_falls_by_a_quarter(self, seed):
        """Guards against instances that all notice a noisy target too late."""
        before = percentile(noisy("local", seed)[1], 0.99)
        after = percentile(noisy("joint", seed)[1], 0.99)
        self.assertLessEqual(after, 0.75 * before)

    @parameterized.expand([("joint", 1), ("joint", 2), ("joint", 3), ("false", 1)])
    def test_no_target_gets_more_than_1_3_times_the_mean(self, kind, seed):
        """Guards against a herd at the target that looks best."""
        served = [target.served for target in noisy(kind, seed)[0]]
        self.assertLessEqual(max(served), 1.3 * sum(served) / len(served))

    @parameterized.expand([(1,), (2,), (3,)])
    def test_reports_one_second_old_do_no_harm(self, seed):
        """Guards against a noise that is over but still steers requests away."""
        without = percentile(noisy("none", seed)[1], 0.99)
        old = percentile(noisy("old", seed)[1], 0.99)
        self.assertLessEqual(old, without)

    @parameterized.expand([(1,), (2,), (3,)])
    def test_quick_requests_leave_equal_targets_equal(self, seed):
        """Guards against targets that look fast for the route of their last runs."""
        make = partial(JointPlacement, quick=0.6)
        targets, _, placement = replay(make, arrivals=[(100, 3.0)], seed=seed)
        seconds = [placement.slowdowns.usual(t.target.incarnation) for t in targets]
        self.assertLess(max(seconds), 1.2 * min(seconds))

    def test_one_false_report_of_a_million_leaves_the_percentile(self):
        """Guards against a target that takes itself out by what it says."""
        before = percentile(noisy("local", 1)[1], 0.99)
        self.assertLessEqual(percentile(noisy("false", 1)[1], 0.99), before)


class BurstTest(unittest.TestCase):
    """Three times the requests that three targets can serve, from 75 instances."""

    @classmethod
    def setUpClass(cls):
        arrivals = [(BURST, BURST_S)]
        cls.targets, cls.replies, cls.placement = replay(
            JointPlacement, arrivals=arrivals
        )

    def test_goodput_is_at_least_nine_tenths_of_the_capacity(self):
        good = [
            reply
            for reply in self.replies
            if not reply.is_refused and reply.seconds <= OBJECTIVE_S
        ]
        self.assertGreaterEqual(len(good), 0.9 * CAPACITY * BURST_S)

    def test_nobody_waits_until_the_deadline_passes(self):
        """Guards against callers that are held back and then get nothing."""
        self.assertLess(max(reply.seconds for reply in self.replies), DEADLINE_S)

    def test_the_refused_know_at_once(self):
        """Guards against refusals that come after a wait."""
        refused = [reply for reply in self.replies if reply.is_refused]
        self.assertTrue(refused)
        self.assertLess(percentile([r.seconds for r in refused], 0.9), 0.01)

    def test_the_refused_return_as_there_is_room(self):
        """Guards against callers of a burst that return as a burst."""
        times = sorted(
            reply.sent_at + reply.retry_after
            for reply in self.replies
            if reply.is_refused and reply.retry_after < 2.0
        )
        within = max(
            sum(start <= other < start + 0.1 for other in times) for start in times
        )
        self.assertLessEqual(within, CAPACITY)

    def test_no_target_is_handed_more_than_its_slots_and_a_short_queue(self):
        """Guards against work that waits at a target, out of any order."""
        most = max(target.max_held for target in self.targets)
        self.assertLessEqual(most, SLOTS + 1)


class OrderTest(unittest.TestCase):
    """Requests that wait while all places are taken."""

    def setUp(self):
        use_paused_clock()
        self.slowdowns = TargetSlowdowns()
        self.queue = PlainQueue(self.slowdowns)
        self.number = 0

    def ask(self, *, urgency=0, team="", objective=9.0, deadline=9.0, excluded=()):
        """Ask for a place; return the key of the request and what it got."""
        self.number += 1
        key = ("i", self.number)
        applicant = Applicant(
            key,
            f"r{self.number}",
            "a",
            urgency,
            team,
            now() + objective,
            now() + deadline,
            frozenset(excluded),
        )
        return key, self.queue.admit(applicant, PLACES)

    def fill(self):
        """Take all places; return their keys."""
        return [self.ask()[0] for _ in range(sum(place.room for place in PLACES))]

    def order(self, running):
        """Free the places one by one; return who gets them."""
        placed = []
        for key in running:
            self.queue.end(key)
            placed += [o.applicant.key for o in self.queue.renew(PLACES)]
        return placed

    def test_more_urgent_requests_go_first(self):
        running = self.fill()
        later, _ = self.ask(urgency=1)
        first, _ = self.ask(urgency=0)
        self.assertEqual(self.order(running), [first, later])

    def test_what_is_due_first_goes_first(self):
        running = self.fill()
        later, _ = self.ask(objective=8.0)
        first, _ = self.ask(objective=2.0)
        self.assertEqual(self.order(running), [first, later])

    def test_teams_take_turns(self):
        """Guards against a large team that keeps a small one waiting."""
        running = self.fill()
        large = [self.ask(team="large")[0] for _ in range(4)]
        small, _ = self.ask(team="small")
        self.assertEqual(
            self.order(running), [large[0], small, large[1], large[2], large[3]]
        )

    def test_a_team_that_was_idle_gains_no_turns(self):
        """Guards against a team that returns and keeps all others waiting."""
        running = self.fill()
        self.ask(team="returning")
        steady = [self.ask(team="steady")[0] for _ in range(20)]
        running = self.order(running)
        returned = {self.ask(team="returning")[0] for _ in range(8)}
        placed = self.order(running[:8])
        self.assertEqual(len(returned & set(placed)), 4)
        self.assertEqual(len(set(steady) & set(placed)), 4)

    def test_one_old_run_keeps_no_slot_free(self):
        """Guards against requests that wait beside free slots for their deadline."""
        places = PLACES[:1]
        number = iter(range(9))

        def ask():
            key = ("i", -next(number))
            applicant = Applicant(key, "r", "a", 0, "", now() + 0.2, now() + 0.4)
            return self.queue.admit(applicant, places)

        ask()
        advance(0.45)
        self.assertTrue(ask().target)

    def test_a_target_that_must_not_get_it_does_not(self):
        _, outcome = self.ask(excluded=("t0", "t2"))
        self.assertEqual(outcome.target, "t1")

    def test_a_new_queue_places_at_once(self):
        """Guards against an owner that refuses for lack of knowledge."""
        outcome = self.ask(objective=0.01, deadline=0.1)[1]
        self.assertTrue(outcome.target)

    def test_late_requests_are_refused_before_their_deadline(self):
        """Guards against a request that waits for a place until it is worthless."""
        self.fill()
        key, outcome = self.ask(objective=0.4, deadline=0.4)
        self.assertIsNone(outcome)
        refused = []
        for _ in range(39):
            advance(0.01)
            refused += self.queue.renew(PLACES)
        self.assertEqual([(o.applicant.key, o.target) for o in refused], [(key, "")])

    def test_requests_without_any_target_wait_no_longer(self):
        """Guards against requests that wait for targets that have all left.

        The instance that asks may have a target in its reach, so none is refused.
        """
        self.fill()
        key, _ = self.ask()
        ended = self.queue.renew([])
        found = [(o.applicant.key, o.target, o.is_local) for o in ended]
        self.assertEqual(found, [(key, "", True)])
        self.assertEqual((len(self.queue), self.queue.refused), (0, 0))

    def test_leases_of_instances_that_are_gone_end(self):
        """Guards against places that a dead instance keeps."""
        self.fill()
        self.queue.end_all_of(["i"])
        self.assertEqual(self.queue.running, 0)

    def test_leases_end_with_time(self):
        """Guards against places that are kept as the report of their end was lost."""
        self.fill()
        advance(1.0)
        self.queue.renew(PLACES)
        self.assertEqual(self.queue.running, 0)
