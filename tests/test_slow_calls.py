"""Which pieces a slow stage target takes."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.policy import Policy
from bergamotsaddle_serving.slow_calls import CallingTarget, leave_to_faster
from bergamotsaddle_serving.stage_queue import (
    OtherTarget,
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from tests._stages import FOUR_PER_CALL

FAST = CallingTarget(free_in=0.1, slowdown=1.0, capacity=100)
CALL_S = 0.2


class LeaveToFasterTest(unittest.TestCase):
    """Number of pieces that a target leaves to the others of its queue."""

    @parameterized.expand(
        [
            ("as_fast", 1.0, [FAST], 0),
            ("slightly_slower", 1.4, [FAST], 0),
            ("slow", 4.0, [FAST], 3 * 4),
            ("slow_beside_two", 4.0, [FAST, FAST], 6 * 4),
            ("all_slow", 4.0, [FAST._replace(slowdown=4.0)], 0),
            ("faster_one_is_full", 4.0, [FAST._replace(capacity=0)], 0),
            ("faster_one_is_busy", 4.0, [FAST._replace(free_in=2.0)], 0),
            ("alone", 4.0, [], 0),
        ]
    )
    def test_pieces(self, _, slowdown, others, expected):
        self.assertEqual(leave_to_faster(slowdown, others, 4, CALL_S), expected)


class SlowTargetTest(unittest.TestCase):
    """A burst while one of two targets takes four times as long."""

    def pop(self, slow_calls, waiting):
        """Return the numbers of the pieces that the slow target takes."""
        queue = StageQueue(FOUR_PER_CALL, Policy(slow_calls=slow_calls))
        for number in range(waiting):
            key = PieceKey(f"r{number:02}", 0, 0)
            queue.add(QueuedPiece(key, 0, False, 9.0 + number, 99.0, 1, "k", ()))
        fast = OtherTarget("a", free_in=0.05, free_bytes=1e9)
        batch = queue.pop_batch(0.0, 1e9, 4.0, zone="a", others=[fast])
        return [int(piece.key.request[1:]) for piece in batch]

    def test_urgent_pieces_are_left_to_the_fast_target(self):
        """Guards against requests that are late because a slow target was free."""
        self.assertEqual(self.pop("greedy", 4), [0, 1, 2, 3])
        self.assertEqual(self.pop("patient", 4), [])

    def test_a_long_queue_uses_the_slow_target(self):
        """Guards against a target that idles while pieces wait for longer."""
        taken = self.pop("patient", 40)
        self.assertEqual(len(taken), 4)
        self.assertGreater(min(taken), 0)
