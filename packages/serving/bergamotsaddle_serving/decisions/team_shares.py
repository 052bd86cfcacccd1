"""Which teams use more than their share of the room that is short.

The load that this answers: one team sends ten times as many requests as each other
one. In the order of arrival it would get ten times as much of the room, and the other
teams would be rejected as often as it is.

This module does no input or output.
"""

from collections.abc import Callable
from math import inf

from bergamotsaddle_serving.decisions.room_counts import WINDOW_S, RoomTotals

# Teams come in the order of their shares while more than this fraction of the requests
# of their urgency is missed.
_SHORT_MISSED_FRACTION = 0.05
# A team without a share gets what the others leave, but is not left out for ever.
_MIN_SHARE = 0.01
# The fraction of the usual wait that requests of a team may be expected to wait while
# it uses more than its share. The difference is left to the other teams.
OVER_SHARE_PATIENCE = 0.75
# By how long the pieces of such a team may come after others that arrived with them.
_MAX_LAG_S = 2.0


def _positive(share: float) -> float:
    return max(_MIN_SHARE, share)


def fair_level(totals: RoomTotals, share: Callable[[int], float]) -> float:
    """Return the requests, relative to its share, from which on a team uses more.

    The room that teams with few requests leave is divided among the others, as far as
    requests are missed.

    Args:
        totals: Recent requests of the service in the fleet.
        share: Returns the share of a team by its key.

    Returns:
        Requests within the window per unit of the share; infinite if there is room for
        all.
    """
    shares = {key: _positive(share(key)) for key in totals.teams}
    # Reports name only some of the teams, so the room is a fraction of what they name.
    room = sum(totals.teams.values()) * (1.0 - totals.missed_fraction)
    left = sum(shares.values())
    by_use = sorted(shares, key=lambda key: totals.teams[key] / shares[key])
    for key in by_use:
        use = totals.teams[key] / shares[key]
        if use * left > room:
            return room / left
        room -= totals.teams[key]
        left -= shares[key]
    return inf


def is_over_share(
    totals: RoomTotals,
    urgency: int,
    key: int,
    level: float,
    share: Callable[[int], float],
) -> bool:
    """Return whether a team uses more than its share while room is short.

    Room is short for each urgency by itself: a team that sends much makes no room for
    less urgent requests of other teams.

    Args:
        totals: Recent requests of the service in the fleet.
        urgency: Urgency of the request, 0 first.
        key: Key of the team.
        level: The level of ``fair_level``.
        share: Returns the share of a team by its key.
    """
    if totals.missed_at(urgency) < _SHORT_MISSED_FRACTION:
        return False
    return totals.teams[key] > level * _positive(share(key))


class TeamTurns:
    """By how much the pieces of each team come after those of others in one queue.

    Each team is counted as if it had its share of the queue's rate to itself. What it
    sends beyond that comes later, in the order in which its share would serve it. That
    changes the order only: the queue serves whatever waits.
    """

    def __init__(self) -> None:
        # Until when each team uses its share, and that share.
        self._busy_by_team: dict[str, tuple[float, float]] = {}

    def clear(self) -> None:
        """Forget what teams have sent, because nothing waits any more."""
        self._busy_by_team.clear()

    def lag(
        self, team: str, share: float, pieces: int, rate: float, now: float
    ) -> float:
        """Count pieces and return by how many seconds they come after others.

        Args:
            team: The team that sends them.
            share: Its share.
            pieces: Their number.
            rate: Pieces per second that the queue serves.
            now: Current time on the hub's clock.
        """
        share = _positive(share)
        busy = {t: b for t, b in self._busy_by_team.items() if b[0] > now}
        start = busy[team][0] if team in busy else now
        others = sum(other[1] for name, other in busy.items() if name != team)
        seconds = pieces * (others + share) / (share * max(rate, 0.1))
        # What lies beyond the maximum is forgotten, or a team would pay for its burst
        # long after it has ended.
        busy[team] = (min(start + seconds, now + max(seconds, WINDOW_S)), share)
        self._busy_by_team = busy
        return min(_MAX_LAG_S, start - now)
