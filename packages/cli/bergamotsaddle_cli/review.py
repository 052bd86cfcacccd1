"""What the logs of daemons say of forecasts, calls, refusals and waste."""

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from datetime import datetime
from typing import Any, NamedTuple, TypedDict

_WHOLE = "whole"
# Expected times below this say little about a ratio.
_LEAST_EXPECTED_S = 0.05
_SPAN_S = 10.0


class RatioQuantiles(TypedDict):
    """Quantiles of ratios of actual to expected times."""

    count: int
    median: float
    p90: float


class CallStats(TypedDict):
    """The calls of a stage service.

    Attributes:
        calls: Number of calls.
        pieces: Mean pieces in a call.
        while_waiting: Mean pieces in a call after which others were left waiting.
        most: Pieces of the fullest call.
        unmade: Pieces without a result, by reason.
        away: Pieces done outside the zone that they belong to.
    """

    calls: int
    pieces: float
    while_waiting: float
    most: int
    unmade: dict[str, int]
    away: int


class OutcomeCounts(TypedDict):
    """How the requests of a route ended.

    Attributes:
        whole: Answered whole.
        turned_away: Refused before any work for them.
        lost: Ended without a whole answer after work had begun.
        other: Ended otherwise, such as without a key.
    """

    whole: int
    turned_away: int
    lost: int
    other: int


class TimeSpan(TypedDict):
    """Ten seconds of requests by when they ended, and the daemons' usage in them.

    Attributes:
        begins: Seconds since the first line.
        whole: Answered whole.
        turned_away: Refused before any work for them.
        lost: Ended without a whole answer after work had begun.
        cpu: Mean processor time of the daemons that told it, as a part of a core.
        delay: The longest time that a timer of any daemon fired late, in seconds.
    """

    begins: float
    whole: int
    turned_away: int
    lost: int
    cpu: float
    delay: float


class Review(NamedTuple):
    """All figures.

    Attributes:
        first_event: First events against what was expected at admission.
        engine: The engine's part of it.
        by_stage: Stages against what was expected of them, by number.
        calls_by_service: Calls of stage services.
        ends_by_route: How requests ended.
        spans: The same in steps of ten seconds.
        lost_pieces: Results made for requests that ended without a whole answer.
        binds: What cost most, in one sentence.
    """

    first_event: RatioQuantiles
    engine: RatioQuantiles
    by_stage: dict[str, RatioQuantiles]
    calls_by_service: dict[str, CallStats]
    ends_by_route: dict[str, OutcomeCounts]
    spans: list[TimeSpan]
    lost_pieces: int
    binds: str


Line = dict[str, Any]


def review_logs(lines: Iterable[Line]) -> Review:
    """Work out the figures from the lines of any number of daemons.

    Args:
        lines: Decoded log lines; those without a request or call are passed over.
    """
    by_event: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        by_event[str(line.get("event"))].append(line)
    turned_away = {line["request"] for line in by_event["turn_away"]}
    expected = {line["request"]: line["expected"] for line in by_event["admit"]}
    ends = by_event["request"]
    kinds = {line["request"]: _kind(line, turned_away, expected) for line in ends}
    calls = _calls(by_event["stage_call"])
    totals = Counter(kinds.values())
    lost = _lost_pieces(by_event["stages_done"], kinds)
    return Review(
        first_event=_spread(
            (line["since"], expected[line["request"]])
            for line in by_event["first_event"]
            if line["request"] in expected
        ),
        engine=_spread((e["seconds"], e["expected"]) for e in by_event["first_event"]),
        by_stage=_by_stage(by_event["stages_done"]),
        calls_by_service=calls,
        ends_by_route=_ends(ends, kinds),
        spans=_spans(ends, kinds, by_event["usage"]),
        lost_pieces=lost,
        binds=_binds(totals, calls),
    )


def _kind(line: Line, turned_away: set[str], expected: dict[str, float]) -> str:
    if line["outcome"] == _WHOLE:
        return _WHOLE
    if line["request"] in turned_away:
        return "turned_away"
    return "lost" if line["request"] in expected else "other"


def _spread(pairs: Iterable[tuple[float, float]]) -> RatioQuantiles:
    ratios = sorted(
        actual / max(_LEAST_EXPECTED_S, expected) for actual, expected in pairs
    )
    return RatioQuantiles(
        count=len(ratios), median=_quantile(ratios, 0.5), p90=_quantile(ratios, 0.9)
    )


def _quantile(ordered: Sequence[float], part: float) -> float:
    if not ordered:
        return 0.0
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))], 2)


def _by_stage(lines: Iterable[Line]) -> dict[str, RatioQuantiles]:
    pairs: dict[str, list[tuple[float, float]]] = defaultdict(list)
    for line in lines:
        count = len(line["stages"])
        for place, (_, _, expected, actual) in enumerate(line["stages"], 1):
            pairs[f"{place} of {count}"].append((actual, expected))
    return {name: _spread(pairs[name]) for name in sorted(pairs)}


def _calls(lines: Iterable[Line]) -> dict[str, CallStats]:
    by_service: dict[str, list[Line]] = defaultdict(list)
    for line in lines:
        by_service[line["service"]].append(line)
    return {name: _calls_of(found) for name, found in sorted(by_service.items())}


def _calls_of(lines: list[Line]) -> CallStats:
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


def _ends(lines: Iterable[Line], kinds: dict[str, str]) -> dict[str, OutcomeCounts]:
    counts: dict[str, Counter[str]] = defaultdict(Counter)
    for line in lines:
        counts[line["route"] or "none"][kinds[line["request"]]] += 1
    return {route: _as_ends(counts[route]) for route in sorted(counts)}


def _as_ends(count: Counter[str]) -> OutcomeCounts:
    return OutcomeCounts(
        whole=count[_WHOLE],
        turned_away=count["turned_away"],
        lost=count["lost"],
        other=count["other"],
    )


def _spans(
    ends: Sequence[Line], kinds: dict[str, str], usages: Sequence[Line]
) -> list[TimeSpan]:
    if not ends:
        return []
    first = min(map(_seconds, ends))
    counts: dict[int, Counter[str]] = defaultdict(Counter)
    for line in ends:
        counts[_place(line, first)][kinds[line["request"]]] += 1
    usages_by_place: dict[int, list[Line]] = defaultdict(list)
    for line in usages:
        usages_by_place[_place(line, first)].append(line)
    return [
        _span(place * _SPAN_S, counts[place], usages_by_place[place])
        for place in sorted(counts)
    ]


def _span(begins: float, count: Counter[str], usages: Sequence[Line]) -> TimeSpan:
    cpu = sum(line["cpu"] for line in usages) / max(1, len(usages))
    return TimeSpan(
        begins=begins,
        whole=count[_WHOLE],
        turned_away=count["turned_away"],
        lost=count["lost"],
        cpu=round(cpu, 4),
        delay=max((line["delay"] for line in usages), default=0.0),
    )


def _place(line: Line, first: float) -> int:
    return int((_seconds(line) - first) // _SPAN_S)


def _seconds(line: Line) -> float:
    return datetime.fromisoformat(line["timestamp"]).timestamp()


def _lost_pieces(lines: Iterable[Line], kinds: dict[str, str]) -> int:
    ended_badly = [line for line in lines if kinds.get(line["request"]) == "lost"]
    return sum(len(line["stages"]) for line in ended_badly)


def _binds(totals: Counter[str], calls: dict[str, CallStats]) -> str:
    served = totals[_WHOLE]
    if not served and not sum(totals.values()):
        return "No request ended in these logs."
    if not totals["turned_away"] and not totals["lost"]:
        return "Nothing bound: no request was turned away or lost."
    if totals["lost"] > totals["turned_away"]:
        return f"Most was lost after work had begun: {totals['lost']} requests."
    begin = f"Most was turned away before any work: {totals['turned_away']} requests"
    scarce = _scarcest(calls)
    if scarce is None:
        return f"{begin}; no stage service had pieces waiting."
    found = calls[scarce]
    fill = f"{found['while_waiting']} of {found['most']} pieces a call"
    return f"{begin}; {scarce} was the scarcest stage, with {fill} while others waited."


def _scarcest(calls: dict[str, CallStats]) -> str | None:
    """The service whose calls went out emptiest while pieces waited."""
    waiting = {n: c for n, c in calls.items() if c["while_waiting"]}
    return min(
        waiting,
        key=lambda n: waiting[n]["while_waiting"] / waiting[n]["most"],
        default=None,
    )
