"""Detects services whose targets this instance cannot reach."""

import random
from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.view import View

_CHECK_S = 0.1
# An instance that has sent something and gets no response for this long probes one
# target. In a partition, nothing else would tell it that its targets are out of reach.
_SILENT_S = 0.5
_SILENCE_PROBE_PAUSE_S = 0.75
# Pause after a round that reached a target. Each probe costs a connection.
_REACHED_PAUSE_S = 1.0
# Ten times the round trip between zones.
_PROBE_LIMIT_S = 0.25
# One round may fail because this process was suspended while it waited.
_ROUNDS_TO_LOSE = 2
_ROUND_PAUSE_S = 0.1
# Pause between two rounds for a lost service; it doubles up to the maximum.
_INITIAL_LOST_PAUSE_S = 0.25
_MAX_LOST_PAUSE_S = 1.0
# Targets of a round, in the own zone and again in all others: fewer in the first round.
# A few of them may have crashed or be in a zone that is cut off.
_FIRST_PROBES = 1
_PROBES = 2


class _Service:
    """What is known about the way to one service.

    Attributes:
        is_lost: Whether no target of it can be reached.
        is_probing: Whether a round of probes is running.
        failed_at: When opening a connection to one of its targets last failed.
        opened_at: When a connection to one of its targets was last opened.
        failed_rounds: Rounds of probes that failed in a row.
        probe_at: Earliest time of the next round.
        pause: Seconds between the next two rounds while it is lost.
    """

    def __init__(self) -> None:
        self.is_lost = False
        self.is_probing = False
        self.failed_at = float("-inf")
        self.opened_at = float("-inf")
        self.failed_rounds = 0
        self.probe_at = float("-inf")
        self.pause = _INITIAL_LOST_PAUSE_S

    def is_due(self, at: float) -> bool:
        """Return whether a round of probes is to start."""
        is_suspected = self.is_lost or self.failed_at > self.opened_at
        return is_suspected and not self.is_probing and at >= self.probe_at

    def record_round(self, *, is_reachable: bool) -> None:
        """Record the result of a round of probes."""
        if is_reachable:
            self.is_lost = False
            self.failed_rounds = 0
            self.pause = _INITIAL_LOST_PAUSE_S
            self.probe_at = now() + _REACHED_PAUSE_S
            return
        self.failed_rounds += 1
        if self.failed_rounds < _ROUNDS_TO_LOSE:
            self.probe_at = now() + _ROUND_PAUSE_S
            return
        self.is_lost = True
        # Spread, since a cut usually affects many instances at the same time.
        self.probe_at = now() + self.pause * random.uniform(0.5, 1.0)
        self.pause = min(_MAX_LOST_PAUSE_S, 2.0 * self.pause)


class ServiceReach:
    """Distinguishes a service that is out of reach from targets that failed.

    An instance may lose its links to all targets of a service, or of all services,
    while callers, the store and other instances still reach it. Whatever happens to
    the open connections, no new one can be opened then. So a connection that can't be
    opened raises suspicion, and the service is lost once two rounds of probes at
    several targets have failed. Probes of a lost service go on, and one that succeeds
    regains it.

    Args:
        view: The targets.
        zone: Availability zone of this instance.
        pool: Connections to targets.
        logger: Gets a line when a service is lost or regained.
    """

    def __init__(
        self, view: View, zone: str, pool: ConnectionPool, logger: Any
    ) -> None:
        self._view = view
        self._zone = zone
        self._pool = pool
        self._logger = logger
        self._service_by_name: dict[str, _Service] = {}
        self._listeners: list[Callable[[], None]] = []
        self._silence_probe_at = now() + _SILENCE_PROBE_PAUSE_S
        pool.on_opened = self._record_opening
        view.subscribe(self._on_view_change)
        self._on_view_change()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called when a service is lost or regained."""
        self._listeners.append(callback)

    def is_lost(self, service: str) -> bool:
        """Return whether no target of a service can be reached."""
        known = self._service_by_name.get(service)
        return known is not None and known.is_lost

    def lost_services(self) -> list[str]:
        """Return the names of all lost services."""
        return [name for name, s in self._service_by_name.items() if s.is_lost]

    def is_isolated(self) -> bool:
        """Return whether no target can be reached that may get work."""
        names = [name for name in self._service_by_name if self._view.usable(name)]
        return bool(names) and all(self.is_lost(name) for name in names)

    def seconds_to_probe(self, service: str) -> float:
        """Return the seconds until a lost service is probed again."""
        known = self._service_by_name.get(service)
        return max(0.0, known.probe_at - now()) if known is not None else 0.0

    def reaches_another(self, target: Target) -> bool:
        """Return whether another target accepts connections, whatever its service.

        Args:
            target: The target to leave out.
        """
        others = [
            address
            for address in self._view.target_by_address
            if address != target.address
        ]
        sampled = random.sample(others, min(_PROBES, len(others)))
        return any(self._pool.probe(address, _PROBE_LIMIT_S) for address in sampled)

    def run(self) -> None:
        """Check all services forever."""
        while True:
            self._check()
            eventlet.sleep(_CHECK_S)

    def _check(self) -> None:
        at = now()
        if self._is_silent(at) and at >= self._silence_probe_at:
            self._silence_probe_at = at + _SILENCE_PROBE_PAUSE_S
            self._probe_any()
        for name, service in self._service_by_name.items():
            if service.is_due(at):
                service.is_probing = True
                eventlet.spawn_n(self._run_round, name, service)

    def _is_silent(self, at: float) -> bool:
        """Return whether something was sent and no target has responded since."""
        opened_at = [s.opened_at for s in self._service_by_name.values()]
        last_sign_at = max(self._pool.last_response_at, *opened_at, float("-inf"))
        return last_sign_at < min(at - _SILENT_S, self._pool.last_acquired_at)

    def _probe_any(self) -> None:
        """Probe a target of a service that is not lost; a failure raises suspicion.

        A service without targets that may get work tells nothing about the links.
        """
        names = [
            name
            for name, service in self._service_by_name.items()
            if not service.is_lost and self._view.usable(name)
        ]
        if not names:
            return
        target = self._sample(random.choice(names), 1)[0]
        eventlet.spawn_n(self._pool.probe, target.address, _PROBE_LIMIT_S)

    def _run_round(self, name: str, service: _Service) -> None:
        was_lost = service.is_lost
        try:
            count = _PROBES if service.failed_rounds else _FIRST_PROBES
            targets = self._sample(name, count)
            probes = [
                eventlet.spawn(self._pool.probe, target.address, _PROBE_LIMIT_S)
                for target in targets
            ]
            results = [probe.wait() for probe in probes]
        finally:
            service.is_probing = False
        # A service without targets is not out of reach.
        service.record_round(is_reachable=any(results) or not results)
        if service.is_lost != was_lost:
            self._on_change(name, service)

    def _on_change(self, name: str, service: _Service) -> None:
        log = self._logger.warning if service.is_lost else self._logger.info
        log("service_lost" if service.is_lost else "service_regained", service=name)
        self._check_others(service)
        for callback in self._listeners:
            callback()

    def _check_others(self, changed: _Service) -> None:
        """Probe the other services at once, as one cause may affect all of them."""
        for service in self._service_by_name.values():
            if service.is_lost == changed.is_lost:
                continue
            service.probe_at = float("-inf")
            if changed.is_lost:
                service.failed_at = now()
                service.failed_rounds = max(service.failed_rounds, 1)

    def _sample(self, name: str, count: int) -> list[Target]:
        """Return targets to probe, the ones of this instance's zone first.

        Targets that get no work don't count: reaching them serves no request.

        Args:
            name: Name of the service.
            count: Number of targets in this instance's zone, and in all others.
        """
        usable = [known.target for known in self._view.usable(name)]
        own = [target for target in usable if target.zone == self._zone]
        others = [target for target in usable if target.zone != self._zone]
        return random.sample(own, min(count, len(own))) + random.sample(
            others, min(count, len(others))
        )

    def _record_opening(self, address: Address, is_open: bool) -> None:
        target = self._view.target_by_address.get(address)
        if target is None:
            return
        service = self._service_by_name.get(target.service)
        if service is None:
            return
        if is_open:
            service.opened_at = now()
        else:
            service.failed_at = now()

    def _on_view_change(self) -> None:
        names = self._view.targets_by_service.keys()
        for name in self._service_by_name.keys() - names:
            del self._service_by_name[name]
        for name in names - self._service_by_name.keys():
            self._service_by_name[name] = _Service()
