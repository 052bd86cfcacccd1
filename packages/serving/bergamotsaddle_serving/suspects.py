"""Attributes target crashes to the requests that cause them.

This module does no input or output.
"""

from collections.abc import Callable, Collection, Mapping, Sequence
from enum import Enum, auto
from itertools import count
from typing import Any

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.crash_history import (
    MAX_CRASHES,
    CrashedRun,
    CrashHistory,
    Survival,
)
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.incarnations import (
    Incarnation,
    incarnation_of,
    parse_incarnation,
)
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

_DAY_S = 86_400.0
_CRASHES = Topic("crash", ttl_seconds=_DAY_S, max_facts=2_000)
_SURVIVALS = Topic("survival", ttl_seconds=_DAY_S, max_facts=2_000)
_DISPROVED = Topic("survival_disproved", ttl_seconds=_DAY_S, max_facts=2_000)
_TRUE = 1.0
_SEPARATOR = "\t"
_CRASH_KEY_PARTS = 7
_CERTAIN = "ran"
_UNCERTAIN = "earlier"
_SURVIVAL_KEY_PARTS = 5
# Survivals that one instance tells after each crash.
_MAX_TOLD = 8
# Requests that are compared with each other, those with most crashes first.
_MAX_CANDIDATES = 64
# A decision holds for this long unless a fact arrives. It depends on times as well.
_DECISION_S = 0.1
# Trials that targets have to outlive.
_MIN_TRIALS = 2


class Standing(Enum):
    """What may happen to a request."""

    FREE = auto()
    """It may reach targets."""
    ON_TRIAL = auto()
    """It may reach targets, a single one every few seconds."""
    HELD = auto()
    """It must not reach any target."""


class Suspects:
    """Requests under which targets have crashed.

    This handles a request that crashes targets that run it and is repeated at any
    instance. Each attempt looks like an ordinary request that was lost in a crash. A
    crash loses all requests that the target runs, so one crash proves nothing. The
    crashes that count are those of different incarnations of targets under the same
    request fingerprint, at all instances together.

    Facts: a crash under a request, and a run of it that its target has outlived after
    such a crash. Neither is ever taken back, but a run may turn out not to have been
    outlived, which is a fact of its own. All instances with the same facts decide the
    same, in whatever order they learn of them.

    Quarantine: ``CrashHistory`` weighs crashes against outlived runs. No request is
    quarantined for fewer than three crashes.

    Attribution: requests are looked at in turn, those with most crashes first. One that
    is to blame explains all of its crashes, which don't count for those behind it.

    Trials: some time after the last crash, or when no target runs the software that
    crashed any more, single requests are let through. The request is free once targets
    have outlived it twice; one more crash quarantines it again, for longer. It also
    leaves quarantine after a day, or when an operator allows it.

    Args:
        gossip: Carries the facts to all instances.
        publish: Sends new facts to the other instances.
        software_versions: Returns the service and software version of all targets.
        logger: Gets a line for each crash under a request, and each run of such a
            request that its target has outlived.
        policy: Enabled mechanisms.
        own_id: Id of this instance.
        allowed: Fingerprints of requests that are never quarantined.
        explains_crash: Returns whether a crash has a known cause, given service,
            software and name of the incarnation.
        request_trial: Requests a permit for a trial of a request from the instances in
            reach.

    Attributes:
        allowed: Fingerprints of requests that are never quarantined.
        on_crash: Called with a fingerprint and the incarnation that crashed under it,
            for each such fact.
        on_end: Called with the incarnation of a target that crashed, as its entry names
            it, and when that was, on the hub's clock.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        software_versions: Callable[[], set[tuple[str, str]]],
        logger: Any,
        policy: Policy = FULL_POLICY,
        *,
        own_id: str = "",
        allowed: frozenset[str] = frozenset(),
        explains_crash: Callable[[str, str, str], bool] = lambda *_: False,
        request_trial: Callable[[str], bool] = lambda fingerprint: False,
    ) -> None:
        self.allowed = allowed
        self.on_crash: Callable[[str, Incarnation], None] = lambda *_: None
        self.on_end: Callable[[tuple[str, int], float], None] = lambda *_: None
        self._explains_crash = explains_crash
        self._request_trial = request_trial
        self._gossip = gossip
        self._publish = publish
        self._software_versions = software_versions
        self._logger = logger
        self._own_id = own_id
        self._is_on = policy.has(Mechanism.FATAL_REQUESTS)
        self._numbers = count()
        self._history_by_fingerprint: dict[str, CrashHistory] = {}
        self._fingerprints_by_incarnation: dict[Incarnation, set[str]] = {}
        # The crashes for which each quarantined request is to blame.
        self._blamed_by_fingerprint: dict[str, frozenset[Incarnation]] = {}
        self._explained: dict[Incarnation, str] = {}
        # The last crash under each request, and the survivals told since.
        self._told_since: dict[str, tuple[Incarnation | None, list[str]]] = {}
        self._decided_at = float("-inf")
        gossip.subscribe(_CRASHES, self._on_crash, priority=self._retention_priority)
        gossip.subscribe(
            _SURVIVALS, self._on_survival, priority=self._retention_priority
        )
        gossip.subscribe(
            _DISPROVED, self._on_disproved, priority=self._retention_priority
        )

    def record_crash(
        self, target: Target, run_by_fingerprint: Mapping[str, CrashedRun]
    ) -> None:
        """Record that a target crashed while it ran some requests.

        Args:
            target: The target.
            run_by_fingerprint: A run of each request there.
        """
        incarnation = incarnation_of(target)
        keys = [_crash_key(f, incarnation, r) for f, r in run_by_fingerprint.items()]
        self._publish([self._gossip.record(_CRASHES, key, _TRUE) for key in keys])
        for fingerprint, run in run_by_fingerprint.items():
            self._log(fingerprint, target, is_certain=run.is_certain)

    def record_success(self, target: Target, fingerprint: str) -> str | None:
        """Record that a target has outlived a run of a request.

        Returns:
            Key of the survival for ``disprove``, None if it is of no interest.
        """
        history = self._history_by_fingerprint.get(fingerprint)
        if not history or target.service not in history.services:
            # Stages of a request are whole before an engine crashes under it.
            return None
        if self.has_crashed(target):
            return None
        told = self._told(fingerprint, history)
        if len(told) >= _MAX_TOLD or not history.needs_survival():
            return None
        key = _survival_key(
            fingerprint, target, f"{self._own_id}.{next(self._numbers)}"
        )
        told.append(key)
        self._publish([self._gossip.record(_SURVIVALS, key, _TRUE)])
        self._logger.info(
            "suspect_outlived", work=fingerprint, target=target.id, ends=len(history)
        )
        return key

    def disprove(self, key: str) -> None:
        """Record that a target has not outlived a run after all."""
        self._publish([self._gossip.record(_DISPROVED, key, _TRUE)])
        self._logger.info("survival_disproved", work=key.partition(_SEPARATOR)[0])

    def youngest_age(self, fingerprint: str) -> float:
        """Return the shortest time that a target ran a request before it crashed."""
        history = self._history_by_fingerprint.get(fingerprint)
        return history.youngest_age if history is not None else 0.0

    def has_crashed(self, target: Target) -> bool:
        """Return whether a crash of this incarnation is known."""
        return incarnation_of(target) in self._fingerprints_by_incarnation

    def knows_crash(self, target: Target, fingerprint: str) -> bool:
        """Return whether a crash of this incarnation under a request is known."""
        fingerprints = self._fingerprints_by_incarnation.get(incarnation_of(target), ())
        return fingerprint in fingerprints

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash may be due to a request."""
        history = self._history_by_fingerprint.get(fingerprint)
        if history is None or not self._is_on:
            return False
        self._decide()
        crashes = [c for c in history.crashes if self._may_be_due(c, fingerprint)]
        return history.is_suspect(crashes)

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not reach any target."""
        return self.standing(fingerprint) is Standing.HELD

    def may_enter(self, fingerprint: str) -> bool:
        """Return whether a request that arrives now may go on, as a trial at least."""
        standing = self.standing(fingerprint)
        if standing is not Standing.ON_TRIAL:
            return standing is Standing.FREE
        if not self._request_trial(fingerprint):
            return False
        self._logger.warning("suspect_tried", work=fingerprint)
        return self.standing(fingerprint) is not Standing.HELD

    def standing(self, fingerprint: str) -> Standing:
        """Return what may happen to a request."""
        history = self._history_by_fingerprint.get(fingerprint)
        if history is None or len(history) < MAX_CRASHES or not self._is_on:
            return Standing.FREE
        self._decide()
        blamed = self._blamed_by_fingerprint.get(fingerprint)
        if blamed is None or fingerprint in self.allowed:
            return Standing.FREE
        versions = self._software_versions()
        due_at = history.last_crash_at
        if _may_run(blamed, versions):
            due_at += history.trial_pause
        if now() < due_at:
            return Standing.HELD
        if history.survivals_of(versions, since=due_at) >= _MIN_TRIALS:
            return Standing.FREE
        return Standing.ON_TRIAL

    def quarantined(self) -> list[str]:
        """Return the fingerprints of all quarantined requests."""
        return [f for f in self._history_by_fingerprint if self.is_quarantined(f)]

    def __len__(self) -> int:
        """Number of requests under which a target has crashed."""
        return sum(map(bool, self._history_by_fingerprint.values()))

    def _may_be_due(self, crash: Incarnation, fingerprint: str) -> bool:
        """Return whether no other request and no part of one explains a crash."""
        return self._explained.get(crash, fingerprint) == fingerprint

    def _decide(self) -> None:
        """Find the requests that are to blame, unless the last decision still holds."""
        if now() - self._decided_at < _DECISION_S:
            return
        self._decided_at = now()
        self._blamed_by_fingerprint = {}
        self._explained = {}
        for fingerprint in self._candidates():
            crashes = self._blamed_crashes(self._history_by_fingerprint[fingerprint])
            if crashes:
                self._blamed_by_fingerprint[fingerprint] = frozenset(crashes)
                self._explained.update(dict.fromkeys(crashes, fingerprint))

    def _blamed_crashes(self, history: CrashHistory) -> list[Incarnation]:
        """Return the crashes for which a request is to blame, none if it is not."""
        crashes = [c for c in history.counted if c not in self._explained]
        if not history.is_blamed(crashes):
            return []
        # Parts of prompts are compared for this, which takes much longer.
        crashes = [crash for crash in crashes if not self._explains_crash(*crash)]
        return crashes if history.is_blamed(crashes) else []

    def _candidates(self) -> list[str]:
        """Return the requests that may be to blame, those with most crashes first."""
        histories = self._history_by_fingerprint
        found = [f for f, h in histories.items() if len(h) >= MAX_CRASHES]
        found.sort(key=lambda f: (histories[f].precedence, f))
        return found[:_MAX_CANDIDATES]

    def _told(self, fingerprint: str, history: CrashHistory) -> list[str]:
        """Return the survivals that this instance has told since the last crash."""
        last = history.last_crash
        if self._told_since.get(fingerprint, (None,))[0] != last:
            self._told_since[fingerprint] = (last, [])
        return self._told_since[fingerprint][1]

    def _retention_priority(self, key: str) -> float:
        fingerprint = key.partition(_SEPARATOR)[0]
        return float(len(self._history_by_fingerprint.get(fingerprint, ())))

    def _on_crash(self, key: str, value: float | None) -> None:
        parsed = _parse_crash_key(key)
        if parsed is None:
            return
        self._decided_at = float("-inf")
        fingerprint, incarnation, run = parsed
        if value is None:
            self._forget_crash(fingerprint, incarnation)
            return
        history = self._history_by_fingerprint.setdefault(fingerprint, CrashHistory())
        at = self._gossip.observed_at(_CRASHES, key)
        history.add_crash(incarnation, at, run)
        self._fingerprints_by_incarnation.setdefault(incarnation, set()).add(
            fingerprint
        )
        self.on_end(incarnation.target_incarnation, at)
        self.on_crash(fingerprint, incarnation)

    def _forget_crash(self, fingerprint: str, incarnation: Incarnation) -> None:
        history = self._history_by_fingerprint.get(fingerprint)
        if history is None:
            return
        history.drop_crash(incarnation)
        self._drop_empty(fingerprint)
        fingerprints = self._fingerprints_by_incarnation.get(incarnation, set())
        fingerprints.discard(fingerprint)
        if not fingerprints:
            self._fingerprints_by_incarnation.pop(incarnation, None)

    def _on_survival(self, key: str, value: float | None) -> None:
        parsed = _parse_survival_key(key)
        if parsed is None:
            return
        self._decided_at = float("-inf")
        fingerprint, software = parsed
        history = self._history_by_fingerprint.setdefault(fingerprint, CrashHistory())
        if value is None or self._gossip.value(_DISPROVED, key) is not None:
            history.drop_survival(key)
            self._drop_empty(fingerprint)
            return
        at = self._gossip.observed_at(_SURVIVALS, key)
        history.add_survival(key, Survival(at, software))

    def _on_disproved(self, key: str, value: float | None) -> None:
        parsed = _parse_survival_key(key)
        if parsed is None or value is None:
            return
        self._decided_at = float("-inf")
        history = self._history_by_fingerprint.get(parsed[0])
        if history is not None:
            history.drop_survival(key)
            self._drop_empty(parsed[0])

    def _drop_empty(self, fingerprint: str) -> None:
        if self._history_by_fingerprint[fingerprint].is_empty:
            del self._history_by_fingerprint[fingerprint]
            self._told_since.pop(fingerprint, None)

    def _log(self, fingerprint: str, target: Target, *, is_certain: bool) -> None:
        history = self._history_by_fingerprint.get(fingerprint, ())
        self._logger.warning(
            "target_ended",
            target=target.id,
            work=fingerprint,
            ends=len(history),
            is_certain=is_certain,
            is_held_back=self.is_quarantined(fingerprint),
        )


def _may_run(
    crashes: Collection[Incarnation], versions: Collection[tuple[str, str]]
) -> bool:
    """Return whether targets may run the software of any of some crashes."""
    services = {service for service, _ in versions}
    # A service without any target may return with the same software.
    return any(
        crash[:2] in versions or crash.service not in services for crash in crashes
    )


def _crash_key(fingerprint: str, incarnation: Incarnation, run: CrashedRun) -> str:
    kind = _CERTAIN if run.is_certain else _UNCERTAIN
    age = f"{run.age:.1f}"
    return _SEPARATOR.join((fingerprint, *incarnation, age, kind, run.request))


def _parse_crash_key(key: str) -> tuple[str, Incarnation, CrashedRun] | None:
    """Return the parts of a key, None if it can't be read."""
    parts = key.split(_SEPARATOR)
    if len(parts) != _CRASH_KEY_PARTS:
        return None
    fingerprint, service, software, name, age, kind, request = parts
    incarnation = parse_incarnation(service, software, name)
    if incarnation is None:
        return None
    try:
        run = CrashedRun(float(age), kind == _CERTAIN, request)
    except ValueError:
        return None
    return fingerprint, incarnation, run


def _survival_key(fingerprint: str, target: Target, observer: str) -> str:
    return _SEPARATOR.join((fingerprint, *incarnation_of(target), observer))


def _parse_survival_key(key: str) -> tuple[str, tuple[str, str]] | None:
    """Return fingerprint, service and software, None if a name has the separator."""
    parts = key.split(_SEPARATOR)
    if len(parts) != _SURVIVAL_KEY_PARTS:
        return None
    return parts[0], (parts[1], parts[2])
