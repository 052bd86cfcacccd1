"""The local copy of what operators and targets published in the platform's store."""

from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Batching, Configuration, Target
from bergamotsaddle_serving.entry_table import Changes, EntryChange, EntryTable
from bergamotsaddle_serving.messages import (
    Dialect,
    Evacuation,
    StoreEntry,
    StorePosition,
)

# An entry may expire while the store accepts no writes, although its target is alive.
# It is back within two seconds of the store's return; a target whose entry is missing
# for longer is gone.
LAPSE_GRACE_S = 2.0
# Number of incarnations that are remembered as removed.
_MAX_GONE = 1_000
# How long operators may take to write again what an older copy of the store lacks.
REWRITE_GRACE_S = 10.0
# The store removes the entry of a target that has been silent for this long, unless the
# settings say how often targets write.
_DEFAULT_ENTRY_TTL_S = 4.0
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


class View:
    """The configuration, the targets and the evacuated zones in force.

    The latest version of each entry wins, whichever source it came from, so no entry
    reverts while this process runs, also if the store comes back from an older copy.

    Args:
        dialect: Decodes entries.
        logger: Logs each change.
        entry_ttl: Seconds after which the store removes the entry of a silent target.

    Attributes:
        configuration: The operators' configuration, None until it is known.
        batching_by_service: How targets of each stage service run pieces, by the newest
            configuration that says it. Requests go on with the stages that they began
            with, so a service that is left out is kept while it has targets.
        evacuated_zones: Zones whose targets get no requests.
        targets_by_service: Listed targets of each service.
        target_by_address: Listed target at each address.
        has_snapshot: Whether a snapshot of all entries has been applied.
        confirmed_at: When the store last confirmed that the view is up to date.
        on_confirm: Called after each confirmation.
        on_gap: Called before a snapshot that replaces an earlier one. What changed and
            changed back between the two is not known.
        store_regained_at: When the store last returned after an outage.
    """

    def __init__(
        self,
        dialect: Dialect,
        logger: Any,
        *,
        entry_ttl: float = _DEFAULT_ENTRY_TTL_S,
    ) -> None:
        self._dialect = dialect
        self._logger = logger
        self._entry_ttl = entry_ttl
        self._table = EntryTable(dialect)
        self._known_by_id: dict[str, KnownTarget] = {}
        self._leaving: set[tuple[str, int]] = set()
        # Incarnations whose entries were removed while the store was stable.
        self._gone: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._callbacks: list[Callable[[], None]] = []
        self.on_confirm: Callable[[], None] = lambda: None
        self.on_gap: Callable[[], None] = lambda: None
        self.configuration: Configuration | None = None
        self.batching_by_service: dict[str, Batching] = {}
        self.evacuated_zones: set[str] = set()
        self._cold_until_by_zone: dict[str, float] = {}
        self.targets_by_service: dict[str, list[KnownTarget]] = {}
        # Dropped with each change of the targets, of those that leave or of the zones
        # that are evacuated.
        self._usable_by_service: dict[str, list[KnownTarget]] = {}
        # Dropped with each change of the targets.
        self._software_versions: set[tuple[str, str]] | None = None
        # Of all entries that were applied since these were taken.
        self._applied: list[Target] = []
        self.target_by_address: dict[Address, Target] = {}
        self.has_snapshot = False
        self.confirmed_at = float("-inf")
        self.store_regained_at = float("-inf")

    @property
    def position(self) -> StorePosition:
        """Place in the store's history up to which the view is complete."""
        return self._table.position

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
        position: StorePosition,
        *,
        source: str,
        is_first: bool = False,
    ) -> bool:
        """Apply entries; each replaces an older version with the same key.

        Args:
            entries: Changed entries and deletions.
            position: Place in the store's history up to which the source is complete.
            source: Name of the source, for logs.
            is_first: Whether they are the first entries that this instance gets. They
                are not logged one by one.

        Returns:
            Whether the view changed.
        """
        is_changed = False
        try:
            for entry in entries:
                if self._table.add(entry) is EntryChange.VALUE:
                    is_changed = True
                    self._apply_entry(entry, source, is_first=is_first)
        except Exception:
            # What was applied is in force, and the rest is applied by the next read.
            self._rebuild()
            raise
        # Only a snapshot shows what the store of a new era lacks.
        if position.era == self.position.era or not self.has_snapshot:
            self._table.advance(position)
        if is_changed:
            self._rebuild()
        return is_changed

    def replace(
        self, entries: list[StoreEntry], position: StorePosition, *, source: str
    ) -> None:
        """Apply a snapshot of all entries; any older entry that it lacks is deleted.

        A snapshot from before the view's era is late and deletes nothing.

        Args:
            entries: All entries of the store.
            position: Place in the store's history of the snapshot.
            source: Name of the source, for logs.
        """
        if position.era < self.position.era:
            self.apply(entries, position, source=source)
            return
        if position.era > self.position.era and self.has_snapshot:
            self._log_era(position, source)
        if self.has_snapshot:
            self.on_gap()
        listed = {entry.key for entry in entries}
        self._table.start_snapshot(position)
        missing = self._table.list_missing(position, listed)
        # Set before the callbacks run, because they check whether the view is complete.
        is_first = not self.has_snapshot
        self.has_snapshot = True
        self.apply([*entries, *missing], position, source=source, is_first=is_first)
        self._table.mark_lapsing()
        self._drop_gone()
        self._logger.info(
            "listed", entries=len(entries), source=source, **position._asdict()
        )

    def _log_era(self, position: StorePosition, source: str) -> None:
        known = self.position
        self._logger.warning(
            "store_restored",
            known_era=known.era,
            known_revision=known.revision,
            source=source,
            **position._asdict(),
        )

    def changes_since(self, position: StorePosition) -> Changes:
        """Return what changed in the store after a place in its history."""
        return self._table.changes_since(position)

    def list_retained(self) -> list[StoreEntry]:
        """Return entries of earlier eras that are in force."""
        return self._table.list_retained()

    def digest_retained(self) -> int:
        """Return a digest of the retained entries, 0 if there are none."""
        return self._table.digest_retained()

    def usable(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that may get new work.

        It is the same list until they change, which callers must not modify.
        """
        usable = self._usable_by_service.get(service)
        if usable is None:
            usable = self._usable_by_service[service] = [
                known
                for known in self.targets_by_service.get(service, ())
                if not self._is_leaving(known.target)
                and known.target.zone not in self.evacuated_zones
            ]
        return usable

    def assigned(self, service: str) -> list[KnownTarget]:
        """Return the targets of a service that are to get work by the store's entries.

        Unlike the usable ones, they don't depend on what targets told this instance.
        """
        return [
            known
            for known in self.targets_by_service.get(service, ())
            if not known.target.is_draining
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
        self._usable_by_service.clear()
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

    def is_replaced(self, target: Target) -> bool:
        """Return whether the list has other software under the id of a target."""
        known = self._known_by_id.get(target.id)
        if known is None:
            return False
        listed = known.target
        return (listed.service, listed.software) != (target.service, target.software)

    def software_versions(self) -> set[tuple[str, str]]:
        """Return the pairs of service and software version of all listed targets."""
        if self._software_versions is None:
            targets = [known.target for known in self._known_by_id.values()]
            versions = {(target.service, target.software) for target in targets}
            self._software_versions = versions
        return self._software_versions

    def take_applied(self) -> list[Target]:
        """Return all targets whose entries were applied lately.

        An entry may have been applied and deleted since the last call.
        """
        applied, self._applied = self._applied, []
        return applied

    def is_cold(self, known: KnownTarget, *, at: float | None = None) -> bool:
        """Return whether a target is cold and takes only a few requests.

        Args:
            known: The target.
            at: Current time on the hub's clock, if the caller has it.
        """
        return (now() if at is None else at) < self.warm_at(known)

    def warm_at(self, known: KnownTarget) -> float:
        """Return until when a target is cold, on the hub's clock."""
        zone_cold_until = self._cold_until_by_zone.get(known.target.zone, 0.0)
        return max(known.cold_until, zone_cold_until)

    def drop_lapsed(self) -> None:
        """Drop what did not hold after the store's return.

        These are entries that lapsed and did not return in time, and deletions from
        earlier eras whose entries the store lists all the same: by now they would have
        been deleted again.
        """
        regained = now() - self.store_regained_at
        table = self._table
        due = [key for key in table.lapsing_keys if regained > self._lapse_grace(key)]
        for key in due:
            self._drop(table.remove(key))
        returned = [
            key
            for key in table.list_outdated_deletions()
            if regained > self._deletion_grace(key)
        ]
        for key in returned:
            self._apply_entry(table.restore(key), "store", is_first=False)
        if due or returned:
            self._rebuild()

    def _lapse_grace(self, key: str) -> float:
        """Return for how many seconds the store may lack an entry that is in force."""
        return LAPSE_GRACE_S if self._is_target(key) else REWRITE_GRACE_S

    def _deletion_grace(self, key: str) -> float:
        """Return for how many seconds the store may have an entry that was deleted.

        The store itself removes the entry of a target that is gone.
        """
        if self._is_target(key):
            return self._entry_ttl + LAPSE_GRACE_S
        return REWRITE_GRACE_S

    def _is_target(self, key: str) -> bool:
        return self._dialect.target_id(key) is not None

    def _drop(self, deletion: StoreEntry) -> None:
        decoded = self._dialect.decode(deletion)
        if isinstance(decoded, Evacuation):
            self._apply_evacuation(decoded, deletion)
        self._forget(deletion.key)

    def _apply_entry(self, entry: StoreEntry, source: str, *, is_first: bool) -> None:
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
                is_deleted=entry.value is None,
                source=source,
                **entry.position._asdict(),
            )
        if isinstance(decoded, Evacuation):
            self._apply_evacuation(decoded, entry)
        elif isinstance(decoded, Configuration):
            self._apply_configuration(decoded, source)
        elif isinstance(decoded, Target):
            if not self._is_store_settling():
                self._gone.pop(decoded.incarnation, None)
            cold_until = now() + decoded.cold_seconds
            self._known_by_id[decoded.id] = KnownTarget(decoded, cold_until)
            self._applied.append(decoded)
        elif entry.value is None:
            self._apply_deletion(entry.key)

    def _apply_evacuation(self, evacuation: Evacuation, entry: StoreEntry) -> None:
        self._usable_by_service.clear()
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
        self.batching_by_service = {
            service: batching
            for service, batching in self.batching_by_service.items()
            if service in self.targets_by_service
        } | decoded.batching_by_service()
        self._logger.info("configuration", version=decoded.version, source=source)

    def _apply_deletion(self, key: str) -> None:
        known = self._known_by_id.get(self._dialect.target_id(key) or "")
        if known is None:
            return
        incarnation = known.target.incarnation
        if self._is_store_settling() and incarnation not in self._gone:
            # Around an outage of the store an entry may expire although its target is
            # alive. Removing all such targets at once would leave callers without any.
            self._table.lapsing_keys.add(key)
            return
        self._gone[incarnation] = None
        if len(self._gone) > _MAX_GONE:
            self._gone.popitem(last=False)
        self._forget(key)

    def _is_store_settling(self) -> bool:
        """Return whether entries may be missing although their targets are alive."""
        return now() - self.store_regained_at <= LAPSE_GRACE_S

    def _drop_gone(self) -> None:
        """Drop targets that a copy of the store listed again, once it lacks them."""
        due = [key for key in self._table.lapsing_keys if self._is_gone(key)]
        for key in due:
            self._drop(self._table.remove(key))
        if due:
            self._rebuild()

    def _is_gone(self, key: str) -> bool:
        known = self._known_by_id.get(self._dialect.target_id(key) or "")
        return known is not None and known.target.incarnation in self._gone

    def _forget(self, key: str) -> None:
        target_id = self._dialect.target_id(key)
        if target_id is not None:
            self._known_by_id.pop(target_id, None)

    def _rebuild(self) -> None:
        self.targets_by_service = {}
        self._usable_by_service.clear()
        self._software_versions = None
        self.target_by_address = {}
        for known in self._known_by_id.values():
            by_service = self.targets_by_service
            by_service.setdefault(known.target.service, []).append(known)
            self.target_by_address[known.target.address] = known.target
        self._table.trim()
        for callback in self._callbacks:
            callback()
