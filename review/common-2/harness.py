"""Stand-ins for the platform, replicas and consumers, and daemons as processes.

All of them use loopback addresses. Stand-ins behave as the users' pages say; a case
changes single answers of them.
"""

import base64
import contextlib
import json
import os
import random
import re
import secrets
import signal
import socket
import struct
import subprocess
import tempfile
import threading
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent.parent
HEAD_END = b"\r\n\r\n"
STORE_PORT = 8624
CALLER_PORT = 8625
READY_PORT = 8621
CONTROL_PORT = 8628
# Outside the range from which the kernel takes ports for outgoing connections.
REPLICA_PORTS = range(9000, 10000)
PEER_PORT = 7740
RELAY_PORT = 7755
KEY = "9dnn2ctnfzs989anu6ws"
TEAM = "bozi300"
HOST = "pule25.example"
RESET = struct.pack("ii", 1, 0)


def pick_network():
    """Return the first three numbers of loopback addresses that are free here."""
    for _ in range(100):
        prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind((f"{prefix}.1", STORE_PORT))
            return prefix
    raise RuntimeError("no free loopback address")


class Record:
    """What was sent, answered and run, in the order of time.

    Args:
        path: File that it is written to.
    """

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def add(self, text):
        """Add a line."""
        with self._lock:
            at = time.monotonic() - self._started_at
            self._file.write(f"{at:8.3f} {text}\n")
            self._file.flush()


def read_head(sock, data=b""):
    """Return the first line, the headers and what was read behind them, or None."""
    while HEAD_END not in data:
        part = sock.recv(65536)
        if not part:
            return None
        data += part
    head, _, rest = data.partition(HEAD_END)
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, rest


def read_length(sock, size, rest):
    """Return a body of a known size and what was read behind it."""
    parts = [rest]
    have = len(rest)
    while have < size:
        part = sock.recv(65536)
        if not part:
            raise ConnectionError("cut")
        parts.append(part)
        have += len(part)
    data = b"".join(parts)
    return data[:size], data[size:]


class Server:
    """A listener that serves each connection in a thread.

    Args:
        host: Address.
        port: Port, 0 for any.
        serve: Called with each accepted socket.
    """

    def __init__(self, host, port, serve, backlog=128):
        self._serve = serve
        self._listener = socket.socket()
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._listener.bind((host, port))
        self._listener.listen(backlog)
        self.address = self._listener.getsockname()
        self.sockets = set()
        self.is_closed = False
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            if self.is_closed:
                sock.close()
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self.sockets.add(sock)
            threading.Thread(target=self._run_one, args=(sock,), daemon=True).start()

    def _run_one(self, sock):
        with contextlib.suppress(OSError, ConnectionError):
            self._serve(sock)
        self.sockets.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()

    def close(self, *, is_reset=False):
        """Stop listening and close all connections."""
        self.is_closed = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for sock in list(self.sockets):
            with contextlib.suppress(OSError):
                if is_reset:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.shutdown(socket.SHUT_RDWR)
            with contextlib.suppress(OSError):
                sock.close()


class Store:
    """The platform's store, which can only be read by the system.

    Attributes:
        mode: How it answers: ok, silent, reset or busy.
        most_changes: How many changes of its history it keeps.
    """

    def __init__(self, host):
        self._lock = threading.Condition()
        self._items = {}
        self._events = []
        self.revision = 100
        # The oldest revision after which all changes are known.
        self._kept_from = 0
        self.mode = "ok"
        self.most_changes = 10_000
        self._server = Server(host, STORE_PORT, self._serve)
        self.address = f"{host}:{STORE_PORT}"

    def put(self, key, fields):
        """Write an item, as the operator or a replica does."""
        value = fields if isinstance(fields, bytes) else json.dumps(fields).encode()
        with self._lock:
            self.revision += 1
            created = self._items.get(key, (None, None, self.revision))[2]
            self._items[key] = (value, self.revision, created)
            self._add(self._item(key))

    def delete(self, key):
        """Delete an item."""
        with self._lock:
            if self._items.pop(key, None) is None:
                return
            self.revision += 1
            event = {"key": key, "revision": self.revision, "isDeleted": True}
            self._add(event)

    def _add(self, event):
        self._events.append((self.revision, event))
        while len(self._events) > self.most_changes:
            self._kept_from = self._events.pop(0)[0]
        self._lock.notify_all()

    def discard_history(self):
        """Forget all changes so far, as the store may at any time."""
        with self._lock:
            self._kept_from = self.revision
            self._events.clear()
            self._lock.notify_all()

    def _item(self, key):
        value, revision, created = self._items[key]
        return {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": revision,
            "createdAt": created,
            "lease": 0,
        }

    def _serve(self, sock):
        rest = b""
        while True:
            found = read_head(sock, rest)
            if found is None:
                return
            line, _, rest = found
            target = urlsplit(line.split(" ")[1])
            query = {k: v[0] for k, v in parse_qs(target.query).items()}
            if self.mode == "silent":
                while self.mode == "silent":
                    time.sleep(0.05)
                return
            if self.mode == "reset":
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                return
            if self.mode == "busy":
                self._respond(sock, 503, {})
                continue
            status, body = self._answer(target.path, query)
            self._respond(sock, status, body)

    def _answer(self, path, query):
        if path == "/v1/kv-range":
            prefix, after = query.get("prefix", ""), query.get("after", "")
            with self._lock:
                keys = sorted(k for k in self._items if k.startswith(prefix))
                items = [self._item(k) for k in keys if k > after]
                return 200, {"items": items, "hasMore": False, "at": self.revision}
        if path == "/v1/kv-watch":
            after = int(query.get("after", "0"))
            until = time.monotonic() + int(query.get("waitMs", "0")) / 1000
            with self._lock:
                while self.mode == "ok":
                    if after < self._kept_from:
                        return 410, {}
                    events = [e for r, e in self._events if r > after]
                    left = until - time.monotonic()
                    if events or left <= 0:
                        return 200, {"events": events, "at": self.revision}
                    self._lock.wait(left)
            return 503, {}
        return 404, {}

    def _respond(self, sock, status, fields):
        body = json.dumps(fields).encode()
        head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(body)}\r\n\r\n"
        sock.sendall(head.encode() + body)


class Request:
    """A request as it reached a replica."""

    def __init__(self, line, headers, body):
        self.method, self.path, _ = line.split(" ", 2)
        self.headers = headers
        self.body = body
        self.id = headers.get("x-request-id", "")


class Replica:
    """A replica of a service.

    Args:
        store: Where it registers.
        host: Its address.
        service: Its service.
        record: Gets what it runs.
        behave: Called with the replica, the socket and the request; answers it and
            returns whether the connection goes on. None for a sound answer.

    Attributes:
        runs: Ids of the requests that it has run, in order.
    """

    def __init__(
        self,
        store,
        host,
        service,
        record,
        behave=None,
        *,
        zone="a",
        slots=8,
        version="v1",
    ):
        self.id = "i-" + secrets.token_hex(4)
        self.store = store
        self.service = service
        self.record = record
        self.behave = behave
        self.zone = zone
        self.slots = slots
        self.version = version
        self.born = int(time.time() * 1000)
        self.work_s = 0.03
        self.runs = []
        self.cold_ms = 0
        # How long its report takes.
        self.report_s = 0.0
        self.gap_s = 0.05
        self.events = 10
        self._host = host
        self._server = self._listen()
        self.port = self._server.address[1]

    def _listen(self):
        for _ in range(20):
            with contextlib.suppress(OSError):
                return Server(self._host, random.choice(REPLICA_PORTS), self._serve)
        raise RuntimeError("no free port")

    def register(self, state="ready"):
        """Write its entry to the store."""
        entry = {
            "service": self.service,
            "address": f"{self._host}:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": self.cold_ms,
            "seq": 1,
            "born": self.born,
        }
        self.store.put(f"servers/{self.id}", entry)

    def unregister(self):
        """Remove its entry."""
        self.store.delete(f"servers/{self.id}")

    def crash(self):
        """End at once; connections are closed, new ones are refused."""
        self._server.close(is_reset=True)

    def restart(self, version=None):
        """Start again at the same address under the same id."""
        self.born = int(time.time() * 1000)
        self.version = version or self.version
        for _ in range(50):
            try:
                self._server = Server(self._host, self.port, self._serve)
                return
            except OSError:
                time.sleep(0.02)
        raise RuntimeError("the port is taken")

    def _serve(self, sock):
        server = self._server
        rest = b""
        while not server.is_closed:
            found = read_head(sock, rest)
            if found is None:
                return
            line, headers, rest = found
            size = int(headers.get("content-length", "0"))
            body, rest = read_length(sock, size, rest)
            request = Request(line, headers, body)
            if not self._serve_one(sock, request):
                return

    def _serve_one(self, sock, request):
        named = request.headers.get("x-target-instance")
        if named not in (None, self.id):
            respond(sock, request, 421, b"", [("X-Instance-Id", self.id)], seal=False)
            return True
        if request.path == "/v1/report":
            time.sleep(self.report_s)
            fields = {"waiting": 0, "running": 0, "born": self.born, "kvTotal": 90000}
            respond(sock, request, 200, json.dumps(fields).encode(), seal=False)
            return True
        if self.behave is not None:
            return self.behave(self, sock, request)
        return self.answer(sock, request)

    def run(self, request):
        """Record that it runs a request."""
        self.runs.append(request.id)
        self.record.add(f"replica {self.id} {self.version} runs {request.id}")

    def answer(self, sock, request):
        """Answer as a sound replica does."""
        self.run(request)
        time.sleep(self.work_s)
        respond(sock, request, 200, b"done " + request.id.encode(), self.load())
        return True

    def stream(self, sock, request, events=None, gap_s=None):
        """Answer with a stream of events."""
        self.run(request)
        first = int(request.headers.get("last-event-id", "-1")) + 1
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        head += f"X-Request-Id: {request.id}\r\nX-Response-Seal: s.{self.id}\r\n"
        head += "Transfer-Encoding: chunked\r\n\r\n"
        sock.sendall(head.encode())
        for number in range(first, events or self.events):
            time.sleep(self.gap_s if gap_s is None else gap_s)
            event = f"id: {number}\ndata: {self.version} {self.id}\n\n".encode()
            sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        sock.sendall(b"0\r\n\r\n")
        return True

    def load(self):
        """Return the header with its load."""
        return [("X-Server-Load", f"1,0,{self.slots}")]


def respond(sock, request, status, body, headers=(), *, seal=True):
    """Send a whole answer."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    if request.id:
        lines.append(f"X-Request-Id: {request.id}")
    if seal:
        lines.append("X-Response-Seal: s." + request.id)
    lines += [f"{name}: {value}" for name, value in headers]
    sock.sendall("\r\n".join(lines).encode() + HEAD_END + body)


def route(name, prefix, kind, service, **fields):
    """Return a route of a configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": 8000,
        "targetLatencyMs": 2000,
        "priority": 1,
        "service": service,
        "attempts": 2,
        "public": False,
        "sticky": False,
        "resumable": False,
        "targetGapMs": 300,
    } | fields


def configuration(version, routes, services, **fields):
    """Return a configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TEAM, "apiKeys": [KEY], "priority": 1}],
    } | fields


def plain_service(name):
    """Return a plain service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConnections": 360,
        "protocol": "h1",
        "tls": False,
        "coldStartS": 0.0,
        "coldPerS": 0.0,
    }


def engine_service(name):
    """Return a service of engines."""
    engine = {"slots": 64, "kvCapacityTokens": 458010, "handleS": 5.0}
    return plain_service(name) | {"engine": engine}


def _render(template, values):
    """Fill in the few kinds of placeholders that the template has."""
    text = template
    pattern = re.compile(r"\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}", re.DOTALL)

    def section(match):
        kind, name, inner = match.groups()
        value = _look_up(values, name)
        if kind == "^":
            return "" if value else inner
        if isinstance(value, dict):
            parts = [
                inner.replace("{{@}}", key).replace("{{.}}", item)
                for key, item in value.items()
            ]
            last = len(parts) - 1
            return "".join(
                part.replace("{{,}}", "" if n == last else ",")
                for n, part in enumerate(parts)
            )
        return inner if value else ""

    text = pattern.sub(section, text)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: _text(_look_up(values, m[1])), text)


def _look_up(values, name):
    for part in name.split("."):
        if isinstance(values, list):
            values = values[int(part)]
        else:
            values = values.get(part) if isinstance(values, dict) else None
    return values


def _text(value):
    if isinstance(value, list):
        return ",".join(map(str, value))
    return "" if value is None else str(value)


class Daemon:
    """A daemon, started with the command of the deploy file.

    Args:
        folder: Temporary folder.
        number: Number of the machine.
        prefix: Loopback network.
        store: The store.
        zone: Zone of the machine.
        seeds: Addresses of machines.
    """

    def __init__(
        self, folder, number, prefix, store, *, zone="a", seeds=(), zones=None
    ):
        self.host = f"{prefix}.{10 + number}"
        self.id = f"front-{zone}-{number}"
        self._settings = Path(folder) / f"{self.id}.ini"
        self._log = Path(folder) / f"{self.id}.log"
        self._process = None
        self.values = {
            "node": self.id,
            "zone": zone,
            "ip": self.host,
            "bootstrap": True,
            "listen": {
                "front": f"{self.host}:{CALLER_PORT}",
                "ready": f"{self.host}:{READY_PORT}",
                "control": f"{self.host}:{CONTROL_PORT}",
            },
            "internalPorts": [PEER_PORT, RELAY_PORT],
            "seeds": list(seeds),
            "zones": zones or {"a": "r"},
            "platform": {"address": store.address, "historyS": 20},
            "heartbeatMs": 1200,
            "bounds": {
                "graceS": 8,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "retryBudgetExtra": 54,
                "configApplyMs": 2000,
                "drainMs": 2000,
                "evacuationMs": 5000,
            },
            "limits": {
                "cpuShare": 0.537,
                "vcpus": 2,
                "bandwidthMbps": 1000.0,
                "memoryMb": 300,
                "maxFds": 4100,
            },
        }

    def start(self):
        """Start the process."""
        template = (ROOT / "deploy" / "daemon.ini.template").read_text()
        self._settings.write_text(_render(template, self.values))
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BERGAMOTSADDLE_BOOT": str(self._settings),
        }
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                ["python3", "-S", "platform/launch.py"],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                stdin=subprocess.DEVNULL,
            )

    def is_ready(self):
        """Return whether it says that it is ready."""
        try:
            with socket.create_connection((self.host, READY_PORT), 0.5) as sock:
                sock.settimeout(0.5)
                sock.sendall(b"GET /v1/readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                return sock.recv(4096).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def wait_ready(self, seconds=20.0):
        """Wait until it is ready; return whether it is."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.is_ready():
                return True
            time.sleep(0.05)
        return False

    def send_signal(self, number):
        """Send a signal to the process."""
        self._process.send_signal(number)

    @property
    def returncode(self):
        """Status with which the process ended, None while it runs."""
        return self._process.poll()

    def rss_mb(self):
        """Return the memory of the process in MB."""
        text = Path(f"/proc/{self._process.pid}/status").read_text()
        return int(re.search(r"VmRSS:\s+(\d+)", text)[1]) / 1000

    def log_text(self):
        """Return what it has logged."""
        return self._log.read_text(errors="replace")

    def end(self):
        """End the process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class Answer:
    """What a consumer got.

    Attributes:
        status: HTTP status, 0 without an answer.
        is_whole: Whether it came to its proper end.
        why: Why it did not.
    """

    def __init__(self, status, headers, body, is_whole, why=""):
        self.status = status
        self.headers = headers
        self.body = body
        self.is_whole = is_whole
        self.why = why

    def __str__(self):
        end = "whole" if self.is_whole else f"not whole ({self.why})"
        return f"{self.status} {end} {self.body[:60]!r}"


class Consumer:
    """A consumer's channel to a daemon."""

    def __init__(self, host, port=CALLER_PORT, timeout=15.0):
        self.sock = socket.create_connection((host, port), timeout)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._rest = b""

    def send(
        self, method, path, body=b"", *, request_id=None, deadline_ms=6000, headers=()
    ):
        """Send a request; return its id."""
        request_id = request_id or secrets.token_hex(8)
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"X-Request-Id: {request_id}",
            f"X-Deadline-Ms: {deadline_ms}",
            f"Authorization: Token {KEY}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.sock.sendall("\r\n".join(lines).encode() + HEAD_END + body)
        return request_id

    def read(self):
        """Read an answer."""
        try:
            found = read_head(self.sock, self._rest)
            if found is None:
                return Answer(0, {}, b"", False, "closed")
        except OSError as error:
            return Answer(0, {}, b"", False, type(error).__name__)
        line, headers, rest = found
        status = int(line.split(" ")[1])
        body = b""
        try:
            if headers.get("transfer-encoding") == "chunked":
                body, self._rest = self._read_chunks(rest)
            else:
                size = int(headers.get("content-length", "0"))
                body, self._rest = read_length(self.sock, size, rest)
        except (OSError, ConnectionError) as error:
            return Answer(status, headers, self._body, False, type(error).__name__)
        return Answer(status, headers, body, True)

    _body = b""

    def _read_chunks(self, data):
        self._body = b""
        while True:
            while b"\r\n" not in data:
                data += self._more()
            line, _, data = data.partition(b"\r\n")
            size = int(line, 16)
            while len(data) < size + 2:
                data += self._more()
            self._body += data[:size]
            data = data[size + 2 :]
            if not size:
                return self._body, data

    def _more(self):
        part = self.sock.recv(65536)
        if not part:
            raise ConnectionError("cut")
        return part

    def close(self):
        """Close the channel."""
        self.sock.close()


@contextlib.contextmanager
def temporary_folder():
    """Return a temporary folder that is removed afterwards."""
    with tempfile.TemporaryDirectory(prefix="bergamotsaddle-review-") as folder:
        yield folder
