"""How a fleet learns what the platform's store publishes."""

import unittest
from unittest import mock

import eventlet
from eventlet.event import Event
from parameterized import parameterized

from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.follower import StoreFollower
from bergamotsaddle_serving.messages import StoreEntry, StorePage
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.server import SETTLE_S
from bergamotsaddle_serving.store_readers import STORE, pick_reader
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_exchange import LinkError, ViewExchange
from bergamotsaddle_serving.view_follower import ViewFollower
from bergamotsaddle_standins.peer_fleet import ZONES, PeerFleet
from tests._paused import advance, use_paused_clock

OK = 200
GONE = 410
TRIP_S = 0.002
STORE_S = 0.004
START_S = 0.3
MEET_S = 3.0
CALM_S = 20.0
# The platform's tightest bound on a configuration, a margin for its own delay left.
IN_FORCE_S = 1.8
KEY = "op/config"
SILENT = mock.Mock()


class FakeStore:
    """The platform's store: a list, watches, and calls that it counts."""

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.calls = 0
        self.refused = set()
        self.cuts = set()
        self.forgotten = 0
        self.changed = Event()

    def write(self, key, value):
        """Write an item, or delete it."""
        self.revision += 1
        self.entries[key] = StoreEntry(key, self.revision, value)
        changed, self.changed = self.changed, Event()
        changed.send()

    def call(self, instance, call):
        """Answer a call."""
        self.calls += 1
        eventlet.sleep(STORE_S)
        if instance in self.refused:
            raise ConnectionLostError("silent")
        if instance in self.cuts:
            self.cuts.discard(instance)
            raise ConnectionLostError("reset")
        kind, after, wait = call
        if kind == "list":
            live = [e for e in self.entries.values() if e.value is not None]
            return OK, StorePage(live, self.revision)
        if after < self.forgotten:
            return GONE, b""
        with eventlet.Timeout(wait, False):
            while self.revision <= after:
                self.changed.wait()
        news = [e for e in self.entries.values() if e.revision > after]
        return OK, StorePage(news, self.revision)


class FakeDialect:
    """Entries that mean nothing."""

    def list_entries(self, _):
        """A call."""
        return "list", 0, 0.0

    def watch_entries(self, after, wait):
        """A call."""
        return "watch", after, wait

    def read_page(self, body):
        """A page is its own encoding here."""
        return body

    def decode(self, _):
        """Nothing."""

    def target_id(self, _):
        """None."""


class FakeLink:
    """A connection to another instance of the same process."""

    def __init__(self, world, contact):
        self.contact = contact
        self._world = world

    def query(self, request):
        """Ask, unless the other one is dead or frozen."""
        world, name = self._world, self.contact.id
        if name in world.dead:
            raise LinkError("reset")
        eventlet.sleep(TRIP_S)
        exchange = world.instances[name].exchange
        exchange._wait_for_change(request)
        if name in world.frozen:
            eventlet.sleep(request.wait + 0.6)
            raise LinkError("silent")
        answer = exchange._make_response(request)
        eventlet.sleep(TRIP_S)
        return answer

    def close(self):
        """Close it."""


class Follower:
    """The parts of one instance that follow the store."""

    def __init__(self, world, peers):
        dialect = FakeDialect()
        self.peers = peers
        self.view = View(dialect, SILENT)
        self.store = StoreFollower(
            SILENT, dialect, self.view, lambda: len(world.instances), SILENT
        )
        self.store._call = lambda call, _: world.store.call(peers.own.id, call)
        settings = mock.Mock()
        settings.listen.peer_port = 0
        settings.instance.host = peers.own.host
        self.exchange = ViewExchange(
            settings, self.view, peers, SILENT, self.store.is_refused
        )
        self.exchange.connect = lambda contact: FakeLink(world, contact)
        self.follower = ViewFollower(
            self.store, self.exchange, self.view, peers, SILENT
        )
        peers.own_revision = lambda: self.view.revision
        self.threads = [
            eventlet.spawn(self.follower.run),
            eventlet.spawn(self.exchange.run),
        ]

    def end(self):
        """End it as a kill does."""
        self.peers.send_heartbeats = lambda: None
        for thread in self.threads:
            thread.kill()

    def value(self, key):
        """What it knows of an item."""
        found = [e for e in self.view.changes_since(-1).entries if e.key == key]
        return found[0].value if found else None


class World:
    """A fleet, the store and what is wrong with them."""

    def __init__(self, size):
        self.store = FakeStore()
        self.store.write(KEY, b"1")
        self.dead = set()
        self.frozen = set()
        self.fleet = PeerFleet(size, accept_delay=SETTLE_S)
        self.instances = {}
        for peers in self.fleet:
            self.instances[peers.own.id] = Follower(self, peers)
        self.fleet.start(within=START_S)
        advance(START_S + MEET_S)

    def readers(self):
        """The reader of each zone, as its instances see it."""
        peers = [instance.peers for instance in self.living()]
        return {
            zone: {rank_owners(p, STORE, zone)[0] for p in peers if p.own.zone == zone}
            for zone in ZONES
        }

    def living(self):
        """Instances that are neither dead nor frozen."""
        gone = self.dead | self.frozen
        return [i for name, i in self.instances.items() if name not in gone]

    def kill(self, names):
        """End instances without a word."""
        for name in names:
            self.dead.add(name)
            self.fleet.kill(name)
            self.instances[name].end()

    def known(self):
        """What living instances know of the configuration."""
        return {instance.value(KEY) for instance in self.living()}

    def close(self):
        """End everything."""
        for instance in self.instances.values():
            instance.end()


def refuse(world, names):
    """The store refuses the readers."""
    world.store.refused |= names


def freeze(world, names):
    """The readers stand still."""
    world.frozen |= names


def kill(world, names):
    """The readers die."""
    world.kill(names)


class FollowingTest(unittest.TestCase):
    """A fleet in four zones."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def open(self, size):
        """Start a fleet."""
        world = World(size)
        self.addCleanup(world.close)
        return world

    @parameterized.expand([("small", 8), ("large", 32)])
    def test_calls_to_the_store_do_not_grow_with_the_fleet(self, _, size):
        """Guards against each instance of a large fleet watching the store."""
        world = self.open(size)
        before = world.store.calls
        for second in range(int(CALM_S)):
            world.store.write("servers/t", b"%d" % second)
            advance(1.0)
        rate = (world.store.calls - before) / CALM_S
        self.assertLess(rate, 2.5 * len(ZONES))
        self.assertEqual(world.known(), {b"1"})

    def test_a_starting_fleet_lists_the_store_once_each(self):
        """Guards against watches of all instances before any knows its reader."""
        size = 32
        world = self.open(size)
        readers = MEET_S * len(ZONES)
        self.assertLessEqual(world.store.calls, size + readers)

    def test_a_calm_fleet_stays_with_its_readers(self):
        """Guards against readers that are left because nothing changes."""
        world = self.open(32)
        before = world.store.calls
        advance(CALM_S)
        rate = (world.store.calls - before) / CALM_S
        self.assertLess(rate, 0.6 * len(ZONES))

    def test_readers_whose_watch_is_cut_are_not_left(self):
        """Guards against fleets that all read the store after one cut watch."""
        world = self.open(32)
        world.store.cuts |= set().union(*world.readers().values())
        before = world.store.calls
        advance(CALM_S)
        rate = (world.store.calls - before) / CALM_S
        self.assertFalse(world.store.cuts)
        self.assertLess(rate, 0.8 * len(ZONES))

    @parameterized.expand([("small", 8), ("large", 32)])
    def test_each_zone_has_one_reader(self, _, size):
        for readers in self.open(size).readers().values():
            self.assertEqual(len(readers), 1)

    @parameterized.expand(
        [
            ("kill_small", kill, 8),
            ("freeze_small", freeze, 8),
            ("refuse_small", refuse, 8),
            ("kill_large", kill, 32),
            ("freeze_large", freeze, 32),
            ("refuse_large", refuse, 32),
        ]
    )
    def test_a_change_is_in_force_though_all_readers_are_lost(self, _, harm, size):
        """Guards against zones that learn nothing once their readers are gone."""
        world = self.open(size)
        readers = set().union(*world.readers().values())
        harm(world, readers)
        world.store.write(KEY, b"2")
        advance(IN_FORCE_S)
        self.assertEqual(world.known(), {b"2"})

    def test_a_change_is_in_force_though_the_store_forgets(self):
        """Guards against a reader that stays behind when its history is gone."""
        world = self.open(8)
        world.store.write("servers/t", b"1")
        world.store.forgotten = world.store.revision + 1
        world.store.write(KEY, b"2")
        advance(IN_FORCE_S)
        self.assertEqual(world.known(), {b"2"})

    def test_a_new_reader_tells_of_what_was_deleted_before_its_time(self):
        """Guards against targets that stay known because nobody tells of their end."""
        store = FakeStore()
        store.write("servers/t", b"1")
        old = View(FakeDialect(), SILENT)
        old.replace(list(store.entries.values()), store.revision, source="store")
        store.write("servers/t", None)
        store.write(KEY, b"1")
        new = View(FakeDialect(), SILENT)
        live = [e for e in store.entries.values() if e.value is not None]
        new.replace(live, store.revision, source="store")
        changes = new.changes_since(old.revision)
        self.assertTrue(changes.is_snapshot)
        old.replace(changes.entries, new.revision, source="peer")
        keys = {e.key for e in old.changes_since(-1).entries}
        self.assertEqual(keys, {KEY})


class PickReaderTest(unittest.TestCase):
    """Who reads the store for a zone."""

    @parameterized.expand(
        [
            ("nobody_known", [], [], None),
            ("itself", ["me", "x"], [], None),
            ("another", ["x", "me"], [], "x"),
            ("the_first_is_avoided", ["x", "y", "me"], ["x"], "y"),
            ("itself_next", ["x", "me", "y"], ["x"], None),
            ("itself_avoided", ["me", "x", "y"], ["me"], "x"),
            ("two_tried_in_vain", ["x", "y", "z"], ["x", "y"], None),
        ]
    )
    def test_pick(self, _, ranked, avoided, expected):
        self.assertEqual(pick_reader(ranked, "me", avoided), expected)
