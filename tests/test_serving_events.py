"""Tests for splitting a stream into complete events."""

import re
import unittest
from itertools import product

from parameterized import parameterized

from bergamotsaddle_serving.events import EventSplitter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"
END = re.compile(rb"(?>\r\n|\n|\r)(?>\r\n|\n|\r)")


class EventSplitterTest(unittest.TestCase):
    """Events from bytes that are split anywhere."""

    @parameterized.expand([(size,) for size in (1, 3, 7, len(ONE + TWO))])
    def test_events_are_complete_however_they_are_split(self, size):
        splitter = EventSplitter()
        data = ONE + TWO
        events = []
        for begin in range(0, len(data), size):
            events += splitter.feed(data[begin : begin + size])
        self.assertEqual([event.data for event in events], [ONE, TWO])
        self.assertEqual([event.id for event in events], [1, 2])
        self.assertEqual(splitter.remainder, b"")

    def test_an_incomplete_event_is_kept(self):
        """An engine dies in the middle of an event and another one resumes the stream.

        If the incomplete event were relayed, the caller would see a broken event or the
        same tokens twice.
        """
        splitter = EventSplitter()
        self.assertEqual(len(splitter.feed(ONE + TWO[:9])), 1)
        self.assertEqual(splitter.remainder, TWO[:9])

    @parameterized.expand(
        [
            ("nothing", b"", False),
            ("half_an_event", ONE[:-1], False),
            ("one_byte_more", ONE + b"i", False),
            ("one_event", ONE, True),
            ("an_empty_line_more", ONE + b"\n", True),
            ("only_line_ends", b"\n", False),
        ]
    )
    def test_a_stream_ends_between_events(self, _, data, expected):
        splitter = EventSplitter()
        splitter.feed(data)
        self.assertEqual(splitter.may_end(), expected)

    @parameterized.expand([(size,) for size in range(1, 8)])
    def test_an_event_ends_behind_two_line_ends(self, size):
        """Guards against ends of events that are found elsewhere, or not at all."""
        for letters in product((b"\r", b"\n", b"a"), repeat=size):
            data = b"".join(letters)
            found = EventSplitter().feed(data)
            expected, start = [], 0
            while match := END.search(data, start):
                expected.append(data[start : match.end()])
                start = match.end()
            self.assertEqual([event.data for event in found], expected, data)

    @parameterized.expand([(b"\n",), (b"\r\n",), (b"\r",)])
    def test_events_end_with_any_line_end(self, end):
        """Guards against whole streams that are taken for broken ones."""
        splitter = EventSplitter()
        data = ONE.replace(b"\n", end)
        events = [
            event
            for begin in range(len(data))
            for event in splitter.feed(data[begin : begin + 1])
        ]
        self.assertEqual([event.id for event in events], [1])
        self.assertTrue(splitter.may_end())

    @parameterized.expand(
        [
            ("id", ONE, True),
            ("no_id", b"data: a\n\n", False),
            ("no_value", b"data\n\n", False),
            ("comment", b": note\n\n", True),
        ]
    )
    def test_a_stream_goes_on_after_an_event(self, _, data, expected):
        (event,) = EventSplitter().feed(data)
        self.assertEqual(event.allows_resume, expected)

    def test_line_endings_and_missing_ids(self):
        splitter = EventSplitter()
        events = splitter.feed(b"data: x\r\n\r\n: note\n\n")
        self.assertEqual([event.id for event in events], [None, None])
