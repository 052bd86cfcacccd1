"""Links between the instances and the targets of a soak, which can be cut."""

import contextlib
import socket as blocking_socket
from collections.abc import Callable, Iterable
from enum import StrEnum
from typing import Any

import eventlet
from eventlet.green import socket

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._sockets import receive
from bergamotsaddle_standins.soak_breaks import reset
from bergamotsaddle_standins.soak_ends import Successor

_HOST = "127.0.0.1"
_BACKLOG = 512
_READ_BYTES = 65_536
_POLL_S = 0.02
# A backlog of 0 holds one connection. More are opened to be sure that it is full.
_BACKLOG_FILLERS = 3
# As on Ethernet. With the segments of loopback the kernel takes long requests at once.
_SEGMENT_BYTES = 1_460
_RECEIVE_BYTES = 8_192


class CutMode(StrEnum):
    """What happens to the connections of a link that is cut."""

    HANG = "hang"
    """Neither new connections nor those that are open carry anything."""
    RESET = "reset"
    """Open connections are reset and new ones refused."""
    REFUSE = "refuse"
    """Open connections live on, new ones are refused."""


Action = Callable[["TargetLink"], None]
_ACTION_BY_MODE: dict[CutMode, Action] = {}


def _register_mode(mode: CutMode) -> Callable[[Action], Action]:
    """Return a decorator that registers how a link is cut."""

    def add(function: Action) -> Action:
        _ACTION_BY_MODE[mode] = function
        return function

    return add


class TargetLink:
    """One instance's link to one target.

    Args:
        destination: Port of the target on loopback.

    Attributes:
        port: Port at which the instance reaches the target.
        is_slow: Whether each part of a request takes a while.
    """

    def __init__(self, destination: int) -> None:
        self._destination = destination
        self._servers: set[Any] = set()
        self._client_by_port: dict[int, Any] = {}
        self._received_at: dict[int, float] = {}
        self._fillers: list[Any] = []
        self._is_silent = False
        self._pauses = 0
        self._is_resetting = False
        self._held: set[int] = set()
        self.is_slow = False
        self._successor: Successor | None = None
        self._listener: Any = None
        self._acceptor: Any = None
        self._bind(0)
        self.port = self._listener.getsockname()[1]
        self._listen()

    def cut(self, mode: CutMode) -> None:
        """Cut the link unless it is cut already."""
        if self._acceptor is None:
            return
        _ACTION_BY_MODE[mode](self)

    def crash(self, *, is_reset: bool) -> None:
        """End all connections and refuse new ones, as the crash of the target does.

        Args:
            is_reset: Whether connections are reset rather than closed.
        """
        if self._acceptor is None:
            return
        self._reset()
        self._is_resetting = is_reset

    def end(self, successor: Successor) -> None:
        """Close all connections in order, as those of a crashed process are.

        Args:
            successor: Gets what arrives from then on.
        """
        self._successor = successor
        if successor.is_refusing and self._acceptor is not None:
            self._refuse(accepts_waiting=True)
        self._end_connections()

    def hold(self, port: int) -> None:
        """Hold back the rest of a request, and reset its connection once it ends.

        Args:
            port: Port that the target sees as that of its peer.
        """
        self._held.add(port)

    def heal(self) -> None:
        """Restore the link."""
        self._is_silent = False
        self._is_resetting = False
        for filler in self._fillers:
            filler.close()
        self._fillers = []
        if self._acceptor is not None:
            return
        if self._successor is not None and self._successor.is_refusing:
            self._close_listener()
            return
        self._listen()

    def pause(self) -> None:
        """Hold back what connections carry, until ``resume`` is called as often."""
        self._pauses += 1

    def resume(self) -> None:
        """End one pause."""
        self._pauses -= 1

    def received_at(self, port: int) -> float:
        """Return when what a connection carried last was sent, on the hub's clock.

        Args:
            port: Port that the target sees as that of its peer.
        """
        return self._received_at.get(port, now())

    def is_heard(self, port: int) -> bool:
        """Return whether the instance still holds its end of a connection.

        Args:
            port: Port that the target sees as that of its peer.
        """
        client = self._client_by_port.get(port)
        if client is None:
            return False
        try:
            return client.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) != b""
        except BlockingIOError:
            return True
        except OSError:
            # The instance has reset the connection.
            return False

    @_register_mode(CutMode.HANG)
    def _hang(self) -> None:
        self._is_silent = True
        self._acceptor.kill()
        self._acceptor = None
        self._accept_waiting()
        # With a full backlog the kernel drops the first packet of new connections.
        self._listener.listen(0)
        for _ in range(_BACKLOG_FILLERS):
            filler = blocking_socket.socket()
            filler.setblocking(False)
            filler.connect_ex((_HOST, self.port))
            self._fillers.append(filler)

    @_register_mode(CutMode.RESET)
    def _reset(self) -> None:
        self._refuse()
        self._is_resetting = True
        self._end_connections()

    def _end_connections(self) -> None:
        for server in list(self._servers):
            with contextlib.suppress(OSError):
                server.shutdown(socket.SHUT_RDWR)

    @_register_mode(CutMode.REFUSE)
    def _refuse(self, *, accepts_waiting: bool = False) -> None:
        self._acceptor.kill()
        self._acceptor = None
        if accepts_waiting:
            self._accept_waiting()
        self._close_listener()

    def _close_listener(self) -> None:
        self._listener.close()
        # A port that is bound but not listened on refuses connections and stays ours.
        self._bind(self.port)

    def _bind(self, port: int) -> None:
        self._listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BYTES)
        self._listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, _SEGMENT_BYTES)
        self._listener.bind((_HOST, port))

    def _listen(self) -> None:
        self._listener.listen(_BACKLOG)
        self._acceptor = eventlet.spawn(self._accept)

    def _accept(self) -> None:
        while True:
            client, _ = self._listener.accept()
            eventlet.spawn_n(self._connect, client)

    def _accept_waiting(self) -> None:
        """Accept the connections that have been made but not accepted yet."""
        while True:
            try:
                client, _ = self._listener.fd.accept()
            except BlockingIOError:
                return
            eventlet.spawn_n(self._connect, socket.socket(fileno=client.detach()))

    def _connect(self, client: Any) -> None:
        if self._successor is not None:
            self._successor.serve(client)
            return
        try:
            server = eventlet.connect((_HOST, self._destination))
        except OSError:
            client.close()
            return
        if self._successor is not None:
            server.close()
            self._successor.serve(client)
            return
        self._servers.add(server)
        port = server.getsockname()[1]
        self._client_by_port[port] = client
        # The target may read what was sent after the connection has ended.
        self._received_at[port] = now()
        requests = eventlet.spawn(self._forward_requests, client, server)
        is_proper = self._forward(server, client)
        if is_proper and port not in self._held:
            requests.wait()
        else:
            requests.kill()
            reset(client)
        self._servers.discard(server)
        self._held.discard(port)
        del self._client_by_port[port]
        client.close()
        server.close()

    def _forward_requests(self, client: Any, server: Any) -> None:
        port = server.getsockname()[1]

        def receive_at(at: float) -> None:
            self._received_at[port] = at
            if self.is_slow:
                eventlet.sleep(_POLL_S)
            while port in self._held:
                eventlet.sleep(_POLL_S)

        self._forward(client, server, receive_at)
        # Whichever way its caller left, the target stops its work.
        with contextlib.suppress(OSError):
            server.shutdown(socket.SHUT_RDWR)

    def _forward(
        self, one: Any, other: Any, on_data: Callable[[float], None] = lambda at: None
    ) -> bool:
        """Forward data in one direction; return whether it ended properly.

        Args:
            one: Where the data comes from.
            other: Where it goes to.
            on_data: Called with the time at which each part was received.
        """
        try:
            while data := receive(one, _READ_BYTES):
                on_data(now())
                while self._is_silent or self._pauses:
                    eventlet.sleep(_POLL_S)
                self._send(other, data)
        except OSError:
            return False
        if self._is_resetting:
            return False
        with contextlib.suppress(OSError):
            # What comes for a target that has ended is still counted.
            other.shutdown(socket.SHUT_WR if self._successor else socket.SHUT_RDWR)
        return True

    def _send(self, sock: Any, data: bytes) -> None:
        # The receiver may be gone, and what the sender goes on to send is dropped.
        try:
            sock.sendall(data)
        except OSError:
            if self._successor is not None:
                self._successor.lose(data)


def cut_links(links: Iterable[TargetLink], mode: CutMode) -> None:
    """Cut links at the same time, however busy the hub is."""
    # Each cut lets all other green threads run.
    threads = [eventlet.spawn(link.cut, mode) for link in links]
    for thread in threads:
        thread.wait()
