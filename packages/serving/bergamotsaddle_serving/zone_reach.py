"""Which availability zones this instance can reach."""

import random
from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.view import View

# Of a zone of which no instance was heard for this long, one after the other is asked
# for a heartbeat. In a large fleet a zone may be silent for so long by chance.
_INQUIRE_S = 0.3
# Two rounds of heartbeats and a little: a zone of which no instance was heard for so
# long, though some were asked, may be cut off.
_SILENT_S = 0.5
_CHECK_S = 0.2
# Between two probes of a silent zone at first; the time doubles up to the longest.
_FIRST_PROBE_S = 0.5
_LONGEST_PROBE_S = 2.0
# Ten times the trip between zones and back.
_PROBE_LIMIT_S = 0.25
_PROBES = 3
_MAX_BODY = 65_536


class _Silence:
    """A zone of which nothing is heard.

    Args:
        moment: When it is to be probed first, on the hub's clock.
    """

    def __init__(self, moment: float) -> None:
        self.probe_at = moment
        self._pause = _FIRST_PROBE_S

    def put_off(self) -> None:
        """Put the next probe off, for longer each time."""
        self.probe_at = now() + self._pause
        self._pause = min(_LONGEST_PROBE_S, 2.0 * self._pause)


class ZoneReach:
    """Tells zones that are cut off from those whose instances merely stopped.

    When a zone is cut off, each request and each stage call that is sent there is lost
    for up to two seconds, and the targets' entries stay as they were. An instance
    notices that no instance of the zone is heard any more and asks for a sign. Since
    these may also have stopped, it then probes some of the zone's targets, and takes
    the zone for cut off only if none of them answers.

    A zone that was lost is found again by the first heartbeat or answered probe.

    Args:
        view: Knows the targets.
        peers: Know when the instances of a zone were heard.
        pool: Connections to targets.
        dialect: Makes the probe.
        logger: Gets a line when a zone is lost or regained.
    """

    def __init__(
        self,
        view: View,
        peers: Peers,
        pool: ConnectionPool,
        dialect: Dialect,
        logger: Any,
    ) -> None:
        self._view = view
        self._peers = peers
        self._pool = pool
        self._dialect = dialect
        self._logger = logger
        # An instance that has just started has not had the time to hear anybody.
        self._began_at = now()
        self._lost: set[str] = set()
        self._silence_by_zone: dict[str, _Silence] = {}
        self._watchers: list[Callable[[], None]] = []
        self._targets_by_zone: dict[str, list[Target]] = {}
        view.subscribe(self._note_targets)
        self._note_targets()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Have a function called when a zone is lost or regained."""
        self._watchers.append(callback)

    def is_lost(self, zone: str) -> bool:
        """Tell whether a zone is taken for cut off."""
        return zone in self._lost

    def run(self) -> None:
        """Look after all zones for ever."""
        while True:
            for zone, targets in self._targets_by_zone.items():
                self._check(zone, targets)
            eventlet.sleep(_CHECK_S)

    def _note_targets(self) -> None:
        """Note the targets that can be asked; those of the own zone are left out."""
        by_zone: dict[str, list[Target]] = {}
        configuration = self._view.configuration
        services = configuration.services_by_name.values() if configuration else ()
        for service in services:
            if service.batching is None and not service.engine_slots:
                continue
            for known in self._view.targets_by_service.get(service.name, ()):
                if known.target.zone != self._peers.own.zone:
                    by_zone.setdefault(known.target.zone, []).append(known.target)
        self._targets_by_zone = by_zone

    def _check(self, zone: str, targets: list[Target]) -> None:
        moment = now()
        heard_at = max(self._began_at, self._peers.zone_last_seen_at(zone))
        if heard_at <= moment - _INQUIRE_S:
            self._peers.request_heartbeat(zone)
        if heard_at > moment - _SILENT_S:
            self._silence_by_zone.pop(zone, None)
            self._note(zone, is_lost=False)
            return
        silence = self._silence_by_zone.setdefault(zone, _Silence(moment))
        if silence.probe_at > moment:
            return
        silence.put_off()
        # One target may have crashed; that several have at once is rare. A zone that is
        # lost already is found again by any of them.
        most = 1 if self.is_lost(zone) else _PROBES
        asked = random.sample(targets, min(most, len(targets)))
        eventlet.spawn_n(self._probe, zone, asked)

    def _probe(self, zone: str, targets: list[Target]) -> None:
        began_at = now()
        answers = [eventlet.spawn(self._answers, target) for target in targets]
        is_lost = not any(answer.wait() for answer in answers)
        if is_lost and self._peers.zone_last_seen_at(zone) >= began_at:
            return
        self._note(zone, is_lost=is_lost)

    def _answers(self, target: Target) -> bool:
        call = self._dialect.query_free_memory(target)
        try:
            connection = self._pool.acquire(target.address, limit=_PROBE_LIMIT_S)
            connection.exchange(call, limit=_PROBE_LIMIT_S, max_bytes=_MAX_BODY)
        except ConnectionLostError as error:
            self._logger.info("probe_failed", target=target.id, reason=error.reason)
            return False
        self._pool.release(connection, None)
        return True

    def _note(self, zone: str, *, is_lost: bool) -> None:
        if is_lost == (zone in self._lost):
            return
        if is_lost:
            self._lost.add(zone)
            self._logger.warning("zone_lost", zone=zone)
        else:
            self._lost.discard(zone)
            self._logger.info("zone_regained", zone=zone)
        for callback in self._watchers:
            callback()
