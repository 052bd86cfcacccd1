"""Places that owners grant to the instances of a fleet, and failures of owners."""

import random
import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead, TargetLoad
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.placement_exchange import (
    PlacementExchange,
    PlacementRefusedError,
)
from bergamotsaddle_serving.policy import Mechanism, Policy
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_standins.peer_fleet import REGION, ZONES, PeerFleet
from tests._paused import advance, settle, use_paused_clock

SIZE = 9
SERVICE = "s"
SLOTS = 2
TARGETS = 3
ROOM = TARGETS * (SLOTS + 1)
WORK_S = 0.05
ROUTE = Route("r", "h", "/", Kind.ONCE, 9.0, 0.3, 1, 0, (Share(SERVICE, 1.0),))
LOCAL = "local"
REFUSED = "refused"


class Instance:
    """One instance with the targets as it observes them.

    Args:
        peers: Its peers.
        targets: All targets.
        policy: Enabled mechanisms.
    """

    def __init__(self, peers, targets, policy):
        self.peers = peers
        self.targets = list(targets)
        self.health = Health()
        self.logger = mock.Mock()
        reporting = ReportingServices()
        reporting.record(SERVICE)
        selector = SimpleNamespace(
            targets=lambda service: self.targets, candidates=self.candidates
        )
        self.exchange = PlacementExchange(
            peers, selector, reporting, self.logger, policy
        )

    def candidates(self, service, exclude):
        """Return the targets as candidates."""
        return [
            Candidate(target, self.health.of(target), False, 0)
            for target in self.targets
            if target.id not in exclude
        ]

    def place(self, *, remaining=1.0, urgency=0, exclude=()):
        """Request a place; return it, or the word for what came instead."""
        context = Context(
            RequestHead("q", b"GET", b"/", "h", "", 9.0),
            b"",
            ROUTE,
            Service(SERVICE, 10),
            None,
            now(),
            now() + remaining,
            1,
            urgency,
            Progress(),
        )
        try:
            return self.exchange.place(context, set(exclude)) or LOCAL
        except PlacementRefusedError:
            return REFUSED

    def run(self, place, *, seconds=WORK_S, slowdown=1.0):
        """Run a placed request, and report what the target said."""
        started_at = now()
        eventlet.sleep(seconds)
        load = TargetLoad(1, 0, SLOTS, slowdown)
        place.candidate.state.record_load(load)
        place.end(seconds, since=started_at)


class PlacementTest(unittest.TestCase):
    """Requests at the instances of one region."""

    def setUp(self):
        use_paused_clock()
        random.seed(1)
        self.policy = Policy()
        self.start()

    def start(self):
        """Start the fleet."""
        self.targets = [
            Target(f"t{n}", SERVICE, Address("10.0.0.1", n), ZONES[n], SLOTS)
            for n in range(TARGETS)
        ]
        self.fleet = PeerFleet(SIZE)
        self.instances = [
            Instance(peers, self.targets, self.policy) for peers in self.fleet
        ]
        self.fleet.start(within=0.1)
        advance(2.0)

    @property
    def owner(self):
        """The instance that owns the queue."""
        peers = self.instances[0].peers
        owner = rank_owners(peers, SERVICE, REGION)[0]
        return next(i for i in self.instances if i.peers.own.id == owner)

    @property
    def others(self):
        """The other instances."""
        return [i for i in self.instances if i is not self.owner]

    def place(self, instance, *, within=0.02, **options):
        """Request a place; return what came within some seconds, None before."""
        results = []
        eventlet.spawn_n(lambda: results.append(instance.place(**options)))
        advance(within)
        return results[0] if results else None

    def fill(self):
        """Take all places; return them with their instances."""
        others = self.others
        taken = []
        for number in range(ROOM):
            instance = others[number % len(others)]
            taken.append((instance, self.place(instance, within=0.01)))
        return taken


class GrantTest(PlacementTest):
    """Owners that respond."""

    def test_requests_of_all_instances_are_spread(self):
        """Guards against a herd of instances that know too late of each other."""
        names = [place.candidate.target.id for _, place in self.fill()]
        for target in self.targets:
            self.assertEqual(names.count(target.id), SLOTS + 1)

    def test_a_request_waits_until_a_place_is_free(self):
        taken = self.fill()
        instance = self.others[0]
        results = []
        eventlet.spawn_n(lambda: results.append(instance.place()))
        advance(0.02)
        self.assertEqual(results, [])
        taken[0][1].end()
        advance(0.02)
        self.assertEqual(
            results[0].candidate.target.id, taken[0][1].candidate.target.id
        )

    def test_the_owner_places_its_own_requests(self):
        place = self.place(self.owner)
        self.assertEqual(self.owner.exchange.running, 1)
        place.end()
        self.assertEqual(self.owner.exchange.running, 0)

    def test_a_burst_is_refused_at_once(self):
        """Guards against callers that wait for what can't be served."""
        self.fill()
        results = []
        for _ in range(20):
            for instance in self.others:
                eventlet.spawn_n(lambda i=instance: results.append(i.place()))
        advance(0.03)
        self.assertGreater(results.count(REFUSED), 100)
        self.assertEqual(results.count(LOCAL), 0)

    def test_the_end_of_a_run_teaches_the_owner(self):
        instance = self.others[0]
        place = self.place(instance)
        run = {"seconds": 4.0 * WORK_S, "slowdown": 4.0}
        eventlet.spawn_n(lambda: instance.run(place, **run))
        advance(0.25)
        places = [self.place(instance, within=0.006) for _ in range(SLOTS + 1)]
        names = {place.candidate.target.id for place in places}
        self.assertNotIn(place.candidate.target.id, names)

    def test_a_caller_that_leaves_gives_its_place_in_the_order_back(self):
        """Guards against places that nobody uses."""
        self.fill()
        thread = eventlet.spawn(self.others[0].place)
        advance(0.02)
        self.assertEqual(self.owner.exchange.waiting, 1)
        thread.kill()
        settle()
        advance(0.01)
        self.assertEqual(self.owner.exchange.waiting, 0)

    def test_excluded_targets_are_not_granted(self):
        place = self.place(self.others[0], exclude=("t0", "t2"))
        self.assertEqual(place.candidate.target.id, "t1")

    def test_no_target_at_all_is_left_to_the_instance(self):
        self.assertEqual(self.place(self.others[0], exclude=("t0", "t1", "t2")), LOCAL)

    def test_a_lost_report_of_an_end_frees_the_place_in_time(self):
        """Guards against places that are taken for ever."""
        self.fill()
        advance(1.1)
        self.assertIsNot(self.place(self.others[0]), None)
        self.assertEqual(self.owner.exchange.running, 1)


class FailedOwnerTest(PlacementTest):
    """Owners that do not respond, or lose what they knew."""

    def test_requests_of_a_killed_owner_are_placed_locally(self):
        """Guards against callers that wait for a dead owner."""
        owner = self.owner
        instance = self.others[0]
        self.fleet.kill(owner.peers.own.id)
        self.assertEqual(self.place(instance, within=0.09), LOCAL)
        self.assertEqual(self.place(instance, within=0.001), LOCAL)

    def test_the_next_owner_takes_over(self):
        """Guards against a service that stays without an owner."""
        owner = self.owner
        self.fleet.kill(owner.peers.own.id)
        advance(3.0)
        instance = next(i for i in self.instances if i is not owner)
        place = self.place(instance, within=0.09)
        self.assertNotEqual(place, LOCAL)

    def test_a_request_that_waits_at_a_killed_owner_goes_on(self):
        """Guards against requests that wait for a place until their deadline."""
        self.fill()
        instance = self.others[0]
        results = []
        eventlet.spawn_n(lambda: results.append(instance.place(remaining=3.0)))
        advance(0.02)
        self.fleet.kill(self.owner.peers.own.id)
        advance(0.25)
        self.assertEqual(results, [LOCAL])

    def test_an_owner_that_is_paused_for_two_seconds(self):
        """Guards against callers that wait for an owner that stands still."""
        owner = self.owner
        host = owner.peers.own.host
        instances = self.others
        self.fleet._running_hosts.discard(host)
        results = [self.place(instance, within=0.09) for instance in instances]
        self.assertEqual(set(results), {LOCAL})
        advance(2.0)
        self.fleet._running_hosts.add(host)
        advance(2.0)
        self.assertNotEqual(self.place(instances[0]), LOCAL)

    def test_an_owner_whose_responses_are_lost(self):
        """Guards against a link that is cut in one direction."""
        owner = self.owner
        instance = self.others[0]
        owner.peers._transmit = lambda *_: None
        self.assertEqual(self.place(instance, within=0.09), LOCAL)
        advance(1.5)
        self.assertEqual(owner.exchange.running, 0)

    def test_one_lost_response_is_repeated(self):
        owner = self.owner
        instance = self.others[0]
        transmit = owner.peers._transmit
        owner.peers._transmit = lambda *_: None
        eventlet.spawn_after(0.02, setattr, owner.peers, "_transmit", transmit)
        place = self.place(instance, within=0.07)
        self.assertNotEqual(place, LOCAL)
        self.assertEqual(owner.exchange.running, 1)

    def test_both_sides_of_a_cut_place(self):
        """Guards against a zone that can't be served while it is cut off."""
        self.fleet.partition_zone(ZONES[0])
        advance(3.0)
        inside = [i for i in self.instances if i.peers.own.zone == ZONES[0]]
        outside = [i for i in self.instances if i.peers.own.zone != ZONES[0]]
        for instance in [*inside, *outside]:
            place = self.place(instance, within=0.09)
            self.assertNotIn(place, (LOCAL, REFUSED, None))
            place.end()

    def test_a_restart_of_all_refuses_nobody(self):
        """Guards against owners that refuse for lack of knowledge."""
        self.fill()
        self.start()
        results = [self.place(instance) for instance in self.instances[:ROOM]]
        self.assertNotIn(REFUSED, results)
        self.assertNotIn(None, results)


class SwitchTest(PlacementTest):
    """Services that are served as before."""

    def test_a_mechanism_that_is_off(self):
        self.policy = Policy(frozenset([Mechanism.JOINT_PLACEMENT]))
        self.start()
        sent = self.others[0].peers.sent
        self.assertEqual(self.others[0].place(), LOCAL)
        self.assertEqual(self.others[0].peers.sent, sent)

    @parameterized.expand([("reports_nothing",), ("has_many_targets",)])
    def test_a_service_that(self, case):
        """Guards against owners of services that need none."""
        instance = self.others[0]
        if case == "reports_nothing":
            instance.exchange._reporting = ReportingServices()
        else:
            instance.targets *= 20
            instance.targets = [
                target._replace(id=f"t{n}") for n, target in enumerate(instance.targets)
            ]
        sent = instance.peers.sent
        self.assertEqual(instance.place(), LOCAL)
        self.assertEqual(instance.peers.sent, sent)


class ReportTest(PlacementTest):
    """Targets whose reports stop, lie, or come from an earlier incarnation."""

    def run_all(self, seconds, *, slowdown):
        """Run requests at a steady rate; return how many each target got."""
        counts = dict.fromkeys((target.id for target in self.targets), 0)
        instances = self.others

        def serve(instance):
            place = instance.place()
            if place not in (LOCAL, REFUSED):
                name = place.candidate.target.id
                counts[name] += 1
                instance.run(place, slowdown=slowdown(name))

        for number in range(round(seconds / 0.02)):
            eventlet.spawn_n(serve, instances[number % len(instances)])
            advance(0.02)
        return counts

    @parameterized.expand([("million", 1_000_000.0), ("none", None)])
    def test_a_target_that_reports(self, _, figure):
        """Guards against one target's reports that keep requests from it or others."""
        counts = self.run_all(
            6.0, slowdown=lambda name: figure if name == "t0" else 1.0
        )
        mean = sum(counts.values()) / TARGETS
        self.assertGreater(min(counts.values()), 0.5 * mean)
        self.assertLess(max(counts.values()), 1.3 * mean)

    def test_a_new_incarnation_starts_as_usual(self):
        """Guards against the reports of a target's earlier process."""
        self.run_all(1.0, slowdown=lambda name: 5.0 if name == "t0" else 1.0)
        renewed = [target._replace(started_ms=7) for target in self.targets]
        for instance in self.instances:
            instance.targets = renewed
            instance.exchange.keep_only({target.incarnation for target in renewed})
        counts = self.run_all(1.0, slowdown=lambda name: 1.0)
        self.assertGreater(min(counts.values()), 0.7 * sum(counts.values()) / TARGETS)
