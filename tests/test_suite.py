"""The run of the whole test suite, a process a module."""

import tempfile
import unittest
from pathlib import Path

from parameterized import parameterized

from bergamotsaddle_standins.suite import (
    ModuleResult,
    find_modules,
    run_all,
    run_module,
    runs_in_real_time,
    summarize,
)
from tests._paused import use_paused_clock, use_running_clock

# A wait for the end of a process sleeps on the hub.
setUpModule = use_running_clock
tearDownModule = use_paused_clock

PASSED = "known red: a\n..\nRan 2 tests in 0.1s\n\nOK\n"
BROKEN = "known red: a\nF\nFAIL: test_a\nRan 1 test in 0.1s\n\nFAILED\n"
HERE = Path(__file__).parent


def make_result(name, status=0, output=PASSED):
    """Return the result of a module."""
    return ModuleResult(name, status, output, 0.1)


class SummaryTest(unittest.TestCase):
    """The verdict on all modules."""

    def test_all_have_passed(self):
        report, status = summarize([make_result("a"), make_result("b")], 3.0)
        self.assertEqual(report, "Ran 4 tests of 2 modules in 3 s\n\nOK")
        self.assertEqual(status, 0)

    @parameterized.expand(
        [
            ("failure", 1, BROKEN),
            ("exit_without_a_word", 1, ""),
            ("signal", -9, PASSED),
            ("no_tests", 0, "Ran 0 tests in 0.0s\n\nOK\n"),
            ("nothing_ran", 0, ""),
        ]
    )
    def test_one_has_failed(self, _, status, output):
        """Guards against a module that breaks and leaves the suite green."""
        results = [make_result("a"), make_result("b", status, output), make_result("c")]
        report, status = summarize(results, 3.0)
        self.assertEqual(status, 1)
        self.assertTrue(report.endswith("FAILED: b"), report)
        self.assertNotIn("known red", report)

    def test_output_of_each_failure_is_shown(self):
        """Guards against failures that are hidden behind the first one."""
        results = [make_result(name, 1, f"Ran 1 test in 1s {name}!") for name in "ab"]
        report, _ = summarize(results, 3.0)
        self.assertIn("a!", report)
        self.assertIn("b!", report)

    def test_failures_are_named_as_a_module_ends(self):
        """Guards against runs that are ended before they say what has failed."""
        self.assertEqual(make_result("a", 1, BROKEN).failures, ["FAIL: test_a"])
        self.assertEqual(make_result("a").failures, [])

    def test_no_module(self):
        """Guards against a suite that is green as it found nothing to run."""
        self.assertEqual(summarize([], 0.0)[1], 1)


class OrderTest(unittest.TestCase):
    """Which modules run beside each other."""

    def test_modules_in_real_time_run_alone_behind_all_others(self):
        """Guards against modules in real time that others hold up."""
        running, seen = set(), {}

        def run(name):
            running.add(name)
            seen[name] = set(running)
            running.discard(name)
            return make_result(name)

        results = run_all(["a", "b", "c"], ["x", "y"], jobs=2, run=run)
        self.assertEqual([result.name for result in results], [*"abcxy"])
        self.assertEqual((seen["x"], seen["y"]), ({"x"}, {"y"}))
        self.assertEqual(list(seen)[-2:], ["x", "y"])

    def test_every_module_runs_once(self):
        """Guards against modules that no part of the suite runs."""
        side_by_side, in_real_time = find_modules(HERE)
        expected = sorted(f"tests.{path.stem}" for path in HERE.glob("test_*.py"))
        self.assertEqual(sorted(side_by_side + in_real_time), expected)
        self.assertIn("tests.test_soak", in_real_time)
        self.assertIn("tests.test_gossip", side_by_side)

    @parameterized.expand(
        [
            ("running_clock", "setUpModule = use_running_clock", True),
            ("processes", "import subprocess", True),
            ("time_of_the_machine", 'time = original("time")', True),
            ("paused_clock", "use_paused_clock()", False),
        ]
    )
    def test_module_in_real_time(self, _, source, expected):
        self.assertEqual(runs_in_real_time(source), expected)


class ModuleTest(unittest.TestCase):
    """The process of a module."""

    def test_a_module_that_cannot_be_imported_fails(self):
        """Guards against broken modules that count as passed."""
        with tempfile.TemporaryDirectory() as folder:
            result = run_module(f"{Path(folder).name}.test_none")
        self.assertFalse(result.has_passed)

    def test_a_module_that_passes(self):
        result = run_module("tests.test_paused_hub")
        self.assertTrue(result.has_passed, result.output)
        self.assertGreater(result.count, 0)
