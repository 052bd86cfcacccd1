"""Finds out whether a target has crashed when its connections break."""

from collections.abc import Callable, Sequence

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import BROKEN_CONNECTION_REASONS, ConnectionPool
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.view import View

# A target that restarts within a few ms listens again before it is checked. Its old
# incarnation then leaves the list within this time.
_PENDING_S = 10.0


class TargetCrashes:
    """Reports crashes of targets with the requests that they ran.

    A connection may also be broken by the network, or by a target that fails a
    request and stays up. Only a target that refuses connections while other targets
    accept them, or whose incarnation leaves the list without notice, has crashed.

    Args:
        pool: Connections to targets.
        view: Listed targets and their incarnations.
        suspects: Gets the reports.
        reaches_another: Returns whether another target than the given one accepts
            connections from here.

    Attributes:
        suspects: Attributes the reported crashes to requests.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: View,
        suspects: Suspects,
        *,
        reaches_another: Callable[[Target], bool] = lambda target: True,
    ) -> None:
        self._reaches_another = reaches_another
        self._pool = pool
        self._view = view
        self.suspects = suspects
        self._pending_by_incarnation: dict[
            tuple[str, int], tuple[float, Target, set[str]]
        ] = {}
        view.subscribe(self._on_view_change)

    def record_failure(
        self, target: Target, fingerprints: Sequence[str], reason: str
    ) -> None:
        """Record that a connection failed while a target ran some requests.

        Args:
            target: The target.
            fingerprints: Fingerprints of the requests.
            reason: Why it failed, the ``reason`` of a ``ConnectionLostError``.
        """
        if reason not in BROKEN_CONNECTION_REASONS or self._view.is_leaving(target):
            return
        is_refused = self._pool.is_refused(target.address)
        if not is_refused or not self._reaches_another(target):
            pending = self._pending_by_incarnation.setdefault(
                target.incarnation, (now(), target, set())
            )
            pending[2].update(fingerprints)
            return
        self.suspects.record_crash(target, fingerprints)

    def _on_view_change(self) -> None:
        """Report pending failures of targets whose incarnation has left the list."""
        since = now() - _PENDING_S
        for incarnation, (failed_at, target, fingerprints) in list(
            self._pending_by_incarnation.items()
        ):
            if failed_at < since or self._view.is_leaving(target):
                del self._pending_by_incarnation[incarnation]
            elif not self._view.has_incarnation(target):
                del self._pending_by_incarnation[incarnation]
                self.suspects.record_crash(target, sorted(fingerprints))
