"""Runs requests that must not be repeated, each under a ticket.

The protocol is modelled in ``model/tickets.py``; docstrings name its steps.
"""

import hashlib
from collections import OrderedDict
from collections.abc import Callable

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    PeerUnreachableError,
    RequestError,
)
from bergamotsaddle_contracts.messages import (
    BUSY,
    ELSEWHERE,
    FINISHED,
    NOT_RUN,
    REUSED,
    UNKNOWN,
    UNUSED,
    Outcome,
    OutcomeQuery,
    OutcomeRecord,
    RunTicket,
    ServiceRequest,
    StartRecord,
    TicketHandover,
)
from bergamotsaddle_contracts.ticket import (
    NO_WITNESS,
    Ticket,
    make_nonce,
    sign_ticket,
    verify_ticket,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.peers import Peers
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.witness import Witness

_MAX_RECORD_ATTEMPTS = 5
_RECORD_RETRY_DELAY = 0.2

CheckMayStart = Callable[[], None]
Send = Callable[[ServiceRequest, str, CheckMayStart], Outcome]


class _TicketRun:
    """The request of one ticket at the instance that runs it."""

    def __init__(self, ticket: Ticket, digest: bytes) -> None:
        self.started_at = now()
        self.ticket = ticket
        self.digest = digest
        self.outcome: Outcome | None = None
        self._finished = Event()

    def finish(self, outcome: Outcome) -> None:
        self.outcome = outcome
        self._finished.send()

    def wait(self, seconds: float) -> Outcome:
        if self.outcome is None:
            self._finished.wait(timeout=max(0.0, seconds))
        if self.outcome is None:
            return Outcome(UNKNOWN, detail="still running; ask again with this ticket")
        return self.outcome


class TicketRunner:
    """Issues tickets and runs, forwards or settles their requests.

    Args:
        settings: The daemon's settings.
        incarnation: Random name of this process.
        peers: The other instances.
        witness: Remembers tickets for which this instance is the witness.
        decisions: The decision log.
        send: Sends a request to a target at most once; it calls its last argument
            right before the first byte.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        peers: Peers,
        witness: Witness,
        decisions: DecisionLog,
        send: Send,
    ) -> None:
        self._settings = settings
        self._timing = settings.timing
        self._own_id = settings.daemon.id
        self._incarnation = incarnation
        self._peers = peers
        self._witness = witness
        self._decisions = decisions
        self._send = send
        self._run_by_nonce: OrderedDict[str, _TicketRun] = OrderedDict()
        self._unsettled = 0
        self._closed = False

    def issue(self, team: str, kind: str) -> tuple[str, Ticket]:
        """Issue a ticket; no state is kept for it until it is used.

        Returns:
            The ticket as the caller gets it, and its contents.
        """
        nonce = make_nonce()
        witness = self._peers.pick_witness(nonce)
        ticket = Ticket(
            issuer=self._own_id,
            incarnation=self._incarnation,
            nonce=nonce,
            team=team,
            kind=kind,
            issued_at=now(),
            witness=witness.instance.id if witness else NO_WITNESS,
            witness_incarnation=witness.incarnation if witness else "",
            witness_clock=witness.clock if witness else 0.0,
        )
        return sign_ticket(ticket, self._settings.daemon.peer_key), ticket

    def verify(self, text: str, team: str, kind: str) -> Ticket:
        """Verify a caller's ticket and return its contents.

        Raises:
            RequestError: If it is invalid or was issued for another team or kind.
        """
        ticket = verify_ticket(text, self._settings.daemon.peer_key)
        if (ticket.team, ticket.kind) != (team, kind):
            detail = "the ticket is for another team or service"
            raise RequestError(ErrorKind.TICKET_INVALID, detail)
        return ticket

    def run(self, ticket: Ticket, request: ServiceRequest) -> Outcome:
        """Run a ticket's request where that is allowed, or return its outcome.

        The request runs here, at the ticket's issuer or at its witness.
        """
        deadline = now() + request.remaining
        if self._may_run(ticket):
            return self._run_here(ticket, request)
        outcome = self._forward(ticket.issuer, ticket, request)
        if outcome.state != ELSEWHERE:
            return outcome
        remaining_request = request._replace(remaining=deadline - now())
        return self._settle_with_witness(ticket, remaining_request)

    def query_outcome(self, ticket: Ticket) -> Outcome:
        """Return the outcome of a ticket without starting or cancelling it."""
        query = OutcomeQuery(ticket)
        outcome = self.handle_outcome_query(query)
        for instance in (ticket.issuer, ticket.witness):
            if outcome.state == ELSEWHERE and instance not in ("", self._own_id):
                outcome = self._query(instance, query, self._timing.peer_call)
        if outcome.state == ELSEWHERE:
            return Outcome(UNKNOWN, detail="neither issuer nor witness can be reached")
        return outcome

    def handle_outcome_query(self, message: OutcomeQuery) -> Outcome:
        """Return what this instance knows about the outcome of a ticket."""
        ticket = message.ticket
        run = self._run_by_nonce.get(ticket.nonce)
        if run is not None:
            return run.wait(0.0)
        if ticket.witness_incarnation == self._incarnation:
            return self._witness.query_outcome(ticket)
        if ticket.incarnation != self._incarnation:
            return Outcome(ELSEWHERE)
        return self._refuse_new(ticket) or Outcome(UNUSED, detail="not used yet")

    def handle_run_ticket(self, message: RunTicket) -> Outcome:
        """Handle a request that a peer forwarded.

        A witness that may not run the request returns the recorded outcome, or cancels
        the ticket if it was not started.
        """
        ticket = message.ticket
        if self._may_run(ticket):
            return self._run_here(ticket, message.request)
        if ticket.witness == self._own_id:
            return self._witness.cancel_unstarted(ticket)
        return Outcome(ELSEWHERE)

    def count_unsettled(self) -> int:
        """Return the number of requests not yet settled here and at the witness."""
        return self._unsettled

    def hand_over(self) -> None:
        """Stop starting requests and hand unstarted tickets over to their witnesses."""
        self._closed = True
        for peer_id in list(self._peers.by_id):
            if self._peers.is_alive(peer_id):
                message = TicketHandover(self._incarnation, self._used_tickets(peer_id))
                self._query(peer_id, message, self._timing.peer_call)

    def _used_tickets(self, witness: str) -> tuple[Ticket, ...]:
        return tuple(
            run.ticket
            for run in self._run_by_nonce.values()
            if run.ticket.witness == witness
            and (run.outcome is None or run.outcome.state != FINISHED)
        )

    def _may_run(self, ticket: Ticket) -> bool:
        if self._closed:
            return False
        if ticket.incarnation == self._incarnation:
            return True
        if ticket.nonce in self._run_by_nonce:
            return True
        return self._witness.may_run_inherited(ticket)

    def _run_here(self, ticket: Ticket, request: ServiceRequest) -> Outcome:
        self._expire_runs()
        digest = hashlib.blake2b(request.path.encode() + b"\0" + request.body).digest()
        run = self._run_by_nonce.get(ticket.nonce)
        if run is None:
            refusal = self._refuse_new(ticket)
            if refusal is not None:
                return refusal
            run = self._run_by_nonce[ticket.nonce] = _TicketRun(ticket, digest)
            self._unsettled += 1
            eventlet.spawn_n(self._execute, ticket, request, run)
        if run.digest != digest:
            return Outcome(REUSED, detail="the ticket was used with another request")
        return run.wait(request.remaining)

    def _refuse_new(self, ticket: Ticket) -> Outcome | None:
        if ticket.incarnation != self._incarnation:
            return None
        age = now() - ticket.issued_at
        if age >= self._timing.ticket_memory:
            return Outcome(UNKNOWN, detail="the ticket is too old to be remembered")
        if age >= self._timing.ticket_lifetime:
            return Outcome(NOT_RUN, detail="the ticket has expired; take a new one")
        if len(self._run_by_nonce) >= self._settings.limits.tickets:
            # The outcome is not NOT_RUN: that would be final, and this ticket may still
            # be used.
            detail = "too many tickets are in use here; ask again with this one"
            return Outcome(BUSY, detail=detail)
        return None

    def _execute(
        self, ticket: Ticket, request: ServiceRequest, run: _TicketRun
    ) -> None:
        start_by = self._start_by(ticket, request)
        if ticket.incarnation != self._incarnation:
            self._witness.record_inherited_start(ticket)
        outcome = self._record_start(ticket)
        if outcome is None:

            def check_may_start() -> None:
                # The process may have been paused since the start was recorded. By now
                # the caller may have got an outcome from another instance and may have
                # repeated the request; a late start would run it a second time.
                if now() >= start_by:
                    detail = "its time to start ran out"
                    raise RequestError(ErrorKind.NOT_RUN, detail)

            try:
                outcome = self._send(request, ticket.nonce, check_may_start)
            except RequestError as error:
                outcome = Outcome(NOT_RUN, detail=error.detail)
            except Exception as error:
                outcome = Outcome(UNKNOWN, detail=repr(error))
        run.finish(outcome)
        self._decisions.record(request.id, "ticket", outcome.state, outcome.detail)
        self._report_outcome(ticket, outcome)
        self._unsettled -= 1

    def _start_by(self, ticket: Ticket, request: ServiceRequest) -> float:
        deadline = now() + request.remaining
        if ticket.incarnation != self._incarnation:
            return deadline
        return min(deadline, ticket.issued_at + self._timing.ticket_lifetime)

    def _record_start(self, ticket: Ticket) -> Outcome | None:
        """Record the start at the witness before the first byte is sent.

        If this instance were killed after sending, no other instance could tell whether
        the request ran; the caller would get "not run" and book twice. Nothing is
        therefore sent without the witness's confirmation. Model: ``ask_witness``.

        Returns:
            The outcome if the request must not be sent, else None.
        """
        if ticket.witness == NO_WITNESS or ticket.incarnation != self._incarnation:
            return None
        message = StartRecord(ticket)
        try:
            limit = self._timing.peer_call
            recorded = self._peers.call(ticket.witness, message, limit).recorded
        except PeerUnreachableError as error:
            detail = f"its witness {ticket.witness} can't be reached: {error}"
            return Outcome(NOT_RUN, detail=f"{detail}; take a new ticket")
        if not recorded:
            detail = "it was given up before; take a new ticket"
            return Outcome(NOT_RUN, detail=detail)
        return None

    def _report_outcome(self, ticket: Ticket, outcome: Outcome) -> None:
        message = OutcomeRecord(ticket, outcome)
        if ticket.incarnation != self._incarnation:
            self._witness.record_outcome(message)
            return
        if ticket.witness == NO_WITNESS:
            return
        for _ in range(_MAX_RECORD_ATTEMPTS):
            answer = self._query(ticket.witness, message, self._timing.peer_call)
            if answer != Outcome(ELSEWHERE):
                return
            eventlet.sleep(_RECORD_RETRY_DELAY)

    def _forward(
        self, instance: str, ticket: Ticket, request: ServiceRequest
    ) -> Outcome:
        if instance == self._own_id or not self._peers.is_alive(instance):
            return Outcome(ELSEWHERE)
        limit = request.remaining - 2 * self._timing.peer_call
        if limit <= 0:
            return Outcome(ELSEWHERE)
        forwarded = RunTicket(ticket, request._replace(remaining=limit))
        self._decisions.record(request.id, "forward", instance, "holds the ticket", 1)
        return self._query(instance, forwarded, limit)

    def _settle_with_witness(self, ticket: Ticket, request: ServiceRequest) -> Outcome:
        """Let the witness decide the outcome when the issuer does not know it."""
        if ticket.witness == self._own_id:
            return self._witness.cancel_unstarted(ticket)
        if ticket.witness == NO_WITNESS:
            return Outcome(UNKNOWN, detail="its issuer is gone and it has no witness")
        limit = max(self._timing.peer_call, request.remaining)
        message = RunTicket(ticket, request._replace(remaining=limit))
        outcome = self._query(ticket.witness, message, limit)
        if outcome.state == ELSEWHERE:
            return Outcome(UNKNOWN, detail="issuer and witness can't be reached")
        return outcome

    def _query(self, instance: str, message: object, limit: float) -> Outcome:
        try:
            return self._peers.call(instance, message, limit)
        except PeerUnreachableError:
            return Outcome(ELSEWHERE)

    def _expire_runs(self) -> None:
        while self._run_by_nonce:
            nonce, run = next(iter(self._run_by_nonce.items()))
            if (
                run.outcome is None
                or now() < run.started_at + self._timing.ticket_memory
            ):
                return
            del self._run_by_nonce[nonce]
