"""Accounting of calls, tokens and target time by team, pipeline and stage."""

from collections import Counter
from typing import NamedTuple

import prometheus_client as prometheus

FIRST = "first"
RETRY = "retry"
HEDGE = "hedge"
RESUME = "resume"


class CostKey(NamedTuple):
    """The team, pipeline or service, and stage that a cost is counted for."""

    team: str
    pipeline: str
    stage: str


class CostRow(NamedTuple):
    """Cost of one stage for one team and pipeline.

    Attributes:
        team: The team.
        pipeline: The pipeline or service.
        stage: The stage.
        calls: Number of first calls.
        extra_calls: Number of retries, hedges and resumed streams.
        tokens: Number of tokens relayed.
        seconds: Time that targets spent on the calls.
    """

    team: str
    pipeline: str
    stage: str
    calls: int
    extra_calls: int
    tokens: int
    seconds: float


class Costs:
    """Counts calls, tokens and seconds, and exports them as metrics.

    Args:
        registry: The registry of the metrics.
    """

    def __init__(self, registry: prometheus.CollectorRegistry) -> None:
        labels = ("team", "pipeline", "stage")
        self._calls = prometheus.Counter(
            "bergamotsaddle_stage_calls",
            "Calls to targets.",
            (*labels, "attempt"),
            registry=registry,
        )
        self._tokens = prometheus.Counter(
            "bergamotsaddle_tokens", "Tokens relayed.", labels, registry=registry
        )
        self._requests = prometheus.Counter(
            "bergamotsaddle_requests",
            "Requests by how they ended.",
            ("team", "pipeline", "outcome"),
            registry=registry,
        )
        self._latency = prometheus.Histogram(
            "bergamotsaddle_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            ("pipeline",),
            registry=registry,
        )
        self._calls_by_key: Counter[CostKey] = Counter()
        self._extra_by_key: Counter[CostKey] = Counter()
        self._tokens_by_key: Counter[CostKey] = Counter()
        self._seconds_by_key: Counter[CostKey] = Counter()

    def count_call(self, key: CostKey, attempt: str) -> None:
        """Count one call; attempt is ``first``, ``retry``, ``hedge`` or ``resume``."""
        self._calls.labels(*key, attempt).inc()
        by_key = self._calls_by_key if attempt == FIRST else self._extra_by_key
        by_key[key] += 1

    def count_seconds(self, key: CostKey, seconds: float) -> None:
        """Count the time that a target spent on a call."""
        self._seconds_by_key[key] += seconds

    def count_tokens(self, key: CostKey, tokens: int) -> None:
        """Count relayed tokens."""
        self._tokens.labels(*key).inc(tokens)
        self._tokens_by_key[key] += tokens

    def count_request(
        self, team: str, pipeline: str, outcome: str, seconds: float
    ) -> None:
        """Count a finished request."""
        self._requests.labels(team, pipeline, outcome).inc()
        self._latency.labels(pipeline).observe(seconds)

    def rows(self) -> list[CostRow]:
        """Return all counts, ordered by team, pipeline and stage."""
        keys = sorted(self._calls_by_key | self._extra_by_key)
        return [
            CostRow(
                *key,
                self._calls_by_key[key],
                self._extra_by_key[key],
                self._tokens_by_key[key],
                round(self._seconds_by_key[key], 3),
            )
            for key in keys
        ]
