"""How fast engines are, as all instances learn it together."""

import math
import random
import unittest

from parameterized import parameterized

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.decisions.engine_choice import EngineView, choose_engine
from bergamotsaddle_serving.decisions.engine_speeds import (
    HOMES,
    WRITING,
    EngineSpeed,
    EventMeter,
    Pace,
    WritingTimes,
    next_pace,
)
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.peer_messages import Fact
from tests._paused import advance, use_paused_clock
from tests._uneven_engines import (
    SERVICE,
    WITHOUT,
    Replay,
    make_instances,
    make_target,
)

USUAL_S = 0.05
SLOWNESSES = (0.6, 1.0, 1.6) * 3
DAY_S = 34.0
FACT_BYTES = 64
SIZES = [("small", 7), ("middle", 66), ("large", 195), ("largest", 350)]


def measure(instance, target, seconds, *, times=1):
    """Record streams of an idle engine that took some seconds for each event."""
    for _ in range(times):
        instance.speeds.record_writing(
            target, WritingTimes(seconds, seconds), running=0
        )
        advance(3.0)


def measure_all(instances, targets, seconds_by_id, *, rounds=3):
    """Let random instances measure all targets, at usual speed unless given."""
    for instance in instances:
        for target in targets:
            instance.speeds.of(target)
    for _ in range(rounds):
        for target in targets:
            seconds = seconds_by_id.get(target.id, USUAL_S)
            times = WritingTimes(seconds, seconds)
            random.choice(instances).speeds.record_writing(target, times, running=0)
            advance(0.5)
    advance(3.0)


class EventMeterTest(unittest.TestCase):
    """What one run tells of its engine."""

    def setUp(self):
        use_paused_clock()

    def run_pauses(self, pauses):
        meter = EventMeter()
        meter.add(1)
        for pause in pauses:
            advance(pause)
            meter.add(1)
        return meter.times()

    @parameterized.expand(
        [
            ("even", [0.05] * 8, 0.05, 0.05),
            ("beside_prompts", [0.05] * 6 + [0.4] * 2, 0.1375, 0.05),
        ]
    )
    def test_times_of_an_event(self, _, pauses, mean, median):
        times = self.run_pauses(pauses)
        self.assertAlmostEqual(times.mean, mean)
        self.assertAlmostEqual(times.median, median)

    def test_few_events_tell_nothing(self):
        self.assertIsNone(self.run_pauses([0.05] * 3))
        self.assertIsNone(EventMeter().times())

    def test_events_that_come_together(self):
        meter = EventMeter()
        meter.add(2)
        for _ in range(5):
            advance(0.2)
            meter.add(4)
        self.assertAlmostEqual(meter.times().median, 0.05)
        self.assertAlmostEqual(meter.times().mean, 0.05)


class LearningTest(unittest.TestCase):
    """What all instances know after some of them have measured."""

    def setUp(self):
        use_paused_clock()
        random.seed(63)
        self.targets = [make_target(f"e{n}") for n in range(6)]

    def known(self, instance):
        return [instance.speeds.of(target).pace for target in self.targets]

    @parameterized.expand(SIZES)
    def test_all_instances_learn_the_same_pace(self, _, size):
        """Guards against homes that differ between instances.

        Each instance sees only few streams, so none could learn the speeds alone.
        """
        instances = make_instances(size)
        measure_all(instances, self.targets, {"e1": 0.1, "e2": 0.03}, rounds=4)
        paces = self.known(instances[0])
        self.assertEqual(paces[:3], [Pace.USUAL, Pace.SLOW, Pace.FAST])
        self.assertEqual(paces[3:], [Pace.USUAL] * 3)
        for instance in instances:
            self.assertEqual(self.known(instance), paces)

    def test_one_slow_stream_changes_no_pace(self):
        """Guards against homes that move because a neighbour was noisy once."""
        instances = make_instances(7)
        measure_all(instances, self.targets, {})
        measure(instances[0], self.targets[0], 5 * USUAL_S)
        measure_all(instances, self.targets, {}, rounds=1)
        self.assertEqual(self.known(instances[1]), [Pace.USUAL] * 6)

    def test_engine_that_turns_slow_is_known_to_all(self):
        """Guards against long streams that go on to be sent to a slow engine."""
        instances = make_instances(7)
        measure_all(instances, self.targets, {}, rounds=4)
        for instance in instances[:4]:
            measure(instance, self.targets[0], 4 * USUAL_S)
        for instance in instances:
            speed = instance.speeds.of(self.targets[0])
            self.assertIn(speed.pace, (Pace.SLOW, Pace.VERY_SLOW))
            self.assertLess(speed.weight, 1.0)

    @parameterized.expand(
        [
            ("slow", 1.38, 1.8, Pace.SLOW),
            ("fast", 0.77, 0.6, Pace.FAST),
            ("usual", 1.3, 1.0, Pace.USUAL),
        ]
    )
    def test_first_figure_that_is_off(self, _, first, relative, pace):
        """Guards against a first figure that stays, as each instance measures once.

        An engine counted as usual all day though each of its streams showed that it
        was slow, and its callers left before their streams ended.
        """
        instances = make_instances(75)
        target = self.targets.pop()
        measure_all(instances, self.targets, {}, rounds=3)
        measure(instances[-1], target, first * USUAL_S)
        for instance in instances[:20]:
            measure(instance, target, relative * USUAL_S)
        paces = {instance.speeds.of(target).pace for instance in instances}
        self.assertEqual(paces, {pace})

    @parameterized.expand(
        [
            ("huge", 1e9, 8.0),
            ("beyond_numbers", math.inf, 1.0),
            ("not_a_number", math.nan, 1.0),
            ("tiny", -1e9, 0.4),
        ]
    )
    def test_false_figures_are_limited(self, _, value, relative):
        """Guards against one false figure that draws all work to an engine."""
        instances = make_instances(2)
        measure_all(instances, self.targets, {})
        fact = Fact(WRITING.name, self.targets[0].key, value, 0.0)
        instances[0].gossip.merge([fact])
        advance(2.0)
        measure(instances[0], self.targets[1], USUAL_S)
        speed = instances[0].speeds.of(self.targets[0])
        self.assertAlmostEqual(speed.writing, relative, places=1)

    @parameterized.expand([("unknown", 9.0), ("part", 0.5), ("no_number", math.nan)])
    def test_unknown_paces_are_ignored(self, _, value):
        instances = make_instances(1)
        fact = Fact(HOMES.name, self.targets[0].key, value, 0.0)
        instances[0].gossip.merge([fact])
        self.assertIs(instances[0].speeds.of(self.targets[0]).pace, Pace.USUAL)

    @parameterized.expand([("zero", 0.0), ("nan", math.nan), ("negative", -1.0)])
    def test_measurements_that_are_no_times_are_ignored(self, _, seconds):
        instances = make_instances(1)
        measure(instances[0], self.targets[0], seconds)
        self.assertEqual(instances[0].speeds.count_known(), 0)

    def test_new_incarnation_counts_as_usual(self):
        """Guards against a restarted engine that is judged by its former life."""
        instances = make_instances(2)
        measure_all(instances, self.targets, {"e1": 0.2}, rounds=4)
        old = instances[0].speeds.of(self.targets[1])
        self.assertGreater(old.writing, 2.0)
        again = make_target("e1", started_ms=2)
        listed = {t.incarnation for t in [*self.targets, again]}
        listed.discard(self.targets[1].incarnation)
        for instance in instances:
            instance.speeds.keep_only(listed)
            fresh = instance.speeds.of(again)
            self.assertEqual((fresh.writing, fresh.pace), (1.0, Pace.USUAL))
            self.assertEqual(instance.speeds.count_slow(), 0)
        self.assertEqual((old.writing, old.weight), (1.0, 1.0))

    def test_usual_event_is_not_that_of_a_stall(self):
        """Guards against streams that are refused as an instance stood still once."""
        (instance,) = make_instances(1)
        stalled = WritingTimes(mean=2.0, median=USUAL_S)
        instance.speeds.record_writing(self.targets[0], stalled, running=0)
        self.assertAlmostEqual(instance.speeds.event_seconds(SERVICE), USUAL_S)

    def test_usual_event_that_is_not_measured_any_more(self):
        """Guards against streams that are refused for ever, and so never measured."""
        (instance,) = make_instances(1)
        measure(instance, self.targets[0], 2.0, times=9)
        advance(25.0)
        self.assertAlmostEqual(instance.speeds.event_seconds(SERVICE), 2.0)
        advance(3.0)
        self.assertIsNone(instance.speeds.event_seconds(SERVICE))
        # This engine counts as faster than the median, at most 2.5 times.
        measure(instance, self.targets[1], USUAL_S)
        self.assertAlmostEqual(instance.speeds.event_seconds(SERVICE), 2.5 * USUAL_S)

    def test_restart_of_all_learns_anew(self):
        instances = make_instances(7)
        self.assertEqual(self.known(instances[0]), [Pace.USUAL] * 6)
        self.assertIsNone(instances[0].speeds.event_seconds(SERVICE))
        measure_all(instances, self.targets, {"e1": 0.1}, rounds=4)
        self.assertIs(self.known(instances[3])[1], Pace.SLOW)

    def test_late_instance_gets_all_from_another_one(self):
        """Guards against an instance that sends parts elsewhere after its restart."""
        instances = make_instances(7)
        measure_all(instances, self.targets, {"e1": 0.1}, rounds=4)
        (late,) = make_instances(1)
        late.gossip.merge(instances[0].gossip.facts())
        self.assertEqual(self.known(late), self.known(instances[0]))

    def test_two_sides_of_a_cut_agree_afterwards(self):
        """Guards against homes that differ for good after a zone was cut off."""
        left, right = make_instances(3), make_instances(3)
        measure_all(left, self.targets, {"e1": 0.1}, rounds=4)
        measure_all(right, self.targets, {"e2": 0.1}, rounds=4)
        for instance in [*left, *right]:
            for other in [*left, *right]:
                instance.gossip.merge(other.gossip.facts())
        paces = self.known(left[0])
        for instance in [*left, *right]:
            self.assertEqual(self.known(instance), paces)

    def test_figure_that_was_told_before_any_engine_was_seen(self):
        """Guards against a stream whose end fails as the median is unknown yet."""
        (instance,) = make_instances(1)
        self.assertIsNone(instance.speeds.event_seconds(SERVICE))
        target = self.targets[0]
        instance.gossip.merge([Fact(WRITING.name, target.key, -4.0, 0.0)])
        times = WritingTimes(USUAL_S, USUAL_S)
        instance.speeds.record_writing(target, times, running=0)
        self.assertIs(instance.speeds.of(target).pace, Pace.USUAL)

    def test_other_services_are_not_measured(self):
        """Guards against a change for services whose targets report no slowdown."""
        sent = []
        (instance,) = make_instances(1, sent=sent)
        other = self.targets[0]._replace(service="other")
        measure(instance, other, 0.5, times=4)
        instance.speeds.record_reading(other, 1.0, 0.1)
        self.assertEqual((sent, instance.speeds.count_known()), ([], 0))

    def test_mechanism_that_is_off_learns_nothing(self):
        (instance,) = make_instances(1, WITHOUT)
        measure(instance, self.targets[0], 0.5, times=4)
        self.assertFalse(instance.speeds.is_learnt(SERVICE))
        self.assertEqual(instance.speeds.count_known(), 0)

    @parameterized.expand(
        [
            ("stays_usual", Pace.USUAL, 1.3, Pace.USUAL),
            ("gets_slow", Pace.USUAL, 1.5, Pace.SLOW),
            ("stays_slow", Pace.SLOW, 1.3, Pace.SLOW),
            ("recovers", Pace.SLOW, 1.1, Pace.USUAL),
            ("gets_very_slow", Pace.SLOW, 3.0, Pace.VERY_SLOW),
            ("stays_very_slow", Pace.VERY_SLOW, 2.2, Pace.VERY_SLOW),
            ("gets_fast", Pace.USUAL, 0.6, Pace.FAST),
            ("stays_fast", Pace.FAST, 0.85, Pace.FAST),
        ]
    )
    def test_pace(self, _, pace, relative, expected):
        self.assertIs(next_pace(pace, relative), expected)


class MessagesTest(unittest.TestCase):
    """What instances send each other about speeds."""

    def setUp(self):
        use_paused_clock()
        random.seed(63)

    @parameterized.expand(SIZES)
    def test_fleet_sends_at_a_fixed_rate(self, _, size):
        """Guards against messages that grow with instances, engines and requests.

        Engines change their speed all the time, and each instance has many streams.
        """
        sent = []
        instances = make_instances(size, sent=sent)
        targets = [make_target(f"i-{n:010}") for n in range(70)]
        seconds, streams = 30, 60
        for _ in range(seconds):
            for _ in range(streams):
                pause = USUAL_S * random.choice((0.3, 1.0, 3.0))
                times = WritingTimes(pause, pause)
                instance = random.choice(instances)
                instance.speeds.record_writing(random.choice(targets), times, running=0)
            advance(1.0)
        # Figures and paces are sent apart; each may save some messages.
        at_once = 2 * max(size, min(3 * size, 200))
        self.assertLessEqual(len(sent), at_once + 2 * seconds)
        for _, facts in sent:
            size_bytes = sum(len(fact.key) + FACT_BYTES - 20 for fact in facts)
            self.assertLessEqual(size_bytes, 1_200)


class HomesTest(unittest.TestCase):
    """Where the shared parts of prompts live."""

    def homes(self, pace_by_id=None, *, parts=600):
        views = []
        for number in range(9):
            speed = EngineSpeed()
            speed.weight = (pace_by_id or {}).get(f"e{number}", 1.0)
            views.append(EngineView(f"e{number}", "a", 64, 0, 0, False, speed=speed))
        homes = {}
        for part in range(parts):
            prompt = (PromptPart(f"s{part}", 9_000), PromptPart("own", 1_000))
            choice = choose_engine(
                views, prompt, 10_000, objective=1.0, stage_seconds=lambda _: 0.0
            )
            homes[f"s{part}"] = choice.engine.id
        return homes

    def test_equal_engines_have_the_homes_of_rendezvous_hashing(self):
        names = [f"e{number}" for number in range(9)]
        for part, home in self.homes().items():
            self.assertEqual(
                home, max(names, key=lambda name: rendezvous_weight(name, part))
            )

    @parameterized.expand([("slow", 0.6), ("very_slow", 0.25), ("fast", 1.5)])
    def test_change_of_one_pace_moves_only_parts_of_that_engine(self, _, weight):
        """Guards against all parts being read again when one figure changes."""
        before = {"e1": 0.6, "e2": 1.5}
        old = self.homes(before)
        new = self.homes({**before, "e0": weight})
        moved = [part for part in old if old[part] != new[part]]
        self.assertTrue(moved)
        for part in moved:
            self.assertIn("e0", (old[part], new[part]))
        self.assertLess(len(moved), len(old) / 9)

    def test_weights_are_shares(self):
        homes = list(self.homes({"e0": 0.25, "e1": 1.5}, parts=2_000).values())
        self.assertLess(homes.count("e0"), 0.5 * homes.count("e2"))
        self.assertGreater(homes.count("e1"), 1.2 * homes.count("e2"))


class ReplayTest(unittest.TestCase):
    """A day with engines that take 0.6, 1 and 1.6 of the usual time."""

    def replay(self, policy_options, *, seed, instances=7, slownesses=SLOWNESSES):
        use_paused_clock()
        random.seed(seed)
        replay = Replay(instances, slownesses, *policy_options, seed=seed)
        replay.run(DAY_S)
        return replay

    @parameterized.expand([("one", 63), ("two", 1), ("three", 7)])
    def test_streams_that_can_end_are_not_cut(self, _, seed):
        """Guards against streams that a slow engine writes until their callers leave.

        No stream that some engine could end in time is cut by its deadline, and shared
        parts read again don't grow by more than a tenth.
        """
        without = self.replay([WITHOUT], seed=seed)
        learnt = self.replay([], seed=seed)
        self.assertGreater(len(without.cut_in_vain), 0, "the load shows the failure")
        self.assertEqual(learnt.cut_in_vain, [])
        self.assertEqual(learnt.outcomes["refused"], 0)
        self.assertLessEqual(learnt.shared_read, 1.1 * without.shared_read)

    def test_middle_fleet(self):
        """Guards against speeds that no instance of a larger fleet gets to know."""
        slownesses = SLOWNESSES * 3
        without = self.replay([WITHOUT], seed=63, instances=66, slownesses=slownesses)
        learnt = self.replay([], seed=63, instances=66, slownesses=slownesses)
        self.assertGreater(len(without.cut_in_vain), 0, "the load shows the failure")
        self.assertEqual(learnt.cut_in_vain, [])
        self.assertLessEqual(learnt.shared_read, 1.1 * without.shared_read)
        paces = {
            engine.slowness: {i.speeds.of(engine.target).pace for i in learnt.instances}
            for engine in learnt.engines
        }
        self.assertEqual(paces, {0.6: {Pace.FAST}, 1.0: {Pace.USUAL}, 1.6: {Pace.SLOW}})
