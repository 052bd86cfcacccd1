"""Names in one sentence what decided how a request ended."""

from collections.abc import Sequence
from typing import Any

from bergamotsaddle_cli.logs import LogLine

# A stage or an engine that took so much longer than expected is worth naming.
_SLOW_S = 0.2


def describe_cause(story: Sequence[LogLine]) -> str:
    """Name the cause of a request's end.

    Args:
        story: The lines about the request, in order of time.
    """
    end = _last(story, "request")
    if end is None:
        return "It has not ended in these logs."
    return f"{_ending(end)} {_reason(story)}"


def _ending(end: dict[str, Any]) -> str:
    outcome = str(end.get("outcome")).replace("_", " ")
    return f"Ended as '{outcome}' after {end.get('seconds', 0.0):.2f} s."


def _reason(story: Sequence[LogLine]) -> str:
    refused = _last(story, "turn_away")
    if refused is not None:
        wait = refused["expected"] - refused["idle"]
        return (
            f"Refused before any work: {refused['expected']:.2f} s were expected, "
            f"{wait:.2f} s of them behind other requests."
        )
    troubles = [*_repeated_stages(story), *_failed_attempts(story)]
    if troubles:
        sentence = "; ".join(troubles)
        return f"{sentence[0].upper()}{sentence[1:]}."
    return _slowest(story) or "Nothing went wrong on its way."


def _repeated_stages(story: Sequence[LogLine]) -> list[str]:
    repeats = [line.details for line in story if line.event == "stage_again"]
    return [f"stage {r['stage']} was done again ({r['reason']})" for r in repeats]


def _failed_attempts(story: Sequence[LogLine]) -> list[str]:
    failures = [line.details for line in story if line.event == "attempt_failed"]
    return [f"target {f['target']} did not serve it ({f['reason']})" for f in failures]


def _slowest(story: Sequence[LogLine]) -> str:
    """The part that took longest beyond what was expected of it."""
    delays = {}
    stages = _last(story, "stages_done") or {}
    for number, queue, expected, actual in stages.get("stages", ()):
        delays[f"stage {number} at {queue}"] = (actual, expected)
    first = _last(story, "first_event")
    if first is not None:
        delays[f"engine {first['target']}"] = (first["seconds"], first["expected"])
    if not delays:
        return ""
    name = max(delays, key=lambda part: delays[part][0] - delays[part][1])
    actual, expected = delays[name]
    if actual - expected < _SLOW_S:
        return ""
    return f"Longest wait: {name}, {actual:.2f} s instead of {expected:.2f} s."


def _last(story: Sequence[LogLine], event: str) -> dict[str, Any] | None:
    found = [line.details for line in story if line.event == event]
    return found[-1] if found else None
