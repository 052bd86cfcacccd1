"""Mechanisms that are switched off, each under a load that triggers it."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.admission import Forecast, admits
from bergamotsaddle_serving.decisions.stage_queue import (
    OtherTarget,
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy
from tests._stages import FOUR_PER_CALL

LARGE = 3_000_000
BUSY = OtherTarget("a", free_in=0.2, free_bytes=18e6)
LATE = Forecast(seconds=1.5, idle_seconds=0.4, objective=1.0, remaining=4.0)
OVERTAKEN = LATE._replace(seconds=0.67)


def fill(queue, count):
    """Queue large pieces of one request that is due in one second."""
    for number in range(count):
        key = PieceKey("r", 0, number)
        piece = QueuedPiece(key, 0, False, 1.0, 9.0, LARGE, "k", (), zone="a")
        queue.add(piece._replace(zone_bytes=LARGE))


def pop_elsewhere(policy, count, *, others):
    """Return the number of pieces that a target in another zone pops."""
    queue = StageQueue(FOUR_PER_CALL, policy)
    fill(queue, count)
    return len(queue.pop_batch(0.0, 18e6, zone="b", others=others))


def pop_with_little_memory(policy):
    """Return the number of pieces popped with memory for one of six requests."""
    queue = StageQueue(FOUR_PER_CALL, policy)
    for number in range(6):
        key = PieceKey(f"r{number}", 0, 0)
        queue.add(QueuedPiece(key, 0, False, 1.0, 9.0, LARGE, "k", ()))
    return len(queue.pop_batch(0.0, 4e6, may_wait=True))


def expire(policy):
    """Return the number of late pieces that are removed from a long queue."""
    queue = StageQueue(FOUR_PER_CALL, policy)
    fill(queue, 8)
    queue.add(QueuedPiece(PieceKey("s", 0, 0), 0, False, 9.0, 9.0, LARGE, "k", ()))
    return len(queue.pop_expired(2.0))


class MechanismTest(unittest.TestCase):
    """Decisions with and without a mechanism."""

    @parameterized.expand(
        [
            (Mechanism.ADMISSION, lambda p: admits(LATE, 0.0, p), False, True),
            (Mechanism.OVERTAKING, lambda p: admits(OVERTAKEN, 0.6, p), False, True),
            (Mechanism.HOME_ZONES, lambda p: pop_elsewhere(p, 2, others=[BUSY]), 0, 2),
            (Mechanism.WHOLE_STAGES, lambda p: pop_elsewhere(p, 8, others=[]), 0, 4),
            (Mechanism.LATE_LEAVE, expire, 8, 0),
            (Mechanism.FULL_CALLS, pop_with_little_memory, 0, 1),
        ]
    )
    def test_decision(self, mechanism, decide, with_it, without_it):
        self.assertEqual(decide(FULL_POLICY), with_it)
        self.assertEqual(decide(Policy(frozenset({mechanism}))), without_it)
