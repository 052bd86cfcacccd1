"""Requests that may run once and are aborted at any step of an instance."""

import re
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.attempt import NOT_RUN_STATUSES
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.caller import CallerConnection
from bergamotsaddle_serving.catalog import (
    CallerLimits,
    Kind,
    Route,
    Service,
    Share,
    Target,
)
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.handler import Handler
from bergamotsaddle_serving.handover import Handover
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.peer_messages import Contact
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.relay_headers import decode_request
from bergamotsaddle_serving.selector import Candidate
from bergamotsaddle_serving.settings import BoundSettings
from tests._paced_engines import (
    Deployment,
    EngineScript,
    SecondStages,
    use_scripted_stages,
)
from tests._paused import use_paused_clock, use_skipping_clock
from tests.test_late_responses import ListeningTarget, make_response
from tests.test_repeated_rejections import ConflictingEngine

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock

HOST = "127.0.0.1"
REQUEST = b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 0\r\n\r\n"
REJECTED = (503, "X-Not-Executed: 1")
SERVED = (200, "X-Response-Seal: x")
ROUTE = Route("r", "h", "/", Kind.ONCE, 9.0, 1.0, 3, 0, (Share("s", 1.0),))
BOUNDS = BoundSettings(grace=5.0, retry_ratio=1.0, retry_window=10.0, retry_extra=60)
LIMIT_S = 2.0
# Rounds of green threads that a request takes, and a few more.
STEPS = 60
SETTLE_S = 0.5


class WorkingTarget(ListeningTarget):
    """A target that rejects requests or runs them, which takes a few rounds.

    It goes on with a request whose connection is closed.

    Args:
        rejects: Whether it rejects them.

    Attributes:
        runs: Number of requests that it has begun to run.
    """

    def __init__(self, *, rejects):
        super().__init__()
        self._rejects = rejects
        self.runs = 0

    def serve(self, sock):
        """Answer the requests on a connection."""
        while sock.recv(65_536):
            self.runs += not self._rejects
            for _ in range(3):
                eventlet.sleep(0)
            sock.sendall(make_response(REJECTED if self._rejects else SERVED, "r1"))


def make_plain_server(targets):
    """Return a server that sends requests to some targets in turn."""
    health = Health()
    known = [Target(f"t{n}", "s", t.address, "a", 4) for n, t in enumerate(targets)]

    def pick(service, exclude):
        found = [t for t in known if t.id not in exclude]
        return Candidate(found[0], health.of(found[0]), False, 0) if found else None

    selector = mock.Mock(pick=pick, may_send=lambda _: True, reserve=lambda *_: True)
    selector.permit_wait.return_value = None
    budget = RetryBudget(BOUNDS, lambda: 1)
    suspects = mock.Mock(is_suspect=lambda _: False, is_quarantined=lambda _: False)
    return PlainServer(
        selector,
        ConnectionPool(),
        budget,
        PlatformDialect(),
        mock.Mock(),
        crashes=mock.MagicMock(
            suspects=suspects, has_ended_with_target=lambda target, request: False
        ),
    )


def make_handler(plain, handover=None):
    """Return the handler of an instance."""
    mocks = [mock.MagicMock() for _ in range(7)]
    mocks[1] = plain
    mocks[4] = PlatformDialect()
    suspects = mock.Mock(is_quarantined=lambda _: False)
    handler = Handler(*mocks, suspects=suspects, handover=handover)
    handler._view.configuration.version = 1
    handler._make_context = make_context
    return handler


def make_context(head, raw):
    """Return the context of a request that may run once."""
    sender = decode_request(raw.headers).sender if raw.is_from_peer else ""
    times = (now(), now() + LIMIT_S)
    service = Service("s", 10)
    return Context(
        head,
        raw.body,
        ROUTE,
        service,
        None,
        *times,
        1,
        0,
        Progress(),
        headers=raw.headers,
        sender=sender,
    )


def listen(handler, *, is_peer=False):
    """Serve connections to an instance, and return its port."""
    listener = eventlet.listen((HOST, 0))

    def run():
        while True:
            sock, _ = listener.accept()
            caller = CallerConnection(
                sock, CallerLimits, lambda: False, is_peer=is_peer
            )
            eventlet.spawn_n(handler.run, caller)

    eventlet.spawn_n(run)
    return listener.getsockname()[1]


def make_instances(targets):
    """Return an instance that reaches no target, and its helper."""
    helper = make_handler(make_plain_server(targets))
    port = listen(helper, is_peer=True)
    contact = Contact("h", "a", HOST)
    peers = mock.Mock(own=Contact("me", "a", HOST), region=lambda zone: zone)
    peers.reaching.return_value = [SimpleNamespace(contact=contact, cores=1.0)]
    peers.incarnation_of.side_effect = lambda peer_id: "1"
    reach = mock.Mock(is_lost=lambda service: True)
    reach.seconds_to_probe.return_value = 0.5
    handover = Handover(reach, peers, port, mock.Mock(), budget=mock.Mock())
    return make_handler(None, handover), helper


class AbortTest(unittest.TestCase):
    """A request that is aborted after some rounds of the green threads."""

    def check_all(self, call, expected):
        """Check what a caller gets for each round in which its request is aborted.

        Args:
            call: Called with the number of rounds; returns the status that the caller
                gets and how often the request has run in the end.
            expected: Statuses that occur at least.
        """
        found = Counter()
        for step in range(STEPS):
            status, runs = call(step)
            found[status] += 1
            self.assertLessEqual(runs, 1, f"aborted after {step} rounds")
            if status in NOT_RUN_STATUSES:
                self.assertEqual(runs, 0, f"{status} after {step} rounds")
        self.assertLessEqual(expected, set(found), found)

    def send(self, handler, aborted, step, *, pause=0.0):
        """Send a request and return the status of its response, 0 without one."""
        with eventlet.Timeout(LIMIT_S * 2):
            client = eventlet.connect((HOST, listen(handler)))
            client.sendall(REQUEST)
            eventlet.spawn_n(abort, aborted, step, pause)
            response = client.recv(65_536)
            client.close()
        eventlet.sleep(SETTLE_S)
        found = re.match(rb"HTTP/1.1 (\d+)", response)
        return int(found.group(1)) if found else 0

    @parameterized.expand(
        [
            ("runs_it", (False,), {200, 502, 503}),
            ("rejects_it_and_another_one_runs_it", (True, False), {200, 502, 503}),
            ("rejects_it", (True,), {502, 503}),
        ]
    )
    def test_its_target(self, _, rejects, expected):
        """Guards against "not run" for what runs, and against two runs."""

        def call(step):
            targets = [WorkingTarget(rejects=r) for r in rejects]
            handler = make_handler(make_plain_server(targets))
            status = self.send(handler, handler, step)
            return status, sum(target.runs for target in targets)

        self.check_all(call, expected)

    @parameterized.expand(
        [
            (f"{who}_{name}", who, rejects, expected)
            for who in ("sender", "helper")
            for name, rejects, expected in [
                ("whose_target_runs_it", (False,), {200, 502}),
                ("whose_second_target_runs_it", (True, False), {200, 502}),
            ]
        ]
    )
    def test_by_its(self, _, who, rejects, expected):
        """Guards against promises of an instance for what its helper has sent."""

        def call(step):
            targets = [WorkingTarget(rejects=r) for r in rejects]
            sender, helper = make_instances(targets)
            status = self.send(sender, sender if who == "sender" else helper, step)
            return status, sum(target.runs for target in targets)

        self.check_all(call, expected)

    @parameterized.expand([("rounds", 0.0, {502, 503}), ("time", 0.005, {200, 502})])
    def test_a_stream_whose_engine_missed_its_inputs(self, _, pause, expected):
        """Guards against promises for streams whose stages run again."""
        stages = use_scripted_stages()
        stages.start()
        self.addCleanup(stages.stop)

        def call(step):
            with mock.patch("tests._paced_engines.PacedEngine", ConflictingEngine):
                deployment = Deployment(
                    EngineScript(first_delay=0.1),
                    EngineScript(first_delay=0.1),
                    is_resumable=False,
                    stages=SecondStages(0.1),
                )
            handler = make_handler(None)
            handler._streams = deployment.server
            handler._make_context = deployment._make_context
            status = self.send(handler, handler, step, pause=pause)
            deployment.close()
            return status, len(deployment.runs)

        self.check_all(call, expected)


def abort(handler, step, pause):
    """Abort all requests of an instance after some pauses."""
    for _ in range(step):
        eventlet.sleep(pause)
    handler.abort_all()


if __name__ == "__main__":
    unittest.main()
