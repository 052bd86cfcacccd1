"""Memory for responses that many requests share."""

import unittest

from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import (
    BodyMemory,
    MemoryShortError,
    Remainder,
)


class RemainderTest(unittest.TestCase):
    """A part of a response whose size changes, beside others that grow."""

    def setUp(self):
        self.memory = BodyMemory(1_000_000)
        self.share = self.memory.open()
        self.part = Remainder(self.share)
        self.part.resize(400_000)
        other = self.memory.open()
        other.take(250_000)
        other.keep(300_000)

    @parameterized.expand([("same", 400_000), ("less", 100_000), ("nothing", 0)])
    def test_what_it_holds_stays_its_own(self, _, size):
        """Guards against sound responses that fail because others take memory."""
        self.part.resize(size)
        self.assertEqual(self.share.held, size)
        self.assertEqual(self.memory.used, 550_000 + size)

    def test_it_grows_only_as_far_as_there_is_memory(self):
        with self.assertRaises(MemoryShortError):
            self.part.resize(500_000)
        self.assertEqual(self.share.held, 400_000)

    def test_it_gives_back_nothing_twice(self):
        self.part.resize(0)
        self.part.resize(0)
        self.assertEqual(self.memory.used, 550_000)

    def test_a_request_that_keeps_a_body_ends_beside_full_memory(self):
        """Guards against a request that fails as it ends with its whole response."""
        share = self.memory.open()
        share.keep(450_000)
        Remainder(share).resize(0)
        share.close()
        self.assertEqual(self.memory.used, 950_000)
