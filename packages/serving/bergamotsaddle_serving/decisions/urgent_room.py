"""How much of the room less urgent requests must leave to more urgent ones.

The load that this answers: requests of several urgencies share engines and stages, and
the less urgent ones have looser objectives. Each of them may wait for longer, so it is
admitted while the queues are already too long for the more urgent ones, which are then
rejected or late.

This module does no input or output.
"""

from bergamotsaddle_serving.decisions.room_counts import RoomTotals
from bergamotsaddle_serving.stage_load import level

# By how much more often more urgent requests may be missed without any effect, and
# from where on the effect is full. Callers count a loss from 0.05 on.
_TOLERATED_GAP = 0.02
_FULL_GAP = 0.07
# Less urgent requests may always use this fraction of their usual wait, so that they
# get the room that the more urgent ones leave.
MIN_PATIENCE = 0.1


def pressure(totals: RoomTotals, urgency: int) -> float:
    """Return how far requests must make room for more urgent ones, from 0 to 1.

    It compares how often requests of each urgency were missed lately. It vanishes when
    the more urgent ones are missed no more often than those of this urgency, so the
    less urgent ones are never missed more often for long.

    Args:
        totals: Recent requests of the service in the fleet.
        urgency: Urgency of the request, 0 first.
    """
    own = level(urgency)
    worst = max((totals.missed_at(n) for n in range(own)), default=0.0)
    gap = worst - totals.missed_at(own)
    return min(1.0, max(0.0, (gap - _TOLERATED_GAP) / (_FULL_GAP - _TOLERATED_GAP)))


def patience(pressure: float) -> float:
    """Return the fraction of its usual wait that a request may be expected to wait."""
    return max(MIN_PATIENCE, 1.0 - pressure)
