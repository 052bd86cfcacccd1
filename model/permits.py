"""Specifies permits for one cold target, its home, the next home and some holders.

A tick is the longest message delay that still matters. A paused holder or home takes
no steps while ticks pass. The new home is chosen by a change of the instance list,
which the old home may see late or, when its reads fail, not at all.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put

LIFETIME = 1
LIST_LAG = 1
VIEW_LIMIT = 1
TAKEOVER = LIST_LAG + VIEW_LIMIT + LIFETIME + 1
HOMES = (0, 1)
UNKNOWN = 9
FREE = -1


class State(NamedTuple):
    """State of one cold target.

    Attributes:
        phases: Phase of each holder: ``idle``, ``asked``, ``granted`` or ``running``.
        ages: Ticks since the request of each holder.
        homes: Home that each holder sent its request to.
        permits: For each home, remaining ticks of the permit of each holder, or FREE.
        unproven: For each home, calls that may run without a permit to account for
            them.
        reports: For each home, the latest report since it last added to unproven, or
            UNKNOWN.
        published: Ticks since the list named the new home, FREE before that.
        old_view_age: Ticks since the old home last read the list.
        old_stepped_down: Whether the old home has seen the new list.
        waited: Ticks since the new home saw the new list, FREE before that.
        limit: Cold limit of the target.
        has_successor: Whether a new home may be chosen.
    """

    phases: tuple[str, ...]
    ages: tuple[int, ...]
    homes: tuple[int, ...]
    permits: tuple[tuple[int, ...], ...]
    limit: int
    has_successor: bool
    unproven: tuple[int, ...] = (0, UNKNOWN)
    reports: tuple[int, ...] = (0, UNKNOWN)
    published: int = FREE
    old_view_age: int = 0
    old_stepped_down: bool = False
    waited: int = FREE


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    for holder in range(len(state.phases)):
        yield from _holder_steps(state, holder, mistake)
    yield from _list_steps(state)
    for home in HOMES[: 1 + state.has_successor]:
        yield from _report_steps(state, home, mistake)
    yield "tick", _tick(state, mistake)


def _holder_steps(state: State, holder: int, mistake: str) -> Steps:
    phase = state.phases[holder]
    if phase == "idle":
        for home in HOMES[: 1 + state.has_successor]:
            asked = _with_phase(state, holder, "asked")
            ages = put(state.ages, holder, 0)
            homes = put(state.homes, holder, home)
            yield f"ask {holder} {home}", asked._replace(ages=ages, homes=homes)
    if phase == "asked":
        yield f"answer_lost {holder}", _with_phase(state, holder, "idle")
        home = state.homes[holder]
        if _grants(state, home, mistake) and state.permits[home][holder] == FREE:
            granted = _with_permit(state, home, holder, LIFETIME)
            yield f"grant {holder} {home}", _with_phase(granted, holder, "granted")
    if phase == "granted":
        in_time = state.ages[holder] < LIFETIME
        if in_time or mistake == "no check before sending":
            yield f"send {holder}", _with_phase(state, holder, "running")
        yield f"drop {holder}", _with_phase(state, holder, "idle")
    if phase == "running":
        ended = _with_phase(state, holder, "idle")
        yield f"finish_unheard {holder}", ended
        home = state.homes[holder]
        if state.permits[home][holder] != FREE:
            yield f"finish {holder}", _with_permit(ended, home, holder, FREE)


def _grants(state: State, home: int, mistake: str) -> bool:
    if home == 0:
        fresh = state.old_view_age <= VIEW_LIMIT or mistake == "grants by a stale view"
        allowed = fresh and not state.old_stepped_down
    else:
        allowed = state.waited >= _takeover(mistake)
    active = sum(left != FREE for left in state.permits[home])
    return allowed and active + state.unproven[home] < state.limit


def _takeover(mistake: str) -> int:
    return 0 if mistake == "no wait at takeover" else TAKEOVER


def _list_steps(state: State) -> Steps:
    if state.published == FREE and state.has_successor:
        yield "publish", state._replace(published=0)
    if not state.old_stepped_down:
        if state.published <= LIST_LAG - 1:
            yield "old_reads_old", state._replace(old_view_age=0)
        if state.published != FREE:
            yield "old_reads_new", state._replace(old_stepped_down=True)
    if state.published != FREE and state.waited == FREE:
        yield "take_over", state._replace(waited=0)


def _report_steps(state: State, home: int, mistake: str) -> Steps:
    running = state.phases.count("running")
    waits = home == 1 and state.waited < _takeover(mistake)
    if waits and mistake != "proves while waiting":
        return
    yield f"measure {home}", state._replace(reports=put(state.reports, home, running))
    known = state.reports[home]
    if known == UNKNOWN:
        return
    left = min(state.unproven[home], known)
    if mistake == "counts permits as started":
        active = sum(permit != FREE for permit in state.permits[home])
        left = 0 if known <= active else state.unproven[home]
    yield f"prove {home}", state._replace(unproven=put(state.unproven, home, left))


def _tick(state: State, mistake: str) -> State:
    permits, unproven, reports = state.permits, state.unproven, state.reports
    for home in HOMES:
        for holder in range(len(state.phases)):
            left = permits[home][holder]
            if left == FREE:
                continue
            if left > 0:
                permits = put(permits, home, put(permits[home], holder, left - 1))
                continue
            permits = put(permits, home, put(permits[home], holder, FREE))
            if mistake != "expiry proves the end":
                more = min(UNKNOWN, unproven[home] + 1)
                unproven = put(unproven, home, more)
                reports = put(reports, home, UNKNOWN)
    return state._replace(
        permits=permits,
        unproven=unproven,
        reports=reports,
        ages=tuple(min(LIFETIME, age + 1) for age in state.ages),
        published=_later(state.published, LIST_LAG),
        old_view_age=min(VIEW_LIMIT + 1, state.old_view_age + 1),
        waited=_later(state.waited, TAKEOVER),
    )


def _later(ticks: int, bound: int) -> int:
    return FREE if ticks == FREE else min(bound, ticks + 1)


def _with_phase(state: State, holder: int, phase: str) -> State:
    return state._replace(phases=put(state.phases, holder, phase))


def _with_permit(state: State, home: int, holder: int, left: int) -> State:
    row = put(state.permits[home], holder, left)
    return state._replace(permits=put(state.permits, home, row))


def _initial(holders: int, limit: int, *, has_successor: bool) -> State:
    return State(
        phases=("idle",) * holders,
        ages=(0,) * holders,
        homes=(0,) * holders,
        permits=((FREE,) * holders,) * len(HOMES),
        limit=limit,
        has_successor=has_successor,
    )


_WITHIN_LIMIT = "never above the cold limit"
_INVARIANTS = {_WITHIN_LIMIT: lambda s: s["phases"].count("running") <= s["limit"]}

TAKEOVER_SPECIFICATION = Specification(
    name="permits, change of home",
    bounds="one target with a limit of 1, two homes in turn, two holders",
    initial=_initial(2, 1, has_successor=True),
    steps=steps,
    invariants=_INVARIANTS,
    mistakes={
        "no wait at takeover": _WITHIN_LIMIT,
        "grants by a stale view": _WITHIN_LIMIT,
        "no check before sending": _WITHIN_LIMIT,
        "expiry proves the end": _WITHIN_LIMIT,
        "proves while waiting": _WITHIN_LIMIT,
    },
)
SHARED_SPECIFICATION = Specification(
    name="permits, several at once",
    bounds="one target with a limit of 2, one home, three holders",
    initial=_initial(3, 2, has_successor=False),
    steps=steps,
    invariants=_INVARIANTS,
    mistakes={
        "no check before sending": _WITHIN_LIMIT,
        "expiry proves the end": _WITHIN_LIMIT,
        "counts permits as started": _WITHIN_LIMIT,
    },
)
