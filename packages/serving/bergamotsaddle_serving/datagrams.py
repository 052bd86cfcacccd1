"""A UDP socket that reads datagrams of many peers at low cost."""

import socket
from collections.abc import Iterator

import eventlet
from eventlet import hubs, patcher
from eventlet.event import Event

_native = patcher.original("socket")

_MAX_DATAGRAM = 65_535
# Number of datagrams after which other green threads get to run.
_MAX_BATCH = 64

Datagram = tuple[bytes, tuple[str, int]]


class DatagramSocket:
    """A bound UDP socket with one reader.

    A green socket registers its reader at the hub before each datagram and removes it
    afterwards, which costs more than reading the datagram does. This socket registers
    its reader once.

    Args:
        host: IP address to bind to.
        port: Port to bind to.
    """

    def __init__(self, host: str, port: int) -> None:
        self._socket = _native.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, port))
        self._arrived = Event()
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
            self._arrived = Event()
            yield from self._read_all()
            self._arrived.wait()

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
        if not self._arrived.ready():
            self._arrived.send()
