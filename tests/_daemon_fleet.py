"""A real daemon before sound targets."""

import contextlib
import random
import re
import resource
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

import eventlet
import msgspec
from eventlet.green import socket
from eventlet.green import subprocess as green_subprocess

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.soak import SETTINGS
from bergamotsaddle_standins.soak_callers import CallerSocket, SentRequest
from bergamotsaddle_standins.soak_dialect import (
    CONFIGURATION_KEY,
    ENGINE,
    LOOKUPS,
    RERANK,
    TARGET_PREFIX,
    SoakConfiguration,
)
from bergamotsaddle_standins.soak_guard import AddressesInUseError, hold_addresses
from bergamotsaddle_standins.soak_store import SoakStore
from bergamotsaddle_standins.soak_targets import Ledger, RunningTarget

INSTANCE = "i0"
ZONE = "a"
KEY = "key-0"
BOOKINGS = "bookings-1"
SERVICES = (BOOKINGS, LOOKUPS, ENGINE, RERANK)
START_LIMIT_S = 20.0
# Fleets of several test runs at the same time.
MAX_FLEETS = 100
SETTLE_S = 0.7
WARM_S = 1.0
# Repeats are no bound here, so that each request may go on at a sound target.
MANY_REPEATS = 2_000
POLL_S = 0.05
# Kilobytes of /proc in bytes.
KB = 1_024
_MEMORY = re.compile(r"(VmRSS|VmHWM):\s+([0-9]+) kB")


class Answer(NamedTuple):
    """What a caller got.

    Attributes:
        status: HTTP status, 0 without a response.
        is_complete: Whether the response came to its proper end.
        seconds: Seconds from the request to the end of the response.
        body: The bytes of its body.
    """

    status: int
    is_complete: bool
    seconds: float
    body: bytes


class DaemonFleet:
    """A daemon, a store and sound targets.

    Use it as a context manager; leaving it ends the processes.

    Args:
        services: Services that have a sound target.
        number: Part of the daemon's address, whose last part is one that is free.
        settings: Further settings of the daemon, as text.
        descriptors: Limit on the daemon's open descriptors, None to leave it.
    """

    def __init__(self, services=SERVICES, *, number=1, settings="", descriptors=None):
        self._services = services
        self._net = f"127.251.{number}"
        self._settings = settings
        self._descriptors = descriptors
        self._ids = 0

    def __enter__(self):
        self._folder = tempfile.TemporaryDirectory()
        self._processes = []
        self.host, self._guard = _hold_host(self._net)
        try:
            self._start()
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        for process in self._processes:
            process.kill()
            process.wait()
        self._guard.close()
        self._folder.cleanup()

    def _start(self):
        self._store = SoakStore()
        self._store.write(CONFIGURATION_KEY, SoakConfiguration(1, BOOKINGS, [KEY]))
        ledger = Ledger()
        rng = random.Random(1)
        for number, service in enumerate(self._services):
            target = RunningTarget(f"t{number}", service, ZONE, ledger, rng, [INSTANCE])
            self._store.write(TARGET_PREFIX + target.id, target.entry())
        self.daemon, self._log = self._start_daemon(INSTANCE, self.host)
        with eventlet.Timeout(START_LIMIT_S):
            while not _is_ready(self.host):
                eventlet.sleep(POLL_S)
        eventlet.sleep(SETTLE_S)
        # What the first responses load and allocate is no growth.
        for path in ("/book/w", "/look/w", "/talk/w"):
            self.ask(path, limit=WARM_S)

    def _start_daemon(self, instance, host):
        folder = Path(self._folder.name)
        settings = folder / f"{instance}.ini"
        text = SETTINGS.format(
            id=instance,
            zone=ZONE,
            host=host,
            seeds="",
            store_port=self._store.port,
            grace=8.0,
            retry_ratio=0.2,
            retry_extra=MANY_REPEATS,
        )
        settings.write_text(text + self._settings)
        path = folder / f"{instance}.log"
        with path.open("wb") as log:
            module = "bergamotsaddle_standins.soak_daemon"
            arguments = ["-m", module, str(settings), instance]
            limit = self._limit_descriptors if self._descriptors else None
            process = self._spawn(arguments, stdout=log, stderr=log, preexec_fn=limit)
            return process, path

    def _limit_descriptors(self):
        limits = (self._descriptors, self._descriptors)
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)

    def _spawn(self, arguments, **options):
        process = green_subprocess.Popen([sys.executable, *arguments], **options)
        self._processes.append(process)
        return process

    def memory(self):
        """Return the resident memory of the daemon now and at its peak, in bytes."""
        text = Path(f"/proc/{self.daemon.pid}/status").read_text()
        by_name = {name: int(size) * KB for name, size in _MEMORY.findall(text)}
        return by_name["VmRSS"], by_name["VmHWM"]

    def events(self, name):
        """Return the lines of the daemon's log with an event."""
        lines = []
        for line in self._log.read_bytes().splitlines():
            try:
                lines.append(msgspec.json.decode(line, type=dict))
            except msgspec.MsgspecError:
                continue
        return [line for line in lines if line.get("event") == name]

    def metrics(self):
        """Return the page of metrics."""
        with socket.create_connection((self.host, 9464)) as sock:
            sock.sendall(b"GET / HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n")
            data = b""
            while part := sock.recv(65_536):
                data += part
                if b"log_dropped " in data:
                    break
        return data.decode()

    def ask(self, path, *, limit=20.0):
        """Send one request and return its answer."""
        self._ids += 1
        request = SentRequest(f"r{self._ids}", f"{path}-{self._ids}", KEY, b"")
        started_at = now()
        try:
            connection = CallerSocket((self.host, 8000))
        except OSError:
            return Answer(0, False, now() - started_at, b"")
        answer = None
        try:
            connection.send(request.encode())
            with eventlet.Timeout(limit, False):
                answer = connection.read(request.id, limit)
        finally:
            connection.close()
        seconds = now() - started_at
        if answer is None:
            return Answer(0, False, seconds, b"")
        return Answer(answer.status, answer.is_complete, seconds, answer.body)


def _hold_host(net):
    """Return an address that no other fleet uses, and what keeps others from it."""
    for part in range(1, MAX_FLEETS):
        host = f"{net}.{part}"
        with contextlib.suppress(AddressesInUseError):
            return host, hold_addresses([host])
    raise AssertionError(f"no address of {net} is free")


def _is_ready(host):
    try:
        with socket.create_connection((host, 8001), timeout=1.0) as probe:
            probe.sendall(b"GET / HTTP/1.1\r\nHost: r\r\nConnection: close\r\n\r\n")
            return probe.recv(100).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
