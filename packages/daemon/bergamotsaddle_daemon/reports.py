"""Polls the load of the targets whose home is this instance."""

from collections.abc import Callable
from typing import Annotated

import eventlet
import msgspec
import urllib3

from bergamotsaddle_contracts.decoding import decode_json
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import TargetReport
from bergamotsaddle_contracts.whole_responses import make_pool_manager
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.permits import PermitIssuer
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets

_LOAD_PATH = "/v1/load"
_POLL_TIMEOUT = 0.5
_MAX_REPORTS_PER_HEARTBEAT = 40
# Larger ones are no counts or times.
_MAX_NUMBER = 10**9


class _Load(msgspec.Struct):
    """The load that a target publishes.

    Attributes:
        target: Id of the target.
        cold: Whether it is in cold start.
        in_flight: Calls that it is working on.
        age: Age of the measurement in seconds.
        models: Models it has loaded; omitted by targets that hold all they may.
    """

    target: str
    cold: bool
    in_flight: Annotated[int, msgspec.Meta(ge=0, le=_MAX_NUMBER)]
    age: Annotated[float, msgspec.Meta(ge=0, le=_MAX_NUMBER)] = 0.0
    models: tuple[str, ...] | None = None


ReadLoad = Callable[[Address], bytes]


def make_http_load_reader() -> ReadLoad:
    """Create a function that reads a target's load over HTTP."""
    pool = make_pool_manager(num_pools=256, maxsize=1)

    def read(address: Address) -> bytes:
        url = f"http://{address}{_LOAD_PATH}"
        return pool.request("GET", url, timeout=_POLL_TIMEOUT).data

    return read


class ReportPoll:
    """Keeps the reports of targets whose home is this instance; heartbeats carry them.

    Args:
        settings: The daemon's settings.
        homes: The targets whose home is this instance.
        home: Updates its grants of permits after each round of polls.
        targets: Receive the reports.
        read_load: Reads the load of one target.
    """

    def __init__(
        self,
        settings: Settings,
        homes: Homes,
        home: PermitIssuer,
        targets: Targets,
        read_load: ReadLoad,
    ) -> None:
        self._settings = settings
        self._homes = homes
        self._home = home
        self._targets = targets
        self._read_load = read_load

    def heartbeat_reports(self) -> tuple[TargetReport, ...]:
        """Return the reports of targets whose home is this instance, for a heartbeat.

        If there are many, each heartbeat carries only some of them. A datagram that
        the network has to fragment is lost as soon as one fragment is, and the
        targets would then seem cold.
        """
        own = (self._targets.by_id.get(i) for i in sorted(self._homes.home_since))
        reports = [t.report for t in own if t is not None and t.report is not None]
        if len(reports) <= _MAX_REPORTS_PER_HEARTBEAT:
            return tuple(reports)
        heartbeat_number = int(now() / self._settings.timing.heartbeat)
        start = heartbeat_number * _MAX_REPORTS_PER_HEARTBEAT % len(reports)
        return tuple((reports + reports)[start : start + _MAX_REPORTS_PER_HEARTBEAT])

    def run(self) -> None:
        """Poll all targets whose home is this instance concurrently, forever."""
        while True:
            for target_id in list(self._homes.home_since):
                target = self._targets.by_id.get(target_id)
                if target is not None:
                    eventlet.spawn_n(self.poll, target)
            eventlet.sleep(self._settings.timing.report_poll)
            self._home.refresh_grants()

    def poll(self, target: Target) -> None:
        """Read the load of one target and record its report."""
        queried_at = now()
        try:
            with eventlet.Timeout(_POLL_TIMEOUT):
                payload = self._read_load(target.declared.address)
            load = decode_json(payload, _Load)
        except (urllib3.exceptions.HTTPError, OSError, eventlet.Timeout):
            return
        except ValueError:
            return
        if load.target != target.id:
            return
        report = TargetReport(
            target.id, load.cold, load.in_flight, load.age, load.models
        )
        target.apply_report(report, sent_at=queried_at)
