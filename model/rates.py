"""A rate of one request a tick, shared by four instances, of which one may be cut off.

An owner on each side of a cut gives out permits. What it hears of the others lags by a
tick. Owners on the larger side may stop in turn, each of them after it gave out all
that it had. A permit is counted in as many units as there are instances, so that an
owner gains a unit a tick for each instance that it hears.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put

INSTANCES = 4
TICKS = 4
KEPT = 2 * INSTANCES
MAIN, CUT_OFF = 0, 1
MOST_CHANGES = 3
# One and a half times what the ticks allow, and five requests more.
ALLOWED = 1.5 * TICKS + 5


class State(NamedTuple):
    """Everything about one rate.

    Attributes:
        tick: Ticks that have passed.
        is_cut: Whether one instance is cut off.
        sees_cut: Of each side, whether it has noticed.
        units: Of the owner on each side, what it may give out.
        stopped: Owners on the larger side that have stopped.
        changes: Cuts and ends of cuts so far.
        granted: Permits given out so far.
    """

    is_cut: bool
    sees_cut: tuple[bool, bool]
    units: tuple[int, int]
    tick: int = 0
    stopped: int = 0
    changes: int = 0
    granted: int = 0


def steps(state: State, mistake: str) -> Steps:
    """All next states."""
    if state.tick < TICKS:
        yield "tick", _tick(state, mistake)
    if state.changes < MOST_CHANGES:
        changed = state._replace(is_cut=not state.is_cut, changes=state.changes + 1)
        yield "heal" if state.is_cut else "cut", changed
    for side in (MAIN, CUT_OFF):
        if state.units[side] >= INSTANCES and _is_owner(state, side):
            units = put(state.units, side, state.units[side] - INSTANCES)
            yield (
                f"grant {side}",
                state._replace(units=units, granted=state.granted + 1),
            )
    if state.stopped < INSTANCES - 2:
        kept = KEPT if mistake == "a new owner begins with permits" else 0
        units = put(state.units, MAIN, kept)
        yield "stop", state._replace(units=units, stopped=state.stopped + 1)


def _is_owner(state: State, side: int) -> bool:
    return side == MAIN or state.sees_cut[CUT_OFF]


def _tick(state: State, mistake: str) -> State:
    units = state.units
    for side in (MAIN, CUT_OFF):
        if not _is_owner(state, side):
            units = put(units, side, 0)
            continue
        heard = _heard(state, side)
        if mistake == "each side gives out the whole rate":
            heard = INSTANCES
        units = put(units, side, min(KEPT, units[side] + heard))
    return state._replace(
        tick=state.tick + 1, units=units, sees_cut=(state.is_cut, state.is_cut)
    )


def _heard(state: State, side: int) -> int:
    """Instances that the owner on a side believes to live, itself among them."""
    if side == CUT_OFF:
        return 1
    return INSTANCES - state.stopped - state.sees_cut[MAIN]


_WITHIN_LIMIT = "never more than the limit and its slack"

SPECIFICATION = Specification(
    name="shared rate",
    bounds="four instances, one that is cut off and found again, owners that stop",
    initial=State(True, (True, True), (KEPT, KEPT)),
    steps=steps,
    invariants={_WITHIN_LIMIT: lambda s: s["granted"] <= ALLOWED},
    mistakes={
        "each side gives out the whole rate": _WITHIN_LIMIT,
        "a new owner begins with permits": _WITHIN_LIMIT,
    },
)
