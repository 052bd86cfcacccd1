"""Polls the load of the targets that this instance is home to."""

from collections.abc import Callable

import eventlet
import msgspec
import urllib3

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.messages import TargetReport
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.permits import PermitIssuer
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets

_LOAD_PATH = "/v1/load"
_POLL_LIMIT = 0.5
_REPORTS_AT_ONCE = 40


class _Load(msgspec.Struct):
    """What a target publishes of its load.

    Attributes:
        target: Its id.
        cold: Whether it is in cold start.
        in_flight: Calls it works on.
        age: The lag in seconds.
        models: Models it has loaded; left out by targets that hold all they may.
    """

    target: str
    cold: bool
    in_flight: int
    age: float = 0.0
    models: tuple[str, ...] | None = None


ReadLoad = Callable[[Address], bytes]


def make_http_load_reader() -> ReadLoad:
    """Make a reader that asks a target over HTTP."""
    pool = urllib3.PoolManager(num_pools=256, maxsize=1, retries=False)

    def read(address: Address) -> bytes:
        url = f"http://{address}{_LOAD_PATH}"
        return pool.request("GET", url, timeout=_POLL_LIMIT).data

    return read


class ReportPoll:
    """Keeps the reports of home targets fresh; peers hear of them by heartbeat.

    Args:
        settings: The daemon's settings.
        homes: Which targets are this instance's.
        home: Learns when a target is warm.
        targets: Get the reports.
        read_load: Asks one target.
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
        """Fresh reports of the home targets, for heartbeats.

        Some at a time if there are many: a datagram that the network has to split
        is lost as soon as one piece is, and the targets would then seem cold.
        """
        own = (self._targets.by_id.get(i) for i in sorted(self._homes.home_since))
        fresh = [t.report for t in own if t is not None and t.report is not None]
        if len(fresh) <= _REPORTS_AT_ONCE:
            return tuple(fresh)
        beat = int(now() / self._settings.timing.heartbeat)
        start = beat * _REPORTS_AT_ONCE % len(fresh)
        return tuple((fresh + fresh)[start : start + _REPORTS_AT_ONCE])

    def run(self) -> None:
        """Poll for ever, all home targets at once."""
        while True:
            for target_id in list(self._homes.home_since):
                target = self._targets.by_id.get(target_id)
                if target is not None:
                    eventlet.spawn_n(self.poll, target)
            eventlet.sleep(self._settings.timing.report_poll)
            self._home.refresh_grants()

    def poll(self, target: Target) -> None:
        """Ask one target for its load."""
        asked_at = now()
        try:
            with eventlet.Timeout(_POLL_LIMIT):
                payload = self._read_load(target.declared.address)
            load = msgspec.json.decode(payload, type=_Load)
        except (urllib3.exceptions.HTTPError, OSError, eventlet.Timeout):
            return
        except msgspec.MsgspecError:
            return
        if load.target != target.id:
            return
        report = TargetReport(
            target.id, load.cold, load.in_flight, load.age, load.models
        )
        target.apply_report(report, sent_at=asked_at)
