"""Splits a stream into complete events, so that none is relayed in part or twice."""

import re
from typing import NamedTuple

from bergamotsaddle_serving._parts import Parts

# Two line ends in a row, each of which is CR LF, LF or CR. A pattern that begins with a
# set of bytes is sought several times faster than one that begins with alternatives.
_EVENT_END = re.compile(rb"[\r\n](?>(?:(?<=\r)\n)?)(?>\r\n|\n|\r)")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?([0-9]{1,15})(?:[\r\n]|$)")
_DATA_LINE = re.compile(rb"(?:^|[\r\n])data(?:[:\r\n]|$)")
_LINE_ENDS = b"\r\n"
# The end of an event may begin this many bytes before the bytes that complete it.
_MAX_END_BYTES = 4


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
        data: Unchanged bytes, with the empty line that ends the event.
        id: Number of the event, None if it has none.
    """

    data: bytes
    id: int | None

    @property
    def allows_resume(self) -> bool:
        """Whether a stream can go on after it: it has an id, or carries no data."""
        return self.id is not None or not _DATA_LINE.search(self.data)


class EventSplitter:
    """Splits bytes into complete events as they arrive.

    The end of an event is sought once in each byte, however small the parts are in
    which it arrives.
    """

    def __init__(self) -> None:
        self._parts = Parts()
        # The last bytes of the parts, in which the end of an event may begin.
        self._tail = b""
        self._has_event = False
        self._has_content = False

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes.

        Args:
            data: Bytes of any length.

        Returns:
            The events that the bytes complete.
        """
        tail = self._tail
        if not _EVENT_END.search(tail + data):
            self._keep(data, tail)
            return []
        searched = self._parts.size - len(tail)
        self._parts.append(data)
        remainder = self._parts.join()
        events = []
        start = 0
        while match := _EVENT_END.search(remainder, searched):
            end = searched = match.end()
            event = remainder[start:end]
            start = end
            number = _ID_LINE.search(event)
            events.append(StreamEvent(event, int(number.group(1)) if number else None))
        self._has_event = True
        self._has_content = False
        self._keep(remainder[start:], b"")
        return events

    def _keep(self, data: bytes, tail: bytes) -> None:
        """Keep bytes of an event that is not complete, behind the last bytes before."""
        self._tail = bytes((tail + data)[1 - _MAX_END_BYTES :])
        self._has_content |= bool(data.strip(_LINE_ENDS))
        if data:
            self._parts.append(data)

    def clear(self) -> None:
        """Forget the bytes of an event that is not complete."""
        self._parts.clear()

    def may_end(self) -> bool:
        """Return whether a stream that ends here may be complete.

        A stream without a length ends with its connection, also if its target
        crashes. One that ends inside an event or before its first one has broken off,
        whatever its framing says.
        """
        return self._has_event and not self._has_content

    @property
    def is_empty(self) -> bool:
        """Whether no event and no part of one has arrived."""
        return not self._has_event and not self._has_content

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that is not complete yet."""
        remainder = self._parts.join()
        if remainder:
            self._parts.append(remainder)
        return remainder

    @property
    def remainder_size(self) -> int:
        """Number of these bytes."""
        return self._parts.size
