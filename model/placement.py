"""Specifies how a model moves to the one of three targets that shall keep it.

The other targets have the model loaded. The home of each target decides by reports
that may be old. Targets don't crash here: the plan reloads a model whose only copy is
lost.
"""

from itertools import permutations
from typing import NamedTuple

from model.specification import Specification, Steps, put

TARGETS = (0, 1, 2)


class State(NamedTuple):
    """State of one model.

    Attributes:
        keeper: Target that the plan assigns the model to.
        held: Which targets have it loaded.
        views: For the home of each target, which targets it believes to have it loaded.
    """

    keeper: int
    held: tuple[bool, ...]
    views: tuple[tuple[bool, ...], ...]


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    for target in TARGETS:
        if target == state.keeper:
            yield "load", state._replace(held=put(state.held, target, True))
        elif state.held[target] and _may_drop(state, target, mistake):
            yield f"drop {target}", state._replace(held=put(state.held, target, False))
    for home, target in permutations(TARGETS, 2):
        view = put(state.views[home], target, state.held[target])
        views = put(state.views, home, view)
        yield f"report {target} to {home}", state._replace(views=views)


def _may_drop(state: State, target: int, mistake: str) -> bool:
    others = [t for t in TARGETS if t != target and state.views[target][t]]
    if mistake == "counts on any copy":
        return bool(others)
    return any(other == state.keeper or other < target for other in others)


def _make(keeper: int) -> Specification:
    held = tuple(target != keeper for target in TARGETS)
    return Specification(
        name=f"placement, kept at {keeper}",
        bounds="one model, three targets, reports of any age",
        initial=State(keeper, held, (held,) * len(TARGETS)),
        steps=steps,
        invariants={"some target has it": lambda s: any(s["held"])},
        mistakes={"counts on any copy": "some target has it"},
    )


SPECIFICATIONS = tuple(_make(keeper) for keeper in TARGETS)
