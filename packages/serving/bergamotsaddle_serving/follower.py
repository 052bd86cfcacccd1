"""Follows the platform's store: reads a snapshot, then watches for changes."""

import random
from collections.abc import Callable
from typing import Any, NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.client import (
    SILENT,
    Connection,
    ConnectionLostError,
    OnEndless,
    ignore_endless,
)
from bergamotsaddle_serving.messages import (
    Dialect,
    HttpCall,
    StoreEntry,
    StorePage,
    StorePosition,
)
from bergamotsaddle_serving.past_software import PastSoftware
from bergamotsaddle_serving.settings import ServingSettings
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.view_freshness import ViewFreshness

# Time for the body of a response, which may be a large configuration on a slow link.
_BODY_TIMEOUT_S = 0.8
# The store may cut a waiting watch; the next call then succeeds within this time.
_MAX_CUT_S = 0.4
# Minimum pause between two watches for each instance that shares the store, so that
# changes in quick succession are read together. Without it, each entry of many replaced
# targets would complete the watches of all instances at once.
_PAUSE_PER_INSTANCE_S = 0.015
# Bounds of the pause. A change has to be in force within two seconds, delays of the
# store included.
_MIN_PAUSE_S = 0.1
_MAX_PAUSE_S = 0.6
_INITIAL_BACKOFF_S = 0.1
_MAX_BACKOFF_S = 0.4
# Pause of an instance that the store refused, for each instance that shares the store.
# Whichever of them finds the store back first tells the others.
_RETRY_PER_INSTANCE_S = 0.12
_MIN_RETRY_PAUSE_S = 0.2
_MAX_RETRY_PAUSE_S = 2.0
_BACKOFF_FACTOR = 1.6
_MAX_PAGE_BYTES = 16_000_000
_OK = 200
_GONE = 410
_TOO_MANY = 429
# Time for reading the store's history behind a snapshot. Changes are not followed
# meanwhile.
_HISTORY_TIMEOUT_S = 0.4


def batch_pause(fleet_size: int) -> float:
    """Return the pause in seconds between two watches while entries change."""
    pause = fleet_size * _PAUSE_PER_INSTANCE_S
    return min(_MAX_PAUSE_S, max(_MIN_PAUSE_S, pause))


def retry_pause(fleet_size: int) -> float:
    """Return the seconds for which to leave the store alone after it refused a call.

    They are spread, so that some instance tries at any time. Calls that are on the way
    when the store returns may still get no response.
    """
    pause = min(_MAX_RETRY_PAUSE_S, fleet_size * _RETRY_PER_INSTANCE_S)
    return max(_MIN_RETRY_PAUSE_S, pause * random.uniform(0.5, 1.0))


class _StoreError(Exception):
    """The store responded with an error."""


class StoreResponse(NamedTuple):
    """A response of the store.

    Attributes:
        status: HTTP status.
        body: The whole body.
        era: Era of the store.
    """

    status: int
    body: bytes
    era: int = 0


class StoreFollower:
    """Keeps the view up to date with the store.

    Args:
        settings: Settings with the address of the store.
        dialect: Encodes the calls to the store and decodes its responses.
        view: View that the changes are applied to.
        fleet_size: Returns the number of instances that share the store.
        logger: Logs when the store is lost and regained.

    Attributes:
        is_lost: Whether the last call to the store failed.
        calls: Number of calls to the store so far.
        on_refused: Called when the store has failed for longer than a cut watch takes.
        on_regained: Called when the store has returned after an outage.
        on_endless: Called with the address and the error when more comes than a
            response may have.
        past: Reads which versions served before a snapshot, None if nothing needs it.
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
        self._backoff = _INITIAL_BACKOFF_S
        self._freshness = ViewFreshness(settings.bounds.change)
        self.is_lost = False
        self._is_silent = False
        self._lost_at = float("-inf")
        self.calls = 0
        self.on_refused: Callable[[], None] = lambda: None
        self.on_regained: Callable[[], None] = lambda: None
        self.on_endless: OnEndless = ignore_endless
        self.past: PastSoftware | None = None

    def is_refused(self) -> bool:
        """Return whether the store has failed for longer than a cut watch takes."""
        is_cut_only = not self._is_silent and now() - self._lost_at <= _MAX_CUT_S
        return self.is_lost and not is_cut_only

    def retry_pause(self) -> float:
        """Return the seconds for which to leave a store alone that refused a call."""
        return retry_pause(self._fleet_size())

    def step(self) -> None:
        """Read a snapshot or the next changes; pause after a failure."""
        try:
            self._read_next()
            self._backoff = _INITIAL_BACKOFF_S
        except (ConnectionLostError, _StoreError, ValueError) as error:
            self._record_loss(str(error))
            if self.is_refused():
                self.on_refused()
            eventlet.sleep(self._backoff * random.uniform(0.5, 1.0))
            self._backoff = min(_MAX_BACKOFF_S, self._backoff * _BACKOFF_FACTOR)

    def _read_next(self) -> None:
        if not self._view.has_snapshot or self._freshness.is_overdue(self._view.age()):
            self._read_snapshot()
            return
        requested_at = now()
        wait = self._freshness.watch_wait(self._view.age())
        call = self._dialect.watch_entries(self._view.position.revision, wait)
        try:
            response = self._call(call, wait + self._freshness.response_timeout)
        except ConnectionLostError as error:
            if error.reason != SILENT:
                raise
            # While the store drops its history, watches get no response but lists do.
            self._record_loss(error.reason)
            self.on_refused()
            self._read_snapshot()
            return
        if response.era > self._view.position.era:
            # What the store lost is missing in a watch, whatever its revisions.
            self._read_snapshot()
            return
        if response.status == _GONE:
            self._logger.info("store_history_gone", **self._view.position._asdict())
            self._read_snapshot()
            eventlet.sleep(self._pause())
            return
        page = self._decode_page(response)
        # The store held a watch without changes for the whole wait.
        held_until = min(requested_at + wait, now())
        self._confirm(requested_at if page.entries else held_until)
        if self._view.apply(page.entries, page.position, source="store"):
            eventlet.sleep(self._pause())

    def _pause(self) -> float:
        return self._freshness.limit_pause(batch_pause(self._fleet_size()))

    def _read_snapshot(self) -> None:
        requested_at = now()
        pages = [self._read_page("")]
        while pages[-1].has_more and pages[-1].entries:
            page = self._read_page(pages[-1].entries[-1].key)
            if page.era != pages[0].era:
                # The store came back from a copy between the two pages.
                requested_at = now()
                pages = [self._read_page("")]
                continue
            pages.append(page)
        # The pages are read one after the other, so later ones may contain newer
        # changes. The watch from the first page's revision reads those again.
        position = pages[0].position
        is_new_era = self._view.has_snapshot and position.era > self._view.position.era
        self._confirm(requested_at, is_new_era=is_new_era)
        entries = [entry for page in pages for entry in page.entries]
        self._view.replace(entries, position, source="store")
        if self.past is not None:
            self._read_past(self.past, entries, position, requested_at)

    def _read_past(
        self,
        past: PastSoftware,
        entries: list[StoreEntry],
        position: StorePosition,
        listed_at: float,
    ) -> None:
        """Read what the store knows of versions that served before a snapshot."""
        until = now() + _HISTORY_TIMEOUT_S

        def watch(revision: int) -> list[StoreEntry] | None:
            if now() >= until:
                raise _StoreError("the history took too long")
            call = self._dialect.watch_entries(revision, 0.0)
            response = self._call(call, until - now())
            if response.era != position.era:
                raise _StoreError("the store came back from an older copy")
            if response.status == _GONE:
                return None
            return self._decode_page(response).entries

        try:
            past.read(entries, position.revision, watch, listed_at=listed_at)
        except (ConnectionLostError, _StoreError, ValueError) as error:
            # Streams of unknown origin are refused for longer without it.
            self._logger.warning("past_software_unknown", reason=str(error))

    def _read_page(self, after: str) -> StorePage:
        response = self._call(
            self._dialect.list_entries(after), self._freshness.response_timeout
        )
        return self._decode_page(response)

    def _decode_page(self, response: StoreResponse) -> StorePage:
        if response.status != _OK:
            raise _StoreError(f"the store responded with status {response.status}")
        if response.era < self._view.position.era:
            raise _StoreError(f"the response is from era {response.era}")
        return self._dialect.read_page(response.body, response.era)

    def _call(self, call: HttpCall, limit: float) -> StoreResponse:
        connection = self._connection
        self._connection = None
        if connection is None or not connection.is_usable():
            if connection is not None:
                connection.close()
            connection = Connection(self._settings.store.address)
            connection.on_endless = self.on_endless
        self.calls += 1
        head, body = connection.exchange(
            call,
            limit=limit,
            max_bytes=_MAX_PAGE_BYTES,
            body_limit=max(limit, _BODY_TIMEOUT_S),
        )
        if head.status in (_OK, _GONE) and connection.prepare_next():
            self._connection = connection
        else:
            connection.close()
        return StoreResponse(head.status, body, self._dialect.read_era(head.headers))

    def _record_loss(self, reason: str) -> None:
        self._is_silent |= reason == SILENT
        if self.is_lost:
            return
        self.is_lost = True
        self._lost_at = now()
        position = self._view.position._asdict()
        self._logger.warning("store_lost", reason=reason, **position)

    def _confirm(self, confirmed_at: float, *, is_new_era: bool = False) -> None:
        unconfirmed = self._view.age()
        self._view.confirm(confirmed_at)
        if not self.is_lost and not is_new_era:
            return
        self.is_lost = self._is_silent = False
        # A call that was cut, or refused while the store served peers, is no outage.
        # Entries that are removed then have not lapsed: their targets are gone.
        # A store that came back from an older copy was away, however briefly.
        was_away = is_new_era or unconfirmed >= self._settings.store.min_outage
        if was_away:
            self._view.store_regained_at = now()
            self.on_regained()
        self._logger.info(
            "store_regained",
            **self._view.position._asdict(),
            unconfirmed=round(unconfirmed, 3),
            was_away=was_away,
        )
