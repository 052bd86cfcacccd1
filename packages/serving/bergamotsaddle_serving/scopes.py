"""Which targets of a stage service share one queue."""

from collections import Counter

from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.view import View

# Up to this number of targets in a region share one queue. A piece then waits for the
# first of them that is free; with one queue and one target per zone it would wait for
# half a call at each stage. With more targets one owner would make over 40 calls per
# second, which takes a tenth of a core, and zones have enough targets of their own.
MAX_SHARED_TARGETS = 12


class Scopes:
    """Finds the zone or region whose targets share a queue.

    Args:
        view: The targets.
        peers: Maps zones to regions.
        policy: Enabled mechanisms; they decide whether targets share queues.
    """

    def __init__(self, view: View, peers: Peers, policy: Policy = FULL_POLICY) -> None:
        self._policy = policy
        self._view = view
        self._peers = peers
        self._counts: Counter[tuple[str, str]] = Counter()
        view.subscribe(self._count)
        self._count()

    def of(self, service: str, zone: str) -> str:
        """Return the region if its targets of a service share a queue, else the zone.

        Args:
            service: A stage service.
            zone: A zone.
        """
        if not self._policy.has(Mechanism.REGION_QUEUES):
            return zone
        region = self._peers.region(zone)
        return region if self._counts[service, region] <= MAX_SHARED_TARGETS else zone

    def _count(self) -> None:
        """Count the targets of each service by region."""
        counts: Counter[tuple[str, str]] = Counter()
        for service, group in self._view.targets_by_service.items():
            by_zone = Counter([known.target.zone for known in group])
            for zone, count in by_zone.items():
                counts[service, self._peers.region(zone)] += count
        self._counts = counts
