"""Cold targets: their limit holds for all daemons and through every failure."""

import unittest

from bergamotsaddle_contracts.messages import PermitAnswer, PermitQuery
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.request import Request
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, advance_until, freeze

TAKEOVER_S = 16.2
SETTLE_S = 20.0


class PermitCase(unittest.TestCase):
    """Six daemons and one cold target in each zone."""

    def setUp(self):
        self.fleet = FakeFleet(
            ("stock",), daemons_per_zone=2, target_lines="cold_limit = 2"
        )
        self.addCleanup(self.fleet.close)
        self.fleet.set_cold()
        self.fleet.start(SETTLE_S)
        self.target = self.fleet.targets["stock-a"]
        self.home = self.fleet.daemons[self.home_id()]

    def home_id(self) -> str:
        return self.fleet.daemons["b1"].homes.by_target["stock-a"]

    def load_all(self, *, calls: int, seconds: float) -> list:
        """Make some calls through every daemon at once."""
        for target in self.fleet.targets.values():
            target.seconds = seconds
        return [
            run_green(lambda d=daemon: call_stock(d))
            for daemon in self.fleet.daemons.values()
            for _ in range(calls)
        ]

    def request_permit(self, holder: str = "b1", lifetime: float = 5.0) -> PermitAnswer:
        home = self.fleet.daemons[self.home_id()]
        return home.home.grant(PermitQuery("stock-a", holder, lifetime))


def call_stock(daemon, seconds: float = 8.0) -> bytes:
    """Make one repeatable call through a daemon."""
    team = daemon.views.declaration.teams["crews"]
    request = Request(team, "stock", seconds, 5)
    return daemon.callers._services.call_repeatable(request, "pellets", b"{}")


class PermitTest(PermitCase):
    """Permits that a home grants."""

    def test_home_is_in_the_targets_zone_and_agreed(self):
        homes = {d.homes.by_target["stock-a"] for d in self.fleet.daemons.values()}
        self.assertEqual(len(homes), 1)
        self.assertTrue(homes.pop().startswith("a"))

    def test_never_above_the_limit_with_many_daemons(self):
        # All targets start cold in the morning and every daemon has requests.
        results = self.load_all(calls=4, seconds=0.3)
        advance(9.0)
        answered = [result for result in results if result.error is None]
        self.assertGreater(len(answered), len(results) // 2)
        for target in self.fleet.targets.values():
            self.assertLessEqual(target.max_in_flight, 2)
            self.assertGreater(len(target.calls), 0)

    def test_lost_permit_counts_until_the_target_reports_the_end_of_its_call(self):
        # An instance is killed while its call runs at a cold target. Its permit expires
        # but the call runs on; another call in its place would exceed the limit.
        self.target.in_flight = 2
        self.assertTrue(self.request_permit().permit)
        self.assertTrue(self.request_permit().permit)
        self.assertFalse(self.request_permit().permit)
        advance(6.0)
        self.assertFalse(self.request_permit().permit)
        self.target.in_flight = 0
        advance(1.0)
        self.assertTrue(self.request_permit().permit)

    def test_timed_out_call_keeps_its_permit(self):
        # A call at a cold target times out. The daemon closes the connection, which a
        # plain stage worker doesn't notice, so it goes on working. Granting the permit
        # to the next call at once would run three calls where the limit is two.
        for target in self.fleet.targets.values():
            target.seconds = 60.0
        run_green(lambda: call_stock(self.fleet.daemons["a1"], 1.0))
        advance(0.7)
        granted = sum(
            len(grants.expiry_by_number)
            for daemon in self.fleet.daemons.values()
            for grants in daemon.home._grants_by_target.values()
        )
        self.assertEqual(len(self.fleet.calls("stock")), 2)
        self.assertEqual(granted, 2)

    def test_unsent_call_releases_its_permit(self):
        for target in self.fleet.targets.values():
            target.refuses_connections = True
        run_green(lambda: call_stock(self.fleet.daemons["a1"], 1.0))
        advance(1.5)
        granted = sum(
            len(grants.expiry_by_number)
            for daemon in self.fleet.daemons.values()
            for grants in daemon.home._grants_by_target.values()
        )
        self.assertEqual(granted, 0)

    def test_running_call_is_not_counted_for_an_unused_permit(self):
        # One call has outlived its permit, and another permit is granted but not yet
        # used. The one call that the target reports is the old one. The model checker
        # found this case.
        first = self.request_permit(lifetime=1.0)
        self.target.in_flight = 1
        advance(1.5)
        second = self.request_permit()
        self.assertTrue(first.permit and second.permit)
        advance(1.0)
        self.assertFalse(self.request_permit().permit)

    def test_target_without_load_reports_frees_no_permits(self):
        self.request_permit()
        self.request_permit()
        self.target.is_load_unreadable = True
        advance(8.0)
        self.assertFalse(self.request_permit().permit)

    def test_warm_target_needs_no_permit(self):
        self.target.cold = False
        advance(1.0)
        result = run_green(lambda: call_stock(self.fleet.daemons["a1"]))
        advance(0.1)
        self.assertIsNone(result.error)
        decisions = self.fleet.daemons["a1"].decisions._by_request.values()
        subjects = [d.subject for rows in decisions for d in rows]
        self.assertEqual(subjects, ["route"])

    def test_warm_turns_cold_without_warning(self):
        # Five calls run when the target turns cold. Until they have finished nothing
        # new is sent, although no permit for its limit of two is granted.
        self.target.cold = False
        advance(1.0)
        self.target.in_flight = 5
        self.target.cold = True
        advance(5.0)
        self.assertFalse(self.request_permit().permit)
        self.target.in_flight = 1
        advance(20.0)
        self.assertTrue(self.request_permit().permit)
        self.assertFalse(self.request_permit().permit)

    def test_peers_may_still_consider_it_warm(self):
        # The target turns cold while idle. Instances that don't know this yet send
        # without a permit for as long as their last warm report is valid.
        self.target.cold = False
        advance(1.0)
        self.target.cold = True
        advance(1.0)
        self.assertFalse(self.request_permit().permit)
        advance(4.0)
        self.assertTrue(self.request_permit().permit)

    def test_pause_between_permit_and_send(self):
        # The process gets its permit, is paused, and resumes after the permit has
        # expired and was granted to another instance.
        daemon = self.fleet.daemons["b1"]
        connections = daemon.callers._services._connections
        connections.before_guard = lambda: freeze(20.0)
        run_green(lambda: call_stock(daemon))
        advance(1.0)
        self.assertEqual(self.fleet.calls("stock"), [])

    def test_late_answer_shortens_the_permit(self):
        # The answer of the home is read late because the process was paused.
        permits = self.fleet.daemons["b1"].permits
        ask_home = permits._ask_home

        def ask_late(home, query):
            answer = ask_home(home, query)
            freeze(4.0)
            return answer

        permits._ask_home = ask_late
        target = self.fleet.daemons["b1"].targets.by_id["stock-a"]
        result = run_green(lambda: permits.request(target, 5.0))
        advance(0.1)
        permit, _ = result.value
        self.assertAlmostEqual(permit.expires_at, now() + 0.9, delta=0.2)


class HomeChangeTest(PermitCase):
    """Permits while the home of a target changes."""

    def test_new_home_waits(self):
        # The home is replaced. Its permits may be in use and, if it is only paused or
        # cut off, it may grant more for a while.
        self.target.in_flight = 2
        self.request_permit()
        self.request_permit()
        self.remove_home()
        self.assertFalse(self.request_permit().permit)
        advance_until(lambda: bool(self.request_permit().permit), limit=20.0, step=0.5)

    def remove_home(self):
        name = self.home_id()
        self.fleet.kill(name)
        del self.fleet.instances[name]
        del self.fleet.daemons[name]
        self.fleet.publish_list()
        advance(1.0)
        self.target.in_flight = 0

    def test_new_home_waits_until_the_old_permits_have_expired(self):
        self.remove_home()
        advance(TAKEOVER_S - 2.0)
        self.assertFalse(self.request_permit().permit)
        advance(3.0)
        self.assertTrue(self.request_permit().permit)

    def test_paused_home_stops_granting(self):
        # The home is paused while the list changes and doesn't notice on resuming;
        # there may be another home by then.
        freeze(10.0)
        answer = self.home.home.grant(PermitQuery("stock-a", "b1", 5.0))
        self.assertFalse(answer.permit)
        self.assertIn("stale", answer.reason)

    def test_home_without_the_platform_stops_granting(self):
        self.fleet.instance_list.down = True
        advance(7.0)
        self.assertFalse(self.request_permit().permit)
        self.fleet.instance_list.down = False
        advance(2.0)
        self.assertTrue(self.request_permit().permit)

    def test_planned_stop_transfers_permits(self):
        # A planned stop should not make a cold target unavailable for a quarter of a
        # minute.
        self.request_permit()
        old = self.home_id()
        self.target.in_flight = 1
        run_green(lambda: self.home.stop(lambda: None))
        instance = self.fleet.instances[old]
        self.fleet.instances[old] = instance._replace(state="leaving")
        self.fleet.publish_list()
        advance(2.0)
        self.assertNotEqual(self.home_id(), old)
        self.assertTrue(self.request_permit().permit)
        self.assertFalse(self.request_permit().permit)

    def test_stopping_home_grants_nothing(self):
        run_green(lambda: self.home.stop(lambda: None))
        advance(0.1)
        answer = self.home.home.grant(PermitQuery("stock-a", "b1", 5.0))
        self.assertFalse(answer.permit)

    def test_home_for_the_second_time_starts_afresh(self):
        # An instance was home, was replaced by another one, and is home again. It does
        # not know the permits that were granted in between.
        name = self.home_id()
        instance = self.fleet.instances[name]
        self.fleet.instances[name] = instance._replace(state="leaving")
        self.fleet.publish_list()
        advance(20.0)
        self.fleet.instances[name] = instance
        self.fleet.publish_list()
        advance(1.0)
        self.assertEqual(self.home_id(), name)
        self.assertFalse(self.request_permit().permit)
        advance(20.0)
        self.assertTrue(self.request_permit().permit)

    def test_limit_holds_through_kill_and_load(self):
        # The home is killed under steady load, and the list is updated.
        for target in self.fleet.targets.values():
            target.seconds = 0.3
        for turn in range(20):
            for daemon in list(self.fleet.daemons.values()):
                run_green(lambda d=daemon: call_stock(d, 4.0))
            advance(0.5)
            if turn == 6:
                self.remove_home()
        advance(30.0)
        for target in self.fleet.targets.values():
            self.assertLessEqual(target.max_in_flight, 2)
