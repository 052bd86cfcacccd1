"""Keeps the outcomes of other instances' tickets.

The protocol is modelled in ``model/tickets.py``; docstrings name its steps.
"""

from collections import OrderedDict

from bergamotsaddle_contracts.messages import (
    NOT_RUN,
    UNKNOWN,
    Done,
    Outcome,
    OutcomeRecord,
    StartAnswer,
    StartRecord,
    TicketHandover,
)
from bergamotsaddle_contracts.ticket import Ticket
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.settings import Settings

_MAX_INHERITED_ISSUERS = 1_000
_STARTED = Outcome(UNKNOWN, detail="started, no outcome is known")
_CANCELLED = Outcome(NOT_RUN, detail="not started and given up; take a new ticket")


class Witness:
    """Records for other instances which tickets were started and their outcomes.

    Args:
        settings: The daemon's settings.
        incarnation: Random name of this process.
    """

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self._retention_seconds = settings.timing.ticket_memory
        self._max_records = settings.limits.tickets
        self._incarnation = incarnation
        self._records: OrderedDict[str, tuple[float, Outcome]] = OrderedDict()
        self._inherited: OrderedDict[str, bool] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record_start(self, message: StartRecord) -> StartAnswer:
        """Record a start unless the ticket was cancelled. Model: ``record``."""
        ticket = message.ticket
        self._expire_records()
        if ticket.incarnation in self._inherited:
            return StartAnswer(False)
        record = self._records.get(ticket.nonce)
        if record is not None:
            return StartAnswer(record[1].state == UNKNOWN)
        if not self._is_retained(ticket) or len(self._records) >= self._max_records:
            return StartAnswer(False)
        self._add_record(ticket, _STARTED)
        return StartAnswer(True)

    def record_outcome(self, message: OutcomeRecord) -> Done:
        """Record the outcome of a started request. Model: ``report``."""
        record = self._records.get(message.ticket.nonce)
        if record is not None and record[1].state == UNKNOWN:
            self._records[message.ticket.nonce] = (record[0], message.outcome)
        return Done()

    def apply_handover(self, message: TicketHandover) -> Done:
        """Take over the unused tickets of an issuer that stops. Model: ``inherit``.

        A used ticket may have been rejected before its start was recorded here. Its
        caller got the outcome "not run", so it must not run here either.
        """
        for ticket in message.used:
            if ticket.nonce not in self._records and self._is_retained(ticket):
                self._add_record(ticket, _CANCELLED)
        self._inherited[message.incarnation] = True
        if len(self._inherited) > _MAX_INHERITED_ISSUERS:
            self._inherited.popitem(last=False)
        return Done()

    def may_run_inherited(self, ticket: Ticket) -> bool:
        """Return whether this process may run an inherited ticket. Model: ``inherit``.

        It may as long as the ticket was not started or cancelled before.
        """
        if ticket.incarnation not in self._inherited:
            return False
        return ticket.nonce not in self._records and self._is_retained(ticket)

    def record_inherited_start(self, ticket: Ticket) -> None:
        """Record that an inherited ticket is being run by this instance."""
        self._add_record(ticket, _STARTED)

    def query_outcome(self, ticket: Ticket) -> Outcome:
        """Return the recorded outcome of a ticket without changing it."""
        record = self._records.get(ticket.nonce)
        if record is not None:
            return record[1]
        return Outcome(UNKNOWN, detail="the witness has no record of it")

    def cancel_unstarted(self, ticket: Ticket) -> Outcome:
        """Return a ticket's outcome, and cancel it for good if it was not started.

        Without the cancellation a slow or paused issuer could still start the request
        after its caller got the outcome "not run". Model: ``seal``.
        """
        self._expire_records()
        record = self._records.get(ticket.nonce)
        if record is not None:
            return record[1]
        if not self._is_retained(ticket) or len(self._records) >= self._max_records:
            return Outcome(UNKNOWN, detail="the witness does not remember that far")
        self._add_record(ticket, _CANCELLED)
        return _CANCELLED

    def _is_retained(self, ticket: Ticket) -> bool:
        """Return whether a start of this ticket would still be on record.

        Records are kept for ``ticket_memory`` seconds. No record of this ticket can be
        older than its ``witness_clock``, which was read from this process's clock.
        Until ``witness_clock`` plus those seconds, a missing record therefore means
        that the request was not started.
        """
        if ticket.witness_incarnation != self._incarnation:
            return False
        return now() < ticket.witness_clock + self._retention_seconds

    def _add_record(self, ticket: Ticket, outcome: Outcome) -> None:
        self._records[ticket.nonce] = (now(), outcome)

    def _expire_records(self) -> None:
        while self._records:
            nonce, (recorded_at, _) = next(iter(self._records.items()))
            if now() < recorded_at + self._retention_seconds:
                return
            del self._records[nonce]
