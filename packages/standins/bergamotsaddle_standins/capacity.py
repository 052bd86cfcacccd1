"""Measures the figures that docs/CAPACITY.md is based on (``make capacity``).

Memory and processor time per target, team and report are measured on the daemon's own
objects in this process; the cost of serving is measured on real daemons on loopback.
Every measurement is bounded and ends by itself.
"""

import bergamotsaddle_daemon._green  # noqa: F401

# isort: split
import os
import sys
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import eventlet
import structlog

from bergamotsaddle_contracts.declaration_reader import parse_declaration
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.instances import Instance, InstanceList, encode_instances
from bergamotsaddle_contracts.messages import (
    Heartbeat,
    TargetReport,
    sign,
    verify_signed,
)
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.platform import HttpReader
from bergamotsaddle_daemon.reports import make_http_load_reader
from bergamotsaddle_daemon.settings import parse_settings
from bergamotsaddle_daemon.targets import Targets
from bergamotsaddle_daemon.views import Views
from bergamotsaddle_standins._web import serve
from bergamotsaddle_standins.client import Caller
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, FleetSpec
from bergamotsaddle_standins.platform import PlatformService
from bergamotsaddle_standins.targets import TargetApp, TargetSpec

ZONES = 9
_KEY = b"0123456789abcdef"
_SETTINGS = parse_settings(
    "[daemon]\nid = e0\nzone = z0\npeer_key = 0123456789abcdef\n"
    "[platform]\nconfig_address = 10.0.0.1:1\ninstances_address = 10.0.0.1:2\n"
)
_SILENT_LOGGER = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.BoundLogger, processors=[]
)
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_IDLE_SECONDS = 6.0
_STREAMS = 50
_STREAM_TOKENS = 400
_CALLS = 1500
_CALLERS = 4
_BOOKINGS = 300


def make_declaration(targets: int, teams: int, pipelines: int) -> str:
    """Return the text of a declaration of the given size."""
    parts = ["[declaration]\nname = size\nrevision = 1"]
    parts += [f"[zone z{n}]" for n in range(ZONES)]
    parts += [
        f"[team team-{n}]\nshare = 1\nkey_digests = {n:064x}" for n in range(teams)
    ]
    parts += [
        f"[target engine-{n}]\naddress = 10.0.{n // 250}.{n % 250 + 1}:8000\n"
        f"zone = z{n % ZONES}\nkind = generate\nmodels = m{n % 12}\nlimit = 16"
        for n in range(targets)
    ]
    parts += [
        f"[pipeline pipe-{n}]\nstages = generate\nmodel = m{n % 12}"
        for n in range(pipelines)
    ]
    return "\n".join(parts) + "\n"


def make_instance_list(entries: int, targets: int) -> InstanceList:
    """Return an instance list of the given size."""
    rows = [
        Instance(f"e{n}", f"z{n % ZONES}", "entry", "live", f"10.1.{n // 250}.1:7000")
        for n in range(entries)
    ]
    rows += [
        Instance(f"engine-{n}", f"z{n % ZONES}", "target", "live", "")
        for n in range(targets)
    ]
    return InstanceList(1, {row.id: row for row in rows})


def measure_processor_seconds(work: Callable[[], Any], repeat: int = 3) -> float:
    """Return the least processor time in seconds of several runs."""
    best = float("inf")
    for _ in range(repeat):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best


def measure_memory(work: Callable[[], Any]) -> tuple[Any, int]:
    """Return the result of a function and the bytes that it retains."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = work()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, after - before


def show_declarations() -> None:
    """Print the size and parse time of declarations by number of targets and teams."""
    headers = ("targets", "teams", "text KB", "parse ms", "change ms", "memory KB")
    print_row("declaration", *headers)
    for targets, teams in ((100, 100), (1000, 100), (4700, 100), (100, 2200)):
        text = make_declaration(targets, teams, 27)
        seconds = measure_processor_seconds(lambda text=text: parse_declaration(text))
        parsed, kept = measure_memory(lambda text=text: parse_declaration(text))
        other = text.replace("revision = 1", "revision = 2", 1)
        change = measure_processor_seconds(
            lambda other=other, parsed=parsed: parse_declaration(other, previous=parsed)
        )
        row = (len(text) / 1024, seconds * 1000, change * 1000, kept / 1024)
        print_row("", targets, teams, *(f"{value:.0f}" for value in row))


def show_view_change() -> None:
    """Print the processor time and memory needed to apply a changed view."""
    print_row(
        "change", "entries", "targets", "targets ms", "homes ms", "memory KB", "list KB"
    )
    for entries, targets in ((9, 100), (9, 1000), (39, 522), (350, 1000), (350, 4700)):
        views = Views(_SETTINGS, DecisionLog(_SETTINGS, _SILENT_LOGGER))
        views.instances = make_instance_list(entries, targets)
        views.declaration = parse_declaration(make_declaration(targets, 5, 5))
        known = Targets(_SETTINGS, views)
        homes = Homes(_SETTINGS, views)
        homes.refresh()
        _, kept = measure_memory(known.refresh)
        figures = (
            measure_processor_seconds(known.refresh) * 1000,
            measure_processor_seconds(
                lambda views=views: Homes(_SETTINGS, views).refresh()
            )
            * 1000,
            measure_processor_seconds(homes.refresh) * 1000,
            kept / 1024,
            len(encode_instances(views.instances)) / 1024,
        )
        print_row("", entries, targets, *(f"{value:.1f}" for value in figures))


def show_heartbeats() -> None:
    """Print the size and processor time of heartbeats by number of reports."""
    print_row("heartbeat", "reports", "bytes", "send us", "receive us")
    for count in (0, 5, 14, 40):
        reports = tuple(
            TargetReport(f"engine-{n}", False, 9, 0.2) for n in range(count)
        )
        beat = Heartbeat(
            "e100",
            "x" * 12,
            1e5,
            1e5,
            "y" * 12,
            0.1,
            99,
            "f" * 32,
            9,
            False,
            True,
            reports,
        )
        datagram = sign(beat, _KEY)
        send = measure_processor_seconds(
            lambda beat=beat: [sign(beat, _KEY) for _ in range(1000)]
        )
        take = measure_processor_seconds(
            lambda data=datagram: [
                verify_signed(data, Heartbeat, _KEY) for _ in range(1000)
            ]
        )
        print_row("", count, len(datagram), f"{send * 1000:.1f}", f"{take * 1000:.1f}")


def show_requests() -> None:
    """Print the bytes of a poll of a target's load and of a watch on the platform."""
    print_row("request", "sent B", "answer B")
    app = TargetApp(TargetSpec("engine-1000", "generate", models=("m1", "m2"), holds=2))
    port = serve(app)
    with _CountingProxy(port) as proxy:
        make_http_load_reader()(proxy.address)
        print_row("poll", proxy.request_bytes, proxy.response_bytes)
    service = PlatformService()
    service.value.publish(b"x")
    tag = service.value.visible()[0]
    with _CountingProxy(serve(service)) as proxy:
        HttpReader(proxy.address, "/v1/values/declaration").read(tag, 0.1)
        print_row("watch", proxy.request_bytes, proxy.response_bytes)


class _CountingProxy:
    """Forwards one connection and counts its bytes in each direction.

    Args:
        port: Port on loopback to forward to.
    """

    def __init__(self, port: int) -> None:
        self._destination = ("127.0.0.1", port)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.request_bytes = 0
        self.response_bytes = 0

    def __enter__(self) -> "_CountingProxy":
        self._thread = eventlet.spawn(self._forward_request)
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.kill()

    def _forward_request(self) -> None:
        client, _ = self._listener.accept()
        server = eventlet.connect(self._destination)
        eventlet.spawn_n(self._forward_response, server, client)
        while data := client.recv(65_536):
            self.request_bytes += len(data)
            server.sendall(data)

    def _forward_response(self, server: Any, client: Any) -> None:
        while data := server.recv(65_536):
            self.response_bytes += len(data)
            client.sendall(data)


def show_idle() -> None:
    """Print the cost of an idle daemon by number of daemons and targets."""
    print_row("idle daemon", "daemons", "targets", "core %", "RSS MB", "calls/s")
    target = TargetSpec("stock-{zone}", "stock")
    for daemons, targets in ((1, 1), (3, 1), (8, 1), (3, 8)):
        specs = tuple(target._replace(id=f"s{n}-{{zone}}") for n in range(targets))
        spec = FleetSpec(daemons=daemons, targets=specs)
        with Fleet(spec) as fleet:
            pids = [process.pid for process in fleet.daemons.values()]
            before = _platform_calls(fleet)
            began = [processor_seconds(pid) for pid in pids]
            eventlet.sleep(_IDLE_SECONDS)
            used = sum(
                processor_seconds(p) - b for p, b in zip(pids, began, strict=True)
            )
            calls = (_platform_calls(fleet) - before) / _IDLE_SECONDS / len(pids)
            memory = max(resident_bytes(pid) for pid in pids) / 1e6
        core = 100 * used / _IDLE_SECONDS / len(pids)
        print_row(
            "",
            len(pids),
            3 * targets,
            f"{core:.2f}",
            f"{memory:.0f}",
            f"{calls:.2f}",
        )


def show_serving() -> None:
    """Print the processor time of a stage call and of a relayed token."""
    stages = tuple(
        TargetSpec(f"{kind}-{{zone}}", kind, slots=64, seconds=0.0)
        for kind in ("encode", "retrieve", "rerank")
    )
    engine = TargetSpec("engine-{zone}", "generate", 256, 0.0, 0.0)
    print_row("serving", "count", "us each", "per core s")
    # The stand-in is busier than the daemon here. A long silence limit keeps its pauses
    # from cutting streams.
    timing = {"token_silence": "10s"}
    spec = FleetSpec(zones=("one",), targets=(*stages, engine), timing=timing)
    with Fleet(spec._replace(deadline="60s")) as fleet:
        pid = fleet.daemons["entry-one-1"].pid
        caller = _make_caller(fleet)
        body = {"input": "x", "stream": True, "max_tokens": 1}
        calls = _CALLS // _CALLERS
        spent = _measure_calls(fleet, pid, caller, body, calls, _CALLERS)
        requests = calls * _CALLERS
        each = spent / (4 * requests)
        print_row("stage call", 4 * requests, f"{each * 1e6:.0f}", f"{1 / each:.0f}")
        body = {"input": "x", "stream": True, "max_tokens": _STREAM_TOKENS}
        before = resident_bytes(pid)
        spent = _measure_calls(fleet, pid, caller, body, 1, _STREAMS)
        tokens = _STREAMS * _STREAM_TOKENS
        spent -= _STREAMS * 4 * each
        print_row(
            "token", tokens, f"{spent / tokens * 1e6:.1f}", f"{tokens / spent:.0f}"
        )
        grown = (resident_bytes(pid) - before) / 1024 / _STREAMS
        print_row("open stream", _STREAMS, "KB each", f"{grown:.0f}")


def show_bookings() -> None:
    """Print the processor time of a ticketed request at issuer and witness."""
    print_row("booking", "count", "ms each")
    orders = TargetSpec("orders-{zone}", "orders", 64, 0.0)
    with Fleet(FleetSpec(zones=("one", "two"), targets=(orders,))) as fleet:
        pids = [process.pid for process in fleet.daemons.values()]
        address = fleet.caller_address("entry-one-1")
        caller = Caller(address, fleet.keys["skippers"], limit=10.0)
        _book(caller, 20)
        before = sum(processor_seconds(pid) for pid in pids)
        _book(caller, _BOOKINGS)
        spent = sum(processor_seconds(pid) for pid in pids) - before
    print_row("", _BOOKINGS, f"{spent / _BOOKINGS * 1000:.2f}")


def _book(caller: Caller, count: int) -> None:
    for _ in range(count):
        ticket = caller.post("/v1/tickets/orders").body["ticket"]
        headers = {"X-Ticket": ticket}
        reply = caller.post("/v1/services/orders/book", {}, headers=headers)
        if reply.status != 200:
            raise SystemExit(f"not booked: status {reply.status}, body {reply.body}")


def _measure_calls(
    fleet: Fleet, pid: int, caller: Caller, body: dict, calls: int, callers: int
) -> float:
    """Return the processor seconds a daemon uses to serve concurrent callers."""

    def work() -> None:
        for _ in range(calls):
            reply = caller.post(f"/v1/pipelines/{PIPELINE}", body)
            if not reply.is_complete:
                raise SystemExit(
                    f"incomplete response: status {reply.status}, body {reply.body}"
                )

    work()
    before = processor_seconds(pid)
    threads = [eventlet.spawn(work) for _ in range(callers)]
    for thread in threads:
        thread.wait()
    return processor_seconds(pid) - before


def _make_caller(fleet: Fleet) -> Caller:
    return Caller(
        fleet.caller_address("entry-one-1"), fleet.keys["barge-crews"], limit=60.0
    )


def _platform_calls(fleet: Fleet) -> int:
    return sum(fleet.control(name)["calls"] for name in ("config", "instances"))


def processor_seconds(pid: int) -> float:
    """Return the user and system processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def print_row(*cells: Any) -> None:
    """Print one row of cells in columns of equal width."""
    sys.stdout.write("".join(f"{cell!s:>13}" for cell in cells) + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the named measurements, or all."""
    parts = {
        "declarations": show_declarations,
        "change": show_view_change,
        "heartbeats": show_heartbeats,
        "requests": show_requests,
        "idle": show_idle,
        "serving": show_serving,
        "bookings": show_bookings,
    }
    for name in sys.argv[1:] or list(parts):
        parts[name]()
    return 0


if __name__ == "__main__":
    sys.exit(main())
