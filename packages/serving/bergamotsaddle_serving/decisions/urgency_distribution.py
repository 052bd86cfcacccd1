"""Distribution of the urgencies of recent requests.

This module does no input or output.
"""

import math

# Decay time of the counts: longer than the gaps between requests of one kind at one
# instance, shorter than the bursts that change the distribution.
_DECAY_S = 5.0


class UrgencyDistribution:
    """Decaying counts of recent requests by urgency."""

    def __init__(self) -> None:
        self._count_by_urgency: dict[int, float] = {}
        self._counted_at = 0.0

    def record(self, urgency: int, now: float) -> None:
        """Count a request that has arrived."""
        decay = math.exp((self._counted_at - now) / _DECAY_S)
        self._counted_at = now
        for known, count in self._count_by_urgency.items():
            self._count_by_urgency[known] = count * decay
        known = self._count_by_urgency.get(urgency, 0.0)
        self._count_by_urgency[urgency] = known + 1.0

    def more_urgent_fraction(self, urgency: int) -> float:
        """Return the fraction of requests that are more urgent, from 0 to 1.

        An urgency's rank alone says less: if teams have different priorities, all
        routes of the first team rank ahead of the others, although that team may send
        hardly any requests.
        """
        total = sum(self._count_by_urgency.values())
        if total <= 0:
            return 0.0
        ahead = [n for known, n in self._count_by_urgency.items() if known < urgency]
        return sum(ahead) / total
