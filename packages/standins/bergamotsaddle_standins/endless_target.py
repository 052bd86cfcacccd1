"""Targets whose responses never end or are very long, sent as fast as possible.

``python -m bergamotsaddle_standins.endless_target`` listens on loopback once for each
kind of response, prints the ports as JSON, and sends until its peers close. It uses
native threads, so that its speed does not depend on a hub. The response to
``GET /open`` is the number of connections that are being sent to.
"""

import contextlib
import json
import re
import socket
import sys
import threading
from typing import NamedTuple

_HOST = "127.0.0.1"
_BACKLOG = 512
_READ_BYTES = 65_536
_SEND_BYTES = 131_072
_HEAD_END = b"\r\n\r\n"
_LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]+)", re.IGNORECASE)
_ID = re.compile(rb"\r\nid: *([^\r]+)", re.IGNORECASE)
_STATUS_PATH = b"GET /open "
_OK = b"HTTP/1.1 200 OK\r\nId: %(id)s\r\n"
_CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
_EVENT = b"id: 0\ndata: x\n\n"


class Endless(NamedTuple):
    """A response without end.

    Attributes:
        opening: Its first bytes, in which ``%(id)s`` stands for the id of the request.
        repeated: What follows, again and again.
        size: Bytes of that after which it does end, None if it does not.
        ending: What follows then.
    """

    opening: bytes
    repeated: bytes
    size: int | None = None
    ending: bytes = b""


# Size of bodies that are long, but end.
LONG_BYTES = 16_777_216
_LONG = _OK + b"Content-Length: %d\r\n\r\n" % LONG_BYTES
ENDLESS_BY_KIND: dict[str, Endless] = {
    "interim": Endless(b"", b"HTTP/1.1 102 Processing\r\n\r\n"),
    "long_interim": Endless(b"", b"HTTP/1.1 102 P\r\nX: %s\r\n\r\n" % (b"x" * 4_000)),
    "head_line": Endless(_OK + b"X: ", b"x" * 64),
    "head_lines": Endless(_OK, b"X: x\r\n"),
    "status_line": Endless(b"HTTP/1.1 200 ", b"x" * 64),
    "no_http": Endless(b"", b"x" * 64),
    "open_body": Endless(_OK + b"\r\n", b"x" * 64),
    "length": Endless(_OK + b"Content-Length: 100000000000\r\n\r\n", b"x" * 64),
    "chunks": Endless(_OK + _CHUNKED, b"40\r\n%s\r\n" % (b"x" * 64)),
    "small_chunks": Endless(_OK + _CHUNKED, b"1\r\nx\r\n"),
    "one_chunk": Endless(_OK + _CHUNKED + b"fffffffff\r\n", b"x" * 64),
    "chunk_line": Endless(_OK + _CHUNKED, b"0" * 64),
    "chunk_extension": Endless(_OK + _CHUNKED + b"1;a=", b"x" * 64),
    "chunk_extensions": Endless(_OK + _CHUNKED, b"1;a=%s\r\nx\r\n" % (b"x" * 2_000)),
    "trailer": Endless(_OK + _CHUNKED + b"0\r\nX: ", b"x" * 64),
    "trailers": Endless(_OK + _CHUNKED + b"0\r\n", b"X: x\r\n"),
    "events": Endless(_OK + _CHUNKED, b"f\r\n%s\r\n" % _EVENT),
    "after_event": Endless(_OK + b"\r\n" + _EVENT, b"data: x"),
    "refusal": Endless(
        b"HTTP/1.1 503 Full\r\nNot-Run: 1\r\nId: %(id)s\r\n\r\n", b"x" * 64
    ),
    "failure": Endless(b"HTTP/1.1 500 Broken\r\nId: %(id)s\r\n\r\n", b"x" * 64),
    "long": Endless(_LONG, b"x" * 64, LONG_BYTES),
    "long_cut": Endless(_LONG, b"x" * 64, LONG_BYTES // 2),
    "long_chunk": Endless(
        _OK + _CHUNKED + b"%x\r\n" % LONG_BYTES,
        b"x" * 64,
        LONG_BYTES,
        b"\r\n0\r\n\r\n",
    ),
    "behind_end": Endless(
        _OK + b'Content-Length: 6\r\n\r\n"done"', b"HTTP/1.1 200 OK\r\n\r\n"
    ),
}


class EndlessTarget:
    """Listens on loopback and sends one kind of response.

    Args:
        endless: The response.

    Attributes:
        port: Its port.
    """

    def __init__(self, endless: Endless) -> None:
        self._endless = endless
        self._lock = threading.Lock()
        self._open = 0
        self._listener = socket.create_server((_HOST, 0), backlog=_BACKLOG)
        self.port = self._listener.getsockname()[1]

    def start(self) -> None:
        """Accept connections in the background."""
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self) -> None:
        while True:
            sock, _ = self._listener.accept()
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        # The peer closes at any point.
        with sock, contextlib.suppress(OSError):
            request = _read_request(sock)
            if request.startswith(_STATUS_PATH):
                body = b"%d" % self._open
                sock.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body)
                return
            if not request:
                return
            self._count(1)
            try:
                self._send(sock, request)
            finally:
                self._count(-1)

    def _send(self, sock: socket.socket, request: bytes) -> None:
        found = _ID.search(request)
        request_id = found.group(1) if found else b""
        sock.sendall(self._endless.opening.replace(b"%(id)s", request_id))
        repeated = self._endless.repeated
        block = repeated * (_SEND_BYTES // len(repeated) + 1)
        left = self._endless.size
        while left is None:
            sock.sendall(block)
        while left > 0:
            sock.sendall(block[:left])
            left -= len(block)
        sock.sendall(self._endless.ending)

    def _count(self, change: int) -> None:
        with self._lock:
            self._open += change


def _read_request(sock: socket.socket) -> bytes:
    """Read a request; return no bytes if the peer closed before its end."""
    data = b""
    while _HEAD_END not in data:
        received = sock.recv(_READ_BYTES)
        if not received:
            return b""
        data += received
    head, _, body = data.partition(_HEAD_END)
    found = _LENGTH.search(head)
    missing = int(found.group(1)) - len(body) if found else 0
    while missing > 0:
        received = sock.recv(_READ_BYTES)
        if not received:
            return b""
        missing -= len(received)
    return data


def main() -> None:
    """Print the ports by kind, then serve until standard input ends."""
    port_by_kind = {}
    for kind, endless in ENDLESS_BY_KIND.items():
        target = EndlessTarget(endless)
        target.start()
        port_by_kind[kind] = target.port
    print(json.dumps(port_by_kind), flush=True)
    sys.stdin.read()


if __name__ == "__main__":
    main()
