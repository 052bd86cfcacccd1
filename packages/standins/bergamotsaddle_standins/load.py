"""Seeded open-loop load: requests arrive without waiting for earlier responses."""

import random
from typing import NamedTuple

import eventlet
from hdrh.histogram import HdrHistogram

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, get

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_SIGNIFICANT_DIGITS = 2
_DRAIN_S = 10.0


class LoadSpec(NamedTuple):
    """Parameters of a load.

    Attributes:
        rates: Requests per second of each team.
        seconds: Seconds for which requests arrive.
        deadline: Deadline of each request in seconds.
        tokens: Tokens of each response.
        prefixes: Number of distinct prompt prefixes.
    """

    rates: dict[str, float]
    seconds: float
    deadline: float
    tokens: int = 8
    prefixes: int = 20


class TeamResult(NamedTuple):
    """Results of one team.

    Attributes:
        requests: Requests that arrived.
        in_time: Requests with a complete response within the deadline.
        p50_ms: Median latency of complete responses.
        p95_ms: Latency that 95 in 100 complete responses did not exceed.
        refused_p95_ms: 95th percentile of the time from arrival to an incomplete
            or error response.
        refusals: Number of all other outcomes by kind.
    """

    requests: int
    in_time: int
    p50_ms: float
    p95_ms: float
    refused_p95_ms: float
    refusals: dict[str, int]

    @property
    def attainment(self) -> float:
        """Fraction of the requests with a complete response within the deadline."""
        return self.in_time / max(1, self.requests)


class _TeamCounts:
    def __init__(self) -> None:
        self.requests = 0
        self.in_time = 0
        self.latencies = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
        self.refusals_ms = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _SIGNIFICANT_DIGITS)
        self.refusals: dict[str, int] = {}


class Load:
    """Generates a load against a fleet.

    Args:
        fleet: The deployment.
        spec: The load.
        seed: Seed of the random arrivals and choices.
    """

    def __init__(self, fleet: Fleet, spec: LoadSpec, seed: int) -> None:
        self._fleet = fleet
        self._spec = spec
        self._random = random.Random(seed)
        self._by_team = {team: _TeamCounts() for team in spec.rates}
        self._open = 0

    def run(self) -> dict[str, TeamResult]:
        """Send all requests, wait for the last response and return results by team."""
        threads = [
            eventlet.spawn(self._generate_arrivals, team, rate)
            for team, rate in self._spec.rates.items()
            if rate > 0
        ]
        for thread in threads:
            thread.wait()
        until = now() + _DRAIN_S
        while self._open and now() < until:
            eventlet.sleep(0.02)
        return {team: self._result(counts) for team, counts in self._by_team.items()}

    def _generate_arrivals(self, team: str, rate: float) -> None:
        end = now() + self._spec.seconds
        at = now()
        while True:
            at += self._random.expovariate(rate)
            if at >= end:
                return
            eventlet.sleep(max(0.0, at - now()))
            self._open += 1
            eventlet.spawn_n(self._send_request, team)

    def _send_request(self, team: str) -> None:
        spec, counts = self._spec, self._by_team[team]
        counts.requests += 1
        name = self._random.choice(list(self._fleet.daemons))
        caller = Caller(
            self._fleet.caller_address(name),
            self._fleet.keys[team],
            limit=4 * spec.deadline,
        )
        site = self._random.randrange(spec.prefixes)
        body = {
            "input": f"site {site:<70} question {self._random.random()}",
            "stream": True,
            "max_tokens": spec.tokens,
        }
        began = now()
        headers = {"X-Deadline": f"{int(spec.deadline * 1000)}ms"}
        reply = caller.post(f"/v1/pipelines/{PIPELINE}", body, headers=headers)
        self._record_reply(counts, reply, now() - began)
        self._open -= 1

    def _record_reply(self, counts: _TeamCounts, reply: Reply, seconds: float) -> None:
        milliseconds = max(_LOWEST_MS, round(seconds * 1000))
        if reply.is_complete:
            counts.latencies.record_value(milliseconds)
            in_time = seconds <= self._spec.deadline
            counts.in_time += in_time
            if in_time:
                return
        else:
            counts.refusals_ms.record_value(milliseconds)
        body = reply.body if isinstance(reply.body, dict) else {}
        kind = "late" if reply.is_complete else body.get("kind", "no answer")
        counts.refusals[kind] = counts.refusals.get(kind, 0) + 1

    def _result(self, counts: _TeamCounts) -> TeamResult:
        return TeamResult(
            counts.requests,
            counts.in_time,
            counts.latencies.get_value_at_percentile(50),
            counts.latencies.get_value_at_percentile(95),
            counts.refusals_ms.get_value_at_percentile(95),
            counts.refusals,
        )


def calls_per_stage(fleet: Fleet) -> float:
    """Return calls to targets per stage of a request; 1.0 without extra calls."""
    first = extra = 0
    for name in fleet.daemons:
        for row in get(fleet.operator_address(name), "/costs"):
            first += row["calls"]
            extra += row["extra_calls"]
    return (first + extra) / max(1, first)
