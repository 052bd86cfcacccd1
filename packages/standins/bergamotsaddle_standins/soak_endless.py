"""Responses of a soak's targets that never end."""

import contextlib
import random
from collections.abc import Callable

import eventlet
from eventlet import wsgi

from bergamotsaddle_standins._web import Environ
from bergamotsaddle_standins.endless_target import ENDLESS_BY_KIND
from bergamotsaddle_standins.soak_breaks import reset

# Kinds that bring no event and no whole response before they go on without end.
_KINDS = (
    "interim",
    "head_lines",
    "open_body",
    "length",
    "chunks",
    "chunk_extensions",
    "trailers",
    "failure",
)
_BLOCK_BYTES = 16_384


def pick_kind(rng: random.Random) -> str:
    """Return a kind of response without end."""
    return rng.choice(_KINDS)


def send_endless(
    environ: Environ, kind: str, is_going_on: Callable[[], bool]
) -> list[bytes]:
    """Send a response on the connection of a request until its peer closes.

    Args:
        environ: The request.
        kind: Kind of the response.
        is_going_on: Returns whether to send more. The connection is reset after that.

    Returns:
        Nothing that the server has to send.
    """
    endless = ENDLESS_BY_KIND[kind]
    sock = environ["wsgi.input"].get_socket()
    block = endless.repeated * (_BLOCK_BYTES // len(endless.repeated) + 1)
    with contextlib.suppress(OSError):
        request = environ.get("HTTP_ID", "").encode()
        sock.sendall(endless.opening.replace(b"%(id)s", request))
        while is_going_on():
            sock.sendall(block)
            eventlet.sleep(0)
    # A body without a length that is closed properly is whole.
    reset(sock)
    wsgi.WSGI_LOCAL.already_handled = True
    return []
