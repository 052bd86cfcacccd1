"""Tests for the totals of what instances report about shared engines."""

import unittest
from typing import NamedTuple

from bergamotsaddle_serving.decisions.engine_choice import EngineView, choose_engine
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.target_totals import TargetTotals

PROMPT = (PromptPart("shared", 6_000), PromptPart("own", 3_000))
NAMES = ("e1", "e2", "e3", "e4")
LONG_PROMPT_TOKENS = 13_000


class ReportedLoad(NamedTuple):
    """The load that one instance reports in a heartbeat."""

    running: dict[str, int]
    prefill_tokens: dict[str, int]


def choose(totals):
    """Return the engine that is chosen with the totals of other instances."""
    views = [
        EngineView(
            name,
            "a",
            64,
            totals.running[name],
            totals.prefill_tokens[name],
            has_cached_prefix=False,
        )
        for name in NAMES
    ]
    return choose_engine(
        views, PROMPT, 9_000, objective=1.4, stage_seconds=lambda _: 0.6
    ).engine.id


class SharedPrefillTest(unittest.TestCase):
    """Bursts on few subjects that arrive at all instances."""

    def test_an_engine_with_prefill_of_other_instances_is_avoided(self):
        """Six instances each send two long prompts to one engine.

        Each instance knows only its own two. A seventh would queue its request behind
        all twelve, and the first event would be seconds late while other engines idle.
        """
        preferred = choose(TargetTotals())
        reported = ReportedLoad({preferred: 2}, {preferred: 2 * LONG_PROMPT_TOKENS})
        self.assertNotEqual(choose(TargetTotals([reported] * 6)), preferred)

    def test_sums(self):
        reported = [
            ReportedLoad({"e1": 2}, {"e1": 500}),
            ReportedLoad({"e1": 1, "e2": 4}, {}),
        ]
        totals = TargetTotals(reported)
        self.assertEqual(totals.running, {"e1": 3, "e2": 4})
        self.assertEqual(totals.prefill_tokens["e1"], 500)
        self.assertEqual(totals.prefill_tokens["e2"], 0)
