"""The local copy of what operators and targets published in the platform's store."""

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Configuration, Target
from bergamotsaddle_serving.messages import Dialect, Evacuation, StoreEntry

# An entry may expire while the store accepts no writes, although its target is alive.
# It is back within two seconds of the store's return; a target whose entry is missing
# for longer is gone.
LAPSE_GRACE_S = 2.0
# Deletions are remembered so that they can be sent to peers that missed them.
_MAX_TOMBSTONES = 10_000
# The targets of a zone may have turned cold while it was evacuated.
_RETURNED_ZONE_COLD_S = 3.0


class KnownTarget(NamedTuple):
    """A listed target.

    Attributes:
        target: The target.
        cold_until: Time on the hub's clock until which the target is cold.
    """

    target: Target
    cold_until: float


class Changes(NamedTuple):
    """What changed in a view after a revision.

    Attributes:
        entries: The changed entries, including deletions.
        is_snapshot: Whether the entries are a snapshot of all existing ones, because
            older deletions are unknown. Every other entry has been deleted.
    """

    entries: list[StoreEntry]
    is_snapshot: bool


class View:
    """The configuration, the targets and the evacuated zones in force.

    The newest revision of each entry wins, whichever source it came from. A lower one
    never replaces it, so no entry reverts while this process runs.

    Args:
        dialect: Decodes entries.
        logger: Logs each change.

    Attributes:
        configuration: The operators' configuration, None until it is known.
        evacuated_zones: Zones whose targets get no requests.
        targets_by_service: Listed targets of each service.
        target_by_address: Listed target at each address.
        revision: Store revision up to which the view is complete.
        has_snapshot: Whether a snapshot of all entries has been applied.
        confirmed_at: When the store last confirmed that the view is up to date.
        on_confirm: Called after each confirmation.
        store_regained_at: When the store last returned after an outage.
    """

    def __init__(self, dialect: Dialect, logger: Any) -> None:
        self._dialect = dialect
        self._logger = logger
        self._entry_by_key: dict[str, StoreEntry] = {}
        self._lapsing_keys: set[str] = set()
        self._known_by_id: dict[str, KnownTarget] = {}
        self._leaving: set[tuple[str, int]] = set()
        self._callbacks: list[Callable[[], None]] = []
        self.on_confirm: Callable[[], None] = lambda: None
        self.configuration: Configuration | None = None
        self.evacuated_zones: set[str] = set()
        self._cold_until_by_zone: dict[str, float] = {}
        self.targets_by_service: dict[str, list[KnownTarget]] = {}
        self.target_by_address: dict[Address, Target] = {}
        self.revision = 0
        self._history_start = 0
        self.has_snapshot = False
        self.confirmed_at = float("-inf")
        self.store_regained_at = float("-inf")

    def is_complete(self) -> bool:
        """Return whether the view has all that this instance needs to serve."""
        return self.configuration is not None and self.has_snapshot

    def age(self) -> float:
        """Return the seconds since the store confirmed the view, at a peer or here."""
        return now() - self.confirmed_at

    def confirm(self, confirmed_at: float) -> None:
        """Record that the view contains all changes from before a time."""
        if confirmed_at <= self.confirmed_at:
            return
        self.confirmed_at = confirmed_at
        self.on_confirm()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a function to be called after each change."""
        self._callbacks.append(callback)

    def apply(
        self,
        entries: Iterable[StoreEntry],
        revision: int,
        *,
        source: str,
        is_first: bool = False,
    ) -> bool:
        """Apply entries; each replaces an older one with the same key.

        Args:
            entries: Changed entries and deletions.
            revision: Revision up to which the source is complete.
            source: Name of the source, for logs.
            is_first: Whether they are the first entries that this instance gets. They
                are not logged one by one.

        Returns:
            Whether the view changed.
        """
        changed = [entry for entry in entries if self._is_newer(entry)]
        for entry in changed:
            self._apply_entry(entry, source, is_first=is_first)
        self.revision = max(self.revision, revision)
        if changed:
            self._rebuild()
        return bool(changed)

    def replace(self, entries: list[StoreEntry], revision: int, *, source: str) -> None:
        """Apply a snapshot of all entries; any older entry that it lacks is deleted."""
        listed = {entry.key for entry in entries}
        missing = [
            StoreEntry(key, revision, None)
            for key, entry in self._entry_by_key.items()
            if entry.value is not None
            and key not in listed
            and entry.revision <= revision
        ]
        # Set before the callbacks run, because they check whether the view is complete.
        is_first = not self.has_snapshot
        self.has_snapshot = True
        self._history_start = revision
        self.apply([*entries, *missing], revision, source=source, is_first=is_first)
        self._logger.info(
            "listed", entries=len(entries), revision=revision, source=source
        )

    def changes_since(self, revision: int) -> Changes:
        """Return what changed after a revision.

        Deletions from before the last snapshot are unknown. A peer that did not get
        them would keep deleted targets, so it gets a snapshot instead.
        """
        entries = self._entry_by_key.values()
        if revision < self._history_start:
            return Changes([e for e in entries if e.value is not None], True)
        return Changes([e for e in entries if e.revision > revision], False)

    def usable(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that may get new work."""
        return [
            known
            for known in self.targets_by_service.get(service, ())
            if not self._is_leaving(known.target)
            and known.target.zone not in self.evacuated_zones
        ]

    def mark_leaving(self, incarnation: tuple[str, int], *, is_leaving: bool) -> None:
        """Set whether an incarnation of a target has said that it leaves.

        Its entry may say so later, or not at all.
        """
        if is_leaving == (incarnation in self._leaving):
            return
        if is_leaving:
            self._leaving.add(incarnation)
        else:
            self._leaving.discard(incarnation)
        for callback in self._callbacks:
            callback()

    def _is_leaving(self, target: Target) -> bool:
        return target.is_draining or target.incarnation in self._leaving

    def may_get_work(self, target: Target) -> bool:
        """Return whether a chosen target may still get new work, just before sending.

        It may not if it is draining or evacuated, or if the list has another
        incarnation or address of it by now.
        """
        known = self._known_by_id.get(target.id)
        if known is None or known.target.incarnation != target.incarnation:
            return False
        return (
            known.target.address == target.address
            and not self._is_leaving(known.target)
            and target.zone not in self.evacuated_zones
        )

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target has announced that it is leaving."""
        known = self._known_by_id.get(target.id)
        return known is not None and self._is_leaving(known.target)

    def has_incarnation(self, target: Target) -> bool:
        """Return whether this incarnation of a target is listed."""
        known = self._known_by_id.get(target.id)
        return known is not None and known.target.incarnation == target.incarnation

    def software_versions(self) -> set[tuple[str, str]]:
        """Return the pairs of service and software version of all listed targets."""
        targets = [known.target for known in self._known_by_id.values()]
        return {(target.service, target.software) for target in targets}

    def is_cold(self, known: KnownTarget) -> bool:
        """Return whether a target is cold and takes only a few requests."""
        at = now()
        zone_cold_until = self._cold_until_by_zone.get(known.target.zone, 0.0)
        return at < known.cold_until or at < zone_cold_until

    def drop_lapsed(self) -> None:
        """Remove targets whose entries lapsed and did not return in time."""
        is_due = now() - self.store_regained_at > LAPSE_GRACE_S
        if not is_due or not self._lapsing_keys:
            return
        for key in self._lapsing_keys:
            self._forget(key)
        self._lapsing_keys.clear()
        self._rebuild()

    def _is_newer(self, entry: StoreEntry) -> bool:
        known = self._entry_by_key.get(entry.key)
        return known is None or entry.revision > known.revision

    def _apply_entry(self, entry: StoreEntry, source: str, *, is_first: bool) -> None:
        self._entry_by_key[entry.key] = entry
        self._lapsing_keys.discard(entry.key)
        try:
            decoded = self._dialect.decode(entry)
        except ValueError as error:
            # The store has other writers too; a malformed entry names no usable target.
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
            self._apply_evacuation(decoded, entry)
        elif isinstance(decoded, Configuration):
            self._apply_configuration(decoded, source)
        elif isinstance(decoded, Target):
            cold_until = now() + decoded.cold_seconds
            self._known_by_id[decoded.id] = KnownTarget(decoded, cold_until)
        elif entry.value is None:
            self._apply_deletion(entry.key)

    def _apply_evacuation(self, evacuation: Evacuation, entry: StoreEntry) -> None:
        if entry.value is not None:
            self.evacuated_zones.add(evacuation.zone)
            return
        self.evacuated_zones.discard(evacuation.zone)
        self._cold_until_by_zone[evacuation.zone] = now() + _RETURNED_ZONE_COLD_S

    def _apply_configuration(self, decoded: Configuration, source: str) -> None:
        known = self.configuration
        if known is not None and decoded.version <= known.version:
            return
        self.configuration = decoded
        self._logger.info("configuration", version=decoded.version, source=source)

    def _apply_deletion(self, key: str) -> None:
        if now() - self.store_regained_at <= LAPSE_GRACE_S:
            # Around an outage of the store an entry may expire although its target is
            # alive. Removing all such targets at once would leave callers without any.
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
        for callback in self._callbacks:
            callback()

    def _trim_tombstones(self) -> None:
        deletions = [e for e in self._entry_by_key.values() if e.value is None]
        deletions.sort(key=lambda e: e.revision)
        for entry in deletions[:-_MAX_TOMBSTONES]:
            del self._entry_by_key[entry.key]
            self._history_start = max(self._history_start, entry.revision)
