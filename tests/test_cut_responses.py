"""Responses whose sender stops before their end, at each place that reads them."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import UNLIMITED, BodyMemory
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import (
    BROKEN_CONNECTION_REASONS,
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.decisions.stage_queue import PieceKey
from bergamotsaddle_serving.follower import StoreFollower
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.handover import Handover
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import HttpCall, StorePosition
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.settings import BoundSettings
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.zone_reach import ZoneReach
from tests._cut_heads import (
    BODY,
    ENDINGS,
    CuttingPeer,
    make_cut_responses,
    make_whole_responses,
    with_length,
)
from tests._odd_heads import ODD_HEADS, make_odd_heads
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_broken_streams import (
    EVENTS,
    REQUEST,
    connect,
    make_server,
    read_response,
)
from tests.test_serving_view import TARGET, entry, make_view

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 1.0
HOST = "127.0.0.1"
BOUNDS = BoundSettings(grace=5.0, retry_ratio=0.2, retry_window=10.0, retry_extra=60)
LONG_BODY = b"x" * 60_000
EVENT = EVENTS[0]
RESULTS = b'{"items": [{"handle": "10.0.0.1:80/a"}]}'
FREE_MEMORY = b'{"freeMb": 1}'
PAGE = b'{"items": [], "at": 9}'
KINDS = [("once", Kind.ONCE), ("idempotent", Kind.IDEMPOTENT)]


def cut_rows(body=BODY, rows=(("",),)):
    """Return the rows of a place, for each way to stop and end of a connection."""
    return [
        (f"{row[0]}_{name}_{ending}", *row[1:], data, ending)
        for row in rows
        for name, data in make_cut_responses(body)
        for ending in ENDINGS
    ]


def odd_rows(body=BODY, rows=(("",),)):
    """Return the rows of a place, for each head that is none of HTTP/1.1."""
    return [
        (f"{row[0]}_{name}", *row[1:], data)
        for row in rows
        for name, data in make_odd_heads(body)
    ]


def whole_rows(body=BODY, rows=(("",),)):
    """Return the rows of a place, for each whole response."""
    return [
        (f"{row[0]}_{name}", *row[1:], data)
        for row in rows
        for name, data in make_whole_responses(body)
    ]


def make_context(head, raw, kind, memory):
    """Return the context of a request that two targets may run."""
    route = Route("r", "h", "/", kind, 9.0, 2.0, 2, 0, (Share("s", 1.0),))
    times = (now(), now() + LIMIT_S)
    context = Context(
        head, raw.body, route, Service("s", 10), None, *times, 1, 0, Progress()
    )
    return context._replace(memory=memory, headers=raw.headers)


class CutTest(unittest.TestCase):
    """A peer that sends some bytes and ends the connection."""

    def serve(self, data, ending="close"):
        """Return a peer."""
        peer = CuttingPeer(data, ending)
        self.addCleanup(peer.close)
        return peer


class ConnectionTest(CutTest):
    """The connection that all of the places use."""

    def exchange(self, data, ending="close"):
        call = HttpCall(b"GET", b"/", [(b"host", b"t")])
        connection = Connection(self.serve(data, ending).address)
        return connection.exchange(call, limit=LIMIT_S, max_bytes=100_000)

    @parameterized.expand(whole_rows())
    def test_a_whole_response(self, _, data):
        head, body = self.exchange(data)
        self.assertEqual((head.status, body), (200, BODY))

    @parameterized.expand(cut_rows())
    def test_a_cut_response_is_a_lost_connection(self, _, data, ending):
        """Guards against a head, a chunk line or a trailer that ends with its peer."""
        with self.assertRaises(ConnectionLostError):
            self.exchange(data, ending)

    @parameterized.expand(make_cut_responses())
    def test_a_cut_response_on_a_used_connection_was_sent(self, _, data):
        """Guards against a request that counts as unsent on an old connection."""
        pool = ConnectionPool()
        peer = CuttingPeer(data, earlier=[with_length(BODY)])
        self.addCleanup(peer.close)
        connections = []
        for _ in range(2):
            connections.append(pool.acquire(peer.address))
            call = HttpCall(b"GET", b"/", [(b"host", b"t")])
            try:
                connections[-1].exchange(call, limit=LIMIT_S, max_bytes=100)
            except ConnectionLostError as error:
                self.assertEqual(len(connections), 2)
                self.assertFalse(error.is_unsent)
                self.assertIn(error.reason, BROKEN_CONNECTION_REASONS)
            else:
                self.assertEqual(len(connections), 1)
                pool.release(connections[-1], 9.0)
        self.assertIs(*connections)

    @parameterized.expand(ODD_HEADS)
    def test_an_odd_head_is_a_lost_connection(self, _, data):
        """Guards against bytes that are no answer and count as one."""
        with self.assertRaises(ConnectionLostError):
            self.exchange(data)

    def test_a_response_cut_at_any_byte_is_a_lost_connection(self):
        """Guards against a byte of a response that nobody misses."""
        for name, data in make_whole_responses():
            for size in range(len(data)):
                with self.assertRaises(ConnectionLostError, msg=(name, size)):
                    self.exchange(data[:size])


class PlainTest(CutTest):
    """Plain requests, from a caller's connection to targets."""

    def ask(self, *peers, kind=Kind.ONCE, memory=UNLIMITED):
        """Send a request for which there are targets; return what its caller got."""
        health = Health()
        targets = [
            Target(f"t{n}", "s", peer.address, "a", 4) for n, peer in enumerate(peers)
        ]
        candidates = [Candidate(t, health.of(t), False, 0) for t in targets]

        def pick(service, exclude):
            found = [c for c in candidates if c.target.id not in exclude]
            return found[0] if found else None

        selector = mock.Mock(
            pick=pick, may_send=lambda _: True, reserve=lambda *_: True
        )
        selector.permit_wait.return_value = None
        self.crashes = mock.MagicMock(
            has_ended_with_target=lambda target, request: False,
            suspects=mock.Mock(
                is_suspect=lambda fingerprint: False,
                is_quarantined=lambda fingerprint: False,
            ),
        )
        budget = RetryBudget(BOUNDS, lambda: 6)
        plain = PlainServer(
            selector,
            ConnectionPool(),
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
            client = connect(
                None,
                lambda head, raw: make_context(head, raw, kind, memory),
                budget=budget,
            )
            client.sendall(REQUEST % 1)
            try:
                return read_response(client, 1)
            finally:
                client.close()

    @parameterized.expand(whole_rows(rows=KINDS))
    def test_a_whole_response(self, _, kind, data):
        self.assertEqual(self.ask(self.serve(data), kind=kind), (200, BODY, True))

    @parameterized.expand(cut_rows(rows=KINDS))
    def test_a_cut_response_is_no_success(self, _, kind, data, ending):
        """Guards against a success with a short body that the target never sent."""
        peer = self.serve(data, ending)
        status, body, _ = self.ask(peer, kind=kind)
        self.assertEqual(status, 502, body)
        self.assertNotIn(b'"no"', body)
        self.crashes.record_success.assert_not_called()

    @parameterized.expand(odd_rows(rows=KINDS))
    def test_an_odd_head_is_no_success(self, _, kind, data):
        """Guards against an answer that callers get though it is none."""
        status, body, _ = self.ask(self.serve(data), kind=kind)
        self.assertEqual(status, 502, body)
        self.assertNotIn(b'"no"', body)
        self.crashes.record_success.assert_not_called()

    @parameterized.expand(cut_rows())
    def test_one_that_must_not_be_repeated_runs_once(self, _, data, ending):
        """Guards against a cut head that counts as a request that has not run."""
        first, second = self.serve(data, ending), self.serve(with_length(BODY))
        status, body, _ = self.ask(first, second)
        self.assertEqual((status, first.served, second.served), (502, 1, 0), body)

    @parameterized.expand(cut_rows())
    def test_one_that_may_be_repeated_goes_to_another_target(self, _, data, ending):
        """Guards against a failure that another target could have prevented."""
        first, second = self.serve(data, ending), self.serve(with_length(BODY))
        answer = self.ask(first, second, kind=Kind.IDEMPOTENT)
        self.assertEqual(answer, (200, BODY, True))
        self.assertEqual((first.served, second.served), (1, 1))

    def test_a_long_response_is_relayed(self):
        memory = BodyMemory(100_000).open()
        answer = self.ask(self.serve(with_length(LONG_BODY)), memory=memory)
        self.assertEqual(answer, (200, LONG_BODY, True))

    @parameterized.expand(cut_rows(LONG_BODY))
    def test_a_cut_long_response_never_looks_whole(self, _, data, ending):
        """Guards against a part of a relayed body that looks like all of it."""
        memory = BodyMemory(100_000).open()
        status, body, is_whole = self.ask(self.serve(data, ending), memory=memory)
        if status != 200:
            self.assertEqual(status, 502, body)
            return
        self.assertFalse(is_whole)
        self.assertTrue(LONG_BODY.startswith(body))
        self.crashes.record_success.assert_not_called()


class StreamTest(CutTest):
    """Streams, from a caller's connection to an engine."""

    def ask(self, data, ending="close"):
        """Send a request for a stream; return what its caller got."""
        peer = self.serve(data, ending)
        engine = SimpleNamespace(address=peer.address, has_crashed=False)
        client = connect(
            make_server(engine),
            lambda head, raw: make_context(head, raw, Kind.STREAM, UNLIMITED),
        )
        client.sendall(REQUEST % 1)
        try:
            return read_response(client, 1), peer.served
        finally:
            client.close()

    @parameterized.expand(whole_rows(EVENT))
    def test_a_whole_stream(self, _, data):
        self.assertEqual(self.ask(data), ((200, EVENT, True), 1))

    @parameterized.expand(cut_rows(EVENT))
    def test_a_cut_stream_never_looks_whole(self, _, data, ending):
        """Guards against a stream that ends well with the head of its response."""
        (status, body, is_whole), runs = self.ask(data, ending)
        self.assertEqual(runs, 1)
        if status != 200:
            self.assertEqual(status, 502, body)
            self.assertNotIn(b'"no"', body)
            return
        self.assertFalse(is_whole)
        self.assertTrue(EVENT.startswith(body))
        self.assertIn(EVENT, data.replace(b"\r\n0008\r\n", b""))

    @parameterized.expand(odd_rows(EVENT))
    def test_an_odd_head_begins_no_stream(self, _, data):
        """Guards against a stream that begins with bytes that are no answer."""
        (status, body, _), runs = self.ask(data)
        self.assertEqual((status, runs), (502, 1), body)
        self.assertNotIn(b'"no"', body)


class StageTest(CutTest):
    """Calls of the owner of a stage's queue to a target."""

    def call(self, name, data, ending="close"):
        """Make a call and return what it returns and which limits it recorded."""
        self.peer = self.serve(data, ending)
        limits = mock.Mock()
        calls = StageCalls(
            mock.Mock(may_get_work=lambda target: True),
            ConnectionPool(),
            PlatformDialect(),
            limits,
            mock.Mock(reserve=lambda *_: True),
            notices=mock.Mock(may_send=lambda target: True),
        )
        self.limits = limits
        target = Target("i-1", "s", self.peer.address, "a", 1)
        if name == "query":
            return calls.query_free_memory(target)
        if name == "release":
            return calls.release(target, ["h"])
        piece = mock.Mock(key=PieceKey("r1", 0, 0, 0), urgency=0, input_key="k")
        piece.inputs, piece.expires_at = (), now() + 9.0
        return [result.handle for result in calls.run(target, [piece], LIMIT_S)]

    @parameterized.expand(
        [
            *whole_rows(RESULTS, [("run", "run", ["10.0.0.1:80/a"])]),
            *whole_rows(FREE_MEMORY, [("query", "query", 2_000_000)]),
            *whole_rows(rows=[("release", "release", None)]),
        ]
    )
    def test_a_whole_response(self, _, name, expected, data):
        self.assertEqual(self.call(name, data), expected)

    @parameterized.expand(
        [
            *cut_rows(RESULTS, [("run", "run")]),
            *cut_rows(FREE_MEMORY, [("query", "query")]),
            *cut_rows(rows=[("release", "release")]),
        ]
    )
    def test_a_cut_response_is_a_lost_call(self, _, name, data, ending):
        """Guards against pieces, releases or reports that nobody has confirmed."""
        with self.assertRaises(ConnectionLostError) as raised:
            self.call(name, data, ending)
        self.assertFalse(raised.exception.is_unsent)
        self.assertIn(raised.exception.reason, BROKEN_CONNECTION_REASONS)
        self.assertEqual(self.peer.served, 1)
        self.limits.record.assert_not_called()

    @parameterized.expand(
        [
            *odd_rows(RESULTS, [("run", "run")]),
            *odd_rows(FREE_MEMORY, [("query", "query")]),
            *odd_rows(rows=[("release", "release")]),
        ]
    )
    def test_an_odd_head_is_a_lost_call(self, _, name, data):
        """Guards against results behind bytes that are no answer."""
        with self.assertRaises(ConnectionLostError):
            self.call(name, data)
        self.limits.record.assert_not_called()


class ProbeTest(CutTest):
    """Probes of a zone that may be cut off."""

    def probe(self, data, ending="close"):
        """Probe a target and return whether it responded."""
        self.notices = mock.Mock()
        reach = ZoneReach(
            mock.MagicMock(),
            mock.Mock(),
            ConnectionPool(),
            PlatformDialect(),
            mock.Mock(),
            notices=self.notices,
        )
        target = Target("i-1", "s", self.serve(data, ending).address, "a", 1)
        return reach._responds(target)

    @parameterized.expand(whole_rows(FREE_MEMORY))
    def test_a_whole_response(self, _, data):
        self.assertTrue(self.probe(data))

    @parameterized.expand(cut_rows(FREE_MEMORY))
    def test_a_cut_response_is_none(self, _, data, ending):
        """Guards against a zone that seems to be back behind a cut head."""
        self.assertFalse(self.probe(data, ending))
        self.notices.read.assert_not_called()

    @parameterized.expand(odd_rows(FREE_MEMORY))
    def test_an_odd_head_is_none(self, _, data):
        """Guards against a zone that seems to be back behind bytes of no target."""
        self.assertFalse(self.probe(data))


class StoreTest(CutTest):
    """Lists and watches of the platform's store."""

    def follow(self, data, *, is_watch, ending="close"):
        """Take one step of a follower that has a view of revision 7."""
        settings = mock.Mock()
        settings.bounds.change = 2.0
        settings.store.address = self.serve(data, ending).address
        settings.store.min_outage = 2.4
        self.view = make_view()
        if is_watch:
            known = [entry("servers/t", 7, TARGET)]
            self.view.replace(known, StorePosition(0, 7), source="test")
            self.view.confirm(now())
        self.before = self.view.position
        self.follower = StoreFollower(
            settings, PlatformDialect(), self.view, lambda: 7, mock.Mock()
        )
        self.follower.step()
        eventlet.sleep(0)

    @parameterized.expand(whole_rows(PAGE, [("list", False), ("watch", True)]))
    def test_a_whole_response(self, _, is_watch, data):
        self.follow(data, is_watch=is_watch)
        self.assertFalse(self.follower.is_lost)
        self.assertEqual(self.view.position.revision, 9)

    @parameterized.expand(cut_rows(PAGE, [("list", False), ("watch", True)]))
    def test_a_cut_response_changes_nothing(self, _, is_watch, data, ending):
        """Guards against a view that loses its entries, or is confirmed."""
        self.follow(data, is_watch=is_watch, ending=ending)
        self.assertTrue(self.follower.is_lost)
        self.assertEqual(self.view.position, self.before)
        self.assertEqual(self.view.has_snapshot, is_watch)

    @parameterized.expand(odd_rows(PAGE, [("list", False), ("watch", True)]))
    def test_an_odd_head_changes_nothing(self, _, is_watch, data):
        """Guards against a view that bytes of no store confirm."""
        self.follow(data, is_watch=is_watch)
        self.assertTrue(self.follower.is_lost)
        self.assertEqual(self.view.position, self.before)


class HandoverTest(CutTest):
    """Requests that another instance serves."""

    def ask(self, data, ending="close", *, kind=Kind.ONCE, memory=UNLIMITED):
        """Hand a request over; return what its caller got and the runs."""
        peer = self.serve(data, ending)
        own = Contact("me", "a", HOST)
        peers = mock.Mock(own=own, region=lambda zone: zone)
        helper = SimpleNamespace(contact=Contact("h", "a", HOST), cores=1.0)
        peers.reaching.return_value = [helper]
        peers.incarnation_of.side_effect = lambda peer_id: "1"
        reach = mock.Mock(is_lost=lambda service: True)
        reach.seconds_to_probe.return_value = 0.5
        handover = Handover(
            reach, peers, peer.address.port, mock.Mock(), budget=mock.Mock()
        )

        def run_here(_, caller, context):
            handover.serve(context, caller, serve_here=mock.Mock())

        with mock.patch.object(Handler, "_run_here", run_here):
            client = connect(
                None, lambda head, raw: make_context(head, raw, kind, memory)
            )
            client.sendall(REQUEST % 1)
            try:
                return read_response(client, 1), peer.served
            finally:
                client.close()

    @parameterized.expand(
        [
            *whole_rows(rows=[("plain", Kind.ONCE, BODY)]),
            *whole_rows(EVENT, [("stream", Kind.STREAM, EVENT)]),
        ]
    )
    def test_a_whole_response(self, _, kind, body, data):
        self.assertEqual(self.ask(data, kind=kind), ((200, body, True), 1))

    @parameterized.expand(
        [
            *cut_rows(rows=[("plain", Kind.ONCE, BODY)]),
            *cut_rows(EVENT, [("stream", Kind.STREAM, EVENT)]),
            *cut_rows(LONG_BODY, [("long", Kind.ONCE, LONG_BODY)]),
        ]
    )
    def test_a_cut_response_never_looks_whole(self, _, kind, whole, data, ending):
        """Guards against a success that a helper never sent."""
        memory = BodyMemory(100_000).open()
        (status, body, is_whole), runs = self.ask(
            data, ending, kind=kind, memory=memory
        )
        self.assertEqual(runs, 1)
        if status != 200:
            self.assertEqual(status, 502, body)
            self.assertNotIn(b'"no"', body)
            return
        self.assertFalse(is_whole)
        self.assertTrue(whole.startswith(body))

    @parameterized.expand(
        [
            *odd_rows(rows=[("plain", Kind.ONCE)]),
            *odd_rows(EVENT, [("stream", Kind.STREAM)]),
        ]
    )
    def test_an_odd_head_is_no_success(self, _, kind, data):
        """Guards against an answer that no helper sent."""
        (status, body, _), runs = self.ask(data, kind=kind)
        self.assertEqual((status, runs), (502, 1), body)
        self.assertNotIn(b'"no"', body)
