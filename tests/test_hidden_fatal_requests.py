"""Requests that crash targets in ways that hide it, and sound ones beside them."""

import random
import unittest
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.virtual_fleet import VirtualFleet
from bergamotsaddle_standins.virtual_targets import CrashEnding, Fatality
from tests._paused import advance, use_paused_clock

FATAL = b"/fatal"
OTHER_FATAL = b"/fatal-too"
POPULAR = b"/popular"
HELD_BACK = b"held_back"
TARGETS = 9
RESTART_S = 2.5
STREAM_S = 2.0
STEP_S = 1 / 12
LOAD_S = 18.0
# Once the third target has crashed and all instances had SPREAD_S to learn of it, at
# most MAX_LATE further tries may reach targets.
MAX_CRASHES = 3
MAX_CRASHES_AT_ONCE = 5
SPREAD_S = 3.0
MAX_LATE = 3
# From this time after the third crash on, sound requests begin as often as before.
SETTLED_S = 6.0
MIN_BEGUN = 0.9


class Tries(NamedTuple):
    """When fatal requests are sent.

    Attributes:
        every: Steps between two times.
        at_once: Number of requests at each of them.
    """

    every: int = 4
    at_once: int = 1


def replace_all(fleet):
    """Replace all targets one after the other by those of another version."""
    for number, target in enumerate(fleet.targets):
        eventlet.spawn_after(0.4 * number, fleet.targets.replace, target, "v2")


def replace_half(fleet):
    """Replace half of the targets by those of another version."""
    for target in [*fleet.targets][::2]:
        eventlet.spawn_n(fleet.targets.replace, target, "v2")


def restart_in_turn(fleet):
    """Kill the instances one after the other and start them again."""
    for number in range(min(5, len(fleet.instances))):
        eventlet.spawn_after(3.0 * number, fleet.restart, number)


def cut_a_zone(fleet):
    """Cut the instances of a zone from the others for six seconds."""
    fleet.peers.partition_zone("a")
    eventlet.spawn_after(6.0, fleet.peers.heal)


def crash_a_fifth(fleet):
    """Crash a fifth of the targets at once, three times."""

    def crash():
        for target in random.sample([*fleet.targets], TARGETS // 4):
            fleet.targets.crash(target, target.incarnation)

    for number in range(3):
        eventlet.spawn_after(0.5 + 2.0 * number, crash)


class Load:
    """Sound requests at random instances, and fatal ones for a time.

    Args:
        fleet: The fleet.
        popular: Whether a third of the sound requests are one and the same.

    Attributes:
        sound: When each sound request was sent, and its caller.
    """

    def __init__(self, fleet, *, popular=False):
        self._fleet = fleet
        self._popular = popular
        self._number = 0
        self.sound = []

    def run(self, seconds, *, tries=None, paths=(FATAL,)):
        """Send requests for some seconds, fatal ones if there are tries."""
        for step in range(round(seconds / STEP_S)):
            if tries is not None and step % tries.every == 0:
                for _ in range(tries.at_once):
                    for path in paths:
                        self._send(path)
            self._number += 1
            path = b"/own/%d" % self._number
            if self._popular and step % 3 == 0:
                path = POPULAR
            self.sound.append((now(), self._send(path)))
            advance(STEP_S)

    def _send(self, path):
        instance = random.randrange(len(self._fleet.instances))
        return self._fleet.send_request(instance, path, b"body")

    def begun_fraction(self, since, until):
        """Return the fraction of sound requests that got an event."""
        callers = [caller for at, caller in self.sound if since <= at < until]
        if not callers:
            raise AssertionError("no sound request was sent in that time")
        return sum(caller.status == 200 for caller in callers) / len(callers)

    def refused(self):
        """Return the sound requests that were refused as fatal."""
        return [caller for _, caller in self.sound if HELD_BACK in caller.body]


def late_arrivals(fleet, path=FATAL):
    """Return the tries that reached targets once the request was known as fatal."""
    times = fleet.targets.fatal_crash_times
    if len(times) < MAX_CRASHES:
        return []
    known_at = times[MAX_CRASHES - 1] + SPREAD_S
    return [
        arrival
        for target in fleet.targets
        for arrival in target.arrivals
        if arrival.path == path and arrival.at > known_at
    ]


class Case(NamedTuple):
    """A way in which a request crashes targets, and what happens meanwhile.

    Attributes:
        size: Number of instances.
        ending: How connections of a crashing target end.
        fatality: Which runs crash their targets.
        tries: When fatal requests are sent.
        disturb: Disturbance of the fleet, three seconds after the first try.
        max_crashes: Targets that the request may crash.
    """

    size: int = 7
    ending: CrashEnding = CrashEnding()
    fatality: Fatality = Fatality()
    tries: Tries = Tries()
    disturb: Callable | None = None
    max_crashes: int = MAX_CRASHES


# Tries last for longer than the pause between them.
OVERLAPPING = Case(max_crashes=MAX_CRASHES_AT_ONCE)
AT_ONCE = Tries(every=6, at_once=6)
BEHIND_RESPONSE = CrashEnding(after=0.3, is_behind_response=True)
SILENT = CrashEnding(1, is_silent=True)
AFTER_WHOLE_RUNS = Fatality(whole_runs=24)
TWO_OF_THREE = Fatality(whole_every=3)


class HiddenFatalRequestTest(unittest.TestCase):
    """A caller repeats a request whose crashes are easily missed or taken back."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        random.seed(55)

    def play(self, case, *, popular=False):
        """Let a fleet serve sound requests, then fatal ones beside them."""
        fleet = VirtualFleet(case.size, targets=TARGETS, restart_after=RESTART_S)
        fleet.targets.fatal_paths.add(FATAL)
        fleet.targets.ending = case.ending
        fleet.targets.fatality = case.fatality
        fleet.targets.stream_seconds = STREAM_S
        fleet.start()
        advance(2.0)
        load = Load(fleet, popular=popular)
        load.run(4.0)
        if case.disturb is not None:
            eventlet.spawn_after(3.0, case.disturb, fleet)
        load.run(LOAD_S, tries=case.tries)
        advance(3.0)
        return fleet, load

    def check(self, fleet, load, max_crashes):
        """Check what reached targets, what was refused and what began."""
        targets = fleet.targets
        self.assertLessEqual(len(late_arrivals(fleet)), MAX_LATE)
        self.assertLessEqual(len(targets.fatal_crash_times), max_crashes)
        self.assertEqual(load.refused(), [])
        self.assertGreaterEqual(len(targets.fatal_crash_times), MAX_CRASHES)
        before = load.begun_fraction(0.0, targets.fatal_crash_times[0] - 1.0)
        settled_at = targets.fatal_crash_times[MAX_CRASHES - 1] + SETTLED_S
        after = load.begun_fraction(settled_at, now() - 4.0)
        self.assertGreaterEqual(after, MIN_BEGUN * before)

    @parameterized.expand(
        [
            ("after_whole_runs", Case(fatality=AFTER_WHOLE_RUNS)),
            ("two_runs_of_three", Case(fatality=TWO_OF_THREE)),
            ("behind_a_response", OVERLAPPING._replace(ending=BEHIND_RESPONSE)),
            ("many_at_once", OVERLAPPING._replace(tries=AT_ONCE)),
            ("late", OVERLAPPING._replace(ending=CrashEnding(1, after=1.5))),
            ("in_a_middle_fleet", Case(66, fatality=AFTER_WHOLE_RUNS)),
            ("two_of_three_in_a_middle_fleet", Case(66, fatality=TWO_OF_THREE)),
            (
                "behind_a_response_of_a_large_fleet",
                OVERLAPPING._replace(size=195, ending=BEHIND_RESPONSE),
            ),
        ]
    )
    def test_a_hidden_fatal_request_stops_reaching_targets(self, _, case):
        """Guards against crashes that successes take back or that nobody counts."""
        fleet, load = self.play(case)
        self.check(fleet, load, case.max_crashes)

    @parameterized.expand(
        [
            ("release", Case(disturb=replace_all), Tries()),
            ("release_and_many_at_once", Case(disturb=replace_all), AT_ONCE),
            ("canary", Case(disturb=replace_half), AT_ONCE),
            ("restarts_in_turn", Case(disturb=restart_in_turn), Tries()),
            ("a_cut", Case(disturb=cut_a_zone), Tries()),
            ("ordinary_crashes", Case(disturb=crash_a_fifth), Tries()),
        ]
    )
    def test_a_fatal_request_stays_held_beside(self, _, case, tries):
        """Guards against quarantines that end while the request is as fatal as ever."""
        fleet, load = self.play(case._replace(tries=tries))
        self.check(fleet, load, MAX_CRASHES_AT_ONCE)

    @parameterized.expand(
        [("behind_an_event", SILENT), ("before_an_event", SILENT._replace(events=0))]
    )
    def test_a_request_that_silences_targets_stops_reaching_them(self, _, ending):
        """Guards against crashes without a closed connection, as at a loss of power."""
        fleet, load = self.play(Case(ending=ending))
        self.assertLessEqual(len(late_arrivals(fleet)), MAX_LATE)
        self.assertEqual(load.refused(), [])

    def test_two_fatal_requests_at_once(self):
        """Guards against crashes of one fatal request attributed to the other."""
        fleet = VirtualFleet(7, targets=TARGETS, restart_after=RESTART_S)
        fleet.targets.fatal_paths.update((FATAL, OTHER_FATAL))
        fleet.targets.stream_seconds = STREAM_S
        fleet.start()
        advance(2.0)
        load = Load(fleet)
        load.run(4.0)
        load.run(LOAD_S, tries=Tries(), paths=(FATAL, OTHER_FATAL))
        late = [a for path in (FATAL, OTHER_FATAL) for a in late_arrivals(fleet, path)]
        self.assertLessEqual(len(late), MAX_LATE)
        self.assertEqual(load.refused(), [])

    @parameterized.expand(
        [("framed", CrashEnding()), ("unframed", CrashEnding(1, False))]
    )
    def test_a_popular_request_at_ordinary_crashes_is_served(self, _, ending):
        """Guards against a popular request that is held back for lost racks."""
        fleet = VirtualFleet(7, targets=TARGETS, restart_after=RESTART_S)
        fleet.targets.stream_seconds = STREAM_S
        fleet.targets.ending = ending
        fleet.start()
        advance(2.0)
        load = Load(fleet, popular=True)
        load.run(4.0)
        crash_a_fifth(fleet)
        load.run(12.0)
        self.assertEqual(load.refused(), [])
        held = {f for i in fleet.instances for f in i.suspects.quarantined()}
        self.assertEqual(held, set())
