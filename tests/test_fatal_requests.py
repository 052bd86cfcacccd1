"""A request that crashes targets, and the requests that ran beside it."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_serving import stream_run
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from bergamotsaddle_standins.virtual_targets import CrashEnding
from tests._paused import advance, use_paused_clock

FATAL = b"/fatal"
TARGETS = 9
TRIES = 8
# Once the third target has crashed and gossip had SPREAD_S to reach all instances, at
# most MAX_LATE_TRIES further tries may reach targets.
SPREAD_S = 3.0
MAX_LATE_TRIES = 3


def late_tries(fleet):
    """Return the tries that reached targets once the request was known as fatal."""
    arrivals = sorted(
        arrival
        for target in fleet.targets
        for arrival in target.arrivals
        if arrival.path == FATAL
    )
    known_at = arrivals[2].at + SPREAD_S if len(arrivals) > 2 else float("inf")
    return [arrival for arrival in arrivals if arrival.at > known_at]


class FatalRequestTest(unittest.TestCase):
    """A caller repeats a request that crashes every target which runs it."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_a_fatal_request_stops_reaching_targets(self, _, size):
        """Guards against instances that each have to see the request crash a target."""
        fleet = VirtualFleet(size, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        for _ in range(TRIES):
            fleet.send_request(random.randrange(size), FATAL, b"body")
            advance(1.0)
        self.assertLessEqual(len(late_tries(fleet)), MAX_LATE_TRIES)
        self.assertLessEqual(fleet.targets.crash_count, 3)

    @parameterized.expand(
        [
            ("framed_before_an_event", CrashEnding()),
            ("framed_behind_an_event", CrashEnding(events=1)),
            ("unframed_before_an_event", CrashEnding(is_framed=False)),
            ("unframed_behind_an_event", CrashEnding(events=1, is_framed=False)),
            (
                "unframed_inside_an_event",
                CrashEnding(1, is_framed=False, is_inside_event=True, after=0.4),
            ),
            (
                "unframed_behind_an_event_reset",
                CrashEnding(1, is_framed=False, is_reset=True, after=0.4),
            ),
        ]
    )
    def test_a_crash_is_not_taken_for_the_end_of_a_response(self, _, ending):
        """Guards against crashes that clear the request which causes them."""
        fleet = VirtualFleet(7, targets=TARGETS, restart_after=2.5)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.targets.ending = ending
        fleet.start()
        advance(2.0)
        for step in range(200):
            if step % 10 in (0, 2):
                # The second try is interrupted by the crash that the first one causes.
                fleet.send_request(random.randrange(7), FATAL, b"body")
            fleet.send_request(random.randrange(7), b"/own/%d" % step, b"body")
            advance(0.07)
        self.assertLessEqual(len(late_tries(fleet)), MAX_LATE_TRIES)

    def test_many_callers_at_once_and_requests_beside_them(self):
        """Guards against other requests that are quarantined with a fatal one."""
        fleet = VirtualFleet(7, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        other_callers = []
        for step in range(60):
            if step % 5 == 0:
                for _ in range(3):
                    fleet.send_request(random.randrange(7), FATAL, b"body")
            for number in range(8):
                # Half of them are one popular request, the others are all different.
                path = b"/popular" if number % 2 else b"/own/%d/%d" % (step, number)
                other_callers.append(
                    fleet.send_request(random.randrange(7), path, b"body")
                )
            advance(0.2)
        advance(8.0)
        self.assertLessEqual(len(late_tries(fleet)), MAX_LATE_TRIES)
        quarantined = {
            fingerprint
            for instance in fleet.instances
            for fingerprint in instance.suspects.quarantined()
        }
        self.assertEqual(len(quarantined), 1)
        rejected = [caller for caller in other_callers if caller.status == 503]
        self.assertEqual(rejected, [])

    def test_ordinary_crashes_quarantine_nothing(self):
        """Guards against quarantines where targets crash for other reasons."""
        fleet = VirtualFleet(7, targets=TARGETS, restart_after=1.0)
        fleet.start()
        advance(2.0)
        targets = list(fleet.targets)
        for step in range(100):
            for number in range(4):
                path = b"/popular" if number % 2 else b"/own/%d/%d" % (step, number)
                fleet.send_request(random.randrange(7), path, b"body")
            if step % 4 == 0:
                target = random.choice(targets)
                fleet.targets.crash(target, target.incarnation)
            advance(0.1)
        advance(8.0)
        quarantined = {
            fingerprint
            for instance in fleet.instances
            for fingerprint in instance.suspects.quarantined()
        }
        self.assertEqual(quarantined, set())

    def test_no_stage_is_run_again_for_a_quarantined_request(self):
        """Guards against stage work that is wasted on a fatal request."""
        fleet = VirtualFleet(7, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        were_quarantined = []

        def run_stages(run, choice):
            suspects = run._server.suspects
            were_quarantined.append(suspects.is_quarantined(run._context.fingerprint))
            run._inputs.handles = ()

        with mock.patch.object(stream_run.StreamRun, "_run_stages", run_stages):
            for number in range(4):
                fleet.send_request(number, FATAL, b"body")
                advance(1.0)
        self.assertEqual(fleet.targets.crash_count, 3)
        self.assertNotIn(True, were_quarantined)
