"""A real daemon before sound targets and one that never ends its responses."""

import os
from pathlib import Path
from typing import NamedTuple

import eventlet
import h11
import msgspec
from eventlet.green import socket
from eventlet.green import subprocess as green_subprocess

from bergamotsaddle_standins.soak_callers import SentRequest
from bergamotsaddle_standins.soak_dialect import TARGET_PREFIX, SoakTarget
from tests._daemon_fleet import (
    INSTANCE,
    KEY,
    SERVICES,
    SETTLE_S,
    ZONE,
    Answer,
    DaemonFleet,
)

SOUND_PAUSE_S = 0.05
# Nanoseconds of /proc in seconds.
NS = 1e-9
_OPEN = b"GET /open HTTP/1.1\r\nHost: t\r\n\r\n"


class SoundTry(NamedTuple):
    """A sound request beside those without end.

    Attributes:
        answer: Its answer.
        waited: Seconds of it in which the daemon or this process could run, but other
            processes had the processors.
        worked: Seconds of it in which the daemon had a processor.
        stolen: Seconds of all processors that the machine's host took meanwhile.
    """

    answer: Answer
    waited: float
    worked: float
    stolen: float

    @property
    def seconds(self):
        """Seconds that it took, without those in which the machine was too busy."""
        return self.answer.seconds - self.waited


class EndlessFleet(DaemonFleet):
    """A daemon, a store, sound targets, and targets without end.

    Use it as a context manager; leaving it ends the processes.

    Args:
        service: Service of the targets without end.
        has_sound: Whether the service has a sound target too.
        number: Part of the daemon's address, whose last part is one that is free.
    """

    def __init__(self, service, *, has_sound=False, number=1):
        sound = [s for s in SERVICES if s != service or has_sound]
        super().__init__(sound, number=number)
        self._service = service
        self._sick = None

    def _start(self):
        sick = self._spawn(
            ["-m", "bergamotsaddle_standins.endless_target"],
            stdin=green_subprocess.PIPE,
            stdout=green_subprocess.PIPE,
        )
        self._port_by_kind = msgspec.json.decode(sick.stdout.readline())
        super()._start()

    def use(self, kind):
        """Put a target with a kind of response in the place of the one before.

        Returns:
            Its id.
        """
        if self._sick is not None:
            self._store.write(TARGET_PREFIX + self._sick, None)
        self._kind = kind
        self._sick = f"sick-{kind}"
        address = f"127.0.0.1:{self._port_by_kind[kind]}"
        entry = SoakTarget(self._service, {INSTANCE: address}, ZONE, False, 100, "v1")
        self._store.write(TARGET_PREFIX + self._sick, entry)
        eventlet.sleep(SETTLE_S)
        return self._sick

    def open_connections(self):
        """Return how many connections the target without end still sends to."""
        with socket.create_connection(
            ("127.0.0.1", self._port_by_kind[self._kind])
        ) as sock:
            sock.sendall(_OPEN)
            data = b""
            while part := sock.recv(4_096):
                data += part
        return int(data.rpartition(b"\r\n")[2])

    def count(self, path):
        """Send one request.

        Returns:
            The status, the size of the body, and whether the response is complete.
        """
        self._ids += 1
        request = SentRequest(f"r{self._ids}", f"{path}-{self._ids}", KEY, b"")
        parser = h11.Connection(h11.CLIENT)
        headers = [("host", "h"), ("content-length", "0")]
        parser.send(h11.Request(method="POST", target="/", headers=headers))
        parser.send(h11.EndOfMessage())
        status = size = 0
        with socket.create_connection((self.host, 8000), timeout=8.0) as sock:
            sock.sendall(request.encode())
            try:
                while True:
                    event = parser.next_event()
                    if event is h11.NEED_DATA:
                        parser.receive_data(sock.recv(65_536))
                    elif isinstance(event, h11.Response):
                        status = event.status_code
                    elif isinstance(event, h11.Data):
                        size += len(event.data)
                    elif isinstance(event, h11.EndOfMessage):
                        return status, size, True
            except (OSError, h11.RemoteProtocolError):
                return status, size, False

    def _try_soundly(self):
        before = self._usage()
        answer = self.ask("/book/s")
        used = (b - a for a, b in zip(before, self._usage(), strict=True))
        return SoundTry(answer, *used)

    def _usage(self):
        """Return what ``SoundTry`` holds beside the answer, as totals so far."""
        worked = Path(f"/proc/{self.daemon.pid}/schedstat").read_text().split()[0]
        stolen = Path("/proc/stat").read_text().split(maxsplit=9)[8]
        ticks = os.sysconf("SC_CLK_TCK")
        return self.waited(), int(worked) * NS, int(stolen) / ticks

    def waited(self):
        """Return for how long the daemon and this process have waited to run so far."""
        pids = (self.daemon.pid, "self")
        stats = [Path(f"/proc/{pid}/schedstat").read_text() for pid in pids]
        return sum(int(stat.split()[1]) for stat in stats) * NS

    def ask_beside(self, path, count):
        """Send requests at once, and sound ones beside them until all have ended.

        Returns:
            The answers, and the sound tries.
        """
        threads = [eventlet.spawn(self.ask, path) for _ in range(count)]
        tries = []
        while not all(thread.dead for thread in threads):
            tries.append(eventlet.spawn(self._try_soundly))
            eventlet.sleep(SOUND_PAUSE_S)
        tries.append(eventlet.spawn(self._try_soundly))
        return [t.wait() for t in threads], [t.wait() for t in tries]
