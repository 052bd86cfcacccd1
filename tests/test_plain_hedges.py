"""Plain requests that are sent to a second target because the first one is slow."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving import plain_run
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Service, Target
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.plain_run import PlainRun
from bergamotsaddle_serving.selector import Candidate
from tests._paused import advance, settle, use_paused_clock
from tests.test_plain import (
    BOUNDS,
    ONE_REPEAT,
    ROUTE,
    TARGET_HEAD,
    Script,
    ScriptedConnection,
)

USUAL_S = 0.04
SLOW_S = 0.25
OBJECTIVE_S = 0.2
# Between two requests, so that those before have ended.
GAP_S = 1.0
SLOW = Script(SLOW_S, SLOW_S)
CHOOSE = PlainRun._choose
SOUND = Script(USUAL_S, USUAL_S)


class LoneHedges(HedgePool):
    """The hedges of an instance that owns their pool."""

    def request(self, service):
        """Return whether a hedge may be sent now."""
        return self.grant(service, self.take_earned(service))


class HedgeTest(unittest.TestCase):
    """Serves requests one after the other at targets that follow scripts.

    Attributes:
        used: Numbers of the targets that got each request.
        closed: Numbers of the targets whose connection was closed.
        seconds: How long each request took.
    """

    def setUp(self):
        use_paused_clock()
        self.used = []
        self.closed = []
        self.seconds = []

    def serve(
        self,
        *scripts,
        requests=1,
        max_share=1.0,
        route=ROUTE,
        bounds=BOUNDS,
        used_repeats=0,
        busy=0,
        is_suspect=False,
        is_quarantined=False,
        usual=USUAL_S,
        turns_slow_at=0.0,
        lost=(),
    ):
        """Serve requests and return the hedges that were sent.

        Args:
            scripts: A script for each target.
            requests: Number of requests.
            max_share: Hedges allowed, as a fraction of the requests.
            route: Route of the requests.
            bounds: Bounds of the repeats.
            used_repeats: Number of repeats that were used just before.
            busy: Requests of other instances at each target.
            is_suspect: Whether targets have ended under the requests.
            is_quarantined: Whether they are not to be sent again.
            usual: Usual seconds that the instance observed, 0 before it observed any.
            turns_slow_at: When targets begin to follow their scripts; they are sound
                before.
            lost: Numbers of targets in a zone that is cut off.
        """
        health = Health()
        targets = [
            Target(f"t{number}", "s", Address("10.0.0.1", number), "a", 4)
            for number in range(len(scripts))
        ]
        for target in targets:
            health.of(target).latency = USUAL_S
        started_at = now()

        def pick(service, exclude):
            found = [
                Candidate(target, health.of(target), False, busy)
                for target in targets
                if target.id not in exclude and target.address.port not in lost
            ]
            return found[0] if found else None

        def acquire(address, *, limit):
            self.used[-1].append(address.port)
            is_sound = now() - started_at < turns_slow_at
            script = SOUND if is_sound else scripts[address.port]
            return ScriptedConnection(script, lambda: self.closed.append(address.port))

        selector = mock.Mock(
            pick=pick,
            pick_least_loaded=lambda service, exclude, _: pick(service, exclude),
            may_send=lambda candidate: True,
            reserve=lambda *_: True,
            usual_seconds=lambda service: usual,
        )
        selector.permit_wait.return_value = None
        budget = RetryBudget(bounds, lambda: 6)
        for _ in range(used_repeats):
            budget.try_acquire("s")
        hedges = LoneHedges(max_share)
        self.logger = mock.Mock()
        server = PlainServer(
            selector,
            SimpleNamespace(acquire=acquire, open=acquire, release=mock.Mock()),
            budget,
            mock.Mock(read_response=lambda _: TARGET_HEAD, forward=mock.MagicMock()),
            self.logger,
            crashes=mock.MagicMock(
                has_ended_with_target=lambda target, request: False,
                suspects=mock.Mock(
                    is_suspect=lambda fingerprint: is_suspect,
                    is_quarantined=lambda fingerprint: is_quarantined,
                ),
            ),
            hedges=hedges,
        )

        def run():
            began = now()
            context = Context(
                RequestHead("r", b"GET", b"/", "h", "", 9.0),
                b"",
                route,
                Service("s", 10),
                None,
                began,
                began + 2.0,
                1,
                0,
                Progress(),
            )
            server.serve(context)
            self.seconds.append(now() - began)

        for _ in range(requests):
            self.used.append([])
            thread = eventlet.spawn(run)
            advance(GAP_S)
            thread.kill()
        settle()
        events = [call.args[0] for call in self.logger.info.call_args_list]
        return events.count("request_hedged")

    def test_one_slow_target_of_three(self):
        """Guards against lookups that are late at a target that slows down briefly."""
        self.assertEqual(self.serve(SLOW, SOUND, SOUND), 1)
        self.assertEqual(self.used, [[0, 1]])
        self.assertEqual(self.closed, [0])
        self.assertLess(self.seconds[0], OBJECTIVE_S)

    def test_the_first_request_of_an_instance(self):
        """Guards against requests without a hedge at instances that know nothing."""
        self.assertEqual(self.serve(SLOW, SOUND, usual=0.0), 1)
        self.assertLess(self.seconds[0], OBJECTIVE_S)

    def test_the_first_target_wins(self):
        """Guards against a response that is lost to a hedge that is slower."""
        first = Script(0.16, 0.16)
        self.assertEqual(self.serve(first, SLOW), 1)
        self.assertAlmostEqual(self.seconds[0], 0.16, places=2)
        self.assertEqual(self.closed, [1])

    def test_all_targets_slow(self):
        """Guards against a storm of hedges when no target is any faster."""
        hedges = self.serve(SLOW, SLOW, SLOW, requests=100, max_share=0.05)
        self.assertLessEqual(hedges, 5)
        self.assertEqual(len(self.seconds), 100)

    def test_a_target_that_turns_slow(self):
        hedges = self.serve(
            SLOW, SOUND, requests=60, max_share=0.1, turns_slow_at=30 * GAP_S
        )
        self.assertTrue(3 <= hedges <= 6, hedges)
        self.assertEqual(self.used[:30], [[0]] * 30)

    @parameterized.expand(
        [
            ("limit_is_zero", {"max_share": 0.0}),
            ("limit_is_used_up", {"max_share": 0.5}),
            ("must_run_once", {"route": ROUTE._replace(kind=Kind.ONCE)}),
            ("one_attempt", {"route": ROUTE._replace(attempts=1)}),
            ("no_repeat_is_left", {"bounds": ONE_REPEAT, "used_repeats": 1}),
            ("one_repeat_is_left", {"bounds": ONE_REPEAT}),
            ("others_are_full", {"busy": 4}),
            ("targets_ended_under_it", {"is_suspect": True}),
            ("quarantined", {"is_quarantined": True}),
            ("others_are_cut_off", {"lost": (1, 2)}),
        ]
    )
    def test_no_hedge_if(self, _, options):
        """Guards against extra work that is not allowed, or only delays others."""
        self.assertEqual(self.serve(SLOW, SOUND, SOUND, **options), 0)
        self.assertEqual(self.used, [[0]])
        self.assertAlmostEqual(self.seconds[0], SLOW_S, places=2)

    def test_a_hedge_that_breaks_off_is_counted(self):
        """Guards against figures that leave out hedges while targets fail."""
        broken = Script(0.2, error="closed")
        self.serve(broken, broken)
        self.assertEqual(self.seconds, [])
        ends = [
            call.kwargs["end"]
            for call in self.logger.info.call_args_list
            if call.args[0] == "hedge_ended"
        ]
        self.assertEqual(ends, ["lost"])

    def test_a_request_without_a_hedge_waits_calmly(self):
        """Guards against a target that is looked for again and again."""
        looks = []

        def choose(run):
            looks.append(run)
            return CHOOSE(run)

        late = mock.patch.object(plain_run, "hedge_delay", return_value=0.2999)
        counted = mock.patch.object(PlainRun, "_choose", choose)
        with late, counted:
            self.serve(Script(0.9, 0.9), max_share=0.5)
        self.assertLessEqual(len(looks), 6)

    def test_hedges_leave_a_repeat_to_requests_that_fail(self):
        """Guards against lost responses because slow ones used up the repeats."""
        two = BOUNDS._replace(retry_ratio=0.0, retry_extra=20)
        self.assertEqual(self.serve(SLOW, SOUND, SOUND, requests=3, bounds=two), 1)
        self.assertEqual(self.used, [[0, 1], [0], [0]])

    def test_a_request_without_repeats_uses_up_no_hedge(self):
        """Guards against hedges that are granted to requests that may not use them."""
        options = {"requests": 2, "max_share": 0.5, "bounds": ONE_REPEAT}
        with mock.patch.object(LoneHedges, "request") as request:
            self.serve(SLOW, SOUND, **options)
        request.assert_not_called()

    def test_a_silent_target_is_tried_elsewhere_without_a_hedge(self):
        """Guards against a limit on hedges that also limits ordinary repeats."""
        silent = Script(9.0, 9.0)
        self.assertEqual(self.serve(silent, SOUND, max_share=0.0), 0)
        self.assertEqual(self.used, [[0, 1]])

    def test_the_log_names_both_targets_and_the_winner(self):
        self.serve(SLOW, SOUND)
        lines = {call.args[0]: call.kwargs for call in self.logger.info.call_args_list}
        hedged, ended = lines["request_hedged"], lines["hedge_ended"]
        self.assertEqual((hedged["target"], hedged["hedge"]), ("t0", "t1"))
        self.assertEqual((ended["target"], ended["end"]), ("t1", "won"))
