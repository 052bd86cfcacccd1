"""Engines of unequal speed and the instances that choose among them, without a network.

Streams run as green threads on the hub's paused clock.
"""

import random
from collections import Counter
from typing import NamedTuple
from unittest import mock

import eventlet

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.decisions.engine_choice import (
    EngineView,
    choose_engine,
    prefix_key,
)
from bergamotsaddle_serving.decisions.engine_speeds import (
    USUAL_SPEED,
    EngineSpeeds,
    EventMeter,
)
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.stream_ends import (
    Outlook,
    StreamEnd,
    StreamLengths,
)
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.messages import PromptPart, RequestHead
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from tests._paused import advance

SERVICE = "generate"
WITHOUT = Policy(frozenset({Mechanism.ENGINE_SPEEDS, Mechanism.STREAM_ENDS}))
SLOTS = 32
TOKENS_PER_S = 50_000.0
# Seconds of an event at a usual idle engine, what each running request adds, and an
# event that waits for a chunk of a prompt.
EVENT_S = 0.028
PER_RUNNING_S = 0.0006
CHUNK_S = 0.375
FIRST_S = 0.06
# How long a count of running requests is on its way.
REPORT_S = 0.25


def make_target(name, *, started_ms=1):
    """Return an incarnation of an engine."""
    address = Address("10.0.0.1", 80)
    return Target(name, SERVICE, address, "a", SLOTS, started_ms=started_ms)


class Work(NamedTuple):
    """A kind of request.

    Attributes:
        name: Name of its route.
        rate: Streams a second for each engine.
        subjects: Number of different shared parts for each engine.
        shared: Tokens of a shared part.
        own: Tokens of the rest of a prompt.
        usual: Median number of events.
        most: Largest number of events.
        objective: Seconds until the first event is due.
        deadline: Seconds after which callers leave.
    """

    name: str
    rate: float
    subjects: float
    shared: int
    own: int
    usual: int
    most: int
    objective: float
    deadline: float


REVIEWS = Work("review", 0.6, 16.0, 13_300, 3_700, 18, 96, 1.4, 10.0)
HINTS = Work("hint", 0.6, 8.0, 350, 1_100, 26, 120, 1.7, 15.0)


class LearningInstance:
    """What one instance has learnt.

    Args:
        send: Sends facts to the other instances.
        count: Number of instances.
        policy: Enabled mechanisms.
    """

    def __init__(self, send, count, policy=FULL_POLICY):
        self.gossip = Gossip()
        reporting = ReportingServices()
        reporting.record(SERVICE)
        self.speeds = EngineSpeeds(
            self.gossip,
            send,
            mock.Mock(),
            reporting=reporting,
            instances=lambda: count,
            policy=policy,
        )
        self.lengths = StreamLengths(self.gossip, send, lambda: count)
        self.cached = set()


def make_instances(count, policy=FULL_POLICY, *, sent=None):
    """Return instances that send each other their facts, and count what is sent.

    Args:
        count: Number of instances.
        policy: Enabled mechanisms.
        sent: Gets the time and the facts of each message.
    """
    instances = []

    def send_from(number):
        def send(facts):
            facts = [fact for fact in facts if fact is not None]
            if sent is not None:
                sent.append((now(), facts))
            for other, instance in enumerate(instances):
                if other != number:
                    instance.gossip.merge(facts)

        return send

    instances += [LearningInstance(send_from(n), count, policy) for n in range(count)]
    return instances


class UnevenEngine:
    """An engine that reads prompts one after the other and writes events.

    Args:
        name: Its id.
        slowness: Time that it takes as a multiple of the usual one.
    """

    def __init__(self, name, slowness):
        self.target = make_target(name)
        self.slowness = slowness
        self.running = 0
        self.reported = 0
        self.tokens_ahead = 0
        self.cached = set()
        self._free_at = now()

    def report(self):
        """Report the running requests regularly."""
        while True:
            self.reported = self.running
            eventlet.sleep(REPORT_S)

    def event_seconds(self):
        """Return the seconds of the next event."""
        if self._free_at > now():
            return self.slowness * CHUNK_S
        return self.slowness * (EVENT_S + PER_RUNNING_S * self.running)

    def end_seconds(self, tokens, events):
        """Return how long a stream would take here if nothing else came."""
        seconds = max(0.0, self._free_at - now()) + self.slowness * FIRST_S
        seconds += tokens / TOKENS_PER_S * self.slowness
        writing = EVENT_S + PER_RUNNING_S * (self.running + 1)
        return seconds + events * self.slowness * writing

    def read(self, tokens):
        """Read the tokens of a prompt after those that came before it."""
        self.tokens_ahead += tokens
        seconds = tokens / TOKENS_PER_S * self.slowness
        self._free_at = max(now(), self._free_at) + seconds
        eventlet.sleep(self._free_at + self.slowness * FIRST_S - now())
        self.tokens_ahead -= tokens


class Replay:
    """Callers, instances and engines over some time.

    Args:
        instances: Number of instances.
        slownesses: Slowness of each engine.
        policy: Enabled mechanisms.
        works: Kinds of requests.
        seed: Seed of the callers, who are the same for each policy.
        hint_spread: How far hints are off, as the deviation of a logarithm.

    Attributes:
        outcomes: Number of streams by outcome.
        cut_in_vain: Streams that were cut although an engine could have ended them.
        outcomes_by_size: The same by kind and by whether a stream is of its longest.
        shared_read: Tokens of shared parts that engines read.
        shared_read_again: Those that an engine had read before.
        first_seconds: Seconds to each first event.
    """

    def __init__(
        self,
        instances,
        slownesses,
        policy=FULL_POLICY,
        *,
        works=(REVIEWS, HINTS),
        seed=63,
        hint_spread=0.5,
    ):
        self.sent = []
        self.instances = make_instances(instances, policy, sent=self.sent)
        self.engines = [
            UnevenEngine(f"e{n}", slowness) for n, slowness in enumerate(slownesses)
        ]
        self.engine_by_id = {engine.target.id: engine for engine in self.engines}
        for engine in self.engines:
            eventlet.spawn(engine.report)
        self._policy = policy
        self._works = works
        self._hint_spread = hint_spread
        self._random = random.Random(seed)
        self._known_parts = set()
        self.outcomes = Counter()
        self.outcomes_by_size = Counter()
        self.cut_in_vain = []
        self.shared_read = 0
        self.shared_read_again = 0
        self.first_seconds = []

    def run(self, seconds):
        """Let callers come for some seconds, and all streams end."""
        end = now() + seconds
        rate = sum(work.rate for work in self._works) * len(self.engines)
        while now() < end:
            self._open()
            advance(self._random.expovariate(rate))
        advance(max(work.deadline for work in self._works) + 1.0)

    def _open(self):
        draw = self._random
        (work,) = draw.choices(self._works, [work.rate for work in self._works])
        events = draw.lognormvariate(0.0, 0.8) * work.usual
        events = max(2, min(work.most, round(events)))
        off = draw.lognormvariate(0.0, self._hint_spread)
        hint = max(1, round(5 * events * off)) if draw.random() < 0.5 else 0
        subject = draw.randrange(round(work.subjects * len(self.engines)))
        shared = PromptPart(f"{work.name}{subject}", work.shared)
        prompt = (shared, PromptPart("own", work.own))
        tokens = work.shared + work.own
        head = RequestHead(
            "q", b"POST", "/", "h", "", work.deadline, prompt, tokens, 5 * work.most
        )
        head = head._replace(length_hint=hint)
        instance = draw.choice(self.instances)
        eventlet.spawn(self._serve, instance, work, head, events)

    def _serve(self, instance, work, head, events):
        opened_at = now()
        choice = self._choose(instance, work, head)
        can_end = any(
            engine.end_seconds(head.prompt_tokens, events) <= work.deadline
            for engine in self.engines
        )
        if choice.end is not None and choice.end.outlook is Outlook.NONE:
            outcome = "refused"
        else:
            outcome = self._stream(instance, work, head, events, choice)
        self.outcomes[outcome] += 1
        self.outcomes_by_size[work.name, events > 2.5 * work.usual, outcome] += 1
        if outcome == "cut" and can_end:
            self.cut_in_vain.append((opened_at, choice.engine.id, events))

    def _choose(self, instance, work, head):
        speeds = instance.speeds
        is_learnt = speeds.is_learnt(SERVICE)
        key = prefix_key(head.prompt)
        views = [
            EngineView(
                e.target.id,
                "a",
                SLOTS,
                e.reported,
                e.tokens_ahead,
                (e.target.id, key) in instance.cached,
                speed=speeds.of(e.target) if is_learnt else USUAL_SPEED,
            )
            for e in self.engines
        ]
        length = instance.lengths.forecast(work.name, head)
        seconds = speeds.event_seconds(SERVICE)
        ending = None
        is_forecast = self._policy.has(Mechanism.STREAM_ENDS)
        if is_forecast and length is not None and seconds is not None:
            ending = StreamEnd(work.deadline, length, seconds)
        return choose_engine(
            views,
            head.prompt,
            head.prompt_tokens,
            objective=work.objective,
            stage_seconds=lambda zone: 0.0,
            policy=self._policy,
            ending=ending,
        )

    def _stream(self, instance, work, head, events, choice):
        engine = self.engine_by_id[choice.engine.id]
        engine.running += 1
        meter = EventMeter()
        is_whole = False
        try:
            with eventlet.Timeout(work.deadline, False):
                self._read(instance, work, head, choice)
                meter.add(1)
                for _ in range(events - 1):
                    eventlet.sleep(engine.event_seconds())
                    meter.add(1)
                is_whole = True
        finally:
            engine.running -= 1
        instance.speeds.record_writing(
            engine.target, meter.times(), running=choice.engine.running + 1
        )
        record = instance.lengths.record if is_whole else instance.lengths.record_cut
        record(work.name, head, meter.events)
        return "whole" if is_whole else "cut"

    def _read(self, instance, work, head, choice):
        engine = self.engine_by_id[choice.engine.id]
        key = prefix_key(head.prompt)
        sent_at = now()
        tokens = work.own
        if key not in engine.cached:
            engine.cached.add(key)
            tokens += work.shared
            self.shared_read += work.shared
            if key in self._known_parts:
                self.shared_read_again += work.shared
            self._known_parts.add(key)
        engine.read(tokens)
        self.first_seconds.append(now() - sent_at)
        if choice.engine.has_cached_prefix or choice.reason == "free":
            instance.speeds.record_reading(
                engine.target, now() - sent_at, choice.finish_seconds
            )
        instance.cached.add((engine.target.id, key))
