"""Brittle targets, which fail if they have to reject many requests."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from tests._notices import make_instances
from tests._paused import advance, use_paused_clock

BRITTLE = [(b"server-brittle", b"3")]
REJECTED = [*BRITTLE, (b"x-not-executed", b"1")]
REQUESTS_PER_S = 200
SECONDS = 10


class FullTargetsTest(unittest.TestCase):
    """Instances that share one brittle target."""

    def setUp(self):
        use_paused_clock()
        random.seed(43)

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_all_instances_together_are_rejected_rarely(self, _, size):
        """Guards against a target that fails since each instance fills it by itself.

        The target has no free slot, and no instance knows of the others' requests.
        """
        instances = make_instances(size)
        instances[0].read(200, BRITTLE)
        rejections = []
        for _ in range(REQUESTS_PER_S * SECONDS):
            instance = random.choice(instances)
            if instance.notices.has_room(instance.target, 0):
                rejections.append(now())
                instance.read(503, REJECTED)
            advance(1.0 / REQUESTS_PER_S)
        for start in rejections:
            within = [at for at in rejections if start <= at < start + 1.0]
            self.assertLessEqual(len(within), 3)
        self.assertGreaterEqual(len(rejections), SECONDS / 2, "it is tried again")

    @parameterized.expand(
        [
            ("free_slot", 200, BRITTLE, 3, True),
            ("all_slots_taken", 200, BRITTLE, 4, False),
            ("rejected", 503, REJECTED, 0, False),
            ("misdirected", 421, REJECTED, 0, True),
            ("sound", 200, [], 100, True),
            ("sound_and_rejected", 503, REJECTED[1:], 100, True),
        ]
    )
    def test_room_after_a_response(self, _, status, headers, requests, expected):
        instances = make_instances(2)
        instances[0].read(status, headers)
        for instance in instances:
            self.assertEqual(
                instance.notices.has_room(instance.target, requests), expected
            )

    def test_a_target_is_sound_again_once_a_response_says_so(self):
        instances = make_instances(2)
        instances[0].read(200, BRITTLE)
        advance(1.0)
        instances[1].read(200, [])
        for instance in instances:
            self.assertTrue(instance.notices.has_room(instance.target, 100))
