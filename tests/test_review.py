"""Figures that operators get from daemons' logs."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.application_tester import ApplicationTester
from parameterized import parameterized

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_cli.review import review_logs

AT = "2026-01-05T08:00:{:02d}Z"


def ended(request, outcome="whole", *, second=0):
    """The line of a request's end."""
    return {
        "event": "request",
        "request": request,
        "route": "quotes",
        "outcome": outcome,
        "timestamp": AT.format(second),
    }


def called(pieces, *, waiting=0, unmade=()):
    """The line of a call of a stage target."""
    return {
        "event": "stage_call",
        "service": "encode",
        "pieces": pieces,
        "waiting": waiting,
        "unmade": list(unmade),
        "away": 1,
    }


def used(cpu, delay, *, second):
    """The line of a daemon's usage."""
    return {
        "event": "usage",
        "cpu": cpu,
        "delay": delay,
        "timestamp": AT.format(second),
    }


ADMITTED = {"event": "admit", "request": "a", "expected": 0.5}
STAGES = {"event": "stages_done", "request": "a", "stages": [[0, "east", 0.2, 0.6]]}
FIRST = {
    "event": "first_event",
    "request": "a",
    "since": 1.0,
    "seconds": 0.3,
    "expected": 0.1,
}
SERVED = [ADMITTED, STAGES, FIRST, ended("a")]
LOST = [ADMITTED, STAGES, ended("a", "deadline_passed")]
TURNED_AWAY = [{"event": "turn_away", "request": "b"}, ended("b", "refused")]


class ReviewTest(unittest.TestCase):
    """Lines of a few requests."""

    def test_forecasts_against_what_happened(self):
        found = review_logs(SERVED)
        self.assertEqual(found.first_event["median"], 2.0)
        self.assertEqual(found.engine["median"], 3.0)
        self.assertEqual(found.by_stage["1 of 1"]["median"], 3.0)

    def test_calls(self):
        lines = [called(4), called(2, waiting=3, unmade=["room"]), called(3, waiting=1)]
        calls = review_logs(lines).calls_by_service["encode"]
        self.assertEqual(calls["calls"], 3)
        self.assertEqual(calls["most"], 4)
        self.assertEqual(calls["while_waiting"], 2.5)
        self.assertEqual(calls["unmade"], {"room": 1})

    def test_spans(self):
        lines = [ended("a", second=1), ended("b", second=12)]
        self.assertEqual([span["whole"] for span in review_logs(lines).spans], [1, 1])

    def test_usage_of_daemons_stands_beside_the_requests_of_the_time(self):
        lines = [
            ended("a", second=1),
            used(0.1, 0.02, second=5),
            used(0.3, 0.4, second=6),
            ended("b", second=12),
        ]
        loaded, idle = review_logs(lines).spans
        self.assertEqual((loaded["cpu"], loaded["delay"]), (0.2, 0.4))
        self.assertEqual((idle["cpu"], idle["delay"]), (0.0, 0.0))

    @parameterized.expand(
        [
            ("nothing", [], "No request"),
            ("calm", SERVED, "Nothing bound"),
            ("lost", LOST, "after work had begun"),
            ("no_waits", TURNED_AWAY, "no stage service"),
            ("scarce", [*TURNED_AWAY, called(4), called(2, waiting=9)], "encode was"),
        ]
    )
    def test_what_bound(self, _, lines, expected):
        self.assertIn(expected, review_logs(lines).binds)

    def test_work_for_lost_requests_is_counted(self):
        self.assertEqual(review_logs(LOST).lost_pieces, 1)
        self.assertEqual(review_logs(SERVED).lost_pieces, 0)


class ReviewCommandTest(unittest.TestCase):
    """The command as an operator calls it."""

    def run_command(self, lines, *arguments):
        """Run it over a log; returns exit status, output and errors."""
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        log = Path(directory.name) / "a.log"
        text = [f"12.5 a1 {msgspec.json.encode(line).decode()}\n" for line in lines]
        log.write_text("".join(["no line of ours\n", *text]))
        application = make_application()
        application.auto_exits(False)
        tester = ApplicationTester(application)
        status = tester.execute(" ".join(["review", f"--log {log}", *arguments]))
        return status, tester.io.fetch_output(), tester.io.fetch_error()

    def test_tables(self):
        status, output, _ = self.run_command([*SERVED, called(4)])
        self.assertEqual(status, 0)
        self.assertIn("encode", output)
        self.assertIn("quotes", output)

    def test_json(self):
        _, output, _ = self.run_command(SERVED, "--json")
        found = msgspec.json.decode(output)
        self.assertEqual(found["ends_by_route"]["quotes"]["whole"], 1)

    def test_a_log_without_requests_is_told(self):
        status, _, errors = self.run_command([called(4)])
        self.assertEqual(status, 1)
        self.assertIn("no request", errors)
