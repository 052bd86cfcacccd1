"""Limits that hold over all instances, each keeping to its own share."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.budget import ColdRateLimiter, RetryBudget
from bergamotsaddle_serving.settings import BoundSettings
from tests._paused import advance

BOUNDS = BoundSettings(grace=8.0, retry_ratio=0.2, retry_window=10.0, retry_extra=58.0)


class RetryBudgetTest(unittest.TestCase):
    """Repeats when every call fails."""

    @parameterized.expand([(1,), (9,), (78,)])
    def test_all_instances_together_stay_within_the_budget(self, size):
        """A service fails every request for half a minute.

        Each instance repeats what it may; the service must not see more repeats than
        its budget in any window, or the repeats keep it down.
        """
        budgets = [RetryBudget(BOUNDS, lambda: size) for _ in range(size)]
        repeats = []
        for second in range(30):
            for budget in budgets:
                budget.count_request("s")
                while budget.try_acquire("s"):
                    repeats.append(second)
            advance(1.0)
        for begin in range(20):
            within = sum(begin <= second < begin + 10 for second in repeats)
            allowed = BOUNDS.retry_ratio * 10 * size + BOUNDS.retry_extra
            # A fleet that is larger than the extra calls grants one to each.
            self.assertLessEqual(within, max(allowed, size))

    def test_a_quiet_instance_may_repeat_once(self):
        self.assertTrue(RetryBudget(BOUNDS, lambda: 500).try_acquire("s"))


class ColdPaceTest(unittest.TestCase):
    """Requests to a cold target from all instances."""

    @parameterized.expand([(1,), (9,), (78,)])
    def test_all_instances_together_stay_within_the_rate(self, size):
        """A zone's targets come back cold while every instance is busy.

        The bound is one and a half times the rate and five in any second; a target
        that gets more crashes, and its callers lose it for seconds.
        """
        rate = 8.8
        paces = [ColdRateLimiter(lambda: size) for _ in range(size)]
        sent = []
        for tick in range(400):
            for pace in paces:
                if pace.may_send("t"):
                    pace.record_sent("t", rate)
                    sent.append(tick)
            advance(0.01)
        for begin in range(300):
            within = sum(begin <= tick < begin + 100 for tick in sent)
            self.assertLessEqual(within, max(rate * 1.5 + 5, size))
