"""Requests places at targets from the owners of plain services, and grants them."""

from collections import OrderedDict
from typing import Any

import eventlet
from eventlet.queue import Empty, LightQueue

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.plain_queue import (
    Applicant,
    Outcome,
    Place,
    PlainQueue,
    TicketKey,
)
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.target_slowdowns import TargetSlowdowns
from bergamotsaddle_serving.message_numbers import make_numbers
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    PlaceDecision,
    PlaceDone,
    PlaceRequest,
    PlaceResponse,
)
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.selector import Candidate, Selector

# Several round trips between zones; after it a lost datagram is sent once more.
_RESPONSE_TIMEOUT_S = 0.04
_MAX_ATTEMPTS = 2
# A request that waits for a place is repeated this often, which shows that it still
# waits and that the owner is alive.
_REPEAT_INTERVAL_S = 0.1
# An owner that did not respond is not asked for this long.
_SILENT_PAUSE_S = 1.0
# Services with more targets are placed by each instance itself: one that chooses among
# many does little harm, and one owner would handle too many requests.
_MAX_TARGETS = 32
# Requests in a second for which one instance decides. It leaves further ones to the
# instances that ask, so that a burst does not use up its core.
_MAX_DECISIONS_PER_S = 1_500
_RENEWAL_INTERVAL_S = 0.02
# Number of responses that are kept, to be repeated for a request that arrives twice.
_MAX_REMEMBERED = 2_048


class PlacementRefusedError(BergamotsaddleError):
    """A request got no place because it would be late.

    Args:
        retry_after: Seconds after which its caller may return.
    """

    def __init__(self, retry_after: float) -> None:
        super().__init__("refused")
        self.retry_after = retry_after


class GrantedPlace:
    """A place at a target, until it is given back.

    Args:
        exchange: Gives the place back.
        candidate: The target.
        owner: Id of the instance that granted it.
        number: Number of the request for it.
        route: Name of the route of the request.

    Attributes:
        candidate: The target.
    """

    def __init__(
        self,
        exchange: "PlacementExchange",
        candidate: Candidate,
        *,
        owner: str,
        number: int,
        route: str,
    ) -> None:
        self._route = route
        self._exchange = exchange
        self._owner = owner
        self._number = number
        self.candidate = candidate

    def end(self, seconds: float | None = None, *, since: float | None = None) -> None:
        """Give the place back.

        Args:
            seconds: Seconds that the run took, None if it was not completed.
            since: When the run began, None if nothing was sent.
        """
        state = self.candidate.state
        slowdown, age = None, 0.0
        if since is not None and state.load is not None and state.load_at >= since:
            slowdown, age = state.load.slowdown, now() - state.load_at
        service = self.candidate.target.service
        done = PlaceDone(
            self._number,
            self._exchange.own_id,
            service,
            seconds,
            slowdown,
            age,
            self._route if seconds is not None else "",
        )
        self._exchange.end(self._owner, done)


class _OwnedQueue:
    """The queue of one plain service that this instance owns."""

    def __init__(self) -> None:
        self.slowdowns = TargetSlowdowns()
        self.queue = PlainQueue(self.slowdowns)
        self.address_by_key: dict[TicketKey, tuple[str, int]] = {}
        self.is_renewing = False


class PlacementExchange:
    """Requests places from the owner of a service's queue, and grants them as an owner.

    Args:
        peers: The other instances.
        selector: Finds the targets that may get a request.
        reporting: Services whose targets report their slowdown. Only these are placed.
        logger: Gets a line for each decision.
        policy: Enabled mechanisms.

    Attributes:
        unanswered: Number of requests for a place that no owner responded to.
    """

    def __init__(
        self,
        peers: Peers,
        selector: Selector,
        reporting: ReportingServices,
        logger: Any,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._peers = peers
        self._selector = selector
        self._reporting = reporting
        self._logger = logger
        self._is_enabled = policy.has(Mechanism.JOINT_PLACEMENT)
        self._numbers = make_numbers()
        self._inbox_by_number: dict[int, LightQueue] = {}
        self._silent_until_by_owner: dict[str, float] = {}
        self._owned_by_service: dict[str, _OwnedQueue] = {}
        self._sent_responses: OrderedDict[TicketKey, PlaceResponse] = OrderedDict()
        self._second = 0
        self._decisions = 0
        self.unanswered = 0
        peers.set_handler(PlaceRequest, self._handle_request)
        peers.set_handler(
            PlaceResponse, lambda message, _: self._handle_response(message)
        )
        peers.set_handler(PlaceDone, lambda message, _: self._handle_done(message))

    @property
    def own_id(self) -> str:
        """Id of this instance."""
        return self._peers.own.id

    @property
    def waiting(self) -> int:
        """Number of requests that wait in the queues of this instance."""
        return sum(len(owned.queue) for owned in self._owned_by_service.values())

    @property
    def running(self) -> int:
        """Number of requests that run where this instance placed them."""
        return sum(owned.queue.running for owned in self._owned_by_service.values())

    @property
    def placed(self) -> int:
        """Number of requests that this instance has placed."""
        return sum(owned.queue.placed for owned in self._owned_by_service.values())

    @property
    def refused(self) -> int:
        """Number of requests that this instance has refused a place."""
        return sum(owned.queue.refused for owned in self._owned_by_service.values())

    def place(self, context: Context, exclude: set[str]) -> GrantedPlace | None:
        """Request a place for a request, and wait for it.

        Args:
            context: The request.
            exclude: Ids of targets that must not get it.

        Returns:
            Its place, None if this instance is to choose a target itself.

        Raises:
            PlacementRefusedError: If it would be late.
        """
        service = context.service.name
        if not self._is_enabled or service not in self._reporting:
            return None
        names = {target.id for target in self._selector.targets(service)}
        if len(names) > _MAX_TARGETS:
            return None
        candidate_by_id = {
            candidate.target.id: candidate
            for candidate in self._selector.candidates(service, exclude)
            if not candidate.state.silent
        }
        owner = self._owner_of(service)
        is_silent = now() < self._silent_until_by_owner.get(owner, 0.0)
        if not candidate_by_id or is_silent:
            return None
        own = self._peers.own
        request = PlaceRequest(
            number=next(self._numbers),
            sender=own.id,
            zone=own.zone,
            service=service,
            request=context.head.id,
            urgency=context.urgency,
            team=context.team.name if context.team is not None else "",
            objective=context.started_at + context.route.objective - now(),
            remaining=context.remaining,
            excluded=sorted(names - candidate_by_id.keys()),
        )
        self._inbox_by_number[request.number] = LightQueue()
        holds_place = True
        try:
            response = self._request(owner, request, context)
            if response is None:
                return None
            holds_place = response.decision is PlaceDecision.PLACED
            if response.decision is PlaceDecision.REFUSED:
                raise PlacementRefusedError(response.retry_after)
            candidate = candidate_by_id.get(response.target)
            if candidate is None:
                return None
            holds_place = False
            return GrantedPlace(
                self,
                candidate,
                owner=owner,
                number=request.number,
                route=context.route.name,
            )
        finally:
            # The caller may have left while the request waited.
            del self._inbox_by_number[request.number]
            if holds_place:
                self.end(owner, PlaceDone(request.number, own.id, service))

    def end(self, owner: str, done: PlaceDone) -> None:
        """Tell an owner that a request has left its place, or waits no longer.

        Args:
            owner: Id of the owner.
            done: What it is told.
        """
        if owner == self.own_id:
            self._handle_done(done)
        else:
            self._peers.send(owner, done)

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget what is known of other incarnations of targets."""
        for owned in self._owned_by_service.values():
            owned.slowdowns.keep_only(incarnations)

    def _request(
        self, owner: str, request: PlaceRequest, context: Context
    ) -> PlaceResponse | None:
        """Return the owner's final response, None if there is none."""
        inbox = self._inbox_by_number[request.number]
        is_own = owner == self._peers.own.id
        timeout = _RESPONSE_TIMEOUT_S
        unanswered = 0
        self._send_request(owner, request)
        while context.remaining > 0:
            try:
                response = inbox.get(timeout=min(timeout, context.remaining))
            except Empty:
                unanswered += not is_own
                if unanswered >= _MAX_ATTEMPTS:
                    self._record_silence(owner, request)
                    return None
                self._send_request(owner, request)
                continue
            unanswered = 0
            if response.decision is not PlaceDecision.WAITS:
                return response
            timeout = _REPEAT_INTERVAL_S
        return None

    def _send_request(self, owner: str, request: PlaceRequest) -> None:
        if owner == self._peers.own.id:
            self._handle_request(request, None)
        else:
            self._peers.send(owner, request)

    def _record_silence(self, owner: str, request: PlaceRequest) -> None:
        self.unanswered += 1
        self._silent_until_by_owner[owner] = now() + _SILENT_PAUSE_S
        self._peers.verify(owner)
        self._logger.info(
            "placement_unanswered",
            request=request.request,
            service=request.service,
            owner=owner,
        )

    def _owner_of(self, service: str) -> str:
        own = self._peers.own
        region = self._peers.region(own.zone)
        return next(iter(rank_owners(self._peers, service, region)), own.id)

    def _handle_request(
        self, message: PlaceRequest, address: tuple[str, int] | None
    ) -> None:
        key = (message.sender, message.number)
        response = self._sent_responses.get(key)
        if response is None:
            response = self._decide(key, message, address)
        self._respond(key, response, address)

    def _decide(
        self,
        key: TicketKey,
        message: PlaceRequest,
        address: tuple[str, int] | None,
    ) -> PlaceResponse:
        service = message.service
        owned = self._owned_by_service.get(service)
        if owned is not None and owned.queue.holds(key):
            return PlaceResponse(message.number, PlaceDecision.WAITS)
        excluded = frozenset(message.excluded)
        places = self._places(service)
        if (
            self._owner_of(service) != self._peers.own.id
            or all(place.id in excluded for place in places)
            or not self._may_decide()
        ):
            return PlaceResponse(message.number, PlaceDecision.LOCAL)
        if owned is None:
            owned = self._owned_by_service[service] = _OwnedQueue()
        if not len(owned.queue):
            # Leases may have ended; a queue in which requests wait is renewed anyway.
            self._renew(service, owned)
        at = now()
        applicant = Applicant(
            key=key,
            request=message.request,
            zone=message.zone,
            urgency=message.urgency,
            team=message.team,
            due_at=at + message.objective,
            deadline_at=at + message.remaining,
            excluded=excluded,
        )
        outcome = owned.queue.admit(applicant, places)
        if outcome is None:
            if address is not None:
                owned.address_by_key[key] = address
            if not owned.is_renewing:
                owned.is_renewing = True
                eventlet.spawn_n(self._renew_regularly, service, owned)
            return PlaceResponse(message.number, PlaceDecision.WAITS)
        return self._conclude(service, owned, outcome)

    def _may_decide(self) -> bool:
        second = int(now())
        if second != self._second:
            self._second = second
            self._decisions = 0
        self._decisions += 1
        return self._decisions <= _MAX_DECISIONS_PER_S

    def _places(self, service: str) -> list[Place]:
        """Return the targets that may get requests, those of the region if any may."""
        region = self._peers.region(self._peers.own.zone)
        targets = [c.target for c in self._selector.candidates(service, set())]
        inside = [t for t in targets if self._peers.region(t.zone) == region]
        return [
            Place(target.id, target.incarnation, target.zone, target.slots)
            for target in inside or targets
        ]

    def _conclude(
        self, service: str, owned: _OwnedQueue, outcome: Outcome
    ) -> PlaceResponse:
        """Log what a request got, and return the response to it."""
        applicant = outcome.applicant
        inputs = {
            "request": applicant.request,
            "service": service,
            "urgency": applicant.urgency,
            "expected": round(outcome.expected, 3),
            "left": round(applicant.deadline_at - now(), 3),
            "waiting": len(owned.queue),
            "running": owned.queue.running,
        }
        number = applicant.key[1]
        if outcome.target:
            self._logger.info("placed", target=outcome.target, **inputs)
            response = PlaceResponse(number, PlaceDecision.PLACED, outcome.target)
        elif outcome.is_local:
            response = PlaceResponse(number, PlaceDecision.LOCAL)
        else:
            retry_after = round(outcome.retry_after, 3)
            self._logger.warning("placement_refused", retry_after=retry_after, **inputs)
            response = PlaceResponse(
                number, PlaceDecision.REFUSED, retry_after=retry_after
            )
        self._sent_responses[applicant.key] = response
        if len(self._sent_responses) > _MAX_REMEMBERED:
            self._sent_responses.popitem(last=False)
        return response

    def _respond(
        self,
        key: TicketKey,
        response: PlaceResponse,
        address: tuple[str, int] | None,
    ) -> None:
        if key[0] == self._peers.own.id:
            self._handle_response(response)
        elif address is not None:
            self._peers.send_to(address, response)

    def _renew(self, service: str, owned: _OwnedQueue) -> None:
        """Place requests that wait where there is room now."""
        if not owned.queue.running and not len(owned.queue):
            return
        outcomes = owned.queue.renew(self._places(service))
        for outcome in outcomes:
            key = outcome.applicant.key
            response = self._conclude(service, owned, outcome)
            self._respond(key, response, owned.address_by_key.pop(key, None))

    def _renew_regularly(self, service: str, owned: _OwnedQueue) -> None:
        """Renew a queue for as long as requests wait in it."""
        try:
            while len(owned.queue):
                eventlet.sleep(_RENEWAL_INTERVAL_S)
                known = self._peers.incarnation_of
                instances = owned.queue.instances()
                owned.queue.end_all_of(i for i in instances if known(i) is None)
                self._renew(service, owned)
        finally:
            owned.is_renewing = False

    def _handle_response(self, message: PlaceResponse) -> None:
        inbox = self._inbox_by_number.get(message.number)
        if inbox is not None:
            inbox.put(message)

    def _handle_done(self, message: PlaceDone) -> None:
        owned = self._owned_by_service.get(message.service)
        if owned is None:
            return
        key = (message.sender, message.number)
        owned.address_by_key.pop(key, None)
        place = owned.queue.end(key)
        if place is not None:
            owned.slowdowns.record(
                place.incarnation,
                seconds=message.seconds,
                slowdown=message.slowdown,
                age=message.age,
                route=message.route,
            )
        self._renew(message.service, owned)
