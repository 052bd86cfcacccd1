"""Times and limits of hedges."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.decisions.hedge_timer import hedge_delay, usual_or_assumed
from tests._paused import advance, use_paused_clock


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

    @parameterized.expand([(0.04, 0.2, 0.04), (0.0, 0.2, 0.05), (0.0, 4.0, 1.0)])
    def test_usual_seconds_without_a_response(self, usual, objective, expected):
        """Guards against first requests of an instance that never get a hedge."""
        self.assertAlmostEqual(usual_or_assumed(usual, objective), expected)


class HedgePoolTest(unittest.TestCase):
    """How many hedges are allowed."""

    def setUp(self):
        use_paused_clock()

    def _use_all(self, pools, requests, *, owner=0):
        """Return how many hedges are granted if each request wants one.

        Args:
            pools: The pool of each instance.
            requests: Number of requests of each instance.
            owner: Number of the instance that owns the pool.
        """
        granted = 0
        for _ in range(requests):
            for pool in pools:
                pool.count_request("s")
                granted += pools[owner].grant("s", pool.take_earned("s"))
        return granted

    @parameterized.expand([(0.0, 0), (0.02, 20), (0.05, 50), (0.1, 100), (1.0, 1_000)])
    def test_hedges_stay_within_their_share(self, share, expected):
        """Guards against targets that get twice the load while all of them are slow."""
        granted = self._use_all([HedgePool(share)], 1_000)
        self.assertIn(granted, (expected, max(0, expected - 1)))

    @parameterized.expand([(7,), (75,), (195,), (350,)])
    def test_instances_with_few_requests_use_what_all_have_earned(self, instances):
        """Guards against a limit that is so finely divided that nobody may hedge."""
        share = 0.05
        granted = self._use_all([HedgePool(share) for _ in range(instances)], 6)
        self.assertLessEqual(granted, share * 6 * instances)
        self.assertGreaterEqual(granted, share * 6 * instances - 2)

    def test_few_are_saved_in_calm_times(self):
        """Guards against a storm of hedges after a long calm time."""
        pools = [HedgePool(0.05) for _ in range(20)]
        self._use_all(pools, 10)
        for pool in pools:
            for _ in range(10_000):
                pool.count_request("s")
        earned_in_storm = 0.05 * 10 * 20
        granted = self._use_all(pools, 10)
        self.assertLessEqual(granted, len(pools) + earned_in_storm + 1)

    @parameterized.expand([(7,), (75,), (195,), (350,)])
    def test_requests_of_instances_that_want_no_hedge_count(self, instances):
        """Guards against hedges that are earned but never known to the owner.

        Each instance gets a request in about five seconds. In the second half a bit
        less than what is earned then is wanted.
        """
        share, requests = 0.05, 20
        rng = random.Random(instances)
        pools = [HedgePool(share) for _ in range(instances)]
        wanted = granted = told = 0
        for number in range(requests * instances):
            pool = rng.choice(pools)
            pool.count_request("s")
            due = pool.take_due("s")
            if due:
                told += 1
                pools[0].add("s", due)
            if number >= requests * instances // 2 and number % 21 == 0:
                wanted += 1
                granted += pools[0].grant("s", pool.take_earned("s"))
            advance(5.0 / instances)
        self.assertLessEqual(granted, share * requests * instances)
        self.assertGreaterEqual(granted, 0.9 * wanted)
        self.assertLessEqual(told, requests * instances // 2)

    def test_an_instance_rarely_tells(self):
        """Guards against a datagram for each request of a busy instance."""
        pool = HedgePool(1.0)
        told = 0
        for _ in range(1_000):
            pool.count_request("s")
            told += pool.take_due("s") > 0.0
            advance(0.02)
        self.assertLessEqual(told, 5)

    def test_what_a_question_carried_is_not_told_again(self):
        """Guards against hedges that are granted twice."""
        pool = HedgePool(0.5)
        pool.count_request("s")
        self.assertEqual(pool.take_earned("s"), 0.5)
        advance(60.0)
        self.assertEqual(pool.take_due("s"), 0.0)

    def test_a_new_owner_starts_with_nothing(self):
        """Guards against hedges that are granted twice after the end of an owner."""
        pools = [HedgePool(0.1) for _ in range(5)]
        before = self._use_all(pools, 10, owner=0)
        after = self._use_all(pools, 10, owner=1)
        self.assertLessEqual(before + after, 0.1 * 10 * 5 * 2)

    def test_services_do_not_share_them(self):
        pool = HedgePool(1.0)
        pool.count_request("s")
        self.assertEqual(pool.take_earned("other"), 0.0)
        self.assertFalse(pool.grant("other", 0.0))
        self.assertTrue(pool.grant("s", pool.take_earned("s")))
