"""Stand-ins for targets: stage workers, streaming engines and plain services."""

import hashlib
import random
from collections import Counter
from collections.abc import Callable, Iterable, Iterator
from typing import Any, NamedTuple

import eventlet
import msgspec
from eventlet import hubs
from eventlet.semaphore import Semaphore

from bergamotsaddle_standins._web import (
    Environ,
    announce_ports,
    read_json,
    respond_json,
    serve,
)

_SLEEP_S = 60.0
_COLD_SLOWDOWN = 4.0
_MODEL_LOAD_S = 0.5
_VOCABULARY = ("feed", "pen", "tide", "pellet", "barge", "dawn", "net", "salmon")


class TargetSpec(NamedTuple):
    """Configuration of a stand-in target.

    Attributes:
        id: The target's id.
        kind: The stage or service it serves.
        slots: Calls it runs at the same time; further calls wait.
        seconds: Duration of a call, or time to the first token of an engine.
        token_seconds: Time between two tokens.
        cold_limit: Concurrent calls it runs at normal speed while cold.
        models: Models it may load; empty for none or one that is always loaded.
        holds: How many of them fit at once; the first ones are loaded at the start.
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
    """Return the token that every engine generates for a prompt at an index."""
    digest = hashlib.blake2b(f"{index} {prompt}".encode(), digest_size=2).digest()
    return f"{_VOCABULARY[digest[0] % len(_VOCABULARY)]}-{digest[1]} "


class Faults(msgspec.Struct):
    """Faults of a stand-in, set through ``/control``.

    Attributes:
        cold: Whether the target is in cold start.
        slow: Factor by which everything takes longer.
        fail: Fraction of the calls that fail with status 500.
        crossed: Fraction of the responses that name another request.
        silent: Whether calls are accepted and never answered.
        cut_after: Tokens after which a stream is cut, or 0 for none.
        lose_answers: Fraction of the orders that are accepted and never answered.
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
    """Record of what a stand-in did.

    Attributes:
        calls: Number of calls received.
        runs_by_request: Number of calls received for each request.
        marks: Marks of all accepted orders in order, repeated ones included.
        tokens_by_request: Characters of tokens sent for each request.
        most_in_flight: Highest number of concurrent calls.
        most_cold: Highest number of concurrent calls in cold start.
        last_call_at: Time of the last new call, on the hub's clock.
    """

    calls: int = 0
    runs_by_request: Counter = msgspec.field(default_factory=Counter)
    marks: list[str] = msgspec.field(default_factory=list)
    tokens_by_request: Counter = msgspec.field(default_factory=Counter)
    most_in_flight: int = 0
    most_cold: int = 0
    last_call_at: float = 0.0


class TargetApp:
    """WSGI application of one target.

    Args:
        spec: Configuration of the target.

    Attributes:
        fencing: Highest fencing number among the orders followed so far.
    """

    def __init__(self, spec: TargetSpec) -> None:
        self.spec = spec
        self.faults = Faults()
        self.ledger = Ledger()
        self.in_flight = 0
        self.loaded_models = list(spec.models[: spec.holds])
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
            return respond_json(start_response, {})
        if path == "/ledger":
            return respond_json(start_response, self.ledger)
        if path == "/v1/load":
            return respond_json(start_response, self._make_load_report())
        if path == "/v1/orders":
            return self._handle_order(environ, start_response)
        return self._serve_call(environ, start_response, path)

    def _make_load_report(self) -> dict[str, Any]:
        return {
            "target": self.spec.id,
            "cold": self.faults.cold,
            "in_flight": self.in_flight,
            "age": 0.0,
            "models": self.loaded_models if self.spec.models else None,
        }

    def _handle_order(self, environ: Environ, start_response: Callable) -> list[bytes]:
        """Load or unload a model; reject an order with an outdated fencing number."""
        order = read_json(environ)
        headers = self._echo_headers(environ)
        if order["fencing"] < self.fencing:
            return respond_json(
                start_response, {}, status="409 Conflict", headers=headers
            )
        self.fencing = order["fencing"]
        eventlet.spawn_n(self._apply_order, order["action"], order["model"])
        return respond_json(start_response, {}, headers=headers)

    def _apply_order(self, action: str, model: str) -> None:
        if action == "load":
            eventlet.sleep(_MODEL_LOAD_S)
            self.loaded_models.append(model)
        elif model in self.loaded_models:
            self.loaded_models.remove(model)

    def _serve_call(
        self, environ: Environ, start_response: Callable, path: str
    ) -> Iterable[bytes]:
        body = read_json(environ)
        self._record_arrival(environ)
        try:
            if self.faults.silent:
                eventlet.sleep(_SLEEP_S)
            if random.random() < self.faults.fail:
                return respond_json(
                    start_response, {}, status="500 Internal Server Error"
                )
            if path == "/v1/completions":
                stream = self._stream(environ, start_response, body)
                self.in_flight += 1
                return stream
            with self._slots:
                eventlet.sleep(self._scale_seconds(self.spec.seconds))
                return self._respond(environ, start_response, body, path)
        finally:
            self.in_flight -= 1

    def _record_arrival(self, environ: Environ) -> None:
        ledger = self.ledger
        ledger.runs_by_request[environ.get("HTTP_X_REQUEST_ID", "")] += 1
        self.in_flight += 1
        ledger.calls += 1
        ledger.last_call_at = hubs.get_hub().clock()
        ledger.most_in_flight = max(ledger.most_in_flight, self.in_flight)
        if self.faults.cold:
            ledger.most_cold = max(ledger.most_cold, self.in_flight)

    def _scale_seconds(self, seconds: float) -> float:
        if self.faults.cold and self.in_flight > self.spec.cold_limit:
            seconds *= _COLD_SLOWDOWN * self.in_flight
        return seconds * self.faults.slow

    def _echo_headers(self, environ: Environ) -> tuple[tuple[str, str], ...]:
        request = environ.get("HTTP_X_REQUEST_ID", "")
        if random.random() < self.faults.crossed:
            request = "somebody-elses"
        return (
            ("X-Request-Id", request),
            ("X-Stage", environ.get("HTTP_X_STAGE", "")),
        )

    def _respond(
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
        return respond_json(
            start_response, payload, headers=self._echo_headers(environ)
        )

    def _book(self, body: Any) -> dict[str, Any]:
        number = len(self.ledger.marks) + 1
        self.ledger.marks.append(body.get("mark", ""))
        return {"order": f"{self.spec.id}-{number}", "tonnes": body.get("tonnes", 0)}

    def _stream(
        self, environ: Environ, start_response: Callable, body: Any
    ) -> Iterator[bytes]:
        headers = [("Content-Type", "text/event-stream"), *self._echo_headers(environ)]
        start_response("200 OK", headers)
        try:
            with self._slots:
                yield b": begins\n\n"
                eventlet.sleep(self._scale_seconds(self.spec.seconds))
                yield from self._generate_events(body)
        finally:
            self.in_flight -= 1

    def _generate_events(self, body: Any) -> Iterator[bytes]:
        request = body["request"]
        start = max(0, body["start"] - self.faults.repeat)
        for index in range(start, body["max_tokens"]):
            if self.faults.cut_after and index - start >= self.faults.cut_after:
                raise ConnectionAbortedError("cut by the test")
            text = make_token(body["prompt"], index)
            self.ledger.tokens_by_request[request] += len(text)
            event = {"request": request, "index": index, "text": text}
            yield b"data: " + msgspec.json.encode(event) + b"\n\n"
            eventlet.sleep(self._scale_seconds(self.spec.token_seconds))
        done = {"request": request, "index": body["max_tokens"], "done": True}
        yield b"data: " + msgspec.json.encode(done) + b"\n\n"


def main(specs: list[TargetSpec]) -> None:
    """Run some targets in this process until it is killed."""
    announce_ports(**{spec.id: serve(TargetApp(spec)) for spec in specs})
    while True:
        eventlet.sleep(_SLEEP_S)
