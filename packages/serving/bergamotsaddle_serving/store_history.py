"""Finds the changes that the store still has."""

from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_serving.messages import StoreEntry

# Returns the changes after a revision, None if the store does not have all of them.
Watch = Callable[[int], list[StoreEntry] | None]


class StoreHistory(NamedTuple):
    """The changes that the store still has.

    Attributes:
        since: Revision after which all changes are known, 0 if none is lacking.
        changes: The changes, in order.
    """

    since: int
    changes: list[StoreEntry]


def find_history(watch: Watch, last: int) -> StoreHistory:
    """Find the oldest revision after which the store has all changes.

    The store keeps few of all changes that were ever made, so the search goes back
    from the newest one in growing steps.

    Args:
        watch: Asks the store.
        last: The newest revision.
    """
    changes = watch(0)
    if changes is not None:
        return StoreHistory(0, changes)
    history = StoreHistory(last, [])
    lost, step = 0, 1
    while history.since - lost > 1:
        revision = history.since - step
        changes = watch(revision)
        if changes is None:
            lost = revision
        else:
            history = StoreHistory(revision, changes)
        half = max(1, (history.since - lost) // 2)
        step = half if changes is None else min(2 * step, half)
    return history
