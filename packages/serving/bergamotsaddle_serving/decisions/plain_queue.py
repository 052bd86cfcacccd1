"""Places the requests of all instances at the targets of one plain service.

This module does no input or output.
"""

import math
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.decisions.target_slowdowns import (
    MAX_SLOWDOWN,
    TargetSlowdowns,
)

# Requests that a target gets beyond its slots, as a fraction of these: they start while
# the owner learns that a slot is free.
_QUEUE_FRACTION = 0.25
# The fraction of its objective that a request may be expected to use.
_MAX_OBJECTIVE_FRACTION = 0.9
# A request that takes longer than its objective even without a queue may still wait for
# this fraction of it.
_MIN_WAIT_FRACTION = 0.25
# Expected waits are multiplied by this, since targets turn slow while requests wait.
_WAIT_FACTOR = 1.3
# Targets whose expected seconds differ by less than this factor are equally good.
_TOLERANCE = 1.2
# A target in the request's own zone is preferred unless it got more of the recent
# requests than the mean by this factor.
_MAX_ZONE_SHARE = 1.1
_CROSS_ZONE_S = 0.004
# Time constant after which a placed request no longer counts as recent.
_RECENT_S = 1.0
# A lease ends after this multiple of the seconds that its target was expected to take,
# but not before this time.
_LEASE_FACTOR = 10.0
_MIN_LEASE_S = 0.5
# Callers that are refused are asked to return between these times.
_MIN_RETRY_S = 0.1
_MAX_RETRY_S = 2.0

TicketKey = tuple[str, int]


class Place(NamedTuple):
    """A target that may get requests.

    Attributes:
        id: Id of the target.
        incarnation: Its incarnation.
        zone: Its availability zone.
        slots: Requests that it runs at once.
    """

    id: str
    incarnation: tuple[str, int]
    zone: str
    slots: int

    @property
    def room(self) -> int:
        """Requests that it may have, those in its short queue included."""
        slots = max(1, self.slots)
        return slots + max(1, int(slots * _QUEUE_FRACTION))


class Applicant(NamedTuple):
    """A request that asks for a place.

    Attributes:
        key: Instance that asks, and the number of its question.
        request: Id of the request.
        zone: Availability zone of the instance.
        urgency: Urgency of the request, 0 first.
        team: Name of its team.
        due_at: When it is to be answered, on the hub's clock.
        deadline_at: When its caller gives up, on the hub's clock.
        excluded: Ids of targets that must not get it.
    """

    key: TicketKey
    request: str
    zone: str
    urgency: int
    team: str
    due_at: float
    deadline_at: float
    excluded: frozenset[str] = frozenset()


class Outcome(NamedTuple):
    """What a request got.

    Attributes:
        applicant: The request.
        target: Id of the target, empty if it was refused.
        retry_after: Seconds after which its caller may return, if it was refused.
        expected: Seconds until it was expected to end.
        is_local: Whether the instance that asks is to choose a target itself.
    """

    applicant: Applicant
    target: str
    retry_after: float = 0.0
    expected: float = 0.0
    is_local: bool = False


class _Lease(NamedTuple):
    """A request that runs at a target."""

    place: Place
    expires_at: float


class _Recent:
    """Number of requests that a target got recently, which fades."""

    def __init__(self) -> None:
        self._count = 0.0
        self._at = now()

    def count(self) -> float:
        """Return the number."""
        return self._count * math.exp((self._at - now()) / _RECENT_S)

    def add(self) -> None:
        """Count a request."""
        self._count = self.count() + 1.0
        self._at = now()


class PlainQueue:
    """Orders the requests for one plain service, places them and refuses what is late.

    This answers a burst of several times the capacity of a few targets, from many
    instances. Each of them knows the requests of the others too late, so all would
    send to the target that looked best, and all requests would wait until most are
    late. Here a request goes to the target that is expected to finish it first, in the
    order of urgency. Teams take turns within an urgency, and the request of a team that
    is due first goes first. A request that would wait until it is late is refused at
    once. Its caller is told when there will be room; callers that are refused one
    after the other are told later times.

    Nothing is refused for lack of knowledge: a new queue counts no requests, and so
    expects no wait.

    Args:
        slowdowns: How long work takes at each target now.

    Attributes:
        placed: Number of requests that were placed.
        refused: Number of requests that were refused.
    """

    def __init__(self, slowdowns: TargetSlowdowns) -> None:
        self._slowdowns = slowdowns
        self._waiting_by_key: dict[TicketKey, Applicant] = {}
        self._lease_by_key: dict[TicketKey, _Lease] = {}
        self._started_at_by_place: dict[str, dict[TicketKey, float]] = {}
        self._recent_by_id: dict[str, _Recent] = {}
        self._served_by_team: dict[str, float] = {}
        self._free_at = 0.0
        self.placed = 0
        self.refused = 0

    def __len__(self) -> int:
        """Return the number of requests that wait."""
        return len(self._waiting_by_key)

    @property
    def running(self) -> int:
        """Number of requests that run."""
        return len(self._lease_by_key)

    def holds(self, key: TicketKey) -> bool:
        """Return whether a request waits."""
        return key in self._waiting_by_key

    def admit(self, applicant: Applicant, places: Sequence[Place]) -> Outcome | None:
        """Place a request, let it wait, or refuse it.

        Args:
            applicant: The request.
            places: Targets that may get requests.

        Returns:
            Its place or refusal, None if it waits.
        """
        usable = _usable(applicant, places)
        self._count_in(applicant.team)
        ahead = self._ahead(applicant)
        if not ahead:
            place = self._choose(applicant, usable)
            if place is not None:
                return self._start(applicant, place)
        wait = self._wait(ahead + 1, usable)
        if self._is_late(applicant, wait, usable):
            return self._refuse(applicant, wait, usable)
        self._waiting_by_key[applicant.key] = applicant
        return None

    def _count_in(self, team: str) -> None:
        """Count a team that has no request waiting, which gains no turns meanwhile."""
        served = self._served_by_team
        if not self._waiting_by_key:
            served.clear()
        waiting = {applicant.team for applicant in self._waiting_by_key.values()}
        if team not in waiting:
            least = min((served.get(other, 0.0) for other in waiting), default=0.0)
            served[team] = max(served.get(team, 0.0), least)

    def end(self, key: TicketKey) -> Place | None:
        """Forget a request that has ended, or that waits no longer.

        Returns:
            The target that it ran at, None if it did not run.
        """
        self._waiting_by_key.pop(key, None)
        lease = self._lease_by_key.pop(key, None)
        if lease is None:
            return None
        started_at_by_key = self._started_at_by_place[lease.place.id]
        del started_at_by_key[key]
        if not started_at_by_key:
            del self._started_at_by_place[lease.place.id]
        return lease.place

    def renew(self, places: Sequence[Place]) -> list[Outcome]:
        """Place requests that wait where there is room, and refuse those that are late.

        Args:
            places: Targets that may get requests.
        """
        self._expire()
        outcomes = self._place_waiting(places) if self._has_room(places) else []
        return outcomes + self._refuse_late(places)

    def end_all_of(self, instances: Iterable[str]) -> None:
        """Forget all requests of instances that are gone."""
        gone = set(instances)
        for key in [*self._waiting_by_key, *self._lease_by_key]:
            if key[0] in gone:
                self.end(key)

    def instances(self) -> set[str]:
        """Return the instances that have requests here."""
        return {key[0] for key in [*self._waiting_by_key, *self._lease_by_key]}

    def running_at(self, target_id: str) -> int:
        """Return the number of requests that run at a target."""
        return len(self._started_at_by_place.get(target_id, ()))

    def _place_waiting(self, places: Sequence[Place]) -> list[Outcome]:
        """Place requests in their order until there is no more room."""
        outcomes = []
        for applicant in self._in_order():
            place = self._choose(applicant, _usable(applicant, places))
            if place is None:
                continue
            del self._waiting_by_key[applicant.key]
            outcomes.append(self._start(applicant, place))
            if not self._has_room(places):
                break
        return outcomes

    def _refuse_late(self, places: Sequence[Place]) -> list[Outcome]:
        """Refuse requests that no target would finish before their deadlines.

        One for which there is no target here may have one in reach of the instance
        that asks.
        """
        outcomes = []
        for applicant in list(self._waiting_by_key.values()):
            usable = _usable(applicant, places)
            if usable and self._shortest(usable) <= applicant.deadline_at - now():
                continue
            del self._waiting_by_key[applicant.key]
            if not usable:
                outcomes.append(Outcome(applicant, "", is_local=True))
                continue
            wait = self._wait(len(self._waiting_by_key), usable)
            outcomes.append(self._refuse(applicant, wait, usable))
        return outcomes

    def _has_room(self, places: Sequence[Place]) -> bool:
        return any(self.running_at(place.id) < place.room for place in places)

    def _start(self, applicant: Applicant, place: Place) -> Outcome:
        at = now()
        expected = self._slowdowns.expected(place.incarnation)
        lease = max(_MIN_LEASE_S, _LEASE_FACTOR * expected)
        expires_at = min(applicant.deadline_at, at + lease)
        self._lease_by_key[applicant.key] = _Lease(place, expires_at)
        self._started_at_by_place.setdefault(place.id, {})[applicant.key] = at
        self._recent_by_id.setdefault(place.id, _Recent()).add()
        served = self._served_by_team.get(applicant.team, 0.0)
        self._served_by_team[applicant.team] = served + 1.0
        self.placed += 1
        return Outcome(applicant, place.id, expected=expected)

    def _refuse(
        self, applicant: Applicant, wait: float, usable: Sequence[Place]
    ) -> Outcome:
        """Refuse a request; its caller returns after those refused before it."""
        at = now()
        allowed = max(0.0, self._allowed_wait(applicant, usable))
        after_queue = at + max(_MIN_RETRY_S, wait - allowed)
        after_others = self._free_at + 1.0 / self._rate(usable)
        self._free_at = min(at + _MAX_RETRY_S, max(after_queue, after_others))
        self.refused += 1
        return Outcome(applicant, "", retry_after=self._free_at - at, expected=wait)

    def _in_order(self) -> list[Applicant]:
        """Return the requests that wait, the first one first."""
        by_due = sorted(
            self._waiting_by_key.values(), key=lambda a: (a.urgency, a.due_at)
        )
        turn_by_team = dict(self._served_by_team)
        keyed = []
        for applicant in by_due:
            turn = turn_by_team.get(applicant.team, 0.0)
            turn_by_team[applicant.team] = turn + 1.0
            keyed.append((applicant.urgency, turn, applicant.due_at, applicant))
        return [entry[-1] for entry in sorted(keyed, key=lambda entry: entry[:3])]

    def _ahead(self, applicant: Applicant) -> int:
        """Return the number of requests that would go before a new one."""
        if not self._waiting_by_key:
            return 0
        before = dict.fromkeys(self._served_by_team, 0)
        more_urgent = 0
        for other in self._waiting_by_key.values():
            if other.urgency < applicant.urgency:
                more_urgent += 1
            elif other.urgency == applicant.urgency:
                is_later = (
                    other.team == applicant.team and other.due_at > applicant.due_at
                )
                before[other.team] = before.get(other.team, 0) + (not is_later)
        served = self._served_by_team
        turn = served[applicant.team] + before[applicant.team]
        # Of each other team, those whose turn comes earlier.
        others = sum(
            min(count, max(0.0, turn + 1.0 - served.get(team, 0.0)))
            for team, count in before.items()
            if team != applicant.team
        )
        return more_urgent + before[applicant.team] + round(others)

    def _choose(self, applicant: Applicant, usable: Sequence[Place]) -> Place | None:
        """Return the target with room that should finish a request first.

        Among equally good ones it is one in the request's zone, or the one that got the
        fewest requests recently.
        """
        free = [p for p in usable if self.running_at(p.id) < p.room]
        left = applicant.deadline_at - now()
        seconds_by_place = {place: self._finish_seconds(place) for place in free}
        # A target that is too slow for the deadline would only waste its work.
        best = min(seconds_by_place.values(), default=math.inf)
        if not free or self._shortest(free) > left:
            return None
        good = [p for p, s in seconds_by_place.items() if s <= _TOLERANCE * best]
        recent = {p: self._recent_count(p) for p in good}
        max_recent = _MAX_ZONE_SHARE * sum(recent.values()) / len(good)
        near = [p for p in good if p.zone == applicant.zone and recent[p] <= max_recent]
        return min(near or good, key=lambda p: (recent[p], seconds_by_place[p]))

    def _finish_seconds(self, place: Place) -> float:
        """Return the expected seconds of a request that is sent to a target now.

        A run that takes longer than expected tells that its target is slow before it
        ends.
        """
        usual = self._slowdowns.usual(place.incarnation)
        expected = self._slowdowns.expected(place.incarnation)
        started = self._started_at_by_place.get(place.id, {})
        oldest = now() - min(started.values(), default=now())
        expected = max(expected, min(oldest, MAX_SLOWDOWN * usual))
        slots = max(1, place.slots)
        queued = max(0, len(started) + 1 - slots) / slots
        return expected * (1.0 + queued)

    def _recent_count(self, place: Place) -> float:
        recent = self._recent_by_id.get(place.id)
        return recent.count() if recent is not None else 0.0

    def _rate(self, usable: Sequence[Place]) -> float:
        """Return the requests per second that targets can serve now."""
        rates = [
            max(1, place.slots) / self._slowdowns.expected(place.incarnation)
            for place in usable
        ]
        return max(sum(rates), 1.0)

    def _wait(self, ahead: int, usable: Sequence[Place]) -> float:
        """Return the seconds until as many requests have been placed."""
        return ahead / self._rate(usable)

    def _shortest(self, usable: Sequence[Place]) -> float:
        """Return the seconds that a request takes at the target that is fastest now."""
        expected = (self._slowdowns.expected(place.incarnation) for place in usable)
        return min(expected, default=0.0)

    def _allowed_wait(self, applicant: Applicant, usable: Sequence[Place]) -> float:
        """Return the seconds for which a request may be expected to wait."""
        at = now()
        objective = applicant.due_at - at
        work = self._shortest(usable)
        slack = _MAX_OBJECTIVE_FRACTION * objective - work
        allowed = max(slack, _MIN_WAIT_FRACTION * objective)
        return min(allowed, applicant.deadline_at - at - work)

    def _is_late(
        self, applicant: Applicant, wait: float, usable: Sequence[Place]
    ) -> bool:
        return _WAIT_FACTOR * wait > self._allowed_wait(applicant, usable)

    def _expire(self) -> None:
        at = now()
        for key, lease in list(self._lease_by_key.items()):
            if lease.expires_at <= at:
                self.end(key)


def _usable(applicant: Applicant, places: Sequence[Place]) -> Sequence[Place]:
    """Return the targets that may get a request."""
    if not applicant.excluded:
        return places
    return [place for place in places if place.id not in applicant.excluded]
