"""Odd values from outside, at each place where the serving daemon reads bytes."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_serving.relay_headers import decode_error, decode_request
from tests.test_platform_dialect import DIALECT

LONG = b"9" * 5_000
REQUEST_ID = (b"x-request-id", b"r1")


class CallerHeadTest(unittest.TestCase):
    """Heads of callers' requests."""

    @parameterized.expand(
        [
            ("superscript", b"\xb2"),
            ("long", LONG),
            ("negative", b"-1"),
            ("sign", b"+5"),
            ("underscore", b"1_000"),
            ("space", b"1 0"),
            ("empty", b""),
        ]
    )
    def test_parts_of_prompts_that_can_not_be_read(self, _, tokens):
        """Guards against requests that fail for a hint that can't be read."""
        value = b"aa:%s,bb:410" % tokens
        head = DIALECT.read_head(b"POST", b"/", [REQUEST_ID, (b"x-prefix-hash", value)])
        self.assertEqual([part.id for part in head.prompt], ["bb"])

    @parameterized.expand(
        [
            (f"{name}_{header.decode()}", header, value)
            for header in (b"x-pieces", b"x-token-usage")
            for name, value in [
                ("superscript", b"\xb2"),
                ("long", LONG),
                ("negative", b"1,-1"),
                ("sign", b"+5"),
                ("underscore", b"1_000"),
            ]
        ]
    )
    def test_numbers_that_can_not_be_read(self, _, header, value):
        """Guards against numbers that fail behind the check of the head."""
        with self.assertRaises(RequestError) as raised:
            DIALECT.read_head(b"POST", b"/", [REQUEST_ID, (header, value)])
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @parameterized.expand(
        [
            (f"{name}_{header.decode()}", header, value)
            for header in (b"x-deadline-ms", b"x-length-hint")
            for name, value in [
                ("superscript", b"\xb2"),
                ("long", LONG),
                ("negative", b"-1"),
                ("empty", b""),
            ]
        ]
    )
    def test_hints_that_can_not_be_read(self, _, header, value):
        """Guards against requests that fail for a number that only helps."""
        head = DIALECT.read_head(b"POST", b"/", [REQUEST_ID, (header, value)])
        self.assertEqual((head.deadline, head.length_hint), (600.0, 0))

    @parameterized.expand(
        [
            ("one_stage", b"1," + b"9" * 15),
            ("one_too_many", b"0,4097"),
            ("many_stages", b",".join([b"900"] * 900)),
        ]
    )
    def test_more_pieces_than_can_be_run(self, _, value):
        """Guards against requests that take the time and memory of the instance."""
        with self.assertRaises(RequestError) as raised:
            DIALECT.read_head(b"POST", b"/", [REQUEST_ID, (b"x-pieces", value)])
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    def test_as_many_pieces_as_can_be_run(self):
        head = DIALECT.read_head(b"POST", b"/", [REQUEST_ID, (b"x-pieces", b"4096")])
        self.assertEqual(head.pieces, (4_096,))


class RelayTest(unittest.TestCase):
    """Headers of requests that peers hand over."""

    HEADERS = {
        b"bergamotsaddle-sender": b"i-2",
        b"bergamotsaddle-elapsed-ms": b"5",
        b"bergamotsaddle-version": b"7",
        b"bergamotsaddle-runs": b"1",
        b"bergamotsaddle-last-event": b"3",
    }

    @parameterized.expand(
        [
            (f"{name}_{header}", header, value)
            for header in ("elapsed-ms", "version", "runs", "last-event")
            for name, value in [
                ("long", LONG),
                ("huge", b"9" * 400),
                ("negative", b"-1"),
                ("sign", b"+5"),
                ("underscore", b"1_000"),
                ("superscript", b"\xb2"),
                ("fraction", b"1.5"),
                ("empty", b""),
            ]
        ]
    )
    def test_numbers_that_no_instance_sends(self, _, header, value):
        """Guards against handed-over requests that fail without a promise."""
        headers = self.HEADERS | {b"bergamotsaddle-" + header.encode(): value}
        with self.assertRaises(RequestError) as raised:
            decode_request(list(headers.items()))
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @parameterized.expand(
        [
            ("nan", b"nan"),
            ("infinite", b"inf"),
            ("negative", b"-1"),
            ("exponent", b"1e300"),
            ("underscore", b"1_0"),
            ("empty", b""),
            ("date", b"Fri, 31 Dec 1999 23:59:59 GMT"),
        ]
    )
    def test_times_of_return_that_no_instance_sends(self, _, value):
        """Guards against a refusal whose time of return no header can carry."""
        headers = [
            (b"bergamotsaddle-kind", b"overloaded"),
            (b"bergamotsaddle-ran", b"no"),
            (b"retry-after", value),
        ]
        error = decode_error(headers)
        found = (error.kind, error.ran)
        self.assertEqual(found, (ErrorKind.TARGET_FAILED, Ran.UNKNOWN))
