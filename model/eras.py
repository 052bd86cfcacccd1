"""Specifies how instances order what a store says that comes back from copies.

There is one entry, whose versions rise, and another one that only uses up revisions.
The store may be copied at any time and come back from its last copy; its era rises
then, and what it lost is written again later. Two instances read the store whenever
they like and ask each other.
"""

from itertools import permutations
from typing import NamedTuple

from model.specification import Specification, Steps, put

MAX_ERA = 3
MAX_REVISION = 3
MAX_VERSION = 2
INSTANCES = (0, 1)


class Entry(NamedTuple):
    """A version of the entry, and the place of its last change.

    Attributes:
        era: Era in which it was read.
        revision: Revision of the change.
        version: Version that the value names.
    """

    era: int = 1
    revision: int = 0
    version: int = 0


class Store(NamedTuple):
    """What the store holds.

    Attributes:
        era: Its era.
        revision: Its revision.
        entry: The entry.
    """

    era: int = 1
    revision: int = 0
    entry: Entry = Entry()


class State(NamedTuple):
    """State of the store and of the instances.

    Attributes:
        wanted: Version that the writer wrote last.
        store: What the store holds.
        copy: The last copy of the store.
        positions: Era and revision up to which each instance is complete.
        known: Version of the entry in force at each instance.
        told: Highest version that each instance has been told.
        is_current: Whether each instance has read the store since its last change.
    """

    wanted: int = 0
    store: Store = Store()
    copy: Store = Store()
    positions: tuple = ((1, 0),) * len(INSTANCES)
    known: tuple = (Entry(),) * len(INSTANCES)
    told: tuple = (0,) * len(INSTANCES)
    is_current: tuple = (True,) * len(INSTANCES)


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    store = state.store
    if store.revision < MAX_REVISION:
        if state.wanted < MAX_VERSION:
            written = state._replace(wanted=state.wanted + 1)
            yield "publish", _write(written)
        if store.entry.version != state.wanted:
            yield "write_again", _write(state)
        yield "write_another", _change(state, store._replace(revision=_next(store)))
    yield "copy", state._replace(copy=store)
    if store.era < MAX_ERA:
        yield "restore", _restore(state)
    for instance in INSTANCES:
        yield f"read {instance}", _read(state, instance, mistake)
    for asker, peer in permutations(INSTANCES, 2):
        yield f"ask {asker} {peer}", _ask(state, asker, peer, mistake)


def _next(store: Store) -> int:
    return store.revision + 1


def _write(state: State) -> State:
    store = state.store
    entry = Entry(store.era, _next(store), state.wanted)
    return _change(state, Store(store.era, _next(store), entry))


def _restore(state: State) -> State:
    era, copy = state.store.era + 1, state.copy
    entry = copy.entry._replace(era=era)
    return _change(state, Store(era, copy.revision, entry))


def _change(state: State, store: Store) -> State:
    return state._replace(store=store, is_current=(False,) * len(INSTANCES))


def _read(state: State, instance: int, mistake: str) -> State:
    store, position = state.store, state.positions[instance]
    is_listed = store.era > position[0]
    if mistake == "orders by revision only":
        # A watch that gets 410 is followed by a list, which does not go back.
        is_listed = store.revision < position[1]
        store = store._replace(revision=max(store.revision, position[1]))
    read = state._replace(
        positions=put(state.positions, instance, (store.era, store.revision)),
        is_current=put(state.is_current, instance, True),
    )
    if not is_listed and store.entry.revision <= position[1]:
        return read
    return _tell(read, instance, store.entry, mistake)


def _ask(state: State, asker: int, peer: int, mistake: str) -> State:
    """Have an instance ask another one that is not in an earlier era."""
    if state.positions[peer][0] < state.positions[asker][0]:
        return state
    return _tell(state, asker, state.known[peer], mistake)


def _tell(state: State, instance: int, entry: Entry, mistake: str) -> State:
    told = max(state.told[instance], entry.version)
    state = state._replace(told=put(state.told, instance, told))
    if not _supersedes(entry, state.known[instance], mistake):
        return state
    return state._replace(known=put(state.known, instance, entry))


def _supersedes(entry: Entry, known: Entry, mistake: str) -> bool:
    if mistake == "orders by revision only":
        return entry.revision > known.revision
    if mistake == "takes what the copy has" or entry.era == known.era:
        return entry[:2] > known[:2]
    if entry.era > known.era:
        return entry.version >= known.version
    return entry.version > known.version


def _keeps_what_it_was_told(state: dict) -> bool:
    rows = zip(state["known"], state["told"], strict=True)
    return all(known.version >= told for known, told in rows)


def _is_in_force(state: dict) -> bool:
    is_written = state["store"].entry.version == state["wanted"]
    rows = zip(state["known"], state["is_current"], strict=True)
    return not is_written or all(
        known.version == state["wanted"] for known, is_current in rows if is_current
    )


SPECIFICATION = Specification(
    name="eras of the store",
    bounds="two instances, two versions, three revisions, three eras",
    initial=State(),
    steps=steps,
    invariants={
        "takes nothing back": _keeps_what_it_was_told,
        "what is written is in force": _is_in_force,
    },
    mistakes={
        "takes what the copy has": "takes nothing back",
        "orders by revision only": "what is written is in force",
    },
)
