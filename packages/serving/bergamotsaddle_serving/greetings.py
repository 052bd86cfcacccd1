"""Decides which peers get a heartbeat in each round. No input or output here."""

import random
from collections.abc import Sequence

# Heartbeats sent in a round at most; a larger fleet is gone through in turn.
MOST_AT_ONCE = 10
# Instances that own stage queues send so many times as many: all others admit requests
# by the loads that they tell.
_OWNER_FACTOR = 2


class Greetings:
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
        count = MOST_AT_ONCE * (_OWNER_FACTOR if owns_queues else 1)
        if len(hosts) <= count:
            return list(hosts)
        begin = self._next % len(hosts)
        self._next = begin + count
        return [*hosts, *hosts][begin : begin + count]
