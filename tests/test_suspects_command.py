"""Tests for the `suspects` command, which lists requests that crashed targets."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.application_tester import ApplicationTester
from parameterized import parameterized

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_cli.suspects import find_suspect_parts, find_suspects


def crash_line(fingerprint, target, second, *, is_held_back=False):
    """Return the log line of a target crash."""
    return {
        "event": "target_ended",
        "work": fingerprint,
        "target": target,
        "is_held_back": is_held_back,
        "timestamp": f"2026-01-05T08:00:{second:02d}Z",
    }


def request_line(fingerprint, outcome):
    """Return the log line of a finished request."""
    line = {"event": "request", "work": fingerprint, "outcome": outcome}
    return {**line, "route": "plans", "team": "crews", "timestamp": "2026-01-05T09Z"}


OUTLIVED = {"event": "suspect_outlived", "work": "w", "timestamp": "2026-01-05T10Z"}
CRASHES = [crash_line("w", f"t{n}", n, is_held_back=n == 3) for n in (1, 2, 3)]


class FindSuspectsTest(unittest.TestCase):
    """The suspects that are found in log lines."""

    @parameterized.expand(
        [
            ("one_end", CRASHES[:1], "suspected", 0),
            ("three_ends", CRASHES, "held back", 0),
            (
                "refused",
                [*CRASHES, *[request_line("w", "held_back")] * 2],
                "held back",
                2,
            ),
            (
                "another_outcome",
                [*CRASHES, request_line("w", "target_failed")],
                "held back",
                0,
            ),
            ("outlived_by_another", [*CRASHES[:2], OUTLIVED], "outlived", 0),
            ("ran_whole_later", [*CRASHES, OUTLIVED], "held back", 0),
        ]
    )
    def test_state(self, _, lines, state, refused):
        (suspect,) = find_suspects(lines)
        self.assertEqual((suspect.state, suspect.refused), (state, refused))

    def test_crashes_that_two_daemons_logged_count_once(self):
        (suspect,) = find_suspects([*CRASHES, *CRASHES])
        self.assertEqual(suspect.targets, ["t1", "t2", "t3"])

    def test_other_requests_are_omitted(self):
        self.assertEqual(find_suspects([request_line("x", "whole")]), [])


def part_line(event, second, **fields):
    """Return a log line about parts of prompts."""
    return {"event": event, "timestamp": f"2026-01-05T08:00:{second:02d}Z", **fields}


PART_CRASHES = [
    part_line("prompt_ended", n, instance=f"i{n % 2}", target=f"t{n}", parts=["p", "q"])
    for n in range(5)
]
REFUSED = part_line("part_held_back", 9, part="p", targets=["t0"])


class FindSuspectPartsTest(unittest.TestCase):
    """The parts of prompts that are found in log lines."""

    @parameterized.expand(
        [
            ("crashed", PART_CRASHES, "suspected", 0),
            ("refused", [*PART_CRASHES, REFUSED, REFUSED], "held back", 2),
            (
                "ran_whole_later",
                [*PART_CRASHES, part_line("part_cleared", 8, part="p")],
                "cleared",
                0,
            ),
        ]
    )
    def test_state(self, _, lines, state, refused):
        part = next(part for part in find_suspect_parts(lines) if part.part == "p")
        self.assertEqual((part.state, part.refused), (state, refused))

    def test_who_saw_which_crash(self):
        part = find_suspect_parts([*PART_CRASHES, PART_CRASHES[0]])[0]
        self.assertEqual(part.instances_by_target["t0"], ["i0"])
        self.assertEqual(part.instances_by_target["t3"], ["i1"])


class SuspectsCommandTest(unittest.TestCase):
    """The command as an operator runs it."""

    def run_command(self, *arguments):
        """Run the command; return exit status and output."""
        application = make_application()
        application.auto_exits(False)
        tester = ApplicationTester(application)
        return tester.execute(" ".join(["suspects", *arguments])), tester.io

    def test_table_and_json(self):
        with tempfile.TemporaryDirectory() as directory:
            log = Path(directory) / "a.log"
            lines = [*CRASHES, request_line("w", "held_back")]
            log.write_bytes(b"\n".join(map(msgspec.json.encode, lines)))
            status, io = self.run_command(f"--log {log}")
            self.assertEqual(status, 0)
            row = "held back        1      3  plans  crews"
            self.assertIn(row, io.fetch_output())
            _, io = self.run_command(f"--log {log}", "--json")
            self.assertEqual(msgspec.json.decode(io.fetch_output())[0]["refused"], 1)

    @parameterized.expand([("no_log", ""), ("no_file", "--log /nowhere/a.log")])
    def test_usage_errors_are_reported(self, _, arguments):
        status, io = self.run_command(arguments)
        self.assertEqual(status, 2)
        self.assertIn("--log", io.fetch_error())
