"""Tests for the `review` command, which summarizes the logs of daemons."""

import tempfile
import unittest
from pathlib import Path

import msgspec
from cleo.testers.application_tester import ApplicationTester
from parameterized import parameterized

from bergamotsaddle_cli.app import make_application
from bergamotsaddle_cli.review import review_logs

AT = "2026-01-05T08:00:{:02d}Z"


def request_line(request, outcome="whole", *, second=0):
    """Return the log line of a finished request."""
    return {
        "event": "request",
        "request": request,
        "route": "quotes",
        "outcome": outcome,
        "timestamp": AT.format(second),
    }


def call_line(pieces, *, waiting=0, unmade=()):
    """Return the log line of a call to a stage target."""
    return {
        "event": "stage_call",
        "service": "encode",
        "pieces": pieces,
        "waiting": waiting,
        "unmade": list(unmade),
        "away": 1,
    }


def usage_line(cpu, delay, *, second):
    """Return the log line of a daemon's resource usage."""
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
SERVED = [ADMITTED, STAGES, FIRST, request_line("a")]
LOST = [ADMITTED, STAGES, request_line("a", "deadline_passed")]
TURNED_AWAY = [{"event": "turn_away", "request": "b"}, request_line("b", "refused")]


class ReviewTest(unittest.TestCase):
    """Summaries of the log lines of a few requests."""

    def test_forecasts_are_compared_with_actual_times(self):
        found = review_logs(SERVED)
        self.assertEqual(found.first_event["median"], 2.0)
        self.assertEqual(found.engine["median"], 3.0)
        self.assertEqual(found.by_stage["1 of 1"]["median"], 3.0)

    @parameterized.expand(
        [
            ("engine", {"seconds": 1.0}, [], {"engine": 1}),
            ("stages", {}, [], {"stages": 1}),
            ("earlier", {}, [{"event": "attempt_failed"}], {"earlier attempt": 1}),
            ("in_time", {"since": 0.4}, [], {}),
        ]
    )
    def test_late_first_events(self, _, first, others, expected):
        stages = STAGES | {"seconds": 0.6, "expected": 0.2}
        lines = [
            ADMITTED | {"objective": 0.9},
            stages,
            FIRST | first,
            *(line | {"request": "a"} for line in others),
            request_line("a"),
        ]
        found = review_logs(lines).late_by_route
        self.assertEqual(found.get("quotes", {}), expected)

    def test_calls(self):
        lines = [
            call_line(4),
            call_line(2, waiting=3, unmade=["room"]),
            call_line(3, waiting=1),
        ]
        calls = review_logs(lines).calls_by_service["encode"]
        self.assertEqual(calls["calls"], 3)
        self.assertEqual(calls["most"], 4)
        self.assertEqual(calls["while_waiting"], 2.5)
        self.assertEqual(calls["unmade"], {"room": 1})

    def test_spans(self):
        lines = [request_line("a", second=1), request_line("b", second=12)]
        self.assertEqual([span["whole"] for span in review_logs(lines).spans], [1, 1])

    def test_spans_hold_the_usage_of_their_time(self):
        lines = [
            request_line("a", second=1),
            usage_line(0.1, 0.02, second=5),
            usage_line(0.3, 0.4, second=6),
            request_line("b", second=12),
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
            (
                "scarce",
                [*TURNED_AWAY, call_line(4), call_line(2, waiting=9)],
                "encode was",
            ),
        ]
    )
    def test_bottleneck(self, _, lines, expected):
        self.assertIn(expected, review_logs(lines).binds)

    def test_pieces_of_lost_requests_are_counted(self):
        self.assertEqual(review_logs(LOST).lost_pieces, 1)
        self.assertEqual(review_logs(SERVED).lost_pieces, 0)


class ReviewCommandTest(unittest.TestCase):
    """The command as an operator runs it."""

    def run_command(self, lines, *arguments):
        """Run the command on a log; return exit status, output and errors."""
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
        status, output, _ = self.run_command([*SERVED, call_line(4)])
        self.assertEqual(status, 0)
        self.assertIn("encode", output)
        self.assertIn("quotes", output)

    def test_json(self):
        _, output, _ = self.run_command(SERVED, "--json")
        found = msgspec.json.decode(output)
        self.assertEqual(found["ends_by_route"]["quotes"]["whole"], 1)

    def test_a_log_without_requests_is_an_error(self):
        status, _, errors = self.run_command([call_line(4)])
        self.assertEqual(status, 1)
        self.assertIn("no request", errors)
