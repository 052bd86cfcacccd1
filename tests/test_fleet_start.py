"""Requests that come before the instances of a restarted fleet know each other."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Kind, Route, Share, Stage
from bergamotsaddle_serving.decisions.fleet_start import FleetStart
from bergamotsaddle_serving.stage_waits import StageWaits
from bergamotsaddle_serving.streams import StreamServer
from tests._paused import advance, use_paused_clock

STAGES = (Stage("a", (), 10), Stage("b", (0,), 10))
ROUTE = Route(
    "r", "h", "/", Kind.STREAM, 9.0, 1.5, 1, 0, (Share("s", 1.0),), stages=STAGES
)


class FleetStartTest(unittest.TestCase):
    """Requests at an instance that has just started."""

    def setUp(self):
        use_paused_clock()
        self.owned_at = 0.0

    def make_server(self):
        """Return a server whose queues have owners from ``owned_at`` on."""
        waits = mock.Mock(lacks_owner=lambda route, pieces: now() < self.owned_at)
        return StreamServer(
            *[mock.Mock(), waits, *[mock.Mock()] * 5],
            crashes=mock.Mock(),
            resumptions=mock.Mock(),
            fleet_start=FleetStart(now),
        )

    def wait(self, server):
        """Return how long a request waits that comes now."""
        waited = []

        def run():
            since = now()
            context = SimpleNamespace(
                started_at=since, route=ROUTE, head=SimpleNamespace(id="r", pieces=(1,))
            )
            server.await_owners(context)
            waited.append(now() - since)

        eventlet.spawn(run)
        advance(4.0)
        return waited[0]

    @parameterized.expand(
        [
            ("owners_are_known", 0.0, 0.0),
            ("owners_come_soon", 0.6, 0.6),
            ("owners_come_late", 3.0, ROUTE.objective),
        ]
    )
    def test_wait(self, _, owned_after, expected):
        """Guards against refusals while the queues of a restarted fleet are empty."""
        self.owned_at = now() + owned_after
        self.assertAlmostEqual(self.wait(self.make_server()), expected, delta=0.06)

    @parameterized.expand([("waits", 0.3, 1), ("does_not", 0.0, 0)])
    def test_only_a_request_that_waits_is_logged(self, _, owned_after, lines):
        """Guards against a log line for each request, for as long as it runs."""
        server = self.make_server()
        server.logger.reset_mock()
        self.owned_at = now() + owned_after
        self.wait(server)
        self.assertEqual(server.logger.info.call_count, lines)

    def test_a_queue_that_is_out_of_reach(self):
        """Guards against requests that wait for what can't be served."""
        server = self.make_server()
        advance(2.0)
        self.owned_at = now() + 9.0
        self.assertEqual(self.wait(server), 0.0)


class LackOfOwnersTest(unittest.TestCase):
    """Which requests lack the owner of a queue."""

    @parameterized.expand(
        [
            ("all_owned", "ab", (1, 1), False),
            ("none_owned", "", (1, 1), True),
            ("one_lacks", "a", (1, 1), True),
            ("not_needed", "a", (1, 0), False),
            ("no_stage_is_needed", "", (), False),
        ]
    )
    def test_lacks_owner(self, _, owned, pieces, expected):
        view = mock.Mock(usable=lambda service: [mock.Mock()])
        waits = StageWaits(view, mock.Mock(), mock.Mock())

        def find_loads(service, place):
            return mock.Mock(load_by_scope={"z": 1} if service in owned else {})

        with mock.patch.object(waits, "_known_loads", find_loads):
            self.assertEqual(waits.lacks_owner(ROUTE, pieces), expected)

    def test_a_service_without_targets(self):
        """Guards against requests that wait for owners of what has no targets."""
        waits = StageWaits(
            mock.Mock(usable=lambda service: []), mock.Mock(), mock.Mock()
        )
        self.assertFalse(waits.lacks_owner(ROUTE, (1, 1)))
