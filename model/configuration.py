"""Specifies how instances agree on a declaration.

There are three instances, a service that may return older versions, and operators that
publish two declarations of the same revision. Versions are pairs of revision and
digest. Instances are replaced at any time and then know no version; the service may
show any version; one instance may be partitioned from its peers.
"""

from itertools import permutations
from typing import NamedTuple

from model.specification import Specification, Steps, put

NONE = (0, 0)
PUBLISHED = ((1, 0), (2, 0), (2, 1))
INSTANCES = (0, 1, 2)
REPLACED = (1, 2)


class State(NamedTuple):
    """State of the declarations.

    Attributes:
        versions: Version in force at each instance, NONE before it knows any.
        ready: Which instances serve.
        floors: For each instance that starts, the highest version that a serving
            peer had in force when it started, as long as neither a partition nor a
            replacement of a peer has happened since.
        asked: For each instance that starts, the peers that have responded to it.
        went_back: Whether an instance replaced its version by a lower one.
        diverged: Whether all instances have exchanged versions and still differ.
        cut: Whether the last instance is partitioned from its peers.
    """

    versions: tuple = (NONE,) * len(INSTANCES)
    ready: tuple = (False,) * len(INSTANCES)
    floors: tuple = (NONE,) * len(INSTANCES)
    asked: tuple = (frozenset(),) * len(INSTANCES)
    went_back: bool = False
    diverged: bool = False
    cut: bool = False


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states; states that break an invariant have none."""
    if state.went_back or state.diverged:
        return
    for instance in INSTANCES:
        for version in PUBLISHED:
            offered = _offer(state, instance, version, mistake)
            yield f"service_to {instance} {version}", offered
        if not state.ready[instance] and _may_be_ready(state, instance, mistake):
            yield f"ready {instance}", _make_ready(state, instance)
        if instance in REPLACED and state.ready[instance]:
            yield f"replace {instance}", _replace_instance(state, instance)
    yield from _peer_steps(state, mistake)
    floors = tuple(NONE for _ in INSTANCES)
    yield "cut_or_heal", state._replace(cut=not state.cut, floors=floors)


def _peer_steps(state: State, mistake: str) -> Steps:
    moved = False
    for asker, peer in permutations(INSTANCES, 2):
        if not _linked(state, asker, peer):
            continue
        fetched = _offer(state, asker, state.versions[peer], mistake)
        moved = moved or fetched != state
        if not state.ready[asker]:
            responded = state.asked[asker] | {peer}
            fetched = fetched._replace(asked=put(state.asked, asker, responded))
        yield f"hear {asker} {peer}", fetched
    if not moved and not state.cut and len(set(state.versions)) > 1:
        yield "nothing_left_to_hear", state._replace(diverged=True)


def _offer(state: State, instance: int, offered: tuple, mistake: str) -> State:
    current = state.versions[instance]
    newer = offered > current
    if mistake == "takes what it is offered":
        newer = offered not in (current, NONE)
    if mistake == "compares revisions only":
        newer = offered[0] > current[0]
    if not newer:
        return state
    versions = put(state.versions, instance, offered)
    return state._replace(versions=versions, went_back=offered < current)


def _may_be_ready(state: State, instance: int, mistake: str) -> bool:
    if state.versions[instance] == NONE:
        return False
    if mistake == "ready without its peers":
        return True
    others = {peer for peer in INSTANCES if peer != instance}
    reachable = {peer for peer in others if _linked(state, instance, peer)}
    return reachable <= state.asked[instance]


def _make_ready(state: State, instance: int) -> State:
    asked = put(state.asked, instance, frozenset())
    return state._replace(ready=put(state.ready, instance, True), asked=asked)


def _replace_instance(state: State, instance: int) -> State:
    serving = [
        state.versions[peer]
        for peer in INSTANCES
        if peer != instance and state.ready[peer] and _linked(state, instance, peer)
    ]
    kept = tuple(
        floor if ready else NONE
        for floor, ready in zip(state.floors, state.ready, strict=True)
    )
    return state._replace(
        versions=put(state.versions, instance, NONE),
        ready=put(state.ready, instance, False),
        floors=put(kept, instance, max(serving, default=NONE)),
        asked=put(state.asked, instance, frozenset()),
    )


def _linked(state: State, one: int, other: int) -> bool:
    return not (state.cut and INSTANCES[-1] in (one, other))


def _start_is_current(state: dict) -> bool:
    rows = zip(state["versions"], state["ready"], state["floors"], strict=True)
    return all(version >= floor for version, ready, floor in rows if ready)


SPECIFICATION = Specification(
    name="configuration",
    bounds="three instances, two of them replaced, three versions, one cut",
    initial=State(),
    steps=steps,
    invariants={
        "never goes back": lambda s: not s["went_back"],
        "a start is current": _start_is_current,
        "all end the same": lambda s: not s["diverged"],
    },
    mistakes={
        "takes what it is offered": "never goes back",
        "ready without its peers": "a start is current",
        "compares revisions only": "all end the same",
    },
)
