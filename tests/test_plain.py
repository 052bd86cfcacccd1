"""Plain services: when a request is given up at a silent target."""

import unittest
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import ConnectionLostError, RawResponseHead
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead, ResponseHead
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.settings import BoundSettings
from tests._paused import advance, settle, use_paused_clock

SILENT_S = 1.0
DEADLINE_S = 2.0
ROUTE = Route("r", "h", "/", Kind.IDEMPOTENT, 9.0, 0.2, 2, 0, (Share("s", 1.0),))
BOUNDS = BoundSettings(grace=5.0, retry_ratio=0.2, retry_window=10.0, retry_extra=60)
# A share is never less than one repeat.
ONE_REPEAT = BOUNDS._replace(retry_ratio=0.0, retry_extra=0.0)
# A repeat that was used is available again after half a second.
BRIEF = ONE_REPEAT._replace(retry_window=0.5)
TARGET_HEAD = ResponseHead("", True, False, None, None, False)


class Script(NamedTuple):
    """What a target does with a request.

    Attributes:
        head_after: Seconds until the head of its response arrives.
        body_after: Seconds from the request until the body arrives.
        status: Status of the response, 421 if it rejects the request.
        error: Why the connection is lost when the head is due, empty if it is not.
        is_refused: Whether it refuses connections.
        is_leaving: Whether it has announced that it is leaving.
        has_permit: Whether a permit for it is available.
        lasts: Seconds after which the target is sound.
    """

    head_after: float = 0.0
    body_after: float = 0.0
    status: int = 200
    error: str = ""
    is_refused: bool = False
    is_leaving: bool = False
    has_permit: bool = True
    lasts: float = float("inf")


SOUND = Script()
SLOW_HEAD = Script(SILENT_S, SILENT_S)
SLOW_BODY = Script(0.0, SILENT_S)
DEAD = Script(99.0, 99.0)
REJECTING = Script(status=421)
BREAKING = Script(error="closed")
FAILING = Script(status=500)
NO_LISTENER = Script(is_refused=True)


class ScriptedConnection:
    """A connection to a target.

    Args:
        script: What the target does.
        on_close: Called when the connection is closed.
    """

    def __init__(self, script, on_close):
        self.is_reused = False
        self._script = script
        self._on_close = on_close
        self._sent_at = now()
        self._body = b"done"

    def send(self, call, *, limit):
        """Accept a request."""
        return 0

    def read_head(self, *, limit):
        """Return the head once it has arrived."""
        self._wait(self._script.head_after, limit)
        if self._script.error:
            raise ConnectionLostError(self._script.error)
        return RawResponseHead(self._script.status, [(b"content-length", b"4")])

    def read_some(self, *, limit):
        """Return the body once it has arrived, then its end."""
        self._wait(self._script.body_after, limit)
        chunk, self._body = self._body, None
        return chunk

    def read_body(self, *, limit, max_bytes):
        """Return the whole body once it has arrived."""
        return self.read_some(limit=limit)

    def close(self):
        """Close the connection."""
        self._on_close()

    def _wait(self, seconds, limit):
        pause = max(0.0, self._sent_at + seconds - now())
        eventlet.sleep(min(pause, limit))
        if pause > limit:
            raise ConnectionLostError("silent")


class PlainTest(unittest.TestCase):
    """Serves a request at targets that follow scripts.

    Attributes:
        used: Numbers of the targets that got the request, in this order.
        closed: Numbers of the targets whose connection was closed.
    """

    def setUp(self):
        use_paused_clock()
        self.used = []
        self.closed = []
        self.logger = mock.Mock()

    def serve(self, *scripts, **options):
        """Serve one request and return its outcome; see ``serve_all``."""
        return self.serve_all(1, *scripts, **options)[0]

    def serve_all(
        self,
        requests,
        *scripts,
        bounds=BOUNDS,
        used_repeats=0,
        route=ROUTE,
        later=(),
        leaves_after=DEADLINE_S,
    ):
        """Serve requests that come at the same moment.

        Args:
            requests: Number of requests.
            scripts: A script for each target.
            bounds: Bounds of the repeats.
            used_repeats: Number of repeats that were used just before.
            route: Route of the request.
            later: Scripts of targets that are added after 0.4 s.
            leaves_after: Seconds after which the callers leave.

        Returns:
            The status of each response, or the kind of error.
        """
        health = Health()
        candidates = []

        def add(*scripts):
            for script in scripts:
                number = len(candidates)
                address = Address("10.0.0.1", number)
                target = Target(f"t{number}", "s", address, "a", 4)
                candidates.append(Candidate(target, health.of(target), False, 0))
                script_by_number[number] = script

        def script_at(number):
            script = script_by_number[number]
            return script if now() - started_at < script.lasts else SOUND

        def script_of(candidate):
            return script_at(candidate.target.address.port)

        def pick(service, exclude):
            found = [c for c in candidates if c.target.id not in exclude]
            return found[0] if found else None

        def acquire(address, *, limit):
            number = address.port
            script = script_at(number)
            if script.is_refused:
                raise ConnectionLostError("refused", is_unsent=True)
            self.used.append(number)
            return ScriptedConnection(script, lambda: self.closed.append(number))

        started_at = now()
        script_by_number = {}
        add(*scripts)
        eventlet.spawn_after(0.4, add, *later)
        selector = mock.Mock(
            pick=pick,
            may_send=lambda candidate: not script_of(candidate).is_leaving,
            reserve=lambda candidate, *_: script_of(candidate).has_permit,
        )
        selector.permit_wait.return_value = None
        budget = RetryBudget(bounds, lambda: 6)
        budget.count_request("s")
        for _ in range(used_repeats):
            budget.try_acquire("s")
        server = PlainServer(
            selector,
            SimpleNamespace(acquire=acquire, open=acquire, release=mock.Mock()),
            budget,
            mock.Mock(read_response=lambda _: TARGET_HEAD, forward=mock.MagicMock()),
            self.logger,
            crashes=mock.MagicMock(
                has_ended_with_target=lambda target, request: False,
                suspects=mock.Mock(
                    is_suspect=lambda fingerprint: False,
                    is_quarantined=lambda fingerprint: False,
                ),
            ),
        )
        results = [None] * requests

        def run(number):
            context = Context(
                RequestHead(f"r{number}", b"GET", b"/", "h", "", 9.0),
                b"",
                route,
                Service("s", 10),
                None,
                now(),
                now() + DEADLINE_S,
                1,
                0,
                Progress(),
            )
            try:
                results[number] = server.serve(context).status
            except RequestError as error:
                results[number] = error.kind

        threads = [eventlet.spawn(run, number) for number in range(requests)]
        advance(leaves_after)
        for thread in threads:
            thread.kill()
        settle()
        return results


class SilentTargetTest(PlainTest):
    """Targets of which the first one is silent for a second, then goes on."""

    @parameterized.expand([("head", SLOW_HEAD), ("body", SLOW_BODY)])
    def test_the_only_target_is_waited_for(self, _, silent):
        """Guards against work that is lost though no other target could do it."""
        self.assertEqual(self.serve(silent), 200)
        self.assertEqual(self.used, [0])

    @parameterized.expand([("head", SLOW_HEAD), ("body", SLOW_BODY)])
    def test_another_target_is_tried_early(self, _, silent):
        self.assertEqual(self.serve(silent, SOUND), 200)
        self.assertEqual(self.used, [0, 1])
        self.assertEqual(self.closed, [0])

    @parameterized.expand(
        [
            (f"{name}_{silence}", silent, second)
            for silence, silent in [("head", SLOW_HEAD), ("body", SLOW_BODY)]
            for name, second in [
                ("rejects", REJECTING),
                ("breaks_off", BREAKING),
                ("fails", FAILING),
                ("refuses_connections", Script(is_refused=True)),
                ("is_leaving", Script(is_leaving=True)),
                ("has_no_permit", Script(has_permit=False)),
                ("is_silent_too", DEAD),
            ]
        ]
    )
    def test_its_response_counts_if_the_next_target(self, _, silent, second):
        """Guards against a 502 for a request that its first target would answer."""
        self.assertEqual(self.serve(silent, second), 200)

    @parameterized.expand([("head", SLOW_HEAD), ("body", SLOW_BODY)])
    def test_it_is_waited_for_while_no_repeats_are_left(self, _, silent):
        self.assertEqual(
            self.serve(silent, SOUND, bounds=ONE_REPEAT, used_repeats=1), 200
        )
        self.assertEqual(self.used, [0])

    @parameterized.expand([("head", SLOW_HEAD), ("body", SLOW_BODY)])
    def test_many_requests_ask_for_few_repeats(self, _, silent):
        """Guards against requests that give up a target for the same repeat."""
        outcomes = self.serve_all(5, silent, DEAD, bounds=ONE_REPEAT)
        self.assertEqual(outcomes, [200] * 5)
        self.assertEqual(self.used, [0] * 5 + [1])

    def test_the_response_of_a_failed_target_is_forwarded_at_last(self):
        """Guards against a response that is kept back for one that never comes."""
        self.assertEqual(self.serve(DEAD, FAILING), 500)

    @parameterized.expand([(2, [0, 1], ErrorKind.TARGET_FAILED), (3, [0, 1, 2], 200)])
    def test_no_more_targets_get_it_than_the_route_allows(
        self, attempts, used, outcome
    ):
        route = ROUTE._replace(attempts=attempts)
        self.assertEqual(self.serve(DEAD, DEAD, SOUND, route=route), outcome)
        self.assertEqual(self.used, used)

    @parameterized.expand([(SLOW_HEAD, 200), (DEAD, ErrorKind.TARGET_FAILED)])
    def test_one_that_must_not_be_repeated_runs_once(self, silent, outcome):
        route = ROUTE._replace(kind=Kind.ONCE)
        self.assertEqual(self.serve(silent, SOUND, route=route), outcome)
        self.assertEqual(self.used, [0])

    @parameterized.expand(
        [
            ("in_turn", (REJECTING, NO_LISTENER), [(0, 421, True), (1, 0, None)]),
            ("at_once", (DEAD, SOUND), [(0, 0, None)]),
        ]
    )
    def test_an_attempt_is_logged_with_its_own_response(self, _, scripts, expected):
        """Guards against logs that name the response to another attempt."""
        self.serve(*scripts)
        lines = [
            call.kwargs
            for call in self.logger.warning.call_args_list
            if call.args[0] == "attempt_failed"
        ]
        found = [(line["target"], line["status"], line["framed"]) for line in lines]
        self.assertEqual(found, [(f"t{n}", *rest) for n, *rest in expected])

    def test_one_that_is_no_stream_is_not_resumed(self):
        """Guards against a second run that only streams may have."""
        route = ROUTE._replace(kind=Kind.ONCE, is_resumable=True)
        outcome = self.serve(DEAD, SOUND, route=route)
        self.assertEqual(outcome, ErrorKind.TARGET_FAILED)
        self.assertEqual(self.used, [0])

    def test_both_targets_lose_it_when_its_caller_leaves(self):
        """Guards against targets that go on with requests nobody waits for."""
        self.serve(DEAD, DEAD, leaves_after=0.5)
        self.assertEqual(sorted(self.closed), [0, 1])

    def test_a_pause_of_all_targets_starts_few_repeats(self):
        """Guards against repeats at targets that are known to be silent too."""
        route = ROUTE._replace(attempts=3)
        outcomes = self.serve_all(9, SLOW_HEAD, SLOW_HEAD, SLOW_HEAD, route=route)
        self.assertEqual(outcomes, [200] * 9)
        self.assertLessEqual(len(self.used), 9 + 9)


class BrokenRunTest(PlainTest):
    """Requests whose first run broke off, with time left."""

    @parameterized.expand(
        [
            ("target", (BREAKING,), {"later": (SOUND,)}),
            ("return_of_its_target", (BREAKING._replace(lasts=0.4),), {}),
            ("permit", (BREAKING, Script(has_permit=False, lasts=0.4)), {}),
            ("repeat", (BREAKING, SOUND), {"bounds": BRIEF, "used_repeats": 1}),
            (
                "target_that_takes_it",
                (BREAKING, *[REJECTING._replace(lasts=0.4)] * 3),
                {},
            ),
        ]
    )
    def test_they_wait_for_a(self, _, scripts, options):
        """Guards against a 502 as nothing could follow at that very moment."""
        self.assertEqual(self.serve(*scripts, **options), 200)
        self.assertLessEqual(len(self.used), 8)

    @parameterized.expand([(1, 1), (2, 2)])
    def test_their_runs_are_limited(self, attempts, runs):
        route = ROUTE._replace(attempts=attempts)
        outcome = self.serve(BREAKING, BREAKING, SOUND, route=route)
        self.assertEqual(outcome, ErrorKind.TARGET_FAILED)
        self.assertEqual(len(self.used), runs)

    def test_one_that_no_target_ran_is_rejected_at_once(self):
        """Guards against callers kept waiting for what can't be served."""
        outcome = self.serve(REJECTING, leaves_after=0.01)
        self.assertEqual(outcome, ErrorKind.NO_TARGET)
