"""What a process holds beside a crowd of callers."""

import os
import re
import struct
from pathlib import Path
from typing import NamedTuple

import eventlet
from eventlet.green import socket

from bergamotsaddle_standins.crowd import MISSING_BYTES, Crowd, Manner, make_chunk
from tests._daemon_fleet import KB

SAMPLE_S = 0.05
_RESIDENT = re.compile(r"VmRSS:\s+([0-9]+) kB")
_LISTEN = "0A"
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
    "trailer_line": Manner(_OWN_CHUNKED + make_chunk(1) + b"0\r\n", b"a", LINE_BYTES),
    "trailers": Manner(
        _OWN_CHUNKED + make_chunk(1) + b"0\r\n", b"a: b\r\n", LINE_BYTES
    ),
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
