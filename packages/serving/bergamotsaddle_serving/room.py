"""Who gets room that is short, and when rejected callers come back."""

from collections.abc import Callable, Iterable
from math import inf
from typing import NamedTuple, Protocol

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.return_times import (
    ReturnTime,
    ReturnTimes,
    has_time,
)
from bergamotsaddle_serving.decisions.room_counts import (
    RoomCounts,
    RoomTotals,
    team_key,
)
from bergamotsaddle_serving.decisions.team_shares import (
    OVER_SHARE_PATIENCE,
    fair_level,
    is_over_share,
)
from bergamotsaddle_serving.decisions.urgent_room import patience, pressure
from bergamotsaddle_serving.peer_messages import Demand
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from bergamotsaddle_serving.return_exchange import caller_key

# How long the sums over all instances are reused. They change over seconds.
_TOTALS_TTL_S = 0.2


class Reporter(Protocol):
    """An instance that reports its recent requests."""

    demand: list[Demand]


class ToldExchange(Protocol):
    """Knows which callers were told to come back."""

    def tell(self, key: int, seconds: float) -> None:
        """Record that a caller was told to come back after some seconds."""

    def came_when_told(self, key: int) -> bool:
        """Return whether a caller comes when it was told."""


class Patience(NamedTuple):
    """How long a request may be expected to wait.

    Attributes:
        fraction: Fraction of the wait that is usual for its kind.
        pressure: How far it must make room for more urgent ones, from 0 to 1.
        is_over_share: Whether its team sent more than its share lately.
    """

    fraction: float = 1.0
    pressure: float = 0.0
    is_over_share: bool = False


class _Sums(NamedTuple):
    """Recent requests of one service in the fleet.

    Attributes:
        totals: The requests.
        own: Those of this instance.
        level: Requests per share from which on a team uses more than its share.
    """

    totals: RoomTotals
    own: RoomTotals
    level: float


_NO_SUMS = _Sums(RoomTotals(), RoomTotals(), inf)


class Room:
    """Decides for services whose targets report how fast they work now.

    For all other services it changes nothing.

    Args:
        reporting: Services whose targets report how fast they work now.
        members: Returns the other live instances.
        shares: Returns the share of each team by name.
        told: Knows which callers were told to come back, None if nobody does.
        policy: Enabled mechanisms.
    """

    def __init__(
        self,
        reporting: ReportingServices,
        members: Callable[[], Iterable[Reporter]] = tuple,
        shares: Callable[[], dict[str, float]] = dict,
        told: ToldExchange | None = None,
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._reporting = reporting
        self._members = members
        self._shares = shares
        self._told = told
        self._policy = policy
        self._counts_by_service: dict[str, RoomCounts] = {}
        self._times_by_service: dict[str, ReturnTimes] = {}
        self._sums_by_service: dict[str, _Sums] = {}
        self._summed_at = -inf
        self._share_by_key: dict[int, float] = {}

    def applies(self, context: Context, mechanism: Mechanism) -> bool:
        """Return whether a mechanism is in effect for a request."""
        return context.service.name in self._reporting and self._policy.has(mechanism)

    def sharing_team(self, context: Context) -> str:
        """Return the team of a request, empty if shares don't apply to it."""
        if context.team is None or not self.applies(context, Mechanism.TEAM_SHARES):
            return ""
        return context.team.name

    def record_arrival(self, context: Context) -> None:
        """Count a request that has arrived."""
        if context.service.name in self._reporting:
            team = context.team.name if context.team is not None else ""
            self._counts(context).record_arrival(context.urgency, team, now())

    def record_missed(self, context: Context) -> None:
        """Count a request that is rejected, or late, for lack of room."""
        if context.service.name in self._reporting:
            self._counts(context).record_missed(context.urgency, now())

    def patience(self, context: Context) -> Patience:
        """Return how long a request may be expected to wait."""
        if context.service.name not in self._reporting:
            return Patience()
        sums = self._sums(context.service.name)
        pressed, is_over = 0.0, False
        if self._policy.has(Mechanism.URGENT_ROOM):
            pressed = pressure(sums.totals, context.urgency)
        team = self.sharing_team(context)
        if team:
            key = team_key(team)
            is_over = is_over_share(
                sums.totals, context.urgency, key, sums.level, self._share
            )
        fraction = patience(pressed)
        if is_over:
            fraction = min(fraction, OVER_SHARE_PATIENCE)
        return Patience(fraction, pressed, is_over)

    def came_when_told(
        self, context: Context, *, seconds: float, remaining: float
    ) -> bool:
        """Return whether a caller that would be rejected came when it was told.

        Args:
            context: Its request.
            seconds: Expected seconds of the request.
            remaining: Seconds until the caller times out.
        """
        if self._told is None or not self.applies(context, Mechanism.RETURN_TIMES):
            return False
        key = caller_key(context.fingerprint)
        return bool(key) and has_time(seconds, remaining) and self._came(key)

    def tell_return(
        self,
        context: Context,
        *,
        room_in: float,
        remaining: float,
    ) -> ReturnTime | None:
        """Return when a rejected caller should come back.

        Args:
            context: Its request.
            room_in: Seconds until the queues are short enough for it.
            remaining: Seconds until the caller times out.

        Returns:
            The time, None if the mechanism is not in effect.
        """
        if not self.applies(context, Mechanism.RETURN_TIMES):
            return None
        service = context.service.name
        sums = self._sums(service)
        missed = sum(sums.totals.missed)
        part = sum(sums.own.missed) / missed if missed else 0.0
        times = self._times_by_service.setdefault(service, ReturnTimes())
        told = times.tell(
            context.urgency,
            now(),
            room_in=room_in,
            served_per_s=part * sums.totals.served_per_s,
            remaining=remaining,
        )
        key = caller_key(context.fingerprint)
        if told.has_place and key and self._told is not None:
            self._told.tell(key, told.seconds)
        return told

    def report(self) -> list[Demand]:
        """Return the recent requests of this instance for its heartbeats."""
        at = now()
        reports = []
        for service, counts in list(self._counts_by_service.items()):
            if counts.is_empty(at):
                continue
            names_teams = sum(self._sums(service).totals.missed) > 0
            reports.append(counts.report(service, at, names_teams=names_teams))
        return reports

    def max_pressure(self) -> float:
        """Return the highest pressure of any urgency of any service."""
        sums = [self._sums(service) for service in self._counts_by_service]
        levels = [
            pressure(found.totals, urgency)
            for found in sums
            for urgency in range(len(found.totals.arrived))
        ]
        return max(levels, default=0.0)

    def _came(self, key: int) -> bool:
        return self._told is not None and self._told.came_when_told(key)

    def _counts(self, context: Context) -> RoomCounts:
        service = context.service.name
        counts = self._counts_by_service.get(service)
        if counts is None:
            counts = self._counts_by_service[service] = RoomCounts()
        return counts

    def _share(self, key: int) -> float:
        return self._share_by_key.get(key, 1.0)

    def _sums(self, service: str) -> _Sums:
        at = now()
        if at - self._summed_at > _TOTALS_TTL_S:
            self._summed_at = at
            self._sum_up(at)
        return self._sums_by_service.get(service, _NO_SUMS)

    def _sum_up(self, at: float) -> None:
        """Sum up the reports of all live instances and of this one."""
        self._share_by_key = {
            team_key(name): share for name, share in self._shares().items()
        }
        by_service: dict[str, list[Demand]] = {}
        for member in self._members():
            for report in member.demand:
                by_service.setdefault(report.service, []).append(report)
        self._sums_by_service = {}
        for service in {*by_service, *self._counts_by_service}:
            counts = self._counts_by_service.get(service) or RoomCounts()
            own = counts.report(service, at, names_teams=True)
            totals = RoomTotals([*by_service.get(service, ()), own])
            level = fair_level(totals, self._share)
            self._sums_by_service[service] = _Sums(totals, RoomTotals([own]), level)
