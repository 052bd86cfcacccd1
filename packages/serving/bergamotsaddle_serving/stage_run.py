"""Has the stages of one request done by the owners of their queues."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet
from eventlet.queue import Empty

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Route
from bergamotsaddle_serving.messages import PieceFailure, RequestHead
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    Accepted,
    Cancel,
    PieceOutcome,
    Release,
    Results,
    Started,
    Submit,
)
from bergamotsaddle_serving.stage_exchange import StageExchange
from bergamotsaddle_serving.stage_load import PendingWork
from bergamotsaddle_serving.stage_plan import StagePlan

# An owner acknowledges within a few ms; after this it is asked again, and after two
# more of these the next owner is.
_ACK_LIMIT_S = 0.08
_MAX_UNACKNOWLEDGED = 2
# A submission is repeated this often while it waits: a lost result comes again, and an
# owner that has died is noticed.
_REFRESH_S = 0.4
# Calls for one stage of a request that end without a result.
_MAX_FAILURES = 4
_RETRY_PAUSE_S = 0.03
# All targets of a queue rest after failures; another one, or the same one later, may
# still do the stage within the request's time.
_NO_TARGET_PAUSE_S = 0.05


class StageOutcome(NamedTuple):
    """What the stages of a request came to.

    Attributes:
        handles: Handles of the results that the request itself needs.
        seconds: How long they took.
        stages: For each stage its queue, expected and actual seconds, for logs.
    """

    handles: tuple[str, ...]
    seconds: float
    stages: list[tuple[int, str, float, float]]


class _ResultLocation(NamedTuple):
    """Where a result was made."""

    owner: str
    service: str
    scope: str


class _Submission:
    """A stage of the request that is being done."""

    def __init__(
        self, stage: int, owner: str, scope: str, missing: set[int], round_number: int
    ) -> None:
        self.stage = stage
        self.owner = owner
        self.scope = scope
        self.missing = missing
        self.round = round_number
        self.unacknowledged = 0
        self.next_at = 0.0


class StageRun:
    """The stages of one request.

    Args:
        head: The request.
        route: Its route.
        plan: Where its stages are to run, and how long each takes.
        exchange: Carries messages to the owners.
        logger: Gets a line for each failure.
        urgency: Its urgency, 0 first.
        deadline_at: After which the results are of no use, on the hub's clock.
        spread: Chooses queues, each with a number of pieces, for a stage service, the
            number of a stage and that of its pieces.
        coming: Counts the pieces of stages that are still to come.
        keep_seconds: How long a service's targets keep results.
        first_round: First round that may be used; later than any of an earlier run.
        work: Fingerprint of the request.
    """

    def __init__(
        self,
        head: RequestHead,
        route: Route,
        plan: StagePlan,
        exchange: StageExchange,
        logger: Any,
        *,
        urgency: int,
        deadline_at: float,
        choose_queues: Callable[[str, int, int], list[tuple[str, int]]],
        pending: PendingWork,
        ttl_seconds: Callable[[str], float],
        first_round: int = 0,
        fingerprint: str = "",
    ) -> None:
        self._fingerprint = fingerprint
        self._head = head
        self._route = route
        self._plan = plan
        self._exchange = exchange
        self._logger = logger
        self._urgency = urgency
        self._deadline_at = deadline_at
        self._choose_queues = choose_queues
        self._inbox = exchange.open_inbox(head.id)
        self._submissions: list[_Submission] = []
        self._results_by_stage: dict[int, dict[int, str]] = {}
        self._location_by_handle: dict[str, _ResultLocation] = {}
        self._owners: set[str] = set()
        self._failures = 0
        self._round = first_round
        self._pending = pending
        self._ttl_seconds = ttl_seconds
        self._pending_by_stage: dict[int, int] = {}
        self._fetched_by_stage: dict[int, set[int]] = {}
        self._started_at_by_stage: dict[int, float] = {}
        self._finished_at_by_stage: dict[int, float] = {}
        self._expires_at_by_stage: dict[int, float] = {}

    def run(self) -> StageOutcome:
        """Have all stages done.

        Raises:
            RequestError: If they can't be done in time; the request has not run.
        """
        started_at = now()
        self._add_pending()
        while not self._is_done():
            self._submit_ready()
            self._receive()
        self._release_fetched()
        handles = [
            self._results_by_stage[stage][number]
            for stage in self._plan.sinks
            for number in sorted(self._results_by_stage.get(stage, ()))
        ]
        return StageOutcome(tuple(handles), now() - started_at, self._stage_times())

    def _stage_times(self) -> list[tuple[int, str, float, float]]:
        return [
            (
                stage,
                self._plan.scope_by_stage[stage],
                round(self._plan.seconds[stage], 3),
                round(
                    self._finished_at_by_stage[stage]
                    - self._started_at_by_stage[stage],
                    3,
                ),
            )
            for stage in self._plan.needed
        ]

    @property
    def next_round(self) -> int:
        """First round that a further run of the same request's stages may use."""
        return self._round + 1

    def release(self) -> None:
        """Give up all results that are left, and whatever still waits."""
        self._exchange.close_inbox(self._head.id)
        for stage in list(self._pending_by_stage):
            self._remove_pending(stage)
        if self._submissions:
            for owner in self._owners:
                self._exchange.send(owner, Cancel(self._head.id))
            self._submissions.clear()
        self._release_handles(list(self._location_by_handle))

    def _is_done(self) -> bool:
        return all(
            len(self._results_by_stage.get(stage, ())) >= self._plan.pieces[stage]
            for stage in self._plan.needed
        )

    def _stage_is_done(self, stage: int) -> bool:
        done = len(self._results_by_stage.get(stage, ()))
        return done >= self._plan.pieces[stage]

    def _submit_ready(self) -> None:
        at = now()
        elapsed = self._plan.elapsed(at)
        for stage in self._plan.needed:
            if self._stage_is_done(stage) or not self._unassigned(stage):
                continue
            after = self._plan.predecessors(stage)
            if not all(self._stage_is_done(number) for number in after):
                continue
            done = {s for s in self._plan.needed if self._stage_is_done(s)}
            if self._plan.should_wait(stage, done, elapsed):
                continue
            self._assign(stage)
        for submission in list(self._submissions):
            if submission.next_at <= at:
                self._send(submission)

    def _unassigned(self, stage: int) -> list[int]:
        results = self._results_by_stage.get(stage, {})
        submitted = {
            n for o in self._submissions if o.stage == stage for n in o.missing
        }
        numbers = range(self._plan.pieces[stage])
        return [n for n in numbers if n not in results and n not in submitted]

    def _add_pending(self) -> None:
        for stage in self._plan.needed:
            self._pending_by_stage[stage] = self._plan.pieces[stage]
            self._change_pending(stage, self._plan.pieces[stage])

    def _remove_pending(self, stage: int) -> None:
        self._change_pending(stage, -self._pending_by_stage.pop(stage, 0))

    def _change_pending(self, stage: int, pieces: int) -> None:
        if pieces:
            service = self._route.stages[stage].service
            scope = self._plan.scope_by_stage[stage]
            self._pending.add(service, scope, self._urgency, pieces)

    def _assign(self, stage: int) -> None:
        self._remove_pending(stage)
        self._started_at_by_stage.setdefault(stage, now())
        service = self._route.stages[stage].service
        numbers = self._unassigned(stage)
        for scope, count in self._choose_queues(service, stage, len(numbers)):
            owners = rank_owners(self._exchange.peers, service, scope)
            if not owners:
                raise self._rejection_error(
                    ErrorKind.NO_TARGET, "no instance owns the queue"
                )
            assigned, numbers = set(numbers[:count]), numbers[count:]
            self._submissions.append(
                _Submission(stage, owners[0], scope, assigned, self._round)
            )

    def _send(self, submission: _Submission) -> None:
        at = now()
        remaining = self._deadline_at - at - self._plan.after_seconds(submission.stage)
        # Sent on, pieces whose inputs have expired take a call only to learn that.
        remaining = min(remaining, self._inputs_expire_at(submission.stage) - at)
        if remaining <= 0:
            raise self._rejection_error(
                ErrorKind.DEADLINE_INFEASIBLE, "the stages are too late"
            )
        if submission.unacknowledged > _MAX_UNACKNOWLEDGED:
            self._abandon_owner(submission)
            return
        stage = self._route.stages[submission.stage]
        inputs = [
            self._results_by_stage[number][piece]
            for number in self._plan.predecessors(submission.stage)
            for piece in sorted(self._results_by_stage[number])
        ]
        message = Submit(
            request=self._head.id,
            stage=submission.stage,
            service=stage.service,
            numbers=sorted(submission.missing),
            key="" if inputs else self._head.piece_key,
            inputs=inputs,
            urgency=self._urgency,
            has_started=bool(self._results_by_stage),
            result_bytes=stage.result_bytes,
            input_bytes=self._input_bytes(submission.stage),
            zone=self._plan.zone,
            objective=self._plan.objective_at(submission.stage) - at,
            remaining=remaining,
            round=submission.round,
            fingerprint=self._fingerprint,
        )
        submission.unacknowledged += 1
        submission.next_at = at + _ACK_LIMIT_S
        self._owners.add(submission.owner)
        self._exchange.send(submission.owner, message)

    def _inputs_expire_at(self, stage: int) -> float:
        """When the first of a stage's inputs expires at its maker."""
        expiry_times = [
            self._expires_at_by_stage.get(number, float("inf"))
            for number in self._plan.predecessors(stage)
        ]
        return min(expiry_times, default=float("inf"))

    def _input_bytes(self, stage: int) -> int:
        return sum(
            self._route.stages[n].result_bytes * self._plan.pieces[n]
            for n in self._plan.predecessors(stage)
        )

    def _abandon_owner(self, submission: _Submission) -> None:
        # The owner has died, is cut off or stands still; its successor makes the
        # pieces again if they were made at all.
        self._logger.warning(
            "owner_silent",
            request=self._head.id,
            owner=submission.owner,
            stage=submission.stage,
        )
        self._exchange.peers.suspect(submission.owner)
        self._submissions.remove(submission)
        if self._has_released_inputs(submission.stage):
            self._start_round()
            self._discard_inputs(submission.stage)

    def _receive(self) -> None:
        wait = self._next_event() - now()
        try:
            message = self._inbox.get(timeout=max(0.0, wait))
        except Empty:
            return
        if isinstance(message, Accepted):
            self._handle_acknowledgement(message)
        elif isinstance(message, Started):
            self._handle_started(message)
        else:
            self._handle_results(message)

    def _handle_acknowledgement(self, message: Accepted) -> None:
        for submission in self._submissions:
            matches = (submission.stage, submission.round) == (
                message.stage,
                message.round,
            )
            if matches and message.number in submission.missing:
                self._record_response(submission)

    def _handle_started(self, message: Started) -> None:
        if message.round == self._round:
            self._fetched_by_stage.setdefault(message.stage, set()).update(
                message.numbers
            )
            self._release_fetched()

    def _record_response(self, submission: _Submission) -> None:
        submission.unacknowledged = 0
        submission.next_at = now() + _REFRESH_S

    def _next_event(self) -> float:
        times = [submission.next_at for submission in self._submissions]
        if len(self._submissions) < len(self._plan.needed):
            times.append(now() + _ACK_LIMIT_S)
        return min([*times, self._deadline_at])

    def _handle_results(self, message: Results) -> None:
        failed: list[tuple[_Submission, PieceFailure | None]] = []
        for done in message.done:
            submission = self._find(message, done.number)
            if submission is None:
                self._release_duplicate(message.stage, done)
                continue
            self._record_response(submission)
            self._store_outcome(submission, done)
            if not done.handle:
                failed.append((submission, done.reason))
        if failed:
            self._handle_failure(*failed[0])
        if self._stage_is_done(message.stage):
            self._plan.record_stage_done(now())
            self._finished_at_by_stage[message.stage] = now()
            self._release_fetched()

    def _store_outcome(self, submission: _Submission, done: PieceOutcome) -> None:
        submission.missing.discard(done.number)
        if not submission.missing:
            self._submissions.remove(submission)
        if done.handle:
            service = self._route.stages[submission.stage].service
            results = self._results_by_stage.setdefault(submission.stage, {})
            results[done.number] = done.handle
            expires_at = now() + self._ttl_seconds(service)
            self._expires_at_by_stage.setdefault(submission.stage, expires_at)
            self._location_by_handle[done.handle] = _ResultLocation(
                submission.owner, service, submission.scope
            )

    def _find(self, message: Results, number: int) -> _Submission | None:
        for submission in self._submissions:
            matches = (submission.stage, submission.round) == (
                message.stage,
                message.round,
            )
            if matches and number in submission.missing:
                return submission
        return None

    def _release_duplicate(self, stage: int, done: PieceOutcome) -> None:
        results = self._results_by_stage.get(stage, {})
        if not done.handle or done.handle in results.values():
            return
        # Made a second time, after its first owner had fallen silent.
        release = Release(self._route.stages[stage].service, [done.handle])
        for owner in self._owners:
            self._exchange.send(owner, release)

    def _handle_failure(
        self, submission: _Submission, reason: PieceFailure | None
    ) -> None:
        if reason is PieceFailure.LATE:
            raise self._rejection_error(
                ErrorKind.DEADLINE_INFEASIBLE, "a stage was too late"
            )
        if reason is PieceFailure.MOVED:
            return
        if reason is PieceFailure.NO_TARGET:
            service = self._route.stages[submission.stage].service
            self._plan.avoid(service, submission.scope, now())
            eventlet.sleep(_NO_TARGET_PAUSE_S)
            return
        self._failures += 1
        if self._failures > _MAX_FAILURES:
            raise self._rejection_error(
                ErrorKind.NO_TARGET, f"a stage failed: {reason}"
            )
        self._logger.info(
            "stage_again",
            request=self._head.id,
            stage=submission.stage,
            owner=submission.owner,
            reason=reason,
        )
        self._start_round()
        if reason is PieceFailure.GONE:
            # So are the inputs of its other pieces that still wait.
            self._submissions = [
                o for o in self._submissions if o.stage != submission.stage
            ]
            self._discard_inputs(submission.stage)
        elif self._has_released_inputs(submission.stage):
            self._discard_inputs(submission.stage)
        eventlet.sleep(_RETRY_PAUSE_S * self._failures)

    def _start_round(self) -> None:
        self._round += 1
        self._fetched_by_stage.clear()

    def _has_released_inputs(self, stage: int) -> bool:
        return any(
            handle not in self._location_by_handle
            for number in self._plan.predecessors(stage)
            for handle in self._results_by_stage.get(number, {}).values()
        )

    def _discard_inputs(self, stage: int) -> None:
        """Have the stages before a stage done anew, as far back as it takes.

        A result went with its maker, or was given up once it had been fetched. A stage
        whose own inputs were given up can't be done anew either; sent with their old
        handles, its pieces would take a call at each stage only to learn that.
        """
        for number in self._plan.predecessors(stage):
            self._submissions = [o for o in self._submissions if o.stage != number]
            if self._has_released_inputs(number):
                self._discard_inputs(number)
            handles = self._results_by_stage.pop(number, {}).values()
            self._expires_at_by_stage.pop(number, None)
            self._release_handles(list(handles))

    def _release_fetched(self) -> None:
        """Give up results that all their followers have fetched."""
        for stage in self._plan.needed:
            followers = self._plan.followers(stage)
            if followers and all(self._has_fetched(s) for s in followers):
                handles = self._results_by_stage.get(stage, {}).values()
                self._release_handles(list(handles))

    def _has_fetched(self, stage: int) -> bool:
        results = set(self._results_by_stage.get(stage, ()))
        started = self._fetched_by_stage.get(stage, set())
        return len(results | started) >= self._plan.pieces[stage]

    def _release_handles(self, handles: list[str]) -> None:
        by_location: dict[_ResultLocation, list[str]] = {}
        for handle in handles:
            location = self._location_by_handle.pop(handle, None)
            if location is not None:
                by_location.setdefault(location, []).append(handle)
        for location, group in by_location.items():
            message = Release(location.service, group)
            self._exchange.release(location.owner, location.scope, message)

    def _rejection_error(self, kind: ErrorKind, detail: str) -> RequestError:
        remaining = max(0.0, self._deadline_at - now())
        return RequestError(
            kind, detail, ran=Ran.NO, retry_after=remaining * random.uniform(0.1, 0.3)
        )
