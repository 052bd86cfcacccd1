"""Finds out whether a target has crashed when its connections break."""

import contextlib
import random
from collections import OrderedDict, defaultdict, deque
from collections.abc import Callable, Iterable, Iterator, Sequence
from enum import Enum, auto
from typing import NamedTuple

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import (
    BROKEN_CONNECTION_REASONS,
    SILENT,
    ConnectionPool,
)
from bergamotsaddle_serving.crash_history import CrashedRun
from bergamotsaddle_serving.fingerprint import digest_id
from bergamotsaddle_serving.health import TargetState
from bergamotsaddle_serving.incarnations import Incarnation
from bergamotsaddle_serving.survival_proofs import SurvivalProofs
from bergamotsaddle_serving.suspect_parts import SuspectParts, Work
from bergamotsaddle_serving.suspects import Suspects
from bergamotsaddle_serving.target_life import TargetLife
from bergamotsaddle_serving.view import View

# A target that restarts within a few ms listens again before it is checked. Its old
# incarnation then leaves the list within this time.
_PENDING_S = 10.0
# Time from a crash until the entry of the target has lapsed.
_MAX_LAPSE_S = 3.0
# A target that crashes within this time after a response may have crashed under it.
_PROOF_DELAY_S = 1.0
# Time that a check of a target and the report of its crash take.
_REPORT_S = 0.1
# A target that loses a caller may crash a moment later.
_ABANDONED_CHECK_S = 0.5
# A target that runs a request for this much longer than a crashed one has outlived it.
_OUTLIVED_S = 0.3
# Instances tell what their targets have outlived at different times within this delay,
# so that most find enough of it told already.
_MAX_TELL_DELAY_S = 0.15
# A target that has left the list and sent nothing for this long has crashed.
_SILENCE_S = 1.0
# Number of incarnations that are remembered as having given notice.
_MAX_LEFT = 1_000
# A run that its target has outlived so far may still be interrupted by a crash.
_ONGOING_PROOF_S = 2.0


class _End(Enum):
    """How a run ended that may have been interrupted by a crash."""

    BROKEN = auto()
    """Its connection broke."""
    SILENT = auto()
    """Its target sent nothing more, as at a loss of power."""
    WHOLE = auto()
    """The response was whole. What the request left may crash the target."""
    UNFRAMED = auto()
    """The response ended with its connection, as without a length or chunks."""
    ABANDONED = auto()
    """The caller left. The target may go on for a moment."""


# For how many seconds after its end a crash is attributed to a run too.
_SECONDS_BY_END = {
    _End.BROKEN: _PENDING_S,
    _End.SILENT: _PENDING_S,
    _End.WHOLE: _PROOF_DELAY_S,
    _End.UNFRAMED: _PROOF_DELAY_S,
    _End.ABANDONED: 2.0,
}
# Ends from which the time of an unobserved crash is estimated, the surest ones first.
_ENDS_OF_UNLISTED = ((_End.BROKEN, _End.SILENT), (_End.UNFRAMED,), (_End.WHOLE,))


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

    @property
    def is_whole(self) -> bool:
        """Whether the response looked complete."""
        return self.end in (_End.WHOLE, _End.UNFRAMED)

    @property
    def age(self) -> float:
        """For how long the target had been running it, in seconds."""
        if self.work.started_at is None:
            return 0.0
        return max(0.0, self.ended_at - self.work.started_at)


class _OngoingRun(NamedTuple):
    """A run that has not ended yet.

    Attributes:
        target: The target.
        state: What its responses say of the target.
        work: What it runs.
    """

    target: Target
    state: TargetState
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
    """Reports crashes of targets, and runs that targets have outlived.

    A connection may also be broken by the network, or by a target that fails a
    request and stays up. Only a target that refuses connections while other targets
    accept them, or whose incarnation leaves the list without notice, has crashed.

    A response without a length or chunks ends with its connection, so its end may be
    the crash of its target, and a whole response may leave something that crashes it a
    moment later. What a target seems to have outlived is told at once, so that popular
    requests are not held back, and disproved if a crash follows soon: briefly if the
    response was framed, for as long as a crashed incarnation may be listed if it was
    not. Parts of prompts, whose successes can't be disproved, are told after that time.

    Args:
        pool: Connections to targets.
        view: Listed targets and their incarnations.
        suspects: Gets the reports.
        parts: Gets the reports too.
        life: Finds out whether targets have outlived their responses.
        reaches_another: Returns whether another target than the given one accepts
            connections from here.

    Attributes:
        suspects: Attributes the reported crashes to requests.
        parts: Attributes them to parts of prompts.
        on_crash: Called when a crash under a request becomes known.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        view: View,
        suspects: Suspects,
        parts: SuspectParts,
        life: TargetLife,
        *,
        reaches_another: Callable[[Target], bool] = lambda target: True,
    ) -> None:
        self._life = life
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
        # The inner keys are identities.
        self._ongoing_by_fingerprint: defaultdict[str, dict[int, _OngoingRun]]
        self._ongoing_by_fingerprint = defaultdict(dict)
        self._proofs = SurvivalProofs(suspects, max_age=_PENDING_S)
        self._checked_fingerprints: set[str] = set()
        # Incarnations that have given notice. They may leave the list before the last
        # of their runs has ended.
        self._left_incarnations: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.on_crash: Callable[[], None] = lambda: None
        suspects.on_crash = self._on_known_crash
        view.subscribe(self._on_view_change)

    @contextlib.contextmanager
    def watch(self, target: Target, state: TargetState, work: Work) -> Iterator[None]:
        """Keep in mind that a target runs a request while the block is executed.

        If another target crashes under the request meanwhile, this one may outlive it.
        If this one falls silent and its entry lapses, it has crashed.

        Args:
            target: The target.
            state: What its responses say of it.
            work: What it runs.
        """
        run = _OngoingRun(target, state, work)
        runs = self._ongoing_by_fingerprint[work.fingerprint]
        runs[id(run)] = run
        try:
            yield
        finally:
            del runs[id(run)]
            if not runs:
                self._ongoing_by_fingerprint.pop(work.fingerprint, None)

    def has_ended_with_target(self, target: Target, request: str) -> bool:
        """Return whether an unframed response may have ended with its target.

        A target that has given notice may end while it responds, too.

        Args:
            target: The target.
            request: Id of the request that it responded to.
        """
        return not self._life.has_outlived(target, request)

    def record_failure(
        self, target: Target, works: Sequence[Work], reason: str
    ) -> None:
        """Record that a connection failed while a target ran some requests.

        Args:
            target: The target.
            works: What it ran for them.
            reason: Why it failed, the ``reason`` of a ``ConnectionLostError``.
        """
        if self._is_leaving(target):
            return
        if reason == SILENT:
            self._add_pending(target, _End.SILENT, works)
            if not self._view.has_incarnation(target):
                self._report_crash(target)
        elif reason in BROKEN_CONNECTION_REASONS:
            self._add_pending(target, _End.BROKEN, works)
            if self._has_crashed(target):
                self._report_crash(target)

    def record_abandoned(self, target: Target, work: Work) -> None:
        """Record that the caller left while a target ran its request.

        No connection shows a crash that follows, so the target is checked once.
        """
        self._check_later(target, _ABANDONED_CHECK_S)
        self._add_pending(target, _End.ABANDONED, [work])

    def record_success(
        self,
        target: Target,
        works: Sequence[Work],
        *,
        is_framed: bool,
        is_stage: bool = False,
    ) -> None:
        """Record that a target sent a complete and successful response.

        Args:
            target: The target.
            works: What it ran for the requests.
            is_framed: Whether the response stated where its body ends.
            is_stage: Whether it ran pieces of many requests. A crash behind its
                response makes none of them suspect: suspects get calls of their own.
        """
        if not self._is_leaving(target) and not (is_stage and is_framed):
            self._add_pending(target, _End.WHOLE if is_framed else _End.UNFRAMED, works)
        due_at = now() + (_PROOF_DELAY_S if is_framed else _PENDING_S)
        if any(self.suspects.is_suspect(work.fingerprint) for work in works):
            self._check_later(target, _PROOF_DELAY_S - _REPORT_S)
        for work in works:
            self._proofs.tell(target, work.fingerprint, until=due_at, is_whole=True)
        # Parts have no way to withdraw a success, so they learn of it later.
        self._successes_by_framing[is_framed].extend(
            _Success(due_at, target, work) for work in works if work.parts
        )

    def check_successes(self) -> None:
        """Report the successful runs that their targets have outlived."""
        self._drop_old_runs()
        for successes in self._successes_by_framing.values():
            while successes and successes[0].due_at <= now():
                _, target, work = successes.popleft()
                is_listed = self._view.has_incarnation(target)
                if is_listed and not self.suspects.has_crashed(target):
                    self.parts.record_success(target, work.parts)
        self._proofs.drop_old()
        self._report_silent()

    def _check_later(self, target: Target, delay: float) -> None:
        """Check in some seconds whether a target has crashed."""
        if target.incarnation not in self._checked_incarnations:
            self._checked_incarnations.add(target.incarnation)
            eventlet.spawn_after(delay, self._check, target)

    def _check(self, target: Target) -> None:
        self._checked_incarnations.discard(target.incarnation)
        is_pending = target.incarnation in self._pending_by_incarnation
        may_have_crashed = is_pending and not self._is_leaving(target)
        if may_have_crashed and self._has_crashed(target):
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
        self._report(target, pending.runs, now())

    def _report(
        self,
        target: Target,
        runs: Iterable[_Run],
        crashed_at: float,
        *,
        is_certain: bool = True,
    ) -> None:
        """Report a crash with the runs that ended shortly before it."""
        # Of several runs of a request the last one counts: interrupted, then oldest.
        run_by_fingerprint = {
            run.work.fingerprint: run
            for run in sorted(runs, key=lambda run: (not run.is_whole, run.age))
            if crashed_at - run.ended_at <= _SECONDS_BY_END[run.end]
            and not self.suspects.knows_crash(target, run.work.fingerprint)
        }
        if not run_by_fingerprint:
            return
        for run in run_by_fingerprint.values():
            self._proofs.disprove(
                target,
                run.work.fingerprint,
                crashed_at=crashed_at,
                is_whole=run.is_whole,
            )
        crashed = {
            fingerprint: CrashedRun(run.age, is_certain, digest_id(run.work.request))
            for fingerprint, run in sorted(run_by_fingerprint.items())
        }
        self.suspects.record_crash(target, crashed)
        works = [run.work for run in run_by_fingerprint.values() if _shows_part(run)]
        if works:
            self.parts.record_crash(target, works)

    def _on_known_crash(self, fingerprint: str, incarnation: Incarnation) -> None:
        """Report own runs at a target that crashed, and tell what others outlived."""
        pending = self._pending_by_incarnation.get(incarnation.target_incarnation)
        if pending is not None:
            self._report_crash(pending.target)
        self.on_crash()
        if fingerprint not in self._ongoing_by_fingerprint:
            return
        if fingerprint not in self._checked_fingerprints:
            self._checked_fingerprints.add(fingerprint)
            delay = random.uniform(0.0, _MAX_TELL_DELAY_S)
            eventlet.spawn_after(delay, self._tell_ongoing, fingerprint)

    def _tell_ongoing(self, fingerprint: str) -> None:
        """Tell which targets go on with a request under which another one crashed."""
        self._checked_fingerprints.discard(fingerprint)
        min_age = self.suspects.youngest_age(fingerprint) + _OUTLIVED_S
        for run in list(self._ongoing_by_fingerprint.get(fingerprint, {}).values()):
            is_listed = self._view.has_incarnation(run.target)
            if is_listed and now() - run.work.started_at >= min_age:
                until = now() + _ONGOING_PROOF_S
                self._proofs.tell(run.target, fingerprint, until=until, is_whole=False)

    def _on_view_change(self) -> None:
        """Report pending runs of targets whose incarnation has left the list."""
        self._drop_old_runs()
        self._remember_leaving()
        for incarnation, (target, _) in list(self._pending_by_incarnation.items()):
            if self._is_leaving(target):
                del self._pending_by_incarnation[incarnation]
            elif not self._view.has_incarnation(target):
                self._report_unlisted(incarnation)
        self._report_silent()

    def _is_leaving(self, target: Target) -> bool:
        """Return whether a target has given notice, also if it is gone by now."""
        is_gone = target.incarnation in self._left_incarnations
        return is_gone or self._view.is_leaving(target)

    def _remember_leaving(self) -> None:
        for runs in self._ongoing_by_fingerprint.values():
            for run in runs.values():
                if self._view.is_leaving(run.target):
                    self._left_incarnations[run.target.incarnation] = None
        while len(self._left_incarnations) > _MAX_LEFT:
            self._left_incarnations.popitem(last=False)

    def _report_silent(self) -> None:
        """Report targets that are not listed any more and send nothing either.

        A run that no other target could go on with waits until its deadline.
        """
        for runs in list(self._ongoing_by_fingerprint.values()):
            for run in list(runs.values()):
                target = run.target
                if self._view.has_incarnation(target) or self._is_leaving(target):
                    continue
                heard_at = max(run.work.started_at, run.state.last_seen_at)
                if now() - heard_at >= _SILENCE_S:
                    self._add_pending(target, _End.SILENT, [run.work])
                    self._report_crash(target)

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
        since = now() - _MAX_LAPSE_S
        for kinds in _ENDS_OF_UNLISTED:
            ends = [run for run in runs if run.end in kinds]
            if kinds == (_End.WHOLE,):
                # Nothing was interrupted, so the crash may have come long after.
                ends = [run for run in ends if run.ended_at >= since]
                ends = [] if self.suspects.has_crashed(target) else ends
            if ends:
                is_certain = kinds != (_End.WHOLE,)
                self._report(target, runs, ends[-1].ended_at, is_certain=is_certain)
                return


def _shows_part(run: _Run) -> bool:
    """Return whether a run may show that a part of its prompt crashes targets.

    Such a part crashes a target that begins to write, so its runs are not completed.
    """
    return run.end not in (_End.WHOLE, _End.SILENT)
