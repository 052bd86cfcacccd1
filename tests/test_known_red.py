"""The list of tests that are known to fail."""

import unittest
from types import SimpleNamespace

from nose2 import result
from nose2.util import format_traceback
from parameterized import parameterized

from tests._known_red import KnownRed, read_known_failures

LINE = "tests.test_a.ATest.test_b | make test | a request was lost | 22"


class KnownRedTest(unittest.TestCase):
    """Outcomes of tests that are listed or not."""

    def setUp(self):
        self.plugin = KnownRed.__new__(KnownRed)
        self.plugin._line_by_name = read_known_failures(f"# comment\n\n{LINE}\n")

    @parameterized.expand(
        [
            ("listed_fails", "test_b", result.FAIL, result.FAIL, True),
            ("listed_errs", "test_b", result.ERROR, result.FAIL, True),
            ("listed_passes", "test_b", result.PASS, result.ERROR, False),
            ("other_fails", "test_c", result.FAIL, result.FAIL, False),
            ("other_passes", "test_c", result.PASS, result.PASS, False),
        ]
    )
    def test_outcome(self, _, test, outcome, expected_outcome, is_expected):
        name = f"tests.test_a.ATest.{test}"
        event = SimpleNamespace(
            test=SimpleNamespace(id=lambda: name),
            outcome=outcome,
            expected=False,
            exc_info=None,
        )
        self.plugin.setTestOutcome(event)
        self.assertEqual(event.outcome, expected_outcome)
        self.assertEqual(event.expected, is_expected)

    def test_a_listed_test_that_passes_is_reported(self):
        """Guards against a test run that ends without naming the test."""
        event = SimpleNamespace(
            test=SimpleNamespace(id=lambda: "tests.test_a.ATest.test_b"),
            outcome=result.PASS,
            exc_info=None,
        )
        self.plugin.setTestOutcome(event)
        self.assertIn("passes", format_traceback(event.test, event.exc_info))

    def test_a_line_without_its_issue_is_invalid(self):
        with self.assertRaisesRegex(ValueError, "expected test"):
            read_known_failures("tests.test_a.ATest.test_b | make test | seen")
