"""When streams end, and which of them are sent elsewhere or rejected."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.errors import RequestError
from bergamotsaddle_serving.catalog import Service
from bergamotsaddle_serving.decisions.engine_choice import EngineView, choose_engine
from bergamotsaddle_serving.decisions.engine_speeds import EngineSpeed, load_factor
from bergamotsaddle_serving.decisions.stream_ends import (
    LENGTHS,
    EndForecast,
    EndTrials,
    Outlook,
    StreamEnd,
    StreamLength,
)
from bergamotsaddle_serving.messages import PromptPart, RequestHead
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.stream_admission import StreamAdmission
from bergamotsaddle_serving.stream_run import StreamRun
from tests._paused import advance, use_paused_clock, use_skipping_clock
from tests._uneven_engines import HINTS, REVIEWS, WITHOUT, Replay, make_instances
from tests.test_broken_streams import (
    REQUEST,
    ScriptedEngine,
    connect,
    make_context,
    make_server,
    read_response,
)
from tests.test_stream_versions import ADDRESS, make_candidates
from tests.test_stream_versions import make_server as make_version_server

PROMPT = (PromptPart("shared", 9_000), PromptPart("own", 1_000))
EVENT_S = 0.05
END = StreamEnd(8.0, StreamLength(usual=40, spread=0.3), event_seconds=EVENT_S)


def make_head(*, hint=0, most=0):
    """Return a request whose caller says something of its length."""
    head = RequestHead("q", b"POST", "/", "h", "", 9.0, PROMPT, 10_000, most)
    return head._replace(length_hint=hint)


def speed_of(writing):
    """Return a speed."""
    speed = EngineSpeed()
    speed.writing = writing
    return speed


class LengthTest(unittest.TestCase):
    """What is expected of a stream's length."""

    def setUp(self):
        use_paused_clock()
        random.seed(63)

    def test_nothing_is_known_at_first(self):
        """Guards against requests that are rejected before anything is known."""
        (instance,) = make_instances(1)
        self.assertIsNone(instance.lengths.forecast("r", make_head(hint=100, most=500)))

    @parameterized.expand([("small", 7), ("large", 195)])
    def test_all_instances_learn_the_events_of_a_token(self, _, size):
        instances = make_instances(size)
        for _ in range(60):
            head = make_head(hint=100)
            random.choice(instances).lengths.record("r", head, 20)
        for instance in instances:
            length = instance.lengths.forecast("r", make_head(hint=200))
            self.assertAlmostEqual(length.usual, 40.0, delta=8.0)

    @parameterized.expand([("exact", 0.0, 0.6), ("far_off", 1.0, 1.4)])
    def test_spread_follows_how_far_hints_are_off(self, _, spread, most):
        """Guards against trust in hints that are often far off."""
        (instance,) = make_instances(1)
        for _ in range(150):
            events = max(1, round(40 * random.lognormvariate(0.0, spread)))
            instance.lengths.record("r", make_head(hint=200), events)
        length = instance.lengths.forecast("r", make_head(hint=200))
        self.assertLess(length.spread, most)
        self.assertGreater(length.spread, 0.6 * spread)

    def test_the_better_of_hint_and_maximum_counts(self):
        (instance,) = make_instances(1)
        for events in (10, 20, 40, 80) * 10:
            head = make_head(hint=random.choice((50, 500)), most=events * 5)
            instance.lengths.record("r", head, events)
        length = instance.lengths.forecast("r", make_head(hint=9_999, most=150))
        self.assertAlmostEqual(length.usual, 30.0, delta=3.0)

    def test_cut_streams_count_if_they_are_long_already(self):
        """Guards against lengths that are learnt from short streams only."""
        (instance,) = make_instances(1)
        instance.lengths.record("r", make_head(hint=100), 20)
        instance.lengths.record_cut("r", make_head(hint=100), 5)
        before = instance.lengths.forecast("r", make_head(hint=100))
        self.assertAlmostEqual(before.usual, 20.0, delta=0.2)
        instance.lengths.record_cut("r", make_head(hint=100), 80)
        after = instance.lengths.forecast("r", make_head(hint=100))
        self.assertGreater(after.usual, 25.0)

    @parameterized.expand([("after_few", 5), ("after_many", 60)])
    def test_absurd_hints_do_not_change_what_others_expect(self, _, streams):
        """Guards against streams of all callers that few absurd hints make hopeless."""
        first, second = make_instances(2)
        for _ in range(streams):
            first.lengths.record("r", make_head(hint=100), 20)
            advance(3.0)
        before = first.lengths.forecast("r", make_head(hint=100))
        for _ in range(6):
            first.lengths.record("r", make_head(hint=1), 400)
            advance(3.0)
        for instance in (first, second):
            length = instance.lengths.forecast("r", make_head(hint=100))
            self.assertAlmostEqual(length.usual, 20.0, delta=1.0)
        after = first.lengths.forecast("r", make_head(hint=100))
        self.assertGreater(after.spread, before.spread)

    def test_absurd_first_hint_is_corrected(self):
        """Guards against a length that is wrong for ever as the first was odd."""
        (instance,) = make_instances(1)
        instance.lengths.record("r", make_head(hint=1), 400)
        for _ in range(60):
            instance.lengths.record("r", make_head(hint=100), 20)
        length = instance.lengths.forecast("r", make_head(hint=100))
        self.assertAlmostEqual(length.usual, 20.0, delta=4.0)

    def test_jump_that_another_instance_tells_widens_the_spread(self):
        """Guards against trust in a length that has just become another one."""
        (instance,) = make_instances(1)
        for _ in range(60):
            instance.lengths.record("r", make_head(hint=100), 20)
            advance(3.0)
        before = instance.lengths.forecast("r", make_head(hint=100))
        advance(1.0)
        instance.gossip.merge([Fact(LENGTHS.name, "r hint", 4.0, 0.0)])
        after = instance.lengths.forecast("r", make_head(hint=100))
        self.assertGreater(after.usual, 10.0 * before.usual)
        self.assertGreater(after.spread, 1.3 * before.spread)

    def test_tokens_of_others_are_those_that_an_engine_can_hold(self):
        """Guards against one absurd maximum that makes all engines look full."""
        (instance,) = make_instances(1)
        service = Service("s", 10, engine_memory=500_000)
        for _ in range(100):
            instance.lengths.record_tokens(service, 4_000)
        instance.lengths.record_tokens(service, 10**15)
        self.assertLess(instance.lengths.usual_tokens("s"), 30_000)

    def test_tokens_of_a_request_are_recorded_once(self):
        """Guards against usual tokens that follow the requests with many attempts."""
        server, context = make_versions({})
        service = Service("s", 10, engine_memory=500_000)
        context = context._replace(service=service)
        for _ in range(3):
            server.choose(context, set())
        server.lengths.record_tokens.assert_not_called()
        with mock.patch.object(StreamRun, "run"):
            server.serve(context, mock.Mock())
        server.lengths.record_tokens.assert_called_once_with(service, 1_000)

    def test_kinds_are_told_apart(self):
        (instance,) = make_instances(1)
        instance.lengths.record("r", make_head(hint=100), 20)
        self.assertIsNone(instance.lengths.forecast("other", make_head(hint=100)))
        self.assertIsNone(instance.lengths.forecast("r", make_head(most=100)))


class EndTest(unittest.TestCase):
    """When one stream ends at one engine."""

    @parameterized.expand(
        [
            ("usual", END, 1.0, 0, True, False),
            ("slow", END, 4.0, 0, False, False),
            ("very_slow", END, 8.0, 0, False, True),
            ("crowded", END, 2.4, 60, False, False),
            ("no_time", END._replace(remaining=0.1), 1.0, 0, False, True),
        ]
    )
    def test_chance(self, _, ending, writing, running, is_certain, is_hopeless):
        end = ending.forecast(speed_of(writing), running, 64, 0.3)
        self.assertEqual((end.is_certain, end.is_hopeless), (is_certain, is_hopeless))

    def test_engine_without_memory_takes_longer(self):
        """Guards against streams at an engine that drops and reads them again."""
        roomy = END._replace(memory=500_000, tokens=10_000, other_tokens=4_000.0)
        full = roomy._replace(memory=100_000)
        seconds = [
            ending.forecast(speed_of(1.0), 40, 64, 0.0).seconds
            for ending in (roomy, full, full._replace(memory=1))
        ]
        self.assertLess(seconds[0], seconds[1])
        self.assertAlmostEqual(seconds[2], 2.0 * seconds[0])

    @parameterized.expand(
        [
            ("usual", 1.0, 0, Outlook.FAIR),
            ("slow_beyond_errors_of_speeds", 8.0, 0, Outlook.NONE),
            ("slow_within_errors_of_speeds", 6.0, 0, Outlook.POOR),
            ("full_of_others_tokens", 3.8, 40, Outlook.POOR),
        ]
    )
    def test_outlook(self, _, writing, running, outlook):
        """Guards against refusals due to errors of speeds, or to memory counted twice.

        Measured times contain the slowdown by short memory already.
        """
        full = END._replace(memory=10_000, tokens=10_000, other_tokens=4_000.0)
        ending = full if running else END
        end = ending.forecast(speed_of(writing), running, 64, 0.3)
        self.assertIs(end.outlook, outlook)


class ChoiceTest(unittest.TestCase):
    """The engine of a stream by its end."""

    def choose(self, writing_by_id, ending, **changes_by_id):
        views = []
        for name in ("e1", "e2", "e3", "e4"):
            speed = speed_of(writing_by_id.get(name, 1.0))
            view = EngineView(name, "a", 64, 0, 0, False, speed=speed)
            views.append(view._replace(**changes_by_id.get(name, {})))
        return choose_engine(
            views,
            PROMPT,
            10_000,
            objective=1.0,
            stage_seconds=lambda zone: 0.0,
            ending=ending,
        )

    def setUp(self):
        self.home = self.choose({}, None).engine.id
        self.others = sorted({"e1", "e2", "e3", "e4"} - {self.home})

    def test_stream_stays_where_it_ends_in_time(self):
        choice = self.choose({self.home: 1.6}, END)
        self.assertEqual(choice.engine.id, self.home)
        self.assertEqual(choice.reason, "home")

    def test_stream_that_may_not_end_goes_where_it_can(self):
        """Guards against streams that a slow engine can't end in time."""
        choice = self.choose({self.home: 6.0}, END)
        self.assertNotEqual(choice.engine.id, self.home)
        self.assertTrue(choice.end.is_certain)

    def test_all_instances_send_it_to_the_same_engine(self):
        """Guards against parts that are read at each engine in turn."""
        chosen = {
            self.choose({self.home: slow}, END).engine.id for slow in (5.0, 6.0, 7.0)
        }
        self.assertEqual(len(chosen), 1)

    def test_engine_that_is_late_is_avoided(self):
        first = self.choose({self.home: 6.0}, END).engine.id
        busy = {first: {"tokens_ahead": 90_000}}
        choice = self.choose({self.home: 6.0}, END, **busy)
        self.assertNotIn(choice.engine.id, (self.home, first))

    def test_best_chance_if_none_is_certain(self):
        slow = dict.fromkeys(self.others, 8.0)
        choice = self.choose({**slow, self.others[1]: 4.0, self.home: 8.0}, END)
        self.assertEqual(choice.engine.id, self.others[1])
        self.assertFalse(choice.end.is_hopeless)

    @parameterized.expand(
        [("many_tokens", 4.0, 4.4, 60_000), ("poor_chance", 1.54, 1.95, 13_300)]
    )
    def test_hopeless_stream_leaves_whatever_is_read_again(
        self, _, writing, remaining, shared
    ):
        """Guards against streams that are refused though another engine may end them.

        More shared tokens are read again than the gain in chance pays for.
        """
        equal = [EngineView(name, "a", 64, 0, 0, False) for name in ("e1", "e2")]
        prompt = (PromptPart("shared", shared), PromptPart("own", 1_000))

        def choose(engines):
            return choose_engine(
                engines,
                prompt,
                shared + 1_000,
                objective=9.0,
                stage_seconds=lambda zone: 0.0,
                ending=END._replace(remaining=remaining),
            )

        home = choose(equal).engine.id
        engines = [
            view._replace(speed=speed_of(writing if view.id == home else 1.0))
            for view in equal
        ]
        (at_home,) = [view for view in engines if view.id == home]
        self.assertTrue(choose([at_home]).end.is_hopeless)
        choice = choose(engines)
        self.assertNotEqual(choice.engine.id, home)
        self.assertFalse(choice.end.is_hopeless)

    def test_hopeless_stream_goes_where_it_has_a_prospect(self):
        """Guards against streams that are refused though errors may let them end."""
        slow = dict.fromkeys(self.others, 9.0)
        choice = self.choose({**slow, self.others[1]: 6.0, self.home: 9.0}, END)
        self.assertEqual(choice.engine.id, self.others[1])
        self.assertIs(choice.end.outlook, Outlook.POOR)

    def test_no_prospect_anywhere(self):
        choice = self.choose(dict.fromkeys(("e1", "e2", "e3", "e4"), 9.0), END)
        self.assertTrue(choice.end.is_hopeless)
        self.assertIs(choice.end.outlook, Outlook.NONE)

    def test_without_forecast_the_choice_is_as_before(self):
        self.assertIsNone(self.choose({self.home: 6.0}, None).end)
        self.assertEqual(self.choose({self.home: 6.0}, None).engine.id, self.home)


def make_versions(writing_by_id, *, is_suspect=False):
    """Return a server with engines of two versions, and a request.

    Engines a and b run the first version. At a usual engine the request takes a quarter
    of the time that its caller has.
    """
    candidates = make_candidates(ADDRESS, {"a": "v1", "b": "v1", "c": "v2"})
    for candidate in candidates:
        candidate.state.speed = speed_of(writing_by_id.get(candidate.target.id, 1.0))
    server = make_version_server(candidates)
    server.suspects.is_suspect = lambda fingerprint: is_suspect
    head = RequestHead("r", b"POST", b"/", "h", "", 9.0)
    head = head._replace(prompt=PROMPT, prompt_tokens=10_000)
    context = make_context(head, mock.Mock(body=b""), is_resumable=True)
    events = context.remaining / 4.0 / (EVENT_S * load_factor(1, 4))
    server.speeds = mock.Mock(event_seconds=lambda service: EVENT_S)
    server.lengths = mock.Mock(
        forecast=lambda route, head: StreamLength(events, 0.3),
        usual_tokens=lambda service: 0.0,
    )
    return server, context


class VersionsTest(unittest.TestCase):
    """The engine of a stream that may go on at its version only."""

    @parameterized.expand(
        [
            ("end_in_time", {}, ("a", "b"), False),
            ("are_too_slow", {"a": 9.0, "b": 9.0}, ("c",), False),
            ("are_as_slow", {"a": 9.0, "b": 9.0, "c": 9.0}, ("a", "b"), True),
        ]
    )
    def test_replicated_versions(self, _, writing_by_id, expected, is_hopeless):
        """Guards against streams that are refused as one version can't end them."""
        server, context = make_versions(writing_by_id)
        choice = server.choose(context, set())
        self.assertIn(choice.engine.id, expected)
        self.assertIs(choice.end.is_hopeless, is_hopeless)

    def test_suspect_at_a_slow_engine(self):
        """Guards against a suspect that is refused as it may go to one engine only."""
        server, context = make_versions(dict.fromkeys("abc", 9.0), is_suspect=True)
        StreamAdmission(server).check_end(context, server.choose(context, set()))


class RejectionTest(unittest.TestCase):
    """What callers get whose streams no engine can end."""

    def setUp(self):
        use_skipping_clock()
        self.addCleanup(use_paused_clock)

    def call(self, end, *, is_resumed=False):
        engine = ScriptedEngine(None, "chunks")
        server = make_server(engine)
        choose = server.choose
        server.choose = lambda *args: choose(*args)._replace(end=end)

        def make(head, raw):
            context = make_context(head, raw, is_resumable=False)
            return context._replace(earlier_runs=int(is_resumed))

        client = connect(server, make)
        client.sendall(REQUEST % 1)
        try:
            return read_response(client, 1)[0], server
        finally:
            client.close()
            engine.close()

    @parameterized.expand(
        [
            ("hopeless", 0.05, False, 503),
            ("poor_chance", 0.2, False, 200),
            ("hopeless_but_resumed", 0.05, True, 200),
        ]
    )
    def test_status(self, _, chance, is_resumed, status):
        """Guards against streams that run for the caller's whole time in vain."""
        end = EndForecast(30.0, 9.0, chance, chance)
        found, server = self.call(end, is_resumed=is_resumed)
        self.assertEqual(found, status)
        logged = [call.args[0] for call in server.logger.info.mock_calls if call.args]
        self.assertEqual("stream_end_forecast" in logged, status == 503)
        counted = b'hopeless_streams_total{end="rejected",route="r"} 1.0'
        self.assertEqual(counted in server.metrics.page(), status == 503)


class TrialTest(unittest.TestCase):
    """Hopeless streams that run nonetheless."""

    def setUp(self):
        use_paused_clock()

    def test_one_of_a_route_now_and_then(self):
        """Guards against a wrong forecast that refuses all streams of a route."""
        trials = EndTrials()
        taken = []
        for second in range(35):
            if trials.take("r"):
                taken.append(second)
            advance(1.0)
        self.assertEqual(taken, [10, 20, 30])
        self.assertFalse(trials.take("other"))

    def test_trial_is_not_refused(self):
        """Guards against streams that are refused though their trial is due."""
        server, context = make_versions(dict.fromkeys("abc", 9.0))
        choice = server.choose(context, set())
        with self.assertRaises(RequestError):
            StreamAdmission(server).check_end(context, choice)
        advance(10.0)
        StreamAdmission(server).check_end(context, choice)
        counted = b'hopeless_streams_total{end="tried",route="r"} 1.0'
        self.assertIn(counted, server.metrics.page())


class ReplayTest(unittest.TestCase):
    """Callers with little time, and engines that take 0.6, 1 and 1.6 of the usual."""

    def replay(self, policy_options, *, works):
        use_paused_clock()
        random.seed(63)
        slownesses = (0.6, 1.0, 1.6) * 3
        replay = Replay(7, slownesses, *policy_options, works=works, seed=63)
        replay.run(34.0)
        return replay

    def test_large_streams_are_served(self):
        """Guards against large requests that starve, as their end is uncertain.

        The largest tenth of a kind must be served at least half as often as the kind.
        """
        works = (REVIEWS._replace(deadline=4.0), HINTS._replace(deadline=5.0))
        replay = self.replay([], works=works)
        for work in works:
            counts = {
                (is_large, outcome): count
                for (name, is_large, outcome), count in replay.outcomes_by_size.items()
                if name == work.name
            }
            large = sum(n for (is_large, _), n in counts.items() if is_large)
            whole = sum(n for (_, outcome), n in counts.items() if outcome == "whole")
            served = whole / sum(counts.values())
            self.assertGreater(large, 0)
            self.assertGreaterEqual(
                counts.get((True, "whole"), 0) / large, 0.5 * served
            )
        without = self.replay([WITHOUT], works=works)
        self.assertLess(
            len(replay.cut_in_vain), 0.5 * len(without.cut_in_vain), "fewer are cut"
        )
