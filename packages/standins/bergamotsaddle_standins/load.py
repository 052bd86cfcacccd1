"""Open-loop load: arrivals that don't wait for answers, from a seed."""

import random
from typing import NamedTuple

import eventlet
from hdrh.histogram import HdrHistogram

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.client import Caller, Reply
from bergamotsaddle_standins.fleet import PIPELINE, Fleet, get

_LOWEST_MS = 1
_HIGHEST_MS = 60_000
_DIGITS = 2
_DRAIN = 10.0


class LoadSpec(NamedTuple):
    """A load.

    Attributes:
        rates: Requests a second of each team.
        seconds: How long requests arrive.
        deadline: Seconds that each request has.
        tokens: Tokens of each answer.
        prefixes: Number of different prompt starts.
    """

    rates: dict[str, float]
    seconds: float
    deadline: float
    tokens: int = 8
    prefixes: int = 20


class TeamResult(NamedTuple):
    """What one team got.

    Attributes:
        requests: Requests that arrived.
        in_time: Answered whole within the deadline.
        p50_ms: Median latency of whole answers.
        p95_ms: Latency that 95 in 100 whole answers stayed under.
        first_p95_ms: The same of refusals, from arrival to final answer.
        refusals: Other ends by kind.
    """

    requests: int
    in_time: int
    p50_ms: float
    p95_ms: float
    refused_p95_ms: float
    refusals: dict[str, int]

    @property
    def attainment(self) -> float:
        """Part of the requests that were answered whole in time."""
        return self.in_time / max(1, self.requests)


class _Team:
    def __init__(self) -> None:
        self.requests = 0
        self.in_time = 0
        self.latencies = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
        self.refusals_ms = HdrHistogram(_LOWEST_MS, _HIGHEST_MS, _DIGITS)
        self.refusals: dict[str, int] = {}


class Load:
    """Drives one load against a fleet.

    Args:
        fleet: The deployment.
        spec: The load.
        seed: Seed of arrivals and choices.
    """

    def __init__(self, fleet: Fleet, spec: LoadSpec, seed: int) -> None:
        self._fleet = fleet
        self._spec = spec
        self._random = random.Random(seed)
        self._by_team = {team: _Team() for team in spec.rates}
        self._open = 0

    def run(self) -> dict[str, TeamResult]:
        """Send the load and wait for the last answer."""
        threads = [
            eventlet.spawn(self._arrive, team, rate)
            for team, rate in self._spec.rates.items()
            if rate > 0
        ]
        for thread in threads:
            thread.wait()
        until = now() + _DRAIN
        while self._open and now() < until:
            eventlet.sleep(0.02)
        return {team: self._result(counts) for team, counts in self._by_team.items()}

    def _arrive(self, team: str, rate: float) -> None:
        end = now() + self._spec.seconds
        at = now()
        while True:
            at += self._random.expovariate(rate)
            if at >= end:
                return
            eventlet.sleep(max(0.0, at - now()))
            self._open += 1
            eventlet.spawn_n(self._ask, team)

    def _ask(self, team: str) -> None:
        spec, counts = self._spec, self._by_team[team]
        counts.requests += 1
        name = self._random.choice(list(self._fleet.daemons))
        caller = Caller(
            self._fleet.callers(name), self._fleet.keys[team], limit=4 * spec.deadline
        )
        site = self._random.randrange(spec.prefixes)
        body = {
            "input": f"site {site:<70} question {self._random.random()}",
            "stream": True,
            "max_tokens": spec.tokens,
        }
        began = now()
        headers = {"X-Deadline": f"{int(spec.deadline * 1000)}ms"}
        reply = caller.ask(f"/v1/pipelines/{PIPELINE}", body, headers=headers)
        self._note(counts, reply, now() - began)
        self._open -= 1

    def _note(self, counts: _Team, reply: Reply, seconds: float) -> None:
        milliseconds = max(_LOWEST_MS, round(seconds * 1000))
        if reply.whole:
            counts.latencies.record_value(milliseconds)
            in_time = seconds <= self._spec.deadline
            counts.in_time += in_time
            if in_time:
                return
        else:
            counts.refusals_ms.record_value(milliseconds)
        body = reply.body if isinstance(reply.body, dict) else {}
        kind = "late" if reply.whole else body.get("kind", "no answer")
        counts.refusals[kind] = counts.refusals.get(kind, 0) + 1

    def _result(self, counts: _Team) -> TeamResult:
        return TeamResult(
            counts.requests,
            counts.in_time,
            counts.latencies.get_value_at_percentile(50),
            counts.latencies.get_value_at_percentile(95),
            counts.refusals_ms.get_value_at_percentile(95),
            counts.refusals,
        )


def calls_a_stage(fleet: Fleet) -> float:
    """Calls to targets for each stage of each request, 1.0 without extra ones."""
    first = extra = 0
    for name in fleet.daemons:
        for row in get(fleet.operators(name), "/costs"):
            first += row["calls"]
            extra += row["extra_calls"]
    return (first + extra) / max(1, first)
