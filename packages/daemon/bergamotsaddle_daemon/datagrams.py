"""Heartbeats as UDP datagrams."""

import socket

from bergamotsaddle_contracts.ini import Address, parse_address
from bergamotsaddle_contracts.messages import Heartbeat, sign, verify_signed
from bergamotsaddle_daemon.peers import Peers

_MAX_DATAGRAM_BYTES = 65_535


class UdpSocket:
    """Sends and receives heartbeats.

    Args:
        address: Where to listen.
        key: Shared by all instances.
    """

    def __init__(self, address: Address, key: bytes) -> None:
        self._key = key
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind(address)

    def send(self, heartbeat: Heartbeat, address: str) -> None:
        """Send one datagram without a guarantee of delivery."""
        try:
            self._socket.sendto(sign(heartbeat, self._key), parse_address(address))
        except OSError:
            # A datagram that the network rejects is treated like a lost one.
            return

    def receive_forever(self, peers: Peers) -> None:
        """Pass every datagram signed with the deployment's key to the peers."""
        while True:
            try:
                datagram = self._socket.recv(_MAX_DATAGRAM_BYTES)
                peers.handle_heartbeat(verify_signed(datagram, Heartbeat, self._key))
            except (ValueError, OSError):
                continue
