"""Requests that wait for a target, ordered by their teams' shares."""

import heapq
import itertools
from typing import NamedTuple

from eventlet.event import Event

from bergamotsaddle_contracts.declaration import Team


class Entry(NamedTuple):
    """A place in the queue; entries sort by virtual start time, then priority."""

    start: float
    priority: int
    number: int
    waiter: "Waiter"


class Waiter:
    """One waiting request; ``result`` is a slot or an error once it is decided."""

    def __init__(self, need: object) -> None:
        self.need = need
        self.result: object | None = None
        self.decided = Event()
        self.gone = False

    def decide(self, result: object) -> None:
        """Give the waiting green thread its result."""
        self.result = result
        self.decided.send()


class FairQueue:
    """Start-time fair queueing over teams.

    A team that floods the queue gets ever later virtual start times, so the requests
    of other teams pass it and notice little: one that comes from a team with nothing
    waiting is next.
    """

    def __init__(self) -> None:
        self._heap: list[Entry] = []
        self._virtual = 0.0
        self._finish_by_team: dict[str, float] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._heap)

    def start_of(self, team: Team) -> float:
        """Virtual start time that the team's next request would get."""
        return max(self._virtual, self._finish_by_team.get(team.name, 0.0))

    def before(self, team: Team) -> int:
        """How many waiting requests the team's next one would have to wait for."""
        start = self.start_of(team)
        return sum(entry.start < start for entry in self._heap)

    def has_waiting(self, team: Team) -> bool:
        """Tell whether a request of the team waits already."""
        return self._finish_by_team.get(team.name, 0.0) > self._virtual

    def push(self, team: Team, waiter: Waiter) -> None:
        """Add a waiting request."""
        start = self.start_of(team)
        self._finish_by_team[team.name] = start + 1.0 / team.share
        entry = Entry(start, team.priority, next(self._numbers), waiter)
        heapq.heappush(self._heap, entry)

    def push_back(self, entry: Entry) -> None:
        """Put back an entry that could not be served yet."""
        heapq.heappush(self._heap, entry)

    def pop(self) -> Entry | None:
        """Take the next entry whose request still waits."""
        while self._heap:
            entry = heapq.heappop(self._heap)
            if not entry.waiter.gone:
                return entry
        self._finish_by_team.clear()
        return None

    def serve(self, entry: Entry) -> None:
        """Advance virtual time to an entry that was served."""
        self._virtual = max(self._virtual, entry.start)

    def drop(self, waiter: Waiter) -> None:
        """Take out a request that gave up."""
        waiter.gone = True
        self._heap = [entry for entry in self._heap if entry.waiter is not waiter]
        heapq.heapify(self._heap)
