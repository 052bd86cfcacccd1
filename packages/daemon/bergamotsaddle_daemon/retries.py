"""Budgets that keep retries and hedges a small part of all calls."""

_BURST = 10.0


class RetryBudget:
    """Extra calls allowed by team and kind of target, as a part of plain calls.

    When a kind of target fails, each caller's retry adds load to what is left, and
    all retries together keep it down; operators would see calls a stage grow
    several times. A budget that only plain calls refill bounds that growth.

    Args:
        percent: Extra calls allowed per hundred plain calls.
    """

    def __init__(self, percent: int) -> None:
        self._refill = percent / 100
        self._left_by_user: dict[tuple[str, str], float] = {}

    def count_call(self, team: str, kind: str) -> None:
        """Count a plain call."""
        left = self._left_by_user.get((team, kind), _BURST)
        self._left_by_user[team, kind] = min(_BURST, left + self._refill)

    def take(self, team: str, kind: str) -> bool:
        """Use one extra call if the budget has it."""
        left = self._left_by_user.get((team, kind), _BURST)
        if left < 1.0:
            return False
        self._left_by_user[team, kind] = left - 1.0
        return True
