"""Times and limits of hedges."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.hedge_timer import HedgeAllowance, hedge_delay


class HedgeDelayTest(unittest.TestCase):
    """When a request is sent to a second target."""

    @parameterized.expand(
        [
            ("time_is_left_for_the_second", 0.04, 0.18, 0.12),
            ("long_objective", 0.05, 5.0, 0.2),
            ("short_objective", 0.05, 0.06, 0.1),
            ("late_already", 0.05, -1.0, 0.1),
            ("no_target_is_known", 0.0, 0.2, 0.0),
        ]
    )
    def test_delay(self, _, usual, objective, expected):
        self.assertAlmostEqual(hedge_delay(usual, objective), expected)


class HedgeAllowanceTest(unittest.TestCase):
    """How many hedges are allowed."""

    def _use_all(self, allowance, requests):
        """Return how many hedges are used if each request would use one."""
        used = 0
        for _ in range(requests):
            allowance.count_request("s")
            used += allowance.try_use("s")
        return used

    @parameterized.expand([(0.0, 0), (0.02, 20), (0.05, 50), (0.1, 100), (1.0, 1_000)])
    def test_hedges_stay_within_their_share(self, share, expected):
        """Guards against targets that get twice the load while all of them are slow."""
        used = self._use_all(HedgeAllowance(share), 1_000)
        self.assertIn(used, (expected, max(0, expected - 1)))

    @parameterized.expand([(7,), (75,), (195,), (350,)])
    def test_all_instances_together_stay_within_the_share(self, instances):
        """Guards against a limit that each of many instances exceeds by a bit."""
        share = 0.05
        used = sum(self._use_all(HedgeAllowance(share), 30) for _ in range(instances))
        self.assertLessEqual(used, share * 30 * instances)
        self.assertGreaterEqual(used, 0.6 * share * 30 * instances)

    def test_few_are_saved_in_calm_times(self):
        """Guards against a storm of hedges after a long calm time."""
        allowance = HedgeAllowance(0.05)
        for _ in range(100_000):
            allowance.count_request("s")
        used = sum(allowance.try_use("s") for _ in range(100))
        self.assertEqual(used, 4)

    def test_one_that_was_not_sent_is_given_back(self):
        allowance = HedgeAllowance(1.0)
        allowance.count_request("s")
        self.assertTrue(allowance.try_use("s"))
        self.assertFalse(allowance.try_use("s"))
        allowance.give_back("s")
        self.assertTrue(allowance.try_use("s"))

    def test_services_do_not_share_them(self):
        allowance = HedgeAllowance(1.0)
        allowance.count_request("s")
        self.assertFalse(allowance.try_use("other"))
