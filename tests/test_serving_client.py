"""The targets' edge: answers that are no answers, late, cut or doubled."""

import unittest

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.client import (
    Connection,
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.messages import HttpCall
from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

REQUEST = HttpCall(b"GET", b"/", [(b"host", b"t")])
WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
OPEN = b"HTTP/1.1 200 OK\r\n\r\nok"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"
_SO_LINGER = (1, 13)


class Script:
    """A target that reads a little and then does what its script says."""

    def __init__(self, *answers, then="close", first=1):
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self._answers = answers
        self._then = then
        self._first = first
        self.accepted = 0
        eventlet.spawn_n(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            self.accepted += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        for answer in self._answers:
            if not sock.recv(self._first if self._first > 1 else 65_536):
                break
            sock.sendall(answer)
        if self._then == "reset":
            eventlet.sleep(0.02)
            sock.setsockopt(*_SO_LINGER, _RESET)
        if self._then == "keep":
            eventlet.sleep(1)
        sock.close()


def read(script, *, limit=0.3):
    """Ask once and read the whole answer."""
    connection = Connection(script.address)
    connection.send(REQUEST, limit=limit)
    head = connection.read_head(limit=limit)
    return head.status, connection.read_body(limit=limit, max_bytes=100)


class AnswerTest(unittest.TestCase):
    """One answer as bytes."""

    @parameterized.expand(
        [
            ("length", WHOLE),
            ("open_end", OPEN),
            ("chunks", CHUNKED + b"2\r\nok\r\n0\r\n\r\n"),
            ("after_100", b"HTTP/1.1 100 Continue\r\n\r\n" + WHOLE),
        ]
    )
    def test_whole_answers(self, _, answer):
        self.assertEqual(read(Script(answer)), (200, b"ok"))

    @parameterized.expand(
        [
            ("nothing", b"", "close"),
            ("no_http", b"garbage\r\n\r\n", "close"),
            ("half_a_head", b"HTTP/1.1 200 OK\r\nConte", "close"),
            ("short", WHOLE[:-1], "close"),
            ("cut_chunk", CHUNKED + b"5\r\nok", "close"),
            ("no_last_chunk", CHUNKED + b"2\r\nok\r\n", "close"),
            ("open_end_reset", OPEN, "reset"),
            ("silent", WHOLE[:-1], "keep"),
            ("too_long", OPEN + b"x" * 200, "close"),
        ]
    )
    def test_anything_else_is_no_answer(self, _, answer, then):
        """A target breaks off, is reset, falls silent or sends other bytes.

        What came so far must never be passed on as the whole answer.
        """
        with self.assertRaises(ConnectionLostError):
            read(Script(answer, then=then))

    @parameterized.expand(
        [
            ("ended", WHOLE[:-1], "close", "closed"),
            ("ended_before_its_head", b"", "close", "closed"),
            ("other_bytes", b"garbage\r\n\r\n", "keep", "no_http"),
            ("broken_off", OPEN, "reset", "reset"),
        ]
    )
    def test_the_reason_tells_an_end_from_other_bytes(self, _, answer, then, reason):
        with self.assertRaises(ConnectionLostError) as caught:
            read(Script(answer, then=then))
        self.assertEqual(caught.exception.reason, reason)

    def test_an_early_answer_does_not_wait_for_the_body(self):
        """A target refuses a long request before it has read it."""
        script = Script(WHOLE, then="keep", first=10)
        connection = Connection(script.address)
        connection.send(REQUEST._replace(body=b"b" * 9_000_000, headers=[
            (b"host", b"t"), (b"content-length", b"9000000")]), limit=1.0)  # fmt: skip
        self.assertEqual(connection.read_head(limit=0.5).status, 200)
        connection.read_body(limit=0.5, max_bytes=10)
        self.assertFalse(connection.prepare_next())
        connection.close()


class PoolTest(unittest.TestCase):
    """Connections that are used again."""

    def take_twice(self, script, *, pause=0.02):
        """Ask once, give the connection back, take one again after a pause."""
        pool = ConnectionPool()
        first = pool.acquire(script.address)
        first.send(REQUEST, limit=0.3)
        first.read_head(limit=0.3)
        first.read_body(limit=0.3, max_bytes=100)
        pool.release(first, 5.0)
        eventlet.sleep(pause)
        return first, pool.acquire(script.address)

    def test_a_good_one_is_used_again(self):
        first, second = self.take_twice(Script(WHOLE, WHOLE, then="keep"))
        self.assertIs(first, second)

    @parameterized.expand(
        [
            ("closed", Script, (WHOLE,), "close"),
            ("reset", Script, (WHOLE,), "reset"),
            ("bytes_behind", Script, (WHOLE + WHOLE,), "keep"),
        ]
    )
    def test_a_bad_one_is_not(self, _, make, answers, then):
        """A target closes an idle connection, or sends a second answer on it.

        The next request would meet the close with an unknown outcome, or take the
        stray answer for its own.
        """
        first, second = self.take_twice(make(*answers, then=then), pause=0.05)
        self.assertIsNot(first, second)

    def test_one_that_is_about_to_end_is_not(self):
        script = Script(WHOLE, then="keep")
        pool = ConnectionPool()
        connection = pool.acquire(script.address)
        connection.send(REQUEST, limit=0.3)
        connection.read_head(limit=0.3)
        connection.read_body(limit=0.3, max_bytes=100)
        pool.release(connection, 0.5)
        self.assertIsNot(pool.acquire(script.address), connection)

    def test_nobody_there(self):
        listener = eventlet.listen(("127.0.0.1", 0))
        address = Address(*listener.getsockname())
        listener.close()
        with self.assertRaises(ConnectionLostError) as raised:
            ConnectionPool().acquire(address)
        self.assertTrue(raised.exception.is_unsent)
