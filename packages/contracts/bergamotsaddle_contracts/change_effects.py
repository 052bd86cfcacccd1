"""What changes of a file in force do to requests under way.

This module does no input or output.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from bergamotsaddle_contracts.diff import ADDED, REMOVED, Change

Effect = Callable[[Change], str]

_NO_EFFECT = "none; requests that come later are served by it"


class EffectiveChange(NamedTuple):
    """A difference and its effect.

    Attributes:
        part: Kind of the entry.
        name: Name of the entry.
        what: ``added``, ``removed``, or ``KEY: OLD -> NEW``.
        effect: What it does to requests under way.
    """

    part: str
    name: str
    what: str
    effect: str


class Effects:
    """The effects of changes.

    Attributes:
        effect_by_key: Effects by part and by what changes in it.
    """

    def __init__(self) -> None:
        self.effect_by_key: dict[tuple[str, str], Effect] = {}

    def register(self, part: str, *keys: str) -> Callable[[Effect], Effect]:
        """Return a decorator that registers the effect of changes.

        Args:
            part: Kind of the entry.
            keys: ``added``, ``removed`` or changed keys.
        """

        def add(effect: Effect) -> Effect:
            self.effect_by_key.update({(part, key): effect for key in keys})
            return effect

        return add

    def explain(self, changes: Sequence[Change]) -> list[EffectiveChange]:
        """Return changes with their effects."""
        return [EffectiveChange(*change, self._effect(change)) for change in changes]

    def _effect(self, change: Change) -> str:
        effect = self.effect_by_key.get((change.part, _key(change)))
        return effect(change) if effect is not None else _NO_EFFECT


def _key(change: Change) -> str:
    if change.what in (ADDED, REMOVED):
        return change.what
    return change.what.partition(":")[0]


DECLARATION_EFFECTS = Effects()


@DECLARATION_EFFECTS.register("zone", "state")
def _move_zone(change: Change) -> str:
    if change.what.endswith("out"):
        return "running calls end there; calls that wait go to other zones"
    return "its targets get a growing part of their room"


@DECLARATION_EFFECTS.register("target", REMOVED, "address", "zone", "kind")
def _move_target(change: Change) -> str:
    return "running calls end where they are; calls that wait go to other targets"


@DECLARATION_EFFECTS.register("target", "limit", "cold_limit")
def _limit_target(change: Change) -> str:
    return "running calls go on; those that wait start by the new limit"


@DECLARATION_EFFECTS.register(
    "target",
    "models",
    "holds",
    "repeatable",
    "idempotency_key",
    "fencing",
    "resumes",
    "not_run_statuses",
)
def _change_target(change: Change) -> str:
    return "running calls go on; what is sent or fails later follows the new value"


@DECLARATION_EFFECTS.register("team", REMOVED, "key_digests")
def _revoke_keys(change: Change) -> str:
    return "requests under way go on; later ones need a key that is left"


@DECLARATION_EFFECTS.register("pipeline", REMOVED)
def _remove_pipeline(change: Change) -> str:
    return "requests under way go on; later ones are not found"
