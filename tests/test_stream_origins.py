"""What instances know of the software that began streams elsewhere."""

import random
import unittest
from types import SimpleNamespace

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.backup_choice import MAX_BACKUPS, choose_backups
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Team
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.messages import RequestHead
from bergamotsaddle_serving.origin_exchange import (
    _ASK_INTERVAL_PER_PEER_S,
    decode_group,
    encode_group,
)
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.stream_origins import (
    CONFLICTING_ORIGIN,
    KnownStream,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from bergamotsaddle_standins.peer_fleet import LATENCY_S, PeerFleet
from tests._paused import advance, use_paused_clock
from tests._resumptions import OriginInstance, make_target

V1 = StreamOrigin("s", "v1")
V2 = StreamOrigin("s", "v2")
DEADLINE_S = 8.0
LONG_S = 60.0
SERVICES = ("s", "other")


def make_context(request, *, resumes="", last_event_id=None, team="", services=("s",)):
    """Return the context of a request for a stream that may be resumed."""
    shares = tuple(Share(service, 1.0) for service in services)
    route = Route("r", "h", "/", Kind.STREAM, 9.0, 1.0, 3, 0, shares, is_resumable=True)
    head = RequestHead(
        request,
        b"POST",
        b"/",
        "h",
        "",
        DEADLINE_S,
        last_event_id=last_event_id,
        resumed_request=resumes,
    )
    return Context(
        head,
        b"",
        route,
        Service(services[0], 10),
        Team(team) if team else None,
        now(),
        now() + DEADLINE_S,
        1,
        0,
        Progress(),
    )


class OriginTableTest(unittest.TestCase):
    """The origins that one instance keeps."""

    def setUp(self):
        use_paused_clock()
        self.origins = StreamOrigins(max_streams=3)

    def add(self, key, origin=V1, *, seconds=5.0):
        return self.origins.add(KnownStream(key, origin, now() + seconds))

    def origin(self, key):
        known = self.origins.find(key)
        return known and known.origin

    def test_an_id_that_is_used_twice_has_no_origin(self):
        """Guards against a stream that goes on at the version of another one."""
        self.add(1)
        self.assertFalse(self.add(1))
        self.assertEqual(self.origin(1), V1)
        self.assertTrue(self.add(1, V2))
        self.assertEqual(self.origin(1), CONFLICTING_ORIGIN)
        self.add(1, V1)
        self.assertEqual(self.origin(1), CONFLICTING_ORIGIN)

    def test_a_stream_is_known_until_its_caller_gives_up(self):
        self.add(1, seconds=2.0)
        self.add(1, seconds=4.0)
        advance(3.0)
        self.assertEqual(self.origin(1), V1)
        advance(1.5)
        self.assertIsNone(self.origin(1))
        self.add(1, V2)
        self.assertEqual(self.origin(1), V2)

    def test_the_oldest_streams_are_dropped_first(self):
        for key in (1, 2, 3):
            self.add(key)
        self.add(1)
        self.add(4)
        found = [key for key in (1, 2, 3, 4) if self.origin(key)]
        self.assertEqual(found, [1, 3, 4])

    def test_teams_have_ids_of_their_own(self):
        self.assertNotEqual(stream_key("a", "r1"), stream_key("b", "r1"))
        self.assertEqual(stream_key("a", "r1"), stream_key("a", "r1"))


class BackupChoiceTest(unittest.TestCase):
    """The instances that keep the origins of an instance's streams."""

    @parameterized.expand(
        [
            ("many_zones", "abcabcabc", {"a": 1, "b": 1, "c": 1}),
            ("two_zones", "aabb", {"a": 1, "b": 1}),
            ("one_zone", "aaaaa", {"a": 3}),
            ("alone_in_its_zone", "bbcc", {"b": 1, "c": 1}),
            ("two", "b", {"b": 1}),
            ("alone", "", {}),
        ]
    )
    def test_backups_are_in_different_zones(self, _, zones, at_least):
        own = Contact("own", "a", "h")
        others = [Contact(f"i{n}", zone, "h") for n, zone in enumerate(zones)]
        chosen = choose_backups(own, others)
        self.assertEqual(len(chosen), min(MAX_BACKUPS, len(others)))
        for zone, count in at_least.items():
            self.assertGreaterEqual(sum(w.zone == zone for w in chosen), count)


class OriginExchangeTest(unittest.TestCase):
    """Origins in a fleet whose instances share one clock."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(1)

    def start(self, size):
        self.fleet = PeerFleet(size)
        self.instances = [OriginInstance(peers) for peers in self.fleet]
        self.fleet.start(within=0.3)
        advance(3.0)

    def begin(self, number, key=1, origin=V1):
        stream = KnownStream(key, origin, now() + LONG_S)
        self.instances[number].exchange.record(stream)

    def kill(self, *numbers):
        for number in numbers:
            self.fleet.kill(f"i{number}")
            # A process that has ended does not respond either.
            self.instances[number].exchange._origins = StreamOrigins()

    def find(self, number, key=1):
        """Return what an instance finds, and after how many seconds."""
        found = []
        started_at = now()

        def run():
            origin = self.instances[number].exchange.find(key)
            found.append((origin, now() - started_at))

        eventlet.spawn_n(run)
        advance(0.5)
        return found[0]

    def find_origin(self, number, key=1):
        found, _ = self.find(number, key)
        return found and found.origin

    def backups(self, number):
        return [
            int(backup.id[1:]) for backup in self.instances[number].exchange.backups
        ]

    def others(self, number):
        """Return the instances that are not told of another one's streams."""
        told = {number, *self.backups(number)}
        return [n for n in range(len(self.instances)) if n not in told]

    @parameterized.expand([("small", 7), ("middle", 66)])
    def test_a_stream_is_taken_up_at_once_elsewhere(self, _, size):
        """Guards against streams that are taken up faster than others hear of them."""
        self.start(size)
        self.begin(0)
        found, seconds = self.find(self.others(0)[0])
        self.assertEqual(found.origin, V1)
        told = {f"i{number}" for number in (0, *self.backups(0))}
        self.assertIn(found.known_by, told)
        self.assertLess(seconds, 3 * LATENCY_S)

    @parameterized.expand([("small", 7), ("middle", 66)])
    def test_the_instance_that_began_a_stream_is_killed(self, _, size):
        """Guards against streams that nobody knows after a kill."""
        self.start(size)
        self.begin(0)
        advance(2 * LATENCY_S)
        self.kill(0)
        self.assertEqual(self.find_origin(self.others(0)[0]), V1)

    def test_all_but_one_of_those_that_know_are_killed(self):
        self.start(7)
        self.begin(0)
        advance(2 * LATENCY_S)
        backups = self.backups(0)
        asker = self.others(0)[0]
        self.kill(0, *backups[:-1])
        self.assertEqual(self.find_origin(asker), V1)
        self.kill(asker, backups[-1])
        asker = next(n for n in range(1, 7) if n not in (*backups, asker))
        self.assertIsNone(self.find_origin(asker))

    def test_a_stream_survives_kills_one_after_the_other(self):
        """Guards against streams that are forgotten although one instance knew them."""
        self.start(7)
        self.begin(0)
        for number in range(6):
            advance(1.5)
            for instance in self.instances:
                instance.exchange.renew()
            advance(0.1)
            self.kill(number)
        self.assertEqual(self.find_origin(6), V1)

    @parameterized.expand([("short", 0.4, 3.0), ("long", 602.0, 603.0)])
    def test_how_long_a_stream_is_to_be_known_is_sent(self, _, seconds, expected):
        streams = [KnownStream(key, V1, now() + seconds) for key in (1, 2**48 - 1)]
        keys, times = decode_group(encode_group(V1, streams))
        self.assertEqual((keys, times), ([1, 2**48 - 1], [expected] * 2))

    def test_a_stopping_instance_hands_over_what_it_knows(self):
        self.start(7)
        instance = self.instances[0]
        stream = KnownStream(1, V1, now() + DEADLINE_S)
        instance.exchange._origins.add(stream)
        instance.exchange.hand_over()
        asker = self.others(0)[0]
        advance(2 * LATENCY_S)
        self.kill(0)
        self.assertEqual(self.find_origin(asker), V1)

    def test_a_zone_that_is_cut_off_knows_its_own_streams(self):
        """Guards against streams that end with a cut although their zone serves."""
        self.start(12)
        self.begin(0)
        advance(2 * LATENCY_S)
        self.fleet.partition_zone("a")
        self.kill(0)
        advance(2.0)
        in_zone = [n for n in self.others(0) if n % 4 == 0]
        outside = [n for n in self.others(0) if n % 4]
        self.assertEqual(self.find_origin(in_zone[0]), V1)
        self.assertEqual(self.find_origin(outside[0]), V1)

    def test_a_stream_that_nobody_in_reach_knows(self):
        """Guards against callers that wait although nobody will respond."""
        self.start(7)
        found, seconds = self.find(3)
        self.assertIsNone(found)
        self.assertLess(seconds, 0.2)

    def test_datagrams_that_get_lost(self):
        self.start(7)
        for peers in self.fleet:
            carry = peers._transmit
            peers._transmit = lambda *datagram, carry=carry: (
                random.random() < 0.7 and carry(*datagram)
            )
        keys = range(100, 150)
        for key in keys:
            self.begin(0, key)
            advance(0.01)
        advance(0.2)
        asker = self.others(0)[0]
        found = [self.find_origin(asker, key) for key in keys]
        self.assertGreaterEqual(found.count(V1), 49)
        self.assertLessEqual(set(found), {V1, None})

    def test_questions_about_many_streams_share_datagrams(self):
        """Guards against callers that cost the fleet its time with invented ids."""
        self.start(66)
        exchange, peers = self.instances[0].exchange, self.instances[0].peers
        sent = peers.sent
        for key in range(500):
            eventlet.spawn_n(exchange.find, key)
        advance(0.3)
        rounds = 0.3 / (_ASK_INTERVAL_PER_PEER_S * 66)
        self.assertLess(peers.sent - sent, rounds * 65)
        self.assertEqual(exchange._waiting_by_key, {})

    def test_many_streams_share_datagrams(self):
        """Guards against a cost that grows with the streams or with the fleet."""
        self.start(66)
        peers = self.instances[0].peers
        sent, size = peers.sent, peers.bytes_sent
        # One second is long enough for batches; it has heartbeats as well.
        for key in range(114):
            self.begin(0, key)
            advance(1.0 / 114)
        heartbeats = peers.bytes_sent - size
        self.assertLess(peers.sent - sent, 30 + 5 * 12)
        self.assertLess(heartbeats, 114 * MAX_BACKUPS * 8 + 30_000)


class ResumptionTest(unittest.TestCase):
    """What one instance decides on a stream that its caller takes up again."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.fleet = PeerFleet(2)
        self.instance, self.other = (OriginInstance(peers) for peers in self.fleet)
        self.fleet.start(within=0.3)
        advance(2.0)

    def list_targets(self, **software_by_id):
        targets = [make_target(*item) for item in software_by_id.items()]
        for instance in (self.instance, self.other):
            instance.list_targets(*targets)
        advance(4.0)
        for instance in (self.instance, self.other):
            instance.confirm()
        return targets

    def resume(self, context):
        """Return the software at which a stream goes on, or the kind of the error."""
        outcome = []

        def run():
            try:
                origin = self.instance.resumptions.resume(context).origin
                outcome.append(origin and origin.software)
            except RequestError as error:
                outcome.append(error.kind)

        eventlet.spawn_n(run)
        advance(0.3)
        return outcome[0]

    def begin(self, target, request="r1", **options):
        self.other.resumptions.bind(make_context(request, **options), target)

    def test_a_stream_goes_on_at_its_version(self):
        first, _ = self.list_targets(e1="v1", e2="v2")
        self.begin(first)
        context = make_context("r2", resumes="r1", last_event_id=3)
        self.assertEqual(self.resume(context), "v1")
        logged = self.instance.logger.info.call_args
        self.assertEqual(logged.args, ("stream_resumed",))
        self.assertEqual(logged.kwargs["software"], "v1")
        self.assertEqual(logged.kwargs["known_by"], self.other.peers.own.id)

    @parameterized.expand(
        [
            ("new", {}, None),
            ("unknown", {"resumes": "r0", "last_event_id": 3}, "origin_unknown"),
            ("unnamed", {"last_event_id": 3}, "origin_unknown"),
            ("without_an_event", {"resumes": "r1"}, "v1"),
            ("of_another_team", {"resumes": "r1", "team": "t"}, "origin_unknown"),
        ]
    )
    def test_two_versions_serve(self, _, options, expected):
        """Guards against a version that is guessed."""
        first, _ = self.list_targets(e1="v1", e2="v2")
        self.begin(first)
        self.assertEqual(self.resume(make_context("r2", **options)), expected)

    @parameterized.expand(
        [
            ("unknown", {"resumes": "r0", "last_event_id": 3}),
            ("unnamed", {"last_event_id": 3}),
        ]
    )
    def test_one_version_serves(self, _, options):
        """Guards against streams that end although no other version began them."""
        self.list_targets(e1="v1", e2="v1")
        self.assertEqual(self.resume(make_context("r2", **options)), "v1")

    @parameterized.expand([("lately", 300.0, True), ("long_ago", 700.0, False)])
    def test_another_version_served(self, _, seconds, is_refused):
        """Guards against a version that has left and is forgotten."""
        self.list_targets(e1="v1", e2="v2")
        self.list_targets(e1="v1")
        step = 1.0
        for _ in range(int(seconds / step)):
            advance(step)
            self.instance.confirm()
            self.other.confirm()
        for instance in (self.instance, self.other):
            instance.drop_expired()
        expected = "origin_unknown" if is_refused else "v1"
        self.assertEqual(self.resume(make_context("r2", last_event_id=3)), expected)

    def test_the_view_was_out_of_date(self):
        """Guards against versions that came and went behind a cut."""
        self.list_targets(e1="v1")
        context = make_context("r2", last_event_id=3)
        advance(2.5)
        self.assertEqual(self.resume(context), "origin_unknown")
        self.instance.confirm()
        self.assertEqual(self.resume(context), "origin_unknown")
        for _ in range(4):
            advance(1.0)
            self.instance.confirm()
        self.assertEqual(self.resume(context), "v1")

    def test_no_target_of_the_version_is_left(self):
        """Guards against callers that wait for a version that has left."""
        first, _ = self.list_targets(e1="v1", e2="v2")
        self.begin(first)
        advance(0.1)
        self.list_targets(e2="v2")
        context = make_context("r2", resumes="r1", last_event_id=3)
        self.assertEqual(self.resume(context), "version_gone")
        logged = self.instance.logger.warning.call_args
        self.assertEqual(logged.args, ("resumption_refused",))
        self.assertIn("v1 of s has no target", logged.kwargs["reason"])

    def wait(self, seconds, *, is_silent=False):
        """Let some time pass, with views up to date unless the store is silent."""
        for _ in range(int(4 * seconds)):
            advance(0.25)
            for instance in (self.instance, self.other):
                if not is_silent:
                    instance.confirm()
                instance.resumptions.certainty.certain_at()

    @parameterized.expand(
        [
            ("just_before", 1.0, False, True),
            ("long_before", 4.0, False, False),
            ("before_a_silence_of_the_store", 4.0, True, True),
        ]
    )
    def test_a_target_returns_with_other_software(
        self, _, seconds, is_silent, is_refused
    ):
        """Guards against an entry that is older than the software behind it."""
        first, _ = self.list_targets(e1="v1", e2="v1")
        self.begin(first)
        self.wait(seconds, is_silent=is_silent)
        self.list_targets(e1="v3", e2="v1")
        context = make_context("r2", resumes="r1", last_event_id=3)
        expected = "origin_unknown" if is_refused else "v1"
        self.assertEqual(self.resume(context), expected)

    def test_a_target_that_ended_in_a_silence_of_the_store(self):
        """Guards against streams that go on at a target that has other software."""
        first, second = self.list_targets(e1="v1", e2="v1")
        self.wait(1.0, is_silent=True)
        resumptions = self.other.resumptions
        resumptions.certainty.record_end(first.incarnation, now())
        origin = StreamOrigin("s", "v1")
        self.assertFalse(resumptions.may_run(first, origin))
        self.assertTrue(resumptions.may_run(second, origin))
        self.assertTrue(resumptions.may_run(first, None))
        self.begin(first)
        self.wait(6.0, is_silent=True)
        self.assertFalse(resumptions.may_run(first, origin))
        context = make_context("r2", resumes="r1", last_event_id=3)
        self.assertEqual(self.resume(context), "origin_unknown")

    @parameterized.expand([(2.0, False), (4.0, True)])
    def test_a_target_that_only_refused_a_connection(self, seconds, is_certain):
        """Guards against targets that are left out for good by a refused connection."""
        first, _ = self.list_targets(e1="v1", e2="v1")
        resumptions = self.instance.resumptions
        resumptions.certainty.record_end(first.incarnation, now())
        self.wait(seconds)
        origin = StreamOrigin("s", "v1")
        self.assertEqual(resumptions.may_run(first, origin), is_certain)

    def test_an_old_crash_that_becomes_known_late(self):
        """Guards against streams that end as instances tell each other of a cut."""
        first, _ = self.list_targets(e1="v1", e2="v1")
        self.wait(4.0)
        resumptions = self.instance.resumptions
        resumptions.certainty.record_end(first.incarnation, now() - 4.0)
        self.assertTrue(resumptions.may_run(first, StreamOrigin("s", "v1")))
        resumptions.certainty.record_end(first.incarnation, now())
        resumptions.certainty.record_end(first.incarnation, now() - 4.0)
        self.assertFalse(resumptions.may_run(first, StreamOrigin("s", "v1")))

    def test_the_entry_of_the_next_incarnation_is_certain(self):
        """Guards against restarted targets that go on with no stream for seconds."""
        first, _ = self.list_targets(e1="v1", e2="v1")
        resumptions = self.instance.resumptions
        resumptions.certainty.record_end(first.incarnation, now())
        restarted = first._replace(started_ms=7)
        self.assertTrue(resumptions.may_run(restarted, StreamOrigin("s", "v1")))

    def test_a_target_ends_between_choice_and_first_event(self):
        """Guards against a first event that fits by an entry from before."""
        first, _ = self.list_targets(e1="v1", e2="v1")
        resumptions = self.other.resumptions
        resumptions.certainty.record_end(first.incarnation, now())
        bound = resumptions.bind(make_context("r1"), first)
        self.assertFalse(resumptions.is_certain(bound))

    def test_entries_without_a_version(self):
        """Guards against two unnamed versions that are taken for one."""
        first, second = self.list_targets(e1="", e2="")
        resumptions = self.instance.resumptions
        origin = StreamOrigin("s", "")
        self.assertTrue(resumptions.may_run(second, origin))
        self.begin(first)
        self.list_targets(e1="", e2="", e3="v1")
        self.assertFalse(resumptions.may_run(second, origin))
        context = make_context("r2", resumes="r1", last_event_id=3)
        self.assertEqual(self.resume(context), "version_gone")

    @parameterized.expand(
        [
            ("that_shares_the_route", ("other", "s"), "v1"),
            ("that_left_the_route", ("other",), "version_gone"),
        ]
    )
    def test_the_stream_began_at_another_service(self, _, services, expected):
        """Guards against streams that go on at another service."""
        (first,) = self.list_targets(e1="v1")
        self.begin(first)
        by_name = {name: Service(name, 10) for name in SERVICES}
        self.instance.view.configuration = SimpleNamespace(services_by_name=by_name)
        context = make_context("r2", resumes="r1", last_event_id=3, services=services)
        self.assertEqual(self.resume(context), expected)

    def test_a_stream_that_is_taken_up_again_is_known_for_longer(self):
        first, _ = self.list_targets(e1="v1", e2="v2")
        self.begin(first)
        advance(8.0)
        self.begin(first, "r2", resumes="r1")
        advance(8.0)
        context = make_context("r3", resumes="r1", last_event_id=9)
        self.assertEqual(self.resume(context), "v1")

    def test_an_instance_that_has_just_started_learns_the_history(self):
        """Guards against restarts after which streams end that nobody knows."""
        self.list_targets(e1="v1")
        self.instance.history._known_since = now()
        context = make_context("r2", last_event_id=3)
        self.assertEqual(self.resume(context), "origin_unknown")
        for _ in range(4):
            advance(1.0)
            self.instance.confirm()
        self.assertEqual(self.resume(context), "v1")

    def test_all_instances_have_just_started(self):
        """Guards against streams of versions that nobody has seen."""
        self.list_targets(e1="v1")
        for instance in (self.instance, self.other):
            instance.history._known_since = now()
        advance(4.0)
        self.instance.confirm()
        self.assertEqual(
            self.resume(make_context("r2", last_event_id=3)), ErrorKind.ORIGIN_UNKNOWN
        )
