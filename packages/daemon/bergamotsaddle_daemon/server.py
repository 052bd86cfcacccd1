"""The sockets of a daemon and its way from start to exit."""

import signal

import eventlet
import eventlet.wsgi
from eventlet.event import Event

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.calls import Connections
from bergamotsaddle_daemon.daemon import Daemon, Interfaces
from bergamotsaddle_daemon.datagrams import UdpSocket
from bergamotsaddle_daemon.decisions import make_logger
from bergamotsaddle_daemon.hub_bridge import HubBridge
from bergamotsaddle_daemon.links import GrpcLink, PeerServer
from bergamotsaddle_daemon.platform import make_config_reader, make_instances_reader
from bergamotsaddle_daemon.reports import make_http_load_reader
from bergamotsaddle_daemon.settings import Settings

_BACKLOG = 512


class Server:
    """A daemon with its sockets bound.

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
        self._callers = eventlet.listen(
            settings.daemon.caller_address, backlog=_BACKLOG
        )
        self._operators = eventlet.listen(settings.daemon.operator_address)
        self._asked_to_stop = Event()

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._ask_to_stop)
        self.daemon.spawn()
        self._peer_server.start(self.daemon.handlers())
        eventlet.spawn_n(self._datagrams.receive_forever, self.daemon.peers)
        self._serve_http()
        self._logger.info(
            "listening",
            callers=str(Address(*self._callers.getsockname())),
            operators=str(Address(*self._operators.getsockname())),
            peers=str(self._peer_server.address),
        )
        self._asked_to_stop.wait()
        self.daemon.stop(self._callers.close)
        self._peer_server.stop()

    def _ask_to_stop(self, *_: object) -> None:
        # A signal handler runs between any two lines of some green thread, so it
        # only leaves a note that the hub picks up.
        if not self._asked_to_stop.ready():
            eventlet.spawn_n(self._note_stop)

    def _note_stop(self) -> None:
        if not self._asked_to_stop.ready():
            self._asked_to_stop.send()

    def _serve_http(self) -> None:
        settings = self._settings
        pool = eventlet.GreenPool(2 * settings.limits.connections)
        eventlet.spawn_n(
            eventlet.wsgi.server,
            self._callers,
            self.daemon.callers,
            custom_pool=pool,
            log_output=False,
            minimum_chunk_size=1,
            socket_timeout=settings.timing.header,
            debug=False,
        )
        eventlet.spawn_n(
            eventlet.wsgi.server,
            self._operators,
            self.daemon.operators,
            log_output=False,
            debug=False,
        )
