"""Attributes target crashes to the requests that cause them.

This module does no input or output.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any, NamedTuple

from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.gossip import Gossip, Topic
from bergamotsaddle_serving.peer_messages import Fact
from bergamotsaddle_serving.policy import FULL_POLICY, Mechanism, Policy

# Number of targets that crash under a request before it is quarantined.
MAX_CRASHES = 3
_DAY_S = 86_400.0
_CRASHES = Topic("end", ttl_seconds=_DAY_S, max_facts=2_000)
_CRASHED = 1.0
_CLEARED = 0.0
_SEPARATOR = "\t"
_KEY_PARTS = 4
# Number of requests that are remembered as cleared.
_MAX_CLEARED = 4_096


class _Incarnation(NamedTuple):
    """An incarnation of a target as keys of facts name it.

    Attributes:
        software: Its service and the version of its software.
        name: Id of the target and when the incarnation started.
    """

    software: tuple[str, str]
    name: str


class Suspects:
    """Requests under which targets have crashed.

    This handles a request that crashes every target that runs it and is repeated at any
    instance. Each attempt looks like an ordinary request that was lost in a crash. A
    crash loses all requests that the target runs, so one crash proves nothing. The
    crashes that count are those of different incarnations of targets under the same
    request fingerprint, at all instances together.

    Crash attribution: a crash is attributed to the request that was present at most
    crashes, since the requests beside it were present at fewer. A request that succeeds
    on some target is cleared, however many crashes it was present at; a request that
    many callers send is therefore not taken for the cause of a crash. No request is
    quarantined for fewer than three crashes.

    A request leaves quarantine when no target runs the software that crashed under it
    any more; one more crash of the next version quarantines it again. Otherwise it
    leaves quarantine after a day.

    Args:
        gossip: Carries the crashes to all instances.
        publish: Sends new facts to the other instances.
        software_versions: Returns the service and software version of all targets.
        logger: Gets a line when a target crashes under a request and when a request
            is cleared.
        policy: Enabled mechanisms.
        explains_crash: Returns whether a crash has a known cause, given service,
            software and name of the incarnation.
    """

    def __init__(
        self,
        gossip: Gossip,
        publish: Callable[[Sequence[Fact | None]], None],
        software_versions: Callable[[], set[tuple[str, str]]],
        logger: Any,
        policy: Policy = FULL_POLICY,
        *,
        explains_crash: Callable[[str, str, str], bool] = lambda *_: False,
    ) -> None:
        self._explains_crash = explains_crash
        self._gossip = gossip
        self._publish = publish
        self._software_versions = software_versions
        self._logger = logger
        self._is_on = policy.has(Mechanism.FATAL_REQUESTS)
        self._incarnations_by_fingerprint: dict[str, set[_Incarnation]] = {}
        self._fingerprints_by_incarnation: dict[_Incarnation, set[str]] = {}
        self._cleared: OrderedDict[tuple[str, tuple[str, str]], None] = OrderedDict()
        # Keys of crash facts that a success at this instance contradicts.
        self._disputed: dict[str, None] = {}
        gossip.subscribe(_CRASHES, self._on_fact, priority=self._retention_priority)

    def record_crash(self, target: Target, fingerprints: Iterable[str]) -> None:
        """Record that a target crashed while it ran some requests.

        Args:
            target: The target.
            fingerprints: Fingerprints of the requests.
        """
        incarnation = _incarnation(target)
        uncleared = [
            f for f in fingerprints if (f, incarnation.software) not in self._cleared
        ]
        self._publish(
            [
                self._gossip.record(_CRASHES, _key(f, incarnation), _CRASHED)
                for f in uncleared
            ]
        )
        for fingerprint in uncleared:
            self._log(fingerprint, target)

    def record_success(self, target: Target, fingerprint: str) -> None:
        """Record that a target completed a request and outlived it."""
        software = _incarnation(target).software
        self._cleared[fingerprint, software] = None
        self._cleared.move_to_end((fingerprint, software))
        if len(self._cleared) > _MAX_CLEARED:
            self._cleared.popitem(last=False)
        incarnations = [
            incarnation
            for incarnation in self._incarnations_by_fingerprint.get(fingerprint, ())
            if incarnation.software == software
        ]
        if not incarnations:
            return
        self._logger.info("suspect_cleared", work=fingerprint, target=target.id)
        self._publish(
            [
                self._gossip.record(_CRASHES, _key(fingerprint, incarnation), _CLEARED)
                for incarnation in incarnations
            ]
        )

    def has_crashed(self, target: Target) -> bool:
        """Return whether a crash of this incarnation is attributed to any request."""
        return _incarnation(target) in self._fingerprints_by_incarnation

    def withdraw_disputed(self) -> None:
        """Withdraw the crashes that others recorded for requests that succeeded here.

        Every instance that knows of a success could do so; instances call this at
        different times, so that most find the crash withdrawn already.
        """
        disputed, self._disputed = self._disputed, {}
        self._publish(
            [
                self._gossip.record(_CRASHES, key, _CLEARED)
                for key in disputed
                if self._gossip.value(_CRASHES, key) == _CRASHED
            ]
        )

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a crash is attributed to a request."""
        return self._is_on and bool(self._attributed_crashes(fingerprint))

    def is_quarantined(self, fingerprint: str) -> bool:
        """Return whether a request must not reach any target."""
        if not self._is_on:
            return False
        incarnations = self._attributed_crashes(fingerprint)
        if len(incarnations) < MAX_CRASHES:
            return False
        incarnations = [
            incarnation
            for incarnation in incarnations
            if not self._explains_crash(*incarnation.software, incarnation.name)
        ]
        if len(incarnations) < MAX_CRASHES:
            return False
        software_versions = self._software_versions()
        services = {service for service, _ in software_versions}
        # A service without any target may return with the same software.
        return any(
            incarnation.software in software_versions
            or incarnation.software[0] not in services
            for incarnation in incarnations
        )

    def quarantined(self) -> list[str]:
        """Return the fingerprints of all quarantined requests."""
        return [
            fingerprint
            for fingerprint in self._incarnations_by_fingerprint
            if self.is_quarantined(fingerprint)
        ]

    def __len__(self) -> int:
        """Number of requests under which a target has crashed."""
        return len(self._incarnations_by_fingerprint)

    def _attributed_crashes(self, fingerprint: str) -> list[_Incarnation]:
        """Return the crashed incarnations that are attributed to a request.

        No other request that an incarnation ran was present at more crashes.
        """
        incarnations = self._incarnations_by_fingerprint.get(fingerprint, ())
        return [
            incarnation
            for incarnation in incarnations
            if (fingerprint, incarnation.software) not in self._cleared
            and len(incarnations) >= self._highest_crash_count(incarnation)
        ]

    def _highest_crash_count(self, incarnation: _Incarnation) -> int:
        """Return the most crashes of any request that an incarnation ran."""
        return max(
            len(self._incarnations_by_fingerprint[f])
            for f in self._fingerprints_by_incarnation[incarnation]
        )

    def _retention_priority(self, key: str) -> float:
        fingerprint = key.partition(_SEPARATOR)[0]
        return float(len(self._incarnations_by_fingerprint.get(fingerprint, ())))

    def _on_fact(self, key: str, value: float | None) -> None:
        parsed = _parse_key(key)
        if parsed is None:
            return
        fingerprint, incarnation = parsed
        if value == _CRASHED:
            if (fingerprint, incarnation.software) in self._cleared:
                self._disputed[key] = None
            self._incarnations_by_fingerprint.setdefault(fingerprint, set()).add(
                incarnation
            )
            self._fingerprints_by_incarnation.setdefault(incarnation, set()).add(
                fingerprint
            )
            return
        _discard(self._incarnations_by_fingerprint, fingerprint, incarnation)
        _discard(self._fingerprints_by_incarnation, incarnation, fingerprint)

    def _log(self, fingerprint: str, target: Target) -> None:
        self._logger.warning(
            "target_ended",
            target=target.id,
            work=fingerprint,
            ends=len(self._attributed_crashes(fingerprint)),
            is_held_back=self.is_quarantined(fingerprint),
        )


def _discard(index: dict[Any, set[Any]], key: Any, value: Any) -> None:
    """Remove a value from a set, and the set from its index once it is empty."""
    values = index.get(key, set())
    values.discard(value)
    if not values:
        index.pop(key, None)


def _incarnation(target: Target) -> _Incarnation:
    name = f"{target.id}:{target.started_ms}"
    return _Incarnation((target.service, target.software), name)


def _key(fingerprint: str, incarnation: _Incarnation) -> str:
    return _SEPARATOR.join((fingerprint, *incarnation.software, incarnation.name))


def _parse_key(key: str) -> tuple[str, _Incarnation] | None:
    """Return the parts of a key, None if a name in it contains the separator."""
    parts = key.split(_SEPARATOR)
    if len(parts) != _KEY_PARTS:
        return None
    fingerprint, service, software, name = parts
    return fingerprint, _Incarnation((service, software), name)
