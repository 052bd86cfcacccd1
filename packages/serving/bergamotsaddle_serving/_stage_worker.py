"""State of a stage queue and of each target that works on it."""

from collections import OrderedDict
from typing import NamedTuple

from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Batching, Target
from bergamotsaddle_serving.decisions.stage_queue import (
    OtherTarget,
    PieceKey,
    StageQueue,
)
from bergamotsaddle_serving.decisions.team_shares import TeamTurns
from bergamotsaddle_serving.peer_messages import PieceOutcome
from bergamotsaddle_serving.policy import Policy
from bergamotsaddle_serving.result_memory import ResultMemory
from bergamotsaddle_serving.wait_errors import StageKey, WaitErrors

# Upper bound on a single call's slowdown, and its weight in the moving average.
_MAX_SLOWDOWN = 6.0
_SLOWDOWN_WEIGHT = 0.3
# A target that failed gets no calls for a time that doubles with each failure.
_FIRST_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 3.0
# How long a target counts as shared after a sign that another instance calls it: an
# owner that was replaced may still make a few calls to finish its queue.
_SHARED_S = 2.0
# Limit on remembered senders, outcomes and cancelled requests. A lost datagram is
# repeated within a second, in which a daemon starts some hundred pieces.
_MAX_REMEMBERED = 5_000


class Worker:
    """What the queue owner knows about one target.

    Args:
        target: The target.
        batching: Batching parameters of its service.

    Attributes:
        memory: Estimate of the memory that the target has free for results.
        slowdown: Moving average of actual against expected call time.
        free_at: When the running call is expected to end, or the last one ended.
        wait_for_memory_until: Until when the next call may wait for memory.
        exclusive_from: When this instance may again assume that no other one calls the
            target.
        failures: Consecutive failures.
        backoff_until: Until when the target gets no calls, after a failure or since it
            asked for that.
        to_release: Handles of results that are to be released.
        release_requested: Set when handles are added to ``to_release``, and when the
            target no longer belongs to the queue.
    """

    def __init__(self, target: Target, batching: Batching) -> None:
        self.target = target
        self.memory = ResultMemory(batching.memory_bytes, batching.ttl_seconds)
        self.slowdown = 1.0
        self.free_at = 0.0
        self.wait_for_memory_until = 0.0
        self.exclusive_from = now() + _SHARED_S
        self.failures = 0
        self.backoff_until = 0.0
        self.to_release: list[str] = []
        self.release_requested = Event()

    def wake_releases(self) -> None:
        """Wake the green thread that releases results."""
        if not self.release_requested.ready():
            self.release_requested.send()

    def record_sharing(self) -> None:
        """Record a sign that another instance calls the target as well.

        A call may then wait at the target before it starts. Inputs that were released
        a fixed time after sending it would be gone by then. This happens around every
        change of owners, when two of them call the same targets for a short time.
        """
        self.exclusive_from = now() + _SHARED_S

    def is_shared(self) -> bool:
        """Return whether another instance may have called the target recently."""
        return now() < self.exclusive_from

    def back_off(self) -> None:
        """Stop calls to the target for a while after a failure."""
        pause = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2.0**self.failures)
        self.failures += 1
        self.backoff_until = now() + pause

    def pause_until(self, at: float) -> None:
        """Make no calls to the target before a time, which is no failure of it."""
        self.backoff_until = max(self.backoff_until, at)

    def record_call_seconds(self, seconds: float, expected: float) -> None:
        """Record the duration of a successful call.

        Args:
            seconds: Actual duration.
            expected: Expected duration.
        """
        self.failures = 0
        ratio = min(_MAX_SLOWDOWN, seconds / expected)
        self.slowdown += _SLOWDOWN_WEIGHT * (ratio - self.slowdown)


class Sender(NamedTuple):
    """Instance that receives the results of a request.

    Attributes:
        id: Name of the instance.
        incarnation: Its incarnation, None if it is unknown.
    """

    id: str
    incarnation: str | None


class ServiceQueue:
    """Queue and workers of one stage service.

    Args:
        service: Name of the service.
        batching: Batching parameters of the service.
        policy: Enabled mechanisms.

    Attributes:
        queue: Pieces that wait for a call.
        worker_by_incarnation: Workers of the targets, by incarnation.
        sender_by_request: Instances that receive the results of requests.
        running: Pieces in running calls.
        outcome_by_key: Outcomes of recently finished pieces.
        cancelled: First round that is needed of recently cancelled requests.
        changed: Event that wakes the workers; replaced each time that it is sent.
        disowned_checks: Consecutive checks that found another owner for the queue.
        wait_errors: Corrects forecasts by the errors of earlier ones.
        turns: By how much the pieces of each team come after those of others.
    """

    def __init__(self, service: str, batching: Batching, policy: Policy) -> None:
        self.service = service
        self.queue = StageQueue(batching, policy)
        self.worker_by_incarnation: dict[tuple[str, int], Worker] = {}
        self.sender_by_request: OrderedDict[str, Sender] = OrderedDict()
        self.running: set[PieceKey] = set()
        self.outcome_by_key: OrderedDict[PieceKey, PieceOutcome] = OrderedDict()
        self.cancelled: OrderedDict[str, int] = OrderedDict()
        self.changed = Event()
        self.disowned_checks = 0
        self.wait_errors = WaitErrors()
        self.turns = TeamTurns()
        self._submitted_at = float("-inf")

    def knows(self, key: PieceKey) -> bool:
        """Return whether a piece waits, runs or has an outcome."""
        return (
            key in self.running
            or key in self.queue.piece_by_key
            or key in self.outcome_by_key
        )

    def record_submission(self) -> None:
        """Record that pieces were submitted.

        After a pause in submissions this instance may have just become the owner, and
        calls of the previous owner may still be running.
        """
        at = now()
        if at - self._submitted_at > _SHARED_S:
            for worker in self.worker_by_incarnation.values():
                worker.record_sharing()
        self._submitted_at = at

    def record_sender(self, request: str, sender: Sender) -> None:
        """Record which instance receives a request's results."""
        self.sender_by_request[request] = sender
        _trim(self.sender_by_request)

    def record_outcome(self, key: PieceKey, outcome: PieceOutcome) -> None:
        """Keep the outcome of a piece in case the datagram with it is lost."""
        self.outcome_by_key[key] = outcome
        _trim(self.outcome_by_key)
        stage = StageKey(key.request, key.stage, key.round)
        self.wait_errors.record_piece_done(stage, now())

    def pop_handles(self, requests: set[str]) -> list[str]:
        """Remove the outcomes of requests and return the handles of their results."""
        keys = [key for key in self.outcome_by_key if key.request in requests]
        return [self.outcome_by_key.pop(key).handle for key in keys]

    def record_cancelled(self, request: str, before_round: int) -> None:
        """Record that results of a request are no longer needed.

        Args:
            request: Id of the request.
            before_round: First round whose results are needed, if it ever comes.
        """
        self.cancelled[request] = before_round
        _trim(self.cancelled)

    def is_cancelled(self, key: PieceKey) -> bool:
        """Return whether the result of a piece is no longer needed."""
        return key.round < self.cancelled.get(key.request, 0)

    def wake_workers(self) -> None:
        """Wake all workers."""
        changed, self.changed = self.changed, Event()
        changed.send()

    def available_workers(self) -> list[Worker]:
        """Return the workers whose targets are not backing off after a failure."""
        at = now()
        return [w for w in self.worker_by_incarnation.values() if w.backoff_until <= at]

    def other_targets(self, worker: Worker) -> list[OtherTarget]:
        """Return zone, availability and free memory of the other usable targets."""
        at = now()
        return [
            OtherTarget(
                other.target.zone,
                max(0.0, other.free_at - at),
                other.memory.free_bytes(at),
            )
            for other in self.available_workers()
            if other is not worker
        ]


def _trim(entries: OrderedDict) -> None:
    while len(entries) > _MAX_REMEMBERED:
        entries.popitem(last=False)
