"""Zones whose callers come in waves, on the paused clock."""

import math
import random
from collections import Counter
from itertools import count
from types import SimpleNamespace
from unittest import mock

import eventlet
from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Batching, Kind, Route, Share, Stage
from bergamotsaddle_serving.decisions.admission import Forecast, admits
from bergamotsaddle_serving.decisions.engine_choice import (
    EngineView,
    choose_engine,
)
from bergamotsaddle_serving.decisions.stage_queue import (
    OtherTarget,
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from bergamotsaddle_serving.messages import PromptPart
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.roster import Roster
from bergamotsaddle_serving.scopes import Scopes
from bergamotsaddle_serving.stage_load import place
from bergamotsaddle_serving.stage_plan import StagePlan
from bergamotsaddle_serving.stage_waits import StageWaits
from tests._paused import advance

ZONES = ("a", "b", "c")
REGION = "east"
PERIOD_S = 12.0
SWING = 0.55
# Equal parts of a period in which the zones are compared.
PHASES = 3
INSTANCES = 2
ENGINES = 3
SLOTS = 64
STREAM_S = 1.0
# How long a report is on its way.
REPORT_S = 0.2
PIECES = (2, 2)
# A result of the first stage that another zone fetches delays a call by its bytes.
RESULT_BYTES = (60_000, 6_000)
CROSS_S = 0.003
CROSS_BYTES_PER_S = 12_500_000.0
BATCHING = Batching(
    slots=1,
    size=4,
    call_seconds=0.1,
    piece_seconds=0.025,
    memory_bytes=1e9,
    ttl_seconds=8.0,
)
ROUTE = Route(
    "r",
    "h",
    "/",
    Kind.STREAM,
    8.0,
    2.0,
    2,
    1,
    (Share("engine", 1.0),),
    (
        Stage("encode", (), RESULT_BYTES[0]),
        Stage("rerank", (0,), RESULT_BYTES[1]),
    ),
)
URGENCY = 1
SERVICES = ("encode", "rerank")
_STEP_S = 0.5
_POLL_S = 0.02
_PER_TARGET = BATCHING.size / BATCHING.seconds(BATCHING.size)


class _Instance:
    """What one instance knows, in the place of its peers, owner and view."""

    def __init__(self, fleet: "WaveFleet", name: str, zone: str) -> None:
        self.own = Contact(name, zone, name)
        self._fleet = fleet
        self.by_id: dict[str, SimpleNamespace] = {}
        self._roster: Roster | None = None
        self.scopes = Scopes(fleet.view, self)
        self.waits = StageWaits(fleet.view, self, self)

    def region(self, zone: str) -> str:
        return REGION

    def reaches(self, name: str, service: str) -> bool:
        return True

    def owners(self, scope: str) -> list[str]:
        return self.roster().owners(scope)

    def roster(self) -> Roster:
        if self._roster is None:
            members = [m for m in self.by_id.values() if m.contact.id != self.own.id]
            self._roster = Roster(
                members,
                [(i.own, 1.0) for i in self._fleet.reachable_from(self.own.zone)],
                min_cores_fraction=0.8,
                region=self.region,
            )
        return self._roster

    def hear(self, report: SimpleNamespace) -> None:
        """Take in the heartbeat of an instance."""
        self.by_id[report.contact.id] = report
        self._roster = None

    def loads(self) -> dict[str, list[float]]:
        """Return the loads of the owned queues."""
        loads = {}
        for service in SERVICES:
            scope = self.scopes.of(service, self.own.zone)
            if rank_owners(self, service, scope)[:1] == [self.own.id]:
                loads[service] = self._fleet.queue_at(self, service).load()
        return loads

    def report(self) -> SimpleNamespace:
        """Return a heartbeat."""
        return SimpleNamespace(
            contact=self.own,
            loads=self.loads(),
            pending=self.waits.pending.report(),
            running={},
            prefill_tokens={},
            accepts_work=True,
        )


class _Queue:
    """A queue and the targets that work on it."""

    def __init__(self, fleet: "WaveFleet", zones: list[str]) -> None:
        self.queue = StageQueue(BATCHING)
        self._fleet = fleet
        self._targets = [SimpleNamespace(zone=zone, free_at=0.0) for zone in zones]
        self.done_by_key: dict[PieceKey, Event] = {}
        for target in self._targets:
            eventlet.spawn_n(self._work, target)

    def load(self) -> list[float]:
        until_free = max(0.0, min(t.free_at for t in self._targets) - now())
        drains = self.queue.drains(len(self._targets), until_free, 1.0)
        rate = self.queue.rate(len(self._targets), 1.0)
        return [*drains, self.queue.call_seconds(1.0), rate]

    def _work(self, target) -> None:
        while True:
            for late in self.queue.pop_expired(now()):
                self.done_by_key.pop(late.key).send(None)
            others = [
                OtherTarget(t.zone, max(0.0, t.free_at - now()), 1e9)
                for t in self._targets
                if t is not target
            ]
            batch = self.queue.pop_batch(now(), 1e9, zone=target.zone, others=others)
            if not batch:
                eventlet.sleep(_POLL_S)
                continue
            # Inputs name the zones in which they were made.
            crossing = sum(
                RESULT_BYTES[0]
                for p in batch
                for zone in p.inputs
                if zone != target.zone
            )
            self._fleet.crossed_bytes += crossing
            seconds = BATCHING.seconds(len(batch))
            if crossing:
                seconds += CROSS_S + crossing / CROSS_BYTES_PER_S
            target.free_at = now() + seconds
            eventlet.sleep(seconds)
            for piece in batch:
                self.done_by_key.pop(piece.key).send(target.zone)


class WaveFleet:
    """Callers, instances, stage targets and engines of three zones.

    Args:
        targets: Targets of each stage in each zone.
        load: Requests as a fraction of what all targets together can serve.
        homes_follow: Whether the engines that hold what callers ask about are in the
            zone of the callers, so that their stages move with them.
        cut_off: A zone that reaches no other one.
        swing: By which part of their mean the callers of a zone grow and shrink.
        seed: Seed of the callers.

    Attributes:
        sent: Number of requests by zone and part of the period.
        on_time: Those of them whose first event was on time.
        ran_in: Number of last results by zone of the engine and of the target.
        crossed_bytes: Bytes of results that were fetched from another zone.
    """

    def __init__(
        self,
        targets: int,
        load: float,
        *,
        homes_follow: bool = True,
        cut_off: str = "",
        swing: float = SWING,
        seed: int = 7,
    ) -> None:
        self._random = random.Random(seed)
        self._homes_follow = homes_follow
        self._cut_off = cut_off
        self._swing = swing
        self.crossed_bytes = 0
        self.sent: Counter[tuple[str, int]] = Counter()
        self.on_time: Counter[tuple[str, int]] = Counter()
        self.ran_in: Counter[tuple[str, str]] = Counter()
        self._numbers = count()
        self.zone_rate = load * targets * _PER_TARGET / PIECES[0]
        self._targets = targets
        self.view = self._make_view()
        self._engines = [
            SimpleNamespace(id=f"e{z}{n}", zone=z, running=0, reported=0)
            for z in ZONES
            for n in range(ENGINES)
        ]
        self._prompts_by_zone = self._make_prompts()
        self.instances = [
            _Instance(self, f"{z}{n}", z) for z in ZONES for n in range(INSTANCES)
        ]
        self._queues: dict[tuple[str, str, bool], _Queue] = {}
        eventlet.spawn_n(self._report)

    def run(self, periods: int) -> None:
        """Let callers come for some periods, and let their requests end."""
        seconds = periods * PERIOD_S
        for zone in ZONES:
            eventlet.spawn_n(self._send, zone, now() + seconds)
        for _ in range(round((seconds + ROUTE.timeout) / _STEP_S)):
            advance(_STEP_S)

    def on_time_fraction(self, zone: str, phase: int | None = None) -> float:
        """Return the fraction of requests on time, in one part of the period or all."""
        phases = range(PHASES) if phase is None else [phase]
        sent = sum(self.sent[zone, p] for p in phases)
        return sum(self.on_time[zone, p] for p in phases) / max(1, sent)

    def reachable_from(self, zone: str) -> list[_Instance]:
        """Return the instances that an instance in a zone reaches."""
        return [i for i in self.instances if self._reaches(zone, i.own.zone)]

    def queue_at(self, owner: _Instance, service: str) -> _Queue:
        """Return the queue of a service at its owner."""
        scope = owner.scopes.of(service, owner.own.zone)
        key = (service, scope, owner.own.zone == self._cut_off)
        if key not in self._queues:
            zones = [
                z
                for z in ZONES
                if self._reaches(owner.own.zone, z)
                and owner.scopes.of(service, z) == scope
            ]
            self._queues[key] = _Queue(self, zones * self._targets)
        return self._queues[key]

    def _reaches(self, zone: str, other: str) -> bool:
        return zone == other or self._cut_off not in (zone, other)

    def _make_view(self):
        group_by_service = {
            service: [
                SimpleNamespace(target=SimpleNamespace(zone=zone))
                for zone in ZONES * self._targets
            ]
            for service in SERVICES
        }
        return mock.Mock(
            targets_by_service=group_by_service,
            usable=group_by_service.__getitem__,
            batching_by_service=dict.fromkeys(SERVICES, BATCHING),
        )

    def _make_prompts(self) -> dict[str, list[tuple[PromptPart, ...]]]:
        """Return what the callers of each zone ask about."""
        prompts_by_zone = {zone: [] for zone in ZONES}
        for number in range(30 * len(ZONES)):
            prompt = (PromptPart(f"s{number}", 1_000), PromptPart("own", 200))
            home = self._choose(self._engines, prompt, lambda zone: 0.0).engine.zone
            zone = home if self._homes_follow else ZONES[number % len(ZONES)]
            prompts_by_zone[zone].append(prompt)
        return prompts_by_zone

    def _choose(self, engines, prompt, stage_seconds):
        views = [EngineView(e.id, e.zone, SLOTS, e.reported, 0, False) for e in engines]
        return choose_engine(
            views,
            prompt,
            1_200,
            objective=ROUTE.objective,
            stage_seconds=stage_seconds,
        )

    def _report(self) -> None:
        while True:
            for instance in self.instances:
                report = instance.report()
                for other in self.reachable_from(instance.own.zone):
                    other.hear(report)
            for engine in self._engines:
                engine.reported = engine.running
            eventlet.sleep(REPORT_S)

    def _send(self, zone: str, until: float) -> None:
        most = (1.0 + self._swing) * self.zone_rate
        offset = ZONES.index(zone) / len(ZONES)
        instances = [i for i in self.instances if i.own.zone == zone]
        started_at = now()
        while True:
            eventlet.sleep(self._random.expovariate(most))
            if now() >= until:
                return
            turn = (now() - started_at) / PERIOD_S + offset
            wave = 1.0 + self._swing * math.sin(2.0 * math.pi * turn)
            if self._random.random() < wave / (1.0 + self._swing):
                phase = int(PHASES * (now() - started_at) / PERIOD_S) % PHASES
                instance = self._random.choice(instances)
                prompt = self._random.choice(self._prompts_by_zone[zone])
                eventlet.spawn_n(self._call, instance, prompt, (zone, phase))

    def _call(self, instance, prompt, counted) -> None:
        self.sent[counted] += 1
        started_at = now()
        waits = instance.waits

        def plan(zone, finish_seconds=0.0):
            return StagePlan(
                ROUTE,
                PIECES,
                zone,
                waits.best_scope,
                urgency=URGENCY,
                started_at=started_at,
                finish_seconds=finish_seconds,
            )

        zone = instance.own.zone
        engines = [e for e in self._engines if self._reaches(zone, e.zone)]
        choice = self._choose(engines, prompt, lambda z: plan(z).total_seconds())
        chosen = plan(choice.engine.zone, choice.finish_seconds)
        forecast = Forecast(
            choice.seconds,
            chosen.idle_seconds() + choice.idle_seconds,
            ROUTE.objective,
            ROUTE.timeout,
        )
        if not admits(forecast, 0.0):
            return
        if not self._run_stages(instance, chosen, started_at):
            return
        engine = next(e for e in self._engines if e.id == choice.engine.id)
        engine.running += 1
        eventlet.sleep(choice.finish_seconds)
        self.on_time[counted] += now() - started_at <= ROUTE.objective
        eventlet.sleep(STREAM_S)
        engine.running -= 1

    def _run_stages(self, instance, plan, started_at) -> bool:
        waits, scopes = instance.waits, plan.scope_by_stage
        request = f"q{next(self._numbers)}"
        for n in plan.needed:
            waits.pending.add(ROUTE.stages[n].service, scopes[n], URGENCY, PIECES[n])
        inputs: tuple[str, ...] = ()
        for n in plan.needed:
            stage = ROUTE.stages[n]
            waits.pending.add(stage.service, scopes[n], URGENCY, -PIECES[n])
            at = place(URGENCY, has_started=n > 0)
            chosen = waits.choose_queues(stage.service, stage, PIECES[n], at, plan)
            events = []
            numbers = iter(range(PIECES[n]))
            for scope, pieces in chosen:
                name = rank_owners(instance, stage.service, scope)[0]
                owner = next(i for i in self.instances if i.own.id == name)
                queue = self.queue_at(owner, stage.service)
                for number, _ in zip(numbers, range(pieces), strict=False):
                    events.append(
                        self._submit(queue, plan, (request, n, number), inputs)
                    )
            results = [event.wait() for event in events]
            if None in results:
                for later in plan.needed[n + 1 :]:
                    service = ROUTE.stages[later].service
                    waits.pending.add(service, scopes[later], URGENCY, -PIECES[later])
                return False
            plan.record_stage_done(now())
            inputs = tuple(results)
        self.ran_in.update((plan.zone, zone) for zone in inputs)
        return True

    def _submit(self, queue, plan, key, inputs) -> Event:
        stage = key[1]
        bytes_by_zone = Counter({plan.zone: RESULT_BYTES[stage]})
        for zone in inputs:
            bytes_by_zone[zone] += RESULT_BYTES[0]
        ((zone, size),) = bytes_by_zone.most_common(1)
        piece = QueuedPiece(
            PieceKey(*key),
            URGENCY,
            stage > 0,
            plan.objective_at(stage),
            now() + ROUTE.timeout,
            RESULT_BYTES[stage],
            "",
            inputs,
            zone=zone,
            zone_bytes=size,
        )
        done = queue.done_by_key[piece.key] = Event()
        queue.queue.add(piece)
        return done
