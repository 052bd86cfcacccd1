"""Selects the targets of a service that may get a request now."""

import statistics
from collections.abc import Callable, Collection, Iterable
from typing import NamedTuple

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.budget import ColdRateLimiter, ColdTurn
from bergamotsaddle_serving.catalog import Service, Target
from bergamotsaddle_serving.health import Health, TargetState
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.target_notices import TargetNotices
from bergamotsaddle_serving.target_rates import TargetRates
from bergamotsaddle_serving.target_totals import TargetTotals
from bergamotsaddle_serving.view import KnownTarget, View
from bergamotsaddle_serving.zone_reach import ZoneReach

# Round trip to another zone, which adds to the time of a request there.
_CROSS_ZONE_S = 0.004


class Candidate(NamedTuple):
    """A target that may be chosen.

    Attributes:
        target: The target.
        state: State of the target as this instance observes it.
        is_cold: Whether the target is cold.
        others: Requests of other instances at the target, as last reported.
        tokens_ahead: Prompt tokens of all instances' requests that wait for prefill.
    """

    target: Target
    state: TargetState
    is_cold: bool
    others: int
    tokens_ahead: int = 0

    @property
    def has_free_slot(self) -> bool:
        """Whether the target runs fewer requests than it can, as far as known."""
        requests = self.state.in_flight + self.others + self.state.waiting()
        return requests < max(1, self.target.slots)


class Selector:
    """Finds the targets that may get a request.

    Args:
        view: Current targets.
        health: States of the targets as this instance observes them.
        peers: Reports the load of other instances at the targets.
        cold: Limits the rate of requests to cold targets.
        reach: Zones that are cut off from this instance.
        rates: Permits for targets that name a limit.
        notices: What targets say about themselves.
    """

    def __init__(
        self,
        view: View,
        health: Health,
        peers: Peers,
        cold: ColdRateLimiter,
        reach: ZoneReach,
        rates: TargetRates,
        *,
        notices: TargetNotices,
    ) -> None:
        self._notices = notices
        self._rates = rates
        self._view = view
        self._health = health
        self._peers = peers
        self._cold = cold
        self._reach = reach

    def candidates(self, service: str, exclude: set[str]) -> list[Candidate]:
        """Return the targets that may get a request.

        Targets that failed recently are excluded if there are other ones. Targets in a
        zone that is cut off are always excluded: a request sent there is lost for up to
        two seconds, so one that no other target can serve is better rejected at once.
        Targets without a permit are always excluded as well.

        Args:
            service: The service.
            exclude: Ids of targets to leave out.
        """
        found = self._reachable(service, exclude)
        found = [c for c in found if not self._rates.wait(c.target)]
        return _without_backoff(found)

    def targets(self, service: str) -> list[Target]:
        """Return all targets of a service, those that may get nothing now included."""
        return [known.target for known in self._view.usable(service)]

    def find(
        self, service: str, target_id: str, exclude: Collection[str] = ()
    ) -> Candidate | None:
        """Return the candidate with an id, even if no permit for it is available.

        Args:
            service: The service.
            target_id: Id of the target.
            exclude: Ids of targets that may not be used instead of it.

        Returns:
            The candidate, None if there is none now, or if it failed recently and
            another one may be used instead.
        """
        named = [k for k in self._view.usable(service) if k.target.id == target_id]
        found = self._filter(named)
        if not found or not found[0].state.is_backing_off():
            return found[0] if found else None
        others = self._reachable(service, {*exclude, target_id})
        others = [c for c in others if not self._rates.wait(c.target)]
        is_last = all(c.state.is_backing_off() for c in others)
        return found[0] if is_last else None

    def permit_wait(
        self, service: str, *, may_run: Callable[[Target], bool] = lambda target: True
    ) -> float | None:
        """Return the seconds until a target may have a permit; None if all may now.

        Args:
            service: The service.
            may_run: Returns whether a target may run the request at all.
        """
        targets = [known.target for known in self._view.usable(service)]
        targets = [target for target in targets if may_run(target)]
        waits = [max(self._rates.wait(t), self._notices.wait(t)) for t in targets]
        return min((wait for wait in waits if wait), default=None)

    def reserve(self, candidate: Candidate, request: str, urgency: int) -> bool:
        """Acquire a permit for a request if the target requires one."""
        return self._rates.reserve(candidate.target, request, urgency)

    def _reachable(self, service: str, exclude: Collection[str]) -> list[Candidate]:
        return self._filter(
            known
            for known in self._view.usable(service)
            if known.target.id not in exclude
        )

    def _filter(self, targets: Iterable[KnownTarget]) -> list[Candidate]:
        """Return the targets that may get a request, whether they failed or not."""
        totals = self._peers.totals()
        at = now()
        found = [self._candidate(known, totals, at) for known in targets]
        found = [c for c in found if not c.is_cold or self._cold.may_send(c.target.id)]
        found = [c for c in found if not self._reach.is_lost(c.target.zone)]
        return [
            c
            for c in found
            if self._notices.has_room(c.target, c.state.in_flight + c.others)
        ]

    def pick(self, service: str, exclude: set[str]) -> Candidate | None:
        """Return the target of a plain service that should respond first.

        This serves bursts at services with a handful of slots. The expected time is the
        usual latency scaled by the slots in use, counting all instances as last
        reported, so that slow targets get fewer requests and no slot stays free while
        requests queue at another target.
        """
        found = self.candidates(service, exclude)
        return min(found, key=self._expected, default=None)

    def pick_least_loaded(
        self, service: str, exclude: set[str], fingerprint: str
    ) -> Candidate | None:
        """Return the target of a plain service that runs the fewest requests.

        A suspect request goes there, since a crash would lose the least.

        Args:
            service: The service.
            exclude: Ids of targets that have been tried.
            fingerprint: Fingerprint of the suspect request.
        """
        found = self.candidates(service, exclude)
        return min(
            found,
            key=lambda c: (
                c.state.in_flight + c.others,
                rendezvous_weight(c.target.id, fingerprint),
            ),
            default=None,
        )

    def usual_seconds(self, service: str) -> float:
        """Return the seconds that a response of a service usually takes.

        It is the median over the service's targets that have responded to this
        instance, so that one slow target does not raise it; 0 if none has.
        """
        states = [self._health.of(k.target) for k in self._view.usable(service)]
        found = [state.latency for state in states if state.last_seen_at > 0]
        return statistics.median_high(found) if found else 0.0

    def may_send(self, candidate: Candidate) -> bool:
        """Return whether a chosen target may still get the request."""
        target = candidate.target
        return self._view.may_get_work(target) and self._notices.may_send(target)

    def take_turn(
        self, candidate: Candidate, service: Service, *, is_repeat: bool
    ) -> ColdTurn | None:
        """Take the turn of a request at a target that may be cold.

        Args:
            candidate: The target.
            service: Its service.
            is_repeat: Whether another target has failed the request.

        Returns:
            The turn, which is to be used as the request is sent, or canceled; None if
            the target may not get the request now.
        """
        target = candidate.target
        if not candidate.is_cold or service.cold_rate <= 0:
            return ColdTurn(None, target.id, service.cold_rate)
        return self._cold.reserve(target.id, service.cold_rate, is_repeat=is_repeat)

    def _candidate(
        self, known: KnownTarget, totals: TargetTotals, at: float
    ) -> Candidate:
        target = known.target
        state = self._health.of(target)
        return Candidate(
            target,
            state,
            self._view.is_cold(known, at=at),
            totals.running.get(target.id, 0),
            state.prompt_tokens_ahead + totals.prefill_tokens.get(target.id, 0),
        )

    def _expected(self, candidate: Candidate) -> float:
        """Return the expected seconds until a target responds."""
        state = candidate.state
        requests = state.in_flight + candidate.others + state.waiting()
        slots = max(1, candidate.target.slots)
        queueing = max(0.0, requests + 1 - slots) / slots
        utilization = requests / slots
        round_trip = (
            0.0 if candidate.target.zone == self._peers.own.zone else _CROSS_ZONE_S
        )
        return state.latency * (1.0 + queueing + 0.3 * utilization) + round_trip


def _without_backoff(found: list[Candidate]) -> list[Candidate]:
    """Return the candidates that have not failed recently, all if there are none."""
    return [c for c in found if not c.state.is_backing_off()] or found
