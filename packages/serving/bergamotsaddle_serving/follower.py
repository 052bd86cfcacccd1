"""Follows the platform's store: one list, then a watch from there on."""

import random
from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import Connection, ConnectionLostError
from bergamotsaddle_serving.messages import Dialect, HttpCall, StorePage
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.view import View

# How long the store may hold a watch. A connection that has fallen silent is noticed
# after it, so it stays well under the seconds in which a change must be in force.
WATCH_WAIT_S = 2.5
# An answer takes milliseconds; after this the connection counts as silent.
_ANSWER_LIMIT_S = 0.8
# After this a watch has been answered or has failed.
MAX_WATCH_S = WATCH_WAIT_S + _ANSWER_LIMIT_S
# The first watch after others were followed is short, since it has to confirm the view.
_FIRST_WATCH_WAIT_S = 0.05
_PAUSED_S = 2.0
# The store may cut a watch that waits; the next call then succeeds.
_CUT_S = 0.4
# Between two watches at least, for each instance that shares the store: changes that
# come together are read together. When many targets are replaced, each of their entries
# would else answer the watches of all instances at once.
_PAUSE_PER_INSTANCE_S = 0.015
# Bounds of it: a change has to be in force within two seconds, store's delays included.
_LEAST_PAUSE_S = 0.1
_MOST_PAUSE_S = 0.6
_FIRST_BACKOFF_S = 0.1
_LONGEST_BACKOFF_S = 1.0
_BACKOFF_FACTOR = 1.6
_MAX_PAGE_BYTES = 16_000_000
_OK = 200
_GONE = 410
_TOO_MANY = 429


def batch_pause(fleet_size: int) -> float:
    """Seconds between two watches of an instance while entries change."""
    share = fleet_size * _PAUSE_PER_INSTANCE_S
    return min(_MOST_PAUSE_S, max(_LEAST_PAUSE_S, share))


class _StoreError(Exception):
    """The store did not do as asked."""


class StoreFollower:
    """Keeps the view at the store's state.

    Args:
        settings: Where the store is.
        dialect: Makes and reads its calls.
        view: Takes what was read.
        fleet_size: Instances that share the store.
        logger: Gets a line when the store is lost and regained.
    """

    def __init__(
        self,
        settings: ServingSettings,
        dialect: Dialect,
        view: View,
        fleet_size: Callable[[], int],
        logger: Any,
    ) -> None:
        self._fleet_size = fleet_size
        self._settings = settings
        self._dialect = dialect
        self._view = view
        self._logger = logger
        self._connection: Connection | None = None
        self._must_list = False
        self._backoff = _FIRST_BACKOFF_S
        self._watched_at = float("-inf")
        self.is_lost = False
        self._lost_at = float("-inf")
        self.calls = 0

    def is_refused(self) -> bool:
        """Tell whether the store has not answered for longer than a cut watch takes."""
        return self.is_lost and now() - self._lost_at > _CUT_S

    def step(self) -> None:
        """Read what there is to read; a failure is followed by a pause."""
        try:
            self._step()
            self._backoff = _FIRST_BACKOFF_S
        except (ConnectionLostError, _StoreError, ValueError) as error:
            self._lose(str(error))
            eventlet.sleep(self._backoff * random.uniform(0.5, 1.0))
            self._backoff = min(_LONGEST_BACKOFF_S, self._backoff * _BACKOFF_FACTOR)

    def _step(self) -> None:
        if self._must_list or not self._view.has_snapshot:
            self._list()
            return
        asked_at = now()
        has_paused = asked_at - self._watched_at > _PAUSED_S
        wait = _FIRST_WATCH_WAIT_S if has_paused else WATCH_WAIT_S
        call = self._dialect.watch_entries(self._view.revision, wait)
        status, body = self._call(call, wait + _ANSWER_LIMIT_S)
        self._watched_at = now()
        if status == _GONE:
            self._logger.info("store_history_gone", revision=self._view.revision)
            self._must_list = True
            return
        page = self._read(status, body)
        # One without changes was held for the whole wait.
        self._regain(asked_at if page.entries else asked_at + wait)
        if self._view.apply(page.entries, page.revision, source="store"):
            eventlet.sleep(batch_pause(self._fleet_size()))

    def _list(self) -> None:
        asked_at = now()
        first = self._page("")
        entries = list(first.entries)
        page = first
        while page.has_more and page.entries:
            page = self._page(page.entries[-1].key)
            entries += page.entries
        self._regain(asked_at)
        # Pages are no snapshot: what changed since the first one is read again by the
        # watch from there on.
        self._view.replace(entries, first.revision, source="store")
        self._must_list = False

    def _page(self, after: str) -> StorePage:
        status, body = self._call(self._dialect.list_entries(after), _ANSWER_LIMIT_S)
        return self._read(status, body)

    def _read(self, status: int, body: bytes) -> StorePage:
        if status != _OK:
            raise _StoreError(f"status {status}")
        return self._dialect.read_page(body)

    def _call(self, call: HttpCall, limit: float) -> tuple[int, bytes]:
        connection = self._connection
        self._connection = None
        if connection is None or not connection.is_usable():
            if connection is not None:
                connection.close()
            connection = Connection(self._settings.store.address)
        self.calls += 1
        head, body = connection.exchange(call, limit=limit, max_bytes=_MAX_PAGE_BYTES)
        if head.status in (_OK, _GONE) and connection.prepare_next():
            self._connection = connection
        else:
            connection.close()
        return head.status, body

    def _lose(self, reason: str) -> None:
        if self.is_lost:
            return
        self.is_lost = True
        self._lost_at = now()
        self._logger.warning("store_lost", reason=reason, revision=self._view.revision)

    def _regain(self, confirmed_at: float) -> None:
        self._view.confirmed_at = confirmed_at
        if not self.is_lost:
            return
        self.is_lost = False
        self._view.store_regained_at = now()
        self._logger.info("store_regained", revision=self._view.revision)
