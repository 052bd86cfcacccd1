"""What happened in a soak, as its operators, callers and targets recorded it.

This module does no input or output.
"""

from collections.abc import Collection, Mapping, Sequence
from typing import Generic, NamedTuple, TypeVar

from bergamotsaddle_standins.soak_callers import Exchange
from bergamotsaddle_standins.soak_dialect import ATTEMPTS_BY_PREFIX, STREAM_PREFIXES
from bergamotsaddle_standins.soak_hush import Hush
from bergamotsaddle_standins.soak_store import LAPSE_S
from bergamotsaddle_standins.soak_targets import Arrival, Ledger, Run, StageCall

T = TypeVar("T")

# A request that was sent this early in a stop may be cut in the last part of the grace
# period if a target still runs it.
_STOP_NOTICE_S = 3.0
_LAST_PART_OF_GRACE = 1.0 / 6.0
# The bounds on changes hold while processes get processor time. A timer that fires this
# late shows that they do not, and for how long afterwards nothing can be concluded.
MIN_STALL_S = 0.1
_STALL_EFFECT_S = 5.0
# Instances without targets have this long to find another way to them.
STABLE_S = 3.0
# A stream can go on while this many engines of its version serve.
MIN_ENGINES = 2


class Versions(Generic[T]):
    """A value that operators change, with the times of their changes.

    Args:
        value: The first value.
    """

    def __init__(self, value: T) -> None:
        self._changes: list[tuple[float, T]] = [(float("-inf"), value)]

    def record(self, acknowledged_at: float, value: T) -> None:
        """Record a change and when it was acknowledged."""
        self._changes.append((acknowledged_at, value))

    def in_force(self, since: float, until: float, bound: float) -> list[T]:
        """Return the values that may be in force at some time of a span.

        Args:
            since: Start of the span.
            until: End of the span.
            bound: Seconds after its acknowledgement at which a change must be in force.
        """
        settled = [value for at, value in self._changes if at <= since - bound]
        recent = [value for at, value in self._changes if since - bound < at <= until]
        return [settled[-1], *recent]


class Cut(NamedTuple):
    """A time in which some instances reach no target.

    Attributes:
        hosts: IP addresses of the instances.
        started_at: When it began, on the hub's clock.
        ended_at: When it ended.
    """

    hosts: frozenset[str]
    started_at: float
    ended_at: float


class BrittleTime(NamedTuple):
    """A time in which the targets of a service are brittle.

    Attributes:
        targets: Number of these targets.
        started_at: When it began, on the hub's clock.
        ended_at: When it ended.
    """

    targets: int
    started_at: float
    ended_at: float


class ServingTime(NamedTuple):
    """A time in which an engine serves.

    Attributes:
        software: Version of its software.
        started_at: When its entry was written, on the hub's clock.
        ended_at: When it announced that it leaves, or was removed.
        engine: Its id.
    """

    software: str
    started_at: float
    ended_at: float = float("inf")
    engine: str = ""


class SoakRecord(NamedTuple):
    """What happened in a soak.

    Attributes:
        exchanges: Requests that were sent as a whole, and what their callers got.
        ledger: What the targets ran.
        bookings: Service that runs bookings.
        keys: Valid API keys.
        left_at: When the leave of each target was acknowledged.
        bound: Seconds until a change must be in force.
        grace: Seconds between the signal to stop and the kill of an instance.
        stops_by_host: Times at which each instance was told to stop.
        stalls: Times at which a timer of the soak fired late.
        cuts: Times in which instances reached no target.
        brittle_times: Times in which targets failed when they rejected many requests.
        serving_times: Times in which engines served.
        kills_by_host: Times at which each instance was killed.
        removed: Ids of targets whose entry was removed without a notice.
        returned_at: Times at which the store returned from an older copy.
        told_gone_at: When the store told each instance that a target is gone, by their
            ids.
        ends_by_instance: Times at which each instance was told to stop, or killed.
        starts_by_instance: Times at which a process of each instance started.
        hushes: Times in which targets held back all bytes.
    """

    exchanges: list[Exchange]
    ledger: Ledger
    bookings: Versions[str]
    keys: Versions[tuple[str, ...]]
    left_at: dict[str, float]
    bound: float
    grace: float
    stops_by_host: dict[str, list[float]]
    stalls: list[float]
    cuts: Sequence[Cut] = ()
    brittle_times: Sequence[BrittleTime] = ()
    serving_times: Sequence[ServingTime] = ()
    kills_by_host: Mapping[str, Sequence[float]] = {}
    removed: Collection[str] = ()
    returned_at: Sequence[float] = ()
    told_gone_at: Mapping[tuple[str, str], float] = {}
    ends_by_instance: Mapping[str, Sequence[float]] = {}
    starts_by_instance: Mapping[str, Sequence[float]] = {}
    hushes: Sequence[Hush] = ()

    def count_serving(self, software: bytes | None, exchange: Exchange) -> int:
        """Return how many engines of a version, or of any, served all the while."""
        return len(self._find_serving(software, exchange))

    def _find_serving(
        self, software: bytes | None, exchange: Exchange
    ) -> list[ServingTime]:
        return [
            time
            for time in self.serving_times
            if software in (None, time.software.encode())
            and time.started_at + self.bound <= exchange.started_at
            and time.ended_at >= exchange.ended_at
        ]

    def _has_way_on(self, software: bytes | None, exchange: Exchange) -> bool:
        """Return whether another engine than those that broke a stream off served."""
        serving = self._find_serving(software, exchange)
        broken = self.ledger.breakers_by_request[exchange.request.id]
        is_any_sound = any(time.engine not in broken for time in serving)
        return len(serving) >= MIN_ENGINES and is_any_sound

    def has_engine(self, exchange: Exchange) -> bool:
        """Return whether an engine was known to serve when a stream was requested.

        Other requests need none.
        """
        if not exchange.request.path.startswith(STREAM_PREFIXES):
            return True
        return not self.serving_times or any(
            time.started_at + self.bound <= exchange.started_at <= time.ended_at
            for time in self.serving_times
        )

    def is_killed(self, exchange: Exchange) -> bool:
        """Return whether an instance that served a request was killed meanwhile.

        An instance without targets has another one serve its requests.
        """
        hosts = {exchange.host}
        for cut in self.cuts:
            is_meanwhile = (
                cut.started_at <= exchange.ended_at
                and exchange.started_at <= cut.ended_at + STABLE_S
            )
            if exchange.host in cut.hosts and is_meanwhile:
                hosts |= self.kills_by_host.keys()
        return any(
            exchange.started_at <= kill <= exchange.ended_at
            for host in hosts
            for kill in self.kills_by_host.get(host, ())
        )

    def is_disturbed(self, exchange: Exchange) -> bool:
        """Return whether the instance of a request was not in touch meanwhile."""
        kills = self.kills_by_host.get(exchange.host, ())
        return (
            self.is_near_stop(exchange)
            or self.is_broken_by_cut(exchange)
            or self.was_stalled(exchange.ended_at)
            or any(
                exchange.started_at - STABLE_S <= kill <= exchange.ended_at
                for kill in kills
            )
        )

    def lateness(self, use: Run | StageCall) -> float:
        """Return how much too late an instance used a target, in seconds.

        An entry that is missing just after a return of the store may have lapsed, and
        is gone some time after the return. An instance that was told before the return
        that the entry is gone knows it all the same.
        """
        gone_at = self.left_at.get(use.target, use.at)
        if use.target in self.removed:
            for returned_at in self.returned_at:
                if gone_at - LAPSE_S <= returned_at <= gone_at + self.bound:
                    gone_at = max(gone_at, returned_at + LAPSE_S)
            gone_at = min(gone_at, self._told_gone_at(use))
        return use.at - gone_at - self.bound

    def told_leaving_at(self, arrival: Arrival) -> float:
        """Return when the sending process was told that a target leaves.

        Returns:
            The time, that of the arrival if an earlier process was told only.
        """
        starts = self.starts_by_instance.get(arrival.instance, ())
        told = self.ledger.told_leaving.get((arrival.instance, arrival.target), ())
        return min(
            (
                response.at
                for response in told
                if not any(response.arrived_at < at <= arrival.at for at in starts)
            ),
            default=arrival.sent_at,
        )

    def _told_gone_at(self, use: Run | StageCall) -> float:
        """Return when an instance was told that a target is gone, if it still knows."""
        told_at = self.told_gone_at.get((use.instance, use.target), use.at)
        ends = self.ends_by_instance.get(use.instance, ())
        has_ended = any(told_at <= end <= use.at for end in ends)
        return use.at if has_ended else told_at

    def was_stalled(self, at: float) -> bool:
        """Return whether the machine was too busy for the bounds before a time."""
        return any(at - _STALL_EFFECT_S <= stall <= at for stall in self.stalls)

    def is_cut_by_stop(self, exchange: Exchange) -> bool:
        """Return whether a running request may be cut since the grace period ends."""
        return any(
            exchange.sent_at <= stop + _STOP_NOTICE_S
            and exchange.ended_at >= stop + self.grace * (1.0 - _LAST_PART_OF_GRACE)
            for stop in self.stops_by_host.get(exchange.host, ())
            if stop <= exchange.ended_at <= stop + self.grace
        )

    def is_broken_by_cut(self, exchange: Exchange) -> bool:
        """Return whether a cut may have broken a request while a target ran it.

        Instances also serve requests that others hand over, so it may have been a cut
        of any instance. The failure of a brittle target and the crash of an engine
        break requests as well, also those that have not reached it yet.
        """
        # Only streams run at engines.
        is_stream = exchange.request.path.startswith(STREAM_PREFIXES)
        crashes = [crash.at for crash in self.ledger.fatal_crashes if is_stream]
        if any(
            exchange.started_at <= at <= exchange.ended_at
            for at in (*self.ledger.falls, *crashes)
        ):
            return True
        return any(
            exchange.started_at <= cut.started_at + STABLE_S
            and exchange.ended_at >= cut.started_at
            for cut in self.cuts
        )

    def is_broken_by_targets(self, exchange: Exchange) -> bool:
        """Return whether as many runs of a request broke off as it may have."""
        request = exchange.request
        breaks = self.ledger.breaks_by_request[request.id]
        return breaks >= ATTEMPTS_BY_PREFIX[request.prefix]

    def is_without_engine(self, exchange: Exchange) -> bool:
        """Return whether a stream broke off while no other engine had its version."""
        if (
            not exchange.events
            or not self.ledger.breaks_by_request[exchange.request.id]
        ):
            return False
        software = exchange.events[0][1]
        return bool(self.serving_times) and not self._has_way_on(software, exchange)

    def has_one_engine(self, exchange: Exchange) -> bool:
        """Return whether a stream broke off while no other engine served at all."""
        return (
            exchange.request.path.startswith(STREAM_PREFIXES)
            and bool(self.serving_times)
            and self.ledger.breaks_by_request[exchange.request.id] > 0
            and not self._has_way_on(None, exchange)
        )

    def describe_runs(self, request: str) -> str:
        """Return where a request was run, and how many of its runs broke off."""
        targets = [run.target for run in self.ledger.runs_by_request.get(request, ())]
        breaks = self.ledger.breaks_by_request[request]
        if not targets:
            return "not run"
        hushed = {target for hush in self.hushes for target in hush.targets}
        silent = sorted(hushed.intersection(targets))
        return f"run at {targets}, {breaks} broke off, silent at times: {silent}"

    def is_near_stop(self, exchange: Exchange) -> bool:
        """Return whether the instance stopped, or had just started, meanwhile."""
        return self._is_near_stop(exchange.host, exchange.started_at)

    def has_helper(self, cut: Cut, exchange: Exchange) -> bool:
        """Return whether an instance that reaches the targets served in a cut."""
        others = self.stops_by_host.keys() - cut.hosts
        at = exchange.started_at
        return not others or any(not self._is_near_stop(host, at) for host in others)

    def _is_near_stop(self, host: str, at: float) -> bool:
        return any(
            stop - STABLE_S <= at <= stop + self.grace + STABLE_S
            for stop in self.stops_by_host.get(host, ())
        )
