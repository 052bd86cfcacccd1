"""The hub whose clock only moves when a test advances it."""

import unittest

import eventlet

from tests._paused import advance, use_paused_clock


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
