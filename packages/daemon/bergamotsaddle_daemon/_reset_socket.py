"""A green socket that tells a reset from a proper end."""

from typing import Any

from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline


class ResetSocket(GreenSocket):
    """A green socket whose reads fail if the peer resets the connection.

    A read of ``GreenSocket`` reports a reset as the end of the data. A response without
    a length ends with its connection, so one that was reset would look complete.

    Args:
        sock: A connected green socket, which this one replaces.
    """

    def __init__(self, sock: GreenSocket) -> None:
        super().__init__(sock.fd)
        # Deleting the replaced socket would close the connection.
        self._replaced = sock
        self.settimeout(sock.gettimeout())

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer and return the number of bytes, 0 at the proper end.

        Raises:
            TimeoutError: If no data arrived in time.
            OSError: If the connection was reset or failed.
        """
        while True:
            try:
                return self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                timeout = self.gettimeout()
                trampoline(
                    self.fd, read=True, timeout=timeout, timeout_exc=TimeoutError
                )
