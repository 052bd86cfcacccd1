"""Compares the routing policies with simple baselines (``make bench``)."""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import statistics
import sys
from collections.abc import Callable
from typing import NamedTuple

import eventlet
import msgspec

from bergamotsaddle_standins.fleet import Fleet, FleetSpec
from bergamotsaddle_standins.load import Load, LoadSpec, TeamResult, calls_per_stage
from bergamotsaddle_standins.targets import TargetSpec

SEEDS = (1, 2)
SECONDS = 6.0
DEADLINE = 1.0
TOKENS = 8
_SLOTS = 4
_FIRST_TOKEN_S = 0.08
_TOKEN_S = 0.01
_ENGINES = 3
CAPACITY = _ENGINES * _SLOTS / (_FIRST_TOKEN_S + TOKENS * _TOKEN_S)
_TARGETS = (
    TargetSpec("encode-{zone}", "encode", slots=16, seconds=0.01),
    TargetSpec("retrieve-{zone}", "retrieve", slots=16, seconds=0.02),
    TargetSpec("rerank-{zone}", "rerank", slots=16, seconds=0.02),
    TargetSpec("engine-{zone}", "generate", _SLOTS, _FIRST_TOKEN_S, _TOKEN_S),
)
POLICIES = {
    "product": {},
    "baseline": {"routing": "round_robin", "limit": "unlimited", "admission": "none"},
    "declared": {"routing": "round_robin", "limit": "declared", "admission": "none"},
}
_STEADY_TEAMS = ("farm-managers", "skippers")


class Scenario(NamedTuple):
    """A load and a disturbance to run the policies under.

    Attributes:
        rate: Arrival rate as a fraction of the capacity.
        disturb: Called with the fleet while requests arrive.
        flood: Additional arrival rate of one team, as a fraction of the capacity.
    """

    rate: float
    disturb: Callable[[Fleet], None] = lambda fleet: None
    flood: float = 0.0


class Row(NamedTuple):
    """Results of one run of a scenario."""

    scenario: str
    policy: str
    seed: int
    attainment: float
    goodput: float
    others: float
    p95_ms: float
    refused_p95_ms: float
    calls_a_stage: float
    refusals: dict[str, int]


def _slow_engine(fleet: Fleet) -> None:
    fleet.control_target("engine-mid-a", slow=10.0)


def _fail_reranker(fleet: Fleet) -> None:
    fleet.control_target("rerank-mid-b", fail=1.0)


def _turn_cold(fleet: Fleet) -> None:
    eventlet.sleep(SECONDS / 3)
    fleet.control_target("engine-mid-c", cold=True)


def _drain_and_restore_zone(fleet: Fleet) -> None:
    for state in ("out", "in"):
        eventlet.sleep(SECONDS / 3)
        fleet.zone_states["mid-a"] = state
        fleet.publish_declaration()


SCENARIOS = {
    "steady": Scenario(0.6),
    "overload": Scenario(2.0),
    "slow engine": Scenario(0.45, _slow_engine),
    "failing": Scenario(0.5, _fail_reranker),
    "turns cold": Scenario(0.5, _turn_cold),
    "zone out, back": Scenario(0.5, _drain_and_restore_zone),
    "flood": Scenario(0.3, flood=1.7),
}


def run_scenario(name: str, policy: str, seed: int) -> Row:
    """Run a scenario once under a policy and return its results."""
    scenario = SCENARIOS[name]
    spec = FleetSpec(targets=_TARGETS, policies=POLICIES[policy])
    base = scenario.rate * CAPACITY
    rates = {"barge-crews": base / 2, "farm-managers": base / 4, "skippers": base / 4}
    rates["barge-crews"] += scenario.flood * CAPACITY
    with Fleet(spec) as fleet:
        warm = {team: 0.3 * CAPACITY / len(rates) for team in rates}
        Load(fleet, LoadSpec(warm, 2.0, DEADLINE, TOKENS), seed).run()
        load = Load(fleet, LoadSpec(rates, SECONDS, DEADLINE, TOKENS), seed)
        disturbance = eventlet.spawn(scenario.disturb, fleet)
        results = load.run()
        disturbance.wait()
        calls = calls_per_stage(fleet)
    return _make_row(name, policy, seed, results, calls)


def _make_row(
    name: str, policy: str, seed: int, results: dict[str, TeamResult], calls: float
) -> Row:
    requests = sum(result.requests for result in results.values())
    in_time = sum(result.in_time for result in results.values())
    others = [results[team] for team in _STEADY_TEAMS]
    refusals: dict[str, int] = {}
    for result in results.values():
        for kind, count in result.refusals.items():
            refusals[kind] = refusals.get(kind, 0) + count
    return Row(
        name,
        policy,
        seed,
        in_time / max(1, requests),
        in_time / SECONDS / CAPACITY,
        sum(r.in_time for r in others) / max(1, sum(r.requests for r in others)),
        max(result.p95_ms for result in results.values()),
        max(result.refused_p95_ms for result in results.values()),
        calls,
        refusals,
    )


def print_results(rows: list[Row]) -> None:
    """Print the rows of one scenario and the ratio to the best baseline."""
    for row in rows:
        figures = (
            f"{row.attainment:11.3f}{row.goodput:9.2f}{row.others:8.3f}"
            f"{row.p95_ms:8.0f}{row.refused_p95_ms:9.0f}{row.calls_a_stage:8.2f}"
        )
        _print_line(
            f"{row.scenario:<16}{row.policy:<10}{row.seed:>4}{figures}  {row.refusals}"
        )
    by_policy = {
        policy: [row.attainment for row in rows if row.policy == policy]
        for policy in POLICIES
    }
    medians = {policy: statistics.median(v) for policy, v in by_policy.items() if v}
    best = max((m for p, m in medians.items() if p != "product"), default=0.0)
    spread = max(by_policy["product"]) - min(by_policy["product"])
    ratio = medians["product"] / best if best else float("inf")
    _print_line(f"{'':<16}product / best baseline {ratio:.2f}, spread {spread:.3f}")


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")
    sys.stdout.flush()


def main() -> int:
    """Run the named scenarios, or all; ``--json`` prints JSON lines instead."""
    arguments = sys.argv[1:]
    as_json = "--json" in arguments
    names = [a for a in arguments if not a.startswith("--")] or list(SCENARIOS)
    if not as_json:
        _print_line(f"capacity {CAPACITY:.0f} requests/s, deadline {DEADLINE} s")
        _print_line(
            f"{'scenario':<16}{'policy':<10}seed attainment  goodput  others"
            "  p95 ms  ref. ms calls/st"
        )
    for name in names:
        rows = [
            run_scenario(name, policy, seed) for seed in SEEDS for policy in POLICIES
        ]
        if as_json:
            for row in rows:
                _print_line(msgspec.json.encode(row._asdict()).decode())
            continue
        print_results(rows)
    return 0


if __name__ == "__main__":
    sys.exit(main())
