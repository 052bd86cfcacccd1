"""Specifies how instances find a request that crashes targets, now and then.

The request may become fatal at some moment: from then on some of its runs crash their
targets, others are whole. It may also be merely present at crashes with other causes.
Two instances observe crashes and runs that targets outlived, and tell each other one
fact at a time, in any order. Nothing has to be told at any time, which covers cuts and
lost datagrams. One instance may restart with nothing known. A run that looked whole may
turn out to have crashed its target.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put, tell

INSTANCES = (0, 1)
# Stands for the three crashes of the product.
CRASHES_TO_HOLD = 2
MAX_CRASHES = 3
MAX_OUTLIVED = 3
MAX_CUTS = 1
MAX_RESTARTS = 1


class State(NamedTuple):
    """State of the request and of the instances.

    Attributes:
        crashes: How many crashes it was present at.
        facts: Facts that each instance knows: "crash" and its number; "outlived", a
            number and the number of crashes before; or "disproved" and the number of an
            outlived run.
        private: Facts that each instance keeps to itself.
        outlived: How many runs targets seemed to outlive.
        disproved: Numbers of those after which the target crashed.
        is_fatal: Whether the request crashes targets by now.
        has_sent_held: Whether an instance sent it though the crashes that it knew
            outweighed the outlived runs that it knew.
        restarts: How many restarts there were.
    """

    crashes: int = 0
    facts: tuple = (frozenset(),) * len(INSTANCES)
    private: tuple = (frozenset(),) * len(INSTANCES)
    outlived: int = 0
    disproved: frozenset = frozenset()
    is_fatal: bool = False
    has_sent_held: bool = False
    restarts: int = 0


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    if not state.is_fatal:
        yield "becomes fatal", state._replace(is_fatal=True)
    for instance in INSTANCES:
        if not is_held(state, instance, mistake):
            yield from _run(state, instance, mistake)
        if state.restarts < MAX_RESTARTS:
            yield f"restart {instance}", _restart(state, instance)
        yield from tell(state, instance)


def _run(state: State, instance: int, mistake: str) -> Steps:
    """Send the request to a target, which crashes under it or outlives it."""
    must_hold = outweigh(state.facts[instance])
    sent = state._replace(has_sent_held=state.has_sent_held or must_hold)
    if state.crashes < MAX_CRASHES:
        known = state.facts[instance] | {("crash", state.crashes)}
        facts = put(state.facts, instance, known)
        crashed = sent._replace(crashes=state.crashes + 1, facts=facts)
        yield f"crash {instance}", crashed
        if state.is_fatal:
            yield from _disprove(crashed, instance, mistake)
    if state.outlived < MAX_OUTLIVED and _knows_crash(state, instance):
        yield f"outlive {instance}", _outlive(sent, instance, mistake)


def _knows_crash(state: State, instance: int) -> bool:
    return any(fact[0] == "crash" for fact in state.facts[instance])


def _disprove(state: State, instance: int, mistake: str) -> Steps:
    """Let the last crash be that of the target of an outlived run."""
    told = [fact[1] for fact in state.facts[instance] if fact[0] == "outlived"]
    for number in sorted(set(told) - state.disproved):
        after = state._replace(disproved=state.disproved | {number})
        if mistake != "keeps what is disproved":
            known = state.facts[instance] | {("disproved", number)}
            after = after._replace(facts=put(state.facts, instance, known))
        yield f"crash {instance} behind run {number}", after


def _outlive(state: State, instance: int, mistake: str) -> State:
    """Let a target outlive a run, as far as its instance sees."""
    known = state.facts[instance]
    fact = ("outlived", state.outlived, state.crashes)
    after = state._replace(outlived=state.outlived + 1)
    if mistake == "takes crashes back":
        left = frozenset(fact for fact in known if fact[0] != "crash")
        return after._replace(facts=put(state.facts, instance, left))
    if mistake == "keeps what it outlives":
        private = put(state.private, instance, state.private[instance] | {fact})
        return after._replace(private=private)
    return after._replace(facts=put(state.facts, instance, known | {fact}))


def _restart(state: State, instance: int) -> State:
    return state._replace(
        facts=put(state.facts, instance, frozenset()),
        private=put(state.private, instance, frozenset()),
        restarts=state.restarts + 1,
    )


def is_held(state: State, instance: int, mistake: str = "") -> bool:
    """Return whether an instance holds the request back."""
    known = state.facts[instance] | state.private[instance]
    is_cleared = any(fact[0] == "outlived" for fact in known)
    if mistake == "clears for good" and is_cleared:
        return False
    return outweigh(known)


def outweigh(known: frozenset) -> bool:
    """Return whether from some crash on crashes outweigh the runs outlived since."""
    crashes = sorted(fact[1] for fact in known if fact[0] == "crash")
    disproved = {fact[1] for fact in known if fact[0] == "disproved"}
    told = [fact for fact in known if fact[0] == "outlived"]
    outlived_after = [after for _, number, after in told if number not in disproved]
    for position, first in enumerate(crashes):
        count = len(crashes) - position
        since = [after for after in outlived_after if after > first]
        if count >= CRASHES_TO_HOLD and len(since) < count:
            return True
    return False


def holds_fatal_request(fields: dict) -> bool:
    """Return whether no instance sent a request to blame for crashes that it knew."""
    return not fields["has_sent_held"]


def keeps_crashes(fields: dict) -> bool:
    """Return whether only a restart takes a crash from all instances."""
    state = State(**fields)
    if state.restarts:
        return True
    known = state.facts[0] | state.facts[1]
    return all(("crash", number) in known for number in range(state.crashes))


def counts_no_disproved_run(fields: dict) -> bool:
    """Return whether what is disproved excuses no crash where facts agree."""
    state = State(**fields)
    if state.restarts or state.facts[0] != state.facts[1]:
        return True
    known = state.facts[0]
    disproved = {("disproved", number) for number in state.disproved}
    return outweigh(known | disproved) == outweigh(known)


def frees_popular_request(fields: dict) -> bool:
    """Return whether as many runs as crashes, outlived later, free a request."""
    state = State(**fields)
    known = state.facts[0]
    if state.restarts or known != state.facts[1] or state.disproved:
        return True
    numbers = {fact[2] for fact in known if fact[0] == "outlived"}
    if state.outlived < state.crashes or numbers != {state.crashes}:
        return True
    return not any(is_held(state, instance) for instance in INSTANCES)


def decides_alike(fields: dict) -> bool:
    """Return whether instances with the same facts decide the same."""
    state = State(**fields)
    return state.facts[0] != state.facts[1] or is_held(state, 0) == is_held(state, 1)


SPECIFICATION = Specification(
    name="requests that crash targets at times",
    bounds="two instances, three crashes, three outlived runs, one restart",
    initial=State(),
    steps=steps,
    invariants={
        "a fatal request is held": holds_fatal_request,
        "crashes are kept": keeps_crashes,
        "disproved runs excuse nothing": counts_no_disproved_run,
        "a popular request is free": frees_popular_request,
        "same facts, same decision": decides_alike,
    },
    mistakes={
        "clears for good": "a fatal request is held",
        "takes crashes back": "crashes are kept",
        "keeps what is disproved": "disproved runs excuse nothing",
        "keeps what it outlives": "same facts, same decision",
    },
)


class ReleaseState(NamedTuple):
    """State of a quarantined request while targets get other software.

    Attributes:
        version: Version of the software that targets run.
        crashed: Versions under which each instance knows of a crash.
        permits: Permits that each owner has granted for the current version.
        trying: Instances that have sent the request and not learned its outcome.
        late: Crashes of new versions under the request.
        changes: How often the version changed.
        has_tried_first: Whether the request was sent to the first version again.
        is_cut: Whether the instances can't hear each other.
        cuts: How many cuts there were.
    """

    version: int = 1
    crashed: tuple = (frozenset({1}),) * len(INSTANCES)
    permits: tuple = (0,) * len(INSTANCES)
    trying: frozenset = frozenset()
    late: int = 0
    changes: int = 0
    has_tried_first: bool = False
    is_cut: bool = False
    cuts: int = 0


MAX_CHANGES = 3


def release_steps(state: ReleaseState, mistake: str) -> Steps:
    """Yield all next states."""
    if state.changes < MAX_CHANGES:
        yield "release", _change(state, state.version + 1)
        if state.version > 1:
            before = _change(state, state.version - 1)
            if mistake == "forgets the old version":
                forgotten = {before.version}
                crashed = tuple(known - forgotten for known in state.crashed)
                before = before._replace(crashed=crashed)
            yield "roll back", before
    for instance in INSTANCES:
        yield from _try(state, instance, mistake)
        other = 1 - instance
        if not state.is_cut and state.crashed[instance] - state.crashed[other]:
            known = state.crashed[0] | state.crashed[1]
            yield "tell", state._replace(crashed=(known, known))
    if state.is_cut:
        yield "heal", state._replace(is_cut=False)
    elif state.cuts < MAX_CUTS:
        yield "cut", state._replace(is_cut=True, cuts=state.cuts + 1)


def _change(state: ReleaseState, version: int) -> ReleaseState:
    none = (0,) * len(INSTANCES)
    return state._replace(version=version, permits=none, changes=state.changes + 1)


def _try(state: ReleaseState, instance: int, mistake: str) -> Steps:
    """Try the request at an instance that may, and crash a target with it."""
    if instance in state.trying:
        known = state.crashed[instance] | {state.version}
        yield (
            f"crash {instance}",
            state._replace(
                crashed=put(state.crashed, instance, known),
                trying=state.trying - {instance},
                late=state.late + 1,
            ),
        )
        return
    if state.version in state.crashed[instance]:
        return
    owner = instance if state.is_cut else 0
    if mistake != "lifts everywhere at once":
        if state.permits[owner]:
            return
        permits = put(state.permits, owner, 1)
    else:
        permits = state.permits
    yield (
        f"try {instance}",
        state._replace(
            permits=permits,
            trying=state.trying | {instance},
            has_tried_first=state.has_tried_first or state.version == 1,
        ),
    )


def costs_one_target(fields: dict) -> bool:
    """Return whether a change costs one target on each side of a cut."""
    return fields["late"] <= fields["changes"] * (1 + fields["cuts"])


def holds_first_version(fields: dict) -> bool:
    """Return whether the version that is known to crash got the request never again."""
    return not fields["has_tried_first"]


RELEASE_SPECIFICATION = Specification(
    name="a release while a request is quarantined",
    bounds="two instances, three changes, back to old versions too, one cut",
    initial=ReleaseState(),
    steps=release_steps,
    invariants={
        "a release costs one target": costs_one_target,
        "an old version is held": holds_first_version,
    },
    mistakes={
        "lifts everywhere at once": "a release costs one target",
        "forgets the old version": "an old version is held",
    },
)
