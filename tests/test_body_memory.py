"""Memory for responses that many requests share."""

import unittest

from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import (
    MIN_SHARE_BYTES,
    BodyMemory,
    MemoryShortError,
    Remainder,
)
from tests._paused import advance, use_paused_clock

setUpModule = use_paused_clock


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


class CrowdedMemoryTest(unittest.TestCase):
    """Memory for requests, beside many that stop in the middle of their bodies."""

    def setUp(self):
        self.memory = BodyMemory(1_000_000, max_used=1_200_000)
        self.ended = []

    def begin(self, name, size):
        """Begin a body that gives way by giving back its memory."""
        share = self.memory.open()

        def evict():
            self.ended.append(name)
            share.close()

        self.memory.begin(share, evict)
        share.keep(size)
        return share

    def test_short_bodies_take_no_more_than_there_is(self):
        """Guards against many short bodies that exceed the memory together."""
        shares = [self.memory.open() for _ in range(100)]
        for share in shares:
            if share.may_take(MIN_SHARE_BYTES):
                share.keep(MIN_SHARE_BYTES)
        self.assertLessEqual(self.memory.used, 1_200_000)
        self.assertGreater(self.memory.used, 1_000_000)

    def test_the_slowest_gives_way(self):
        """Guards against callers that keep all memory until their time is over."""
        self.begin("a", 700_000)
        self.begin("b", 500_000)
        advance(2.0)
        share = self.begin("new", 0)
        self.assertFalse(share.may_take(20_000))
        self.assertTrue(self.memory.reclaim(share))
        self.assertEqual(self.ended, ["a"])
        self.assertTrue(share.may_take(20_000))

    @parameterized.expand([("recent", 0.5), ("alone", 5.0)])
    def test_none_gives_way(self, name, age):
        """Guards against bodies that end each other as soon as they arrive."""
        if name == "recent":
            self.begin("a", 1_200_000)
        share = self.begin("new", 0)
        advance(age)
        self.assertFalse(self.memory.reclaim(share))
        self.assertEqual(self.ended, [])

    def test_a_body_that_has_arrived_does_not_refuse_reading(self):
        """Guards against requests that end while targets run them."""
        share = self.begin("a", 1_200_000)
        self.memory.end(share)
        advance(2.0)
        self.assertFalse(self.memory.reclaim(self.begin("new", 0)))
