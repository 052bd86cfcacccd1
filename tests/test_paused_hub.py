"""The hubs whose clocks move only when tests need them to."""

import unittest

import eventlet
from eventlet import patcher
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from tests._paused import advance, use_paused_clock, use_skipping_clock

HOST = "127.0.0.1"
wait_natively = patcher.original("time").sleep


class OrderTest(unittest.TestCase):
    """Timers that are due at the same time."""

    def test_timers_of_one_time_fire_in_the_order_in_which_they_were_added(self):
        """Guards against replays that differ with the addresses of their timers."""
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        fired = []
        for number in range(200):
            eventlet.spawn_after(1.0, fired.append, number)
            # A timer that is gone leaves its address to a later one.
            eventlet.spawn_after(1.0, fired.append, -1).cancel()
        advance(1.0)
        self.assertEqual(fired, sorted(fired))


class SkippingTest(unittest.TestCase):
    """A clock that skips to the next timer while nothing else is to be done."""

    def setUp(self):
        use_skipping_clock()
        self.addCleanup(use_paused_clock)

    def test_a_wait_takes_its_time_on_the_clock(self):
        """Guards against waits that end early or late on a busy machine."""
        started_at = now()
        eventlet.sleep(1_000.0)
        self.assertAlmostEqual(now() - started_at, 1_000.0)

    def test_timers_fire_at_their_times(self):
        fired = []
        for seconds in (0.3, 0.1, 0.2):
            eventlet.spawn_after(seconds, lambda: fired.append(now()))
        started_at = now()
        eventlet.sleep(1.0)
        expected = [started_at + seconds for seconds in (0.1, 0.2, 0.3)]
        self.assertEqual(fired, expected)

    @parameterized.expand([(1,), (1_000_000,)])
    def test_bytes_arrive_before_time_passes(self, size):
        """Guards against timeouts of sockets whose bytes are on their way."""
        listener = eventlet.listen((HOST, 0))
        client = eventlet.connect(listener.getsockname())
        server, _ = listener.accept()
        started_at = now()
        eventlet.spawn_n(client.sendall, b"x" * size)
        received = 0
        with eventlet.Timeout(0.001):
            while received < size:
                received += len(server.recv(65_536))
        self.assertEqual(now(), started_at)
        for sock in (listener, client, server):
            sock.close()

    def test_work_takes_no_time(self):
        """Guards against bounds that a process without a processor exceeds."""
        started_at = now()
        wait_natively(0.05)
        eventlet.sleep(0)
        self.assertEqual(now(), started_at)
