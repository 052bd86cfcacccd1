"""Streams whose engines fall silent, and the runs that are begun beside them."""

import unittest
from contextlib import contextmanager

import eventlet

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from tests._paced_engines import (
    EVENT_GAP_S,
    EVENTS,
    FAILED,
    FOREVER,
    NOT_RUN,
    PATIENCE_S,
    Deployment,
    EngineScript,
    SecondStages,
    use_scripted_stages,
)
from tests._paused import use_paused_clock, use_skipping_clock

SOUND = EngineScript()
# Longer than the time after which a silent engine may be left.
MIDDLE_PAUSE_S = 1.2
FIRST_PAUSE_S = 2.4
MIDDLE_EVENT = 4
MIDDLE = EngineScript(pauses={MIDDLE_EVENT: MIDDLE_PAUSE_S})
FIRST = EngineScript(pauses={1: FIRST_PAUSE_S})
MIDDLE_FOREVER = EngineScript(pauses={MIDDLE_EVENT: FOREVER})
FIRST_FOREVER = EngineScript(pauses={1: FOREVER})
SILENT = EngineScript(pauses={0: FOREVER})
BUSY = EngineScript(refusal=NOT_RUN)
FAILING = EngineScript(refusal=FAILED)
DOWN = EngineScript(is_down=True)
BROKEN_FIRST = EngineScript(pauses={1: 0.1}, reset_after=0.05)
BROKEN_MIDDLE = EngineScript(pauses={2: 0.1}, reset_after=0.05)
# Seconds until an engine is left that is silent for good, and the next one has sent
# an event.
MAX_GAP_S = 1.5
MAX_FIRST_GAP_S = 2.5
# A stream that lost to another run is closed within this time.
MAX_LOSER_S = 0.4
MAX_CLOSE_S = 0.5
STREAMS = 30
REPEATS = 7
_stages = use_scripted_stages()
LATE = RequestError(ErrorKind.DEADLINE_INFEASIBLE, "a stage was too late", ran=Ran.NO)


def setUpModule():  # noqa: N802
    """Use the skipping clock, and stages that deployments are given."""
    use_skipping_clock()
    _stages.start()


def tearDownModule():  # noqa: N802
    """Use the paused clock and real stages again."""
    _stages.stop()
    use_paused_clock()


@contextmanager
def deploy(*scripts, **options):
    """Provide a deployment that is closed at the end."""
    deployment = Deployment(*scripts, **options)
    try:
        yield deployment
    finally:
        deployment.close()


def call_once(*scripts, **options):
    """Return what one caller of a deployment got, and what was held afterwards."""
    with deploy(*scripts, **options) as deployment:
        received = deployment.call()
        eventlet.sleep(MAX_LOSER_S)
        return received, deployment.find_leaks(), len(deployment.runs)


def run_together(function, table):
    """Call a function with each value of a dictionary at the same time."""
    threads = {name: eventlet.spawn(function, row) for name, row in table.items()}
    return {name: thread.wait() for name, thread in threads.items()}


class SilentStreamTest(unittest.TestCase):
    """A stream whose engine falls silent for a while, then goes on."""

    maxDiff = None

    def check_whole(self, table, *, max_runs=3):
        """Check that each row of a table is a stream that stays whole.

        Args:
            table: Scripts of the engines and options of a deployment, by name.
            max_runs: Most runs of one request.
        """
        found = run_together(lambda row: call_once(*row[0], **row[1]), table)
        faults = {
            name: (received, leaks, runs)
            for name, (received, leaks, runs) in found.items()
            if not received.is_whole or leaks or runs > max_runs
        }
        self.assertEqual(faults, {})

    def test_one_that_none_can_take_over_in_its_middle(self):
        """Guards against streams that are cut though their engine goes on."""
        others_by_name = {
            "other_refuses": BUSY,
            "other_is_down": DOWN,
            "other_fails": FAILING,
            "other_is_silent": SILENT,
        }
        table = {name: ((MIDDLE, other), {}) for name, other in others_by_name.items()}
        table["no_repeat"] = ((MIDDLE, SOUND), {"repeats": 0})
        table["no_other_engine"] = ((MIDDLE,), {})
        table["no_permit"] = ((MIDDLE, SOUND), {"permits": (True, False)})
        table["one_attempt"] = ((MIDDLE, SOUND), {"attempts": 1})
        table["attempts_used"] = ((BROKEN_MIDDLE, MIDDLE, SOUND), {"attempts": 2})
        table["last_repeat_used"] = ((BROKEN_MIDDLE, MIDDLE, SOUND), {"repeats": 1})
        table["unnumbered"] = ((MIDDLE, SOUND), {"is_numbered": False})
        self.check_whole(table)

    def test_one_that_none_can_take_over_before_its_first_event(self):
        """Guards against streams that fail though their engine begins in time."""
        others_by_name = {
            "other_refuses": BUSY,
            "other_is_down": DOWN,
            "other_fails": FAILING,
            "other_is_silent": SILENT,
        }
        table = {name: ((FIRST, other), {}) for name, other in others_by_name.items()}
        table["no_repeat"] = ((FIRST, SOUND), {"repeats": 0})
        table["no_other_engine"] = ((FIRST,), {})
        table["no_permit"] = ((FIRST, SOUND), {"permits": (True, False)})
        table["one_attempt"] = ((FIRST, SOUND), {"attempts": 1})
        table["attempts_used"] = ((BROKEN_FIRST, FIRST, SOUND), {"attempts": 2})
        table["last_repeat_used"] = ((BROKEN_FIRST, FIRST, SOUND), {"repeats": 1})
        self.check_whole(table)

    def test_one_whose_stages_fail_the_second_time(self):
        """Guards against streams that end with the stages of a run beside them."""
        table = {
            f"{name}_{seconds}": (
                (script, SOUND),
                {"stages": SecondStages(seconds, LATE)},
            )
            for name, script in (("middle", MIDDLE), ("first", FIRST))
            for seconds in (0.05, 1.0)
        }
        self.check_whole(table)

    def test_one_that_breaks_while_another_run_is_prepared(self):
        """Guards against streams that end with the silent one of two runs."""
        table = {}
        for after in (1.05, 1.2, 1.4, 1.6):
            middle = EngineScript(pauses={MIDDLE_EVENT: 3.0}, reset_after=after)
            first = EngineScript(pauses={1: 3.4}, reset_after=1.0 + after)
            for delay in (0.0, 0.3):
                other = EngineScript(first_delay=delay)
                for name, silent in (("middle", middle), ("first", first)):
                    options = {"stages": SecondStages(0.35)}
                    table[f"{name}_{after}_{delay}"] = ((silent, other), options)
        self.check_whole(table, max_runs=2)

    def test_one_that_breaks_when_no_other_run_could_be_had(self):
        """Guards against a refused run beside a silent one that costs the last try."""
        middle = EngineScript(pauses={MIDDLE_EVENT: 3.0}, reset_after=1.5)
        self.check_whole({"middle": ((middle, BUSY, SOUND), {})})

    def test_engines_that_resume_about_when_another_one_begins(self):
        """Guards against events of two runs in one stream, and runs left open."""

        def call(row):
            is_burst, pause, delay = row
            silent = EngineScript(pauses={MIDDLE_EVENT: pause}, is_burst=is_burst)
            other = EngineScript(first_delay=delay)
            with deploy(silent, other) as deployment:
                received = deployment.call()
                eventlet.sleep(MAX_LOSER_S)
                engine = deployment.engines[0]
                late = find_late_losers(deployment.runs, engine.silent_until)
                return received, deployment.find_leaks(), late

        table = {
            (is_burst, pause, delay): (is_burst, pause, delay)
            for is_burst in (False, True)
            for pause in (1.0, 1.05, 1.2)
            for delay in (0.0, 0.1, 0.18, 0.2, 0.22, 0.4)
        }
        found = run_together(call, table)
        faults = {
            name: (received, leaks, late)
            for name, (received, leaks, late) in found.items()
            if not received.is_whole or leaks or late
        }
        self.assertEqual(faults, {})

    def test_both_of_two_engines_that_fall_silent(self):
        """Guards against streams that end as the engine of the second run pauses."""
        table = {}
        for pause in (0.6, 1.2, 1.8):
            beside = EngineScript(pauses={MIDDLE_EVENT: pause})
            table[f"middle_{pause}"] = ((MIDDLE, beside), {})
            later = EngineScript(pauses={MIDDLE_EVENT + 3: pause})
            table[f"later_{pause}"] = ((MIDDLE, later), {})
            first = EngineScript(pauses={1: pause})
            table[f"first_{pause}"] = ((FIRST, first), {})
        self.check_whole(table)


def find_late_losers(runs, resumed_at):
    """Return how long runs lived on after another one had sent the next event.

    Args:
        runs: The runs of a request.
        resumed_at: When the silent engine went on.
    """
    if len(runs) < 2:
        return []
    first, second = runs
    firsts = [at for at in (resumed_at, second.first_event_at) if at is not None]
    decided_at = min(firsts)
    closed = [run.closed_at for run in runs if run.closed_at is not None]
    return [at - decided_at for at in closed if at > decided_at + MAX_LOSER_S]


class DeadEngineTest(unittest.TestCase):
    """A stream whose engine is silent for good."""

    def test_it_is_left_soon(self):
        """Guards against streams that wait for a dead engine beside a sound one."""
        table = {
            "middle": ((MIDDLE_FOREVER, SOUND), {}, MAX_GAP_S),
            "middle_last_repeat": ((MIDDLE_FOREVER, SOUND), {"repeats": 1}, MAX_GAP_S),
            "middle_two_attempts": (
                (MIDDLE_FOREVER, SOUND),
                {"attempts": 2},
                MAX_GAP_S,
            ),
            "first": ((FIRST_FOREVER, SOUND), {}, MAX_FIRST_GAP_S),
            "two_in_the_middle": (
                (MIDDLE_FOREVER, SILENT, SOUND),
                {},
                PATIENCE_S,
            ),
            "other_refuses": ((MIDDLE_FOREVER, BUSY, SOUND), {}, MAX_GAP_S),
            "other_is_down": ((MIDDLE_FOREVER, DOWN, SOUND), {}, MAX_GAP_S),
        }

        def call(row):
            scripts, options, _ = row
            return call_once(*scripts, **options)

        found = run_together(call, table)
        faults = {
            name: (received, leaks)
            for name, (received, leaks, _) in found.items()
            if not received.is_whole or leaks or received.longest_gap > table[name][2]
        }
        self.assertEqual(faults, {})


class ManySilentStreamsTest(unittest.TestCase):
    """Many streams whose engines all fall silent at the same moment."""

    def pause_all(self, seconds, *, repeats, stages=None):
        """Pause all engines and return the deployment and what each caller got."""
        with deploy(*[SOUND] * 4, repeats=repeats, stages=stages) as deployment:
            threads = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            eventlet.sleep(EVENT_GAP_S * EVENTS / 2)
            for engine in deployment.engines:
                engine.pause(seconds)
            received = [thread.wait() for thread in threads]
            eventlet.sleep(MAX_LOSER_S)
            return deployment, received

    def check(self, deployment, received):
        """Check that all streams are whole, and what is held afterwards."""
        whole = sum(one.is_whole for one in received)
        self.assertEqual((whole, deployment.find_leaks()), (STREAMS, {}))
        self.assertEqual(deployment.repeats_used, deployment.repeats_sent)

    def test_few_repeats(self):
        """Guards against a pause that ends all streams beyond the budget."""
        deployment, received = self.pause_all(MIDDLE_PAUSE_S, repeats=REPEATS)
        self.check(deployment, received)
        self.assertLessEqual(deployment.repeats_sent, REPEATS)

    def test_repeats_that_are_not_sent(self):
        """Guards against a budget that is used up by runs that never began."""
        stages = SecondStages(0.6)
        deployment, received = self.pause_all(
            MIDDLE_PAUSE_S, repeats=REPEATS, stages=stages
        )
        self.check(deployment, received)
        self.assertEqual(deployment.repeats_sent, 0)

    def test_a_second_pause(self):
        """Guards against a pause that ends streams as an earlier one used repeats."""
        with deploy(*[SOUND] * 4, repeats=REPEATS) as deployment:
            threads = [eventlet.spawn(deployment.call) for _ in range(STREAMS)]
            for _ in range(2):
                eventlet.sleep(0.3)
                for engine in deployment.engines:
                    engine.pause(MIDDLE_PAUSE_S)
                eventlet.sleep(MIDDLE_PAUSE_S)
            received = [thread.wait() for thread in threads]
            eventlet.sleep(MAX_LOSER_S)
            self.check(deployment, received)
            self.assertLessEqual(deployment.repeats_sent, REPEATS)


class EndTest(unittest.TestCase):
    """A request that ends while one or two engines are silent."""

    def end(self, row, end):
        """Return how many runs there were at the end of a stream, and what is wrong."""
        scripts, moment, _ = row
        with deploy(*scripts) as deployment:
            client, _ = deployment.open()
            eventlet.sleep(moment)
            runs = len(deployment.runs)
            end(deployment, client)
            eventlet.sleep(MAX_CLOSE_S)
            later = len(deployment.runs) - runs
            leaks = deployment.find_leaks()
            client.close()
            return runs, later, leaks

    def check_all_closed(self, end):
        """Check that an end closes all runs, and no other one begins."""
        slow = EngineScript(first_delay=2.0)
        late = EngineScript(pauses={MIDDLE_EVENT: 3.0})
        first = EngineScript(pauses={1: 3.0})
        table = {
            "one_run": ((late, slow), 0.6, 1),
            "two_runs": ((late, slow), 1.6, 2),
            "one_run_before_its_first_event": ((first, slow), 1.5, 1),
            "two_runs_before_their_first_event": ((first, slow), 2.5, 2),
        }
        found = run_together(lambda row: self.end(row, end), table)
        expected = {name: (runs, 0, {}) for name, (*_, runs) in table.items()}
        self.assertEqual(found, expected)

    def test_the_caller_leaves(self):
        """Guards against engines that work for a caller that has left."""
        self.check_all_closed(lambda deployment, client: client.close())

    def test_the_request_is_quarantined(self):
        """Guards against a quarantined request that goes on at a second engine."""

        def quarantine(deployment, client):
            deployment.suspects.is_quarantined = lambda fingerprint: True
            deployment.server.abort_quarantined()

        self.check_all_closed(quarantine)
