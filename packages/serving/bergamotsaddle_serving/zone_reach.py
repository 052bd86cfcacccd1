"""Detects availability zones that this instance cannot reach."""

import random
from collections.abc import Callable
from typing import Any

import eventlet

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError, ConnectionPool
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.target_notices import TargetNotices
from bergamotsaddle_serving.view import View

# If no instance of a zone was seen for this long, a random one is asked for a heartbeat
# at each check. In a large fleet a healthy zone may be silent for this long.
_REQUEST_AFTER_S = 0.3
# Slightly more than two rounds of heartbeats: a zone of which no instance was seen for
# this long, although some were asked, may be cut off.
_SILENT_S = 0.5
_CHECK_S = 0.2
# Pause between the first two probes of a silent zone; it doubles up to the maximum.
_INITIAL_PROBE_PAUSE_S = 0.5
_MAX_PROBE_PAUSE_S = 2.0
# Ten times the round trip between zones.
_PROBE_LIMIT_S = 0.25
_MAX_PROBES = 3
_MAX_BODY = 65_536


class _SilentZone:
    """A zone of which no instance is seen.

    Args:
        probe_at: When to probe it first, on the hub's clock.
    """

    def __init__(self, probe_at: float) -> None:
        self.probe_at = probe_at
        self._pause = _INITIAL_PROBE_PAUSE_S

    def postpone(self) -> None:
        """Postpone the next probe, for longer each time."""
        self.probe_at = now() + self._pause
        self._pause = min(_MAX_PROBE_PAUSE_S, 2.0 * self._pause)


class ZoneReach:
    """Distinguishes zones that are cut off from those whose instances only stopped.

    When a zone is cut off, each request and each stage call that is sent there is lost
    for up to two seconds, and the targets' entries stay as they were. An instance that
    sees no heartbeat from the zone any more requests one. Since the zone's instances
    may also have stopped, it then probes some of the zone's targets, and treats the
    zone as lost only if none of them responds.

    A lost zone is regained with the first heartbeat or successful probe.

    Args:
        view: The targets.
        peers: Reports when instances of a zone were last seen.
        pool: Connections to targets.
        dialect: Builds the probe.
        logger: Gets a line when a zone is lost or regained.
        notices: Reads what probed targets say about themselves.
    """

    def __init__(
        self,
        view: View,
        peers: Peers,
        pool: ConnectionPool,
        dialect: Dialect,
        logger: Any,
        *,
        notices: TargetNotices,
    ) -> None:
        self._notices = notices
        self._view = view
        self._peers = peers
        self._pool = pool
        self._dialect = dialect
        self._logger = logger
        # An instance that has just started has not had the time to see other ones.
        self._started_at = now()
        self._lost: set[str] = set()
        self._silent_zone_by_name: dict[str, _SilentZone] = {}
        self._listeners: list[Callable[[], None]] = []
        self._targets_by_zone: dict[str, list[Target]] = {}
        view.subscribe(self._on_view_change)
        self._on_view_change()

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that is called when a zone is lost or regained."""
        self._listeners.append(callback)

    def is_lost(self, zone: str) -> bool:
        """Return whether a zone is considered cut off."""
        return zone in self._lost

    def run(self) -> None:
        """Check all zones forever."""
        while True:
            for zone, targets in self._targets_by_zone.items():
                self._check(zone, targets)
            eventlet.sleep(_CHECK_S)

    def _on_view_change(self) -> None:
        """Update the targets that can be probed, all outside this instance's zone."""
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
        current_time = now()
        last_seen_at = max(self._started_at, self._peers.zone_last_seen_at(zone))
        if last_seen_at <= current_time - _REQUEST_AFTER_S:
            self._peers.request_heartbeat(zone)
        if last_seen_at > current_time - _SILENT_S:
            self._silent_zone_by_name.pop(zone, None)
            self._set_lost(zone, is_lost=False)
            return
        silent = self._silent_zone_by_name.setdefault(zone, _SilentZone(current_time))
        if silent.probe_at > current_time:
            return
        silent.postpone()
        # One target may have crashed, while several crashed at once are rare. A zone
        # that is already lost is regained with any one of them.
        probe_count = 1 if self.is_lost(zone) else _MAX_PROBES
        probed = random.sample(targets, min(probe_count, len(targets)))
        eventlet.spawn_n(self._probe, zone, probed)

    def _probe(self, zone: str, targets: list[Target]) -> None:
        """Probe targets of a zone and update whether it is lost."""
        started_at = now()
        responses = [eventlet.spawn(self._responds, target) for target in targets]
        is_lost = not any(response.wait() for response in responses)
        if is_lost and self._peers.zone_last_seen_at(zone) >= started_at:
            return
        self._set_lost(zone, is_lost=is_lost)

    def _responds(self, target: Target) -> bool:
        """Return whether a target responds to a query of its free memory."""
        call = self._dialect.query_free_memory(target)
        try:
            connection = self._pool.acquire(target.address, limit=_PROBE_LIMIT_S)
            head, _ = connection.exchange(
                call, limit=_PROBE_LIMIT_S, max_bytes=_MAX_BODY
            )
        except ConnectionLostError as error:
            self._logger.info("probe_failed", target=target.id, reason=error.reason)
            return False
        response = self._dialect.read_response(head.headers)
        if response.request_id:
            # It belongs to an earlier request, but the target has sent it just now.
            connection.close()
            return True
        self._notices.read(target, head.status, response)
        self._pool.release(connection, None)
        return True

    def _set_lost(self, zone: str, *, is_lost: bool) -> None:
        if is_lost == (zone in self._lost):
            return
        if is_lost:
            self._lost.add(zone)
            self._logger.warning("zone_lost", zone=zone)
        else:
            self._lost.discard(zone)
            self._logger.info("zone_regained", zone=zone)
        for callback in self._listeners:
            callback()
