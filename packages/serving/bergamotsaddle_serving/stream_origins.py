"""Which software began each stream, as far as this instance knows.

This module does no input or output.
"""

from collections import OrderedDict
from hashlib import blake2b
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now

# With 300,000 known streams, one unknown stream in 10^9 has the key of a known one.
KEY_BYTES = 6
# Several times what the streams of an instance and of those that it keeps origins for
# need at 120 new streams per second and instance.
_MAX_STREAMS = 50_000


class StreamOrigin(NamedTuple):
    """What sent the first event of a stream.

    Attributes:
        service: Name of the service.
        software: Version of the target's software, empty if the target names none.
    """

    service: str
    software: str


# The origin of a stream for which different ones were reported. No target may go on
# with such a stream.
CONFLICTING_ORIGIN = StreamOrigin("", "")


class KnownStream(NamedTuple):
    """A stream with a known origin.

    Attributes:
        key: Key of the stream, see ``stream_key``.
        origin: What began it.
        expires_at: When its caller gives up at the latest, on the hub's clock.
    """

    key: int
    origin: StreamOrigin
    expires_at: float


def stream_key(team: str, request: str) -> int:
    """Return the key of a stream.

    Requests of different teams may have the same id.

    Args:
        team: Name of the caller's team, empty if it has none.
        request: Id of the request that brought the first event.
    """
    text = f"{team}\0{request}".encode()
    return int.from_bytes(blake2b(text, digest_size=KEY_BYTES).digest(), "big")


class StreamOrigins:
    """The origins of streams that may be resumed.

    Args:
        max_streams: Maximum number of streams; the oldest ones are dropped first.
    """

    def __init__(self, *, max_streams: int = _MAX_STREAMS) -> None:
        self._max_streams = max_streams
        self._stream_by_key: OrderedDict[int, KnownStream] = OrderedDict()

    def __len__(self) -> int:
        return len(self._stream_by_key)

    def add(self, stream: KnownStream) -> bool:
        """Add a stream, or extend the time for which it is known.

        Returns:
            Whether its origin is new.
        """
        known = self._stream_by_key.pop(stream.key, None)
        if known is not None and known.expires_at > now():
            expires_at = max(known.expires_at, stream.expires_at)
            is_same = known.origin == stream.origin
            origin = known.origin if is_same else CONFLICTING_ORIGIN
            stream = KnownStream(stream.key, origin, expires_at)
        self._stream_by_key[stream.key] = stream
        if len(self._stream_by_key) > self._max_streams:
            self._stream_by_key.popitem(last=False)
        return known is None or known.origin != stream.origin

    def find(self, key: int) -> KnownStream | None:
        """Return a stream, None if its origin is not known."""
        known = self._stream_by_key.get(key)
        if known is None or known.expires_at <= now():
            return None
        return known

    def streams(self) -> list[KnownStream]:
        """Return all streams whose callers may still wait."""
        at = now()
        return [s for s in self._stream_by_key.values() if s.expires_at > at]

    def drop_expired(self) -> None:
        """Drop streams whose callers have given up."""
        at = now()
        expired = [k for k, s in self._stream_by_key.items() if s.expires_at <= at]
        for key in expired:
            del self._stream_by_key[key]
