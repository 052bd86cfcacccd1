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

_MAX_PACE = 6.0
_PACE_WEIGHT = 0.3
# A target that failed gets nothing for a time that doubles up to the longest.
_FIRST_REST_S = 0.3
_LONGEST_REST_S = 3.0
# How long after a sign of other callers a target is taken to have some: an owner that
# was replaced works off its queue for up to a few calls.
_SHARED_S = 2.0
# Requests whose senders, and results that, are remembered; a lost datagram is repeated
# within a second, and a daemon begins some hundred pieces in it.
KEPT = 5_000


class Worker:
    """What this owner knows of one target."""

    def __init__(self, target: Target, batching: Batching) -> None:
        self.target = target
        self.room = ResultMemory(batching.memory_bytes, batching.ttl_seconds)
        self.pace = 1.0
        self.free_at = 0.0
        self.full_call_by = 0.0
        self.alone_from = now() + _SHARED_S
        self.failures = 0
        self.rest_until = 0.0
        self.to_release: list[str] = []
        self.has_release = Event()

    def note_shared(self) -> None:
        """Note a sign that others call the target as well.

        A call then waits at the target before it begins, and inputs that were given up
        shortly after sending it would be gone by its turn. That happens around every
        change of owners, when two of them call the same targets for a moment.
        """
        self.alone_from = now() + _SHARED_S

    def is_shared(self) -> bool:
        """Tell whether others may have called the target lately."""
        return now() < self.alone_from

    def rest(self) -> None:
        """Give it nothing for a while after a failure."""
        pause = min(_LONGEST_REST_S, _FIRST_REST_S * 2.0**self.failures)
        self.failures += 1
        self.rest_until = now() + pause

    def learn(self, seconds: float, expected: float) -> None:
        """Take the time of an answered call into account."""
        self.failures = 0
        ratio = min(_MAX_PACE, seconds / expected)
        self.pace += _PACE_WEIGHT * (ratio - self.pace)


class Sender(NamedTuple):
    """One life of the instance that gets a request's results."""

    id: str
    life: str | None


class ServiceQueue:
    """One stage service's queue and workers."""

    def __init__(self, service: str, batching: Batching, policy: Policy) -> None:
        self.service = service
        self.queue = StageQueue(batching, policy)
        self.worker_by_life: dict[tuple[str, int], Worker] = {}
        self.sender_by_request: OrderedDict[str, Sender] = OrderedDict()
        self.running: set[PieceKey] = set()
        self.done_by_key: OrderedDict[PieceKey, PieceOutcome] = OrderedDict()
        self.cancelled: OrderedDict[str, None] = OrderedDict()
        self.news = Event()
        self.disowned_checks = 0
        self.wait_errors = WaitErrors()
        self._submitted_at = float("-inf")

    def note_submission(self) -> None:
        """Note that pieces came in.

        After a pause this instance may have just become the owner, and calls of the
        one before may still run.
        """
        moment = now()
        if moment - self._submitted_at > _SHARED_S:
            for worker in self.worker_by_life.values():
                worker.note_shared()
        self._submitted_at = moment

    def note_sender(self, request: str, sender: Sender) -> None:
        """Note which instance gets a request's results."""
        self.sender_by_request[request] = sender
        _trim(self.sender_by_request)

    def note_done(self, key: PieceKey, done: PieceOutcome) -> None:
        """Keep a result, in case its datagram gets lost."""
        self.done_by_key[key] = done
        _trim(self.done_by_key)
        stage = StageKey(key.request, key.stage, key.round)
        self.wait_errors.record_piece_done(stage, now())

    def take_results(self, requests: set[str]) -> list[str]:
        """Forget the results of requests; their handles."""
        keys = [key for key in self.done_by_key if key.request in requests]
        return [self.done_by_key.pop(key).handle for key in keys]

    def note_cancelled(self, request: str) -> None:
        """Note that the results of a request are not needed any more."""
        self.cancelled[request] = None
        _trim(self.cancelled)

    def wake(self) -> None:
        """Wake all workers."""
        news, self.news = self.news, Event()
        news.send()

    def fit_workers(self) -> list[Worker]:
        """Workers whose targets are not resting after a failure."""
        moment = now()
        return [w for w in self.worker_by_life.values() if w.rest_until <= moment]

    def others(self, worker: Worker) -> list[OtherTarget]:
        """What the other workers can take."""
        moment = now()
        return [
            OtherTarget(
                other.target.zone,
                max(0.0, other.free_at - moment),
                other.room.free_bytes(moment),
            )
            for other in self.fit_workers()
            if other is not worker
        ]


def _trim(kept: OrderedDict) -> None:
    while len(kept) > KEPT:
        kept.popitem(last=False)
