"""Tests for the settings of a serving daemon and the errors in them."""

import unittest

from parameterized import parameterized

from bergamotsaddle_contracts.errors import InvalidFileError
from bergamotsaddle_serving.policy import Mechanism
from bergamotsaddle_serving.settings import parse_settings

TEXT = """
[instance]
id = a1
zone = a
host = 10.0.0.1

[listen]
callers = 10.0.0.1:80
ready = 10.0.0.1:81
peer_port = 7740
metrics_port = 9464

[peers]
seeds = 10.0.0.1:82,10.0.0.2:82

[zones]
regions = a=east,b=east

[store]
address = 10.0.0.9:80

[bounds]
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_extra = 58
"""


class SettingsTest(unittest.TestCase):
    """The settings file that the platform renders from the template."""

    def test_regions_of_zones(self):
        settings = parse_settings(TEXT, name="daemon.ini")
        self.assertEqual(settings.zones.region_by_zone, {"a": "east", "b": "east"})

    def test_a_deployment_may_name_no_regions(self):
        text = TEXT.replace("[zones]\nregions = a=east,b=east\n", "")
        self.assertEqual(
            parse_settings(text, name="daemon.ini").zones.region_by_zone, {}
        )

    def test_cores_are_limited_by_the_scarcer_resource(self):
        text = TEXT + "\n[capacity]\ncpu_share = 0.5\ncpus = 4\nlink_mbps = 10\n"
        settings = parse_settings(text, name="daemon.ini")
        self.assertEqual(settings.capacity.cores, 0.5)
        self.assertEqual(parse_settings(TEXT, name="daemon.ini").capacity.cores, 1.0)

    def test_parts_that_operators_allow(self):
        text = TEXT + "\n[suspects]\nallowed_parts = 5c1e07a2, 91bd3f06\n"
        settings = parse_settings(text, name="daemon.ini")
        self.assertEqual(settings.suspects.allowed_parts, {"5c1e07a2", "91bd3f06"})
        settings = parse_settings(TEXT, name="daemon.ini")
        self.assertEqual(settings.suspects.allowed_parts, frozenset())

    @parameterized.expand(
        [
            ("of_the_users", 300, 4_100, (1_562, 390, 128)),
            ("few_descriptors", 300, 512, (256, 64, 16)),
            ("little_memory", 100, 4_100, (520, 130, 128)),
            ("no_limit", 300, 1e9, (1_562, 390, 128)),
        ]
    )
    def test_connections_of(self, _, memory, descriptors, expected):
        """Guards against connections that leave no memory or descriptors."""
        section = f"[capacity]\nmemory_mb = {memory}\ndescriptors = {descriptors}\n"
        capacity = parse_settings(f"{TEXT}\n{section}", name="f").capacity
        found = (
            capacity.caller_connections,
            capacity.relay_connections,
            capacity.page_connections,
        )
        self.assertEqual(found, expected)

    @parameterized.expand([("0", 0.0), ("0.05", 0.05), ("1", 1.0)])
    def test_share_of_hedges(self, text, expected):
        settings = parse_settings(TEXT + f"\n[hedging]\nmax_share = {text}\n", name="f")
        self.assertEqual(settings.hedging.max_share, expected)

    @parameterized.expand(["-0.1", "1.1", "5%", "nan"])
    def test_share_of_hedges_that_is_none(self, text):
        """Guards against a percentage that is taken for a share of all requests."""
        with self.assertRaises(InvalidFileError) as raised:
            parse_settings(TEXT + f"\n[hedging]\nmax_share = {text}\n", name="f")
        self.assertIn("[hedging] max_share", str(raised.exception))

    @parameterized.expand([("", False), ("false", False), ("true", True)])
    def test_targets_that_share_their_machines(self, text, expected):
        section = f"\n[targets]\nshare_machines = {text}\n" if text else ""
        settings = parse_settings(TEXT + section, name="f")
        self.assertEqual(settings.targets.share_machines, expected)

    def test_no_hedges_by_default(self):
        self.assertEqual(parse_settings(TEXT, name="f").hedging.max_share, 0.0)

    def test_requests_that_operators_allow(self):
        text = TEXT + "\n[suspects]\nallowed_requests = 5c1e07a291bd3f06\n"
        settings = parse_settings(text, name="daemon.ini")
        self.assertEqual(settings.suspects.allowed_requests, {"5c1e07a291bd3f06"})

    def test_mechanisms_are_enabled_unless_switched_off(self):
        text = TEXT + "\n[policy]\noff = home_zones, full_calls\n"
        policy = parse_settings(text, name="daemon.ini").policy
        self.assertFalse(policy.has(Mechanism.HOME_ZONES))
        self.assertTrue(policy.has(Mechanism.ADMISSION))
        self.assertFalse(parse_settings(TEXT, name="daemon.ini").policy.off)

    @parameterized.expand([("unknown", "homes"), ("twice", "admission, admission")])
    def test_invalid_mechanisms_are_rejected(self, _, words):
        text = TEXT + f"\n[policy]\noff = {words}\n"
        with self.assertRaises(InvalidFileError) as caught:
            parse_settings(text, name="daemon.ini")
        for word in ("daemon.ini", "policy", "off", words.split(",")[0]):
            self.assertIn(word, str(caught.exception))

    @parameterized.expand(
        [
            ("regions = a=east", "regions = a", "zones", "regions"),
            ("regions = a=east", "regions = =east", "zones", "regions"),
            ("peer_port = 7740", "peer_port = x", "listen", "peer_port"),
            ("[peers]", "relay_port = x\n[peers]", "listen", "relay_port"),
            ("grace_s = 8", "grace_s = -1", "bounds", "grace_s"),
            ("id = a1", "id =", "instance", "id"),
            ("[bounds]", "heartbeat_ms = 0\n[bounds]", "store", "heartbeat_ms"),
            (
                "[bounds]",
                "[capacity]\nlink_mbps = 0\n[bounds]",
                "capacity",
                "link_mbps",
            ),
            (
                "[bounds]",
                "[capacity]\ndescriptors = 63\n[bounds]",
                "capacity",
                "descriptors",
            ),
        ]
    )
    def test_a_fault_names_file_section_and_key(self, old, new, section, key):
        with self.assertRaises(InvalidFileError) as caught:
            parse_settings(TEXT.replace(old, new), name="daemon.ini")
        for word in ("daemon.ini", section, key):
            self.assertIn(word, str(caught.exception))
