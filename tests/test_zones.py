"""Tests for zones that are taken out or return, and for targets that leave."""

import unittest

from bergamotsaddle_contracts.messages import InstancesQuery
from bergamotsaddle_daemon.request import Request
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, freeze


def call(daemon, seconds: float = 4.0):
    """Start a repeatable call through a daemon in the background."""
    team = daemon.views.declaration.teams["crews"]
    request = Request(team, "stock", seconds, 5)
    services = daemon.callers._services
    return run_green(lambda: services.call_repeatable(request, "pellets", b"{}"))


class ZoneTest(unittest.TestCase):
    """Three daemons and one target per zone."""

    def setUp(self):
        self.fleet = FakeFleet(("stock",))
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.daemon = self.fleet.daemons["a1"]
        self.target = self.fleet.targets["stock-a"]

    def take_out(self, zone: str, revision: int = 2):
        self.fleet.zone_states[zone] = "out"
        self.fleet.publish(revision)

    def test_a_zone_that_was_taken_out_gets_no_new_work(self):
        self.take_out("a")
        advance(1.5)
        for daemon in self.fleet.daemons.values():
            for _ in range(5):
                self.assertIsNone(call(daemon).error)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_no_new_work_where_the_service_is_unreachable(self):
        # The instances of the zone itself can't read the service any more, which may be
        # the reason for taking the zone out.
        self.fleet.config.down_readers = {"a1", "b1"}
        self.take_out("a")
        advance(2.0)
        call(self.daemon)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_a_waiting_request_is_not_sent_to_the_zone(self):
        # A request waits for capacity in the zone when the zone is taken out.
        self.target.seconds = 2.0
        for other in ("stock-b", "stock-c"):
            self.fleet.targets[other].seconds = 2.0
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

    def test_a_paused_instance_does_not_use_its_old_view(self):
        # The process is paused while the zone is taken out. When it resumes it has a
        # request to send and must learn of the change first.
        self.take_out("a")
        freeze(30.0)
        result = call(self.daemon)
        advance(3.0)
        self.assertEqual(self.target.calls, [])
        self.assertEqual(result.value, b"{}")

    def test_a_cut_off_instance_serves_its_own_zone_only(self):
        # The zone is cut off from all instances. Other zones may have been taken out
        # meanwhile, so even reachable targets there get no work from this zone: without
        # reports they count as cold, and their homes are unreachable for permits.
        self.fleet.config.down = True
        self.fleet.network.partition(["a1"], ["b1", "c1"])
        advance(8.0)
        result = call(self.daemon)
        advance(0.6)
        self.assertEqual(result.value, b"{}")
        self.target.refuses_connections = True
        result = call(self.daemon)
        advance(5.0)
        self.assertTrue(result.error)
        self.assertEqual(len(self.fleet.calls("stock")), 1)

    def test_a_request_is_rejected_at_once_when_all_zones_are_out(self):
        for revision, zone in enumerate("abc", start=2):
            self.take_out(zone, revision)
        advance(1.5)
        result = call(self.daemon)
        self.assertEqual(result.error.kind, "no_target")
        self.assertEqual(result.error.ran, "no")

    def test_return_is_a_ramp(self):
        self.take_out("a")
        advance(2.0)
        self.fleet.zone_states["a"] = "in"
        self.fleet.publish(3)
        advance(1.0)
        self.assertLess(self.daemon.targets.ramp_fraction("a"), 0.5)
        advance(5.0)
        self.assertEqual(self.daemon.targets.ramp_fraction("a"), 1.0)

    def test_a_returning_zone_gets_work_gradually(self):
        self.take_out("a")
        advance(2.0)
        self.fleet.zone_states["a"] = "in"
        self.fleet.publish(3)
        advance(1.0)
        self.target.seconds = 30.0
        for _ in range(16):
            call(self.daemon)
        self.assertLess(len(self.target.calls), 4)


class RedeclareTest(unittest.TestCase):
    """A target whose declaration changes while it works."""

    def test_a_changed_limit_keeps_the_state_of_the_target(self):
        # Operators raise a limit at dawn. The target must neither seem cold for a while
        # nor lose the count of its running requests.
        fleet = FakeFleet(("stock",), target_lines="limit = 8")
        self.addCleanup(fleet.close)
        fleet.start()
        daemon = fleet.daemons["a1"]
        fleet.targets["stock-a"].seconds = 3.0
        running = call(daemon)
        fleet.target_lines = "limit = 30"
        fleet.publish(2)
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
    """A target that the list marks as leaving or that is no longer declared."""

    def setUp(self):
        self.fleet = FakeFleet(("stock",))
        self.addCleanup(self.fleet.close)
        self.fleet.start()
        self.target = self.fleet.targets["stock-a"]

    def test_a_leaving_target_gets_no_new_work(self):
        self.fleet.publish_list(leaving=("stock-a",))
        advance(1.5)
        for daemon in self.fleet.daemons.values():
            call(daemon)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_no_new_work_where_the_list_lags(self):
        # One instance's view of the list lags behind that of the other instances.
        old = self.fleet.instance_list.payload
        self.fleet.instance_list.payload_by_reader = {"a1": old}
        self.fleet.publish_list(leaving=("stock-a",))
        advance(2.0)
        call(self.fleet.daemons["a1"])
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_no_new_work_after_removal_from_the_declaration(self):
        self.fleet.targets.pop("stock-a")
        address = next(
            a for a, t in self.fleet.target_by_address.items() if t is self.target
        )
        remaining = {
            a: t for a, t in self.fleet.target_by_address.items() if a != address
        }
        self.fleet.target_by_address = remaining
        self.fleet.publish(2)
        advance(1.5)
        for daemon in self.fleet.daemons.values():
            self.assertIsNone(call(daemon).error)
        advance(0.5)
        self.assertEqual(self.target.calls, [])

    def test_a_peer_sends_no_older_list(self):
        daemon = self.fleet.daemons["a1"]
        version = daemon.views.instances.version
        response = daemon._handle_instances_query(InstancesQuery(version))
        self.assertEqual(response.payload, b"")
