"""Serves small pages for the load balancer's probe and for metrics."""

import socket
from collections.abc import Callable

import eventlet
import h11

_CHUNK = 4_096
_IDLE_S = 10.0

Page = Callable[[], tuple[int, bytes]]


def serve_page(listener: socket.socket, page: Page) -> None:
    """Respond to each request on a listener with a page, forever.

    Args:
        listener: A listening socket.
        page: Returns the status and the body of the page.
    """
    while True:
        sock, _ = listener.accept()
        eventlet.spawn_n(_serve, sock, page)


def _serve(sock: socket.socket, page: Page) -> None:
    sock.settimeout(_IDLE_S)
    try:
        while _respond(sock, page):
            continue
    except (OSError, h11.ProtocolError):
        # The client disconnected or violated HTTP; it sends its request again.
        return
    finally:
        sock.close()


def _respond(sock: socket.socket, page: Page) -> bool:
    connection = h11.Connection(h11.SERVER)
    event = connection.next_event()
    while not isinstance(event, h11.EndOfMessage):
        if event is h11.NEED_DATA:
            data = sock.recv(_CHUNK)
            if not data:
                return False
            connection.receive_data(data)
        event = connection.next_event()
    status, body = page()
    headers = [(b"content-type", b"text/plain"), (b"content-length", b"%d" % len(body))]
    response = connection.send(h11.Response(status_code=status, headers=headers))
    response += connection.send(h11.Data(data=body)) + connection.send(
        h11.EndOfMessage()
    )
    sock.sendall(response)
    return connection.our_state is h11.DONE
