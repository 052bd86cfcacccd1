"""The work at the queue of a stage service, and when a further stage is done there."""

from typing import NamedTuple

# Urgencies that are told apart in what owners say of their queues.
URGENCIES = 6


def level(urgency: int) -> int:
    """The level at which an urgency is counted."""
    return min(max(0, urgency), URGENCIES - 1)


# Places in a queue that are told apart: first requests whose earlier stages have run,
# in the order in which they are due, then each urgency of those that begin.
PLACES = 1 + URGENCIES


def place(urgency: int, *, has_started: bool) -> int:
    """The place at which pieces are counted; lower ones go first.

    Args:
        urgency: 0 first.
        has_started: Whether earlier stages of the request have run.
    """
    return 0 if has_started else 1 + level(urgency)


def urgency_of(turn: int) -> int:
    """The least urgent level of requests that go before a place or share it.

    Begun requests of all urgencies share the first place.
    """
    return turn - 1 if turn else URGENCIES - 1


class StageLoad(NamedTuple):
    """The load at one queue of a stage service.

    Attributes:
        drain: Seconds until what waits there now is done.
        call: Seconds of a call.
        rate: Pieces a second.
    """

    drain: float
    call: float
    rate: float

    def seconds(self, start: float, ahead: float = 0.0) -> float:
        """Expected seconds of a stage.

        Args:
            start: Seconds from now until it is begun; what waits there now is partly
                done by then.
            ahead: Pieces that will have come before it.
        """
        drain = self.drain + ahead / max(self.rate, 0.1)
        return max(0.0, drain - start) + self.call


class ScopeLoad(NamedTuple):
    """A zone or region, and the load at its queue of a stage service."""

    scope: str
    load: StageLoad


class PendingWork:
    """Pieces of admitted requests that will come to a stage later.

    Answers bursts of requests with chains of stages. The queue of a chain's last stage
    is still short when far more requests than it can do have been admitted; their
    pieces are still with the first stages. Counting only what waits would admit
    requests whose results expire in front of the last stage.

    Attributes:
        changes: Number of changes so far.
    """

    def __init__(self) -> None:
        self._counts: dict[tuple[str, str], list[int]] = {}
        self.changes = 0

    def add(self, service: str, scope: str, urgency: int, pieces: int) -> None:
        """Count pieces that will come; a negative number takes them back."""
        self.changes += 1
        counts = self._counts.setdefault((service, scope), [0] * URGENCIES)
        counts[level(urgency)] += pieces
        if not any(counts):
            del self._counts[service, scope]

    def pieces_ahead(self, service: str, scope: str, urgency: int) -> int:
        """Pieces of this or a higher urgency that will come."""
        counts = self._counts.get((service, scope))
        return sum(counts[: level(urgency) + 1]) if counts else 0

    def report(self) -> list[tuple[str, str, list[int]]]:
        """All counts, to be told to others."""
        return [(*name, counts) for name, counts in self._counts.items()]
