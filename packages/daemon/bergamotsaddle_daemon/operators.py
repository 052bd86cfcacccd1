"""The HTTP interface for operators' commands and for probes."""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import prometheus_client as prometheus

from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.http import (
    Environ,
    StartResponse,
    json_response,
    send_response_head,
)
from bergamotsaddle_daemon.registry import Registry

if TYPE_CHECKING:
    from bergamotsaddle_daemon.daemon import Daemon

Page = Callable[["Daemon"], Any]
PAGES: Registry[Page] = Registry("page")


@PAGES.register("status")
def show_status(daemon: "Daemon") -> dict[str, Any]:
    """Return the state of this instance, its versions in force and its peers."""
    views = daemon.views
    peers = daemon.peers
    return {
        "instance": daemon.settings.daemon.id,
        "zone": daemon.settings.daemon.zone,
        "ready": daemon.is_ready(),
        "stopping": peers.stopping,
        "revision": views.declaration.revision,
        "digest": views.declaration.digest,
        "in_force_for": _round_seconds(now() - views.applied_at),
        "confirmed_age": _round_seconds(now() - views.confirmed_at),
        "stale": views.is_stale(),
        "service_revision": views.service_revision,
        "service_error": daemon.platform.config_error,
        "refused": [str(fault) for fault in views.rejected_faults],
        "race": views.revision_conflict,
        "list_version": views.instances.version,
        "list_age": _round_seconds(views.list_age()),
        "list_error": daemon.platform.instances_error,
        "requests": daemon.callers.active,
        "waiting": daemon.pools.count_waiting(),
        "connections_evicted": daemon.connections_evicted,
        "answers_discarded": daemon.connections.responses_discarded,
        "tickets_running": daemon.tickets.count_unsettled(),
        "peers": [
            {
                "id": peer.instance.id,
                "zone": peer.instance.zone,
                "alive": peers.is_alive(peer.instance.id),
                "revision": peer.revision,
            }
            for peer in peers.by_id.values()
        ],
    }


@PAGES.register("zones")
def show_zones(daemon: "Daemon") -> list[dict[str, Any]]:
    """Return each availability zone with its targets and this instance's calls."""
    rows = []
    for zone in daemon.views.declaration.zones.values():
        targets = [t for t in daemon.targets.by_id.values() if _zone_of(t) == zone.name]
        rows.append(
            {
                "zone": zone.name,
                "state": zone.state,
                "targets": len(targets),
                "cold": sum(target.is_cold() for target in targets),
                "in_flight": sum(target.in_flight for target in targets),
                "ramp": round(daemon.targets.ramp_fraction(zone.name), 2),
            }
        )
    return rows


@PAGES.register("targets")
def show_targets(daemon: "Daemon") -> list[dict[str, Any]]:
    """Return the state of each target as known to this instance."""
    return [
        {
            "target": target.id,
            "kind": target.declared.kind,
            "zone": _zone_of(target),
            "state": _state_of(daemon, target),
            "in_flight": target.in_flight,
            "limit": round(target.limit.value, 1),
            "latency_ms": round(target.latency * 1000, 1),
            "calls": target.calls,
            "failures": target.failures,
            "home": daemon.homes.by_target.get(target.id, ""),
        }
        for target in daemon.targets.by_id.values()
    ]


@PAGES.register("teams")
def show_teams(daemon: "Daemon") -> list[dict[str, Any]]:
    """Return each team with its share and priority."""
    return [
        {"team": team.name, "share": team.share, "priority": team.priority}
        for team in daemon.views.declaration.teams.values()
    ]


@PAGES.register("costs")
def show_costs(daemon: "Daemon") -> list[dict[str, Any]]:
    """Return calls, tokens and seconds by team, pipeline and stage."""
    return [row._asdict() for row in daemon.costs.rows()]


@PAGES.register("config")
def show_config(daemon: "Daemon") -> dict[str, Any]:
    """Return the declaration in force."""
    declaration = daemon.views.declaration
    return {
        "revision": declaration.revision,
        "digest": declaration.digest,
        "text": declaration.text,
    }


class OperatorApp:
    """The WSGI application that serves operators and probes.

    Args:
        daemon: The daemon to report on.
    """

    def __init__(self, daemon: "Daemon") -> None:
        self._daemon = daemon

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable:
        """Serve one HTTP request."""
        path = environ["PATH_INFO"].strip("/").split("/")
        match path:
            case ["metrics"]:
                body = prometheus.generate_latest(self._daemon.metrics)
                headers = [("Content-Type", prometheus.CONTENT_TYPE_LATEST)]
                send_response_head(start_response, 200, headers, close=True)
                return [body]
            case ["ready"]:
                status = 200 if self._daemon.is_ready() else 503
                return json_response(start_response, status, {"ready": status == 200})
            case ["explain", request]:
                decisions = self._daemon.decisions.of_request(request)
                rows = [decision._asdict() for decision in decisions]
                return json_response(start_response, 200 if rows else 404, rows)
            case [name] if name in PAGES.by_name:
                return json_response(
                    start_response, 200, PAGES.by_name[name](self._daemon)
                )
        return json_response(start_response, 404, {"error": "no such page"})


def _zone_of(target: Any) -> str:
    return target.declared.zone


def _state_of(daemon: "Daemon", target: Any) -> str:
    if not daemon.targets.accepts_new_work(target):
        return "out"
    if not daemon.permits.can_use(target):
        return "unused"
    if target.is_backing_off():
        return "resting"
    return "cold" if target.is_cold() else "warm"


def _round_seconds(seconds: float) -> float | None:
    return round(seconds, 2) if abs(seconds) != float("inf") else None
