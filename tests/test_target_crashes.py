"""Tests for telling target crashes from other lost connections."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.incarnations import incarnation_of
from bergamotsaddle_serving.suspect_parts import Work
from bergamotsaddle_serving.target_crashes import TargetCrashes
from tests._paused import advance, use_paused_clock, use_skipping_clock

TARGET = Target("t1", "generate", Address("10.0.0.1", 80), "a", 64)


class TargetCrashesTest(unittest.TestCase):
    """One request whose connection was lost."""

    def setUp(self):
        use_paused_clock()
        self.view = mock.Mock()
        self.view.is_leaving.return_value = False
        self.view.has_incarnation.return_value = True
        self.pool = mock.Mock()
        self.life = mock.Mock()
        self.suspects = mock.Mock()
        self.suspects.knows_crash.return_value = False
        self.suspects.has_crashed.return_value = False
        self.suspects.is_suspect.return_value = False
        self.suspects.record_success.return_value = "proof"
        self.parts = mock.Mock()
        self.reaches_another = True
        self.crashes = TargetCrashes(
            self.pool,
            self.view,
            self.suspects,
            self.parts,
            self.life,
            reaches_another=lambda target: self.reaches_another,
        )
        ((self.on_view_change,), _) = self.view.subscribe.call_args

    def fail(self, reason="closed", *, is_refused=False):
        self.pool.is_refused.return_value = is_refused
        self.crashes.record_failure(TARGET, [Work("w")], reason)

    def check_reported(self, fingerprints):
        """Check that one crash was reported, and under which requests."""
        self.suspects.record_crash.assert_called_once()
        self.assertEqual(self.suspects.record_crash.call_args.args[0], TARGET)
        reported = list(self.suspects.record_crash.call_args.args[1])
        self.assertEqual(reported, fingerprints)

    def leave(self):
        """Remove the target's incarnation from the list."""
        self.view.has_incarnation.return_value = False
        self.on_view_change()

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

    @parameterized.expand(
        [
            ("ends", False, True, False, True),
            ("ends_as_all_others_do", False, False, False, True),
            ("lives", True, True, False, False),
            ("leaves_and_ends", False, True, True, True),
            ("leaves_and_lives", True, True, True, False),
        ]
    )
    def test_an_unframed_response_ends_with_a_target_that(
        self, _, has_outlived, reaches_another, is_leaving, has_ended
    ):
        """Guards against a part of a stream that counts as complete."""
        self.pool.is_refused.return_value = False
        self.life.has_outlived.return_value = has_outlived
        self.reaches_another = reaches_another
        self.view.is_leaving.return_value = is_leaving
        self.assertEqual(self.crashes.has_ended_with_target(TARGET, "r1"), has_ended)

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

    @parameterized.expand(
        [
            ("framed_at_once", True, 0.0, 0),
            ("framed", True, 1.0, 1),
            ("unframed", False, 1.0, 0),
            ("unframed_and_listed_for_long", False, 10.0, 1),
        ]
    )
    def test_a_success_counts_for_parts_once_its_target_has_outlived_it(
        self, _, is_framed, after, successes
    ):
        """Guards against crashes that clear a part as ends of its response."""
        work = Work("w", ("p",))
        self.crashes.record_success(TARGET, [work], is_framed=is_framed)
        advance(after)
        self.crashes.check_successes()
        self.assertEqual(self.parts.record_success.call_count, successes)

    @parameterized.expand([("crashed", True, True), ("unlisted", False, False)])
    def test_a_target_that_did_not_outlive_a_success(self, _, has_crashed, is_listed):
        """Guards against parts that are cleared by a run before a crash."""
        self.suspects.has_crashed.return_value = has_crashed
        self.view.has_incarnation.return_value = is_listed
        work = Work("w", ("p",))
        self.crashes.record_success(TARGET, [work], is_framed=True)
        advance(1.0)
        self.crashes.check_successes()
        self.parts.record_success.assert_not_called()

    @parameterized.expand(
        [
            ("at_once", True, 0.3, ["proof"]),
            ("much_later", True, 1.5, []),
            ("unframed", False, 1.5, ["proof"]),
        ]
    )
    def test_a_crash_behind_a_response_disproves_what_was_told(
        self, _, is_framed, after, disproved
    ):
        """Guards against crashes that an end of a response takes back."""
        self.crashes.record_success(TARGET, [Work("w")], is_framed=is_framed)
        advance(after)
        self.leave()
        calls = self.suspects.disprove.call_args_list
        self.assertEqual([call.args[0] for call in calls], disproved)

    def test_a_crash_that_another_instance_reports_counts_for_own_runs(self):
        """Guards against crashes behind a whole response that only others notice."""
        self.crashes.record_success(TARGET, [Work("w")], is_framed=True)
        advance(0.3)
        self.suspects.on_crash("other", incarnation_of(TARGET))
        self.check_reported(["w"])

    @parameterized.expand([("listed", True, 0), ("lapsed", False, 1)])
    def test_a_silent_target_has_crashed_once_its_entry_lapses(
        self, _, is_listed, crashes
    ):
        """Guards against losses of power that are taken for cut links."""
        self.crashes.record_failure(TARGET, [Work("w")], "silent")
        self.view.has_incarnation.return_value = is_listed
        self.on_view_change()
        self.assertEqual(self.suspects.record_crash.call_count, crashes)

    @parameterized.expand([("heard", 0.5, 0), ("silent", 2.0, 1)])
    def test_a_run_at_a_target_that_is_not_listed_any_more(self, _, silence, crashes):
        """Guards against silent targets that nobody reports before the deadline."""
        state = mock.Mock()
        work = Work("w", started_at=now())
        with self.crashes.watch(TARGET, state, work):
            advance(5.0)
            state.last_seen_at = now() - silence
            self.leave()
        self.assertEqual(self.suspects.record_crash.call_count, crashes)

    def test_a_run_at_a_target_that_gave_notice_and_is_gone(self):
        """Guards against crashes recorded for slow runs at targets that left."""
        work = Work("w", started_at=now())
        with self.crashes.watch(TARGET, mock.Mock(last_seen_at=now()), work):
            self.view.is_leaving.return_value = True
            self.on_view_change()
            self.view.is_leaving.return_value = False
            advance(2.0)
            self.leave()
            self.fail("silent")
        self.suspects.record_crash.assert_not_called()

    @parameterized.expand([("older", 0.5, 1), ("as_young", 0.05, 0)])
    def test_what_goes_on_elsewhere_is_told_when_a_target_crashes(
        self, _, age, survivals
    ):
        """Guards against a popular request that is held back as a rack is lost."""
        self.suspects.youngest_age.return_value = 0.0
        with self.crashes.watch(TARGET, mock.Mock(), Work("w", started_at=now() - age)):
            other = TARGET._replace(id="t2")
            self.suspects.on_crash("w", incarnation_of(other))
            advance(0.2)
        self.assertEqual(self.suspects.record_success.call_count, survivals)

    def test_two_runs_that_one_crash_interrupts(self):
        """Guards against internal errors where two requests check a target at once."""
        self.pool.is_refused.side_effect = lambda address: eventlet.sleep(0.01) or True
        threads = [
            eventlet.spawn(self.crashes.record_failure, TARGET, [Work(name)], "closed")
            for name in ("v", "w")
        ]
        advance(0.1)
        for thread in threads:
            thread.wait()
        self.check_reported(["v", "w"])

    def test_an_unframed_success_before_an_unlisted_crash_counts_as_its_cause(self):
        """Guards against missed crashes of targets that listen again at once."""
        self.crashes.record_success(TARGET, [Work("w")], is_framed=False)
        self.leave()
        self.check_reported(["w"])

    @parameterized.expand([("crashed", True, 1), ("alive", False, 0)])
    def test_a_target_that_crashes_after_its_caller_left(self, _, is_refused, crashes):
        """Guards against fatal requests whose callers leave before the crash."""
        self.pool.is_refused.return_value = is_refused
        self.crashes.record_abandoned(TARGET, Work("w"))
        advance(0.6)
        self.assertEqual(self.suspects.record_crash.call_count, crashes)

    def test_a_target_that_lapses_after_its_caller_left_has_not_crashed(self):
        """Guards against crashes recorded when the store removes silent targets."""
        self.pool.is_refused.return_value = False
        self.crashes.record_abandoned(TARGET, Work("w"))
        self.leave()
        self.suspects.record_crash.assert_not_called()

    def test_an_abandoned_run_is_reported_with_a_crash_soon_after(self):
        self.crashes.record_abandoned(TARGET, Work("v"))
        self.fail(is_refused=True)
        self.check_reported(["v", "w"])


class RefusedTest(unittest.TestCase):
    """Detection of addresses at which no process listens."""

    def setUp(self):
        use_skipping_clock()
        self.addCleanup(use_paused_clock)
        self.listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self.listener.getsockname())
        self.pool = ConnectionPool()

    def test_no_listener(self):
        self.listener.close()
        self.assertTrue(self.pool.is_refused(self.address))

    def test_no_listener_behind_an_idle_connection(self):
        """Guards against a crash that its last open connection hides."""
        self.assertTrue(self.pool.probe(self.address, 1.0))
        idle, _ = self.listener.accept()
        self.addCleanup(idle.close)
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
