"""The instances that live at one moment, and what follows from what they told."""

from collections.abc import Callable, Sequence
from functools import cached_property
from typing import Protocol

from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.stage_load import URGENCIES
from bergamotsaddle_serving.target_totals import TargetTotals, Told


class Member(Told, Protocol):
    """A living instance and what it told."""

    contact: Contact
    accepts_work: bool
    cores: float
    pending: list[tuple[str, str, list[int]]]


class Roster:
    """All living instances as one value.

    The decisions about one request ask dozens of times who owns a queue and what comes
    there. Each answer is worked out once, since a walk over hundreds of instances for
    each question would cost more than serving the request.

    Args:
        members: The other instances that live.
        candidates: Instances that may own queues, this one among them if it may.
        least_part: Owners have this part of the strongest candidate's strength.
        region: Tells the region of a zone.
    """

    def __init__(
        self,
        members: Sequence[Member],
        candidates: Sequence[tuple[Contact, float]],
        *,
        min_cores_fraction: float,
        region: Callable[[str], str],
    ) -> None:
        self.members = members
        self._candidates = candidates
        self._least_part = min_cores_fraction
        self._region = region
        self._owners_by_scope: dict[str, list[str]] = {}

    @cached_property
    def totals(self) -> TargetTotals:
        """What all other instances have at each target."""
        return TargetTotals(self.members)

    @cached_property
    def coming_by_queue(self) -> dict[tuple[str, str], list[int]]:
        """Pieces that other instances will send to each queue, by urgency."""
        counts: dict[tuple[str, str], list[int]] = {}
        for member in self.members:
            for service, scope, told in member.pending:
                sums = counts.setdefault((service, scope), [0] * URGENCIES)
                for urgency, count in enumerate(told):
                    sums[urgency] += count
        return counts

    @cached_property
    def active_zones(self) -> set[str]:
        """Zones in which another instance takes work."""
        return {member.contact.zone for member in self.members if member.accepts_work}

    def owners(self, scope: str) -> list[str]:
        """Instances that can own a queue of a zone or region: its own ones, else all.

        Those inside can reach its targets whatever is cut off outside. Of these only
        the strong ones are taken: the owner of a large service makes dozens of calls a
        second, and one on a weak machine would delay every request of the region while
        others rest.
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
        most = max((cores for _, cores in candidates), default=0.0)
        least = self._least_part * most
        return [contact.id for contact, cores in candidates if cores >= least]
