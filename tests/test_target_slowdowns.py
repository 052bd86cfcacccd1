"""What of the reports of targets is still true."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.target_slowdowns import TargetSlowdowns
from tests._paused import advance, use_paused_clock

TARGET = ("t", 1)
OTHER = ("u", 1)
USUAL_S = 0.05


class TargetSlowdownsTest(unittest.TestCase):
    """Reports and seconds of one target."""

    def setUp(self):
        use_paused_clock()
        self.slowdowns = TargetSlowdowns()
        self.record(OTHER, USUAL_S, 1.0)
        self.record(TARGET, USUAL_S, 1.0)

    def record(self, incarnation, seconds, slowdown, age=0.0, route=""):
        """Record the end of a run."""
        self.slowdowns.record(
            incarnation, seconds=seconds, slowdown=slowdown, age=age, route=route
        )

    @parameterized.expand([(0.0, 2.5), (0.5, 1.75), (1.0, 1.0), (9.0, 1.0)])
    def test_a_report_counts_less_with_its_age(self, age, expected):
        """Guards against a noise that is over but is still believed."""
        self.record(TARGET, None, 2.5)
        advance(age)
        self.assertAlmostEqual(self.slowdowns.slowdown(TARGET), expected)

    def test_a_report_that_was_late_counts_less(self):
        advance(2.0)
        self.record(TARGET, None, 2.5, age=0.5)
        self.assertAlmostEqual(self.slowdowns.slowdown(TARGET), 1.75)

    def test_an_older_report_does_not_replace_a_younger_one(self):
        """Guards against datagrams that arrive in another order."""
        self.record(TARGET, None, 2.5)
        self.record(TARGET, None, 1.0, age=0.5)
        self.assertAlmostEqual(self.slowdowns.slowdown(TARGET), 2.5)

    @parameterized.expand([(1_000_000.0, 10.0), (0.0001, 0.5)])
    def test_a_figure_out_of_reason_is_held_within_bounds(self, slowdown, expected):
        """Guards against a false report that moves all requests at once."""
        self.record(TARGET, None, slowdown)
        self.assertAlmostEqual(self.slowdowns.slowdown(TARGET), expected)

    def test_reports_that_runs_contradict_are_not_believed(self):
        """Guards against a target that reports a million for ever."""
        for _ in range(8):
            self.record(TARGET, USUAL_S, 1_000_000.0)
        self.assertLess(self.slowdowns.expected(TARGET), 2.0 * USUAL_S)

    def test_measured_seconds_count_if_reports_stop(self):
        """Guards against a target that became slow for good and reports nothing."""
        for _ in range(40):
            self.record(TARGET, 3.0 * USUAL_S, None)
        self.assertGreater(self.slowdowns.expected(TARGET), 2.5 * USUAL_S)

    def test_quick_routes_do_not_contradict_reports(self):
        """Guards against true reports that are dropped beside requests of less work."""
        for _ in range(30):
            self.record(TARGET, 0.1 * USUAL_S, 1.0, route="quick")
            self.record(TARGET, USUAL_S, 1.0, route="long")
            self.record(OTHER, USUAL_S, 1.0, route="long")
        for _ in range(6):
            self.record(TARGET, 0.25 * USUAL_S, 2.5, route="quick")
        self.assertAlmostEqual(self.slowdowns.slowdown(TARGET), 2.5)

    def test_a_target_of_quick_requests_does_not_look_fast(self):
        """Guards against targets that are chosen for the route of their last runs."""
        for _ in range(30):
            self.record(TARGET, 0.1 * USUAL_S, None, route="quick")
            self.record(OTHER, USUAL_S, None, route="long")
        expected = self.slowdowns.expected
        self.assertLess(expected(OTHER), 1.2 * expected(TARGET))

    def test_another_incarnation_inherits_nothing(self):
        """Guards against reports that outlive the process that sent them."""
        self.record(TARGET, None, 2.5)
        self.assertEqual(self.slowdowns.slowdown(("t", 2)), 1.0)

    def test_incarnations_that_are_gone_are_forgotten(self):
        self.slowdowns.keep_only({OTHER})
        self.assertEqual(len(self.slowdowns), 1)
