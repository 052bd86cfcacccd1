"""When the results that a request uses are discarded."""

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
    """A connection that takes time to open and is lost before a response."""

    is_reused = False

    def acquire(self, address, *, limit):
        """Open the connection."""
        eventlet.sleep(CONNECT_S)
        return self

    def send(self, call, *, limit):
        """Accept a request at once, as a kernel's send buffer does."""
        return REQUEST_BYTES

    def read_head(self, *, limit):
        """Lose the connection."""
        raise ConnectionLostError("reset")

    def close(self):
        """Do nothing."""


class FetchingTest(unittest.TestCase):
    """Inputs of a request that is being sent to an engine."""

    @parameterized.expand([("weak", 10.0), ("strong", 200.0), ("fast", 1_000.0)])
    def test_a_request_is_sent_before_its_inputs_are_discarded(self, _, link_mbps):
        """Guards against inputs that are discarded before their request arrives."""
        times = FetchTimes(link_mbps)
        alone = REQUEST_BYTES * BITS_PER_BYTE / (link_mbps * 1e6)
        extra = times.seconds(0, REQUEST_BYTES) - times.seconds(0, 0)
        # Two other requests may use the link at the same time.
        self.assertGreaterEqual(extra, 3 * alone)

    def test_the_time_starts_when_the_request_is_sent(self):
        """Guards against inputs that are discarded while a connection is opened."""
        started_at = now()
        sent = []
        attempt = Attempt(
            mock.MagicMock(), mock.MagicMock(), SlowConnection(), mock.MagicMock()
        )

        def send():
            with self.assertRaises(OutcomeUnknownError), attempt:
                attempt.send(
                    mock.MagicMock(),
                    limit=1.0,
                    on_sent=lambda size: sent.append((size, now() - started_at)),
                )

        eventlet.spawn_n(send)
        advance(CONNECT_S / 2)
        self.assertEqual(sent, [])
        advance(CONNECT_S)
        self.assertEqual([size for size, _ in sent], [REQUEST_BYTES])
        self.assertAlmostEqual(sent[0][1], CONNECT_S)
