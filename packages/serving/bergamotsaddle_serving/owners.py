"""Which instance owns the queue of a stage service in a zone or region."""

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.peers import Peers


def rank_owners(peers: Peers, service: str, scope: str) -> list[str]:
    """Instances that may own the queue, the owner first.

    Instances that hear each other come to the same owner without a word between them.
    While they don't, two may own a queue: the targets' own refusals then keep the
    calls apart, and pieces may run twice, but requests never do.

    Args:
        peers: The instances that live.
        service: The stage service.
        scope: The zone or region whose targets the queue is for.
    """
    key = f"{service} {scope}"
    return sorted(
        peers.owners(scope), key=lambda peer: rendezvous_weight(peer, key), reverse=True
    )
