"""The sentence that ends a request's story."""

import unittest

from parameterized import parameterized

from bergamotsaddle_cli.cause import describe_cause
from bergamotsaddle_cli.logs import LogLine


def line(event, **details):
    """A line of a story."""
    return LogLine("", "a1", event, details)


WHOLE = line("request", outcome="whole", seconds=1.5)
REFUSED = line("request", outcome="deadline_infeasible", seconds=0.01)
TURNED_AWAY = line("turn_away", expected=1.5, idle=0.5)
AGAIN = line("stage_again", stage=2, reason="gone")
FAILED = line("attempt_failed", target="i-1", reason="silent")
SLOW_STAGE = line("stages_done", stages=[[0, "east", 0.2, 0.3], [1, "east", 0.2, 0.9]])
SLOW_ENGINE = line("first_event", target="i-1", seconds=1.1, expected=0.1)
FAST_ENGINE = line("first_event", target="i-1", seconds=0.12, expected=0.1)


class CauseTest(unittest.TestCase):
    """Stories with one thing that went wrong, or none."""

    @parameterized.expand(
        [
            ("unfinished", [AGAIN], "not ended"),
            ("refused", [TURNED_AWAY, REFUSED], "1.00 s of them behind other requests"),
            ("again", [SLOW_STAGE, AGAIN, WHOLE], "Stage 2 was done again (gone)"),
            ("failed", [FAILED, WHOLE], "Target i-1 did not serve it (silent)"),
            ("stage", [SLOW_STAGE, FAST_ENGINE, WHOLE], "stage 1 at east, 0.90 s"),
            ("engine", [SLOW_STAGE, SLOW_ENGINE, WHOLE], "engine i-1, 1.10 s"),
            ("calm", [FAST_ENGINE, WHOLE], "Nothing went wrong"),
        ]
    )
    def test_cause(self, _, story, words):
        self.assertIn(words, describe_cause(story))
