"""Runs of plain requests at places that an owner grants."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import ConnectionLostError, RawResponseHead
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead, ResponseHead, TargetLoad
from bergamotsaddle_serving.placement_exchange import PlacementRefusedError
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.settings import BoundSettings
from bergamotsaddle_serving.unreadable_loads import UnreadableLoads
from tests._paused import advance, use_paused_clock

BOUNDS = BoundSettings(grace=5.0, retry_ratio=0.2, retry_window=10.0, retry_extra=60)
LOAD = TargetLoad(1, 0, 4, 2.5)
GRANTED = 1
CHOSEN = 0


class PlainPlacesTest(unittest.TestCase):
    """One request before two targets, of which an owner grants the second."""

    def setUp(self):
        use_paused_clock()
        self.used = []
        health = Health()
        self.candidates = []
        for number in range(2):
            target = Target(f"t{number}", "s", Address("10.0.0.1", number), "a", 4)
            self.candidates.append(Candidate(target, health.of(target), False, 0))
        self.place = mock.Mock(candidate=self.candidates[GRANTED])
        self.placement = mock.Mock(place=mock.Mock(return_value=self.place))
        self.selector = mock.Mock(
            pick=lambda service, exclude: next(
                (c for c in self.candidates if c.target.id not in exclude), None
            ),
            find=lambda service, name, exclude=(): next(
                (c for c in self.usable if c.target.id == name), None
            ),
        )
        self.usable = list(self.candidates)
        self.is_quarantined = False
        self.selector.permit_wait.return_value = None
        self.is_suspect = False
        self.broken = set()
        self.status = 200

    def acquire(self, address, *, limit):
        """Return a connection to a target."""
        self.used.append(address.port)
        connection = mock.Mock(is_reused=False)
        connection.send.return_value = 0
        connection.read_body.return_value = b"done"
        connection.read_head.return_value = RawResponseHead(
            self.status, [(b"content-length", b"4")]
        )
        if address.port in self.broken:
            connection.read_head.side_effect = ConnectionLostError("closed")
        return connection

    def serve(self, kind=Kind.IDEMPOTENT, *, leaves_after=2.5):
        """Serve the request; return its status or its error.

        Args:
            kind: How it may be repeated.
            leaves_after: Seconds after which the caller leaves.

        Raises:
            IndexError: If it has not ended when the caller leaves.
        """
        route = Route("r", "h", "/", kind, 9.0, 0.2, 2, 0, (Share("s", 1.0),))
        head = ResponseHead("", True, False, LOAD, None, False)
        server = PlainServer(
            self.selector,
            SimpleNamespace(
                acquire=self.acquire, open=self.acquire, release=mock.Mock()
            ),
            RetryBudget(BOUNDS, lambda: 6),
            mock.Mock(read_response=lambda _: head, forward=mock.MagicMock()),
            mock.Mock(),
            crashes=mock.MagicMock(
                suspects=mock.Mock(
                    is_suspect=lambda fingerprint: self.is_suspect,
                    is_quarantined=lambda fingerprint: self.is_quarantined,
                ),
            ),
            placement=self.placement,
        )
        context = Context(
            RequestHead("q", b"GET", b"/", "h", "", 9.0),
            b"",
            route,
            Service("s", 10),
            None,
            now(),
            now() + 2.0,
            1,
            0,
            Progress(),
        )
        results = []

        def run():
            try:
                results.append(server.serve(context).status)
            except RequestError as error:
                results.append(error)

        thread = eventlet.spawn(run)
        advance(leaves_after)
        thread.kill()
        return results[0]

    def test_it_runs_at_the_granted_target_and_gives_the_place_back(self):
        self.assertEqual(self.serve(), 200)
        self.assertEqual(self.used, [GRANTED])
        self.place.end.assert_called_once()
        self.assertIsNotNone(self.place.end.call_args.args[0])

    def test_a_failure_tells_no_seconds(self):
        """Guards against a target that fails at once and so looks fast."""
        self.status = 500
        self.serve()
        self.assertIsNone(self.place.end.call_args_list[0].args[0])

    def test_without_a_place_it_runs_where_the_instance_chooses(self):
        self.placement.place.return_value = None
        self.assertEqual(self.serve(), 200)
        self.assertEqual(self.used, [CHOSEN])

    def test_a_refusal_says_that_it_has_not_run(self):
        """Guards against a refusal whose caller does not dare to return."""
        self.placement.place.side_effect = PlacementRefusedError(0.4)
        error = self.serve()
        self.assertEqual(error.kind, ErrorKind.DEADLINE_INFEASIBLE)
        self.assertEqual((error.ran, error.retry_after), (Ran.NO, 0.4))
        self.assertEqual(self.used, [])

    @parameterized.expand([("cold_or_cut_off", True), ("silent", False)])
    def test_a_target_that_changed_while_the_request_waited(self, _, is_gone):
        """Guards against more requests than a cold target takes, or a silent one."""
        granted = self.candidates[GRANTED]
        granted.state.silent = 0 if is_gone else 1
        if is_gone:
            self.usable.remove(granted)
        self.assertEqual(self.serve(), 200)
        self.assertEqual(self.used, [CHOSEN])
        self.place.end.assert_called_once()

    def test_a_place_that_comes_at_the_deadline(self):
        """Guards against requests that are sent after their deadline."""

        def wait_long(context, exclude):
            eventlet.sleep(context.remaining)

        self.placement.place.side_effect = wait_long
        error = self.serve(Kind.ONCE)
        self.assertIs(error.ran, Ran.NO)
        self.assertEqual(self.used, [])

    def test_a_request_that_was_quarantined_while_it_waited(self):
        """Guards against a request that crashes one more target."""
        self.is_quarantined = True
        error = self.serve()
        self.assertEqual((error.kind, error.ran), (ErrorKind.HELD_BACK, Ran.NO))
        self.assertEqual(self.used, [])
        self.place.end.assert_called_once()

    def test_a_caller_that_leaves_while_a_permit_is_waited_for(self):
        """Guards against places that nobody gives back."""

        def wait_long(*_):
            eventlet.sleep(9.0)

        self.selector.reserve = wait_long
        with self.assertRaises(IndexError):
            self.serve(leaves_after=0.5)
        self.place.end.assert_called_once()

    @parameterized.expand([("may_send",), ("reserve",)])
    def test_a_target_that_must_get_nothing_gives_its_place_back(self, check):
        """Guards against places that are kept for requests that run elsewhere."""
        granted = self.candidates[GRANTED]
        setattr(self.selector, check, lambda candidate, *_: candidate is not granted)
        self.assertEqual(self.serve(), 200)
        self.assertEqual(self.used, [CHOSEN])
        self.place.end.assert_called_once_with()

    def test_one_that_must_not_be_repeated_runs_once(self):
        """Guards against a second run at the place that is granted next."""
        self.broken = {GRANTED}
        self.assertEqual(self.serve(Kind.ONCE).kind, ErrorKind.TARGET_FAILED)
        self.assertEqual(self.used, [GRANTED])
        self.place.end.assert_called_once()

    def test_a_refusal_behind_a_broken_run_does_not_deny_the_run(self):
        """Guards against "not run" for a request that may have run."""
        self.broken = {GRANTED}
        self.placement.place.side_effect = _then(self.place, PlacementRefusedError(0.1))
        error = self.serve()
        self.assertNotEqual(error.ran, Ran.NO)

    def test_a_suspect_request_is_not_placed(self):
        self.is_suspect = True
        self.selector.pick_least_loaded = lambda *_: self.candidates[CHOSEN]
        self.assertEqual(self.serve(), 200)
        self.placement.place.assert_not_called()


class UnreadableLoadsTest(unittest.TestCase):
    """Loads that can't be read."""

    def test_one_line_a_target(self):
        """Guards against a log that a target fills with what it reports."""
        logger = mock.Mock()
        loads = UnreadableLoads(logger)
        target = Target("t", "s", Address("10.0.0.1", 1), "a", 4)
        for _ in range(3):
            loads.record(target)
        loads.record(target._replace(started_ms=2))
        self.assertEqual(loads.count, 4)
        self.assertEqual(logger.warning.call_count, 2)


def _then(first, error):
    """Return a function that returns a value once, then raises an error."""
    results = [first]

    def call(*_):
        if results:
            return results.pop()
        raise error

    return call
