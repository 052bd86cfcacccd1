"""Which targets of a stage service share one queue."""

from collections import Counter

from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.view import View

# Up to this number of targets in a region they share one queue. A piece then waits for
# the first free one of them; with a queue and a single target a zone it waits for half
# a call at each stage. Beyond it, one owner would make over 40 calls a second, a tenth
# of a core, and zones have enough targets of their own.
MOST_SHARED = 12


class Scopes:
    """Finds the zone or region whose targets share a queue.

    Args:
        view: The targets.
        peers: Know the regions of zones.
        policy: Whether targets share queues.
    """

    def __init__(self, view: View, peers: Peers, policy: Policy = FULL_POLICY) -> None:
        self._policy = policy
        self._view = view
        self._peers = peers
        self._counts: Counter[tuple[str, str]] = Counter()
        view.subscribe(self._count)
        self._count()

    def of(self, service: str, zone: str) -> str:
        """Name of the region if its targets of a service share a queue, else the zone.

        Args:
            service: A stage service.
            zone: A zone.
        """
        if not self._policy.has(Mechanism.REGION_QUEUES):
            return zone
        region = self._peers.region(zone)
        return region if self._counts[service, region] <= MOST_SHARED else zone

    def _count(self) -> None:
        self._counts = Counter(
            (service, self._peers.region(known.target.zone))
            for service, group in self._view.targets_by_service.items()
            for known in group
        )
