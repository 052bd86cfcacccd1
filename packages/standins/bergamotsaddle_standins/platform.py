"""Stand-ins for the platform: a configuration service and an instance list."""

import hashlib
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins._web import Environ, announce, answer, read_json, serve

MAX_VALUE_BYTES = 1_000_000
READS_PER_SECOND = 2000
_POLL = 0.02
_KEPT_SECONDS = 60.0


class Published:
    """One published value as its readers see it, after a lag.

    Args:
        lag: Seconds until readers see a change.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.lag = lag
        self.stale_since: float | None = None
        self._history: list[tuple[float, str, bytes]] = []

    def publish(self, payload: bytes) -> None:
        """Put a new value in place of the old one."""
        tag = hashlib.blake2b(payload, digest_size=8).hexdigest()
        self._history.append((now(), tag, payload))

    def visible(self) -> tuple[str, bytes]:
        """Tag and value that readers see now; both empty before the first."""
        seen_until = now() - self.lag
        if self.stale_since is not None:
            seen_until = min(seen_until, self.stale_since)
        seen = [entry for entry in self._history if entry[0] <= seen_until]
        if not seen:
            return ("", b"")
        return seen[-1][1:]


class PlatformService:
    """Serves values by long polling; readers can't write.

    What operators and tests do to it goes through ``/control``.

    Args:
        lag: Seconds until readers see a change.
    """

    def __init__(self, lag: float = 0.0) -> None:
        self.value = Published(lag)
        self.calls = 0
        self.refused = 0
        self.down = False
        self._window = 0.0
        self._calls_in_window = 0

    def __call__(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        """Serve one HTTP request."""
        if environ["PATH_INFO"] == "/control":
            return self._control(environ, start_response)
        if environ["REQUEST_METHOD"] != "GET":
            return answer(start_response, {}, status="405 Method Not Allowed")
        self.calls += 1
        if self.down:
            return answer(start_response, {}, status="503 Service Unavailable")
        if not self._within_rate():
            self.refused += 1
            return answer(start_response, {}, status="429 Too Many Requests")
        return self._watch(environ, start_response)

    def _watch(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        query = parse_qs(environ["QUERY_STRING"])
        known = query.get("after", [""])[0]
        until = now() + float(query.get("wait", ["0"])[0])
        while True:
            tag, payload = self.value.visible()
            if tag != known and payload:
                start_response(
                    "200 OK",
                    [("ETag", tag), ("Content-Length", str(len(payload)))],
                )
                return [payload]
            if now() >= until or self.down:
                start_response("304 Not Modified", [("Content-Length", "0")])
                return []
            eventlet.sleep(_POLL)

    def _control(self, environ: Environ, start_response: Callable) -> Iterable[bytes]:
        wanted = read_json(environ)
        if "publish" in wanted:
            payload = wanted["publish"].encode()
            if len(payload) > MAX_VALUE_BYTES:
                return answer(start_response, {}, status="413 Payload Too Large")
            self.value.publish(payload)
        if "down" in wanted:
            self.down = wanted["down"]
        if "stale" in wanted:
            self.value.stale_since = now() if wanted["stale"] else None
        return answer(start_response, {"calls": self.calls, "refused": self.refused})

    def _within_rate(self) -> bool:
        if now() - self._window >= 1.0:
            self._window = now()
            self._calls_in_window = 0
        self._calls_in_window += 1
        return self._calls_in_window <= READS_PER_SECOND


def main(list_lag: float) -> None:
    """Run both services in this process until it is ended."""
    config = PlatformService()
    instances = PlatformService(list_lag)
    announce(config=serve(config), instances=serve(instances))
    while True:
        eventlet.sleep(_KEPT_SECONDS)
