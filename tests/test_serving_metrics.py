"""Tests for the metrics page."""

import unittest

from bergamotsaddle_serving.metrics import Metrics

PREFIX = "bergamotsaddle_"


class MetricsTest(unittest.TestCase):
    """Counters and histograms of finished requests, and a gauge."""

    def test_page(self):
        metrics = Metrics()
        for seconds in (0.05, 0.3, 30.0):
            metrics.count_request("plans", "whole", seconds)
        metrics.count_request("plans", "not_ready", 0.01)
        metrics.count_failed_attempt("plans", "silent")
        metrics.count_cut_stream("plans", "no repeats")
        metrics.add_gauge("peers_alive", "Peers.", lambda: 7)
        lines = metrics.page().decode().splitlines()
        name = f"{PREFIX}request"
        for line in (
            f'{name}s_total{{outcome="whole",route="plans"}} 3.0',
            f'{name}s_total{{outcome="not_ready",route="plans"}} 1.0',
            f'{name}_seconds_bucket{{le="0.05",route="plans"}} 2.0',
            f'{name}_seconds_bucket{{le="0.5",route="plans"}} 3.0',
            f'{name}_seconds_bucket{{le="+Inf",route="plans"}} 4.0',
            f'{name}_seconds_count{{route="plans"}} 4.0',
            f'{PREFIX}failed_attempts_total{{reason="silent",route="plans"}} 1.0',
            f'{PREFIX}cut_streams_total{{reason="no repeats",route="plans"}} 1.0',
            f"{PREFIX}peers_alive 7.0",
        ):
            self.assertIn(line, lines)
