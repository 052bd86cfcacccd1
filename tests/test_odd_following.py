"""Instances that follow the store while another writer leaves odd entries there."""

import unittest
from unittest import mock

import msgspec
from parameterized import parameterized

from bergamotsaddle_contracts.decoding import decode_msgpack
from bergamotsaddle_serving.view_exchange import ViewRequest, ViewResponse
from tests import test_view_follower
from tests._paused import advance, use_paused_clock
from tests.test_odd_input import DEEP_LIST, LONG
from tests.test_platform_dialect import CONFIG, DIALECT, make_entry
from tests.test_view_follower import BEFORE_ALL, KEY, FleetSimulation

setUpModule = use_paused_clock

# How often the other writer writes, and how often in all.
WRITE_S = 0.3
WRITES = 12
# The platform's tightest bound on a change.
BOUND_S = 2.0
SIZE = 3


class OddDialect(test_view_follower.FakeDialect):
    """The dialect of the simulation, with entries as the platform's."""

    decode = staticmethod(DIALECT.decode)
    target_id = staticmethod(DIALECT.target_id)


class FollowingTest(unittest.TestCase):
    """Three instances and one odd entry, which is written each 0.3 s."""

    def setUp(self):
        patch = mock.patch.object(test_view_follower, "FakeDialect", OddDialect)
        patch.start()
        self.addCleanup(patch.stop)
        self.simulation = FleetSimulation(SIZE)
        self.addCleanup(self.simulation.close)

    def write_version(self, version):
        """Write a version of the configuration."""
        value = msgspec.json.encode(CONFIG | {"version": version})
        self.simulation.store.write(KEY, value)

    def check_frames(self):
        """Check that each instance can pass on all that it knows."""
        for instance in self.simulation.instances.values():
            response = instance.exchange._make_response(ViewRequest(BEFORE_ALL))
            frame = msgspec.msgpack.encode(response)
            self.assertEqual(decode_msgpack(frame, ViewResponse), response)

    @parameterized.expand(
        [
            ("nested", "servers/x", b"[" * 2_000),
            ("nested_and_closed", "servers/x", DEEP_LIST),
            ("long_number", "servers/x", LONG),
            ("no_text", "servers/x", b"\xff\xfe\x00"),
            ("empty", "servers/x", b""),
            ("large", "servers/x", b'"' + b"x" * 200_000 + b'"'),
            ("cold", "servers/x", make_entry(coldRemainingMs=b"1e300")),
            ("born", "servers/x", make_entry(born=b"-9007199254740992")),
            ("slots", "servers/x", make_entry(slots=b"9007199254740992")),
            ("negative_slots", "servers/x", make_entry(slots=b"-1")),
            ("version", "servers/x", make_entry(version=DEEP_LIST)),
            ("zone", "servers/x", make_entry(zone=b'"\\u0000"')),
            ("port", "servers/x", make_entry().replace(b":80", b":65536")),
            ("no_port", "servers/x", make_entry().replace(b":80", b":0")),
            ("id", "servers/x\r\ny: 1", make_entry()),
            ("no_id", "servers/", make_entry()),
            ("letters", "servers/\u20ac", make_entry()),
            ("evacuation", "op/evacuate/\u20ac\0", DEEP_LIST),
            ("other", "odd/key", DEEP_LIST),
        ]
    )
    def test_versions_beside_an_odd_entry(self, _, key, value):
        """Guards against instances that restart, stop following or confuse others."""
        self.write_version(7)
        for number in range(WRITES):
            self.simulation.store.write(key, value + b" " * (number % 2))
            if number % 4 == 0:
                self.write_version(8 + number)
            advance(WRITE_S)
        advance(BOUND_S - WRITE_S * 4)
        for instance in self.simulation.instances.values():
            self.assertEqual(instance.view.configuration.version, 16)
            self.assertFalse([thread for thread in instance.threads if thread.dead])
        self.check_frames()

    @parameterized.expand(
        [
            ("nested", b"[" * 2_000),
            ("weights", b'{"version":9,"services":[],"routes":[{}]}'),
            ("version", b'{"version":1e300,"services":[],"routes":[]}'),
            ("no_text", b"\xff"),
        ]
    )
    def test_versions_behind_an_odd_one(self, _, value):
        """Guards against a configuration that ends the following of the next one."""
        self.write_version(7)
        advance(BOUND_S)
        self.simulation.store.write(KEY, value)
        advance(BOUND_S)
        versions = self.versions()
        self.write_version(8)
        advance(BOUND_S)
        self.assertEqual((versions, self.versions()), ([7] * SIZE, [8] * SIZE))

    def versions(self):
        """Return the version in force at each instance."""
        instances = self.simulation.instances.values()
        return [instance.view.configuration.version for instance in instances]
