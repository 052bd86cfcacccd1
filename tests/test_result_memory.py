"""Tests for an owner's estimate of the result memory of its targets."""

import random
import unittest

from bergamotsaddle_serving.result_memory import (
    FOREIGN_TTL_S,
    FULL_PAUSE_S,
    ResultMemory,
)

LARGE = 3_000_000
SMALL = 8_000


class ResultMemoryTest(unittest.TestCase):
    """Free memory as results are added, released, expired and rejected."""

    def test_results_expire_after_their_ttl(self):
        memory = ResultMemory(10e6, 4.0)
        memory.add("h", LARGE, 0.0)
        self.assertEqual(memory.free_bytes(3.9), 7e6)
        self.assertEqual(memory.free_bytes(4.1), 10e6)

    def test_free_memory_follows_each_result(self):
        """Guards against results that count although they expired or were released."""
        rng = random.Random(1)
        memory = ResultMemory(10e6, 4.0)
        held: dict[str, tuple[float, int]] = {}
        at = 0.0
        for step in range(500):
            at += rng.uniform(0.0, 0.4)
            handle = f"h{rng.randrange(20)}"
            if rng.random() < 0.6:
                size = rng.randint(1, 100_000)
                memory.add(handle, size, at)
                held[handle] = (at + 4.0, size)
            else:
                memory.release(handle)
                held.pop(handle, None)
            at += rng.uniform(0.0, 0.4)
            kept = sum(size for expires_at, size in held.values() if expires_at > at)
            with self.subTest(step=step):
                self.assertEqual(memory.free_bytes(at), 10e6 - kept)

    def test_a_rejected_size_is_not_offered_again_at_once(self):
        """Guards against retries of a result size that a target has just rejected.

        Declared sizes are approximate, so a target may be full before the owner expects
        it. Immediate retries were rejected every 2 ms, thousands of times.
        """
        memory = ResultMemory(18e6, 4.0)
        memory.record_full(LARGE, 0.0)
        self.assertLess(memory.free_bytes(FULL_PAUSE_S / 2), LARGE)
        self.assertGreater(memory.free_bytes(FULL_PAUSE_S / 2), SMALL)
        memory.add("h", LARGE, 0.0)
        memory.release("h")
        self.assertGreater(memory.free_bytes(FULL_PAUSE_S / 2), LARGE)

    def test_repeated_rejections_wait_longer(self):
        memory = ResultMemory(18e6, 4.0)
        at = 0.0
        waits = []
        for _ in range(3):
            memory.record_full(LARGE, at)
            rejected_at = at
            while memory.free_bytes(at) < LARGE:
                at += 0.01
            waits.append(at - rejected_at)
        self.assertGreater(waits[2], 3 * waits[0])

    def test_results_of_a_dead_owner_count_for_a_limited_time(self):
        """An owner dies while its results still occupy memory at the target.

        Its successor must not keep calling for results that do not fit. A target that
        is not called keeps reporting the same free memory, so it is tried again soon.
        """
        memory = ResultMemory(18e6, 4.0)
        memory.reconcile(3e6, 10.0)
        self.assertEqual(memory.free_bytes(10.1), 3e6)
        self.assertEqual(memory.free_bytes(10.0 + FOREIGN_TTL_S), 18e6)

    def test_just_released_results_do_not_count_as_foreign(self):
        memory = ResultMemory(18e6, 4.0)
        memory.add("h", LARGE, 9.8)
        memory.release("h")
        memory.reconcile(15e6, 10.0)
        self.assertEqual(memory.free_bytes(10.1), 18e6)
