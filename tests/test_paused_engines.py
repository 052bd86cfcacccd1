"""Engines that hold back all bytes for a time, or for good, beside streams."""

import unittest

from parameterized import parameterized

from bergamotsaddle_standins.pauses import (
    BEFORE_FIRST_EVENT_S,
    Pause,
    measure_pause,
)
from tests._paused import use_paused_clock

ONE = 0.0
HALF = 0.5
# An engine is silent for 1 s behind an event, or 2 s before the first one, until a
# second run is prepared, which then has to start.
MAX_GAP_S = 1.5
MAX_START_S = 2.5

SHORT = (Pause(0.5), Pause(0.5, is_twice=True), Pause(0.5, retry_extra=0.0))
OF_ONE = (
    Pause(1.2, ONE, attempts=3, retry_extra=5.0),
    Pause(2.8, ONE, retry_extra=0.0),
    Pause(2.8, ONE, BEFORE_FIRST_EVENT_S, retry_extra=5.0),
)
OF_HALF = (
    Pause(1.2, HALF, retry_extra=5.0),
    Pause(1.2, HALF, is_twice=True, retry_extra=0.0),
    Pause(2.8, HALF, attempts=3),
    Pause(2.8, HALF, BEFORE_FIRST_EVENT_S, retry_extra=5.0),
)
OF_ALL = (
    Pause(1.2, retry_extra=0.0),
    Pause(1.2, attempts=3),
    Pause(1.2, is_twice=True, retry_extra=5.0),
    Pause(1.2, is_twice=True, attempts=3),
    Pause(2.8, retry_extra=5.0),
    Pause(2.8, attempts=3),
    Pause(2.8, moment=BEFORE_FIRST_EVENT_S, retry_extra=0.0),
    Pause(2.8, moment=BEFORE_FIRST_EVENT_S, attempts=3),
)
OF_A_MIDDLE_FLEET = (
    Pause(1.2, retry_extra=5.0, size=66),
    Pause(2.8, HALF, attempts=3, size=66),
)
ONE_ATTEMPT = (
    Pause(1.2, attempts=1),
    Pause(2.8, HALF, BEFORE_FIRST_EVENT_S, attempts=1),
)
FOR_GOOD = (
    Pause(None, ONE),
    Pause(None, ONE, attempts=3),
    Pause(None, ONE, BEFORE_FIRST_EVENT_S),
)
WITHOUT_REPEATS = (
    Pause(None, HALF, retry_extra=0.0),
    Pause(None, HALF, attempts=3, retry_extra=5.0),
    Pause(None, attempts=3),
    Pause(None, attempts=1),
)


def find_lost(outcome):
    """Yield a line if a sound stream was lost, or too few begin after a pause."""
    if outcome.lost or outcome.late:
        yield f"{outcome.lost} of {outcome.streams} lost, {outcome.late} too late"
    if outcome.begun_after < outcome.begun_before:
        yield f"{outcome.begun_after} began after it, {outcome.begun_before} before"


def find_misuse(pause, outcome):
    """Yield a line for each broken bound on runs and their events."""
    if outcome.disordered:
        yield f"{outcome.disordered} with events twice or out of order"
    if outcome.repeats > outcome.allowed_repeats:
        yield f"{outcome.repeats} repeats of {outcome.allowed_repeats:.0f}"
    if outcome.most_runs > pause.attempts:
        yield f"{outcome.most_runs} runs of {pause.attempts}"
    if outcome.doubled:
        yield f"{outcome.doubled} kept two runs at engines that send"
    if outcome.left_open:
        yield f"{outcome.left_open} runs open behind the end"


def find_left_late(outcome):
    """Yield a line if a silent engine was left too late."""
    if outcome.longest_gap > MAX_GAP_S:
        yield f"{outcome.longest_gap:.2f} s between events"
    if outcome.longest_start > MAX_START_S:
        yield f"{outcome.longest_start:.2f} s until the first event"


class PausedEngineTest(unittest.TestCase):
    """Streams at engines that fall silent and mostly go on."""

    def setUp(self):
        self.addCleanup(use_paused_clock)

    def check(self, pauses, find):
        """Play each pause and check that nothing is found."""
        found = []
        for pause in pauses:
            outcome = measure_pause(pause)
            lines = [*find(pause, outcome), *find_misuse(pause, outcome)]
            found += [f"{line} in {pause}" for line in lines]
        self.assertFalse(found, "\n".join(["", *found]))

    @parameterized.expand(
        [
            ("short", SHORT),
            ("of_one_engine", OF_ONE),
            ("of_half_the_engines", OF_HALF),
            ("of_all_engines", OF_ALL),
            ("with_one_attempt", ONE_ATTEMPT),
            ("of_a_middle_fleet", OF_A_MIDDLE_FLEET),
        ]
    )
    def test_a_pause_costs_no_stream(self, _, pauses):
        """Guards against runs given up before it is certain that others follow."""
        self.check(pauses, lambda pause, outcome: find_lost(outcome))

    def test_an_engine_silent_for_good_is_left(self):
        """Guards against streams that wait for an engine until their callers leave."""

        def find(_, outcome):
            if outcome.lost or outcome.late:
                yield f"{outcome.lost} lost, {outcome.late} too late"
            yield from find_left_late(outcome)

        self.check(FOR_GOOD, find)

    def test_silence_for_good_keeps_to_the_budget(self):
        """Guards against a storm of repeats at engines that never go on."""
        self.check(WITHOUT_REPEATS, lambda pause, outcome: ())
