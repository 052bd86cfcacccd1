"""Peers of many instances in one process, on a simulated network with partitions."""

from collections.abc import Callable, Iterator
from itertools import count

import eventlet
import structlog

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.settings import (
    BoundSettings,
    InstanceSettings,
    ListenSettings,
    PeerSettings,
    ServingSettings,
    StoreSettings,
    ZoneSettings,
)

ZONES = ("a", "b", "c", "d")
REGION = "r"
SEEDS = 3
# One-way network latency between two instances.
LATENCY_S = 0.002
_HOSTS_PER_SUBNET = 200
_UNUSED_ADDRESS = Address("127.0.0.1", 9)
# Peers bind sockets when they are made; the simulation does not use them.
_ANY_PORT = 0
# A logger that discards everything.
SILENT_LOGGER = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.BoundLogger, processors=[]
)

Transmit = Callable[["WiredPeers", str, bytes], None]


class WiredPeers(Peers):
    """Peers whose datagrams are passed to a function instead of a socket.

    Args:
        settings: Settings with the id, zone and seeds of this instance.
        incarnation: Random name of this run of the process.
        transmit: Delivers a datagram to a host.

    Attributes:
        bytes_sent: Total size of the datagrams sent so far.
    """

    def __init__(
        self, settings: ServingSettings, incarnation: str, transmit: Transmit
    ) -> None:
        super().__init__(settings, incarnation, SILENT_LOGGER)
        self._transmit = transmit
        self.bytes_sent = 0

    def disconnect(self) -> None:
        """Send nothing more, as a process that was killed."""
        self._transmit = lambda *_: None

    def _send_bytes(self, address: tuple[str, int], data: bytes) -> None:
        self.sent += 1
        self.bytes_sent += len(data)
        self._transmit(self, address[0], data)

    def deliver(self, data: bytes, host: str) -> None:
        """Receive a datagram from a host."""
        self._handle_datagram(data, (host, _ANY_PORT))


class PeerFleet:
    """Peers of all instances of a fleet, on the clock of the hub.

    Args:
        size: Number of instances, spread evenly over the zones of one region.
        accept_delay: Seconds from the start of an instance until it accepts work.
    """

    def __init__(self, size: int, *, accept_delay: float = 0.0) -> None:
        self._accept_delay = accept_delay
        self._restarts = count(1)
        self._partitioned_zones: set[str] = set()
        self._running_hosts: set[str] = set()
        hosts = [_host(number) for number in range(size)]
        self._hosts = hosts
        self._seeds = tuple(f"{host}:{_UNUSED_ADDRESS.port}" for host in hosts[:SEEDS])
        self.peers_by_host = {
            host: WiredPeers(
                _settings(number, host, self._seeds), f"life-{number}", self._transmit
            )
            for number, host in enumerate(hosts)
        }

    def __iter__(self) -> Iterator[WiredPeers]:
        return iter(self.peers_by_host.values())

    def start(self, *, within: float) -> None:
        """Start all instances at even intervals within some seconds."""
        for number, peers in enumerate(self):
            delay = within * number / len(self.peers_by_host)
            eventlet.spawn_after(delay, self._run, peers)

    def partition_zone(self, zone: str) -> None:
        """Drop all datagrams between a zone and the other zones."""
        self._partitioned_zones.add(zone)

    def kill(self, name: str) -> None:
        """Stop an instance from sending and receiving for good."""
        peers = next(peers for peers in self if peers.own.id == name)
        self._running_hosts.discard(peers.own.host)
        peers.send_heartbeats = lambda: None

    def restart(self, number: int) -> WiredPeers:
        """Kill an instance and start it again without what it knew.

        Returns:
            The peers of the new process.
        """
        host = self._hosts[number]
        self.peers_by_host[host].disconnect()
        name = f"life-{number}-{next(self._restarts)}"
        peers = WiredPeers(_settings(number, host, self._seeds), name, self._transmit)
        self.peers_by_host[host] = peers
        self._running_hosts.discard(host)
        return peers

    def run(self, peers: WiredPeers) -> None:
        """Start an instance that was started again."""
        eventlet.spawn_n(self._run, peers)

    def heal(self) -> None:
        """End all partitions."""
        self._partitioned_zones.clear()

    def owners(self, service: str) -> set[str]:
        """Return the owners of a service's region queue as the instances see them."""
        return {rank_owners(peers, service, REGION)[0] for peers in self}

    def min_known_peers(self) -> int:
        """Return the lowest number of live peers that any instance knows."""
        return min(len(peers.alive()) for peers in self)

    def _run(self, peers: WiredPeers) -> None:
        self._running_hosts.add(peers.own.host)
        eventlet.spawn_after(self._accept_delay, _accept_work, peers)
        peers.run()

    def _transmit(self, sender: WiredPeers, host: str, data: bytes) -> None:
        receiver = self.peers_by_host.get(host)
        # An instance that is not running has no socket.
        if receiver is None or host not in self._running_hosts:
            return
        zones = {sender.own.zone, receiver.own.zone}
        if len(zones) > 1 and zones & self._partitioned_zones:
            return
        eventlet.spawn_after(LATENCY_S, receiver.deliver, data, sender.own.host)


def _accept_work(peers: Peers) -> None:
    peers.accepts_work = True


def _host(number: int) -> str:
    return f"127.1.{number // _HOSTS_PER_SUBNET}.{number % _HOSTS_PER_SUBNET + 1}"


def _settings(number: int, host: str, seeds: tuple[str, ...]) -> ServingSettings:
    return ServingSettings(
        InstanceSettings(f"i{number}", ZONES[number % len(ZONES)], host),
        ListenSettings(
            _UNUSED_ADDRESS, _UNUSED_ADDRESS, _ANY_PORT, _ANY_PORT, _ANY_PORT
        ),
        PeerSettings(seeds),
        ZoneSettings(dict.fromkeys(ZONES, REGION)),
        StoreSettings(_UNUSED_ADDRESS),
        BoundSettings(8.0, 0.2, 10.0, 58.0),
    )
