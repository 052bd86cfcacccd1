"""Tests for sums over reports that are kept from one roster to the next."""

import random
import unittest
from typing import NamedTuple

from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.report_sums import ReportSums
from bergamotsaddle_serving.stage_load import URGENCIES

SEEDS = range(20)
STEPS = 60
INSTANCES = 12
TARGETS = ("e1", "e2", "e3")
QUEUES = (("encode", "a"), ("encode", "b"), ("rerank", "a"))
MAX_COUNT = 3


class Report(NamedTuple):
    """The last report of an instance."""

    contact: Contact
    running: dict[str, int]
    prefill_tokens: dict[str, int]
    pending: list[tuple[str, str, list[int]]]


def make_report(rng, name):
    """Return a report with random counts."""
    return Report(
        Contact(name, "a", name),
        {t: rng.randint(1, MAX_COUNT) for t in TARGETS if rng.random() < 0.5},
        {t: rng.randint(1, MAX_COUNT) for t in TARGETS if rng.random() < 0.3},
        [
            (*queue, [rng.randint(0, MAX_COUNT) for _ in range(URGENCIES)])
            for queue in QUEUES
            if rng.random() < 0.4
        ],
    )


def sum_counts(reports):
    """Return the sums of counts by key."""
    sums = {}
    for report in reports:
        for key, count in report.items():
            sums[key] = sums.get(key, 0) + count
    return sums


def sum_pending(members):
    """Return the pending pieces by queue, counted anew."""
    sums = {}
    for member in members:
        for service, scope, counts in member.pending:
            known = sums.get((service, scope), [0] * URGENCIES)
            sums[service, scope] = [a + b for a, b in zip(known, counts, strict=True)]
    return {queue: counts for queue, counts in sums.items() if any(counts)}


class ReportSumsTest(unittest.TestCase):
    """Instances that come, go and report."""

    def test_sums_equal_those_counted_anew(self):
        """Guards against reports that count although they were replaced or ended."""
        for seed in SEEDS:
            rng = random.Random(seed)
            sums = ReportSums()
            member_by_name = {}
            for step in range(STEPS):
                for name in rng.sample(range(INSTANCES), rng.randint(0, 3)):
                    member_by_name[name] = make_report(rng, f"i{name}")
                for name in rng.sample(range(INSTANCES), rng.randint(0, 2)):
                    member_by_name.pop(name, None)
                members = list(member_by_name.values())
                rng.shuffle(members)
                sums.update(members)
                with self.subTest(seed=seed, step=step):
                    self.assertEqual(
                        dict(sums.totals.running),
                        sum_counts(m.running for m in members),
                    )
                    self.assertEqual(
                        dict(sums.totals.prefill_tokens),
                        sum_counts(m.prefill_tokens for m in members),
                    )
                    self.assertEqual(sums.pending_by_queue, sum_pending(members))

    def test_an_instance_that_starts_again_counts_once(self):
        sums = ReportSums()
        for running in ({"e1": 2}, {"e1": 3}, {}):
            report = Report(Contact("i1", "a", "h"), running, {}, [])
            sums.update([report])
            self.assertEqual(dict(sums.totals.running), running)


if __name__ == "__main__":
    unittest.main()
