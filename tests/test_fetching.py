"""When results that a request uses are given up."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.attempt import Attempt, OutcomeUnknownError
from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.fetching import FetchTimes
from tests._paused import advance

REQUEST_BYTES = 10_000
CONNECT_S = 0.05
BITS_PER_BYTE = 8


class SlowConnection:
    """A connection that takes time to make and ends without an answer."""

    def acquire(self, address, *, limit):
        """Make it."""
        eventlet.sleep(CONNECT_S)
        return self

    def send(self, call, *, limit):
        """Take a request at once, as a kernel's buffer does."""
        return REQUEST_BYTES

    def read_head(self, *, limit):
        """Break off."""
        raise ConnectionLostError("reset")

    def close(self):
        """Do nothing."""


class FetchingTest(unittest.TestCase):
    """Inputs of a request on its way to an engine."""

    @parameterized.expand([("weak", 10.0), ("strong", 200.0), ("fast", 1_000.0)])
    def test_a_request_leaves_before_its_inputs_are_given_up(self, _, link_mbps):
        """Guards against engines that find the inputs gone when a request arrives."""
        times = FetchTimes(link_mbps)
        alone = REQUEST_BYTES * BITS_PER_BYTE / (link_mbps * 1e6)
        extra = times.seconds(0, REQUEST_BYTES) - times.seconds(0, 0)
        # Two other requests may be on the link as well.
        self.assertGreaterEqual(extra, 3 * alone)

    def test_the_time_counts_from_when_the_request_was_sent(self):
        """Guards against inputs that are given up while a connection is made."""
        began_at = now()
        sent = []
        attempt = Attempt(
            mock.MagicMock(), mock.MagicMock(), SlowConnection(), mock.MagicMock()
        )

        def send():
            with self.assertRaises(OutcomeUnknownError), attempt:
                attempt.send(
                    mock.MagicMock(),
                    limit=1.0,
                    on_sent=lambda size: sent.append((size, now() - began_at)),
                )

        eventlet.spawn_n(send)
        advance(CONNECT_S / 2)
        self.assertEqual(sent, [])
        advance(CONNECT_S)
        self.assertEqual([size for size, _ in sent], [REQUEST_BYTES])
        self.assertAlmostEqual(sent[0][1], CONNECT_S)
