"""Checks every specification and every known mistake: ``python -m model``."""

import sys

from minicheck import Protocol, check_safety

from model import (
    configuration,
    eras,
    origins,
    parts,
    permits,
    placement,
    rates,
    requests,
    silence,
    tickets,
)
from model.specification import Specification

MAX_STATES = 3_000_000
SPECIFICATIONS = (
    tickets.SPECIFICATION,
    permits.TAKEOVER_SPECIFICATION,
    permits.SHARED_SPECIFICATION,
    configuration.SPECIFICATION,
    eras.SPECIFICATION,
    origins.SPECIFICATION,
    parts.SPECIFICATION,
    requests.SPECIFICATION,
    requests.RELEASE_SPECIFICATION,
    rates.SPECIFICATION,
    silence.SPECIFICATION,
    *placement.SPECIFICATIONS,
)


def main() -> int:
    """Print a table of the verdicts; return 1 if one is not as expected."""
    results = [_check(specification) for specification in SPECIFICATIONS]
    return 0 if all(results) else 1


def _check(specification: Specification) -> bool:
    report = check_safety(specification.protocol(), max_states=MAX_STATES)
    states = report["reachable_states"]
    _print_line(f"{specification.name}: {specification.bounds}; {states} states")
    passed = True
    for name in specification.invariants:
        holds = report["properties"][name]["holds"]
        passed = passed and holds is True
        _print_line(f"  {'holds' if holds else 'DOES NOT HOLD'}: {name}")
        if holds is False:
            _show_trace(report["properties"][name]["counterexample"])
    for mistake, invariant in specification.mistakes.items():
        passed = _check_mistake(specification, mistake, invariant) and passed
    return passed


def _check_mistake(specification: Specification, mistake: str, invariant: str) -> bool:
    protocol = _stop_at_first(specification.protocol(mistake), invariant)
    report = check_safety(protocol, max_states=MAX_STATES)
    result = report["properties"][invariant]
    if result["holds"] is not False:
        _print_line(f"  NOT FOUND: {mistake!r} should break {invariant!r}")
        return False
    steps = len(result["counterexample"]) - 1
    _print_line(f"  {mistake!r} breaks {invariant!r} in {steps} steps")
    return True


def _stop_at_first(protocol: Protocol, invariant: str) -> Protocol:
    """Stop the search at the first counterexample, which is a shortest one."""
    holds, steps = protocol.invariants[invariant], protocol.transitions
    broken: list[bool] = []

    def check(state: dict) -> bool:
        if holds(state):
            return True
        broken.append(True)
        return False

    protocol.invariants = {invariant: check}
    protocol.transitions = lambda state: [] if broken else steps(state)
    return protocol


def _show_trace(trace: list[dict]) -> None:
    for step in trace:
        _print_line(f"    {step['label']}: {step['state']}")


def _print_line(line: str) -> None:
    sys.stdout.write(line + "\n")


if __name__ == "__main__":
    sys.exit(main())
