"""What the living instances told, worked out once for many questions."""

import unittest
from unittest import mock

from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.roster import Roster
from bergamotsaddle_serving.stage_waits import StageWaits
from bergamotsaddle_standins.peer_fleet import PeerFleet
from tests._paused import advance, use_paused_clock

FLEET = 40
ZONES = ("a", "b", "c", "d")
SERVICES = ("encode", "retrieve", "rerank")
TURNS = (0, 1)
START_S = 0.3
MEET_S = 1.0


def make_waits(peers):
    """Expected times of stages with three targets of each service in each zone."""
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
    """A request that comes to one instance of a large fleet."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.fleet = PeerFleet(FLEET)
        self.fleet.start(within=START_S)
        advance(START_S + MEET_S)
        self.peers = next(iter(self.fleet))

    def test_a_request_costs_one_walk_over_the_fleet(self):
        """Guards against decisions that cost a walk over all instances each."""
        waits = make_waits(self.peers)
        with mock.patch.object(Peers, "alive", autospec=True) as alive:
            alive.return_value = list(self.peers.by_id.values())
            for zone in ZONES:
                for service in SERVICES:
                    for turn in TURNS:
                        waits.best_scope(service, zone, turn)
        self.assertLessEqual(alive.call_count, 1)

    def test_an_owner_that_falls_silent_is_left_at_once(self):
        """Guards against a roster that outlives what is known of an owner."""
        owner = rank_owners(self.peers, "encode", "b")[0]
        self.peers.suspect(owner)
        self.assertNotEqual(rank_owners(self.peers, "encode", "b")[0], owner)

    def test_a_heartbeat_is_encoded_once_a_round(self):
        """Guards against the cost of a heartbeat for each instance that gets it."""
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
    """Sums over what instances told."""

    def test_coming_pieces_are_summed_by_queue(self):
        told = [
            mock.Mock(pending=[("encode", "a", [1, 0, 2, 0, 0, 0])]),
            mock.Mock(pending=[("encode", "a", [0, 3, 0, 0, 0, 0])]),
            mock.Mock(pending=[("rerank", "b", [5, 0, 0, 0, 0, 0])]),
        ]
        roster = Roster(told, [], min_cores_fraction=0.5, region=lambda zone: zone)
        self.assertEqual(
            roster.pending_by_queue,
            {("encode", "a"): [1, 3, 2, 0, 0, 0], ("rerank", "b"): [5, 0, 0, 0, 0, 0]},
        )
