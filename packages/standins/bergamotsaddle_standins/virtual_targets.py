"""Engines in one process, on the clock of the hub: they end, come back and are slow."""

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
    RawHeaders,
    RequestHead,
    ResponseHead,
    StoreEntry,
)

SERVICE = "generate"
HOST = "h"
_PORT = 9
_SLOTS = 64
_TRIP_S = 0.002
_FIRST_EVENT_S = 0.05
_STREAM_S = 0.5
# How long a target runs a request before it ends under it.
_FATAL_S = 0.1
# The list of targets tells of an end and of a start so much later.
_LAPSE_S = 1.1
_OK = 200
_MISDIRECTED = 421
_DEADLINE_S = 8.0
_EVENTS = (b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n")


class Arrival(NamedTuple):
    """A request that reached a target."""

    at: float
    instance: str
    path: bytes


class VirtualTarget:
    """One address and the target that lives there.

    Args:
        number: Its number, which names its address.
        zone: Its availability zone.

    Attributes:
        limit: Requests a second that its answers name, None for none.
        arrivals: Requests that reached this address so far.
    """

    def __init__(self, number: int, zone: str) -> None:
        self.address = Address(f"10.9.0.{number}", _PORT)
        self.zone = zone
        self.incarnation = 1
        self.is_up = True
        self.limit: float | None = None
        self.arrivals: list[Arrival] = []
        self.runs: set[VirtualConnection] = set()
        self._number = number

    @property
    def id(self) -> str:
        """Its name in this life."""
        return f"t{self._number}-{self.incarnation}"

    def entry(self) -> Target:
        """What it registers."""
        return Target(self.id, SERVICE, self.address, self.zone, _SLOTS)


class VirtualDialect:
    """Decodes what the stand-ins say; entries are objects that need no decoding."""

    def __init__(self) -> None:
        self.objects_by_key: dict[str, object] = {}

    def read_head(self, method: bytes, path: bytes, headers: RawHeaders) -> RequestHead:
        """Decode a caller's request."""
        request_id = dict(headers)[b"id"].decode()
        return RequestHead(request_id, method, path, HOST, "", _DEADLINE_S)

    def forward(self, head: RequestHead, dispatch: Dispatch, size: int) -> RawHeaders:
        """Headers of the request as a target gets it."""
        return [
            (b"id", head.id.encode()),
            (b"target", dispatch.target.id.encode()),
        ]

    def read_response(self, headers: RawHeaders) -> ResponseHead:
        """Decode the headers of an answer."""
        by_name = dict(headers)
        request_id = by_name[b"id"].decode()
        limit = float(by_name[b"limit"]) if b"limit" in by_name else None
        return ResponseHead(request_id, True, False, None, None, False, limit)

    def target_id(self, key: str) -> str | None:
        """Id of the target that an entry tells of."""
        return key

    def decode(self, entry: StoreEntry) -> object | None:
        """Look an entry up."""
        return None if entry.value is None else self.objects_by_key[entry.key]


class VirtualConnection:
    """A connection of one instance to one target.

    Args:
        targets: All targets.
        target: The one that it leads to.
        instance: Whose it is.
    """

    def __init__(
        self, targets: "VirtualTargets", target: VirtualTarget, instance: str
    ) -> None:
        self._targets = targets
        self._target = target
        self._instance = instance
        self._broken = Event()
        self._headers: dict[bytes, bytes] = {}
        self._began_at = 0.0
        self._first_seconds = _FIRST_EVENT_S
        self._left = list(_EVENTS)

    def send(self, call: HttpCall, *, limit: float) -> int:
        """Send a request, which begins to run."""
        self._headers = dict(call.headers)
        self._began_at = now()
        if call.path in self._targets.fatal_paths:
            # Its target ends before the first event.
            self._first_seconds = 2.0 * _FATAL_S
        arrival = Arrival(now(), self._instance, call.path)
        self._target.arrivals.append(arrival)
        if self._headers[b"target"].decode() == self._target.id:
            self._target.runs.add(self)
            self._targets.start_request(self._target, call.path)
        return 0

    def read_head(self, *, limit: float) -> RawResponseHead:
        """Wait for the first event."""
        is_misdirected = self._headers[b"target"].decode() != self._target.id
        if is_misdirected:
            return RawResponseHead(_MISDIRECTED, [*self._headers.items()])
        self._wait(self._began_at + self._first_seconds, limit)
        headers = [(b"id", self._headers[b"id"])]
        if self._target.limit is not None:
            headers.append((b"limit", str(self._target.limit).encode()))
        return RawResponseHead(_OK, headers)

    def read_some(self, *, limit: float) -> bytes | None:
        """Give the next event, None at the end."""
        if len(self._left) < len(_EVENTS):
            self._wait(self._began_at + _STREAM_S, limit)
        if not self._left:
            self._target.runs.discard(self)
            return None
        return self._left.pop(0)

    def read_body(self, *, limit: float, max_bytes: int) -> bytes:
        """Give no body, as a refusal has none."""
        return b""

    def disconnect(self) -> None:
        """End it from the target's side."""
        if not self._broken.ready():
            self._broken.send()

    def close(self) -> None:
        """End it from the caller's side."""
        self._target.runs.discard(self)

    def _wait(self, until: float, limit: float) -> None:
        pause = max(0.0, min(until - now(), limit))
        with eventlet.Timeout(pause, False):
            self._broken.wait()
        if self._broken.ready():
            raise ConnectionLostError("closed")
        if until > now():
            raise ConnectionLostError("silent")


class VirtualPool:
    """Connections of one instance.

    Args:
        targets: All targets.
        instance: Whose they are.
    """

    def __init__(self, targets: "VirtualTargets", instance: str) -> None:
        self._targets = targets
        self._instance = instance

    def acquire(self, address: Address, *, limit: float = 1.0) -> VirtualConnection:
        """Make a connection.

        Raises:
            ConnectionLostError: If nobody listens there.
        """
        eventlet.sleep(_TRIP_S)
        target = self._targets.by_address[address]
        if not target.is_up:
            raise ConnectionLostError("refused", is_unsent=True)
        return VirtualConnection(self._targets, target, self._instance)

    def is_refused(self, address: Address) -> bool:
        """Tell whether nobody listens at an address."""
        eventlet.sleep(_TRIP_S)
        return not self._targets.by_address[address].is_up

    def release(
        self, connection: VirtualConnection, keep_alive_seconds: float | None
    ) -> None:
        """Take back a connection; none is kept."""


class VirtualTargets:
    """All targets of one service.

    Args:
        count: How many there are.
        zones: Where they are, in turn.
        back_after: Seconds after its end from which a target is there again.
        publish: Called with the entry of each target that registers or lapses.
    """

    def __init__(
        self,
        count: int,
        zones: tuple[str, ...],
        *,
        restart_after: float,
        publish: Callable[[str, Target | None], None],
    ) -> None:
        self.fatal_paths: set[bytes] = set()
        self.crash_count = 0
        self._restart_after = restart_after
        self._publish = publish
        targets = [VirtualTarget(n, zones[n % len(zones)]) for n in range(count)]
        self.by_address = {target.address: target for target in targets}
        for target in targets:
            publish(target.id, target.entry())

    def __iter__(self):
        return iter(self.by_address.values())

    def start_request(self, target: VirtualTarget, path: bytes) -> None:
        """Begin to run a request, under which the target may end."""
        if path in self.fatal_paths:
            eventlet.spawn_after(_FATAL_S, self.crash, target, target.incarnation)

    def crash(self, target: VirtualTarget, incarnation: int) -> None:
        """End a life of a target with all that it runs."""
        if not target.is_up or target.incarnation != incarnation:
            return
        self.crash_count += 1
        target.is_up = False
        for connection in list(target.runs):
            connection.disconnect()
        target.runs.clear()
        eventlet.spawn_after(_LAPSE_S, self._publish, target.id, None)
        eventlet.spawn_after(self._restart_after, self._start, target)

    def _start(self, target: VirtualTarget) -> None:
        target.incarnation += 1
        target.is_up = True
        self._publish(target.id, target.entry())
