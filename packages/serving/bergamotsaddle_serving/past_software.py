"""Reads from the store which software versions served before this instance started."""

import time
from collections.abc import Callable, Iterable, Iterator
from typing import Any

from bergamotsaddle_serving.catalog import Configuration, Target
from bergamotsaddle_serving.messages import Decoded, Dialect, Evacuation, StoreEntry
from bergamotsaddle_serving.software_evidence import (
    StoredTarget,
    StoreRecord,
    weigh_evidence,
)
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.store_history import StoreHistory, Watch, find_history


class PastSoftware:
    """Completes the history of versions by what the store still knows.

    Args:
        history: Versions that served lately.
        dialect: Decodes entries.
        logger: Gets a line with what was found.
        unix_time: Returns the time of day, to which targets refer.
    """

    def __init__(
        self,
        history: SoftwareHistory,
        dialect: Dialect,
        logger: Any,
        *,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._history = history
        self._dialect = dialect
        self._logger = logger
        self._unix_time = unix_time

    def read(
        self, listed: list[StoreEntry], revision: int, watch: Watch, *, listed_at: float
    ) -> None:
        """Read the store's history behind a list of all entries.

        Args:
            listed: The entries.
            revision: Store revision of the list.
            watch: Asks the store.
            listed_at: When the list was requested, on the hub's clock.
        """
        if self._history.is_complete():
            return
        unix_seconds = self._unix_time()
        found = find_history(watch, revision)
        record = self._make_record(listed, found)
        evidence = weigh_evidence(record, unix_seconds=unix_seconds)
        moved = set(self._evacuated_zones([*listed, *found.changes]))
        steady = tuple(t for t in evidence.steady if t.zone not in moved)
        self._history.learn_from_store(evidence._replace(steady=steady), listed_at)
        self._logger.info(
            "past_software",
            revision=revision,
            since=found.since,
            changes=len(found.changes),
            serving_from=record.serving_from,
            seconds=evidence.seconds,
            steady=len(steady),
            doubt=evidence.doubt,
        )

    def _make_record(
        self, listed: list[StoreEntry], found: StoreHistory
    ) -> StoreRecord:
        explained = {entry.revision for entry in listed}
        explained |= {entry.created for entry in (*listed, *found.changes)}
        return StoreRecord(
            self._stored_targets(listed),
            self._stored_targets(found.changes),
            found.since,
            self._serving_from(listed),
            explained,
        )

    def _serving_from(self, listed: Iterable[StoreEntry]) -> int:
        """Return the revision that brought the configuration, 0 if that is unknown.

        No instance serves without one, nor with a list from before it.
        """
        return next(
            (e.created for e in listed if isinstance(self._read(e), Configuration)), 0
        )

    def _evacuated_zones(self, entries: Iterable[StoreEntry]) -> Iterator[str]:
        for entry in entries:
            decoded = self._read(entry)
            if isinstance(decoded, Evacuation):
                yield decoded.zone

    def _stored_targets(self, entries: Iterable[StoreEntry]) -> list[StoredTarget]:
        return [
            StoredTarget(
                entry.key,
                entry.revision,
                entry.created,
                target if isinstance(target := self._read(entry), Target) else None,
            )
            for entry in entries
            if self._dialect.target_id(entry.key) is not None
        ]

    def _read(self, entry: StoreEntry) -> Decoded | None:
        try:
            return self._dialect.decode(entry)
        except ValueError:
            # The view logs malformed entries.
            return None
