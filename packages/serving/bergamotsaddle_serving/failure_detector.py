"""Checks whether peers that may have failed still respond."""

from collections.abc import Callable

import eventlet

from bergamotsaddle_daemon.clock import now

# Requests per check, since datagrams may be lost and slow machines respond late.
_MAX_REQUESTS = 2
_RESPONSE_S = 0.15
# A peer that was seen this recently need not be checked.
_FRESH_S = 0.5


class FailureDetector:
    """Requests heartbeats from unresponsive peers and suspects those that stay silent.

    This handles the sudden failure of instances in a large fleet, where heartbeats of
    one peer arrive seconds apart. An instance that gets no response from a peer names
    it in its own heartbeats, and each instance that receives one checks the peer
    itself. All instances therefore learn of the failure soon, and a datagram that is
    lost between two instances has no effect on the other ones.

    Args:
        request_heartbeat: Requests a heartbeat from a peer.
        last_seen_at: Returns when a peer was last seen, on the hub's clock.
        suspect: Records that a peer does not respond.
    """

    def __init__(
        self,
        request_heartbeat: Callable[[str], None],
        last_seen_at: Callable[[str], float],
        suspect: Callable[[str], None],
    ) -> None:
        self._request_heartbeat = request_heartbeat
        self._last_seen_at = last_seen_at
        self._suspect = suspect
        self._pending: set[str] = set()

    def verify(self, peer_id: str) -> None:
        """Check in the background whether a peer responds."""
        if peer_id in self._pending or now() - self._last_seen_at(peer_id) < _FRESH_S:
            return
        self._pending.add(peer_id)
        eventlet.spawn_n(self._await_heartbeat, peer_id)

    def _await_heartbeat(self, peer_id: str) -> None:
        requested_at = now()
        try:
            for _ in range(_MAX_REQUESTS):
                self._request_heartbeat(peer_id)
                eventlet.sleep(_RESPONSE_S)
                if self._last_seen_at(peer_id) >= requested_at:
                    return
            self._suspect(peer_id)
        finally:
            self._pending.discard(peer_id)
