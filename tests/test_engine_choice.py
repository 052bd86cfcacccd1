"""Which engine a request goes to."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.engine_choice import EngineView, choose_engine, prefix_key
from bergamotsaddle_serving.messages import PromptPart

PROMPT = (PromptPart("shared", 13_000), PromptPart("own", 3_000))


def engines(**changes_by_id):
    """Four idle engines, some of them changed."""
    found = []
    for number, name in enumerate(("e1", "e2", "e3", "e4")):
        view = EngineView(name, "ab"[number % 2], 64, 0, 0, False)
        found.append(view._replace(**changes_by_id.get(name, {})))
    return found


def choose(candidates, *, objective=1.0, prompt=PROMPT):
    """Choose without stages."""
    tokens = sum(part.tokens for part in prompt)
    return choose_engine(
        candidates, prompt, tokens, objective=objective, stage_seconds=lambda _: 0.3
    )


class EngineChoiceTest(unittest.TestCase):
    """One request against the state of the engines."""

    def test_every_instance_finds_the_same_home(self):
        """Each instance sees a part of the requests about one subject.

        If each had an engine of its own for it, its long shared prompt would be read
        once for each of them.
        """
        first = choose(engines())
        second = choose(list(reversed(engines())))
        self.assertEqual(first.engine.id, second.engine.id)
        self.assertEqual(first.reason, "home")

    def test_subjects_spread_over_engines(self):
        homes = {
            choose(engines(), prompt=(PromptPart(f"s{n}", 9), PROMPT[1])).engine.id
            for n in range(40)
        }
        self.assertEqual(len(homes), 4)

    @parameterized.expand(
        [
            ("calm", {}, True),
            ("busy_within_objective", {"tokens_ahead": 10_000}, True),
            ("overrun", {"tokens_ahead": 90_000}, False),
            ("failing", {"delay": 5.0}, False),
        ]
    )
    def test_home_is_left_only_if_it_would_be_late(self, _, change, stays):
        home = choose(engines()).engine.id
        chosen = choose(engines(**{home: change})).engine.id
        self.assertEqual(chosen == home, stays)

    def test_no_engine(self):
        self.assertIsNone(choose([]))

    def test_key_leaves_out_the_requests_own_part(self):
        self.assertEqual(prefix_key(PROMPT), "shared")
        self.assertEqual(prefix_key(PROMPT[:1]), "shared")
