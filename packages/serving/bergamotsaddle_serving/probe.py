"""Serves small pages for the load balancer's probe and for metrics."""

import socket
from collections.abc import Callable

import eventlet
import h11
from greenlet import GreenletExit, greenlet

from bergamotsaddle_serving._turn import Turn

_CHUNK = 4_096
_IDLE_S = 10.0
# What a request may have in all, and the seconds in which it has to arrive.
_MAX_REQUEST_BYTES = 65_536
_REQUEST_S = 10.0
# Parts of a request after which other green threads get to run.
_PARTS_A_TURN = 8

Page = Callable[[], tuple[int, bytes]]


class PageConnection:
    """A connection at which a page is served.

    Args:
        sock: The accepted socket.
        page: Returns the status and the body of the page.
    """

    def __init__(self, sock: socket.socket, page: Page) -> None:
        self._socket = sock
        self._page = page
        self._thread: greenlet | None = None

    def run(self) -> None:
        """Respond to each request with the page, until the connection is closed."""
        self._thread = eventlet.getcurrent()
        sock = self._socket
        sock.settimeout(_IDLE_S)
        try:
            while _respond(sock, self._page):
                continue
        except (OSError, eventlet.Timeout, h11.ProtocolError, GreenletExit):
            # The client disconnected, violated HTTP, or made room for another one; it
            # sends its request again.
            return
        finally:
            sock.close()

    def evict(self) -> None:
        """Close the connection."""
        if self._thread is not None:
            eventlet.kill(self._thread)


def _respond(sock: socket.socket, page: Page) -> bool:
    connection = h11.Connection(h11.SERVER)
    if not _read_request(sock, connection):
        return False
    status, body = page()
    headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
    response = connection.send(h11.Response(status_code=status, headers=headers))
    response += connection.send(h11.Data(data=body)) + connection.send(
        h11.EndOfMessage()
    )
    sock.sendall(response)
    return connection.our_state is h11.DONE


def _read_request(sock: socket.socket, connection: h11.Connection) -> bool:
    """Read a request; return whether it is complete and not too large."""
    turn = Turn(_PARTS_A_TURN)
    first = sock.recv(_CHUNK)
    if not first:
        return False
    received = 0
    with eventlet.Timeout(_REQUEST_S):
        connection.receive_data(first)
        received += len(first)
        event = connection.next_event()
        while not isinstance(event, h11.EndOfMessage):
            turn.step()
            if event is h11.NEED_DATA:
                data = sock.recv(_CHUNK)
                received += len(data)
                if not data or received > _MAX_REQUEST_BYTES:
                    return False
                connection.receive_data(data)
            event = connection.next_event()
    return True
