"""Budgets that limit retries and hedges to a small fraction of all calls."""

_BURST = 10.0


class RetryBudget:
    """A budget of extra calls for each team and kind of target.

    When some targets of a kind fail, each retry adds load to the remaining ones, and
    all retries together can keep them overloaded, with several times the usual calls to
    the stage. A budget that only first calls refill limits that growth.

    Args:
        percent: Extra calls allowed per hundred first calls.
    """

    def __init__(self, percent: int) -> None:
        self._refill = percent / 100
        self._remaining_by_team_and_kind: dict[tuple[str, str], float] = {}

    def count_call(self, team: str, kind: str) -> None:
        """Count a first call, which refills the budget."""
        remaining = self._remaining_by_team_and_kind.get((team, kind), _BURST)
        self._remaining_by_team_and_kind[team, kind] = min(
            _BURST, remaining + self._refill
        )

    def try_spend(self, team: str, kind: str) -> bool:
        """Spend one extra call if the budget allows it.

        Returns:
            Whether the call is allowed.
        """
        remaining = self._remaining_by_team_and_kind.get((team, kind), _BURST)
        if remaining < 1.0:
            return False
        self._remaining_by_team_and_kind[team, kind] = remaining - 1.0
        return True
