"""Tests for the view: the newest published entry wins, whatever its source."""

import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.messages import StoreEntry, StorePosition
from bergamotsaddle_serving.view import LAPSE_GRACE_S, REWRITE_GRACE_S, View
from tests._paused import advance
from tests._stages import BATCHING
from tests.test_platform_dialect import make_entry

TARGET = {
    "service": "s",
    "address": "10.0.0.1:80",
    "zone": "a",
    "slots": 4,
    "state": "ready",
    "coldRemainingMs": 0,
    "seq": 1,
    "born": 5,
}
ENTRY_TTL_S = 4.0
CONFIG = {"version": 3, "routes": [], "services": []}


def entry(key, revision, value=None, **changes):
    """Return an entry of the store; without a value it is a deletion."""
    body = None if value is None else msgspec.json.encode(value | changes)
    return StoreEntry(key, revision, body)


def at(revision, era=0):
    """Return a place in the store's history."""
    return StorePosition(era, revision)


def make_view():
    """Return a view without a store."""
    return View(PlatformDialect(), mock.Mock(), entry_ttl=ENTRY_TTL_S)


class ViewTest(unittest.TestCase):
    """The view of one instance."""

    def setUp(self):
        self.view = make_view()

    def apply(self, *entries):
        """Apply entries to the view."""
        position = max(e.position for e in entries)
        self.view.apply(entries, position, source="test")

    def usable_ids(self):
        """Return the ids of the targets that may get work."""
        return [known.target.id for known in self.view.usable("s")]

    @parameterized.expand(
        [
            ("nested", b"[" * 2_000),
            ("long_number", make_entry(coldRemainingMs=b"9" * 400)),
        ]
    )
    def test_entries_behind_one_that_can_not_be_read(self, _, value):
        """Guards against changes that stay out of force beside such an entry."""
        unreadable = StoreEntry("servers/x", 1, value)
        self.apply(
            unreadable, entry("op/config", 2, CONFIG), entry("servers/t", 3, TARGET)
        )
        self.assertEqual(self.view.configuration.version, 3)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_entries_behind_one_that_can_not_be_applied(self):
        """Guards against entries that count as known and are never in force."""
        entries = [entry("servers/a", 1, TARGET), entry("servers/t", 2, TARGET)]
        decode = self.view._dialect.decode

        def fail(listed):
            if listed.key == "servers/a":
                raise RuntimeError("unexpected")
            return decode(listed)

        with mock.patch.object(
            self.view, "_dialect", mock.Mock(wraps=decode)
        ) as dialect:
            dialect.decode = fail
            with self.assertRaises(RuntimeError):
                self.apply(*entries)
            self.apply(*entries)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_older_updates_change_nothing(self):
        """A peer that was cut off sends outdated entries.

        If they were applied, a target that has left would get work again.
        """
        self.apply(entry("servers/t", 9, TARGET, state="draining"))
        self.apply(entry("servers/t", 8, TARGET))
        self.assertEqual(self.usable_ids(), [])

    def test_a_first_snapshot_is_complete_when_listeners_run(self):
        """An instance starts while nothing changes for a while.

        If listeners ran before the view counts as complete, the instance would not
        offer to own queues until the next change, and after a restart of all instances
        no stage would run.
        """
        seen = []
        self.view.subscribe(lambda: seen.append(self.view.is_complete()))
        self.view.replace([entry("op/config", 4, CONFIG)], at(4), source="test")
        self.assertEqual(seen, [True])

    def test_an_older_version_of_the_configuration_is_never_applied(self):
        self.apply(entry("op/config", 4, CONFIG, version=9))
        self.apply(entry("op/config", 5, CONFIG, version=8))
        self.assertEqual(self.view.configuration.version, 9)

    def test_stage_services_are_known_while_they_have_targets(self):
        """Guards against a list that keeps the services of all versions."""
        stage = {"name": "s", "pieces": BATCHING}
        other = {"name": "other", "pieces": BATCHING}
        slow = {"name": "s", "pieces": BATCHING | {"callMs": 900.0}}
        self.apply(entry("servers/t", 1, TARGET))
        for version, services, expected in (
            (3, [stage, other], {"s": 0.15, "other": 0.15}),
            (4, [slow], {"s": 0.9}),
            (5, [], {"s": 0.9}),
            (6, [{"name": "s"}], {"s": 0.9}),
            (7, [stage], {"s": 0.15}),
        ):
            self.apply(
                entry("op/config", version, CONFIG, version=version, services=services)
            )
            known = self.view.batching_by_service.items()
            self.assertEqual({s: b.call_seconds for s, b in known}, expected)
        self.apply(entry("servers/t", 8))
        self.apply(entry("op/config", 9, CONFIG, version=9))
        self.assertEqual(self.view.batching_by_service, {})

    @parameterized.expand(
        [
            ("no_state", {"state": "odd"}),
            ("no_address", {"address": 5}),
            ("slots", {"slots": "many"}),
            ("service", {"service": None}),
        ]
    )
    def test_malformed_entries_add_no_target(self, _, change):
        self.apply(entry("servers/t", 4, TARGET | change))
        self.assertEqual(self.usable_ids(), [])

    def test_evacuated_zones_get_no_work_until_readmitted(self):
        self.apply(entry("servers/t", 4, TARGET), entry("op/evacuate/a", 5, {}))
        self.assertEqual(self.usable_ids(), [])
        self.apply(entry("op/evacuate/a", 6))
        self.assertEqual(self.usable_ids(), ["t"])
        self.assertTrue(self.view.is_cold(self.view.usable("s")[0]))

    def test_usable_targets_change_with_each_of_their_inputs(self):
        """Guards against a list of usable targets that outlives what it came from."""
        target = ("t", 5)
        for number, (change, usable) in enumerate(
            (
                (lambda n: self.apply(entry("servers/t", n, TARGET)), ["t"]),
                (lambda n: self.apply(entry("servers/u", n, TARGET)), ["t", "u"]),
                (lambda n: self.apply(entry("servers/u", n)), ["t"]),
                (lambda n: self.view.mark_leaving(target, is_leaving=True), []),
                (lambda n: self.view.mark_leaving(target, is_leaving=False), ["t"]),
                (lambda n: self.apply(entry("op/evacuate/a", n, {})), []),
                (lambda n: self.apply(entry("op/evacuate/a", n)), ["t"]),
                (
                    lambda n: self.apply(
                        entry("servers/t", n, TARGET, state="draining")
                    ),
                    [],
                ),
                (lambda n: self.apply(entry("servers/t", n, TARGET, born=6)), ["t"]),
                (lambda n: self.view.replace([], at(n), source="store"), []),
            )
        ):
            change(number + 1)
            with self.subTest(step=number):
                self.assertEqual(self.usable_ids(), usable)
                self.assertIs(self.view.usable("s"), self.view.usable("s"))

    def test_software_versions_change_with_the_targets(self):
        """Guards against versions that outlive the targets that run them."""
        other = TARGET | {"service": "x"}
        for number, (name, value, services) in enumerate(
            (
                ("t", TARGET, "s"),
                ("u", other, "sx"),
                ("t", None, "x"),
                ("u", TARGET, "s"),
                ("u", None, ""),
            )
        ):
            self.apply(entry(f"servers/{name}", number + 1, value))
            with self.subTest(step=number):
                versions = {(service, "") for service in services}
                self.assertEqual(self.view.software_versions(), versions)

    def test_a_snapshot_deletes_missing_entries(self):
        self.apply(entry("servers/t", 4, TARGET))
        self.view.replace([], at(7), source="store")
        self.assertEqual(self.usable_ids(), [])

    def test_lapsed_entries_stay_until_the_store_has_been_back_for_a_while(self):
        """Targets could not write to the store while it was away.

        Their entries lapse although the targets are alive. Dropping all of them at once
        would leave callers without any target.
        """
        self.apply(entry("servers/t", 4, TARGET))
        advance(1.0)
        self.view.store_regained_at = self.now()
        self.apply(entry("servers/t", 5))
        self.assertEqual(self.usable_ids(), ["t"])
        advance(LAPSE_GRACE_S + 0.1)
        self.view.drop_lapsed()
        self.assertEqual(self.usable_ids(), [])

    def test_an_entry_that_is_renewed_in_time_stays(self):
        self.apply(entry("servers/t", 4, TARGET))
        self.view.store_regained_at = self.now()
        self.apply(entry("servers/t", 5))
        self.apply(entry("servers/t", 6, TARGET))
        advance(LAPSE_GRACE_S + 0.1)
        self.view.drop_lapsed()
        self.assertEqual(self.usable_ids(), ["t"])

    def test_work_chosen_before_a_change_is_not_sent_after_it(self):
        self.apply(entry("servers/t", 4, TARGET))
        target = self.view.usable("s")[0].target
        self.assertTrue(self.view.may_get_work(target))
        self.apply(entry("servers/t", 5, TARGET, born=6))
        self.assertFalse(self.view.may_get_work(target))

    def restore(self, *entries, revision=3, era=1):
        """Apply the first list of a store that has come back from an older copy."""
        self.view.store_regained_at = self.now()
        stamped = [listed._replace(era=era) for listed in entries]
        self.view.replace(stamped, at(revision, era), source="store")

    def pass_grace(self, seconds):
        """Let some time pass after the store came back."""
        advance(seconds)
        self.view.drop_lapsed()

    def test_targets_that_a_copy_lacks_have_lapsed(self):
        """Guards against callers without targets once the store is back."""
        self.view.replace([entry("servers/t", 4, TARGET)], at(4), source="test")
        self.restore()
        self.assertEqual(self.usable_ids(), ["t"])
        self.pass_grace(LAPSE_GRACE_S + 0.1)
        self.assertEqual(self.usable_ids(), [])

    def test_a_target_that_is_written_again_stays(self):
        self.view.replace([entry("servers/t", 4, TARGET)], at(4), source="test")
        self.restore()
        self.apply(entry("servers/t", 4, TARGET)._replace(era=1))
        self.pass_grace(LAPSE_GRACE_S + 0.1)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_a_target_that_the_copy_has_is_not_cold_again(self):
        """Guards against a fleet of cold targets whenever the store comes back."""
        cold = entry("servers/t", 2, TARGET, coldRemainingMs=3000)
        self.view.replace([cold], at(4), source="test")
        advance(3.1)
        self.restore(cold)
        self.assertFalse(self.view.is_cold(self.view.usable("s")[0]))

    def list_again(self):
        """Let a copy list a removed target, under a revision that is not known."""
        self.view.replace([entry("servers/t", 4, TARGET)], at(4), source="test")
        self.apply(entry("servers/t", 6))
        advance(LAPSE_GRACE_S + 1.0)
        self.restore(entry("servers/t", 5, TARGET), revision=5)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_a_removal_that_a_copy_undoes_holds_once_it_is_written_again(self):
        """Guards against work for a target whose removal was known before a return."""
        self.list_again()
        self.apply(entry("servers/t", 6)._replace(era=1))
        self.assertEqual(self.usable_ids(), [])

    def test_a_removal_that_one_copy_undoes_and_the_next_one_has(self):
        """Guards against the same where the store returns twice in a row."""
        self.list_again()
        advance(0.3)
        self.restore(era=2)
        self.assertEqual(self.usable_ids(), [])

    def test_a_removed_target_that_is_listed_for_long_lapses_like_others(self):
        """Guards against a target dropped at once though it came back meanwhile."""
        self.list_again()
        advance(LAPSE_GRACE_S + 1.0)
        self.apply(entry("servers/t", 7, TARGET, seq=2)._replace(era=1))
        self.view.store_regained_at = self.now()
        self.apply(entry("servers/t", 8)._replace(era=1))
        self.assertEqual(self.usable_ids(), ["t"])

    def test_a_target_that_was_gone_returns_if_it_still_writes(self):
        """Guards against a target that lapsed before and is never used again."""
        target = entry("servers/t", 2, TARGET)
        self.view.replace([target], at(2), source="test")
        self.apply(entry("servers/t", 4))
        self.restore(target)
        self.assertEqual(self.usable_ids(), [])
        self.pass_grace(ENTRY_TTL_S + LAPSE_GRACE_S + 0.1)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_a_target_that_was_gone_stays_gone(self):
        target = entry("servers/t", 2, TARGET)
        self.view.replace([target], at(2), source="test")
        self.apply(entry("servers/t", 4))
        self.restore(target)
        self.apply(entry("servers/t", 4)._replace(era=1))
        self.pass_grace(ENTRY_TTL_S + LAPSE_GRACE_S + 0.1)
        self.assertEqual(self.usable_ids(), [])

    def test_a_target_that_was_gone_stays_gone_after_two_returns(self):
        """Guards against a deletion that is taken for a lapse once it is repeated."""
        target = entry("servers/t", 2, TARGET)
        self.view.replace([target], at(2), source="test")
        self.apply(entry("servers/t", 4))
        self.restore(target)
        self.apply(entry("servers/t", 4)._replace(era=1))
        self.restore(target, era=2)
        self.assertEqual(self.usable_ids(), [])

    def test_an_evacuation_that_a_copy_lacks_holds_until_it_is_written_again(self):
        """Guards against work for a zone that operators have not readmitted."""
        evacuation = entry("op/evacuate/a", 4, {})
        target = entry("servers/t", 2, TARGET)
        self.view.replace([target, evacuation], at(4), source="test")
        self.restore(target)
        self.pass_grace(LAPSE_GRACE_S + 0.1)
        self.assertEqual(self.usable_ids(), [])
        self.pass_grace(REWRITE_GRACE_S)
        self.assertEqual(self.usable_ids(), ["t"])

    def test_an_evacuation_that_was_over_begins_if_it_stays_listed(self):
        """Guards against an evacuation that is taken for one of the copy forever."""
        evacuation = entry("op/evacuate/a", 2, {})
        self.view.replace([evacuation], at(2), source="test")
        self.apply(entry("op/evacuate/a", 4))
        self.restore(evacuation)
        self.assertEqual(self.view.evacuated_zones, set())
        self.pass_grace(REWRITE_GRACE_S + 0.1)
        self.assertEqual(self.view.evacuated_zones, {"a"})

    def test_a_late_list_of_an_earlier_era_deletes_nothing(self):
        """Guards against targets that a delayed response takes away."""
        self.view.replace([], at(9), source="test")
        self.restore(entry("servers/t", 2, TARGET))
        self.view.replace([], at(20), source="peer")
        self.assertEqual(self.usable_ids(), ["t"])
        self.assertEqual(self.view.position, at(3, era=1))

    def now(self):
        """Return the time of the paused hub."""
        from bergamotsaddle_daemon.clock import now

        return now()
