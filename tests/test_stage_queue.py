"""Tests for the order of pieces in a stage queue under typical loads."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.decisions.stage_queue import (
    OtherTarget,
    PieceKey,
    QueuedPiece,
    StageQueue,
)
from bergamotsaddle_serving.result_memory import ResultMemory
from bergamotsaddle_serving.stage_load import place
from tests._stages import FOUR_PER_CALL

LARGE = 3_000_000
SMALL = 8_000


def piece(request, number=0, **changes):
    """Return a piece that is due in a second."""
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


def request_ids(batch):
    """Return the distinct requests of a batch's pieces in order."""
    return list(dict.fromkeys(popped.key.request for popped in batch))


class IsolateSuspectsTest(unittest.TestCase):
    """Calls that would contain a request under which targets have crashed."""

    @parameterized.expand(
        [
            ("no_suspect", "aab", "", "aab", ""),
            ("only_the_suspect", "ss", "s", "ss", ""),
            ("suspect_first", "sab", "s", "s", "ab"),
            ("suspect_last", "abs", "s", "ab", "s"),
            ("two_suspects", "stts", "st", "ss", "tt"),
        ]
    )
    def test_a_suspect_is_called_alone(
        self, _, fingerprints, suspects, called, waiting
    ):
        """Guards against a fatal request that crashes a call with pieces of others."""
        queue = StageQueue(FOUR_PER_CALL)
        for number, fingerprint in enumerate(fingerprints):
            queue.add(piece("r", number, fingerprint=fingerprint))
        call = queue.pop_batch(0.0, 18e6, is_suspect=suspects.__contains__)
        self.assertEqual("".join(p.fingerprint for p in call), called)
        left = queue.piece_by_key.values()
        self.assertEqual("".join(p.fingerprint for p in left), waiting)

    def test_suspects_do_not_take_up_the_calls_of_others(self):
        """Guards against suspects that wait first in the queue and are never called.

        Targets crash while they run dozens of requests, most of which are harmless. If
        their pieces, the oldest ones, were taken out of each call, calls would go out
        nearly empty while the queue grows, until the suspects time out.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(3):
            suspect = piece(f"s{number}", objective_at=0.5, fingerprint=f"s{number}")
            queue.add(suspect)
        for number in range(40):
            queue.add(piece(f"r{number}", fingerprint=f"r{number}"))
        calls = []
        while len(queue):
            calls.append(
                queue.pop_batch(
                    0.0,
                    18e6,
                    is_suspect=lambda name: name[0] == "s",
                )
            )
        self.assertEqual([len(call) for call in calls], [1, 1, 1, *[4] * 10])


class RankTest(unittest.TestCase):
    """Order of pieces when a call holds a single piece."""

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
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["a"])


class BurstTest(unittest.TestCase):
    """Bursts of requests whose results nearly fill a target's memory."""

    def test_large_stages_are_started_completely(self):
        """Many requests with three large results each arrive at once.

        If single pieces were popped as they fit, two requests would each hold two
        results and wait for the third until both callers disconnect.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "abcdef":
            for number in range(3):
                queue.add(piece(request, number, result_bytes=LARGE))
        memory = ResultMemory(18e6, 4.0)
        finished = set()
        held = {}
        for step in range(12):
            at = step * 0.3
            for popped in queue.pop_batch(at, memory.free_bytes(at)):
                held.setdefault(popped.key.request, set()).add(popped.key.number)
                memory.add(f"{popped.key}", LARGE, at)
            for request, numbers in list(held.items()):
                if len(numbers) == 3:
                    finished.add(request)
                    del held[request]
                    for number in range(3):
                        memory.release(f"{PieceKey(request, 0, number)}")
            self.assertLessEqual(len(held), 1)
        self.assertEqual(finished, set("abcdef"))

    @parameterized.expand([("empty", 0), ("without_memory", LARGE)])
    def test_a_look_without_a_piece_that_fits_forgets_finished_stages(self, _, size):
        """Guards against stages that count as started and hold back memory forever."""
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("done"))
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["done"])
        if size:
            queue.add(piece("waits", result_bytes=size))
        self.assertEqual(queue.pop_batch(0.0, size - 1.0), [])
        self.assertEqual(queue.started_stages, set())
        self.assertEqual(len(queue), bool(size))

    def test_small_results_overtake_results_without_memory(self):
        """A large stage waits for memory while small ones behind it could run.

        A call with only the pieces that fit keeps the target busy.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(3):
            queue.add(piece("large", number, result_bytes=LARGE))
        queue.add(piece("small", urgency=2))
        self.assertEqual(request_ids(queue.pop_batch(0.0, 6e6)), ["small"])

    def test_large_results_leave_memory_for_small_ones(self):
        """Large results fill a target exactly, while chains wait for their first stage.

        Small results take a thousandth of the memory. With none free they would wait
        until the large ones are released, and half of the call's places stay empty.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(3):
            queue.add(piece(f"large{number}", result_bytes=LARGE))
        for number in range(6):
            queue.add(piece(f"small{number}", urgency=1))
        batch = queue.pop_batch(0.0, 2.0 * LARGE)
        self.assertEqual([p.result_bytes for p in batch], [LARGE, SMALL, SMALL, SMALL])

    def test_a_result_that_fills_a_target_is_not_starved(self):
        """A result takes all of a target's memory, and small ones wait all the time."""
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("large", result_bytes=18_000_000))
        queue.add(piece("small", urgency=1))
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["large"])

    def test_a_call_waits_for_memory_if_nearly_empty(self):
        """The results of the previous call are about to be released.

        A call costs as much as five pieces. A call with a single one of many waiting
        pieces halves the throughput of the target in a burst.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "abcdef":
            queue.add(piece(request, result_bytes=LARGE))
        self.assertEqual(queue.pop_batch(0.0, 4e6, may_wait=True), [])
        self.assertEqual(len(queue.pop_batch(0.0, 4e6)), 1)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, may_wait=True)), 4)

    def test_pieces_that_cannot_finish_in_time_are_removed(self):
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a", expires_at=0.1))
        queue.add(piece("b", expires_at=1.0))
        self.assertEqual(request_ids(queue.pop_expired(0.0)), ["a"])
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["b"])

    def test_pieces_of_cancelled_requests_are_removed(self):
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a"))
        queue.add(piece("b"))
        queue.cancel("a")
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["b"])

    def test_a_cancelled_stage_reserves_no_memory(self):
        """A caller disconnects after some pieces of its stage were popped.

        The remaining pieces are gone. An owner that kept memory reserved for them would
        stop calling its targets.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(6):
            queue.add(piece("a", number, result_bytes=LARGE))
        self.assertEqual(len(queue.pop_batch(0.0, 18e6)), 4)
        queue.cancel("a")
        queue.add(piece("b", result_bytes=LARGE))
        self.assertEqual(request_ids(queue.pop_batch(0.3, 6e6)), ["b"])

    def test_pieces_of_another_round_are_distinct(self):
        """A result was lost and its stage restarts while old pieces wait.

        If an old piece were taken for a new one, the request would get a released
        result and fail once more.
        """
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a"))
        queue.add(piece("a", key=PieceKey("a", 0, 0, 1)))
        self.assertEqual(len(queue), 2)

    def test_drain_distinguishes_urgencies(self):
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(8):
            queue.add(piece("a", number, urgency=2))
        drains = queue.drains(1, 0.1, 1.0)
        self.assertAlmostEqual(drains[place(0, has_started=False)], 0.1)
        self.assertAlmostEqual(drains[place(2, has_started=True)], 0.1)
        self.assertGreater(drains[place(2, has_started=False)], 0.5)

    def test_started_requests_are_not_starved(self):
        """A chat waits for its second stage while summaries keep arriving there.

        Summaries are more urgent. If each of them went first, the result of the chat's
        first stage would expire, and all work for the chat would be lost.
        """
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("chat", urgency=2, has_started=True, objective_at=1.0))
        for number in range(8):
            objective_at = 1.2 + 0.1 * number
            queue.add(
                piece(
                    f"s{number}", urgency=1, has_started=True, objective_at=objective_at
                )
            )
        popped = request_ids(queue.pop_batch(0.0, 18e6))
        self.assertIn("chat", popped)
        self.assertEqual(popped[0], "s0")

    def test_drain_follows_the_order_of_pieces(self):
        """Started and new requests wait for the same stage.

        With the same forecast, new ones would be admitted although the queue goes
        before them, and finish late.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(4):
            queue.add(piece("begun", number, urgency=2, has_started=True))
            queue.add(piece("fresh", number, urgency=0))
        drains = queue.drains(1, 0.0, 1.0)
        started = drains[place(2, has_started=True)]
        self.assertAlmostEqual(drains[place(0, has_started=False)], 2 * started)
        self.assertEqual(request_ids(queue.pop_batch(0.0, 18e6)), ["begun"])

    def test_late_new_requests_are_removed_from_a_long_queue(self):
        """A burst leaves requests in the queue that were due before they started.

        Requests that can still be on time go first. The late ones would wait until
        their callers disconnect, instead of being asked to retry.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(12):
            queue.add(piece(f"r{number}", objective_at=5.0))
        queue.add(piece("late", objective_at=1.0))
        queue.add(piece("begun", objective_at=1.0, has_started=True, expires_at=9.0))
        self.assertEqual(queue.pop_expired(1.2), [])
        self.assertEqual(request_ids(queue.pop_expired(1.4)), ["late"])


class SharedQueueTest(unittest.TestCase):
    """A queue that is shared by targets in several zones."""

    def test_large_results_stay_in_their_zone_while_there_is_time(self):
        """A free target in another zone could take a piece at once.

        Its result, of megabytes, would then cross zones. Pieces with small results may
        run anywhere: moving the result costs less than the wait.
        """
        busy = OtherTarget("a", free_in=0.2, free_bytes=18e6)
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("large", result_bytes=LARGE, zone="a", zone_bytes=LARGE))
        queue.add(piece("small", zone="a", zone_bytes=SMALL))
        batch = queue.pop_batch(0.0, 18e6, zone="b", others=[busy])
        self.assertEqual(request_ids(batch), ["small"])
        batch = queue.pop_batch(0.6, 18e6, zone="b", others=[busy])
        self.assertEqual(request_ids(batch), ["large"])

    def test_pieces_run_where_their_inputs_are(self):
        """Sixteen pieces each fetch eight results of another zone.

        Their results are small, but 8 MB would cross zones for one request.
        """
        free = OtherTarget("a", free_in=0.1, free_bytes=18e6)
        queue = StageQueue(FOUR_PER_CALL)
        queue.add(piece("a", has_started=True, zone="a", zone_bytes=480_000))
        self.assertEqual(queue.pop_batch(0.0, 18e6, zone="b", others=[free]), [])
        batch = queue.pop_batch(0.0, 18e6, zone="a")
        self.assertEqual(request_ids(batch), ["a"])

    def test_the_remainder_of_a_stage_stays_in_its_zone(self):
        """A call takes four of a stage's six pieces.

        If the other two ran in another zone, the next stage would fetch its inputs from
        two zones.
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
        self.assertEqual(request_ids(batch), ["large"])

    def test_a_stage_that_fits_no_single_target_is_spread(self):
        """A request has eight large results, and a target has memory for six.

        If a stage started only when one target could hold all of it, such requests
        would wait until their callers disconnect.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for number in range(8):
            queue.add(piece("a", number, result_bytes=LARGE))
        self.assertEqual(queue.pop_batch(0.0, 18e6), [])
        other = OtherTarget("b", free_in=0.0, free_bytes=18e6)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, others=[other])), 4)
        self.assertEqual(len(queue.pop_batch(0.0, 18e6, others=[])), 4)

    def test_memory_reserved_for_a_stage_is_not_given_to_another(self):
        """Two requests have eight large results each, the targets memory for twelve.

        If both started, each would hold some results and wait for memory that only the
        other one releases.
        """
        queue = StageQueue(FOUR_PER_CALL)
        for request in "ab":
            for number in range(8):
                queue.add(piece(request, number, result_bytes=LARGE))
        other = OtherTarget("b", free_in=0.2, free_bytes=18e6)
        first = queue.pop_batch(0.0, 18e6, others=[other])
        filled = OtherTarget("a", free_in=0.2, free_bytes=6e6)
        second = queue.pop_batch(0.0, 18e6, zone="b", others=[filled])
        self.assertEqual(request_ids([*first, *second]), ["a"])
