"""A fleet whose requests share two stage queues, on the paused clock."""

import random
from itertools import count
from types import SimpleNamespace
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Batching
from bergamotsaddle_serving.decisions.admission import (
    Forecast,
    admits,
    retry_after,
    seconds_until_room,
)
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.return_times import ReturnTime, ToldCallers
from bergamotsaddle_serving.decisions.stage_queue import (
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from bergamotsaddle_serving.decisions.team_shares import TeamTurns
from bergamotsaddle_serving.decisions.urgency_distribution import UrgencyDistribution
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism
from bergamotsaddle_serving.room import Room
from bergamotsaddle_serving.stage_load import place

SERVICE = "engines"
# A call takes 0.2 s with any number of pieces up to ten.
BATCHING = Batching(
    slots=1,
    size=10,
    call_seconds=0.2,
    piece_seconds=0.0,
    memory_bytes=1e9,
    ttl_seconds=8.0,
)
CALL_S = 0.2
FINISH_S = 0.3
IDLE_S = 2 * CALL_S + FINISH_S
# Requests per second that a queue with this many targets can serve.
PER_TARGET = BATCHING.size / CALL_S
_POLL_S = 0.01


class RequestKind(NamedTuple):
    """A kind of request.

    Attributes:
        urgency: Its urgency.
        objective: Seconds until its first event is due.
        patience: Seconds until its callers time out.
    """

    urgency: int
    objective: float
    patience: float


class Outcome:
    """What became of the requests of one kind and team."""

    def __init__(self) -> None:
        self.sent = 0
        self.served = 0
        self.on_time = 0
        self.rejected = 0
        # Callers that came back, those that had a place, and those of each that were
        # rejected again.
        self.returned = 0
        self.rejected_again = 0
        self.had_place = 0
        self.lost_place = 0

    @property
    def on_time_fraction(self) -> float:
        """Fraction of the callers that were served on time."""
        return self.on_time / max(1, self.sent)

    @property
    def served_fraction(self) -> float:
        """Fraction of the callers that were served."""
        return self.served / max(1, self.sent)


class _Told:
    """Told callers that all instances know."""

    def __init__(self) -> None:
        self.callers = ToldCallers()

    def tell(self, key: int, seconds: float) -> None:
        self.callers.add(key, now() + seconds)

    def came_when_told(self, key: int) -> bool:
        return self.callers.came_when_told(key, now())


class _Stage:
    """One stage queue and its targets, which run one call at a time."""

    def __init__(self, targets: int) -> None:
        self.queue = StageQueue(BATCHING)
        self.turns = TeamTurns()
        self.targets = targets
        self._done_by_key: dict[PieceKey, Event] = {}
        for _ in range(targets):
            eventlet.spawn_n(self._work)

    def run(self, piece: QueuedPiece) -> bool:
        """Run a piece; return whether it was done rather than dropped."""
        done = self._done_by_key[piece.key] = Event()
        self.queue.add(piece)
        return done.wait()

    def lag(self, team: str, share: float) -> float:
        """Return the lag of a piece of a team."""
        if not len(self.queue):
            self.turns.clear()
        return self.turns.lag(team, share, 1, self.targets * PER_TARGET, now())

    def _work(self) -> None:
        while True:
            for late in self.queue.pop_expired(now()):
                self._done_by_key.pop(late.key).send(False)
            batch = self.queue.pop_batch(now(), 1e9)
            if not batch:
                eventlet.sleep(_POLL_S)
                continue
            eventlet.sleep(CALL_S)
            for piece in batch:
                self._done_by_key.pop(piece.key).send(True)


class ShortFleet:
    """Instances that admit requests to two stages, of which the second one is slower.

    Args:
        size: Number of instances.
        policy: Enabled mechanisms.
        first: Targets of the first stage.
        second: Targets of the second stage.
        report_every: Seconds between two reports of an instance to the others.
        is_ordered: Whether the second stage serves by urgency; otherwise by arrival,
            as engines do.
        seed: Seed of the arrivals.
    """

    def __init__(
        self,
        size: int,
        *,
        policy=FULL_POLICY,
        first: int = 4,
        second: int = 2,
        report_every: float = 0.6,
        is_ordered: bool = True,
        seed: int = 1,
    ) -> None:
        self._random = random.Random(seed)
        random.seed(seed)
        self._policy = policy
        self.shares: dict[str, float] = {}
        self._told = _Told()
        self._report_every = report_every
        self._is_ordered = is_ordered
        self.stages = (_Stage(first), _Stage(second))
        self.members = []
        self.rooms: list[Room] = []
        self._distributions: list[UrgencyDistribution] = []
        self._numbers = count(1)
        self._pending: list[int] = []
        self.outcome_by_name: dict[str, Outcome] = {}
        for _ in range(size):
            self.rooms.append(None)
            self.members.append(SimpleNamespace(demand=[]))
            self._distributions.append(UrgencyDistribution())
        for number in range(size):
            self.restart(number)
            eventlet.spawn_n(self._report, number)

    def restart(self, number: int) -> None:
        """Start an instance that knows nothing."""
        reporting = ReportingServices()
        reporting.record(SERVICE)
        self.rooms[number] = Room(
            reporting,
            lambda: [m for n, m in enumerate(self.members) if n != number],
            lambda: self.shares,
            self._told,
            self._policy,
        )
        self.members[number].demand = []

    def restart_all(self) -> None:
        """Restart all instances at once; nothing that was told is kept."""
        self._told.callers = ToldCallers()
        for number in range(len(self.rooms)):
            self.restart(number)

    def lose_owner(self) -> None:
        """Have another instance, which knows nothing, own the queues.

        Requests submit what waits once more.
        """
        for stage in self.stages:
            waiting = list(stage.queue.piece_by_key.values())
            stage.queue = StageQueue(BATCHING)
            stage.turns = TeamTurns()
            for piece in waiting:
                stage.queue.add(piece._replace(lag=0.0))

    def send(self, name: str, kind: RequestKind, per_s: float, seconds: float, team=""):
        """Send requests at random times.

        Args:
            name: Name under which their outcome is counted.
            kind: Their kind.
            per_s: Mean requests per second.
            seconds: For how long.
            team: Their team; the name if empty.
        """
        self.outcome_by_name.setdefault(name, Outcome())
        eventlet.spawn_n(self._send, name, kind, per_s, now() + seconds, team or name)

    def _send(self, name, kind, per_s, until, team):
        while True:
            eventlet.sleep(self._random.expovariate(per_s))
            if now() >= until:
                return
            eventlet.spawn_n(self._call, name, kind, team)

    def _call(self, name: str, kind: RequestKind, team: str) -> None:
        outcome = self.outcome_by_name[name]
        outcome.sent += 1
        fingerprint = f"{next(self._numbers):08x}"
        sent_at = now()
        told = self._try(kind, team, fingerprint, sent_at, outcome)
        if told is None:
            return
        outcome.rejected += 1
        eventlet.sleep(told.seconds)
        outcome.returned += 1
        outcome.had_place += told.has_place
        if self._try(kind, team, fingerprint, sent_at, outcome) is not None:
            outcome.rejected_again += 1
            outcome.lost_place += told.has_place

    def _try(self, kind, team, fingerprint, sent_at, outcome):
        """Try a request; return when it may come back if it is rejected."""
        number = self._random.randrange(len(self.rooms))
        room, urgencies = self.rooms[number], self._distributions[number]
        context = SimpleNamespace(
            service=SimpleNamespace(name=SERVICE),
            team=SimpleNamespace(name=team),
            urgency=kind.urgency,
            fingerprint=fingerprint,
        )
        started_at = now()
        urgencies.record(kind.urgency, started_at)
        room.record_arrival(context)
        remaining = sent_at + kind.patience - started_at
        forecast = Forecast(
            self._expected(room, context), IDLE_S, kind.objective, remaining
        )
        more_urgent = urgencies.more_urgent_fraction(kind.urgency)
        patience = room.patience(context).fraction
        is_admitted = admits(
            forecast, more_urgent, self._policy, patience=patience
        ) or room.came_when_told(context, seconds=forecast.seconds, remaining=remaining)
        if not is_admitted:
            return self._reject(room, context, forecast, more_urgent, patience)
        if not self._run(room, context, kind, started_at, sent_at):
            return self._reject(room, context, forecast, more_urgent, patience)
        outcome.served += 1
        outcome.on_time += now() - sent_at <= kind.objective
        if now() - started_at > kind.objective >= IDLE_S:
            room.record_missed(context)
        return None

    def _reject(self, room, context, forecast, more_urgent, patience):
        room.record_missed(context)
        room_in = seconds_until_room(
            forecast, more_urgent, self._policy, patience=patience
        )
        told = room.tell_return(context, room_in=room_in, remaining=forecast.remaining)
        return ReturnTime(retry_after(forecast), False) if told is None else told

    def _run(self, room, context, kind, started_at, sent_at) -> bool:
        expires_at = sent_at + kind.patience
        due = started_at + kind.objective - FINISH_S
        team = room.sharing_team(context)
        lag = self.stages[0].lag(team, self.shares.get(team, 1.0)) if team else 0.0
        self._pending.append(kind.urgency)
        key = PieceKey(context.fingerprint + str(started_at), 0, 0)
        values = (kind.urgency, False, due - CALL_S, expires_at, 1_000, "k", ())
        is_done = self.stages[0].run(QueuedPiece(key, *values, lag=lag))
        self._pending.remove(kind.urgency)
        if not is_done:
            return False
        key = key._replace(stage=1)
        urgency, due = (kind.urgency, due) if self._is_ordered else (0, now())
        values = (urgency, True, due, expires_at, 1_000, "", ("h",))
        if not self.stages[1].run(QueuedPiece(key, *values)):
            return False
        eventlet.sleep(FINISH_S)
        return now() <= expires_at

    def _expected(self, room: Room, context) -> float:
        by_urgency = self._is_ordered and room.applies(context, Mechanism.URGENT_ROOM)
        seconds, start = FINISH_S, 0.0
        for number, stage in enumerate(self.stages):
            at = place(context.urgency, has_started=number > 0, by_urgency=by_urgency)
            drain = stage.queue.drains(stage.targets, 0.0, 1.0)[at]
            if number:
                ahead = sum(
                    urgency <= context.urgency or not by_urgency
                    for urgency in self._pending
                )
                drain += ahead / (stage.targets * PER_TARGET)
            start += max(0.0, drain - start) + CALL_S
        return seconds + start

    def _report(self, number: int) -> None:
        eventlet.sleep(self._report_every * self._random.random())
        while True:
            self.members[number].demand = self.rooms[number].report()
            eventlet.sleep(self._report_every)
