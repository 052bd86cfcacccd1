"""Once all machines have been started again, no broken stream can be taken up."""

import asyncio
import random
import re
import signal
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from common.case import Case, main  # noqa: E402
from common.http import request_bytes  # noqa: E402
from common.machines import (  # noqa: E402
    STABLE_WINDOW_S,
    ZONES,
    Machine,
    find_hosts,
    find_port,
)
from common.replicas import StreamReplica  # noqa: E402

_HOST = "pule25.example"
_KEY = "9dnn2ctnfzs989anu6ws"
_SECONDS = 46.0
_CONSUMERS = 48
_DEADLINE_S = 12.0
# What a consumer waits for an event: four times the objective, here the longest.
_PATIENCE_S = 7.6
_RETRY_PAUSES_S = (0.5, 1.0, 1.5, 2.0)
# `herd_kill`, on core: all of them are killed; they are down for 1 s.
_KILLED_AT_S = 20.0
_DOWN_S = 1.0
_MIN_RESUMED = 12
_EVENT = re.compile(rb"id: ([0-9]+)\n[^\n]*\n\n")
_CONFIG = {
    "version": 7,
    "routes": [
        {
            "name": "r-marking",
            "host": _HOST,
            "prefix": "/puxa400/",
            "kind": "streaming",
            "timeoutMs": 12000,
            "targetLatencyMs": 1900,
            "targetGapMs": 300,
            "priority": 0,
            "service": "huvo11a",
            "attempts": 2,
            "sticky": True,
            "resumable": True,
            "public": False,
        }
    ],
    "services": [
        {
            "name": "huvo11a",
            "healthPath": "/health",
            "maxConnections": 360,
            "protocol": "h1",
            "tls": False,
            "coldStartS": 0.0,
            "coldPerS": 0.0,
            "engine": {
                "slots": 64,
                "kvCapacityTokens": 458010,
                "kvTokenBytes": 163840,
                "bandwidthMbps": 130000.0,
                "stride": 4,
                "most": 12,
                "handleS": 5.0,
                "models": [{"name": "m"}],
            },
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


class Tally:
    """Tries at machines in touch, by whether they took a stream up, and their success.

    Attributes:
        tries: Numbers of new streams and of streams that were taken up.
        good: Numbers of those that began or went on.
    """

    def __init__(self) -> None:
        self.tries = {False: 0, True: 0}
        self.good = {False: 0, True: 0}

    def record(self, *, is_resumed: bool, is_good: bool) -> None:
        """Record a try."""
        self.tries[is_resumed] += 1
        self.good[is_resumed] += is_good

    def share(self, *, is_resumed: bool) -> float:
        """Return the share of the tries that succeeded."""
        return self.good[is_resumed] / max(1, self.tries[is_resumed])


class Consumer:
    """A consumer of streams, which takes up those that break off.

    Args:
        case: The case.
        number: Its number.
        tally: Counts its tries.
        started_at: When each machine was started last.
    """

    def __init__(
        self, case: Case, number: int, tally: Tally, started_at: dict[str, float]
    ) -> None:
        self._case = case
        self._number = number
        self._tally = tally
        self._started_at = started_at
        self._rng = random.Random(number)

    async def run(self) -> None:
        """Ask for one stream after the other."""
        await asyncio.sleep(self._rng.uniform(0.0, _DEADLINE_S))
        while self._case.seconds < _SECONDS - _DEADLINE_S:
            await asyncio.sleep(self._rng.uniform(0.0, 2.0))
            await self._follow_stream()

    async def _follow_stream(self) -> None:
        deadline_at = time.monotonic() + _DEADLINE_S
        begun_by, last = "", 0
        last_at = time.monotonic()
        for pause in (*_RETRY_PAUSES_S, 0.0):
            name = f"{self._number:02d}-{self._rng.getrandbits(48):012x}"
            machine = self._rng.choice(self._case.machines)
            left = deadline_at - time.monotonic()
            if left <= 0 or time.monotonic() - last_at > _PATIENCE_S:
                return
            is_in_touch = self._is_in_touch(machine)
            resumed = f" resumes {begun_by} at {last}" if begun_by else ""
            self._case.write(f"{name} at {machine.name}{resumed}")
            is_whole, status, events = await self._try(
                machine, name, begun_by, last, left
            )
            self._case.write(
                f"{name} gets {status}, events to {events}, whole: {is_whole}"
            )
            if is_in_touch and status:
                self._tally.record(is_resumed=bool(begun_by), is_good=events > last)
            if events > last:
                begun_by = begun_by or name
                last, last_at = events, time.monotonic()
            if is_whole:
                return
            await asyncio.sleep(pause)

    def _is_in_touch(self, machine: Machine) -> bool:
        since = time.monotonic() - self._started_at[machine.name]
        return since >= STABLE_WINDOW_S and not machine.has_ended()

    async def _try(
        self, machine: Machine, name: str, begun_by: str, last: int, left: float
    ) -> tuple[bool, int, int]:
        """Ask once: whether the answer was whole, its status and its last event."""
        headers = {
            "Host": _HOST,
            "X-Request-Id": name,
            "X-Deadline-Ms": str(int(left * 1000)),
            "Authorization": f"Token {_KEY}",
            "X-Model": "m",
            "X-Token-Usage": "400,160",
            "X-Prefix-Hash": f"5c1e07a2:200,{self._number:08x}:200",
        }
        if begun_by:
            headers |= {"Last-Event-Id": str(last), "Resumes": begun_by}
        status, data, writer = 0, b"", None
        try:
            async with asyncio.timeout(left):
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(*machine.front)
                path = "/puxa400/2f"
                writer.write(request_bytes("POST", path, headers, b"x" * 900))
                await writer.drain()
                status = int((await reader.readline() or b"0 0").split(b" ")[1])
                while part := await reader.read(65_536):
                    data += part
                    if data.endswith(b"0\r\n\r\n") or status != 200:
                        break
        except (OSError, TimeoutError, IndexError):
            pass
        finally:
            if writer is not None:
                writer.close()
        numbers = [int(number) for number in _EVENT.findall(data)]
        is_whole = status == 200 and data.endswith(b"0\r\n\r\n")
        return is_whole, status, max([last, *numbers])


async def play(case: Case) -> None:
    """Play the case."""
    hosts = find_hosts(6)
    for number, zone in enumerate([*ZONES, *ZONES]):
        replica = StreamReplica(
            case.store,
            case.write,
            service="huvo11a",
            address=(hosts[number], find_port(hosts[number])),
            zone=zone,
            slots=64,
            queue=134,
            seconds=0.1,
            rng=random.Random(number),
        )
        await replica.start()
    case.store.write_json("op/config", _CONFIG)
    await case.start_machines(3)
    started_at = {machine.name: time.monotonic() for machine in case.machines}
    await asyncio.sleep(STABLE_WINDOW_S)
    tally = Tally()
    consumers = [Consumer(case, n, tally, started_at) for n in range(_CONSUMERS)]
    tasks = [asyncio.create_task(consumer.run()) for consumer in consumers]
    if case.has_trouble:
        await asyncio.sleep(_KILLED_AT_S - case.seconds)
        case.write("all processes are killed")
        for machine in case.machines:
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(_DOWN_S)
        for machine in case.machines:
            machine.end()
            machine.start()
            started_at[machine.name] = time.monotonic()
        case.write("all processes are started again")
    await asyncio.gather(*tasks)
    _judge(case, tally)


def _judge(case: Case, tally: Tally) -> None:
    went_on, begun = tally.share(is_resumed=True), tally.share(is_resumed=False)
    summary = (
        f"{tally.good[True]} of {tally.tries[True]} streams that were taken up went "
        f"on, {tally.good[False]} of {tally.tries[False]} new ones began"
    )
    case.write(summary)
    if tally.tries[True] >= _MIN_RESUMED and went_on < 0.5 * begun:
        case.record_break(f"LOST: {summary}")


if __name__ == "__main__":
    main(HERE, play)
