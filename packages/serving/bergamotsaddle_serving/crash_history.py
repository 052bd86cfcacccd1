"""Weighs the crashes of targets under one request against the runs they outlived.

This module does no input or output.
"""

from bisect import bisect_right
from collections.abc import Collection, Iterable, Iterator
from itertools import pairwise
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.incarnations import Incarnation

# Number of targets that crash under a request before it is quarantined.
MAX_CRASHES = 3
# Crashes that are closer together may have a common cause, such as a lost rack. What
# other targets show of the request meanwhile is known to all instances after this time.
_MOMENT_S = 0.3
# A request is blamed for its crashes if fewer targets than this outlived it.
_SURVIVALS_PER_MOMENT = 2.0
_SURVIVALS_PER_CRASH = 0.75
# Survivals that are told beyond those that keep a request from being blamed. The next
# crash must find it in good standing.
_SPARE_SURVIVALS = 12.0
# Seconds until a quarantined request is tried again, and what the pause is multiplied
# by after each trial that crashed a target: a handful of trials a day.
_FIRST_TRIAL_S = 60.0
_PAUSE_FACTOR = 10.0


class CrashedRun(NamedTuple):
    """A run of a request at a target that crashed.

    Attributes:
        age: For how long the target had been running it, in seconds.
        is_certain: Whether the target ran it when it crashed, or had just completed it.
        request: Digest of the id of the request.
    """

    age: float = 0.0
    is_certain: bool = True
    request: str = ""


class Survival(NamedTuple):
    """A run of a request that its target has outlived, since an earlier crash.

    Attributes:
        at: When it was observed, on the hub's clock.
        software: Service of the target and the version of its software.
    """

    at: float
    software: tuple[str, str]


class _Crash(NamedTuple):
    """A crash of a target under the request.

    Attributes:
        at: When it was observed first, on the hub's clock.
        age: For how long the target had been running the request, in seconds.
        is_certain: Whether the target ran the request when it crashed, or had just
            completed it.
        requests: Digests of the ids under which it ran.
    """

    at: float
    age: float
    is_certain: bool
    requests: frozenset[str]


class _Moment(NamedTuple):
    """Crashes that may have a common cause, and what followed until the next ones.

    Attributes:
        started_at: When the first of them was observed.
        crashes: Their number.
        survivals: Number of runs that targets outlived since.
    """

    started_at: float
    crashes: int
    survivals: int = 0

    @property
    def counted(self) -> int:
        """Number of crashes that count by now."""
        is_over = now() - self.started_at >= _MOMENT_S
        return self.crashes if is_over else 1


class CrashHistory:
    """Crashes under a request, and the runs of it that targets outlived.

    A success takes no crash back. A request is blamed if, from some crash on, crashes
    outweigh the runs that targets outlived. So a request that was sound for long and
    then crashes what runs it is blamed after three crashes, and so is one that crashes
    most of the targets that run it. A popular request that is merely present when
    targets crash is outlived by the other targets that run it.

    A crash that came some time after a run makes a request suspect but does not count
    against it.

    Crashes at one moment count once until a moment has passed in which instances tell
    which other targets go on with the request.
    """

    def __init__(self) -> None:
        self._crash_by_incarnation: dict[Incarnation, _Crash] = {}
        self._survival_by_key: dict[str, Survival] = {}

    def __len__(self) -> int:
        """Number of crashes."""
        return len(self._crash_by_incarnation)

    @property
    def is_empty(self) -> bool:
        """Whether neither a crash nor an outlived run is known."""
        return not self._crash_by_incarnation and not self._survival_by_key

    @property
    def crashes(self) -> Collection[Incarnation]:
        """The incarnations that crashed."""
        return self._crash_by_incarnation.keys()

    @property
    def counted(self) -> list[Incarnation]:
        """The incarnations whose crashes count against the request."""
        return [
            i for i, crash in self._crash_by_incarnation.items() if crash.is_certain
        ]

    @property
    def services(self) -> set[str]:
        """Services of the incarnations that crashed."""
        return {incarnation.service for incarnation in self._crash_by_incarnation}

    @property
    def mean_age(self) -> float:
        """Mean time for which targets had run the request when they crashed, in s."""
        ages = [crash.age for crash in self._crash_by_incarnation.values()]
        return sum(ages) / len(ages) if ages else 0.0

    @property
    def precedence(self) -> tuple[int, int, float]:
        """Order in which requests are looked at, the likeliest cause first.

        A stream that goes on elsewhere meets further crashes under the same id, while a
        fatal request is sent again and again.
        """
        crashes = self._crash_by_incarnation.values()
        requests = frozenset().union(*(crash.requests for crash in crashes))
        return -len(crashes), -len(requests), self.mean_age

    @property
    def youngest_age(self) -> float:
        """Shortest time for which a target had run it when it crashed, in seconds."""
        return min((c.age for c in self._crash_by_incarnation.values()), default=0.0)

    @property
    def last_crash_at(self) -> float:
        """When the last crash was observed, on the hub's clock."""
        return max(crash.at for crash in self._crash_by_incarnation.values())

    @property
    def trial_pause(self) -> float:
        """Seconds from the last crash until the request may be tried again.

        The pause grows with each crash that a trial has caused.
        """
        times = [m.started_at for m in self._moments(self.counted, None)]
        pause = _FIRST_TRIAL_S
        for earlier, later in pairwise(times):
            is_trial = later - earlier >= _FIRST_TRIAL_S
            pause = pause * _PAUSE_FACTOR if is_trial else _FIRST_TRIAL_S
        return pause

    @property
    def last_crash(self) -> Incarnation | None:
        """The incarnation that crashed last."""
        crashes = self._crash_by_incarnation
        return max(crashes, key=lambda i: (crashes[i].at, i), default=None)

    def add_crash(self, incarnation: Incarnation, at: float, run: CrashedRun) -> None:
        """Add a crash, or what another run of the request tells of it.

        Args:
            incarnation: The incarnation that crashed.
            at: When the crash was observed, on the hub's clock.
            run: A run of the request there.
        """
        found = _Crash(at, run.age, run.is_certain, frozenset((run.request,)))
        known = self._crash_by_incarnation.get(incarnation, found)
        self._crash_by_incarnation[incarnation] = _Crash(
            min(known.at, at),
            max(known.age, run.age),
            known.is_certain or run.is_certain,
            known.requests | found.requests,
        )

    def drop_crash(self, incarnation: Incarnation) -> None:
        """Forget a crash."""
        self._crash_by_incarnation.pop(incarnation, None)

    def add_survival(self, key: str, survival: Survival) -> None:
        """Add a run that its target has outlived."""
        self._survival_by_key[key] = survival

    def drop_survival(self, key: str) -> None:
        """Forget a run that its target has outlived, or turns out not to have."""
        self._survival_by_key.pop(key, None)

    def is_blamed(self, crashes: Collection[Incarnation]) -> bool:
        """Return whether the request is to blame for some of its crashes.

        Args:
            crashes: The crashes that no other cause explains.
        """
        if len(crashes) < MAX_CRASHES:
            return False
        versions = {incarnation[:2] for incarnation in crashes}
        return any(self._outweigh(crashes, software) for software in (None, *versions))

    def is_suspect(self, crashes: Collection[Incarnation]) -> bool:
        """Return whether too few targets have outlived it since its last crash."""
        moments = self._moments(crashes, None)
        return bool(moments) and moments[-1].survivals < _SURVIVALS_PER_MOMENT

    def needs_survival(self) -> bool:
        """Return whether one more run that a target outlived could make a difference.

        A popular request is outlived hundreds of times a second.
        """
        moments = self._moments(self.crashes, None)
        return any(
            survivals < needed + _SPARE_SURVIVALS
            for _, survivals, needed in _weigh_backwards(moments, is_final=True)
        )

    def survivals_of(
        self, versions: Collection[tuple[str, str]], *, since: float
    ) -> int:
        """Return how many runs targets with some versions have outlived.

        Args:
            versions: Services and software versions of the targets.
            since: Time from which on runs count, on the hub's clock.
        """
        survivals = self._survival_by_key.values()
        return sum(s.software in versions and s.at >= since for s in survivals)

    def _outweigh(
        self, crashes: Iterable[Incarnation], software: tuple[str, str] | None
    ) -> bool:
        """Return whether crashes outweigh survivals, of one version or of all."""
        moments = self._moments(crashes, software)
        return any(
            counted >= MAX_CRASHES and survivals < needed
            for counted, survivals, needed in _weigh_backwards(moments, is_final=False)
        )

    def _moments(
        self, crashes: Iterable[Incarnation], software: tuple[str, str] | None
    ) -> list[_Moment]:
        """Return the moments of crashes of one version or of all, in order."""
        crashes = [c for c in crashes if software is None or c[:2] == software]
        services = {crash.service for crash in crashes}
        moments = _group(self._crash_by_incarnation[crash].at for crash in crashes)
        for survival in self._survival_by_key.values():
            is_same = software is None or survival.software == software
            if is_same and survival.software[0] in services:
                _count_survival(moments, survival.at)
        return moments


def _group(times: Iterable[float]) -> list[_Moment]:
    """Group times of crashes into moments."""
    moments: list[_Moment] = []
    for at in sorted(times):
        if moments and at - moments[-1].started_at < _MOMENT_S:
            moments[-1] = moments[-1]._replace(crashes=moments[-1].crashes + 1)
        else:
            moments.append(_Moment(at, 1))
    return moments


def _count_survival(moments: list[_Moment], at: float) -> None:
    """Count an outlived run for the last moment before it, if there is one."""
    position = bisect_right(moments, at, key=lambda moment: moment.started_at) - 1
    if position >= 0:
        moment = moments[position]
        moments[position] = moment._replace(survivals=moment.survivals + 1)


def _weigh_backwards(
    moments: list[_Moment], *, is_final: bool
) -> Iterator[tuple[int, int, float]]:
    """Weigh the last moment, the last two and so on.

    Args:
        moments: The moments in order.
        is_final: Whether all crashes of the last moment count already.

    Yields:
        Number of crashes, of survivals, and of the survivals without which the crashes
        outweigh them.
    """
    counted = crashes = survivals = 0
    for number, moment in enumerate(reversed(moments), start=1):
        counted += moment.crashes if is_final else moment.counted
        crashes += moment.crashes
        survivals += moment.survivals
        needed = max(_SURVIVALS_PER_MOMENT * number, _SURVIVALS_PER_CRASH * crashes)
        yield counted, survivals, needed
