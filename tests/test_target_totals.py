"""What instances know of engines that others use as well."""

import unittest
from typing import NamedTuple

from bergamotsaddle_serving.engine_choice import EngineView, choose_engine
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.target_totals import TargetTotals

PROMPT = (PromptPart("shared", 6_000), PromptPart("own", 3_000))
NAMES = ("e1", "e2", "e3", "e4")
LONG_PROMPT_TOKENS = 13_000


class Told(NamedTuple):
    """What one instance tells in a heartbeat."""

    running: dict[str, int]
    prefill_tokens: dict[str, int]


def choose(totals):
    """Choose an engine with what others told."""
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


class SharedReadingTest(unittest.TestCase):
    """Bursts about few subjects that come in at all instances."""

    def test_an_engine_that_others_keep_reading_is_left(self):
        """Six instances each send two long prompts to one engine.

        Each sees its own two only. A seventh would send its request behind all twelve,
        and the first event would come seconds too late while other engines rest.
        """
        home = choose(TargetTotals())
        told = Told({home: 2}, {home: 2 * LONG_PROMPT_TOKENS})
        self.assertNotEqual(choose(TargetTotals([told] * 6)), home)

    def test_sums(self):
        told = [Told({"e1": 2}, {"e1": 500}), Told({"e1": 1, "e2": 4}, {})]
        totals = TargetTotals(told)
        self.assertEqual(totals.running, {"e1": 3, "e2": 4})
        self.assertEqual(totals.prefill_tokens["e1"], 500)
        self.assertEqual(totals.prefill_tokens["e2"], 0)
