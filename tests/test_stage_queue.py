"""Which pieces a stage target works on next, under the loads that matter."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.result_memory import ResultMemory
from bergamotsaddle_serving.stage_load import place
from bergamotsaddle_serving.stage_queue import (
    OtherTarget,
    PieceKey,
    QueuedPiece,
    StageQueue,
    isolate_suspects,
)
from tests._stages import FOUR_PER_CALL

LARGE = 3_000_000
SMALL = 8_000


def piece(request, number=0, **changes):
    """Make a piece that is due in a second."""
    values = {
        "key": PieceKey(request, 0, number),
        "urgency": 0,
        "has_started": False,
        "objective_at": 1.0,
        "expires_at": 4.0,
        "result_bytes": SMALL,
        "input_key": "k",
        "inputs": (),
    }
    return QueuedPiece(**(values | changes))


def requests(batch):
    """Requests of a batch's pieces, each once, in order."""
    return list(dict.fromkeys(taken.key.request for taken in batch))


class SuspectsApartTest(unittest.TestCase):
    """Calls in which a request under which targets have ended would take part."""

    @parameterized.expand(
        [
            ("no_suspect", "aab", "", "aab", ""),
            ("only_the_suspect", "ss", "s", "ss", ""),
            ("suspect_first", "sab", "s", "ab", "s"),
            ("suspect_last", "abs", "s", "ab", "s"),
            ("two_suspects", "stts", "st", "ss", "tt"),
        ]
    )
    def test_it_goes_alone(self, _, works, suspects, called, left):
        """Guards against a fatal request that takes others' pieces with it."""
        batch = [
            piece("r", number, fingerprint=fingerprint)
            for number, fingerprint in enumerate(works)
        ]
        call, rest = isolate_suspects(
            batch, lambda fingerprint: fingerprint in suspects
        )
        self.assertEqual("".join(p.fingerprint for p in call), called)
        self.assertEqual("".join(p.fingerprint for p in rest), left)


class RankTest(unittest.TestCase):
    """Order of pieces of a single call with one place."""

    @parameterized.expand(
        [
            ("earlier", piece("a", objective_at=0.9), piece("b")),
            ("urgent", piece("a"), piece("b", urgency=1, objective_at=0.5)),
            ("on_time", piece("a", urgency=2), piece("b", objective_at=0.1)),
            ("begun", piece("a", has_started=True), piece("b", objective_at=0.5)),
        ]
    )
    def test_first(self, _, first, second):
        queue = StageQueue(FOUR_PER_CALL._replace(size=1))
        queue.add(second)
        queue.add(first)
        self.assertEqual(requests(queue.pop_batch(0.0, 18e6)), ["a"])


class BurstTest(unittest.TestCase):
    """Bursts of requests whose results nearly fill a target's room."""

    def test_large_stages_are_begun_whole(self):
        """Many requests with three large results each come at once.

        Were single pieces taken as they fit, two requests would each hold two results
        and wait for the third; their callers would give up with nothing.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "abcdef":
            for number in range(3):
                queue.add(piece(request, number, result_bytes=LARGE))
        room = ResultMemory(18e6, 4.0)
        finished = set()
        held = {}
        for turn in range(12):
            moment = turn * 0.3
            for taken in queue.pop_batch(moment, room.free_bytes(moment)):
                held.setdefault(taken.key.request, set()).add(taken.key.number)
                room.add(f"{taken.key}", LARGE, moment)
            for request, numbers in list(held.items()):
                if len(numbers) == 3:
                    finished.add(request)
                    del held[request]
                    for number in range(3):
                        room.release(f"{PieceKey(request, 0, number)}")
            self.assertLessEqual(len(held), 1)
        self.assertEqual(finished, set("abcdef"))

    def test_small_results_pass_what_has_no_room(self):
        """A large stage waits for room while small ones behind it could run.

        A call with nothing but what fits keeps the target busy.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(3):
            queue.add(piece("large", number, result_bytes=LARGE))
        queue.add(piece("small", urgency=2))
        self.assertEqual(requests(queue.pop_batch(0.0, 6e6)), ["small"])

    def test_large_results_leave_room_for_small_ones(self):
        """Large results fill a target exactly, while chains wait for their first stage.

        Small results take a thousandth of the room. Without any left they would wait
        until the large ones are given up, and half of the call's places stay empty.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(3):
            queue.add(piece(f"large{number}", result_bytes=LARGE))
        for number in range(6):
            queue.add(piece(f"small{number}", urgency=1))
        batch = queue.pop_batch(0.0, 2.0 * LARGE)
        self.assertEqual([p.result_bytes for p in batch], [LARGE, SMALL, SMALL, SMALL])

    def test_a_result_that_fills_a_target_is_made_beside_small_ones(self):
        """A result takes all of a target's room, and small ones wait all the time."""
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("large", result_bytes=18_000_000))
        queue.add(piece("small", urgency=1))
        self.assertEqual(requests(queue.pop_batch(0.0, 18e6)), ["large"])

    def test_a_call_waits_for_room_rather_than_go_nearly_empty(self):
        """The results of the call before are about to be given up.

        A call costs as much as five pieces; one that carries a single piece of the
        many that wait halves what the target does in a burst.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "abcdef":
            queue.add(piece(request, result_bytes=LARGE))
        self.assertEqual(queue.pop_batch(0.0, 4e6, may_wait=True), [])
        self.assertEqual(len(queue.pop_batch(0.0, 4e6)), 1)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, may_wait=True)), 4)

    def test_what_cannot_be_done_in_time_is_taken_out(self):
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a", expires_at=0.1))
        queue.add(piece("b", expires_at=1.0))
        self.assertEqual(requests(queue.pop_expired(0.0)), ["a"])
        self.assertEqual(requests(queue.pop_batch(0.0, 18e6)), ["b"])

    def test_cancelled_requests_leave(self):
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a"))
        queue.add(piece("b"))
        queue.cancel("a")
        self.assertEqual(requests(queue.pop_batch(0.0, 18e6)), ["b"])

    def test_a_begun_stage_that_is_cancelled_promises_no_room(self):
        """A caller leaves after a part of its stage was taken.

        What is left of it is gone; an owner that still counted on it would stop calling
        its targets.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(6):
            queue.add(piece("a", number, result_bytes=LARGE))
        self.assertEqual(len(queue.pop_batch(0.0, 18e6)), 4)
        queue.cancel("a")
        queue.add(piece("b", result_bytes=LARGE))
        self.assertEqual(requests(queue.pop_batch(0.3, 6e6)), ["b"])

    def test_pieces_of_another_round_are_other_pieces(self):
        """A result was lost and its stage is begun anew while old pieces wait.

        Taking an old piece for the new one would hand out a result that was given up,
        and the request would fail once more.
        """
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a"))
        queue.add(piece("a", key=PieceKey("a", 0, 0, 1)))
        self.assertEqual(len(queue), 2)

    def test_drain_counts_urgencies_apart(self):
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(8):
            queue.add(piece("a", number, urgency=2))
        drains = queue.drains(1, 0.1, 1.0)
        self.assertAlmostEqual(drains[place(0, has_started=False)], 0.1)
        self.assertAlmostEqual(drains[place(2, has_started=True)], 0.1)
        self.assertGreater(drains[place(2, has_started=False)], 0.5)

    def test_begun_requests_are_not_overtaken_for_ever(self):
        """A chat waits for its second stage while summaries keep coming to it.

        Summaries are more urgent. Did each of them go ahead, the chat would hold the
        result of its first stage until it expires, and all work for it would be lost.
        """
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("chat", urgency=2, has_started=True, objective_at=1.0))
        for number in range(8):
            due = 1.2 + 0.1 * number
            queue.add(
                piece(f"s{number}", urgency=1, has_started=True, objective_at=due)
            )
        taken = requests(queue.pop_batch(0.0, 18e6))
        self.assertIn("chat", taken)
        self.assertEqual(taken[0], "s0")

    def test_drain_follows_the_order_of_pieces(self):
        """Begun and fresh requests wait for the same stage.

        Told the same wait, fresh ones would be admitted in front of a queue that goes
        before them, and end late.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(4):
            queue.add(piece("begun", number, urgency=2, has_started=True))
            queue.add(piece("fresh", number, urgency=0))
        drains = queue.drains(1, 0.0, 1.0)
        begun = drains[place(2, has_started=True)]
        self.assertAlmostEqual(drains[place(0, has_started=False)], 2 * begun)
        self.assertEqual(requests(queue.pop_batch(0.0, 18e6)), ["begun"])

    def test_late_newcomers_leave_a_long_queue(self):
        """A burst leaves requests behind that were due before they began.

        Those that can still be on time go ahead of them; they would wait until their
        callers give up, instead of being told to come back.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(12):
            queue.add(piece(f"r{number}", objective_at=5.0))
        queue.add(piece("late", objective_at=1.0))
        queue.add(piece("begun", objective_at=1.0, has_started=True, expires_at=9.0))
        self.assertEqual(queue.pop_expired(1.2), [])
        self.assertEqual(requests(queue.pop_expired(1.4)), ["late"])


class SharedQueueTest(unittest.TestCase):
    """One queue for targets in several zones."""

    def test_large_results_stay_in_their_zone_while_there_is_time(self):
        """A free target in another zone could take a piece at once.

        Its result, of megabytes, would then cross zones. Small results may be made
        anywhere: their move costs less than the wait.
        """
        busy = OtherTarget("a", free_in=0.2, free_bytes=18e6)
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("large", result_bytes=LARGE, zone="a", zone_bytes=LARGE))
        queue.add(piece("small", zone="a", zone_bytes=SMALL))
        batch = queue.pop_batch(0.0, 18e6, zone="b", others=[busy])
        self.assertEqual(requests(batch), ["small"])
        batch = queue.pop_batch(0.6, 18e6, zone="b", others=[busy])
        self.assertEqual(requests(batch), ["large"])

    def test_pieces_are_done_where_their_inputs_are(self):
        """Sixteen pieces each fetch eight results of another zone.

        Their results are small, but 8 MB would cross zones for one request.
        """
        free = OtherTarget("a", free_in=0.1, free_bytes=18e6)
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a", has_started=True, zone="a", zone_bytes=480_000))
        self.assertEqual(queue.pop_batch(0.0, 18e6, zone="b", others=[free]), [])
        batch = queue.pop_batch(0.0, 18e6, zone="a")
        self.assertEqual(requests(batch), ["a"])

    def test_the_rest_of_a_stage_stays_where_it_was_begun(self):
        """A call takes four of a stage's six pieces.

        Done in another zone, the other two would have the next stage fetch its inputs
        from two zones.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(6):
            queue.add(piece("a", number))
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, zone="a")), 4)
        busy = OtherTarget("a", free_in=0.2, free_bytes=18e6)
        self.assertEqual(queue.pop_batch(0.0, 18e6, zone="b", others=[busy]), [])
        batch = queue.pop_batch(0.8, 18e6, zone="b", others=[busy])
        self.assertEqual(len(batch), 2)

    def test_large_results_leave_a_zone_without_a_target(self):
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("large", result_bytes=LARGE, zone="a", zone_bytes=LARGE))
        other = OtherTarget("c", free_in=0.0, free_bytes=18e6)
        batch = queue.pop_batch(0.0, 18e6, zone="b", others=[other])
        self.assertEqual(requests(batch), ["large"])

    def test_a_stage_that_fits_no_single_target_is_spread(self):
        """A request has eight large results, and a target has room for six.

        Were a stage begun only if one target held all of it, such requests would wait
        until their callers leave.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(8):
            queue.add(piece("a", number, result_bytes=LARGE))
        self.assertEqual(queue.pop_batch(0.0, 18e6), [])
        other = OtherTarget("b", free_in=0.0, free_bytes=18e6)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, others=[other])), 4)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, others=[])), 4)

    def test_room_promised_to_a_begun_stage_is_not_given_to_another(self):
        """Two requests have eight large results each, the targets room for twelve.

        Begun together, each would hold a part and wait for what only the other gives
        up.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "ab":
            for number in range(8):
                queue.add(piece(request, number, result_bytes=LARGE))
        other = OtherTarget("b", free_in=0.2, free_bytes=18e6)
        first = queue.pop_batch(0.0, 18e6, others=[other])
        left = OtherTarget("a", free_in=0.2, free_bytes=6e6)
        second = queue.pop_batch(0.0, 18e6, zone="b", others=[left])
        self.assertEqual(requests([*first, *second]), ["a"])
