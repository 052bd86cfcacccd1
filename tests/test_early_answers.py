"""Responses that come before their request has been read, where they are read."""

import socket
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import Attempt, OutcomeUnknownError
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import (
    BROKEN_CONNECTION_REASONS,
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.decisions.stage_queue import PieceKey, QueuedPiece
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import Dispatch, HttpCall
from bergamotsaddle_serving.stage_calls import StageCalls
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_broken_streams import HEAD, WHOLE

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

# More than the kernel holds of a connection on both sides.
SEND = Connection.send
UPLOAD = b"u" * 16_000_000
LIMIT_S = 2.0
PART = WHOLE[:30]
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
OPEN = HEAD + b"\r\n" + PART
LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % len(PART) + PART
CHUNKS = HEAD + b"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n" % (
    len(PART),
    PART,
)


class HastyTarget:
    """A target that responds once it has read some bytes, then ends the connection.

    Args:
        response: The response.
        ending: How the connection ends: "reset", "close" or, with the rest of the
            request unread, "half-close".

    Attributes:
        address: Its address.
    """

    def __init__(self, response, ending):
        self._response = response
        self._ending = ending
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._thread = eventlet.spawn(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            # Something may be left unread, so that a close sends a reset as well.
            sock.recv(1_000)
            sock.sendall(self._response)
            if self._ending == "half-close":
                sock.shutdown(socket.SHUT_WR)
                eventlet.sleep(LIMIT_S)
            if self._ending == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            sock.close()

    def close(self):
        """Stop listening."""
        self._thread.kill()
        self._listener.close()


class ConnectionTest(unittest.TestCase):
    """A connection whose target responds while the request is still being sent."""

    def start(self, response, ending):
        target = HastyTarget(response, ending)
        self.addCleanup(target.close)
        return target.address

    def send(self, response, ending):
        """Send an upload; return the connection once its sender has met the end."""
        connection = Connection(self.start(response, ending))
        self.addCleanup(connection.close)
        headers = [(b"host", b"t"), (b"content-length", b"%d" % len(UPLOAD))]
        call = HttpCall(b"POST", b"/", headers, UPLOAD)
        connection.send(call, limit=LIMIT_S)
        eventlet.sleep(0.05)
        return connection

    @parameterized.expand([("reset",), ("close",)])
    def test_a_part_in_front_of_a_reset_that_the_sender_meets(self, ending):
        """Guards against a part of a body that counts as all of it."""
        connection = self.send(OPEN, ending)
        connection.read_head(limit=LIMIT_S)
        with self.assertRaises(ConnectionLostError) as raised:
            connection.read_body(limit=LIMIT_S, max_bytes=1_000)
        self.assertIn(raised.exception.reason, BROKEN_CONNECTION_REASONS)

    def test_a_proper_end_behind_a_request_that_was_not_sent_in_time(self):
        """Guards against a whole response that a slow sender makes a part."""
        connection = Connection(self.start(OPEN, "half-close"))
        self.addCleanup(connection.close)
        headers = [(b"host", b"t"), (b"content-length", b"%d" % len(UPLOAD))]
        connection.send(HttpCall(b"POST", b"/", headers, UPLOAD), limit=0.1)
        eventlet.sleep(0.3)
        connection.read_head(limit=LIMIT_S)
        body = connection.read_body(limit=LIMIT_S, max_bytes=1_000)
        self.assertEqual(bytes(body), PART)

    @parameterized.expand([("length", LENGTH), ("chunks", CHUNKS)])
    def test_a_body_that_is_whole_by_its_framing(self, _, response):
        connection = self.send(response, "reset")
        connection.read_head(limit=LIMIT_S)
        body = connection.read_body(limit=LIMIT_S, max_bytes=1_000)
        self.assertEqual(bytes(body), PART)
        self.assertFalse(connection.prepare_next())


def send_and_pause(connection, call, *, limit):
    """Send a call, and go on once its sender has met the end of the connection."""
    size = SEND(connection, call, limit=limit)
    eventlet.sleep(0.05)
    return size


@mock.patch.object(Connection, "send", send_and_pause)
class PlaceTest(unittest.TestCase):
    """What reads responses: plain requests, streams and stage calls."""

    def start(self, response):
        """Return the entry of a target that resets its connections."""
        target = HastyTarget(response, "reset")
        self.addCleanup(target.close)
        return Target("t1", "s", target.address, "a", 4)

    def send(self, attempt, target):
        """Send an upload to a target; return the response."""
        return attempt.send(Dispatch(target, LIMIT_S), limit=LIMIT_S)

    def make_attempt(self, target):
        """Return an attempt at a target with an upload."""
        fields = [(b"host", b"h"), (b"x-request-id", b"r1")]
        head = PlatformDialect.read_head(b"POST", b"/", fields)
        route = Route("r", "h", "/", Kind.ONCE, 9.0, 2.0, 2, 0, (Share("s", 1.0),))
        times = (now(), now() + LIMIT_S)
        context = Context(
            head, UPLOAD, route, Service("s", 10), None, *times, 1, 0, Progress()
        )
        state = Health().of(target)
        return Attempt(context, state, ConnectionPool(), PlatformDialect())

    def test_a_plain_response(self):
        """Guards against a part of a plain body that counts as all of it."""
        target = self.start(OPEN)
        with self.make_attempt(target) as attempt:
            self.send(attempt, target)
            with self.assertRaises(OutcomeUnknownError):
                attempt.read_body(limit=LIMIT_S, max_bytes=1_000)

    def test_a_stream(self):
        """Guards against a part of a stream that counts as all of it."""
        target = self.start(OPEN)
        with self.make_attempt(target) as attempt:
            self.send(attempt, target)
            self.assertEqual(attempt.read_some(limit=LIMIT_S), PART)
            with self.assertRaises(OutcomeUnknownError):
                attempt.read_some(limit=LIMIT_S)

    def test_a_stage_call(self):
        """Guards against results of a call that broke off."""
        results = b'{"items": [{"handle": "10.0.0.1:80/a"}]}'
        target = self.start(b"HTTP/1.1 200 OK\r\n\r\n" + results)
        calls = StageCalls(
            mock.Mock(may_get_work=lambda target: True),
            ConnectionPool(),
            PlatformDialect(),
            mock.Mock(),
            mock.Mock(reserve=lambda *_: True),
            notices=mock.Mock(may_send=lambda target: True),
        )
        key = PieceKey("r1", 0, 0, 0)
        piece = QueuedPiece(key, 0, False, 9.0, now() + 9.0, 1, "x" * len(UPLOAD), ())
        with self.assertRaises(ConnectionLostError):
            calls.run(target, [piece], LIMIT_S)
