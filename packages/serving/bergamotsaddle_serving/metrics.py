"""Counters, gauges and histograms, and the page that exposes them."""

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator
from itertools import accumulate
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from prometheus_client import Metric

_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0)
_PREFIX = "bergamotsaddle_"


class _Gauge(NamedTuple):
    """A value that is read each time the page is rendered.

    Attributes:
        name: Name of the metric without its prefix.
        text: Help text of the metric.
        read: Returns the current value.
    """

    name: str
    text: str
    read: Callable[[], float]


class _Histogram:
    """Histogram of the durations of one route's requests."""

    def __init__(self) -> None:
        self._counts = [0] * (len(_BUCKETS_S) + 1)
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Add a duration."""
        self._counts[bisect_left(_BUCKETS_S, seconds)] += 1
        self.total += seconds

    def buckets(self) -> list[tuple[str, float]]:
        """Return each upper bound with the number of durations up to it."""
        bounds = [*map(str, _BUCKETS_S), "+Inf"]
        return list(zip(bounds, accumulate(self._counts), strict=True))


class Metrics:
    """The metrics of a daemon.

    The library that formats the page is imported when the page is first rendered. It
    imports an HTTP server and client of its own, which would delay every start.
    """

    def __init__(self) -> None:
        self._requests: Counter[tuple[str, str]] = Counter()
        self._failed_attempts: Counter[tuple[str, str]] = Counter()
        self._cut_streams: Counter[tuple[str, str]] = Counter()
        self._silences: Counter[tuple[str, str]] = Counter()
        self._hedges: Counter[tuple[str, str]] = Counter()
        self._returns: Counter[tuple[str, str]] = Counter()
        self._hopeless_streams: Counter[tuple[str, str]] = Counter()
        self._endless: Counter[tuple[str, str]] = Counter()
        self._unread: Counter[str] = Counter()
        self._evictions: Counter[tuple[str, str]] = Counter()
        self._durations_by_route: dict[str, _Histogram] = {}
        self._gauges: list[_Gauge] = []

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request that has ended, and record its duration."""
        self._requests[route, outcome] += 1
        self._durations_by_route.setdefault(route, _Histogram()).add(seconds)

    def count_failed_attempt(self, route: str, reason: str) -> None:
        """Count an attempt at a target that was given up."""
        self._failed_attempts[route, reason] += 1

    def count_cut_stream(self, route: str, reason: str) -> None:
        """Count a stream that ended between its first and its last event."""
        self._cut_streams[route, reason] += 1

    def count_silence(self, route: str, end: str) -> None:
        """Count a run of a stream that sent nothing for longer than its limit."""
        self._silences[route, end] += 1

    def count_hedge(self, route: str, end: str) -> None:
        """Count a hedge of a slow request, or the lack of one."""
        self._hedges[route, end] += 1

    def count_return(self, route: str) -> None:
        """Count a caller that was admitted because it came back when told."""
        self._returns[route, "admitted"] += 1

    def count_hopeless_stream(self, route: str, end: str) -> None:
        """Count a stream that no engine could end before its caller gives up."""
        self._hopeless_streams[route, end] += 1

    def count_endless(self, service: str, place: str) -> None:
        """Count a response of which more came than a response may have."""
        self._endless[service, place] += 1

    def count_unread(self, kind: str) -> None:
        """Count a request that was refused before it had been read."""
        self._unread[kind] += 1

    def count_eviction(self, listener: str, phase: str) -> None:
        """Count a connection that was closed to admit another one."""
        self._evictions[listener, phase] += 1

    def add_gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Add a gauge.

        Args:
            name: Name of the metric without its prefix.
            text: Help text of the metric.
            read: Returns the current value, each time the page is rendered.
        """
        self._gauges.append(_Gauge(name, text, read))

    def page(self) -> bytes:
        """Render the page in the text format of Prometheus."""
        from prometheus_client import CollectorRegistry, generate_latest

        registry = CollectorRegistry()
        registry.register(self)
        return generate_latest(registry)

    def collect(self) -> "Iterator[Metric]":
        """Yield all metrics, as the library expects of a collector."""
        from prometheus_client import core

        counters = (
            ("requests", "Requests by route and outcome.", "outcome", self._requests),
            (
                "failed_attempts",
                "Attempts at targets that were given up, by route and reason.",
                "reason",
                self._failed_attempts,
            ),
            (
                "cut_streams",
                "Streams that ended before their last event, by route and reason.",
                "reason",
                self._cut_streams,
            ),
            (
                "silences",
                "Silent runs of streams, by route and how the silence ended.",
                "end",
                self._silences,
            ),
            (
                "hedges",
                "Second runs of slow requests, by route and how they ended.",
                "end",
                self._hedges,
            ),
            (
                "returns",
                "Callers that came back when told, by route and outcome.",
                "outcome",
                self._returns,
            ),
            (
                "hopeless_streams",
                "Streams that no engine could end in time, by route and what became.",
                "end",
                self._hopeless_streams,
            ),
        )
        for name, text, label, count_by_labels in counters:
            family = core.CounterMetricFamily(
                f"{_PREFIX}{name}", text, labels=("route", label)
            )
            for labels, count in count_by_labels.items():
                family.add_metric(labels, count)
            yield family
        endless = core.CounterMetricFamily(
            f"{_PREFIX}endless",
            "Responses without end, by service and the part that had none.",
            labels=("service", "place"),
        )
        for labels, count in self._endless.items():
            endless.add_metric(labels, count)
        yield endless
        unread = core.CounterMetricFamily(
            f"{_PREFIX}unread_requests",
            "Requests that were refused before they had been read, by kind of error.",
            labels=("kind",),
        )
        for kind, count in self._unread.items():
            unread.add_metric((kind,), count)
        yield unread
        closed = core.CounterMetricFamily(
            f"{_PREFIX}evicted_connections",
            "Connections closed to admit others, by listener and phase.",
            labels=("listener", "phase"),
        )
        for labels, count in self._evictions.items():
            closed.add_metric(labels, count)
        yield closed
        seconds = core.HistogramMetricFamily(
            f"{_PREFIX}request_seconds",
            "Time from a request's first byte to its end, by route.",
            labels=("route",),
        )
        for route, durations in self._durations_by_route.items():
            seconds.add_metric((route,), durations.buckets(), durations.total)
        yield seconds
        for gauge in self._gauges:
            yield core.GaugeMetricFamily(
                f"{_PREFIX}{gauge.name}", gauge.text, gauge.read()
            )
