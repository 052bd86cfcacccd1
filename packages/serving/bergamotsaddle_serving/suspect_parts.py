"""Finds the parts of prompts that crash targets.

This module does no input or output.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.crashed_runs import WRITING_S, CrashedRuns
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.incarnations import (
    Incarnation,
    incarnation_of,
    parse_incarnation,
)
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Number of targets that crash under a part before it is quarantined.
MAX_PART_CRASHES = 5
_DAY_S = 86_400.0
_CRASHED_RUNS = Topic("part_crash", ttl_seconds=_DAY_S, max_facts=2_000)
_CLEARED_PARTS = Topic("part_clear", ttl_seconds=_DAY_S, max_facts=4_000)
_TRIALS = Topic("part_trial", ttl_seconds=_DAY_S, max_facts=500)
_CLEARED = 1.0
_TRIED = 1.0
_SEPARATOR = "\t"
_PART_SEPARATOR = ","
_RUN_KEY_PARTS = 5
_CLEAR_KEY_PARTS = 4
_TRIAL_KEY_PARTS = 2
# A fact about a run with more parts is split, so that it fits into a datagram.
_PARTS_PER_FACT = 32
# Time in which the reports of all instances about a crash arrive.
_REPORT_S = 0.3
# Crashes that are closer together may have a common cause, such as a lost rack.
_SAME_MOMENT_S = 0.3
_MIN_SPREAD_S = 0.5
# Time in which a harmless part that is in frequent use completes a run somewhere.
_DOUBT_S = 1.0
# Pauses before the trials of a quarantined part, from the last crash or trial on.
_TRIAL_PAUSES_S = (2.0, 60.0)
# A part explains the crashes of another one if it was younger at this fraction of the
# crashes at which they can be compared, and at this many at least.
_MIN_YOUNGER = 0.7
_MIN_COMPARED = 2
_YOUNGER_S = 0.02
# Parts that are compared with each other, those with most crashes first.
_MAX_CANDIDATES = 12
# The comparison of a part with others holds for this long. In a storm of crashes it
# costs milliseconds, and each crash brings dozens of facts.
_COMPARISON_S = 0.2
# A decision holds for this long unless a fact arrives. It depends on times as well.
_DECISION_S = 0.1


# What a run with an event counts as at least.
_MIN_WRITING_S = 0.01


class Work(NamedTuple):
    """What a target runs for a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Ids of the shared parts of its prompt.
        writing_since: When the target began to write the response, on the hub's clock;
            None before.
        started_at: When the target got the request, on the hub's clock; None if that
            is unknown.
        request: Id of the request; a caller that repeats it uses another one.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    writing_since: float | None = None
    started_at: float | None = None
    request: str = ""


class HeldPart(NamedTuple):
    """A quarantined part of a prompt.

    Attributes:
        part: Id of the part.
        companions: Ids of parts that were in the same prompts at each crash. Only
            prompts that hold all of them are refused.
        crashes: The crashes for which it is quarantined.
        is_trial_due: Whether one request may be sent to find out whether the part is
            harmless.
    """

    part: str
    companions: frozenset[str]
    crashes: frozenset[Incarnation]
    is_trial_due: bool = False

    @property
    def targets(self) -> tuple[str, ...]:
        """Ids of the targets that crashed."""
        return tuple(sorted(crash.target_id for crash in self.crashes))


class SuspectParts:
    """Parts of prompts under which targets have crashed.

    This handles a part that crashes each target which begins to write a response on it,
    in requests of which no two are alike, at any instance. A crash interrupts all runs
    of its target, so each part of these runs is a possible cause. The last part of a
    prompt belongs to one request or session only and is never considered.

    Clearing: a run that holds a part and is completed clears the part of all crashes
    known by then. Later crashes count anew. A part that crashes every target never
    completes a run, so it is never cleared, whatever the order in which instances learn
    of crashes and completed runs. Both kinds of facts are never taken back, and all
    instances that hold the same facts decide the same.

    Quarantine: a part is quarantined after five crashes of which it is not cleared, if
    since the first of them no target is known to have written on it for a while. So it
    is told from parts that are merely popular.

    Explanation: the run that causes a crash is younger than most runs beside it. If the
    runs with one part are younger than those with another one only, at most of their
    common crashes, these crashes count for the first part only.

    Doubt: a part on which targets had written for a while is quarantined after five
    crashes at different moments, once a moment has passed in which harmless parts are
    cleared.

    Trials: no request could clear a quarantined part any more. So one request is sent
    after some seconds, and one a minute after a trial that crashed a target, unless no
    run with the part had an event yet when it was interrupted.

    Companions: parts that were in the same prompts at each crash can't be told apart.
    Only prompts that hold all of them are refused, so that sound requests which share
    one of them go on and clear it.

    A part leaves quarantine when no target runs the software that crashed under it any
    more, a day after the crashes, or when an operator allows it.

    Args:
        gossip: Carries the facts to all instances.
        publish: Sends new facts to the other instances.
        software_versions: Returns the service and software version of all targets.
        logger: Gets a line for each interrupted run and each part that is cleared.
        policy: Enabled mechanisms.
        allowed: Ids of parts that are never quarantined.

    Attributes:
        allowed: Ids of parts that are never quarantined.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        software_versions: Callable[[], set[tuple[str, str]]],
        logger: Any,
        policy: Policy = FULL_POLICY,
        *,
        allowed: frozenset[str] = frozenset(),
    ) -> None:
        self._gossip = gossip
        self._publish = publish
        self._software_versions = software_versions
        self._logger = logger
        self.allowed = allowed
        self._is_on = policy.has(Mechanism.FATAL_REQUESTS)
        self._runs = CrashedRuns()
        # Parsed keys of the facts about these runs.
        self._parts_by_key: dict[str, frozenset[str]] = {}
        # When each crash was observed, on the hub's clock.
        self._observed_at_by_crash: dict[Incarnation, float] = {}
        # By part and crash, for how long targets had been writing at most.
        self._crashes_by_part: dict[str, dict[Incarnation, float]] = {}
        # The crashes of which each part is not cleared.
        self._uncleared_by_part: dict[str, set[Incarnation]] = {}
        # When the causes of a part's crashes were found, and which they are.
        self._causes_by_part: dict[str, tuple[float, list[str]]] = {}
        # When a target last crashed that had written on a part for a while.
        self._written_at_by_part: dict[str, float] = {}
        self._cleared: set[tuple[str, Incarnation]] = set()
        # When each trial was made; the inner keys number the trials of a part.
        self._trials_by_part: dict[str, dict[str, float]] = {}
        self._held_by_part: dict[str, HeldPart | None] = {}
        self._decided_at = float("-inf")
        gossip.subscribe(
            _CRASHED_RUNS, self._on_crashed_run, priority=self._retention_priority
        )
        gossip.subscribe(_CLEARED_PARTS, self._on_cleared_part)
        gossip.subscribe(_TRIALS, self._on_trial)

    def record_crash(self, target: Target, works: Iterable[Work]) -> None:
        """Record that a target crashed while it ran some requests."""
        crash = incarnation_of(target)
        facts = []
        for work in works:
            if not work.parts:
                continue
            seconds = _writing_seconds(work)
            facts += [
                self._gossip.record(_CRASHED_RUNS, key, seconds)
                for key in _run_keys(work, crash)
            ]
            self._logger.warning(
                "prompt_ended",
                target=target.id,
                work=work.fingerprint,
                parts=work.parts[:_PARTS_PER_FACT],
                writing=seconds,
            )
        self._publish(facts)

    def record_success(self, target: Target, parts: Sequence[str]) -> None:
        """Record that a target completed a request with some parts and outlived it."""
        software = (target.service, target.software)
        facts = []
        for part in parts:
            crashes = [
                crash
                for crash in self._uncleared_by_part.get(part, ())
                if crash[:2] == software
            ]
            if not crashes:
                continue
            facts += [
                self._gossip.record(_CLEARED_PARTS, _clear_key(part, crash), _CLEARED)
                for crash in crashes
            ]
            self._logger.info(
                "part_cleared", part=part, target=target.id, ends=len(crashes)
            )
        self._publish(facts)

    def find_held(self, parts: Collection[str]) -> HeldPart | None:
        """Return the quarantined part for which a prompt must not reach any target.

        Args:
            parts: Ids of the shared parts of the prompt.

        Returns:
            The part, None if the prompt may reach targets.
        """
        found = self._find_all(parts)
        if len(found) == 1 and found[0].is_trial_due:
            return None
        return found[0] if found else None

    def record_sent(self, parts: Collection[str]) -> bool:
        """Record that a request with some parts is sent.

        Returns:
            Whether it is a trial of a quarantined part.
        """
        found = self._find_all(parts)
        for held in found:
            number = str(len(self._trials_by_part.get(held.part, ())))
            key = _SEPARATOR.join((held.part, number))
            self._publish([self._gossip.record(_TRIALS, key, _TRIED)])
            self._logger.warning("part_tried", part=held.part, trial=int(number) + 1)
        return bool(found)

    def _find_all(self, parts: Collection[str]) -> list[HeldPart]:
        """Return the quarantined parts that a prompt holds with their companions."""
        if not self._is_on:
            return []
        found = [self._hold(part) for part in parts]
        return [held for held in found if held and held.companions.issubset(parts)]

    def held(self) -> list[HeldPart]:
        """Return all quarantined parts."""
        found = [self._hold(part) for part in list(self._uncleared_by_part)]
        return [held for held in found if held is not None]

    def explains_crash(self, service: str, software: str, name: str) -> bool:
        """Return whether a quarantined part explains a crash.

        Args:
            service: Service of the target.
            software: Version of its software.
            name: Id of the target and when the incarnation started.
        """
        crash = Incarnation(service, software, name)
        found = [self._hold(part) for part in self._candidates()]
        return any(held is not None and crash in held.crashes for held in found)

    def __len__(self) -> int:
        """Number of parts under which a target has crashed."""
        return len(self._uncleared_by_part)

    def _hold(self, part: str) -> HeldPart | None:
        """Return a part's quarantine, None if it is not quarantined."""
        if len(self._uncleared_by_part.get(part, ())) < MAX_PART_CRASHES:
            return None
        if now() - self._decided_at > _DECISION_S:
            self._decided_at = now()
            self._held_by_part.clear()
        if part not in self._held_by_part:
            self._held_by_part[part] = self._decide(part)
        return self._held_by_part[part]

    def _decide(self, part: str) -> HeldPart | None:
        crashes = self._uncleared_by_part[part]
        if part in self.allowed or not self._is_listed(crashes):
            return None
        crashes = self._counted_crashes(part)
        if not crashes:
            return None
        return HeldPart(
            part,
            self._companions(part, crashes),
            frozenset(crashes),
            self._is_trial_due(part, crashes),
        )

    def _counted_crashes(self, part: str) -> list[Incarnation]:
        """Return the crashes for which a part is quarantined, none if it is not."""
        causes = self._find_causes(part)
        crashes = [
            crash
            for crash in self._uncleared_by_part[part]
            if not any(crash in self._crashes_by_part[cause] for cause in causes)
        ]
        written_at = self._written_at_by_part.get(part, float("-inf"))
        recent = [c for c in crashes if self._observed_at_by_crash[c] > written_at]
        if self._is_certain(recent):
            return recent
        return crashes if self._is_held_in_doubt(crashes) else []

    def _find_causes(self, part: str) -> list[str]:
        """Return the parts that explain crashes of a part, as found lately."""
        found_at, causes = self._causes_by_part.get(part, (float("-inf"), []))
        if now() - found_at >= _COMPARISON_S:
            candidates = self._candidates()
            causes = [cause for cause in candidates if self._explains(cause, part)]
            self._causes_by_part[part] = (now(), causes)
        return [cause for cause in causes if cause in self._crashes_by_part]

    def _candidates(self) -> list[str]:
        """Return the parts that may explain crashes, those with most crashes first."""
        uncleared = self._uncleared_by_part
        found = [p for p in uncleared if len(uncleared[p]) >= MAX_PART_CRASHES]
        found.sort(key=lambda part: (-len(uncleared[part]), part))
        return found[:_MAX_CANDIDATES]

    def _explains(self, cause: str, part: str) -> bool:
        """Return whether runs with one part are younger than those with another one.

        Runs with both of them tell nothing, unless the cause never is without the part.
        """
        if cause == part:
            return False
        crashes = self._uncleared_by_part[part]
        is_nested = self._runs.is_nested(cause, part, crashes)
        compared = younger = 0
        for crash in crashes:
            without = None if is_nested else part
            causes = self._runs.longest_writing(cause, crash, without)
            beside = self._runs.longest_writing(part, crash, cause)
            if causes is not None and beside is not None:
                compared += 1
                younger += causes + _YOUNGER_S <= beside
        return compared >= _MIN_COMPARED and younger >= _MIN_YOUNGER * compared

    def _is_listed(self, crashes: Collection[Incarnation]) -> bool:
        """Return whether targets may run the software of any of the crashes."""
        software_versions = self._software_versions()
        services = {service for service, _ in software_versions}
        # A service without any target may return with the same software.
        return any(
            crash[:2] in software_versions or crash.service not in services
            for crash in crashes
        )

    def _is_certain(self, crashes: Collection[Incarnation]) -> bool:
        """Return whether crashes are enough, and too far apart for a common cause."""
        times = self._times(crashes)
        if len(times) < MAX_PART_CRASHES or times[-1] - times[0] < _MIN_SPREAD_S:
            return False
        return now() - times[MAX_PART_CRASHES - 1] >= _REPORT_S

    def _is_held_in_doubt(self, crashes: Collection[Incarnation]) -> bool:
        """Return whether crashes are enough, although a target had written before."""
        moments: list[float] = []
        for at in self._times(crashes):
            if not moments or at - moments[-1] >= _SAME_MOMENT_S:
                moments.append(at)
        if len(moments) < MAX_PART_CRASHES:
            return False
        return now() - moments[MAX_PART_CRASHES - 1] >= _DOUBT_S

    def _is_trial_due(self, part: str, crashes: Collection[Incarnation]) -> bool:
        """Return whether a request may be sent to find out if a part is harmless."""
        if not any(self._crashes_by_part[part][crash] for crash in crashes):
            return False
        times = self._times(crashes)
        trials = self._trial_moments(part, since=times[0])
        # A trial without a crash or a completed run has shown nothing.
        blamed = self._times(c for c in crashes if not self._has_younger(part, c))
        failed = sum(blamed[-1] > at for at in trials) if blamed else 0
        if failed >= len(_TRIAL_PAUSES_S):
            return False
        last = max([times[-1], *trials])
        return now() - last >= _TRIAL_PAUSES_S[failed]

    def _trial_moments(self, part: str, *, since: float) -> list[float]:
        """Return when a part was tried; instances may do so at the same moment."""
        moments: list[float] = []
        for at in sorted(self._trials_by_part.get(part, {}).values()):
            if at > since and (not moments or at - moments[-1] >= _SAME_MOMENT_S):
                moments.append(at)
        return moments

    def _has_younger(self, part: str, crash: Incarnation) -> bool:
        """Return whether runs with another suspect part only were younger at a crash.

        Such a crash does not show that a trial of this part has failed.
        """
        for other in self._candidates():
            if other == part:
                continue
            seconds = self._runs.longest_writing(other, crash, part)
            beside = self._runs.longest_writing(part, crash, other)
            if seconds is None or beside is None:
                continue
            if seconds + _YOUNGER_S <= beside:
                return True
        return False

    def _times(self, crashes: Iterable[Incarnation]) -> list[float]:
        """Return when crashes were observed, the first one first."""
        return sorted(self._observed_at_by_crash[crash] for crash in crashes)

    def _companions(self, part: str, crashes: Iterable[Incarnation]) -> frozenset[str]:
        """Return the parts that were in a prompt with a part at each crash."""
        companions: frozenset[str] | None = None
        for crash in crashes:
            beside = self._parts_beside(part, crash)
            companions = beside if companions is None else companions & beside
        return (companions or frozenset()) - {part}

    def _parts_beside(self, part: str, crash: Incarnation) -> frozenset[str]:
        found = self._runs.parts_beside(part, crash)
        return frozenset(p for p in found if (p, crash) not in self._cleared)

    def _retention_priority(self, key: str) -> float:
        uncleared = self._uncleared_by_part
        parts = self._parts_by_key.get(key, ())
        return float(max((len(uncleared.get(p, ())) for p in parts), default=0))

    def _on_crashed_run(self, key: str, value: float | None) -> None:
        parsed = _parse_run_key(key)
        if parsed is None:
            return
        self._decided_at = float("-inf")
        fingerprint, crash, parts = parsed
        if value is None:
            self._parts_by_key.pop(key, None)
            self._forget_run(fingerprint, crash)
            return
        self._parts_by_key[key] = parts
        self._runs.add(crash, fingerprint, parts, value)
        observed_at = self._gossip.observed_at(_CRASHED_RUNS, key)
        first = self._observed_at_by_crash.setdefault(crash, observed_at)
        self._observed_at_by_crash[crash] = min(first, observed_at)
        for part in parts:
            longest = self._crashes_by_part.setdefault(part, {})
            longest[crash] = max(value, longest.get(crash, 0.0))
            if value >= WRITING_S:
                written_at = self._written_at_by_part.get(part, observed_at)
                self._written_at_by_part[part] = max(written_at, observed_at)
            if (part, crash) not in self._cleared:
                self._uncleared_by_part.setdefault(part, set()).add(crash)

    def _forget_run(self, fingerprint: str, crash: Incarnation) -> None:
        for part in self._runs.remove(crash, fingerprint):
            _discard(self._uncleared_by_part, part, crash)
            self._crashes_by_part[part].pop(crash)
            if not self._crashes_by_part[part]:
                del self._crashes_by_part[part]
                self._written_at_by_part.pop(part, None)
                self._causes_by_part.pop(part, None)
        if crash not in self._runs:
            self._observed_at_by_crash.pop(crash, None)

    def _on_cleared_part(self, key: str, value: float | None) -> None:
        parsed = _parse_clear_key(key)
        if parsed is None:
            return
        self._decided_at = float("-inf")
        part, crash = parsed
        if value is not None:
            self._cleared.add(parsed)
            _discard(self._uncleared_by_part, part, crash)
            return
        self._cleared.discard(parsed)
        if crash in self._crashes_by_part.get(part, ()):
            self._uncleared_by_part.setdefault(part, set()).add(crash)

    def _on_trial(self, key: str, value: float | None) -> None:
        fields = key.split(_SEPARATOR)
        if len(fields) != _TRIAL_KEY_PARTS:
            return
        self._decided_at = float("-inf")
        part, number = fields
        trials = self._trials_by_part.setdefault(part, {})
        if value is not None:
            trials[number] = self._gossip.observed_at(_TRIALS, key)
            return
        trials.pop(number, None)
        if not trials:
            del self._trials_by_part[part]


def _discard(index: dict[str, set[Incarnation]], part: str, crash: Incarnation) -> None:
    """Remove a crash from a part, and the part from its index without any."""
    crashes = index.get(part, set())
    crashes.discard(crash)
    if not crashes:
        index.pop(part, None)


def _writing_seconds(work: Work) -> float:
    """Return for how long a target had been writing a response, 0 before it began."""
    if work.writing_since is None:
        return 0.0
    return max(_MIN_WRITING_S, round(now() - work.writing_since, 2))


def _run_keys(work: Work, crash: Incarnation) -> Iterator[str]:
    for start in range(0, len(work.parts), _PARTS_PER_FACT):
        parts = _PART_SEPARATOR.join(work.parts[start : start + _PARTS_PER_FACT])
        yield _SEPARATOR.join((work.fingerprint, *crash, parts))


def _parse_run_key(key: str) -> tuple[str, Incarnation, frozenset[str]] | None:
    """Return fingerprint, crash and parts, None if the key can't be read."""
    fields = key.split(_SEPARATOR)
    if len(fields) != _RUN_KEY_PARTS:
        return None
    fingerprint, service, software, name, parts = fields
    crash = parse_incarnation(service, software, name)
    if crash is None:
        return None
    return fingerprint, crash, frozenset(parts.split(_PART_SEPARATOR))


def _clear_key(part: str, crash: Incarnation) -> str:
    return _SEPARATOR.join((part, *crash))


def _parse_clear_key(key: str) -> tuple[str, Incarnation] | None:
    """Return part and crash, None if the key can't be read."""
    fields = key.split(_SEPARATOR)
    if len(fields) != _CLEAR_KEY_PARTS:
        return None
    part, service, software, name = fields
    crash = parse_incarnation(service, software, name)
    return None if crash is None else (part, crash)
