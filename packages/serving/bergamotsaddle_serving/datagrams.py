"""A socket for datagrams that many peers send."""

import socket
from collections.abc import Iterator

import eventlet
from eventlet import hubs, patcher
from eventlet.event import Event

_native = patcher.original("socket")

_MAX_DATAGRAM = 65_535
# Other green threads get their turn after so many datagrams.
_MAX_BATCH = 64

Datagram = tuple[bytes, tuple[str, int]]


class DatagramSocket:
    """A bound UDP socket with one reader.

    A green socket tells the hub of its reader before each datagram and takes that back
    after it, which costs more than reading the datagram does. Here the hub knows the
    reader once and for all.

    Args:
        host: Own IP number.
        port: Own port.
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
            OSError: If it can't leave at once.
        """
        self._socket.sendto(data, address)

    def open(self) -> None:
        """Have the hub wake the reader; again is the same as once."""
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
        """Yield datagrams as they arrive, for ever.

        Raises:
            OSError: If one that was sent met nobody.
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
