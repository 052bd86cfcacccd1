"""The latest known version of each entry of the store, across its eras."""

import zlib
from enum import Enum, auto
from hashlib import blake2b
from typing import NamedTuple

from bergamotsaddle_serving.catalog import Configuration
from bergamotsaddle_serving.entry_order import EntryVersion, is_outdated
from bergamotsaddle_serving.messages import (
    NO_POSITION,
    Decoded,
    Dialect,
    StoreEntry,
    StorePosition,
)

# Deletions are remembered so that they can be sent to peers that missed them.
_MAX_TOMBSTONES = 10_000
# Other writers may delete any number of long entries.
_MAX_DELETED_BYTES = 4_000_000
# A value longer than this is replaced by a digest if it says nothing here.
_MAX_UNREADABLE_BYTES = 16_384
# Enough for the changes of an entry in the seconds by which a copy is older.
_MAX_EARLIER_REVISIONS = 8
_DIGEST_BYTES = 16


class EntryChange(Enum):
    """What an entry changes."""

    NOTHING = auto()
    """It is older than the known version."""
    POSITION = auto()
    """The store of a new era has the known value."""
    VALUE = auto()
    """It replaces the known version."""


class Changes(NamedTuple):
    """What changed in the store after a place in its history.

    Attributes:
        entries: The changed entries, including deletions.
        is_snapshot: Whether the entries are a snapshot of all existing ones, because
            older deletions are unknown. Every other entry has been deleted.
    """

    entries: list[StoreEntry]
    is_snapshot: bool


class EntryTable:
    """The latest known version of each entry, whichever source it came from.

    Versions are ordered by era and revision, so none reverts. After the store has come
    back from an older copy, a known version of an earlier era stays if the store's own
    is outdated or missing. It is then retained until it is written again.

    Args:
        dialect: Decodes entries.

    Attributes:
        position: Place in the store's history up to which the table is complete.
        lapsing_keys: Keys of entries that the store has removed or lost although they
            may still hold.
    """

    def __init__(self, dialect: Dialect) -> None:
        self._dialect = dialect
        self._entry_by_key: dict[str, StoreEntry] = {}
        # Entries of the store that are older than the retained ones.
        self._outdated_by_key: dict[str, StoreEntry] = {}
        self._retained_keys: set[str] = set()
        self._history_start = NO_POSITION
        # Where the earlier eras ended here, and where the current one began.
        self._earlier_end = NO_POSITION
        self._era_start = NO_POSITION
        self.position = NO_POSITION
        self.lapsing_keys: set[str] = set()

    def add(self, entry: StoreEntry) -> EntryChange:
        """Add a version of an entry.

        Args:
            entry: The entry, or its deletion.

        Returns:
            What it changes.
        """
        entry = self._shorten(entry)
        known = self._entry_by_key.get(entry.key)
        if not self._is_newer(entry, known):
            if known is not None and entry.era > known.era:
                self._record_outdated(entry)
            return EntryChange.NOTHING
        if known is not None and entry.era < known.era:
            self._record_outdated(known)
        self._record(entry, known)
        has_known_value = known is not None and known.value == entry.value
        if has_known_value and entry.value is not None and known.era < entry.era:
            return EntryChange.POSITION
        return EntryChange.VALUE

    def advance(self, position: StorePosition) -> None:
        """Record that the table is complete up to a place in the store's history."""
        self.position = max(self.position, position)

    def start_snapshot(self, position: StorePosition) -> None:
        """Prepare for a snapshot, whose entries are to be added next.

        Args:
            position: Place in the store's history of the snapshot.
        """
        if position.era > self.position.era:
            self._start_era(position)
        self.advance(position)
        self._history_start = position

    def _start_era(self, position: StorePosition) -> None:
        """Retain all entries until the store of the new era has them."""
        self._earlier_end = self.position
        self._era_start = position
        self._outdated_by_key.clear()
        self._retained_keys = {
            entry.key
            for entry in self._entry_by_key.values()
            if entry.value is not None and entry.era < position.era
        }

    def list_missing(
        self, position: StorePosition, listed: set[str]
    ) -> list[StoreEntry]:
        """Return deletions of the entries that a snapshot lacks.

        Entries of earlier eras lapse instead.

        Args:
            position: Place in the store's history of the snapshot.
            listed: Keys of its entries.
        """
        return [
            StoreEntry(entry.key, position.revision, None, position.era)
            for entry in self._entry_by_key.values()
            if entry.value is not None
            and entry.key not in listed
            and entry.era == position.era
            and entry.revision <= position.revision
        ]

    def mark_lapsing(self) -> None:
        """Mark the retained entries that the store of this era lacks as lapsing."""
        for key in self._retained_keys - self._outdated_by_key.keys():
            entry = self._entry_by_key[key]
            if entry.value is not None and self._may_lapse(entry):
                self.lapsing_keys.add(key)

    def remove(self, key: str) -> StoreEntry:
        """Delete an entry that has lapsed and return the deletion."""
        deletion = StoreEntry(key, self.position.revision, None, self.position.era)
        known = self._entry_by_key.get(key)
        if known is not None and known.value is not None:
            self._record(deletion, known)
        self.lapsing_keys.discard(key)
        return deletion

    def list_outdated_deletions(self) -> list[str]:
        """Return keys of deleted entries that the store of this era still lists."""
        return [
            key
            for key in self._outdated_by_key
            if self._entry_by_key[key].value is None
        ]

    def restore(self, key: str) -> StoreEntry:
        """Put an entry that had been deleted in force as the store has it."""
        entry = self._outdated_by_key[key]
        self._record(entry, self._entry_by_key[key])
        return entry

    def changes_since(self, position: StorePosition) -> Changes:
        """Return what changed in the store after a place in its history.

        Deletions from before the last snapshot are unknown. A peer that did not get
        them would keep deleted targets, so it gets a snapshot instead. Retained entries
        are not in the store and so not among its changes.
        """
        if position >= self.position:
            return Changes([], False)
        era = self.position.era
        known = [entry for entry in self._entry_by_key.values() if entry.era == era]
        entries = [*known, *self._outdated_by_key.values()]
        if position < self._history_start:
            return Changes([e for e in entries if e.value is not None], True)
        return Changes([e for e in entries if e.position > position], False)

    def list_retained(self) -> list[StoreEntry]:
        """Return entries of earlier eras that are in force.

        The store of this era lacks them or has an older version, so an instance that
        did not know them gets them from peers only.
        """
        return [self._entry_by_key[key] for key in sorted(self._retained_keys)]

    def digest_retained(self) -> int:
        """Return a digest of the retained entries, 0 if there are none."""
        digest = 0
        for entry in self.list_retained():
            identity = f"{entry.key} {entry.era} {entry.revision}"
            digest = zlib.crc32(identity.encode(), digest)
        return digest

    def trim(self) -> None:
        """Forget the oldest deletions if there are too many, or what they deleted."""
        deletions = [e for e in self._entry_by_key.values() if e.value is None]
        deletions.sort(key=lambda e: e.position)
        for entry in deletions[:-_MAX_TOMBSTONES]:
            del self._entry_by_key[entry.key]
            self._retained_keys.discard(entry.key)
            self._outdated_by_key.pop(entry.key, None)
            self._history_start = max(self._history_start, entry.position)
        size = 0
        for entry in reversed(deletions[-_MAX_TOMBSTONES:]):
            size += len(entry.deleted_value or b"")
            if size > _MAX_DELETED_BYTES and entry.deleted_value:
                self._entry_by_key[entry.key] = entry._replace(deleted_value=None)

    def _shorten(self, entry: StoreEntry) -> StoreEntry:
        """Return an entry without a long value that can't be read.

        Another writer may have written it. A digest tells it from other values.
        """
        value = entry.value if entry.value is not None else entry.deleted_value
        if value is None or len(value) <= _MAX_UNREADABLE_BYTES:
            return entry
        if self._decode(entry) is not None:
            return entry
        digest = blake2b(value, digest_size=_DIGEST_BYTES).digest()
        if entry.value is not None:
            return entry._replace(value=digest)
        return entry._replace(deleted_value=digest)

    def _is_newer(self, entry: StoreEntry, known: StoreEntry | None) -> bool:
        if known is None:
            return entry.era >= self.position.era or self._may_be_lost(entry)
        if entry.era == known.era:
            return entry.revision > known.revision
        if entry.era > known.era:
            return not self._is_outdated(entry, known)
        return self._is_outdated(known, entry)

    def _may_be_lost(self, entry: StoreEntry) -> bool:
        """Return whether an unknown entry of an earlier era may still hold.

        One from before the end of the earlier eras here had been deleted by then.
        """
        return entry.value is not None and entry.position > self._earlier_end

    def _is_outdated(self, later: StoreEntry, earlier: StoreEntry) -> bool:
        if later.value == earlier.value:
            return False
        if earlier.value is None and self._is_written_again(later):
            return False
        return is_outdated(
            EntryVersion(later, self._decode(later)),
            EntryVersion(earlier, self._decode(earlier)),
        )

    def _is_written_again(self, entry: StoreEntry) -> bool:
        """Return whether an entry that was deleted before is surely not of the copy."""
        is_after_return = entry.position > self._era_start
        return is_after_return or entry.key in self.lapsing_keys

    def _record(self, entry: StoreEntry, known: StoreEntry | None) -> None:
        key = entry.key
        if known is not None:
            entry = _add_history(entry, known)
        self._entry_by_key[key] = entry
        self.lapsing_keys.discard(key)
        if entry.era >= self.position.era:
            self._retained_keys.discard(key)
            self._outdated_by_key.pop(key, None)
            return
        self._retained_keys.add(key)
        if key not in self._outdated_by_key and self._may_lapse(entry):
            self.lapsing_keys.add(key)

    def _record_outdated(self, entry: StoreEntry) -> None:
        """Record an entry of the store that is older than a known version."""
        key = entry.key
        recorded = self._outdated_by_key.get(key)
        if recorded is None or recorded.position < entry.position:
            self._outdated_by_key[key] = entry
        self._retained_keys.add(key)
        self.lapsing_keys.discard(key)

    def _may_lapse(self, entry: StoreEntry) -> bool:
        """Return whether an entry that the store lacks may end without a deletion.

        Versions of the configuration rise, so a known one holds until the next.
        """
        return not isinstance(self._decode(entry), Configuration)

    def _decode(self, entry: StoreEntry) -> Decoded | None:
        """Decode an entry, or what it was before its deletion.

        A malformed one says nothing.
        """
        if entry.value is None:
            entry = entry._replace(value=entry.deleted_value)
        try:
            return self._dialect.decode(entry)
        except ValueError:
            # The view logs it when it applies the entry.
            return None


def _add_history(entry: StoreEntry, replaced: StoreEntry) -> StoreEntry:
    """Return an entry with what is known of the versions before it."""
    if entry.value is None and entry.deleted_value is None:
        deleted = replaced.value or replaced.deleted_value
        entry = entry._replace(deleted_value=deleted)
    earlier = {*replaced.earlier_revisions, *entry.earlier_revisions}
    if replaced.value is not None:
        earlier.add(replaced.revision)
    kept = sorted(earlier - {entry.revision})[-_MAX_EARLIER_REVISIONS:]
    return entry._replace(earlier_revisions=tuple(kept))
