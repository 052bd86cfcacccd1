"""Specifies how a stream goes on only at the software version that began it.

There is one stream. An instance begins it at one of two versions, tells a backup, and
sends its caller the first event. The backup's message may be lost or late. Instances
are killed, one or all of them, and start again; the network between them is cut and
heals; one of them is cut off from the store and lists it anew; versions leave, and the
store discards its history. The caller takes the stream up at any instance, which asks
the others in reach.
"""

from typing import NamedTuple

from model.specification import Specification, Steps, put

INSTANCES = (0, 1, 2)
BACKUP_BY_INSTANCE = (1, 2, 0)
VERSIONS = (1, 2)
UNKNOWN = 0
MAX_TAKES = 2
MAX_KILLS = 2
MAX_CUTS = 1


class State(NamedTuple):
    """State of the stream, of the instances and of the network.

    Attributes:
        serving: Versions that have targets.
        seen: Versions that each instance has seen since it started.
        has_history: Whether each instance knows all versions that have served.
        began: Version that sent the first event, 0 before it.
        known: Version that began the stream as each instance knows it.
        message: Receiver of the message to a backup that is on its way, -1 for none.
        events: Versions whose events the caller has.
        is_open: Whether the caller's connection to an instance is open.
        takes: How often the caller took the stream up.
        kills: How many instances were killed.
        cut: Instance that is cut off from the others, -1 for none.
        cuts: How many cuts there were.
        stale: Instance that is cut off from the store only, -1 for none.
        left: Versions that have left, by the store's history.
        is_discarded: Whether the store has discarded a part of it.
    """

    serving: frozenset = frozenset({1})
    seen: tuple = (frozenset({1}),) * len(INSTANCES)
    has_history: tuple = (True,) * len(INSTANCES)
    began: int = UNKNOWN
    known: tuple = (UNKNOWN,) * len(INSTANCES)
    message: int = -1
    events: frozenset = frozenset()
    is_open: bool = False
    takes: int = 0
    kills: int = 0
    cut: int = -1
    cuts: int = 0
    stale: int = -1
    left: frozenset = frozenset()
    is_discarded: bool = False


def steps(state: State, mistake: str) -> Steps:
    """Yield all next states."""
    yield from _versions(state)
    yield from _network(state, mistake)
    yield from _store(state, mistake)
    for instance in INSTANCES:
        if not state.began:
            for version in sorted(state.serving & state.seen[instance]):
                yield f"begin {instance} {version}", _begin(state, instance, version)
        if state.kills < MAX_KILLS:
            yield f"kill {instance}", _kill(state, instance, mistake)
        if state.began and not state.is_open and state.takes < MAX_TAKES:
            yield from _take_up(state, instance, mistake)
    if state.kills < MAX_KILLS:
        yield "kill all", _kill_all(state, -1, mistake)
        for survivor in INSTANCES:
            yield f"kill all but {survivor}", _kill_all(state, survivor, mistake)
    if state.is_open:
        yield "break", state._replace(is_open=False)


def _versions(state: State) -> Steps:
    for version in VERSIONS:
        if version not in state.serving:
            yield f"start {version}", _start(state, version)
        elif len(state.serving) > 1:
            yield (
                f"leave {version}",
                state._replace(
                    serving=state.serving - {version}, left=state.left | {version}
                ),
            )


def _start(state: State, version: int) -> State:
    """Start a target of a version, which instances that are not cut off see."""
    seen = tuple(
        versions if instance in (state.cut, state.stale) else versions | {version}
        for instance, versions in enumerate(state.seen)
    )
    return state._replace(serving=state.serving | {version}, seen=seen)


def _network(state: State, mistake: str) -> Steps:
    if state.message >= 0:
        receiver = state.message
        yield "lose", state._replace(message=-1)
        if state.cut < 0:
            known = put(state.known, receiver, state.began)
            yield "deliver", state._replace(message=-1, known=known)
    if state.cut >= 0:
        yield "heal", _list_anew(state._replace(cut=-1), state.cut, mistake)
    elif state.cuts < MAX_CUTS:
        for instance in INSTANCES:
            yield f"cut {instance}", state._replace(cut=instance, cuts=state.cuts + 1)


def _store(state: State, mistake: str) -> Steps:
    if state.left and not state.is_discarded:
        yield "discard", state._replace(left=frozenset(), is_discarded=True)
    if state.stale >= 0:
        healed = state._replace(stale=-1)
        yield "list anew", _list_anew(healed, state.stale, mistake)
    elif state.cuts < MAX_CUTS:
        for instance in INSTANCES:
            yield (
                f"cut {instance} off the store",
                state._replace(stale=instance, cuts=state.cuts + 1),
            )


def _list_anew(state: State, instance: int, mistake: str) -> State:
    """Let an instance list the store behind a cut; it has missed what came and went."""
    peers = _teachers(state, instance, mistake)
    seen = state.seen[instance].union(
        state.serving, *(state.seen[peer] for peer in peers)
    )
    has_history = state.has_history[instance]
    if mistake != "forgets its cut":
        has_history = bool(peers) or not state.is_discarded
        seen |= state.left
    return state._replace(
        seen=put(state.seen, instance, seen),
        has_history=put(state.has_history, instance, has_history),
    )


def _teachers(state: State, instance: int, mistake: str) -> list[int]:
    """Return the instances in reach that vouch for the versions of the past."""
    return [
        peer
        for peer in _reach(state, instance)
        if state.has_history[peer]
        and (peer != state.stale or mistake == "vouches behind a cut")
    ]


def _begin(state: State, instance: int, version: int) -> State:
    return state._replace(
        began=version,
        known=put(state.known, instance, version),
        message=BACKUP_BY_INSTANCE[instance],
        events=frozenset({version}),
        is_open=True,
    )


def _kill(state: State, instance: int, mistake: str) -> State:
    """Kill an instance, which starts again and knows only what serves now.

    It has the history again once it agrees with another instance that has it.
    """
    peers = _teachers(state, instance, mistake)
    seen = state.serving.union(*(state.seen[peer] for peer in peers))
    has_history = bool(peers)
    # A message to it that is on its way is lost with it.
    message = -1 if state.message == instance else state.message
    return state._replace(
        kills=state.kills + 1,
        known=put(state.known, instance, UNKNOWN),
        seen=put(state.seen, instance, seen),
        has_history=put(state.has_history, instance, has_history),
        message=message,
        is_open=False,
        stale=-1 if state.stale == instance else state.stale,
    )


def _kill_all(state: State, survivor: int, mistake: str) -> State:
    """Kill all instances at once, or all but one.

    After that the store knows what served, as far as it has its history, and the one
    that has survived if it was not cut off.
    """
    survives = [instance == survivor for instance in INSTANCES]
    seen = state.serving | state.left
    has_history = not state.is_discarded or mistake == "trusts a short history"
    if mistake == "trusts what serves now":
        seen, has_history = state.serving, True
    if survivor in _teachers(state, INSTANCES[survivor - 1], mistake):
        seen |= state.seen[survivor]
        has_history = True

    def put_all(values: tuple, value: object) -> tuple:
        return tuple(
            kept if survives[instance] else value
            for instance, kept in enumerate(values)
        )

    return state._replace(
        kills=state.kills + 1,
        known=put_all(state.known, UNKNOWN),
        seen=put_all(state.seen, seen),
        has_history=put_all(state.has_history, has_history),
        message=-1,
        is_open=False,
        stale=state.stale if state.stale == survivor else -1,
    )


def _reach(state: State, instance: int) -> list[int]:
    """Return the other instances that an instance reaches."""
    if state.cut == instance:
        return []
    return [i for i in INSTANCES if i not in (instance, state.cut)]


def _take_up(state: State, instance: int, mistake: str) -> Steps:
    """Take the stream up at an instance; nothing follows if it refuses."""
    taken = state._replace(takes=state.takes + 1)
    for version in _choose_versions(state, instance, mistake):
        if version in state.serving:
            yield (
                f"take up {instance} {version}",
                taken._replace(
                    known=put(state.known, instance, version),
                    events=state.events | {version},
                    is_open=True,
                ),
            )


def _choose_versions(state: State, instance: int, mistake: str) -> set[int]:
    """Return the versions at which an instance may go on with the stream."""
    holders = (instance, *_reach(state, instance))
    origins = {state.known[holder] for holder in holders} - {UNKNOWN}
    if origins:
        return origins
    if mistake == "goes on anywhere":
        return set(state.serving)
    sole = state.seen[instance]
    is_cut_off = instance in (state.cut, state.stale)
    is_current = not is_cut_off or mistake == "trusts an old view"
    if is_current and state.has_history[instance] and len(sole) == 1:
        return set(sole)
    return set()


SPECIFICATION = Specification(
    name="versions of streams",
    bounds="three instances, two versions, two takes, two kills, one cut",
    initial=State(),
    steps=steps,
    invariants={
        "no stream of two versions": lambda state: len(state["events"]) <= 1,
    },
    mistakes={
        "goes on anywhere": "no stream of two versions",
        "trusts what serves now": "no stream of two versions",
        "trusts an old view": "no stream of two versions",
        "trusts a short history": "no stream of two versions",
        "vouches behind a cut": "no stream of two versions",
        "forgets its cut": "no stream of two versions",
    },
)
