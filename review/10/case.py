"""Streams of a crashed replica that go on at a cold one."""

import os
import secrets
import sys
import threading
import time
from collections import Counter
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
DAEMONS = 7
STREAMS = 140
DEADLINE_S = 12.0
EVENTS = 40
GAP_S = 0.2
# What the configuration says of cold replicas, and what the sheet says of the bound.
COLD_START_S = 3.0
COLD_PER_S = 6.9
# A replica that has just started is slow.
COLD_REPORT_S = 0.05
COLD_BURST_FACTOR = 1.5
COLD_SLACK = 5
BOUND = COLD_PER_S * COLD_BURST_FACTOR + COLD_SLACK


class Engine(Replica):
    """A replica of the model service. A cold one falls over above the bound.

    Attributes:
        arrived_at: When requests arrived.
        cold_until: When it stops to be cold.
    """

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.arrived_at = []
        self.cold_until = 0.0
        self.has_fallen = False

    def answer(self, sock, request):
        """Answer with a stream."""
        at = time.monotonic()
        self.arrived_at.append(at)
        if at < self.cold_until and not self.has_fallen and self.most() > BOUND:
            self.has_fallen = True
            self.record.add(f"the cold replica {self.id} falls over")
            self.crash()
            return False
        return self.stream(sock, request, EVENTS, GAP_S)

    def most(self):
        """Return the most arrivals in a second of the time in which it is cold."""
        times = sorted(at for at in self.arrived_at if at < self.cold_until)
        counts = [sum(at <= other < at + 1.0 for other in times) for at in times]
        return max(counts, default=0)


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


def consume(host, record, ends):
    """Consume a stream."""
    request_id = secrets.token_hex(8)
    consumer = Consumer(host)
    consumer.send(
        "POST",
        "/chat/x",
        b"prompt " + request_id.encode(),
        request_id=request_id,
        deadline_ms=int(DEADLINE_S * 1000),
        headers=[
            "X-Model: m",
            "X-Token-Usage: 400,400",
            f"X-Prefix-Hash: {request_id[8:]}:300,{request_id[:8]}:100",
        ],
    )
    answer = consumer.read()
    consumer.close()
    end = "whole" if answer.is_whole else "not whole"
    ends[f"{answer.status} {end}"] += 1
    record.add(f"consumer of {request_id} at {host}: {answer.status} {end}")


def play(record, prefix, folder, daemons):
    """Play the case."""
    store = Store(f"{prefix}.1")
    zones = list(ZONES)
    engines = [
        Engine(
            store,
            f"{prefix}.{50 + number}",
            "llm",
            record,
            zone=zones[number % 3],
            slots=64,
        )
        for number in range(4)
    ]
    *warm, cold = engines
    for engine in warm:
        engine.register()
    chat = route(
        "chat",
        "/chat/",
        "streaming",
        "llm",
        timeoutMs=int(DEADLINE_S * 1000),
        sticky=True,
        resumable=True,
        attempts=2,
    )
    service = engine_service("llm")
    service |= {"coldStartS": COLD_START_S, "coldPerS": COLD_PER_S}
    store.put("op/config", configuration(1, [chat], [service]))
    seeds = [f"{prefix}.{10 + number}:{CONTROL_PORT}" for number in range(3)]
    for number in range(DAEMONS):
        daemon = Daemon(
            folder,
            number,
            prefix,
            store,
            zone=zones[number % 3],
            seeds=seeds,
            zones=ZONES,
        )
        daemon.start()
        daemons.append(daemon)
    if not all(daemon.wait_ready() for daemon in daemons):
        return 2
    time.sleep(2.0)
    ends = Counter()
    consumers = []
    for number in range(STREAMS):
        host = daemons[number % DAEMONS].host
        thread = threading.Thread(
            target=consume, args=(host, record, ends), daemon=True
        )
        thread.start()
        consumers.append(thread)
        time.sleep(0.03)
    time.sleep(0.5)
    record.add(f"the replica {cold.id} starts and is cold")
    cold.born = int(time.time() * 1000)
    cold.cold_ms = int(COLD_START_S * 1000)
    cold.report_s = COLD_REPORT_S
    cold.cold_until = time.monotonic() + COLD_START_S
    cold.register()
    time.sleep(0.7)
    if HAS_TROUBLE:
        victim = max(warm, key=lambda engine: len(engine.runs))
        record.add(f"{victim.id} crashes with {len(victim.runs)} streams")
        victim.crash()
    for thread in consumers:
        thread.join(DEADLINE_S + 1.0)
    most = cold.most()
    text = f"{most} requests in a second at the cold replica, {BOUND:.2f} allowed; "
    text += ", ".join(f"{end}: {count}" for end, count in sorted(ends.items()))
    record.add(text)
    print(text)
    if not ends["200 whole"]:
        return 2
    return 1 if most > BOUND else 0


if __name__ == "__main__":
    sys.exit(main())
