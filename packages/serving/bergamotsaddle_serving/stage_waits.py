"""Expected times of stages at each queue, and the queue for each of them."""

import math

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Stage
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_load import (
    PendingWork,
    ScopeLoad,
    StageLoad,
    urgency_of,
)
from bergamotsaddle_serving.stage_owner import StageOwner
from bergamotsaddle_serving.stage_plan import StagePlan
from bergamotsaddle_serving.view import View

# What is expected of an owner that has told nothing yet, on top of a call.
_UNKNOWN_S = 0.1
# Another zone or region must be this much faster for results to cross between zones.
_CROSS_GAIN_S = 0.05
_NO_TARGETS = StageLoad(60.0, 1.0, 1.0)
_LEAST_RATE = 0.1
# How long a queue's load is used again: one request asks for it dozens of times.
_SAME_LOADS_S = 0.01
# The part of the room at a queue's targets that one request may take.
_ROOM_PART = 0.7


class StageWaits:
    """What owners tell of their queues.

    A ``turn`` is the place that pieces have in a queue, as ``stage_load.place`` counts
    it.

    Args:
        view: Targets and services.
        peers: The owners.
        owner: This instance's own queues.
        policy: Which mechanisms are in force.
    """

    def __init__(
        self,
        view: View,
        peers: Peers,
        owner: StageOwner,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._policy = policy
        self._view = view
        self._peers = peers
        self._owner = owner
        self.pending = PendingWork()
        self._load_by_queue: dict[tuple[str, str, int], StageLoad | None] = {}
        self._loads_at = float("-inf")
        self._known_changes = 0

    def best_scope(self, service: str, zone: str, turn: int) -> ScopeLoad:
        """Load at the queue of a zone, or at another one that is done earlier."""
        scope = self._owner.scopes.of(service, zone)
        loads = self._loads(service, turn)
        preferred = loads.pop(scope, _NO_TARGETS)
        other = min(loads, key=lambda name: _total(loads[name]), default=None)
        if other is None:
            return ScopeLoad(scope, preferred)
        load = loads[other]
        if _total(preferred) <= _total(load) + _CROSS_GAIN_S:
            return ScopeLoad(scope, preferred)
        return ScopeLoad(other, load._replace(drain=load.drain + _CROSS_GAIN_S))

    def choose_scope(self, service: str, zone: str, turn: int, plan: StagePlan) -> str:
        """Choose the queue of a stage.

        Answers load that is uneven between zones. Results that cross zones are dear,
        so a stage stays with the queue of its engine's zone unless it would be late
        there and is done earlier at another one.
        """
        scope = self._owner.scopes.of(service, zone)
        times = self._times(service, turn, plan)
        if not times:
            return scope
        best = min(times, key=times.__getitem__)
        preferred = times.get(scope)
        if preferred is None or best == scope:
            return best
        slack = plan.slack(now())
        if preferred - times[best] <= max(_CROSS_GAIN_S, slack):
            return scope
        return best

    def choose_queues(
        self, service: str, stage: Stage, count: int, turn: int, plan: StagePlan
    ) -> list[tuple[str, int]]:
        """Choose the queues of a stage's pieces.

        A target has room for a handful of large results. A stage with more pieces than
        a queue's targets hold at once would wait there for room that it takes up
        itself, so it is spread over as many queues as it needs.

        Returns:
            Zones or regions with the number of pieces for each.
        """
        scope = self.choose_scope(service, plan.zone, turn, plan)
        times = self._times(service, turn, plan)
        room = self._room(service, scope, stage)
        others = sorted((name for name in times if name != scope), key=times.get)
        parts = min(1 + len(others), math.ceil(count / room))
        scopes = [scope, *others][:parts]
        share, extra = divmod(count, len(scopes))
        return [(name, share + (n < extra)) for n, name in enumerate(scopes)]

    def ttl_seconds(self, service: str) -> float:
        """How long targets of a stage service keep results."""
        declared = self._view.configuration.services_by_name.get(service)
        if declared is None or declared.batching is None:
            # Dropped from the configuration since the stage was begun.
            return 0.0
        return declared.batching.ttl_seconds

    def _times(self, service: str, turn: int, plan: StagePlan) -> dict[str, float]:
        return {
            scope: _total(load)
            for scope, load in self._loads(service, turn).items()
            if not plan.is_avoided(service, scope, now())
        }

    def _room(self, service: str, scope: str, stage: Stage) -> int:
        declared = self._view.configuration.services_by_name[service].batching
        scopes = [
            self._owner.scopes.of(service, known.target.zone)
            for known in self._view.usable(service)
        ]
        targets = scopes.count(scope)
        room = _ROOM_PART * declared.memory_bytes * max(1, targets)
        return max(1, int(room / max(1, stage.result_bytes)))

    def _loads(self, service: str, turn: int) -> dict[str, StageLoad]:
        zones = {known.target.zone for known in self._view.usable(service)}
        loads = {}
        for scope in {self._owner.scopes.of(service, zone) for zone in zones}:
            load = self._load(service, scope, turn)
            if load is not None:
                loads[scope] = load
        return loads

    def _load(self, service: str, scope: str, turn: int) -> StageLoad | None:
        self._forget_old_loads()
        queue = (service, scope, turn)
        if queue not in self._load_by_queue:
            self._load_by_queue[queue] = self._ask_load(service, scope, turn)
        return self._load_by_queue[queue]

    def _forget_old_loads(self) -> None:
        # What this instance itself admits counts at once, or requests that come
        # together would all be admitted by the load before the first of them.
        moment = now()
        is_old = moment - self._loads_at > _SAME_LOADS_S
        if is_old or self._known_changes != self.pending.changes:
            self._load_by_queue.clear()
            self._loads_at = moment
            self._known_changes = self.pending.changes

    def _ask_load(self, service: str, scope: str, turn: int) -> StageLoad | None:
        owners = rank_owners(self._peers, service, scope)
        if not owners:
            return None
        if owners[0] == self._peers.own.id:
            told = self._owner.loads().get(service)
        else:
            told = self._peers.by_id[owners[0]].loads.get(service)
        if told is None:
            return self._unknown(service)
        drain, call, rate = told[turn], told[-2], told[-1]
        ahead = self._ahead(service, scope, turn)
        return StageLoad(drain + ahead / max(rate, _LEAST_RATE), call, rate)

    def _ahead(self, service: str, scope: str, turn: int) -> int:
        if not self._policy.has(Mechanism.COMING_PIECES):
            return 0
        urgency = urgency_of(turn)
        ahead = self.pending.pieces_ahead(service, scope, urgency)
        told = self._peers.roster().coming_by_queue.get((service, scope), ())
        return ahead + sum(told[: urgency + 1])

    def _unknown(self, service: str) -> StageLoad:
        batching = self._view.configuration.services_by_name[service].batching
        if batching is None:
            return _NO_TARGETS
        call = batching.seconds(1)
        return StageLoad(_UNKNOWN_S, call, 1 / call)


def _total(load: StageLoad) -> float:
    return load.drain + load.call
