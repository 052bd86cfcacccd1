"""Tests for the attribution of target crashes to requests."""

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


class _Peer:
    """Another instance that gets new facts."""

    def __init__(self, gossip):
        self._gossip = gossip

    def merge_new(self, facts):
        """Merge facts; those that are not new are None."""
        self._gossip.merge([fact for fact in facts if fact is not None])


class SuspectsTest(unittest.TestCase):
    """Crash attribution at one instance."""

    def setUp(self):
        use_paused_clock()
        self.software_versions = {("generate", "v1")}
        self.suspects = self.make_suspects(Policy())

    def make_suspects(self, policy):
        return Suspects(
            Gossip(),
            lambda facts: None,
            lambda: self.software_versions,
            SILENT_LOGGER,
            policy,
        )

    def crash(self, *numbers, fingerprints=("w",), software="v1"):
        for number in numbers:
            self.suspects.record_crash(target(number, software), fingerprints)

    @parameterized.expand(
        [
            ("none", [], False),
            ("two", [1, 2], False),
            ("the_same_life_three_times", [1, 1, 1], False),
            ("three", [1, 2, 3], True),
        ]
    )
    def test_three_crashes_quarantine_a_request(self, _, numbers, is_quarantined):
        self.crash(*numbers)
        self.assertEqual(self.suspects.is_quarantined("w"), is_quarantined)
        self.assertEqual(self.suspects.is_suspect("w"), bool(numbers))

    def test_requests_beside_a_fatal_one_are_not_quarantined(self):
        """Guards against quarantine for three crashes that another request causes."""
        self.crash(1, fingerprints=("w", "a", "b"))
        self.crash(2, fingerprints=("w", "a"))
        self.crash(3, fingerprints=("w", "b"))
        self.crash(4, fingerprints=("w", "a"))
        self.assertEqual(self.suspects.quarantined(), ["w"])
        self.assertFalse(self.suspects.is_suspect("a"))

    @parameterized.expand([("before", True), ("after", False)])
    def test_a_successful_request_is_not_quarantined(self, _, is_cleared_first):
        """Guards against quarantine of a popular request when three targets die."""
        if is_cleared_first:
            self.suspects.record_success(target(9), "w")
        self.crash(1, 2, 3)
        if not is_cleared_first:
            self.suspects.record_success(target(9), "w")
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.assertFalse(self.suspects.is_suspect("w"))

    def test_a_success_at_another_instance_withdraws_later_crashes(self):
        """Guards against a quarantine that only one instance knows to be wrong."""
        gossips = [Gossip(), Gossip()]
        first, second = (
            Suspects(g, other.merge_new, lambda: self.software_versions, SILENT_LOGGER)
            for g, other in zip(gossips, map(_Peer, reversed(gossips)), strict=True)
        )
        first.record_success(target(9), "w")
        for number in (1, 2, 3):
            second.record_crash(target(number), ["w"])
        self.assertTrue(second.is_quarantined("w"))
        advance(0.5)
        first.withdraw_disputed()
        self.assertFalse(second.is_suspect("w"))

    def test_crashes_with_a_known_cause_quarantine_no_request(self):
        """Guards against requests that are refused for a part beside them."""
        explained = set()
        self.suspects = Suspects(
            Gossip(),
            lambda facts: None,
            lambda: self.software_versions,
            SILENT_LOGGER,
            explains_crash=lambda *names: names[-1] in explained,
        )
        self.crash(1, 2, 3)
        self.assertTrue(self.suspects.is_quarantined("w"))
        explained.add("t2:0")
        self.assertFalse(self.suspects.is_quarantined("w"))

    def test_success_on_older_software_does_not_clear(self):
        self.suspects.record_success(target(9, "v0"), "w")
        self.crash(1, 2, 3)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_new_software_allows_one_more_crash(self):
        self.crash(1, 2, 3)
        self.software_versions.add(("generate", "v2"))
        self.assertTrue(self.suspects.is_quarantined("w"))
        self.software_versions.remove(("generate", "v1"))
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.crash(4, software="v2")
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_quarantine_lasts_while_there_is_no_target(self):
        """Guards against the release of a request that has crashed all targets."""
        self.crash(1, 2, 3)
        self.software_versions.clear()
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_quarantine_ends_after_a_day(self):
        gossip = Gossip()
        suspects = Suspects(
            gossip, lambda _: None, lambda: self.software_versions, SILENT_LOGGER
        )
        for number in (1, 2, 3):
            suspects.record_crash(target(number), ["w"])
        advance(DAY_S - 1.0)
        gossip.drop_expired()
        self.assertTrue(suspects.is_quarantined("w"))
        advance(2.0)
        gossip.drop_expired()
        self.assertFalse(suspects.is_suspect("w"))

    def test_ten_thousand_other_crashes_do_not_evict_it(self):
        """Guards against eviction by a flood of requests that each crash one target."""
        self.crash(1, 2, 3)
        for number in range(4, 10_000):
            self.crash(number, fingerprints=(f"w{number}",))
        self.assertEqual(self.suspects.quarantined(), ["w"])
        self.assertLessEqual(len(self.suspects), 2_000)

    def test_the_mechanism_can_be_switched_off(self):
        self.suspects = self.make_suspects(
            Policy(frozenset((Mechanism.FATAL_REQUESTS,)))
        )
        self.crash(1, 2, 3)
        self.assertFalse(self.suspects.is_quarantined("w"))


class IsolateEngineTest(unittest.TestCase):
    """The engine of a request under which a target has crashed."""

    ENGINES = tuple(
        EngineView(f"e{n}", "a", 64, running=n, tokens_ahead=0, has_cached_prefix=False)
        for n in range(8)
    )

    def test_an_engine_with_few_running_requests_is_chosen(self):
        for number in range(20):
            (engine,) = isolate_engine(self.ENGINES, f"w{number}")
            self.assertLess(engine.running, 4)

    def test_suspects_are_spread_over_engines(self):
        chosen = {isolate_engine(self.ENGINES, f"w{n}")[0].id for n in range(20)}
        self.assertGreater(len(chosen), 2)

    def test_no_engine(self):
        self.assertEqual(isolate_engine([], "w"), [])
