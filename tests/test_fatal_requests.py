"""A request under which targets end, and those that ran beside it."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_serving import streams
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from tests._paused import advance, use_paused_clock

FATAL = b"/fatal"
TARGETS = 9
TRIES = 8
# After the third target has ended, and the news had this long to spread, so many more
# tries may reach targets at most.
SPREAD_S = 3.0
MOST_LATE_TRIES = 3


def late_tries(fleet):
    """Tries of the fatal request that reached targets once its harm was known."""
    arrivals = sorted(
        arrival
        for target in fleet.targets
        for arrival in target.arrivals
        if arrival.path == FATAL
    )
    known_at = arrivals[2].at + SPREAD_S if len(arrivals) > 2 else float("inf")
    return [arrival for arrival in arrivals if arrival.at > known_at]


class FatalRequestTest(unittest.TestCase):
    """A caller sends a request that ends each target which runs it, again and again."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(30)

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_a_fatal_request_stops_reaching_targets(self, _, size):
        """Guards against each try of a fatal request being some instance's first."""
        fleet = VirtualFleet(size, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        for _ in range(TRIES):
            fleet.send_request(random.randrange(size), FATAL, b"body")
            advance(1.0)
        self.assertLessEqual(len(late_tries(fleet)), MOST_LATE_TRIES)
        self.assertLessEqual(fleet.targets.crash_count, 3)

    def test_many_callers_at_once_and_those_beside_them(self):
        """Guards against innocent requests that are held back with a fatal one."""
        fleet = VirtualFleet(7, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        others = []
        for step in range(60):
            if step % 5 == 0:
                for _ in range(3):
                    fleet.send_request(random.randrange(7), FATAL, b"body")
            for number in range(8):
                # Half of them are one popular question, the others each their own.
                path = b"/popular" if number % 2 else b"/own/%d/%d" % (step, number)
                others.append(fleet.send_request(random.randrange(7), path, b"body"))
            advance(0.2)
        advance(8.0)
        self.assertLessEqual(len(late_tries(fleet)), MOST_LATE_TRIES)
        held = {work for i in fleet.instances for work in i.suspects.quarantined()}
        self.assertEqual(len(held), 1)
        refused = [caller for caller in others if caller.status == 503]
        self.assertEqual(refused, [])

    def test_ordinary_ends_hold_nothing_back(self):
        """Guards against suspicion where targets end by themselves."""
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
        held = {work for i in fleet.instances for work in i.suspects.quarantined()}
        self.assertEqual(held, set())

    def test_no_stage_is_run_again_for_a_request_that_is_held_back(self):
        """Guards against stage work that is thrown away for a fatal request."""
        fleet = VirtualFleet(7, targets=TARGETS)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.start()
        advance(2.0)
        were_held = []

        def run_stages(run, choice):
            suspects = run._server.suspects
            were_held.append(suspects.is_quarantined(run._context.fingerprint))

        with mock.patch.object(streams._StreamRun, "_run_stages", run_stages):
            for number in range(4):
                fleet.send_request(number, FATAL, b"body")
                advance(1.0)
        self.assertEqual(fleet.targets.crash_count, 3)
        self.assertNotIn(True, were_held)
