"""How instances learn which engines are slow."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.engine_paces import PACES

SLOW = ("e1", 1)
OTHERS = [(f"e{number}", 1) for number in range(2, 10)]
EXPECTED_S = 0.2


def replay(pace, slowdown, *, seconds=3.0):
    """Replay requests at ten engines, one of them slow; return its final slowdown."""
    paces = PACES.by_name[pace]()
    at = 0.0
    while at < seconds:
        for engine in [*OTHERS, SLOW]:
            factor = slowdown if engine == SLOW else 1.0
            took = EXPECTED_S * 1.4 * factor
            paces.observe(engine, EXPECTED_S, took, at, is_done=True)
        at += 0.2
    return paces.slowdown(SLOW, at)


class ObservedPacesTest(unittest.TestCase):
    """Paces that are learnt from first events."""

    @parameterized.expand(
        [
            ("usual", "observed", 1.0, 1.0),
            ("slightly_slow", "observed", 1.6, 1.0),
            ("slow", "observed", 4.4, 4.4),
            ("not_observed", "declared", 4.4, 1.0),
        ]
    )
    def test_slowdown(self, _, pace, slowdown, expected):
        """Guards against requests that wait at an engine that turned slow."""
        self.assertAlmostEqual(replay(pace, slowdown), expected, delta=0.6)

    def test_an_engine_without_a_first_event_is_slow(self):
        """Guards against learning of a slow engine only when it responds at last."""
        paces = PACES.by_name["observed"]()
        patience = paces.patience(EXPECTED_S)
        reported = paces.observe(SLOW, EXPECTED_S, patience, 1.0, is_done=False)
        self.assertGreaterEqual(reported, 2.0)

    def test_a_recovered_engine_is_reported_at_once(self):
        paces = PACES.by_name["observed"]()
        self.assertEqual(paces.observe(SLOW, 0.2, 1.5, 1.0, is_done=True), 5.0)
        self.assertEqual(paces.observe(SLOW, 0.2, 0.3, 1.2, is_done=True), 1.0)

    def test_a_slowdown_is_forgotten_without_observations(self):
        """Guards against engines that are avoided for good."""
        paces = PACES.by_name["observed"]()
        paces.record(SLOW, 4.0, 1.0)
        self.assertEqual(paces.slowdown(SLOW, 2.0), 4.0)
        self.assertEqual(paces.slowdown(SLOW, 5.0), 1.0)

    def test_reports_are_limited(self):
        """Guards against a report to the whole fleet for each request."""
        paces = PACES.by_name["observed"]()
        reports = [
            paces.observe(SLOW, 0.2, 1.5, 0.01 * number, is_done=True)
            for number in range(100)
        ]
        self.assertEqual(sum(report is not None for report in reports), 1)
