"""Crowds of callers that send in odd manners and stay open."""

import contextlib
from collections.abc import Iterator
from typing import NamedTuple

import eventlet
from eventlet.green import socket

CONNECT_S = 1.0
AGAIN_S = 0.05
BLOCK_BYTES = 65_536
BODY_BYTES = 4_194_304
# What most callers leave out of the end of a body.
MISSING_BYTES = 16
HEADER_LINES = 3_000
AHEAD = 3_000
_HEAD = b"POST /look/x HTTP/1.1\r\nHost: soak\r\nId: x\r\nKey: key-0\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What a complete request has besides, which the targets look for.
_WHOLE = b"Deadline-Ms: 6000\r\nSent-At: 0\r\nParts: \r\nContent-Length: 0\r\n\r\n"
_SLOW = b"POST /talk/x HTTP/1.1\r\nHost: soak\r\nId: s\r\nKey: key-0\r\n" + _WHOLE
_NEXT = b"POST /look/x HTTP/1.1\r\nHost: soak\r\nId: n\r\nKey: key-0\r\n" + _WHOLE


class Manner(NamedTuple):
    """What each caller of a crowd sends before it stays open.

    Attributes:
        opening: The first bytes.
        unit: What follows again and again.
        times: How often it follows.
        ending: The last bytes.
    """

    opening: bytes
    unit: bytes = b""
    times: int = 0
    ending: bytes = b""

    def blocks(self) -> Iterator[bytes]:
        """Yield the bytes in blocks."""
        yield self.opening
        if self.unit:
            per_block = max(1, BLOCK_BYTES // len(self.unit))
            block = self.unit * per_block
            for _ in range(self.times // per_block):
                yield block
            yield self.unit * (self.times % per_block)
        yield self.ending


def make_chunk(size: int, extension: bytes = b"") -> bytes:
    """Return a chunk of a body."""
    return b"%x%b\r\n%b\r\n" % (size, extension, b"x" * size)


def _length(size: int, *headers: bytes) -> bytes:
    lines = b"".join(header + b"\r\n" for header in headers)
    return _HEAD + lines + b"Content-Length: %d\r\n\r\n" % size


MANNERS = {
    "silent": Manner(b""),
    "one_byte": Manner(b"P"),
    "half_a_head": Manner(_HEAD + b"X: " + b"x" * 16_000),
    "one_chunk": Manner(
        _CHUNKED + b"%x\r\n" % BODY_BYTES, b"x", BODY_BYTES - MISSING_BYTES
    ),
    "part_of_a_chunk": Manner(_CHUNKED + b"8000\r\n", b"x", 32_000),
    "chunks_of_64": Manner(_CHUNKED, make_chunk(64), BODY_BYTES // 64 - 1),
    "chunks_of_4": Manner(_CHUNKED, make_chunk(4), BODY_BYTES // 4 - 1),
    "chunks_of_1": Manner(_CHUNKED, make_chunk(1), BODY_BYTES - 1),
    "chunk_extensions": Manner(
        _CHUNKED, make_chunk(64, b";" + b"e" * 60), BODY_BYTES // 64 - 1
    ),
    "chunk_line": Manner(_CHUNKED + b"1;", b"e", BODY_BYTES),
    "trailers": Manner(_CHUNKED + make_chunk(1) + b"0\r\n", b"a: b\r\n", BODY_BYTES),
    "length": Manner(_length(BODY_BYTES), b"x", BODY_BYTES - MISSING_BYTES),
    "length_above": Manner(_length(BODY_BYTES + 1), b"x", BODY_BYTES),
    "expect": Manner(_length(BODY_BYTES, b"Expect: 100-continue")),
    "header_lines": Manner(
        _HEAD, b"a:b\r\n", HEADER_LINES, b"Content-Length: 2\r\n\r\nx"
    ),
    # A message between instances states its length in its first four bytes.
    "frame": Manner(BODY_BYTES.to_bytes(4, "big"), b"x", BODY_BYTES - MISSING_BYTES),
    "ahead": Manner(_SLOW, _NEXT, AHEAD),
}


class Crowd:
    """Callers that send in one manner, stay open, and connect again when closed.

    Args:
        address: Host and port of the process.
        manner: What each of them sends.
        callers: Number of callers.
    """

    def __init__(self, address: tuple[str, int], manner: Manner, callers: int) -> None:
        self._address = address
        self._manner = manner
        self._threads = [eventlet.spawn(self._call) for _ in range(callers)]

    def _call(self) -> None:
        while True:
            with contextlib.suppress(OSError):
                self._call_once()
            eventlet.sleep(AGAIN_S)

    def _call_once(self) -> None:
        with socket.create_connection(self._address, timeout=CONNECT_S) as sock:
            sock.settimeout(None)
            reader = eventlet.spawn(_read_all, sock)
            try:
                for block in self._manner.blocks():
                    sock.sendall(block)
                reader.wait()
            finally:
                reader.kill()

    def leave(self) -> None:
        """Close all connections."""
        for thread in self._threads:
            thread.kill()


def _read_all(sock: socket.socket) -> None:
    """Read until the other end closes."""
    with contextlib.suppress(OSError):
        while sock.recv(BLOCK_BYTES):
            continue
