"""Limits how much memory the bodies that a daemon holds take together."""

from collections.abc import Callable
from math import inf
from typing import NamedTuple

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_daemon.clock import now

# What a daemon holds of responses at most, whatever their senders send. A response
# may be joined from its parts meanwhile, which takes its size once more.
MAX_RESPONSE_MEMORY_BYTES = 4_000_000
# What each body may take also when long ones have taken everything.
MIN_SHARE_BYTES = 32_768
# A body that has been received for this long is evicted while memory is short.
_MIN_EVICTION_AGE_S = 1.0


class MemoryShortError(BergamotsaddleError):
    """A body would take more memory than it may.

    Args:
        size: Bytes that it would take.
    """

    def __init__(self, size: int) -> None:
        super().__init__(f"a body of {size} bytes")
        self.size = size


class _UnfinishedBody(NamedTuple):
    """A body that is being received.

    Attributes:
        since: When it began, on the hub's clock.
        evict: Ends it and gives back its memory.
    """

    since: float
    evict: Callable[[], None]


class BodyMemory:
    """The memory for all bodies that a daemon holds of responses, or of requests.

    A body may take as much as is free beside it. So a single one may take half,
    and many that grow at the same time leave about as much free as each of them has:
    those that do not end meet their limit, while short ones beside them go on.

    Args:
        limit: Bytes for all bodies.
        max_used: Bytes that short bodies may fill up.

    Attributes:
        used: Bytes that are taken.
    """

    def __init__(
        self, limit: float = MAX_RESPONSE_MEMORY_BYTES, *, max_used: float = inf
    ) -> None:
        self._limit = limit
        self._max_used = max_used
        self._unfinished: dict[MemoryShare, _UnfinishedBody] = {}
        self.used = 0

    def open(self) -> "MemoryShare":
        """Return an empty share of it."""
        return MemoryShare(self)

    def max_share(self, held: int) -> float:
        """Return how many bytes a share may hold.

        Args:
            held: What it holds now.
        """
        others = self.used - held
        min_share = min(MIN_SHARE_BYTES, self._max_used - others)
        return max(min_share, (self._limit - others) / 2.0)

    def begin(self, share: "MemoryShare", evict: Callable[[], None]) -> None:
        """Record that a body begins to arrive.

        Args:
            share: Its share.
            evict: Ends it and gives back its memory.
        """
        self._unfinished[share] = _UnfinishedBody(now(), evict)

    def end(self, share: "MemoryShare") -> None:
        """Record that a body has arrived, or has been given up."""
        self._unfinished.pop(share, None)

    def reclaim(self, share: "MemoryShare") -> bool:
        """Evict the body that has been arriving for longest.

        A caller that stops in the middle of a body would otherwise keep its memory from
        others until its time is over.

        Args:
            share: Share of the body that lacks memory.

        Returns:
            Whether one has been evicted.
        """
        slowest = next(iter(self._unfinished), share)
        if slowest is share:
            return False
        if now() - self._unfinished[slowest].since < _MIN_EVICTION_AGE_S:
            return False
        self._unfinished.pop(slowest).evict()
        return True


class MemoryShare:
    """What one body, or all responses to one request, take of the memory.

    Args:
        memory: Memory that it is a share of.

    Attributes:
        held: Bytes that it holds.
    """

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self.held = 0

    def may_take(self, size: int) -> bool:
        """Return whether it may hold some bytes more."""
        return self.held + size <= self._memory.max_share(self.held)

    def take(self, size: int) -> None:
        """Take bytes.

        Raises:
            MemoryShortError: If that is more than it may hold.
        """
        if not self.may_take(size):
            raise MemoryShortError(self.held + size)
        self.keep(size)

    def keep(self, size: int) -> None:
        """Count bytes that are there already."""
        self.held += size
        self._memory.used += size

    def hold(self, size: int) -> None:
        """Count bytes instead of those that it has held."""
        self.keep(size - self.held)

    def give_back(self, size: int) -> None:
        """Give back bytes, at most what it holds."""
        self.keep(-min(size, self.held))

    def close(self) -> None:
        """Give back everything."""
        self.give_back(self.held)


class Remainder:
    """A part of a body whose size changes while it is read.

    Args:
        share: Share of the memory that it belongs to.
    """

    def __init__(self, share: MemoryShare) -> None:
        self._share = share
        self._size = 0

    def resize(self, size: int) -> None:
        """Hold some bytes instead of those that it held.

        What it holds already stays its own, however much others have taken since.

        Raises:
            MemoryShortError: If it grows by more than the share may take.
        """
        if size > self._size:
            self._share.take(size - self._size)
        else:
            self._share.give_back(self._size - size)
        self._size = size


# For bodies that are limited in size only.
UNLIMITED = MemoryShare(BodyMemory(inf))
