"""Targets of a soak, which keep a ledger of what reaches them."""

import random
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Sequence
from itertools import count
from typing import NamedTuple

import eventlet
import msgspec

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins._web import App, Environ, respond_json, serve
from bergamotsaddle_standins.soak_breaks import (
    BreakMode,
    pick_cut,
    send_open_response,
)
from bergamotsaddle_standins.soak_dialect import (
    ENGINE,
    PIECES,
    RERANK,
    RERANK_CALL_S,
    STAGED_PREFIXES,
    SoakTarget,
)
from bergamotsaddle_standins.soak_endless import send_endless
from bergamotsaddle_standins.soak_ends import (
    OpenResponses,
    Successor,
    Wake,
    is_upload,
    pace_early,
    send_odd,
)
from bergamotsaddle_standins.soak_fatal import (
    FATAL_PREFIX,
    FatalRun,
    find_cause,
    find_manner,
    pick_ending,
)
from bergamotsaddle_standins.soak_links import CutMode, TargetLink
from bergamotsaddle_standins.soak_repeats import LateCopies, pick_rejection

_SLOTS = 32
_MAX_WORK_S = 0.06
# Work never takes longer than this multiple of its usual time.
_MAX_SLOWDOWN = 5.0
_EVENT_PAUSE_S = 0.04
_MAX_EVENTS = 60
_EARLY_EVENTS = 3
_FREE_BYTES = 1e8
# A brittle target has few slots and works for longer. It fails if it rejects more than
# this many requests in a second.
_BRITTLE_SLOTS = 1
_BRITTLE_WORK_S = 0.25
_BRITTLENESS = 3
_FALL_S = 3.0
_MAX_BEHIND_S = 0.6
_WINDOW_S = 1.0
_REST_S = 2.0
_BROKEN_FRACTION = 0.5
_PART_PAUSE_S = 0.1
# Data of an event, and the body, of a response whose head is none.
_ODD = "odd"
PLAIN_RESULT = "done"
FIRST_SOFTWARE = "v1"
# Key of the time at which a request arrived.
_ARRIVED_AT = "soak.arrived_at"
# Calls that need no slot.
_START_PATH = "/start"
_FREE_PATHS = ("/memory", "/release", _START_PATH)
_NOT_RUN = (("Not-Run", "1"),)


class Run(NamedTuple):
    """A request that reached a target.

    Attributes:
        at: When the link to the target received it, on the hub's clock.
        sent_at: When its caller had sent it, on the same clock.
        service: Service of the target.
        target: Id of the target.
        instance: Id of the instance that sent it.
    """

    at: float
    sent_at: float
    service: str
    target: str
    instance: str = ""


class StageCall(NamedTuple):
    """A call that reached a stage target.

    Attributes:
        at: When the link to the target received it, on the hub's clock.
        target: Id of the target.
        instance: Id of the instance that sent it.
    """

    at: float
    target: str
    instance: str


class Arrival(NamedTuple):
    """A request or stage call that reached a target, whether or not it was run.

    Attributes:
        at: When the link to the target received it, on the hub's clock.
        sent_at: When its caller had sent it; when it arrived for a stage call.
        instance: Id of the instance that sent it.
        target: Id of the target.
    """

    at: float
    sent_at: float
    instance: str
    target: str


class Rest(NamedTuple):
    """A target's wish to get nothing from an instance for a time, which that heard.

    Attributes:
        instance: Id of the instance.
        target: Id of the target.
        started_at: When it was stated, on the hub's clock.
        seconds: How long it lasts.
    """

    instance: str
    target: str
    started_at: float
    seconds: float


class Told(NamedTuple):
    """A response by which a target tells an instance that it leaves.

    Attributes:
        arrived_at: When its request arrived, on the hub's clock.
        at: When the response was sent.
    """

    arrived_at: float
    at: float


class ForeignInputs(NamedTuple):
    """A stream that was run with other results than those of its stage.

    Attributes:
        request: Id of its request.
        made_for: Ids of the requests that its inputs were made for.
    """

    request: str
    made_for: tuple[str, ...]


class Ledger:
    """What all targets have run.

    Attributes:
        arrivals: What reached the targets, but for queries and releases.
        rests: Wishes of targets to get nothing.
        told_leaving: The responses of each target to each instance that said that it
            leaves, by their ids.
        runs_by_request: Runs by id of the request.
        stage_calls: Calls to stage targets.
        falls: Times at which brittle targets failed.
        events_by_request: Number of events of the whole stream that each request began.
        breaks_by_request: Number of runs of each request that broke off.
        breakers_by_request: Ids of the targets at which runs of each request broke off.
        fatal_arrivals: Fatal requests that reached engines.
        fatal_crashes: The crashes that they caused.
        fatal_runs: Number of runs of each cause so far.
        request_by_handle: Id of the request that each result was made for.
        foreign_inputs: Streams that were run with other results than their own.
    """

    def __init__(self) -> None:
        self.runs_by_request: defaultdict[str, list[Run]] = defaultdict(list)
        self.stage_calls: list[StageCall] = []
        self.falls: list[float] = []
        self.events_by_request: dict[str, int] = {}
        self.breaks_by_request: Counter[str] = Counter()
        self.breakers_by_request: defaultdict[str, set[str]] = defaultdict(set)
        self.arrivals: list[Arrival] = []
        self.rests: list[Rest] = []
        self.told_leaving: defaultdict[tuple[str, str], list[Told]] = defaultdict(list)
        self.fatal_arrivals: list[FatalRun] = []
        self.fatal_crashes: list[FatalRun] = []
        self.fatal_runs: Counter[str] = Counter()
        self.request_by_handle: dict[str, str] = {}
        self.foreign_inputs: list[ForeignInputs] = []

    def record_break(self, request: str, target: str) -> None:
        """Record that a run of a request broke off at a target."""
        self.breaks_by_request[request] += 1
        self.breakers_by_request[request].add(target)


class RunningTarget:
    """One target of the soak.

    Args:
        target_id: Its id.
        service: Its service.
        zone: Its availability zone.
        ledger: Records what reaches it.
        rng: Chooses how long its work takes.
        instances: Ids of the instances that use it.
        software: Version of its software.

    Attributes:
        id: Its id.
        service: Its service.
        zone: Its availability zone.
        software: Version of its software, which each event of a stream names.
        link_by_instance: The link of each instance to it, by instance id.
        is_brittle: Whether it has few slots and fails when it rejects many requests.
        has_queue: Whether requests may wait for its slots.
        is_leaving: Whether its responses say that it leaves.
        is_resting: Whether it rejects all requests and asks for rest.
        break_mode: How its responses break off, None if they do not. They have no
            length meanwhile.
        is_unframed: Whether its responses have no length and end properly.
        odd_head: Head of its responses, which is none, or None if they have proper
            ones.
        endless_kind: Kind of its responses without end, None if they end.
        is_repeating: Whether it rejects some requests, and sends some responses once
            more, ahead of the next ones on their connections.
        names_calls: Whether its responses name the calls of stages.
        on_crash: Called when the target has crashed.
        event_pause: Seconds before each event of a stream.
        end_pause: Seconds from the last event of a stream to its end.
        slowdown: Multiple of its usual time that it reports, None if it reports no
            load. Its work takes as long, unless the report is false.
    """

    def __init__(
        self,
        target_id: str,
        service: str,
        zone: str,
        ledger: Ledger,
        rng: random.Random,
        instances: Sequence[str],
        *,
        software: str = FIRST_SOFTWARE,
    ) -> None:
        self.id = target_id
        self.service = service
        self.zone = zone
        self.software = software
        self._ledger = ledger
        self._rng = rng
        self._handles = count()
        self.is_brittle = False
        self.has_queue = True
        self.is_leaving = False
        self.is_resting = False
        self.break_mode: BreakMode | None = None
        self.is_unframed = False
        self._is_early = False
        self.odd_head: tuple[bytes, bytes] | None = None
        self.endless_kind: str | None = None
        self.is_repeating = False
        self.names_calls = False
        self._copies = LateCopies(rng)
        self.on_crash: Callable[[RunningTarget], None] = lambda target: None
        self.event_pause = _EVENT_PAUSE_S
        self.end_pause = 0.0
        self.slowdown: float | None = None
        self._streams: set[str] = set()
        self._open = OpenResponses()
        self._has_crashed = False
        self._has_ended = False
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
        return SoakTarget(
            self.service, addresses, self.zone, is_draining, slots, self.software
        )

    @property
    def is_early(self) -> bool:
        """Whether it responds to long requests before it has read them."""
        return self._is_early

    @is_early.setter
    def is_early(self, is_early: bool) -> None:
        self._is_early = is_early
        for link in self.link_by_instance.values():
            # A part of each request is still on its way.
            link.is_slow = is_early

    def _app(self) -> App:
        work_by_service = {ENGINE: self._stream, RERANK: self._run_pieces}
        work = work_by_service.get(self.service, self._run)

        def respond(environ: Environ, start_response):
            environ[_ARRIVED_AT] = self._received_at(environ)
            if environ.get("HTTP_TARGET") != self.id:
                return self._turn_away(
                    environ, start_response, "421 Misdirected Request"
                )
            if environ["PATH_INFO"] == _START_PATH:
                environ["wsgi.input"].read()
                return respond_json(start_response, 0)
            if environ["PATH_INFO"] not in _FREE_PATHS:
                self._record_arrival(environ)
                if self.is_resting:
                    return self._ask_for_rest(environ, start_response)
                if self.is_repeating:
                    status = pick_rejection(self.service, self._rng)
                    if status is not None:
                        return self._turn_away(environ, start_response, status)
            if self.endless_kind is not None:
                return self._go_on(environ, self.endless_kind)
            if "HTTP_ID" in environ:
                return self._respond(environ, start_response, work)
            return work(environ, start_response)

        def respond_behind_copies(environ: Environ, start_response):
            if not self.is_repeating:
                return respond(environ, start_response)
            if self._copies.send(environ) and "HTTP_ID" in environ:
                self._ledger.record_break(environ["HTTP_ID"], self.id)
            return self._copies.respond(environ, start_response, respond)

        return respond_behind_copies

    def _turn_away(self, environ: Environ, start_response, status: str) -> list[bytes]:
        """Reject a request that is not run."""
        environ["wsgi.input"].read()
        headers = (*_NOT_RUN, *self._name(environ))
        return respond_json(start_response, None, status=status, headers=headers)

    def _name(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        """Return the header that names the request or call, if it has an id."""
        call = environ.get("HTTP_CALL", "") if self.names_calls else ""
        name = environ.get("HTTP_ID", call)
        return (("Id", name),) if name else ()

    def _respond(self, environ: Environ, start_response, work: App) -> Iterable[bytes]:
        """Respond to a request in the manner of this target."""
        if self.odd_head is not None:
            return self._respond_oddly(environ, self.odd_head)
        if self._is_early and is_upload(environ):
            return self._respond_early(environ)
        self._open.begin(environ["HTTP_ID"])
        response = work(environ, start_response)
        if isinstance(response, list):
            self._open.end(environ["HTTP_ID"])
        return response

    def _respond_oddly(
        self, environ: Environ, head: tuple[bytes, bytes]
    ) -> list[bytes]:
        """Record a run that breaks off, and send a response whose head is none."""
        environ["wsgi.input"].read()
        request = environ["HTTP_ID"]
        self._record(environ)
        self._ledger.record_break(request, self.id)
        body = msgspec.json.encode(_ODD)
        if self.service == ENGINE:
            self._plan_events(environ)
            body = b"id: %d\ndata: %s\n\n" % (_first_event(environ), _ODD.encode())
        return send_odd(environ, head, request, body)

    def _respond_early(self, environ: Environ) -> list[bytes]:
        """Send a part of a response, then reset the connection of a long request.

        Its last byte or event is missing, so that nobody can take it for all of it.
        """
        headers = self._record(environ)
        self._ledger.record_break(environ["HTTP_ID"], self.id)
        part = msgspec.json.encode(PLAIN_RESULT)[:-1]
        if self.service == ENGINE:
            first = _first_event(environ)
            parts = self._events(range(first, self._plan_events(environ) - 1))
            part = b"".join(parts[:_EARLY_EVENTS])
        link = self.link_by_instance[environ["HTTP_INSTANCE"]]
        link.hold(int(environ["REMOTE_PORT"]))
        paced = pace_early(part, self._rng)
        # Behind all that is sent, so that the pause comes before the reset.
        cut = len(part) + 1
        return send_open_response(environ, headers, paced, BreakMode.RESET, cut)

    def end(self, wake: Wake) -> None:
        """End as a crashed process does; something else takes over the address."""
        self._has_ended = True
        self._ledger.breaks_by_request.update(self._open.find())
        successor = Successor(wake, self._ledger.breaks_by_request)
        for link in self.link_by_instance.values():
            link.end(successor)

    def _go_on(self, environ: Environ, kind: str) -> list[bytes]:
        """Record a run that breaks off, and respond without end."""
        environ["wsgi.input"].read()
        if "HTTP_ID" in environ:
            self._record(environ)
            self._ledger.record_break(environ["HTTP_ID"], self.id)
        return send_endless(environ, kind, lambda: self.endless_kind is not None)

    def _received_at(self, environ: Environ) -> float:
        link = self.link_by_instance.get(environ.get("HTTP_INSTANCE", ""))
        return link.received_at(int(environ["REMOTE_PORT"])) if link else now()

    def _is_heard(self, environ: Environ) -> bool:
        """Return whether the instance still waits for the response."""
        link = self.link_by_instance[environ["HTTP_INSTANCE"]]
        return link.is_heard(int(environ["REMOTE_PORT"]))

    def _record_arrival(self, environ: Environ) -> None:
        at = environ[_ARRIVED_AT]
        sent_at = float(environ.get("HTTP_SENT_AT", at))
        arrival = Arrival(at, sent_at, environ["HTTP_INSTANCE"], self.id)
        self._ledger.arrivals.append(arrival)

    def _ask_for_rest(self, environ: Environ, start_response) -> list[bytes]:
        environ["wsgi.input"].read()
        instance = environ["HTTP_INSTANCE"]
        if self._is_heard(environ):
            self._ledger.rests.append(Rest(instance, self.id, now(), _REST_S))
        rest = ("Rest", str(_REST_S))
        headers = (*_NOT_RUN, *self._name(environ), rest, *self._notices(environ))
        return respond_json(
            start_response, None, status="503 Service Unavailable", headers=headers
        )

    def _record(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        request = environ["HTTP_ID"]
        sent_at = float(environ["HTTP_SENT_AT"])
        at = environ[_ARRIVED_AT]
        run = Run(at, sent_at, self.service, self.id, environ["HTTP_INSTANCE"])
        self._ledger.runs_by_request[request].append(run)
        if self._has_ended:
            self._ledger.record_break(request, self.id)
        return (("Id", request),)

    def _run(self, environ: Environ, start_response) -> list[bytes]:
        if not self.has_queue and self._running >= _BRITTLE_SLOTS:
            return self._reject(environ, start_response)
        headers = self._record(environ)
        environ["wsgi.input"].read()
        factor = min(self.slowdown or 1.0, _MAX_SLOWDOWN)
        seconds = self._rng.uniform(0.0, _MAX_WORK_S) * factor
        self._running += 1
        eventlet.sleep(_BRITTLE_WORK_S if self.is_brittle else seconds)
        self._running -= 1
        headers = (*headers, *self._notices(environ))
        if self.break_mode is None and not self.is_unframed:
            return respond_json(start_response, PLAIN_RESULT, headers=headers)
        body = msgspec.json.encode(PLAIN_RESULT)
        if self.break_mode is not None:
            return self._break_off(environ, headers, [body])
        half = len(body) // 2
        parts = [body[:half], body[half:]]
        return self._break_off(environ, headers, parts, pause=_PART_PAUSE_S)

    def _break_off(
        self,
        environ: Environ,
        headers: Sequence[tuple[str, str]],
        parts: Sequence[bytes],
        *,
        pause: float = 0.0,
    ) -> list[bytes]:
        """Send a response without a length; in a break mode half of them break off.

        A plain response that is closed too early can't be told from a whole one, so
        none breaks off in this way.
        """
        mode = self.break_mode
        is_plain = self.service not in (ENGINE, RERANK)
        cut = None
        if (
            mode is not None
            and self._rng.random() < _BROKEN_FRACTION
            and not (is_plain and mode is BreakMode.CRASH)
        ):
            cut = pick_cut(parts, mode, self._rng)
            self._ledger.record_break(environ.get("HTTP_ID", ""), self.id)
        paced = _pace(parts, pause)
        return send_open_response(environ, headers, paced, mode, cut)

    def _notices(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        """Return the headers with which all responses describe this target."""
        headers = []
        if self.slowdown is not None:
            load = f"{self._running},0,{_SLOTS},{self.slowdown}"
            headers.append(("Load", load))
        if self.is_brittle:
            headers.append(("Brittle", str(_BRITTLENESS)))
        if self.is_leaving:
            headers.append(("Leaving", "1"))
            self._record_told(environ)
        return tuple(headers)

    def _record_told(self, environ: Environ) -> None:
        if self._is_heard(environ):
            told = Told(environ[_ARRIVED_AT], now())
            self._ledger.told_leaving[environ["HTTP_INSTANCE"], self.id].append(told)

    def _reject(self, environ: Environ, start_response) -> list[bytes]:
        environ["wsgi.input"].read()
        since = now() - _WINDOW_S
        self._rejected_at = [at for at in self._rejected_at if at > since] + [now()]
        if len(self._rejected_at) > _BRITTLENESS:
            self._rejected_at = []
            self._ledger.falls.append(now())
            eventlet.spawn_n(self._fall)
        headers = (*_NOT_RUN, *self._name(environ), *self._notices(environ))
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

    def _stream(self, environ: Environ, start_response) -> Iterable[bytes]:
        headers = (*self._record(environ), *self._notices(environ))
        self._check_inputs(environ)
        self._streams.add(environ["HTTP_ID"])
        environ["wsgi.input"].read()
        events = self._plan_events(environ)
        parts = self._events(range(_first_event(environ), events))
        cause = find_cause(environ["PATH_INFO"], environ.get("HTTP_PARTS", ""))
        if cause is not None:
            at = environ[_ARRIVED_AT]
            self._ledger.fatal_arrivals.append(FatalRun(at, cause))
            number = self._ledger.fatal_runs[cause]
            self._ledger.fatal_runs[cause] += 1
            if not find_manner(cause).is_whole(number):
                return self._crash(environ, start_response, headers, cause, parts)
        if (self.break_mode is not None or self.is_unframed) and parts:
            return self._break_off(environ, headers, parts, pause=self.event_pause)
        start_response("200 OK", list(headers))
        return self._send_events(environ["HTTP_ID"], parts)

    def _plan_events(self, environ: Environ) -> int:
        """Return the number of events of a whole stream."""
        return self._ledger.events_by_request.setdefault(
            environ["HTTP_STREAM"], self._rng.randint(1, _MAX_EVENTS)
        )

    def _check_inputs(self, environ: Environ) -> None:
        """Record whether a stream came with the results of its stage."""
        if not environ["PATH_INFO"].startswith(STAGED_PREFIXES):
            return
        request = environ["HTTP_ID"]
        handles = {*environ.get("HTTP_INPUTS", "").split(",")}
        made_for = [self._ledger.request_by_handle.get(h, "") for h in handles]
        if made_for != [request] * PIECES:
            foreign = ForeignInputs(request, tuple(made_for))
            self._ledger.foreign_inputs.append(foreign)

    def _events(self, numbers: Iterable[int]) -> list[bytes]:
        """Return events with some numbers, which name the software."""
        software = self.software.encode()
        return [b"id: %d\ndata: %s\n\n" % (number, software) for number in numbers]

    def _send_events(self, request: str, parts: Sequence[bytes]) -> Iterator[bytes]:
        try:
            yield from _pace(parts, self.event_pause)
            eventlet.sleep(self.end_pause)
        finally:
            self._streams.discard(request)
            self._open.end(request)

    def _crash(
        self,
        environ: Environ,
        start_response,
        headers: Sequence[tuple[str, str]],
        cause: str,
        whole: Sequence[bytes],
    ) -> Iterable[bytes]:
        """Begin with a fatal request, then crash with all that runs."""
        is_request = cause.startswith(FATAL_PREFIX)
        ending = pick_ending(self._rng, is_request=is_request)
        if ending.is_behind_response:
            return self._crash_behind(environ, start_response, headers, cause, whole)
        first = _first_event(environ)
        parts = self._events(range(first, first + ending.events))
        if ending.is_inside_event:
            parts.append(b"id: %d\nda" % (first + ending.events))

        def send() -> Iterator[bytes]:
            yield from _pace(parts, self.event_pause)
            eventlet.sleep(ending.delay)
            self._end(cause, is_reset=ending.is_reset, is_silent=ending.is_silent)
            # The rest of the response goes to a connection that is gone.
            eventlet.sleep(_FALL_S)

        if ending.is_open:
            return send_open_response(environ, headers, send(), BreakMode.STOP, None)
        start_response("200 OK", list(headers))
        return send()

    def _crash_behind(
        self,
        environ: Environ,
        start_response,
        headers: Sequence[tuple[str, str]],
        cause: str,
        whole: Sequence[bytes],
    ) -> Iterable[bytes]:
        """Send a whole response, then crash with all that runs."""
        start_response("200 OK", list(headers))
        seconds = len(whole) * self.event_pause + self._rng.uniform(0.1, _MAX_BEHIND_S)
        eventlet.spawn_after(seconds, self._end, cause, is_reset=False)
        return self._send_events(environ["HTTP_ID"], whole)

    def _end(self, cause: str, *, is_reset: bool, is_silent: bool = False) -> None:
        """End all connections and accept no more, as a process that has died.

        Args:
            cause: What crashed it.
            is_reset: Whether connections are reset rather than closed.
            is_silent: Whether they stay open and carry nothing more.
        """
        if self._has_crashed:
            return
        self._has_crashed = True
        self._ledger.fatal_crashes.append(FatalRun(now(), cause))
        self._ledger.breaks_by_request.update(self._streams)
        for link in self.link_by_instance.values():
            if is_silent:
                link.cut(CutMode.HANG)
            else:
                link.crash(is_reset=is_reset)
        self.on_crash(self)

    def _run_pieces(self, environ: Environ, start_response) -> list[bytes]:
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] != "/pieces":
            headers = (*self._name(environ), *self._notices(environ))
            return respond_json(start_response, _FREE_BYTES, headers=headers)
        call = StageCall(environ[_ARRIVED_AT], self.id, environ["HTTP_INSTANCE"])
        self._ledger.stage_calls.append(call)
        eventlet.sleep(RERANK_CALL_S)
        requests = [request for request, _ in msgspec.json.decode(body)]
        handles = [f"{self.id}/{next(self._handles)}" for _ in requests]
        made = zip(handles, requests, strict=True)
        self._ledger.request_by_handle.update(made)
        headers = (*self._name(environ), *self._notices(environ))
        if self.break_mode is None:
            return respond_json(start_response, handles, headers=headers)
        return self._break_off(environ, headers, [msgspec.json.encode(handles)])


def _first_event(environ: Environ) -> int:
    """Return the number of the first event that a request asks for."""
    return int(environ.get("HTTP_LAST_EVENT_ID", -1)) + 1


def _pace(parts: Sequence[bytes], pause: float) -> Iterator[bytes]:
    """Yield each part after a pause in seconds."""
    for part in parts:
        eventlet.sleep(pause)
        yield part
