"""How fast each engine reads prompts and writes events.

This module does no input or output.
"""

import math
from collections.abc import Callable, Sequence
from enum import IntEnum
from statistics import median
from typing import Any, NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target, fact_key
from bergamotsaddle_serving.decisions.reporting_services import ReportingServices
from bergamotsaddle_serving.decisions.shared_figures import (
    MEASUREMENT_WEIGHT,
    NOTABLE_OCTAVES,
    FigureSender,
    SharedFigures,
)
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

READING = Topic("engine_reading", ttl_seconds=3_600.0, max_facts=5_000)
WRITING = Topic("engine_writing", ttl_seconds=3_600.0, max_facts=5_000)
HOMES = Topic("engine_home", ttl_seconds=3_600.0, max_facts=5_000)
_PRIORITY = 50.0
# Range of the seconds of an event, and of the seconds to a first event as a multiple
# of the expected ones.
_EVENT_SECONDS = (0.0005, 10.0)
_READING_FACTOR = (0.1, 20.0)
# Range of a figure as a multiple of the service's median. No engine is believed to be
# faster, so that a false figure can't draw all work to one engine.
_MIN_RELATIVE = 0.4
_MAX_RELATIVE = 8.0
# An engine with all slots in use takes this much longer for an event, as a fraction of
# the time with one request.
_FULL_ENGINE_FACTOR = 0.7
# Pauses between events that a measurement needs, and those that it keeps.
_MIN_PAUSES = 4
_MAX_PAUSES = 64
# Weight of a stream in the usual seconds of an event.
_USUAL_WEIGHT = 0.05
# Homes stay where they are until this fraction of a service's engines is measured: the
# median of a few says little of the others.
_MIN_MEASURED_FRACTION = 0.5
_MEDIAN_PAUSE_S = 1.0
# How long the usual seconds of an event count if no stream is measured. Longer ones
# could refuse all streams, none of which would be measured then.
_USUAL_TTL_S = 30.0
# Homes of prompts move at most this often for one engine.
_MIN_HOME_S = 10.0


class Pace(IntEnum):
    """How fast an engine is, in the coarse steps that homes of prompts follow."""

    FAST = 0
    USUAL = 1
    SLOW = 2
    VERY_SLOW = 3


_WEIGHT_BY_PACE = {
    Pace.FAST: 1.5,
    Pace.USUAL: 1.0,
    Pace.SLOW: 0.6,
    Pace.VERY_SLOW: 0.25,
}
# Time relative to the median at which an engine enters a pace, and at which it leaves
# it. They differ, so that an engine at the limit between two does not change often.
_FAST_LIMITS = (0.75, 0.9)
_SLOW_LIMITS = (1.4, 1.15)
_VERY_SLOW_LIMITS = (2.6, 2.0)
# Difference of an estimate that is told: that which one measurement makes that is as
# far off as the limits of a pace are from each other. Each instance measures an engine
# rarely and starts from the shared figure, so what none of them tells is lost, and a
# figure just below a limit would stay there whatever they measure.
_NOTABLE_WRITING = MEASUREMENT_WEIGHT * math.log2(_FAST_LIMITS[1] / _FAST_LIMITS[0])


class EngineSpeed:
    """Speed of one incarnation of an engine, as this instance knows it.

    Attributes:
        service: Service of the engine.
        reading: Time to read a prompt relative to the service's median.
        writing: Time to write an event, likewise.
        pace: Its pace, the same at all instances.
        weight: Weight in the choice of homes.
    """

    __slots__ = ("pace", "reading", "service", "weight", "writing")

    def __init__(self, service: str = "") -> None:
        self.service = service
        self.reading = 1.0
        self.writing = 1.0
        self.pace = Pace.USUAL
        self.weight = 1.0


USUAL_SPEED = EngineSpeed()


def load_factor(running: int, slots: int) -> float:
    """Return how much longer an event takes beside other requests than alone."""
    return 1.0 + _FULL_ENGINE_FACTOR * min(1.0, running / max(1, slots))


class WritingTimes(NamedTuple):
    """How long a run took to write an event.

    Attributes:
        mean: Mean of the pauses between events, in seconds.
        median: Median of them. It leaves out the time in which the engine read prompts
            of other requests, and thus shows how fast the engine itself is.
    """

    mean: float
    median: float


class EventMeter:
    """Measures how fast one run writes events.

    Attributes:
        events: Number of its events.
    """

    def __init__(self) -> None:
        self.events = 0
        self._first_at = 0.0
        self._last_at = 0.0
        self._first_events = 0
        self._pauses: list[float] = []

    def add(self, events: int) -> None:
        """Add events that have just arrived."""
        at = now()
        if not self.events:
            self._first_at = at
            self._first_events = events
        elif len(self._pauses) < _MAX_PAUSES:
            self._pauses.append((at - self._last_at) / events)
        self._last_at = at
        self.events += events

    def times(self) -> WritingTimes | None:
        """Return how long an event took, None if there were too few."""
        if len(self._pauses) < _MIN_PAUSES:
            return None
        later = self.events - self._first_events
        mean = (self._last_at - self._first_at) / later
        return WritingTimes(mean, median(self._pauses))


class _Usual:
    """Mean of recent values, of all as long as there are few."""

    def __init__(self) -> None:
        self.value = 0.0
        self._weight = 1.0
        self._added_at = now()

    @property
    def is_recent(self) -> bool:
        """Whether a value was added lately."""
        return now() - self._added_at < _USUAL_TTL_S

    def add(self, value: float) -> None:
        """Add a value."""
        self._added_at = now()
        self.value += self._weight * (value - self.value)
        self._weight = max(_USUAL_WEIGHT, self._weight / (1.0 + self._weight))


class EngineSpeeds:
    """Speeds of all engines, which all instances learn together.

    This serves fleets whose engines share machines: some take twice as long as others
    for the same request, or turn slow for a while, and each instance sees an engine
    about once a minute. What one instance measures at its streams is told to all. A
    figure belongs to one incarnation; a new one counts as usual until it is measured.

    Args:
        gossip: Carries the figures to all instances.
        publish: Sends new facts to the other instances.
        logger: Gets a line when this instance changes the pace of an engine.
        reporting: Services whose targets report how fast they work; only the speeds
            of their engines are learnt.
        instances: Returns the number of instances.
        policy: Enabled mechanisms.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        logger: Any,
        *,
        reporting: ReportingServices,
        instances: Callable[[], int],
        policy: Policy = FULL_POLICY,
    ) -> None:
        self._gossip = gossip
        sender = FigureSender(publish, instances)
        self._pace_sender = FigureSender(publish, instances)
        self._logger = logger
        self._reporting = reporting
        self._is_enabled = policy.has(Mechanism.ENGINE_SPEEDS)
        self._speed_by_key: dict[str, EngineSpeed] = {}
        self._keys_by_service: dict[str, set[str]] = {}
        self._pace_by_key: dict[str, Pace] = {}
        self._medians_by_service: dict[str, tuple[float, float]] = {}
        self._event_seconds_by_service: dict[str, _Usual] = {}
        self._mostly_measured: set[str] = set()
        self._refreshed_at: dict[str, float] = {}
        self._reading = self._make_figures(sender, READING, _READING_FACTOR)
        self._writing = self._make_figures(
            sender, WRITING, _EVENT_SECONDS, notable=_NOTABLE_WRITING
        )
        gossip.subscribe(HOMES, self._on_pace, priority=lambda key: _PRIORITY)

    def is_learnt(self, service: str) -> bool:
        """Return whether the speeds of a service's engines are learnt."""
        return self._is_enabled and service in self._reporting

    def of(self, target: Target) -> EngineSpeed:
        """Return the speed of an engine, which is updated as more is learnt."""
        key = target.key
        speed = self._speed_by_key.get(key)
        if speed is None:
            speed = self._speed_by_key[key] = EngineSpeed(target.service)
            self._keys_by_service.setdefault(target.service, set()).add(key)
            self._set_pace(speed, self._pace_by_key.get(key, Pace.USUAL))
            self._update(key)
        return speed

    def event_seconds(self, service: str) -> float | None:
        """Return the usual seconds of an event at an engine of a service.

        They are those of a usual engine beside no other request, None if no stream has
        shown them lately.
        """
        self._refresh(service)
        usual = self._event_seconds_by_service.get(service)
        return usual.value if usual is not None and usual.is_recent else None

    def record_reading(self, target: Target, seconds: float, expected: float) -> None:
        """Record the seconds to the first event, and what was expected."""
        if self.is_learnt(target.service) and expected > 0.0:
            self.of(target)
            self._reading.record(target.key, seconds / expected)

    def record_writing(
        self, target: Target, times: WritingTimes | None, *, running: int
    ) -> None:
        """Record how fast an engine wrote the events of a run.

        Args:
            target: The engine.
            times: How long an event took, None if there were too few.
            running: Requests of all instances at the engine, as last reported.
        """
        service = target.service
        if times is None or not self.is_learnt(service):
            return
        speed = self.of(target)
        load = load_factor(running, target.slots)
        was_measured = self._writing.has_shared(target.key)
        self._refresh(service)
        before = speed.writing
        self._writing.record(target.key, times.median / load)
        usual = self._event_seconds_by_service.get(service)
        if usual is None or not usual.is_recent:
            usual = self._event_seconds_by_service[service] = _Usual()
        usual.add(min(_EVENT_SECONDS[1], times.median) / load / speed.writing)
        _, typical = self._medians_by_service[service]
        if was_measured and service in self._mostly_measured:
            measured = times.median / load / typical
            self._choose_pace(target, speed, before, measured)

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget the speeds of all other target incarnations."""
        kept = {fact_key(incarnation) for incarnation in incarnations}
        self._reading.keep_only(kept)
        self._writing.keep_only(kept)
        for key in [key for key in self._pace_by_key if key not in kept]:
            self._gossip.forget(HOMES, key)
        for key in [key for key in self._speed_by_key if key not in kept]:
            speed = self._speed_by_key.pop(key)
            self._keys_by_service[speed.service].discard(key)
            # A request that still runs there may hold it.
            speed.reading = speed.writing = 1.0
            self._set_pace(speed, Pace.USUAL)

    def count_known(self) -> int:
        """Return the number of engines whose writing is known."""
        return len(self._writing)

    def count_slow(self) -> int:
        """Return the number of engines that count as slow."""
        return sum(pace >= Pace.SLOW for pace in self._pace_by_key.values())

    def _make_figures(
        self,
        sender: FigureSender,
        topic: Topic,
        limits: tuple[float, float],
        *,
        notable: float = NOTABLE_OCTAVES,
    ) -> SharedFigures:
        lowest, highest = limits
        return SharedFigures(
            self._gossip,
            sender,
            topic,
            lowest=lowest,
            highest=highest,
            notable=notable,
            on_change=self._update,
        )

    def _choose_pace(
        self, target: Target, speed: EngineSpeed, before: float, measured: float
    ) -> None:
        """Change the pace of an engine as far as two measurements agree on it.

        Args:
            target: The engine.
            speed: Its speed.
            before: Time of an event relative to the median as estimated before.
            measured: The same as measured now.
        """
        key = target.key
        paces = (next_pace(speed.pace, before), next_pace(speed.pace, measured))
        pace = median((speed.pace, *paces))
        if pace is speed.pace:
            self._pace_sender.drop(HOMES, key)
            return
        if self._may_change_pace(key):
            self._pace_sender.offer(
                HOMES, key, lambda: self._change_pace(target, pace, measured)
            )

    def _may_change_pace(self, key: str) -> bool:
        if key not in self._pace_by_key:
            return True
        return now() - self._gossip.observed_at(HOMES, key) >= _MIN_HOME_S

    def _change_pace(self, target: Target, pace: Pace, measured: float) -> Fact | None:
        speed = self._speed_by_key.get(target.key)
        if speed is None or speed.pace is pace:
            return None
        if not self._may_change_pace(target.key):
            return None
        self._logger.info(
            "engine_pace",
            target=target.id,
            pace=pace.name.lower(),
            before=speed.pace.name.lower(),
            writing=round(speed.writing, 2),
            measured=round(measured, 2),
        )
        return self._gossip.record(HOMES, target.key, float(pace))

    def _on_pace(self, key: str, value: float | None) -> None:
        if value is None:
            self._pace_by_key.pop(key, None)
        elif value in list(Pace):
            self._pace_by_key[key] = Pace(int(value))
        speed = self._speed_by_key.get(key)
        if speed is not None:
            self._set_pace(speed, self._pace_by_key.get(key, Pace.USUAL))

    @staticmethod
    def _set_pace(speed: EngineSpeed, pace: Pace) -> None:
        speed.pace = pace
        speed.weight = _WEIGHT_BY_PACE[pace]

    def _update(self, key: str) -> None:
        speed = self._speed_by_key.get(key)
        if speed is None:
            return
        reading, writing = self._medians_by_service.get(speed.service, (1.0, 0.0))
        speed.reading = _relative(self._reading.get(key), reading)
        speed.writing = _relative(self._writing.get(key), writing)

    def _refresh(self, service: str) -> None:
        """Work out the medians of a service anew, at most once a second."""
        if now() - self._refreshed_at.get(service, -_MEDIAN_PAUSE_S) < _MEDIAN_PAUSE_S:
            return
        self._refreshed_at[service] = now()
        keys = self._keys_by_service.get(service, ())
        reading = [f for key in keys if (f := self._reading.get(key)) is not None]
        writing = [f for key in keys if (f := self._writing.get(key)) is not None]
        self._medians_by_service[service] = (
            median(reading) if reading else 1.0,
            median(writing) if writing else 0.0,
        )
        if writing and len(writing) >= _MIN_MEASURED_FRACTION * len(keys):
            self._mostly_measured.add(service)
        else:
            self._mostly_measured.discard(service)
        for key in keys:
            self._update(key)


def next_pace(pace: Pace, relative: float) -> Pace:
    """Return the pace of an engine after a measurement.

    Args:
        pace: Its pace so far.
        relative: Time that it takes relative to the median.
    """
    if relative > _VERY_SLOW_LIMITS[pace is Pace.VERY_SLOW]:
        return Pace.VERY_SLOW
    if relative > _SLOW_LIMITS[pace >= Pace.SLOW]:
        return Pace.SLOW
    if relative < _FAST_LIMITS[pace is Pace.FAST]:
        return Pace.FAST
    return Pace.USUAL


def _relative(figure: float | None, usual: float) -> float:
    if figure is None or not usual:
        return 1.0
    return min(_MAX_RELATIVE, max(_MIN_RELATIVE, figure / usual))
