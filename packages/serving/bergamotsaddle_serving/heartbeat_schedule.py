"""Decides which peers get a heartbeat in each round.

This module does no input or output.
"""

import random
from collections.abc import Sequence

# Maximum number of heartbeats per round; a larger fleet is covered in turn.
MAX_HEARTBEATS_PER_ROUND = 10
# With more peers than this a heartbeat is seconds old when the next one arrives, and
# says little more than that its sender is alive. Half as many heartbeats suffice.
_MANY_PEERS = 100
_REDUCED_HEARTBEATS = MAX_HEARTBEATS_PER_ROUND // 2
# Instances that own stage queues send this many, because all other instances admit
# requests by the loads that they report.
_OWNER_HEARTBEATS = 2 * MAX_HEARTBEATS_PER_ROUND


def fan_out(peers: int) -> int:
    """Return the heartbeats per round of an instance that owns no queues."""
    return MAX_HEARTBEATS_PER_ROUND if peers <= _MANY_PEERS else _REDUCED_HEARTBEATS


class HeartbeatSchedule:
    """The order in which one instance sends heartbeats to its peers.

    Each instance starts at a different peer. If all started at the same one, that peer
    would receive heartbeats from the whole fleet within one round and none in the next
    rounds; zones would appear cut off and be probed all the time.

    Args:
        start: Index of the first peer; random if None.
    """

    def __init__(self, start: int | None = None) -> None:
        self._next = random.getrandbits(16) if start is None else start

    def pick(self, hosts: Sequence[str], *, owns_queues: bool) -> list[str]:
        """Return the peers of the next round.

        Args:
            hosts: Hosts of all live peers, in the same order each time.
            owns_queues: Whether this instance reports loads of stage queues.
        """
        count = _OWNER_HEARTBEATS if owns_queues else fan_out(len(hosts))
        if len(hosts) <= count:
            return list(hosts)
        start = self._next % len(hosts)
        self._next = start + count
        return [*hosts, *hosts][start : start + count]
