"""Odd heads of callers, peers and targets at real connections."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import (
    CallerLimits,
    Configuration,
    Kind,
    Route,
    Service,
    Share,
)
from bergamotsaddle_serving.client import Connection, ConnectionLostError
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.messages import HttpCall
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_late_responses import RepeatingTarget

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 5.0
PLAIN = Route("r", "h", "/", Kind.IDEMPOTENT, 2.0, 1.0, 2, 0, (Share("s", 1.0),))
CONFIGURATION = Configuration(7, [PLAIN], [Service("s", 9)], [], CallerLimits())
ODD_VALUES = {
    "empty": b"",
    "superscript": b"\xb2",
    "letters": "\u20ac\u0665".encode(),
    "long": b"9" * 5_000,
    "digits": b"9" * 15,
    "many_digits": b"9" * 400,
    "negative": b"-1",
    "sign": b"+5",
    "underscore": b"1_000",
    "nan": b"nan",
    "infinite": b"inf",
    "fraction": b"1.5",
    "commas": b",,,;:",
    "pair": b"a:\xb2,b:" + b"9" * 5_000,
    "brackets": b"[" * 2_000,
}
HEADERS = [
    b"x-request-id",
    b"x-deadline-ms",
    b"x-token-usage",
    b"x-prefix-hash",
    b"x-pieces",
    b"x-piece-key",
    b"x-length-hint",
    b"x-model",
    b"last-event-id",
    b"resumes",
    b"authorization",
    b"host",
    b"connection",
    b"keep-alive",
    b"content-length",
    b"transfer-encoding",
    b"expect",
]
TARGET_HEADERS = [
    b"content-length",
    b"transfer-encoding",
    b"connection",
    b"keep-alive",
    b"retry-after",
    b"x-server-load",
    b"server-limit",
    b"server-brittle",
    b"server-leaving",
    b"x-cold-ms",
    b"x-instance-id",
    b"x-weight-versions",
    b"content-encoding",
    b"x-request-id",
]
# A response whose end isn't known is no response.
FRAMING_HEADERS = {b"content-length", b"transfer-encoding"}
RELAYED = {
    b"bergamotsaddle-sender": b"i-2",
    b"bergamotsaddle-elapsed-ms": b"5",
    b"bergamotsaddle-version": b"7",
    b"bergamotsaddle-runs": b"0",
}
# Statuses that say what is wrong, beside success.
TRUTHFUL = {200, 400, 404, 408, 413, 417, 431, 501, 503, 504}


class OddRequestsTest(unittest.TestCase):
    """A handler before a server that answers each request with 200."""

    def ask(self, headers, *, is_peer=False):
        """Return the statuses of a request and of a sound one after it."""
        mocks = [mock.MagicMock() for _ in range(7)]
        mocks[0].configuration = CONFIGURATION
        mocks[1].serve = lambda context: mock.Mock(
            send_to=lambda caller: caller.respond(200, [], b"done")
        )
        mocks[4] = PlatformDialect()
        suspects = mock.Mock(is_quarantined=lambda _: False)
        handler = Handler(*mocks, suspects=suspects)
        self.logger = mocks[6]
        listener = eventlet.listen(("127.0.0.1", 0))
        self.addCleanup(listener.close)

        def run():
            while True:
                sock, _ = listener.accept()
                caller = CallerConnection(
                    sock, CallerLimits, lambda: False, is_peer=is_peer
                )
                eventlet.spawn_n(handler.run, caller)

        server = eventlet.spawn(run)
        self.addCleanup(server.kill)
        address = listener.getsockname()
        return [self.send(address, headers), self.send(address, headers, is_odd=False)]

    def send(self, address, headers, *, is_odd=True):
        """Send one request and return the status of its response, 0 without one."""
        own = {b"host": b"h", b"x-request-id": b"r1"}
        own |= headers if is_odd else {n: v for n, v in headers.items() if n in RELAYED}
        if not is_odd:
            own |= {name: RELAYED[name] for name in own if name in RELAYED}
        lines = [b"%s: %s\r\n" % line for line in own.items()]
        with eventlet.Timeout(LIMIT_S, False):
            client = eventlet.connect(address)
            self.addCleanup(client.close)
            client.sendall(b"GET /p HTTP/1.1\r\n" + b"".join(lines) + b"\r\n")
            line = client.recv(65_536).split(b" ", 2)
            return int(line[1]) if len(line) > 1 else 0
        return 0

    @parameterized.expand(
        [
            (f"{header.decode()}_{name}", header, value)
            for header in HEADERS
            for name, value in ODD_VALUES.items()
            # The rest of the body is awaited.
            if (header, name) != (b"content-length", "digits")
        ]
    )
    def test_odd_headers_of_callers(self, _, header, value):
        """Guards against answers that blame the system for what a caller sends."""
        status, after = self.ask({header: value})
        self.assertIn(status, TRUTHFUL)
        self.assertEqual(after, 200)
        self.logger.exception.assert_not_called()

    @parameterized.expand(
        [
            (f"{header.decode()}_{name}", header, value)
            for header in RELAYED
            for name, value in ODD_VALUES.items()
        ]
    )
    def test_odd_headers_of_peers(self, _, header, value):
        """Guards against answers that blame the system for what a peer sends."""
        status, after = self.ask(RELAYED | {header: value}, is_peer=True)
        self.assertIn(status, TRUTHFUL)
        self.assertEqual(after, 200)
        self.logger.exception.assert_not_called()


class OddResponsesTest(unittest.TestCase):
    """A connection to a target that sends one odd header or status line."""

    def exchange(self, response):
        """Return the status that a response is read as, None if it is lost."""
        connection = Connection(RepeatingTarget(response).address)
        self.addCleanup(connection.close)
        call = HttpCall(b"GET", b"/", [(b"host", b"h")])
        try:
            head, _ = connection.exchange(call, limit=LIMIT_S, max_bytes=1_000)
        except ConnectionLostError:
            return None
        PlatformDialect().read_response(head.headers)
        connection.prepare_next()
        return head.status

    @parameterized.expand(
        [
            (f"{header.decode()}_{name}", header, value)
            for header in TARGET_HEADERS
            for name, value in ODD_VALUES.items()
        ]
    )
    def test_odd_headers_of_targets(self, _, header, value):
        """Guards against errors that end more than the one response."""
        lines = {b"content-length": b"2", b"x-request-id": b"r1"} | {header: value}
        head = b"".join(b"%s: %s\r\n" % line for line in lines.items())
        status = self.exchange(b"HTTP/1.1 200 OK\r\n" + head + b"\r\nok")
        may_be_lost = header in FRAMING_HEADERS
        self.assertIn(status, {200, None} if may_be_lost else {200})

    @parameterized.expand(sorted(ODD_VALUES.items()))
    def test_odd_status_lines(self, _, value):
        """Guards against errors that end more than the one response."""
        head = b"HTTP/1.1 %s OK\r\ncontent-length: 0\r\n\r\n" % value
        self.assertIsNone(self.exchange(head))
