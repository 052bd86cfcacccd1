"""Lets the engines of serving daemons fall silent under streams (``make silence``).

Engines of three daemons hold back all bytes for a while, then go on. A table says how
many streams came whole to their callers, by length, share of engines and moment.
"""

import bergamotsaddle_standins._green  # noqa: F401

# isort: split
import argparse
import random
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import StrEnum
from itertools import count
from pathlib import Path
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_standins.soak import SETTINGS, SoakInstance
from bergamotsaddle_standins.soak_callers import CallerSocket, Exchange, SentRequest
from bergamotsaddle_standins.soak_dialect import (
    CONFIGURATION_KEY,
    ENGINE,
    RERANK,
    TARGET_PREFIX,
    TRIAL_PREFIX,
    SoakConfiguration,
    TrialRules,
)
from bergamotsaddle_standins.soak_guard import hold_addresses
from bergamotsaddle_standins.soak_links import CutMode
from bergamotsaddle_standins.soak_store import SoakStore
from bergamotsaddle_standins.soak_targets import Ledger, RunningTarget

_ZONES = ("a", "b", "c")
_HOST = "127.253.0.{}"
_CALLERS_PORT = 8000
_KEY = "key-0"
_GRACE_S = 8.0
_STREAMS = 30
_EVENTS = 40
_EVENT_PAUSE_S = 0.05
_END_PAUSE_S = 0.4
_EVENT_GAP_S = 0.3
_OBJECTIVE_S = 0.9
# How long callers wait for an event; it follows from the objective.
_PATIENCE_S = 3.6
_ENGINES = 4
_FOREVER = float("inf")
# The budget of an instance is a fraction of its share in a fleet of at least this size.
_MIN_FLEET = 6
_USED_FRACTION = 0.6
_READY_TIMEOUT_S = 20.0
_READY_POLL_S = 0.1
# Streams of a trial begin within this time, so that they don't stay in step.
_SPREAD_S = 0.05
_OK_STATUS = 200


class Moment(StrEnum):
    """When engines fall silent."""

    FIRST = "first event"
    MIDDLE = "middle"
    END = "end"


_SECONDS_BY_MOMENT = {
    Moment.FIRST: 0.0,
    Moment.MIDDLE: 1.0,
    Moment.END: _EVENTS * _EVENT_PAUSE_S + _SPREAD_S + 0.1,
}


class Trial(NamedTuple):
    """One row of the table.

    Attributes:
        silence: Seconds for which engines are silent.
        engines: Number of engines that fall silent.
        moment: When they do.
        beside: Name of what happens at the same moment, empty if nothing does.
        times: How often they fall silent.
        pause: Seconds between these times.
        attempts: Engines that one stream may run on.
        repeats: Repeats that the budget of an instance allows.
        has_stage: Whether a stage runs before each stream.
    """

    silence: float
    engines: int = _ENGINES
    moment: Moment = Moment.MIDDLE
    beside: str = ""
    times: int = 1
    pause: float = 0.3
    attempts: int = 2
    repeats: int = 7
    has_stage: bool = False

    @property
    def label(self) -> str:
        """What the row is about."""
        silence = "for good" if self.silence == _FOREVER else f"{self.silence:g} s"
        if self.times > 1:
            silence = f"{self.times} times {silence}, {self.pause:g} s apart"
        parts = [silence, f"{self.engines} of {_ENGINES} engines", self.moment.value]
        if self.beside:
            parts.append(f"beside {self.beside}")
        parts.append(f"{self.attempts} attempts, {self.repeats} repeats")
        if self.has_stage:
            parts.append("a stage")
        return "; ".join(parts)


class Received(NamedTuple):
    """What the caller of a stream got.

    Attributes:
        ending: How the stream ended.
        longest_gap: Most seconds between two parts of the response, counted from the
            request.
    """

    ending: str
    longest_gap: float


class Result(NamedTuple):
    """What a trial showed.

    Attributes:
        trial: The trial.
        received: What each caller got.
        sent_again: Number of runs beyond one for each stream.
    """

    trial: Trial
    received: list[Received]
    sent_again: int

    @property
    def endings(self) -> Counter[str]:
        """Number of streams by their ends."""
        return Counter(one.ending for one in self.received)

    @property
    def longest_gap(self) -> float:
        """Most seconds between two parts of the response of a whole stream."""
        gaps = [r.longest_gap for r in self.received if r.ending == _WHOLE]
        return max(gaps, default=0.0)


_WHOLE = "whole"
Disturbance = Callable[["SilentDeployment"], None]
DISTURBANCES: dict[str, Disturbance] = {}
Group = Callable[[], list[Trial]]
GROUPS: dict[str, Group] = {}


def register_disturbance(name: str) -> Callable[[Disturbance], Disturbance]:
    """Return a decorator that registers what may happen beside a silence."""

    def add(function: Disturbance) -> Disturbance:
        DISTURBANCES[name] = function
        return function

    return add


def register_group(name: str) -> Callable[[Group], Group]:
    """Return a decorator that registers rows of the table."""

    def add(function: Group) -> Group:
        GROUPS[name] = function
        return function

    return add


class SilentDeployment:
    """Three daemons with a store, and engines of one version that fall silent.

    Args:
        trial: The trial that it is for.
        folder: Folder for settings and logs.
    """

    def __init__(self, trial: Trial, folder: Path) -> None:
        self._trial = trial
        hosts = [_HOST.format(n + 1) for n in range(len(_ZONES))]
        self._guard = hold_addresses(hosts)
        self._instance_ids = [f"i{n}" for n in range(len(_ZONES))]
        self._store = SoakStore()
        self._ledger = Ledger()
        self._rng = random.Random(0)
        rules = TrialRules(
            trial.attempts, _OBJECTIVE_S, _EVENT_GAP_S, has_stage=trial.has_stage
        )
        self._configuration = SoakConfiguration(1, "bookings", [_KEY], rules)
        self._store.write(CONFIGURATION_KEY, self._configuration)
        self._numbers = count()
        self._targets = [
            self._add_target(ENGINE, _ZONES[n % len(_ZONES)]) for n in range(_ENGINES)
        ]
        for zone in _ZONES:
            self._add_target(RERANK, zone)
        self._instances = [
            self._make_instance(n, hosts, folder) for n in range(len(hosts))
        ]

    def run(self) -> Result:
        """Send the streams, let engines fall silent, and return what callers got."""
        self._wait_ready()
        trial = self._trial
        is_first = trial.moment is Moment.FIRST
        silence = eventlet.spawn_after(
            _SECONDS_BY_MOMENT[trial.moment], self._fall_silent
        )
        if is_first:
            # The engines are silent before the first request arrives.
            eventlet.sleep(_SPREAD_S)
        threads = [
            eventlet.spawn_after(self._rng.uniform(0.0, _SPREAD_S), self._call, n)
            for n in range(_STREAMS)
        ]
        received = [thread.wait() for thread in threads]
        silence.kill()
        runs = sum(len(runs) for runs in self._ledger.runs_by_request.values())
        return Result(trial, received, max(0, runs - _STREAMS))

    def close(self) -> None:
        """End all processes."""
        for instance in self._instances:
            instance.kill()
        self._guard.close()

    def _make_instance(self, number: int, hosts: list[str], folder: Path):
        instance_id = self._instance_ids[number]
        repeats = self._trial.repeats + 0.1
        settings = SETTINGS.format(
            id=instance_id,
            zone=_ZONES[number],
            host=hosts[number],
            seeds=",".join(f"{host}:7740" for host in hosts),
            store_port=self._store.port,
            grace=_GRACE_S,
            retry_ratio=0.0,
            retry_extra=repeats * _MIN_FLEET / _USED_FRACTION,
        )
        return SoakInstance(
            instance_id, _ZONES[number], hosts[number], folder, settings
        )

    def _add_target(self, service: str, zone: str) -> RunningTarget:
        target = RunningTarget(
            f"t{next(self._numbers)}",
            service,
            zone,
            self._ledger,
            self._rng,
            self._instance_ids,
        )
        target.event_pause = _EVENT_PAUSE_S
        if self._trial.moment is Moment.END:
            target.end_pause = _END_PAUSE_S
        self._store.write(TARGET_PREFIX + target.id, target.entry())
        return target

    def _wait_ready(self) -> None:
        with eventlet.Timeout(_READY_TIMEOUT_S):
            while not all(instance.is_accepting for instance in self._instances):
                for instance in self._instances:
                    instance.probe()
                eventlet.sleep(_READY_POLL_S)
            # A first stream shows that targets are known.
            while self._call(-1).ending != _WHOLE:
                eventlet.sleep(_READY_POLL_S)
        self._ledger.runs_by_request.clear()

    def _fall_silent(self) -> None:
        trial = self._trial
        links = [
            link
            for target in self._targets[: trial.engines]
            for link in target.link_by_instance.values()
        ]
        for _ in range(trial.times):
            for link in links:
                link.pause()
            if trial.beside:
                eventlet.spawn_n(DISTURBANCES[trial.beside], self)
            if trial.silence == _FOREVER:
                return
            eventlet.sleep(trial.silence)
            for link in links:
                link.resume()
            eventlet.sleep(trial.pause)

    def _call(self, number: int) -> Received:
        request = f"s{number}-{next(self._numbers)}"
        self._ledger.events_by_request[request] = _EVENTS if number >= 0 else 1
        sent = SentRequest(
            request,
            TRIAL_PREFIX + request,
            _KEY,
            b"",
            parts=(f"topic{number}", request),
        )
        connection = CallerSocket((self._instances[0].host, _CALLERS_PORT))
        times = [now()]
        connection.send(sent.encode())
        response = connection.read(
            sent.id, _PATIENCE_S, on_data=lambda: times.append(now())
        )
        times.append(now())
        connection.close()
        exchange = Exchange(
            sent, self._instances[0].host, times[0], times[0], times[-1], *response
        )
        gap = max(b - a for a, b in zip(times, times[1:], strict=False))
        last = times[-1] - times[-2]
        return Received(self._describe_end(exchange, last), gap)

    def _describe_end(self, exchange: Exchange, last: float) -> str:
        """Return how a stream ended, some seconds after its last event."""
        numbers = [number for number, _ in exchange.events]
        if numbers != [*range(len(numbers))]:
            return "events out of order"
        expected = self._ledger.events_by_request[exchange.request.id]
        is_ok = exchange.status == _OK_STATUS
        if is_ok and exchange.is_complete and len(numbers) == expected:
            return _WHOLE
        if last > _PATIENCE_S - _EVENT_PAUSE_S:
            return "its caller gave up"
        if not is_ok:
            seconds = exchange.ended_at - exchange.started_at
            return f"{exchange.status or 'no answer'} after {seconds:.1f} s"
        end = "an early end" if exchange.is_complete else "a reset"
        return f"{end} {last:.1f} s after the last event"

    @register_disturbance("a configuration")
    def _publish(self) -> None:
        old = self._configuration
        rules = old.trial
        rules.objective += 0.01
        self._configuration = SoakConfiguration(
            old.version + 1, "other-bookings", [*old.keys, "key-1"], rules
        )
        self._store.write(CONFIGURATION_KEY, self._configuration)

    @register_disturbance("SIGHUP")
    def _reload(self) -> None:
        for instance in self._instances:
            instance.reload()

    @register_disturbance("SIGTERM")
    def _stop(self) -> None:
        self._instances[0].stop()

    @register_disturbance("SIGTERM of another instance")
    def _stop_other(self) -> None:
        self._instances[1].stop()

    @register_disturbance("a removed engine")
    def _remove_target(self) -> None:
        self._store.write(TARGET_PREFIX + self._targets[0].id, None)

    @register_disturbance("a draining engine")
    def _drain_target(self) -> None:
        target = self._targets[0]
        self._store.write(TARGET_PREFIX + target.id, target.entry(is_draining=True))

    @register_disturbance("a crashed engine")
    def _crash_target(self) -> None:
        """Reset the connections of a silent engine halfway through the silence."""
        eventlet.sleep(min(self._trial.silence, _PATIENCE_S) / 2.0)
        for link in self._targets[0].link_by_instance.values():
            link.crash(is_reset=True)

    @register_disturbance("a hanging engine")
    def _hang_target(self) -> None:
        """Let a silent engine accept no connections either."""
        for link in self._targets[0].link_by_instance.values():
            link.cut(CutMode.HANG)


@register_group("lengths")
def _lengths() -> list[Trial]:
    return [
        Trial(0.0),
        *[Trial(seconds) for seconds in (0.3, 0.8, 1.2, 1.7, 2.8, 3.3)],
        Trial(1.2, times=2),
    ]


@register_group("shares")
def _shares() -> list[Trial]:
    return [Trial(s, engines) for s in (1.2, 2.8) for engines in (1, 2, 3)]


@register_group("first")
def _first_events() -> list[Trial]:
    return [
        Trial(seconds, engines, Moment.FIRST)
        for seconds in (1.2, 2.4, 3.0)
        for engines in (2, _ENGINES)
    ]


@register_group("end")
def _ends() -> list[Trial]:
    return [
        Trial(seconds, engines, Moment.END)
        for seconds in (1.2, 2.8)
        for engines in (2, _ENGINES)
    ]


@register_group("dead")
def _dead() -> list[Trial]:
    return [
        Trial(_FOREVER, engines, moment, repeats=repeats)
        for moment in (Moment.FIRST, Moment.MIDDLE)
        for engines in (1, 2)
        for repeats in (7, _STREAMS)
    ]


@register_group("beside")
def _beside() -> list[Trial]:
    return [Trial(1.2, beside=name) for name in DISTURBANCES]


@register_group("budgets")
def _budgets() -> list[Trial]:
    return [
        Trial(1.2, engines, attempts=attempts, repeats=repeats)
        for engines in (2, _ENGINES)
        for attempts in (1, 2, 3)
        for repeats in (1, _STREAMS)
    ]


@register_group("stages")
def _stages() -> list[Trial]:
    return [
        Trial(seconds, engines, moment, has_stage=True)
        for seconds, moment in ((1.2, Moment.MIDDLE), (2.4, Moment.FIRST))
        for engines in (2, _ENGINES)
    ]


@contextmanager
def _deploy(trial: Trial, folder: Path) -> Iterator[SilentDeployment]:
    deployment = SilentDeployment(trial, folder)
    try:
        yield deployment
    finally:
        deployment.close()


def _format(result: Result) -> str:
    """Return a row of the table."""
    endings = ", ".join(
        f"{number} {ending}"
        for ending, number in result.endings.most_common()
        if ending != _WHOLE
    )
    whole = result.endings[_WHOLE]
    gap = f"{result.longest_gap:.2f}"
    return (
        f"| {result.trial.label} | {whole} | {result.sent_again} | {gap} | {endings} |"
    )


def main() -> int:
    """Run trials and print a table."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--only", nargs="+", default=list(GROUPS), choices=GROUPS)
    parser.add_argument("--logs", type=Path, help="folder that keeps settings and logs")
    arguments = parser.parse_args()
    print(f"| Silence | Whole of {_STREAMS} | Sent again | Longest gap | Ended by |")
    print("|---|---|---|---|---|")
    trials = [trial for name in arguments.only for trial in GROUPS[name]()]
    for number, trial in enumerate(trials):
        with tempfile.TemporaryDirectory() as temporary:
            folder = (arguments.logs or Path(temporary)) / str(number)
            folder.mkdir(parents=True, exist_ok=True)
            with _deploy(trial, folder) as deployment:
                print(_format(deployment.run()), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
