"""Splits a stream into complete events, so that none is relayed in part or twice."""

import re
from typing import NamedTuple

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_ID_LINE = re.compile(rb"(?:^|\n)id:[ ]?([0-9]{1,15})\r?(?:\n|$)")


class StreamEvent(NamedTuple):
    """One complete event.

    Attributes:
        data: Unchanged bytes, with the empty line that ends the event.
        id: Number of the event, None if it has none.
    """

    data: bytes
    id: int | None


class EventSplitter:
    """Splits bytes into complete events as they arrive."""

    def __init__(self) -> None:
        self._remainder = b""

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Add received bytes.

        Args:
            data: Bytes of any length.

        Returns:
            The events that the bytes complete.
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
        """Bytes of an event that is not complete yet."""
        return self._remainder
