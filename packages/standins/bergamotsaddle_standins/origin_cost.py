"""Measures what it costs a fleet to know the software that began each stream.

Run by ``make origins``. The instances are objects of one process on a virtual clock, so
datagrams and bytes are exact, while processor time is that of this machine. Each
instance begins streams evenly; one of them is killed in the end, and its callers take
their streams up at the others.
"""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
import random
import sys
import time
import tracemalloc
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.origin_exchange import FoundOrigin, OriginExchange
from bergamotsaddle_serving.stream_origins import (
    KnownStream,
    StreamOrigin,
    StreamOrigins,
    stream_key,
)
from bergamotsaddle_standins.meeting import parse_sizes
from bergamotsaddle_standins.paused_hub import advance, use_paused_clock
from bergamotsaddle_standins.peer_fleet import PeerFleet, WiredPeers

_SIZES = (7, 66, 195, 350)
_SEED = 1
_SETTLE_S = 4.0
_RUN_S = 2.0
# New streams per second and instance at 40,000 requests a second and 350 instances.
_STREAMS_PER_S = 114
_LIFETIME_S = 8.0
_STEPS_PER_S = 100
_ORIGIN = StreamOrigin("engine", "v1")
_TAKE_UPS = 20


class OriginCost(NamedTuple):
    """Cost of the origins for each instance.

    Attributes:
        datagrams: Datagrams sent per second, without heartbeats.
        kilobytes: Size of those datagrams in kB per second.
        microseconds: Processor time per stream at the instance that begins it and at
            its backups together.
        found: Streams that were found of those taken up after a kill.
        asked: Datagrams that each of these needed.
        seconds: Longest time until one was found.
    """

    datagrams: float
    kilobytes: float
    microseconds: float
    found: int
    asked: float
    seconds: float


class _Fleet:
    """A fleet whose instances exchange origins."""

    def __init__(self, size: int) -> None:
        use_paused_clock()
        random.seed(_SEED)
        self.peers = PeerFleet(size)
        self.exchanges = [OriginExchange(StreamOrigins(), p) for p in self.peers]
        self.peers.start(within=0.3)
        for _ in range(int(_SETTLE_S * _STEPS_PER_S)):
            advance(1.0 / _STEPS_PER_S)

    def run(self, *, begins: bool) -> tuple[int, int, float]:
        """Let streams begin; return datagrams, bytes and processor time."""
        before = self._count()
        started_at = time.process_time()
        for step in range(int(_RUN_S * _STEPS_PER_S)):
            if begins:
                self._begin(step)
            advance(1.0 / _STEPS_PER_S)
        seconds = time.process_time() - started_at
        after = self._count()
        return after[0] - before[0], after[1] - before[1], seconds

    def _begin(self, step: int) -> None:
        """Begin the streams of one step at each instance."""
        first = step * _STREAMS_PER_S // _STEPS_PER_S
        last = (step + 1) * _STREAMS_PER_S // _STEPS_PER_S
        for number, exchange in enumerate(self.exchanges):
            for stream in range(first, last):
                key = stream_key("team", f"{number}-{stream}")
                exchange.record(KnownStream(key, _ORIGIN, now() + _LIFETIME_S))

    def _count(self) -> tuple[int, int]:
        peers: list[WiredPeers] = list(self.peers)
        return sum(p.sent for p in peers), sum(p.bytes_sent for p in peers)

    def take_up(self) -> list[tuple[FoundOrigin | None, int, float]]:
        """Kill an instance and take its last streams up at the others."""
        self.peers.kill("i0")
        found = []
        last = int(_RUN_S * _STREAMS_PER_S) - 1
        for stream in range(_TAKE_UPS):
            exchange = self.exchanges[1 + stream % (len(self.exchanges) - 1)]
            key = stream_key("team", f"0-{last - stream}")
            eventlet.spawn_n(self._find, exchange, key, found)
            advance(0.3)
        return found

    def _find(self, exchange: OriginExchange, key: int, found: list) -> None:
        peers = exchange.peers
        sent, started_at = peers.sent, now()
        origin = exchange.find(key)
        found.append((origin, peers.sent - sent, now() - started_at))


def measure_cost(size: int) -> OriginCost:
    """Measure the cost of origins in a fleet."""
    idle = _Fleet(size).run(begins=False)
    fleet = _Fleet(size)
    busy = fleet.run(begins=True)
    datagrams, octets, seconds = (b - i for b, i in zip(busy, idle, strict=True))
    streams = size * _RUN_S * _STREAMS_PER_S
    found = fleet.take_up()
    per_instance = size * _RUN_S
    return OriginCost(
        datagrams / per_instance,
        octets / per_instance / 1_000,
        seconds / streams * 1e6,
        sum(origin is not None for origin, _, _ in found),
        sum(asked for _, asked, _ in found) / len(found),
        max(waited for origin, _, waited in found if origin is not None),
    )


def measure_memory() -> float:
    """Return the memory of the streams that one instance knows, in MB."""
    tracemalloc.start()
    origins = StreamOrigins()
    # Its own streams, and those of three others whose backup it is.
    for stream in range(int(4 * _STREAMS_PER_S * _LIFETIME_S)):
        key = stream_key("team", str(stream))
        origins.add(KnownStream(key, _ORIGIN, now() + _LIFETIME_S))
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / 1e6


def main() -> int:
    """Print a row for each fleet size given as an argument, or the default sizes."""
    try:
        sizes = parse_sizes(sys.argv[1:]) or list(_SIZES)
    except ValueError as error:
        sys.stderr.write(f"origins: {error}\n")
        return 2
    sys.stdout.write("instances  datagrams/s  kB/s  us/stream  found  asked  seconds\n")
    for size in sizes:
        row = measure_cost(size)
        sys.stdout.write(
            f"{size:9}  {row.datagrams:11.1f}  {row.kilobytes:4.1f}"
            f"  {row.microseconds:9.0f}  {row.found:2}/{_TAKE_UPS}"
            f"  {row.asked:5.0f}  {row.seconds:7.3f}\n"
        )
        sys.stdout.flush()
    sys.stdout.write(
        f"memory of the streams at an instance: {measure_memory():.2f} MB\n"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
