"""Accepts connections at a listener, no more of them than there is room for."""

import socket
from collections.abc import Callable
from typing import Any, Generic, Protocol, TypeVar

import eventlet

from bergamotsaddle_serving._turn import Turn
from bergamotsaddle_serving.connection_table import ConnectionTable, Phase
from bergamotsaddle_serving.metrics import Metrics

# What the kernel holds of a connection's bytes that have not been read. It is held
# beside the memory that the process counts.
RECEIVE_BUFFER_BYTES = 32_768
# Connections after which other green threads get to run.
_CONNECTIONS_A_TURN = 16
_RETRY_S = 0.02


class Connection(Protocol):
    """An accepted connection."""

    def evict(self) -> None:
        """Close the connection, which is not being served."""


ConnectionT = TypeVar("ConnectionT", bound=Connection)
Open = Callable[[socket.socket, "ConnectionTable[ConnectionT]"], ConnectionT]


class Acceptor(Generic[ConnectionT]):
    """A listener and its connections.

    When there are too many, the one that has waited longest for bytes of its caller
    is evicted. While all of them are being served, callers wait in the backlog.

    Args:
        name: Name of the listener, for the log and the metrics.
        listener: The listening socket.
        limit: Maximum number of connections.
        open_connection: Makes the connection of an accepted socket, which enters its
            phases into the table.
        serve: Serves a connection until it is closed.
        metrics: Counts connections that are evicted.
        logger: Gets a line for each of them, and for failures to accept.
    """

    def __init__(
        self,
        name: str,
        listener: socket.socket,
        limit: int,
        open_connection: Open[ConnectionT],
        serve: Callable[[ConnectionT], None],
        *,
        metrics: Metrics,
        logger: Any,
    ) -> None:
        self._name = name
        self._listener = listener
        self._open = open_connection
        self._serve = serve
        self._metrics = metrics
        self._logger = logger
        self._is_closed = False
        self.table: ConnectionTable[ConnectionT] = ConnectionTable(limit)
        # Accepted sockets inherit it.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def run(self) -> None:
        """Accept connections until the acceptor is closed."""
        turn = Turn(_CONNECTIONS_A_TURN)
        while not self._is_closed:
            turn.step()
            if self.table.excess > 0 and self.table.find_evictable() is None:
                eventlet.sleep(_RETRY_S)
                continue
            try:
                sock, _ = self._listener.accept()
            except OSError as error:
                if self._is_closed:
                    return
                # Most likely out of file descriptors; callers wait in the backlog.
                self._logger.warning(
                    "accept_failed", listener=self._name, reason=str(error)
                )
                self._evict_one()
                eventlet.sleep(_RETRY_S)
                continue
            self._add(sock)

    def close(self) -> None:
        """Accept no more connections; those that are open go on."""
        self._is_closed = True
        self._listener.close()

    def _add(self, sock: socket.socket) -> None:
        connection = self._open(sock, self.table)
        self.table.enter(connection, Phase.READING)
        eventlet.spawn_n(self._run, connection)
        if self.table.excess > 0:
            self._evict_one()

    def _run(self, connection: ConnectionT) -> None:
        try:
            self._serve(connection)
        finally:
            self.table.remove(connection)

    def _evict_one(self) -> None:
        """Close a connection, unless all of them are being served."""
        found = self.table.find_evictable()
        if found is None:
            return
        connection, phase = found
        age = self.table.age(connection)
        # It is not chosen once more while it closes.
        self.table.enter(connection, Phase.SERVING)
        self._metrics.count_eviction(self._name, phase.name.lower())
        self._logger.warning(
            "connection_evicted",
            listener=self._name,
            phase=phase.name.lower(),
            seconds=round(age, 3),
        )
        connection.evict()
