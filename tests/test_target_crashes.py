"""Tests for telling target crashes from other lost connections."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.target_crashes import TargetCrashes
from tests._paused import advance, use_paused_clock, use_running_clock

TARGET = Target("t1", "generate", Address("10.0.0.1", 80), "a", 64)


class TargetCrashesTest(unittest.TestCase):
    """One request whose connection was lost."""

    def setUp(self):
        use_paused_clock()
        self.view = mock.Mock()
        self.view.is_leaving.return_value = False
        self.view.has_incarnation.return_value = True
        self.pool = mock.Mock()
        self.suspects = mock.Mock()
        self.reaches_another = True
        self.crashes = TargetCrashes(
            self.pool,
            self.view,
            self.suspects,
            reaches_another=lambda target: self.reaches_another,
        )
        ((self.on_view_change,), _) = self.view.subscribe.call_args

    def fail(self, reason="closed", *, is_refused=False):
        self.pool.is_refused.return_value = is_refused
        self.crashes.record_failure(TARGET, ["w"], reason)

    @parameterized.expand(
        [
            ("ended", "closed", True, 1),
            ("reset_and_ended", "reset", True, 1),
            ("failed_and_lives", "closed", False, 0),
            ("silent", "silent", True, 0),
            ("other_bytes", "no_http", True, 0),
            ("another_answer", "crossed", True, 0),
        ]
    )
    def test_lost_connections_that_count_as_crashes(
        self, _, reason, is_refused, crashes
    ):
        self.fail(reason, is_refused=is_refused)
        self.assertEqual(self.suspects.record_crash.call_count, crashes)

    def test_a_target_that_gave_notice_has_not_crashed(self):
        """Guards against crashes recorded when targets are replaced."""
        self.view.is_leaving.return_value = True
        self.fail(is_refused=True)
        self.suspects.record_crash.assert_not_called()

    def test_a_refusal_by_all_targets_is_no_crash(self):
        """Guards against requests quarantined since their instance lost its links."""
        self.reaches_another = False
        self.fail(is_refused=True)
        self.suspects.record_crash.assert_not_called()
        self.view.has_incarnation.return_value = False
        self.on_view_change()
        self.assertEqual(self.suspects.record_crash.call_count, 1, "it has left")

    @parameterized.expand([("soon", 1.0, 1), ("much_later", 11.0, 0)])
    def test_a_target_that_restarts_at_once_has_crashed(self, _, after, crashes):
        """Guards against missed crashes where the next incarnation already listens."""
        self.fail()
        advance(after)
        self.view.has_incarnation.return_value = False
        self.on_view_change()
        self.assertEqual(self.suspects.record_crash.call_count, crashes)

    def test_a_target_that_leaves_after_a_notice_is_forgotten(self):
        self.fail()
        self.view.is_leaving.return_value = True
        self.on_view_change()
        self.view.has_incarnation.return_value = False
        self.on_view_change()
        self.suspects.record_crash.assert_not_called()


class RefusedTest(unittest.TestCase):
    """Detection of addresses at which no process listens."""

    def setUp(self):
        use_running_clock()
        self.addCleanup(use_paused_clock)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.pool = ConnectionPool()

    def test_no_listener(self):
        self.listener.close()
        self.assertTrue(self.pool.is_refused(self.address))

    def test_a_listener(self):
        self.assertFalse(self.pool.is_refused(self.address))
        self.pool.acquire(self.address)
        self.assertEqual(self.pool.opened, 1, "the connection is kept for a request")

    def test_a_silent_machine_is_not_refused(self):
        """Guards against a crash recorded for a machine that is cut off."""
        silent = Address("127.0.0.1", self.address.port)
        with mock.patch(
            "bergamotsaddle_serving.client.Connection", side_effect=_time_out
        ):
            self.assertFalse(self.pool.is_refused(silent))


def _time_out(address, *, limit):
    raise ConnectionLostError("connect", is_unsent=True)
