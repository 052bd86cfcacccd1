"""Owns stage queues and accepts pieces from all instances into them."""

from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._stage_worker import Sender, ServiceQueue, Worker
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.decisions.stage_queue import (
    PieceKey,
    QueuedPiece,
)
from bergamotsaddle_serving.fetching import DEFAULT_FETCH_TIMES, FetchTimes
from bergamotsaddle_serving.messages import Dialect, PieceFailure
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    ALL_ROUNDS,
    Accepted,
    Cancel,
    PieceOutcome,
    Release,
    Results,
    Submit,
)
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.scopes import Scopes
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.stage_dispatcher import StageDispatcher
from bergamotsaddle_serving.stage_load import PLACES, place
from bergamotsaddle_serving.stage_releases import StageReleases
from bergamotsaddle_serving.stage_results import StageResults
from bergamotsaddle_serving.target_crashes import TargetCrashes
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.wait_errors import StageKey
from bergamotsaddle_serving.zone_reach import ZoneReach

_IDLE_CHECK_S = 0.25
# Consecutive checks, half a second apart, that must find another owner before queued
# pieces move there.
_CHECKS_TO_MOVE = 2


class StageOwner:
    """The stage queues that this instance owns.

    Args:
        view: Targets and services.
        peers: The other instances, which receive the results.
        calls: Makes the calls to targets.
        dialect: Finds the target that holds a result.
        reach: Zones that are cut off from this instance.
        logger: Logs calls and failures.
        policy: Enabled mechanisms.
        fetch_times: Estimates when targets have fetched their inputs.
        crashes: Detects crashed targets and the requests that they were running.

    Attributes:
        scopes: Determines which targets share a queue.
        results: Sends results to the requests that wait for them.
        dispatcher: Calls the targets.
    """

    def __init__(
        self,
        view: View,
        peers: Peers,
        calls: StageCalls,
        dialect: Dialect,
        reach: ZoneReach,
        logger: Any,
        policy: Policy = FULL_POLICY,
        fetch_times: FetchTimes = DEFAULT_FETCH_TIMES,
        *,
        crashes: TargetCrashes,
    ) -> None:
        self._view = view
        self._policy = policy
        self._reach = reach
        self._peers = peers
        self._dialect = dialect
        self._logger = logger
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self.scopes = Scopes(view, peers, policy)
        self.results = StageResults(peers)
        self._releases = StageReleases(view, reach, calls, dialect, logger)
        self.dispatcher = StageDispatcher(
            calls,
            self.results,
            self._releases,
            logger,
            policy,
            fetch_times,
            crashes=crashes,
        )
        view.subscribe(self._on_targets_changed)
        reach.subscribe(self._on_targets_changed)

    def submit(self, message: Submit, sender: str) -> Accepted | Results:
        """Add pieces to their queue.

        Args:
            message: The pieces.
            sender: Instance that receives the results.

        Returns:
            The immediate response to the sender: known outcomes, or else an
            acknowledgement.
        """
        queue = self._queue(message.service)
        if queue is None or not self._has_targets(queue):
            return _reject(message, PieceFailure.NO_TARGET)
        if message.input_count not in (None, len(message.inputs)):
            # A result that is made from some of the inputs looks like any other.
            self._logger.error(
                "inputs_incomplete",
                request=message.request,
                stage=message.stage,
                sender=sender,
                inputs=len(message.inputs),
                expected=message.input_count,
            )
            return _reject(message, PieceFailure.GONE)
        self._verify_owner(message.service)
        queue.record_submission()
        incarnation = self._peers.incarnation_of(sender)
        queue.record_sender(message.request, Sender(sender, incarnation))
        self._record_started(queue, message)
        lag = self._lag(queue, message)
        outcomes = [
            self._add_piece(queue, message, number, lag) for number in message.numbers
        ]
        queue.wake_workers()
        done = [outcome for outcome in outcomes if outcome is not None]
        if done:
            return Results(message.request, message.stage, message.round, done)
        return Accepted(
            message.request,
            message.stage,
            message.numbers[0],
            message.round,
            message.service,
            self._load(queue),
        )

    def _verify_owner(self, service: str) -> None:
        """Check whether the preferred owner of a queue is alive.

        Pieces come here because their sender considers that owner dead. As long as
        this instance does not, it does not publish the load of the queue, and all
        instances admit requests without knowing it.
        """
        owner = self._owner(service)
        if owner not in (None, self._peers.own.id):
            self._peers.verify(owner)

    def _record_started(self, queue: ServiceQueue, message: Submit) -> None:
        stage = StageKey(message.request, message.stage, message.round)
        if queue.wait_errors.has(stage):
            return
        queue_place = place(
            message.urgency,
            has_started=message.has_started,
            by_urgency=message.by_urgency,
        )
        load = self._load(queue)
        expected = load[queue_place] + load[PLACES]
        pieces = len(message.numbers)
        queue.wait_errors.record_start(stage, queue_place, pieces, expected, now())

    def cancel(self, message: Cancel) -> None:
        """Drop the queued pieces of a request and mark its running ones as unneeded."""
        for queue in self._queue_by_service.values():
            if message.request in queue.sender_by_request:
                self._cancel(queue, message.request, message.before_round)

    def _cancel(self, queue: ServiceQueue, request: str, before_round: int) -> None:
        del queue.sender_by_request[request]
        queue.queue.cancel(request, before_round)
        queue.record_cancelled(request, before_round)

    def drop_orphans(self) -> None:
        """Drop the requests of dead instances and release their results.

        Otherwise their pieces would use up calls, and their results, which are never
        fetched, would hold memory until they expire. An instance that was only cut off
        runs its stages again.
        """
        for queue in self._queue_by_service.values():
            senders = set(queue.sender_by_request.values())
            dead = {s for s in senders if self._is_dead(s)}
            if not dead:
                continue
            orphans = [r for r, s in queue.sender_by_request.items() if s in dead]
            for request in orphans:
                self._cancel(queue, request, ALL_ROUNDS)
            handles = queue.pop_handles(set(orphans))
            self._logger.info(
                "orphans_dropped",
                service=queue.service,
                senders=sorted(sender.id for sender in dead),
                requests=len(orphans),
                results=len(handles),
            )
            self._releases.release(queue.service, queue, handles)

    def _is_dead(self, sender: Sender) -> bool:
        return (
            sender.incarnation is not None
            and self._peers.incarnation_of(sender.id) != sender.incarnation
        )

    def release(self, message: Release) -> None:
        """Release results at the targets that hold them."""
        queue = self._queue_by_service.get(message.service)
        self._releases.release(message.service, queue, message.handles)

    def loads(self) -> dict[str, list[float]]:
        """Return the load of each owned queue by service.

        A load is the drain time of each queue place, followed by the call time and
        the rate in pieces per second.
        """
        return {
            service: self._load(queue)
            for service, queue in self._queue_by_service.items()
            if self._owner(service) == self._peers.own.id and self._has_targets(queue)
        }

    def _owner(self, service: str) -> str | None:
        """Return the owner of the queue that serves this instance's zone."""
        scope = self.scopes.of(service, self._peers.own.zone)
        return next(iter(rank_owners(self._peers, service, scope)), None)

    def is_busy(self) -> bool:
        """Return whether any pieces are queued or running."""
        return any(len(q.queue) or q.running for q in self._queue_by_service.values())

    def hand_over(self, *, is_final: bool = False) -> None:
        """Send queued pieces back if another instance owns their queue now.

        Otherwise, after an owner has returned, two instances would keep calling the
        same targets, each with half-filled calls and unaware of the memory that the
        results of the other one's calls take.

        Args:
            is_final: Whether this instance is stopping. Pieces then move at once,
                without waiting for another check to confirm the new owner.
        """
        for queue in self._queue_by_service.values():
            self._update_workers(queue)
            owner = self._owner(queue.service)
            if owner in (None, self._peers.own.id):
                queue.disowned_checks = 0
                continue
            queue.disowned_checks += 1
            if is_final or queue.disowned_checks == _CHECKS_TO_MOVE:
                self.results.finish_waiting(queue, PieceFailure.MOVED)

    def open_queues(self) -> None:
        """Open a queue for each stage service, so that its load is published."""
        for service in self._view.batching_by_service:
            self._queue(service)

    def _queue(self, service: str) -> ServiceQueue | None:
        batching = self._view.batching_by_service.get(service)
        if batching is None:
            return None
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = ServiceQueue(service, batching, self._policy)
            self._queue_by_service[service] = queue
        queue.queue.batching = batching
        return queue

    def _has_targets(self, queue: ServiceQueue) -> bool:
        self._update_workers(queue)
        return bool(queue.available_workers())

    def _update_workers(self, queue: ServiceQueue) -> None:
        """Make the workers of a queue match the targets that belong to it."""
        own = self._own_targets(queue.service)
        self._remove_workers(queue, {target.incarnation for target in own})
        for target in own:
            if target.incarnation in queue.worker_by_incarnation:
                continue
            worker = Worker(target, queue.queue.batching)
            queue.worker_by_incarnation[target.incarnation] = worker
            for _ in range(queue.queue.batching.slots):
                eventlet.spawn_n(
                    self._run_supervised, self.dispatcher.run, queue, worker
                )
            eventlet.spawn_n(self._run_supervised, self._releases.run, queue, worker)

    def _remove_workers(
        self, queue: ServiceQueue, incarnations: set[tuple[str, int]]
    ) -> None:
        """Remove the workers of targets that no longer belong to a queue.

        While no instance of a zone is running, owners in other zones call its targets.
        If they kept these targets after the zone's return, two owners would call one
        target permanently, each unaware of the memory that the results of the other's
        calls hold there. Two pieces in five then found no memory.

        Args:
            queue: The queue.
            incarnations: Incarnations of the targets that belong to it.
        """
        removed = [
            incarnation
            for incarnation in queue.worker_by_incarnation
            if incarnation not in incarnations
        ]
        for incarnation in removed:
            # The worker's green threads exit once their running call has finished.
            queue.worker_by_incarnation.pop(incarnation).wake_releases()
        if removed:
            queue.wake_workers()

    def _run_supervised(
        self,
        loop: Callable[[ServiceQueue, Worker], None],
        queue: ServiceQueue,
        worker: Worker,
    ) -> None:
        # An unexpected error must not end the only green thread that calls this target,
        # or its queue would stall. The error is logged and the loop restarted.
        while queue.worker_by_incarnation.get(worker.target.incarnation) is worker:
            try:
                loop(queue, worker)
            except Exception:
                self._logger.exception("restarting", work=loop.__qualname__)
                eventlet.sleep(_IDLE_CHECK_S)

    def _own_targets(self, service: str) -> list[Target]:
        scope = self.scopes.of(service, self._peers.own.zone)
        active_zones = self._peers.active_zones()
        usable = self._view.usable(service)
        zones = {
            zone
            for zone in {known.target.zone for known in usable}
            if not self._reach.is_lost(zone)
            and (self.scopes.of(service, zone) == scope or zone not in active_zones)
        }
        return [known.target for known in usable if known.target.zone in zones]

    def _on_targets_changed(self) -> None:
        for queue in self._queue_by_service.values():
            self._update_workers(queue)
            self.dispatcher.reject_if_no_target(queue)
            queue.wake_workers()

    def _lag(self, queue: ServiceQueue, message: Submit) -> float:
        """Return by how many seconds the pieces come after those of other teams.

        Pieces that are submitted once more keep what they were given.
        """
        key = PieceKey(
            message.request, message.stage, message.numbers[0], message.round
        )
        if not message.team or message.has_started or queue.knows(key):
            return 0.0
        if not len(queue.queue):
            queue.turns.clear()
        shares = self._view.configuration.share_by_team
        workers = queue.available_workers()
        rate = queue.queue.rate(len(workers), min(w.slowdown for w in workers))
        share = shares.get(message.team, 1.0)
        return queue.turns.lag(message.team, share, len(message.numbers), rate, now())

    def _add_piece(
        self, queue: ServiceQueue, message: Submit, number: int, lag: float
    ) -> PieceOutcome | None:
        """Add a piece to its queue; return its outcome if that is known already."""
        key = PieceKey(message.request, message.stage, number, message.round)
        if key in queue.outcome_by_key:
            return queue.outcome_by_key[key]
        if queue.knows(key):
            return None
        at = now()
        zone, zone_bytes = self._local_zone(message)
        queue.queue.add(
            QueuedPiece(
                key,
                message.urgency,
                message.has_started,
                at + message.objective,
                at + message.remaining,
                message.result_bytes,
                message.key,
                tuple(message.inputs),
                message.input_bytes,
                zone=zone,
                zone_bytes=zone_bytes,
                fingerprint=message.fingerprint,
                lag=lag,
            )
        )
        return None

    def _local_zone(self, message: Submit) -> tuple[str, float]:
        """Return the zone with the least cross-zone transfer and its share in bytes."""
        bytes_by_zone = {message.zone: float(message.result_bytes)}
        for handle in message.inputs:
            target = self._view.target_by_address.get(
                self._dialect.result_address(handle)
            )
            zone = target.zone if target is not None else ""
            share = message.input_bytes / len(message.inputs)
            bytes_by_zone[zone] = bytes_by_zone.get(zone, 0.0) + share
        local_zone = max(bytes_by_zone, key=bytes_by_zone.__getitem__)
        return local_zone, bytes_by_zone[local_zone]

    def _load(self, queue: ServiceQueue) -> list[float]:
        """Return the load of a queue in the layout of ``loads``."""
        workers = queue.available_workers()
        until_free = max(0.0, min(w.free_at for w in workers) - now())
        slowdown = min(w.slowdown for w in workers)
        drains = queue.queue.drains(len(workers), until_free, slowdown)
        call = queue.queue.call_seconds(slowdown)
        if self._policy.has(Mechanism.WAIT_ERRORS):
            drains = queue.wait_errors.correct(drains, call)
        rate = queue.queue.rate(len(workers), slowdown)
        return [round(figure, 3) for figure in (*drains, call, rate)]


def _reject(message: Submit, reason: PieceFailure) -> Results:
    """Return the outcome of pieces that are not added to the queue."""
    done = [PieceOutcome(number, "", reason) for number in message.numbers]
    return Results(message.request, message.stage, message.round, done)
