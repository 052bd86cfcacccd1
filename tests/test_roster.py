"""Tests for the roster, which caches sums over the heartbeats of live instances."""

import unittest
from unittest import mock

from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.roster import Roster
from bergamotsaddle_serving.stage_waits import StageWaits
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests._paused import advance, use_paused_clock

FLEET_SIZE = 40
ZONES = ("a", "b", "c", "d")
SERVICES = ("encode", "retrieve", "rerank")
PLACES = (0, 1)
START_S = 0.3
DISCOVERY_S = 1.0


def make_waits(peers):
    """Return stage wait forecasts with one known target of each service per zone."""
    known = [mock.Mock(target=mock.Mock(zone=zone)) for zone in ZONES]
    view = mock.Mock()
    view.usable.return_value = known
    owner = mock.Mock()
    owner.scopes.of.side_effect = lambda service, zone: zone
    owner.loads.return_value = {}
    waits = StageWaits(view, peers, owner)
    waits._unknown_load = mock.Mock(
        return_value=mock.Mock(drain=0.1, call=0.2, rate=10.0)
    )
    return waits


class RequestCostTest(unittest.TestCase):
    """The cost of a request and of a heartbeat in a large fleet."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.fleet = PeerFleet(FLEET_SIZE)
        self.fleet.start(within=START_S)
        advance(START_S + DISCOVERY_S)
        self.peers = next(iter(self.fleet))

    def test_a_request_iterates_over_the_fleet_once(self):
        """Guards against an iteration over all instances for each decision."""
        waits = make_waits(self.peers)
        with mock.patch.object(Peers, "alive", autospec=True) as alive:
            alive.return_value = list(self.peers.by_id.values())
            for zone in ZONES:
                for service in SERVICES:
                    for place in PLACES:
                        waits.best_scope(service, zone, place)
        self.assertLessEqual(alive.call_count, 1)

    def test_an_owner_that_falls_silent_is_dropped_at_once(self):
        """Guards against a cached roster that outlives the state of an owner."""
        owner = rank_owners(self.peers, "encode", "b")[0]
        self.peers.suspect(owner)
        self.assertNotEqual(rank_owners(self.peers, "encode", "b")[0], owner)

    def test_a_heartbeat_is_encoded_once_per_round(self):
        """Guards against encoding the same heartbeat for each receiver."""
        with mock.patch(
            "bergamotsaddle_serving.peers.encode", return_value=b""
        ) as encode:
            sent = self.peers.sent
            self.peers._send_bytes = mock.Mock()
            self.peers.send_heartbeats()
        self.assertEqual(encode.call_count, 1)
        self.assertGreater(self.peers._send_bytes.call_count, 1)
        self.assertEqual(self.peers.sent, sent)


class RosterTest(unittest.TestCase):
    """Sums over the heartbeats of instances."""

    def test_pending_pieces_are_summed_by_queue(self):
        reported = [
            [("encode", "a", [1, 0, 2, 0, 0, 0])],
            [("encode", "a", [0, 3, 0, 0, 0, 0])],
            [("rerank", "b", [5, 0, 0, 0, 0, 0])],
        ]
        heartbeats = [
            mock.Mock(pending=pending, running={}, prefill_tokens={})
            for pending in reported
        ]
        roster = Roster(
            heartbeats, [], min_cores_fraction=0.5, region=lambda zone: zone
        )
        self.assertEqual(
            roster.pending_by_queue,
            {("encode", "a"): [1, 3, 2, 0, 0, 0], ("rerank", "b"): [5, 0, 0, 0, 0, 0]},
        )

    def test_owners_are_picked_again_once_a_candidate_changes(self):
        """Guards against owners that outlive the candidates they were picked from."""
        one, other = Contact("i1", "a", "h1"), Contact("i2", "a", "h2")
        earlier = None
        for candidates, owners in (
            ([(one, 2.0), (other, 0.5)], ["i1"]),
            ([(one, 2.0), (other, 0.5)], ["i1"]),
            ([(one, 2.0), (other, 1.5)], ["i1", "i2"]),
            ([(other, 1.5)], ["i2"]),
            ([(one, 2.0), (other, 0.5)], ["i1"]),
        ):
            earlier = Roster(
                [],
                candidates,
                min_cores_fraction=0.5,
                region=lambda zone: zone,
                earlier=earlier,
            )
            with self.subTest(candidates=candidates):
                self.assertEqual(earlier.owners("a"), owners)
