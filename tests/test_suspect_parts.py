"""Tests for finding the parts of prompts that crash targets."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.crashed_runs import CrashedRuns
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.messages import PromptPart, RequestHead
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.suspect_parts import SuspectParts, Work
from bergamotsaddle_standins.peer_fleet import SILENT_LOGGER
from tests._paused import advance, use_paused_clock

DAY_S = 86_400.0
SETTLE_S = 1.4


def target(number, software="v1"):
    address = Address("10.0.0.1", number)
    return Target(f"t{number}", "generate", address, "a", 64, software=software)


class Instance:
    """One instance and what it would send to the others.

    Attributes:
        parts: Its suspects.
        gossip: Its facts.
        sent: Facts that it has sent.
    """

    def __init__(self, policy=FULL_POLICY):
        self.software_versions = {("generate", "v1")}
        self.gossip = Gossip()
        self.sent = []
        self.parts = SuspectParts(
            self.gossip,
            lambda facts: self.sent.extend(f for f in facts if f is not None),
            lambda: self.software_versions,
            SILENT_LOGGER,
            policy,
        )

    def crash(self, numbers, *prompts, after=0.5, writing=False, software="v1"):
        """Let targets crash, one after the other, under requests with some parts."""
        for number in numbers:
            since = now() - 5.0 if writing else None
            works = [
                Work(f"w{number}-{i}", parts, since) for i, parts in enumerate(prompts)
            ]
            self.parts.record_crash(target(number, software), works)
            advance(after)

    def complete(self, *parts, software="v1"):
        """Complete a request with some parts."""
        self.parts.record_success(target(99, software), parts)

    def is_held(self, *parts):
        """Return whether a prompt with some parts is held back."""
        return self.parts.find_held(parts) is not None


class SuspectPartsTest(unittest.TestCase):
    """Crashes at one instance."""

    def setUp(self):
        use_paused_clock()
        self.instance = Instance()

    @parameterized.expand([("none", 0), ("four", 4), ("five", 5)])
    def test_five_crashes_quarantine_a_part(self, _, count):
        self.instance.crash(range(count), ("bad",))
        advance(SETTLE_S)
        self.assertEqual(self.instance.is_held("bad", "x"), count == 5)
        self.assertFalse(self.instance.is_held("x"))

    def test_a_target_that_many_instances_report_counts_once(self):
        for _ in range(5):
            self.instance.crash([1], ("bad",))
        advance(SETTLE_S)
        self.assertFalse(self.instance.is_held("bad"))

    def test_a_completed_run_clears_a_part(self):
        """Guards against popular parts that are held back after ordinary crashes."""
        self.instance.crash(range(4), ("popular",), ("bad",))
        self.instance.complete("popular")
        self.instance.crash(range(4, 8), ("popular",), ("bad",))
        advance(SETTLE_S)
        self.assertFalse(self.instance.is_held("popular"))
        self.assertTrue(self.instance.is_held("bad"))

    def test_a_run_from_before_the_crashes_clears_nothing(self):
        """Guards against a part that has become fatal and stays cleared."""
        self.instance.complete("bad")
        self.instance.crash(range(5), ("bad",))
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("bad"))

    def test_a_run_of_other_software_clears_nothing(self):
        self.instance.crash(range(5), ("bad",))
        self.instance.complete("bad", software="v0")
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("bad"))

    def test_companions_are_refused_together_only(self):
        """Guards against a shared part that is refused with the fatal one beside it."""
        self.instance.crash(range(5), ("shared", "bad"))
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("shared", "bad"))
        self.assertFalse(self.instance.is_held("shared"))
        self.instance.complete("shared")
        self.assertTrue(self.instance.is_held("other", "bad"))

    def test_a_part_that_was_written_on_is_in_doubt(self):
        """Guards against popular parts that are held back before they are cleared."""
        self.instance.crash(range(5), ("popular",), writing=True, after=0.2)
        self.assertFalse(self.instance.is_held("popular"))
        self.instance.crash(range(5, 10), ("popular",), writing=True)
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("popular"), "it was not cleared")

    def test_crashes_at_one_moment_count_once(self):
        """Guards against parts that are held back after the loss of a rack."""
        self.instance.crash(range(20), ("popular",), after=0.0)
        advance(SETTLE_S)
        self.assertFalse(self.instance.is_held("popular"))

    def test_a_younger_part_explains_its_crashes(self):
        """Guards against a shared part that is refused for crashes of another one."""
        for number in range(5):
            self.instance.parts.record_crash(
                target(number),
                [
                    Work(f"w{number}", ("bad",)),
                    Work(f"v{number}", ("popular",), now() - 0.1),
                ],
            )
            advance(0.5)
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("bad"))
        self.assertFalse(self.instance.is_held("popular"))

    def test_shared_runs_explain_nothing(self):
        """Guards against a fatal part that sound parts of its prompts explain."""
        for number in range(8):
            self.instance.parts.record_crash(
                target(number),
                [
                    Work(f"w{number}", ("bad", f"topic{number % 2}"), now() - 0.1),
                    Work(f"v{number}", ("bad", f"topic{1 - number % 2}"), now() - 0.4),
                    Work(f"u{number}", ("topic0",), now() - 0.8),
                    Work(f"t{number}", ("topic1",), now() - 0.8),
                ],
            )
            advance(0.5)
        advance(SETTLE_S)
        self.assertEqual([h.part for h in self.instance.parts.held()], ["bad"])

    def test_what_a_quarantined_part_explains(self):
        self.instance.crash(range(5), ("bad",))
        advance(SETTLE_S)
        explains = self.instance.parts.explains_crash
        self.assertTrue(explains("generate", "v1", "t3:0"))
        self.assertFalse(explains("generate", "v1", "t9:0"))

    def test_a_part_with_interrupted_events_is_tried_again(self):
        """Guards against a harmless part that nothing could clear any more."""
        for number in range(5):
            work = Work(f"w{number}", ("maybe",), now() - 0.1)
            self.instance.parts.record_crash(target(number), [work])
            advance(0.5)
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("maybe"))
        advance(4.0)
        self.assertFalse(self.instance.is_held("maybe"), "one request is due")
        self.instance.parts.record_sent(("maybe",))
        self.assertTrue(self.instance.is_held("maybe"), "only one")
        self.instance.complete("maybe")
        self.assertFalse(self.instance.is_held("maybe"))

    def test_trials_end_after_two(self):
        """Guards against a fatal part whose trials crash one target after another."""
        for number in range(5):
            work = Work(f"w{number}", ("maybe",), now() - 0.1)
            self.instance.parts.record_crash(target(number), [work])
            advance(0.5)
        sent = 0
        for _ in range(1_000):
            advance(1.0)
            if not self.instance.is_held("maybe"):
                self.instance.parts.record_sent(("maybe",))
                sent += 1
                work = Work(f"t{sent}", ("maybe",), now() - 0.1)
                advance(0.1)
                self.instance.parts.record_crash(target(100 + sent), [work])
        self.assertEqual(sent, 2)

    def test_a_trial_that_shows_nothing_is_repeated(self):
        """Guards against a harmless part whose only trial found no engine."""
        for number in range(5):
            work = Work(f"w{number}", ("maybe",), now() - 0.1)
            self.instance.parts.record_crash(target(number), [work])
            advance(0.5)
        for _ in range(3):
            advance(2.5)
            self.assertFalse(self.instance.is_held("maybe"))
            self.instance.parts.record_sent(("maybe",))
            self.assertTrue(self.instance.is_held("maybe"))

    def test_a_trial_that_another_part_interrupts_is_repeated(self):
        """Guards against a harmless part whose trial meets a crash of a fatal one."""
        for number in range(5):
            works = [
                Work(f"w{number}", ("maybe",), now() - 0.1),
                Work(f"b{number}", ("bad",), now() - 0.1),
            ]
            self.instance.parts.record_crash(target(number), works)
            advance(0.5)
        for number in range(10, 13):
            advance(3.0)
            self.assertFalse(self.instance.is_held("maybe"), "one request is due")
            self.instance.parts.record_sent(("maybe",))
            advance(0.4)
            works = [Work("w", ("maybe",), now() - 0.3), Work("b", ("bad",))]
            self.instance.parts.record_crash(target(number), works)

    def test_trials_at_one_moment_count_once(self):
        """Guards against a harmless part that two instances try, and then nobody."""
        for number in range(5):
            work = Work(f"w{number}", ("maybe",), now() - 0.1)
            self.instance.parts.record_crash(target(number), [work])
            advance(0.5)
        advance(4.0)
        for number in (8, 9):
            self.instance.parts.record_sent(("maybe",))
            advance(0.05)
            work = Work(f"w{number}", ("maybe",), now() - 0.1)
            self.instance.parts.record_crash(target(number), [work])
        advance(61.0)
        self.assertFalse(self.instance.is_held("maybe"))

    def test_further_decisions_compare_no_run_again(self):
        """Guards against decisions that cost too much while targets crash."""
        common = [f"p{number}" for number in range(12)]
        for number in range(33):
            works = [
                Work(f"w{number}.{n}", tuple(random.sample(common, 6)), now() - n / 20)
                for n in range(60)
            ]
            self.instance.parts.record_crash(target(number), works)
            advance(0.3)
        self.instance.parts.held()
        with mock.patch.object(CrashedRuns, "_runs") as runs:
            advance(0.5)
            self.instance.parts.held()
        runs.assert_not_called()

    def test_a_part_without_interrupted_events_is_not_tried(self):
        self.instance.crash(range(5), ("bad",))
        for _ in range(100):
            advance(10.0)
            self.assertTrue(self.instance.is_held("bad"))

    def test_new_software_allows_one_more_crash(self):
        self.instance.crash(range(5), ("bad",))
        advance(SETTLE_S)
        self.instance.software_versions = {("generate", "v2")}
        advance(SETTLE_S)
        self.assertFalse(self.instance.is_held("bad"))
        self.instance.crash([9], ("bad",), software="v2")
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("bad"))

    def test_quarantine_ends_after_a_day(self):
        self.instance.crash(range(5), ("bad",))
        advance(DAY_S + 10.0)
        self.instance.gossip.drop_expired()
        self.assertFalse(self.instance.is_held("bad"))
        self.assertEqual(len(self.instance.parts), 0)

    def test_operators_allow_a_part(self):
        self.instance.crash(range(5), ("bad",))
        advance(SETTLE_S)
        self.assertEqual([h.part for h in self.instance.parts.held()], ["bad"])
        self.instance.parts.allowed = frozenset(["bad"])
        advance(SETTLE_S)
        self.assertFalse(self.instance.is_held("bad"))

    def test_the_mechanism_can_be_switched_off(self):
        instance = Instance(Policy(frozenset((Mechanism.FATAL_REQUESTS,))))
        instance.crash(range(5), ("bad",))
        advance(SETTLE_S)
        self.assertFalse(instance.is_held("bad"))

    def test_a_flood_of_other_crashes_does_not_evict_it(self):
        """Guards against eviction by a flood of crashes under parts that are rare."""
        self.instance.crash(range(5), ("bad",))
        for number in range(10, 3_010):
            self.instance.crash([number], (f"p{number}",), after=0.0)
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held("bad"))
        self.assertLessEqual(len(self.instance.parts), 2_000)

    def test_a_very_long_prompt(self):
        """Guards against facts that don't fit into a datagram."""
        parts = tuple(f"{n:08x}" for n in range(200))
        self.instance.crash(range(5), (*parts, "bad"))
        self.assertLess(max(len(fact.key) for fact in self.instance.sent), 600)
        advance(SETTLE_S)
        self.assertTrue(self.instance.is_held(*parts, "bad"))


class SharedKnowledgeTest(unittest.TestCase):
    """Facts that reach instances in any order, twice or late."""

    def setUp(self):
        use_paused_clock()
        random.seed(5)

    def test_all_instances_decide_the_same(self):
        """Guards against a quarantine that depends on the order of news."""
        instances = [Instance() for _ in range(3)]
        for number in range(6):
            instances[number % 3].crash([number], ("bad", "a"), ("popular", "a"))
            instances[(number + 1) % 3].complete("popular", "a")
        facts = [fact for instance in instances for fact in instance.sent]
        for instance in instances:
            instance.gossip.merge(random.sample(facts, len(facts)))
            instance.gossip.merge(random.sample(facts, len(facts)))
        # One more completed run reaches all.
        instances[0].sent.clear()
        instances[0].complete("popular", "a")
        for instance in instances:
            instance.gossip.merge(instances[0].sent)
        advance(SETTLE_S)
        for instance in instances:
            self.assertEqual([h.part for h in instance.parts.held()], ["bad"])

    def test_a_clearing_that_overtakes_its_crash(self):
        """Guards against a part that is held back as its clearing came first."""
        first, second = Instance(), Instance()
        first.crash(range(5), ("popular",))
        first.complete("popular")
        second.gossip.merge(list(reversed(first.sent)))
        advance(SETTLE_S)
        self.assertFalse(second.is_held("popular"))


class SharedPartsTest(unittest.TestCase):
    """The parts of a prompt that are considered."""

    @parameterized.expand(
        [
            ("none", "", ()),
            ("only_the_last", "a", ()),
            ("all_but_the_last", "a,b,c", ("a", "b")),
            ("a_part_that_stands_twice", "a,b,a,c", ("a", "b")),
            ("first_and_last", "a,b,a", ("a", "b")),
        ]
    )
    def test_shared_parts(self, _, text, expected):
        prompt = tuple(PromptPart(part, 9) for part in text.split(",") if part)
        head = RequestHead("r", b"POST", b"/", "h", "", 1.0, prompt=prompt)
        self.assertEqual(head.shared_parts, expected)

    @parameterized.expand([("long", "f" * 4_000), ("odd", "a\tb c")])
    def test_ids_that_no_line_holds_are_digested(self, _, part_id):
        """Guards against log lines and datagrams that callers can blow up."""
        prompt = (PromptPart(part_id, 9), PromptPart("x", 9))
        head = RequestHead("r", b"POST", b"/", "h", "", 1.0, prompt=prompt)
        (name,) = head.shared_parts
        self.assertRegex(name, "^[0-9a-f]{16}$")
