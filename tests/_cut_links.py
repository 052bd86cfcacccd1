"""Calls between two instances whose connection ends at every byte of the response.

Run as a program, since links need native threads. It prints what the calls returned.
"""

import bergamotsaddle_daemon._green  # noqa: F401, I001

import contextlib
import json
from types import SimpleNamespace

import eventlet
from eventlet.green import socket

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import DeclarationQuery, DeclarationText
from bergamotsaddle_daemon.hub_bridge import HubBridge
from bergamotsaddle_daemon.links import GrpcLink, PeerServer

KEY = b"0123456789abcdef"
HOST = "127.0.0.1"
TEXT = "x" * 40
TIMEOUT_S = 2.0


class CuttingRelay:
    """Forwards the first bytes that a server sends on each connection, then closes.

    Args:
        destination: The server.
        size: How many bytes, None for all.

    Attributes:
        address: Where it listens.
        sent: Number of bytes that it forwarded.
    """

    def __init__(self, destination: Address, size: int | None) -> None:
        self._destination = destination
        self._size = size
        self._listener = eventlet.listen((HOST, 0))
        self.address = Address(*self._listener.getsockname())
        self.sent = 0
        self._thread = eventlet.spawn(self._accept)

    def close(self) -> None:
        """Stop listening."""
        self._thread.kill()
        self._listener.close()

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            server = eventlet.connect(self._destination)
            eventlet.spawn_n(self._forward, client, server)
            eventlet.spawn_n(self._forward_some, server, client)

    def _forward(self, one: socket.socket, other: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := one.recv(65_536):
                other.sendall(data)

    def _forward_some(self, server: socket.socket, client: socket.socket) -> None:
        while data := server.recv(65_536):
            if self._size is not None:
                data = data[: self._size - self.sent]
            client.sendall(data)
            self.sent += len(data)
            if self.sent == self._size:
                break
        for sock in (client, server):
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)


def call(server: PeerServer, bridge: HubBridge, size: int | None) -> tuple[str, int]:
    """Return the text of a declaration that was read, and the bytes forwarded."""
    relay = CuttingRelay(server.address, size)
    link = GrpcLink(str(relay.address), KEY, bridge)
    try:
        return link.call(DeclarationQuery(0), TIMEOUT_S).text, relay.sent
    except PeerUnreachableError:
        return "", relay.sent
    finally:
        link.close()
        relay.close()


def main() -> None:
    """Print the texts that calls read: of a whole exchange, then of each cut one."""
    daemon = SimpleNamespace(peer_key=KEY, peer_address=Address(HOST, 0))
    settings = SimpleNamespace(daemon=daemon, limits=SimpleNamespace(peer_workers=2))
    bridge = HubBridge()
    server = PeerServer(settings, bridge)
    server.start({DeclarationQuery: lambda query: DeclarationText(TEXT)})
    text, total = call(server, bridge, None)
    texts = [call(server, bridge, size)[0] for size in range(1, total)]
    server.stop()
    print(json.dumps([text, *texts]))


if __name__ == "__main__":
    main()
