"""Questions to a target about its start, which several requests share."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.target_life import TargetLife
from tests._ending_target import EndingTarget
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

ASKERS = 5


class FailingPool(ConnectionPool):
    """Connections of which the first one meets an error that nobody expects."""

    failures = 0

    def open(self, address, *, limit):
        """Open a connection."""
        if not self.failures:
            self.failures += 1
            eventlet.sleep(0.01)
            raise RuntimeError("unexpected")
        return super().open(address, limit=limit)


class TargetLifeTest(unittest.TestCase):
    """Requests that ask at once, and one that asks later."""

    def setUp(self):
        self.target = EndingTarget(b"", "answers")
        self.addCleanup(self.target.close)
        self.known = Target("t1", "s", self.target.address, "a", 4, started_ms=1_000)
        self.pool = FailingPool()
        self.life = TargetLife(self.pool, PlatformDialect(), mock.Mock(), mock.Mock())

    @parameterized.expand([("outlived", True), ("restarted", False)])
    def test_an_error_ends_with_its_question(self, name, expected):
        """Guards against a target that nobody can ask any more."""
        ask = getattr(self.life, f"has_{name}")
        first = eventlet.spawn(ask, self.known, "r0")
        eventlet.sleep(0)
        later = [eventlet.spawn(ask, self.known, f"r{n}") for n in range(ASKERS)]
        with self.assertRaises(RuntimeError):
            first.wait()
        self.assertEqual([t.wait() for t in later], [expected] * ASKERS)
        self.assertEqual(ask(self.known, "last"), expected)


if __name__ == "__main__":
    unittest.main()
