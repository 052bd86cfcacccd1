"""Calls plain services, whether their calls may be repeated or not."""

from collections.abc import Callable

from bergamotsaddle_contracts.declaration import Declaration
from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PlaceLostError,
    RequestError,
    TargetError,
)
from bergamotsaddle_contracts.messages import (
    BUSY,
    FINISHED,
    NOT_RUN,
    REUSED,
    UNKNOWN,
    Outcome,
    ServiceRequest,
)
from bergamotsaddle_daemon.calls import Connections
from bergamotsaddle_daemon.costs import FIRST, Costs
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.pools import Slot
from bergamotsaddle_daemon.request import Request
from bergamotsaddle_daemon.stages import Stage, StageCaller
from bergamotsaddle_daemon.views import Views

SERVICE_PATH = "/v1/services/"
_IDEMPOTENCY_HEADER = "Idempotency-Key"
_KIND_BY_STATE = {
    NOT_RUN: ErrorKind.NOT_RUN,
    UNKNOWN: ErrorKind.OUTCOME_UNKNOWN,
    REUSED: ErrorKind.TICKET_REUSED,
    BUSY: ErrorKind.OVERLOADED,
}


class ServiceCaller:
    """Calls plain services.

    Args:
        views: The declared targets and teams.
        stages: Calls repeatable services and assigns slots.
        connections: Connections to targets.
        costs: Counts calls.
        decisions: The decision log.
    """

    def __init__(
        self,
        views: Views,
        stages: StageCaller,
        connections: Connections,
        costs: Costs,
        decisions: DecisionLog,
    ) -> None:
        self._views = views
        self._stages = stages
        self._connections = connections
        self._costs = costs
        self._decisions = decisions

    @property
    def declaration(self) -> Declaration:
        """The declaration in force."""
        return self._views.declaration

    def check_declared(self, kind: str) -> None:
        """Check that targets of a service are declared.

        Raises:
            RequestError: If no target of this kind is declared.
        """
        targets = self.declaration.targets.values()
        if not any(target.kind == kind for target in targets):
            raise RequestError(ErrorKind.NOT_FOUND, f"no service {kind} is declared")

    def call_repeatable(self, request: Request, path: str, body: bytes) -> bytes:
        """Call a service whose calls may be repeated.

        Returns:
            The body of the response.

        Raises:
            RequestError: If no call succeeded.
        """
        stage = Stage(request.name, "", f"{SERVICE_PATH}{request.name}/{path}", body)
        return self._stages.call(request, stage)

    def send_once(
        self, message: ServiceRequest, key: str, check_may_start: Callable[[], None]
    ) -> Outcome:
        """Send a request that must not be repeated, at most once.

        Another target is tried only if no byte was sent, or if the target responded
        with a status that is declared to mean that nothing ran.

        Args:
            message: The request.
            key: The idempotency key passed on to the target.
            check_may_start: Called right before the first byte; raises an error to
                stop the call.

        Returns:
            The outcome; ``not_run`` only if the request provably did not run.

        Raises:
            RequestError: If the request did not run because no target could take it
                or ``check_may_start`` stopped it.
        """
        request = self._request(message)
        path = f"{SERVICE_PATH}{message.kind}/{message.path}"
        stage = Stage(message.kind, "", path, message.body)
        failed: frozenset[str] = frozenset()
        while True:
            slot = self._stages.acquire(request, stage, failed)
            try:
                return self._send(request, stage, slot, key, check_may_start)
            except PlaceLostError:
                slot.abandon()
            except RequestError:
                slot.abandon()
                raise
            except TargetError as error:
                slot.fail(error)
                if error.sent:
                    return Outcome(UNKNOWN, detail=f"{slot.target.id}: {error}")
                if slot.target.id in failed:
                    detail = f"no {message.kind} target can be reached: {error}"
                    return Outcome(NOT_RUN, detail=detail)
                failed |= {slot.target.id}
                reason = f"{slot.target.id}: {error}"
                self._decisions.record(request.id, "not sent", "", reason)

    def _send(
        self,
        request: Request,
        stage: Stage,
        slot: Slot,
        key: str,
        check_may_start: Callable[[], None],
    ) -> Outcome:
        declared = slot.target.declared

        def guard() -> None:
            check_may_start()
            slot.check_before_send()
            self._costs.count_call(self._stages.cost_key(request, stage), FIRST)

        call = self._stages.make_call(request, stage, slot, request.remaining)
        if declared.idempotency_key:
            call.headers[_IDEMPOTENCY_HEADER] = key
        reply = self._connections.post_once(declared.address, call, guard)
        if reply.status in declared.not_run_statuses:
            raise TargetError(f"status {reply.status} promises not run", sent=False)
        slot.finish()
        return Outcome(FINISHED, status=reply.status, body=reply.body)

    def _request(self, message: ServiceRequest) -> Request:
        team = self.declaration.teams.get(message.team)
        if team is None:
            detail = f"team {message.team} is not declared"
            raise RequestError(ErrorKind.NOT_RUN, detail)
        request = Request(team, message.kind, message.remaining, team.priority)
        request.id = message.id
        return request


def outcome_error(outcome: Outcome) -> RequestError:
    """Convert an outcome without a response into the caller's error."""
    kind = _KIND_BY_STATE.get(outcome.state, ErrorKind.OUTCOME_UNKNOWN)
    return RequestError(kind, outcome.detail)


def is_finished(outcome: Outcome) -> bool:
    """Return whether an outcome holds the target's response."""
    return outcome.state == FINISHED
