"""Decisions in the log, and those kept for queries."""

import io
import unittest
from unittest import mock

import msgspec

from bergamotsaddle_daemon.decisions import DecisionLog, make_logger
from tests.test_policies import SETTINGS


class DecisionLogTest(unittest.TestCase):
    """One log line for each decision; the latest are kept by request."""

    def setUp(self):
        self.output = io.BytesIO()
        stdout = mock.Mock(buffer=self.output)
        with mock.patch("sys.stdout", stdout):
            logger = make_logger(SETTINGS)
            logger.info("starting")
        self.log = DecisionLog(SETTINGS, logger)

    def test_line_names_instance_request_choice_and_candidates(self):
        self.log.record("r1", "route", "engine-1", "least loaded of 3", 3)
        lines = [msgspec.json.decode(x) for x in self.output.getvalue().splitlines()]
        line = lines[-1]
        self.assertEqual(line["instance"], "a1")
        self.assertEqual(
            [line[key] for key in ("event", "request", "choice", "candidates")],
            ["route", "r1", "engine-1", 3],
        )

    def test_only_the_latest_requests_are_kept(self):
        for number in range(SETTINGS.limits.decisions + 5):
            self.log.record(f"r{number}", "route", "x", "y")
        self.assertEqual(self.log.of_request("r4"), [])
        self.assertEqual(len(self.log.of_request("r5")), 1)
