"""Calls one stage of a pipeline, with retries and hedges within their budgets."""

from typing import NamedTuple

import eventlet
from eventlet.queue import LightQueue

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_daemon.admission import Need
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
        model: Model needed, or an empty string.
        path: Path at the target.
        body: What to post.
        prefix: Start of the prompt, for cache affinity.
        later_kinds: Kinds of the stages after this one.
    """

    kind: str
    model: str
    path: str
    body: bytes
    prefix: str = ""
    later_kinds: tuple[str, ...] = ()


class _Attempt:
    """One call of a race: its green thread, target and result."""

    def __init__(self, what: str) -> None:
        self.what = what
        self.target_id = ""
        self.reply: bytes = b""
        self.error: Exception | None = None


class StageCaller:
    """Calls stages.

    Args:
        settings: The daemon's settings.
        pools: Gives places at targets.
        connections: Connections to targets.
        times: Measured costs in time.
        costs: Counts calls.
        decisions: The decision log.
    """

    def __init__(
        self,
        settings: Settings,
        pools: Pools,
        connections: Connections,
        times: StageLatencies,
        costs: Costs,
        decisions: DecisionLog,
    ) -> None:
        self._settings = settings
        self._pools = pools
        self._connections = connections
        self._times = times
        self._costs = costs
        self._decisions = decisions
        self._retries = RetryBudget(settings.limits.retry_percent)
        self._hedges = RetryBudget(settings.limits.hedge_percent)

    def call(self, request: Request, stage: Stage) -> bytes:
        """Call a repeatable stage until it answers or the request is given up.

        Raises:
            RequestError: If there is no answer.
        """
        self.count_first_call(request, stage)
        what = FIRST
        failed: frozenset[str] = frozenset()
        while True:
            attempt = self._race(request, stage, what, failed)
            if attempt.error is None:
                return attempt.reply
            failed |= {attempt.target_id}
            what = self.decide_retry(request, stage, attempt.error)

    def count_first_call(self, request: Request, stage: Stage) -> None:
        """Count the plain call of a stage, which refills the budgets."""
        self._retries.count_call(request.team.name, stage.kind)
        self._hedges.count_call(request.team.name, stage.kind)

    def call_requirements(
        self, request: Request, stage: Stage, exclude: frozenset[str]
    ) -> Need:
        """Say what a call of a stage needs of a target."""
        kinds = (stage.kind, *stage.later_kinds)
        return Need(
            request=request.id,
            team=request.team,
            kind=stage.kind,
            model=stage.model,
            prefix=stage.prefix,
            deadline=request.deadline,
            ahead=self._times.total(request.name, kinds),
            ran=request.ran,
            exclude=exclude,
        )

    def decide_retry(self, request: Request, stage: Stage, error: Exception) -> str:
        """Allow one more call after an error, or give the request up.

        Returns:
            What kind of call the next one is.

        Raises:
            RequestError: If the request is given up.
        """
        if isinstance(error, RequestError):
            raise error
        if isinstance(error, PlaceLostError):
            self._decisions.record(request.id, "place lost", "", str(error))
            return FIRST
        if request.remaining <= 0:
            detail = f"{stage.kind}: deadline passed, last {error}"
            raise RequestError(ErrorKind.DEADLINE_PASSED, detail, ran=request.ran)
        if not self._retries.take(request.team.name, stage.kind):
            detail = f"{stage.kind}: {error}; retry budget is used up"
            raise RequestError(ErrorKind.TARGET_FAILED, detail, ran=request.ran)
        self._decisions.record(request.id, "retry", stage.kind, str(error))
        return RETRY

    def acquire(self, request: Request, stage: Stage, failed: frozenset[str]) -> Slot:
        """Wait for a place, also at targets that failed if there is no other."""
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
        """Describe one attempt that may take some seconds."""
        seconds = slot.limit_time(min(limit, request.remaining))
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
        """Whom a stage's cost is counted for."""
        return CostKey(request.team.name, request.name, stage.kind)

    def _race(
        self, request: Request, stage: Stage, what: str, failed: frozenset[str]
    ) -> _Attempt:
        """Run one attempt, and a second one beside it if the first is slow."""
        finished: LightQueue = LightQueue()
        first = _Attempt(what)
        threads = [
            eventlet.spawn(self._run, request, stage, first, failed, finished),
        ]
        try:
            winner = self._next(finished, self._hedge_delay(request, stage))
            if winner is None and self._may_hedge(request, stage, first):
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

    def _next(self, finished: LightQueue, delay: float | None) -> _Attempt | None:
        try:
            return finished.get(timeout=delay)
        except eventlet.queue.Empty:
            return None

    def _hedge_delay(self, request: Request, stage: Stage) -> float | None:
        usual = self._times.of(request.name, stage.kind).careful
        if usual == 0.0:
            return None
        return max(_MIN_HEDGE_DELAY, _HEDGE_FACTOR * usual)

    def _may_hedge(self, request: Request, stage: Stage, first: _Attempt) -> bool:
        if not first.target_id:
            return False
        if not self._hedges.take(request.team.name, stage.kind):
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
        later = self._times.total(request.name, stage.later_kinds)
        limit = self._times.attempt_limit(
            request.name, stage.kind, request.remaining - later
        )

        def guard() -> None:
            slot.check_before_send()
            request.mark_sent()
            self._costs.count_call(key, attempt.what)

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
        self._times.record(request.name, stage.kind, slot.elapsed())
        self._costs.count_seconds(key, slot.elapsed())
        slot.finish()
        return reply.body
