"""Reads from the store which software versions served before this instance started."""

import time
from collections.abc import Callable, Iterable
from typing import Any

from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.messages import Dialect, StoreEntry
from bergamotsaddle_serving.software_evidence import StoredTarget, weigh_evidence
from bergamotsaddle_serving.software_history import SoftwareHistory
from bergamotsaddle_serving.store_history import Watch, find_history


class PastSoftware:
    """Completes the history of versions by what the store still knows.

    Args:
        history: Versions that served lately.
        dialect: Decodes entries.
        logger: Gets a line with what was found.
        kept_seconds: How long the platform keeps changes, 0 if it does not say.
        unix_time: Returns the time of day, to which targets refer.
    """

    def __init__(
        self,
        history: SoftwareHistory,
        dialect: Dialect,
        logger: Any,
        *,
        kept_seconds: float,
        unix_time: Callable[[], float] = time.time,
    ) -> None:
        self._history = history
        self._dialect = dialect
        self._logger = logger
        self._kept_seconds = kept_seconds
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
        evidence = weigh_evidence(
            self._stored_targets(listed),
            self._stored_targets(found.changes),
            found.since,
            kept_seconds=self._kept_seconds,
            unix_seconds=unix_seconds,
        )
        self._history.learn_from_store(evidence, listed_at)
        self._logger.info(
            "past_software",
            revision=revision,
            since=found.since,
            changes=len(found.changes),
            seconds=evidence.seconds,
            doubt=evidence.doubt,
        )

    def _stored_targets(self, entries: Iterable[StoreEntry]) -> list[StoredTarget]:
        return [
            StoredTarget(
                entry.key,
                entry.revision,
                is_new=entry.created == entry.revision,
                target=self._read_target(entry),
            )
            for entry in entries
            if self._dialect.target_id(entry.key) is not None
        ]

    def _read_target(self, entry: StoreEntry) -> Target | None:
        try:
            decoded = self._dialect.decode(entry)
        except ValueError:
            # The view logs malformed entries.
            return None
        return decoded if isinstance(decoded, Target) else None
