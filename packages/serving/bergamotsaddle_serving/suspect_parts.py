"""Finds the parts of prompts that crash targets.

This module does no input or output.
"""

from collections.abc import Callable, Collection, Iterable, Iterator, Sequence
from typing import Any, NamedTuple

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Number of targets that crash under a part before it is quarantined.
MAX_PART_CRASHES = 5
_DAY_S = 86_400.0
_CRASHED_RUNS = Topic("part_crash", ttl_seconds=_DAY_S, max_facts=2_000)
_CLEARED_PARTS = Topic("part_clear", ttl_seconds=_DAY_S, max_facts=4_000)
# Values of facts about crashed runs.
_WAITING = 1.0
_WRITING = 2.0
_CLEARED = 1.0
_SEPARATOR = "\t"
_PART_SEPARATOR = ","
_RUN_KEY_PARTS = 5
_CLEAR_KEY_PARTS = 4
# A fact about a run with more parts is split, so that it fits into a datagram.
_PARTS_PER_FACT = 32
# Time in which the reports of all instances about a crash arrive.
_REPORT_S = 0.3
# Time in which a harmless part that is in frequent use completes a run somewhere.
_DOUBT_S = 2.0
# Crashes that are closer together may have a common cause, such as a lost rack.
_MIN_SPREAD_S = 0.5


# A target that has written for this long was not crashed by the start of the response.
_WRITING_S = 1.0


class Work(NamedTuple):
    """What a target runs for a request.

    Attributes:
        fingerprint: Fingerprint of the request.
        parts: Ids of the shared parts of its prompt.
        writing_since: When the target began to write the response, on the hub's clock;
            None before.
    """

    fingerprint: str
    parts: tuple[str, ...] = ()
    writing_since: float | None = None


class _Crash(NamedTuple):
    """The crash of an incarnation of a target.

    Attributes:
        service: Service of the target.
        software: Version of its software.
        name: Id of the target and when the incarnation started.
    """

    service: str
    software: str
    name: str

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.name.rpartition(":")[0]


class _CrashedRun(NamedTuple):
    """A run that a crash interrupted."""

    parts: frozenset[str]
    is_writing: bool


class HeldPart(NamedTuple):
    """A quarantined part of a prompt.

    Attributes:
        part: Id of the part.
        companions: Ids of parts that were in the same prompts at each crash. Only
            prompts that hold all of them are refused.
        targets: Ids of the targets that crashed.
    """

    part: str
    companions: frozenset[str]
    targets: tuple[str, ...]


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

    Quarantine: a part is quarantined after five crashes of which it is not cleared. At
    a crash where the same target had been writing another response on the part for a
    while, the part is a doubtful cause; the same holds for crashes close together. In
    these cases the quarantine waits for a moment in which harmless parts are cleared.

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
        # The inner keys are fingerprints.
        self._runs_by_crash: dict[_Crash, dict[str, _CrashedRun]] = {}
        # When each crash was observed, on the hub's clock.
        self._observed_at_by_crash: dict[_Crash, float] = {}
        # The crashes of which each part is not cleared.
        self._crashes_by_part: dict[str, set[_Crash]] = {}
        self._cleared: set[tuple[str, _Crash]] = set()
        gossip.subscribe(
            _CRASHED_RUNS, self._on_crashed_run, priority=self._retention_priority
        )
        gossip.subscribe(_CLEARED_PARTS, self._on_cleared_part)

    def record_crash(self, target: Target, works: Iterable[Work]) -> None:
        """Record that a target crashed while it ran some requests."""
        crash = _crash(target)
        facts = []
        for work in works:
            if not work.parts:
                continue
            is_writing = _is_writing(work)
            value = _WRITING if is_writing else _WAITING
            facts += [
                self._gossip.record(_CRASHED_RUNS, key, value)
                for key in _run_keys(work, crash)
            ]
            self._logger.warning(
                "prompt_ended",
                target=target.id,
                work=work.fingerprint,
                parts=work.parts[:_PARTS_PER_FACT],
                is_writing=is_writing,
            )
        self._publish(facts)

    def record_success(self, target: Target, parts: Sequence[str]) -> None:
        """Record that a target completed a request with some parts and outlived it."""
        software = (target.service, target.software)
        facts = []
        for part in parts:
            crashes = [
                crash
                for crash in self._crashes_by_part.get(part, ())
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
        if not self._is_on:
            return None
        for part in parts:
            held = self._hold(part)
            if held is not None and held.companions.issubset(parts):
                return held
        return None

    def held(self) -> list[HeldPart]:
        """Return all quarantined parts."""
        found = [self._hold(part) for part in self._crashes_by_part]
        return [held for held in found if held is not None]

    def __len__(self) -> int:
        """Number of parts under which a target has crashed."""
        return len(self._crashes_by_part)

    def _hold(self, part: str) -> HeldPart | None:
        """Return a part's quarantine, None if it is not quarantined."""
        crashes = self._crashes_by_part.get(part, ())
        if len(crashes) < MAX_PART_CRASHES or part in self.allowed:
            return None
        if not self._is_listed(crashes):
            return None
        if not (self._is_certain(part, crashes) or self._is_settled(crashes)):
            return None
        targets = tuple(sorted(crash.target_id for crash in crashes))
        return HeldPart(part, self._companions(part, crashes), targets)

    def _is_listed(self, crashes: Collection[_Crash]) -> bool:
        """Return whether targets may run the software of any of the crashes."""
        software_versions = self._software_versions()
        services = {service for service, _ in software_versions}
        # A service without any target may return with the same software.
        return any(
            crash[:2] in software_versions or crash.service not in services
            for crash in crashes
        )

    def _is_settled(self, crashes: Collection[_Crash]) -> bool:
        """Return whether a harmless part would have been cleared by now."""
        times = self._times(crashes)
        return len(times) >= MAX_PART_CRASHES and (
            now() - times[MAX_PART_CRASHES - 1] >= _DOUBT_S
        )

    def _is_certain(self, part: str, crashes: Collection[_Crash]) -> bool:
        """Return whether a part can be told from the parts beside it."""
        times = self._times(c for c in crashes if not self._is_doubtful(part, c))
        if len(times) < MAX_PART_CRASHES:
            return False
        last = times[MAX_PART_CRASHES - 1]
        return now() - last >= _REPORT_S and last - times[0] >= _MIN_SPREAD_S

    def _is_doubtful(self, part: str, crash: _Crash) -> bool:
        """Return whether the target had been writing on a part for a while."""
        runs = self._runs_by_crash[crash].values()
        return any(run.is_writing and part in run.parts for run in runs)

    def _times(self, crashes: Iterable[_Crash]) -> list[float]:
        """Return when crashes were observed, the first one first."""
        return sorted(self._observed_at_by_crash[crash] for crash in crashes)

    def _companions(self, part: str, crashes: Iterable[_Crash]) -> frozenset[str]:
        """Return the parts that were in a prompt with a part at each crash."""
        companions: frozenset[str] | None = None
        for crash in crashes:
            beside = self._parts_beside(part, crash)
            companions = beside if companions is None else companions & beside
        return (companions or frozenset()) - {part}

    def _parts_beside(self, part: str, crash: _Crash) -> frozenset[str]:
        runs = [r for r in self._runs_by_crash[crash].values() if part in r.parts]
        causes = [run for run in runs if not run.is_writing] or runs
        found = frozenset().union(*(run.parts for run in causes))
        return frozenset(p for p in found if (p, crash) not in self._cleared)

    def _retention_priority(self, key: str) -> float:
        parsed = _parse_run_key(key)
        if parsed is None:
            return 0.0
        return float(max(len(self._crashes_by_part.get(p, ())) for p in parsed[2]))

    def _on_crashed_run(self, key: str, value: float | None) -> None:
        parsed = _parse_run_key(key)
        if parsed is None:
            return
        fingerprint, crash, parts = parsed
        if value is None:
            self._forget_run(fingerprint, crash)
            return
        runs = self._runs_by_crash.setdefault(crash, {})
        known = runs.get(fingerprint, _CrashedRun(frozenset(), False))
        runs[fingerprint] = _CrashedRun(known.parts | parts, value == _WRITING)
        observed_at = self._gossip.observed_at(_CRASHED_RUNS, key)
        first = self._observed_at_by_crash.setdefault(crash, observed_at)
        self._observed_at_by_crash[crash] = min(first, observed_at)
        for part in parts:
            self._index(part, crash)

    def _forget_run(self, fingerprint: str, crash: _Crash) -> None:
        runs = self._runs_by_crash.get(crash, {})
        run = runs.pop(fingerprint, None)
        if run is None:
            return
        remaining = frozenset().union(*(other.parts for other in runs.values()))
        for part in run.parts - remaining:
            self._remove_from_index(part, crash)
        if not runs:
            del self._runs_by_crash[crash]
            del self._observed_at_by_crash[crash]

    def _on_cleared_part(self, key: str, value: float | None) -> None:
        parsed = _parse_clear_key(key)
        if parsed is None:
            return
        if value is None:
            self._cleared.discard(parsed)
            self._index(*parsed)
        else:
            self._cleared.add(parsed)
            self._remove_from_index(*parsed)

    def _index(self, part: str, crash: _Crash) -> None:
        """Add a crash to those of a part, unless the part is cleared of it."""
        runs = self._runs_by_crash.get(crash, {}).values()
        is_present = any(part in run.parts for run in runs)
        if is_present and (part, crash) not in self._cleared:
            self._crashes_by_part.setdefault(part, set()).add(crash)

    def _remove_from_index(self, part: str, crash: _Crash) -> None:
        crashes = self._crashes_by_part.get(part, set())
        crashes.discard(crash)
        if not crashes:
            self._crashes_by_part.pop(part, None)


def _is_writing(work: Work) -> bool:
    since = work.writing_since
    return since is not None and now() - since >= _WRITING_S


def _crash(target: Target) -> _Crash:
    name = f"{target.id}:{target.started_ms}"
    return _Crash(target.service, target.software, name)


def _run_keys(work: Work, crash: _Crash) -> Iterator[str]:
    for start in range(0, len(work.parts), _PARTS_PER_FACT):
        parts = _PART_SEPARATOR.join(work.parts[start : start + _PARTS_PER_FACT])
        yield _SEPARATOR.join((work.fingerprint, *crash, parts))


def _parse_run_key(key: str) -> tuple[str, _Crash, frozenset[str]] | None:
    """Return fingerprint, crash and parts, None if a name contains the separator."""
    fields = key.split(_SEPARATOR)
    if len(fields) != _RUN_KEY_PARTS:
        return None
    fingerprint, service, software, name, parts = fields
    crash = _Crash(service, software, name)
    return fingerprint, crash, frozenset(parts.split(_PART_SEPARATOR))


def _clear_key(part: str, crash: _Crash) -> str:
    return _SEPARATOR.join((part, *crash))


def _parse_clear_key(key: str) -> tuple[str, _Crash] | None:
    """Return part and crash, None if a name contains the separator."""
    fields = key.split(_SEPARATOR)
    if len(fields) != _CLEAR_KEY_PARTS:
        return None
    part, service, software, name = fields
    return part, _Crash(service, software, name)
