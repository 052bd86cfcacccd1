"""Which engine a request is sent to."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.engine_choice import (
    EngineView,
    choose_engine,
    prefix_key,
)
from bergamotsaddle_serving.messages import PromptPart

PROMPT = (PromptPart("shared", 13_000), PromptPart("own", 3_000))


def engines(**changes_by_id):
    """Return four idle engines, some of them with changed fields."""
    views = []
    for number, name in enumerate(("e1", "e2", "e3", "e4")):
        view = EngineView(name, "ab"[number % 2], 64, 0, 0, False)
        views.append(view._replace(**changes_by_id.get(name, {})))
    return views


def choose(candidates, *, objective=1.0, prompt=PROMPT):
    """Choose an engine for a request whose stages take 0.3 s in every zone."""
    tokens = sum(part.tokens for part in prompt)
    return choose_engine(
        candidates, prompt, tokens, objective=objective, stage_seconds=lambda _: 0.3
    )


class EngineChoiceTest(unittest.TestCase):
    """The engine for one request, by the state of all engines."""

    def test_every_instance_prefers_the_same_engine(self):
        """Guards against a shared prompt prefix that many engines have to prefill.

        Each instance gets some of the requests with one prefix. If each preferred an
        engine of its own, the long prefix would be prefilled once for each of them.
        """
        first = choose(engines())
        second = choose(list(reversed(engines())))
        self.assertEqual(first.engine.id, second.engine.id)
        self.assertEqual(first.reason, "home")

    def test_prefixes_spread_over_engines(self):
        preferred = {
            choose(engines(), prompt=(PromptPart(f"s{n}", 9), PROMPT[1])).engine.id
            for n in range(40)
        }
        self.assertEqual(len(preferred), 4)

    @parameterized.expand(
        [
            ("calm", {}, True),
            ("busy_within_objective", {"tokens_ahead": 10_000}, True),
            ("overrun", {"tokens_ahead": 90_000}, False),
            ("failing", {"delay": 5.0}, False),
        ]
    )
    def test_preferred_engine_is_avoided_only_if_it_would_be_late(
        self, _, change, is_chosen
    ):
        preferred = choose(engines()).engine.id
        chosen = choose(engines(**{preferred: change})).engine.id
        self.assertEqual(chosen == preferred, is_chosen)

    def test_no_engine(self):
        self.assertIsNone(choose([]))

    def test_key_excludes_the_part_of_one_request(self):
        self.assertEqual(prefix_key(PROMPT), "shared")
        self.assertEqual(prefix_key(PROMPT[:1]), "shared")
