"""Reads what targets say about themselves in any of their responses."""

from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.full_targets import FullTargets
from bergamotsaddle_serving.leaving_targets import LeavingTargets
from bergamotsaddle_serving.messages import ResponseHead
from bergamotsaddle_serving.named_limits import NamedLimits
from bergamotsaddle_serving.target_rests import TargetRests
from bergamotsaddle_serving.unreadable_loads import UnreadableLoads

_MISDIRECTED = 421
_UNAVAILABLE = 503


class TargetNotices:
    """The only reader of what targets say about themselves.

    Responses to requests, stage calls and probes all pass through here, rejections
    included. What a response says applies to all later sends, so each path asks again
    just before it sends.

    Args:
        brittleness: Rejections that each brittle target can bear in a second.
        full: Brittle targets that rejected a request.
        leaving: Targets that are about to leave.
        rests: Targets that asked this instance for rest.
        unreadable: Counts loads that can't be read, None to ignore them.
    """

    def __init__(
        self,
        brittleness: NamedLimits,
        full: FullTargets,
        leaving: LeavingTargets,
        rests: TargetRests,
        *,
        unreadable: UnreadableLoads | None = None,
    ) -> None:
        self._unreadable = unreadable
        self._rests = rests
        self._brittleness = brittleness
        self._leaving = leaving
        self._full = full

    def read(self, target: Target, status: int, head: ResponseHead) -> None:
        """Read a response.

        Args:
            target: The target that sent it.
            status: HTTP status.
            head: Its decoded headers.
        """
        if status == _MISDIRECTED:
            # Another target responded.
            return
        if head.has_unreadable_load and self._unreadable is not None:
            self._unreadable.record(target)
        if head.is_leaving:
            self._leaving.record(target)
        # Only the response to a request that has run shows that a notice has ended.
        if head.brittleness is not None or not head.not_run:
            self._brittleness.record(target, head.brittleness)
        if not head.not_run or status != _UNAVAILABLE:
            return
        self._full.record_rejection(target)
        if head.rest_seconds is not None:
            self._rests.record(target, head.rest_seconds)

    def has_room(self, target: Target, requests: int) -> bool:
        """Return whether a target may get a request besides those that it has.

        Args:
            target: The target.
            requests: Requests of all instances at the target, as far as known.
        """
        is_free = self._full.has_room(target, requests)
        return is_free and self._rests.has_room(target, requests)

    def may_send(self, target: Target) -> bool:
        """Return whether a chosen target may still get a request."""
        return not self.wait(target)

    def wait(self, target: Target) -> float:
        """Return for how many seconds a target is to be left alone."""
        return max(self._full.wait(target), self._rests.wait(target))
