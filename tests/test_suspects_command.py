"""What operators are shown of requests under which targets ended."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.application_tester import ApplicationTester
from parameterized import parameterized

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_cli.suspects import find_suspects


def ended(work, target, second, *, is_held_back=False):
    """The line of a target's end."""
    return {
        "event": "target_ended",
        "work": work,
        "target": target,
        "is_held_back": is_held_back,
        "timestamp": f"2026-01-05T08:00:{second:02d}Z",
    }


def request(work, outcome):
    """The line of a request's end."""
    line = {"event": "request", "work": work, "outcome": outcome}
    return {**line, "route": "plans", "team": "crews", "timestamp": "2026-01-05T09Z"}


CLEARED = {"event": "suspect_cleared", "work": "w", "timestamp": "2026-01-05T10Z"}
ENDS = [ended("w", f"t{n}", n, is_held_back=n == 3) for n in (1, 2, 3)]


class FindSuspectsTest(unittest.TestCase):
    """What the lines come to."""

    @parameterized.expand(
        [
            ("one_end", ENDS[:1], "suspected", 0),
            ("three_ends", ENDS, "held back", 0),
            ("refused", [*ENDS, *[request("w", "held_back")] * 2], "held back", 2),
            ("another_outcome", [*ENDS, request("w", "target_failed")], "held back", 0),
            ("ran_whole_later", [*ENDS, CLEARED], "cleared", 0),
        ]
    )
    def test_state(self, _, lines, state, refused):
        (suspect,) = find_suspects(lines)
        self.assertEqual((suspect.state, suspect.refused), (state, refused))

    def test_ends_that_two_daemons_saw_count_once(self):
        (suspect,) = find_suspects([*ENDS, *ENDS])
        self.assertEqual(suspect.targets, ["t1", "t2", "t3"])

    def test_other_requests_are_left_out(self):
        self.assertEqual(find_suspects([request("x", "whole")]), [])


class SuspectsCommandTest(unittest.TestCase):
    """The command as an operator calls it."""

    def run_command(self, *arguments):
        """Run it; returns exit status and output."""
        application = make_application()
        application.auto_exits(False)
        tester = ApplicationTester(application)
        return tester.execute(" ".join(["suspects", *arguments])), tester.io

    def test_table_and_json(self):
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / "a.log"
            lines = [*ENDS, request("w", "held_back")]
            log.write_bytes(b"\n".join(map(msgspec.json.encode, lines)))
            status, io = self.run_command(f"--log {log}")
            self.assertEqual(status, 0)
            row = "held back        1      3  plans  crews"
            self.assertIn(row, io.fetch_output())
            _, io = self.run_command(f"--log {log}", "--json")
            self.assertEqual(msgspec.json.decode(io.fetch_output())[0]["refused"], 1)

    @parameterized.expand([("no_log", ""), ("no_file", "--log /nowhere/a.log")])
    def test_mistakes_are_told(self, _, arguments):
        status, io = self.run_command(arguments)
        self.assertEqual(status, 2)
        self.assertIn("--log", io.fetch_error())
