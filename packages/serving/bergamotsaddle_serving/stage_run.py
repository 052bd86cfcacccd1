"""Runs the stages of one request through the owners of their queues."""

import random
from collections.abc import Callable, Sequence
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

# An owner acknowledges a submission within a few ms. A submission that was not
# acknowledged within this time is sent again.
_ACK_LIMIT_S = 0.08
# After this many repetitions without an acknowledgement the next owner is used instead.
_MAX_UNACKNOWLEDGED = 2
# An acknowledged submission is repeated at this interval while its pieces are
# outstanding: results lost on the way are sent again, and a dead owner is noticed.
_REFRESH_S = 0.4
# Failures that a request tolerates, over all of its stages.
_MAX_FAILURES = 4
_RETRY_PAUSE_S = 0.03
# Pause after a queue reported that all its targets are backing off. Another queue, or
# the same one later, may still run the stage before the request's deadline.
_NO_TARGET_PAUSE_S = 0.05


class StageOutcome(NamedTuple):
    """Outcome of all stages of a request.

    Attributes:
        handles: Handles of the results that the request itself needs.
        seconds: Total duration of the stages.
        stages: Index, scope, expected and actual seconds of each stage, for logs.
    """

    handles: tuple[str, ...]
    seconds: float
    stages: list[tuple[int, str, float, float]]


class _ResultLocation(NamedTuple):
    """Queue that produced a result.

    Attributes:
        owner: Instance that owned the queue.
        service: Stage service of the queue.
        scope: Zone or region of the queue.
    """

    owner: str
    service: str
    scope: str


class _Submission:
    """Pieces of a stage that were submitted to one owner.

    Args:
        stage: Index of the stage.
        owner: Instance that owns the queue.
        scope: Zone or region of the queue.
        missing: Numbers of the pieces whose outcome is not known yet.
        round_number: Round in which the pieces were submitted.
        inputs: Handles of all results that each of the pieces needs. They stay the same
            however often it is sent, also if the results are discarded meanwhile.
        expires_at: When the first input expires, on the hub's clock.

    Attributes:
        was_received: Whether the owner has responded.
        unacknowledged: Messages sent since the owner last responded.
        next_at: When the submission is sent again.
    """

    def __init__(
        self,
        stage: int,
        owner: str,
        scope: str,
        missing: set[int],
        round_number: int,
        *,
        inputs: Sequence[str],
        expires_at: float,
    ) -> None:
        self.inputs = inputs
        self.expires_at = expires_at
        self.stage = stage
        self.owner = owner
        self.scope = scope
        self.missing = missing
        self.round = round_number
        self.was_received = False
        self.unacknowledged = 0
        self.next_at = 0.0


class StageRun:
    """Runs the stages of one request.

    A round is a generation of attempts: a failure starts a new one, so that messages
    about earlier attempts can be told apart.

    Args:
        head: Head of the request.
        route: Route of the request.
        plan: Queues and expected durations of the stages.
        exchange: Sends messages to the queue owners.
        logger: Logs failures.
        urgency: Urgency of the request, 0 first.
        deadline_at: Time on the hub's clock after which the results are useless.
        choose_queues: Called with a stage service, the index of a stage and the
            number of its pieces; returns scopes, each with a number of pieces.
        pending: Counts the pieces of stages that have not been submitted yet.
        ttl_seconds: Returns how long the targets of a service keep results.
        first_round: First round to use. It must be later than all rounds of an
            earlier run of the same request.
        fingerprint: Fingerprint of the request.
        has_objective: Whether the first event is still due by the objective of the
            route. Once the caller has a part of the stream, only its patience counts.
        team: Team of the request, empty if shares of teams don't apply.
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
        has_objective: bool = True,
        team: str = "",
    ) -> None:
        self._team = team
        self._fingerprint = fingerprint
        self._has_objective = has_objective
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
        # Submissions to silent owners, which may still run their pieces.
        self._abandoned: list[_Submission] = []
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
        """Run all stages.

        Returns:
            Handles of the results and the durations of the stages.

        Raises:
            RequestError: If the stages can't be done in time. The request itself has
                not run.
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
        """First round that another run of the same request's stages may use."""
        return self._round + 1

    def release(self) -> None:
        """Release all remaining results and cancel the outstanding pieces."""
        self._exchange.close_inbox(self._head.id)
        for stage in list(self._pending_by_stage):
            self._remove_pending(stage)
        if self._submissions or self._abandoned:
            for owner in self._owners:
                self._exchange.send(owner, Cancel(self._head.id, self.next_round))
            self._submissions.clear()
            self._abandoned.clear()
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
        """Submit the stages whose inputs are complete, and repeat due submissions."""
        at = now()
        elapsed = self._plan.elapsed(at)
        for stage in self._plan.needed:
            if self._stage_is_done(stage):
                continue
            predecessors = self._plan.predecessors(stage)
            if not all(self._stage_is_done(number) for number in predecessors):
                continue
            if not self._unassigned(stage):
                continue
            done = {s for s in self._plan.needed if self._stage_is_done(s)}
            if self._plan.should_wait(stage, done, elapsed):
                continue
            self._assign(stage)
        for submission in list(self._submissions):
            if submission.next_at <= at:
                self._send(submission)

    def _unassigned(self, stage: int) -> list[int]:
        """Return the pieces of a stage that have no result and are not submitted."""
        results = self._results_by_stage.get(stage, {})
        submitted = {
            number
            for submission in self._submissions
            if submission.stage == stage
            for number in submission.missing
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
        """Choose queues for the unassigned pieces of a stage."""
        self._remove_pending(stage)
        self._started_at_by_stage.setdefault(stage, now())
        service = self._route.stages[stage].service
        numbers = self._unassigned(stage)
        inputs = self._inputs_of(stage)
        expires_at = self._inputs_expire_at(stage)
        for scope, count in self._choose_queues(service, stage, len(numbers)):
            owners = rank_owners(self._exchange.peers, service, scope)
            if not owners:
                raise self._rejection_error(
                    ErrorKind.NO_TARGET, "no instance owns the queue"
                )
            assigned, numbers = set(numbers[:count]), numbers[count:]
            self._submissions.append(
                _Submission(
                    stage,
                    owners[0],
                    scope,
                    assigned,
                    self._round,
                    inputs=inputs,
                    expires_at=expires_at,
                )
            )

    def _inputs_of(self, stage: int) -> list[str]:
        """Return the handles of the results that each piece of a stage needs."""
        return [
            results[piece]
            for number in self._plan.predecessors(stage)
            for results in [self._results_by_stage.get(number, {})]
            for piece in sorted(results)
        ]

    def _send(self, submission: _Submission) -> None:
        """Send a submission, or abandon its owner if it does not respond."""
        at = now()
        remaining = self._deadline_at - at - self._plan.after_seconds(submission.stage)
        # A piece whose inputs have expired would use up a call only to fail.
        remaining = min(remaining, submission.expires_at - at)
        if remaining <= 0:
            raise self._rejection_error(
                ErrorKind.DEADLINE_INFEASIBLE, "the stages are too late"
            )
        if submission.unacknowledged > _MAX_UNACKNOWLEDGED:
            self._abandon_owner(submission)
            return
        stage = self._route.stages[submission.stage]
        inputs = list(submission.inputs)
        objective = remaining
        if self._has_objective:
            objective = self._plan.objective_at(submission.stage) - at
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
            input_count=self._input_count(submission.stage),
            zone=self._plan.zone,
            objective=objective,
            remaining=remaining,
            round=submission.round,
            fingerprint=self._fingerprint,
            team=self._team,
            by_urgency=self._plan.by_urgency,
        )
        submission.unacknowledged += 1
        submission.next_at = at + _ACK_LIMIT_S
        self._owners.add(submission.owner)
        self._exchange.send(submission.owner, message)

    def _inputs_expire_at(self, stage: int) -> float:
        """Return when the first input of a stage expires at its target."""
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

    def _input_count(self, stage: int) -> int:
        return sum(self._plan.pieces[n] for n in self._plan.predecessors(stage))

    def _abandon_owner(self, submission: _Submission) -> None:
        # The owner has died, hangs or is unreachable. The next owner runs the pieces,
        # again if need be.
        self._logger.warning(
            "owner_silent",
            request=self._head.id,
            owner=submission.owner,
            stage=submission.stage,
        )
        self._exchange.peers.suspect(submission.owner)
        self._submissions.remove(submission)
        self._abandoned.append(submission)
        if self._has_released_inputs(submission.stage):
            self._start_round()
            self._discard_inputs(submission.stage)
        self._withdraw_abandoned()

    def _withdraw_abandoned(self) -> None:
        """Cancel pieces at silent owners that can't help any more.

        An owner that was only paused finds the cancellation behind the submission. One
        that has received the pieces may be done with them before its successor.
        """
        busy = {submission.owner for submission in self._submissions}
        for submission in list(self._abandoned):
            is_useful = submission.was_received and not self._stage_is_done(
                submission.stage
            )
            if is_useful or submission.owner in busy:
                continue
            self._abandoned.remove(submission)
            message = Cancel(self._head.id, self.next_round)
            self._exchange.send(submission.owner, message)
            # The owner may come back and get other pieces.
            self._start_round()

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
        submission.was_received = True
        submission.unacknowledged = 0
        submission.next_at = now() + _REFRESH_S

    def _next_event(self) -> float:
        """Return until when to wait for a message."""
        times = [submission.next_at for submission in self._submissions]
        if len(self._submissions) < len(self._plan.needed):
            times.append(now() + _ACK_LIMIT_S)
        return min([*times, self._deadline_at])

    def _handle_results(self, message: Results) -> None:
        failed: list[tuple[_Submission, PieceFailure | None]] = []
        for outcome in message.done:
            submission = self._find(message, outcome.number)
            if submission is None:
                self._release_duplicate(message.stage, outcome)
                continue
            self._record_response(submission)
            self._store_outcome(submission, outcome)
            if not outcome.handle:
                failed.append((submission, outcome.reason))
        if failed:
            self._handle_failure(*failed[0])
        if self._stage_is_done(message.stage):
            self._plan.record_stage_done(now())
            self._finished_at_by_stage[message.stage] = now()
            self._withdraw_abandoned()
            self._release_fetched()

    def _store_outcome(self, submission: _Submission, outcome: PieceOutcome) -> None:
        submission.missing.discard(outcome.number)
        if not submission.missing:
            self._submissions.remove(submission)
        if outcome.handle:
            service = self._route.stages[submission.stage].service
            results = self._results_by_stage.setdefault(submission.stage, {})
            results[outcome.number] = outcome.handle
            expires_at = now() + self._ttl_seconds(service)
            self._expires_at_by_stage.setdefault(submission.stage, expires_at)
            self._location_by_handle[outcome.handle] = _ResultLocation(
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

    def _release_duplicate(self, stage: int, outcome: PieceOutcome) -> None:
        results = self._results_by_stage.get(stage, {})
        if not outcome.handle or outcome.handle in results.values():
            return
        # The piece was run twice, because its first owner stopped responding. Which
        # owner holds this result is not known, so all of them are asked to release it.
        release = Release(self._route.stages[stage].service, [outcome.handle])
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
        if reason is PieceFailure.GONE and self._is_outdated(submission):
            # Its inputs are being made again, or have been.
            self._drop_submissions(submission.stage)
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
            # The inputs of the stage's other outstanding pieces are gone as well.
            self._drop_submissions(submission.stage)
            self._discard_inputs(submission.stage)
        elif self._has_released_inputs(submission.stage):
            self._discard_inputs(submission.stage)
        eventlet.sleep(_RETRY_PAUSE_S * self._failures)

    def _start_round(self) -> None:
        """Start a new round, which makes reports on fetched inputs obsolete."""
        self._round += 1
        self._fetched_by_stage.clear()

    def _is_outdated(self, submission: _Submission) -> bool:
        """Return whether the results that a submission needs have been discarded."""
        return list(submission.inputs) != self._inputs_of(submission.stage)

    def _drop_submissions(self, stage: int) -> None:
        self._submissions = [s for s in self._submissions if s.stage != stage]

    def _has_released_inputs(self, stage: int) -> bool:
        return any(
            handle not in self._location_by_handle
            for number in self._plan.predecessors(stage)
            for handle in self._results_by_stage.get(number, {}).values()
        )

    def _discard_inputs(self, stage: int) -> None:
        """Discard the inputs of a stage, so that its predecessors are run again.

        Inputs are lost with the target that held them, or were released once they had
        been fetched. A predecessor whose own inputs were released can't be run again
        without them either, so this goes back as far as necessary; submitted with the
        old handles, the pieces would use up a call at each stage only to fail.

        Other stages that need the same inputs go on: they may have fetched them.
        """
        for number in self._plan.predecessors(stage):
            self._drop_submissions(number)
            if self._has_released_inputs(number):
                self._discard_inputs(number)
            handles = self._results_by_stage.pop(number, {}).values()
            self._expires_at_by_stage.pop(number, None)
            self._release_handles(list(handles))

    def _release_fetched(self) -> None:
        """Release the results that all dependent stages have fetched."""
        for stage in self._plan.needed:
            followers = self._plan.followers(stage)
            if followers and all(self._has_fetched(s) for s in followers):
                handles = self._results_by_stage.get(stage, {}).values()
                self._release_handles(list(handles))

    def _has_fetched(self, stage: int) -> bool:
        results = set(self._results_by_stage.get(stage, ()))
        fetched = self._fetched_by_stage.get(stage, set())
        return len(results | fetched) >= self._plan.pieces[stage]

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
