"""Brings failures about in real processes (``make faults``).

Each fault gets a deployment of its own with callers at work. What they were told is
then held against the ledgers of the targets.
"""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import random
import signal
import sys
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.client import Caller
from bergamotsaddle_standins.fleet import (
    MODEL,
    PIPELINE,
    Fleet,
    FleetSpec,
    get,
    post,
    wait_for,
)
from bergamotsaddle_standins.traffic import Traffic, audit

_BUDGET = 170.0
_WARM_UP = 1.0
_EFFECT_LIMIT = 3.0
_COLD_LIMIT = 2
_QUIET = 1.0
_STREAMS = 50
_TIMING = {"stop_notice": "500ms"}
_SHORT_COLD = {**_TIMING, "list_lag": "1s", "view_limit": "3s", "permit_lifetime": "2s"}
_TARGETS = tuple(
    spec._replace(cold_limit=_COLD_LIMIT)
    for spec in FleetSpec._field_defaults["targets"]
)
_TWO_MODELS = tuple(
    spec._replace(models=(MODEL, "chat-7b")) if spec.kind == "generate" else spec
    for spec in _TARGETS
)
_LONG_STREAMS = tuple(
    spec._replace(token_seconds=0.15) if spec.kind == "generate" else spec
    for spec in _TARGETS
)


class Effect(NamedTuple):
    """What a fault showed beside its audit.

    Attributes:
        seconds: How long it took to take effect; None if nothing was to.
        most_cold: Most calls at once at a cold target; None if none was cold.
        strict: Whether no request at all may be cut off.
    """

    seconds: float | None = None
    most_cold: int | None = None
    strict: bool = False


Fault = Callable[[Fleet, Traffic, random.Random], Effect]
FAULTS: dict[str, tuple[Fault, FleetSpec]] = {}


def fault(name: str, spec: FleetSpec) -> Callable[[Fault], Fault]:
    """Make a decorator that adds a fault with its deployment."""

    def add(function: Fault) -> Fault:
        FAULTS[name] = (function, spec)
        return function

    return add


@fault("fifty streams", FleetSpec(timing=_TIMING, zones=("mid-a", "mid-b")))
def fifty_streams(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """Fifty streams at once through two daemons, each byte as the engines sent it."""
    callers = [
        Caller(fleet.callers(name), fleet.keys["farm-managers"])
        for name in fleet.daemons
    ]
    body = {"stream": True, "max_tokens": 100}
    threads = [
        eventlet.spawn(
            callers[number % len(callers)].ask,
            f"/v1/pipelines/{PIPELINE}",
            {**body, "input": f"stream {number}"},
            headers={"X-Deadline": "30s"},
        )
        for number in range(_STREAMS)
    ]
    replies = [thread.wait() for thread in threads]
    sent: Counter[str] = Counter()
    for target in fleet.target_ports:
        sent.update(fleet.ledger(target)["tokens_by_request"])
    differing = [
        reply
        for reply in replies
        if not reply.whole or len(reply.text) != sent[reply.body["request"]]
    ]
    if differing:
        raise AssertionError(f"{len(differing)} of {_STREAMS} streams differ")
    return Effect(strict=True)


@fault("kill and replace", FleetSpec(timing=_TIMING, targets=_TARGETS))
def kill_and_replace(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A daemon is killed under load, twice, and replaced."""
    for _ in range(2):
        name = chance.choice(list(fleet.daemons))
        zone = name.removeprefix("entry-").rpartition("-")[0]
        fleet.daemons[name].kill()
        eventlet.sleep(1.0)
        fleet.start_daemon(name, zone).wait_listening()
        fleet.publish_instances()
        eventlet.sleep(2.0)
    return Effect()


@fault("freeze and wake", FleetSpec(timing=_TIMING, targets=_TARGETS))
def freeze_and_wake(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A daemon is paused under load and wakes up late."""
    process = fleet.daemons[chance.choice(list(fleet.daemons))]
    process.signal(signal.SIGSTOP)
    eventlet.sleep(4.0)
    process.signal(signal.SIGCONT)
    eventlet.sleep(2.0)
    return Effect()


@fault("planned stop", FleetSpec(timing=_TIMING, targets=_LONG_STREAMS))
def planned_stop(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A daemon is asked to stop while long streams and bookings run."""
    name = chance.choice(list(fleet.daemons))
    fleet.leaving.add(name)
    began = now()
    code = fleet.daemons[name].stop()
    seconds = now() - began
    if code != 0:
        raise AssertionError(f"{name} exited with {code}")
    del fleet.daemons[name]
    fleet.publish_instances()
    eventlet.sleep(1.0)
    return Effect(seconds=None if seconds > 30 else seconds, strict=True)


@fault("zone out and back", FleetSpec(timing=_TIMING, targets=_TARGETS))
def zone_out_and_back(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A zone is taken out under load and returns."""
    zone = chance.choice(fleet.spec.zones)
    fleet.zone_states[zone] = "out"
    fleet.publish_declaration()
    inside = [t for t, (_, where) in fleet.target_specs.items() if where == zone]
    seconds = _until_quiet(fleet, inside)
    fleet.zone_states[zone] = "in"
    fleet.publish_declaration()
    before = _calls(fleet, inside)
    wait_for(lambda: _calls(fleet, inside) > before, "work in the returned zone")
    eventlet.sleep(1.0)
    return Effect(seconds=seconds, strict=True)


@fault("leaving target", FleetSpec(timing=_TIMING, targets=_TARGETS, list_lag=0.5))
def leaving_target(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A target leaves, which the lagging list tells."""
    target = f"engine-{chance.choice(fleet.spec.zones)}"
    fleet.leaving.add(target)
    fleet.publish_instances()
    return Effect(seconds=_until_quiet(fleet, [target]), strict=True)


@fault("cold engines", FleetSpec(timing=_SHORT_COLD, targets=_TARGETS, daemons=2))
def cold_engines(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """Every engine turns cold; then a daemon is killed, and the list follows."""
    engines = [t for t in fleet.target_ports if t.startswith("engine")]
    for engine in engines:
        fleet.control_target(engine, cold=True)
    eventlet.sleep(1.5)
    before = {e: fleet.ledger(e)["runs_by_request"] for e in engines}
    for engine in engines:
        fleet.control_target(engine, reset=True)
    eventlet.sleep(5.0)
    name = chance.choice(list(fleet.daemons))
    fleet.daemons.pop(name).kill()
    fleet.publish_instances()
    eventlet.sleep(7.0)
    most = max(fleet.ledger(engine)["most_cold"] for engine in engines)
    served = sum(
        len(fleet.ledger(e)["runs_by_request"]) > len(before[e]) for e in engines
    )
    if not served:
        raise AssertionError("no cold engine was used at all")
    for engine in engines:
        fleet.control_target(engine, cold=False)
    eventlet.sleep(2.0)
    return Effect(most_cold=most)


@fault("lost answers", FleetSpec(timing=_TIMING, targets=_TARGETS))
def lost_answers(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """The orders services take orders and lose some answers."""
    for target in fleet.target_ports:
        if target.startswith("orders"):
            fleet.control_target(target, lose_answers=0.3)
    eventlet.sleep(4.0)
    return Effect()


@fault("crossed and failing", FleetSpec(timing=_TIMING, targets=_TARGETS))
def crossed_and_failing(
    fleet: Fleet, traffic: Traffic, chance: random.Random
) -> Effect:
    """Some answers name another request, some calls fail, an engine cuts streams."""
    cutting = f"engine-{chance.choice(fleet.spec.zones)}"
    fleet.control_target(cutting, cut_after=7, repeat=2)
    for target, (spec, _) in fleet.target_specs.items():
        if spec.kind not in ("generate", "orders"):
            fleet.control_target(target, crossed=0.03, fail=0.03)
    eventlet.sleep(4.0)
    return Effect()


@fault("stale service", FleetSpec(timing=_TIMING, targets=_TARGETS))
def stale_service(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A change is made; then the service is stale and a daemon is replaced."""
    old = fleet.declaration()
    began = now()
    fleet.publish_declaration()
    wait_for(lambda: _all_have(fleet, fleet.revision), "the change in force")
    seconds = now() - began
    fleet.control("config", publish=old)
    name = chance.choice(list(fleet.daemons))
    zone = name.removeprefix("entry-").rpartition("-")[0]
    fleet.daemons[name].kill()
    process = fleet.start_daemon(name, zone)
    process.wait_listening()
    fleet.publish_instances()
    wait_for(lambda: get(fleet.callers(name), "/ready")["ready"], "the new daemon")
    if not _all_have(fleet, fleet.revision):
        raise AssertionError("a replaced daemon serves by an old declaration")
    fleet.control("config", down=True)
    eventlet.sleep(2.0)
    if not _all_have(fleet, fleet.revision):
        raise AssertionError("a declaration went back")
    return Effect(seconds=seconds)


@fault("silent target", FleetSpec(timing=_TIMING, targets=_TARGETS))
def silent_target(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A reranker takes calls and never answers."""
    zone = chance.choice(fleet.spec.zones)
    fleet.control_target(f"rerank-{zone}", silent=True)
    eventlet.sleep(4.0)
    return Effect()


@fault("cut off", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True))
def cut_off(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A daemon is cut off from its peers while a zone is taken out, and mended."""
    name = chance.choice(list(fleet.daemons))
    fleet.cut_off(name, cut=True)
    eventlet.sleep(3.0)
    zone = chance.choice(fleet.spec.zones)
    fleet.zone_states[zone] = "out"
    fleet.publish_declaration()
    inside = [t for t, (_, where) in fleet.target_specs.items() if where == zone]
    seconds = _until_quiet(fleet, inside)
    fleet.cut_off(name, cut=False)
    wait_for(lambda: _all_hear(fleet), "everybody to hear everybody")
    eventlet.sleep(1.0)
    return Effect(seconds=seconds)


@fault("one way cut", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True))
def one_way_cut(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """A daemon is heard by its peers and hears nothing of them."""
    name = chance.choice(list(fleet.daemons))
    fleet.control_relay(name, cut=True)
    eventlet.sleep(4.0)
    fleet.control_relay(name, cut=False)
    wait_for(lambda: _all_hear(fleet), "everybody to hear everybody")
    return Effect()


@fault("silent connections", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True))
def silent_connections(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """Connections between daemons go silent for good while new ones work."""
    for _ in range(3):
        for name in fleet.daemons:
            fleet.control_relay(name, silence=True)
        eventlet.sleep(1.5)
    return Effect()


@fault("placement", FleetSpec(timing=_SHORT_COLD, targets=_TWO_MODELS))
def placement(fleet: Fleet, traffic: Traffic, chance: random.Random) -> Effect:
    """Every engine starts with one model and another is wanted too."""
    engines = [t for t in fleet.target_ports if t.startswith("engine")]

    def holds_both() -> bool:
        held = [fleet.loaded(engine) for engine in engines]
        return {model for models in held for model in models} == {MODEL, "chat-7b"}

    seconds = wait_for(holds_both, "both models to be loaded")
    eventlet.sleep(1.0)
    moved = [e for e in engines if "chat-7b" in fleet.loaded(e)]
    order = {"action": "unload", "model": MODEL, "fencing": 1}
    try:
        post(fleet.target_ports[moved[0]], "/v1/orders", order)
    except OSError:
        return Effect(seconds=seconds, strict=True)
    raise AssertionError("an engine obeyed an old fencing number")


def run(name: str, seed: int) -> bool:
    """Bring one fault about; returns whether everything held."""
    function, spec = FAULTS[name]
    with Fleet(spec) as fleet:
        traffic = Traffic(fleet, seed)
        traffic.start()
        eventlet.sleep(_WARM_UP)
        trouble = ""
        effect = Effect()
        try:
            effect = function(fleet, traffic, random.Random(seed))
        except (AssertionError, TimeoutError) as error:
            trouble = str(error)
        traffic.stop()
        found = audit(fleet, traffic)
    held = not trouble and not (found.doubled or found.lost or found.false_not_run)
    held = held and not (effect.strict and found.cut)
    held = held and (effect.most_cold or 0) <= _COLD_LIMIT
    seconds = "" if effect.seconds is None else f"{effect.seconds:.1f}"
    cold = "" if effect.most_cold is None else str(effect.most_cold)
    row = [*(str(value) for value in found), cold, seconds]
    _say(name, row, ("" if held else "FAILED ") + trouble)
    return held


def _until_quiet(fleet: Fleet, targets: list[str]) -> float:
    """Seconds until the last call arrived at some targets."""
    began = now()
    last = began
    calls = _calls(fleet, targets)
    while now() - last < _QUIET:
        eventlet.sleep(0.05)
        now_calls = _calls(fleet, targets)
        if now_calls != calls:
            calls, last = now_calls, now()
        if last - began > _EFFECT_LIMIT:
            raise AssertionError(f"new work after {_EFFECT_LIMIT} s")
    return last - began


def _calls(fleet: Fleet, targets: list[str]) -> int:
    return sum(fleet.ledger(target)["calls"] for target in targets)


def _all_have(fleet: Fleet, revision: int) -> bool:
    return all(fleet.status(d)["revision"] == revision for d in fleet.daemons)


def _all_hear(fleet: Fleet) -> bool:
    peers = [peer for name in fleet.daemons for peer in fleet.status(name)["peers"]]
    return all(peer["alive"] for peer in peers)


def _say(name: str, row: list[str], remark: str) -> None:
    cells = "".join(f"{cell:>10}" for cell in row)
    sys.stdout.write(f"{name:<20}{cells}  {remark}\n")
    sys.stdout.flush()


def main() -> int:
    """Run every fault, or those named; ``--seed N`` sets the seed."""
    arguments = sys.argv[1:]
    seed = 1
    if "--seed" in arguments:
        place = arguments.index("--seed")
        seed = int(arguments[place + 1])
        del arguments[place : place + 2]
    names = arguments or list(FAULTS)
    headers = ["requests", "whole", "refused", "cut", "doubled", "lost", "false n.r."]
    _say(f"seed {seed}", [*headers, "most cold", "seconds"], "")
    began = now()
    results = []
    for name in names:
        if now() - began > _BUDGET:
            _say(name, ["not run"], "")
            results.append(False)
            continue
        results.append(run(name, seed))
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
