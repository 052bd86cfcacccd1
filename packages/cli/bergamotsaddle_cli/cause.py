"""Describes in one sentence why a request ended as it did."""

from collections.abc import Sequence
from typing import Any

from bergamotsaddle_cli.logs import LogLine

# Delay beyond the expected time from which a stage or an engine is named.
_SLOW_S = 0.2


def describe_cause(lines: Sequence[LogLine]) -> str:
    """Describe why a request ended as it did.

    Args:
        lines: The log lines about the request, in order of time.
    """
    end = _find_last(lines, "request")
    if end is None:
        return "It has not ended in these logs."
    parts = [
        _describe_end(end),
        _describe_hedge(lines),
        _describe_resumption(lines),
        _describe_reason(lines),
    ]
    return " ".join(part for part in parts if part)


def _describe_end(end: dict[str, Any]) -> str:
    outcome = str(end.get("outcome")).replace("_", " ")
    return f"Ended as '{outcome}' after {end.get('seconds', 0.0):.2f} s."


def _describe_hedge(lines: Sequence[LogLine]) -> str:
    """Describe the second run of a slow request, if there was one."""
    hedged = _find_last(lines, "request_hedged")
    if hedged is None:
        return ""
    ended = _find_last(lines, "hedge_ended") or {"end": "unknown"}
    return (
        f"Hedged at target {hedged['hedge']} (end: {ended['end']}), as target "
        f"{hedged['target']} had not responded for {hedged['seconds']:.2f} s."
    )


def _describe_resumption(lines: Sequence[LogLine]) -> str:
    """Describe the stream that a request takes up again, if it does."""
    resumed = _find_last(lines, "stream_resumed")
    refused = _find_last(lines, "resumption_refused")
    line = resumed or refused
    if line is None:
        return ""
    stream = line["stream"] or "an unnamed one"
    if line["software"]:
        source = _describe_source(line["known_by"])
        began = f"begun at version {line['software']} of {line['service']} ({source})"
    else:
        began = f"of which no instance in reach knew the version of {line['service']}"
    ending = f" Refused: {line['reason']}." if line["reason"] else ""
    return f"Takes up stream {stream}, {began}.{ending}"


def _describe_source(known_by: str) -> str:
    sources = {"here": "known here", "history": "the only version lately"}
    return sources.get(known_by, f"known by {known_by}")


def _describe_reason(lines: Sequence[LogLine]) -> str:
    held = _find_last(lines, "part_held_back")
    if held is not None:
        targets = ", ".join(held["targets"])
        return (
            f"Part {held['part']} of its prompt is held back: {targets} ended under it."
        )
    rejected = _find_last(lines, "turn_away")
    if rejected is not None:
        wait = rejected["expected"] - rejected["idle"]
        return (
            f"Refused before any work: {rejected['expected']:.2f} s were expected, "
            f"{wait:.2f} s of them behind other requests."
        )
    problems = [
        *_describe_repeated_stages(lines),
        *_describe_silences(lines),
        *_describe_failed_attempts(lines),
        *_describe_failed_handovers(lines),
    ]
    if problems:
        sentence = "; ".join(problems)
        return f"{sentence[0].upper()}{sentence[1:]}."
    return _describe_slowest(lines) or "Nothing went wrong on its way."


def _describe_repeated_stages(lines: Sequence[LogLine]) -> list[str]:
    repeats = [line.details for line in lines if line.event == "stage_again"]
    return [f"stage {r['stage']} was done again ({r['reason']})" for r in repeats]


def _describe_failed_attempts(lines: Sequence[LogLine]) -> list[str]:
    failures = [line.details for line in lines if line.event == "attempt_failed"]
    return [f"target {f['target']} did not serve it ({f['reason']})" for f in failures]


def _describe_silences(lines: Sequence[LogLine]) -> list[str]:
    silences = [line.details for line in lines if line.event == "silence_ended"]
    return [
        f"target {s['target']} sent nothing for {s['seconds']:.2f} s beyond its limit "
        f"({s['end']}{', ' + s['lack'] if s['lack'] else ''})"
        for s in silences
    ]


def _describe_failed_handovers(lines: Sequence[LogLine]) -> list[str]:
    handovers = [line.details for line in lines if line.event == "handed_over"]
    return [
        f"instance {h['helper']} did not serve it for the one that it came to "
        f"({h['outcome']})"
        for h in handovers
        if h["outcome"] != "whole"
    ]


def _describe_slowest(lines: Sequence[LogLine]) -> str:
    """Describe the step with the longest delay beyond its expected time."""
    times = {}
    stages = _find_last(lines, "stages_done") or {}
    for number, queue, expected, actual in stages.get("stages", ()):
        times[f"stage {number} at {queue}"] = (actual, expected)
    first = _find_last(lines, "first_event")
    if first is not None:
        times[f"engine {first['target']}"] = (first["seconds"], first["expected"])
    if not times:
        return ""
    name = max(times, key=lambda step: times[step][0] - times[step][1])
    actual, expected = times[name]
    if actual - expected < _SLOW_S:
        return ""
    return f"Longest wait: {name}, {actual:.2f} s instead of {expected:.2f} s."


def _find_last(lines: Sequence[LogLine], event: str) -> dict[str, Any] | None:
    matching = [line.details for line in lines if line.event == event]
    return matching[-1] if matching else None
