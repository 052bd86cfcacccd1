"""A relay in front of an instance's peer address that can drop its traffic."""

import contextlib
from typing import Any

import eventlet
import msgspec
from eventlet.green import socket

from bergamotsaddle_standins._web import (
    Environ,
    announce_ports,
    read_json,
    respond_json,
    serve,
)

_READ_BYTES = 65_536
_SLEEP_S = 60.0
_HOST = "127.0.0.1"


class RelaySpec(msgspec.Struct):
    """Name and destination of a relay.

    Attributes:
        name: Name of the instance behind the relay.
        address: ``IP:port`` of the instance, TCP and UDP alike.
    """

    name: str
    address: str


class Relay:
    """Forwards TCP connections and UDP datagrams to one instance.

    Args:
        spec: Name and address of the instance.

    Attributes:
        is_cut: Whether the relay drops all traffic and closes new connections.
        dropped_ports: Sender ports whose datagrams are dropped.
    """

    def __init__(self, spec: RelaySpec) -> None:
        host, _, port = spec.address.rpartition(":")
        self._destination = (host, int(port))
        self._listener = eventlet.listen((_HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((_HOST, self.port))
        self._silenced: set[int] = set()
        self._connections = 0
        self.is_cut = False
        self.dropped_ports: set[int] = set()
        eventlet.spawn_n(self._accept)
        eventlet.spawn_n(self._forward_datagrams)

    def silence(self) -> None:
        """Drop the data of all open connections without closing them; new ones work."""
        self._silenced = set(range(self._connections + 1))

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self.is_cut:
                client.close()
                continue
            self._connections += 1
            try:
                server = eventlet.connect(self._destination)
            except OSError:
                client.close()
                continue
            for one, other in ((client, server), (server, client)):
                eventlet.spawn_n(self._forward_stream, self._connections, one, other)

    def _forward_stream(self, number: int, one: Any, other: Any) -> None:
        with contextlib.suppress(OSError):
            while data := one.recv(_READ_BYTES):
                if not self.is_cut and number not in self._silenced:
                    other.sendall(data)
        # Closing would raise in the green thread that reads in the other direction.
        with contextlib.suppress(OSError):
            other.shutdown(socket.SHUT_RDWR)

    def _forward_datagrams(self) -> None:
        while True:
            data, sender = self._datagrams.recvfrom(_READ_BYTES)
            if not self.is_cut and sender[1] not in self.dropped_ports:
                self._datagrams.sendto(data, self._destination)


class _ControlApp:
    """WSGI application that changes relays by name."""

    def __init__(self, relays: dict[str, Relay]) -> None:
        self._relays = relays

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        changes = read_json(environ)
        relay = self._relays[changes["name"]]
        relay.is_cut = changes.get("cut", relay.is_cut)
        relay.dropped_ports = set(changes.get("drop", relay.dropped_ports))
        if changes.get("silence"):
            relay.silence()
        return respond_json(start_response, {})


def main(specs: list[RelaySpec]) -> None:
    """Run some relays in this process until it is killed."""
    relays = {spec.name: Relay(spec) for spec in specs}
    ports = {name: relay.port for name, relay in relays.items()}
    announce_ports(control=serve(_ControlApp(relays)), **ports)
    while True:
        eventlet.sleep(_SLEEP_S)
