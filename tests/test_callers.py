"""The HTTP interface for callers: authentication, limits, errors and responses."""

import io
import unittest

import eventlet
from nose2.tools import params
from parameterized import parameterized

from bergamotsaddle_contracts.errors import ERROR_SPECS, ErrorKind
from bergamotsaddle_daemon.calls import Connections, Reply
from tests._cut_heads import (
    CUT_RESPONSES,
    MALFORMED_RESPONSES,
    WHOLE_BY_LENGTH,
    CuttingPeer,
)
from tests._fakes import FakeFleet, run_green
from tests._http import send_request
from tests._odd_heads import ODD_HEADS
from tests._paused import advance

PIPELINE = "[pipeline plan]\nstages = encode, rerank\ndeadline = 2s\n"
OUTPUT = Reply(200, b'{"output": ["x"]}')


class CallerCase(unittest.TestCase):
    """Three daemons over stage targets and services."""

    def setUp(self):
        self.fleet = FakeFleet(("encode", "rerank", "orders", "stock"))
        self.addCleanup(self.fleet.close)
        self.fleet.publish(1, PIPELINE)
        self.fleet.start()
        self.daemon = self.fleet.daemons["a1"]
        for target in self.fleet.targets.values():
            target.handle = lambda call: OUTPUT

    def send(self, path, body=None, *, seconds: float = 5.0, **options):
        result = run_green(lambda: send_request(self.daemon, path, body, **options))
        advance(seconds)
        if result.error:
            raise result.error
        return result.value


class ResponseTest(CallerCase):
    """Responses to callers."""

    def test_complete_pipeline(self):
        response = self.send("/v1/pipelines/plan", {"input": "pens"})
        self.assertEqual(response.status, 200)
        self.assertEqual(response.json["output"], ["x"])

    def test_booking_needs_a_ticket(self):
        response = self.send("/v1/services/orders/book", {"tonnes": 8})
        self.assertEqual((response.status, response.json["ran"]), (428, "no"))
        ticket = self.send("/v1/tickets/orders").json["ticket"]
        response = self.send("/v1/services/orders/book", {"tonnes": 8}, ticket=ticket)
        self.assertEqual(response.status, 200)
        status = self.send(f"/v1/tickets/orders/{ticket}", method="GET")
        self.assertEqual(status.json["state"], "finished")

    @params(
        ("/v1/pipelines/nope", {"input": "x"}, 404),
        ("/v1/services/nope/x", {}, 404),
        ("/v1/tickets/stock", {}, 400),
        ("/v2", {}, 404),
        ("/v1/pipelines/plan", {}, 400),
        ("/v1/pipelines/plan", {"input": "x", "max_tokens": 0}, 400),
    )
    def test_rejections_before_anything_ran(self, path, body, status):
        response = self.send(path, body)
        self.assertEqual((response.status, response.json["ran"]), (status, "no"))
        self.assertTrue(response.json["detail"])

    @params("", "wrong key", "crew key ")
    def test_wrong_key_is_rejected_everywhere(self, key):
        for path in (
            "/v1/pipelines/plan",
            "/v1/services/stock/x",
            "/v1/tickets/orders",
        ):
            self.assertEqual(self.send(path, {"input": "x"}, key=key).status, 401)
        self.assertEqual(self.fleet.calls("stock"), [])

    def test_deadline_is_read_and_checked(self):
        response = self.send("/v1/pipelines/plan", {"input": "x"}, deadline="soon")
        self.assertEqual(response.status, 400)

    def test_not_ready_before_a_declaration(self):
        fresh = self.fleet.add_daemon("b1", "b")
        result = run_green(lambda: send_request(fresh, "/v1/services/stock/x"))
        self.assertEqual((result.value.status, result.value.json["ran"]), (503, "no"))

    def test_every_error_kind_has_a_response(self):
        self.assertEqual(set(ERROR_SPECS), set(ErrorKind))


class LimitTest(CallerCase):
    """Bounds on what callers send."""

    def test_body_too_large(self):
        response = self.send("/v1/services/stock/x", raw=b"x" * 1_000_001)
        self.assertEqual((response.status, response.json["ran"]), (413, "no"))

    def test_body_shorter_than_its_content_length(self):
        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/services/stock/x",
            "CONTENT_LENGTH": "50",
            "wsgi.input": io.BytesIO(b"{}"),
            "HTTP_AUTHORIZATION": "Bearer crew key",
        }
        started = []
        self.daemon.callers(environ, lambda *args: started.extend(args))
        self.assertTrue(started[0].startswith("400"))

    def test_slow_sender(self):
        # A phone on a bad connection sends half of its request and then nothing.
        class Slow:
            def read(self, size):
                eventlet.sleep(60.0)

        environ = {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/v1/services/stock/x",
            "CONTENT_LENGTH": "50",
            "wsgi.input": Slow(),
            "HTTP_AUTHORIZATION": "Bearer crew key",
        }
        started = []
        run_green(lambda: self.daemon.callers(environ, lambda *a: started.extend(a)))
        advance(11.0)
        self.assertTrue(started[0].startswith("408"))
        self.assertEqual(self.daemon.callers.active, 0)

    def test_too_many_at_once(self):
        self.daemon.callers.active = 5_000
        response = self.send("/v1/services/stock/x")
        self.assertEqual((response.status, response.json["kind"]), (429, "overloaded"))
        self.assertIn("Retry-After", response.headers)


class FailedRequestTest(CallerCase):
    """Requests that can't be served."""

    def test_rejected_at_once_when_every_target_has_failed(self):
        # All encoders fail. A caller must not wait until its deadline for the error.
        for target in self.fleet.targets.values():
            target.handle = lambda call: Reply(500, b"")
        for _ in range(10):
            self.send("/v1/pipelines/plan", {"input": "x"}, seconds=0.0)
        result = run_green(
            lambda: send_request(self.daemon, "/v1/pipelines/plan", {"input": "x"})
        )
        self.assertTrue(result.done)
        self.assertIn(result.value.status, (502, 503))
        self.assertIn("Retry-After", result.value.headers)

    def test_ran_yes_once_a_stage_was_sent(self):
        # Encoding ran and reranking failed, so "ran: no" would be false.
        for target in self.fleet.targets.values():
            if target.kind == "rerank":
                target.handle = lambda call: Reply(500, b"")
        for _ in range(12):
            response = self.send("/v1/pipelines/plan", {"input": "x"}, seconds=0.1)
            self.assertNotEqual(
                (response.status, response.json.get("ran")), (200, "no")
            )
            if response.status != 200:
                self.assertEqual(response.json["ran"], "yes")

    def test_infeasible_deadline_is_rejected_before_anything_runs(self):
        for target in self.fleet.targets.values():
            target.seconds = 0.4
        for _ in range(10):
            self.send("/v1/pipelines/plan", {"input": "x"}, seconds=1.0)
        before = len(self.fleet.calls("encode"))
        response = self.send(
            "/v1/pipelines/plan", {"input": "x"}, seconds=0.0, deadline="300ms"
        )
        self.assertEqual(response.json["kind"], "deadline_infeasible")
        self.assertEqual(response.json["ran"], "no")
        self.assertEqual(len(self.fleet.calls("encode")), before)

    def test_response_is_sent_at_the_deadline(self):
        # Every target hangs; the response is sent at the deadline, not at the time
        # limit of a connection.
        for target in self.fleet.targets.values():
            target.seconds = 60.0
        result = run_green(
            lambda: send_request(self.daemon, "/v1/pipelines/plan", {"input": "x"})
        )
        advance(2.2)
        self.assertTrue(result.done)
        self.assertEqual(result.value.json["ran"], "yes")


class StopTest(CallerCase):
    """A planned stop of a daemon."""

    def stop(self):
        self.closed = []
        return run_green(lambda: self.daemon.stop(lambda: self.closed.append(True)))

    def test_ready_probe_fails_before_the_listener_closes(self):
        # The load balancer sends requests until its probe has failed.
        self.stop()
        self.assertEqual(self.send("/ready", method="GET", seconds=0.0).status, 503)
        self.assertEqual(self.closed, [])
        response = self.send("/v1/services/stock/x", seconds=0.1)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["Connection"], "close")
        advance(1.0)
        self.assertEqual(self.closed, [True])

    def test_running_request_is_finished(self):
        for target in self.fleet.targets.values():
            target.seconds = 1.8
        running = run_green(lambda: send_request(self.daemon, "/v1/services/stock/x"))
        stopped = self.stop()
        advance(1.5)
        self.assertFalse(stopped.done)
        advance(1.0)
        self.assertEqual(running.value.status, 200)
        self.assertTrue(stopped.done)

    def test_peers_learn_that_it_is_stopping(self):
        self.stop()
        advance(0.1)
        self.assertTrue(self.fleet.daemons["b1"].peers.by_id["a1"].stopping)
        tickets = self.fleet.daemons["b1"].tickets
        issued = [tickets.issue("crews", "orders")[1] for _ in range(20)]
        self.assertEqual({ticket.witness for ticket in issued}, {"c1"})


class CutResponseTest(CallerCase):
    """Responses of targets that stop inside the head."""

    def serve(self, data):
        """Let every target send some bytes and close; return their peer."""
        peer = CuttingPeer(data)
        self.addCleanup(peer.close)
        connections = Connections()
        for target in self.fleet.targets.values():
            target.handle = lambda call: connections.post_once(
                peer.address, call, lambda: None
            )
        return peer

    def book(self, data):
        """Send an unrepeatable request whose target sends some bytes and closes."""
        peer = self.serve(data)
        ticket = self.send("/v1/tickets/orders").json["ticket"]
        response = self.send("/v1/services/orders/book", {}, ticket=ticket)
        status = self.send(f"/v1/tickets/orders/{ticket}", method="GET")
        return response, status.json["state"], peer.served

    def test_a_whole_response(self):
        response, state, runs = self.book(WHOLE_BY_LENGTH)
        self.assertEqual((response.status, state, runs), (200, "finished", 1))

    def check_unknown(self, data):
        response, state, runs = self.book(data)
        self.assertEqual(response.status, 502, response.body)
        self.assertEqual(response.json["ran"], "unknown")
        self.assertEqual((state, runs), ("unknown", 1))

    @parameterized.expand(CUT_RESPONSES)
    def test_a_cut_response_is_an_unknown_outcome(self, _, data):
        """Guards against a success with a short body that the target never sent."""
        self.check_unknown(data)

    @parameterized.expand([*MALFORMED_RESPONSES, *ODD_HEADS])
    def test_a_malformed_head_is_an_unknown_outcome(self, _, data):
        """Guards against a ticket that stays open behind an error of the parser."""
        self.check_unknown(data)

    @parameterized.expand([("closed", b""), *MALFORMED_RESPONSES, *ODD_HEADS])
    def test_a_stage_whose_targets_send_no_head_fails_at_once(self, _, data):
        """Guards against an attempt that nobody hears of until the deadline."""
        self.serve(data)
        response = self.send("/v1/pipelines/plan", {"input": "pens"}, seconds=1.0)
        self.assertEqual((response.status, response.json["kind"]), (503, "no_target"))
        self.assertEqual(response.json["ran"], "yes")
