"""Policies of the daemon: routing, limits, queues, budgets and neighbours."""

import random
import unittest

import eventlet
from nose2.tools import params

from bergamotsaddle_contracts.declaration import DeclaredTarget, Team
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import TargetReport
from bergamotsaddle_daemon.calls import Reply
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.costs import FIRST, HEDGE, RETRY
from bergamotsaddle_daemon.fair_queue import FairQueue, Waiter
from bergamotsaddle_daemon.limits import AdaptiveLimit
from bergamotsaddle_daemon.peers import _ring_offsets
from bergamotsaddle_daemon.pools import Slot
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.retries import RetryBudget
from bergamotsaddle_daemon.routing import LeastOfFew, RoundRobin, RoutingRequest
from bergamotsaddle_daemon.settings import parse_settings
from bergamotsaddle_daemon.stage_latencies import StageLatencies
from bergamotsaddle_daemon.stages import Stage
from bergamotsaddle_daemon.streams import GenerationParams, TokenStream
from bergamotsaddle_daemon.targets import Target
from tests._fakes import FakeFleet, run_green
from tests._http import send_request
from tests._paused import advance

SETTINGS = parse_settings(
    "[daemon]\nid = a1\nzone = a\npeer_key = 0123456789abcdef\n"
    "[platform]\nconfig_address = 10.0.0.1:1\ninstances_address = 10.0.0.1:2\n"
)


def make_target(name: str, zone: str = "a", in_flight: int = 0) -> Target:
    """Return a warm target with some calls in flight."""
    address = Address("10.0.0.1", 1)
    declared = DeclaredTarget(
        name, address, zone, "generate", (), 1, 10, 1, True, False, False, True, ()
    )
    target = Target(declared, SETTINGS, 1)
    target.apply_report(TargetReport(name, False, 0, 0.0), sent_at=now())
    target.in_flight = in_flight
    return target


class RoutingTest(unittest.TestCase):
    """The target that a routing policy chooses."""

    def choose(self, targets, *, prefix="", times=1, policy=None):
        policy = policy or LeastOfFew()
        request = RoutingRequest("a", prefix)
        return [policy(targets, request).target.id for _ in range(times)]

    def test_local_zone_first(self):
        targets = [make_target("x", "b"), make_target("y", "a", in_flight=5)]
        self.assertEqual(set(self.choose(targets, times=20)), {"y"})

    def test_other_zone_once_the_local_one_is_full(self):
        targets = [make_target("x", "b"), make_target("y", "a", in_flight=9)]
        self.assertEqual(set(self.choose(targets, times=20)), {"x"})

    def test_least_loaded(self):
        targets = [make_target("x", in_flight=4), make_target("y", in_flight=1)]
        self.assertEqual(set(self.choose(targets, times=20)), {"y"})

    def test_reported_load_counts(self):
        busy = make_target("x")
        busy.apply_report(TargetReport("x", False, 8, 0.0), sent_at=now() + 0.1)
        self.assertEqual(set(self.choose([busy, make_target("y")], times=20)), {"y"})

    @params((2, "x"), (4, "y"))
    def test_prefix_is_kept_until_the_load_differs_much(self, in_flight, expected):
        targets = [make_target("x"), make_target("y", in_flight=1)]
        policy = LeastOfFew()
        self.choose(targets, prefix="p", policy=policy)
        targets[0].in_flight, targets[1].in_flight = in_flight, 0
        found = self.choose(targets, prefix="p", policy=policy)
        self.assertEqual(found, [expected])

    def test_round_robin(self):
        targets = [make_target(name) for name in "xyz"]
        chosen = self.choose(targets, times=6, policy=RoundRobin())
        self.assertEqual(sorted(chosen), list("xxyyzz"))


class LimitTest(unittest.TestCase):
    """How limits adapt to latency."""

    def test_grows_while_fast_and_full(self):
        limit = AdaptiveLimit(2.0, 16.0)
        for _ in range(100):
            limit.record_success(0.1, in_flight=16)
        self.assertGreater(limit.value, 10.0)

    def test_is_kept_while_not_used(self):
        limit = AdaptiveLimit(4.0, 16.0)
        for _ in range(100):
            limit.record_success(0.1, in_flight=1)
        self.assertEqual(limit.value, 4.0)

    def test_shrinks_gradually_when_slow(self):
        limit = AdaptiveLimit(8.0, 16.0)
        limit.record_success(0.1, in_flight=8)
        for _ in range(10):
            limit.record_success(1.0, in_flight=8)
        self.assertGreater(limit.value, 6.0)
        for _ in range(40):
            advance(0.3)
            limit.record_success(1.0, in_flight=1)
        self.assertGreaterEqual(limit.value, 1.0)
        self.assertLess(limit.value, 8.0)


class TargetTest(unittest.TestCase):
    """Conditions under which a target is not used."""

    @params((False, 3, True), (True, 3, False), (False, 2, False))
    def test_backoff_after_failures(
        self, responded_meanwhile, failures, is_backing_off
    ):
        # Under overload, calls time out at an engine that responds to others in the
        # meantime; only an engine that responds to none backs off.
        target = make_target("x")
        started_at = now()
        advance(1.0)
        for _ in range(failures):
            target.start_call()
            if responded_meanwhile:
                target.last_response_at = now()
            target.fail_call(started_at, 0.0, timed_out=True)
        self.assertEqual(target.is_backing_off(), is_backing_off)

    def test_one_probe_at_a_time(self):
        target = make_target("x")
        for _ in range(3):
            target.start_call()
            target.fail_call(now(), 0.0, timed_out=False)
        self.assertTrue(target.is_backing_off())
        advance(1.0)
        self.assertFalse(target.is_backing_off())
        target.start_call()
        self.assertTrue(target.is_backing_off())
        target.record_first_byte(0.1, 0.1)
        target.finish_call()
        self.assertFalse(target.is_backing_off())

    def test_far_slower_than_its_kind_is_avoided(self):
        target = make_target("x")
        target.start_call()
        target.record_first_byte(0.9, typical_latency=0.1)
        target.finish_call()
        self.assertTrue(target.is_slow())
        advance(1.1)
        self.assertFalse(target.is_slow())
        target.start_call()
        self.assertTrue(target.is_slow())
        target.record_first_byte(0.12, typical_latency=0.1)
        target.finish_call()
        self.assertFalse(target.is_slow())

    def test_timeout_makes_it_cold_until_a_later_report(self):
        target = make_target("x")
        target.start_call()
        started_at = now()
        advance(2.0)
        target.apply_report(TargetReport("x", False, 0, 0.5), sent_at=now())
        target.fail_call(started_at, 0.0, timed_out=True)
        self.assertTrue(target.is_cold())
        advance(0.5)
        target.apply_report(TargetReport("x", False, 0, 0.0), sent_at=now())
        self.assertFalse(target.is_cold())


class QueueTest(unittest.TestCase):
    """The order in which teams are served."""

    def serve(self, queue: FairQueue, count: int) -> list[str]:
        served = []
        for _ in range(count):
            entry = queue.pop()
            queue.advance_to(entry)
            served.append(entry.waiter.requirements)
        return served

    def test_other_teams_overtake_a_flood_of_one_team(self):
        queue = FairQueue()
        for _ in range(50):
            queue.push(Team("flood", 1, 5, ()), Waiter("flood"))
        queue.push(Team("small", 1, 5, ()), Waiter("small"))
        self.assertIn("small", self.serve(queue, 2))

    def test_shares(self):
        queue = FairQueue()
        for _ in range(40):
            queue.push(Team("big", 3, 5, ()), Waiter("big"))
            queue.push(Team("small", 1, 5, ()), Waiter("small"))
        served = self.serve(queue, 20)
        self.assertEqual(served.count("big"), 15)

    def test_idle_team_accumulates_no_credit(self):
        queue = FairQueue()
        for _ in range(20):
            queue.push(Team("busy", 1, 5, ()), Waiter("busy"))
        self.serve(queue, 10)
        for _ in range(20):
            queue.push(Team("late", 1, 5, ()), Waiter("late"))
        self.assertLessEqual(self.serve(queue, 10).count("late"), 6)

    def test_dropped_waiter_is_not_served(self):
        queue = FairQueue()
        dropped = Waiter("gone")
        queue.push(Team("t", 1, 5, ()), dropped)
        queue.drop(dropped)
        self.assertIsNone(queue.pop())


class BudgetTest(unittest.TestCase):
    """Retries remain a small fraction of all calls."""

    def test_failing_kind_gets_few_retries(self):
        budget = RetryBudget(10)
        spent = 0
        for _ in range(1_000):
            budget.count_call("crews", "encode")
            spent += budget.try_spend("crews", "encode")
        self.assertLessEqual(spent, 111)
        self.assertGreaterEqual(spent, 90)

    def test_teams_have_budgets_of_their_own(self):
        budget = RetryBudget(10)
        while budget.try_spend("flood", "encode"):
            continue
        self.assertTrue(budget.try_spend("small", "encode"))


class NeighbourTest(unittest.TestCase):
    """The neighbours that get heartbeats."""

    @params((10, 8, 2), (39, 8, 4), (350, 8, 8), (700, 8, 10), (350, 4, 20))
    def test_bounded_symmetric_and_few_hops(self, size, bound, max_hops):
        steps = _ring_offsets(size, bound)
        self.assertLessEqual(len(steps), bound)
        self.assertEqual({size - step for step in steps}, set(steps))
        reached, frontier, hops = {0}, {0}, 0
        while len(reached) < size:
            frontier = {(n + s) % size for n in frontier for s in steps} - reached
            reached |= frontier
            hops += 1
        self.assertLessEqual(hops, max_hops)


class LargeFleetTest(unittest.TestCase):
    """A fleet too large for heartbeats between all pairs of instances."""

    def setUp(self):
        self.fleet = FakeFleet(("encode", "stock"), daemons_per_zone=8)
        self.addCleanup(self.fleet.close)
        self.fleet.start(5.0)

    def test_heartbeats_are_bounded(self):
        for daemon in self.fleet.daemons.values():
            count = len(daemon.peers.neighbours) + len(daemon.peers.followers)
            self.assertLess(count, 23)

    def test_every_instance_knows_targets_of_each_kind_as_warm(self):
        # Reports are sent only to instances that request them. An instance without
        # reports would consider every target cold and serve almost nothing.
        for daemon in self.fleet.daemons.values():
            usable = [
                target
                for target in daemon.targets.by_id.values()
                if daemon.permits.can_use(target)
            ]
            for kind in ("encode", "stock"):
                warm = [
                    t for t in usable if t.declared.kind == kind and not t.is_cold()
                ]
                self.assertGreaterEqual(len(warm), 2)

    def test_declaration_reaches_all(self):
        # Only one instance can read the configuration service.
        names = set(self.fleet.daemons)
        self.fleet.config.down_readers = names - {"a1"}
        self.fleet.publish(2)
        advance(3.0)
        self.assertEqual(set(self.fleet.revisions()), {2})


class AttemptTest(unittest.TestCase):
    """Retries and hedges of a daemon's stage calls."""

    PIPELINE = "[pipeline plan]\nstages = encode\ndeadline = 4s\n"

    def setUp(self):
        random.seed(1)
        self.fleet = FakeFleet(("encode",))
        self.addCleanup(self.fleet.close)
        self.fleet.publish(1, self.PIPELINE)
        self.fleet.start()
        self.daemon = self.fleet.daemons["a1"]
        for target in self.fleet.targets.values():
            target.seconds = 0.05
            target.handle = lambda call: Reply(200, b'{"output": 1}')

    def plan(self):
        body = {"input": "x"}
        return run_green(lambda: send_request(self.daemon, "/v1/pipelines/plan", body))

    def warm_up(self):
        for _ in range(5):
            self.plan()
            advance(0.2)

    def calls_by_kind(self) -> dict[str, int]:
        calls = self.daemon.costs._calls
        key = ("crews", "plan", "encode")
        kinds = (FIRST, RETRY, HEDGE)
        return {kind: int(calls.labels(*key, kind)._value.get()) for kind in kinds}

    def test_slow_target_is_hedged(self):
        # One encoder hangs. A second call to another target completes long before the
        # time limit of the first.
        self.warm_up()
        self.fleet.targets["encode-a"].seconds = 60.0
        result = self.plan()
        advance(0.5)
        self.assertEqual(result.value.status, 200)
        self.assertEqual(self.calls_by_kind()[HEDGE], 1)

    def test_hedges_are_few_when_everything_is_slow(self):
        # All encoders slow down; hedging every call would double their work and keep
        # them slow.
        self.warm_up()
        for target in self.fleet.targets.values():
            target.seconds = 0.6
        results = [self.plan() for _ in range(60)]
        advance(8.0)
        self.assertTrue(all(result.done for result in results))
        self.assertLessEqual(self.calls_by_kind()[HEDGE], 10 + 0.04 * 65)

    def test_failed_call_is_retried_at_another_target(self):
        self.warm_up()
        self.fleet.targets["encode-a"].refuses_connections = True
        result = self.plan()
        advance(0.5)
        self.assertEqual(result.value.status, 200)

    def test_attempt_timeout_leaves_time_for_a_retry(self):
        latencies = StageLatencies()
        self.assertEqual(latencies.attempt_timeout("p", "encode", 2.0), 1.0)
        for _ in range(50):
            latencies.record("p", "encode", 0.1)
        self.assertAlmostEqual(
            latencies.attempt_timeout("p", "encode", 2.0), 0.5, delta=0.05
        )
        self.assertEqual(latencies.attempt_timeout("p", "encode", 0.2), 0.2)

    def test_waiting_calls_are_served(self):
        for target in self.fleet.targets.values():
            target.seconds = 0.5
        results = [self.plan() for _ in range(60)]
        self.assertGreater(self.daemon.pools.count_waiting(), 0)
        advance(5.0)
        statuses = [result.value.status for result in results]
        self.assertGreater(statuses.count(200), 45)
        self.assertEqual(self.daemon.pools.count_waiting(), 0)

    def test_killed_waiter_leaks_no_slot(self):
        # A hedge completes while the slow first attempt still waits, and at the same
        # time that attempt is given a slot. If the slot were not released, the target
        # would have one slot less for ever, and eventually none.
        pools = self.daemon.pools
        self.warm_up()
        for target in self.fleet.targets.values():
            target.seconds = 0.5
        for _ in range(25):
            self.plan()
        request = Request(self.daemon.views.declaration.teams["crews"], "plan", 4, 5)
        stage = Stage("encode", "", "/v1/stages/encode", b"{}")
        stages = self.daemon.callers._stages
        requirements = stages.call_requirements(request, stage, frozenset())
        waiting = eventlet.spawn(pools.acquire, requirements)
        advance(0.01)
        pool = pools._pool(requirements)
        waiter = next(
            e.waiter for e in pool.queue._heap if e.waiter.requirements is requirements
        )
        target = self.daemon.targets.by_id["encode-a"]
        before = target.in_flight
        waiter.resolve(Slot(pools, pool, target, None))
        waiting.kill()
        self.assertEqual(target.in_flight, before)

    def test_streams_refill_the_retry_budget(self):
        # First calls refill the budget. If streams did not count as such, they would
        # use it up once and never be retried again.
        budget = self.daemon.callers._stages._retries
        while budget.try_spend("crews", "generate"):
            continue
        request = Request(self.daemon.views.declaration.teams["crews"], "plan", 4, 5)
        stream = TokenStream(request, GenerationParams("m", "p", 1))
        stage = Stage("generate", "m", "/v1/completions", b"")
        for _ in range(20):
            run_green(lambda: list(self.daemon.callers._relay.run(stream, stage)))
        self.assertTrue(budget.try_spend("crews", "generate"))
