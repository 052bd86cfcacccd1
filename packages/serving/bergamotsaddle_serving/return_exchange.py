"""Remembers, for all instances, which callers were told when to come back."""

import eventlet
from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.decisions.return_times import ToldCallers
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    ReturnNotice,
    ReturnQuery,
    ReturnResponse,
)
from bergamotsaddle_serving.peers import Peers

# Several round trips between zones. A caller whose keeper does not respond is treated
# as one that comes for the first time.
_RESPONSE_TIMEOUT_S = 0.04
# Callers are divided among this many keepers.
_KEEPERS = 16
_EVERYWHERE = ""
_KEY_DIGITS = 8


def caller_key(fingerprint: str) -> int:
    """Return the key of a caller's request, the same for each of its tries."""
    return int(fingerprint[:_KEY_DIGITS], 16) if fingerprint else 0


class ReturnExchange:
    """Tells the keeper of a caller when it was told to come back, and asks it later.

    A caller that comes back mostly reaches another instance. The keeper is chosen by
    its request, so every instance finds it; only a caller that would be rejected is
    asked for.

    Args:
        peers: The other instances.

    Attributes:
        callers: The callers that this instance keeps.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.callers = ToldCallers()
        self._waiting_by_key: dict[int, list[Event]] = {}
        peers.set_handler(ReturnNotice, self._handle_notice)
        peers.set_handler(ReturnQuery, self._handle_query)
        peers.set_handler(ReturnResponse, lambda message, _: self._wake(message))

    def tell(self, key: int, seconds: float) -> None:
        """Record that a caller was told to come back after some seconds."""
        keeper = self._keeper(key)
        if keeper == self._peers.own.id:
            self.callers.add(key, now() + seconds)
        else:
            self._peers.send(keeper, ReturnNotice(key, round(seconds, 3)))

    def came_when_told(self, key: int) -> bool:
        """Return whether a caller comes when it was told, as far as known in time."""
        keeper = self._keeper(key)
        if keeper == self._peers.own.id:
            return self.callers.came_when_told(key, now())
        event = Event()
        waiting = self._waiting_by_key.setdefault(key, [])
        waiting.append(event)
        self._peers.send(keeper, ReturnQuery(key))
        try:
            with eventlet.Timeout(_RESPONSE_TIMEOUT_S, False):
                return event.wait()
            return False
        finally:
            waiting.remove(event)
            if not waiting:
                self._waiting_by_key.pop(key, None)

    def _keeper(self, key: int) -> str:
        name = f"returns {key % _KEEPERS}"
        keepers = rank_owners(self._peers, name, _EVERYWHERE)
        return next(iter(keepers), self._peers.own.id)

    def _handle_notice(self, notice: ReturnNotice, _: tuple[str, int]) -> None:
        self.callers.add(notice.key, now() + notice.seconds)

    def _handle_query(self, query: ReturnQuery, address: tuple[str, int]) -> None:
        is_told = self.callers.came_when_told(query.key, now())
        self._peers.send_to(address, ReturnResponse(query.key, is_told))

    def _wake(self, response: ReturnResponse) -> None:
        # Each query has a response of its own, so one of them wakes one caller.
        for event in self._waiting_by_key.get(response.key, ()):
            if not event.ready():
                event.send(response.is_told)
                return
