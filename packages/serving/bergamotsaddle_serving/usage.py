"""Measures the processor time and timer delays of a daemon, without any I/O."""

import resource
from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now

REPORT_INTERVAL_S = 5.0


class Usage(NamedTuple):
    """Usage of one interval.

    Attributes:
        cpu: Processor time as a fraction of one core.
        delay: Longest delay of a timer, in seconds.
        counts: Increase of each counter, by name.
    """

    cpu: float
    delay: float
    counts: dict[str, int]


def processor_seconds() -> float:
    """Return the user and system processor time of this process."""
    spent = resource.getrusage(resource.RUSAGE_SELF)
    return spent.ru_utime + spent.ru_stime


class UsageMeter:
    """Measures the usage of this process between two reports.

    Delayed timers distinguish an overloaded daemon from one whose requests wait at
    targets.

    Args:
        counters: Functions that read the counters to report, by name.
        processor_seconds: Reads the processor time of this process.
    """

    def __init__(
        self,
        counters: dict[str, Callable[[], int]],
        *,
        processor_seconds: Callable[[], float] = processor_seconds,
    ) -> None:
        self._counters = counters
        self._processor_seconds = processor_seconds
        self._started_at = now()
        self._cpu_before = processor_seconds()
        self._counts_before = self._read()
        self._delay = 0.0

    def record_delay(self, seconds: float) -> None:
        """Record by how many seconds a timer fired late."""
        self._delay = max(self._delay, seconds)

    def collect(self) -> Usage | None:
        """Return the usage since the last report, None before the interval is over."""
        elapsed = now() - self._started_at
        if elapsed < REPORT_INTERVAL_S:
            return None
        spent = self._processor_seconds() - self._cpu_before
        counts = self._read()
        usage = Usage(
            round(spent / elapsed, 4),
            round(self._delay, 4),
            {name: counts[name] - self._counts_before[name] for name in counts},
        )
        self._started_at += elapsed
        self._cpu_before += spent
        self._counts_before = counts
        self._delay = 0.0
        return usage

    def _read(self) -> dict[str, int]:
        return {name: read() for name, read in self._counters.items()}
