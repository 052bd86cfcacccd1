"""Many instances' peers in one process, joined by a network that can be cut."""

from collections.abc import Callable, Iterator

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
# Between two instances.
TRIP_S = 0.002
_HOSTS_A_NET = 200
_NOWHERE = Address("127.0.0.1", 9)
# Sockets are bound, since peers make them, and not used.
_ANY_PORT = 0
# A logger that writes nothing.
SILENT_LOGGER = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.BoundLogger, processors=[]
)

Carry = Callable[["WiredPeers", str, bytes], None]


class WiredPeers(Peers):
    """Peers whose datagrams a function carries.

    Args:
        settings: Who this instance is and its seeds.
        life: Random name of this process's life.
        carry: Carries a datagram to a host.

    Attributes:
        bytes_sent: Size of all datagrams so far.
    """

    def __init__(
        self, settings: ServingSettings, incarnation: str, carry: Carry
    ) -> None:
        super().__init__(settings, incarnation, SILENT_LOGGER)
        self._carry = carry
        self.bytes_sent = 0

    def _send_bytes(self, address: tuple[str, int], data: bytes) -> None:
        self.sent += 1
        self.bytes_sent += len(data)
        self._carry(self, address[0], data)

    def deliver(self, data: bytes, host: str) -> None:
        """Take a datagram."""
        self._handle_datagram(data, (host, _ANY_PORT))


class PeerFleet:
    """The peers of a fleet, on the clock of the hub.

    Args:
        size: Number of instances, spread evenly over the zones of one region.
        settle: Seconds after its start from which an instance takes work.
    """

    def __init__(self, size: int, *, accept_delay: float = 0.0) -> None:
        self._accept_delay = accept_delay
        self._cut: set[str] = set()
        self._started: set[str] = set()
        hosts = [_host(number) for number in range(size)]
        seeds = tuple(f"{host}:{_NOWHERE.port}" for host in hosts[:SEEDS])
        self.peers_by_host = {
            host: WiredPeers(
                _settings(number, host, seeds), f"life-{number}", self._carry
            )
            for number, host in enumerate(hosts)
        }

    def __iter__(self) -> Iterator[WiredPeers]:
        return iter(self.peers_by_host.values())

    def start(self, *, within: float) -> None:
        """Start all instances, evenly spread over some seconds."""
        for number, peers in enumerate(self):
            delay = within * number / len(self.peers_by_host)
            eventlet.spawn_after(delay, self._run, peers)

    def partition_zone(self, zone: str) -> None:
        """Have no datagram cross the border of a zone."""
        self._cut.add(zone)

    def kill(self, name: str) -> None:
        """Have an instance neither send nor get anything any more."""
        peers = next(peers for peers in self if peers.own.id == name)
        self._started.discard(peers.own.host)
        peers.send_heartbeats = lambda: None

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()

    def owners(self, service: str) -> set[str]:
        """Who owns the region's queue of a service, as all instances see it."""
        return {rank_owners(peers, service, REGION)[0] for peers in self}

    def min_known_peers(self) -> int:
        """Peers that the instance which knows fewest has heard."""
        return min(len(peers.alive()) for peers in self)

    def _run(self, peers: WiredPeers) -> None:
        self._started.add(peers.own.host)
        eventlet.spawn_after(self._accept_delay, _take_work, peers)
        peers.run()

    def _carry(self, sender: WiredPeers, host: str, data: bytes) -> None:
        receiver = self.peers_by_host.get(host)
        # One that has not started has no socket yet.
        if receiver is None or host not in self._started:
            return
        zones = {sender.own.zone, receiver.own.zone}
        if len(zones) > 1 and zones & self._cut:
            return
        eventlet.spawn_after(TRIP_S, receiver.deliver, data, sender.own.host)


def _take_work(peers: Peers) -> None:
    peers.accepts_work = True


def _host(number: int) -> str:
    return f"127.1.{number // _HOSTS_A_NET}.{number % _HOSTS_A_NET + 1}"


def _settings(number: int, host: str, seeds: tuple[str, ...]) -> ServingSettings:
    return ServingSettings(
        InstanceSettings(f"i{number}", ZONES[number % len(ZONES)], host),
        ListenSettings(_NOWHERE, _NOWHERE, _ANY_PORT, _ANY_PORT),
        PeerSettings(seeds),
        ZoneSettings(dict.fromkeys(ZONES, REGION)),
        StoreSettings(_NOWHERE),
        BoundSettings(8.0, 0.2, 10.0, 58.0),
    )
