"""A rejection that comes once more is taken for the answer to the next request."""

import asyncio
import random
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.case import Case, main  # noqa: E402
from common.http import Consumer, Message  # noqa: E402
from common.machines import STABLE_WINDOW_S, ZONES, find_hosts, find_port  # noqa: E402
from common.replicas import Replica  # noqa: E402

_HOST = "jepu9.example"
_KEY = "9dnn2ctnfzs989anu6ws"
_SECONDS = 60.0
_CONSUMERS = 26
_PAUSE_S = 0.1
# `garble`, `extra late`: x = 0.03 of the answers of one replica of 3, 5 s each time.
_ANSWERS_PER_EXTRA = 34
_TROUBLE_S = 5.0
_CALM_S = 1.0
_PROMISES = (408, 421, 429, 503)
_CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-orders",
            "host": _HOST,
            "prefix": "/bobo563/",
            "kind": "non_idempotent",
            "timeoutMs": 1200,
            "targetLatencyMs": 150,
            "priority": 2,
            "service": "wuno96b",
            "attempts": 1,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "wuno96b",
            "healthPath": "/health",
            "maxConnections": 100,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
        }
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [{"name": "bozi300", "apiKeys": [_KEY], "priority": 1}],
}


class Trouble:
    """The disturbance of one replica.

    Args:
        case: The case, which says when it lasts.
    """

    def __init__(self, case: Case) -> None:
        self._case = case
        self._answers = 0
        self._extras = 0

    def _lasts(self) -> bool:
        return self._case.is_disturbed(_TROUBLE_S, _CALM_S)

    def doubles(self, request: Message, status: int) -> bool:
        """Return whether an answer comes once more: one in 34, rejections first."""
        if "x-request-id" not in request.headers or not self._lasts():
            return False
        self._answers += 1
        is_due = (self._extras + 1) * _ANSWERS_PER_EXTRA <= self._answers
        if status == 503 and is_due:
            self._extras += 1
            return True
        return False


async def _consume(case: Case, number: int, answers: dict[str, int | None]) -> None:
    rng = random.Random(number)
    machine = case.machines[number % len(case.machines)]
    consumer = Consumer(machine.front)
    while case.seconds < _SECONDS:
        await asyncio.sleep(rng.uniform(0.5, 1.5) * _PAUSE_S)
        name = f"{number:02d}-{rng.getrandbits(48):012x}"
        headers = {
            "Host": _HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": "2500",
            "Authorization": f"Token {_KEY}",
        }
        path = f"/bobo563/{rng.randint(1, 99)}"
        case.write(f"consumer {number} asks {machine.name} for {name}")
        answer = await consumer.ask("POST", path, headers, b"x" * 600)
        answers[name] = None if answer is None else answer.status
        case.write(f"consumer {number} gets {answers[name]} for {name}")
    consumer.close()


async def play(case: Case) -> None:
    """Play the case."""
    hosts = find_hosts(3)
    replicas = []
    for number, zone in enumerate(ZONES):
        address = (hosts[number], find_port(hosts[number]))
        replica = Replica(
            case.store,
            case.write,
            service="wuno96b",
            address=address,
            zone=zone,
            slots=3,
            queue=3,
            seconds=0.045,
            rng=random.Random(number),
        )
        replicas.append(replica)
        await replica.start()
    trouble = Trouble(case)
    replicas[0].doubles = trouble.doubles
    case.store.write_json("op/config", _CONFIG)
    await case.start_machines(3)
    await asyncio.sleep(STABLE_WINDOW_S)
    answers: dict[str, int | None] = {}
    await asyncio.gather(*(_consume(case, n, answers) for n in range(_CONSUMERS)))
    await asyncio.sleep(1.0)
    _judge(case, replicas, answers)


def _judge(case: Case, replicas: list[Replica], answers: dict[str, int | None]) -> None:
    runs: dict[str, list[str]] = {}
    for replica in replicas:
        for run in replica.runs:
            runs.setdefault(run.request, []).append(run.replica)
    for name, ran_at in runs.items():
        if len(ran_at) > 1:
            case.record_break(f"TWICE: {name} ran at {', '.join(ran_at)}")
        if answers.get(name) in _PROMISES:
            case.record_break(f"REFUSED: {name} got {answers[name]} and has run")
    good = sum(status == 200 for status in answers.values())
    case.write(f"{len(answers)} requests, {good} got 200, {len(runs)} have run")


if __name__ == "__main__":
    main(HERE, play)
