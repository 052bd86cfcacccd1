"""Gives each call a place at a target, or a refusal at once."""

import math

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_daemon.admission import ADMISSION_POLICIES, Need
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.fair_queue import FairQueue, Waiter
from bergamotsaddle_daemon.permits import Permit, PermitClient
from bergamotsaddle_daemon.routing import ROUTING_POLICIES, Choice, RoutingRequest
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets
from bergamotsaddle_daemon.views import Views

_COLD_RETRY = 0.1
_DISPATCH_PAUSE = 0.05
_FRESH_WAIT = 0.5
_LATENCY_WEIGHT = 0.05
_FIRST_BYTE_FACTOR = 4.0
_MIN_FIRST_BYTE = 0.25


class Slot:
    """A place at a target for one call; end it exactly once.

    Args:
        pools: Where it came from.
        pool: The calls of the same kind and model.
        target: The target.
        permit: Permit of a cold target, else None.
    """

    def __init__(
        self, pools: "Pools", pool: "_Pool", target: Target, permit: Permit | None
    ) -> None:
        self._pools = pools
        self._pool = pool
        self._began_at = now()
        self._heard = False
        self._is_sent = False
        self.target = target
        self.permit = permit
        target.begin()

    def check_before_send(self) -> None:
        """Make sure that the target may still get the call.

        The process may have been paused after the choice. The target may have
        turned cold or its zone may have been taken out meanwhile; the call would
        then overload it or arrive after the zone was emptied. This runs right
        before the first byte is sent.

        Raises:
            PlaceLostError: If the place is no longer good.
        """
        if self.permit is not None and now() >= self.permit.expires_at:
            raise PlaceLostError("the permit ran out before the call")
        if self.permit is None and self.target.is_cold():
            raise PlaceLostError("the target turned cold")
        if not self._pools.targets.accepts_new_work(self.target):
            raise PlaceLostError("the target gets no new work any more")
        self._is_sent = True

    def elapsed(self) -> float:
        """Seconds since the call began."""
        return now() - self._began_at

    def first_byte_timeout(self) -> float:
        """Seconds to wait for the first byte before trying elsewhere."""
        if self._pool.first_byte == 0.0:
            return math.inf
        return max(_MIN_FIRST_BYTE, _FIRST_BYTE_FACTOR * self._pool.first_byte)

    def limit_time(self, seconds: float) -> float:
        """Shorten a time limit so that the call ends before its permit does."""
        if self.permit is None:
            return seconds
        return min(seconds, self.permit.expires_at - now())

    def may_still_run(self) -> bool:
        """Tell whether the target may go on working on the call.

        Closing the connection doesn't stop every target. The permit of a call that
        was given up is therefore not returned: its home counts it until it has run
        out and a report proves its end.
        """
        return self._is_sent

    def record_response_data(self) -> None:
        """The target sent some of its answer."""
        self.target.answered_at = now()
        if self._heard:
            return
        self._heard = True
        self.target.record_first_byte(self.elapsed(), self._pool.first_byte)
        self._pool.learn_first_byte(self.elapsed())

    def finish(self) -> None:
        """The target answered."""
        self.record_response_data()
        self.target.finish()
        self._is_sent = False
        self._pools.release(self, self.elapsed())

    def fail(self, error: TargetError) -> None:
        """The target failed."""
        usual = self._pool.first_byte
        self.target.fail(self._began_at, usual, timed_out=error.timed_out)
        self._pools.release(self, None)

    def abandon(self) -> None:
        """The call was given up without the target's fault."""
        self.target.abandon()
        self._pools.release(self, None)


class _Pool:
    """The calls waiting for one kind and model, and how long calls take there."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.latency = 0.0
        self.first_byte = 0.0

    def learn(self, latency: float) -> None:
        if self.latency == 0.0:
            self.latency = latency
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)

    def learn_first_byte(self, latency: float) -> None:
        if self.first_byte == 0.0:
            self.first_byte = latency
        # One target's slowness must not make the others' look usual.
        bounded = min(latency, 2.0 * self.first_byte)
        self.first_byte += _LATENCY_WEIGHT * (bounded - self.first_byte)


class Pools:
    """All waiting calls and the choice of a target for each.

    Args:
        settings: The daemon's settings.
        views: Whether the views are fresh.
        targets: The targets to choose from.
        permits: Grants places at cold targets.
        decisions: Gets a line for each choice.
    """

    def __init__(
        self,
        settings: Settings,
        views: Views,
        targets: Targets,
        permits: PermitClient,
        decisions: DecisionLog,
    ) -> None:
        self._settings = settings
        self._views = views
        self.targets = targets
        self._permits = permits
        self._decisions = decisions
        self._policy = ROUTING_POLICIES.by_name[settings.policies.routing]()
        self._admission = ADMISSION_POLICIES.by_name[settings.policies.admission]()
        self._pool_by_need: dict[tuple[str, str], _Pool] = {}
        self._has_waiting = Event()

    def count_waiting(self) -> int:
        """Number of calls that wait."""
        return sum(len(pool.queue) for pool in self._pool_by_need.values())

    def check_admission(self, need: Need) -> float:
        """Refuse a request that would wait too long at one of its stages.

        Returns:
            Seconds that it is expected to wait.

        Raises:
            RequestError: If it is not expected to make its deadline.
        """
        wait = self._expected_wait(need)
        is_first = not self._pool(need).queue.has_waiting(need.team)
        self._admission.check(need, wait, is_first=is_first)
        return wait

    def acquire(self, need: Need) -> Slot:
        """Wait for a place at a target.

        Raises:
            RequestError: If no target may get the call or its wait would be too long.
        """
        self._views.wait_until_fresh(min(_FRESH_WAIT, max(0.0, need.slack)))
        pool = self._pool(need)
        if not len(pool.queue):
            slot = self._try_warm(need) or self._try_cold(need)
            if slot is not None:
                return slot
        self._check_queue(need, pool)
        return self._wait(need, pool)

    def release(self, slot: Slot, latency: float | None) -> None:
        """Take a place back and hand it to who waits for it."""
        if slot.permit is not None and not slot.may_still_run():
            self._permits.release(slot.permit)
        declared = slot.target.declared
        for (kind, model), pool in self._pool_by_need.items():
            if kind != declared.kind or (model and model not in declared.models):
                continue
            if latency is not None:
                pool.learn(latency)
            self._dispatch(pool)

    def dispatch_forever(self) -> None:
        """Serve waiting calls also when room appears without a call ending."""
        while True:
            if not self.count_waiting():
                self._has_waiting.wait()
            eventlet.sleep(_DISPATCH_PAUSE)
            for pool in list(self._pool_by_need.values()):
                self._dispatch(pool)

    def _pool(self, need: Need) -> _Pool:
        return self._pool_by_need.setdefault((need.kind, need.model), _Pool())

    def _candidates(self, need: Need) -> list[Target]:
        return [
            target
            for target in self.targets.by_kind.get(need.kind, ())
            if target.id not in need.exclude
            and target.serves(need.model)
            and self._permits.can_use(target)
            and self.targets.accepts_new_work(target)
        ]

    def _usable(self, need: Need) -> list[Target]:
        allowed = self._candidates(need)
        if not allowed:
            detail = f"no {need.kind} target is in service"
            raise RequestError(ErrorKind.NO_TARGET, detail, ran=need.ran)
        usable = [target for target in allowed if not target.is_backing_off()]
        if not usable:
            detail = f"every {need.kind} target has just failed"
            raise RequestError(ErrorKind.NO_TARGET, detail, ran=need.ran)
        # If all of them are slow none stands out, and slow ones beat none.
        return [target for target in usable if not target.is_slow()] or usable

    def _has_room(self, target: Target) -> bool:
        room = target.limit.value * self.targets.ramp_fraction(target.declared.zone)
        return target.in_flight < max(1.0, room)

    def _try_warm(self, need: Need) -> Slot | None:
        usable = self._usable(need)
        free = [t for t in usable if not t.is_cold() and self._has_room(t)]
        if not free:
            return None
        request = RoutingRequest(self._settings.daemon.zone, need.prefix)
        choice: Choice = self._policy(free, request)
        self._decisions.record(
            need.request, "route", choice.target.id, choice.reason, len(free)
        )
        return Slot(self, self._pool(need), choice.target, None)

    def _try_cold(self, need: Need) -> Slot | None:
        cold = [
            target
            for target in self._usable(need)
            if target.is_cold() and now() >= target.permit_refused_until
        ]
        cold.sort(key=lambda t: (t.declared.zone != self._settings.daemon.zone, t.id))
        for target in cold:
            permit, reason = self._permits.request(target, need.deadline - now())
            self._decisions.record(
                need.request, "permit", target.id if permit else "", reason, len(cold)
            )
            if permit is not None:
                return Slot(self, self._pool(need), target, permit)
            target.permit_refused_until = now() + _COLD_RETRY
        return None

    def _expected_wait(self, need: Need) -> float:
        pool = self._pool(need)
        before = pool.queue.before(need.team)
        if not before:
            return 0.0
        usable = [t for t in self._candidates(need) if not t.is_cold()]
        room = sum(min(t.limit.value, t.declared.limit) for t in usable)
        return (before + 1) * pool.latency / max(1.0, room)

    def _check_queue(self, need: Need, pool: _Pool) -> None:
        wait = self.check_admission(need)
        if len(pool.queue) >= self._settings.limits.queue:
            detail = f"{len(pool.queue)} calls already wait for {need.kind}"
            raise RequestError(
                ErrorKind.OVERLOADED, detail, ran=need.ran, retry_after=max(0.1, wait)
            )

    def _wait(self, need: Need, pool: _Pool) -> Slot:
        waiter = Waiter(need)
        is_first = not pool.queue.has_waiting(need.team)
        give_up_at = self._admission.give_up_at(need, is_first=is_first)
        pool.queue.push(need.team, waiter)
        has_waiting, self._has_waiting = self._has_waiting, Event()
        has_waiting.send()
        try:
            while waiter.result is None and now() < give_up_at:
                step = min(_COLD_RETRY, give_up_at - now())
                waiter.decided.wait(timeout=step)
                if waiter.result is None:
                    slot = self._try_cold(need)
                    if slot is not None and waiter.result is None:
                        return slot
                    if slot is not None:
                        slot.abandon()
        except BaseException:
            # Killed, as when a hedge has won, just after a place was handed over.
            # Nobody else knows of that place; the target would lose it for good.
            if isinstance(waiter.result, Slot):
                waiter.result.abandon()
            raise
        finally:
            pool.queue.drop(waiter)
        if waiter.result is None:
            detail = f"no place at a {need.kind} target in time"
            raise RequestError(ErrorKind.DEADLINE_INFEASIBLE, detail, ran=need.ran)
        if isinstance(waiter.result, RequestError):
            raise waiter.result
        return waiter.result

    def _dispatch(self, pool: _Pool) -> None:
        while (entry := pool.queue.pop()) is not None:
            try:
                slot = self._try_warm(entry.waiter.need)
            except RequestError as error:
                entry.waiter.gone = True
                entry.waiter.decide(error)
                continue
            if slot is None:
                pool.queue.push_back(entry)
                return
            pool.queue.serve(entry)
            entry.waiter.gone = True
            entry.waiter.decide(slot)
