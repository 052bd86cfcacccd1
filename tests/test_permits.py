"""Cold targets: never more work than they bear, whoever asks and whatever fails."""

import unittest

from bergamotsaddle_contracts.messages import PermitAnswer, PermitQuery
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.request import Request
from tests._fakes import FakeFleet, run_green
from tests._paused import advance, advance_until, freeze

TAKEOVER = 16.2
SETTLED = 20.0


class PermitCase(unittest.TestCase):
    """Six daemons and one target a zone, all cold."""

    def setUp(self):
        self.fleet = FakeFleet(
            ("stock",), daemons_per_zone=2, target_lines="cold_limit = 2"
        )
        self.addCleanup(self.fleet.close)
        self.fleet.set_cold()
        self.fleet.start(SETTLED)
        self.target = self.fleet.targets["stock-a"]
        self.home = self.fleet.daemons[self.home_id()]

    def home_id(self) -> str:
        return self.fleet.daemons["b1"].homes.by_target["stock-a"]

    def load_all(self, *, calls: int, seconds: float) -> list:
        """Have every daemon make some calls."""
        for target in self.fleet.targets.values():
            target.seconds = seconds
        return [
            run_green(lambda d=daemon: call_stock(d))
            for daemon in self.fleet.daemons.values()
            for _ in range(calls)
        ]

    def ask(self, holder: str = "b1", lifetime: float = 5.0) -> PermitAnswer:
        home = self.fleet.daemons[self.home_id()]
        return home.home.grant(PermitQuery("stock-a", holder, lifetime))


def call_stock(daemon, seconds: float = 8.0) -> bytes:
    """One repeatable call through a daemon."""
    team = daemon.views.declaration.teams["crews"]
    request = Request(team, "stock", seconds, 5)
    return daemon.callers._services.call_repeatable(request, "pellets", b"{}")


class PermitTest(PermitCase):
    """What a home grants."""

    def test_home_is_in_the_targets_zone_and_agreed(self):
        homes = {d.homes.by_target["stock-a"] for d in self.fleet.daemons.values()}
        self.assertEqual(len(homes), 1)
        self.assertTrue(homes.pop().startswith("a"))

    def test_never_above_the_limit_with_many_daemons(self):
        # All targets are in cold start at dawn and every daemon has requests.
        results = self.load_all(calls=4, seconds=0.3)
        advance(9.0)
        answered = [result for result in results if result.error is None]
        self.assertGreater(len(answered), len(results) // 2)
        for target in self.fleet.targets.values():
            self.assertLessEqual(target.max_in_flight, 2)
            self.assertGreater(len(target.calls), 0)

    def test_lost_permit_counts_until_the_target_proves_its_end(self):
        # An instance is killed while its call runs at a cold target. Its permit runs
        # out, the call does not; a new one in its place would be one too many.
        self.target.in_flight = 2
        self.assertTrue(self.ask().permit)
        self.assertTrue(self.ask().permit)
        self.assertFalse(self.ask().permit)
        advance(6.0)
        self.assertFalse(self.ask().permit)
        self.target.in_flight = 0
        advance(1.0)
        self.assertTrue(self.ask().permit)

    def test_timed_out_call_keeps_its_place(self):
        # A call at a cold target runs out of time. The daemon closes the connection,
        # which a plain stage worker doesn't notice; it goes on working. Giving the
        # place to the next call at once would run three where two are borne.
        for target in self.fleet.targets.values():
            target.seconds = 60.0
        run_green(lambda: call_stock(self.fleet.daemons["a1"], 1.0))
        advance(0.7)
        out = sum(
            len(grants.expiry_by_number)
            for daemon in self.fleet.daemons.values()
            for grants in daemon.home._grants_by_target.values()
        )
        self.assertEqual(len(self.fleet.calls("stock")), 2)
        self.assertEqual(out, 2)

    def test_unsent_call_gives_its_place_back(self):
        for target in self.fleet.targets.values():
            target.refuses_connections = True
        run_green(lambda: call_stock(self.fleet.daemons["a1"], 1.0))
        advance(1.5)
        out = sum(
            len(grants.expiry_by_number)
            for daemon in self.fleet.daemons.values()
            for grants in daemon.home._grants_by_target.values()
        )
        self.assertEqual(out, 0)

    def test_unused_permit_is_not_taken_for_the_running_call(self):
        # One call outlived its permit, another permit is granted and not yet used.
        # The target reports one call; it is the old one. The model checker found it.
        first = self.ask(lifetime=1.0)
        self.target.in_flight = 1
        advance(1.5)
        second = self.ask()
        self.assertTrue(first.permit and second.permit)
        advance(1.0)
        self.assertFalse(self.ask().permit)

    def test_silent_target_frees_nothing(self):
        self.ask()
        self.ask()
        self.target.is_load_unreadable = True
        advance(8.0)
        self.assertFalse(self.ask().permit)

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
        # Five calls run when the target turns cold. Until they have ended nothing
        # new is sent, though its limit of two looks free of permits.
        self.target.cold = False
        advance(1.0)
        self.target.in_flight = 5
        self.target.cold = True
        advance(5.0)
        self.assertFalse(self.ask().permit)
        self.target.in_flight = 1
        advance(20.0)
        self.assertTrue(self.ask().permit)
        self.assertFalse(self.ask().permit)

    def test_others_may_still_take_it_for_warm(self):
        # The target turns cold while idle. Instances that have not heard of it send
        # without a permit for as long as their last warm report counts.
        self.target.cold = False
        advance(1.0)
        self.target.cold = True
        advance(1.0)
        self.assertFalse(self.ask().permit)
        advance(4.0)
        self.assertTrue(self.ask().permit)

    def test_pause_between_permit_and_send(self):
        # The process gets its permit, is paused, and wakes up when the place has
        # long been given to somebody else.
        daemon = self.fleet.daemons["b1"]
        connections = daemon.callers._services._connections
        connections.before_guard = lambda: freeze(20.0)
        run_green(lambda: call_stock(daemon))
        advance(1.0)
        self.assertEqual(self.fleet.calls("stock"), [])

    def test_late_answer_is_worth_less(self):
        # The home's answer is read late, after the process was paused.
        office = self.fleet.daemons["b1"].permits
        ask_home = office._ask_home

        def ask_late(home, query):
            answer = ask_home(home, query)
            freeze(4.0)
            return answer

        office._ask_home = ask_late
        target = self.fleet.daemons["b1"].targets.by_id["stock-a"]
        result = run_green(lambda: office.request(target, 5.0))
        advance(0.1)
        permit, _ = result.value
        self.assertAlmostEqual(permit.expires_at, now() + 0.9, delta=0.2)


class HomeChangeTest(PermitCase):
    """What happens when the home changes."""

    def test_new_home_waits(self):
        # The home is replaced. What it granted may be in use and, if it is only
        # paused or cut off, it may go on granting for a while.
        self.target.in_flight = 2
        self.ask()
        self.ask()
        self.remove_home()
        self.assertFalse(self.ask().permit)
        advance_until(lambda: bool(self.ask().permit), limit=20.0, step=0.5)

    def remove_home(self):
        name = self.home_id()
        self.fleet.kill(name)
        del self.fleet.instances[name]
        del self.fleet.daemons[name]
        self.fleet.publish_list()
        advance(1.0)
        self.target.in_flight = 0

    def test_new_home_waits_out_the_old_ones_permits(self):
        self.remove_home()
        advance(TAKEOVER - 2.0)
        self.assertFalse(self.ask().permit)
        advance(3.0)
        self.assertTrue(self.ask().permit)

    def test_paused_home_stops_granting(self):
        # The home sleeps through the change of the list and wakes up as if nothing
        # had happened; meanwhile there may be another home.
        freeze(10.0)
        answer = self.home.home.grant(PermitQuery("stock-a", "b1", 5.0))
        self.assertFalse(answer.permit)
        self.assertIn("stale", answer.reason)

    def test_home_without_the_platform_stops_granting(self):
        self.fleet.instance_list.down = True
        advance(7.0)
        self.assertFalse(self.ask().permit)
        self.fleet.instance_list.down = False
        advance(2.0)
        self.assertTrue(self.ask().permit)

    def test_planned_stop_hands_permits_over(self):
        # A planned stop should not close a cold target for a quarter of a minute.
        self.ask()
        old = self.home_id()
        self.target.in_flight = 1
        run_green(lambda: self.home.stop(lambda: None))
        instance = self.fleet.instances[old]
        self.fleet.instances[old] = instance._replace(state="leaving")
        self.fleet.publish_list()
        advance(2.0)
        self.assertNotEqual(self.home_id(), old)
        self.assertTrue(self.ask().permit)
        self.assertFalse(self.ask().permit)

    def test_stopping_home_grants_nothing(self):
        run_green(lambda: self.home.stop(lambda: None))
        advance(0.1)
        answer = self.home.home.grant(PermitQuery("stock-a", "b1", 5.0))
        self.assertFalse(answer.permit)

    def test_home_again_begins_anew(self):
        # An instance was home, another one took its place, and it is home again.
        # What it remembers says nothing of what was granted in between.
        name = self.home_id()
        instance = self.fleet.instances[name]
        self.fleet.instances[name] = instance._replace(state="leaving")
        self.fleet.publish_list()
        advance(20.0)
        self.fleet.instances[name] = instance
        self.fleet.publish_list()
        advance(1.0)
        self.assertEqual(self.home_id(), name)
        self.assertFalse(self.ask().permit)
        advance(20.0)
        self.assertTrue(self.ask().permit)

    def test_limit_holds_through_kill_and_load(self):
        # Under steady load the home is killed and the list follows.
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
