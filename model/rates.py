"""Specifies a rate of one request per tick, shared by four instances.

One instance may be partitioned from the others. An owner on each side of the partition
grants permits. Its view of the other instances lags by a tick. Owners on the larger
side may stop in turn, each of them after it has granted all its permits. A permit
consists of as many units as there are instances, so an owner gains one unit per tick
for each instance that it can reach.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put

INSTANCES = 4
TICKS = 4
MAX_UNITS = 2 * INSTANCES
MAIN, CUT_OFF = 0, 1
MAX_CHANGES = 3
# One and a half times the rate over all ticks, plus five requests of slack.
ALLOWED = 1.5 * TICKS + 5


class State(NamedTuple):
    """State of one rate.

    Attributes:
        tick: Ticks that have passed.
        is_cut: Whether one instance is partitioned.
        sees_cut: Whether each side has noticed the partition.
        units: Units that the owner on each side may grant.
        stopped: Owners on the larger side that have stopped.
        changes: Starts and ends of partitions so far.
        granted: Permits granted so far.
    """

    is_cut: bool
    sees_cut: tuple[bool, bool]
    units: tuple[int, int]
    tick: int = 0
    stopped: int = 0
    changes: int = 0
    granted: int = 0


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    if state.tick < TICKS:
        yield "tick", _tick(state, mistake)
    if state.changes < MAX_CHANGES:
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
        inherited = MAX_UNITS if mistake == "a new owner begins with permits" else 0
        units = put(state.units, MAIN, inherited)
        yield "stop", state._replace(units=units, stopped=state.stopped + 1)


def _is_owner(state: State, side: int) -> bool:
    return side == MAIN or state.sees_cut[CUT_OFF]


def _tick(state: State, mistake: str) -> State:
    units = state.units
    for side in (MAIN, CUT_OFF):
        if not _is_owner(state, side):
            units = put(units, side, 0)
            continue
        reachable = _count_reachable(state, side)
        if mistake == "each side gives out the whole rate":
            reachable = INSTANCES
        units = put(units, side, min(MAX_UNITS, units[side] + reachable))
    return state._replace(
        tick=state.tick + 1, units=units, sees_cut=(state.is_cut, state.is_cut)
    )


def _count_reachable(state: State, side: int) -> int:
    """Return how many instances the owner on a side sees alive, itself included."""
    if side == CUT_OFF:
        return 1
    return INSTANCES - state.stopped - state.sees_cut[MAIN]


_WITHIN_LIMIT = "never more than the limit and its slack"

SPECIFICATION = Specification(
    name="shared rate",
    bounds="four instances, one that is cut off and found again, owners that stop",
    initial=State(True, (True, True), (MAX_UNITS, MAX_UNITS)),
    steps=steps,
    invariants={_WITHIN_LIMIT: lambda s: s["granted"] <= ALLOWED},
    mistakes={
        "each side gives out the whole rate": _WITHIN_LIMIT,
        "a new owner begins with permits": _WITHIN_LIMIT,
    },
)
