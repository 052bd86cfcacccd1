"""Pieces of a stage whose owners are killed while others depend on the same inputs."""

import json
import os
import secrets
import signal
import sys
import threading
import time
from collections import Counter
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

from harness import (  # noqa: E402
    CONTROL_PORT,
    ROOT,
    Consumer,
    Daemon,
    Record,
    Replica,
    Store,
    configuration,
    engine_service,
    pick_network,
    plain_service,
    respond,
    route,
    temporary_folder,
)

# Only to find names of services whose queues belong to certain daemons.
sys.path.insert(0, str(ROOT / "target" / "lib"))

from bergamotsaddle_daemon._rendezvous import rendezvous_weight  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ZONES = {"a": "r", "b": "r", "c": "r"}
DAEMONS = 5
# The daemons from this number on are killed.
FIRST_KILLED = 2
KILLS = 10
REST_S = 6.0
WARM_S = 8.0
# The second of the owners is killed so long after the first one.
NEXT_KILL_S = 0.25
RESTART_S = 0.05
PAUSE_S = 0.06
DEADLINE_S = 10.0


class Results:
    """The results that stage replicas keep, and what was wrong with inputs.

    Attributes:
        lock: Guards all of it.
        piece_by_handle: Request, stage and number of the piece of each result.
        mixed: Pieces and requests that were given wrong inputs.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.piece_by_handle = {}
        self.mixed = []


class StageReplica(Replica):
    """A replica of a stage service.

    Args:
        results: All results.
        call_s: Seconds of a call.
    """

    def __init__(self, *args, results, call_s, **options):
        super().__init__(*args, **options)
        self.results = results
        self.call_s = call_s

    def answer(self, sock, request):
        """Run pieces, or release results."""
        fields = json.loads(request.body)
        if request.path == "/v1/stage-free":
            with self.results.lock:
                for handle in fields["handles"]:
                    self.results.piece_by_handle.pop(handle, None)
            respond(sock, request, 200, b"{}", seal=False)
            return True
        items = fields["items"]
        with self.results.lock:
            failures = [self._fetch(item) for item in items]
        time.sleep(self.call_s)
        with self.results.lock:
            answers = [
                {"reason": "gone"} if is_gone else {"handle": self._keep(item)}
                for item, is_gone in zip(items, failures, strict=True)
            ]
        body = json.dumps({"items": answers}).encode()
        respond(sock, request, 200, body, [("X-Server-Load", "0,0,1")], seal=False)
        return True

    def _fetch(self, item):
        """Fetch the inputs of a piece; return whether one of them is gone."""
        stage = item["stage"]
        name = f"piece {item['piece']} of stage {stage} of {item['id']}"
        if stage == 0:
            self.record.add(f"{self.id} runs {name}")
            return False
        handles = item.get("inputs", [])
        inputs = [self.results.piece_by_handle.get(handle) for handle in handles]
        self.record.add(f"{self.id} runs {name} with {inputs}")
        if None in inputs:
            return True
        if sorted(inputs) != [(item["id"], 0, 0), (item["id"], 0, 1)]:
            self.results.mixed.append(name)
            self.record.add(f"MIXED: {name} was given {inputs}")
        return False

    def _keep(self, item):
        handle = f"{self._host}:{self.port}/{secrets.token_hex(6)}"
        piece = (item["id"], item["stage"], item["piece"])
        self.results.piece_by_handle[handle] = piece
        return handle


class Engine(Replica):
    """A replica of the model service."""

    def __init__(self, *args, results, **options):
        super().__init__(*args, **options)
        self.results = results

    def answer(self, sock, request):
        """Answer with a stream if all inputs are there."""
        handles = request.headers.get("x-inputs", "").split(",")
        with self.results.lock:
            inputs = [self.results.piece_by_handle.get(handle) for handle in handles]
        if None in inputs:
            headers = [("X-Not-Executed", "1")]
            respond(sock, request, 409, b"", headers, seal=False)
            return True
        if sorted(inputs) != [(request.id, 1, 0), (request.id, 2, 0)]:
            self.results.mixed.append(request.id)
            self.record.add(f"MIXED: {request.id} was given {inputs}")
        return self.stream(sock, request, 3, 0.05)


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
            "X-Pieces: 2,1,1",
            f"X-Piece-Key: {secrets.token_hex(6)}",
        ],
    )
    answer = consumer.read()
    consumer.close()
    ends[answer.status, answer.is_whole] += 1
    record.add(f"consumer of {request_id}: {answer}")


def find_name(instances, owners):
    """Return a name of a service whose queue belongs to one of some instances."""
    while True:
        name = "s" + secrets.token_hex(3)
        key = f"{name} r"
        if max(instances, key=lambda i: rendezvous_weight(i, key)) in owners:
            return name


def stage_service(name, batch, call_ms):
    """Return a service of stages."""
    pieces = {
        "slots": 1,
        "queue": 2,
        "batch": batch,
        "callMs": call_ms,
        "itemMs": 1.0,
        "headroomMb": 50.0,
        "handleS": 6.0,
        "bandwidthMbps": 10000,
    }
    return plain_service(name) | {"pieces": pieces}


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
        daemons.append(daemon)
    ids = [daemon.id for daemon in daemons]
    killed = daemons[FIRST_KILLED:]
    first = find_name(ids, ids[:FIRST_KILLED])
    second = find_name(ids, ids[FIRST_KILLED : FIRST_KILLED + 1])
    third = find_name(ids, ids[FIRST_KILLED + 1 :])
    results = Results()
    # The two pieces of the first stage take different times.
    kinds = [(first, 12, (0.05, 0.5)), (second, 6, (1.2,)), (third, 6, (0.9,))]
    number = 50
    for service, count, seconds in kinds:
        for place in range(count):
            replica = StageReplica(
                store,
                f"{prefix}.{number}",
                service,
                record,
                zone=zones[place % 3],
                slots=1,
                results=results,
                call_s=seconds[place % len(seconds)],
            )
            replica.register()
            number += 1
    for place in range(3):
        engine = Engine(
            store,
            f"{prefix}.{number}",
            "llm",
            record,
            zone=zones[place],
            slots=64,
            results=results,
        )
        engine.register()
        number += 1
    stages = [
        {"service": first, "after": [], "sizeBytes": 3000},
        {"service": second, "after": [0], "sizeBytes": 3000},
        {"service": third, "after": [0], "sizeBytes": 3000},
    ]
    chat = route(
        "chat",
        "/chat/",
        "streaming",
        "llm",
        timeoutMs=12000,
        targetLatencyMs=6000,
        sticky=True,
        resumable=True,
        stages=stages,
    )
    services = [
        engine_service("llm"),
        stage_service(first, 1, 100.0),
        stage_service(second, 8, 1200.0),
        stage_service(third, 8, 900.0),
    ]
    store.put("op/config", configuration(1, [chat], services))
    for daemon in daemons:
        daemon.start()
    if not all(daemon.wait_ready() for daemon in daemons):
        return 2
    time.sleep(2.0)
    ends = Counter()
    is_over = threading.Event()
    consumers = []

    def send_requests():
        while not is_over.is_set():
            thread = threading.Thread(
                target=consume, args=(daemons[0].host, record, ends), daemon=True
            )
            thread.start()
            consumers.append(thread)
            time.sleep(PAUSE_S)

    threading.Thread(target=send_requests, daemon=True).start()
    time.sleep(WARM_S)
    for _ in range(KILLS):
        if HAS_TROUBLE:
            record.add(f"killed: {[daemon.id for daemon in killed]}")
            killed[0].send_signal(signal.SIGKILL)
            time.sleep(NEXT_KILL_S)
            for daemon in killed[1:]:
                daemon.send_signal(signal.SIGKILL)
            time.sleep(RESTART_S)
            for daemon in killed:
                daemon.end()
                daemon.values["bootstrap"] = False
                daemon.start()
        time.sleep(REST_S)
        if results.mixed:
            break
    is_over.set()
    for thread in consumers[-100:]:
        thread.join(DEADLINE_S)
    text = f"{len(results.mixed)} given wrong inputs: {results.mixed[:5]}; "
    text += f"answers by status and wholeness: {dict(ends)}"
    record.add(text)
    print(text)
    if not ends[200, True]:
        return 2
    return 1 if results.mixed else 0


if __name__ == "__main__":
    sys.exit(main())
