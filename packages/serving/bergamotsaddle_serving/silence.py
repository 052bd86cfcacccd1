"""What is known of a silence of a stream, and of the engines of a service.

This module does no input or output.
"""

from typing import NamedTuple

# Refusals in one silence after which no further hedge is sent.
_MAX_REFUSALS = 3
# Pause between attempts to prepare a hedge. It doubles up to the maximum, as each
# attempt may look at all engines and run stages.
_FIRST_PAUSE_S = 0.2
_MAX_PAUSE_S = 1.6


class KnownSilences(NamedTuple):
    """Which engines of a service have stopped sending.

    Attributes:
        at: When they were looked at, on the hub's clock.
        quiet: Ids of the engines that seem to have stopped.
        responsive: Ids of the others that may get a request.
    """

    at: float
    quiet: frozenset[str]
    responsive: frozenset[str]


class Silence:
    """The time from the last event of a stream until any of its runs goes on.

    Attributes:
        lacks: What hedges lacked, in order of appearance.
        skipped: Ids of engines that could not be used when they were asked last.
        refusals: Number of hedges that engines have refused.
    """

    def __init__(self) -> None:
        self.lacks: list[str] = []
        self.skipped: set[str] = set()
        self.refusals = 0
        self._pause = _FIRST_PAUSE_S

    @property
    def may_hedge(self) -> bool:
        """Whether engines have refused few enough hedges."""
        return self.refusals <= _MAX_REFUSALS

    def record_lack(self, lack: str) -> bool:
        """Record what a hedge lacked; return whether that is new."""
        is_new = lack not in self.lacks
        if is_new:
            self.lacks.append(lack)
        return is_new

    def next_pause(self) -> float:
        """Return the seconds until the next attempt to prepare a hedge."""
        pause = self._pause
        self._pause = min(_MAX_PAUSE_S, 2.0 * pause)
        return pause
