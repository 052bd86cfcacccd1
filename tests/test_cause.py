"""The sentence about the cause that ends the explanation of a request."""

import unittest

from parameterized import parameterized

from bergamotsaddle_cli.cause import describe_cause
from bergamotsaddle_cli.logs import LogLine


def line(event, **details):
    """Return a log line of a request."""
    return LogLine("", "a1", event, details)


COMPLETE = line("request", outcome="whole", seconds=1.5)
INFEASIBLE = line("request", outcome="deadline_infeasible", seconds=0.01)
REJECTED = line("turn_away", expected=1.5, idle=0.5)
STAGE_AGAIN = line("stage_again", stage=2, reason="gone")
FAILED = line("attempt_failed", target="i-1", reason="silent")
SILENT = line(
    "silence_ended", target="i-1", end="goes on", lack="no repeat is left", seconds=0.2
)
HEDGED = line("request_hedged", target="i-1", hedge="i-2", seconds=0.12)
HEDGE_WON = line("hedge_ended", target="i-2", end="won")
OVERLOADED = line("handed_over", helper="b2", outcome="overloaded")
HANDED_OVER = line("handed_over", helper="c1", outcome="whole")
SLOW_STAGE = line("stages_done", stages=[[0, "east", 0.2, 0.3], [1, "east", 0.2, 0.9]])
SLOW_ENGINE = line("first_event", target="i-1", seconds=1.1, expected=0.1)
FAST_ENGINE = line("first_event", target="i-1", seconds=0.12, expected=0.1)

RESUMED = line(
    "stream_resumed", stream="r0", service="s", software="v1", known_by="i2", reason=""
)
GONE = line(
    "resumption_refused",
    stream="r0",
    service="s",
    software="v1",
    known_by="here",
    reason="version v1 of s has no target",
)
UNKNOWN = line(
    "resumption_refused",
    stream="",
    service="s",
    software="",
    known_by="",
    reason="which version began the stream is unknown",
)


class CauseTest(unittest.TestCase):
    """Log lines of requests with at most one problem."""

    @parameterized.expand(
        [
            ("unfinished", [STAGE_AGAIN], "not ended"),
            (
                "hedged",
                [HEDGED, HEDGE_WON, COMPLETE],
                "Hedged at target i-2 (end: won), as target i-1 had not responded for "
                "0.12 s",
            ),
            ("refused", [REJECTED, INFEASIBLE], "1.00 s of them behind other requests"),
            (
                "again",
                [SLOW_STAGE, STAGE_AGAIN, COMPLETE],
                "Stage 2 was done again (gone)",
            ),
            ("failed", [FAILED, COMPLETE], "Target i-1 did not serve it (silent)"),
            (
                "silent",
                [SILENT, COMPLETE],
                "Target i-1 sent nothing for 0.20 s beyond its limit "
                "(goes on, no repeat is left)",
            ),
            (
                "helper",
                [OVERLOADED, HANDED_OVER, COMPLETE],
                "Instance b2 did not serve",
            ),
            ("handed_over", [HANDED_OVER, COMPLETE], "Nothing went wrong"),
            (
                "resumed",
                [RESUMED, COMPLETE],
                "Takes up stream r0, begun at version v1 of s (known by i2).",
            ),
            (
                "version_gone",
                [GONE, COMPLETE],
                "(known here). Refused: version v1 of s has no target.",
            ),
            (
                "origin_unknown",
                [UNKNOWN, COMPLETE],
                "an unnamed one, of which no instance in reach knew the version of s.",
            ),
            ("stage", [SLOW_STAGE, FAST_ENGINE, COMPLETE], "stage 1 at east, 0.90 s"),
            ("engine", [SLOW_STAGE, SLOW_ENGINE, COMPLETE], "engine i-1, 1.10 s"),
            ("calm", [FAST_ENGINE, COMPLETE], "Nothing went wrong"),
        ]
    )
    def test_cause(self, _, lines, expected):
        self.assertIn(expected, describe_cause(lines))
