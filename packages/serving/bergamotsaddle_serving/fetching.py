"""When a target has surely fetched the results that it was told to use."""

from typing import NamedTuple

# Two trips between zones and the target's own work, several times over. A target
# fetches inputs as soon as it begins, and tells of it only when it has ended. Results
# that are given up only then keep scarce room for as long as the next piece of work
# takes, and other requests wait for that room.
_FETCH_OVERHEAD_S = 0.02
# Between targets, with several transfers at once.
_BYTES_PER_S = 800e6
# The part of this machine's link that one request gets while others use it as well.
_LINK_FRACTION = 0.2
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6


class FetchTimes(NamedTuple):
    """Times until targets have fetched inputs.

    Attributes:
        link_mbps: Bandwidth of this machine's link in megabits a second.
    """

    link_mbps: float = 1_000.0

    def seconds(self, size: int, sent_bytes: int) -> float:
        """Seconds from the sending of a request until its inputs have been fetched.

        Args:
            size: Bytes of all inputs.
            sent_bytes: Bytes of the request itself, which have to leave this machine
                before the target begins.
        """
        bandwidth = _LINK_FRACTION * self.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        return _FETCH_OVERHEAD_S + size / _BYTES_PER_S + sent_bytes / bandwidth


# Of a machine whose link is no limit.
DEFAULT_FETCH_TIMES = FetchTimes()
