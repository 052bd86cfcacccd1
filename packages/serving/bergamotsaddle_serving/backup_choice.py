"""Chooses the instances that keep the origins of an instance's streams.

This module does no input or output.
"""

from collections.abc import Iterable

from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_serving.peer_messages import Contact

# An instance may be killed together with others, or with its zone.
MAX_BACKUPS = 3


def choose_backups(own: Contact, others: Iterable[Contact]) -> list[Contact]:
    """Choose the backups of an instance.

    One is in its zone and reachable as long as its callers are; the others are in
    different zones as far as there are any. Rendezvous hashing changes few of them when
    instances come and go, and spreads them evenly.

    Args:
        own: The instance.
        others: The live other instances.
    """
    ranked = sorted(
        others, key=lambda peer: rendezvous_weight(peer.id, own.id), reverse=True
    )
    chosen = [peer for peer in ranked if peer.zone == own.zone][:1]
    zones = {own.zone}
    for peer in ranked:
        if peer.zone not in zones:
            zones.add(peer.zone)
            chosen.append(peer)
    if len(chosen) < MAX_BACKUPS:
        chosen += [peer for peer in ranked if peer not in chosen]
    return chosen[:MAX_BACKUPS]
