"""Callers that do not behave, and what a process holds beside them."""

import contextlib
import os
import re
import struct
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import eventlet
from eventlet.green import socket

from tests._daemon_fleet import KB

CONNECT_S = 1.0
AGAIN_S = 0.05
SAMPLE_S = 0.05
BLOCK_BYTES = 65_536
BODY_BYTES = 4_194_304
# What most callers leave out of the end of a body.
MISSING_BYTES = 16
HEADER_LINES = 3_000
AHEAD = 3_000
_RESIDENT = re.compile(r"VmRSS:\s+([0-9]+) kB")
_LISTEN = "0A"
_HEAD = b"POST /look/x HTTP/1.1\r\nHost: soak\r\nId: x\r\nKey: key-0\r\n"
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_SLOW = b"POST /talk/x HTTP/1.1\r\nHost: soak\r\nId: s\r\nKey: key-0\r\n"
_NEXT = b"POST /book/x HTTP/1.1\r\nHost: soak\r\nId: n\r\nKey: key-0\r\n"


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


def _chunk(size, extension=b""):
    return b"%x%b\r\n%b\r\n" % (size, extension, b"x" * size)


def _length(size, *headers):
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
    "chunks_of_64": Manner(_CHUNKED, _chunk(64), BODY_BYTES // 64 - 1),
    "chunks_of_4": Manner(_CHUNKED, _chunk(4), BODY_BYTES // 4 - 1),
    "chunks_of_1": Manner(_CHUNKED, _chunk(1), BODY_BYTES - 1),
    "chunk_extensions": Manner(
        _CHUNKED, _chunk(64, b";" + b"e" * 60), BODY_BYTES // 64 - 1
    ),
    "chunk_line": Manner(_CHUNKED + b"1;", b"e", BODY_BYTES),
    "trailers": Manner(_CHUNKED + _chunk(1) + b"0\r\n", b"a: b\r\n", BODY_BYTES),
    "length": Manner(_length(BODY_BYTES), b"x", BODY_BYTES - MISSING_BYTES),
    "length_above": Manner(_length(BODY_BYTES + 1), b"x", BODY_BYTES),
    "expect": Manner(_length(BODY_BYTES, b"Expect: 100-continue")),
    "header_lines": Manner(
        _HEAD, b"a:b\r\n", HEADER_LINES, b"Content-Length: 2\r\n\r\nx"
    ),
    # A message between instances states its length in its first four bytes.
    "frame": Manner(BODY_BYTES.to_bytes(4, "big"), b"x", BODY_BYTES - MISSING_BYTES),
    "ahead": Manner(
        _SLOW + b"Content-Length: 0\r\n\r\n",
        _NEXT + b"Content-Length: 0\r\n\r\n",
        AHEAD,
    ),
}
_OWN_HEAD = (
    b"POST /v1/services/stock/look HTTP/1.1\r\nHost: h\r\n"
    b"Authorization: Bearer key-of-skippers\r\n"
)
_OWN_CHUNKED = _OWN_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
OWN_BODY_BYTES = 1_000_000
# Much more than a daemon may hold.
LINE_BYTES = 20_000_000
OWN_MANNERS = {
    "silent": Manner(b""),
    "one_chunk": Manner(
        _OWN_CHUNKED + b"%x\r\n" % OWN_BODY_BYTES, b"x", OWN_BODY_BYTES - MISSING_BYTES
    ),
    "length": Manner(
        _OWN_HEAD + b"Content-Length: %d\r\n\r\n" % OWN_BODY_BYTES,
        b"x",
        OWN_BODY_BYTES - MISSING_BYTES,
    ),
    "chunk_line": Manner(_OWN_CHUNKED + b"1;", b"e", LINE_BYTES),
    "trailer_line": Manner(_OWN_CHUNKED + _chunk(1) + b"0\r\n", b"a", LINE_BYTES),
    "trailers": Manner(_OWN_CHUNKED + _chunk(1) + b"0\r\n", b"a: b\r\n", LINE_BYTES),
}


class Usage(NamedTuple):
    """The most that a process has held.

    Attributes:
        memory: Resident bytes, with those that the kernel holds unread for it.
        descriptors: Open descriptors.
    """

    memory: int
    descriptors: int


class UsageMeter:
    """Samples what a process holds.

    Args:
        pid: Id of the process.
        addresses: Its listening addresses, whose connections are looked through for
            unread bytes.
    """

    def __init__(self, pid, addresses):
        self._pid = pid
        self._local = {_encode_address(*address) for address in addresses}
        self.most = Usage(0, 0)

    def sample(self):
        """Record what the process holds now."""
        descriptors = len(os.listdir(f"/proc/{self._pid}/fd"))
        memory = self._resident() + self._unread()
        self.most = Usage(
            max(self.most.memory, memory), max(self.most.descriptors, descriptors)
        )

    def _resident(self):
        text = Path(f"/proc/{self._pid}/status").read_text()
        return int(_RESIDENT.search(text)[1]) * KB

    def _unread(self):
        unread = 0
        for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
            _, local, _, state, queues, *_ = line.split()
            if local in self._local and state != _LISTEN:
                unread += int(queues.partition(":")[2], 16)
        return unread


def _encode_address(host, port):
    """Return an address as the kernel's table of connections has it."""
    (number,) = struct.unpack("=I", socket.inet_aton(host))
    return f"{number:08X}:{port:04X}"


class Crowd:
    """Callers that send in one manner, stay open, and connect again when closed.

    Args:
        address: Host and port of the process.
        manner: What each of them sends.
        callers: Number of callers.
    """

    def __init__(self, address, manner, callers):
        self._address = address
        self._manner = manner
        self._threads = [eventlet.spawn(self._call) for _ in range(callers)]

    def _call(self):
        while True:
            with contextlib.suppress(OSError):
                self._call_once()
            eventlet.sleep(AGAIN_S)

    def _call_once(self):
        with socket.create_connection(self._address, timeout=CONNECT_S) as sock:
            sock.settimeout(None)
            reader = eventlet.spawn(_read_all, sock)
            try:
                for block in self._manner.blocks():
                    sock.sendall(block)
                reader.wait()
            finally:
                reader.kill()

    def leave(self):
        """Close all connections."""
        for thread in self._threads:
            thread.kill()


def _read_all(sock):
    """Read until the other end closes."""
    with contextlib.suppress(OSError):
        while sock.recv(BLOCK_BYTES):
            continue


def play(meter, address, manner, *, callers, seconds):
    """Let a crowd call a process for some time, and sample what the process holds."""
    crowd = Crowd(address, manner, callers)
    try:
        for _ in range(round(seconds / SAMPLE_S)):
            eventlet.sleep(SAMPLE_S)
            meter.sample()
    finally:
        crowd.leave()
    return meter.most
