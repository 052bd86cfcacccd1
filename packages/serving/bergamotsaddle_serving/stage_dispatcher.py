"""Sends batches of pieces from a stage queue to its targets."""

from collections.abc import Iterable
from typing import Any

import eventlet
from eventlet.greenthread import GreenThread

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._stage_worker import ServiceQueue, Worker
from bergamotsaddle_serving.client import UNFINISHED, ConnectionLostError
from bergamotsaddle_serving.decisions.stage_queue import (
    QueuedPiece,
    is_large,
)
from bergamotsaddle_serving.fetching import DEFAULT_FETCH_TIMES, FetchTimes
from bergamotsaddle_serving.messages import PieceFailure, PieceResult
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.stage_releases import StageReleases
from bergamotsaddle_serving.stage_results import FinishedPiece, StageResults
from bergamotsaddle_serving.suspect_parts import Work
from bergamotsaddle_serving.target_crashes import TargetCrashes

# A call counts as lost after this multiple of its expected time plus the extra. A
# target that lost power never responds, while slow ones stay within the limit.
_LOST_FACTOR = 2.0
_LOST_EXTRA_S = 0.4
# Pause after a target refused a call because it was busy or had no permit left.
_FULL_PAUSE_S = 0.05
_IDLE_CHECK_S = 0.25
# A piece that has failed this often is not queued again after one more unsuccessful
# call.
_MAX_TRIES = 2
# Pause per queued piece before a worker that found nothing to send scans the queue
# again: some twenty times as long as it takes to look at one piece.
_SCAN_PAUSE_S = 5e-5
# How long after a call the next one may wait for the memory of its results. It covers
# the way of the results to the sender and from there to an engine, and the message that
# they were fetched.
_MEMORY_WAIT_S = 0.09
# Approximate size of a result's handle in a call, in bytes.
_HANDLE_BYTES = 40


def _input_bytes(batch: list[QueuedPiece]) -> int:
    """Return the size of all inputs of a call; pieces of one stage share theirs."""
    by_stage = {piece.key[:2]: piece.input_bytes for piece in batch}
    return sum(by_stage.values())


def _call_bytes(batch: list[QueuedPiece]) -> int:
    """Return the approximate size of a call, which is mostly handles of inputs."""
    return _HANDLE_BYTES * sum(1 + len(piece.inputs) for piece in batch)


class StageDispatcher:
    """Pops batches from a queue and sends them to its targets.

    Args:
        calls: Makes the calls.
        results: Reports outcomes to the senders of the pieces.
        releases: Releases results that are no longer needed.
        logger: Logs each call.
        policy: Enabled mechanisms.
        fetch_times: Estimates when targets have fetched their inputs.
        crashes: Detects crashed targets and the requests that they were running.

    Attributes:
        calls_made: Number of calls so far.
        pieces_sent: Number of pieces in these calls.
    """

    def __init__(
        self,
        calls: StageCalls,
        results: StageResults,
        releases: StageReleases,
        logger: Any,
        policy: Policy = FULL_POLICY,
        fetch_times: FetchTimes = DEFAULT_FETCH_TIMES,
        *,
        crashes: TargetCrashes,
    ) -> None:
        self._crashes = crashes
        self._policy = policy
        self._fetch_times = fetch_times
        self._calls = calls
        self._results = results
        self._releases = releases
        self._logger = logger
        self.calls_made = 0
        self.pieces_sent = 0

    def run(self, queue: ServiceQueue, worker: Worker) -> None:
        """Call a target for as long as it belongs to the queue."""
        while queue.worker_by_incarnation.get(worker.target.incarnation) is worker:
            at = now()
            worker.pause_until(at + self._calls.wait(worker.target))
            if worker.backoff_until > at:
                self.reject_if_no_target(queue)
                eventlet.sleep(min(_IDLE_CHECK_S, worker.backoff_until - at))
                continue
            # A cheap query first: a dead target must not hold up pieces until a whole
            # call has timed out.
            if worker.failures and not self._query_memory(worker):
                worker.back_off()
                continue
            expired = queue.queue.pop_expired(at, worker.slowdown)
            late = PieceResult("", PieceFailure.LATE)
            self._results.finish(queue, [(piece.key, late) for piece in expired])
            batch = queue.queue.pop_batch(
                at,
                worker.memory.free_bytes(at),
                worker.slowdown,
                may_wait=at < worker.wait_for_memory_until,
                zone=worker.target.zone,
                others=queue.other_targets(worker),
                is_suspect=self._crashes.suspects.is_suspect,
            )
            if not batch:
                self._wait_for_change(queue, worker)
                continue
            batch = self._fail_quarantined(queue, batch)
            if batch:
                self._call(queue, worker, batch)

    def _fail_quarantined(
        self, queue: ServiceQueue, batch: list[QueuedPiece]
    ) -> list[QueuedPiece]:
        """Fail the pieces of quarantined requests and return the other ones."""
        suspects = self._crashes.suspects
        fatal = [piece for piece in batch if suspects.is_quarantined(piece.fingerprint)]
        failed = PieceResult("", PieceFailure.FAILED)
        self._results.finish(queue, [(piece.key, failed) for piece in fatal])
        return [piece for piece in batch if piece not in fatal]

    def _wait_for_change(self, queue: ServiceQueue, worker: Worker) -> None:
        # Read before the pause, so that a change during it is not missed.
        changed = queue.changed
        # Each submitted piece and each released result wakes all workers. In a burst,
        # each worker would scan hundreds of pieces hundreds of times a second and find
        # no memory. The owner would respond late, and senders would abandon it.
        eventlet.sleep(len(queue.queue) * _SCAN_PAUSE_S)
        if queue.worker_by_incarnation.get(worker.target.incarnation) is not worker:
            return
        if not len(queue.queue):
            # New pieces wake it, and so does the end of its target in the queue.
            changed.wait()
            return
        wait = worker.wait_for_memory_until - now()
        if wait <= 0:
            wait = _IDLE_CHECK_S
        with eventlet.Timeout(wait, False):
            changed.wait()

    def _call(
        self, queue: ServiceQueue, worker: Worker, batch: list[QueuedPiece]
    ) -> None:
        size = sum(piece.result_bytes for piece in batch)
        expected = queue.queue.batching.seconds(len(batch))
        started_at = now()
        worker.free_at = started_at + expected * worker.slowdown
        worker.memory.reserve(size, started_at)
        queue.running.update(piece.key for piece in batch)
        self.calls_made += 1
        self.pieces_sent += len(batch)
        limit = expected * max(1.0, worker.slowdown) * _LOST_FACTOR + _LOST_EXTRA_S
        started: list[GreenThread] = []
        try:
            results = self._calls.run(
                worker.target,
                batch,
                limit,
                on_connected=lambda: started.extend(
                    self._schedule_started(queue, worker, batch)
                ),
            )
        except (ConnectionLostError, ValueError) as error:
            # An unframed response that is cut off can't be decoded.
            reason = getattr(error, "reason", UNFINISHED)
            self._crashes.record_failure(worker.target, _works(batch), reason)
            self._handle_failure(queue, worker, batch, str(error))
            return
        finally:
            for timer in started:
                timer.cancel()
            worker.memory.release_reservation(size)
            queue.running.difference_update(piece.key for piece in batch)
            worker.free_at = now()
            worker.wait_for_memory_until = now() + _MEMORY_WAIT_S
        if results is None:
            worker.record_sharing()
            self._requeue(queue, batch, None)
            eventlet.sleep(_FULL_PAUSE_S)
            return
        worker.record_call_seconds(now() - started_at, expected)
        made = [p for p, r in zip(batch, results, strict=True) if r.reason is None]
        # A response that could be decoded is complete, however it was framed.
        self._crashes.record_success(
            worker.target, _works(made), is_framed=True, is_stage=True
        )
        self._logger.info(
            "stage_call",
            service=queue.service,
            target=worker.target.id,
            zone=worker.target.zone,
            pieces=len(batch),
            away=sum(p.zone != worker.target.zone for p in batch if is_large(p)),
            waiting=len(queue.queue),
            seconds=round(now() - started_at, 3),
            unmade=[result.reason for result in results if result.reason],
            room=int(worker.memory.free_bytes(now())),
            requests=sorted({piece.key.request for piece in batch}),
        )
        if any(result.reason == PieceFailure.GONE for result in results):
            worker.record_sharing()
        if any(result.reason == PieceFailure.NO_MEMORY for result in results):
            self._query_memory(worker)
        self._handle_results(queue, worker, batch, results)

    def _query_memory(self, worker: Worker) -> bool:
        """Query the free memory of a target.

        Returns:
            Whether the target responded.
        """
        try:
            free = self._calls.query_free_memory(worker.target)
        except (ConnectionLostError, ValueError) as error:
            # The estimate stays as it is; the next refusal triggers another query.
            self._logger.warning(
                "room_unknown", target=worker.target.id, reason=str(error)
            )
            return False
        worker.failures = 0
        estimated = worker.memory.free_bytes(now())
        worker.memory.reconcile(free, now())
        self._logger.info(
            "room", target=worker.target.id, free=int(free), believed=int(estimated)
        )
        return True

    def _handle_failure(
        self,
        queue: ServiceQueue,
        worker: Worker,
        batch: list[QueuedPiece],
        reason: str,
    ) -> None:
        worker.back_off()
        worker.record_sharing()
        self._logger.warning(
            "stage_call_failed",
            service=queue.service,
            target=worker.target.id,
            reason=reason,
            requests=sorted({piece.key.request for piece in batch}),
        )
        self._requeue(queue, batch, PieceFailure.FAILED)

    def _requeue(
        self, queue: ServiceQueue, batch: list[QueuedPiece], reason: PieceFailure | None
    ) -> None:
        """Queue the pieces of a failed call again, unless they failed too often.

        Args:
            queue: Queue of the pieces.
            batch: The pieces of the call.
            reason: Why the call failed, None if the target only refused it.
        """
        for piece in batch:
            if queue.is_cancelled(piece.key):
                continue
            if piece.failed_calls >= _MAX_TRIES:
                failed = PieceResult("", PieceFailure.FAILED)
                self._results.finish(queue, [(piece.key, failed)])
                continue
            failed_calls = piece.failed_calls + (reason == PieceFailure.FAILED)
            queue.queue.add(piece._replace(failed_calls=failed_calls))
        queue.wake_workers()

    def _handle_results(
        self,
        queue: ServiceQueue,
        worker: Worker,
        batch: list[QueuedPiece],
        results: list[PieceResult],
    ) -> None:
        at = now()
        finished: list[FinishedPiece] = []
        unneeded: list[str] = []
        is_refilled = False
        for piece, result in zip(batch, results, strict=True):
            if result.handle:
                worker.memory.add(result.handle, piece.result_bytes, at)
            if queue.is_cancelled(piece.key):
                unneeded += [result.handle] if result.handle else []
            elif result.reason == PieceFailure.NO_MEMORY:
                worker.memory.record_full(piece.result_bytes, at)
                queue.queue.add(piece)
                is_refilled = True
            else:
                finished.append((piece.key, result))
        if is_refilled:
            queue.wake_workers()
        self._releases.release(queue.service, queue, unneeded)
        self._results.finish(queue, finished)

    def reject_if_no_target(self, queue: ServiceQueue) -> None:
        """Send all queued pieces back if every target is backing off.

        The senders then choose another queue, where the pieces have better chances.
        """
        if not queue.available_workers():
            self._results.finish_waiting(queue, PieceFailure.NO_TARGET)

    def _schedule_started(
        self, queue: ServiceQueue, worker: Worker, batch: list[QueuedPiece]
    ) -> list[GreenThread]:
        """Schedule the report that a target has fetched the inputs of a call.

        Returns:
            The timer of the report, none if the inputs are not released early.
        """
        if worker.is_shared() or not self._policy.has(Mechanism.EARLY_RELEASE):
            return []
        delay = self._fetch_times.seconds(_input_bytes(batch), _call_bytes(batch))
        return [eventlet.spawn_after(delay, self._results.send_started, queue, batch)]


def _works(pieces: Iterable[QueuedPiece]) -> list[Work]:
    """Return what a target runs for the requests of some pieces."""
    request_by_fingerprint = {p.fingerprint: p.key.request for p in pieces}
    return [Work(f, request=r) for f, r in sorted(request_by_fingerprint.items())]
