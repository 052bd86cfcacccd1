"""How instances follow changes in the platform's store."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_serving.follower import StoreFollower, batch_pause
from bergamotsaddle_serving.messages import StorePage
from tests._paused import advance

RESPONSE_S = 0.004


class BatchPauseTest(unittest.TestCase):
    """How long an instance collects changes before it reads them."""

    @parameterized.expand([(1, 0.1), (7, 0.105), (20, 0.3), (65, 0.6), (350, 0.6)])
    def test_pause(self, fleet_size, expected):
        self.assertAlmostEqual(batch_pause(fleet_size), expected)


class RolloutTest(unittest.TestCase):
    """A software rollout that replaces half of two hundred targets."""

    def test_a_rollout_does_not_flood_the_store(self):
        """Guards against views that fall behind during a rollout.

        Entries change ten times a second for twenty seconds, and each change wakes the
        watches of all 65 instances. Reading each change by itself would take 650 calls
        a second, a tenth of what the store can serve; it refuses calls beyond that.
        """
        dialect = mock.Mock()
        dialect.read_page.return_value = StorePage([], 1, False)
        view = mock.Mock(revision=1, has_snapshot=True)
        view.apply.return_value = True
        view.age.return_value = 0.0
        settings = mock.Mock()
        settings.bounds.change = 3.0
        follower = StoreFollower(settings, dialect, view, lambda: 65, mock.Mock())

        def respond(*_):
            eventlet.sleep(RESPONSE_S)
            return 200, b""

        def follow():
            while True:
                follower.step()

        with mock.patch.object(follower, "_call", side_effect=respond) as calls:
            thread = eventlet.spawn(follow)
            advance(20.0)
            thread.kill()
        self.assertLess(calls.call_count * 65 / 20.0, 120)
