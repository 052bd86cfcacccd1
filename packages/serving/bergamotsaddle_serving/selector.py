"""The targets of a service that may get a request now."""

from typing import NamedTuple

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.budget import ColdRateLimiter
from bergamotsaddle_serving.catalog import Service, Target
from bergamotsaddle_serving.health import Health, TargetState
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.target_rates import TargetRates
from bergamotsaddle_serving.view import KnownTarget, View
from bergamotsaddle_serving.zone_reach import ZoneReach

# What a trip to another zone and back adds, as a part of a request's time there.
_OTHER_ZONE_S = 0.004


class Candidate(NamedTuple):
    """A target that may be chosen.

    Attributes:
        target: The target.
        state: What this instance has seen of it.
        is_cold: Whether it is cold.
        others: Requests that other instances have there, as far as known.
        tokens_ahead: Prompt tokens that it has still to read, for all instances.
    """

    target: Target
    state: TargetState
    is_cold: bool
    others: int
    tokens_ahead: int = 0


class Selector:
    """Finds the targets that may get a request.

    Args:
        view: Targets in force.
        health: What was seen of them.
        peers: What other instances have at them.
        cold: Spaces requests to cold ones.
        reach: Knows the zones that are cut off.
        rates: Knows the targets that have no permit to give.
    """

    def __init__(
        self,
        view: View,
        health: Health,
        peers: Peers,
        cold: ColdRateLimiter,
        reach: ZoneReach,
        rates: TargetRates,
    ) -> None:
        self._rates = rates
        self._view = view
        self._health = health
        self._peers = peers
        self._cold = cold
        self._reach = reach

    def candidates(self, service: str, exclude: set[str]) -> list[Candidate]:
        """Targets that may get a request.

        Those that failed lately are left out if there is any other. Those in a zone
        that is cut off always are: a request sent there is lost for up to two seconds,
        and one that nobody else can serve is better refused at once. So are those that
        have no permit to give.
        """
        found = self._reachable(service, exclude)
        found = [c for c in found if not self._rates.wait(c.target)]
        return _rested(found)

    def find(self, service: str, target_id: str) -> Candidate | None:
        """The candidate of an id, whether or not it has another permit to give."""
        for candidate in _rested(self._reachable(service, set())):
            if candidate.target.id == target_id:
                return candidate
        return None

    def permit_wait(self, service: str) -> float | None:
        """Seconds until a target may have a permit to give, None if none lacks any."""
        targets = [known.target for known in self._view.usable(service)]
        waits = [wait for target in targets if (wait := self._rates.wait(target))]
        return min(waits, default=None)

    def reserve(self, candidate: Candidate, request: str, urgency: int) -> bool:
        """Get a permit for a request to a target, if it needs any."""
        return self._rates.reserve(candidate.target, request, urgency)

    def _reachable(self, service: str, exclude: set[str]) -> list[Candidate]:
        found = [
            self._candidate(known)
            for known in self._view.usable(service)
            if known.target.id not in exclude
        ]
        found = [c for c in found if not c.is_cold or self._cold.may_send(c.target.id)]
        return [c for c in found if not self._reach.is_lost(c.target.zone)]

    def pick(self, service: str, exclude: set[str]) -> Candidate | None:
        """Pick the target of a plain service that should answer first.

        Answers bursts at services with a handful of places: expected time is the
        usual time multiplied by the places that are taken, of all instances as far as
        they told, so that slow targets get less and no place stays free beside a queue.
        """
        found = self.candidates(service, exclude)
        return min(found, key=self._expected, default=None)

    def pick_least_loaded(
        self, service: str, exclude: set[str], work: str
    ) -> Candidate | None:
        """Pick the target of a plain service that has least to lose.

        Args:
            service: The service.
            exclude: Targets that have been tried.
            work: Fingerprint of a request under which another target has ended.
        """
        found = self.candidates(service, exclude)
        return min(
            found,
            key=lambda c: (
                c.state.in_flight + c.others,
                rendezvous_weight(c.target.id, work),
            ),
            default=None,
        )

    def may_send(self, candidate: Candidate) -> bool:
        """Tell whether a chosen target may still get the request."""
        return self._view.may_get_work(candidate.target)

    def record_sent(self, candidate: Candidate, service: Service) -> None:
        """Note that a request is about to be sent to a target."""
        if candidate.is_cold and service.cold_rate > 0:
            self._cold.record_sent(candidate.target.id, service.cold_rate)

    def _candidate(self, known: KnownTarget) -> Candidate:
        target = known.target
        state = self._health.of(target)
        totals = self._peers.totals()
        return Candidate(
            target,
            state,
            self._view.is_cold(known),
            totals.running[target.id],
            state.prompt_tokens_ahead + totals.prefill_tokens[target.id],
        )

    def _expected(self, candidate: Candidate) -> float:
        state = candidate.state
        taken = state.in_flight + candidate.others + state.waiting()
        slots = max(1, candidate.target.slots)
        queueing = max(0.0, taken + 1 - slots) / slots
        crowding = taken / slots
        trip = 0.0 if candidate.target.zone == self._peers.own.zone else _OTHER_ZONE_S
        return state.latency * (1.0 + queueing + 0.3 * crowding) + trip


def _rested(found: list[Candidate]) -> list[Candidate]:
    """Those that have not failed lately, all if there are none."""
    return [c for c in found if not c.state.is_backing_off()] or found
