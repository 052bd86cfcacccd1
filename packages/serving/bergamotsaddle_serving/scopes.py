"""Which targets of a stage service share one queue."""

from bergamotsaddle_serving.peers import Peers
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
    """

    def __init__(self, view: View, peers: Peers) -> None:
        self._view = view
        self._peers = peers

    def of(self, service: str, zone: str) -> str:
        """Name of the region if its targets of a service share a queue, else the zone.

        Args:
            service: A stage service.
            zone: A zone.
        """
        region = self._peers.region(zone)
        known = self._view.targets_by_service.get(service, ())
        count = sum(self._peers.region(k.target.zone) == region for k in known)
        return region if count <= MOST_SHARED else zone
