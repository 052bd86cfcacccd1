"""Stand-ins for targets: stage workers, an engine that streams, plain services."""

import hashlib
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import eventlet
import msgspec
from eventlet import hubs
from eventlet.semaphore import Semaphore

from bergamotsaddle_standins._web import Environ, announce, answer, read_json, serve

_KEPT_SECONDS = 60.0
_COLD_SLOWDOWN = 4.0
_LOAD_SECONDS = 0.5
_VOCABULARY = ("feed", "pen", "tide", "pellet", "barge", "dawn", "net", "salmon")


class TargetSpec(NamedTuple):
    """What a stand-in is like.

    Attributes:
        id: The target's id.
        kind: The stage or service it serves.
        slots: Calls it works on at once; more wait.
        seconds: Time of one call, or of the first token of an engine.
        token_seconds: Time between two tokens.
        cold_limit: Calls it bears in cold start.
        models: Models it may hold; empty for none or one that is always there.
        holds: How many of them it holds at once; the first ones at the start.
    """

    id: str
    kind: str
    slots: int = 8
    seconds: float = 0.02
    token_seconds: float = 0.01
    cold_limit: int = 1
    models: tuple[str, ...] = ()
    holds: int = 1


def make_token(prompt: str, index: int) -> str:
    """The token that every engine generates for a prompt at an index."""
    digest = hashlib.blake2b(f"{index} {prompt}".encode(), digest_size=2).digest()
    return f"{_VOCABULARY[digest[0] % len(_VOCABULARY)]}-{digest[1]} "


class Faults(msgspec.Struct):
    """What goes wrong at a stand-in; set through ``/control``.

    Attributes:
        cold: In cold start.
        slow: Factor on every time.
        fail: Part of the calls that fail with status 500.
        crossed: Part of the answers that name another request.
        silent: Whether calls are taken and never answered.
        cut_after: Tokens after which a stream is cut, or 0 for none.
        lose_answers: Part of the orders that are taken and never answered.
        repeat: Tokens that a resumed stream repeats.
    """

    cold: bool = False
    slow: float = 1.0
    fail: float = 0.0
    crossed: float = 0.0
    silent: bool = False
    cut_after: int = 0
    lose_answers: float = 0.0
    repeat: int = 0


class Ledger(msgspec.Struct):
    """What a stand-in really did.

    Attributes:
        calls: Calls that arrived.
        runs_by_request: How many calls arrived for each request.
        marks: The mark of each order taken, in order; nothing is left out for
            being a repetition.
        tokens_by_request: Bytes of tokens sent for each request.
        most_in_flight: Most calls at once.
        most_cold: Most calls at once that arrived in cold start.
        last_call_at: Seconds on the clock of the last new call.
    """

    calls: int = 0
    runs_by_request: Counter = msgspec.field(default_factory=Counter)
    marks: list[str] = msgspec.field(default_factory=list)
    tokens_by_request: Counter = msgspec.field(default_factory=Counter)
    most_in_flight: int = 0
    most_cold: int = 0
    last_call_at: float = 0.0


class TargetApp:
    """One target.

    Args:
        spec: What it is like.
    """

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.faults = Faults()
        self.ledger = Ledger()
        self.in_flight = 0
        self.loaded = list(spec.models[: spec.holds])
        self.fencing = 0
        self._slots = Semaphore(spec.slots)

    def __call__(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        """Serve one HTTP request."""
        path = environ["PATH_INFO"]
        if path == "/control":
            changes = read_json(environ)
            if changes.pop("reset", False):
                self.ledger.most_cold = 0
            for name, value in changes.items():
                setattr(self.faults, name, value)
            return answer(start_response, {})
        if path == "/ledger":
            return answer(start_response, self.ledger)
        if path == "/v1/load":
            return answer(start_response, self._load())
        if path == "/v1/orders":
            return self._obey(environ, start_response)
        return self._work(environ, start_response, path)

    def _load(self) -> dict[str, Any]:
        return {
            "target": self.spec.id,
            "cold": self.faults.cold,
            "in_flight": self.in_flight,
            "age": 0.0,
            "models": self.loaded if self.spec.models else None,
        }

    def _obey(self, environ: Environ, start_response: Callable) -> list[bytes]:
        """Load or unload a model, unless the order is older than one obeyed."""
        order = read_json(environ)
        names = self._names(environ)
        if order["fencing"] < self.fencing:
            return answer(start_response, {}, status="409 Conflict", headers=names)
        self.fencing = order["fencing"]
        eventlet.spawn_n(self._carry_out, order["action"], order["model"])
        return answer(start_response, {}, headers=names)

    def _carry_out(self, action: str, model: str) -> None:
        if action == "load":
            eventlet.sleep(_LOAD_SECONDS)
            self.loaded.append(model)
        elif model in self.loaded:
            self.loaded.remove(model)

    def _work(
        self, environ: Environ, start_response: Callable, path: str
    ) -> Iterable[bytes]:
        body = read_json(environ)
        self._note_arrival(environ)
        try:
            if self.faults.silent:
                eventlet.sleep(_KEPT_SECONDS)
            if random.random() < self.faults.fail:
                return answer(start_response, {}, status="500 Internal Server Error")
            if path == "/v1/completions":
                stream = self._stream(environ, start_response, body)
                self.in_flight += 1
                return stream
            with self._slots:
                eventlet.sleep(self._time(self.spec.seconds))
                return self._finish(environ, start_response, body, path)
        finally:
            self.in_flight -= 1

    def _note_arrival(self, environ: Environ) -> None:
        ledger = self.ledger
        ledger.runs_by_request[environ.get("HTTP_X_REQUEST_ID", "")] += 1
        self.in_flight += 1
        ledger.calls += 1
        ledger.last_call_at = hubs.get_hub().clock()
        ledger.most_in_flight = max(ledger.most_in_flight, self.in_flight)
        if self.faults.cold:
            ledger.most_cold = max(ledger.most_cold, self.in_flight)

    def _time(self, seconds: float) -> float:
        if self.faults.cold and self.in_flight > self.spec.cold_limit:
            seconds *= _COLD_SLOWDOWN * self.in_flight
        return seconds * self.faults.slow

    def _names(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        request = environ.get("HTTP_X_REQUEST_ID", "")
        if random.random() < self.faults.crossed:
            request = "somebody-elses"
        return (
            ("X-Request-Id", request),
            ("X-Stage", environ.get("HTTP_X_STAGE", "")),
        )

    def _finish(
        self, environ: Environ, start_response: Callable, body: Any, path: str
    ) -> list[bytes]:
        if path.startswith("/v1/stages/"):
            payload = {"output": [f"{self.spec.kind} of {body['input']}"[:200]]}
        elif path.startswith("/v1/services/orders"):
            payload = self._book(body)
            if random.random() < self.faults.lose_answers:
                raise ConnectionAbortedError("lost by the test")
        else:
            payload = {"item": body.get("item", ""), "tonnes": 12}
        return answer(start_response, payload, headers=self._names(environ))

    def _book(self, body: Any) -> dict[str, Any]:
        number = len(self.ledger.marks) + 1
        self.ledger.marks.append(body.get("mark", ""))
        return {"order": f"{self.spec.id}-{number}", "tonnes": body.get("tonnes", 0)}

    def _stream(
        self, environ: Environ, start_response: Callable, body: Any
    ) -> Iterator[bytes]:
        headers = [("Content-Type", "text/event-stream"), *self._names(environ)]
        start_response("200 OK", headers)
        try:
            with self._slots:
                yield b": begins\n\n"
                eventlet.sleep(self._time(self.spec.seconds))
                yield from self._tokens(body)
        finally:
            self.in_flight -= 1

    def _tokens(self, body: Any) -> Iterator[bytes]:
        request = body["request"]
        start = max(0, body["start"] - self.faults.repeat)
        for index in range(start, body["max_tokens"]):
            if self.faults.cut_after and index - start >= self.faults.cut_after:
                raise ConnectionAbortedError("cut by the test")
            text = make_token(body["prompt"], index)
            self.ledger.tokens_by_request[request] += len(text)
            event = {"request": request, "index": index, "text": text}
            yield b"data: " + msgspec.json.encode(event) + b"\n\n"
            eventlet.sleep(self._time(self.spec.token_seconds))
        done = {"request": request, "index": body["max_tokens"], "done": True}
        yield b"data: " + msgspec.json.encode(done) + b"\n\n"


def main(specs: list[TargetSpec]) -> None:
    """Run some targets in this process until it is ended."""
    announce(**{spec.id: serve(TargetApp(spec)) for spec in specs})
    while True:
        eventlet.sleep(_KEPT_SECONDS)
