"""Chooses the software version at which a stream begins.

This module does no input or output.
"""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from bergamotsaddle_daemon._rendezvous import rendezvous_weight

# With this many targets of a version, a stream whose target leaves can go on.
MIN_TARGETS = 2


class VersionedTarget(NamedTuple):
    """A target with the version of its software.

    Attributes:
        id: Id of the target.
        software: Its version.
    """

    id: str
    software: str


def choose_version(targets: Collection[VersionedTarget], key: str) -> str | None:
    """Return the version at which the streams of a key begin.

    It depends on nothing but the list and the key, so instances agree on it without
    communication, and it is known again after all of them were lost. Versions share the
    keys by the number of their targets. One with a single target gets none: a stream
    can only go on at the version that began it, so it would end with that target.

    Args:
        targets: All listed targets of a service.
        key: What the stream and each attempt to take it up have in common.

    Returns:
        The version, None if each version has a single target.
    """
    count_by_software = Counter(target.software for target in targets)
    replicated = {v for v, count in count_by_software.items() if count >= MIN_TARGETS}
    if len(replicated) <= 1:
        return next(iter(replicated), None)
    among = (target for target in targets if target.software in replicated)
    return max(among, key=lambda t: rendezvous_weight(t.id, key)).software


def find_version(
    steady: Collection[VersionedTarget],
    others: Collection[VersionedTarget],
    key: str,
) -> str | None:
    """Return the version that began a stream, whichever list was in force then.

    A version that may have had a single target may have begun any stream: it gets those
    that the others can't serve in time.

    Args:
        steady: Targets that were listed all the while.
        others: Targets that may have been listed for a part of the time.
        key: Key of the stream, see ``choose_version``.

    Returns:
        The version, None if it depends on the list.
    """
    count_by_software = Counter(target.software for target in steady)
    if any(count_by_software[t.software] < MIN_TARGETS for t in (*steady, *others)):
        return None
    versions: set[str] = set()
    for target in _rank((*steady, *others), key):
        versions.add(target.software)
        if target in steady:
            break
    return versions.pop() if len(versions) == 1 else None


def _rank(targets: Iterable[VersionedTarget], key: str) -> list[VersionedTarget]:
    return sorted(targets, key=lambda t: rendezvous_weight(t.id, key), reverse=True)
