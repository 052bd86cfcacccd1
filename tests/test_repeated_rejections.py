"""Targets that reject a request, get it again and send the rejection once more."""

import unittest
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.body_memory import UNLIMITED
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import Attempt, NotRunError
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import Dispatch, RequestHead
from tests._paced_engines import (
    Deployment,
    EngineScript,
    PacedEngine,
    SecondStages,
    use_scripted_stages,
)
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_late_responses import ListeningTarget, make_response

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

LIMIT_S = 1.0
SETTLE_S = 0.1
SERVED = (200, "X-Response-Seal: x")
REJECTIONS = [
    ("full", (503, "X-Not-Executed: 1")),
    ("inputs_gone", (409, "X-Not-Executed: 1")),
    ("misdirected", (421,)),
]


class RejectingTarget(ListeningTarget):
    """A target that rejects its first request and runs the later ones.

    It sends the rejection once more ahead of the next response on its connection.

    Args:
        rejection: Status and headers of the rejection.
    """

    def __init__(self, rejection):
        super().__init__()
        self._rejection = make_response(rejection, "r1")
        self.runs = 0
        self.open = 0
        self._has_rejected = False

    def serve(self, sock):
        """Answer the requests on a connection."""
        self.open += 1
        self._answer(sock)
        self.open -= 1

    def _answer(self, sock):
        late = b""
        while sock.recv(65_536):
            if not self._has_rejected:
                self._has_rejected = True
                late = self._rejection
                sock.sendall(late)
                continue
            self.runs += 1
            sock.sendall(late + make_response(SERVED, "r1"))
            late = b""


class RepeatedRequestTest(unittest.TestCase):
    """A request that its target gets a second time."""

    @parameterized.expand(REJECTIONS)
    def test_a_second_copy_of_its_rejection_does_not_count(self, _, rejection):
        """Guards against "not run" for a request that its target runs.

        It keeps no connection more for that: it resets those beyond its limit, and then
        a request that may run once fails.
        """
        target = RejectingTarget(rejection)
        head = RequestHead("r1", b"POST", b"/", "h", "", 9.0)
        head = head._replace(forwarded=((b"host", b"h"),))
        context = mock.Mock(head=head, body=b"", progress=Progress(), memory=UNLIMITED)
        known = Target("i-1", "s", target.address, "a", 4)
        dispatch = Dispatch(known, remaining=9.0, priority=0, team=None)
        state = Health().of(known)
        pool = ConnectionPool()

        def send():
            with Attempt(context, state, pool, PlatformDialect()) as attempt:
                response = attempt.send(dispatch, limit=LIMIT_S)
                attempt.read_body(limit=LIMIT_S, max_bytes=100)
            return response.head.status

        with self.assertRaises(NotRunError):
            send()
        self.assertEqual(send(), 200)
        self.assertEqual(target.runs, 1)
        eventlet.sleep(SETTLE_S)
        self.assertEqual(target.open, 1, "connections that the target has to keep")


class ConflictingEngine(PacedEngine):
    """An engine that misses its inputs at first.

    It sends that rejection once more ahead of the next response on its connection.
    """

    rejected = ()

    def _write(self, sock, run, reader):
        rejection = make_response((409, "X-Not-Executed: 1"), run.request.decode())
        if not self.rejected:
            self.rejected = (sock,)
            self.runs.remove(run)
            run.has_ended = True
            sock.sendall(rejection)
            return
        if sock in self.rejected:
            sock.sendall(rejection)
        super()._write(sock, run, reader)


class RepeatedStreamTest(unittest.TestCase):
    """A stream that may run once, whose engine missed its inputs."""

    def test_it_runs_at_one_engine(self):
        """Guards against streams that run at two engines, or after a 503."""
        stages = use_scripted_stages()
        stages.start()
        self.addCleanup(stages.stop)
        with mock.patch("tests._paced_engines.PacedEngine", ConflictingEngine):
            deployment = Deployment(
                EngineScript(), is_resumable=False, stages=SecondStages(0.1)
            )
        self.addCleanup(deployment.close)
        received = deployment.call()
        self.assertEqual(len(deployment.runs), 1)
        self.assertTrue(received.is_whole, received)


if __name__ == "__main__":
    unittest.main()
