"""Tests for the meter of a daemon's processor time."""

import unittest

from bergamotsaddle_serving.usage import REPORT_INTERVAL_S, UsageMeter
from tests._paused import advance


class UsageMeterTest(unittest.TestCase):
    """A process whose processor time and counters are set by the test."""

    def setUp(self):
        self.spent = 10.0
        self.sent = 100
        self.meter = UsageMeter(
            {"sent": lambda: self.sent}, processor_seconds=lambda: self.spent
        )

    def test_one_report_per_interval(self):
        advance(REPORT_INTERVAL_S / 2)
        self.assertIsNone(self.meter.collect())
        advance(REPORT_INTERVAL_S / 2)
        self.assertIsNotNone(self.meter.collect())
        self.assertIsNone(self.meter.collect())

    def test_values_cover_one_interval(self):
        for spent, sent, delay in ((2.0, 30, 0.5), (1.0, 20, 0.1)):
            self.spent += spent
            self.sent += sent
            self.meter.record_delay(delay)
            advance(REPORT_INTERVAL_S)
            usage = self.meter.collect()
            self.assertEqual(usage.cpu, spent / REPORT_INTERVAL_S)
            self.assertEqual(usage.counts, {"sent": sent})
            self.assertEqual(usage.delay, delay)
