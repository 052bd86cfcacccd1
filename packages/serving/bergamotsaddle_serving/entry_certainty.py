"""Decides whether a target still runs the software that its entry names.

This module does no input or output.
"""

from collections import OrderedDict
from math import inf

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.view import View

# The entry of a target that starts again with other software under its old id may be
# this late. What the target sent meanwhile may come from either version.
_MAX_ENTRY_LAG_S = 3.0
_MAX_ENDED = 5_000


class EntryCertainty:
    """Knows which targets may have started again since their entries were read.

    A target that refuses connections has ended. If it accepts them again, its entry
    may still be the one from before, for as long as the store takes no writes or does
    not answer. It names what runs there again once the view has been up to date for
    some seconds.

    Args:
        view: Listed targets, and when the store confirmed them.
    """

    def __init__(self, view: View) -> None:
        self._view = view
        self._ended_at_by_incarnation: OrderedDict[tuple[str, int], float]
        self._ended_at_by_incarnation = OrderedDict()
        # The last confirmation before an outage of the view, and the end of the outage.
        self._held_at = -inf
        self._regained_at = -inf

    def record_end(self, incarnation: tuple[str, int], ended_at: float) -> None:
        """Record that an incarnation of a target has ended.

        Args:
            incarnation: The incarnation.
            ended_at: When it was seen to have ended, on the hub's clock.
        """
        ended = self._ended_at_by_incarnation
        known_at = ended.pop(incarnation, -inf)
        ended[incarnation] = max(known_at, ended_at)
        if len(ended) > _MAX_ENDED:
            ended.popitem(last=False)

    def is_certain(self, target: Target) -> bool:
        """Return whether a target runs the software that its entry names."""
        ended_at = self._ended_at_by_incarnation.get(target.incarnation, -inf)
        return ended_at <= self.certain_at()

    def certain_at(self) -> float:
        """Return until when all entries have named the right software.

        It has to be called now and then while the view is out of date.
        """
        at = now()
        confirmed_at = self._view.confirmed_at
        if at - confirmed_at > _MAX_ENTRY_LAG_S:
            if self._regained_at < inf:
                self._held_at = confirmed_at
            self._regained_at = inf
        elif self._regained_at == inf:
            self._regained_at = at
        if at < self._regained_at + _MAX_ENTRY_LAG_S:
            return self._held_at - _MAX_ENTRY_LAG_S
        return min(at, confirmed_at) - _MAX_ENTRY_LAG_S
