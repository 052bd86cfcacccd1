"""Stand-ins for the configuration service and instance list of the platform."""

import hashlib
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins._web import (
    Environ,
    announce_ports,
    read_json,
    respond_json,
    serve,
)

MAX_VALUE_BYTES = 1_000_000
READS_PER_SECOND = 2000
_POLL_S = 0.02
_SLEEP_S = 60.0


class PublishedValue:
    """A published value that becomes visible to readers after a lag.

    Args:
        lag: Seconds until readers see a change.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.lag = lag
        self.stale_since: float | None = None
        self._history: list[tuple[float, str, bytes]] = []

    def publish(self, payload: bytes) -> None:
        """Publish a new value in place of the old one."""
        tag = hashlib.blake2b(payload, digest_size=8).hexdigest()
        self._history.append((now(), tag, payload))

    def visible(self) -> tuple[str, bytes]:
        """Return the tag and value that readers see now, or two empty ones."""
        visible_until = now() - self.lag
        if self.stale_since is not None:
            visible_until = min(visible_until, self.stale_since)
        visible = [entry for entry in self._history if entry[0] <= visible_until]
        if not visible:
            return ("", b"")
        return visible[-1][1:]


class PlatformService:
    """Serves a value to readers by long polling.

    Readers can't write. Operators and tests publish values and inject failures through
    ``/control``.

    Args:
        lag: Seconds until readers see a change.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.value = PublishedValue(lag)
        self.calls = 0
        self.rejected = 0
        self.down = False
        self._window_started_at = 0.0
        self._calls_in_window = 0

    def __call__(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        """Serve one HTTP request."""
        if environ["PATH_INFO"] == "/control":
            return self._control(environ, start_response)
        if environ["REQUEST_METHOD"] != "GET":
            return respond_json(start_response, {}, status="405 Method Not Allowed")
        self.calls += 1
        if self.down:
            return respond_json(start_response, {}, status="503 Service Unavailable")
        if not self._within_rate():
            self.rejected += 1
            return respond_json(start_response, {}, status="429 Too Many Requests")
        return self._watch(environ, start_response)

    def _watch(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        query = parse_qs(environ["QUERY_STRING"])
        known_tag = query.get("after", [""])[0]
        until = now() + float(query.get("wait", ["0"])[0])
        while True:
            tag, payload = self.value.visible()
            if tag != known_tag and payload:
                start_response(
                    "200 OK",
                    [("ETag", tag), ("Content-Length", str(len(payload)))],
                )
                return [payload]
            if now() >= until or self.down:
                start_response("304 Not Modified", [("Content-Length", "0")])
                return []
            eventlet.sleep(_POLL_S)

    def _control(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        changes = read_json(environ)
        if "publish" in changes:
            payload = changes["publish"].encode()
            if len(payload) > MAX_VALUE_BYTES:
                return respond_json(start_response, {}, status="413 Payload Too Large")
            self.value.publish(payload)
        if "down" in changes:
            self.down = changes["down"]
        if "stale" in changes:
            self.value.stale_since = now() if changes["stale"] else None
        return respond_json(
            start_response, {"calls": self.calls, "refused": self.rejected}
        )

    def _within_rate(self) -> bool:
        if now() - self._window_started_at >= 1.0:
            self._window_started_at = now()
            self._calls_in_window = 0
        self._calls_in_window += 1
        return self._calls_in_window <= READS_PER_SECOND


def main(list_lag: float) -> None:
    """Run both services in this process until it is killed."""
    config = PlatformService()
    instances = PlatformService(list_lag)
    announce_ports(config=serve(config), instances=serve(instances))
    while True:
        eventlet.sleep(_SLEEP_S)
