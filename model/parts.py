"""Specifies how instances find a part of prompts that crashes targets.

There are two parts, of which one becomes fatal at some moment: each run with it crashes
its target from then on. The other one is harmless, runs beside it, and is also present
at crashes with other causes. Two instances observe crashes and completed runs, and tell
each other one fact at a time, in any order; facts are lost until they are sent again,
and a cut may separate the instances.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put, tell

INSTANCES = (0, 1)
FATAL, HARMLESS = "fatal", "harmless"
# Stands for the five crashes of the product.
CRASHES_TO_HOLD = 2
MAX_CRASHES = 3
MAX_WHOLE_RUNS = 2
MAX_CUTS = 1
CAUSES = (
    frozenset({FATAL}),
    frozenset({FATAL, HARMLESS}),
    frozenset({HARMLESS}),
)


class State(NamedTuple):
    """State of the parts and of the instances.

    Attributes:
        crashes: Parts that were present at each crash.
        facts: Facts that each instance knows: "crash" or "clear", the number of the
            crash, and the part.
        private: Facts that each instance keeps to itself.
        whole_runs: How many runs were completed.
        proven: Crashes and harmless parts that a completed run has proven unrelated.
        is_fatal: Whether the fatal part crashes targets by now.
        has_sent_held: Whether a held part was sent to a target.
        is_cut: Whether the instances can't hear each other.
        cuts: How many cuts there were.
    """

    crashes: tuple = ()
    facts: tuple = (frozenset(),) * len(INSTANCES)
    private: tuple = (frozenset(),) * len(INSTANCES)
    whole_runs: int = 0
    proven: frozenset = frozenset()
    is_fatal: bool = False
    has_sent_held: bool = False
    is_cut: bool = False
    cuts: int = 0


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    if not state.is_fatal:
        yield "becomes fatal", state._replace(is_fatal=True)
    for instance in INSTANCES:
        if len(state.crashes) < MAX_CRASHES:
            for parts in CAUSES:
                if FATAL not in parts or _may_crash(state, instance):
                    name = "+".join(sorted(parts))
                    yield f"crash {instance} {name}", _crash(state, instance, parts)
        if state.whole_runs < MAX_WHOLE_RUNS:
            yield from _complete(state, instance, mistake)
        if not state.is_cut:
            yield from tell(state, instance)
    if state.is_cut:
        yield "heal", state._replace(is_cut=False)
    elif state.cuts < MAX_CUTS:
        yield "cut", state._replace(is_cut=True, cuts=state.cuts + 1)


def _may_crash(state: State, instance: int) -> bool:
    return state.is_fatal and not _is_held(state, instance, FATAL)


def _crash(state: State, instance: int, parts: frozenset) -> State:
    number = len(state.crashes)
    known = state.facts[instance] | {("crash", number, part) for part in parts}
    must_hold = FATAL in parts and _counts(state.facts[instance], FATAL)
    return state._replace(
        crashes=(*state.crashes, parts),
        facts=put(state.facts, instance, known),
        has_sent_held=state.has_sent_held or must_hold,
    )


def _counts(facts: frozenset, part: str) -> bool:
    """Return whether the crashes of a part are enough, whatever clears it."""
    crashes = [f for f in facts if f[0] == "crash" and f[2] == part]
    return len(crashes) >= CRASHES_TO_HOLD


def _complete(state: State, instance: int, mistake: str) -> Steps:
    """Complete a run with a part that is not held."""
    for part in (FATAL, HARMLESS):
        is_sound = part == HARMLESS or not state.is_fatal
        if not is_sound and mistake != "takes a crash for an end":
            continue
        if _is_held(state, instance, part):
            continue
        known = state.facts[instance]
        seen = {n for kind, n, p in known if kind == "crash" and p == part}
        cleared = frozenset(("clear", number, part) for number in seen)
        if mistake == "clears what is still to come":
            cleared = frozenset(("clear", n, part) for n in range(MAX_CRASHES))
        after = state._replace(
            whole_runs=state.whole_runs + 1,
            proven=state.proven | {(n, part) for n in seen if part == HARMLESS},
        )
        if mistake == "removes what it clears":
            left = known - {("crash", number, part) for number in seen}
            facts = put(state.facts, instance, left)
            yield f"whole {instance} {part}", after._replace(facts=facts)
        elif mistake == "keeps what it clears":
            private = put(state.private, instance, state.private[instance] | cleared)
            yield f"whole {instance} {part}", after._replace(private=private)
        else:
            facts = put(state.facts, instance, known | cleared)
            yield f"whole {instance} {part}", after._replace(facts=facts)


def _is_held(state: State, instance: int, part: str) -> bool:
    known = state.facts[instance] | state.private[instance]
    crashes = {n for kind, n, p in known if kind == "crash" and p == part}
    cleared = {n for kind, n, p in known if kind == "clear" and p == part}
    return len(crashes - cleared) >= CRASHES_TO_HOLD


def holds_fatal_part(fields: dict) -> bool:
    """Return whether no instance sent a fatal part whose crashes it knew."""
    return not fields["has_sent_held"]


def releases_harmless_part(fields: dict) -> bool:
    """Return whether a harmless part is free where facts agree and a run proved it."""
    state = State(**fields)
    if state.facts[0] != state.facts[1]:
        return True
    unproven = [
        number
        for number, parts in enumerate(state.crashes)
        if HARMLESS in parts and (number, HARMLESS) not in state.proven
    ]
    if len(unproven) >= CRASHES_TO_HOLD:
        return True
    return not any(_is_held(state, instance, HARMLESS) for instance in INSTANCES)


def decides_alike(fields: dict) -> bool:
    """Return whether instances with the same facts hold the same parts."""
    state = State(**fields)
    if state.facts[0] != state.facts[1]:
        return True
    return all(
        _is_held(state, 0, part) == _is_held(state, 1, part)
        for part in (FATAL, HARMLESS)
    )


SPECIFICATION = Specification(
    name="parts of prompts that crash targets",
    bounds="two instances, two parts, three crashes, two whole runs, one cut",
    initial=State(),
    steps=steps,
    invariants={
        "a fatal part is held": holds_fatal_part,
        "a proven part is free": releases_harmless_part,
        "same facts, same decision": decides_alike,
    },
    mistakes={
        "takes a crash for an end": "a fatal part is held",
        "clears what is still to come": "a fatal part is held",
        "keeps what it clears": "same facts, same decision",
        "removes what it clears": "a proven part is free",
    },
)
