"""Targets that send a response once more when the next one is expected."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import (
    Attempt,
    NotRunError,
    OutcomeUnknownError,
)
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import Dispatch, RequestHead
from bergamotsaddle_serving.response_memory import UNLIMITED
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 1.0
REJECTED = (503, "X-Not-Executed: 1", "Retry-After: 9", "Server-Limit: 0.5")
MISDIRECTED = (421, "X-Instance-Id: i-2")
SERVED = (200, "X-Response-Seal: x")


def make_response(answer, request_id=""):
    """Return the bytes of a response without a body."""
    status, *headers = answer
    named = [f"X-Request-Id: {request_id}"] if request_id else []
    lines = [f"HTTP/1.1 {status} X", *headers, *named, "Content-Length: 0", "", ""]
    return "\r\n".join(lines).encode()


class RepeatingTarget:
    """A target that answers each request on a connection with scripted bytes.

    Args:
        responses: What it sends after each request.

    Attributes:
        address: Its address.
        connections: Number of connections that it accepted.
    """

    def __init__(self, *responses):
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self._responses = responses
        self.address = Address(*self._listener.getsockname())
        self.connections = 0
        eventlet.spawn_n(self._run)

    def _run(self):
        while True:
            sock, _ = self._listener.accept()
            self.connections += 1
            eventlet.spawn_n(self._serve, sock)

    def _serve(self, sock):
        for response in self._responses:
            if not sock.recv(65_536):
                return
            sock.sendall(response)


class LateResponseTest(unittest.TestCase):
    """Two requests on one connection."""

    def setUp(self):
        self.said = []
        self.health = Health(
            on_limit=lambda target, limit: self.said.append(limit),
            on_response=lambda target, status, head: self.said.append(status),
        )
        self.pool = ConnectionPool()

    def send(self, target, request_id):
        """Send a request and return the status of its response."""
        head = RequestHead(request_id, b"POST", b"/", "h", "", 9.0)
        head = head._replace(forwarded=((b"host", b"h"),))
        context = mock.Mock(head=head, body=b"", progress=Progress(), memory=UNLIMITED)
        known = Target("i-1", "s", target.address, "a", 4)
        dispatch = Dispatch(known, remaining=9.0, priority=0, team=None)
        with Attempt(
            context, self.health.of(known), self.pool, PlatformDialect()
        ) as attempt:
            response = attempt.send(dispatch, limit=LIMIT_S)
            attempt.read_body(limit=LIMIT_S, max_bytes=100)
        return response.head.status

    def send_two(self, first, *second):
        """Send a request, then another one; return the outcome of the second."""
        target = RepeatingTarget(first, b"".join(second))
        try:
            self.send(target, "r1")
        except NotRunError:
            self.said.clear()
        try:
            return self.send(target, "r2")
        except (NotRunError, OutcomeUnknownError) as error:
            return error
        finally:
            self.assertEqual(target.connections, 1)

    @parameterized.expand(
        [
            (f"{name}_{named}", answer, request_id)
            for name, answer in [
                ("rejection", REJECTED),
                ("misdirected", MISDIRECTED),
                ("success", SERVED),
            ]
            for named, request_id in [("named", "r1"), ("unnamed", "")]
        ]
    )
    def test_a_second_copy_is_not_taken_for_the_next_response(
        self, _, answer, request_id
    ):
        """Guards against bookings that run at a second target, or after a 503."""
        copy = make_response(answer, request_id)
        outcome = self.send_two(
            make_response(answer, "r1"), copy, make_response(SERVED, "r2")
        )
        self.assertIsInstance(outcome, OutcomeUnknownError)
        self.assertEqual(outcome.reason, "crossed")

    def test_what_a_second_copy_says_of_its_target_does_not_count(self):
        """Guards against limits and rests that begin anew with a late response."""
        rejection = make_response(REJECTED, "r1")
        self.send_two(rejection, rejection, make_response(SERVED, "r2"))
        self.assertEqual(self.said, [])

    @parameterized.expand(
        [("rejection", REJECTED), ("misdirected", MISDIRECTED), ("success", SERVED)]
    )
    def test_the_own_response_counts_on_a_used_connection(self, _, answer):
        """Guards against connections that carry one request only."""
        outcome = self.send_two(
            make_response(SERVED, "r1"), make_response(answer, "r2")
        )
        if answer is SERVED:
            self.assertEqual(outcome, 200)
            return
        self.assertIsInstance(outcome, NotRunError)
        self.assertEqual(outcome.status, answer[0])

    def test_a_first_response_without_an_id_counts(self):
        """Guards against rejections of targets that name no request."""
        target = RepeatingTarget(make_response(REJECTED))
        with self.assertRaises(NotRunError):
            self.send(target, "r1")
