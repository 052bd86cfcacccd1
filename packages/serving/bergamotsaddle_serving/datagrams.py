"""A UDP socket that reads datagrams of many peers at low cost."""

import socket
from collections.abc import Iterator

import eventlet
from eventlet import hubs, patcher
from greenlet import greenlet

_native = patcher.original("socket")

_MAX_DATAGRAM = 65_535
# Number of datagrams after which other green threads get to run.
_MAX_BATCH = 64

Datagram = tuple[bytes, tuple[str, int]]


class DatagramSocket:
    """A bound UDP socket with one reader.

    A green socket registers its reader at the hub before each datagram and removes it
    afterwards, which costs more than reading the datagram does. This socket registers
    its reader once, and the hub switches to the reader itself, without a timer between
    them.

    Args:
        host: IP address to bind to.
        port: Port to bind to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._socket = _native.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._waiting: greenlet | None = None
        self._is_open = False

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram.

        Raises:
            OSError: If it can't be sent at once.
        """
        self._socket.sendto(data, address)

    def open(self) -> None:
        """Register the socket at the hub; further calls do nothing."""
        if self._is_open:
            return
        self._is_open = True
        hub = hubs.get_hub()
        hub.add(
            hub.READ,
            self._socket.fileno(),
            self._on_readable,
            self._on_readable,
            self.close,
        )

    def close(self, _: object = None) -> None:
        """Close the socket."""
        self._socket.close()

    def read(self) -> Iterator[Datagram]:
        """Yield datagrams as they arrive, forever.

        Raises:
            OSError: If a sent datagram was refused because no socket listens there.
        """
        while True:
            yield from self._read_all()
            self._wait()

    def _wait(self) -> None:
        """Wait until the socket is readable."""
        self._waiting = eventlet.getcurrent()
        try:
            hubs.get_hub().switch()
        finally:
            self._waiting = None

    def _read_all(self) -> Iterator[Datagram]:
        count = 0
        while True:
            try:
                yield self._socket.recvfrom(_MAX_DATAGRAM)
            except BlockingIOError:
                return
            count += 1
            if count % _MAX_BATCH == 0:
                eventlet.sleep(0)

    def _on_readable(self, _: object) -> None:
        # A reader that is not waiting reads on by itself.
        if self._waiting is not None:
            self._waiting.switch()
