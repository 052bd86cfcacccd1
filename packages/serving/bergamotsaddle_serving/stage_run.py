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
_FAILURE_PAUSE_S = 0.03
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


class _Place(NamedTuple):
    """Where a result was made."""

    owner: str
    service: str
    scope: str


class _Open:
    """A stage of the request that is being done."""

    def __init__(
        self, number: int, owner: str, scope: str, missing: set[int], turn: int
    ) -> None:
        self.number = number
        self.owner = owner
        self.scope = scope
        self.missing = missing
        self.round = turn
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
        self._spread = choose_queues
        self._inbox = exchange.open(head.id)
        self._open: list[_Open] = []
        self._results_by_stage: dict[int, dict[int, str]] = {}
        self._place_by_handle: dict[str, _Place] = {}
        self._owners: set[str] = set()
        self._failures = 0
        self._round = first_round
        self._coming = pending
        self._keep_seconds = ttl_seconds
        self._announced: dict[int, int] = {}
        self._started_by_stage: dict[int, set[int]] = {}
        self._begun_by_stage: dict[int, float] = {}
        self._ended_by_stage: dict[int, float] = {}
        self._expires_by_stage: dict[int, float] = {}

    def run(self) -> StageOutcome:
        """Have all stages done.

        Raises:
            RequestError: If they can't be done in time; the request has not run.
        """
        began_at = now()
        self._announce()
        while not self._is_done():
            self._submit_ready()
            self._receive()
        self._release_inner()
        handles = [
            self._results_by_stage[stage][number]
            for stage in self._plan.sinks
            for number in sorted(self._results_by_stage.get(stage, ()))
        ]
        return StageOutcome(tuple(handles), now() - began_at, self._times())

    def _times(self) -> list[tuple[int, str, float, float]]:
        return [
            (
                stage,
                self._plan.scope_by_stage[stage],
                round(self._plan.seconds[stage], 3),
                round(self._ended_by_stage[stage] - self._begun_by_stage[stage], 3),
            )
            for stage in self._plan.needed
        ]

    @property
    def next_round(self) -> int:
        """First round that a further run of the same request's stages may use."""
        return self._round + 1

    def release(self) -> None:
        """Give up all results that are left, and whatever still waits."""
        self._exchange.close(self._head.id)
        for stage in list(self._announced):
            self._arrive(stage)
        if self._open:
            for owner in self._owners:
                self._exchange.send(owner, Cancel(self._head.id))
            self._open.clear()
        self._release_handles(list(self._place_by_handle))

    def _is_done(self) -> bool:
        return all(
            len(self._results_by_stage.get(stage, ())) >= self._plan.pieces[stage]
            for stage in self._plan.needed
        )

    def _stage_is_done(self, stage: int) -> bool:
        done = len(self._results_by_stage.get(stage, ()))
        return done >= self._plan.pieces[stage]

    def _submit_ready(self) -> None:
        moment = now()
        elapsed = self._plan.elapsed(moment)
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
        for opened in list(self._open):
            if opened.next_at <= moment:
                self._send(opened)

    def _unassigned(self, stage: int) -> list[int]:
        held = self._results_by_stage.get(stage, {})
        taken = {n for o in self._open if o.number == stage for n in o.missing}
        numbers = range(self._plan.pieces[stage])
        return [n for n in numbers if n not in held and n not in taken]

    def _announce(self) -> None:
        for stage in self._plan.needed:
            self._announced[stage] = self._plan.pieces[stage]
            self._count_coming(stage, self._plan.pieces[stage])

    def _arrive(self, stage: int) -> None:
        self._count_coming(stage, -self._announced.pop(stage, 0))

    def _count_coming(self, stage: int, pieces: int) -> None:
        if pieces:
            service = self._route.stages[stage].service
            scope = self._plan.scope_by_stage[stage]
            self._coming.add(service, scope, self._urgency, pieces)

    def _assign(self, stage: int) -> None:
        self._arrive(stage)
        self._begun_by_stage.setdefault(stage, now())
        service = self._route.stages[stage].service
        numbers = self._unassigned(stage)
        for scope, count in self._spread(service, stage, len(numbers)):
            owners = rank_owners(self._exchange.peers, service, scope)
            if not owners:
                raise self._refuse(ErrorKind.NO_TARGET, "no instance owns the queue")
            part, numbers = set(numbers[:count]), numbers[count:]
            self._open.append(_Open(stage, owners[0], scope, part, self._round))

    def _send(self, opened: _Open) -> None:
        moment = now()
        remaining = self._deadline_at - moment - self._plan.after_seconds(opened.number)
        # Sent on, pieces whose inputs have expired take a call only to learn that.
        remaining = min(remaining, self._inputs_until(opened.number) - moment)
        if remaining <= 0:
            raise self._refuse(ErrorKind.DEADLINE_INFEASIBLE, "the stages are too late")
        if opened.unacknowledged > _MAX_UNACKNOWLEDGED:
            self._leave(opened)
            return
        stage = self._route.stages[opened.number]
        inputs = [
            self._results_by_stage[number][piece]
            for number in self._plan.predecessors(opened.number)
            for piece in sorted(self._results_by_stage[number])
        ]
        message = Submit(
            request=self._head.id,
            stage=opened.number,
            service=stage.service,
            numbers=sorted(opened.missing),
            key="" if inputs else self._head.piece_key,
            inputs=inputs,
            urgency=self._urgency,
            has_started=bool(self._results_by_stage),
            result_bytes=stage.result_bytes,
            input_bytes=self._input_bytes(opened.number),
            zone=self._plan.zone,
            objective=self._plan.objective_at(opened.number) - moment,
            remaining=remaining,
            round=opened.round,
            fingerprint=self._fingerprint,
        )
        opened.unacknowledged += 1
        opened.next_at = moment + _ACK_LIMIT_S
        self._owners.add(opened.owner)
        self._exchange.send(opened.owner, message)

    def _inputs_until(self, stage: int) -> float:
        """When the first of a stage's inputs expires at its maker."""
        ends = [
            self._expires_by_stage.get(number, float("inf"))
            for number in self._plan.predecessors(stage)
        ]
        return min(ends, default=float("inf"))

    def _input_bytes(self, stage: int) -> int:
        return sum(
            self._route.stages[n].result_bytes * self._plan.pieces[n]
            for n in self._plan.predecessors(stage)
        )

    def _leave(self, opened: _Open) -> None:
        # The owner has died, is cut off or stands still; its successor makes the
        # pieces again if they were made at all.
        self._logger.warning(
            "owner_silent",
            request=self._head.id,
            owner=opened.owner,
            stage=opened.number,
        )
        self._exchange.peers.suspect(opened.owner)
        self._open.remove(opened)
        if self._gave_up_inputs(opened.number):
            self._begin_round()
            self._forget_inputs(opened.number)

    def _receive(self) -> None:
        wait = self._next_event() - now()
        try:
            message = self._inbox.get(timeout=max(0.0, wait))
        except Empty:
            return
        if isinstance(message, Accepted):
            self._take_acknowledgement(message)
        elif isinstance(message, Started):
            self._take_start(message)
        else:
            self._take_results(message)

    def _take_acknowledgement(self, message: Accepted) -> None:
        for opened in self._open:
            is_it = (opened.number, opened.round) == (message.stage, message.round)
            if is_it and message.number in opened.missing:
                self._note_heard(opened)

    def _take_start(self, message: Started) -> None:
        if message.round == self._round:
            self._started_by_stage.setdefault(message.stage, set()).update(
                message.numbers
            )
            self._release_inner()

    def _note_heard(self, opened: _Open) -> None:
        opened.unacknowledged = 0
        opened.next_at = now() + _REFRESH_S

    def _next_event(self) -> float:
        times = [opened.next_at for opened in self._open]
        if len(self._open) < len(self._plan.needed):
            times.append(now() + _ACK_LIMIT_S)
        return min([*times, self._deadline_at])

    def _take_results(self, message: Results) -> None:
        failed: list[tuple[_Open, PieceFailure | None]] = []
        for done in message.done:
            opened = self._find(message, done.number)
            if opened is None:
                self._give_up_extra(message.stage, done)
                continue
            self._note_heard(opened)
            self._close(opened, done)
            if not done.handle:
                failed.append((opened, done.reason))
        if failed:
            self._fail(*failed[0])
        if self._stage_is_done(message.stage):
            self._plan.record_stage_done(now())
            self._ended_by_stage[message.stage] = now()
            self._release_inner()

    def _close(self, opened: _Open, done: PieceOutcome) -> None:
        opened.missing.discard(done.number)
        if not opened.missing:
            self._open.remove(opened)
        if done.handle:
            service = self._route.stages[opened.number].service
            held = self._results_by_stage.setdefault(opened.number, {})
            held[done.number] = done.handle
            expires_at = now() + self._keep_seconds(service)
            self._expires_by_stage.setdefault(opened.number, expires_at)
            self._place_by_handle[done.handle] = _Place(
                opened.owner, service, opened.scope
            )

    def _find(self, message: Results, number: int) -> _Open | None:
        for opened in self._open:
            is_it = (opened.number, opened.round) == (message.stage, message.round)
            if is_it and number in opened.missing:
                return opened
        return None

    def _give_up_extra(self, stage: int, done: PieceOutcome) -> None:
        held = self._results_by_stage.get(stage, {})
        if not done.handle or done.handle in held.values():
            return
        # Made a second time, after its first owner had fallen silent.
        release = Release(self._route.stages[stage].service, [done.handle])
        for owner in self._owners:
            self._exchange.send(owner, release)

    def _fail(self, opened: _Open, reason: PieceFailure | None) -> None:
        if reason is PieceFailure.LATE:
            raise self._refuse(ErrorKind.DEADLINE_INFEASIBLE, "a stage was too late")
        if reason is PieceFailure.MOVED:
            return
        if reason is PieceFailure.NO_TARGET:
            service = self._route.stages[opened.number].service
            self._plan.avoid(service, opened.scope, now())
            eventlet.sleep(_NO_TARGET_PAUSE_S)
            return
        self._failures += 1
        if self._failures > _MAX_FAILURES:
            raise self._refuse(ErrorKind.NO_TARGET, f"a stage failed: {reason}")
        self._logger.info(
            "stage_again",
            request=self._head.id,
            stage=opened.number,
            owner=opened.owner,
            reason=reason,
        )
        self._begin_round()
        if reason is PieceFailure.GONE:
            # So are the inputs of its other pieces that still wait.
            self._open = [o for o in self._open if o.number != opened.number]
            self._forget_inputs(opened.number)
        elif self._gave_up_inputs(opened.number):
            self._forget_inputs(opened.number)
        eventlet.sleep(_FAILURE_PAUSE_S * self._failures)

    def _begin_round(self) -> None:
        self._round += 1
        self._started_by_stage.clear()

    def _gave_up_inputs(self, stage: int) -> bool:
        return any(
            handle not in self._place_by_handle
            for number in self._plan.predecessors(stage)
            for handle in self._results_by_stage.get(number, {}).values()
        )

    def _forget_inputs(self, stage: int) -> None:
        """Have the stages before a stage done anew, as far back as it takes.

        A result went with its maker, or was given up once it had been fetched. A stage
        whose own inputs were given up can't be done anew either; sent with their old
        handles, its pieces would take a call at each stage only to learn that.
        """
        for number in self._plan.predecessors(stage):
            self._open = [o for o in self._open if o.number != number]
            if self._gave_up_inputs(number):
                self._forget_inputs(number)
            handles = self._results_by_stage.pop(number, {}).values()
            self._expires_by_stage.pop(number, None)
            self._release_handles(list(handles))

    def _release_inner(self) -> None:
        """Give up results that all their followers have fetched."""
        for stage in self._plan.needed:
            followers = self._plan.followers(stage)
            if followers and all(self._has_fetched(s) for s in followers):
                handles = self._results_by_stage.get(stage, {}).values()
                self._release_handles(list(handles))

    def _has_fetched(self, stage: int) -> bool:
        held = set(self._results_by_stage.get(stage, ()))
        started = self._started_by_stage.get(stage, set())
        return len(held | started) >= self._plan.pieces[stage]

    def _release_handles(self, handles: list[str]) -> None:
        by_place: dict[_Place, list[str]] = {}
        for handle in handles:
            place = self._place_by_handle.pop(handle, None)
            if place is not None:
                by_place.setdefault(place, []).append(handle)
        for place, group in by_place.items():
            message = Release(place.service, group)
            self._exchange.release(place.owner, place.scope, message)

    def _refuse(self, kind: ErrorKind, detail: str) -> RequestError:
        left = max(0.0, self._deadline_at - now())
        return RequestError(
            kind, detail, ran=Ran.NO, retry_after=left * random.uniform(0.1, 0.3)
        )
