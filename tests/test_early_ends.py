"""Unframed responses that end with their target, at the places that take an end."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.settings import BoundSettings
from bergamotsaddle_serving.target_crashes import TargetCrashes
from bergamotsaddle_serving.target_life import TargetLife
from tests._ending_target import ENDS, LIVES, STARTED_MS, EndingTarget, report
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_broken_streams import (
    EVENTS,
    REQUEST,
    WHOLE,
    ScriptedEngine,
    connect,
    frame,
    make_server,
    read_response,
)

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 6.0
BODY = b"0123456789"
FAILURE = frame(BODY, "open").replace(b"200 OK", b"500 Failed")
BOUNDS = BoundSettings(grace=5.0, retry_ratio=0.2, retry_window=10.0, retry_extra=60)
STATES = [("listed", False), ("leaving", True)]


class EarlyEndTest(unittest.TestCase):
    """A target that sends an unframed response, and another one that is sound."""

    request = REQUEST

    def start(self, first, then, *, is_leaving):
        """Start a target, and make what an instance knows of crashes."""
        self.target = EndingTarget(first, then)
        self.addCleanup(self.target.close)
        self.pool = ConnectionPool()
        if then == "refuses_a_moment_later":
            # An idle connection, whose end comes behind that of the response.
            self.assertTrue(self.pool.probe(self.target.address, 1.0))
            eventlet.sleep(0.001)
        view = mock.Mock()
        view.is_leaving.return_value = is_leaving
        suspects = mock.Mock()
        suspects.is_quarantined.return_value = False
        suspects.is_suspect.return_value = False
        suspects.knows_crash.return_value = False
        parts = mock.Mock()
        parts.find_held.return_value = None
        self.logger = mock.Mock()
        life = TargetLife(self.pool, PlatformDialect(), mock.Mock(), self.logger)
        self.crashes = TargetCrashes(self.pool, view, suspects, parts, life)

    def make_target(self, name, address):
        """Return the entry of a target."""
        return Target(name, "s", address, "a", 4, started_ms=self.target.started_ms)

    def make_context(self, head, raw, kind):
        """Return the context of a request that two targets may run."""
        route = Route(
            "r",
            "h",
            "/",
            Kind.STREAM if kind == "resumable" else kind,
            9.0,
            2.0,
            2,
            0,
            (Share("s", 1.0),),
            is_resumable=kind == "resumable",
        )
        times = (now(), now() + LIMIT_S)
        service = Service("s", 10)
        context = Context(
            head, raw.body, route, service, None, *times, 1, 0, Progress()
        )
        return context._replace(headers=raw.headers)

    def ask(self, server, kind, *, budget=None):
        """Send a request and return what its caller got."""
        client = connect(
            server,
            lambda head, raw: self.make_context(head, raw, kind),
            budget=budget,
        )
        client.sendall(self.request % 1)
        try:
            return read_response(client, 1)
        finally:
            client.close()


def rows(names):
    """Return a row for each behaviour of each kind of target."""
    return [
        (f"{name}_{state}", name, is_leaving)
        for name in names
        for state, is_leaving in STATES
    ]


class StreamCase(EarlyEndTest):
    """A request for a stream."""

    def ask_for(self, first, then, kind, is_leaving):
        """Send the request to a target that sends some bytes first."""
        self.start(first, then, is_leaving=is_leaving)
        other = ScriptedEngine(len(WHOLE), "chunks")
        other.requests.append(b"an earlier one")
        self.addCleanup(other.close)
        server = make_server(SimpleNamespace(address=None, has_crashed=False))
        server.pool = self.pool
        server.crashes = self.crashes
        health = Health()

        def find(_, name, exclude=()):
            address = self.target.address if name == "e1" else other.address
            target = self.make_target(name, address)
            return Candidate(target, health.of(target), False, 0)

        server.selector.find = find
        return self.ask(server, kind)


class StreamTest(StreamCase):
    """Streams of three events, which end behind each of them."""

    def ask_for_stream(self, events, then, kind, *, is_leaving=False):
        """Send a request for a stream whose first response has some of its events."""
        first = frame(b"".join(EVENTS[:events]), "open")
        return self.ask_for(first, then, kind, is_leaving)

    @parameterized.expand(rows(ENDS))
    def test_one_that_ends_with_a_target_that(self, _, then, is_leaving):
        """Guards against a part of a stream that its caller takes for all of it."""
        for events in (1, 2, 3):
            status, body, is_complete = self.ask_for_stream(
                events, then, Kind.STREAM, is_leaving=is_leaving
            )
            self.assertEqual((status, is_complete), (200, False), events)
            self.assertEqual(body, b"".join(EVENTS[:events]))

    @parameterized.expand(rows(ENDS))
    def test_one_goes_on_behind_the_end_of_a_target_that(self, _, then, is_leaving):
        """Guards against a stream that could go on and ends with its target."""
        for events in (1, 2, 3):
            answer = self.ask_for_stream(
                events, then, "resumable", is_leaving=is_leaving
            )
            self.assertEqual(answer, (200, WHOLE, True), events)

    @parameterized.expand(rows(LIVES))
    def test_a_whole_one_of_a_target_that(self, _, then, is_leaving):
        answer = self.ask_for_stream(3, then, Kind.STREAM, is_leaving=is_leaving)
        self.assertEqual(answer, (200, WHOLE, True))
        self.assertEqual(len(self.target.requests), 1)


class FailedStreamTest(StreamCase):
    """Failures of an engine, whose body ends with its connection."""

    @parameterized.expand(rows(ENDS))
    def test_one_that_ends_with_a_target_that(self, _, then, is_leaving):
        """Guards against a part of a failure that its caller takes for all of it."""
        status, body, _ = self.ask_for(FAILURE, then, Kind.STREAM, is_leaving)
        self.assertEqual(status, 502, body)
        self.assertNotIn(BODY, body)
        self.assertNotIn(b'"no"', body)

    @parameterized.expand([("length",), ("chunks",)])
    def test_one_that_breaks_off(self, framing):
        """Guards against a failure without its body that looks whole."""
        first = frame(BODY, framing).replace(b"200 OK", b"500 Failed")
        status, body, _ = self.ask_for(first[:-8], "answers", Kind.STREAM, False)
        self.assertEqual(status, 502, body)

    @parameterized.expand(rows(LIVES))
    def test_a_whole_one_of_a_target_that(self, _, then, is_leaving):
        answer = self.ask_for(FAILURE, then, Kind.STREAM, is_leaving)
        self.assertEqual(answer, (500, BODY, True))


class PlainTest(EarlyEndTest):
    """Plain responses, which end behind half of their body or all of it."""

    def ask_for_body(self, size, then, kind, *, is_leaving=False):
        """Send a plain request whose first response has a part of the body."""
        first = frame(BODY[:size], "open")
        return self.ask_for_bytes(first, then, kind, is_leaving=is_leaving)

    def ask_for_bytes(self, first, then, kind, *, is_leaving=False):
        """Send a plain request to a target that sends some bytes first."""
        self.start(first, then, is_leaving=is_leaving)
        other = ScriptedEngine(0, "length")
        other.first = frame(BODY, "length")
        self.addCleanup(other.close)
        health = Health()
        targets = [
            self.make_target("t1", self.target.address),
            self.make_target("t2", other.address),
        ]
        candidates = [Candidate(t, health.of(t), False, 0) for t in targets]

        def pick(service, exclude):
            found = [c for c in candidates if c.target.id not in exclude]
            return found[0] if found else None

        selector = mock.Mock(
            pick=pick, may_send=lambda _: True, reserve=lambda *_: True
        )
        selector.permit_wait.return_value = None
        budget = RetryBudget(BOUNDS, lambda: 6)
        plain = PlainServer(
            selector,
            self.pool,
            budget,
            PlatformDialect(),
            mock.Mock(),
            crashes=self.crashes,
        )
        with mock.patch.object(
            Handler,
            "_run_here",
            lambda _, caller, context: plain.serve(context).send_to(caller),
        ):
            return self.ask(None, kind, budget=budget)

    @parameterized.expand(rows(ENDS))
    def test_one_that_ends_with_a_target_that(self, _, then, is_leaving):
        """Guards against a part of a body that its caller takes for all of it."""
        for size in (5, 10):
            status, body, _ = self.ask_for_body(
                size, then, Kind.ONCE, is_leaving=is_leaving
            )
            self.assertEqual(status, 502, body)
            self.assertNotIn(b'"no"', body)

    @parameterized.expand(rows(ENDS))
    def test_another_target_answers_behind_the_end_of_one_that(
        self, _, then, is_leaving
    ):
        """Guards against a failure that another target could have prevented."""
        for size in (5, 10):
            answer = self.ask_for_body(
                size, then, Kind.IDEMPOTENT, is_leaving=is_leaving
            )
            self.assertEqual(answer, (200, BODY, True), size)

    @parameterized.expand([("no_content", b"GET"), ("head_only", b"HEAD")])
    def test_one_without_a_body_is_whole(self, name, method):
        """Guards against targets that are asked where no body can be cut."""
        first = frame(b"", "open")
        if name == "no_content":
            first = first.replace(b"200 OK", b"204 No Content")
        self.request = REQUEST.replace(b"POST", method)
        status, _, _ = self.ask_for_bytes(first, "refuses", Kind.ONCE)
        self.assertEqual(status, 204 if name == "no_content" else 200)
        self.logger.info.assert_not_called()

    @parameterized.expand(rows(LIVES))
    def test_a_whole_one_of_a_target_that(self, _, then, is_leaving):
        answer = self.ask_for_body(10, then, Kind.ONCE, is_leaving=is_leaving)
        self.assertEqual(answer, (200, BODY, True))
        self.assertEqual(len(self.target.requests), 1)


class ManyEndsTest(unittest.TestCase):
    """Many responses of one target that end at once."""

    def setUp(self):
        self.questions = 0
        self.limit = 3
        self.open = 0
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.thread = eventlet.spawn(self.accept)
        self.addCleanup(self.thread.kill)
        pool = ConnectionPool()
        self.life = TargetLife(pool, PlatformDialect(), mock.Mock(), mock.Mock())
        address = Address(*self.listener.getsockname())
        self.target = Target("t", "s", address, "a", 4, started_ms=STARTED_MS)

    def accept(self):
        """Reset connections beyond a limit, as a live target does."""
        while True:
            sock, _ = self.listener.accept()
            if self.open == self.limit:
                sock.close()
                continue
            self.open += 1
            eventlet.spawn_n(self.serve, sock)

    def serve(self, sock):
        while sock.recv(65_536):
            self.questions += 1
            eventlet.sleep(0.02)
            sock.sendall(report(STARTED_MS))
        self.open -= 1

    def test_they_share_their_questions(self):
        """Guards against whole responses that are cut by the questions for them."""
        asking = []
        for number in range(50):
            asking.append(eventlet.spawn(self.life.has_outlived, self.target, "r"))
            if number % 10 == 0:
                eventlet.sleep(0.004)
        self.assertTrue(all(thread.wait() for thread in asking))
        self.assertLessEqual(self.questions, 5)

    def test_an_end_shares_no_question_that_was_sent_before_it(self):
        """Guards against a sign of life from before the end of a response."""
        asking = [eventlet.spawn(self.life.has_outlived, self.target, "r1")]
        eventlet.sleep(0.01)
        asking.append(eventlet.spawn(self.life.has_outlived, self.target, "r2"))
        self.assertTrue(all(thread.wait() for thread in asking))
        self.assertEqual(self.questions, 2)

    def test_a_caller_that_leaves_takes_no_answer_from_others(self):
        """Guards against ends that wait for a question that nobody asks any more."""
        first = eventlet.spawn(self.life.has_outlived, self.target, "r1")
        second = eventlet.spawn(self.life.has_outlived, self.target, "r2")
        eventlet.sleep(0.005)
        first.kill()
        self.assertTrue(second.wait())

    def test_a_slow_answer_has_one_limit(self):
        """Guards against a caller that waits for the head and again for the body."""
        data = report(STARTED_MS)

        def serve(sock):
            sock.recv(65_536)
            eventlet.sleep(1.3)
            sock.sendall(data[:-2])
            eventlet.sleep(5.0)

        self.serve = serve
        started_at = now()
        self.assertFalse(self.life.has_outlived(self.target, "r"))
        self.assertLess(now() - started_at, 1.6)
