"""Which peers get a heartbeat when."""

import random
import unittest

from parameterized import parameterized

from bergamotsaddle_serving.heartbeat_schedule import (
    MAX_HEARTBEATS_PER_ROUND,
    HeartbeatSchedule,
)
from bergamotsaddle_serving.peers import HEARTBEAT_INTERVAL_S

FLEET = [f"10.0.0.{n}" for n in range(65)]
ZONE = FLEET[:21]
ROUNDS = 70


def rounds_with_heartbeat(receiver, senders, starts):
    """Return the rounds in which one peer receives a heartbeat of any sender."""
    rounds = set()
    for sender, start in zip(senders, starts, strict=True):
        schedule = HeartbeatSchedule(start)
        hosts = [host for host in FLEET if host != sender]
        for number in range(ROUNDS):
            if receiver in schedule.pick(hosts, owns_queues=False):
                rounds.add(number)
    return sorted(rounds)


class HeartbeatScheduleTest(unittest.TestCase):
    """A fleet of 65 instances that send ten heartbeats a round."""

    def test_a_zone_is_received_without_long_gaps(self):
        """Guards against instances that all send heartbeats to the same peers.

        All instances start together and go through their peers in the same order. If
        they also started at the same peer, each would receive nothing for 1.2 s in a
        row. A zone that sent nothing for 0.5 s is probed through its targets, each of
        which would answer thousands of probes on a day without faults.
        """
        chance = random.Random(5)
        starts = [chance.getrandbits(16) for _ in ZONE]
        rounds = rounds_with_heartbeat(FLEET[40], ZONE, starts)
        gaps = [b - a for a, b in zip(rounds, rounds[1:], strict=False)]
        self.assertLess(max(gaps) * HEARTBEAT_INTERVAL_S, 0.5)
        together = rounds_with_heartbeat(FLEET[40], ZONE, [0] * len(ZONE))
        gaps = [b - a for a, b in zip(together, together[1:], strict=False)]
        self.assertGreater(max(gaps) * HEARTBEAT_INTERVAL_S, 0.9)

    @parameterized.expand([("others", False, 7), ("owners", True, 4)])
    def test_every_peer_gets_a_heartbeat_in_turn(self, _, owns_queues, rounds):
        schedule = HeartbeatSchedule(3)
        hosts = FLEET[1:]
        receivers = {
            host
            for _ in range(rounds)
            for host in schedule.pick(hosts, owns_queues=owns_queues)
        }
        self.assertEqual(receivers, set(hosts))

    @parameterized.expand([("others", False, 5), ("owners", True, 20)])
    def test_a_large_fleet_gets_fewer(self, _, owns_queues, count):
        """Guards against heartbeats that take more time than the requests."""
        hosts = [f"10.0.{n // 100}.{n % 100}" for n in range(194)]
        picked = HeartbeatSchedule(3).pick(hosts, owns_queues=owns_queues)
        self.assertEqual(len(set(picked)), count)

    def test_a_small_fleet_gets_heartbeats_in_every_round(self):
        schedule = HeartbeatSchedule()
        hosts = FLEET[:MAX_HEARTBEATS_PER_ROUND]
        self.assertEqual(schedule.pick(hosts, owns_queues=False), hosts)
