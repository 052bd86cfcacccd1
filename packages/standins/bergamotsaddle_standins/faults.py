"""Injects faults into real processes and audits the outcome (``make faults``).

Each fault runs in a deployment of its own under load. What the callers were told is
then compared with the ledgers of the targets.
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

_TIME_BUDGET_S = 170.0
_WARM_UP_S = 1.0
_MAX_EFFECT_S = 3.0
_COLD_LIMIT = 2
_QUIET_S = 1.0
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
    """What was observed of a fault beside its audit.

    Attributes:
        seconds: Seconds until the change took effect, or None if that was not
            measured.
        max_cold_calls: Highest number of concurrent calls at a cold target, or None
            if no target was cold.
        strict: Whether the fault fails if any request was cut off.
    """

    seconds: float | None = None
    max_cold_calls: int | None = None
    strict: bool = False


Fault = Callable[[Fleet, Traffic, random.Random], Effect]
FAULTS: dict[str, tuple[Fault, FleetSpec]] = {}


def register_fault(name: str, spec: FleetSpec) -> Callable[[Fault], Fault]:
    """Return a decorator that registers a fault with its deployment."""

    def add(function: Fault) -> Fault:
        FAULTS[name] = (function, spec)
        return function

    return add


@register_fault("fifty streams", FleetSpec(timing=_TIMING, zones=("mid-a", "mid-b")))
def fifty_streams(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Run fifty streams through two daemons; each must match what engines sent."""
    callers = [
        Caller(fleet.caller_address(name), fleet.keys["farm-managers"])
        for name in fleet.daemons
    ]
    body = {"stream": True, "max_tokens": 100}
    threads = [
        eventlet.spawn(
            callers[number % len(callers)].post,
            f"/v1/pipelines/{PIPELINE}",
            {**body, "input": f"stream {number}"},
            headers={"X-Deadline": "30s"},
        )
        for number in range(_STREAMS)
    ]
    replies = [thread.wait() for thread in threads]
    sent: Counter[str] = Counter()
    for target in fleet.target_ports:
        sent.update(fleet.read_ledger(target)["tokens_by_request"])
    differing = [
        reply
        for reply in replies
        if not reply.is_complete or len(reply.text) != sent[reply.body["request"]]
    ]
    if differing:
        raise AssertionError(f"{len(differing)} of {_STREAMS} streams differ")
    return Effect(strict=True)


@register_fault("kill and replace", FleetSpec(timing=_TIMING, targets=_TARGETS))
def kill_and_replace(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Kill a daemon under load and replace it, twice."""
    for _ in range(2):
        name = rng.choice(list(fleet.daemons))
        zone = name.removeprefix("entry-").rpartition("-")[0]
        fleet.daemons[name].kill()
        eventlet.sleep(1.0)
        fleet.start_daemon(name, zone).wait_listening()
        fleet.publish_instances()
        eventlet.sleep(2.0)
    return Effect()


@register_fault("freeze and wake", FleetSpec(timing=_TIMING, targets=_TARGETS))
def freeze_and_wake(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Pause a daemon under load and resume it after a few seconds."""
    process = fleet.daemons[rng.choice(list(fleet.daemons))]
    process.signal(signal.SIGSTOP)
    eventlet.sleep(4.0)
    process.signal(signal.SIGCONT)
    eventlet.sleep(2.0)
    return Effect()


@register_fault("planned stop", FleetSpec(timing=_TIMING, targets=_LONG_STREAMS))
def planned_stop(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Stop a daemon gracefully while long streams and bookings run."""
    name = rng.choice(list(fleet.daemons))
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


@register_fault("zone out and back", FleetSpec(timing=_TIMING, targets=_TARGETS))
def zone_out_and_back(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Take a zone out of service under load and put it back."""
    zone = rng.choice(fleet.spec.zones)
    fleet.zone_states[zone] = "out"
    fleet.publish_declaration()
    inside = [t for t, (_, where) in fleet.target_specs.items() if where == zone]
    seconds = _measure_time_to_quiet(fleet, inside)
    fleet.zone_states[zone] = "in"
    fleet.publish_declaration()
    before = _count_calls(fleet, inside)
    wait_for(lambda: _count_calls(fleet, inside) > before, "work in the returned zone")
    eventlet.sleep(1.0)
    return Effect(seconds=seconds, strict=True)


@register_fault(
    "leaving target", FleetSpec(timing=_TIMING, targets=_TARGETS, list_lag=0.5)
)
def leaving_target(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Mark a target as leaving in an instance list that lags."""
    target = f"engine-{rng.choice(fleet.spec.zones)}"
    fleet.leaving.add(target)
    fleet.publish_instances()
    return Effect(seconds=_measure_time_to_quiet(fleet, [target]), strict=True)


@register_fault(
    "cold engines", FleetSpec(timing=_SHORT_COLD, targets=_TARGETS, daemons=2)
)
def cold_engines(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Make every engine cold, then kill a daemon and publish the new instance list."""
    engines = [t for t in fleet.target_ports if t.startswith("engine")]
    for engine in engines:
        fleet.control_target(engine, cold=True)
    eventlet.sleep(1.5)
    before = {e: fleet.read_ledger(e)["runs_by_request"] for e in engines}
    for engine in engines:
        fleet.control_target(engine, reset=True)
    eventlet.sleep(5.0)
    name = rng.choice(list(fleet.daemons))
    fleet.daemons.pop(name).kill()
    fleet.publish_instances()
    eventlet.sleep(7.0)
    most = max(fleet.read_ledger(engine)["most_cold"] for engine in engines)
    served = sum(
        len(fleet.read_ledger(e)["runs_by_request"]) > len(before[e]) for e in engines
    )
    if not served:
        raise AssertionError("no cold engine was used at all")
    for engine in engines:
        fleet.control_target(engine, cold=False)
    eventlet.sleep(2.0)
    return Effect(max_cold_calls=most)


@register_fault("lost answers", FleetSpec(timing=_TIMING, targets=_TARGETS))
def lost_answers(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Have the orders services accept orders and drop some of the responses."""
    for target in fleet.target_ports:
        if target.startswith("orders"):
            fleet.control_target(target, lose_answers=0.3)
    eventlet.sleep(4.0)
    return Effect()


@register_fault("crossed and failing", FleetSpec(timing=_TIMING, targets=_TARGETS))
def crossed_and_failing(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Mix up responses, fail calls and have one engine cut its streams."""
    cutting = f"engine-{rng.choice(fleet.spec.zones)}"
    fleet.control_target(cutting, cut_after=7, repeat=2)
    for target, (spec, _) in fleet.target_specs.items():
        if spec.kind not in ("generate", "orders"):
            fleet.control_target(target, crossed=0.03, fail=0.03)
    eventlet.sleep(4.0)
    return Effect()


@register_fault("stale service", FleetSpec(timing=_TIMING, targets=_TARGETS))
def stale_service(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Publish a change, then serve the old declaration while a daemon is replaced."""
    old = fleet.declaration_text()
    began = now()
    fleet.publish_declaration()
    wait_for(lambda: _all_at_revision(fleet, fleet.revision), "the change in force")
    seconds = now() - began
    fleet.control("config", publish=old)
    name = rng.choice(list(fleet.daemons))
    zone = name.removeprefix("entry-").rpartition("-")[0]
    fleet.daemons[name].kill()
    process = fleet.start_daemon(name, zone)
    process.wait_listening()
    fleet.publish_instances()
    wait_for(
        lambda: get(fleet.caller_address(name), "/ready")["ready"], "the new daemon"
    )
    if not _all_at_revision(fleet, fleet.revision):
        raise AssertionError("a replaced daemon serves an old declaration")
    fleet.control("config", down=True)
    eventlet.sleep(2.0)
    if not _all_at_revision(fleet, fleet.revision):
        raise AssertionError("a daemon returned to an older declaration")
    return Effect(seconds=seconds)


@register_fault("silent target", FleetSpec(timing=_TIMING, targets=_TARGETS))
def silent_target(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Have a reranker accept calls and never respond."""
    zone = rng.choice(fleet.spec.zones)
    fleet.control_target(f"rerank-{zone}", silent=True)
    eventlet.sleep(4.0)
    return Effect()


@register_fault("cut off", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True))
def cut_off(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Partition a daemon from its peers while a zone is taken out of service."""
    name = rng.choice(list(fleet.daemons))
    fleet.partition_daemon(name, cut=True)
    eventlet.sleep(3.0)
    zone = rng.choice(fleet.spec.zones)
    fleet.zone_states[zone] = "out"
    fleet.publish_declaration()
    inside = [t for t, (_, where) in fleet.target_specs.items() if where == zone]
    seconds = _measure_time_to_quiet(fleet, inside)
    fleet.partition_daemon(name, cut=False)
    wait_for(lambda: _all_peers_alive(fleet), "all daemons to see each other alive")
    eventlet.sleep(1.0)
    return Effect(seconds=seconds)


@register_fault(
    "one way cut", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True)
)
def one_way_cut(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Drop the traffic from its peers to a daemon, while its own still passes."""
    name = rng.choice(list(fleet.daemons))
    fleet.control_relay(name, cut=True)
    eventlet.sleep(4.0)
    fleet.control_relay(name, cut=False)
    wait_for(lambda: _all_peers_alive(fleet), "all daemons to see each other alive")
    return Effect()


@register_fault(
    "silent connections", FleetSpec(timing=_TIMING, targets=_TARGETS, relayed=True)
)
def silent_connections(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Silence the open connections between daemons for good; new ones still work."""
    for _ in range(3):
        for name in fleet.daemons:
            fleet.control_relay(name, silence=True)
        eventlet.sleep(1.5)
    return Effect()


@register_fault("placement", FleetSpec(timing=_SHORT_COLD, targets=_TWO_MODELS))
def placement(fleet: Fleet, traffic: Traffic, rng: random.Random) -> Effect:
    """Start every engine with the same model while a second model is needed."""
    engines = [t for t in fleet.target_ports if t.startswith("engine")]

    def holds_both() -> bool:
        held = [fleet.read_loaded_models(engine) for engine in engines]
        return {model for models in held for model in models} == {MODEL, "chat-7b"}

    seconds = wait_for(holds_both, "both models to be loaded")
    eventlet.sleep(1.0)
    loaded = [e for e in engines if "chat-7b" in fleet.read_loaded_models(e)]
    order = {"action": "unload", "model": MODEL, "fencing": 1}
    try:
        post(fleet.target_ports[loaded[0]], "/v1/orders", order)
    except OSError:
        return Effect(seconds=seconds, strict=True)
    raise AssertionError("an engine obeyed an old fencing number")


def run_fault(name: str, seed: int) -> bool:
    """Run one fault and return whether all its checks passed."""
    function, spec = FAULTS[name]
    with Fleet(spec) as fleet:
        traffic = Traffic(fleet, seed)
        traffic.start()
        eventlet.sleep(_WARM_UP_S)
        failure = ""
        effect = Effect()
        try:
            effect = function(fleet, traffic, random.Random(seed))
        except (AssertionError, TimeoutError) as error:
            failure = str(error)
        traffic.stop()
        found = audit(fleet, traffic)
    passed = not failure and not (found.doubled or found.lost or found.false_not_run)
    passed = passed and not (effect.strict and found.cut)
    passed = passed and (effect.max_cold_calls or 0) <= _COLD_LIMIT
    seconds = "" if effect.seconds is None else f"{effect.seconds:.1f}"
    cold = "" if effect.max_cold_calls is None else str(effect.max_cold_calls)
    row = [*(str(value) for value in found), cold, seconds]
    _print_row(name, row, ("" if passed else "FAILED ") + failure)
    return passed


def _measure_time_to_quiet(fleet: Fleet, targets: list[str]) -> float:
    """Return the seconds until the targets received their last call."""
    began = now()
    last_call_at = began
    calls = _count_calls(fleet, targets)
    while now() - last_call_at < _QUIET_S:
        eventlet.sleep(0.05)
        new_calls = _count_calls(fleet, targets)
        if new_calls != calls:
            calls, last_call_at = new_calls, now()
        if last_call_at - began > _MAX_EFFECT_S:
            raise AssertionError(f"calls still arrived after {_MAX_EFFECT_S} s")
    return last_call_at - began


def _count_calls(fleet: Fleet, targets: list[str]) -> int:
    return sum(fleet.read_ledger(target)["calls"] for target in targets)


def _all_at_revision(fleet: Fleet, revision: int) -> bool:
    return all(fleet.read_status(d)["revision"] == revision for d in fleet.daemons)


def _all_peers_alive(fleet: Fleet) -> bool:
    peers = [
        peer for name in fleet.daemons for peer in fleet.read_status(name)["peers"]
    ]
    return all(peer["alive"] for peer in peers)


def _print_row(name: str, row: list[str], remark: str) -> None:
    cells = "".join(f"{cell:>10}" for cell in row)
    sys.stdout.write(f"{name:<20}{cells}  {remark}\n")
    sys.stdout.flush()


def main() -> int:
    """Run the named faults, or all; ``--seed N`` sets the seed."""
    arguments = sys.argv[1:]
    seed = 1
    if "--seed" in arguments:
        position = arguments.index("--seed")
        seed = int(arguments[position + 1])
        del arguments[position : position + 2]
    names = arguments or list(FAULTS)
    headers = ["requests", "whole", "refused", "cut", "doubled", "lost", "false n.r."]
    _print_row(f"seed {seed}", [*headers, "most cold", "seconds"], "")
    began = now()
    results = []
    for name in names:
        if now() - began > _TIME_BUDGET_S:
            _print_row(name, ["not run"], "")
            results.append(False)
            continue
        results.append(run_fault(name, seed))
    return 0 if all(results) else 1


if __name__ == "__main__":
    sys.exit(main())
