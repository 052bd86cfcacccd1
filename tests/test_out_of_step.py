"""Streams that are taken up at an instance that is out of step in a release."""

import unittest
from itertools import product

from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from tests._out_of_step import NEW, OLD, Release
from tests._paused import advance, use_paused_clock
from tests.test_stream_origins import make_context

# Until the first stream of the new version is taken up, and from then to the next one.
JOIN_LIMIT_S = 2.0
TAKE_UP_STEP_S = 0.2
UNDONE_AFTER_S = 0.5
# The longest time until a take-up is decided.
ANSWER_S = 1.5
# After twice the time in which the platform counts as disturbed, streams go on.
BACK_S = 6.0
# Times behind the end of the disturbance.
LATER_S = (0.0, 0.1, 0.6, 3.0)
WAYS = {
    "in_step": Release.keep_in_step,
    "cut_off_from_peers": Release.cut_peers,
    "cut_off_from_the_store": Release.cut_store,
    "cut_off_from_both": Release.cut_both,
    "still": Release.stand_still,
}
# Targets of the new version join while the old ones do this.
RELEASES = {
    "stay": {"c": NEW},
    "leave": {"c": NEW, "a": "", "b": ""},
    "return": {"a": NEW},
    "return_and_leave": {"a": NEW, "b": ""},
}
# The same, after which the new version is undone.
UNDONE = {"undone": {"c": NEW}, "return_undone": {"a": NEW}}
TAKE_UPS = {
    "named": {"resumes": "r1", "last_event_id": 3},
    "unnamed": {"last_event_id": 3},
    "from_its_start": {"resumes": "r1"},
}
SECONDS = (1.0, 3.0, 8.0)
ROWS = [
    (f"{way}_{release}_{seconds:.0f}_s", way, release, seconds)
    for way, release, seconds in product(WAYS, RELEASES, SECONDS)
]
UNDONE_ROWS = [
    (f"{way}_{undone}_{seconds:.0f}_s_{name}", way, undone, seconds, later)
    for way, undone, seconds in product(WAYS, UNDONE, (3.0, 8.0))
    for name, later in (("at_once", LATER_S), ("later", LATER_S[1:]))
]
OLD_ROWS = [
    (f"{way}_{seconds:.0f}_s", way, seconds) for way, seconds in product(WAYS, SECONDS)
]

# By then an instance in step has read a change.
READ_S = 0.2


class OutOfStepTest(unittest.TestCase):
    """One instance is out of step while targets of a new version join."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.release = Release()
        self.addCleanup(self.release.close)
        self.outcomes = []

    def take_up(self, moment):
        """Take the stream up at the instance in each way."""
        for name, options in TAKE_UPS.items():
            outcome = self.release.out.resume(make_context("r2", **options))
            self.outcomes.append(((moment, name), outcome))

    def play(self, way, seconds, written, *, software=NEW, undone=None, later=LATER_S):
        """Disturb the instance, release, and take a stream up again and again.

        Args:
            way: How the instance is out of step.
            seconds: For how long it is.
            written: What the targets write at the beginning.
            software: The version that begins the stream.
            undone: What the targets write once the stream has begun, if anything.
            later: When it is taken up behind the end of the disturbance.
        """
        release = self.release
        WAYS[way](release)
        ends_at = now() + seconds
        release.write(**written)
        release.begin("r1", software, limit=JOIN_LIMIT_S)
        if undone:
            advance(UNDONE_AFTER_S)
            release.write(**undone)
        while now() < ends_at:
            if not release.out.is_still:
                self.take_up(f"{ends_at - now():.2f} s before the end")
            advance(min(TAKE_UP_STEP_S, ends_at - now()))
        if 0.0 in later:
            # It is read before all that is to bring the instance up to date.
            self.take_up("at the end")
        release.end()
        ended_at = now()
        for after in later:
            advance(ended_at + after - now())
            self.take_up(f"{after} s after the end")
        advance(ANSWER_S)

    def check(self):
        """Check that the stream goes on at its version, or is refused truly."""
        for key, outcome in self.outcomes:
            with self.subTest(key):
                self.assertEqual(len(outcome), 1)
                (result,) = outcome
                if isinstance(result, RequestError):
                    kinds = (ErrorKind.ORIGIN_UNKNOWN, ErrorKind.VERSION_GONE)
                    self.assertIn(result.kind, kinds)
                    self.assertEqual(result.ran, Ran.NO)
                    continue
                self.assertEqual(result, NEW)

    @parameterized.expand(ROWS)
    def test_a_stream_that_began_elsewhere(self, _, way, released, seconds):
        """Guards against streams that go on at another version behind a cut."""
        self.play(way, seconds, RELEASES[released])
        self.check()

    @parameterized.expand(UNDONE_ROWS)
    def test_the_version_came_and_went(self, _, way, undone, seconds, later):
        """Guards against a version that an instance never lists and takes for none."""
        back = dict.fromkeys(UNDONE[undone], "") | {"a": OLD}
        self.play(way, seconds, UNDONE[undone], undone=back, later=later)
        self.check()

    @parameterized.expand(ROWS)
    def test_it_goes_on_once_the_instance_is_back(self, _, way, released, seconds):
        """Guards against refusals that outlast their reason."""
        self.play(way, seconds, RELEASES[released], later=(BACK_S,))
        results = self.last_results()
        self.assertEqual(results["named"], NEW)
        self.assertEqual(results["from_its_start"], NEW)

    @parameterized.expand(OLD_ROWS)
    def test_one_of_the_only_version_goes_on(self, _, way, seconds):
        """Guards against refusals although no other version can have begun it."""
        self.play(way, seconds, {"c": OLD}, software=OLD, later=(BACK_S,))
        self.assertEqual(self.last_results(), dict.fromkeys(TAKE_UPS, OLD))

    def last_results(self):
        """Return what came of the take-ups of the last moment."""
        last = self.outcomes[-len(TAKE_UPS) :]
        return {name: outcome[0] for (_, name), outcome in last}


class ReturnedTargetTest(unittest.TestCase):
    """One instance is out of step while a target returns with other software."""

    def setUp(self):
        use_paused_clock()
        self.addCleanup(use_paused_clock)
        self.release = Release()
        self.addCleanup(self.release.close)

    @parameterized.expand(WAYS)
    def test_no_stream_of_the_old_version_goes_on_there(self, way):
        """Guards against an entry that is older than the software behind it."""
        release = self.release
        WAYS[way](release)
        release.write(a=NEW)
        advance(READ_S)
        if release.out.is_still:
            release.end()
        self.assertEqual(release.out.targets_of(OLD), {"b"})
