"""Tests for how a fleet receives the changes of the platform's store."""

import unittest
from unittest import mock

import eventlet
from eventlet.event import Event
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import SILENT, ConnectionLostError
from bergamotsaddle_serving.follower import StoreFollower, StoreResponse
from bergamotsaddle_serving.messages import StoreEntry, StorePage, StorePosition
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.server import SETTLE_S
from bergamotsaddle_serving.settings import CapacitySettings
from bergamotsaddle_serving.store_readers import STORE, pick_reader
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_exchange import LinkError, ViewExchange
from bergamotsaddle_serving.view_follower import ViewFollower
from bergamotsaddle_serving.view_freshness import ViewFreshness
from bergamotsaddle_standins.peer_fleet import ZONES, PeerFleet
from tests._paused import advance, use_paused_clock

OK = 200
GONE = 410
LINK_DELAY_S = 0.002
STORE_DELAY_S = 0.004
START_S = 0.3
DISCOVERY_S = 3.0
START_STEP_S = 0.1
OBSERVED_S = 20.0
# The platform's tightest bound on a configuration change, less a margin for the
# platform's own delay.
IN_FORCE_S = 1.8
BOUND_S = 2.0
# After this time without a disturbance the platform's bounds hold again.
STABLE_WINDOW_S = 3.0
# A shorter outage of the store removes no entry of a target that is alive.
MIN_OUTAGE_S = 2.4
# Part of a bound that is left for the platform's delay and the request itself.
MARGIN_S = 0.2
# Calls per second of one reader of an unchanged store: a view that is confirmed less
# often can't be brought up to date within the bound once its source falls silent.
READER_RATE = 1.05 / ViewFreshness(BOUND_S).watch_wait(0.0)
# Fraction of the instances that the store turns away, and how often it changes then.
SILENT_FRACTION = 0.35
CHANGES = 90
CHANGE_INTERVAL_S = 0.1
KEY = "op/config"
BEFORE_ALL = StorePosition(0, -1)
STUB = mock.Mock()


class FakeStore:
    """The platform's store with its list and watches.

    Attributes:
        revision: Revision of the newest write.
        entries: Entries by key, deleted ones with the value None.
        calls: Number of calls.
        watchers: Instances that have watched.
        refused: Instances whose calls are refused.
        silent: Instances whose calls get no response.
        is_deaf: Whether watches get no response.
        resets: Instances whose next call is reset.
        history_start: First revision from which changes can be watched.
        era: Number of times that it has returned from a copy, from 1.
        changed: Is sent at the next write.
    """

    def __init__(self):
        self.revision = 0
        self.entries = {}
        self.calls = 0
        self.watchers = set()
        self.refused = set()
        self.silent = set()
        self.is_deaf = False
        self.resets = set()
        self.history_start = 0
        self.era = 1
        self.changed = Event()

    def write(self, key, value):
        """Write an entry, or delete it with the value None."""
        self.revision += 1
        self.entries[key] = StoreEntry(key, self.revision, value, self.era)
        self.wake()

    @property
    def position(self):
        """Place of its newest write in its history."""
        return StorePosition(self.era, self.revision)

    def wake(self):
        """Let watches check for changes."""
        changed, self.changed = self.changed, Event()
        changed.send()

    def copy(self):
        """Return a copy of all that it holds."""
        return self.revision, dict(self.entries)

    def restore(self, copy):
        """Come back from an older copy; watches that wait are cut."""
        self.revision, self.entries = copy[0], dict(copy[1])
        self.era += 1
        self.wake()

    def call(self, instance, call, limit):
        """Respond to a call of an instance within a limit in seconds."""
        self.calls += 1
        called_at = now()
        eventlet.sleep(STORE_DELAY_S)
        if instance in self.refused:
            raise ConnectionLostError("reset")
        if instance in self.resets:
            self.resets.discard(instance)
            raise ConnectionLostError("reset")
        kind, after, wait = call
        if kind == "list" and instance not in self.silent:
            live = [e for e in self.entries.values() if e.value is not None]
            return OK, StorePage(live, self.revision)
        self.watchers.add(instance)
        if after < self.history_start or after > self.revision:
            return GONE, b""
        era = self.era
        with eventlet.Timeout(wait, False):
            while self.revision <= after and self.era == era:
                self.changed.wait()
        if self.era != era:
            raise ConnectionLostError("reset")
        if instance in self.silent or (self.is_deaf and kind == "watch"):
            eventlet.sleep(max(0.0, called_at + limit - now()))
            raise ConnectionLostError(SILENT)
        updates = [e for e in self.entries.values() if e.revision > after]
        return OK, StorePage(updates, self.revision)


class FakeDialect:
    """A dialect whose entries have no content."""

    def list_entries(self, _):
        """Return a call of the list."""
        return "list", 0, 0.0

    def watch_entries(self, after, wait):
        """Return a call that waits for changes."""
        return "watch", after, wait

    def read_page(self, body, era):
        """Return the page, which the fake store does not encode."""
        entries = [entry._replace(era=era) for entry in body.entries]
        return body._replace(entries=entries, era=era)

    def decode(self, _):
        """Decode no entry."""

    def target_id(self, _):
        """Return None, as no entry is a target."""


class FakeLink:
    """A connection to another instance of the simulation."""

    def __init__(self, simulation, contact, zone):
        self.contact = contact
        self._simulation = simulation
        self._zones = {contact.zone, zone}

    def query(self, request, *, limit=0.6):
        """Return the response of the peer, unless it is dead, frozen or cut off."""
        simulation, name = self._simulation, self.contact.id
        if len(self._zones) > 1 and simulation.cut_zone in self._zones:
            eventlet.sleep(limit)
            raise LinkError("silent")
        if name in simulation.dead:
            raise LinkError("reset")
        eventlet.sleep(simulation.link_delay)
        exchange = simulation.instances[name].exchange
        asked_at = now()
        held = exchange._wait_for_news(request)
        if name in simulation.frozen:
            eventlet.sleep(max(0.0, asked_at + limit - now()))
            raise LinkError("silent")
        response = exchange._make_response(request, held=held)
        eventlet.sleep(simulation.link_delay)
        return response

    def close(self):
        """Do nothing."""


class Follower:
    """The parts of one instance that follow the store."""

    def __init__(self, simulation, peers):
        dialect = FakeDialect()
        self.peers = peers
        self.view = View(dialect, STUB)
        settings = mock.Mock()
        settings.listen.peer_port = 0
        settings.instance.host = peers.own.host
        settings.bounds.change = simulation.bound
        settings.store.min_outage = MIN_OUTAGE_S
        settings.capacity = CapacitySettings()
        self.store = StoreFollower(
            settings, dialect, self.view, lambda: len(simulation.instances), STUB
        )
        self.store._call = lambda call, limit: self.call(simulation.store, call, limit)
        self.exchange = ViewExchange(
            settings, self.view, peers, STUB, self.store.is_refused
        )
        self.exchange.connect = lambda contact: FakeLink(
            simulation, contact, peers.own.zone
        )
        self.follower = ViewFollower(
            self.store, self.exchange, self.view, peers, STUB, simulation.bound
        )
        self.store.on_refused = self.exchange.wake_requests
        peers.own_position = lambda: self.view.position
        self.threads = [
            eventlet.spawn(self.follower.run),
            eventlet.spawn(self.exchange.run),
            eventlet.spawn(self.exchange.run_refresh),
        ]

    def call(self, store, call, limit):
        """Call the store."""
        status, page = store.call(self.peers.own.id, call, limit)
        return StoreResponse(status, page, store.era)

    def stop(self):
        """Stop all threads and heartbeats, as when the process is killed."""
        self.peers.send_heartbeats = lambda: None
        for thread in self.threads:
            thread.kill()

    def value(self, key):
        """Return the value of an entry in the view of this instance."""
        found = [e for e in self.view.changes_since(BEFORE_ALL).entries if e.key == key]
        return found[0].value if found else None


class FleetSimulation:
    """A fleet and its store, parts of which are dead, frozen or cut off."""

    def __init__(self, size, bound=BOUND_S):
        self.bound = bound
        self.link_delay = LINK_DELAY_S
        self.store = FakeStore()
        self.store.write(KEY, b"1")
        self.dead = set()
        self.frozen = set()
        self.cut_zone = ""
        self.fleet = PeerFleet(size, accept_delay=SETTLE_S)
        self.instances = {}
        for peers in self.fleet:
            self.instances[peers.own.id] = Follower(self, peers)
        self.fleet.start(within=START_S)
        # In steps, since a large fleet fires more timers than one step may.
        for _ in range(round((START_S + DISCOVERY_S) / START_STEP_S)):
            advance(START_STEP_S)

    def readers(self):
        """Return the readers of each zone from the views of its instances."""
        peers = [instance.peers for instance in self.live_instances()]
        return {
            zone: {rank_owners(p, STORE, zone)[0] for p in peers if p.own.zone == zone}
            for zone in ZONES
        }

    def live_instances(self):
        """Return the instances that are neither dead nor frozen."""
        failed = self.dead | self.frozen
        return [i for name, i in self.instances.items() if name not in failed]

    def kill(self, names):
        """Kill instances without notice."""
        for name in names:
            self.dead.add(name)
            self.fleet.kill(name)
            self.instances[name].stop()

    def cut(self, zone):
        """Cut a zone off from the store and from all other zones."""
        self.cut_zone = zone
        self.fleet.partition_zone(zone)
        self.store.silent |= self.instances_in(zone)

    def heal(self):
        """Reconnect the zone that is cut off."""
        self.store.silent -= self.instances_in(self.cut_zone)
        self.fleet.heal()
        self.cut_zone = ""

    def instances_in(self, zone):
        """Return the ids of the instances in a zone."""
        return {n for n, i in self.instances.items() if i.peers.own.zone == zone}

    def known_values(self):
        """Return the values of the configuration in the views of live instances."""
        return {instance.value(KEY) for instance in self.live_instances()}

    def close(self):
        """Stop all instances."""
        for instance in self.instances.values():
            instance.stop()


def refuse(simulation, names):
    """Have the store stop responding to instances."""
    simulation.store.refused |= names


def freeze(simulation, names):
    """Freeze instances."""
    simulation.frozen |= names


def kill(simulation, names):
    """Kill instances."""
    simulation.kill(names)


def pick_silent(simulation):
    """Return instances that the store turns away, with the next readers of all zones.

    In small zones the instance that is ranked last keeps the store.
    """
    silent = set()
    in_rank_order = [
        rank_owners(instance.peers, STORE, zone)
        for zone in ZONES
        for instance in simulation.live_instances()[:1]
    ]
    count = int(SILENT_FRACTION * len(simulation.instances))
    for place in range(len(simulation.instances)):
        for ranked in in_rank_order:
            if place < len(ranked) - 1 and len(silent) < count:
                silent.add(ranked[place])
    return silent


def advance_in_steps(seconds):
    """Advance the clock in steps, since a large fleet fires many timers."""
    for _ in range(round(seconds / START_STEP_S)):
        advance(START_STEP_S)


def replay_changes(simulation, in_force):
    """Change the configuration in quick succession.

    Returns:
        Number of versions in use that were older than the one that was written
        ``in_force`` seconds before, summed over all checks. Instances that use the same
        outdated version count once.
    """
    late = 0
    versions = {}
    for number in range(CHANGES):
        simulation.store.write(KEY, str(number + 2).encode())
        versions[number] = number + 2
        advance(CHANGE_INTERVAL_S)
        due = versions.get(number + 1 - round(in_force / CHANGE_INTERVAL_S), 1)
        late += sum(int(value) < due for value in simulation.known_values())
    return late


class FollowingTest(unittest.TestCase):
    """A simulated fleet in four zones."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def start_simulation(self, size, bound=BOUND_S):
        """Start the simulation of a fleet."""
        simulation = FleetSimulation(size, bound)
        self.addCleanup(simulation.close)
        return simulation

    @parameterized.expand([("small", 8), ("large", 32)])
    def test_calls_to_the_store_do_not_grow_with_the_fleet(self, _, size):
        """Guards against each instance of a large fleet watching the store."""
        simulation = self.start_simulation(size)
        before = simulation.store.calls
        for second in range(int(OBSERVED_S)):
            simulation.store.write("servers/t", b"%d" % second)
            advance(1.0)
        rate = (simulation.store.calls - before) / OBSERVED_S
        self.assertLess(rate, 2.5 * len(ZONES))
        self.assertEqual(simulation.known_values(), {b"1"})

    def test_a_starting_fleet_lists_the_store_once_per_instance(self):
        """Guards against watches by all instances before they know their readers."""
        size = 32
        simulation = self.start_simulation(size)
        watches = 1 + READER_RATE * (START_S + DISCOVERY_S)
        self.assertLessEqual(simulation.store.calls, size + watches * len(ZONES))
        self.assertEqual(len(simulation.store.watchers), len(ZONES))

    def test_an_idle_fleet_keeps_its_readers(self):
        """Guards against changes of the reader because the store does not change."""
        simulation = self.start_simulation(32)
        before = simulation.store.calls
        advance(OBSERVED_S)
        rate = (simulation.store.calls - before) / OBSERVED_S
        self.assertLess(rate, READER_RATE * len(ZONES))
        self.assertEqual(len(simulation.store.watchers), len(ZONES))

    def test_readers_whose_watch_is_reset_are_kept(self):
        """Guards against a fleet that reads the store itself after one reset watch."""
        simulation = self.start_simulation(32)
        simulation.store.resets |= set().union(*simulation.readers().values())
        before = simulation.store.calls
        advance(OBSERVED_S)
        rate = (simulation.store.calls - before) / OBSERVED_S
        self.assertFalse(simulation.store.resets)
        self.assertLess(rate, READER_RATE * len(ZONES))
        self.assertEqual(len(simulation.store.watchers), len(ZONES))

    @parameterized.expand([("small", 8), ("large", 32)])
    def test_each_zone_has_one_reader(self, _, size):
        for readers in self.start_simulation(size).readers().values():
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
    def test_a_change_takes_effect_when_all_readers_are_lost(
        self, _, fail_readers, size
    ):
        """Guards against zones that get no changes once their readers are lost."""
        simulation = self.start_simulation(size)
        readers = set().union(*simulation.readers().values())
        fail_readers(simulation, readers)
        simulation.store.write(KEY, b"2")
        advance(IN_FORCE_S)
        self.assertEqual(simulation.known_values(), {b"2"})

    @parameterized.expand(
        [
            ("tight_small", 8, 2.0),
            ("tight_large", 66, 2.0),
            ("small", 8, 3.0),
            ("large", 66, 3.0),
            ("wide_large", 66, 4.0),
        ]
    )
    def test_changes_take_effect_while_the_store_is_silent_to_readers(
        self, _, size, bound
    ):
        """Guards against silent readers whose time-outs add up beyond the bound."""
        simulation = self.start_simulation(size, bound)
        simulation.store.silent |= pick_silent(simulation)
        oldest = replay_changes(simulation, bound - MARGIN_S)
        self.assertEqual(oldest, 0)

    @parameterized.expand([("usual", LINK_DELAY_S), ("slow", 0.2)])
    def test_a_view_lacks_no_change_from_before_its_confirmation(self, _, link_delay):
        """Guards against views that count the way of a response as confirmed.

        An instance behind a slow link would look for another source too late.
        """
        simulation = self.start_simulation(8)
        simulation.link_delay = link_delay
        for number in range(30):
            # At varying times after the reader has confirmed its view.
            advance(0.5 + 0.02 * number)
            simulation.store.write(KEY, b"%d" % number)
            written_at = now()
            for _ in range(10):
                advance(0.03)
                early = [
                    instance
                    for instance in simulation.live_instances()
                    if instance.view.confirmed_at > written_at
                    and int(instance.value(KEY)) < number
                ]
                self.assertEqual(early, [])

    def test_an_outage_of_the_store_does_not_multiply_its_calls(self):
        """Guards against a fleet whose instances all retry a store that is down."""
        size = 32
        simulation = self.start_simulation(size)
        simulation.store.silent |= set(simulation.instances)
        before = simulation.store.calls
        for _ in range(int(OBSERVED_S)):
            advance(1.0)
        rate = (simulation.store.calls - before) / OBSERVED_S
        self.assertLess(rate, 0.5 * size)
        simulation.store.silent.clear()
        simulation.store.write(KEY, b"2")
        advance(STABLE_WINDOW_S)
        self.assertEqual(simulation.known_values(), {b"2"})

    @parameterized.expand(
        [
            ("silent_small", "silent", 7, 12.0),
            ("silent_large", "silent", 32, 12.0),
            ("refused_small", "refused", 7, 12.0),
            ("refused_large", "refused", 32, 12.0),
            ("silent_briefly", "silent", 7, 4.5),
            ("refused_briefly", "refused", 7, 4.5),
        ]
    )
    def test_changes_take_effect_as_soon_as_the_store_is_back(
        self, _, how, size, seconds
    ):
        """Guards against routes refused as unknown after an outage of the store."""
        simulation = self.start_simulation(size)
        away = getattr(simulation.store, how)
        away |= set(simulation.instances)
        advance_in_steps(seconds)
        away.clear()
        simulation.store.write(KEY, b"2")
        advance(0.04)
        simulation.store.write(KEY, b"3")
        advance(IN_FORCE_S)
        self.assertEqual(simulation.known_values(), {b"3"})

    def test_a_change_takes_effect_when_the_store_lost_its_history(self):
        """Guards against a reader that stays behind when the history is dropped."""
        simulation = self.start_simulation(8)
        simulation.store.write("servers/t", b"1")
        simulation.store.history_start = simulation.store.revision + 1
        simulation.store.write(KEY, b"2")
        advance(IN_FORCE_S)
        self.assertEqual(simulation.known_values(), {b"2"})

    @parameterized.expand([("small", 8, 2.0), ("large", 32, 2.0), ("wide", 32, 4.0)])
    def test_a_change_takes_effect_while_watches_are_silent(self, _, size, bound):
        """Guards against a view that waits for watches of a store that compacts."""
        simulation = self.start_simulation(size, bound)
        simulation.store.is_deaf = True
        simulation.store.write(KEY, b"2")
        advance(bound - MARGIN_S)
        self.assertEqual(simulation.known_values(), {b"2"})

    def test_a_new_reader_reports_earlier_deletions(self):
        """Guards against targets that stay listed because no deletion is reported."""
        store = FakeStore()
        store.write("servers/t", b"1")
        old = View(FakeDialect(), STUB)
        old.replace([*store.entries.values()], store.position, source="store")
        store.write("servers/t", None)
        store.write(KEY, b"1")
        new = View(FakeDialect(), STUB)
        live = [e for e in store.entries.values() if e.value is not None]
        new.replace(live, store.position, source="store")
        changes = new.changes_since(old.position)
        self.assertTrue(changes.is_snapshot)
        old.replace(changes.entries, new.position, source="peer")
        keys = {e.key for e in old.changes_since(BEFORE_ALL).entries}
        self.assertEqual(keys, {KEY})


class PickReaderTest(unittest.TestCase):
    """The instance from which another one receives changes of the store."""

    @parameterized.expand(
        [
            ("nobody_known", [], [], None),
            ("itself", ["me", "x"], [], None),
            ("another", ["x", "me"], [], "x"),
            ("the_first_is_avoided", ["x", "y", "me"], ["x"], "y"),
            ("itself_next", ["x", "me", "y"], ["x"], None),
            ("itself_avoided", ["me", "x", "y"], ["me"], "x"),
            ("two_tried_in_vain", ["x", "y", "z"], ["x", "y"], None),
            ("refused_itself", ["x", "y", "z", "me"], ["x", "y", "me"], "z"),
        ]
    )
    def test_pick(self, _, ranked, avoided, expected):
        self.assertEqual(pick_reader(ranked, "me", avoided), expected)

    @parameterized.expand(
        [
            ("reads_itself", ["x", "me"], [], None),
            ("unless_the_store_refused_it", ["x", "me"], ["me"], "x"),
        ]
    )
    def test_pick_with_an_overdue_view(self, _, ranked, avoided, expected):
        """Guards against waiting for a silent reader while the bound expires."""
        picked = pick_reader(ranked, "me", avoided, is_overdue=True)
        self.assertEqual(picked, expected)
