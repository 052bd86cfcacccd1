"""Targets that start again with other software behind the entry that names the old."""

import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.stream_origins import StreamOrigin
from bergamotsaddle_serving.stream_run import StreamRun
from bergamotsaddle_serving.target_life import TargetLife
from tests import test_broken_streams, test_stream_versions
from tests._ending_target import EndingTarget
from tests._paused import use_paused_clock, use_skipping_clock
from tests._resumptions import make_lone_resumptions
from tests.test_broken_streams import (
    EVENTS,
    WHOLE,
    ScriptedEngine,
    frame,
    make_context,
)

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

CUT = len(EVENTS[0]) + 3
# For how long a caller waits for the next event.
PATIENCE_S = 2.0
# What tells of no other incarnation.
BELIEVED = [
    "answers",
    "states_no_start",
    "rejects_the_question",
    "hides_its_start",
    "is_a_relay",
    "is_another_server",
    "closes",
    "resets",
    "cuts_its_report",
]
REPLACED = ["has_restarted", "is_another_target"]


class RestartedTargetTest(unittest.TestCase):
    """A stream goes on at a target whose entry may be older than its process."""

    def relay(
        self, then, *, origin=None, first=EVENTS[0][:3], rest=EVENTS[1:], attempts=3
    ):
        """Send a request; return what the caller gets.

        Args:
            then: What the second target answers when it is asked when it started.
            origin: What began the stream, None if this request does.
            first: What the first target sends before it breaks off.
            rest: Events of the second target.
            attempts: How often the request may run.
        """
        engine = ScriptedEngine(0, "open", is_reset=True)
        engine.first = frame(first, "open")
        self.restarted = EndingTarget(frame(b"".join(rest), "length"), then)
        self.addCleanup(self.restarted.close)
        self.last = ScriptedEngine(len(WHOLE), "chunks")
        self.last.requests.append(b"an earlier one")
        self.addCleanup(self.last.close)
        addresses = (engine.address, self.restarted.address, self.last.address)
        started_ms = self.restarted.started_ms
        targets = [
            Target(f"e{n}", "s", a, "a", 4, started_ms=started_ms, software="v1")
            for n, a in enumerate(addresses, start=1)
        ]
        self.targets = targets
        # A stream that is taken up has broken off elsewhere.
        self.server = server = self.make_server(targets[origin is not None :])
        self.resumptions = server.resumptions

        def make_taken_up(head, raw, *, is_resumable):
            context = make_context(head, raw, is_resumable=is_resumable)
            route = context.route._replace(attempts=attempts)
            return context._replace(origin=origin, route=route)

        patches = {"make_server": lambda _: server, "make_context": make_taken_up}
        with mock.patch.multiple(test_broken_streams, **patches):
            return test_broken_streams.relay(engine, is_resumable=True)

    def count_at_last(self):
        """Return the number of streams that the last target has got."""
        requests = [r for r in self.last.requests if b"/report" not in r]
        return len(requests) - 1

    def make_server(self, targets):
        """Return a stream server that chooses the first target that may be chosen."""
        health = Health()
        candidates = [Candidate(t, health.of(t), False, 0) for t in targets]
        server = test_stream_versions.make_server(candidates)
        server.resumptions = make_lone_resumptions(*targets)
        pool = ConnectionPool()
        life = TargetLife(pool, PlatformDialect(), mock.Mock(), server.logger)
        server.resumptions.has_restarted = life.has_restarted
        choose = server.choose

        def choose_in_order(context, exclude):
            choices = [
                choose(context, exclude | {t.id for t in targets if t is not target})
                for target in targets
                if target.id not in exclude
            ]
            return next(filter(None, choices), None)

        server.choose = choose_in_order
        return server

    @parameterized.expand([(then,) for then in REPLACED])
    def test_no_stream_goes_on_at_one_that(self, then):
        """Guards against streams with events of two software versions."""
        answer = self.relay(then, first=WHOLE[:CUT])
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(self.restarted.requests, [])
        self.assertEqual(self.count_at_last(), 1)

    @parameterized.expand([(then,) for then in BELIEVED])
    def test_a_stream_goes_on_at_one_that(self, then):
        """Guards against streams that end as their target can't be asked."""
        answer = self.relay(then, first=WHOLE[:CUT])
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(self.count_at_last(), 0)

    @parameterized.expand([(then,) for then in REPLACED])
    def test_no_stream_is_taken_up_at_one_that(self, then):
        """Guards against the same where another instance began the stream."""
        answer = self.relay(then, origin=StreamOrigin("s", "v1"), rest=EVENTS)
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(self.restarted.requests, [])
        self.assertEqual(self.count_at_last(), 1)

    @parameterized.expand([(then,) for then in REPLACED])
    def test_it_costs_no_attempt(self, then):
        """Guards against streams that may run twice and end at one that says so."""
        answer = self.relay(then, first=WHOLE[:CUT], attempts=2)
        self.assertEqual(answer, (200, WHOLE, True))

    @parameterized.expand([(then,) for then in REPLACED])
    def test_the_next_stream_asks_no_more(self, then):
        """Guards against a run lost at each stream until the entry is written."""
        self.relay(then, first=WHOLE[:CUT])
        target = self.targets[1]
        self.assertFalse(self.resumptions.certainty.is_certain(target))
        self.assertFalse(self.resumptions.may_run(target, StreamOrigin("s", "v1")))

    def test_a_stream_waits_a_moment_for_one_that_is_silent(self):
        """Guards against callers that leave while nobody answers."""
        started_at = now()
        answer = self.relay("stays_silent", first=WHOLE[:CUT])
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(self.count_at_last(), 0)
        self.assertLess(now() - started_at, PATIENCE_S / 2.0)

    @parameterized.expand([(then, then in REPLACED) for then in (*REPLACED, *BELIEVED)])
    def test_hedges_ask_as_well(self, then, is_replaced):
        """Guards against a silent stream that goes on at another version."""
        self.relay(then)
        target = self.targets[1]
        head = RequestHead("r", b"POST", b"/", "h", "", 9.0)
        context = make_context(head, mock.Mock(body=b""), is_resumable=True)
        context = context._replace(origin=StreamOrigin("s", "v1"))
        run = StreamRun(self.server, context, mock.Mock())
        choice = self.server.choose(context, {"e1", "e3"})
        self.assertEqual(choice.engine.id, target.id)
        made = run._make_run(choice, None, run._excluded_from_hedge())
        self.assertEqual(made is None, is_replaced)

    @parameterized.expand([(then,) for then in REPLACED])
    def test_a_new_stream_begins_at_one_that(self, then):
        """Guards against targets that get nothing until their entry is written."""
        answer = self.relay(then, rest=EVENTS)
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(self.count_at_last(), 0)

    @parameterized.expand([("kept", False), ("fetched", True)])
    def test_results_that_go_while_an_engine_is_asked(self, _, are_fetched):
        """Guards against streams that run without the results of their stages."""
        self.relay("answers")
        head = RequestHead("r", b"POST", b"/", "h", "", 9.0)
        context = make_context(head, mock.Mock(body=b""), is_resumable=True)
        run = StreamRun(self.server, context, mock.Mock())
        run._inputs.handles = ("h1",)
        run._check_way_on = mock.Mock()

        def ask(target, request):
            if are_fetched:
                run._inputs.drop()
            return False

        self.resumptions.has_restarted = ask
        run._context = context._replace(origin=StreamOrigin("s", "v1"))
        sent = []
        run._start = lambda made: sent.append(run._inputs.handles)
        self.assertFalse(run._try(self.server.choose(context, set()), None))
        self.assertEqual(sent, [] if are_fetched else [("h1",)])
        self.assertFalse(run._exclude)


if __name__ == "__main__":
    unittest.main()
