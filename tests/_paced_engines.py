"""Engines on real sockets that send events at a pace, and an instance before them."""

import re
import socket
from itertools import count
from types import SimpleNamespace
from typing import NamedTuple
from unittest import mock

import eventlet
import eventlet.green.socket

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_platform.dialect import PlatformDialect
from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.catalog import Kind, Route, Share, Stage
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.health import Health
from bergamotsaddle_serving.selector import Selector
from bergamotsaddle_serving.settings import BoundSettings
from bergamotsaddle_serving.stage_load import ScopeLoad, StageLoad
from bergamotsaddle_serving.stage_run import StageOutcome, StageRun
from bergamotsaddle_serving.streams import StreamServer
from tests._resumptions import make_lone_instance, make_target
from tests.test_broken_streams import (
    HEAD,
    HOST,
    LAST_EVENT_ID,
    LINGER_RESET,
    connect,
    make_context,
    read_response,
)

SERVICE = "s"
EVENTS = 16
EVENT_GAP_S = 0.04
# Seconds without an event after which the caller of a stream gives up.
PATIENCE_S = 3.6
REQUEST_ID = re.compile(rb"x-request-id: (\S+)", re.IGNORECASE)
FOREVER = float("inf")
NOT_RUN = b"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
FAILED = (
    b"HTTP/1.1 500 Failed\r\nX-Request-Id: %s\r\nX-Response-Seal: x\r\n"
    b"Content-Length: 0\r\n\r\n"
)
# Requests that an engine runs at once, so that none is turned away.
_SLOTS = 32
_POLL_S = 0.005
_BACKLOG = 200
# A backlog of 0 holds one connection.
_FILLERS = 3
# The budget of an instance alone takes its share for a fleet of this size, and uses a
# fraction of that.
_MIN_FLEET = 6
_USED_FRACTION = 0.6


class EngineScript(NamedTuple):
    """What an engine does.

    Attributes:
        pauses: Seconds for which it sends nothing once an event with some number is
            due for the first time, by that number; with 0, as soon as it runs, and
            with the number behind the last event, before the end.
        is_burst: Whether all that was due in a pause is sent at its end; otherwise
            the events behind it are paced as before.
        reset_after: Seconds from the start of its first pause after which it resets
            the connection, None if it doesn't.
        reset_at: Number of an event instead of which it resets the connection once,
            0 if it doesn't.
        is_split: Whether half of an event is sent before the pause.
        holds_head: Whether the head is sent with the first event only.
        first_delay: Seconds until the first event of each response.
        refusal: A response that it sends to each request instead of a stream.
        is_down: Whether it refuses connections.
        is_hanging: Whether connections to it are never opened.
    """

    pauses: dict[int, float] = {}  # noqa: RUF012
    is_burst: bool = False
    reset_after: float | None = None
    reset_at: int = 0
    is_split: bool = False
    holds_head: bool = False
    first_delay: float = 0.0
    refusal: bytes = b""
    is_down: bool = False
    is_hanging: bool = False


class EngineRun:
    """A request that reached an engine.

    Attributes:
        request: Id of the request.
        after: Number of the event that it goes on behind.
        started_at: When it arrived, on the hub's clock.
        first_event_at: When its first event was sent, None before.
        sent_at_by_event: When each event was sent.
        has_ended: Whether the engine has sent all it had, or reset the connection.
        closed_at: When its connection was closed before that.
    """

    def __init__(self, request, after):
        self.request = request
        self.after = after
        self.started_at = now()
        self.sent_at_by_event = {}
        self.has_ended = False
        self.closed_at = None

    @property
    def first_event_at(self):
        """When its first event was sent, None before."""
        return min(self.sent_at_by_event.values(), default=None)

    @property
    def is_open(self):
        """Whether the engine still works on it."""
        return not self.has_ended and self.closed_at is None


class PacedEngine:
    """An engine whose events are due at a steady pace.

    Args:
        script: What it does.
        is_numbered: Whether its events have ids.

    Attributes:
        runs: Requests that reached it.
        address: Its address.
        silent_since: When its last pause began, None before the first one.
        silent_until: When that ends.
    """

    def __init__(self, script, *, is_numbered=True):
        self._script = script
        self._is_numbered = is_numbered
        self._pauses = dict(script.pauses)
        self.runs = []
        self.silent_since = None
        self.silent_until = 0.0
        self._has_reset = False
        if 0 in self._pauses:
            self.pause(self._pauses.pop(0))
        self._threads = []
        self._listener = eventlet.green.socket.socket()
        # A port that is bound but not listened on refuses connections and stays ours.
        self._listener.bind((HOST, 0))
        self.address = Address(*self._listener.getsockname())
        self._fillers = []
        if script.is_hanging:
            self._fill_backlog()
        elif not script.is_down:
            self._listener.listen(_BACKLOG)
            self._spawn(self._accept)

    def pause(self, seconds):
        """Send nothing for some seconds, on any connection."""
        self.silent_since = now()
        self.silent_until = now() + seconds

    def close(self):
        """Stop listening and end all connections."""
        for thread in self._threads:
            thread.kill()
        self._listener.close()
        for filler in self._fillers:
            filler.close()

    def _fill_backlog(self):
        # With a full backlog the kernel drops the first packet of new connections.
        self._listener.listen(0)
        for _ in range(_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(tuple(self.address))
            self._fillers.append(filler)

    def _spawn(self, function, *args):
        thread = eventlet.spawn(function, *args)
        self._threads.append(thread)
        return thread

    def _accept(self):
        while True:
            sock, _ = self._listener.accept()
            self._spawn(self._read, sock)

    def _read(self, sock):
        run = writer = None
        try:
            while request := sock.recv(65_536):
                after = LAST_EVENT_ID.search(request)
                request_id = REQUEST_ID.search(request).group(1)
                run = EngineRun(request_id, int(after.group(1)) if after else 0)
                self.runs.append(run)
                writer = self._spawn(self._write, sock, run, eventlet.getcurrent())
        except OSError:
            # The instance has reset the connection.
            sock.close()
        if run is not None and run.is_open:
            run.closed_at = now()
            writer.kill()
        sock.close()

    def _write(self, sock, run, reader):
        script = self._script
        if script.refusal:
            run.has_ended = True
            response = script.refusal
            sock.sendall(response % run.request if b"%s" in response else response)
            return
        head = HEAD.replace(b"r1", run.request) + b"Transfer-Encoding: chunked\r\n\r\n"
        if not script.holds_head:
            sock.sendall(head)
            head = b""
        due_at = run.started_at + script.first_delay
        for number in range(run.after + 1, EVENTS + 2):
            self._sleep_until(due_at)
            event = self._event(number) if number <= EVENTS else b""
            if number in self._pauses:
                if script.is_split and event:
                    half, event = event[:5], event[5:]
                    sock.sendall(head + _encode_chunk(half))
                    head = b""
                self.pause(self._pauses.pop(number))
            if not self._wait_until_due(due_at) or self._is_reset_at(number):
                self._reset(sock, run, reader)
                return
            if event:
                run.sent_at_by_event[number] = now()
            try:
                sock.sendall(head + _encode_chunk(event))
            except OSError:
                # The instance has closed the connection; the reader records it.
                return
            head = b""
            due_at = (due_at if script.is_burst else now()) + EVENT_GAP_S
        run.has_ended = True

    def _is_reset_at(self, number):
        """Return whether the connection is to break once at an event."""
        is_due = number == self._script.reset_at and not self._has_reset
        self._has_reset |= is_due
        return is_due

    def _reset(self, sock, run, reader):
        run.has_ended = True
        reader.kill()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        sock.close()

    def _wait_until_due(self, due_at):
        """Wait for the end of a pause; return False if the connection is to break."""
        reset_after = self._script.reset_after
        while now() < max(due_at, self.silent_until):
            if (
                reset_after is not None
                and now() >= self.silent_since + reset_after
                and now() < self.silent_until
            ):
                return False
            eventlet.sleep(_POLL_S)
        return True

    def _sleep_until(self, at):
        eventlet.sleep(max(0.0, at - now()))

    def _event(self, number):
        return make_event(number, is_numbered=self._is_numbered)


def _encode_chunk(data):
    """Return a chunk of a body, the last one if there are no bytes."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def make_event(number, *, is_numbered=True):
    """Return one event of a stream."""
    data = b"data: %d\n\n" % number
    return b"id: %d\n%s" % (number, data) if is_numbered else data


class SecondStages:
    """Stages that take no time for a request at first, and then some, and may fail.

    Args:
        seconds: How long the second ones take.
        error: How they fail, None if they don't.
    """

    def __init__(self, seconds, error=None):
        self._seconds = seconds
        self._error = error
        self._begun = set()

    def run(self, request):
        """Run the stages of a request."""
        if request not in self._begun:
            self._begun.add(request)
            return StageOutcome(("h1",), 0.0, [])
        eventlet.sleep(self._seconds)
        if self._error is not None:
            raise self._error
        return StageOutcome(("h2",), self._seconds, [])


def use_scripted_stages():
    """Have each deployment run the stages that it was given."""

    def run(stage_run):
        return stage_run._exchange.stages.run(stage_run._head.id)

    return mock.patch.object(StageRun, "run", run)


class Received(NamedTuple):
    """What the caller of a stream got.

    Attributes:
        status: HTTP status.
        is_whole: Whether it got each event once, in order, and the proper end.
        events: Numbers of the events.
        longest_gap: Most seconds between two parts of the response, counted from the
            request.
    """

    status: int
    is_whole: bool
    events: list[int]
    longest_gap: float


class Deployment:
    """An instance without peers, and engines of one version.

    Args:
        scripts: What each engine does; the first one is preferred.
        repeats: Number of repeats in the budget, None for plenty.
        attempts: Targets that a request may run on.
        permits: Whether each engine grants permits, all by default.
        is_numbered: Whether events have ids.
        is_spread: Whether prompts begin differently, so that each engine gets some.
        is_resumable: Whether another engine may resume a stream.
        stages: Stages before the stream, None if there are none.

    Attributes:
        engines: The engines.
        budget: Limits repeats.
        server: Serves streams.
        suspects: Knows which requests are quarantined.
    """

    def __init__(
        self,
        *scripts,
        repeats=None,
        attempts=3,
        permits=(),
        is_numbered=True,
        is_spread=False,
        is_resumable=True,
        stages=None,
    ):
        names = [f"e{n}" for n in range(len(scripts))]
        names.sort(key=lambda name: rendezvous_weight(name, ""), reverse=True)
        self._is_numbered = is_numbered
        self._is_spread = is_spread
        self.engines = [PacedEngine(s, is_numbered=is_numbered) for s in scripts]
        targets = [
            make_target(name, "v1", service=SERVICE, address=engine.address)._replace(
                slots=_SLOTS
            )
            for name, engine in zip(names, self.engines, strict=True)
        ]
        refusing = {
            name
            for name, is_granted in zip(names, permits, strict=False)
            if not is_granted
        }
        instance = make_lone_instance(*targets)
        health = Health()
        self._states = [health.of(target) for target in targets]
        rates = mock.Mock(
            wait=lambda target: 0.0,
            reserve=lambda target, *_: target.id not in refusing,
        )
        cold = mock.Mock(may_send=lambda target: True)
        reach = mock.Mock(is_lost=lambda zone: False)
        notices = mock.Mock(
            has_room=lambda *_: True, may_send=lambda _: True, wait=lambda _: 0.0
        )
        selector = Selector(
            instance.view, health, instance.peers, cold, reach, rates, notices=notices
        )
        self.budget = _make_budget(repeats)
        self._repeats = self.budget.remaining(SERVICE)
        load = ScopeLoad("a", StageLoad(0.0, 0.05, 100.0))
        waits = SimpleNamespace(
            best_scope=lambda *_: load,
            choose_queues=mock.Mock(),
            pending=mock.Mock(),
            ttl_seconds=mock.Mock(),
        )
        self.suspects = mock.Mock(
            is_quarantined=lambda fingerprint: False,
            is_suspect=lambda fingerprint: False,
        )
        self.server = StreamServer(
            selector,
            waits,
            mock.Mock(stages=stages),
            ConnectionPool(),
            self.budget,
            PlatformDialect(),
            mock.Mock(),
            crashes=mock.MagicMock(
                suspects=self.suspects,
                parts=mock.Mock(
                    find_held=lambda parts: None, record_sent=lambda parts: False
                ),
                has_ended_with_target=lambda target, request: False,
            ),
            resumptions=instance.resumptions,
        )
        self._route = Route(
            "r",
            "h",
            "/",
            Kind.STREAM,
            9.0,
            0.9,
            attempts,
            0,
            (Share(SERVICE, 1.0),),
            (Stage("rerank", (), 1_000),) if stages else (),
            is_resumable=is_resumable,
            event_gap=0.3,
        )
        self._numbers = count(1)

    @property
    def runs(self):
        """All requests that reached engines."""
        return [run for engine in self.engines for run in engine.runs]

    def open(self):
        """Send a request; return its caller's socket and when it was sent."""
        client = connect(self.server, self._make_context)
        number = next(self._numbers)
        prompt = b"X-Prefix-Hash: p%d:10,q:10\r\n" % number if self._is_spread else b""
        request = (
            b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: q%d\r\nX-Pieces: 2\r\n"
            b"%sContent-Length: 0\r\n\r\n"
        )
        client.sendall(request % (number, prompt))
        return client, now()

    def call(self):
        """Send a request and return what its caller got."""
        client, sent_at = self.open()
        times = [sent_at]
        status, body, is_complete = read_response(
            client, 1, on_data=lambda: times.append(now())
        )
        times.append(now())
        client.close()
        numbers = [int(n) for n in re.findall(rb"data: (\d+)\n\n", body)]
        expected = b"".join(
            make_event(n, is_numbered=self._is_numbered) for n in range(1, EVENTS + 1)
        )
        gap = max(b - a for a, b in zip(times, times[1:], strict=False))
        return Received(status, is_complete and body == expected, numbers, gap)

    def find_leaks(self):
        """Return what is still held although no request is served any more."""
        return {
            name: held
            for name, held in (
                ("slots", sum(state.in_flight for state in self._states)),
                ("tokens", sum(state.prompt_tokens_ahead for state in self._states)),
                ("ongoing runs", len(self.server.ongoing_runs)),
                ("open runs", sum(run.is_open for run in self.runs)),
            )
            if held
        }

    @property
    def repeats_sent(self):
        """Number of runs of requests that had reached an engine before."""
        return len(self.runs) - len({run.request for run in self.runs})

    @property
    def repeats_used(self):
        """Number of repeats that were taken from the budget and not given back."""
        return round(self._repeats - self.budget.remaining(SERVICE))

    def close(self):
        """Close all engines."""
        for engine in self.engines:
            engine.close()

    def _make_context(self, head, raw):
        context = make_context(head, raw, is_resumable=True)
        return context._replace(
            route=self._route, deadline_at=context.started_at + self._route.timeout
        )


def _make_budget(repeats):
    """Return the budget of an instance alone, with a number of repeats."""
    extra = 1_000 if repeats is None else (repeats + 0.1) * _MIN_FLEET / _USED_FRACTION
    budget = RetryBudget(BoundSettings(8.0, 0.0, 60.0, extra), lambda: 1)
    if repeats == 0:
        # One repeat is always allowed.
        budget.try_acquire(SERVICE)
    return budget
