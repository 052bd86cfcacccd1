"""Counters, gauges and histograms, and the page that shows them."""

from collections.abc import Callable

import prometheus_client as prometheus

_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 4.0, 8.0)


class Metrics:
    """What a daemon counts."""

    def __init__(self) -> None:
        self.registry = prometheus.CollectorRegistry()
        self._requests = prometheus.Counter(
            "bergamotsaddle_requests",
            "Requests by route and outcome.",
            ("route", "outcome"),
            registry=self.registry,
        )
        self._seconds = prometheus.Histogram(
            "bergamotsaddle_request_seconds",
            "Time from a request's first byte to its end, by route.",
            ("route",),
            buckets=_BUCKETS_S,
            registry=self.registry,
        )

    def count_request(self, route: str, outcome: str, seconds: float) -> None:
        """Count a request that has ended."""
        self._requests.labels(route, outcome).inc()
        self._seconds.labels(route).observe(seconds)

    def gauge(self, name: str, text: str, read: Callable[[], float]) -> None:
        """Show a figure that is read whenever the page is."""
        gauge = prometheus.Gauge(f"bergamotsaddle_{name}", text, registry=self.registry)
        gauge.set_function(read)

    def page(self) -> bytes:
        """The page as text."""
        return prometheus.generate_latest(self.registry)
