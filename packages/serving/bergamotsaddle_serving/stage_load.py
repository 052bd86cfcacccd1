"""Load at the queue of a stage service, and the expected time of a further stage."""

from typing import NamedTuple

# Number of urgencies that the queue loads of owners distinguish.
URGENCIES = 6


def level(urgency: int) -> int:
    """Return the level at which an urgency is counted."""
    return min(max(0, urgency), URGENCIES - 1)


# Number of places in a queue that follow each other: first the requests whose earlier
# stages have run, in the order in which they are due, then each urgency of those that
# have not started.
ORDERED_PLACES = 1 + URGENCIES
# Behind them stand the places within the first one: the requests of each urgency but
# the last one whose earlier stages have run.
PLACES = ORDERED_PLACES + URGENCIES - 1


def place(urgency: int, *, has_started: bool, by_urgency: bool = False) -> int:
    """Return the place at which pieces are counted.

    Args:
        urgency: Urgency of the request, 0 first.
        has_started: Whether earlier stages of the request have run.
        by_urgency: Whether less urgent requests that have started are left out.
    """
    if not has_started:
        return 1 + level(urgency)
    if not by_urgency or level(urgency) == URGENCIES - 1:
        return 0
    return ORDERED_PLACES + level(urgency)


def urgency_of(queue_place: int) -> int:
    """Return the least urgent level of requests at a place or before it.

    Started requests of all urgencies share the first place.
    """
    if queue_place >= ORDERED_PLACES:
        return queue_place - ORDERED_PLACES
    return queue_place - 1 if queue_place else URGENCIES - 1


class StageLoad(NamedTuple):
    """The load at one queue of a stage service.

    Attributes:
        drain: Seconds until the pieces that wait now are done.
        call: Seconds of a call.
        rate: Pieces per second.
    """

    drain: float
    call: float
    rate: float

    def seconds(self, start: float, ahead: float = 0.0) -> float:
        """Return the expected seconds of a stage.

        Args:
            start: Seconds until the stage starts. Some of the pieces that wait now
                will be done by then.
            ahead: Pieces that will have arrived before those of the stage.
        """
        drain = self.drain + ahead / max(self.rate, 0.1)
        return max(0.0, drain - start) + self.call


class ScopeLoad(NamedTuple):
    """A zone or region, and the load at its queue of a stage service.

    Attributes:
        scope: The zone or region.
        load: The load.
    """

    scope: str
    load: StageLoad


class PendingWork:
    """Pieces of admitted requests that will reach a stage later.

    This serves bursts of requests with chains of stages. The queue of a chain's last
    stage is still short when far more requests than it can serve have been admitted,
    because their pieces are still at the first stages. Counting only the waiting pieces
    would admit requests whose results expire before the last stage.

    Attributes:
        changes: Number of changes so far.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], list[int]] = {}
        self.changes = 0

    def add(self, service: str, scope: str, urgency: int, pieces: int) -> None:
        """Count pending pieces; a negative number removes them."""
        self.changes += 1
        counts = self._counts.setdefault((service, scope), [0] * URGENCIES)
        counts[level(urgency)] += pieces
        if not any(counts):
            del self._counts[service, scope]

    def pieces_ahead(self, service: str, scope: str, urgency: int) -> int:
        """Return the pending pieces of an urgency and all more urgent ones."""
        counts = self._counts.get((service, scope))
        return sum(counts[: level(urgency) + 1]) if counts else 0

    def report(self) -> list[tuple[str, str, list[int]]]:
        """Return all counts for the heartbeats to other instances."""
        return [(*name, counts) for name, counts in self._counts.items()]
