"""Tests for the bounded log output, which never blocks a daemon."""

import contextlib
import os
import unittest

import msgspec
from eventlet import patcher

from bergamotsaddle_serving.log import LINES_PER_S, BoundedOutput, make_logger
from tests._paused import advance


class BoundedOutputTest(unittest.TestCase):
    """Log output to a pipe whose reader may have stopped."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.output = BoundedOutput(self.writer)

    def read(self):
        """Read and decode all lines in the pipe."""
        # The green read would wait on the hub, whose clock is paused.
        plain = patcher.original("os")
        plain.set_blocking(self.reader, False)
        data = b""
        with contextlib.suppress(BlockingIOError):
            while part := plain.read(self.reader, 1 << 20):
                data += part
        return [msgspec.json.decode(line) for line in data.splitlines()]

    def test_a_stopped_reader_does_not_block_the_daemon(self):
        """The log collector hangs, and the pipe fills up.

        A daemon that waited for it would serve no requests. Lines are dropped and
        counted instead, and the lines that are written are complete.
        """
        logger = make_logger("a1", self.output)
        for number in range(40):
            for _ in range(50):
                logger.info("event", request=f"r{number}", text="x" * 200)
            advance(1.0)
        self.assertGreater(self.output.dropped, 100)
        self.assertGreater(len(self.read()), 100)
        advance(10.0)
        for _ in range(3):
            logger.info("after")
        events = [line["event"] for line in self.read()]
        self.assertIn("log_dropped", events)
        self.assertEqual(self.output.dropped, 0)

    def test_a_flood_of_one_event_leaves_capacity_for_failures(self):
        logger = make_logger("a1", self.output)
        for _ in range(int(2 * LINES_PER_S)):
            logger.info("request")
        self.read()
        logger.warning("attempt_failed")
        self.assertEqual([line["event"] for line in self.read()], ["attempt_failed"])
