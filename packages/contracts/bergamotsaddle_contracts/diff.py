"""Lists the differences between two declarations."""

from typing import NamedTuple

from bergamotsaddle_contracts.declaration import Declaration

ADDED = "added"
REMOVED = "removed"
_PARTS = ("zones", "teams", "targets", "models", "pipelines")


class Change(NamedTuple):
    """One difference between two declarations.

    Attributes:
        part: Kind of the entry: ``zone``, ``team``, ``target``, ``model`` or
            ``pipeline``.
        name: Name of the entry.
        what: ``added``, ``removed``, or ``KEY: OLD -> NEW``.
    """

    part: str
    name: str
    what: str


def diff_declarations(old: Declaration, new: Declaration) -> list[Change]:
    """List every difference between two declarations, ordered by part and name."""
    changes: list[Change] = []
    for part in _PARTS:
        before, after = getattr(old, part), getattr(new, part)
        for name in sorted(before.keys() | after.keys()):
            changes += diff_entry(part[:-1], name, before.get(name), after.get(name))
    return changes


def diff_entry(
    part: str, name: str, old: tuple | None, new: tuple | None
) -> list[Change]:
    """List the differences of one entry.

    Args:
        part: Kind of the entry.
        name: Name of the entry.
        old: The entry in force, None if there is none.
        new: The other one, None if there is none.
    """
    if old is None:
        return [] if new is None else [Change(part, name, ADDED)]
    if new is None:
        return [Change(part, name, REMOVED)]
    return [
        Change(
            part, name, f"{field}: {_format_value(before)} -> {_format_value(after)}"
        )
        for field, before, after in zip(old._fields, old, new, strict=True)
        if before != after
    ]


def _format_value(value: object) -> str:
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ", ".join(str(item) for item in value) or "none"
    return str(value)
