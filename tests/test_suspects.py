"""Which requests are taken for the cause of a target's end."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.engine_choice import EngineView, isolate_engine
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.policy import Mechanism, Policy
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_standins.peer_fleet import SILENT_LOGGER
from tests._paused import advance, use_paused_clock

DAY_S = 86_400.0


def target(number, software="v1"):
    address = Address("10.0.0.1", number)
    return Target(f"t{number}", "generate", address, "a", 64, software=software)


class SuspectsTest(unittest.TestCase):
    """One instance's judgement."""

    def setUp(self):
        use_paused_clock()
        self.releases = {("generate", "v1")}
        self.suspects = self.make(Policy())

    def make(self, policy):
        return Suspects(
            Gossip(), lambda facts: None, lambda: self.releases, SILENT_LOGGER, policy
        )

    def end(self, *numbers, works=("w",), software="v1"):
        for number in numbers:
            self.suspects.record_crash(target(number, software), works)

    @parameterized.expand(
        [
            ("none", [], False),
            ("two", [1, 2], False),
            ("the_same_life_three_times", [1, 1, 1], False),
            ("three", [1, 2, 3], True),
        ]
    )
    def test_three_ends_hold_a_request_back(self, _, numbers, is_held_back):
        self.end(*numbers)
        self.assertEqual(self.suspects.is_quarantined("w"), is_held_back)
        self.assertEqual(self.suspects.is_suspect("w"), bool(numbers))

    def test_those_beside_it_are_not_held_back(self):
        """Guards against a request that was near three ends of another one's making."""
        self.end(1, works=("w", "a", "b"))
        self.end(2, works=("w", "a"))
        self.end(3, works=("w", "b"))
        self.end(4, works=("w", "a"))
        self.assertEqual(self.suspects.quarantined(), ["w"])
        self.assertFalse(self.suspects.is_suspect("a"))

    @parameterized.expand([("before", True), ("after", False)])
    def test_a_request_that_ran_whole_is_not_held_back(self, _, is_before):
        """Guards against a popular request beside three targets that were killed."""
        if is_before:
            self.suspects.record_success(target(9), "w")
        self.end(1, 2, 3)
        if not is_before:
            self.suspects.record_success(target(9), "w")
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.assertFalse(self.suspects.is_suspect("w"))

    def test_running_whole_on_older_software_proves_nothing(self):
        self.suspects.record_success(target(9, "v0"), "w")
        self.end(1, 2, 3)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_a_release_gives_it_one_more_chance(self):
        self.end(1, 2, 3)
        self.releases.add(("generate", "v2"))
        self.assertTrue(self.suspects.is_quarantined("w"))
        self.releases.remove(("generate", "v1"))
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.end(4, software="v2")
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_it_stays_held_back_while_no_target_is_left(self):
        """Guards against a request that took all targets with it and is let go."""
        self.end(1, 2, 3)
        self.releases.clear()
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_it_is_released_after_a_day(self):
        gossip = Gossip()
        suspects = Suspects(
            gossip, lambda _: None, lambda: self.releases, SILENT_LOGGER
        )
        for number in (1, 2, 3):
            suspects.record_crash(target(number), ["w"])
        advance(DAY_S - 1.0)
        gossip.drop_expired()
        self.assertTrue(suspects.is_quarantined("w"))
        advance(2.0)
        gossip.drop_expired()
        self.assertFalse(suspects.is_suspect("w"))

    def test_ten_thousand_others_do_not_push_it_out(self):
        """Guards against a flood of requests that each ends one target."""
        self.end(1, 2, 3)
        for number in range(4, 10_000):
            self.end(number, works=(f"w{number}",))
        self.assertEqual(self.suspects.quarantined(), ["w"])
        self.assertLessEqual(len(self.suspects), 2_000)

    def test_a_setting_switches_it_off(self):
        self.suspects = self.make(Policy(frozenset((Mechanism.FATAL_REQUESTS,))))
        self.end(1, 2, 3)
        self.assertFalse(self.suspects.is_quarantined("w"))


class SetApartTest(unittest.TestCase):
    """Where a request goes under which a target has ended."""

    ENGINES = tuple(
        EngineView(f"e{n}", "a", 64, running=n, tokens_ahead=0, has_cached_prefix=False)
        for n in range(8)
    )

    def test_where_little_runs(self):
        for number in range(20):
            (engine,) = isolate_engine(self.ENGINES, f"w{number}")
            self.assertLess(engine.running, 4)

    def test_not_all_to_the_same_engine(self):
        chosen = {isolate_engine(self.ENGINES, f"w{n}")[0].id for n in range(20)}
        self.assertGreater(len(chosen), 2)

    def test_no_engine(self):
        self.assertEqual(isolate_engine([], "w"), [])
