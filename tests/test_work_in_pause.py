"""The work of an instance while all engines of its many streams pause."""

import time
import unittest

from bergamotsaddle_standins.virtual_fleet import BOUNDS, ROUTE, VirtualFleet
from tests._paused import advance, use_paused_clock


class WorkInPauseTest(unittest.TestCase):
    """An instance with many streams, all of whose engines pause."""

    engines = 24
    streams = 150
    pause_seconds = 2.7

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)

    def test_it_keeps_up(self):
        """Guards against instances that are too busy with the choice of engines."""
        fleet = VirtualFleet(
            1,
            targets=self.engines,
            route=ROUTE._replace(attempts=3),
            bounds=BOUNDS._replace(retry_extra=5_000.0),
            software="v1",
        )
        fleet.targets.event_count = 40
        fleet.targets.stream_seconds = 2.0
        fleet.targets.goes_on = True
        fleet.start()
        advance(2.0)
        callers = [
            fleet.send_request(0, b"/stream/%d" % number, prompt=[f"topic{number}"])
            for number in range(self.streams)
        ]
        advance(0.8)
        fleet.targets.pause(self.pause_seconds)
        started_at = time.process_time()
        advance(self.pause_seconds)
        self.assertLess(time.process_time() - started_at, self.pause_seconds)
        advance(4.0)
        self.assertTrue(all(caller.is_complete for caller in callers))
