"""Statistics of forecasts, calls, rejections and wasted work from daemons' logs."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

from bergamotsaddle_cli.lateness import late_by_route

_COMPLETE = "whole"
# Shorter expected times are raised to this; ratios to them say little.
_MIN_EXPECTED_S = 0.05
_SPAN_S = 10.0


class RatioQuantiles(TypedDict):
    """Quantiles of ratios of actual to expected times."""

    count: int
    median: float
    p90: float


class CallStats(TypedDict):
    """Statistics of the calls to a stage service.

    Attributes:
        calls: Number of calls.
        pieces: Mean number of pieces in a call.
        while_waiting: Mean number of pieces in calls that left other pieces waiting.
        most: Number of pieces in the largest call.
        unmade: Number of failed pieces, by reason.
        away: Number of pieces that ran outside their own zone.
    """

    calls: int
    pieces: float
    while_waiting: float
    most: int
    unmade: dict[str, int]
    away: int


class OutcomeCounts(TypedDict):
    """Numbers of a route's requests by outcome.

    Attributes:
        whole: Requests with a complete response.
        turned_away: Requests rejected before any work was done for them.
        lost: Requests without a complete response although work had started.
        other: Requests with another outcome, such as a missing key.
    """

    whole: int
    turned_away: int
    lost: int
    other: int


class TimeSpan(TypedDict):
    """Requests that ended within a span of ten seconds, and the daemons' usage in it.

    Attributes:
        begins: Start of the span in seconds since the first request's end.
        whole: Requests with a complete response.
        turned_away: Requests rejected before any work was done for them.
        lost: Requests without a complete response although work had started.
        cpu: Mean processor time of the daemons that reported it, as a fraction of a
            core.
        delay: Longest delay of a timer of any daemon, in seconds.
    """

    begins: float
    whole: int
    turned_away: int
    lost: int
    cpu: float
    delay: float


class Review(NamedTuple):
    """All statistics of a review.

    Attributes:
        first_event: Times to the first event relative to the forecast at admission.
        engine: The engine's share of these times relative to its forecast.
        by_stage: Times of stages relative to their forecasts, by stage number.
        calls_by_service: Statistics of calls by stage service.
        ends_by_route: Numbers of requests by route and outcome.
        late_by_route: Numbers of late first events by route and reason.
        spans: Numbers of requests by outcome in spans of ten seconds.
        lost_pieces: Results made for requests without a complete response.
        binds: The bottleneck in one sentence.
    """

    first_event: RatioQuantiles
    engine: RatioQuantiles
    by_stage: dict[str, RatioQuantiles]
    calls_by_service: dict[str, CallStats]
    ends_by_route: dict[str, OutcomeCounts]
    late_by_route: dict[str, dict[str, int]]
    spans: list[TimeSpan]
    lost_pieces: int
    binds: str


Line = dict[str, Any]


def review_logs(lines: Iterable[Line]) -> Review:
    """Compute the statistics from the log lines of any number of daemons.

    Args:
        lines: Decoded log lines; lines about no request, call or usage are ignored.
    """
    by_event: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        by_event[str(line.get("event"))].append(line)
    turned_away = {line["request"] for line in by_event["turn_away"]}
    expected = {line["request"]: line["expected"] for line in by_event["admit"]}
    ends = by_event["request"]
    kinds = {line["request"]: _classify(line, turned_away, expected) for line in ends}
    calls = _calls_by_service(by_event["stage_call"])
    totals = Counter(kinds.values())
    lost = _count_lost_pieces(by_event["stages_done"], kinds)
    return Review(
        first_event=_ratio_quantiles(
            (line["since"], expected[line["request"]])
            for line in by_event["first_event"]
            if line["request"] in expected
        ),
        engine=_ratio_quantiles(
            (e["seconds"], e["expected"]) for e in by_event["first_event"]
        ),
        by_stage=_quantiles_by_stage(by_event["stages_done"]),
        calls_by_service=calls,
        ends_by_route=_outcomes_by_route(ends, kinds),
        late_by_route=late_by_route(by_event),
        spans=_time_spans(ends, kinds, by_event["usage"]),
        lost_pieces=lost,
        binds=_describe_bottleneck(totals, calls),
    )


def _classify(line: Line, turned_away: set[str], expected: dict[str, float]) -> str:
    if line["outcome"] == _COMPLETE:
        return _COMPLETE
    if line["request"] in turned_away:
        return "turned_away"
    return "lost" if line["request"] in expected else "other"


def _ratio_quantiles(pairs: Iterable[tuple[float, float]]) -> RatioQuantiles:
    ratios = sorted(
        actual / max(_MIN_EXPECTED_S, expected) for actual, expected in pairs
    )
    return RatioQuantiles(
        count=len(ratios), median=_quantile(ratios, 0.5), p90=_quantile(ratios, 0.9)
    )


def _quantile(ordered: Sequence[float], fraction: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))], 2)


def _quantiles_by_stage(lines: Iterable[Line]) -> dict[str, RatioQuantiles]:
    pairs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for line in lines:
        count = len(line["stages"])
        for index, (_, _, expected, actual) in enumerate(line["stages"], 1):
            pairs[f"{index} of {count}"].append((actual, expected))
    return {name: _ratio_quantiles(pairs[name]) for name in sorted(pairs)}


def _calls_by_service(lines: Iterable[Line]) -> dict[str, CallStats]:
    by_service: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        by_service[line["service"]].append(line)
    return {name: _call_stats(found) for name, found in sorted(by_service.items())}


def _call_stats(lines: list[Line]) -> CallStats:
    busy = [line["pieces"] for line in lines if line["waiting"]]
    unmade = Counter(reason for line in lines for reason in line["unmade"])
    return CallStats(
        calls=len(lines),
        pieces=round(sum(line["pieces"] for line in lines) / len(lines), 1),
        while_waiting=round(sum(busy) / len(busy), 1) if busy else 0.0,
        most=max(line["pieces"] for line in lines),
        unmade=dict(unmade),
        away=sum(line["away"] for line in lines),
    )


def _outcomes_by_route(
    lines: Iterable[Line], kinds: dict[str, str]
) -> dict[str, OutcomeCounts]:
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for line in lines:
        counts[line["route"] or "none"][kinds[line["request"]]] += 1
    return {route: _outcome_counts(counts[route]) for route in sorted(counts)}


def _outcome_counts(count: Counter[str]) -> OutcomeCounts:
    return OutcomeCounts(
        whole=count[_COMPLETE],
        turned_away=count["turned_away"],
        lost=count["lost"],
        other=count["other"],
    )


def _time_spans(
    ends: Sequence[Line], kinds: dict[str, str], usages: Sequence[Line]
) -> list[TimeSpan]:
    if not ends:
        return []
    first = min(map(_unix_time, ends))
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for line in ends:
        counts[_span_index(line, first)][kinds[line["request"]]] += 1
    usages_by_index: dict[int, list[Line]] = defaultdict(list)
    for line in usages:
        usages_by_index[_span_index(line, first)].append(line)
    return [
        _time_span(index * _SPAN_S, counts[index], usages_by_index[index])
        for index in sorted(counts)
    ]


def _time_span(begins: float, count: Counter[str], usages: Sequence[Line]) -> TimeSpan:
    cpu = sum(line["cpu"] for line in usages) / max(1, len(usages))
    return TimeSpan(
        begins=begins,
        whole=count[_COMPLETE],
        turned_away=count["turned_away"],
        lost=count["lost"],
        cpu=round(cpu, 4),
        delay=max((line["delay"] for line in usages), default=0.0),
    )


def _span_index(line: Line, first: float) -> int:
    return int((_unix_time(line) - first) // _SPAN_S)


def _unix_time(line: Line) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def _count_lost_pieces(lines: Iterable[Line], kinds: dict[str, str]) -> int:
    lost_lines = [line for line in lines if kinds.get(line["request"]) == "lost"]
    return sum(len(line["stages"]) for line in lost_lines)


def _describe_bottleneck(totals: Counter[str], calls: dict[str, CallStats]) -> str:
    complete = totals[_COMPLETE]
    if not complete and not sum(totals.values()):
        return "No request ended in these logs."
    if not totals["turned_away"] and not totals["lost"]:
        return "Nothing bound: no request was turned away or lost."
    if totals["lost"] > totals["turned_away"]:
        return f"Most was lost after work had begun: {totals['lost']} requests."
    prefix = f"Most was turned away before any work: {totals['turned_away']} requests"
    scarcest = _find_scarcest_service(calls)
    if scarcest is None:
        return f"{prefix}; no stage service had pieces waiting."
    found = calls[scarcest]
    fill = f"{found['while_waiting']} of {found['most']} pieces a call"
    return (
        f"{prefix}; {scarcest} was the scarcest stage, with {fill} while others waited."
    )


def _find_scarcest_service(calls: dict[str, CallStats]) -> str | None:
    """Return the service with the least filled calls while pieces waited."""
    waiting = {n: c for n, c in calls.items() if c["while_waiting"]}
    return min(
        waiting,
        key=lambda n: waiting[n]["while_waiting"] / waiting[n]["most"],
        default=None,
    )
