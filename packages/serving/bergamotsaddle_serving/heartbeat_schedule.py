"""Decides which peers get a heartbeat in each round. No input or output here."""

import random
from collections.abc import Sequence

# Heartbeats sent in a round at most; a larger fleet is gone through in turn.
MAX_HEARTBEATS_PER_ROUND = 10
# With more peers than this a heartbeat is seconds old when the next one comes, and says
# little more than that its sender lives. Half as many then do.
_MANY_PEERS = 100
_FEW_AT_ONCE = MAX_HEARTBEATS_PER_ROUND // 2
# Instances that own stage queues send so many: all others admit requests by the loads
# that they tell.
_OWNERS_AT_ONCE = 2 * MAX_HEARTBEATS_PER_ROUND


def fan_out(peers: int) -> int:
    """Heartbeats that an instance sends in a round unless it owns queues."""
    return MAX_HEARTBEATS_PER_ROUND if peers <= _MANY_PEERS else _FEW_AT_ONCE


class HeartbeatSchedule:
    """The turns in which one instance greets its peers.

    Each instance begins at another peer. Did all of them begin at the same one, a peer
    would hear from the whole fleet within one round and from nobody in the next ones;
    zones would seem cut off and be probed all the time.

    Args:
        start: Where to begin; random if left out.
    """

    def __init__(self, start: int | None = None) -> None:
        self._next = random.getrandbits(16) if start is None else start

    def pick(self, hosts: Sequence[str], *, owns_queues: bool) -> list[str]:
        """Pick the peers of the next round.

        Args:
            hosts: All peers that live, in the same order each time.
            owns_queues: Whether this instance tells loads of stage queues.
        """
        count = _OWNERS_AT_ONCE if owns_queues else fan_out(len(hosts))
        if len(hosts) <= count:
            return list(hosts)
        begin = self._next % len(hosts)
        self._next = begin + count
        return [*hosts, *hosts][begin : begin + count]
