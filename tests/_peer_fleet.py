"""Many instances' peers in one process, joined by a network that can be cut."""

from unittest import mock

import eventlet

from bergamotsaddle_serving.peer_messages import Message, decode, encode
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.settings import parse_settings

ZONES = ("a", "b", "c", "d")
SEEDS = 3
TRIP_S = 0.002
_SETTINGS = """
[instance]
id = {id}
zone = {zone}
host = {host}
[listen]
callers = {host}:8000
ready = {host}:8001
peer_port = 7000
metrics_port = 9000
[peers]
seeds = {seeds}
[zones]
regions = a=r,b=r,c=r,d=r
[store]
address = 10.9.0.1:2379
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 58
"""


class PeerFleet:
    """The peers of a fleet.

    Args:
        size: Number of instances, spread evenly over the zones.
    """

    def __init__(self, size: int) -> None:
        self._cut: set[str] = set()
        self.peers_by_host: dict[str, Peers] = {}
        hosts = [f"10.0.{number // 200}.{number % 200 + 1}" for number in range(size)]
        seeds = ",".join(f"{host}:8002" for host in hosts[:SEEDS])
        for number, host in enumerate(hosts):
            zone = ZONES[number % len(ZONES)]
            text = _SETTINGS.format(id=f"i{number}", zone=zone, host=host, seeds=seeds)
            with mock.patch("bergamotsaddle_serving.peers.socket.socket"):
                peers = Peers(
                    parse_settings(text, name="test"), f"life-{number}", mock.Mock()
                )
            peers.send_to = self._carrier(peers)
            self.peers_by_host[host] = peers

    def __iter__(self):
        return iter(self.peers_by_host.values())

    def start(self, *, within: float) -> None:
        """Start all instances, evenly spread over some seconds."""
        for number, peers in enumerate(self):
            delay = within * number / len(self.peers_by_host)
            eventlet.spawn_after(delay, self._run, peers)

    def cut_off(self, zone: str) -> None:
        """Have no datagram cross the border of a zone."""
        self._cut.add(zone)

    def heal(self) -> None:
        """End all cuts."""
        self._cut.clear()

    def _run(self, peers: Peers) -> None:
        peers.takes_work = True
        peers.run()

    def _carrier(self, sender: Peers):
        def carry(address: tuple[str, int], message: Message) -> None:
            receiver = self.peers_by_host.get(address[0])
            zones = {sender.own.zone, receiver.own.zone} if receiver else set()
            if receiver is None or (len(zones) > 1 and zones & self._cut):
                return
            data = encode(message)
            eventlet.spawn_after(TRIP_S, self._arrive, receiver, data, sender.own.host)

        return carry

    def _arrive(self, receiver: Peers, data: bytes, host: str) -> None:
        if receiver.takes_work:
            receiver._dispatch(decode(data), (host, 7000))
