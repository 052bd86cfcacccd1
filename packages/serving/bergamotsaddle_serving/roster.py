"""The live instances at one moment, and what follows from their reports."""

from collections.abc import Callable, Sequence
from functools import cached_property
from typing import Protocol

from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.report_sums import Reporter, ReportSums
from bergamotsaddle_serving.target_totals import TargetTotals


class Member(Reporter, Protocol):
    """A live instance and its last report.

    Attributes:
        accepts_work: Whether it accepts work from other instances.
        cores: Cores of its machine.
    """

    accepts_work: bool
    cores: float


class Roster:
    """A view of all live instances, valid until the next one is built.

    The decisions about one request query the owner of a queue and its pending work
    dozens of times. Each result is computed once, since a walk over hundreds of
    instances for every query would cost more than serving the request.

    Args:
        members: The other live instances.
        candidates: Instances that may own queues with their cores, including this one
            if it may.
        min_cores_fraction: Owners have at least this fraction of the cores of the
            strongest candidate.
        region: Returns the region of a zone.
        earlier: The roster that this one replaces; its sums are brought up to date,
            and its owners hold while the candidates are the same.
    """

    def __init__(
        self,
        members: Sequence[Member],
        candidates: Sequence[tuple[Contact, float]],
        *,
        min_cores_fraction: float,
        region: Callable[[str], str],
        earlier: "Roster | None" = None,
    ) -> None:
        self.members = members
        self._candidates = candidates
        self._min_cores_fraction = min_cores_fraction
        self._region = region
        self._owners_by_scope: dict[str, list[str]] = {}
        self._report_sums = ReportSums()
        if earlier is not None:
            self._report_sums = earlier._report_sums
            if earlier._candidates == candidates:
                self._owners_by_scope = earlier._owners_by_scope

    @cached_property
    def _sums(self) -> ReportSums:
        self._report_sums.update(self.members)
        return self._report_sums

    @property
    def totals(self) -> TargetTotals:
        """Load of all other instances at each target."""
        return self._sums.totals

    @property
    def pending_by_queue(self) -> dict[tuple[str, str], list[int]]:
        """Pieces of other instances that will reach each queue, by urgency."""
        return self._sums.pending_by_queue

    @cached_property
    def active_zones(self) -> set[str]:
        """Zones in which another instance accepts work."""
        return {member.contact.zone for member in self.members if member.accepts_work}

    def owners(self, scope: str) -> list[str]:
        """Return the instances that can own a queue of a zone or region.

        These are the instances inside it, or all instances if there are none. Instances
        inside can reach its targets whatever is cut off outside. Only those with many
        cores qualify: the owner of a large service makes dozens of calls per second,
        and an owner on a weak machine would delay every request of the region while
        other machines are idle.
        """
        owners = self._owners_by_scope.get(scope)
        if owners is None:
            owners = self._owners_by_scope[scope] = self._pick_owners(scope)
        return owners

    def _pick_owners(self, scope: str) -> list[str]:
        inside = [
            (contact, cores)
            for contact, cores in self._candidates
            if scope in (contact.zone, self._region(contact.zone))
        ]
        candidates = inside or self._candidates
        max_cores = max((cores for _, cores in candidates), default=0.0)
        min_cores = self._min_cores_fraction * max_cores
        return [contact.id for contact, cores in candidates if cores >= min_cores]
