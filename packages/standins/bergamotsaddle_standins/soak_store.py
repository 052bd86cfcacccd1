"""The store of a soak, which can be silent to instances and return from a copy."""

import random
from collections import deque
from typing import NamedTuple

import eventlet
import msgspec
from eventlet.event import Event

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.messages import StoreEntry
from bergamotsaddle_standins._web import App, Environ, serve
from bergamotsaddle_standins.soak_dialect import encode_page

_SILENCE_POLL_S = 0.05
_MS = 0.001
_MAX_COPIES = 200
# How long the writers of what was lost take to write it again.
_MAX_REWRITE_PAUSE_S = 0.05
# An entry that is missing for this long after a return is gone.
LAPSE_S = 2.0
# An instance counts that time from when it notices the return.
_NOTICE_S = 0.5


class _Copy(NamedTuple):
    """The state of the store at some time.

    Attributes:
        at: When it was taken, on the hub's clock.
        revision: Revision of the newest write.
        entry_by_key: All entries, also deleted ones.
    """

    at: float
    revision: int
    entry_by_key: dict[str, StoreEntry]


class SoakStore:
    """Serves the list and the watches of its entries.

    Attributes:
        port: Port on loopback.
        silent: Ids of instances whose calls get no response.
        is_away: Whether it refuses all calls.
        era: Number of times that it has returned from a copy, from 1.
        returned_at: Times at which it returned from a copy, on the hub's clock.
        told_gone_at: When it first told each instance that an entry is gone for good,
            by id of the instance and key of the entry.
    """

    def __init__(self) -> None:
        self._entry_by_key: dict[str, StoreEntry] = {}
        self._value_by_key: dict[str, bytes | None] = {}
        self._copies: deque[_Copy] = deque(maxlen=_MAX_COPIES)
        self._revision = 0
        self.is_away = False
        self.era = 1
        self.returned_at: list[float] = []
        self.told_gone_at: dict[tuple[str, str], float] = {}
        self._changed = Event()
        self.silent: set[str] = set()
        self.port = serve(self._app())

    def write(self, key: str, value: msgspec.Struct | None) -> float:
        """Write an entry, or delete it with the value None.

        Returns:
            When the write was acknowledged, on the hub's clock.
        """
        # Writers go on until the store takes what they write.
        while self.is_away:
            eventlet.sleep(_SILENCE_POLL_S)
        encoded = None if value is None else msgspec.json.encode(value)
        self._value_by_key[key] = encoded
        self._apply(key, encoded)
        return now()

    def return_from_copy(self, age: float, away: float, rng: random.Random) -> None:
        """Go away, come back from an older copy, and have what it lacks written again.

        Args:
            age: Least age of the copy in seconds.
            away: Seconds for which it is away.
            rng: Chooses in which order and when the writers write again.
        """
        copies = [copy for copy in self._copies if copy.at <= now() - age]
        if not copies or self.is_away:
            return
        self.is_away = True
        self._wake_watches()
        eventlet.sleep(away)
        copy = copies[-1]
        lost = [k for k, e in self._entry_by_key.items() if e.revision > copy.revision]
        self._entry_by_key = dict(copy.entry_by_key)
        self._revision = copy.revision
        self._copies = deque(copies, maxlen=_MAX_COPIES)
        self.era += 1
        self.is_away = False
        self.returned_at.append(now())
        self._wake_watches()
        rng.shuffle(lost)
        for key in lost:
            eventlet.sleep(rng.uniform(0.0, _MAX_REWRITE_PAUSE_S))
            held = self._entry_by_key.get(key)
            if held is None or held.value != self._value_by_key[key]:
                self._apply(key, self._value_by_key[key])

    def _apply(self, key: str, value: bytes | None) -> None:
        self._revision += 1
        self._entry_by_key[key] = StoreEntry(key, self._revision, value)
        self._copies.append(_Copy(now(), self._revision, dict(self._entry_by_key)))
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, Event()
        changed.send()

    def _app(self) -> App:
        def respond(environ: Environ, start_response):
            # A page belongs to one revision of one era, also after a silence.
            era = self.era
            status, page = self._serve(environ)
            while environ["HTTP_INSTANCE"] in self.silent:
                eventlet.sleep(_SILENCE_POLL_S)
            headers = [("Content-Length", str(len(page))), ("Era", str(era))]
            start_response(status, headers)
            return [page]

        return respond

    def _serve(self, environ: Environ) -> tuple[str, bytes]:
        """Return status and body of the response to a call."""
        era = self.era
        if environ["PATH_INFO"] == "/list":
            entries = [e for e in self._entry_by_key.values() if e.value]
        else:
            after, wait_ms = environ["QUERY_STRING"].split("&")
            if int(after) > self._revision:
                return "410 Gone", b""
            entries = self._wait_for_changes(int(after), int(wait_ms) * _MS)
        if self.is_away or self.era != era:
            return "503 Service Unavailable", b""
        self._record_gone(environ["HTTP_INSTANCE"])
        return "200 OK", encode_page(entries, self._revision)

    def _record_gone(self, instance: str) -> None:
        """Record which entries a response tells an instance to be gone.

        An entry that is missing shortly after a return may have lapsed instead.
        """
        lapse = LAPSE_S + _NOTICE_S
        if self.returned_at and now() - self.returned_at[-1] < lapse:
            return
        for key, entry in self._entry_by_key.items():
            if entry.value is None:
                self.told_gone_at.setdefault((instance, key), now())

    def _wait_for_changes(self, after: int, wait: float) -> list[StoreEntry]:
        era = self.era
        with eventlet.Timeout(wait, False):
            while self._revision <= after and not self.is_away and self.era == era:
                self._changed.wait()
        return [e for e in self._entry_by_key.values() if e.revision > after]
