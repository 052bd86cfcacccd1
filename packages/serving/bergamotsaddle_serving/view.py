"""What this instance knows of what operators and targets have published."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Configuration, Target
from bergamotsaddle_serving.messages import Dialect, Evacuation, StoreEntry

# An entry may lapse while the store can't be written to, though its target lives. It
# is back within two seconds of the store's return; one that is missing longer is gone.
LAPSE_GRACE_S = 2.0
# Deletions are remembered so that a peer that missed them learns of them.
_MAX_TOMBSTONES = 10_000
# A zone's targets may have turned cold while they got nothing.
_ZONE_BACK_COLD_S = 3.0


class KnownTarget(NamedTuple):
    """A target, and until when it is cold on the hub's clock."""

    target: Target
    cold_until: float


class Changes(NamedTuple):
    """What a view has got since a revision.

    Attributes:
        entries: Entries, deletions among them.
        is_whole: Whether these are all entries that exist, since deletions may be
            unknown; whatever is missing has been deleted.
    """

    entries: list[StoreEntry]
    is_snapshot: bool


class View:
    """The configuration, the targets and the evacuated zones in force.

    The newest revision of each entry wins, whichever source it came from; a lower one
    never replaces it, so nothing goes back within one life of this process.

    Args:
        dialect: Decodes entries.
        logger: Gets a line for each change.
    """

    def __init__(self, dialect: Dialect, logger: Any) -> None:
        self._dialect = dialect
        self._logger = logger
        self._entry_by_key: dict[str, StoreEntry] = {}
        self._lapsing_keys: set[str] = set()
        self._known_by_id: dict[str, KnownTarget] = {}
        self._watchers: list[Callable[[], None]] = []
        self.configuration: Configuration | None = None
        self.evacuated_zones: set[str] = set()
        self._back_cold_by_zone: dict[str, float] = {}
        self.targets_by_service: dict[str, list[KnownTarget]] = {}
        self.target_by_address: dict[Address, Target] = {}
        self.revision = 0
        self._history_from = 0
        self.has_snapshot = False
        self.confirmed_at = float("-inf")
        self.store_regained_at = float("-inf")

    def is_complete(self) -> bool:
        """Tell whether this instance knows enough to serve."""
        return self.configuration is not None and self.has_snapshot

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a function called after each change."""
        self._watchers.append(callback)

    def apply(
        self,
        entries: Iterable[StoreEntry],
        revision: int,
        *,
        source: str,
        is_first: bool = False,
    ) -> bool:
        """Take entries in; each replaces an older one of its key.

        Args:
            entries: Items and deletions.
            revision: Up to which the source knows everything.
            source: Where they came from, for logs.
            is_first: Whether they are the first that this instance gets, none of which
                is news.

        Returns:
            Whether anything changed.
        """
        changed = [entry for entry in entries if self._is_news(entry)]
        for entry in changed:
            self._take(entry, source, is_first=is_first)
        self.revision = max(self.revision, revision)
        if changed:
            self._rebuild()
        return bool(changed)

    def replace(self, entries: list[StoreEntry], revision: int, *, source: str) -> None:
        """Take a whole list in: what it lacks has been deleted since."""
        listed = {entry.key for entry in entries}
        missing = [
            StoreEntry(key, revision, None)
            for key, entry in self._entry_by_key.items()
            if entry.value is not None
            and key not in listed
            and entry.revision <= revision
        ]
        # Before the change is told: watchers ask whether the view is complete.
        is_first = not self.has_snapshot
        self.has_snapshot = True
        self._history_from = revision
        self.apply([*entries, *missing], revision, source=source, is_first=is_first)
        self._logger.info(
            "listed", entries=len(entries), revision=revision, source=source
        )

    def changes_since(self, revision: int) -> Changes:
        """What changed after a revision.

        Deletions from before the last whole list are unknown. Left out, they would
        leave targets that are gone in the view of whoever asks.
        """
        entries = self._entry_by_key.values()
        if revision < self._history_from:
            return Changes([e for e in entries if e.value is not None], True)
        return Changes([e for e in entries if e.revision > revision], False)

    def usable(self, service: str) -> list[KnownTarget]:
        """Targets of a service that may get new work."""
        return [
            known
            for known in self.targets_by_service.get(service, ())
            if not known.target.is_draining
            and known.target.zone not in self.evacuated_zones
        ]

    def may_get_work(self, target: Target) -> bool:
        """Tell whether a chosen target may still get new work, just before sending."""
        known = self._known_by_id.get(target.id)
        if known is None or known.target.incarnation != target.incarnation:
            return False
        return (
            known.target.address == target.address
            and not known.target.is_draining
            and target.zone not in self.evacuated_zones
        )

    def is_leaving(self, target: Target) -> bool:
        """Tell whether a target gave notice that it leaves."""
        known = self._known_by_id.get(target.id)
        return known is not None and known.target.is_draining

    def has_incarnation(self, target: Target) -> bool:
        """Tell whether a life of a target is listed."""
        known = self._known_by_id.get(target.id)
        return known is not None and known.target.incarnation == target.incarnation

    def software_versions(self) -> set[tuple[str, str]]:
        """Service and software version of each target that is listed."""
        targets = [known.target for known in self._known_by_id.values()]
        return {(target.service, target.software) for target in targets}

    def is_cold(self, known: KnownTarget) -> bool:
        """Tell whether a target bears only few requests."""
        moment = now()
        back_cold = self._back_cold_by_zone.get(known.target.zone, 0.0)
        return moment < known.cold_until or moment < back_cold

    def drop_lapsed(self) -> None:
        """Forget targets whose entries lapsed and did not come back in time."""
        due = now() - self.store_regained_at > LAPSE_GRACE_S
        if not due or not self._lapsing_keys:
            return
        for key in self._lapsing_keys:
            self._forget(key)
        self._lapsing_keys.clear()
        self._rebuild()

    def _is_news(self, entry: StoreEntry) -> bool:
        known = self._entry_by_key.get(entry.key)
        return known is None or entry.revision > known.revision

    def _take(self, entry: StoreEntry, source: str, *, is_first: bool) -> None:
        self._entry_by_key[entry.key] = entry
        self._lapsing_keys.discard(entry.key)
        try:
            decoded = self._dialect.decode(entry)
        except ValueError as error:
            # Others write there too; such an entry names no target to use.
            self._logger.warning(
                "entry_malformed", key=entry.key, reason=str(error), source=source
            )
            self._forget(entry.key)
            return
        if not is_first:
            self._logger.info(
                "entry",
                key=entry.key,
                revision=entry.revision,
                is_deleted=entry.value is None,
                source=source,
            )
        if isinstance(decoded, Evacuation):
            self._take_evacuation(decoded, entry)
        elif isinstance(decoded, Configuration):
            self._take_configuration(decoded, source)
        elif isinstance(decoded, Target):
            cold_until = now() + decoded.cold_seconds
            self._known_by_id[decoded.id] = KnownTarget(decoded, cold_until)
        elif entry.value is None:
            self._take_deletion(entry.key)

    def _take_evacuation(self, evacuation: Evacuation, entry: StoreEntry) -> None:
        if entry.value is not None:
            self.evacuated_zones.add(evacuation.zone)
            return
        self.evacuated_zones.discard(evacuation.zone)
        self._back_cold_by_zone[evacuation.zone] = now() + _ZONE_BACK_COLD_S

    def _take_configuration(self, decoded: Configuration, source: str) -> None:
        known = self.configuration
        if known is not None and decoded.version <= known.version:
            return
        self.configuration = decoded
        self._logger.info("configuration", version=decoded.version, source=source)

    def _take_deletion(self, key: str) -> None:
        if now() - self.store_regained_at <= LAPSE_GRACE_S:
            # Around the store's outage an entry may lapse though its target lives;
            # giving up all of them at once would leave callers without any.
            self._lapsing_keys.add(key)
            return
        self._forget(key)

    def _forget(self, key: str) -> None:
        target_id = self._dialect.target_id(key)
        if target_id is not None:
            self._known_by_id.pop(target_id, None)

    def _rebuild(self) -> None:
        self.targets_by_service = {}
        self.target_by_address = {}
        for known in self._known_by_id.values():
            by_service = self.targets_by_service
            by_service.setdefault(known.target.service, []).append(known)
            self.target_by_address[known.target.address] = known.target
        self._trim_tombstones()
        for callback in self._watchers:
            callback()

    def _trim_tombstones(self) -> None:
        dead = [e for e in self._entry_by_key.values() if e.value is None]
        dead.sort(key=lambda e: e.revision)
        for entry in dead[:-_MAX_TOMBSTONES]:
            del self._entry_by_key[entry.key]
            self._history_from = max(self._history_from, entry.revision)
