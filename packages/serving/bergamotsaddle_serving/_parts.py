"""Collects the parts of a body or of an event."""

# Smaller parts are put together, as each one takes memory beside its bytes.
_MIN_PART_BYTES = 4_096


class Parts:
    """Parts that belong together, in the order in which they arrived.

    Attributes:
        size: Bytes of all of them.
    """

    def __init__(self) -> None:
        self._parts: list[bytearray] = []
        self.size = 0

    def append(self, data: bytes | bytearray) -> None:
        """Add a part."""
        self.size += len(data)
        if self._parts and len(self._parts[-1]) < _MIN_PART_BYTES:
            self._parts[-1] += data
        else:
            self._parts.append(bytearray(data))

    def join(self) -> bytes:
        """Return all parts as one, and forget them."""
        joined = b"".join(self._parts)
        self.clear()
        return joined

    def clear(self) -> None:
        """Forget all parts."""
        self._parts.clear()
        self.size = 0
