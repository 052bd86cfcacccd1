"""Calls single stages of pipelines, with retries and hedges within their budgets."""

from typing import NamedTuple

import eventlet
from eventlet.queue import LightQueue

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_daemon.admission import CallRequirements
from bergamotsaddle_daemon.calls import Call, Connections
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.costs import FIRST, HEDGE, RETRY, CostKey, Costs
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.pools import Pools, Slot
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.retries import RetryBudget
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.stage_latencies import StageLatencies

_HEDGE_FACTOR = 2.0
_MIN_HEDGE_DELAY = 0.05
_OK = 200


class Stage(NamedTuple):
    """One stage of a request.

    Attributes:
        kind: Kind of target.
        model: Model the target must serve, or an empty string for any target.
        path: URL path at the target.
        body: Body of the call.
        prefix: Start of the prompt, for prefix cache affinity.
        later_kinds: Kinds of the stages after this one.
    """

    kind: str
    model: str
    path: str
    body: bytes
    prefix: str = ""
    later_kinds: tuple[str, ...] = ()


class _Attempt:
    """One call of a stage, which may race against a hedge.

    Attributes:
        attempt_type: ``first``, ``retry`` or ``hedge``.
        target_id: Id of the target, or an empty string until one is assigned.
        reply: Body of the response.
        error: The error, or None if the call succeeded.
    """

    def __init__(self, attempt_type: str) -> None:
        self.attempt_type = attempt_type
        self.target_id = ""
        self.reply: bytes = b""
        self.error: Exception | None = None


class StageCaller:
    """Calls stages and decides on retries and hedges.

    Args:
        settings: The daemon's settings.
        pools: Assigns slots at targets.
        connections: Connections to targets.
        latencies: Measured latencies of stages.
        costs: Counts calls.
        decisions: The decision log.
    """

    def __init__(
        self,
        settings: Settings,
        pools: Pools,
        connections: Connections,
        latencies: StageLatencies,
        costs: Costs,
        decisions: DecisionLog,
    ) -> None:
        self._settings = settings
        self._pools = pools
        self._connections = connections
        self._latencies = latencies
        self._costs = costs
        self._decisions = decisions
        self._retries = RetryBudget(settings.limits.retry_percent)
        self._hedges = RetryBudget(settings.limits.hedge_percent)

    def call(self, request: Request, stage: Stage) -> bytes:
        """Call a repeatable stage until it succeeds or no retry is allowed.

        Returns:
            The body of the response.

        Raises:
            RequestError: If no call succeeded.
        """
        self.count_first_call(request, stage)
        attempt_type = FIRST
        failed: frozenset[str] = frozenset()
        while True:
            attempt = self._race(request, stage, attempt_type, failed)
            if attempt.error is None:
                return attempt.reply
            failed |= {attempt.target_id}
            attempt_type = self.decide_retry(request, stage, attempt.error)

    def count_first_call(self, request: Request, stage: Stage) -> None:
        """Count the first call of a stage, which refills the budgets."""
        self._retries.count_call(request.team.name, stage.kind)
        self._hedges.count_call(request.team.name, stage.kind)

    def call_requirements(
        self, request: Request, stage: Stage, exclude: frozenset[str]
    ) -> CallRequirements:
        """Return the requirements of a call of a stage."""
        kinds = (stage.kind, *stage.later_kinds)
        return CallRequirements(
            request=request.id,
            team=request.team,
            kind=stage.kind,
            model=stage.model,
            prefix=stage.prefix,
            deadline=request.deadline,
            expected_seconds=self._latencies.total(request.name, kinds),
            ran=request.ran,
            exclude=exclude,
        )

    def decide_retry(self, request: Request, stage: Stage, error: Exception) -> str:
        """Allow another call after an error, or fail the request.

        Returns:
            The type of the next call, ``first`` or ``retry``.

        Raises:
            RequestError: If no other call is allowed.
        """
        if isinstance(error, RequestError):
            raise error
        if isinstance(error, PlaceLostError):
            self._decisions.record(request.id, "place lost", "", str(error))
            return FIRST
        if request.remaining <= 0:
            detail = f"{stage.kind}: deadline passed, last {error}"
            raise RequestError(ErrorKind.DEADLINE_PASSED, detail, ran=request.ran)
        if not self._retries.try_spend(request.team.name, stage.kind):
            detail = f"{stage.kind}: {error}; retry budget is used up"
            raise RequestError(ErrorKind.TARGET_FAILED, detail, ran=request.ran)
        self._decisions.record(request.id, "retry", stage.kind, str(error))
        return RETRY

    def acquire(self, request: Request, stage: Stage, failed: frozenset[str]) -> Slot:
        """Wait for a slot, at a target that failed before only if there is no other."""
        try:
            return self._pools.acquire(self.call_requirements(request, stage, failed))
        except RequestError as error:
            if not failed or error.kind is not ErrorKind.NO_TARGET:
                raise
            return self._pools.acquire(
                self.call_requirements(request, stage, frozenset())
            )

    def make_call(
        self, request: Request, stage: Stage, slot: Slot, limit: float
    ) -> Call:
        """Build the call of one attempt.

        Args:
            request: The request.
            stage: The stage to call.
            slot: The slot at the target.
            limit: Seconds that the attempt may take; the deadline of the request and
                the expiry of a permit may shorten it.
        """
        seconds = slot.cap_timeout(min(limit, request.remaining))
        return Call(
            request=request.id,
            stage=f"{stage.kind}.{self._connections.next_attempt_number()}",
            path=stage.path,
            body=stage.body,
            deadline=now() + seconds,
            connect_timeout=self._settings.timing.connect,
            priority=request.priority,
            headers={},
        )

    def cost_key(self, request: Request, stage: Stage) -> CostKey:
        """Return the key under which the cost of a stage is counted."""
        return CostKey(request.team.name, request.name, stage.kind)

    def _race(
        self, request: Request, stage: Stage, attempt_type: str, failed: frozenset[str]
    ) -> _Attempt:
        """Run one attempt, and a hedge in parallel if it is slow."""
        finished: LightQueue = LightQueue()
        first = _Attempt(attempt_type)
        threads = [
            eventlet.spawn(self._run, request, stage, first, failed, finished),
        ]
        try:
            winner = self._next_finished(finished, self._hedge_delay(request, stage))
            if winner is None and self._try_hedge(request, stage, first):
                second = _Attempt(HEDGE)
                exclude = failed | {first.target_id}
                run = (request, stage, second, exclude, finished)
                threads.append(eventlet.spawn(self._run, *run))
            if winner is None:
                winner = finished.get()
            if winner.error is not None and len(threads) > 1:
                winner = finished.get()
            return winner
        finally:
            for thread in threads:
                thread.kill()

    def _next_finished(
        self, finished: LightQueue, delay: float | None
    ) -> _Attempt | None:
        try:
            return finished.get(timeout=delay)
        except eventlet.queue.Empty:
            return None

    def _hedge_delay(self, request: Request, stage: Stage) -> float | None:
        typical_seconds = self._latencies.of(request.name, stage.kind).upper_estimate
        if typical_seconds == 0.0:
            return None
        return max(_MIN_HEDGE_DELAY, _HEDGE_FACTOR * typical_seconds)

    def _try_hedge(self, request: Request, stage: Stage, first: _Attempt) -> bool:
        if not first.target_id:
            return False
        if not self._hedges.try_spend(request.team.name, stage.kind):
            return False
        reason = f"{first.target_id} is slow"
        self._decisions.record(request.id, "hedge", stage.kind, reason)
        return True

    def _run(
        self,
        request: Request,
        stage: Stage,
        attempt: _Attempt,
        failed: frozenset[str],
        finished: LightQueue,
    ) -> None:
        try:
            attempt.reply = self._attempt(request, stage, attempt, failed)
        except (RequestError, TargetError, PlaceLostError) as error:
            attempt.error = error
        finished.put(attempt)

    def _attempt(
        self,
        request: Request,
        stage: Stage,
        attempt: _Attempt,
        failed: frozenset[str],
    ) -> bytes:
        slot = self.acquire(request, stage, failed)
        address = slot.target.declared.address
        attempt.target_id = slot.target.id
        key = self.cost_key(request, stage)
        later_seconds = self._latencies.total(request.name, stage.later_kinds)
        limit = self._latencies.attempt_timeout(
            request.name, stage.kind, request.remaining - later_seconds
        )

        def guard() -> None:
            slot.check_before_send()
            request.mark_sent()
            self._costs.count_call(key, attempt.attempt_type)

        try:
            call = self.make_call(request, stage, slot, limit)
            reply = self._connections.post(address, call, guard)
            if reply.status != _OK:
                raise TargetError(f"status {reply.status}", sent=True)
        except TargetError as error:
            slot.fail(error)
            self._connections.close_idle(address)
            raise
        except BaseException:
            slot.abandon()
            raise
        self._latencies.record(request.name, stage.kind, slot.elapsed())
        self._costs.count_seconds(key, slot.elapsed())
        slot.finish()
        return reply.body
