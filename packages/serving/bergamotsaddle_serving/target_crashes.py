"""Finds out whether a target has crashed when its connections break."""

from collections import deque
from collections.abc import Callable, Iterable, Sequence
from enum import Enum
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import BROKEN_CONNECTION_REASONS, ConnectionPool
from bergamotsaddle_serving.suspect_parts import SuspectParts, Work
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.view import View

# A target that restarts within a few ms listens again before it is checked. Its old
# incarnation then leaves the list within this time.
_PENDING_S = 10.0
# A target that crashes within this time after a response may have crashed under it.
_PROOF_DELAY_S = 1.0
# A target that loses a caller may crash a moment later.
_ABANDONED_CHECK_S = 0.5


class _End(Enum):
    """How a run ended that may have been interrupted by a crash.

    The value is for how many seconds after it a crash is attributed to the run too.
    """

    BROKEN = _PENDING_S
    # The response ended with its connection, as it does without a length or chunks.
    UNFRAMED = 1.0
    # The caller left. The target may go on for a moment.
    ABANDONED = 2.0


class _Run(NamedTuple):
    """A run at a target that may have crashed.

    Attributes:
        end: How it ended.
        ended_at: When it ended, on the hub's clock.
        work: What ran.
    """

    end: _End
    ended_at: float
    work: Work


class _PendingTarget(NamedTuple):
    """An incarnation that may have crashed, and its interrupted runs."""

    target: Target
    runs: deque[_Run]


class _Success(NamedTuple):
    """A successful run, which is no proof before its target has outlived it.

    Attributes:
        due_at: When it becomes a proof, on the hub's clock.
        target: The target that ran it.
        work: What ran.
    """

    due_at: float
    target: Target
    work: Work


class TargetCrashes:
    """Reports crashes of targets, and runs that are proven to be no cause of any.

    A connection may also be broken by the network, or by a target that fails a
    request and stays up. Only a target that refuses connections while other targets
    accept them, or whose incarnation leaves the list without notice, has crashed.

    A response without a length or chunks ends with its connection, so its end may be
    the crash of its target. A successful run is therefore reported only once its target
    has been listed for some time after it: briefly if the response was framed, for as
    long as a crashed incarnation may be listed if it was not.

    Args:
        pool: Connections to targets.
        view: Listed targets and their incarnations.
        suspects: Gets the reports.
        parts: Gets the reports too.
        reaches_another: Returns whether another target than the given one accepts
            connections from here.

    Attributes:
        suspects: Attributes the reported crashes to requests.
        parts: Attributes them to parts of prompts.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: View,
        suspects: Suspects,
        parts: SuspectParts,
        *,
        reaches_another: Callable[[Target], bool] = lambda target: True,
    ) -> None:
        self._reaches_another = reaches_another
        self._pool = pool
        self._view = view
        self.suspects = suspects
        self.parts = parts
        self._pending_by_incarnation: dict[tuple[str, int], _PendingTarget] = {}
        self._successes_by_framing: dict[bool, deque[_Success]] = {
            True: deque(),
            False: deque(),
        }
        self._checked_incarnations: set[tuple[str, int]] = set()
        view.subscribe(self._on_view_change)

    def has_ended_with_target(self, target: Target) -> bool:
        """Return whether the end of an unframed response was a crash of its target."""
        return not self._view.is_leaving(target) and self._has_crashed(target)

    def record_failure(
        self, target: Target, works: Sequence[Work], reason: str
    ) -> None:
        """Record that a connection failed while a target ran some requests.

        Args:
            target: The target.
            works: What it ran for them.
            reason: Why it failed, the ``reason`` of a ``ConnectionLostError``.
        """
        if reason not in BROKEN_CONNECTION_REASONS or self._view.is_leaving(target):
            return
        self._add_pending(target, _End.BROKEN, works)
        if self._has_crashed(target):
            self._report_crash(target)

    def record_abandoned(self, target: Target, work: Work) -> None:
        """Record that the caller left while a target ran its request.

        No connection shows a crash that follows, so the target is checked once.
        """
        if target.incarnation not in self._checked_incarnations:
            self._checked_incarnations.add(target.incarnation)
            eventlet.spawn_after(_ABANDONED_CHECK_S, self._check_abandoned, target)
        self._add_pending(target, _End.ABANDONED, [work])

    def record_success(
        self, target: Target, works: Sequence[Work], *, is_framed: bool
    ) -> None:
        """Record that a target sent a complete and successful response.

        Args:
            target: The target.
            works: What it ran for the requests.
            is_framed: Whether the response stated where its body ends.
        """
        if not is_framed:
            self._add_pending(target, _End.UNFRAMED, works)
        due_at = now() + (_PROOF_DELAY_S if is_framed else _PENDING_S)
        self._successes_by_framing[is_framed].extend(
            _Success(due_at, target, work) for work in works
        )

    def check_successes(self) -> None:
        """Report the successful runs that their targets have outlived."""
        self._drop_old_runs()
        for successes in self._successes_by_framing.values():
            while successes and successes[0].due_at <= now():
                _, target, work = successes.popleft()
                is_listed = self._view.has_incarnation(target)
                if is_listed and not self.suspects.has_crashed(target):
                    self.suspects.record_success(target, work.fingerprint)
                    self.parts.record_success(target, work.parts)

    def _check_abandoned(self, target: Target) -> None:
        self._checked_incarnations.discard(target.incarnation)
        is_pending = target.incarnation in self._pending_by_incarnation
        if is_pending and self.has_ended_with_target(target):
            self._report_crash(target)

    def _has_crashed(self, target: Target) -> bool:
        """Return whether only this target refuses connections."""
        is_refused = self._pool.is_refused(target.address)
        return is_refused and self._reaches_another(target)

    def _add_pending(self, target: Target, end: _End, works: Iterable[Work]) -> None:
        pending = self._pending_by_incarnation.setdefault(
            target.incarnation, _PendingTarget(target, deque())
        )
        pending.runs.extend(_Run(end, now(), work) for work in works)

    def _report_crash(self, target: Target) -> None:
        """Report a crash with all runs that it may have interrupted."""
        pending = self._pending_by_incarnation.pop(target.incarnation, None)
        if pending is None:
            # Another run at it was interrupted too, and has reported both.
            return
        self._report(
            target,
            [run for run in pending.runs if now() - run.ended_at <= run.end.value],
        )

    def _report(self, target: Target, runs: Sequence[_Run]) -> None:
        work_by_fingerprint = {run.work.fingerprint: run.work for run in runs}
        if not runs:
            return
        self.suspects.record_crash(target, sorted(work_by_fingerprint))
        self.parts.record_crash(target, list(work_by_fingerprint.values()))

    def _on_view_change(self) -> None:
        """Report pending runs of targets whose incarnation has left the list."""
        self._drop_old_runs()
        for incarnation, (target, _) in list(self._pending_by_incarnation.items()):
            if self._view.is_leaving(target):
                del self._pending_by_incarnation[incarnation]
            elif not self._view.has_incarnation(target):
                self._report_unlisted(incarnation)

    def _drop_old_runs(self) -> None:
        since = now() - _PENDING_S
        for incarnation, (_, runs) in list(self._pending_by_incarnation.items()):
            while runs and runs[0].ended_at < since:
                runs.popleft()
            if not runs:
                del self._pending_by_incarnation[incarnation]

    def _report_unlisted(self, incarnation: tuple[str, int]) -> None:
        """Report a crash that is known from the list only.

        A target leaves the list seconds after its crash. Without a broken connection,
        the last of its runs is the best known time of the crash.
        """
        target, runs = self._pending_by_incarnation.pop(incarnation)
        ends = [run for run in runs if run.end is _End.BROKEN]
        ends = ends or [run for run in runs if run.end is _End.UNFRAMED]
        if not ends:
            return
        crashed_at = ends[-1].ended_at
        self._report(
            target,
            [
                run
                for run in runs
                if run.end is _End.BROKEN or crashed_at - run.ended_at <= run.end.value
            ],
        )
