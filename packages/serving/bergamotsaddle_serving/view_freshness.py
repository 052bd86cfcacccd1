"""Decides how often the view is confirmed, and when its age requires another source.

This module does no input or output.
"""

from typing import NamedTuple

# Fractions of the bound. A source that has not responded when the view is overdue is
# given up; the rest of the bound is for other sources, one of which may be silent too.
_WATCH_FRACTION = 0.35
_RESPONSE_FRACTION = 0.2
_OVERDUE_FRACTION = 0.6
# How much longer a request at a reader is held than the reader's own watch.
_HOLD_MARGIN_FRACTION = 0.1
# Longest pause in which changes are collected before they are read together.
_PAUSE_FRACTION = 0.2
# A call that only asks whether there are changes.
_MIN_WAIT_S = 0.05


class ViewFreshness(NamedTuple):
    """Computes time-outs that keep the age of a view within a bound.

    This handles a store, or readers one after the other, that stop responding without
    closing connections while operators change the configuration. How long a source may
    hold a call depends on the age of the view, which counts from the last confirmation
    by any source. The time-outs of several silent sources therefore do not add up.

    Attributes:
        bound: Seconds until a change in the store must be in force.
    """

    bound: float

    @property
    def response_timeout(self) -> float:
        """Seconds after which a source that should have responded counts as silent."""
        return self.bound * _RESPONSE_FRACTION

    @property
    def overdue_age(self) -> float:
        """Age in seconds at which a view needs another source at once."""
        return self.bound * _OVERDUE_FRACTION

    def is_overdue(self, age: float) -> bool:
        """Return whether a view of this age needs another source at once."""
        return age > self.overdue_age

    def watch_wait(self, age: float) -> float:
        """Return for how many seconds the store may hold a watch without changes.

        Args:
            age: Age of the view in seconds.
        """
        return max(_MIN_WAIT_S, self.bound * _WATCH_FRACTION - age)

    def limit_pause(self, seconds: float) -> float:
        """Return a pause between two watches, limited to what the bound leaves."""
        return min(seconds, self.bound * _PAUSE_FRACTION)

    def reader_wait(self, age: float) -> float:
        """Return for how many seconds a reader may hold a request without changes."""
        held = self.bound * (_WATCH_FRACTION + _HOLD_MARGIN_FRACTION)
        return max(_MIN_WAIT_S, held - age)

    def reader_timeout(self, age: float) -> float:
        """Return after how many seconds an unanswered request is given up."""
        return max(self.response_timeout, self.overdue_age - age)
