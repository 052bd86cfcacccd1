"""Measures what docs/CAPACITY.md is worked out from (``make capacity``).

Slopes of state and processor time come from the daemon's own objects in this process,
costs of serving from real daemons on loopback. Everything is bounded and stops by
itself.
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
_SILENT = structlog.wrap_logger(
    structlog.ReturnLogger(), wrapper_class=structlog.BoundLogger, processors=[]
)
_TICKS = os.sysconf("SC_CLK_TCK")
_IDLE_SECONDS = 6.0
_STREAMS = 50
_STREAM_TOKENS = 400
_CALLS = 1500
_CALLERS = 4
_BOOKINGS = 300


def make_text(targets: int, teams: int, pipelines: int) -> str:
    """A declaration of a size."""
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


def make_list(entries: int, targets: int) -> InstanceList:
    """An instance list of a size."""
    rows = [
        Instance(f"e{n}", f"z{n % ZONES}", "entry", "live", f"10.1.{n // 250}.1:7000")
        for n in range(entries)
    ]
    rows += [
        Instance(f"engine-{n}", f"z{n % ZONES}", "target", "live", "")
        for n in range(targets)
    ]
    return InstanceList(1, {row.id: row for row in rows})


def time_of(work: Callable[[], Any], repeat: int = 3) -> float:
    """Least processor time in seconds of some runs."""
    best = float("inf")
    for _ in range(repeat):
        began = time.process_time()
        work()
        best = min(best, time.process_time() - began)
    return best


def memory_of(work: Callable[[], Any]) -> tuple[Any, int]:
    """A result and the bytes that it keeps."""
    tracemalloc.start()
    before = tracemalloc.get_traced_memory()[0]
    result = work()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return result, after - before


def show_declarations() -> None:
    """Bytes and processor time of a declaration by number of targets and teams."""
    headers = ("targets", "teams", "text KB", "parse ms", "change ms", "memory KB")
    say("declaration", *headers)
    for targets, teams in ((100, 100), (1000, 100), (4700, 100), (100, 2200)):
        text = make_text(targets, teams, 27)
        seconds = time_of(lambda text=text: parse_declaration(text))
        whole, kept = memory_of(lambda text=text: parse_declaration(text))
        other = text.replace("revision = 1", "revision = 2", 1)
        change = time_of(
            lambda other=other, whole=whole: parse_declaration(other, previous=whole)
        )
        row = (len(text) / 1024, seconds * 1000, change * 1000, kept / 1024)
        say("", targets, teams, *(f"{value:.0f}" for value in row))


def show_change() -> None:
    """Processor time and memory of taking a changed view."""
    say(
        "change", "entries", "targets", "targets ms", "homes ms", "memory KB", "list KB"
    )
    for entries, targets in ((9, 100), (9, 1000), (39, 522), (350, 1000), (350, 4700)):
        views = Views(_SETTINGS, DecisionLog(_SETTINGS, _SILENT))
        views.instances = make_list(entries, targets)
        views.declaration = parse_declaration(make_text(targets, 5, 5))
        known = Targets(_SETTINGS, views)
        homes = Homes(_SETTINGS, views)
        homes.refresh()
        _, kept = memory_of(known.refresh)
        figures = (
            time_of(known.refresh) * 1000,
            time_of(lambda views=views: Homes(_SETTINGS, views).refresh()) * 1000,
            time_of(homes.refresh) * 1000,
            kept / 1024,
            len(encode_instances(views.instances)) / 1024,
        )
        say("", entries, targets, *(f"{value:.1f}" for value in figures))


def show_heartbeats() -> None:
    """Bytes and processor time of a heartbeat by number of reports."""
    say("heartbeat", "reports", "bytes", "send us", "receive us")
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
        send = time_of(lambda beat=beat: [sign(beat, _KEY) for _ in range(1000)])
        take = time_of(
            lambda data=datagram: [
                verify_signed(data, Heartbeat, _KEY) for _ in range(1000)
            ]
        )
        say("", count, len(datagram), f"{send * 1000:.1f}", f"{take * 1000:.1f}")


def show_requests() -> None:
    """Bytes of a poll of a target's load and of a watch of the platform."""
    say("request", "sent B", "answer B")
    app = TargetApp(TargetSpec("engine-1000", "generate", models=("m1", "m2"), holds=2))
    port = serve(app)
    with _Recorder(port) as recorder:
        make_http_load_reader()(recorder.address)
        say("poll", recorder.sent, recorder.answered)
    service = PlatformService()
    service.value.publish(b"x")
    tag = service.value.visible()[0]
    with _Recorder(serve(service)) as recorder:
        HttpReader(recorder.address, "/v1/values/declaration").read(tag, 0.1)
        say("watch", recorder.sent, recorder.answered)


class _Recorder:
    """Passes one connection on and counts its bytes.

    Args:
        port: Where to pass it on to.
    """

    def __init__(self, port: int) -> None:
        self._to = ("127.0.0.1", port)
        self._listener = eventlet.listen(("127.0.0.1", 0))
        self.address = Address(*self._listener.getsockname())
        self.sent = 0
        self.answered = 0

    def __enter__(self) -> "_Recorder":
        self._thread = eventlet.spawn(self._pass_on)
        return self

    def __exit__(self, *_: object) -> None:
        self._thread.kill()

    def _pass_on(self) -> None:
        client, _ = self._listener.accept()
        server = eventlet.connect(self._to)
        eventlet.spawn_n(self._answer, server, client)
        while data := client.recv(65_536):
            self.sent += len(data)
            server.sendall(data)

    def _answer(self, server: Any, client: Any) -> None:
        while data := server.recv(65_536):
            self.answered += len(data)
            client.sendall(data)


def show_idle() -> None:
    """Idle cost of a daemon by number of daemons, targets and platform calls."""
    say("idle daemon", "daemons", "targets", "core %", "RSS MB", "calls/s")
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
        say(
            "",
            len(pids),
            3 * targets,
            f"{core:.2f}",
            f"{memory:.0f}",
            f"{calls:.2f}",
        )


def show_serving() -> None:
    """Processor time of a stage call and of a relayed token."""
    stages = tuple(
        TargetSpec(f"{kind}-{{zone}}", kind, slots=64, seconds=0.0)
        for kind in ("encode", "retrieve", "rerank")
    )
    engine = TargetSpec("engine-{zone}", "generate", 256, 0.0, 0.0)
    say("serving", "count", "us each", "per core s")
    # The stand-in is busier than the daemon here; its pauses are not to be measured.
    timing = {"token_silence": "10s"}
    spec = FleetSpec(zones=("one",), targets=(*stages, engine), timing=timing)
    with Fleet(spec._replace(deadline="60s")) as fleet:
        pid = fleet.daemons["entry-one-1"].pid
        caller = _caller(fleet)
        body = {"input": "x", "stream": True, "max_tokens": 1}
        calls = _CALLS // _CALLERS
        spent = _spend(fleet, pid, caller, body, calls, _CALLERS)
        requests = calls * _CALLERS
        each = spent / (4 * requests)
        say("stage call", 4 * requests, f"{each * 1e6:.0f}", f"{1 / each:.0f}")
        body = {"input": "x", "stream": True, "max_tokens": _STREAM_TOKENS}
        before = resident_bytes(pid)
        spent = _spend(fleet, pid, caller, body, 1, _STREAMS)
        tokens = _STREAMS * _STREAM_TOKENS
        spent -= _STREAMS * 4 * each
        say("token", tokens, f"{spent / tokens * 1e6:.1f}", f"{tokens / spent:.0f}")
        grown = (resident_bytes(pid) - before) / 1024 / _STREAMS
        say("open stream", _STREAMS, "KB each", f"{grown:.0f}")


def show_bookings() -> None:
    """Processor time of a ticketed request, issuer and witness together."""
    say("booking", "count", "ms each")
    orders = TargetSpec("orders-{zone}", "orders", 64, 0.0)
    with Fleet(FleetSpec(zones=("one", "two"), targets=(orders,))) as fleet:
        pids = [process.pid for process in fleet.daemons.values()]
        address = fleet.callers("entry-one-1")
        caller = Caller(address, fleet.keys["skippers"], limit=10.0)
        _book(caller, 20)
        before = sum(processor_seconds(pid) for pid in pids)
        _book(caller, _BOOKINGS)
        spent = sum(processor_seconds(pid) for pid in pids) - before
    say("", _BOOKINGS, f"{spent / _BOOKINGS * 1000:.2f}")


def _book(caller: Caller, count: int) -> None:
    for _ in range(count):
        ticket = caller.ask("/v1/tickets/orders").body["ticket"]
        headers = {"X-Ticket": ticket}
        reply = caller.ask("/v1/services/orders/book", {}, headers=headers)
        if reply.status != 200:
            raise SystemExit(f"not booked: {reply.status} {reply.body}")


def _spend(
    fleet: Fleet, pid: int, caller: Caller, body: dict, calls: int, callers: int
) -> float:
    """Processor time a daemon takes for some callers' calls."""

    def work() -> None:
        for _ in range(calls):
            reply = caller.ask(f"/v1/pipelines/{PIPELINE}", body)
            if not reply.whole:
                raise SystemExit(f"not whole: {reply.status} {reply.body}")

    work()
    before = processor_seconds(pid)
    threads = [eventlet.spawn(work) for _ in range(callers)]
    for thread in threads:
        thread.wait()
    return processor_seconds(pid) - before


def _caller(fleet: Fleet) -> Caller:
    return Caller(fleet.callers("entry-one-1"), fleet.keys["barge-crews"], limit=60.0)


def _platform_calls(fleet: Fleet) -> int:
    return sum(fleet.control(name)["calls"] for name in ("config", "instances"))


def processor_seconds(pid: int) -> float:
    """Processor time that a process has used, user and system."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS


def resident_bytes(pid: int) -> int:
    """Memory that a process has resident."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def say(*cells: Any) -> None:
    """Print one row."""
    sys.stdout.write("".join(f"{cell!s:>13}" for cell in cells) + "\n")
    sys.stdout.flush()


def main() -> int:
    """Measure everything, or what is named."""
    parts = {
        "declarations": show_declarations,
        "change": show_change,
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
