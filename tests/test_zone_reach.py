"""Zones that are cut off, and zones whose instances merely stopped."""

import unittest
from unittest import mock

import eventlet
import msgspec

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.budget import ColdRateLimiter
from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import StoreEntry
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.selector import Selector
from bergamotsaddle_serving.target_totals import TargetTotals
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.zone_reach import ZoneReach
from tests._paused import advance
from tests._stages import BATCHING, target_entry

CONFIG = {
    "version": 1,
    "routes": [],
    "services": [{"name": "encode", "pieces": BATCHING}],
}


class ZoneReachTest(unittest.TestCase):
    """An instance in zone a, and two targets in zone b."""

    def setUp(self):
        dialect = PlatformDialect()
        self.view = View(dialect, mock.Mock())
        config = StoreEntry("op/config", 1, msgspec.json.encode(CONFIG))
        entries = [
            config,
            target_entry("t1", "encode", 81, "b"),
            target_entry("t2", "encode", 82, "b"),
        ]
        entries.append(target_entry("t3", "encode", 83))
        self.view.apply(entries, 83, source="test")
        self.dead = set()
        self.pool = mock.Mock()
        self.pool.acquire.side_effect = self._take
        self.peers = mock.Mock(own=Contact("me", "a", "127.0.0.1"))
        self.peers.alive.return_value = []
        self.peers.totals.return_value = TargetTotals()
        self.heard_at = now()
        self.peers.zone_last_seen_at.side_effect = lambda zone: self.heard_at
        self.reach = ZoneReach(self.view, self.peers, self.pool, dialect, mock.Mock())
        self.thread = eventlet.spawn(self.reach.run)
        self.addCleanup(self.thread.kill)

    def _take(self, address, limit):
        if address.port in self.dead:
            eventlet.sleep(limit)
            raise ConnectionLostError("connect", is_unsent=True)
        return mock.Mock()

    def test_a_zone_that_is_cut_off_gets_nothing_until_it_is_back(self):
        """A zone is cut off; its targets' entries stay as they were.

        Each request that is sent there is lost for up to two seconds, and callers see
        their requests end late or not at all.
        """
        changes = mock.Mock()
        self.reach.subscribe(changes)
        self.dead = {81, 82}
        advance(1.2)
        self.assertTrue(self.reach.is_lost("b"))
        selector = Selector(
            self.view,
            Health(),
            self.peers,
            ColdRateLimiter(lambda: 3),
            self.reach,
            mock.Mock(wait=lambda target: 0.0),
        )
        found = selector.candidates("encode", set())
        self.assertEqual([c.target.id for c in found], ["t3"])
        found = selector.candidates("encode", {"t3"})
        self.assertEqual(found, [], "refused at once, not tried in vain")
        self.heard_at = now()
        advance(0.3)
        self.assertFalse(self.reach.is_lost("b"))
        self.assertEqual(changes.call_count, 2)

    def test_a_zone_whose_instances_stopped_is_not_lost(self):
        """All instances of a zone stop, and one of its targets has crashed.

        The other targets still answer; without them a third of what can be done would
        lie idle until the instances are back.
        """
        self.dead = {81}
        advance(5.0)
        self.assertFalse(self.reach.is_lost("b"))

    def test_a_zone_that_is_silent_by_chance_is_not_probed(self):
        """Guards against probes whenever the heartbeats of a large fleet pause."""

        def hear(_):
            self.heard_at = now()

        self.peers.request_heartbeat.side_effect = hear
        advance(10.0)
        self.peers.request_heartbeat.assert_called_with("b")
        self.pool.acquire.assert_not_called()

    def test_a_lost_zone_is_probed_less_and_less(self):
        """Guards against thousands of probes by a large fleet during a cut."""
        self.dead = {81, 82}
        advance(10.0)
        self.assertTrue(self.reach.is_lost("b"))
        self.assertLess(self.pool.acquire.call_count, 10)

    def test_an_instance_that_starts_listens_first(self):
        """Guards against probes by all instances of a fleet that is restarted."""
        self.heard_at = float("-inf")
        advance(0.4)
        self.pool.acquire.assert_not_called()

    def test_the_own_zone_is_never_asked(self):
        self.dead = {81, 82, 83}
        advance(5.0)
        self.assertFalse(self.reach.is_lost("a"))
