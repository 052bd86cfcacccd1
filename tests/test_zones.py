"""Zones taken out and returning, targets leaving: no new work, nothing lost."""

import unittest

from bergamotsaddle_contracts.messages import InstancesQuery
from bergamotsaddle_daemon.request import Request
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, freeze


def call(daemon, seconds: float = 4.0):
    """One repeatable call through a daemon, begun in the background."""
    team = daemon.views.declaration.teams["crews"]
    request = Request(team, "stock", seconds, 5)
    services = daemon.callers._services
    return run_green(lambda: services.call_repeatable(request, "pellets", b"{}"))


class ZoneTest(unittest.TestCase):
    """Three daemons and one target a zone."""

    def setUp(self):
        self.world = FakeFleet(("stock",))
        self.addCleanup(self.world.close)
        self.world.start()
        self.daemon = self.world.daemons["a1"]
        self.target = self.world.targets["stock-a"]

    def take_out(self, zone: str, revision: int = 2):
        self.world.zone_states[zone] = "out"
        self.world.publish(revision)

    def test_zone_taken_out_gets_no_new_work(self):
        self.take_out("a")
        advance(1.5)
        for daemon in self.world.daemons.values():
            for _ in range(5):
                self.assertIsNone(call(daemon).error)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_also_where_the_service_is_out_of_reach(self):
        # The instances of the zone itself can't read the service any more, which
        # may be why the zone is taken out.
        self.world.config.down_readers = {"a1", "b1"}
        self.take_out("a")
        advance(2.0)
        call(self.daemon)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_waiting_request_does_not_go_there(self):
        # A request waits for a place in the zone when the zone is taken out.
        self.target.seconds = 2.0
        for other in ("stock-b", "stock-c"):
            self.world.targets[other].seconds = 2.0
        for target in self.daemon.targets.by_id.values():
            target.limit.value = 1.0
        running = [call(self.daemon) for _ in range(6)]
        self.assertEqual(len(self.target.calls), 1)
        self.take_out("a")
        advance(8.0)
        self.assertEqual(len(self.target.calls), 1)
        self.assertTrue(all(result.done for result in running))

    def test_running_work_is_finished(self):
        self.target.seconds = 3.0
        result = call(self.daemon)
        self.take_out("a")
        advance(4.0)
        self.assertEqual(result.value, b"{}")

    def test_paused_instance_does_not_act_on_its_old_view(self):
        # The process sleeps while the zone is taken out. On waking up it has a
        # request at hand and must learn of the change before sending it.
        self.take_out("a")
        freeze(30.0)
        result = call(self.daemon)
        advance(3.0)
        self.assertEqual(self.target.calls, [])
        self.assertEqual(result.value, b"{}")

    def test_cut_off_instance_serves_its_own_zone_only(self):
        # The zone is cut off from everything. Other zones may have been taken out
        # meanwhile, so even reachable targets there get nothing from here: without
        # reports they count as cold, and their homes can't be asked for permits.
        self.world.config.down = True
        self.world.network.partition(["a1"], ["b1", "c1"])
        advance(8.0)
        result = call(self.daemon)
        advance(0.6)
        self.assertEqual(result.value, b"{}")
        self.target.refuses_connections = True
        result = call(self.daemon)
        advance(5.0)
        self.assertTrue(result.error)
        self.assertEqual(len(self.world.calls("stock")), 1)

    def test_all_zones_out_is_refused_at_once(self):
        for revision, zone in enumerate("abc", start=2):
            self.take_out(zone, revision)
        advance(1.5)
        result = call(self.daemon)
        self.assertEqual(result.error.kind, "no_target")
        self.assertEqual(result.error.ran, "no")

    def test_return_is_a_ramp(self):
        self.take_out("a")
        advance(2.0)
        self.world.zone_states["a"] = "in"
        self.world.publish(3)
        advance(1.0)
        self.assertLess(self.daemon.targets.ramp_fraction("a"), 0.5)
        advance(5.0)
        self.assertEqual(self.daemon.targets.ramp_fraction("a"), 1.0)

    def test_returning_zone_gets_work_step_by_step(self):
        self.take_out("a")
        advance(2.0)
        self.world.zone_states["a"] = "in"
        self.world.publish(3)
        advance(1.0)
        self.target.seconds = 30.0
        for _ in range(16):
            call(self.daemon)
        self.assertLess(len(self.target.calls), 4)


class RedeclareTest(unittest.TestCase):
    """A target whose declaration changes while it works."""

    def test_changed_limit_keeps_what_is_known(self):
        # Operators raise a limit at dawn. The target must neither seem cold for a
        # moment nor lose count of what runs there.
        world = FakeFleet(("stock",), target_lines="limit = 8")
        self.addCleanup(world.close)
        world.start()
        daemon = world.daemons["a1"]
        world.targets["stock-a"].seconds = 3.0
        running = call(daemon)
        world.target_lines = "limit = 30"
        world.publish(2)
        advance(0.3)
        target = daemon.targets.by_id["stock-a"]
        self.assertEqual(target.declared.limit, 30)
        self.assertEqual(target.limit.value, 10.0)
        self.assertEqual(target.in_flight, 1)
        self.assertFalse(target.is_cold())
        advance(3.0)
        self.assertEqual(running.value, b"{}")
        self.assertEqual(target.in_flight, 0)


class LeavingTest(unittest.TestCase):
    """A target that leaves."""

    def setUp(self):
        self.world = FakeFleet(("stock",))
        self.addCleanup(self.world.close)
        self.world.start()
        self.target = self.world.targets["stock-a"]

    def test_gets_no_new_work(self):
        self.world.publish_list(leaving=("stock-a",))
        advance(1.5)
        for daemon in self.world.daemons.values():
            call(daemon)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_also_where_the_list_lags(self):
        # One instance's view of the list lags behind the others'.
        old = self.world.instance_list.payload
        self.world.instance_list.payload_by_reader = {"a1": old}
        self.world.publish_list(leaving=("stock-a",))
        advance(2.0)
        call(self.world.daemons["a1"])
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_dropped_from_the_declaration(self):
        self.world.targets.pop("stock-a")
        address = next(
            a for a, t in self.world.target_by_address.items() if t is self.target
        )
        kept = {a: t for a, t in self.world.target_by_address.items() if a != address}
        self.world.target_by_address = kept
        self.world.publish(2)
        advance(1.5)
        for daemon in self.world.daemons.values():
            self.assertIsNone(call(daemon).error)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_peer_tells_no_older_list(self):
        daemon = self.world.daemons["a1"]
        version = daemon.views.instances.version
        answer = daemon._handle_instances_query(InstancesQuery(version))
        self.assertEqual(answer.payload, b"")
