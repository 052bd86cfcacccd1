"""What is known of the results that a stage target holds. No input or output here."""

from collections import deque

# After a target said that it has no room, results of that size wait for this long, or
# until one is given up. Declared sizes are approximate, so the room counted here can be
# a result too large; asking again at once would meet the same answer every 2 ms.
FULL_PAUSE_S = 0.1
_MOST_DOUBLINGS = 3
# How long a target's word of results that only others know of is trusted.
FOREIGN_S = 0.3
# How old a target's word of its room may be.
REPORT_LAG_S = 0.6


class ResultMemory:
    """The results that a target holds, as far as this owner made it produce them.

    Args:
        room_bytes: Memory for results.
        keep_seconds: How long a result is kept if nobody gives it up.
    """

    def __init__(self, room_bytes: float, keep_seconds: float) -> None:
        self._room_bytes = room_bytes
        self._keep_seconds = keep_seconds
        self._held_by_handle: dict[str, tuple[float, int]] = {}
        self._reserved = 0
        self._full_until = 0.0
        self._refused_size = 0
        self._refusals = 0
        self._foreign = 0.0
        self._known: deque[tuple[float, float]] = deque()
        self._foreign_until = 0.0

    def free_bytes(self, moment: float) -> float:
        """Bytes that are free, as far as it is known."""
        left = self._uncounted(moment)
        if moment < self._foreign_until:
            left -= self._foreign
        if moment < self._full_until:
            return min(left, self._refused_size - 1)
        return left

    def record_full(self, size: int, moment: float) -> None:
        """Note that the target had no room for a result of a size."""
        if moment >= self._full_until:
            self._refusals = min(self._refusals + 1, _MOST_DOUBLINGS)
        self._full_until = moment + FULL_PAUSE_S * 2.0 ** (self._refusals - 1)
        self._refused_size = size

    def reconcile(self, free: float, moment: float) -> None:
        """Take in what the target itself says is free.

        After an owner has died, the target still holds results that only the dead one
        knew of. Without asking, its successor would call for results that have no room
        until these expire, seconds later. What the target says is some hundred
        milliseconds old, so it is held against the most that was known to be taken in
        that time; results given up meanwhile would else count as somebody else's.
        """
        taken = self._room_bytes - free
        self._note_known(moment)
        known = max(size for _, size in self._known)
        self._foreign = max(0.0, taken - known)
        self._foreign_until = moment + FOREIGN_S

    def _note_known(self, moment: float) -> None:
        self._known.append((moment, self._room_bytes - self._uncounted(moment)))
        while self._known[0][0] < moment - REPORT_LAG_S:
            self._known.popleft()

    def _uncounted(self, moment: float) -> float:
        for handle, (ends_at, _) in list(self._held_by_handle.items()):
            if ends_at <= moment:
                del self._held_by_handle[handle]
        held = sum(size for _, size in self._held_by_handle.values())
        return self._room_bytes - held - self._reserved

    def reserve(self, size: int, moment: float) -> None:
        """Set room aside for the results of a call."""
        self._reserved += size
        self._note_known(moment)

    def release_reservation(self, size: int) -> None:
        """Give that room back when the call has ended."""
        self._reserved -= size

    def add(self, handle: str, size: int, moment: float) -> None:
        """Note a result."""
        self._refusals = 0
        self._held_by_handle[handle] = (moment + self._keep_seconds, size)
        self._note_known(moment)

    def release(self, handle: str) -> None:
        """Note that a result was given up."""
        self._held_by_handle.pop(handle, None)
        self._full_until = 0.0
