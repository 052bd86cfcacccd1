"""What one instance decides about room, from what the fleet reports."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
import msgspec
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_serving.catalog import Team
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.stage_queue import PieceKey
from bergamotsaddle_serving.decisions.stream_ends import EndForecast
from bergamotsaddle_serving.messages import RequestHead, StorePosition
from bergamotsaddle_serving.peer_messages import (
    Contact,
    Demand,
    Heartbeat,
    Submit,
    decode,
    encode,
)
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.room import Patience, Room
from bergamotsaddle_serving.stream_run import StreamRun
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests import test_broken_streams, test_stage_owner, test_stream_versions
from tests._paused import advance, use_paused_clock

SERVICE = "engines"
EACH = 10
SILENCE_S = 6.0
ROOM_MECHANISMS = (
    Mechanism.URGENT_ROOM,
    Mechanism.TEAM_SHARES,
    Mechanism.RETURN_TIMES,
)


def make_context(urgency, team="a", service=SERVICE):
    """Return what a room reads of a request."""
    return SimpleNamespace(
        service=SimpleNamespace(name=service),
        team=SimpleNamespace(name=team),
        urgency=urgency,
        fingerprint="0123456789abcdef",
    )


def make_room(peers=None, *, policy=FULL_POLICY, reports=True):
    """Return a room of an instance with some peers."""
    reporting = ReportingServices()
    if reports:
        reporting.record(SERVICE)
    if peers is None:
        return Room(reporting, policy=policy)
    room = Room(reporting, lambda: peers.roster().members, policy=policy)
    peers.own_demand = room.report
    return room


def miss_urgent(room, count=EACH):
    """Have a room miss all of its urgent requests and none of the others."""
    for _ in range(count):
        for urgency in (0, 1):
            room.record_arrival(make_context(urgency, "big"))
        room.record_missed(make_context(0))


class EffectTest(unittest.TestCase):
    """Where nothing may change."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    @parameterized.expand(
        [
            ("no_reports", False, FULL_POLICY),
            ("switched_off", True, Policy(frozenset(ROOM_MECHANISMS))),
        ]
    )
    def test_nothing_changes(self, _, reports, policy):
        """Guards against other services that are served in another way."""
        room = make_room(reports=reports, policy=policy)
        miss_urgent(room, 50)
        context = make_context(1, "big")
        self.assertEqual(room.patience(context), Patience())
        self.assertIsNone(room.tell_return(context, room_in=0.0, remaining=3.0))
        self.assertFalse(room.came_when_told(context, seconds=0.1, remaining=3.0))
        self.assertEqual(room.sharing_team(context), "")
        self.assertEqual(bool(room.report()), reports)

    def test_less_urgent_requests_make_room(self):
        room = make_room()
        miss_urgent(room)
        advance(0.3)
        self.assertEqual(room.patience(make_context(1)).pressure, 1.0)
        self.assertEqual(room.patience(make_context(0)).pressure, 0.0)
        self.assertEqual(room.max_pressure(), 1.0)

    def test_a_team_over_its_share_is_told_from_the_others(self):
        room = make_room()
        miss_urgent(room)
        for _ in range(3):
            room.record_arrival(make_context(0, "small"))
        advance(0.3)
        self.assertTrue(room.patience(make_context(0, "big")).is_over_share)
        self.assertFalse(room.patience(make_context(0, "small")).is_over_share)


class RejectionTest(unittest.TestCase):
    """A stream that is expected to be late, at one instance."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def make_run(self, room):
        """Return a stream of an instance with two engines."""
        candidates = test_stream_versions.make_candidates(
            test_stream_versions.ADDRESS, {"e1": "v1", "e2": "v1"}
        )
        self.server = test_stream_versions.make_server(candidates)
        self.server.room = room
        self.server.await_owners = mock.Mock()
        head = RequestHead("r", b"POST", b"/", "h", "", 9.0)
        context = test_broken_streams.make_context(
            head, mock.Mock(body=b""), is_resumable=True
        )
        context = context._replace(fingerprint="0123456789abcdef", team=Team("crews"))
        return StreamRun(self.server, context, mock.Mock())

    def admit(self, room, seconds=2.5):
        """Have an instance decide; return the error if it rejects the stream."""
        run = self.make_run(room)
        try:
            run._admit(run._choose()._replace(seconds=seconds))
        except RequestError as error:
            return error
        return None

    def make(self, told):
        """Return a room that has served requests of the service lately."""
        reporting = ReportingServices()
        reporting.record("s")
        room = Room(reporting, told=told)
        for _ in range(30):
            room.record_arrival(make_context(0, service="s"))
        room.record_missed(make_context(0, service="s"))
        return room

    def test_a_rejected_caller_is_told_of_a_place(self):
        told = mock.Mock(came_when_told=lambda key: False)
        error = self.admit(self.make(told))
        told.tell.assert_called_once_with(0x01234567, error.retry_after)
        logged = self.server.logger.info.call_args.kwargs
        self.assertEqual(logged["told"], round(error.retry_after, 3))
        self.assertEqual((logged["team"], logged["has_place"]), ("crews", True))

    def test_a_caller_that_came_when_told_is_admitted(self):
        """Guards against a second rejection of a caller that waited."""
        told = mock.Mock(came_when_told=lambda key: key == 0x01234567)
        self.assertIsNone(self.admit(self.make(told)))
        self.assertTrue(self.server.logger.info.call_args.kwargs["came_when_told"])

    def test_a_caller_that_is_too_late_is_rejected_all_the_same(self):
        """Guards against work for a caller that will have left."""
        told = mock.Mock(came_when_told=lambda key: True)
        self.assertIsNotNone(self.admit(self.make(told), seconds=8.5))

    def run_changed(self, run, *, seconds=0.5, end=None):
        """Run a stream with another forecast; return the kind of its error."""
        choose = run._choose
        run._choose = lambda: choose()._replace(seconds=seconds, end=end)
        error = run._context.rejection_error(ErrorKind.DEADLINE_INFEASIBLE, "stages")
        run._inputs.run_stages = mock.Mock(side_effect=error)
        with self.assertRaises(RequestError) as raised:
            run.run()
        return raised.exception.kind

    @parameterized.expand([("the_same", 0.0, True), ("too_slow", 6.0, False)])
    def test_a_caller_that_came_when_told_may_get_the_next_engine(
        self, _, more_seconds, expected
    ):
        """Guards against a rejection where the first engine grants no permit."""
        told = mock.Mock(came_when_told=mock.Mock(side_effect=[True, False]))
        run = self.make_run(self.make(told))
        more = iter([0.0, more_seconds])
        choose = run._choose
        run._choose = lambda: choose()._replace(seconds=2.5 + next(more))
        self.server.selector.reserve = mock.Mock(side_effect=[False, True])
        self.server.metrics.count_return = mock.Mock()
        error = run._context.rejection_error(ErrorKind.DEADLINE_INFEASIBLE, "stages")
        run._inputs.run_stages = mock.Mock(side_effect=error)
        with self.assertRaises(RequestError):
            run.run()
        self.assertEqual(run._inputs.run_stages.called, expected)
        self.assertEqual(told.came_when_told.call_count, 1)
        self.server.metrics.count_return.assert_called_once()

    @parameterized.expand(
        [
            ("quarantined", 0),
            ("no_engine", 0),
            ("hopeless_end", 0),
            ("no_repeat", 0),
            ("turned_away", 1),
            ("stages_too_late", 1),
        ]
    )
    def test_missed_is_what_room_can_mend(self, name, expected):
        """Guards against pressure that lasts as long as requests fail for other causes.

        A team whose requests are quarantined would hold all less urgent ones back.
        """
        reporting = ReportingServices()
        reporting.record("s")
        room = Room(reporting)
        run = self.make_run(room)
        room.record_arrival(run._context)
        changes = {}
        if name == "quarantined":
            self.server.suspects.is_quarantined = lambda fingerprint: True
        elif name == "no_engine":
            run._exclude = {"e1", "e2"}
        elif name == "hopeless_end":
            changes["end"] = EndForecast(20.0, remaining=9.0, chance=0.0, prospect=0.0)
        elif name == "no_repeat":
            run._reserve_repeat = mock.Mock(side_effect=run._failure_error("repeats"))
            run._was_offered = True
        elif name == "turned_away":
            changes["seconds"] = 2.5
        kind = self.run_changed(run, **changes)
        is_late = name in ("hopeless_end", "turned_away", "stages_too_late")
        self.assertEqual(kind is ErrorKind.DEADLINE_INFEASIBLE, is_late)
        self.assertEqual(sum(room.report()[0].missed), expected)


class OwnerTest(unittest.TestCase):
    """Pieces of teams at the owner of a queue."""

    def test_pieces_of_a_flood_come_later(self):
        """Guards against a queue in which the team that sends most comes first."""
        fixture = test_stage_owner.StageOwnerTest()
        self.addCleanup(fixture.doCleanups)
        fixture.setUp()
        for number in range(40):
            self.submit(fixture, f"r{number}", "big")
        self.submit(fixture, "small", "small")
        self.submit(fixture, "other", "")
        queue = fixture.owner._queue_by_service["encode"].queue
        lags = {p.key.request: p.lag for p in queue.piece_by_key.values()}
        self.assertEqual((lags["small"], lags["other"]), (0.0, 0.0))
        self.assertGreater(lags["r39"], lags["r1"])
        first = lags["r39"]
        self.submit(fixture, "r39", "big")
        self.assertEqual(queue.piece_by_key[PieceKey("r39", 0, 0)].lag, first)

    def submit(self, fixture, request, team):
        """Submit a piece of a team."""
        message = test_stage_owner.make_submission(request)
        fields = msgspec.structs.asdict(message) | {"team": team, "by_urgency": True}
        fixture.owner.submit(Submit(**fields), "other")


class FleetTest(unittest.TestCase):
    """Counts of instances that heartbeats carry."""

    @parameterized.expand([(7,), (66,)])
    def test_all_instances_learn_what_is_missed(self, size):
        """Guards against an instance that misses nothing and makes no room."""
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        fleet = PeerFleet(size)
        rooms = [make_room(peers) for peers in fleet]
        fleet.start(within=0.3)
        advance(2.0)
        eventlet.spawn_n(self._miss, rooms[1:])
        advance(3.0)
        self.assertGreater(rooms[0].patience(make_context(1)).pressure, 0.9)
        advance(SILENCE_S)
        self.assertEqual(rooms[0].patience(make_context(1)).pressure, 0.0)

    def test_counts_of_a_dead_instance_age_out(self):
        """Guards against pressure that an instance leaves behind when it is killed."""
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        fleet = PeerFleet(7)
        rooms = [make_room(peers) for peers in fleet]
        fleet.start(within=0.3)
        advance(2.0)
        miss_urgent(rooms[3])
        advance(0.5)
        rooms[0].record_arrival(make_context(1))
        self.assertEqual(rooms[0].patience(make_context(1)).pressure, 1.0)
        fleet.kill(list(fleet)[3].own.id)
        advance(SILENCE_S)
        rooms[0].record_arrival(make_context(1))
        self.assertEqual(rooms[0].patience(make_context(1)).pressure, 0.0)

    def _miss(self, rooms):
        for _ in range(6):
            for room in rooms:
                miss_urgent(room, 2)
            eventlet.sleep(0.5)


class MessagesTest(unittest.TestCase):
    """Messages of instances with and without the new fields."""

    def test_a_report_takes_few_bytes(self):
        """Guards against heartbeats that grow with the load."""
        calm = Demand("engines", [9, 9, 9])
        short = Demand("engines", [9] * 6, [9] * 6, {2**32 - n: 99 for n in range(4)})
        sizes = [len(encode(self.heartbeat(demand=[d]))) for d in (calm, short)]
        empty = len(encode(self.heartbeat()))
        self.assertLessEqual(sizes[0] - empty, 16)
        self.assertLessEqual(sizes[1] - empty, 56)

    def test_messages_of_an_older_version_are_read(self):
        """Guards against instances of two versions that don't understand each other."""
        for message, fields in ((self.heartbeat(), 1), (self.submit(), 2)):
            data = bytearray(encode(message))
            self.assertEqual(data[0], 0xDC)
            shorter = int.from_bytes(data[1:3], "big") - fields
            old = bytes([0xDC, *shorter.to_bytes(2, "big"), *data[3:-fields]])
            self.assertEqual(decode(old), message)

    def heartbeat(self, **changes):
        """Return a heartbeat."""
        return Heartbeat(
            Contact("i", "a", "h"),
            "life",
            True,
            StorePosition(0, 1),
            {},
            [],
            {},
            {},
            1.0,
            [],
            **changes,
        )

    def submit(self):
        """Return a submission."""
        return Submit("r", 0, "s", [0], "k", [], 1, False, 1, 1, "a", 1.0, 2.0, 0, "f")
