"""Tests for the plan of when the stages of a request run."""

import unittest

from bergamotsaddle_serving.catalog import Kind, Route, Share, Stage
from bergamotsaddle_serving.stage_load import ScopeLoad, StageLoad
from bergamotsaddle_serving.stage_plan import StagePlan

CHAIN = (
    Stage("encode", (), 3_000_000),
    Stage("encode", (), 8_000),
    Stage("retrieve", (1,), 60_000),
    Stage("rerank", (2,), 6_000),
)
ROUTE = Route(
    "r", "h", "/", Kind.STREAM, 8.0, 2.4, 2, 1, (Share("engine", 1.0),), CHAIN
)


def make_plan(pieces, *, drain=0.0):
    """Return a plan with calls of 0.25 s for all services."""
    return StagePlan(
        ROUTE,
        pieces,
        "a",
        lambda service, zone, urgency: ScopeLoad(zone, StageLoad(drain, 0.25, 50.0)),
        urgency=1,
        started_at=100.0,
        finish_seconds=0.1,
    )


class StagePlanTest(unittest.TestCase):
    """A chain of three stages in parallel with a stage that has a large result."""

    def test_a_large_result_starts_when_the_chain_is_about_to_end(self):
        """A large result would be ready a second before it is needed.

        Targets have memory for six of them. If started at once, such results occupy
        memory that other requests need, and make those requests late.
        """
        plan = make_plan((1, 1, 8, 16))
        self.assertTrue(plan.should_wait(0, set(), 0.0))
        self.assertFalse(plan.should_wait(1, set(), 0.0))
        self.assertFalse(plan.should_wait(0, {1, 2}, 0.0))

    def test_a_late_chain_delays_its_large_result(self):
        """In a burst the first stage of a chain takes a second instead of 0.25 s.

        Two stages are still to run. A large result that starts now would occupy memory
        for as long as they take, and make other requests late.
        """
        plan = make_plan((1, 1, 8, 16))
        self.assertTrue(plan.should_wait(0, set(), 1.0))
        self.assertFalse(plan.should_wait(0, {1, 2}, 1.0))

    def test_without_a_chain_a_large_result_starts_at_once(self):
        self.assertFalse(make_plan((2, 0, 0, 0)).should_wait(0, set(), 0.0))

    def test_times(self):
        plan = make_plan((1, 1, 8, 16))
        self.assertAlmostEqual(plan.total_seconds(), 0.75)
        self.assertAlmostEqual(plan.objective_at(3), 102.3)
        self.assertAlmostEqual(plan.objective_at(1), 101.8)
        self.assertEqual(plan.sinks, [0, 3])

    def test_a_queue_drains_while_earlier_stages_run(self):
        self.assertAlmostEqual(
            make_plan((1, 1, 8, 16), drain=0.3).total_seconds(), 1.05
        )

    def test_absent_stages_are_omitted(self):
        plan = make_plan((0, 1))
        self.assertEqual(plan.needed, [1])
        self.assertEqual(plan.predecessors(1), [])
