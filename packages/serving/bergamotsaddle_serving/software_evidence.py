"""Decides what the store proves about software versions that served in the past.

This module does no input or output.
"""

from collections.abc import Iterable, Sequence
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
        is_new: Whether the change created the entry.
        target: What it says, None if it was deleted or can't be read.
    """

    key: str
    revision: int
    is_new: bool
    target: Target | None


class SoftwareEvidence(NamedTuple):
    """Versions of software that have served, and for how long all of them are known.

    Attributes:
        versions: Pairs of service and version.
        seconds: Time before the list was read for which these are all versions.
        doubt: Why that is not longer, empty if all of the past is known.
    """

    versions: frozenset[tuple[str, str]]
    seconds: float
    doubt: str


def weigh_evidence(
    listed: Sequence[StoredTarget],
    changes: Sequence[StoredTarget],
    since: int,
    *,
    kept_seconds: float,
    unix_seconds: float,
) -> SoftwareEvidence:
    """Return which versions have served, by the store's list and its history.

    Args:
        listed: All entries of targets.
        changes: Changes of targets' entries that the store still has, in order.
        since: Store revision after which these are all changes; 0 if none is lacking.
        kept_seconds: How long the platform keeps changes, 0 if it does not say.
        unix_seconds: Time of day.
    """
    versions = frozenset(
        (known.target.service, known.target.software)
        for known in (*listed, *changes)
        if known.target is not None
    )
    if since == 0:
        seconds, doubt = inf, ""
    elif not kept_seconds:
        seconds, doubt = 0.0, "the platform does not say how long changes are kept"
    else:
        seconds, doubt = kept_seconds, "earlier changes are not kept"
        if _is_cut_short(listed, since, unix_seconds - kept_seconds):
            seconds, doubt = 0.0, "the store discarded changes early"
    hidden = _find_hidden(changes, unix_seconds - seconds - _CLOCK_SLACK_S)
    if hidden is not None:
        seconds, doubt = 0.0, f"what {hidden.key} was before is not known"
    return SoftwareEvidence(versions, seconds, doubt)


def _is_cut_short(listed: Iterable[StoredTarget], since: int, kept_from: float) -> bool:
    """Return whether the history lacks a change that is too young to be lacking."""
    return any(
        known.revision <= since
        and known.target is not None
        and known.target.started_ms * _MS > kept_from
        for known in listed
    )


def _find_hidden(
    changes: Iterable[StoredTarget], looked_at_from: float
) -> StoredTarget | None:
    """Return a change that replaced a target of unknown software, None if none did.

    An entry that is overwritten had the same software before if its target has not
    started since.
    """
    seen: set[str] = set()
    for change in changes:
        is_first = change.key not in seen
        seen.add(change.key)
        if not is_first or change.is_new:
            continue
        target = change.target
        if target is None or target.started_ms * _MS > looked_at_from:
            return change
    return None
