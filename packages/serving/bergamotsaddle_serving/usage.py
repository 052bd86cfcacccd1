"""What a daemon takes of its machine. No input or output here."""

import resource
from collections.abc import Callable
from typing import NamedTuple

from bergamotsaddle_daemon.clock import now

REPORT_INTERVAL_S = 5.0


class Usage(NamedTuple):
    """The usage of one interval.

    Attributes:
        cpu: Processor time as a part of one core.
        delay: The longest time that a timer fired late, in seconds.
        counts: How much each counter grew, by name.
    """

    cpu: float
    delay: float
    counts: dict[str, int]


def processor_seconds() -> float:
    """Processor time of this process, user's and system's."""
    spent = resource.getrusage(resource.RUSAGE_SELF)
    return spent.ru_utime + spent.ru_stime


class UsageMeter:
    """Measures the processor time of this process between two reports.

    Late timers tell an overloaded daemon from one whose requests wait at targets.

    Args:
        counters: Read the counters to report, by name.
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
        """Note by how much a timer fired late."""
        self._delay = max(self._delay, seconds)

    def collect(self) -> Usage | None:
        """The usage since the last report, None before the interval is over."""
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
