"""What targets say about themselves, in responses of every kind."""

import unittest
from types import SimpleNamespace
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import Attempt, NotRunError
from bergamotsaddle_serving.client import RawResponseHead
from bergamotsaddle_serving.decisions.stage_queue import PieceKey
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.zone_reach import ZoneReach
from tests._notices import make_instances
from tests._paused import advance, use_paused_clock
from tests.test_serving_view import TARGET, at, entry

LEAVING = (b"server-leaving", b"1")
NOT_EXECUTED = (b"x-not-executed", b"1")


class LeavingTest(unittest.TestCase):
    """A target whose responses say that it leaves, and two instances."""

    def setUp(self):
        self.instances = make_instances(2)
        self.instance = self.instances[0]

    def connection(self, status, headers, body=b"[]"):
        """Return a connection on which one response arrives."""
        connection = mock.Mock(is_reused=False)
        head = RawResponseHead(status, [LEAVING, *headers])
        connection.read_head.return_value = head
        connection.exchange.return_value = head, body
        return connection

    def send_request(self, connection):
        """Send a request to the target."""
        health = Health(on_response=self.instance.notices.read)
        context = mock.MagicMock()
        context.head.id = ""
        pool = SimpleNamespace(
            acquire=lambda address, limit: connection, release=mock.Mock()
        )
        state = health.of(self.instance.target)
        dialect = mock.Mock(read_response=PlatformDialect().read_response)
        with Attempt(context, state, pool, dialect) as attempt:
            attempt.send(mock.MagicMock(), limit=1.0)

    def stage_calls(self, connection):
        """Return stage calls that use a connection."""
        pool = mock.Mock(acquire=lambda address: connection)
        dialect = mock.Mock(read_response=PlatformDialect().read_response)
        return StageCalls(
            self.instance.view,
            pool,
            dialect,
            mock.Mock(),
            mock.Mock(),
            notices=self.instance.notices,
        )

    def check_left_out(self):
        for instance in self.instances:
            self.assertEqual(instance.view.usable("s"), [])
            self.assertFalse(instance.view.may_get_work(instance.target))
            self.assertTrue(instance.view.is_leaving(instance.target))

    def test_a_response(self):
        """Guards against requests to a target whose response says that it leaves."""
        self.send_request(self.connection(200, [(b"x-response-seal", b"x")]))
        self.check_left_out()

    def test_a_rejection(self):
        with self.assertRaises(NotRunError):
            self.send_request(self.connection(503, [NOT_EXECUTED]))
        self.check_left_out()

    def test_a_query_of_memory(self):
        calls = self.stage_calls(self.connection(200, []))
        calls.query_free_memory(self.instance.target)
        self.check_left_out()

    def test_a_stage_call(self):
        calls = self.stage_calls(self.connection(503, [NOT_EXECUTED]))
        calls._rates.reserve.return_value = True
        piece = mock.MagicMock(urgency=0, key=PieceKey("r", 0, 0, 0))
        self.assertIsNone(calls.run(self.instance.target, [piece], 1.0))
        self.check_left_out()

    def test_a_stage_call_whose_results_are_broken_off(self):
        """Guards against calls to a target whose cut response says that it leaves."""
        calls = self.stage_calls(self.connection(200, [], b'{"items":'))
        calls._rates.reserve.return_value = True
        calls._dialect.read_results = PlatformDialect().read_results
        piece = mock.MagicMock(urgency=0, key=PieceKey("r", 0, 0, 0))
        with self.assertRaises(ValueError):
            calls.run(self.instance.target, [piece], 1.0)
        self.check_left_out()

    def test_a_probe(self):
        pool = mock.Mock(acquire=lambda address, limit: connection)
        connection = self.connection(200, [])
        dialect = mock.Mock(read_response=PlatformDialect().read_response)
        reach = ZoneReach(
            self.instance.view,
            mock.MagicMock(),
            pool,
            dialect,
            mock.Mock(),
            notices=self.instance.notices,
        )
        self.assertTrue(reach._responds(self.instance.target))
        self.check_left_out()

    def test_the_response_of_another_target(self):
        """The address may belong to another target by now."""
        self.instance.read(421, [LEAVING, NOT_EXECUTED])
        self.assertEqual(len(self.instance.view.usable("s")), 1)

    def test_a_new_incarnation_gets_requests(self):
        self.instance.read(200, [LEAVING])
        for instance in self.instances:
            change = entry("servers/t", 9, TARGET, born=6)
            instance.view.apply([change], at(9), source="test")
            self.assertEqual(len(instance.view.usable("s")), 1)

    @parameterized.expand([("one", b"1", True), ("zero", b"0", False)])
    def test_header(self, _, value, expected):
        headers = [(b"server-leaving", value)]
        decoded = PlatformDialect().read_response(headers)
        self.assertEqual(decoded.is_leaving, expected)


class RestTest(unittest.TestCase):
    """A target that rejects one instance and asks it for three seconds of rest."""

    def setUp(self):
        use_paused_clock()
        self.instance, self.other = make_instances(2)
        self.target = self.instance.target
        self.neighbour = self.target._replace(id="u")

    def reject(self, *headers, status=503):
        self.instance.read(status, [(b"retry-after", b"3"), *headers])

    def test_it_gets_nothing_for_that_time(self):
        """Guards against requests to a target that has asked for rest."""
        self.reject(NOT_EXECUTED)
        self.assertFalse(self.instance.notices.has_room(self.target, 0))
        advance(2.9)
        self.assertFalse(self.instance.notices.may_send(self.target))
        self.assertAlmostEqual(self.instance.notices.wait(self.target), 0.1, 2)
        advance(0.2)
        self.assertTrue(self.instance.notices.may_send(self.target))
        self.assertTrue(self.instance.notices.has_room(self.target, 0))

    def test_another_instance_goes_on(self):
        """Guards against a target that loses all load since it sheds some."""
        self.reject(NOT_EXECUTED)
        self.assertTrue(self.other.notices.has_room(self.target, 0))

    def test_other_targets_are_not_overloaded(self):
        """Guards against a rest that moves an overload to the next target."""
        room = self.instance.notices.has_room
        self.assertTrue(room(self.neighbour, 100))
        self.reject(NOT_EXECUTED)
        self.assertTrue(room(self.neighbour, 7))
        self.assertFalse(room(self.neighbour, 8))
        self.assertTrue(room(self.neighbour._replace(service="v"), 100))
        advance(3.1)
        self.assertTrue(room(self.neighbour, 100))

    def test_a_shorter_rest_does_not_end_a_longer_one(self):
        self.reject(NOT_EXECUTED)
        self.instance.read(503, [(b"retry-after", b"0.5"), NOT_EXECUTED])
        advance(1.0)
        self.assertFalse(self.instance.notices.may_send(self.target))

    def test_a_new_incarnation_does_not_rest(self):
        self.reject(NOT_EXECUTED)
        restarted = self.target._replace(started_ms=6)
        self.assertTrue(self.instance.notices.may_send(restarted))

    @parameterized.expand(
        [
            ("run", [], 503),
            ("misdirected", [NOT_EXECUTED], 421),
            ("over_quota", [NOT_EXECUTED], 429),
        ]
    )
    def test_responses_that_ask_for_none(self, _, headers, status):
        self.reject(*headers, status=status)
        self.assertTrue(self.instance.notices.may_send(self.target))

    @parameterized.expand(
        [("fraction", b"0.5", 0.5), ("date", b"Wed, 21 Oct 2026 07:28:00 GMT", None)]
    )
    def test_header(self, _, value, expected):
        decoded = PlatformDialect().read_response([(b"retry-after", value)])
        self.assertEqual(decoded.rest_seconds, expected)
