"""Simulated engines that crash, restart and pause, on the hub's clock."""

import math
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError, RawResponseHead
from bergamotsaddle_serving.messages import (
    Dispatch,
    HttpCall,
    PromptPart,
    RawHeaders,
    RequestHead,
    ResponseHead,
    StoreEntry,
)

SERVICE = "generate"
HOST = "h"
_PORT = 9
_SLOTS = 64
_LATENCY_S = 0.002
_FIRST_EVENT_S = 0.05
_STREAM_S = 0.5
# Seconds from a crash until the list of targets drops the target.
_REGISTRATION_LAG_S = 1.1
# Seconds from the announcement that a target leaves until it is replaced.
_LEAVING_S = 1.0
_OK = 200
_MISDIRECTED = 421
_DEADLINE_S = 8.0
_PART_TOKENS = 100
_EVENTS = 2
_PARTIAL_EVENT = b"id: 2\nda"


class CrashEnding(NamedTuple):
    """How the connections of a crashing engine end.

    Attributes:
        events: Number of events that a fatal request gets before the crash.
        is_framed: Whether responses state where their bodies end. Otherwise they end
            with their connections.
        is_inside_event: Whether a part of the next event precedes the end of a fatal
            request.
        is_reset: Whether the connection of a fatal request is reset. The others are
            closed.
        after: Seconds from the arrival of a fatal request to the crash.
        is_behind_response: Whether a fatal request gets its whole response and
            ``after`` counts from its end.
        is_silent: Whether connections carry nothing more instead of being closed.
    """

    events: int = 0
    is_framed: bool = True
    is_inside_event: bool = False
    is_reset: bool = False
    after: float = 0.1
    is_behind_response: bool = False
    is_silent: bool = False


class Fatality(NamedTuple):
    """Which runs of a fatal request crash their engines.

    Attributes:
        whole_runs: Runs that complete before the first one that crashes its engine.
        whole_every: Further runs of which one completes, 0 if none does.
    """

    whole_runs: int = 0
    whole_every: int = 0

    def is_whole(self, number: int) -> bool:
        """Return whether a run completes, given how many preceded it."""
        if number < self.whole_runs:
            return True
        position = number - self.whole_runs + 1
        return self.whole_every > 0 and position % self.whole_every == 0


class Arrival(NamedTuple):
    """A request that reached a target.

    Attributes:
        at: Time of the arrival on the hub's clock.
        instance: Id of the instance that sent the request.
        path: Path of the request.
        parts: Ids of the parts of its prompt.
        last_event: Number of the last event that its caller has, 0 if it has none.
    """

    at: float
    instance: str
    path: bytes
    parts: tuple[str, ...] = ()
    last_event: int = 0


class VirtualTarget:
    """One address and the target that runs there.

    Args:
        number: Number from which the address and id are derived.
        zone: Availability zone of the target.
        software: Version of its software.

    Attributes:
        incarnation: Number of the current run of the target, from 1.
        is_up: Whether the target runs.
        software: Version of its software.
        is_silent: Whether it has crashed and its address swallows all packets.
        paused_until: Until when it neither reads nor sends anything.
        limit: Requests per second that its responses announce as its limit, or None.
        arrivals: Requests that reached this address so far, in any incarnation.
        runs: Connections on which a request runs.
    """

    def __init__(self, number: int, zone: str, software: str = "") -> None:
        self.address = Address(f"10.9.0.{number}", _PORT)
        self.zone = zone
        self.incarnation = 1
        self.is_up = True
        self.is_silent = False
        self.paused_until = 0.0
        self.software = software
        self.limit: float | None = None
        self.arrivals: list[Arrival] = []
        self.runs: set[VirtualConnection] = set()
        self._number = number

    @property
    def id(self) -> str:
        """Id of the target in its current incarnation."""
        return f"t{self._number}-{self.incarnation}"

    @property
    def is_paused(self) -> bool:
        """Whether the target neither reads nor sends anything now."""
        return now() < self.paused_until

    def entry(self) -> Target:
        """Return the entry that the target registers."""
        return Target(
            self.id,
            SERVICE,
            self.address,
            self.zone,
            _SLOTS,
            software=self.software,
        )


class VirtualDialect:
    """Dialect of the simulated engines; store entries stand for Python objects."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, object] = {}

    def read_head(self, method: bytes, path: bytes, headers: RawHeaders) -> RequestHead:
        """Decode the head of a caller's request."""
        by_name = dict(headers)
        return RequestHead(
            by_name[b"id"].decode(),
            method,
            path,
            HOST,
            "",
            _DEADLINE_S,
            prompt=tuple(
                PromptPart(part, _PART_TOKENS) for part in _read_parts(by_name)
            ),
        )

    def forward(self, head: RequestHead, dispatch: Dispatch, size: int) -> RawHeaders:
        """Return the headers of a request that is forwarded to a target."""
        return [
            (b"id", head.id.encode()),
            (b"target", dispatch.target.id.encode()),
            (b"prompt", ",".join(part.id for part in head.prompt).encode()),
            (b"last-event", b"%d" % (dispatch.last_event_id or 0)),
        ]

    def read_response(self, headers: RawHeaders) -> ResponseHead:
        """Decode the head of a response."""
        by_name = dict(headers)
        request_id = by_name[b"id"].decode()
        limit = float(by_name[b"limit"]) if b"limit" in by_name else None
        return ResponseHead(request_id, True, False, None, None, False, limit)

    def target_id(self, key: str) -> str | None:
        """Return the id of the target that an entry describes."""
        return key

    def decode(self, entry: StoreEntry) -> object | None:
        """Return the object that an entry stands for, or None if it was deleted."""
        return None if entry.value is None else self.objects_by_key[entry.key]


def _read_parts(headers: dict[bytes, bytes]) -> tuple[str, ...]:
    """Return the ids of the parts of a prompt."""
    return tuple(part for part in headers[b"prompt"].decode().split(",") if part)


class VirtualConnection:
    """A connection from one instance to one target.

    Args:
        targets: All targets.
        target: Target at the other end.
        instance: Id of the instance.

    Attributes:
        is_silent: Whether the target has crashed without closing the connection.
        is_whole: Whether the response was read to its end.
        path: Path of the request on it.
    """

    def __init__(
        self, targets: "VirtualTargets", target: VirtualTarget, instance: str
    ) -> None:
        self.is_silent = False
        self.is_whole = False
        self.is_reused = False
        self._targets = targets
        self._target = target
        self._instance = instance
        self._closed_by_target = Event()
        self._headers: dict[bytes, bytes] = {}
        self._started_at = 0.0
        self.path = b""
        self._first_seconds = _FIRST_EVENT_S
        self._first_event = self._next_event = 1
        self._has_partial_event = False
        self._is_reset = False

    def send(self, call: HttpCall, *, limit: float) -> int:
        """Send a request, which starts to run if it names the current incarnation."""
        self._headers = dict(call.headers)
        self._started_at = max(now(), self._target.paused_until)
        self.path = call.path
        parts = _read_parts(self._headers)
        last_event = int(self._headers[b"last-event"])
        if self._targets.goes_on:
            self._first_event = self._next_event = last_event + 1
        arrival = Arrival(now(), self._instance, call.path, parts, last_event)
        is_fatal = self._targets.crashes(arrival)
        ending = self._targets.ending
        if is_fatal and not ending.events and not ending.is_behind_response:
            # The target crashes before the first event.
            self._first_seconds = 2.0 * self._targets.ending.after
        self._target.arrivals.append(arrival)
        if self._headers[b"target"].decode() == self._target.id:
            self._target.runs.add(self)
            if is_fatal and math.isfinite(self._started_at):
                after = self._started_at - now() + ending.after
                if ending.is_behind_response:
                    after += self._targets.stream_seconds
                self._targets.schedule_crash(self._target, self, after)
        return 0

    def read_head(self, *, limit: float) -> RawResponseHead:
        """Wait for the first event and return the response head.

        Raises:
            ConnectionLostError: If the target crashes or the limit passes before.
        """
        is_misdirected = self._headers[b"target"].decode() != self._target.id
        if is_misdirected:
            if self._target.is_paused:
                self._wait(now(), limit)
            return RawResponseHead(_MISDIRECTED, [*self._headers.items()])
        self._wait(self._started_at + self._first_seconds, limit)
        if self._closed_by_target.ready():
            raise ConnectionLostError("closed")
        headers = [(b"id", self._headers[b"id"])]
        if self._targets.ending.is_framed:
            headers.append((b"transfer-encoding", b"chunked"))
        if self._target.limit is not None:
            headers.append((b"limit", str(self._target.limit).encode()))
        return RawResponseHead(_OK, headers)

    def read_some(self, *, limit: float) -> bytes | None:
        """Return the next event, or None at the end.

        Raises:
            ConnectionLostError: If the target crashes or the limit passes before.
        """
        targets = self._targets
        sent = self._next_event - self._first_event
        if sent or self._target.is_paused:
            # The end comes with the last event.
            pauses = min(sent, targets.event_count - self._first_event)
            self._wait(self._started_at + pauses * targets.event_seconds, limit)
        if self._closed_by_target.ready():
            return self._read_remainder()
        if self._next_event > targets.event_count:
            self.is_whole = True
            self._target.runs.discard(self)
            return None
        self._next_event += 1
        return b"id: %d\ndata: x\n\n" % (self._next_event - 1)

    def _read_remainder(self) -> bytes | None:
        """Return what a crashed target sent last, then None as at a proper end."""
        if not self._has_partial_event:
            return None
        self._has_partial_event = False
        return _PARTIAL_EVENT

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Return an empty body, as error responses have none."""
        return b""

    def disconnect(self, *, is_cause: bool = False) -> None:
        """Close the connection from the target's side.

        Args:
            is_cause: Whether the request on it crashes the target.
        """
        ending = self._targets.ending
        self._is_reset = is_cause and ending.is_reset
        self._has_partial_event = is_cause and ending.is_inside_event
        if not self._closed_by_target.ready():
            self._closed_by_target.send()

    def close(self) -> None:
        """Close the connection from the instance's side."""
        self._target.runs.discard(self)

    def _wait(self, until: float, limit: float) -> None:
        started_at = now()
        until = self._wait_until(until, started_at + limit)
        if self.is_silent:
            eventlet.sleep(max(0.0, limit - (now() - started_at)))
            raise ConnectionLostError("silent")
        if self._closed_by_target.ready():
            if self._is_reset:
                raise ConnectionLostError("reset")
            if self._targets.ending.is_framed:
                raise ConnectionLostError("closed")
            return
        if until > now():
            raise ConnectionLostError("silent")

    def _wait_until(self, until: float, limit_at: float) -> float:
        """Wait for a time, the end of a pause or that of the connection.

        Returns:
            The time for which it waited, later than the limit if that passed before.
        """
        while True:
            due = max(until, self._target.paused_until)
            with eventlet.Timeout(max(0.0, min(due, limit_at) - now()), False):
                self._closed_by_target.wait()
            # A pause may have begun meanwhile.
            is_due = due >= self._target.paused_until or limit_at <= now()
            if is_due or self._closed_by_target.ready():
                return max(until, self._target.paused_until)


class VirtualPool:
    """Connection pool of one instance.

    Args:
        targets: All targets.
        instance: Id of the instance.

    Attributes:
        is_closed: Whether the instance was killed and sends nothing more.
    """

    def __init__(self, targets: "VirtualTargets", instance: str) -> None:
        self._targets = targets
        self._instance = instance
        self.is_closed = False

    def acquire(self, address: Address, *, limit: float = 1.0) -> VirtualConnection:
        """Open a connection to an address.

        Raises:
            ConnectionLostError: If no target is up at the address.
        """
        eventlet.sleep(_LATENCY_S)
        if self.is_closed:
            raise ConnectionLostError("refused", is_unsent=True)
        target = self._targets.by_address[address]
        if target.is_silent:
            eventlet.sleep(limit)
            raise ConnectionLostError("connect", is_unsent=True)
        if not target.is_up:
            raise ConnectionLostError("refused", is_unsent=True)
        return VirtualConnection(self._targets, target, self._instance)

    def open(self, address: Address, *, limit: float = 1.0) -> VirtualConnection:
        """Do the same; no connection is kept that could be acquired instead."""
        return self.acquire(address, limit=limit)

    def is_refused(self, address: Address) -> bool:
        """Return whether an address refuses connections."""
        eventlet.sleep(_LATENCY_S)
        target = self._targets.by_address[address]
        return not target.is_up and not target.is_silent

    def release(
        self, connection: VirtualConnection, keep_alive_seconds: float | None
    ) -> None:
        """Discard a connection; none is kept alive."""


class VirtualTargets:
    """All targets of one service.

    Args:
        count: Number of targets.
        zones: Availability zones, assigned to the targets in turn.
        restart_after: Seconds from the crash of a target until it is up again.
        publish: Called with the id and entry of each target that registers, and with
            None instead of the entry when a registration lapses.
        software: Version of the software of all targets.

    Attributes:
        fatal_paths: Paths of the requests that crash a target.
        fatal_parts: Parts of prompts that crash a target, except as last ones.
        stream_seconds: Duration of a sound stream.
        event_count: Number of its events, at even intervals.
        goes_on: Whether a run goes on behind the last event that the caller has.
            Otherwise each run begins with the first event.
        ending: How the connections of a crashing target end.
        fatality: Which runs of a fatal request crash their targets.
        crash_count: Number of crashes so far.
        crash_times: When each of them happened, on the hub's clock.
        fatal_crash_times: The same for those that a fatal request caused.
    """

    def __init__(
        self,
        count: int,
        zones: tuple[str, ...],
        *,
        restart_after: float,
        publish: Callable[[str, Target | None], None],
        software: str = "",
    ) -> None:
        self.fatal_paths: set[bytes] = set()
        self.fatal_parts: set[str] = set()
        self.stream_seconds = _STREAM_S
        self.event_count = _EVENTS
        self.goes_on = False
        self.crash_times: list[float] = []
        self.fatal_crash_times: list[float] = []
        self.ending = CrashEnding()
        self.fatality = Fatality()
        self._fatal_runs: Counter[bytes] = Counter()
        self.crash_count = 0
        self._restart_after = restart_after
        self._publish = publish
        targets = [
            VirtualTarget(n, zones[n % len(zones)], software) for n in range(count)
        ]
        self.by_address = {target.address: target for target in targets}
        for target in targets:
            publish(target.id, target.entry())

    def __iter__(self):
        return iter(self.by_address.values())

    @property
    def event_seconds(self) -> float:
        """Seconds between two events of a stream."""
        return self.stream_seconds / (self.event_count - 1)

    def pause(self, seconds: float | None, *, share: float = 1.0) -> None:
        """Let some targets neither read nor send anything, then go on.

        Their connections stay open. What was due meanwhile comes at the end.

        Args:
            seconds: How long the pause lasts, None if it never ends.
            share: Fraction of the targets that pause; at least one does.
        """
        until = math.inf if seconds is None else now() + seconds
        count = max(1, round(share * len(self.by_address)))
        for target in [*self][:count]:
            target.paused_until = max(target.paused_until, until)

    def open_runs(self, *, with_paused: bool = True) -> Counter[bytes]:
        """Return the number of open runs of each request, by its path.

        Args:
            with_paused: Whether to count those at targets that pause.
        """
        return Counter(
            run.path
            for target in self
            if with_paused or not target.is_paused
            for run in target.runs
        )

    def is_fatal(self, arrival: Arrival) -> bool:
        """Return whether a request crashes the target that runs it."""
        is_fatal_part = not self.fatal_parts.isdisjoint(arrival.parts[:-1])
        return arrival.path in self.fatal_paths or is_fatal_part

    def crashes(self, arrival: Arrival) -> bool:
        """Count a run and return whether it crashes the target."""
        if not self.is_fatal(arrival):
            return False
        number = self._fatal_runs[arrival.path]
        self._fatal_runs[arrival.path] += 1
        return not self.fatality.is_whole(number)

    def schedule_crash(
        self, target: VirtualTarget, connection: VirtualConnection, after: float
    ) -> None:
        """Let a target crash some seconds after a fatal request has arrived."""
        crash = (target, target.incarnation, connection)
        eventlet.spawn_after(after, self.crash, *crash)

    def replace(self, target: VirtualTarget, software: str) -> None:
        """Announce that a target leaves, and start one with other software."""
        self._publish(target.id, target.entry()._replace(is_draining=True))
        eventlet.sleep(_LEAVING_S)
        if target.is_up:
            self._publish(target.id, None)
            target.software = software
            self._start(target)

    def crash(
        self,
        target: VirtualTarget,
        incarnation: int,
        cause: VirtualConnection | None = None,
    ) -> None:
        """Crash an incarnation of a target and disconnect all requests it runs.

        Args:
            target: The target.
            incarnation: Number of the run that crashes, if it still lasts.
            cause: Connection of the request that causes the crash, if any.
        """
        if not target.is_up or target.incarnation != incarnation:
            return
        if cause is not None and cause not in target.runs and not cause.is_whole:
            # The target has dropped the request with its connection.
            return
        self.crash_count += 1
        self.crash_times.append(now())
        if cause is not None:
            self.fatal_crash_times.append(now())
        target.is_up = False
        target.is_silent = cause is not None and self.ending.is_silent
        for connection in list(target.runs):
            if target.is_silent:
                connection.is_silent = True
            else:
                connection.disconnect(is_cause=connection is cause)
        target.runs.clear()
        eventlet.spawn_after(_REGISTRATION_LAG_S, self._publish, target.id, None)
        eventlet.spawn_after(self._restart_after, self._start, target)

    def _start(self, target: VirtualTarget) -> None:
        target.incarnation += 1
        target.is_up = True
        target.is_silent = False
        self._publish(target.id, target.entry())
