"""Decides which instance reads the platform's store for a zone.

This module does no input or output.
"""

from collections.abc import Collection, Sequence

# Stands for the store in the ranking of queue owners.
STORE = "store"
# Failed readers after which an instance reads the store itself.
_MAX_FAILED_READERS = 2


def pick_reader(
    ranked: Sequence[str],
    own_id: str,
    avoided: Collection[str],
    *,
    is_overdue: bool = False,
) -> str | None:
    """Return the instance from which this one receives changes of the store.

    This serves fleets of hundreds of instances. If each of them watched the store
    itself, every change would complete the watches of all of them. Instances that reach
    each other choose the same reader without communication. An instance that finds its
    readers dead, refused by the store or behind reads the store itself, and so does one
    whose view is overdue, unless the store has just refused it.

    Args:
        ranked: Instances that may read for the zone, the reader first.
        own_id: Id of this instance.
        avoided: Instances whose response was recently missing or too old, and this
            instance if the store has recently refused it.
        is_overdue: Whether the view of this instance needs another source at once.

    Returns:
        The reader, None if this instance reads the store itself.
    """
    usable = [instance for instance in ranked if instance not in avoided]
    if not usable or usable[0] == own_id:
        return None
    if own_id in avoided:
        return usable[0]
    if is_overdue or len(ranked) - len(usable) >= _MAX_FAILED_READERS:
        return None
    return usable[0]
