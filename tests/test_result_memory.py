"""What an owner knows of the results that targets hold."""

import unittest

from bergamotsaddle_serving.result_memory import (
    FOREIGN_TTL_S,
    FULL_PAUSE_S,
    ResultMemory,
)

LARGE = 3_000_000
SMALL = 8_000


class RoomTest(unittest.TestCase):
    """What is known of the results that a target holds."""

    def test_results_end_after_their_time(self):
        room = ResultMemory(10e6, 4.0)
        room.add("h", LARGE, 0.0)
        self.assertEqual(room.free_bytes(3.9), 7e6)
        self.assertEqual(room.free_bytes(4.1), 10e6)

    def test_a_refusal_holds_back_that_size(self):
        """Declared sizes are approximate, so a target may be full before we think.

        Asking again at once met the same refusal every 2 ms, thousands of times.
        """
        room = ResultMemory(18e6, 4.0)
        room.record_full(LARGE, 0.0)
        self.assertLess(room.free_bytes(FULL_PAUSE_S / 2), LARGE)
        self.assertGreater(room.free_bytes(FULL_PAUSE_S / 2), SMALL)
        room.add("h", LARGE, 0.0)
        room.release("h")
        self.assertGreater(room.free_bytes(FULL_PAUSE_S / 2), LARGE)

    def test_repeated_refusals_wait_longer(self):
        room = ResultMemory(18e6, 4.0)
        moment = 0.0
        waits = []
        for _ in range(3):
            room.record_full(LARGE, moment)
            begin = moment
            while room.free_bytes(moment) < LARGE:
                moment += 0.01
            waits.append(moment - begin)
        self.assertGreater(waits[2], 3 * waits[0])

    def test_results_of_a_dead_owner_are_counted_for_a_moment(self):
        """An owner dies, and the target still holds what only it knew of.

        Its successor would call again and again for results that have no room; but a
        target that is left alone says the same for ever, so it is tried again soon.
        """
        room = ResultMemory(18e6, 4.0)
        room.reconcile(3e6, 10.0)
        self.assertEqual(room.free_bytes(10.1), 3e6)
        self.assertEqual(room.free_bytes(10.0 + FOREIGN_TTL_S), 18e6)

    def test_what_was_just_given_up_is_not_taken_for_somebody_elses(self):
        room = ResultMemory(18e6, 4.0)
        room.add("h", LARGE, 9.8)
        room.release("h")
        room.reconcile(15e6, 10.0)
        self.assertEqual(room.free_bytes(10.1), 18e6)
