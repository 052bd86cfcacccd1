"""Stand-ins for replicas: plain services, stages and model replicas."""

import asyncio
import json
import random
import secrets
import time
from collections.abc import Callable
from typing import NamedTuple

from common.http import Message, read_message, response_bytes
from common.store import Store

_BEAT_S = 1.2
_BUFFER = 4_194_304
_NOT_EXECUTED = {"X-Not-Executed": "1"}


class Run(NamedTuple):
    """A request that a replica began to work on.

    Attributes:
        at: When it began.
        replica: Id of the replica.
        request: Its ``X-Request-Id``.
        path: Its path.
        headers: Its headers, names in lower case.
    """

    at: float
    replica: str
    request: str
    path: str
    headers: dict[str, str]


class Replica:
    """A replica that runs a few requests at once and rejects those beyond its queue.

    Args:
        store: The platform's store, in which it registers itself.
        write: Writes a line into the record.
        service: Name of its service.
        address: Host and port.
        zone: Its zone.
        slots: Requests that it runs at once.
        queue: Requests that may wait.
        seconds: Time that it works on a request.
        rng: Draws what is left to chance.

    Attributes:
        id: Its id.
        version: Version of its software.
        runs: The requests that it has begun to work on.
        sheds: Decides whether it rejects a request although it has room.
        doubles: Decides whether an answer comes once more, where the next answer on
            its channel is expected.
    """

    def __init__(
        self,
        store: Store,
        write: Callable[[str], None],
        *,
        service: str,
        address: tuple[str, int],
        zone: str,
        slots: int,
        queue: int,
        seconds: float,
        rng: random.Random,
    ) -> None:
        self.id = f"i-{rng.getrandbits(32):08x}"
        self.service = service
        self.address = address
        self.zone = zone
        self.runs: list[Run] = []
        self.sheds: Callable[[Message], bool] = lambda request: False
        self.doubles: Callable[[Message, int], bool] = lambda request, status: False
        self._store = store
        self._write = write
        self._slots = slots
        self._queue = queue
        self._seconds = seconds
        self._rng = rng
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._born = int(time.time() * 1000)
        self.version = "v1"
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._beats: asyncio.Task | None = None

    async def start(self) -> None:
        """Listen, and register in the store from now on."""
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=_BUFFER
        )
        self.register()
        self._beats = asyncio.create_task(self._beat())

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        host, port = self.address
        entry = {
            "service": self.service,
            "address": f"{host}:{port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self._slots,
            "state": state,
            "coldRemainingMs": 0,
            "seq": 0,
            "born": self._born,
        }
        self._store.write_json(f"servers/{self.id}", entry)

    async def _beat(self) -> None:
        await asyncio.sleep(self._rng.uniform(0.0, _BEAT_S))
        while True:
            await self._register_when_heard()
            await asyncio.sleep(_BEAT_S)

    async def _register_when_heard(self) -> None:
        while self._store.is_silent:
            await asyncio.sleep(0.05)
        self.register()

    async def restart(self, version: str, seconds: float) -> None:
        """Stop at once, and start again under the same id with other software.

        Args:
            version: The version that it has then.
            seconds: How long it is down.
        """
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._write(f"{self.id} stops")
        await asyncio.sleep(seconds)
        self.version = version
        self._born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=_BUFFER
        )
        self._write(f"{self.id} starts again with {version}")
        await self._register_when_heard()
        self._beats = asyncio.create_task(self._beat())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        late = b""
        try:
            while (request := await read_message(reader)) is not None:
                if late:
                    self._write(f"{self.id} sends an answer once more")
                    writer.write(late)
                    await writer.drain()
                    late = b""
                status, headers, body = await self._answer(request)
                own = {"X-Server-Load": self._load(), "Keep-Alive": "timeout=15"}
                if request_id := request.headers.get("x-request-id"):
                    own["X-Request-Id"] = request_id
                answer = response_bytes(status, own | headers, body)
                writer.write(answer)
                await writer.drain()
                if self.doubles(request, status):
                    late = answer
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            writer.close()

    def _load(self) -> str:
        return f"{self._running},{self._waiting},{self._slots}"

    async def _answer(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        """Answer a request: status, headers and body."""
        if request.headers.get("x-target-instance", self.id) != self.id:
            return 421, {"X-Instance-Id": self.id}, b""
        if request.target == "/health":
            return 200, {"X-Instance-Id": self.id}, b""
        if request.target == "/v1/report":
            return 200, {"Content-Type": "application/json"}, self._report()
        if request.target == "/v1/stage-free":
            return 200, {}, self._release(json.loads(request.body))
        if self._waiting >= self._queue and self._running >= self._slots:
            return self._reject(request, "it is full")
        if self.sheds(request):
            return self._reject(request, "it sheds")
        self._waiting += 1
        try:
            await self._free.acquire()
        finally:
            self._waiting -= 1
        self._running += 1
        try:
            return await self._run(request)
        finally:
            self._running -= 1
            self._free.release()

    def _reject(self, request: Message, why: str) -> tuple[int, dict[str, str], bytes]:
        name = request.headers.get("x-request-id", request.target)
        self._write(f"{self.id} rejects {name}, not run: {why}")
        return 503, dict(_NOT_EXECUTED), b""

    def _record_run(self, request: Message) -> str:
        name = request.headers.get("x-request-id", "")
        run = Run(
            time.monotonic(), self.id, name, request.target, dict(request.headers)
        )
        self.runs.append(run)
        self._write(f"{self.id} runs {name} {request.target}")
        return name

    async def _run(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        name = self._record_run(request)
        await asyncio.sleep(self._seconds)
        body = f"{name} at {self.id}".encode().ljust(800, b".")
        return 200, {"X-Response-Seal": f"seal.{name}.{len(body)}"}, body

    def _report(self) -> bytes:
        return json.dumps(
            {"waiting": self._waiting, "busy": self._running > 0}
        ).encode()

    def _release(self, body: dict) -> bytes:
        return b"{}"


class Result(NamedTuple):
    """A result of a stage.

    Attributes:
        request: Id of the request that it was made for.
        stage: Its stage.
        piece: Its number.
        key: The ``X-Piece-Key`` that it was made with, empty if it had inputs.
    """

    request: str
    stage: int
    piece: int
    key: str


class StageReplica(Replica):
    """A replica that runs pieces of stages, one call at a time.

    Attributes:
        results: All results that any replica of the case holds, by handle.
        made: All results that were ever made, by handle.
    """

    results: dict[str, Result]
    made: dict[str, Result]
    item_seconds = 0.01
    room_mb = 50.0
    handle_seconds = 4.0
    on_inputs: Callable[[str, list[str]], None] = staticmethod(lambda who, what: None)

    async def _run(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        items = json.loads(request.body)["items"]
        await asyncio.sleep(self._seconds + self.item_seconds * len(items))
        answers = [self._make(item) for item in items]
        headers = {"Content-Type": "application/json"}
        return 200, headers, json.dumps({"items": answers}).encode()

    def _make(self, item: dict) -> dict:
        if any(handle not in self.results for handle in item.get("inputs", ())):
            return {"reason": "gone"}
        host, port = self.address
        handle = f"{host}:{port}/{secrets.token_hex(6)}"
        result = Result(item["id"], item["stage"], item["piece"], item.get("key", ""))
        self.results[handle] = self.made[handle] = result
        self._write(f"{self.id} makes {handle} for {item['id']} {item['stage']}")
        if inputs := item.get("inputs"):
            self.on_inputs(
                f"piece {item['stage']}/{item['piece']} of {item['id']}", inputs
            )
        asyncio.get_running_loop().call_later(
            self.handle_seconds, self.results.pop, handle, None
        )
        return {"handle": handle}

    def _release(self, body: dict) -> bytes:
        for handle in body.get("handles", ()):
            self.results.pop(handle, None)
        return b"{}"

    def _report(self) -> bytes:
        state = {"waiting": self._waiting, "busy": self._running > 0}
        return json.dumps(state | {"freeMb": self.room_mb}).encode()


class ModelReplica(Replica):
    """A model replica: it fetches its inputs, then answers with a few events."""

    results: dict[str, Result]
    made: dict[str, Result]
    events = 4
    on_inputs: Callable[[str, list[str]], None] = staticmethod(lambda who, what: None)

    async def _run(self, request: Message) -> tuple[int, dict[str, str], bytes]:
        inputs = [h for h in request.headers.get("x-inputs", "").split(",") if h]
        if any(handle not in self.results for handle in inputs):
            return 409, dict(_NOT_EXECUTED), b""
        name = self._record_run(request)
        await asyncio.sleep(self._seconds)
        parts = [f"id: {n}\ndata: {name} {n}\n\n" for n in range(1, self.events + 1)]
        body = "".join(parts).encode()
        headers = {
            "Content-Type": "text/event-stream",
            "X-Response-Seal": f"seal.{name}",
            "X-Weight-Versions": "1",
        }
        return 200, headers, body


class StreamReplica(Replica):
    """A model replica that writes events over some time and goes on where asked.

    Attributes:
        events: Number of events of each stream.
        event_seconds: Pause between two events.
    """

    events = 40
    event_seconds = 0.25

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                if "x-request-id" in request.headers:
                    await self._stream(request, writer)
                    continue
                status, headers, body = await self._answer(request)
                writer.write(response_bytes(status, headers, body))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        name = request.headers["x-request-id"]
        if request.headers.get("x-target-instance", self.id) != self.id:
            answer = {"X-Request-Id": name, "X-Instance-Id": self.id}
            writer.write(response_bytes(421, answer))
            await writer.drain()
            return
        self._record_run(request)
        first = int(request.headers.get("last-event-id", "0")) + 1
        headers = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": name,
            "X-Response-Seal": f"seal.{name}",
            "X-Weight-Versions": "1",
            "Transfer-Encoding": "chunked",
        }
        self._running += 1
        try:
            await asyncio.sleep(self._seconds)
            lines = ["HTTP/1.1 200 OK", *(f"{n}: {v}" for n, v in headers.items())]
            writer.write("\r\n".join([*lines, "", ""]).encode())
            for number in range(first, self.events + 1):
                data = f"id: {number}\ndata: part {number} {self.version}\n\n".encode()
                writer.write(b"%x\r\n%b\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(self.event_seconds)
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        finally:
            self._running -= 1
