"""Streams are passed on in whole events."""

import unittest

from parameterized import parameterized

from bergamotsaddle_serving.events import EventSplitter

ONE = b"id: 1\ndata: a\n\n"
TWO = b"id: 2\ndata: b\n\n"


class EventSplitterTest(unittest.TestCase):
    """Bytes in any pieces."""

    @parameterized.expand([(size,) for size in (1, 3, 7, len(ONE + TWO))])
    def test_events_are_whole_however_they_come(self, size):
        splitter = EventSplitter()
        data = ONE + TWO
        events = []
        for begin in range(0, len(data), size):
            events += splitter.feed(data[begin : begin + size])
        self.assertEqual([event.data for event in events], [ONE, TWO])
        self.assertEqual([event.id for event in events], [1, 2])
        self.assertEqual(splitter.remainder, b"")

    def test_a_part_of_an_event_is_kept_back(self):
        """An engine dies in the middle of an event and another one goes on.

        Had the first part been passed on, the caller would see a torn event, or the
        same tokens twice.
        """
        splitter = EventSplitter()
        self.assertEqual(len(splitter.feed(ONE + TWO[:9])), 1)
        self.assertEqual(splitter.remainder, TWO[:9])

    def test_line_ends_and_missing_ids(self):
        splitter = EventSplitter()
        events = splitter.feed(b"data: x\r\n\r\n: note\n\n")
        self.assertEqual([event.id for event in events], [None, None])
