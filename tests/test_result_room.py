"""What an owner knows of the results that targets hold."""

import unittest

from bergamotsaddle_serving.result_room import FOREIGN_S, FULL_PAUSE_S, ResultRoom

LARGE = 3_000_000
SMALL = 8_000


class RoomTest(unittest.TestCase):
    """What is known of the results that a target holds."""

    def test_results_end_after_their_time(self):
        room = ResultRoom(10e6, 4.0)
        room.hold("h", LARGE, 0.0)
        self.assertEqual(room.left(3.9), 7e6)
        self.assertEqual(room.left(4.1), 10e6)

    def test_a_refusal_holds_back_that_size(self):
        """Declared sizes are approximate, so a target may be full before we think.

        Asking again at once met the same refusal every 2 ms, thousands of times.
        """
        room = ResultRoom(18e6, 4.0)
        room.note_full(LARGE, 0.0)
        self.assertLess(room.left(FULL_PAUSE_S / 2), LARGE)
        self.assertGreater(room.left(FULL_PAUSE_S / 2), SMALL)
        room.hold("h", LARGE, 0.0)
        room.release("h")
        self.assertGreater(room.left(FULL_PAUSE_S / 2), LARGE)

    def test_repeated_refusals_wait_longer(self):
        room = ResultRoom(18e6, 4.0)
        moment = 0.0
        waits = []
        for _ in range(3):
            room.note_full(LARGE, moment)
            begin = moment
            while room.left(moment) < LARGE:
                moment += 0.01
            waits.append(moment - begin)
        self.assertGreater(waits[2], 3 * waits[0])

    def test_results_of_a_dead_owner_are_counted_for_a_moment(self):
        """An owner dies, and the target still holds what only it knew of.

        Its successor would call again and again for results that have no room; but a
        target that is left alone says the same for ever, so it is tried again soon.
        """
        room = ResultRoom(18e6, 4.0)
        room.correct(3e6, 10.0)
        self.assertEqual(room.left(10.1), 3e6)
        self.assertEqual(room.left(10.0 + FOREIGN_S), 18e6)

    def test_what_was_just_given_up_is_not_taken_for_somebody_elses(self):
        room = ResultRoom(18e6, 4.0)
        room.hold("h", LARGE, 9.8)
        room.release("h")
        room.correct(15e6, 10.0)
        self.assertEqual(room.left(10.1), 18e6)
