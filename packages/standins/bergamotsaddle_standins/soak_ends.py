"""Targets of a soak that end with open responses, or whose answers are none."""

import contextlib
import random
import re
from collections import Counter
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import Any

import eventlet
from eventlet import wsgi

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins._web import Environ
from bergamotsaddle_standins.soak_breaks import reset

_HEAD_BYTES = 65_536
_REQUEST_ID = re.compile(
    rb"POST [^\r\n]*\r\n(?:[^\r\n]+\r\n)*?id: ([^\r\n]+)\r\n", re.IGNORECASE
)
# An instance may take this long to find out whether a target has outlived a response.
_ASKED_S = 1.5
# Longer requests are still being sent while their target responds.
_UPLOAD_BYTES = 16_384
_MAX_EARLY_S = 0.05
# Status lines and header lines that no response of HTTP/1.1 has.
_ODD_STATUS_LINES = (b"HTTP/1.1 000 OK", b"HTTP/1.1 600 OK", b"HTTP/2.0 200 OK")
_ODD_LINES = (b"Na me: x", b"Name : x", b"Na\x00me: x", b"Na\x01me: x", b"Odd: \x01")
ODD_HEADS = (
    *((line, b"Odd: x") for line in _ODD_STATUS_LINES),
    *((b"HTTP/1.1 200 OK", line) for line in _ODD_LINES),
)


class Wake(StrEnum):
    """What is found at the address of a target that has ended."""

    RESET = "reset"
    """Something accepts connections and resets them."""
    CLOSE = "close"
    """Something accepts connections and closes them."""
    SILENT = "silent"
    """Something accepts connections and says nothing."""
    REFUSE = "refuse"
    """The port refuses connections."""


End = Callable[[Any], None]
_END_BY_WAKE: dict[Wake, End] = {Wake.RESET: reset}


def _register_wake(*wakes: Wake) -> Callable[[End], End]:
    """Return a decorator that registers how accepted connections end."""

    def add(function: End) -> End:
        _END_BY_WAKE.update(dict.fromkeys(wakes, function))
        return function

    return add


# A port that refuses has accepted the connections that were waiting.
@_register_wake(Wake.CLOSE, Wake.REFUSE)
def _close(sock: Any) -> None:
    sock.close()


@_register_wake(Wake.SILENT)
def _wait(sock: Any) -> None:
    while sock.recv(_HEAD_BYTES):
        pass
    sock.close()


class Successor:
    """What accepts connections at the address of a target that has ended.

    Args:
        wake: What it does with them.
        breaks_by_request: Counts the requests that nothing answers.

    Attributes:
        is_refusing: Whether it accepts no new ones.
    """

    def __init__(self, wake: Wake, breaks_by_request: Counter[str]) -> None:
        self.is_refusing = wake is Wake.REFUSE
        self._end = _END_BY_WAKE[wake]
        self._breaks_by_request = breaks_by_request

    def serve(self, sock: Any) -> None:
        """Read what comes first on a connection, then end it."""
        with contextlib.suppress(OSError):
            self.lose(sock.recv(_HEAD_BYTES))
            self._end(sock)

    def lose(self, data: bytes) -> None:
        """Count the request, if any, whose head begins some lost data."""
        found = _REQUEST_ID.match(data)
        if found is not None:
            self._breaks_by_request[found[1].decode()] += 1


class OpenResponses:
    """Requests whose responses end with their target, by all that an instance knows."""

    def __init__(self) -> None:
        self._ended_at: dict[str, float] = {}

    def begin(self, request: str) -> None:
        """Record that a target responds to a request."""
        self._ended_at[request] = float("inf")

    def end(self, request: str) -> None:
        """Record that all of a response has been sent."""
        self._ended_at[request] = now()

    def find(self) -> list[str]:
        """Return the requests whose responses are open or have only just ended."""
        since = now() - _ASKED_S
        return [request for request, at in self._ended_at.items() if at >= since]


def is_upload(environ: Environ) -> bool:
    """Return whether a request may still be on its way while a target responds."""
    return int(environ.get("CONTENT_LENGTH") or 0) > _UPLOAD_BYTES


def pace_early(part: bytes, rng: random.Random) -> Iterator[bytes]:
    """Yield a part of a body, and wait before its connection is reset."""
    yield part
    eventlet.sleep(rng.uniform(0.0, _MAX_EARLY_S))


def send_odd(
    environ: Environ, head: tuple[bytes, bytes], request: str, body: bytes
) -> list[bytes]:
    """Send a response whose head is none.

    Args:
        environ: The request.
        head: Its status line, and one of its header lines.
        request: Id of the request, which it names.
        body: Its body.

    Returns:
        Nothing that the server has to send.
    """
    status, line = head
    sock = environ["wsgi.input"].get_socket()
    fields = b"Id: %s\r\nContent-Length: %d\r\n" % (request.encode(), len(body))
    with contextlib.suppress(OSError):
        sock.sendall(b"%s\r\n%s%s\r\n\r\n%s" % (status, fields, line, body))
    wsgi.WSGI_LOCAL.already_handled = True
    return []
