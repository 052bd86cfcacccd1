"""Accounting of the results that a stage target holds.

This module does no input or output.
"""

from collections import deque

# After a target reported that it has no memory for a result, results of that size wait
# for this long, or until one is released. Declared sizes are approximate, so the memory
# counted here can be one result too large; an immediate retry would get the same
# refusal every 2 ms.
FULL_PAUSE_S = 0.1
_MAX_DOUBLINGS = 3
# How long a target's report of results that this owner does not know is trusted.
FOREIGN_TTL_S = 0.3
# How old a target's report of its free memory may be.
MAX_REPORT_LAG_S = 0.6


class ResultMemory:
    """The result memory of a target, as far as this owner knows it.

    Args:
        memory_bytes: Memory for results.
        ttl_seconds: How long a result is kept unless it is released.
    """

    def __init__(self, memory_bytes: float, ttl_seconds: float) -> None:
        self._memory_bytes = memory_bytes
        self._ttl_seconds = ttl_seconds
        # In the order in which they expire, since all are kept for the same time.
        self._held_by_handle: dict[str, tuple[float, int]] = {}
        self._held = 0
        self._reserved = 0
        self._full_until = 0.0
        self._refused_size = 0
        self._refusals = 0
        self._foreign = 0.0
        self._used_history: deque[tuple[float, float]] = deque()
        self._foreign_until = 0.0

    def free_bytes(self, now: float) -> float:
        """Return the bytes that are free, as far as known."""
        free = self._unaccounted_bytes(now)
        if now < self._foreign_until:
            free -= self._foreign
        if now < self._full_until:
            return min(free, self._refused_size - 1)
        return free

    def record_full(self, size: int, now: float) -> None:
        """Record that the target had no memory for a result of a size."""
        if now >= self._full_until:
            self._refusals = min(self._refusals + 1, _MAX_DOUBLINGS)
        self._full_until = now + FULL_PAUSE_S * 2.0 ** (self._refusals - 1)
        self._refused_size = size

    def reconcile(self, free: float, now: float) -> None:
        """Reconcile the account with the free memory that the target reports.

        After an owner has failed, the target still holds results that only that owner
        knew. Without this, its successor would call for results that do not fit until
        the unknown ones expire, seconds later. The report is a few hundred milliseconds
        old, so it is compared with the maximum that was known to be in use in that
        time; otherwise results that were released meanwhile would count as unknown.

        Args:
            free: Free bytes that the target reports.
            now: Current time on the hub's clock.
        """
        used = self._memory_bytes - free
        self._record_used(now)
        known = max(size for _, size in self._used_history)
        self._foreign = max(0.0, used - known)
        self._foreign_until = now + FOREIGN_TTL_S

    def _record_used(self, now: float) -> None:
        self._used_history.append(
            (now, self._memory_bytes - self._unaccounted_bytes(now))
        )
        while self._used_history[0][0] < now - MAX_REPORT_LAG_S:
            self._used_history.popleft()

    def _unaccounted_bytes(self, now: float) -> float:
        """Return the bytes that no known result or reservation takes."""
        held_by_handle = self._held_by_handle
        while held_by_handle:
            handle = next(iter(held_by_handle))
            expires_at, size = held_by_handle[handle]
            if expires_at > now:
                break
            del held_by_handle[handle]
            self._held -= size
        return self._memory_bytes - self._held - self._reserved

    def reserve(self, size: int, now: float) -> None:
        """Reserve memory for the results of a call."""
        self._reserved += size
        self._record_used(now)

    def release_reservation(self, size: int) -> None:
        """Release the reservation of a call that has ended."""
        self._reserved -= size

    def add(self, handle: str, size: int, now: float) -> None:
        """Add a result that the target holds."""
        self._refusals = 0
        self._remove(handle)
        self._held_by_handle[handle] = (now + self._ttl_seconds, size)
        self._held += size
        self._record_used(now)

    def release(self, handle: str) -> None:
        """Remove a result that was released."""
        self._remove(handle)
        self._full_until = 0.0

    def _remove(self, handle: str) -> None:
        _, size = self._held_by_handle.pop(handle, (0.0, 0))
        self._held -= size
