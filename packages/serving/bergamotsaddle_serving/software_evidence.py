"""Decides what the store proves about software versions that served in the past.

This module does no input or output.
"""

from collections.abc import Collection, Iterable, Sequence
from math import inf
from typing import NamedTuple

from bergamotsaddle_serving.catalog import Target

_MS = 0.001
# Clocks of targets and instances may differ by this much.
_CLOCK_SLACK_S = 3.0


class StoredTarget(NamedTuple):
    """The entry of a target as it was written or deleted.

    Attributes:
        key: Key of the entry.
        revision: Store revision of the change.
        created: Store revision at which the entry was created, 0 if unknown.
        target: What it says, None if it was deleted or can't be read.
    """

    key: str
    revision: int
    created: int
    target: Target | None


class StoreRecord(NamedTuple):
    """What the store tells of its past.

    Attributes:
        listed: All entries of targets.
        changes: Changes of targets' entries that the store still has, in order.
        since: Revision after which these are all changes; 0 if none is lacking.
        serving_from: Revision before which no instance can have served.
        explained: Revisions of which it is known what they wrote.
    """

    listed: Sequence[StoredTarget]
    changes: Sequence[StoredTarget]
    since: int
    serving_from: int
    explained: Collection[int]


class SoftwareEvidence(NamedTuple):
    """Versions of software that have served, and for how long all of them are known.

    Attributes:
        versions: Pairs of service and version.
        seconds: Time before the list was read for which these are all versions.
        doubt: Why that is not longer, empty if all of the past is known.
        steady: Listed targets that have not changed while any instance served.
        left: Targets that have left or changed since.
    """

    versions: frozenset[tuple[str, str]]
    seconds: float
    doubt: str
    steady: tuple[Target, ...] = ()
    left: tuple[Target, ...] = ()


def weigh_evidence(record: StoreRecord, *, unix_seconds: float) -> SoftwareEvidence:
    """Return which versions have served, by the store's list and its history.

    The store may discard its history at any time, so the age of a change that it still
    has is unknown. But each change has a revision. What the store has discarded is
    known if each revision that it lacks is that of an entry that is still listed.

    Args:
        record: What the store tells.
        unix_seconds: Time of day.
    """
    versions = frozenset(
        (known.target.service, known.target.software)
        for known in (*record.listed, *record.changes)
        if known.target is not None
    )
    if not _is_explained(record):
        return SoftwareEvidence(versions, 0.0, "the store lacks changes")
    seconds, doubt = inf, ""
    for change in _find_overwriting(record):
        if change.target is None or not change.target.started_ms:
            doubt = f"what {change.key} was before is not known"
            return SoftwareEvidence(versions, 0.0, doubt)
        # One process at a time has the id, and this one has had it since it started.
        age = unix_seconds - change.target.started_ms * _MS - _CLOCK_SLACK_S
        if age < seconds:
            seconds = max(0.0, age)
            doubt = f"what {change.key} was before its start is not known"
    steady, left = _split_by_change(record)
    return SoftwareEvidence(versions, seconds, doubt, steady, left)


def _is_explained(record: StoreRecord) -> bool:
    """Return whether no change is lacking from the time in which instances served."""
    lacking = range(record.serving_from + 1, record.since + 1)
    if len(lacking) > len(record.explained):
        return False
    explained = set(record.explained)
    return all(revision in explained for revision in lacking)


def _find_overwriting(record: StoreRecord) -> Iterable[StoredTarget]:
    """Return writes of entries that had another value before, which is unknown."""
    written: set[str] = set()
    for change in record.changes:
        is_first = change.key not in written
        written.add(change.key)
        is_new = change.created == change.revision
        if is_first and not is_new and change.revision > record.serving_from:
            yield change
    for known in record.listed:
        is_overwritten = known.created != known.revision > record.serving_from
        if is_overwritten and known.key not in written:
            yield known


def _split_by_change(
    record: StoreRecord,
) -> tuple[tuple[Target, ...], tuple[Target, ...]]:
    """Return listed targets that have not changed, and what others were before."""
    served_from = record.serving_from
    changed = {c.key for c in record.changes if c.revision > served_from}
    changed |= {k.key for k in record.listed if k.revision > served_from}
    steady = tuple(
        known.target
        for known in record.listed
        if known.key not in changed and known.target is not None
    )
    left = tuple(
        change.target
        for change in record.changes
        if change.key in changed and change.target is not None
    )
    return steady, left
