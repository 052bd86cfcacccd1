"""Which requests are begun, and when refused ones are told to come back."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.admission import Forecast, admits, retry_after
from bergamotsaddle_serving.stage_load import PendingWork, StageLoad

CALM = Forecast(seconds=0.5, idle_seconds=0.4, objective=1.0, remaining=4.0)


class AdmissionTest(unittest.TestCase):
    """One request against what is expected of it."""

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

    def test_refused_callers_come_back_spread_and_within_their_time(self):
        """A burst is refused at once, and all its callers honour what they are told.

        Told the same moment, they would return as another burst.
        """
        forecast = CALM._replace(seconds=1.6)
        told = [retry_after(forecast) for _ in range(200)]
        self.assertTrue(all(0.1 <= t <= 4.0 / 3 for t in told))
        self.assertGreater(max(told) - min(told), 0.3)


class BurstOfChainsTest(unittest.TestCase):
    """Bursts of requests whose last stage is the slowest one."""

    def test_pieces_to_come_are_counted(self):
        """Thirty requests of sixteen pieces are on their way to the last stage.

        Its own queue is still empty. Admitting by that alone begins requests whose
        results expire in front of the last stage, seconds later.
        """
        coming = PendingWork()
        for _ in range(30):
            coming.add("last", "a", 1, 16)
        load = StageLoad(drain=0.0, call=0.25, rate=100.0)
        ahead = coming.pieces_ahead("last", "a", 1)
        self.assertGreater(load.seconds(0.6, ahead), 4.0)
        self.assertEqual(coming.pieces_ahead("last", "a", 0), 0)
        for _ in range(30):
            coming.add("last", "a", 1, -16)
        self.assertEqual(coming.report(), [])

    def test_what_drains_before_a_stage_begins_costs_no_time(self):
        load = StageLoad(drain=0.5, call=0.25, rate=100.0)
        self.assertAlmostEqual(load.seconds(0.6), 0.25)
        self.assertAlmostEqual(load.seconds(0.2), 0.55)
