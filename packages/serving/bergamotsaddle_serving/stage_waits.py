"""Expected times of stages at each queue, and the choice of a queue for each stage."""

import math
import sys
from collections.abc import Sequence

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Route, Stage
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
from bergamotsaddle_serving.view import KnownTarget, View

# Expected wait at an owner that has not reported a load yet, in addition to a call.
_UNKNOWN_QUEUE_S = 0.1
# Another zone or region must be this much faster for results to cross between zones.
_CROSS_GAIN_S = 0.05
_NO_TARGETS = StageLoad(60.0, 1.0, 1.0)
_MIN_RATE = 0.1
# How long the load of a queue is cached: one request queries it dozens of times.
_LOAD_CACHE_S = 0.01
# The fraction of the result memory at a queue's targets that one request may use.
_MEMORY_FRACTION = 0.7


class _KnownLoads:
    """The loads at all queues of a service, for one place in the queue.

    Args:
        targets: The targets that the queues serve.
        load_by_scope: Load of each queue.

    Attributes:
        best_by_scope: Answers of ``StageWaits.best_scope`` by preferred queue.
    """

    def __init__(
        self, targets: Sequence[KnownTarget], load_by_scope: dict[str, StageLoad]
    ) -> None:
        self.targets = targets
        self.load_by_scope = load_by_scope
        self.best_by_scope: dict[str, ScopeLoad] = {}


class StageWaits:
    """Waits at the stage queues, from the loads that their owners report.

    A ``place`` is the place of pieces in a queue as ``stage_load.place`` counts it.

    Args:
        view: Targets and services.
        peers: The other instances, which own queues.
        owner: The queues that this instance owns.
        policy: Enabled mechanisms.

    Attributes:
        pending: Pieces of this instance's requests that will reach a stage later.
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
        self._known_by_place: dict[tuple[str, int], _KnownLoads] = {}
        self._loads_at = float("-inf")
        self._cached_changes = 0

    def lacks_owner(self, route: Route, pieces: Sequence[int]) -> bool:
        """Return whether no instance owns any queue of a stage that has targets.

        Args:
            route: Route of the request.
            pieces: Number of pieces of each stage.
        """
        services = {
            stage.service
            for stage, count in zip(route.stages, pieces, strict=False)
            if count
        }
        return any(
            self._view.usable(service)
            and not self._known_loads(service, 0).load_by_scope
            for service in services
        )

    def best_scope(self, service: str, zone: str, place: int) -> ScopeLoad:
        """Return the load at the queue of a zone, or at another one that is faster."""
        scope = self._owner.scopes.of(service, zone)
        known = self._known_loads(service, place)
        best = known.best_by_scope.get(scope)
        if best is None:
            best = self._choose_best(scope, known.load_by_scope)
            known.best_by_scope[scope] = best
        return best

    def _choose_best(self, scope: str, loads: dict[str, StageLoad]) -> ScopeLoad:
        preferred = loads.get(scope, _NO_TARGETS)
        others = [name for name in loads if name != scope]
        other = min(others, key=lambda name: _total(loads[name]), default=None)
        if other is None:
            return ScopeLoad(scope, preferred)
        load = loads[other]
        if _total(preferred) <= _total(load) + _CROSS_GAIN_S:
            return ScopeLoad(scope, preferred)
        return ScopeLoad(other, load._replace(drain=load.drain + _CROSS_GAIN_S))

    def choose_scope(self, service: str, zone: str, place: int, plan: StagePlan) -> str:
        """Choose the queue of a stage.

        This handles load that is uneven between zones. Results that cross zones are
        expensive, so a stage stays at the queue of its engine's zone unless it would
        be late there and is done earlier at another one.
        """
        scope = self._owner.scopes.of(service, zone)
        times = self._times(service, place, plan)
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
        self, service: str, stage: Stage, count: int, place: int, plan: StagePlan
    ) -> list[tuple[str, int]]:
        """Choose the queues of a stage's pieces.

        A target has memory for a handful of large results. A stage with more pieces
        than the targets of one queue can hold at once would wait there for memory that
        it occupies itself, so it is split over as many queues as it needs.

        Returns:
            Zones or regions with the number of pieces for each.
        """
        scope = self.choose_scope(service, plan.zone, place, plan)
        times = self._times(service, place, plan)
        capacity = self._memory_in_pieces(service, scope, stage)
        others = sorted((name for name in times if name != scope), key=times.get)
        queues = min(1 + len(others), math.ceil(count / capacity))
        scopes = [scope, *others][:queues]
        share, extra = divmod(count, len(scopes))
        return [(name, share + (n < extra)) for n, name in enumerate(scopes)]

    def ttl_seconds(self, service: str) -> float:
        """Return how long targets of a stage service keep results."""
        batching = self._view.batching_by_service.get(service)
        # Without it the service and its targets are gone, and the results with them.
        return batching.ttl_seconds if batching is not None else 0.0

    def _times(self, service: str, place: int, plan: StagePlan) -> dict[str, float]:
        """Return the expected seconds at each queue that the plan does not avoid."""
        at = now()
        return {
            scope: _total(load)
            for scope, load in self._known_loads(service, place).load_by_scope.items()
            if not plan.is_avoided(service, scope, at)
        }

    def _memory_in_pieces(self, service: str, scope: str, stage: Stage) -> int:
        """Return the results of a stage that one request may hold at a queue."""
        batching = self._view.batching_by_service.get(service)
        if batching is None:
            return sys.maxsize
        scopes = [
            self._owner.scopes.of(service, known.target.zone)
            for known in self._view.usable(service)
        ]
        targets = scopes.count(scope)
        memory = _MEMORY_FRACTION * batching.memory_bytes * max(1, targets)
        return max(1, int(memory / max(1, stage.result_bytes)))

    def _known_loads(self, service: str, place: int) -> _KnownLoads:
        """Return the loads at all queues of a service that have an owner."""
        self._drop_stale_loads()
        targets = self._view.usable(service)
        known = self._known_by_place.get((service, place))
        # The view makes a new list with each change of its targets.
        if known is None or known.targets is not targets:
            loads = self._query_loads(service, place, targets)
            known = self._known_by_place[service, place] = _KnownLoads(targets, loads)
        return known

    def _query_loads(
        self, service: str, place: int, targets: Sequence[KnownTarget]
    ) -> dict[str, StageLoad]:
        zones = {known.target.zone for known in targets}
        loads = {}
        for scope in {self._owner.scopes.of(service, zone) for zone in zones}:
            load = self._query_load(service, scope, place)
            if load is not None:
                loads[scope] = load
        return loads

    def _drop_stale_loads(self) -> None:
        # Requests that this instance admits count at once. Otherwise requests that
        # arrive together would all be admitted by the load before the first of them.
        current_time = now()
        is_old = current_time - self._loads_at > _LOAD_CACHE_S
        if is_old or self._cached_changes != self.pending.changes:
            self._known_by_place.clear()
            self._loads_at = current_time
            self._cached_changes = self.pending.changes

    def _query_load(self, service: str, scope: str, place: int) -> StageLoad | None:
        """Return the last reported load of a queue, None if no instance owns it."""
        owners = rank_owners(self._peers, service, scope)
        if not owners:
            return None
        if owners[0] == self._peers.own.id:
            reported = self._owner.loads().get(service)
        else:
            reported = self._peers.by_id[owners[0]].loads.get(service)
        if reported is None:
            return self._unknown_load(service)
        drain, call, rate = _drain(reported, place), reported[-2], reported[-1]
        ahead = self._pending_ahead(service, scope, place)
        return StageLoad(drain + ahead / max(rate, _MIN_RATE), call, rate)

    def _pending_ahead(self, service: str, scope: str, place: int) -> int:
        """Return the pending pieces of all instances up to a place."""
        if not self._policy.has(Mechanism.COMING_PIECES):
            return 0
        urgency = urgency_of(place)
        ahead = self.pending.pieces_ahead(service, scope, urgency)
        reported = self._peers.roster().pending_by_queue.get((service, scope), ())
        return ahead + sum(reported[: urgency + 1])

    def _unknown_load(self, service: str) -> StageLoad:
        """Return the load to expect at an owner that has not reported any."""
        batching = self._view.batching_by_service.get(service)
        if batching is None:
            return _NO_TARGETS
        call = batching.seconds(1)
        return StageLoad(_UNKNOWN_QUEUE_S, call, 1 / call)


def _drain(reported: list[float], place: int) -> float:
    """Return the drain of a place, of all started requests if the owner tells less."""
    return reported[place if place < len(reported) - 2 else 0]


def _total(load: StageLoad) -> float:
    return load.drain + load.call
