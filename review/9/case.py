"""Streams that consumers take up after all daemons were killed in a rollout."""

import os
import re
import secrets
import signal
import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import (  # noqa: E402
    CONTROL_PORT,
    Consumer,
    Daemon,
    Record,
    Replica,
    Store,
    configuration,
    engine_service,
    pick_network,
    route,
    temporary_folder,
)

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"a": "r", "b": "r", "c": "r"}
STREAMS = 24
NEW_STREAMS = 16
DEADLINE_S = 12.0
EVENTS = 40
GAP_S = 0.22
RESTART_S = 0.4
# A machine is in touch once its process has run for so long.
STABLE_S = 3.0
TRIES = 12
# The rule counts this many streams that are taken up, or more.
LEAST = 12
_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+) ")


class Engine(Replica):
    """A replica of the model service, which streams."""

    def answer(self, sock, request):
        """Answer with a stream."""
        return self.stream(sock, request, EVENTS, GAP_S)


class Stream(threading.Thread):
    """A consumer of one stream, which takes it up again after a broken channel."""

    def __init__(self, number, hosts, record, in_touch_at):
        super().__init__(daemon=True)
        self.number = number
        self.hosts = hosts
        # Since when the machines are in touch, none for never.
        self.in_touch_at = in_touch_at
        # Whether it was taken up at a machine in touch, and went on there.
        self.is_taken_up = False
        self.goes_on = False
        self.record = record
        self.first_id = secrets.token_hex(8)
        self.until = time.monotonic() + DEADLINE_S
        # Version of each event, by id of the event.
        self.version_by_event = {}
        self.is_whole = False

    def run(self):
        """Ask until the stream is whole or the time is over."""
        request_id = self.first_id
        for attempt in range(TRIES):
            left = self.until - time.monotonic()
            if left <= 0.2:
                break
            host = self.hosts[(self.number + attempt) % len(self.hosts)]
            pause = self._try(host, request_id, left)
            if self.is_whole:
                break
            time.sleep(pause)
            request_id = secrets.token_hex(8)
        versions = sorted(set(self.version_by_event.values()))
        end = "whole" if self.is_whole else "not whole"
        events = len(self.version_by_event)
        self.record.add(f"stream {self.first_id} ends {end}: {events} of {versions}")

    def _try(self, host, request_id, left):
        """Send one attempt; return the seconds until the next one."""
        headers = [
            "X-Model: m",
            "X-Token-Usage: 400,400",
            f"X-Prefix-Hash: {self.first_id[8:]}:300,{self.first_id[:8]}:100",
        ]
        if self.version_by_event:
            headers.append(f"Last-Event-Id: {max(self.version_by_event)}")
            headers.append(f"Resumes: {self.first_id}")
        at = time.monotonic()
        is_resumed = bool(self.version_by_event)
        is_in_touch = bool(self.in_touch_at) and at >= self.in_touch_at[0]
        try:
            consumer = Consumer(host, timeout=left)
        except OSError:
            return 0.3
        consumer.send(
            "POST",
            "/chat/x",
            b"prompt " + self.first_id.encode(),
            request_id=request_id,
            deadline_ms=int(left * 1000),
            headers=headers,
        )
        answer = consumer.read()
        consumer.close()
        found = _EVENT.findall(answer.body) if answer.status == 200 else []
        for number, version in found:
            self.version_by_event[int(number)] = version.decode()
        self.is_whole = answer.status == 200 and answer.is_whole
        if is_resumed and is_in_touch:
            self.is_taken_up = True
            self.goes_on |= bool(found)
        versions = sorted({version.decode() for _, version in found})
        self.record.add(
            f"consumer of {self.first_id}: attempt {request_id} at {host}: "
            f"{answer.status}, {len(found)} events of {versions}, {answer.why}"
            f"{', in touch' * is_in_touch}"
        )
        return float(answer.headers.get("retry-after", "0.1"))


def main():
    """Return the status of the case."""
    record = Record(HERE / "record.txt")
    prefix = pick_network()
    daemons = []
    with temporary_folder() as folder:
        try:
            return play(record, prefix, folder, daemons)
        finally:
            for daemon in daemons:
                daemon.end()


def play(record, prefix, folder, daemons):
    """Play the case."""
    store = Store(f"{prefix}.1")
    zones = list(ZONES)
    replicas = [
        Engine(
            store,
            f"{prefix}.{50 + number}",
            "llm",
            record,
            zone=zones[number % 3],
            slots=64,
            version="v1" if number < 3 else "v2",
        )
        for number in range(6)
    ]
    for replica in replicas:
        replica.register()
    chat = route(
        "chat",
        "/chat/",
        "streaming",
        "llm",
        timeoutMs=int(DEADLINE_S * 1000),
        sticky=True,
        resumable=True,
        attempts=3,
    )
    store.put("op/config", configuration(1, [chat], [engine_service("llm")]))
    seeds = [f"{prefix}.{10 + number}:{CONTROL_PORT}" for number in range(3)]
    for number, zone in enumerate(zones):
        daemon = Daemon(
            folder, number, prefix, store, zone=zone, seeds=seeds, zones=ZONES
        )
        daemon.start()
        daemons.append(daemon)
    if not all(daemon.wait_ready() for daemon in daemons):
        return 2
    time.sleep(3.0)
    hosts = [daemon.host for daemon in daemons]
    in_touch_at = []
    streams = [Stream(number, hosts, record, in_touch_at) for number in range(STREAMS)]
    for stream in streams:
        stream.start()
        time.sleep(0.03)
    time.sleep(1.0)
    if HAS_TROUBLE:
        record.add("all daemons are killed")
        for daemon in daemons:
            daemon.send_signal(signal.SIGKILL)
        time.sleep(RESTART_S)
        for daemon in daemons:
            daemon.end()
            daemon.values["bootstrap"] = False
            daemon.start()
        if not all(daemon.wait_ready() for daemon in daemons):
            return 2
        in_touch_at.append(time.monotonic() + STABLE_S)
    time.sleep(STABLE_S)
    new = [Stream(number, hosts, record, []) for number in range(NEW_STREAMS)]
    for stream in new:
        stream.start()
        time.sleep(0.1)
    for stream in [*streams, *new]:
        stream.join(DEADLINE_S + 1.0)
    taken_up = [stream for stream in streams if stream.is_taken_up]
    goes_on = sum(stream.goes_on for stream in taken_up)
    begun = sum(bool(stream.version_by_event) for stream in new)
    text = f"{goes_on} of {len(taken_up)} streams that were taken up at machines in "
    text += f"touch went on; {begun} of {NEW_STREAMS} new ones began"
    record.add(text)
    print(text)
    if not begun or (HAS_TROUBLE and len(taken_up) < LEAST):
        return 2
    if len(taken_up) < LEAST:
        return 0
    is_broken = goes_on / len(taken_up) < begun / NEW_STREAMS / 2
    return 1 if is_broken else 0


if __name__ == "__main__":
    sys.exit(main())
