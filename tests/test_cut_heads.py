"""Responses on the own interface whose sender stops before their end."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.errors import TargetError
from bergamotsaddle_daemon.calls import Call, Connections
from bergamotsaddle_daemon.clock import now
from tests._cut_heads import (
    BODY,
    CUT_RESPONSES,
    ENDINGS,
    MALFORMED_RESPONSES,
    WHOLE_RESPONSES,
    CuttingPeer,
)
from tests._paused import use_paused_clock, use_skipping_clock

setUpModule = use_skipping_clock
tearDownModule = use_paused_clock


def rows(*places):
    """Return a row for each place, each way to stop and each end of a connection."""
    return [
        (f"{place}_{name}_{ending}", place, data, ending)
        for place in places
        for name, data in CUT_RESPONSES
        for ending in ENDINGS
    ]


def whole_rows(*places):
    """Return a row for each place and each whole response."""
    return [
        (f"{place}_{name}", place, data)
        for place in places
        for name, data in WHOLE_RESPONSES
    ]


def make_call():
    """Return a call whose response names request r1 and stage encode.1."""
    return Call("r1", "encode.1", "/v1/x", b"{}", now() + 2.0, 0.5, 5, {})


def no_guard():
    """Allow every call."""


class _CutTest(unittest.TestCase):
    def serve(self, data, ending="close"):
        """Return the address of a peer that sends some bytes."""
        self.peer = CuttingPeer(data, ending)
        self.addCleanup(self.peer.close)
        return self.peer.address


class CallTest(_CutTest):
    """Calls to targets."""

    def call(self, method, address):
        response = getattr(Connections(), method)(address, make_call(), no_guard)
        if method != "open_stream":
            return response.body
        return b"".join(iter(lambda: response.read_available(1.0), b""))

    @parameterized.expand(whole_rows("post", "post_once", "open_stream"))
    def test_a_whole_response(self, _, method, data):
        self.assertEqual(self.call(method, self.serve(data)), BODY)

    @parameterized.expand(rows("post", "post_once", "open_stream"))
    def test_a_cut_response_is_no_success(self, _, method, data, ending):
        """Guards against a short body that callers get as the whole response."""
        address = self.serve(data, ending)
        with self.assertRaises(TargetError) as caught:
            self.call(method, address)
        self.assertTrue(caught.exception.sent)
        self.assertEqual(self.peer.served, 1)

    @parameterized.expand(
        [
            (f"{method}_{name}", method, data)
            for method in ("post", "post_once", "open_stream")
            for name, data in MALFORMED_RESPONSES
        ]
    )
    def test_a_malformed_head_is_a_failure_of_the_target(self, _, method, data):
        """Guards against an error that ends the attempt without its bookkeeping."""
        address = self.serve(data)
        with self.assertRaises(TargetError) as caught:
            self.call(method, address)
        self.assertTrue(caught.exception.sent)
