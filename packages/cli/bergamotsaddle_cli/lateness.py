"""Finds out from daemons' logs why first events were late."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from typing import Any

Line = dict[str, Any]

EARLIER_ATTEMPT = "earlier attempt"
ENGINE = "engine"
STAGES = "stages"


def late_by_route(by_event: dict[str, list[Line]]) -> dict[str, dict[str, int]]:
    """Count the late requests of each route by what took longer than expected.

    A request is late if its first event came after its objective. An attempt that
    failed before is the reason if there was one; otherwise the engine or the stages,
    whichever exceeded its forecast by more.

    Args:
        by_event: Log lines by the name of their event.

    Returns:
        Numbers of requests by route and reason.
    """
    admitted = {line["request"]: line for line in by_event["admit"]}
    failed = {line["request"] for line in by_event["attempt_failed"]}
    route_by_request = {line["request"]: line["route"] for line in by_event["request"]}
    stages: dict[str, list[Line]] = defaultdict(list)
    for line in by_event["stages_done"]:
        stages[line["request"]].append(line)
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for line in by_event["first_event"]:
        request = line["request"]
        objective = admitted.get(request, {}).get("objective")
        if objective is None or line["since"] <= objective:
            continue
        reason = _reason(line, stages[request], has_failed=request in failed)
        counts[route_by_request.get(request) or "none"][reason] += 1
    return {route: dict(counts[route]) for route in sorted(counts)}


def _reason(first_event: Line, stages: Sequence[Line], *, has_failed: bool) -> str:
    if has_failed or len(stages) > 1:
        return EARLIER_ATTEMPT
    engine_excess = first_event["seconds"] - first_event["expected"]
    stage_excess = sum(line["seconds"] - line["expected"] for line in stages)
    return ENGINE if engine_excess >= stage_excess else STAGES
