"""Responses of a soak's targets that come once more, ahead of the next ones."""

import contextlib
import random
from collections.abc import Iterable, Iterator, Sequence
from typing import Any
from weakref import WeakKeyDictionary

from bergamotsaddle_standins._web import App, Environ
from bergamotsaddle_standins.soak_dialect import ENGINE

_REJECTED_FRACTION = 0.4
# Most streams of a topic go to one engine, and few may be repeated.
_REJECTED_STREAMS = 0.15
_REPEATED_REJECTIONS = 0.9
_REPEATED_OTHERS = 0.1
_OK = "200 OK"
_FULL = "503 Service Unavailable"
_MISSING_INPUTS = "409 Conflict"
_STATUSES_BY_SERVICE = {ENGINE: (_FULL, _MISSING_INPUTS)}

Headers = Sequence[tuple[str, str]]


def pick_rejection(service: str, rng: random.Random) -> str | None:
    """Return the status with which a target rejects a request, None if it runs it.

    Args:
        service: Service of the target.
        rng: Makes the choice.
    """
    fraction = _REJECTED_STREAMS if service == ENGINE else _REJECTED_FRACTION
    if rng.random() >= fraction:
        return None
    return rng.choice(_STATUSES_BY_SERVICE.get(service, (_FULL,)))


class LateCopies:
    """Second copies of the last responses on connections of a target.

    Args:
        rng: Chooses which responses come once more.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._copy_by_socket: WeakKeyDictionary[Any, bytes] = WeakKeyDictionary()

    def send(self, environ: Environ) -> bool:
        """Send the copy that is due on the connection of a request.

        Returns:
            Whether there was one.
        """
        sock = environ["wsgi.input"].get_socket()
        copy = self._copy_by_socket.pop(sock, b"")
        # The instance may have closed the connection.
        with contextlib.suppress(OSError):
            sock.sendall(copy)
        return bool(copy)

    def respond(self, environ: Environ, start_response, work: App) -> Iterable[bytes]:
        """Respond to a request, and keep a copy of some responses.

        Args:
            environ: The request.
            start_response: Starts the response.
            work: Makes the response.
        """
        started: list[tuple[str, Headers]] = []

        def start(status: str, headers: Headers):
            started.append((status, headers))
            return start_response(status, headers)

        parts = work(environ, start)
        if not started:
            return parts
        status, headers = started[0]
        fraction = _REPEATED_OTHERS if status == _OK else _REPEATED_REJECTIONS
        if self._rng.random() >= fraction:
            return parts
        sock = environ["wsgi.input"].get_socket()
        return self._keep(sock, status, headers, parts)

    def _keep(
        self, sock: Any, status: str, headers: Headers, parts: Iterable[bytes]
    ) -> Iterator[bytes]:
        """Yield the parts of a response, and keep a copy of the whole."""
        body = b""
        for part in parts:
            body += part
            yield part
        kept = [(name, value) for name, value in headers if name != "Content-Length"]
        lines = [*kept, ("Content-Length", str(len(body)))]
        head = "".join(f"{name}: {value}\r\n" for name, value in lines)
        copy = f"HTTP/1.1 {status}\r\n{head}\r\n".encode() + body
        self._copy_by_socket[sock] = copy
