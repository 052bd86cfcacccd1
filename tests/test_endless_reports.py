"""Targets that are asked for a report behind an unframed response and never end it."""

import socket
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.target_life import TargetLife
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

HOST = "127.0.0.1"
# The time that a target has for its report.
LIMIT_S = 1.5
MARGIN_S = 0.1
# What the target may send, with the buffers of its connections.
MAX_BYTES = 16_000_000
SEND_BUFFER_BYTES = 65_536
OK = b"HTTP/1.1 200 OK\r\n"
OPEN = OK + b"\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"
LONG = OK + b"Content-Length: 1000000000\r\n\r\n"
SHORT = OK + b"Content-Length: 60000\r\n\r\n"
MISSING = b"HTTP/1.1 404 Not Found\r\n\r\n"
INTERIM = b"HTTP/1.1 103 Early Hints\r\n\r\n"
PART = b"x" * 4_000
# What begins the report, and what follows without end.
FAST = {
    "interim_responses": (b"", INTERIM),
    "long_interim_responses": (b"", INTERIM[:-2] + b"a: %s\r\n\r\n" % PART),
    "a_status_line": (OK[:-2], PART),
    "head_lines": (OK, b"a: b\r\n"),
    "a_head_line": (OK + b"a: ", PART),
    "no_http": (b"", PART),
    "a_body": (OPEN, PART),
    "a_body_of_a_failure": (MISSING, PART),
    "a_long_length": (LONG, PART),
    "chunks": (CHUNKED, b"%x\r\n%s\r\n" % (len(PART), PART)),
    "small_chunks": (CHUNKED, b"1\r\nx\r\n"),
    "a_chunk": (CHUNKED + b"7fffffff\r\n", PART),
    "a_chunk_line": (CHUNKED + b"1;", PART),
    "trailers": (CHUNKED + b"0\r\n", b"a: b\r\n"),
}
# The same with a pause ahead of each part.
SLOW = {
    "interim_responses": (b"", INTERIM),
    "a_head": (OK, b"a: b\r\n"),
    "a_body": (OPEN, b"x"),
    "a_stated_body": (SHORT, b"x"),
    "chunks": (CHUNKED, b"1\r\nx\r\n"),
}
PAUSES_S = (0.05, 0.4, 1.4)


class EndlessReports:
    """A target whose reports have no end.

    Args:
        first: The bytes that begin a report.
        part: The bytes that follow again and again.
        pause: Seconds ahead of the beginning and of each part.

    Attributes:
        address: Its address.
        sent: Bytes that it has sent.
        is_open: Whether any connection to it is open.
    """

    def __init__(self, first, part, *, pause=0.0):
        self._first = first
        self._part = part
        self._pause = pause
        self.sent = 0
        self._open = 0
        self._listener = eventlet.listen((HOST, 0))
        self.address = Address(*self._listener.getsockname())
        self._acceptor = eventlet.spawn(self._accept)

    @property
    def is_open(self):
        return self._open > 0

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            self._open += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        try:
            sock.recv(65_536)
            self._send(sock, self._first)
            while self.sent < 2 * MAX_BYTES:
                self._send(sock, self._part)
        except OSError:
            # The instance has closed the connection.
            return
        finally:
            self._open -= 1
            sock.close()

    def _send(self, sock, data):
        eventlet.sleep(self._pause)
        sock.sendall(data)
        self.sent += len(data)

    def close(self):
        """End the target."""
        self._acceptor.kill()
        self._listener.close()


class EndlessReportTest(unittest.TestCase):
    """A target that is asked whether it has outlived its unframed response."""

    def ask(self, target):
        """Ask the target, and check that its response counts as a part."""
        self.addCleanup(target.close)
        life = TargetLife(ConnectionPool(), PlatformDialect(), mock.Mock(), mock.Mock())
        entry = Target("t", "s", target.address, "a", 4, started_ms=1_000)
        started_at = now()
        self.assertFalse(life.has_outlived(entry, "r"))
        self.assertLess(now() - started_at, LIMIT_S + MARGIN_S)
        eventlet.sleep(2 * max(PAUSES_S))
        self.assertFalse(target.is_open)
        self.assertLess(target.sent, MAX_BYTES)

    @parameterized.expand(FAST)
    def test_one_that_sends_without_end(self, kind):
        """Guards against a report that fills the memory of the instance."""
        self.ask(EndlessReports(*FAST[kind]))

    @parameterized.expand(
        [(f"{kind}_{pause}", kind, pause) for kind in SLOW for pause in PAUSES_S]
    )
    def test_one_that_sends_slowly(self, _, kind, pause):
        """Guards against callers that leave while the instance reads a report."""
        self.ask(EndlessReports(*SLOW[kind], pause=pause))
