"""Estimates when a target has fetched the results that it uses as inputs."""

from typing import NamedTuple

# Several times what two trips between zones and the target's own work take. A target
# fetches its inputs as soon as it starts, but reports that only once it has finished.
# Results that are released only then hold scarce memory for the duration of the call,
# and other requests wait for that memory.
_FETCH_OVERHEAD_S = 0.02
# Bandwidth between targets, with several concurrent transfers.
_BYTES_PER_S = 800e6
# Fraction of this machine's link that one of several concurrent requests gets.
_LINK_FRACTION = 0.2
_BITS_PER_BYTE = 8
_BITS_PER_MEGABIT = 1e6


class FetchTimes(NamedTuple):
    """Estimates the time until a target has fetched its inputs.

    Attributes:
        link_mbps: Bandwidth of this machine's link in megabits per second.
    """

    link_mbps: float = 1_000.0

    def seconds(self, size: int, sent_bytes: int) -> float:
        """Return the seconds from sending a request until its inputs are fetched.

        Args:
            size: Size of all inputs in bytes.
            sent_bytes: Size of the request itself, which has to leave this machine
                before the target starts.
        """
        bandwidth = _LINK_FRACTION * self.link_mbps * _BITS_PER_MEGABIT / _BITS_PER_BYTE
        return _FETCH_OVERHEAD_S + size / _BYTES_PER_S + sent_bytes / bandwidth


# For a machine whose link is not a bottleneck.
DEFAULT_FETCH_TIMES = FetchTimes()
