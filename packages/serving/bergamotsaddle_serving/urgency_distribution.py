"""How much of what comes in is more urgent than a request. No input or output here."""

import math

# Requests are forgotten in about this time: longer than the gaps between requests of
# one kind at one instance, shorter than the bursts that change the mix.
_FORGET_S = 5.0


class UrgencyDistribution:
    """The requests of the last seconds by their urgency."""

    def __init__(self) -> None:
        self._count_by_urgency: dict[int, float] = {}
        self._counted_at = 0.0

    def record(self, urgency: int, moment: float) -> None:
        """Count a request that has come in."""
        fading = math.exp((self._counted_at - moment) / _FORGET_S)
        self._counted_at = moment
        for known, count in self._count_by_urgency.items():
            self._count_by_urgency[known] = count * fading
        known = self._count_by_urgency.get(urgency, 0.0)
        self._count_by_urgency[urgency] = known + 1.0

    def more_urgent_fraction(self, urgency: int) -> float:
        """Part of the requests that are more urgent, from 0 to 1.

        The place among all urgencies says less: where teams differ the places of their
        routes are far apart although hardly anybody may come from the first team.
        """
        total = sum(self._count_by_urgency.values())
        if total <= 0:
            return 0.0
        ahead = [n for known, n in self._count_by_urgency.items() if known < urgency]
        return sum(ahead) / total
