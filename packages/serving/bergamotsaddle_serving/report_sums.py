"""Sums over the reports of the live instances, kept from one roster to the next.

This module does no input or output.
"""

from collections.abc import Sequence
from typing import NamedTuple, Protocol

from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.stage_load import URGENCIES
from bergamotsaddle_serving.target_totals import TargetTotals, TargetUsage

Pending = list[tuple[str, str, list[int]]]


class Reporter(TargetUsage, Protocol):
    """An instance and its last report.

    Each report replaces the collections of the one before and changes none of them.

    Attributes:
        contact: Id, zone and host of the instance.
        pending: Pieces of its requests that will reach each queue, by urgency.
    """

    contact: Contact
    pending: Pending


class _Report(NamedTuple):
    """What is counted of one instance."""

    running: dict[str, int]
    prefill_tokens: dict[str, int]
    pending: Pending


_NOTHING = _Report({}, {}, [])


class ReportSums:
    """Sums over the reports of some instances.

    A roster is rebuilt whenever it is some milliseconds old, and few instances have
    sent a report meanwhile. Only these are counted again, so the cost grows neither
    with the fleet nor with its targets.

    Attributes:
        totals: Load of the instances at each target.
        pending_by_queue: Pieces that will reach each queue, by urgency.
    """

    def __init__(self) -> None:
        self.totals = TargetTotals()
        self.pending_by_queue: dict[tuple[str, str], list[int]] = {}
        self._counted_by_id: dict[str, _Report] = {}

    def update(self, members: Sequence[Reporter]) -> None:
        """Make the sums those over the last reports of exactly these instances."""
        counted_by_id = self._counted_by_id
        for member in members:
            name = member.contact.id
            counted = counted_by_id.get(name, _NOTHING)
            if (
                counted.running is not member.running
                or counted.prefill_tokens is not member.prefill_tokens
                or counted.pending is not member.pending
            ):
                latest = _Report(member.running, member.prefill_tokens, member.pending)
                self._replace(counted, latest)
                counted_by_id[name] = latest
        if len(counted_by_id) > len(members):
            ids = {member.contact.id for member in members}
            for name in counted_by_id.keys() - ids:
                self._replace(counted_by_id.pop(name), _NOTHING)

    def _replace(self, earlier: _Report, latest: _Report) -> None:
        self.totals.replace(
            (earlier.running, latest.running),
            (earlier.prefill_tokens, latest.prefill_tokens),
        )
        if earlier.pending != latest.pending:
            self._add_pending(earlier.pending, -1)
            self._add_pending(latest.pending, 1)

    def _add_pending(self, pending: Pending, sign: int) -> None:
        by_queue = self.pending_by_queue
        for service, scope, counts in pending:
            sums = by_queue.setdefault((service, scope), [0] * URGENCIES)
            for urgency, count in enumerate(counts[:URGENCIES]):
                sums[urgency] += sign * count
            if sign < 0 and not any(sums):
                del by_queue[service, scope]
