"""Responses of a soak's targets that state no length and may break off."""

import contextlib
import random
import socket
import struct
from collections.abc import Callable, Iterable, Sequence
from enum import StrEnum
from typing import Any

from eventlet import wsgi

from bergamotsaddle_standins._web import Environ

_EVENT_END = b"\n\n"
_RESET = struct.pack("ii", 1, 0)


class BreakMode(StrEnum):
    """How a response ends before it is complete."""

    CRASH = "crash"
    """The connection is closed, as the kernel does for a process that has died."""
    RESET = "reset"
    """The connection is reset, possibly after the last byte."""
    STOP = "stop"
    """Nothing more is sent, and the connection stays open."""


End = Callable[[Any], None]
_END_BY_MODE: dict[BreakMode, End] = {}


def _register_end(mode: BreakMode) -> Callable[[End], End]:
    """Return a decorator that registers how a connection ends."""

    def add(function: End) -> End:
        _END_BY_MODE[mode] = function
        return function

    return add


@_register_end(BreakMode.CRASH)
def _close(sock: Any) -> None:
    sock.shutdown(socket.SHUT_RDWR)


@_register_end(BreakMode.RESET)
def _reset(sock: Any) -> None:
    reset(sock)


@_register_end(BreakMode.STOP)
def _stop(sock: Any) -> None:
    sock.recv(1)


def reset(sock: Any) -> None:
    """Close a connection with a reset."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    sock.close()


def pick_cut(parts: Sequence[bytes], mode: BreakMode, rng: random.Random) -> int:
    """Return after how many bytes a response breaks off.

    A target that lives on and closes between two events of a stream can't be told from
    one that has come to its end, so such a close comes elsewhere.

    Args:
        parts: The parts of the body.
        mode: How it breaks off.
        rng: Chooses the place.
    """
    body = b"".join(parts)
    if mode is not BreakMode.CRASH:
        return rng.randint(0, len(body))
    cut = rng.randrange(len(body))
    return cut - 1 if body[:cut].endswith(_EVENT_END) else cut


def send_open_response(
    environ: Environ,
    headers: Iterable[tuple[str, str]],
    parts: Iterable[bytes],
    mode: BreakMode | None,
    cut: int | None,
) -> list[bytes]:
    """Send a response without a length on the connection of a request.

    Args:
        environ: The request.
        headers: Headers of the response.
        parts: Parts of its body.
        mode: How it ends if it breaks off, None if it does not.
        cut: Number of bytes of the body after which it breaks off, None if it ends
            properly.

    Returns:
        Nothing that the server has to send.
    """
    sock = environ["wsgi.input"].get_socket()
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers)
    # The instance may have closed the connection.
    with contextlib.suppress(OSError):
        sock.sendall(f"HTTP/1.1 200 OK\r\n{lines}\r\n".encode())
        _send_parts(sock, parts, cut)
        if cut is not None and mode is not None:
            _END_BY_MODE[mode](sock)
    wsgi.WSGI_LOCAL.already_handled = True
    return []


def _send_parts(sock: Any, parts: Iterable[bytes], cut: int | None) -> None:
    left = cut
    for part in parts:
        if left is None:
            sock.sendall(part)
            continue
        sock.sendall(part[:left])
        left -= len(part[:left])
        if not left:
            return
