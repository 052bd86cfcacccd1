"""How instances follow the platform's store."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_serving.follower import StoreFollower, batch_pause
from bergamotsaddle_serving.messages import StorePage
from tests._paused import advance

ANSWER_S = 0.004


class BatchPauseTest(unittest.TestCase):
    """How long an instance lets changes come together."""

    @parameterized.expand([(1, 0.1), (7, 0.105), (20, 0.3), (65, 0.6), (350, 0.6)])
    def test_pause(self, fleet_size, expected):
        self.assertAlmostEqual(batch_pause(fleet_size), expected)


class ReleaseTest(unittest.TestCase):
    """A release that replaces half of two hundred targets."""

    def test_a_release_does_not_flood_the_store(self):
        """Entries change ten times a second for twenty seconds.

        Each change answers the watches of all 65 instances. Were each read by itself,
        they would make 650 calls a second, a tenth of what the store bears; calls
        beyond that are refused, and views fall behind when they are needed most.
        """
        dialect = mock.Mock()
        dialect.read_page.return_value = StorePage([], 1, False)
        view = mock.Mock(revision=1, has_snapshot=True)
        view.apply.return_value = True
        follower = StoreFollower(mock.Mock(), dialect, view, lambda: 65, mock.Mock())

        def answer(*_):
            eventlet.sleep(ANSWER_S)
            return 200, b""

        def follow():
            while True:
                follower.step()

        with mock.patch.object(follower, "_call", side_effect=answer) as calls:
            thread = eventlet.spawn(follow)
            advance(20.0)
            thread.kill()
        self.assertLess(calls.call_count * 65 / 20.0, 120)
