"""Brittle targets, and what their responses of every kind say."""

import random
import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.full_targets import FullTargets
from bergamotsaddle_serving.gossip import Gossip
from bergamotsaddle_serving.named_limits import BRITTLENESS, NamedLimits
from bergamotsaddle_serving.target_notices import TargetNotices
from tests._paused import advance, use_paused_clock

TARGET = Target("t1", "generate", Address("10.0.0.1", 80), "a", 4, started_ms=5)
BRITTLE = [(b"server-brittle", b"3")]
REJECTED = [*BRITTLE, (b"x-not-executed", b"1")]
REQUESTS_PER_S = 200
SECONDS = 10


class Instance:
    """What one instance knows about the only target.

    Args:
        send: Sends facts to the other instances.
    """

    def __init__(self, send):
        self.gossip = Gossip()
        brittleness = NamedLimits(self.gossip, send, mock.Mock(), BRITTLENESS)
        full = FullTargets(self.gossip, send, brittleness, mock.Mock())
        self.notices = TargetNotices(brittleness, full)

    def read(self, status, headers):
        """Read a response of the target."""
        decoded = PlatformDialect().read_response(headers)
        self.notices.read(TARGET, status, decoded)


class FullTargetsTest(unittest.TestCase):
    """Instances that share one brittle target."""

    def setUp(self):
        use_paused_clock()
        random.seed(43)
        self.instances = []

    def make_fleet(self, size):
        def send_from(number):
            def send(facts):
                for other, instance in enumerate(self.instances):
                    if other != number:
                        instance.gossip.merge([f for f in facts if f is not None])

            return send

        self.instances += [Instance(send_from(number)) for number in range(size)]

    @parameterized.expand([("small", 7), ("middle", 66), ("large", 195)])
    def test_all_instances_together_are_rejected_rarely(self, _, size):
        """Guards against a target that fails since each instance fills it by itself.

        The target has no free slot, and no instance knows of the others' requests.
        """
        self.make_fleet(size)
        self.instances[0].read(200, BRITTLE)
        rejections = []
        for _ in range(REQUESTS_PER_S * SECONDS):
            instance = random.choice(self.instances)
            if instance.notices.has_room(TARGET, 0):
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
        self.make_fleet(2)
        self.instances[0].read(status, headers)
        for instance in self.instances:
            self.assertEqual(instance.notices.has_room(TARGET, requests), expected)

    def test_a_target_is_sound_again_once_a_response_says_so(self):
        self.make_fleet(2)
        self.instances[0].read(200, BRITTLE)
        advance(1.0)
        self.instances[1].read(200, [])
        for instance in self.instances:
            self.assertTrue(instance.notices.has_room(TARGET, 100))
