"""Finds out whether a target has ended when it breaks off what it runs."""

from collections.abc import Sequence

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import BROKEN_CONNECTION_REASONS, ConnectionPool
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.view import View

# A target that comes back within a few ms listens again before it is asked. Its old
# life then leaves the list within this time.
_PENDING_S = 10.0


class TargetCrashes:
    """Reports ends of targets with the requests that they ran.

    A connection may also be broken off by the network, or by a target that fails a
    request and lives. Only a target that refuses connections, or whose life leaves the
    list without a notice, has ended.

    Args:
        pool: Connections to targets.
        view: Knows which lives there are.
        suspects: Gets the reports.

    Attributes:
        suspects: What the reports come to.
    """

    def __init__(self, pool: ConnectionPool, view: View, suspects: Suspects) -> None:
        self._pool = pool
        self._view = view
        self.suspects = suspects
        self._pending_by_life: dict[
            tuple[str, int], tuple[float, Target, set[str]]
        ] = {}
        view.subscribe(self._note_view)

    def record_failure(self, target: Target, works: Sequence[str], reason: str) -> None:
        """Note that a connection failed while a target ran some requests.

        Args:
            target: The target.
            works: Fingerprints of the requests.
            reason: Why it failed, as ``ConnectionLostError`` tells.
        """
        if reason not in BROKEN_CONNECTION_REASONS or self._view.is_leaving(target):
            return
        if not self._pool.is_refused(target.address):
            pending = self._pending_by_life.setdefault(
                target.incarnation, (now(), target, set())
            )
            pending[2].update(works)
            return
        self.suspects.record_crash(target, works)

    def _note_view(self) -> None:
        since = now() - _PENDING_S
        for life, (moment, target, works) in list(self._pending_by_life.items()):
            if moment < since or self._view.is_leaving(target):
                del self._pending_by_life[life]
            elif not self._view.has_incarnation(target):
                del self._pending_by_life[life]
                self.suspects.record_crash(target, sorted(works))
