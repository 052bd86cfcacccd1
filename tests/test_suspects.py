"""Tests for the attribution of target crashes to requests."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.crash_history import CrashedRun
from bergamotsaddle_serving.decisions.engine_choice import EngineView, isolate_engine
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.policy import Mechanism, Policy
from bergamotsaddle_serving.suspects import Standing, Suspects
from bergamotsaddle_standins.peer_fleet import SILENT_LOGGER
from tests._paused import advance, use_paused_clock

DAY_S = 86_400.0
# Crashes that are this far apart have no common cause.
APART_S = 1.0
FIRST_TRIAL_S = 60.0


def target(number, software="v1"):
    address = Address("10.0.0.1", number)
    return Target(f"t{number}", "generate", address, "a", 64, software=software)


def crash(suspects, crashed, *fingerprints, runs=()):
    """Record that a target crashed while it ran some requests."""
    runs = runs or [CrashedRun()] * len(fingerprints)
    suspects.record_crash(crashed, dict(zip(fingerprints, runs, strict=True)))


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
        self.trials = 0
        self.suspects = self.make_suspects(Policy())

    def make_suspects(self, policy, **options):
        return Suspects(
            Gossip(),
            lambda facts: None,
            lambda: self.software_versions,
            SILENT_LOGGER,
            policy,
            **options,
        )

    def crash(self, *numbers, fingerprints=("w",), software="v1", runs=()):
        for number in numbers:
            crash(self.suspects, target(number, software), *fingerprints, runs=runs)
            advance(APART_S)

    def outlive(self, *numbers, software="v1"):
        for number in numbers:
            self.suspects.record_success(target(number, software), "w")
            advance(0.1)

    def test_crashes_that_others_saw_are_ends_of_their_time(self):
        """Guards against streams that go on at a target that others saw end."""
        gossip, other_gossip = Gossip(), Gossip()
        ended = []
        other = Suspects(
            other_gossip, lambda _: None, lambda: self.software_versions, SILENT_LOGGER
        )
        other.on_end = lambda incarnation, at: ended.append((incarnation, at))
        suspects = Suspects(
            gossip, lambda _: None, lambda: self.software_versions, SILENT_LOGGER
        )
        crashed_at = now()
        crash(suspects, target(1, "v1"), "w")
        advance(5.0)
        other_gossip.merge(
            [fact for _, fact in gossip.differing_facts(other_gossip.group_digests)]
        )
        ((incarnation, at),) = ended
        self.assertEqual(incarnation, target(1, "v1").incarnation)
        self.assertAlmostEqual(at, crashed_at, delta=0.2)

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

    def test_crashes_at_one_moment_count_a_moment_later(self):
        """Guards against a popular request that is refused as a rack is lost."""
        for number in range(4):
            crash(self.suspects, target(number), "w")
        self.assertFalse(self.suspects.is_quarantined("w"))
        advance(0.4)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_successes_before_the_crashes_count_for_nothing(self):
        """Guards against a request that was sound once and is never held back again."""
        self.outlive(*range(20, 40))
        self.crash(1, 2, 3)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_a_success_takes_no_crash_back(self):
        """Guards against a request that crashes two of three targets that run it."""
        self.crash(1, 2)
        self.outlive(20)
        self.crash(3)
        self.assertTrue(self.suspects.is_quarantined("w"))
        self.outlive(21)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_a_popular_request_is_not_quarantined(self):
        """Guards against quarantine of a popular request when three targets die."""
        for number in (1, 2, 3):
            self.crash(number)
            self.outlive(*range(20, 28))
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.assertFalse(self.suspects.is_suspect("w"))

    def test_survivals_that_others_tell_count(self):
        """Guards against a quarantine that only one instance knows to be wrong."""
        gossips = [Gossip(), Gossip()]
        first, second = (
            Suspects(
                g,
                other.merge_new,
                lambda: self.software_versions,
                SILENT_LOGGER,
                own_id=str(id(g)),
            )
            for g, other in zip(gossips, map(_Peer, reversed(gossips)), strict=True)
        )
        for number in (1, 2, 3):
            crash(second, target(number), "w")
            advance(APART_S)
            for other in range(20, 24):
                first.record_success(target(other), "w")
        self.assertFalse(second.is_quarantined("w"))
        self.assertFalse(second.is_suspect("w"))

    def test_stages_that_are_whole_excuse_no_crash_of_an_engine(self):
        """Guards against a fatal request whose stages run whole before each crash."""
        stage = target(20)._replace(service="rerank")
        for number in (1, 2, 3):
            self.crash(number)
            for _ in range(8):
                self.suspects.record_success(stage, "w")
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_a_survival_that_is_disproved_counts_for_nothing(self):
        """Guards against responses that look whole behind which the target crashes."""
        keys = []
        for number in (1, 2, 3):
            self.crash(number)
            keys += [
                self.suspects.record_success(target(20 + n), "w") for n in range(4)
            ]
        self.assertFalse(self.suspects.is_quarantined("w"))
        for key in keys:
            self.suspects.disprove(key)
        self.assertTrue(self.suspects.is_quarantined("w"))

    @parameterized.expand([("in_order", False), ("reversed", True)])
    def test_the_order_of_facts_does_not_matter(self, _, is_reversed):
        """Guards against instances that decide differently on the same facts."""
        facts = []
        sender = Suspects(
            Gossip(),
            lambda new: facts.extend(f for f in new if f is not None),
            lambda: self.software_versions,
            SILENT_LOGGER,
        )
        for number in (1, 2, 3):
            crash(sender, target(number), "w", "x")
            sender.disprove(sender.record_success(target(20), "x"))
            for other in range(21, 25):
                sender.record_success(target(other), "x")
        gossip = Gossip()
        receiver = Suspects(
            gossip, lambda _: None, lambda: self.software_versions, SILENT_LOGGER
        )
        gossip.merge(facts[::-1] if is_reversed else facts)
        advance(0.4)
        self.assertEqual(receiver.quarantined(), sender.quarantined())
        self.assertEqual(receiver.quarantined(), ["w"])

    def test_a_crash_some_time_after_a_run_counts_less(self):
        """Guards against requests that are held back for crashes of idle targets."""
        for number in (1, 2, 3, 4):
            crash(
                self.suspects, target(number), "w", runs=[CrashedRun(is_certain=False)]
            )
            advance(APART_S)
        self.assertFalse(self.suspects.is_quarantined("w"))
        self.assertTrue(self.suspects.is_suspect("w"))

    def test_the_younger_of_two_requests_at_the_same_crashes_is_blamed(self):
        """Guards against a stream that goes on elsewhere and meets the next crash."""
        runs = (CrashedRun(0.1), CrashedRun(1.5))
        self.crash(1, 2, 3, fingerprints=("f", "s"), runs=runs)
        self.assertEqual(self.suspects.quarantined(), ["f"])

    def test_a_stream_that_goes_on_elsewhere_is_not_blamed(self):
        """Guards against a sound stream that moves from one crash to the next."""
        for number in (1, 2, 3):
            runs = (CrashedRun(1.0, request=f"r{number}"), CrashedRun(0.1, request="r"))
            self.crash(number, fingerprints=("f", "s"), runs=runs)
        self.assertEqual(self.suspects.quarantined(), ["f"])

    def test_two_fatal_requests_are_blamed_for_their_own_crashes(self):
        """Guards against a second fatal request that is taken for a victim."""
        self.crash(1, 2, 3, 4, fingerprints=("f",))
        self.crash(5, 6, 7, fingerprints=("g",))
        self.assertEqual(sorted(self.suspects.quarantined()), ["f", "g"])

    def test_a_popular_request_explains_no_crash(self):
        """Guards against crashes attributed to a request that runs everywhere."""
        self.crash(1, fingerprints=("p", "w"))
        for number in (2, 3):
            for other in range(20, 30):
                self.suspects.record_success(target(other), "p")
            self.crash(number, 10 * number, fingerprints=("p",))
            self.crash(number + 3, fingerprints=("p", "w"))
        for other in range(20, 30):
            self.suspects.record_success(target(other), "p")
        self.assertEqual(self.suspects.quarantined(), ["w"])

    def test_an_operator_allows_a_request(self):
        self.crash(1, 2, 3)
        self.suspects.allowed = frozenset(("w",))
        self.assertFalse(self.suspects.is_quarantined("w"))

    def test_crashes_with_a_known_cause_quarantine_no_request(self):
        """Guards against requests that are refused for a part beside them."""
        explained = set()
        self.suspects = self.make_suspects(
            Policy(), explains_crash=lambda *names: names[-1] in explained
        )
        self.crash(1, 2, 3)
        self.assertTrue(self.suspects.is_quarantined("w"))
        explained.add("t2:0")
        advance(APART_S)
        self.assertFalse(self.suspects.is_quarantined("w"))

    def test_successes_on_other_software_do_not_excuse_crashes(self):
        """Guards against a canary release that hides what crashes the old version."""
        for number in (1, 2, 3):
            self.crash(number)
            self.outlive(*range(20, 28), software="v0")
        self.assertTrue(self.suspects.is_quarantined("w"))

    def ask_for_trial(self, fingerprint):
        self.trials += 1
        return self.trials % 2 == 1

    def test_new_software_gets_single_tries(self):
        """Guards against a quarantine that a release lifts everywhere at once."""
        self.suspects = self.make_suspects(Policy(), request_trial=self.ask_for_trial)
        self.crash(1, 2, 3)
        self.software_versions.add(("generate", "v2"))
        self.assertTrue(self.suspects.is_quarantined("w"))
        self.software_versions.remove(("generate", "v1"))
        self.assertEqual(self.suspects.standing("w"), Standing.ON_TRIAL)
        entered = [self.suspects.may_enter("w") for _ in range(4)]
        self.assertEqual(entered, [True, False, True, False])
        self.crash(4, software="v2")
        self.assertTrue(self.suspects.is_quarantined("w"))
        self.assertFalse(self.suspects.may_enter("w"))

    def test_new_software_that_outlives_two_tries_frees_a_request(self):
        """Guards against a request that stays refused though a release has cured it."""
        self.crash(1, 2, 3)
        self.software_versions = {("generate", "v2")}
        self.outlive(20, software="v2")
        self.assertEqual(self.suspects.standing("w"), Standing.ON_TRIAL)
        self.outlive(21, software="v2")
        self.assertEqual(self.suspects.standing("w"), Standing.FREE)
        self.crash(4, software="v2")
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_the_old_software_is_back(self):
        """Guards against a rollback that lets a fatal request through."""
        self.crash(1, 2, 3)
        self.software_versions = {("generate", "v2")}
        self.outlive(20, 21, software="v2")
        self.software_versions = {("generate", "v1")}
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_the_pause_before_a_trial_grows(self):
        """Guards against a fatal request whose trials go on crashing targets."""
        self.crash(1, 2, 3)
        advance(FIRST_TRIAL_S)
        self.assertEqual(self.suspects.standing("w"), Standing.ON_TRIAL)
        self.crash(4)
        advance(FIRST_TRIAL_S)
        self.assertTrue(self.suspects.is_quarantined("w"))
        advance(9 * FIRST_TRIAL_S)
        self.assertEqual(self.suspects.standing("w"), Standing.ON_TRIAL)

    def test_quarantine_lasts_while_there_is_no_target(self):
        """Guards against the release of a request that has crashed all targets."""
        self.crash(1, 2, 3)
        self.software_versions.clear()
        advance(APART_S)
        self.assertTrue(self.suspects.is_quarantined("w"))

    def test_quarantine_ends_after_a_day(self):
        gossip = Gossip()
        suspects = Suspects(
            gossip, lambda _: None, lambda: self.software_versions, SILENT_LOGGER
        )
        for number in (1, 2, 3):
            crash(suspects, target(number), "w")
        advance(DAY_S - 1.0)
        gossip.drop_expired()
        self.assertFalse(suspects.may_enter("w"))
        advance(2.0)
        gossip.drop_expired()
        self.assertFalse(suspects.is_suspect("w"))

    def test_ten_thousand_other_crashes_do_not_evict_it(self):
        """Guards against eviction by a flood of requests that each crash one target."""
        self.crash(1, 2, 3)
        for number in range(4, 10_000):
            crash(self.suspects, target(number), f"w{number}")
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
