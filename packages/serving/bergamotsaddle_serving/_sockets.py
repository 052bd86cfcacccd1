"""Reading from green sockets without losing the difference between end and reset."""

import socket

from eventlet.hubs import trampoline


def receive(sock: socket.socket, size: int, limit: float | None = None) -> bytes:
    """Wait for bytes and read them; empty at the peer's proper end.

    A green socket's own method returns nothing for a reset as well as for a proper end.
    An answer without a length ends with its connection, so one that was reset on its
    way would be passed on as if it were whole.

    Args:
        sock: A green socket.
        size: Bytes to read at most.
        limit: Seconds to wait at most, None for ever.

    Raises:
        TimeoutError: If nothing came in time.
        OSError: If the connection was reset or failed.
    """
    plain = sock.fd
    while True:
        try:
            return plain.recv(size)
        except BlockingIOError:
            trampoline(plain, read=True, timeout=limit, timeout_exc=TimeoutError)
