"""Recent requests of one service, how many were missed, and who sent them.

This module does no input or output.
"""

from collections import Counter, deque
from collections.abc import Iterable
from itertools import zip_longest
from zlib import crc32

from bergamotsaddle_serving.peer_messages import Demand
from bergamotsaddle_serving.stage_load import URGENCIES, level

# Requests count for this time: longer than the gaps between requests of one kind in a
# fleet, shorter than the bursts that change who is missed.
WINDOW_S = 3.0
_BUCKET_S = 0.5
# With fewer recent requests of an urgency, the fraction that is missed says little.
_MIN_ARRIVED = 8
# Teams that a report names at most.
_MAX_REPORTED_TEAMS = 4
# Teams that one instance counts apart in each bucket; the requests of further ones are
# within the share of their teams.
_MAX_TEAMS = 256


def team_key(name: str) -> int:
    """Return the key by which reports name a team."""
    return crc32(name.encode())


class RoomCounts:
    """Recent requests of one service at this instance.

    A request is missed if it is rejected for lack of room, or if its first event is
    late because it had to wait in stage queues. One that fails for another cause, which
    others can't mend by making room, is not.
    """

    def __init__(self) -> None:
        self._buckets: deque[_Bucket] = deque()

    def record_arrival(self, urgency: int, team: str, now: float) -> None:
        """Count a request that has arrived."""
        bucket = self._bucket(now)
        bucket.arrived[level(urgency)] += 1
        key = team_key(team)
        if key in bucket.teams or len(bucket.teams) < _MAX_TEAMS:
            bucket.teams[key] += 1

    def record_missed(self, urgency: int, now: float) -> None:
        """Count a request that is rejected, or late, for lack of room."""
        self._bucket(now).missed[level(urgency)] += 1

    def is_empty(self, now: float) -> bool:
        """Return whether no request came lately."""
        self._drop_old(now)
        return not self._buckets

    def report(self, service: str, now: float, *, names_teams: bool) -> Demand:
        """Return the counts for heartbeats.

        Args:
            service: Name of the service.
            now: Current time on the hub's clock.
            names_teams: Whether to include the teams with most requests.
        """
        self._drop_old(now)
        arrived = _sums(bucket.arrived for bucket in self._buckets)
        missed = _sums(bucket.missed for bucket in self._buckets)
        teams: Counter[int] = Counter()
        if names_teams:
            for bucket in self._buckets:
                teams.update(bucket.teams)
        most = dict(teams.most_common(_MAX_REPORTED_TEAMS))
        return Demand(service, _trim(arrived), _trim(missed), most)

    def _bucket(self, now: float) -> "_Bucket":
        index = int(now / _BUCKET_S)
        if not self._buckets or self._buckets[-1].index != index:
            self._buckets.append(_Bucket(index))
            self._drop_old(now)
        return self._buckets[-1]

    def _drop_old(self, now: float) -> None:
        oldest = int((now - WINDOW_S) / _BUCKET_S)
        while self._buckets and self._buckets[0].index <= oldest:
            self._buckets.popleft()


class _Bucket:
    """Requests of a part of the window."""

    def __init__(self, index: int) -> None:
        self.index = index
        self.arrived = [0] * URGENCIES
        self.missed = [0] * URGENCIES
        self.teams: Counter[int] = Counter()


class RoomTotals:
    """Recent requests of one service in the fleet.

    Args:
        reports: The reports of all instances on this service.

    Attributes:
        arrived: Requests by level of urgency.
        missed: Those of them that were rejected or late.
        teams: Requests by key of the team.
    """

    def __init__(self, reports: Iterable[Demand] = ()) -> None:
        reports = list(reports)
        self.arrived = _sums(report.arrived for report in reports)
        self.missed = _sums(report.missed for report in reports)
        self.teams: Counter[int] = Counter()
        for report in reports:
            self.teams.update(report.teams)

    @property
    def missed_fraction(self) -> float:
        """Fraction of all requests that are missed."""
        return min(1.0, sum(self.missed) / max(1, sum(self.arrived)))

    def missed_at(self, urgency: int) -> float:
        """Return the fraction of the requests of an urgency that are missed.

        With few requests it is 0, since one that is missed says little.
        """
        arrived = self.arrived[level(urgency)]
        if arrived < _MIN_ARRIVED:
            return 0.0
        return min(1.0, self.missed[level(urgency)] / arrived)

    @property
    def served_per_s(self) -> float:
        """Requests per second that are neither rejected nor late."""
        return max(0, sum(self.arrived) - sum(self.missed)) / WINDOW_S


def _sums(lists: Iterable[list[int]]) -> list[int]:
    """Return the sums by level; what a peer reports beyond the levels is ignored."""
    sums = [0] * URGENCIES
    for counts in lists:
        sums = [a + b for a, b in zip_longest(sums, counts, fillvalue=0)][:URGENCIES]
    return sums


def _trim(counts: list[int]) -> list[int]:
    """Return counts without the zeros at their end."""
    end = max((n + 1 for n, count in enumerate(counts) if count), default=0)
    return counts[:end]
