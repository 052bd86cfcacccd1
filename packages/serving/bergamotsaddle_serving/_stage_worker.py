"""What an owner of a stage queue keeps of a service and of each of its targets."""

from collections import OrderedDict
from typing import NamedTuple

from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Batching, Target
from bergamotsaddle_serving.peer_messages import PieceOutcome
from bergamotsaddle_serving.policy import Policy
from bergamotsaddle_serving.result_memory import ResultMemory
from bergamotsaddle_serving.stage_queue import (
    OtherTarget,
    PieceKey,
    StageQueue,
)
from bergamotsaddle_serving.wait_errors import StageKey, WaitErrors

_MAX_SLOWDOWN = 6.0
_SLOWDOWN_WEIGHT = 0.3
# A target that failed gets nothing for a time that doubles up to the longest.
_FIRST_BACKOFF_S = 0.3
_MAX_BACKOFF_S = 3.0
# How long after a sign of other callers a target is taken to have some: an owner that
# was replaced works off its queue for up to a few calls.
_SHARED_S = 2.0
# Requests whose senders, and results that, are remembered; a lost datagram is repeated
# within a second, and a daemon begins some hundred pieces in it.
_MAX_REMEMBERED = 5_000


class Worker:
    """What this owner knows of one target."""

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

    def record_sharing(self) -> None:
        """Note a sign that others call the target as well.

        A call then waits at the target before it begins, and inputs that were given up
        shortly after sending it would be gone by its turn. That happens around every
        change of owners, when two of them call the same targets for a moment.
        """
        self.exclusive_from = now() + _SHARED_S

    def is_shared(self) -> bool:
        """Tell whether others may have called the target lately."""
        return now() < self.exclusive_from

    def back_off(self) -> None:
        """Give it nothing for a while after a failure."""
        pause = min(_MAX_BACKOFF_S, _FIRST_BACKOFF_S * 2.0**self.failures)
        self.failures += 1
        self.backoff_until = now() + pause

    def record_call_seconds(self, seconds: float, expected: float) -> None:
        """Take the time of an answered call into account."""
        self.failures = 0
        ratio = min(_MAX_SLOWDOWN, seconds / expected)
        self.slowdown += _SLOWDOWN_WEIGHT * (ratio - self.slowdown)


class Sender(NamedTuple):
    """One life of the instance that gets a request's results."""

    id: str
    incarnation: str | None


class ServiceQueue:
    """One stage service's queue and workers."""

    def __init__(self, service: str, batching: Batching, policy: Policy) -> None:
        self.service = service
        self.queue = StageQueue(batching, policy)
        self.worker_by_incarnation: dict[tuple[str, int], Worker] = {}
        self.sender_by_request: OrderedDict[str, Sender] = OrderedDict()
        self.running: set[PieceKey] = set()
        self.outcome_by_key: OrderedDict[PieceKey, PieceOutcome] = OrderedDict()
        self.cancelled: OrderedDict[str, None] = OrderedDict()
        self.changed = Event()
        self.disowned_checks = 0
        self.wait_errors = WaitErrors()
        self._submitted_at = float("-inf")

    def record_submission(self) -> None:
        """Note that pieces came in.

        After a pause this instance may have just become the owner, and calls of the
        one before may still run.
        """
        at = now()
        if at - self._submitted_at > _SHARED_S:
            for worker in self.worker_by_incarnation.values():
                worker.record_sharing()
        self._submitted_at = at

    def record_sender(self, request: str, sender: Sender) -> None:
        """Note which instance gets a request's results."""
        self.sender_by_request[request] = sender
        _trim(self.sender_by_request)

    def record_outcome(self, key: PieceKey, done: PieceOutcome) -> None:
        """Keep a result, in case its datagram gets lost."""
        self.outcome_by_key[key] = done
        _trim(self.outcome_by_key)
        stage = StageKey(key.request, key.stage, key.round)
        self.wait_errors.record_piece_done(stage, now())

    def pop_handles(self, requests: set[str]) -> list[str]:
        """Forget the results of requests; their handles."""
        keys = [key for key in self.outcome_by_key if key.request in requests]
        return [self.outcome_by_key.pop(key).handle for key in keys]

    def record_cancelled(self, request: str) -> None:
        """Note that the results of a request are not needed any more."""
        self.cancelled[request] = None
        _trim(self.cancelled)

    def wake_workers(self) -> None:
        """Wake all workers."""
        changed, self.changed = self.changed, Event()
        changed.send()

    def available_workers(self) -> list[Worker]:
        """Workers whose targets are not resting after a failure."""
        at = now()
        return [w for w in self.worker_by_incarnation.values() if w.backoff_until <= at]

    def other_targets(self, worker: Worker) -> list[OtherTarget]:
        """What the other workers can take."""
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
