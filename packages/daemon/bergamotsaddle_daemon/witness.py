"""Remembers for other instances what became of their tickets.

The steps are those of ``model/tickets.py``, named in the comments.
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

_MAX_INHERITED = 1_000
_STARTED = Outcome(UNKNOWN, detail="started, no outcome is known")
_SEALED = Outcome(NOT_RUN, detail="not started and given up; take a new ticket")


class Witness:
    """Remembers for other instances which tickets were started and how they ended.

    Args:
        settings: The daemon's settings.
        incarnation: Random name of this process.
    """

    def __init__(self, settings: Settings, incarnation: str) -> None:
        self._memory = settings.timing.ticket_memory
        self._bound = settings.limits.tickets
        self._incarnation = incarnation
        self._records: OrderedDict[str, tuple[float, Outcome]] = OrderedDict()
        self._inherited: OrderedDict[str, bool] = OrderedDict()

    def __len__(self) -> int:
        return len(self._records)

    def record_start(self, message: StartRecord) -> StartAnswer:
        """Remember a start, unless the ticket was given up. Model: ``record``."""
        ticket = message.ticket
        self._forget_old()
        if ticket.incarnation in self._inherited:
            return StartAnswer(False)
        known = self._records.get(ticket.nonce)
        if known is not None:
            return StartAnswer(known[1].state == UNKNOWN)
        if not self._remembers(ticket) or len(self._records) >= self._bound:
            return StartAnswer(False)
        self._put(ticket, _STARTED)
        return StartAnswer(True)

    def record_outcome(self, message: OutcomeRecord) -> Done:
        """Remember how a started request ended. Model: ``report``."""
        known = self._records.get(message.ticket.nonce)
        if known is not None and known[1].state == UNKNOWN:
            self._records[message.ticket.nonce] = (known[0], message.outcome)
        return Done()

    def apply_handover(self, message: TicketHandover) -> Done:
        """Take over the unused tickets of an issuer that stops. Model: ``inherit``.

        A used one may have been refused before its start was recorded here. Its
        caller was told "not run", so it must not run here either.
        """
        for ticket in message.used:
            if ticket.nonce not in self._records and self._remembers(ticket):
                self._put(ticket, _SEALED)
        self._inherited[message.incarnation] = True
        if len(self._inherited) > _MAX_INHERITED:
            self._inherited.popitem(last=False)
        return Done()

    def has_inherited(self, ticket: Ticket) -> bool:
        """Tell whether this process may run an unstarted ticket. Model: ``inherit``."""
        if ticket.incarnation not in self._inherited:
            return False
        return ticket.nonce not in self._records and self._remembers(ticket)

    def begin_inherited(self, ticket: Ticket) -> None:
        """Remember that an inherited ticket is being run here."""
        self._put(ticket, _STARTED)

    def query_outcome(self, ticket: Ticket) -> Outcome:
        """Tell what is remembered of a ticket without changing it."""
        known = self._records.get(ticket.nonce)
        if known is not None:
            return known[1]
        return Outcome(UNKNOWN, detail="the witness has no record of it")

    def cancel_unstarted(self, ticket: Ticket) -> Outcome:
        """Tell what became of a ticket; one that wasn't started never will be.

        Without the seal the issuer, slow or paused, could still start the request
        after its caller was told that it did not run. Model: ``seal``.
        """
        self._forget_old()
        known = self._records.get(ticket.nonce)
        if known is not None:
            return known[1]
        if not self._remembers(ticket) or len(self._records) >= self._bound:
            return Outcome(UNKNOWN, detail="the witness does not remember that far")
        self._put(ticket, _SEALED)
        return _SEALED

    def _remembers(self, ticket: Ticket) -> bool:
        """Tell whether a start of this ticket could not have been forgotten.

        Records last for the memory's length, and none of this ticket can be older
        than the mark in it, which is this process's own clock. So until the mark
        plus that length, no record means no start.
        """
        if ticket.witness_incarnation != self._incarnation:
            return False
        return now() < ticket.witness_mark + self._memory

    def _put(self, ticket: Ticket, outcome: Outcome) -> None:
        self._records[ticket.nonce] = (now(), outcome)

    def _forget_old(self) -> None:
        while self._records:
            nonce, (recorded_at, _) = next(iter(self._records.items()))
            if now() < recorded_at + self._memory:
                return
            del self._records[nonce]
