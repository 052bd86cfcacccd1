"""Which requests are admitted, and when rejected callers may retry."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.admission import Forecast, admits, retry_after
from bergamotsaddle_serving.stage_load import PendingWork, StageLoad

CALM = Forecast(seconds=0.5, idle_seconds=0.4, objective=1.0, remaining=4.0)


class AdmissionTest(unittest.TestCase):
    """Admission of one request by its forecast."""

    @parameterized.expand(
        [
            ("calm", CALM, 0.0, True),
            ("late", CALM._replace(seconds=1.2), 0.0, False),
            ("too_late", CALM._replace(seconds=4.1, idle_seconds=4.0), 0.0, False),
            ("large_alone", CALM._replace(seconds=1.9, idle_seconds=1.8), 0.0, True),
            (
                "large_in_queue",
                CALM._replace(seconds=2.9, idle_seconds=1.8),
                0.0,
                False,
            ),
            ("urgent_near_full", CALM._replace(seconds=0.95), 0.0, False),
            ("urgent_fairly_full", CALM._replace(seconds=0.78), 0.0, True),
            ("other_near_full", CALM._replace(seconds=0.95), 0.6, False),
            ("urgent_waits", CALM._replace(seconds=0.75), 0.0, True),
            ("other_is_overtaken", CALM._replace(seconds=0.75), 0.6, False),
        ]
    )
    def test_admits(self, _, forecast, more_urgent, expected):
        self.assertEqual(admits(forecast, more_urgent), expected)

    def test_retries_of_rejected_callers_are_spread_and_within_their_time(self):
        """Guards against a rejected burst that returns as another burst.

        All callers of a burst are rejected at once and honour their Retry-After.
        """
        forecast = CALM._replace(seconds=1.6)
        delays = [retry_after(forecast) for _ in range(200)]
        self.assertTrue(all(0.1 <= t <= 4.0 / 3 for t in delays))
        self.assertGreater(max(delays) - min(delays), 0.3)


class BurstOfChainsTest(unittest.TestCase):
    """Bursts of requests whose last stage is the slowest one."""

    def test_pending_pieces_are_counted(self):
        """Guards against results that expire before the last stage can use them.

        Thirty requests of sixteen pieces are on their way to the last stage, whose
        queue is still empty. Admission by that queue alone would start more requests,
        and their results would expire seconds later.
        """
        pending = PendingWork()
        for _ in range(30):
            pending.add("last", "a", 1, 16)
        load = StageLoad(drain=0.0, call=0.25, rate=100.0)
        ahead = pending.pieces_ahead("last", "a", 1)
        self.assertGreater(load.seconds(0.6, ahead), 4.0)
        self.assertEqual(pending.pieces_ahead("last", "a", 0), 0)
        for _ in range(30):
            pending.add("last", "a", 1, -16)
        self.assertEqual(pending.report(), [])

    def test_work_that_drains_before_a_stage_starts_costs_no_time(self):
        load = StageLoad(drain=0.5, call=0.25, rate=100.0)
        self.assertAlmostEqual(load.seconds(0.6), 0.25)
        self.assertAlmostEqual(load.seconds(0.2), 0.55)
