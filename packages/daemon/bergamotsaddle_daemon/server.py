"""Binds the sockets of a daemon and runs it from start to exit."""

import signal
from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event
from eventlet.greenio import GreenSocket

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.calls import Connections
from bergamotsaddle_daemon.daemon import Daemon, Interfaces
from bergamotsaddle_daemon.datagrams import UdpSocket
from bergamotsaddle_daemon.decisions import make_logger
from bergamotsaddle_daemon.http_server import descriptor_limit, serve
from bergamotsaddle_daemon.hub_bridge import HubBridge
from bergamotsaddle_daemon.links import GrpcLink, PeerServer
from bergamotsaddle_daemon.platform import make_config_reader, make_instances_reader
from bergamotsaddle_daemon.reports import make_http_load_reader
from bergamotsaddle_daemon.settings import Settings

_BACKLOG = 512
# Fractions of the descriptors for connections of callers and of operators. The rest is
# for targets, other instances, the platform and files.
_CALLER_DESCRIPTORS = 1 / 2
_OPERATOR_DESCRIPTORS = 1 / 8


class Server:
    """A daemon and its bound sockets.

    Args:
        settings: The daemon's settings.
    """

    def __init__(self, settings: Settings) -> None:
        self._settings = settings
        key = settings.daemon.peer_key
        bridge = HubBridge()
        self._peer_server = PeerServer(settings, bridge)
        self._datagrams = UdpSocket(self._peer_server.address, key)
        interfaces = Interfaces(
            config=make_config_reader(settings),
            instances=make_instances_reader(settings),
            link_factory=lambda address: GrpcLink(address, key, bridge),
            heartbeats=self._datagrams,
            read_load=make_http_load_reader(),
            connections=Connections(),
        )
        self._logger = make_logger(settings)
        self.daemon = Daemon(settings, interfaces, self._logger)
        self._caller_socket = eventlet.listen(
            settings.daemon.caller_address, backlog=_BACKLOG
        )
        self._operator_socket = eventlet.listen(settings.daemon.operator_address)
        self._stop_requested = Event()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, self._request_stop)
        self.daemon.spawn()
        self._peer_server.start(self.daemon.handlers())
        eventlet.spawn_n(self._datagrams.receive_forever, self.daemon.peers)
        self._serve_http()
        self._logger.info(
            "listening",
            callers=str(Address(*self._caller_socket.getsockname())),
            operators=str(Address(*self._operator_socket.getsockname())),
            peers=str(self._peer_server.address),
        )
        self._stop_requested.wait()
        self.daemon.stop(self._caller_socket.close)
        self._peer_server.stop()

    def _request_stop(self, *_: object) -> None:
        # A signal handler runs between any two lines of some green thread, so it only
        # schedules a function on the hub.
        if not self._stop_requested.ready():
            eventlet.spawn_n(self._signal_stop)

    def _signal_stop(self) -> None:
        if not self._stop_requested.ready():
            self._stop_requested.send()

    def _serve_http(self) -> None:
        limits = self._settings.limits
        descriptors = descriptor_limit()
        # Callers beyond the limit of requests get a response that says so.
        callers = min(2 * limits.connections, int(descriptors * _CALLER_DESCRIPTORS))
        operators = min(limits.operators, int(descriptors * _OPERATOR_DESCRIPTORS))
        self._spawn_http(self._caller_socket, self.daemon.callers, callers)
        self._spawn_http(self._operator_socket, self.daemon.operators, operators)

    def _spawn_http(
        self, sock: GreenSocket, app: Callable[..., Any], connections: int
    ) -> None:
        eventlet.spawn_n(
            serve,
            sock,
            app,
            connections=connections,
            timeout=self._settings.timing.header,
            logger=self._logger,
            on_evict=self._record_eviction,
        )

    def _record_eviction(self) -> None:
        """Record that a connection was closed for another one."""
        self.daemon.connections_evicted += 1
        self._logger.warning("connection_evicted", reason="others wait")
