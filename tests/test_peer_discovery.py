"""How the instances of a large fleet discover and lose each other."""

import unittest

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.server import SETTLE_S
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests._paused import advance, use_paused_clock

START_S = 0.3


class DiscoveryTest(unittest.TestCase):
    """Instances that know only the seeds at their start."""

    def setUp(self):
        # Green threads of fleets of earlier tests would run on with the clock.
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    @parameterized.expand([("small", 7), ("large", 66)])
    def test_a_restarted_fleet_agrees_on_owners_when_it_accepts_work(self, _, size):
        """Guards against two owners of a queue that call the same targets."""
        fleet = PeerFleet(size)
        fleet.start(within=START_S)
        advance(START_S + SETTLE_S)
        for service in ("encode", "retrieve", "rerank"):
            self.assertEqual(len(fleet.owners(service)), 1)
        self.assertEqual(fleet.min_known_peers(), size - 1)


class LargeFleetTest(unittest.TestCase):
    """A fleet in which peers count as alive for seconds after their last message."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.fleet = PeerFleet(66)
        self.fleet.start(within=START_S)
        advance(START_S + SETTLE_S)


class LossTest(LargeFleetTest):
    """An instance in a zone that is cut off from the other zones."""

    def setUp(self):
        super().setUp()
        self.inside = next(peers for peers in self.fleet if peers.own.zone == "c")

    def owner(self):
        """Return the owner of a queue as an instance of zone c sees it."""
        return rank_owners(self.inside, "encode", "r")[0]

    def zone_of(self, owner):
        """Return the zone of an instance."""
        if owner == self.inside.own.id:
            return self.inside.own.zone
        return self.inside.by_id[owner].contact.zone

    def test_a_heartbeat_request_is_answered_at_once(self):
        """Guards against zones that seem unreachable between two heartbeat rounds."""
        for peers in self.fleet:
            peers.send_heartbeats = lambda: None
        advance(1.0)
        self.inside.request_heartbeat("a")
        advance(0.01)
        self.assertGreaterEqual(self.inside.zone_last_seen_at("a"), now() - 0.01)

    def test_an_owner_beyond_a_cut_is_not_asked(self):
        """Guards against waiting for owners of a zone that is known to be cut off."""
        self.fleet.partition_zone("c")
        advance(SETTLE_S)
        self.inside.is_zone_unreachable = lambda zone: zone != "c"
        self.assertEqual(self.zone_of(self.owner()), "c")

    def test_an_unresponsive_owner_is_not_asked_before_its_next_heartbeat(self):
        """Guards against requests that each wait for the same dead owner."""
        self.fleet.partition_zone("c")
        unresponsive = set()
        while self.zone_of(self.owner()) != "c":
            unresponsive.add(self.owner())
            self.inside.suspect(self.owner())
        self.assertTrue(unresponsive)
        advance(2.0)
        self.assertNotIn(self.owner(), unresponsive)
        self.fleet.heal()
        advance(3.0)
        self.assertEqual(self.fleet.owners("encode"), {self.owner()})


class OwnerFailureTest(LargeFleetTest):
    """An owner of a queue that fails, or is only reported to."""

    def setUp(self):
        super().setUp()
        self.owner = next(iter(self.fleet.owners("encode")))

    def other(self):
        """Return an instance that is not the owner."""
        return next(peers for peers in self.fleet if peers.own.id != self.owner)

    def test_all_replace_a_dead_owner_that_one_instance_suspects(self):
        """Guards against seconds in which the owner's successor reports no load."""
        self.fleet.kill(self.owner)
        self.other().suspect(self.owner)
        advance(2.0)
        living = [peers for peers in self.fleet if peers.own.id != self.owner]
        owners = {rank_owners(peers, "encode", "r")[0] for peers in living}
        self.assertEqual(len(owners), 1)
        self.assertNotIn(self.owner, owners)

    def test_all_replace_an_owner_that_stops_at_once(self):
        """Guards against pieces that are sent to an owner which is stopping."""
        owner = next(peers for peers in self.fleet if peers.own.id == self.owner)
        owner.accepts_work = False
        advance(0.5)
        self.assertNotIn(self.owner, self.fleet.owners("encode"))

    def test_a_suspected_owner_that_is_alive_is_not_replaced(self):
        """Guards against a lost datagram that changes the owner for the whole fleet."""
        self.other().suspect(self.owner)
        owners = set()
        for _ in range(20):
            advance(0.1)
            owners |= {
                rank_owners(peers, "encode", "r")[0]
                for peers in self.fleet
                if peers is not self.other()
            }
        self.assertEqual(owners, {self.owner})

    def test_an_instance_that_receives_its_pieces_takes_over(self):
        """Guards against a successor that waits for heartbeats of the dead owner."""
        self.fleet.kill(self.owner)
        successor = self.other()
        advance(0.6)
        successor.verify(self.owner)
        advance(0.4)
        self.assertFalse(successor.is_alive(self.owner))
