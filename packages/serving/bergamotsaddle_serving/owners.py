"""Which instance owns the queue of a stage service in a zone or region."""

from functools import lru_cache

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.peers import Peers

# Queues and sets of their possible owners that are ranked at the same time.
_MAX_CACHED_RANKINGS = 1_024


def rank_owners(peers: Peers, service: str, scope: str) -> list[str]:
    """Return the instances that may own a queue, the owner first.

    Instances that do not reach the service own no queue of it, unless none does.

    Rendezvous hashing gives all instances that reach each other the same owner without
    communication. While they are cut off from each other, two instances may own a
    queue. The targets' own refusals then keep the calls apart; pieces may run twice,
    but requests never do.

    Args:
        peers: The live instances.
        service: The stage service.
        scope: The zone or region whose targets the queue serves.
    """
    key = f"{service} {scope}"
    owners = peers.owners(scope)
    reaching = [owner for owner in owners if peers.reaches(owner, service)]
    return list(_rank(tuple(reaching or owners), key))


@lru_cache(maxsize=_MAX_CACHED_RANKINGS)
def _rank(instances: tuple[str, ...], key: str) -> list[str]:
    return sorted(
        instances, key=lambda name: rendezvous_weight(name, key), reverse=True
    )
