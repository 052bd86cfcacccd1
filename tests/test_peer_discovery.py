"""How instances find each other after a restart of a whole fleet."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.server import SETTLE_S
from tests._paused import advance, use_paused_clock
from tests._peer_fleet import PeerFleet

START_S = 0.3


class DiscoveryTest(unittest.TestCase):
    """Instances that know only the seeds."""

    def setUp(self):
        # Green threads of fleets that are done would go on with the clock.
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    @parameterized.expand([("small", 7), ("large", 66)])
    def test_a_restarted_fleet_agrees_on_owners_when_it_takes_work(self, _, size):
        """Guards against two owners of a queue that call the same targets."""
        fleet = PeerFleet(size)
        fleet.start(within=START_S)
        advance(START_S + SETTLE_S)
        for service in ("encode", "retrieve", "rerank"):
            owners = {rank_owners(peers, service, "r")[0] for peers in fleet}
            self.assertEqual(len(owners), 1)
        self.assertEqual({len(peers.alive()) for peers in fleet}, {size - 1})
