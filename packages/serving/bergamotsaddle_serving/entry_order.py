"""Decides whether a version of a store entry is older than one from an earlier era.

This module does no input or output.
"""

from typing import NamedTuple

from bergamotsaddle_serving.catalog import Configuration, Target
from bergamotsaddle_serving.messages import Decoded, StoreEntry


class EntryVersion(NamedTuple):
    """A version of an entry and its decoded value.

    Attributes:
        entry: The entry.
        decoded: What its value says, or said before its deletion; None if unknown.
    """

    entry: StoreEntry
    decoded: Decoded | None


def is_outdated(later: EntryVersion, earlier: EntryVersion) -> bool:
    """Return whether a version of a later era is older than one of an earlier era.

    Within an era the higher revision is newer. When the store comes back from an older
    copy, its era rises and revisions are given out again. An entry of the new era may
    therefore be one that was written before a known one, or a new one with a lower
    revision. What entries say distinguishes the two where revisions can't: versions of
    a configuration rise, and a target that has announced that it leaves does not return
    in the same incarnation. An entry that had been deleted is taken for one of the copy
    if it has a revision that it had before, or one from before it was known.

    Args:
        later: The version of the later era.
        earlier: The version of the earlier era, with the same key.
    """
    if isinstance(earlier.decoded, Configuration):
        return _is_older_configuration(later.decoded, earlier.decoded)
    if later.entry.value is None:
        return False
    if earlier.entry.value is None:
        is_restarted = _is_newer_incarnation(later.decoded, earlier.decoded)
        return not is_restarted and _may_be_copied(later.entry, earlier.entry)
    if isinstance(later.decoded, Target) and isinstance(earlier.decoded, Target):
        return _is_older_target(later.decoded, earlier.decoded)
    return False


def _is_older_configuration(later: Decoded | None, earlier: Configuration) -> bool:
    return not isinstance(later, Configuration) or later.version < earlier.version


def _may_be_copied(entry: StoreEntry, deletion: StoreEntry) -> bool:
    """Return whether an entry may be a version from before a deletion."""
    known = deletion.earlier_revisions
    if known and entry.revision > known[0]:
        return entry.revision in known
    return entry.revision <= deletion.revision


def _is_newer_incarnation(later: Decoded | None, earlier: Decoded | None) -> bool:
    if not isinstance(later, Target) or not isinstance(earlier, Target):
        return False
    return later.started_ms > earlier.started_ms


def _is_older_target(later: Target, earlier: Target) -> bool:
    if later.started_ms != earlier.started_ms:
        return later.started_ms < earlier.started_ms
    return earlier.is_draining and not later.is_draining
