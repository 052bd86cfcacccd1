"""Targets whose late response breaks off inside its head, ahead of the next one."""

import unittest
from unittest import mock

from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import UNLIMITED
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import Attempt, NotRunError, OutcomeUnknownError
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import Dispatch, RequestHead
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_late_responses import RepeatingTarget, make_response

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 1.0
SERVED = (200, "X-Response-Seal: x")
FAILED = (500, "X-Response-Seal: x")
REJECTED = (503, "X-Not-Executed: 1", "Retry-After: 0.5")


def make_named_last(answer, request_id):
    """Return the bytes of a response whose last header names the request."""
    status, *headers = answer
    lines = [f"HTTP/1.1 {status} X", *headers, "Content-Length: 0"]
    return "\r\n".join([*lines, f"X-Request-Id: {request_id}", "", ""]).encode()


class JoinedHeadTest(unittest.TestCase):
    """The head of a response behind a part of the one before."""

    def setUp(self):
        self.health = Health()
        self.pool = ConnectionPool()

    def send(self, target, request_id):
        """Send a request and return the status of its response, or its error."""
        head = RequestHead(request_id, b"POST", b"/", "h", "", 9.0)
        head = head._replace(forwarded=((b"host", b"h"),))
        context = mock.Mock(head=head, body=b"", progress=Progress(), memory=UNLIMITED)
        known = Target("i-1", "s", target.address, "a", 4)
        dispatch = Dispatch(known, remaining=9.0, priority=0, team=None)
        state = self.health.of(known)
        try:
            with Attempt(context, state, self.pool, PlatformDialect()) as attempt:
                response = attempt.send(dispatch, limit=LIMIT_S)
                attempt.read_body(limit=LIMIT_S, max_bytes=100)
        except (NotRunError, OutcomeUnknownError) as error:
            return error
        return response.head.status

    @parameterized.expand(
        [
            (f"{name}_{order}_before_{status}", make(late, "r1"), (status, *headers))
            for name, late in [
                ("rejection", REJECTED),
                ("misdirected", (421, "X-Instance-Id: i-2")),
                ("success", SERVED),
                ("failure", FAILED),
            ]
            for order, make in [
                ("id_first", make_response),
                ("id_last", make_named_last),
            ]
            for status, *headers in [SERVED, FAILED]
        ]
    )
    def test_a_part_of_a_late_head_says_nothing(self, _, late, response):
        """Guards against "not run", or another status, for a request that ran."""
        misread = []
        for size in range(1, len(late)):
            target = RepeatingTarget(
                make_response(REJECTED, "r1"),
                late[:size] + make_response(response, "r2"),
            )
            self.assertIsInstance(self.send(target, "r1"), NotRunError)
            outcome = self.send(target, "r2")
            self.assertEqual(target.connections, 1)
            if not isinstance(outcome, OutcomeUnknownError):
                misread.append((late[:size][-24:], outcome))
        self.assertEqual(misread, [])


if __name__ == "__main__":
    unittest.main()
