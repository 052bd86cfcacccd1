"""Requests that share a part which crashes targets, and sound ones beside them."""

import random
import unittest
from typing import NamedTuple

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from bergamotsaddle_standins.virtual_targets import CrashEnding
from tests._paused import advance, use_paused_clock

TARGETS = 9
STEP_S = 1 / 12
# The fifth crash is known to all after SPREAD_S; then at most MAX_LATE_ARRIVALS further
# requests may reach targets.
CRASHES = 5
SPREAD_S = 3.0
MAX_LATE_ARRIVALS = 3
# From this time after the fifth crash on, sound requests begin as often as before.
SETTLED_S = 6.0
MIN_BEGUN = 0.9
# Within this time after the fifth crash the requests that wait at engines are aborted.
ABORTED_S = 1.2
REFUSED = b"held_back"
BAD = "bad"


class Prompts(NamedTuple):
    """Parts of prompts; ``*`` stands for a part that varies.

    Attributes:
        fatal: Parts of fatal requests.
        sound: Parts of the sound requests beside them.
    """

    fatal: tuple[str, ...]
    sound: tuple[str, ...]


FIRST = Prompts((BAD, "task", "*"), ("system", "task", "*"))
SECOND = Prompts(("system", BAD, "task", "*"), ("system", "task", "*"))
TWO = Prompts((BAD, "worse", "*", "*"), ("system", "*", "*"))


class Load:
    """Sound requests at random instances, and fatal ones for a time.

    Args:
        fleet: The fleet.
        prompts: Parts of the prompts.

    Attributes:
        sound: When each sound request was sent, and its caller.
    """

    def __init__(self, fleet, prompts):
        self._fleet = fleet
        self._prompts = prompts
        self._varying = 0
        self.sound = []

    def run(self, seconds, *, every=0.0, at_once=1):
        """Send requests.

        Args:
            seconds: How long.
            every: Steps between two times at which fatal requests are sent, 0 for none.
            at_once: Fatal requests that are sent at each of these times.
        """
        for step in range(round(seconds / STEP_S)):
            if every and step % every == 0:
                for _ in range(at_once):
                    self._send(self._prompts.fatal)
            self.sound.append((now(), self._send(self._prompts.sound)))
            advance(STEP_S)

    def _send(self, parts):
        self._varying += 1
        prompt = [
            f"v{self._varying}p{i}" if p == "*" else p for i, p in enumerate(parts)
        ]
        number = random.randrange(len(self._fleet.instances))
        return self._fleet.send_request(number, b"/ask", prompt[-1].encode(), prompt)

    def begun_fraction(self, since, until):
        """Return the fraction of sound requests that got an event."""
        callers = [caller for at, caller in self.sound if since <= at < until]
        return sum(caller.status == 200 for caller in callers) / len(callers)

    def refused(self):
        """Return the sound requests that were refused as fatal."""
        return [caller for _, caller in self.sound if REFUSED in caller.body]


def late_arrivals(fleet):
    """Return the fatal requests that arrived once their part was known."""
    times = sorted(fleet.targets.crash_times)
    known_at = times[CRASHES - 1] + SPREAD_S if len(times) >= CRASHES else float("inf")
    return [
        arrival
        for target in fleet.targets
        for arrival in target.arrivals
        if fleet.targets.is_fatal(arrival) and arrival.at > known_at
    ]


class FatalPartTest(unittest.TestCase):
    """A part that crashes each target which begins to write a response on it."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(52)

    def make_fleet(self, size, *, ending=None, parts=(BAD,)):
        fleet = VirtualFleet(size, targets=TARGETS, restart_after=2.5)
        fleet.targets.fatal_parts.update(parts)
        fleet.targets.stream_seconds = 2.0
        fleet.targets.ending = ending or CrashEnding()
        fleet.start()
        advance(2.0)
        return fleet

    def check(self, fleet, load, parts):
        """Check what reached targets, what was refused and what began."""
        self.assertLessEqual(len(late_arrivals(fleet)), MAX_LATE_ARRIVALS)
        self.assertEqual(load.refused(), [])
        held = {h.part for i in fleet.instances for h in i.parts.held()}
        self.assertLessEqual(held, set(parts))
        fifth_at = sorted(fleet.targets.crash_times)[CRASHES - 1]
        first_at = fleet.targets.crash_times[0]
        before = load.begun_fraction(0.0, first_at - 1.0)
        after = load.begun_fraction(fifth_at + SETTLED_S, now() - 1.0)
        self.assertGreaterEqual(after, MIN_BEGUN * before)

    @parameterized.expand(
        [
            ("first", 7, FIRST, CrashEnding(), 4),
            ("second", 7, SECOND, CrashEnding(), 4),
            ("second_of_a_middle_fleet", 66, SECOND, CrashEnding(), 4),
            ("rare", 7, SECOND, CrashEnding(), 24),
            ("unframed", 7, SECOND, CrashEnding(1, is_framed=False, after=0.3), 4),
            ("late", 7, SECOND, CrashEnding(1, after=1.5), 4),
        ]
    )
    def test_a_fatal_part_stops_reaching_targets(self, _, size, prompts, ending, every):
        """Guards against requests that are all different and crash all targets."""
        fleet = self.make_fleet(size, ending=ending)
        load = Load(fleet, prompts)
        load.run(4.0)
        load.run(20.0, every=every)
        self.check(fleet, load, [BAD])

    def test_two_fatal_parts(self):
        """Guards against a fatal part that hides behind another one."""
        fleet = self.make_fleet(7, parts=[BAD, "worse"])
        load = Load(fleet, TWO)
        load.run(4.0)
        load.run(20.0, every=4)
        self.check(fleet, load, [BAD, "worse"])

    def test_many_fatal_requests_at_one_moment(self):
        """Guards against bursts that are taken for a common cause of crashes."""
        fleet = self.make_fleet(7)
        load = Load(fleet, SECOND)
        load.run(4.0)
        load.run(20.0, every=24, at_once=6)
        self.check(fleet, load, [BAD])

    def test_waiting_requests_are_aborted(self):
        """Guards against engines that crash under what was sent before the fifth."""
        fleet = self.make_fleet(7, ending=CrashEnding(after=2.0))
        load = Load(fleet, SECOND)
        load.run(4.0)
        load.run(12.0, every=4)
        running = [run for i in fleet.instances for run in i.streams.ongoing_runs]
        waiting = [
            stream
            for stream in running
            if any(run.writing_since is None for run in stream.runs)
        ]
        self.assertEqual([run for run in waiting if run._has_held_part()], [])
        times = sorted(fleet.targets.crash_times)
        self.assertLessEqual(times[-1], times[CRASHES - 1] + ABORTED_S)

    def test_ordinary_crashes_quarantine_no_part(self):
        """Guards against popular parts that are refused after ordinary crashes."""
        fleet = self.make_fleet(7, parts=())
        load = Load(fleet, SECOND)
        load.run(4.0)
        for _ in range(3):
            for target in random.sample(list(fleet.targets), 2):
                fleet.targets.crash(target, target.incarnation)
            load.run(3.0)
        self.assertEqual(load.refused(), [])

    def test_ordinary_crashes_beside_a_fatal_part(self):
        """Guards against sound parts that are blamed where crashes have two causes."""
        fleet = self.make_fleet(7)
        load = Load(fleet, SECOND)
        load.run(4.0)
        for _ in range(3):
            for target in random.sample(list(fleet.targets), 2):
                fleet.targets.crash(target, target.incarnation)
            load.run(3.0, every=4)
        load.run(9.0, every=4)
        self.check(fleet, load, [BAD])
