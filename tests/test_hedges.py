"""Streams whose engines fall silent, break off or resume around a second run."""

import random
import unittest

import eventlet

from tests._paced_engines import (
    EVENT_GAP_S,
    EVENTS,
    FOREVER,
    PATIENCE_S,
    EngineScript,
    SecondStages,
    use_scripted_stages,
)
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_silent_streams import (
    BUSY,
    DOWN,
    FAILING,
    LATE,
    MIDDLE_EVENT,
    SILENT,
    SOUND,
    STREAMS,
    call_once,
    deploy,
    run_together,
)

LATER_EVENT = MIDDLE_EVENT + 5
# When the first event of a stream is due.
MAX_BEGIN_S = 0.9
CASES = 60
# Less than the patience of callers, together with the delay of a first event.
MAX_PAUSES_S = 3.0
_stages = use_scripted_stages()


def setUpModule():  # noqa: N802
    """Use the skipping clock, and stages that deployments are given."""
    use_skipping_clock()
    _stages.start()


def tearDownModule():  # noqa: N802
    """Use the paused clock and real stages again."""
    _stages.stop()
    use_paused_clock()


def find_faults(table, *, max_gap=PATIENCE_S):
    """Return what is wrong with the streams of a table.

    Args:
        table: Scripts of the engines and options of a deployment, by name.
        max_gap: Most seconds between two events.
    """
    found = run_together(lambda row: call_once(*row[0], **row[1]), table)
    return {
        name: (received, leaks, runs)
        for name, (received, leaks, runs) in found.items()
        if not received.is_whole or leaks or received.longest_gap > max_gap
    }


class PausedEngineTest(unittest.TestCase):
    """A stream whose engine pauses at any place of its response."""

    maxDiff = None

    def test_a_pause_inside_an_event(self):
        """Guards against halves of events of two runs that are put together."""
        table = {}
        for delay in (0.0, 0.1, 0.3):
            other = EngineScript(first_delay=delay)
            for name, pause in (("short", 1.2), ("long", 3.0), ("for_good", FOREVER)):
                split = EngineScript(pauses={MIDDLE_EVENT: pause}, is_split=True)
                table[f"{name}_{delay}"] = ((split, other), {})
        split = EngineScript(pauses={MIDDLE_EVENT: 3.0}, is_split=True)
        table["alone"] = ((split,), {})
        table["no_repeat"] = ((split, SOUND), {"repeats": 0})
        self.assertEqual(find_faults(table), {})

    def test_a_pause_before_the_head(self):
        """Guards against responses that are given up before their heads arrive."""
        silent = EngineScript(pauses={1: 2.4}, holds_head=True)
        dead = EngineScript(pauses={1: FOREVER}, holds_head=True)
        late = EngineScript(first_delay=0.6, holds_head=True)
        table = {
            "alone": ((silent,), {}),
            "no_repeat": ((silent, SOUND), {"repeats": 0}),
            "other_is_silent": ((silent, SILENT), {}),
            "other_is_down": ((silent, DOWN), {}),
            "other_is_late": ((silent, late), {}),
            "dead": ((dead, SOUND), {}),
            "dead_and_other_is_late": ((dead, late), {}),
        }
        self.assertEqual(find_faults(table), {})

    def test_a_pause_behind_the_last_event(self):
        """Guards against streams that are cut although nothing of them is left."""
        silent = EngineScript(pauses={EVENTS + 1: 1.2})
        dead = EngineScript(pauses={EVENTS + 1: FOREVER})
        table = {
            "alone": ((silent,), {}),
            "beside_another": ((silent, SOUND), {}),
            "no_repeat": ((silent, SOUND), {"repeats": 0}),
            "other_is_late": ((silent, EngineScript(first_delay=0.5)), {}),
            "dead": ((dead, SOUND), {}),
        }
        self.assertEqual(find_faults(table), {})

    def test_several_pauses(self):
        """Guards against streams that a later pause ends."""
        twice = EngineScript(pauses={MIDDLE_EVENT: 1.2, LATER_EVENT: 1.2})
        late = EngineScript(first_delay=0.5)
        table = {
            f"{name}_{attempts}": ((twice, *others), {"attempts": attempts})
            for name, others in {
                "two_engines": (SOUND,),
                "two_with_a_late_one": (late,),
                "three_engines": (late, late),
                "all_pause": (twice, twice),
            }.items()
            for attempts in (1, 2, 3)
        }
        self.assertEqual(find_faults(table), {})


class BreakTest(unittest.TestCase):
    """A stream that breaks off after a silence."""

    maxDiff = None

    def test_a_break_behind_a_silence_goes_on_at_another_engine(self):
        """Guards against an overtaken run that costs a stream its next engine."""
        breaking = EngineScript(pauses={MIDDLE_EVENT: 1.2}, reset_at=LATER_EVENT)
        late = EngineScript(first_delay=0.5)
        table = {
            "same_engines": ((breaking, late), {}),
            "three_engines": ((breaking, late, SOUND), {}),
        }
        self.assertEqual(find_faults(table), {})

    def test_one_without_a_way_on_ends_while_its_caller_waits(self):
        """Guards against callers that wait in vain once all runs have broken off."""
        middle = EngineScript(pauses={MIDDLE_EVENT: FOREVER}, reset_after=1.5)
        first = EngineScript(pauses={1: FOREVER}, reset_after=2.5)
        others = {"busy": BUSY, "down": DOWN}
        table = {
            f"{place}_{name}": ((script, other), {})
            for place, script in (("middle", middle), ("first", first))
            for name, other in others.items()
        }
        table["middle_no_repeat"] = ((middle, SOUND), {"repeats": 0})
        table["first_no_repeat"] = ((first, SOUND), {"repeats": 0})
        found = run_together(lambda row: call_once(*row[0], **row[1]), table)
        faults = {
            name: (received, leaks)
            for name, (received, leaks, _) in found.items()
            if received.longest_gap > PATIENCE_S
            or leaks
            or (name.startswith("first") and received.status < 500)
        }
        self.assertEqual(faults, {})


class UnsentHedgeTest(unittest.TestCase):
    """A second run that ends before its request was sent to an engine."""

    def test_it_costs_no_repeat_and_no_attempt(self):
        """Guards against streams that end as a run that never began was counted."""
        breaking = EngineScript(pauses={MIDDLE_EVENT: 1.2}, reset_at=LATER_EVENT)
        hanging = EngineScript(is_hanging=True)
        table = {
            "last_repeat": ((breaking, hanging, SOUND), {"repeats": 1}),
            "last_attempt": ((breaking, hanging, SOUND), {"attempts": 2}),
        }
        self.assertEqual(find_faults(table), {})


class NewStreamTest(unittest.TestCase):
    """Streams that begin during and after a pause of many others."""

    def test_new_streams_begin_at_once_after_a_pause(self):
        """Guards against a pause that keeps sound engines from new streams."""
        with deploy(*[SOUND] * 4, repeats=7, is_spread=True) as deployment:
            threads = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            eventlet.sleep(EVENT_GAP_S * EVENTS / 2)
            for engine in deployment.engines:
                engine.pause(1.4)
            eventlet.sleep(1.5)
            new = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            received = [thread.wait() for thread in threads]
            begun = [thread.wait() for thread in new]
            self.assertEqual(sum(one.is_whole for one in received), STREAMS)
            self.assertEqual(sum(one.is_whole for one in begun), STREAMS)
            self.assertLess(max(one.longest_gap for one in begun), MAX_BEGIN_S)
            self.assertEqual(deployment.find_leaks(), {})

    def test_new_streams_in_a_pause_begin_at_engines_that_respond(self):
        """Guards against new streams that join those at a silent engine."""
        with deploy(*[SOUND] * 4, repeats=7, is_spread=True) as deployment:
            threads = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            eventlet.sleep(EVENT_GAP_S * EVENTS / 2)
            for engine in deployment.engines[:2]:
                engine.pause(2.6)
            eventlet.sleep(1.2)
            new = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            received = [thread.wait() for thread in threads]
            begun = [thread.wait() for thread in new]
            self.assertEqual(sum(one.is_whole for one in received), STREAMS)
            self.assertEqual(sum(one.is_whole for one in begun), STREAMS)
            self.assertLess(max(one.longest_gap for one in begun), MAX_BEGIN_S)
            self.assertEqual(deployment.find_leaks(), {})


class RandomScriptsTest(unittest.TestCase):
    """Streams at engines that pause, refuse and break off at random."""

    maxDiff = None

    def check(self, seeds, *, breaks):
        """Check streams with many seeds at the same time."""
        found = run_together(
            lambda seed: call_random(random.Random(seed), breaks=breaks),
            {seed: seed for seed in seeds},
        )
        faults = {seed: broken for seed, broken in found.items() if broken}
        self.assertEqual(faults, {})

    def test_engines_that_only_pause(self):
        """Guards against streams that are cut though each engine goes on in time."""
        self.check(range(CASES), breaks=False)

    def test_engines_that_break_off_as_well(self):
        """Guards against events out of order, further runs, and what is held on to."""
        self.check(range(CASES), breaks=True)


def call_random(rng, *, breaks):
    """Return what is wrong with a stream at engines with random scripts."""
    scripts = [make_script(rng, may_refuse=False, breaks=breaks)]
    for _ in range(rng.randint(0, 2)):
        scripts.append(make_script(rng, may_refuse=True, breaks=breaks))
    options = {
        "attempts": rng.randint(1, 3),
        "repeats": rng.choice([0, 1, 2, None]),
        "is_numbered": rng.random() < 0.9,
    }
    if rng.random() < 0.4:
        error = rng.choice([None, LATE])
        options["stages"] = SecondStages(rng.uniform(0.0, 1.0), error)
    eventlet.sleep(rng.uniform(0.0, 2.0))
    received, leaks, runs = call_once(*scripts, **options)
    faults = {
        "leaks": bool(leaks),
        "order": received.events != [*range(1, len(received.events) + 1)],
        # An engine that refuses has not run the request.
        "runs": runs > options["attempts"] + scripts.count(BUSY),
        "not whole": not breaks and not received.is_whole,
        "hangs": received.longest_gap > PATIENCE_S,
    }
    return [name for name, is_found in faults.items() if is_found]


def make_script(rng, *, may_refuse, breaks):
    """Return a random script of an engine.

    Args:
        rng: Makes the choices.
        may_refuse: Whether it may refuse all requests.
        breaks: Whether its responses may break off.
    """
    if may_refuse and rng.random() < 0.25:
        return rng.choice([BUSY, DOWN, FAILING])
    left = MAX_PAUSES_S
    pauses = {}
    for number in rng.sample(range(1, EVENTS + 2), rng.randint(0, 2)):
        pauses[number] = rng.uniform(0.1, left)
        left -= pauses[number]
    how = rng.choice(["", "after", "at"]) if breaks else ""
    return EngineScript(
        pauses=pauses,
        is_burst=rng.random() < 0.4,
        reset_after=rng.uniform(0.1, MAX_PAUSES_S) if how == "after" else None,
        reset_at=rng.randint(1, EVENTS + 1) if how == "at" else 0,
        first_delay=rng.choice([0.0, 0.05, 0.3]),
        is_split=rng.random() < 0.3,
        holds_head=rng.random() < 0.3,
    )
