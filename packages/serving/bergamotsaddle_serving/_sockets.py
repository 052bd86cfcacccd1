"""Reads from green sockets so that a proper end and a reset can be told apart."""

import socket

from eventlet.hubs import trampoline

from bergamotsaddle_serving._turn import Turn


def receive(
    sock: socket.socket,
    size: int,
    limit: float | None = None,
    *,
    turn: Turn | None = None,
) -> bytes:
    """Wait for bytes and read them; return no bytes at the peer's proper end.

    A green socket's own method returns no bytes for a reset as well as for a proper
    end. A response without a length ends with its connection, so one that was reset
    halfway would be forwarded as if it were complete.

    Args:
        sock: A green socket.
        size: Maximum number of bytes to read.
        limit: Maximum number of seconds to wait, None for no limit.
        turn: Turn of the reader. It ends if data had arrived before, and a new one
            begins if the reader has waited.

    Raises:
        TimeoutError: If no data arrived in time.
        OSError: If the connection was reset or failed.
    """
    plain = sock.fd
    if turn is not None:
        turn.end()
    while True:
        try:
            return plain.recv(size)
        except BlockingIOError:
            trampoline(plain, read=True, timeout=limit, timeout_exc=TimeoutError)
            if turn is not None:
                turn.restart()
