"""Tests for connections to targets: broken, late and repeated responses."""

import errno
import socket
import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving import client
from bergamotsaddle_serving.client import (
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.messages import HttpCall
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

SILENCE_S = 2.0
REQUEST = HttpCall(b"GET", b"/", [(b"host", b"t")])
COMPLETE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_SO_LINGER = (1, 13)


class ScriptedTarget:
    """A target that answers each read of a connection with a scripted response.

    Args:
        responses: Bytes to send, one item for each read from the connection.
        then: What follows: "close", "reset" or "keep" the connection open.
        read_size: Most bytes of a read; 1 stands for 65,536.
    """

    def __init__(self, *responses, then="close", read_size=1):
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._responses = responses
        self._then = then
        self._read_size = read_size
        self.accepted = 0
        eventlet.spawn_n(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            self.accepted += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        for response in self._responses:
            if not sock.recv(self._read_size if self._read_size > 1 else 65_536):
                break
            sock.sendall(response)
        if self._then == "reset":
            eventlet.sleep(0.02)
            sock.setsockopt(*_SO_LINGER, _RESET)
        if self._then == "keep":
            eventlet.sleep(1)
        sock.close()


def read_response(target, *, limit=0.3):
    """Send one request and read the complete response."""
    connection = Connection(target.address)
    connection.send(REQUEST, limit=limit)
    head = connection.read_head(limit=limit)
    return head.status, connection.read_body(limit=limit, max_bytes=100)


class PausedBodyTest(unittest.TestCase):
    """A body whose parts arrive with a pause between them."""

    def test_the_parts_before_a_pause_are_kept(self):
        """Guards against a body that lacks what came before its reader gave up."""
        listener = eventlet.listen(("127.0.0.1", 0))

        def serve():
            sock, _ = listener.accept()
            sock.recv(65_536)
            sock.sendall(CHUNKED + b"2\r\nok\r\n")
            eventlet.sleep(0.3)
            sock.sendall(b"1\r\n!\r\n0\r\n\r\n")

        eventlet.spawn_n(serve)
        connection = Connection(Address(*listener.getsockname()))
        connection.send(REQUEST, limit=1.0)
        connection.read_head(limit=1.0)
        with self.assertRaises(ConnectionLostError):
            connection.read_body(limit=0.1, max_bytes=100)
        self.assertEqual(connection.read_body(limit=1.0, max_bytes=100), b"ok!")


class SilenceTest(unittest.TestCase):
    """The kernel's patience with a target that acknowledges nothing."""

    def setUp(self):
        self.socket = Connection(ScriptedTarget(then="keep").address)._socket

    def option(self, name):
        return self.socket.getsockopt(socket.IPPROTO_TCP, name)

    def test_a_silence_of_two_seconds_closes_no_connection(self):
        """Guards against work lost at a target that was silent and goes on.

        The kernel gives up at the first unanswered probe at which nothing has arrived
        for the user timeout.
        """
        idle = self.option(socket.TCP_KEEPIDLE)
        interval = self.option(socket.TCP_KEEPINTVL)
        limit = self.option(socket.TCP_USER_TIMEOUT) / 1_000
        checks = [idle + n * interval for n in range(20)]
        gives_up_at = next(at for at in checks[1:] if at >= limit)
        probes = [at for at in checks if at < gives_up_at]
        for starts_at in (0.0, 0.25, 0.5, 0.75, 0.99):
            ends_at = starts_at + SILENCE_S
            is_answered = any(not starts_at <= at < ends_at for at in probes)
            self.assertTrue(is_answered, f"silent from {starts_at} s")
        self.assertGreater(limit, SILENCE_S)
        self.assertLess(gives_up_at, 5.0, "a dead target is noticed")


class ResponseTest(unittest.TestCase):
    """Parsing of one response."""

    @parameterized.expand(
        [
            ("length", COMPLETE),
            ("open_end", WITHOUT_LENGTH),
            ("chunks", CHUNKED + b"2\r\nok\r\n0\r\n\r\n"),
            ("after_100", b"HTTP/1.1 100 Continue\r\n\r\n" + COMPLETE),
        ]
    )
    def test_complete_responses(self, _, response):
        self.assertEqual(read_response(ScriptedTarget(response)), (200, b"ok"))

    @parameterized.expand(
        [
            ("nothing", b"", "close"),
            ("no_http", b"garbage\r\n\r\n", "close"),
            ("half_a_head", b"HTTP/1.1 200 OK\r\nConte", "close"),
            ("short", COMPLETE[:-1], "close"),
            ("cut_chunk", CHUNKED + b"5\r\nok", "close"),
            ("no_last_chunk", CHUNKED + b"2\r\nok\r\n", "close"),
            ("open_end_reset", WITHOUT_LENGTH, "reset"),
            ("silent", COMPLETE[:-1], "keep"),
            ("too_long", WITHOUT_LENGTH + b"x" * 200, "close"),
        ]
    )
    def test_anything_else_is_a_lost_connection(self, _, response, then):
        """A target closes or resets the connection, falls silent or sends other bytes.

        The bytes received so far must never be relayed as a complete response.
        """
        with self.assertRaises(ConnectionLostError):
            read_response(ScriptedTarget(response, then=then))

    def test_a_reset_after_any_byte_is_a_lost_connection(self):
        """Guards against a reset that is taken for the end of a plain response."""
        for size in range(len(WITHOUT_LENGTH) + 1):
            target = ScriptedTarget(WITHOUT_LENGTH[:size], then="reset")
            with self.assertRaises(ConnectionLostError, msg=size):
                read_response(target)

    @parameterized.expand(
        [
            ("ended", COMPLETE[:-1], "close", "closed"),
            ("ended_before_its_head", b"", "close", "closed"),
            ("other_bytes", b"garbage\r\n\r\n", "keep", "no_http"),
            ("broken_off", WITHOUT_LENGTH, "reset", "reset"),
        ]
    )
    def test_the_reason_distinguishes_a_close_from_other_bytes(
        self, _, response, then, reason
    ):
        with self.assertRaises(ConnectionLostError) as caught:
            read_response(ScriptedTarget(response, then=then))
        self.assertEqual(caught.exception.reason, reason)

    def test_an_early_response_does_not_wait_for_the_body(self):
        """A target rejects a long request before it has read all of it."""
        target = ScriptedTarget(COMPLETE, then="keep", read_size=10)
        connection = Connection(target.address)
        connection.send(REQUEST._replace(body=b"b" * 9_000_000, headers=[
            (b"host", b"t"), (b"content-length", b"9000000")]), limit=1.0)  # fmt: skip
        self.assertEqual(connection.read_head(limit=0.5).status, 200)
        connection.read_body(limit=0.5, max_bytes=10)
        self.assertFalse(connection.prepare_next())
        connection.close()


class PoolTest(unittest.TestCase):
    """Connections that are reused."""

    def acquire_twice(self, target, *, pause=0.02):
        """Send a request, release the connection and acquire one after a pause."""
        pool = ConnectionPool()
        first = pool.acquire(target.address)
        first.send(REQUEST, limit=0.3)
        first.read_head(limit=0.3)
        first.read_body(limit=0.3, max_bytes=100)
        pool.release(first, 5.0)
        eventlet.sleep(pause)
        return first, pool.acquire(target.address)

    def test_a_good_connection_is_reused(self):
        first, second = self.acquire_twice(
            ScriptedTarget(COMPLETE, COMPLETE, then="keep")
        )
        self.assertIs(first, second)

    @parameterized.expand(
        [
            ("closed", ScriptedTarget, (COMPLETE,), "close"),
            ("reset", ScriptedTarget, (COMPLETE,), "reset"),
            ("bytes_behind", ScriptedTarget, (COMPLETE + COMPLETE,), "keep"),
        ]
    )
    def test_a_bad_connection_is_not_reused(self, _, make, responses, then):
        """A target closes an idle connection, or sends a second response on it.

        The next request would find the connection closed and have an unknown outcome,
        or take the stray response for its own.
        """
        first, second = self.acquire_twice(make(*responses, then=then), pause=0.05)
        self.assertIsNot(first, second)

    def test_a_connection_about_to_expire_is_not_reused(self):
        target = ScriptedTarget(COMPLETE, then="keep")
        pool = ConnectionPool()
        connection = pool.acquire(target.address)
        connection.send(REQUEST, limit=0.3)
        connection.read_head(limit=0.3)
        connection.read_body(limit=0.3, max_bytes=100)
        pool.release(connection, 0.5)
        self.assertIsNot(pool.acquire(target.address), connection)

    def test_a_lack_of_descriptors_is_no_connection(self):
        """Guards against an error that nobody handles."""
        error = OSError(errno.EMFILE, "too many")
        with (
            mock.patch.object(client.socket, "socket", side_effect=error),
            self.assertRaises(ConnectionLostError) as raised,
        ):
            Connection(Address("127.0.0.1", 9))
        self.assertTrue(raised.exception.is_unsent)

    def test_a_refused_connection_is_unsent(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        listener.close()
        pool = ConnectionPool()
        refused = []
        pool.on_refused = refused.append
        with self.assertRaises(ConnectionLostError) as raised:
            pool.acquire(address)
        self.assertTrue(raised.exception.is_unsent)
        self.assertEqual(refused, [address])
