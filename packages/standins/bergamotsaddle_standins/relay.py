"""A relay before an instance's peer address, which can be cut or go silent."""

import contextlib
from typing import Any

import eventlet
import msgspec
from eventlet.green import socket

from bergamotsaddle_standins._web import Environ, announce, answer, read_json, serve

_READ_BYTES = 65_536
_KEPT_SECONDS = 60.0
_HOST = "127.0.0.1"


class RelaySpec(msgspec.Struct):
    """Where a relay forwards to.

    Attributes:
        name: Name of the instance behind it.
        address: ``IP:port`` of the instance, TCP and UDP alike.
    """

    name: str
    address: str


class Relay:
    """Forwards TCP connections and UDP datagrams to one instance.

    Args:
        spec: Where to.
    """

    def __init__(self, spec: RelaySpec) -> None:
        host, _, port = spec.address.rpartition(":")
        self._to = (host, int(port))
        self._listener = eventlet.listen((_HOST, 0))
        self.port = self._listener.getsockname()[1]
        self._datagrams = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._datagrams.bind((_HOST, self.port))
        self._silenced: set[int] = set()
        self._connections = 0
        self.is_cut = False
        self.dropped_ports: set[int] = set()
        eventlet.spawn_n(self._accept)
        eventlet.spawn_n(self._relay_datagrams)

    def silence(self) -> None:
        """Forget every open connection without closing it; new ones work."""
        self._silenced = set(range(self._connections + 1))

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            if self.is_cut:
                client.close()
                continue
            self._connections += 1
            try:
                server = eventlet.connect(self._to)
            except OSError:
                client.close()
                continue
            for one, other in ((client, server), (server, client)):
                eventlet.spawn_n(self._pump, self._connections, one, other)

    def _pump(self, number: int, one: Any, other: Any) -> None:
        with contextlib.suppress(OSError):
            while data := one.recv(_READ_BYTES):
                if not self.is_cut and number not in self._silenced:
                    other.sendall(data)
        # Closing instead would throw in the green thread that reads the other way.
        with contextlib.suppress(OSError):
            other.shutdown(socket.SHUT_RDWR)

    def _relay_datagrams(self) -> None:
        while True:
            data, sender = self._datagrams.recvfrom(_READ_BYTES)
            if not self.is_cut and sender[1] not in self.dropped_ports:
                self._datagrams.sendto(data, self._to)


class _Control:
    """Changes relays by name."""

    def __init__(self, relays: dict[str, Relay]) -> None:
        self._relays = relays

    def __call__(self, environ: Environ, start_response: Any) -> list[bytes]:
        wanted = read_json(environ)
        relay = self._relays[wanted["name"]]
        relay.is_cut = wanted.get("cut", relay.is_cut)
        relay.dropped_ports = set(wanted.get("drop", relay.dropped_ports))
        if wanted.get("silence"):
            relay.silence()
        return answer(start_response, {})


def main(specs: list[RelaySpec]) -> None:
    """Run some relays in this process until it is ended."""
    relays = {spec.name: Relay(spec) for spec in specs}
    ports = {name: relay.port for name, relay in relays.items()}
    announce(control=serve(_Control(relays)), **ports)
    while True:
        eventlet.sleep(_KEPT_SECONDS)
