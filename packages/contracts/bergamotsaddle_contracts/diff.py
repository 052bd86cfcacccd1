"""Tells what one declaration changes against another, and for whom."""

from typing import NamedTuple

from bergamotsaddle_contracts.declaration import Declaration

_PARTS = ("zones", "teams", "targets", "models", "pipelines")


class Change(NamedTuple):
    """One difference between two declarations.

    Attributes:
        part: ``zone``, ``team``, ``target``, ``model`` or ``pipeline``.
        name: Name of the changed thing.
        what: ``added``, ``removed``, or ``KEY: OLD -> NEW``.
    """

    part: str
    name: str
    what: str


def diff_declarations(old: Declaration, new: Declaration) -> list[Change]:
    """List every difference, ordered by part and name."""
    changes: list[Change] = []
    for part in _PARTS:
        before, after = getattr(old, part), getattr(new, part)
        for name in sorted(before.keys() | after.keys()):
            changes += _diff_one(part[:-1], name, before.get(name), after.get(name))
    return changes


def _diff_one(part: str, name: str, old: tuple | None, new: tuple | None) -> list:
    if old is None:
        return [Change(part, name, "added")]
    if new is None:
        return [Change(part, name, "removed")]
    return [
        Change(part, name, f"{field}: {_show(before)} -> {_show(after)}")
        for field, before, after in zip(old._fields, old, new, strict=True)
        if before != after
    ]


def _show(value: object) -> str:
    if isinstance(value, tuple) and not hasattr(value, "_fields"):
        return ", ".join(str(item) for item in value) or "none"
    return str(value)
