"""Plain services: when a request is given up at a silent target."""

import unittest
from types import SimpleNamespace
from unittest import mock

import eventlet
from parameterized import parameterized

from bergamotsaddle_contracts.errors import RequestError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Kind, Route, Service, Share, Target
from bergamotsaddle_serving.client import ConnectionLostError, RawResponseHead
from bergamotsaddle_serving.context import Context, Progress
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.messages import RequestHead, ResponseHead
from bergamotsaddle_serving.plain import PlainServer
from bergamotsaddle_serving.selector import Candidate
from tests._paused import advance, use_paused_clock

SILENT_S = 1.0
DEADLINE_S = 2.0
ROUTE = Route("r", "h", "/", Kind.IDEMPOTENT, 9.0, 0.2, 2, 0, (Share("s", 1.0),))


class SilentConnection:
    """A connection to a target that responds after a while.

    Args:
        head_at: When the head arrives, on the hub's clock.
        body_at: When the body arrives.
    """

    def __init__(self, head_at, body_at):
        self._head_at = head_at
        self._body_at = body_at

    def send(self, call, *, limit):
        """Accept a request."""
        return 0

    def read_head(self, *, limit):
        """Return the head once it has arrived."""
        self._wait(self._head_at, limit)
        return RawResponseHead(200, [])

    def read_body(self, *, limit, max_bytes):
        """Return the body once it has arrived."""
        self._wait(self._body_at, limit)
        return b"done"

    def close(self):
        """Close the connection."""

    def _wait(self, until, limit):
        pause = max(0.0, until - now())
        eventlet.sleep(min(pause, limit))
        if pause > limit:
            raise ConnectionLostError("silent")


class SilentTargetTest(unittest.TestCase):
    """Targets of which the first one is silent for a second, then goes on."""

    def setUp(self):
        use_paused_clock()

    def serve(self, targets, silent):
        """Serve a request; return the response or the error."""
        health = Health()
        candidates = [
            Candidate(target, health.of(target), False, 0)
            for target in [
                Target(f"t{n}", "s", Address("10.0.0.1", n), "a", 4)
                for n in range(targets)
            ]
        ]

        def pick(service, exclude):
            found = [c for c in candidates if c.target.id not in exclude]
            return found[0] if found else None

        def acquire(address, *, limit):
            self.used.append(address.port)
            silence = SILENT_S if address.port == 0 else 0.0
            head_at = now() + (silence if silent == "head" else 0.0)
            return SilentConnection(head_at, now() + silence)

        self.used = []
        selector = mock.Mock(pick=pick)
        selector.permit_wait.return_value = None
        head = ResponseHead("", True, False, None, None, False)
        server = PlainServer(
            selector,
            SimpleNamespace(acquire=acquire, release=mock.Mock()),
            mock.Mock(remaining=lambda service: 9.0),
            mock.Mock(read_response=lambda headers: head, forward=mock.MagicMock()),
            mock.Mock(),
            crashes=mock.MagicMock(
                has_ended_with_target=lambda target: False,
                suspects=mock.Mock(
                    is_suspect=lambda fingerprint: False,
                    is_quarantined=lambda fingerprint: False,
                ),
            ),
        )
        context = Context(
            RequestHead("r1", b"GET", b"/", "h", "", 9.0),
            b"",
            ROUTE,
            Service("s", 10),
            None,
            now(),
            now() + DEADLINE_S,
            1,
            0,
            Progress(),
        )
        results = []

        def run():
            try:
                results.append(server.serve(context).status)
            except RequestError as error:
                results.append(error.kind)

        eventlet.spawn_n(run)
        advance(DEADLINE_S)
        return results

    @parameterized.expand([("head",), ("body",)])
    def test_the_only_target_is_waited_for(self, silent):
        """Guards against work that is lost though no other target could do it."""
        self.assertEqual(self.serve(1, silent), [200])
        self.assertEqual(self.used, [0])

    @parameterized.expand([("head",), ("body",)])
    def test_another_target_is_tried_early(self, silent):
        self.assertEqual(self.serve(2, silent), [200])
        self.assertEqual(self.used, [0, 1])
