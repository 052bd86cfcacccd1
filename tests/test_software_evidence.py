"""What the store proves about software versions that served before a start."""

import unittest
from math import inf

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.messages import StoreEntry
from bergamotsaddle_serving.software_evidence import StoredTarget, weigh_evidence
from bergamotsaddle_serving.store_history import StoreHistory, find_history

KEPT_S = 20.0
UNIX_S = 1_000_000.0


def stored(name, revision, software="v1", *, is_new=False, age=300.0, service="s"):
    """Return a write of a target's entry, or its deletion if it has no software.

    Args:
        name: Id of the target.
        revision: Store revision of the write.
        software: Its version.
        is_new: Whether the write created the entry.
        age: Seconds since the target's start.
        service: Its service.
    """
    if software is None:
        return StoredTarget(name, revision, is_new=False, target=None)
    started_ms = int((UNIX_S - age) * 1000)
    address = Address("127.0.0.1", 9)
    target = Target(
        name, service, address, "a", 4, started_ms=started_ms, software=software
    )
    return StoredTarget(name, revision, is_new=is_new, target=target)


def weigh(listed, changes=(), since=10, *, kept_seconds=KEPT_S):
    """Return the versions of a service and for how many seconds they are known."""
    evidence = weigh_evidence(
        listed, changes, since, kept_seconds=kept_seconds, unix_seconds=UNIX_S
    )
    versions = {software for service, software in evidence.versions if service == "s"}
    return versions, evidence.seconds


OLD = stored("a", 3)


class EvidenceTest(unittest.TestCase):
    """Lists and histories in which a version may be hidden, or can't be."""

    @parameterized.expand(
        [
            ("nothing_happened", [], 10, {"v1"}, KEPT_S),
            ("all_is_known", [stored("a", 3, is_new=True)], 0, {"v1"}, inf),
            ("a_heartbeat", [stored("a", 12)], 10, {"v1"}, KEPT_S),
            ("another_one_started", [stored("b", 12, "v2", is_new=True)], 10,
             {"v1", "v2"}, KEPT_S),
            ("another_one_drained_and_left",
             [stored("b", 12, "v2"), stored("b", 14, None)], 10,
             {"v1", "v2"}, KEPT_S),
            ("one_of_another_service_drained_and_left",
             [stored("b", 12, "v2", service="t"), stored("b", 14, None)], 10,
             {"v1"}, KEPT_S),
            ("one_came_and_left",
             [stored("b", 12, "v2", is_new=True, age=9.0), stored("b", 14, None)], 0,
             {"v1", "v2"}, inf),
        ]
    )  # fmt: skip
    def test_all_versions_are_known(self, _, changes, since, versions, seconds):
        """Guards against streams that end although no other version began them."""
        self.assertEqual(weigh([OLD], changes, since), (versions, seconds))

    @parameterized.expand(
        [
            ("one_has_left", [OLD], [stored("b", 14, None)]),
            ("one_has_left_and_returned", [OLD, stored("b", 15, is_new=True)],
             [stored("b", 14, None), stored("b", 15, is_new=True)]),
            ("restarted_under_its_id", [stored("a", 12, age=9.0)],
             [stored("a", 12, age=9.0)]),
            ("restarted_as_the_history_begins", [stored("a", 12, age=KEPT_S)],
             [stored("a", 12, age=KEPT_S)]),
            ("a_younger_change_is_lacking", [stored("a", 10, age=9.0)], []),
            ("a_younger_entry_is_lacking", [OLD, stored("b", 9, age=9.0)], []),
        ]
    )  # fmt: skip
    def test_a_version_may_be_hidden(self, _, listed, changes):
        """Guards against streams that go on at a version that did not begin them."""
        _, seconds = weigh(listed, changes)
        self.assertEqual(seconds, 0.0)

    def test_a_platform_that_does_not_say_how_long_it_keeps_changes(self):
        """Guards against a history that is taken to be longer than it is."""
        self.assertEqual(weigh([OLD], kept_seconds=0.0)[1], 0.0)


class SearchTest(unittest.TestCase):
    """The search for the oldest change that the store still has."""

    @parameterized.expand(
        [
            (kept_after, last)
            for last in (1, 2, 3, 10, 1_000, 1_000_000)
            for kept_after in {0, 1, last // 2, last - 30, last - 1, last}
            if 0 <= kept_after <= last
        ]
    )
    def test_it_finds_all_changes(self, kept_after, last):
        """Guards against a version that is in the history and isn't found."""
        calls = []

        def watch(revision):
            calls.append(revision)
            if revision < kept_after:
                return None
            first, end = max(revision, last - 100), last + 1
            return [StoreEntry("k", n, b"") for n in range(first + 1, end)]

        found = find_history(watch, last)
        self.assertEqual(found.since, kept_after)
        expected = [] if kept_after == last else watch(kept_after)
        self.assertEqual(found, StoreHistory(kept_after, expected))
        self.assertLess(len(calls), 45)

    def test_a_short_history_takes_few_calls(self):
        """Guards against a store that is overloaded as all instances return."""
        calls = []

        def watch(revision):
            calls.append(revision)
            return None if revision < 999_970 else []

        find_history(watch, 1_000_000)
        self.assertLessEqual(len(calls), 12)
