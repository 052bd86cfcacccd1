"""Splits a stream into whole events, so that none is passed on in part or twice."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?([0-9]{1,15})\r?(?:\n|$)")


class StreamEvent(NamedTuple):
    """One whole event.

    Attributes:
        data: Its bytes, unchanged, with the empty line that ends it.
        id: Its number, None if it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Takes bytes as they come and gives whole events."""

    def __init__(self) -> None:
        self._remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Take bytes.

        Returns:
            The events that they complete.
        """
        self._remainder += data
        events = []
        while match := _EVENT_END.search(self._remainder):
            event = self._remainder[: match.end()]
            self._remainder = self._remainder[match.end() :]
            number = _ID_LINE.search(event)
            events.append(StreamEvent(event, int(number.group(1)) if number else None))
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._remainder
