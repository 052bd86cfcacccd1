"""A fair queue of the calls that wait for a target, weighted by team shares."""

import heapq
import itertools
from typing import NamedTuple

from eventlet.event import Event

from bergamotsaddle_contracts.declaration import Team


class QueueEntry(NamedTuple):
    """A position in the queue.

    Entries sort by virtual start time, then by priority, then by order of arrival.

    Attributes:
        start: Virtual start time.
        priority: Priority of the team; 1 sorts before 9.
        number: Sequence number, which keeps the order of arrival.
        waiter: The waiting call.
    """

    start: float
    priority: int
    number: int
    waiter: "Waiter"


class Waiter:
    """One waiting call.

    Attributes:
        requirements: What the call needs.
        result: A slot or an error once the call is resolved, else None.
        resolved: Set when ``result`` is.
        has_left_queue: Whether the call was resolved or has stopped waiting.
    """

    def __init__(self, requirements: object) -> None:
        self.requirements = requirements
        self.result: object | None = None
        self.resolved = Event()
        self.has_left_queue = False

    def resolve(self, result: object) -> None:
        """Set the result and wake the green thread that waits for it."""
        self.result = result
        self.resolved.send()


class FairQueue:
    """A start-time fair queue over teams.

    Each call of a team that floods the queue gets a later virtual start time than the
    one before it, so calls of other teams overtake them and are hardly delayed. A call
    of a team with nothing else waiting is served next.
    """

    def __init__(self) -> None:
        self._heap: list[QueueEntry] = []
        self._virtual_time = 0.0
        self._virtual_finish_by_team: dict[str, float] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def virtual_start_of(self, team: Team) -> float:
        """Return the virtual start time that the team's next call would get."""
        return max(self._virtual_time, self._virtual_finish_by_team.get(team.name, 0.0))

    def count_ahead(self, team: Team) -> int:
        """Return how many waiting calls would be served before the team's next one."""
        start = self.virtual_start_of(team)
        return sum(entry.start < start for entry in self._heap)

    def has_waiting(self, team: Team) -> bool:
        """Return whether a call of the team is already waiting."""
        return self._virtual_finish_by_team.get(team.name, 0.0) > self._virtual_time

    def push(self, team: Team, waiter: Waiter) -> None:
        """Add a waiting call."""
        start = self.virtual_start_of(team)
        self._virtual_finish_by_team[team.name] = start + 1.0 / team.share
        entry = QueueEntry(start, team.priority, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)

    def requeue(self, entry: QueueEntry) -> None:
        """Put back an entry that was popped but could not be served yet."""
        heapq.heappush(self._heap, entry)

    def pop(self) -> QueueEntry | None:
        """Remove and return the next entry that still waits, or None if there is none.

        An empty queue forgets the virtual finish times of all teams.
        """
        while self._heap:
            entry = heapq.heappop(self._heap)
            if not entry.waiter.has_left_queue:
                return entry
        self._virtual_finish_by_team.clear()
        return None

    def advance_to(self, entry: QueueEntry) -> None:
        """Advance virtual time to an entry that was served."""
        self._virtual_time = max(self._virtual_time, entry.start)

    def drop(self, waiter: Waiter) -> None:
        """Remove a call that has stopped waiting."""
        waiter.has_left_queue = True
        self._heap = [entry for entry in self._heap if entry.waiter is not waiter]
        heapq.heapify(self._heap)
