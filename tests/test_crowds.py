"""Real processes before crowds of callers that do not behave."""

import unittest

import eventlet
import urllib3
from eventlet.green import socket
from parameterized import parameterized

from bergamotsaddle_contracts.ini import parse_address
from bergamotsaddle_standins.crowd import MANNERS
from bergamotsaddle_standins.fleet import Fleet, FleetSpec, wait_for
from bergamotsaddle_standins.targets import TargetSpec
from tests._crowd import OWN_MANNERS, UsageMeter, play
from tests._daemon_fleet import DaemonFleet
from tests._paused import use_paused_clock, use_running_clock

setUpModule = use_running_clock
tearDownModule = use_paused_clock

CALLERS_PORT = 8_000
READY_PORT = 8_001
VIEW_PORT = 7_740
RELAY_PORT = 7_741
METRICS_PORT = 9_464
PORTS = (CALLERS_PORT, READY_PORT, VIEW_PORT, RELAY_PORT, METRICS_PORT)
# The memory of the machine, which the process must not exceed.
MEMORY_MB = 100
MB = 1_000_000
# The descriptors of the machine, and those that callers of one listener must leave.
DESCRIPTORS = 512
LEFT_DESCRIPTORS = 64
CALLERS = 150
# As many callers as take all descriptors, or memory by many small bodies.
MANY_CALLERS = 600
CROWD_S = 4.0
TRIES = 20
AGAIN_S = 1.0
PAGE_S = 5.0
MEMORY_ROWS = [
    ("one_chunk", CALLERS_PORT, CALLERS),
    ("chunks_of_64", CALLERS_PORT, CALLERS),
    ("chunks_of_4", CALLERS_PORT, CALLERS),
    ("chunks_of_1", CALLERS_PORT, CALLERS),
    ("chunk_extensions", CALLERS_PORT, CALLERS),
    ("chunk_line", CALLERS_PORT, CALLERS),
    ("trailers", CALLERS_PORT, CALLERS),
    ("length", CALLERS_PORT, CALLERS),
    ("length_above", CALLERS_PORT, CALLERS),
    ("expect", CALLERS_PORT, CALLERS),
    ("header_lines", CALLERS_PORT, CALLERS),
    ("ahead", CALLERS_PORT, CALLERS),
    ("part_of_a_chunk", CALLERS_PORT, MANY_CALLERS),
    ("half_a_head", CALLERS_PORT, MANY_CALLERS),
    ("one_chunk", RELAY_PORT, CALLERS),
    ("header_lines", RELAY_PORT, CALLERS),
    ("one_chunk", READY_PORT, CALLERS),
    ("one_chunk", METRICS_PORT, CALLERS),
    ("one_chunk", VIEW_PORT, CALLERS),
    ("frame", VIEW_PORT, CALLERS),
]
DESCRIPTOR_ROWS = [
    ("silent", CALLERS_PORT),
    ("one_byte", CALLERS_PORT),
    ("part_of_a_chunk", CALLERS_PORT),
    ("length_above", CALLERS_PORT),
    ("silent", RELAY_PORT),
    ("silent", READY_PORT),
    ("silent", METRICS_PORT),
    ("silent", VIEW_PORT),
]
OWN_MEMORY_MB = 300
OWN_CALLERS = 300
OWN_MEMORY_ROWS = [
    ("one_chunk", "callers"),
    ("length", "callers"),
    ("chunk_line", "callers"),
    ("trailer_line", "callers"),
    ("trailers", "callers"),
    ("chunk_line", "operators"),
    ("one_chunk", "operators"),
    ("one_chunk", "peers"),
]
OWN_DESCRIPTOR_ROWS = [
    ("silent", "callers"),
    ("silent", "operators"),
    ("silent", "peers"),
]
LISTENER_BY_PORT = {
    CALLERS_PORT: "callers",
    READY_PORT: "ready",
    VIEW_PORT: "view",
    RELAY_PORT: "relay",
    METRICS_PORT: "metrics",
}


def name_row(function, number, row):
    """Name a test by its crowd and its listener."""
    manner, listener, *_ = row.args
    listener = LISTENER_BY_PORT.get(listener, listener)
    return f"{function.__name__}_{int(number):02}_{manner}_at_{listener}"


class CrowdTest(unittest.TestCase):
    """A crowd at one listener of a daemon, then one ordinary request."""

    def play(self, manner, port, callers, **options):
        """Play a crowd, check that the daemon lives, and return what it held."""
        fleet = DaemonFleet(number=2, **options)
        fleet.__enter__()
        self.addCleanup(fleet.__exit__)
        meter = UsageMeter(fleet.daemon.pid, [(fleet.host, port) for port in PORTS])
        address = (fleet.host, port)
        most = play(meter, address, MANNERS[manner], callers=callers, seconds=CROWD_S)
        self.assertIsNone(fleet.daemon.poll(), "the process has ended")
        self.assertTrue(self.is_served(fleet), "no ordinary request is served")
        for port in (READY_PORT, METRICS_PORT):
            self.assertTrue(self.is_page_served(fleet.host, port), f"port {port}")
        return most

    @staticmethod
    def is_served(fleet):
        """Send an ordinary request, as often as a caller that is refused may."""
        for _ in range(TRIES):
            if fleet.ask("/look/y").status == 200:
                return True
            eventlet.sleep(AGAIN_S)
        return False

    @staticmethod
    def is_page_served(host, port):
        """Return whether a page is served."""
        try:
            with socket.create_connection((host, port), timeout=PAGE_S) as sock:
                sock.sendall(b"GET / HTTP/1.1\r\nHost: p\r\nConnection: close\r\n\r\n")
                return sock.recv(100).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    @parameterized.expand(MEMORY_ROWS, name_func=name_row)
    def test_memory(self, manner, port, callers):
        """Guards against a process that is killed for the bytes of its callers."""
        settings = f"\n[capacity]\nmemory_mb = {MEMORY_MB}\n"
        most = self.play(manner, port, callers, settings=settings)
        self.assertLessEqual(most.memory, MEMORY_MB * MB)

    @parameterized.expand(DESCRIPTOR_ROWS, name_func=name_row)
    def test_descriptors(self, manner, port):
        """Guards against callers that leave no descriptor for the rest."""
        most = self.play(manner, port, MANY_CALLERS, descriptors=DESCRIPTORS)
        self.assertLessEqual(most.descriptors, DESCRIPTORS - LEFT_DESCRIPTORS)


class OwnInterfaceTest(unittest.TestCase):
    """A crowd at one listener of a daemon for declarations of our own."""

    def play(self, manner, listener, callers, **options):
        """Play a crowd, check that the daemon lives, and return what it held."""
        targets = (TargetSpec("stock-{zone}", "stock"),)
        self.fleet = Fleet(FleetSpec(zones=("mid-a",), targets=targets, **options))
        self.fleet.__enter__()
        self.addCleanup(self.fleet.__exit__)
        (self.name, self.process) = next(iter(self.fleet.daemons.items()))
        address_by_listener = {
            name: parse_address(self.process.ports[name])
            for name in ("callers", "operators", "peers")
        }
        meter = UsageMeter(self.process.pid, address_by_listener.values())
        address = tuple(address_by_listener[listener])
        most = play(
            meter, address, OWN_MANNERS[manner], callers=callers, seconds=CROWD_S
        )
        wait_for(self.is_served, "an ordinary request")
        self.assertTrue(self.fleet.read_status(self.name)["ready"])
        return most

    def is_served(self):
        """Return whether an ordinary request is served."""
        address = self.fleet.caller_address(self.name)
        headers = {"Authorization": "Bearer key-of-skippers"}
        url = f"http://{address}/v1/services/stock/look"
        reply = urllib3.request(
            "POST", url, body=b"{}", headers=headers, retries=False, timeout=PAGE_S
        )
        return reply.status == 200

    @parameterized.expand(OWN_MEMORY_ROWS, name_func=name_row)
    def test_memory(self, manner, listener):
        """Guards against a process that is killed for the bytes of its callers."""
        most = self.play(manner, listener, OWN_CALLERS)
        self.assertLessEqual(most.memory, OWN_MEMORY_MB * MB)

    @parameterized.expand(OWN_DESCRIPTOR_ROWS, name_func=name_row)
    def test_descriptors(self, manner, listener):
        """Guards against callers that leave no descriptor for the rest."""
        most = self.play(manner, listener, MANY_CALLERS, descriptors=DESCRIPTORS)
        self.assertLessEqual(most.descriptors, DESCRIPTORS - LEFT_DESCRIPTORS)
