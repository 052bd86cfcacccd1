"""Targets of a soak, which keep a ledger of what reaches them."""

import random
from collections import defaultdict
from collections.abc import Iterator, Sequence
from itertools import count
from typing import NamedTuple

import eventlet
import msgspec

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins._web import App, Environ, respond_json, serve
from bergamotsaddle_standins.soak_dialect import (
    ENGINE,
    RERANK,
    RERANK_CALL_S,
    SoakTarget,
)
from bergamotsaddle_standins.soak_links import CutMode, TargetLink

_SLOTS = 32
_MAX_WORK_S = 0.06
_EVENT_PAUSE_S = 0.04
_MAX_EVENTS = 60
_FREE_BYTES = 1e8
# A brittle target has few slots and works for longer. It fails if it rejects more than
# this many requests in a second.
_BRITTLE_SLOTS = 1
_BRITTLE_WORK_S = 0.25
_BRITTLENESS = 3
_FALL_S = 3.0
_WINDOW_S = 1.0


class Run(NamedTuple):
    """A request that reached a target.

    Attributes:
        at: When it arrived, on the hub's clock.
        sent_at: When its caller had sent it, on the same clock.
        service: Service of the target.
        target: Id of the target.
    """

    at: float
    sent_at: float
    service: str
    target: str


class Ledger:
    """What all targets have run.

    Attributes:
        runs_by_request: Runs by id of the request.
        calls_by_target: Times of the calls to stage targets.
        falls: Times at which brittle targets failed.
    """

    def __init__(self) -> None:
        self.runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
        self.calls_by_target: defaultdict[str, list[float]] = defaultdict(list)
        self.falls: list[float] = []


class RunningTarget:
    """One target of the soak.

    Args:
        target_id: Its id.
        service: Its service.
        zone: Its availability zone.
        ledger: Records what reaches it.
        rng: Chooses how long its work takes.
        instances: Ids of the instances that use it.

    Attributes:
        id: Its id.
        service: Its service.
        zone: Its availability zone.
        link_by_instance: The link of each instance to it, by instance id.
        is_brittle: Whether it has few slots and fails when it rejects many requests.
        has_queue: Whether requests may wait for its slots.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        ledger: Ledger,
        rng: random.Random,
        instances: Sequence[str],
    ) -> None:
        self.id = target_id
        self.service = service
        self.zone = zone
        self._ledger = ledger
        self._rng = rng
        self._handles = count()
        self.is_brittle = False
        self.has_queue = True
        self._running = 0
        self._rejected_at: list[float] = []
        port = serve(self._app())
        self.link_by_instance = {instance: TargetLink(port) for instance in instances}

    def entry(self, *, is_draining: bool = False) -> SoakTarget:
        """Return the entry that it publishes."""
        addresses = {
            instance: f"127.0.0.1:{link.port}"
            for instance, link in self.link_by_instance.items()
        }
        slots = _BRITTLE_SLOTS if self.is_brittle else _SLOTS
        return SoakTarget(self.service, addresses, self.zone, is_draining, slots)

    def _app(self) -> App:
        work_by_service = {ENGINE: self._stream, RERANK: self._run_pieces}
        work = work_by_service.get(self.service, self._run)

        def respond(environ: Environ, start_response):
            if environ.get("HTTP_TARGET") != self.id:
                return respond_json(
                    start_response,
                    None,
                    status="421 Misdirected Request",
                    headers=(("Not-Run", "1"),),
                )
            return work(environ, start_response)

        return respond

    def _record(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        request = environ["HTTP_ID"]
        sent_at = float(environ["HTTP_SENT_AT"])
        run = Run(now(), sent_at, self.service, self.id)
        self._ledger.runs_by_request[request].append(run)
        return (("Id", request),)

    def _run(self, environ: Environ, start_response) -> list[bytes]:
        if not self.has_queue and self._running >= _BRITTLE_SLOTS:
            return self._reject(environ, start_response)
        headers = self._record(environ)
        environ["wsgi.input"].read()
        seconds = self._rng.uniform(0.0, _MAX_WORK_S)
        self._running += 1
        eventlet.sleep(_BRITTLE_WORK_S if self.is_brittle else seconds)
        self._running -= 1
        return respond_json(
            start_response, "done", headers=(*headers, *self._notices())
        )

    def _notices(self) -> tuple[tuple[str, str], ...]:
        """Return the headers with which all responses describe this target."""
        return (("Brittle", str(_BRITTLENESS)),) if self.is_brittle else ()

    def _reject(self, environ: Environ, start_response) -> list[bytes]:
        environ["wsgi.input"].read()
        since = now() - _WINDOW_S
        self._rejected_at = [at for at in self._rejected_at if at > since] + [now()]
        if len(self._rejected_at) > _BRITTLENESS:
            self._rejected_at = []
            self._ledger.falls.append(now())
            eventlet.spawn_n(self._fall)
        headers = (("Not-Run", "1"), ("Id", environ["HTTP_ID"]), *self._notices())
        return respond_json(
            start_response, None, status="503 Service Unavailable", headers=headers
        )

    def _fall(self) -> None:
        """Be out of reach for a while, as after a crash."""
        for link in self.link_by_instance.values():
            link.cut(CutMode.RESET)
        eventlet.sleep(_FALL_S)
        for link in self.link_by_instance.values():
            link.heal()

    def _stream(self, environ: Environ, start_response) -> Iterator[bytes]:
        headers = self._record(environ)
        environ["wsgi.input"].read()
        events = self._rng.randint(1, _MAX_EVENTS)
        start_response("200 OK", [*headers])
        return self._events(events)

    def _events(self, number: int) -> Iterator[bytes]:
        for event in range(number):
            eventlet.sleep(_EVENT_PAUSE_S)
            yield b"id: %d\ndata: x\n\n" % event

    def _run_pieces(self, environ: Environ, start_response) -> list[bytes]:
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] != "/pieces":
            return respond_json(start_response, _FREE_BYTES)
        self._ledger.calls_by_target[self.id].append(now())
        eventlet.sleep(RERANK_CALL_S)
        handles = [
            f"{self.id}/{next(self._handles)}" for _ in msgspec.json.decode(body)
        ]
        return respond_json(start_response, handles)
