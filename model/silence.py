"""Specifies how a stream outlives the silences of engines.

There is one stream of three events. An engine may hold back all bytes for a time or for
good, and a connection may break at any moment. A run that falls silent is kept open
while a second one, the hedge, is prepared beside it: a repeat is reserved, an engine is
chosen, the stages run and a permit is acquired, each of which may fail. The first run
that sends its next event goes on with the stream. A hedge that is silent too gets
another one beside it. Another stream uses the same budget.
It has a run at one of the engines, which shows whether that engine is silent.

A caller may leave at any moment. Its patience lasts for longer than all that an
instance can do about a silence, so it ends only once the instance can do nothing more.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put

ENGINES = (0, 1, 2)
# The engine at which the other stream has a run.
WATCHED_ENGINE = 1
NO_ENGINE = -1
EVENTS = 3
MAX_ATTEMPTS = 3
MAX_REPEATS = 2
MAX_SILENCES = 2

SPEAKS, SILENT, GONE = "speaks", "silent", "gone"
IDLE, RESERVED, CHOSEN, STAGED, PERMITTED = range(5)
SERVED, WHOLE, FAILED, LEFT = "", "whole", "failed", "left"


class Run(NamedTuple):
    """A run of the stream at an engine.

    Attributes:
        engine: The engine.
        event: Number of the event that it sends next.
    """

    engine: int
    event: int


class State(NamedTuple):
    """State of the stream, of the engines and of the budget.

    Attributes:
        attempts: How many runs the stream may have, 0 before it begins.
        budget: Repeats that both streams may use.
        free: Repeats that are neither reserved nor used.
        others: Repeats that the other stream has reserved or used.
        reserved: Repeats that the stream has reserved for a hedge.
        used: Repeats that it has used.
        engines: What each engine does: it speaks, is silent or is silent for good.
        silences: How many silences there were.
        excluded: Engines that refused the stream or broke off.
        open: Open runs of the stream.
        runs: How many runs it had.
        counted: How many of them the instance counts.
        hedge: How far the hedge is prepared.
        chosen: Engine that was chosen for it.
        lacks: Whether the last preparation failed for want of something.
        events: Events that the caller has.
        outcome: How the stream ended, empty before.
        has_given_up: Whether a run or the stream was given up that may still end well.
        has_stayed: Whether patience ended at a silent run though a way on was there.
        has_hedged_in_vain: Whether an engine that is seen to be silent got a hedge.
    """

    attempts: int = 0
    budget: int = 0
    free: int = 0
    others: int = 0
    reserved: int = 0
    used: int = 0
    engines: tuple = (SPEAKS,) * len(ENGINES)
    silences: int = 0
    excluded: frozenset = frozenset()
    open: tuple = ()
    runs: int = 0
    counted: int = 0
    hedge: int = IDLE
    chosen: int = NO_ENGINE
    lacks: bool = False
    events: tuple = ()
    outcome: str = SERVED
    has_given_up: bool = False
    has_stayed: bool = False
    has_hedged_in_vain: bool = False


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    if not state.attempts:
        yield from _begin()
        return
    if state.outcome:
        return
    own = list(_instance(state, mistake))
    yield from own
    yield from _engines(state)
    yield from _runs(state, mistake)
    yield from _other_stream(state)
    yield "leave", _end(state, LEFT, mistake)
    if state.lacks and state.open:
        yield "try again", state._replace(lacks=False)
    if not own and _is_waiting(state):
        has_stayed = state.has_stayed or _has_way_on(state)
        ended = state._replace(has_stayed=has_stayed)
        yield "patience ends", _end(ended, FAILED, mistake)


def _begin() -> Steps:
    for attempts in range(1, MAX_ATTEMPTS + 1):
        for budget in range(MAX_REPEATS + 1):
            yield (
                f"begin with {attempts} attempts, {budget} repeats",
                State(
                    attempts=attempts,
                    budget=budget,
                    free=budget,
                    open=(Run(0, 0),),
                    runs=1,
                    counted=1,
                ),
            )


def _engines(state: State) -> Steps:
    for engine in ENGINES:
        does = state.engines[engine]
        if does == SPEAKS and state.silences < MAX_SILENCES:
            for silence in (SILENT, GONE):
                yield (
                    f"engine {engine} is {silence}",
                    state._replace(
                        engines=put(state.engines, engine, silence),
                        silences=state.silences + 1,
                    ),
                )
        if does == SILENT:
            engines = put(state.engines, engine, SPEAKS)
            yield f"engine {engine} goes on", state._replace(engines=engines)


def _runs(state: State, mistake: str) -> Steps:
    """Let an open run send its next event or break."""
    for run in state.open:
        if state.engines[run.engine] == SPEAKS:
            yield f"event {run.event} of {run.engine}", _receive(state, run, mistake)
        broken = state._replace(
            open=tuple(other for other in state.open if other != run),
            excluded=state.excluded | {run.engine},
        )
        yield f"break {run.engine}", broken


def _receive(state: State, run: Run, mistake: str) -> State:
    """Receive the next event of a run, which ends the others and the hedge."""
    is_late = run.event < len(state.events)
    kept = [other for other in state.open if other != run]
    if mistake not in ("relays both", "lets the loser run"):
        kept = []
    events = (*state.events, run.event)
    if is_late and mistake == "lets the loser run":
        events = state.events
    after = _cancel(state, mistake)._replace(
        events=events, open=(Run(run.engine, run.event + 1), *kept), lacks=False
    )
    return _end(after, WHOLE, mistake) if len(events) >= EVENTS else after


def _other_stream(state: State) -> Steps:
    if state.free > 0:
        taken = state._replace(free=state.free - 1, others=state.others + 1)
        yield "the other stream takes a repeat", taken
    if state.others:
        given = state._replace(free=state.free + 1, others=state.others - 1)
        yield "the other stream gives a repeat back", given


def _instance(state: State, mistake: str) -> Steps:
    """Yield what the instance can do about silent and broken runs."""
    if state.hedge == IDLE:
        yield from _start_hedge(state, mistake)
    elif state.hedge == RESERVED:
        for engine in _candidates(state, mistake):
            yield f"choose {engine}", state._replace(hedge=CHOSEN, chosen=engine)
        if not _candidates(state, mistake):
            yield "no engine", _lack(state, mistake)
    elif state.hedge == CHOSEN:
        yield "stages done", state._replace(hedge=STAGED)
        yield "stages fail", _lack(state, mistake)
    elif state.hedge == STAGED:
        yield "permit", state._replace(hedge=PERMITTED)
        yield "no permit", _lack(state, mistake)
    elif _is_avoided(state, state.chosen, mistake):
        yield "choose again", state._replace(hedge=RESERVED, chosen=NO_ENGINE)
    else:
        yield f"send to {state.chosen}", _send(state, mistake)
        yield f"refused by {state.chosen}", _refuse(state, mistake)
    if not state.open and state.hedge == IDLE and not _can_hedge(state, mistake):
        yield "fail", _fail(state, mistake)


def _start_hedge(state: State, mistake: str) -> Steps:
    if not _can_hedge(state, mistake) or not _is_waiting(state):
        return
    started = state._replace(hedge=RESERVED)
    if mistake != "looks at the budget without reserving":
        started = started._replace(free=state.free - 1, reserved=1)
    if mistake == "gives up before the way on is sure" and state.open:
        started = started._replace(open=(), has_given_up=True)
    yield "reserve a repeat", started


def _can_hedge(state: State, mistake: str) -> bool:
    """Return whether the instance may begin to prepare a hedge."""
    if mistake == "never hedges" and state.open:
        return False
    return (
        state.counted < state.attempts
        and state.free > 0
        and not state.lacks
        and bool(_candidates(state, mistake))
    )


def _is_waiting(state: State) -> bool:
    """Return whether no open run sends anything."""
    return all(state.engines[run.engine] != SPEAKS for run in state.open)


def _candidates(state: State, mistake: str) -> list[int]:
    """Return the engines that may get a hedge."""
    used = {run.engine for run in state.open} | state.excluded
    return [
        engine
        for engine in ENGINES
        if engine not in used and not _is_avoided(state, engine, mistake)
    ]


def _is_avoided(state: State, engine: int, mistake: str) -> bool:
    """Return whether an engine gets no hedge because it is seen to be silent."""
    if mistake == "looks at silence only once" and state.hedge == PERMITTED:
        return False
    return _is_seen_silent(state, engine) and mistake != "hedges into silence"


def _is_seen_silent(state: State, engine: int) -> bool:
    return engine == WATCHED_ENGINE and state.engines[engine] != SPEAKS


def _has_way_on(state: State) -> bool:
    """Return whether all is there that a further run at an engine that speaks needs."""
    speaking = [e for e in _candidates(state, "") if state.engines[e] == SPEAKS]
    is_possible = _can_hedge(state, "") and state.runs < state.attempts
    return is_possible and bool(speaking)


def _send(state: State, mistake: str) -> State:
    """Send the request to the chosen engine, which runs it from the next event on."""
    is_counted = mistake != "hedges again without counting"
    in_vain = _is_seen_silent(state, state.chosen)
    return _use_repeat(state, mistake)._replace(
        hedge=IDLE,
        chosen=NO_ENGINE,
        open=(*state.open, Run(state.chosen, len(state.events))),
        runs=state.runs + 1,
        counted=state.counted + is_counted,
        has_hedged_in_vain=state.has_hedged_in_vain or in_vain,
    )


def _refuse(state: State, mistake: str) -> State:
    """Let the chosen engine refuse the request, which was an extra call too."""
    return _use_repeat(state, mistake)._replace(
        hedge=IDLE, chosen=NO_ENGINE, excluded=state.excluded | {state.chosen}
    )


def _use_repeat(state: State, mistake: str) -> State:
    if mistake == "looks at the budget without reserving":
        return state._replace(free=state.free - 1, used=state.used + 1)
    return state._replace(reserved=0, used=state.used + 1)


def _lack(state: State, mistake: str) -> State:
    """End a preparation that lacks something; a silent run stays open."""
    return _cancel(state, mistake)._replace(lacks=True)


def _cancel(state: State, mistake: str) -> State:
    """End a preparation and give the reserved repeat back."""
    cancelled = state._replace(hedge=IDLE, chosen=NO_ENGINE, reserved=0)
    if mistake == "does not give back":
        return cancelled
    return cancelled._replace(free=state.free + state.reserved)


def _fail(state: State, mistake: str) -> State:
    has_given_up = state.has_given_up or bool(state.open) or _has_way_on(state)
    return _end(state._replace(has_given_up=has_given_up), FAILED, mistake)


def _end(state: State, outcome: str, mistake: str) -> State:
    return _cancel(state, mistake)._replace(outcome=outcome, open=())


def is_in_order(fields: dict) -> bool:
    """Return whether the caller has each event once and in order."""
    return fields["events"] == tuple(range(len(fields["events"])))


def keeps_budget(fields: dict) -> bool:
    """Return whether each repeat of the budget is in one place."""
    state = State(**fields)
    total = state.free + state.others + state.reserved + state.used
    return state.free >= 0 and total == state.budget


def closes_loser(fields: dict) -> bool:
    """Return whether all open runs wait for the next event, none behind the end."""
    state = State(**fields)
    if state.outcome:
        return not state.open
    return all(run.event == len(state.events) for run in state.open)


SPECIFICATION = Specification(
    name="streams behind silent engines",
    bounds="three engines, three attempts, two repeats, two silences",
    initial=State(),
    steps=steps,
    invariants={
        "nothing is given up that may end well": (
            lambda fields: not fields["has_given_up"]
        ),
        "no event twice or out of order": is_in_order,
        "the budget is kept": keeps_budget,
        "at most as many runs as attempts": (
            lambda fields: fields["runs"] <= fields["attempts"]
        ),
        "the loser is closed": closes_loser,
        "an engine silent for good is left": lambda fields: not fields["has_stayed"],
        "no hedge into a silence": lambda fields: not fields["has_hedged_in_vain"],
    },
    mistakes={
        "gives up before the way on is sure": "nothing is given up that may end well",
        "relays both": "no event twice or out of order",
        "looks at the budget without reserving": "the budget is kept",
        "does not give back": "the budget is kept",
        "hedges again without counting": "at most as many runs as attempts",
        "lets the loser run": "the loser is closed",
        "never hedges": "an engine silent for good is left",
        "hedges into silence": "no hedge into a silence",
        "looks at silence only once": "no hedge into a silence",
    },
)
