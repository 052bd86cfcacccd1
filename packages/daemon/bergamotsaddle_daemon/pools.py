"""Assigns each call a slot at a target, queues it, or rejects it at once."""

import math

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_daemon.admission import ADMISSION_POLICIES, CallRequirements
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.fair_queue import FairQueue, Waiter
from bergamotsaddle_daemon.permits import Permit, PermitClient
from bergamotsaddle_daemon.routing import ROUTING_POLICIES, Choice, RoutingRequest
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets
from bergamotsaddle_daemon.views import Views

_COLD_RETRY_INTERVAL = 0.1
_DISPATCH_INTERVAL = 0.05
_MAX_FRESH_VIEW_WAIT = 0.5
_LATENCY_WEIGHT = 0.05
_FIRST_BYTE_FACTOR = 4.0
_MIN_FIRST_BYTE_TIMEOUT = 0.25


class Slot:
    """A slot at a target for one call.

    Exactly one of ``finish``, ``fail`` and ``abandon`` must be called at its end.

    Args:
        pools: The pools that the slot returns to.
        pool: The pool of the call's kind and model.
        target: The target.
        permit: The permit if the target is cold, else None.
    """

    def __init__(
        self, pools: "Pools", pool: "_Pool", target: Target, permit: Permit | None
    ) -> None:
        self._pools = pools
        self._pool = pool
        self._started_at = now()
        self._has_response_started = False
        self._is_sent = False
        self.target = target
        self.permit = permit
        target.start_call()

    def check_before_send(self) -> None:
        """Check that the target may still get the call.

        The process may have been paused after the target was chosen. Meanwhile the
        target may have turned cold or its zone may have been taken out, and the call
        would overload the target or arrive after the zone was drained. This check runs
        right before the first byte is sent.

        Raises:
            PlaceLostError: If the slot is no longer valid.
        """
        if self.permit is not None and now() >= self.permit.expires_at:
            raise PlaceLostError("the permit ran out before the call")
        if self.permit is None and self.target.is_cold():
            raise PlaceLostError("the target turned cold")
        if not self._pools.targets.accepts_new_work(self.target):
            raise PlaceLostError("the target gets no new work any more")
        self._is_sent = True

    def elapsed(self) -> float:
        """Return the seconds since the slot was assigned."""
        return now() - self._started_at

    def first_byte_timeout(self) -> float:
        """Return the seconds to wait for the first byte before trying elsewhere.

        There is no limit until a first byte has been received for this kind and model.
        """
        if self._pool.first_byte_latency == 0.0:
            return math.inf
        return max(
            _MIN_FIRST_BYTE_TIMEOUT, _FIRST_BYTE_FACTOR * self._pool.first_byte_latency
        )

    def cap_timeout(self, seconds: float) -> float:
        """Shorten a timeout so that the call ends before its permit expires."""
        if self.permit is None:
            return seconds
        return min(seconds, self.permit.expires_at - now())

    def may_still_run(self) -> bool:
        """Return whether the target may still be working on the call.

        Closing the connection doesn't stop every target. The permit of an abandoned
        call is therefore not returned: the target's home counts it until it has expired
        and a report proves that the call has ended.
        """
        return self._is_sent

    def record_response_data(self) -> None:
        """Record that a part of the response was received."""
        self.target.last_response_at = now()
        if self._has_response_started:
            return
        self._has_response_started = True
        self.target.record_first_byte(self.elapsed(), self._pool.first_byte_latency)
        self._pool.record_first_byte(self.elapsed())

    def finish(self) -> None:
        """Release the slot after the complete response was received."""
        self.record_response_data()
        self.target.finish_call()
        self._is_sent = False
        self._pools.release(self, self.elapsed())

    def fail(self, error: TargetError) -> None:
        """Release the slot after the target failed."""
        typical_latency = self._pool.first_byte_latency
        self.target.fail_call(
            self._started_at, typical_latency, timed_out=error.timed_out
        )
        self._pools.release(self, None)

    def abandon(self) -> None:
        """Release the slot of a call that ended without success or failure."""
        self.target.abandon_call()
        self._pools.release(self, None)


class _Pool:
    """The waiting calls of one target kind and model, and their usual latencies."""

    def __init__(self) -> None:
        self.queue = FairQueue()
        self.latency = 0.0
        self.first_byte_latency = 0.0

    def record_latency(self, latency: float) -> None:
        if self.latency == 0.0:
            self.latency = latency
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)

    def record_first_byte(self, latency: float) -> None:
        if self.first_byte_latency == 0.0:
            self.first_byte_latency = latency
        # Bounded, so that one slow target doesn't raise the average until slow targets
        # look normal.
        bounded = min(latency, 2.0 * self.first_byte_latency)
        self.first_byte_latency += _LATENCY_WEIGHT * (bounded - self.first_byte_latency)


class Pools:
    """Chooses a target for each call and queues calls while none is free.

    Args:
        settings: The daemon's settings.
        views: Determines whether this instance's views are fresh.
        targets: The targets to choose from.
        permits: Obtains permits for calls to cold targets.
        decisions: Records the reason for each choice.

    Attributes:
        targets: The targets to choose from.
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
        self._pool_by_service: dict[tuple[str, str], _Pool] = {}
        self._has_waiting = Event()

    def count_waiting(self) -> int:
        """Return the number of waiting calls."""
        return sum(len(pool.queue) for pool in self._pool_by_service.values())

    def check_admission(self, requirements: CallRequirements) -> float:
        """Reject a request that would wait too long at one of its stages.

        Returns:
            The seconds that the call is expected to wait.

        Raises:
            RequestError: If the request is not expected to meet its deadline.
        """
        wait = self._expected_wait(requirements)
        is_first = not self._pool(requirements).queue.has_waiting(requirements.team)
        self._admission.check(requirements, wait, is_first=is_first)
        return wait

    def acquire(self, requirements: CallRequirements) -> Slot:
        """Wait for a slot at a target.

        Raises:
            RequestError: If no target may get the call or the wait would be too long.
        """
        self._views.wait_until_fresh(
            min(_MAX_FRESH_VIEW_WAIT, max(0.0, requirements.slack))
        )
        pool = self._pool(requirements)
        if not len(pool.queue):
            slot = self._try_warm(requirements) or self._try_cold(requirements)
            if slot is not None:
                return slot
        self._check_queue(requirements, pool)
        return self._wait_in_queue(requirements, pool)

    def release(self, slot: Slot, latency: float | None) -> None:
        """Return the permit of a finished call and assign the slot to a waiting call.

        Args:
            slot: The slot.
            latency: Seconds until the complete response, or None without one.
        """
        if slot.permit is not None and not slot.may_still_run():
            self._permits.release(slot.permit)
        declared = slot.target.declared
        for (kind, model), pool in self._pool_by_service.items():
            if kind != declared.kind or (model and model not in declared.models):
                continue
            if latency is not None:
                pool.record_latency(latency)
            self._dispatch(pool)

    def dispatch_forever(self) -> None:
        """Assign slots to waiting calls at regular intervals, forever.

        Capacity can appear without the end of a call, for example when a target turns
        warm, its backoff ends or the limits of a returning zone grow.
        """
        while True:
            if not self.count_waiting():
                self._has_waiting.wait()
            eventlet.sleep(_DISPATCH_INTERVAL)
            for pool in list(self._pool_by_service.values()):
                self._dispatch(pool)

    def _pool(self, requirements: CallRequirements) -> _Pool:
        return self._pool_by_service.setdefault(
            (requirements.kind, requirements.model), _Pool()
        )

    def _candidates(self, requirements: CallRequirements) -> list[Target]:
        return [
            target
            for target in self.targets.by_kind.get(requirements.kind, ())
            if target.id not in requirements.exclude
            and target.serves(requirements.model)
            and self._permits.can_use(target)
            and self.targets.accepts_new_work(target)
        ]

    def _usable_targets(self, requirements: CallRequirements) -> list[Target]:
        allowed = self._candidates(requirements)
        if not allowed:
            detail = f"no {requirements.kind} target is in service"
            raise RequestError(ErrorKind.NO_TARGET, detail, ran=requirements.ran)
        usable = [target for target in allowed if not target.is_backing_off()]
        if not usable:
            detail = f"every {requirements.kind} target has just failed"
            raise RequestError(ErrorKind.NO_TARGET, detail, ran=requirements.ran)
        # If all targets are slow they are still better than none.
        return [target for target in usable if not target.is_slow()] or usable

    def _has_capacity(self, target: Target) -> bool:
        capacity = target.limit.value * self.targets.ramp_fraction(target.declared.zone)
        return target.in_flight < max(1.0, capacity)

    def _try_warm(self, requirements: CallRequirements) -> Slot | None:
        usable = self._usable_targets(requirements)
        free = [t for t in usable if not t.is_cold() and self._has_capacity(t)]
        if not free:
            return None
        request = RoutingRequest(self._settings.daemon.zone, requirements.prefix)
        choice: Choice = self._policy(free, request)
        self._decisions.record(
            requirements.request, "route", choice.target.id, choice.reason, len(free)
        )
        return Slot(self, self._pool(requirements), choice.target, None)

    def _try_cold(self, requirements: CallRequirements) -> Slot | None:
        cold = [
            target
            for target in self._usable_targets(requirements)
            if target.is_cold() and now() >= target.permit_refused_until
        ]
        cold.sort(key=lambda t: (t.declared.zone != self._settings.daemon.zone, t.id))
        for target in cold:
            permit, reason = self._permits.request(
                target, requirements.deadline - now()
            )
            self._decisions.record(
                requirements.request,
                "permit",
                target.id if permit else "",
                reason,
                len(cold),
            )
            if permit is not None:
                return Slot(self, self._pool(requirements), target, permit)
            target.permit_refused_until = now() + _COLD_RETRY_INTERVAL
        return None

    def _expected_wait(self, requirements: CallRequirements) -> float:
        pool = self._pool(requirements)
        ahead = pool.queue.count_ahead(requirements.team)
        if not ahead:
            return 0.0
        usable = [t for t in self._candidates(requirements) if not t.is_cold()]
        capacity = sum(min(t.limit.value, t.declared.limit) for t in usable)
        return (ahead + 1) * pool.latency / max(1.0, capacity)

    def _check_queue(self, requirements: CallRequirements, pool: _Pool) -> None:
        wait = self.check_admission(requirements)
        if len(pool.queue) >= self._settings.limits.queue:
            detail = f"{len(pool.queue)} calls already wait for {requirements.kind}"
            raise RequestError(
                ErrorKind.OVERLOADED,
                detail,
                ran=requirements.ran,
                retry_after=max(0.1, wait),
            )

    def _wait_in_queue(self, requirements: CallRequirements, pool: _Pool) -> Slot:
        waiter = Waiter(requirements)
        is_first = not pool.queue.has_waiting(requirements.team)
        queue_deadline = self._admission.queue_deadline(requirements, is_first=is_first)
        pool.queue.push(requirements.team, waiter)
        has_waiting, self._has_waiting = self._has_waiting, Event()
        has_waiting.send()
        try:
            while waiter.result is None and now() < queue_deadline:
                step = min(_COLD_RETRY_INTERVAL, queue_deadline - now())
                waiter.resolved.wait(timeout=step)
                if waiter.result is None:
                    slot = self._try_cold(requirements)
                    if slot is not None and waiter.result is None:
                        return slot
                    if slot is not None:
                        slot.abandon()
        except BaseException:
            # This green thread was killed, for example because a hedge has won, right
            # after it was assigned a slot. Nothing else refers to that slot; without
            # this the target would lose it for good.
            if isinstance(waiter.result, Slot):
                waiter.result.abandon()
            raise
        finally:
            pool.queue.drop(waiter)
        if waiter.result is None:
            detail = f"no place at a {requirements.kind} target in time"
            raise RequestError(
                ErrorKind.DEADLINE_INFEASIBLE, detail, ran=requirements.ran
            )
        if isinstance(waiter.result, RequestError):
            raise waiter.result
        return waiter.result

    def _dispatch(self, pool: _Pool) -> None:
        while (entry := pool.queue.pop()) is not None:
            try:
                slot = self._try_warm(entry.waiter.requirements)
            except RequestError as error:
                entry.waiter.has_left_queue = True
                entry.waiter.resolve(error)
                continue
            if slot is None:
                pool.queue.requeue(entry)
                return
            pool.queue.advance_to(entry)
            entry.waiter.has_left_queue = True
            entry.waiter.resolve(slot)
