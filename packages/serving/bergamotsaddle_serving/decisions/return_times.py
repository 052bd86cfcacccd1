"""When rejected callers should come back, and which of them came when told.

The load that this answers: a burst in which many callers are rejected at once. If they
return at random times, some find no room a second time, while room stays free later;
newcomers take the room that those who wait were told of.

This module does no input or output.
"""

import random
from bisect import insort
from collections import OrderedDict
from typing import NamedTuple

from bergamotsaddle_serving.stage_load import URGENCIES, level

# Callers are asked to retry after at least this time.
_MIN_RETRY_S = 0.1
# Callers retry after at most a third of the time that they have left.
_MAX_RETRY_FRACTION = 1 / 3
# The fraction of the rate at which requests are served that is kept for callers that
# come back. Most of them are late by then, so newcomers get the rest: if everyone who
# is rejected went ahead of newcomers, a lasting overload would make all of them late.
_RETURNS_FRACTION = 0.1
# Callers for whom no place is left are spread over the end of the time that they have.
_SPREAD_FROM_FRACTION = 0.5
# How much earlier and later than told a caller may arrive: the clock of a caller and
# the way to another instance, and how long its place is kept.
_EARLY_S = 0.1
_LATE_S = 2.0
_MAX_TOLD = 4_096
# Callers with equal requests that are remembered. With more of them, the one that is
# due first is forgotten.
_MAX_TOLD_EQUAL = 8
# The fraction of the time left that a caller that came when told may be expected to
# need. It was told of the room, so its objective does not count.
_MAX_RETURN_FRACTION = 0.8


def max_retry(remaining: float) -> float:
    """Return the seconds after which a caller returns at the latest."""
    return max(0.0, remaining) * _MAX_RETRY_FRACTION


def has_time(seconds: float, remaining: float) -> bool:
    """Return whether a caller that came when told can be served.

    Args:
        seconds: Expected seconds of the request.
        remaining: Seconds until the caller times out.
    """
    return seconds <= _MAX_RETURN_FRACTION * remaining


class ReturnTime(NamedTuple):
    """When a rejected caller should come back.

    Attributes:
        seconds: Seconds from now.
        has_place: Whether room is kept for it then.
    """

    seconds: float
    has_place: bool


class ReturnTimes:
    """The times that one instance has told to rejected callers of one service.

    Each urgency has its own row of places. A caller gets a place behind those of its
    own urgency and of all more urgent ones, but does not wait for less urgent ones. No
    more places are given than can be kept; a caller without one comes back at the end
    of the time that it has, when the burst may be over.
    """

    def __init__(self) -> None:
        self._last_by_level = [float("-inf")] * URGENCIES

    def tell(
        self,
        urgency: int,
        now: float,
        *,
        room_in: float,
        served_per_s: float,
        remaining: float,
    ) -> ReturnTime:
        """Return when a caller should come back.

        Args:
            urgency: Urgency of the request, 0 first.
            now: Current time on the hub's clock.
            room_in: Seconds until the queues are short enough for it.
            served_per_s: Requests per second that this instance may expect to be
                served of those that it rejected; 0 if nothing is known.
            remaining: Seconds until the caller times out.
        """
        upper = max_retry(remaining)
        if room_in > upper or upper <= 0:
            # A place would be for a time at which there is no room.
            return _spread(0.0, upper)
        lower = min(upper, max(_MIN_RETRY_S, room_in))
        if served_per_s <= 0:
            return ReturnTime(random.uniform(lower, upper), has_place=False)
        gap = 1.0 / (_RETURNS_FRACTION * served_per_s)
        own = level(urgency)
        at = max(now + lower, max(self._last_by_level[: own + 1]) + gap)
        if at > now + upper:
            return _spread(lower, upper)
        self._last_by_level[own] = at
        return ReturnTime(at - now, has_place=True)


def _spread(lower: float, upper: float) -> ReturnTime:
    """Return a time without a place, in the second half of the longest time.

    Args:
        lower: Seconds before which there is no room.
        upper: The longest time that the caller honours.
    """
    from_end = max(lower, _SPREAD_FROM_FRACTION * upper)
    return ReturnTime(random.uniform(from_end, upper), has_place=False)


class ToldCallers:
    """Callers that were told when to come back.

    Equal requests of several callers have one key, and a time each.
    """

    def __init__(self) -> None:
        self._due_by_key: OrderedDict[int, list[float]] = OrderedDict()
        self._count = 0

    def __len__(self) -> int:
        return self._count

    def add(self, key: int, due_at: float) -> None:
        """Record when a caller was told to come back."""
        due = self._due_by_key.setdefault(key, [])
        self._due_by_key.move_to_end(key)
        insort(due, due_at)
        self._count += 1
        if len(due) > _MAX_TOLD_EQUAL:
            del due[0]
            self._count -= 1
        while self._count > _MAX_TOLD:
            _, oldest = self._due_by_key.popitem(last=False)
            self._count -= len(oldest)

    def came_when_told(self, key: int, now: float) -> bool:
        """Return whether a caller comes when it was told, and forget its time."""
        due = self._due_by_key.get(key, ())
        kept = [due_at for due_at in due if now <= due_at + _LATE_S]
        came = bool(kept) and now >= kept[0] - _EARLY_S
        if came:
            del kept[0]
        self._count += len(kept) - len(due)
        if kept:
            self._due_by_key[key] = kept
        else:
            self._due_by_key.pop(key, None)
        return came
