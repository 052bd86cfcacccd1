"""Odd values from outside, at each place of the own interface that reads bytes."""

import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from bergamotsaddle_contracts.errors import (
    ErrorKind,
    RequestError,
    TargetError,
)
from bergamotsaddle_contracts.ini import parse_count, parse_duration
from bergamotsaddle_contracts.instances import parse_instances
from bergamotsaddle_contracts.messages import Heartbeat, decode
from bergamotsaddle_daemon.pipelines import parse_pipeline_body
from bergamotsaddle_daemon.streams import TokenStream
from tests._fakes import FakeFleet
from tests._paused import advance

DEEP = b"[" * 2_000 + b"]" * 2_000
DEEP_MSGPACK = b"\x91" * 5_000 + b"\x01"
LONG = "9" * 5_000
PEER = {"id": "a1", "zone": "a", "role": "entry", "peer_address": "10.1.0.1:7000"}
ODD_ROWS = [
    ("number", b"5"),
    ("list", b"[]"),
    ("nothing", b"{}"),
    ("nested", DEEP[:800] + DEEP[-800:]),
    ("null_id", b'{"id":null,"zone":"a","role":"entry"}'),
    ("no_zone", b'{"id":"x","role":"entry"}'),
    *(
        (
            f"address_{name}",
            msgspec.json.encode(PEER | {"id": "x", "peer_address": address}),
        )
        for name, address in [
            ("above", "10.0.0.1:65536"),
            ("negative", "10.0.0.1:-1"),
            ("long", "10.0.0.1:" + LONG),
            ("superscript", "10.0.0.1:\u00b2"),
            ("name", "peer.example:80"),
            ("alone", "10.0.0.1"),
            ("words", "odd"),
        ]
    ),
]


def make_list(version, *rows):
    """Return an instance list whose entries are given as JSON."""
    return b'{"version":%s,"instances":[%s]}' % (version, b",".join(rows))


class InstanceListTest(unittest.TestCase):
    """The platform's list of instances."""

    @parameterized.expand(ODD_ROWS)
    def test_entries_beside_one_that_can_not_be_used(self, _, row):
        """Guards against a list that isn't followed for one of its entries."""
        found = parse_instances(make_list(b"3", row, msgspec.json.encode(PEER)))
        self.assertEqual((found.version, list(found.by_id)), (3, ["a1"]))
        self.assertEqual(len(found.malformed), 1)

    @parameterized.expand(
        [
            ("nested", b'{"version":1,"instances":[],"x":%s}' % DEEP),
            ("nested_entry", make_list(b"1", DEEP)),
            ("no_text", make_list(b"1", b'{"id":"\xff"}')),
            ("huge_version", make_list(b"9" * 20)),
            ("long_version", make_list(LONG.encode())),
            ("negative_version", make_list(b"-1")),
            ("infinite_version", make_list(b"1e999")),
            ("no_list", b'{"version":1,"instances":{}}'),
            ("empty", b""),
        ]
    )
    def test_lists_that_can_not_be_read(self, _, payload):
        """Guards against a watch that ends again and again."""
        with self.assertRaises(ValueError):
            parse_instances(payload)


class FleetTest(unittest.TestCase):
    """Three daemons that follow the platform."""

    def setUp(self):
        self.fleet = FakeFleet()
        self.addCleanup(self.fleet.close)
        self.daemon = self.fleet.daemons["a1"]
        for daemon in self.fleet.daemons.values():
            daemon.logger = mock.Mock()
        self.fleet.start()

    def check_peers(self):
        """Check that all daemons know each other and no loop has ended."""
        for daemon in self.fleet.daemons.values():
            alive = [name for name in daemon.peers.by_id if daemon.peers.is_alive(name)]
            self.assertEqual(len(alive), 2)
            daemon.logger.exception.assert_not_called()

    @parameterized.expand(ODD_ROWS)
    def test_a_list_that_is_written_again_and_again(self, _, row):
        """Guards against daemons that stop following, or end, at such an entry."""
        for _ in range(6):
            rows = self.fleet.publish_list()[:-2]
            self.fleet.instance_list.payload = rows + b"," + row + b"]}"
            advance(0.3)
        advance(1.0)
        versions = [d.views.instances.version for d in self.fleet.daemons.values()]
        self.assertEqual(versions, [self.fleet.list_version] * 3)
        self.assertIn("instance", self.daemon.platform.instances_error)
        self.check_peers()

    @parameterized.expand(
        [
            ("revision", b"[declaration]\nname = x\nrevision = " + b"9" * 400),
            ("long_revision", b"[declaration]\nrevision = " + LONG.encode()),
            ("superscript", "[declaration]\nrevision = \u00b2".encode()),
            ("no_text", b"\xff\xfe[declaration]\xff"),
            ("nul", b"\0"),
            ("no_section", b"revision = 5"),
            ("sections", b"[" * 2_000),
            ("twice", b"[declaration]\nrevision = 5\n[declaration]\nrevision = 6"),
            ("lines", "[declaration]\nrevision = 5\u2028\x85\x0b\x0c6\nodd".encode()),
            (
                "port",
                b"[declaration]\nrevision = 5\n[target x]\naddress = 10.0.0.1:65536",
            ),
            ("empty", b""),
        ]
    )
    def test_a_declaration_that_can_not_be_used(self, _, payload):
        """Guards against daemons that don't follow the declaration behind it."""
        for _ in range(6):
            self.fleet.config.payload = payload
            advance(0.3)
        self.assertEqual(self.fleet.revisions(), [1, 1, 1])
        self.fleet.publish(7)
        advance(1.0)
        self.assertEqual(self.fleet.revisions(), [7, 7, 7])
        self.check_peers()

    @parameterized.expand(
        [
            (
                "nested",
                b'{"target":"orders-a","cold":false,"in_flight":1,"x":%s}' % DEEP,
            ),
            ("no_text", b'{"target":"orders-a\xff","cold":false,"in_flight":1}'),
            *(
                (
                    name,
                    b'{"target":"orders-a","cold":false,"in_flight":%s,"age":%s}'
                    % (count, age),
                )
                for name, count, age in [
                    ("huge", b"9" * 20, b"0"),
                    ("long", LONG.encode(), b"0"),
                    ("negative", b"-1", b"0"),
                    ("text", b'"1"', b"0"),
                    ("infinite", b"1", b"1e999"),
                    ("negative_age", b"1", b"-1e15"),
                    ("age", b"1", b"1e300"),
                    ("nan_age", b"1", b"NaN"),
                ]
            ),
            ("empty", b""),
        ]
    )
    def test_reports_that_no_target_sends(self, _, payload):
        """Guards against reports that no heartbeat can carry to peers."""
        target = self.daemon.targets.by_id["orders-a"]
        known = target.report
        advance(0.01)
        self.daemon.reports._read_load = lambda address: payload
        self.daemon.reports.poll(target)
        self.assertEqual(target.report._replace(age=0), known._replace(age=0))
        advance(3.0)
        self.check_peers()


class MessageTest(unittest.TestCase):
    """Messages of instances, bodies of callers, and events of targets."""

    def test_a_message_that_is_nested_too_deeply(self):
        """Guards against an instance that hears no peers any more."""
        fields = [None] * len(Heartbeat._fields)
        payload = msgspec.msgpack.encode(fields)[:-1] + DEEP_MSGPACK
        with self.assertRaises(ValueError):
            decode(payload, Heartbeat)

    @parameterized.expand(
        [
            ("nested", b'{"x":%s}' % DEEP),
            ("number", b'{"max_tokens":%s}' % LONG.encode()),
            ("no_text", b'{"input":"\xff"}'),
            ("empty", b""),
        ]
    )
    def test_bodies_that_can_not_be_read(self, _, body):
        """Guards against an internal error where the caller's body is wrong."""
        with self.assertRaises(RequestError) as raised:
            parse_pipeline_body(body)
        self.assertIs(raised.exception.kind, ErrorKind.BAD_REQUEST)

    @parameterized.expand(
        [("nested", b'{"x":%s}' % DEEP), ("index", b'{"index":%s}' % LONG.encode())]
    )
    def test_events_that_can_not_be_read(self, _, payload):
        """Guards against an internal error where the target's event is wrong."""
        stream = TokenStream.__new__(TokenStream)
        with self.assertRaises(TargetError):
            stream.apply_event(payload)


class NumberTest(unittest.TestCase):
    """Numbers in declarations and settings of the daemon."""

    @parameterized.expand(
        ["9" * 400 + "h", "1e3s", "-1s", "nans", "\u0665s", "1_0s", "", "s", "2e9h"]
    )
    def test_durations_that_no_one_can_wait_for(self, text):
        """Guards against timers that overflow."""
        with self.assertRaises(ValueError):
            parse_duration(text)

    @parameterized.expand(
        ["0", "-1", "+5", "1_0", "\u00b2", "\u0665", "9" * 400, LONG, "1e3", ""]
    )
    def test_counts_that_no_message_can_carry(self, text):
        """Guards against heartbeats that can't be sent."""
        with self.assertRaises(ValueError):
            parse_count(text)
