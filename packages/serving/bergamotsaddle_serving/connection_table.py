"""Keeps the connections of a listener, and chooses which one to evict."""

from enum import IntEnum
from typing import Generic, TypeVar

from bergamotsaddle_daemon.clock import now

ConnectionT = TypeVar("ConnectionT")


class Phase(IntEnum):
    """What a connection does.

    Those of a lower number are evicted first.
    """

    ENDING = 0
    """Its last response has been sent, and the rest of its request is discarded."""
    READING = 1
    """It waits for a request, or for the rest of one."""
    SERVING = 2
    """Its request is being served. It is never evicted."""


class ConnectionTable(Generic[ConnectionT]):
    """The open connections of a listener, by phase.

    Args:
        limit: Maximum number of connections.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._phase_by_connection: dict[ConnectionT, Phase] = {}
        # In the order in which they have entered their phases.
        self._since_by_phase: dict[Phase, dict[ConnectionT, float]] = {
            phase: {} for phase in Phase
        }

    def __len__(self) -> int:
        return len(self._phase_by_connection)

    @property
    def excess(self) -> int:
        """Number of connections above the limit, negative below it."""
        return len(self) - self._limit

    def enter(self, connection: ConnectionT, phase: Phase) -> None:
        """Record that a connection, which may be new, enters a phase."""
        self.remove(connection)
        self._phase_by_connection[connection] = phase
        self._since_by_phase[phase][connection] = now()

    def remove(self, connection: ConnectionT) -> None:
        """Forget a connection; do nothing if it is unknown."""
        phase = self._phase_by_connection.pop(connection, None)
        if phase is not None:
            del self._since_by_phase[phase][connection]

    def age(self, connection: ConnectionT) -> float:
        """Return for how many seconds a connection has been in its phase."""
        phase = self._phase_by_connection[connection]
        return now() - self._since_by_phase[phase][connection]

    def find_evictable(self) -> tuple[ConnectionT, Phase] | None:
        """Return the connection to evict, and its phase.

        It is the one that has waited longest for bytes of its caller. A new one goes
        last, so that callers which send their requests at once are served beside
        callers that only hold connections.

        Returns:
            None if the requests of all connections are being served.
        """
        for phase in (Phase.ENDING, Phase.READING):
            for connection in self._since_by_phase[phase]:
                return connection, phase
        return None
