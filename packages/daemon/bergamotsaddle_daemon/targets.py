"""The state of each target as this instance knows it."""

from bergamotsaddle_contracts.declaration import DeclaredTarget
from bergamotsaddle_contracts.messages import TargetReport
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.limits import LIMIT_POLICIES, Limit
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.views import Views

_FAILURES_BEFORE_BACKOFF = 3
_MIN_BACKOFF = 0.5
_MAX_BACKOFF = 8.0
_LATENCY_WEIGHT = 0.1
_SILENCE_FACTOR = 6.0
_SLOW_FACTOR = 3.0
_MIN_SLOW_LATENCY = 0.1
_MIN_SILENCE = 1.0


class Target:
    """One target: its declaration, its latest report and this instance's measurements.

    A target that fails several times in a row gets no calls during a backoff, which
    doubles with each further failure up to a maximum. A target far slower than others
    of its kind is avoided in the same way, unless all of them are slow. After the
    backoff one call at a time probes the target.

    Args:
        declared: The target's declaration.
        settings: The daemon's settings.
        instances: Number of entry instances that share the target's limit.

    Attributes:
        declared: The target's declaration.
        limit: Limit on this instance's concurrent calls.
        in_flight: Number of this instance's calls in progress.
        calls: Number of calls started.
        failures: Number of calls failed.
        latency: Moving average of the seconds until the first byte; 0.0 if unknown.
        last_response_at: When any response data was last received.
        permit_refused_until: Until when no further permit is requested.
    """

    def __init__(
        self, declared: DeclaredTarget, settings: Settings, instances: int
    ) -> None:
        self._settings = settings
        self.declared = declared
        self.limit = self._make_limit(instances)
        self.in_flight = 0
        self.calls = 0
        self.failures = 0
        self.latency = 0.0
        self.last_response_at = float("-inf")
        self.permit_refused_until = 0.0
        self._consecutive_failures = 0
        self._backoff_until = 0.0
        self._is_probing = False
        self._consecutive_slow = 0
        self._slow_until = 0.0
        self._report: TargetReport | None = None
        self._measured_at = float("-inf")
        self._suspected_cold_at = float("-inf")

    def update_declaration(self, declared: DeclaredTarget, instances: int) -> None:
        """Apply a changed declaration and keep all measured state except the limit."""
        self.declared = declared
        self.limit = self._make_limit(instances)

    def set_instance_count(self, instances: int) -> None:
        """Set the number of entry instances that share the declared limit."""
        self.limit.set_share(self._even_share(instances))

    def _make_limit(self, instances: int) -> Limit:
        policy = LIMIT_POLICIES.by_name[self._settings.policies.limit]
        return policy(self._even_share(instances), self.declared.limit)

    def _even_share(self, instances: int) -> float:
        return max(1.0, self.declared.limit / max(1, instances))

    @property
    def id(self) -> str:
        """Id of the target."""
        return self.declared.id

    def apply_report(self, report: TargetReport, *, sent_at: float) -> None:
        """Apply a load report unless a later one is known.

        Args:
            report: The report, with its age at the time of sending.
            sent_at: A time on this instance's clock, no later than the sending.
        """
        measured_at = sent_at - report.age
        if measured_at <= self._measured_at:
            return
        self._report = report
        self._measured_at = measured_at

    @property
    def report(self) -> TargetReport | None:
        """The latest report with its age as of now, or None once it is too old."""
        report = self._fresh_report()
        if report is None:
            return None
        return report._replace(age=now() - self._measured_at)

    def _fresh_report(self) -> TargetReport | None:
        """Return the latest report as received, which is cheaper than a copy."""
        if now() - self._measured_at > self._settings.timing.report_limit:
            return None
        return self._report

    def is_cold(self) -> bool:
        """Return whether the target must be treated as in cold start.

        A warm target turns cold without notice and collapses under full load. Only a
        fresh report therefore makes it warm, and a silence far longer than its usual
        latency makes it cold again until a report that was measured later.
        """
        report = self._fresh_report()
        if report is None or report.cold:
            return True
        return self._suspected_cold_at >= self._measured_at

    def serves(self, model: str) -> bool:
        """Return whether the target has a model loaded; true for an empty name."""
        if not model:
            return True
        report = self._fresh_report()
        if report is None or report.models is None:
            return model in self.declared.models
        return model in report.models

    def load(self) -> float:
        """Return the fraction of the declared limit in use.

        The larger of this instance's calls and the latest report counts.
        """
        report = self._fresh_report()
        reported = report.in_flight if report else 0
        return max(self.in_flight, reported) / self.declared.limit

    def is_backing_off(self) -> bool:
        """Return whether the target gets no calls after repeated failures.

        Once the backoff is over, this is true only while a probe is in progress.
        """
        if self._consecutive_failures < _FAILURES_BEFORE_BACKOFF:
            return False
        return now() < self._backoff_until or self._is_probing

    def is_slow(self) -> bool:
        """Return whether the target is avoided because it is far slower than others.

        Once the backoff is over, this is true only while a probe is in progress.
        """
        if not self._consecutive_slow:
            return False
        return now() < self._slow_until or self._is_probing

    def start_call(self) -> None:
        """Record that a call was assigned to the target."""
        self.in_flight += 1
        self.calls += 1
        is_failing = self._consecutive_failures >= _FAILURES_BEFORE_BACKOFF
        self._is_probing = is_failing or self._consecutive_slow > 0

    def record_first_byte(self, latency: float, typical_latency: float) -> None:
        """Record the first byte of a response.

        The time to the first byte shows how long calls wait at the target; the rest of
        a response depends on how much was requested.

        Args:
            latency: Seconds from the assignment of the call to its first byte.
            typical_latency: Seconds that targets of this kind usually take; 0.0 if
                unknown.
        """
        if not self._record_if_slow(latency, typical_latency):
            self._consecutive_slow = 0
        self._consecutive_failures = 0
        self.limit.record_success(latency, self.in_flight)
        if self.latency == 0.0:
            self.latency = latency
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)

    def finish_call(self) -> None:
        """Record that a call was answered."""
        self._end_call()

    def fail_call(
        self, started_at: float, typical_latency: float, *, timed_out: bool
    ) -> None:
        """Record that a call failed.

        Under overload many calls time out at a target that works as fast as it can.
        Backing off would remove capacity just when it is short, so a timeout counts
        only if the target has sent no response data since the call started.

        Args:
            started_at: When the call started.
            typical_latency: Seconds that targets of this kind usually take; 0.0 if
                unknown.
            timed_out: Whether the call failed by a timeout.
        """
        self._end_call()
        self.limit.record_failure()
        if timed_out:
            self._record_if_slow(now() - started_at, typical_latency)
        if timed_out and self.last_response_at > started_at:
            return
        self.failures += 1
        self._consecutive_failures += 1
        excess = max(0, self._consecutive_failures - _FAILURES_BEFORE_BACKOFF)
        backoff = min(_MAX_BACKOFF, _MIN_BACKOFF * 2.0 ** min(excess, 8))
        self._backoff_until = now() + backoff
        if timed_out and now() - started_at > max(
            _MIN_SILENCE, _SILENCE_FACTOR * self.latency
        ):
            self._suspected_cold_at = now()

    def abandon_call(self) -> None:
        """Record the end of a call that neither succeeded nor failed.

        The caller may have left, for example.
        """
        self._end_call()

    def _record_if_slow(self, latency: float, typical_latency: float) -> bool:
        """Back off if the target is far slower than others of its kind.

        Returns:
            Whether the target is that slow.
        """
        if (
            latency < max(_MIN_SLOW_LATENCY, _SLOW_FACTOR * typical_latency)
            or typical_latency == 0.0
        ):
            return False
        self._consecutive_slow += 1
        backoff = min(
            _MAX_BACKOFF, _MIN_BACKOFF * 2.0 ** min(self._consecutive_slow, 8)
        )
        self._slow_until = now() + backoff
        return True

    def _end_call(self) -> None:
        self.in_flight -= 1
        self._is_probing = False


class Targets:
    """All declared targets, kept across changes of the declaration.

    Args:
        settings: The daemon's settings.
        views: The declaration and the instance list.

    Attributes:
        by_id: The targets by id.
        by_kind: The targets by kind.
    """

    def __init__(self, settings: Settings, views: Views) -> None:
        self._settings = settings
        self._views = views
        self.by_id: dict[str, Target] = {}
        self.by_kind: dict[str, list[Target]] = {}
        self._returned_at_by_zone: dict[str, float] = {}
        self._zones_out: set[str] = set()
        views.subscribe(self.refresh)

    def refresh(self) -> None:
        """Add, update and remove targets as the declaration says."""
        declaration = self._views.declaration
        entries = max(1, len(self._views.instances.entries()))
        kept: dict[str, Target] = {}
        for declared in declaration.targets.values():
            target = self.by_id.get(declared.id)
            if target is None or target.declared.address != declared.address:
                target = Target(declared, self._settings, entries)
            elif target.declared != declared:
                # A new object would lose the calls in progress and the report, and a
                # warm target would be treated as cold until the next report.
                target.update_declaration(declared, entries)
            # The instance list often arrives after the declaration. Without this each
            # instance would keep the whole declared limit for itself.
            target.set_instance_count(entries)
            kept[declared.id] = target
        self.by_id = kept
        self.by_kind = {}
        for target in kept.values():
            self.by_kind.setdefault(target.declared.kind, []).append(target)
        self._update_zones()

    def accepts_new_work(self, target: Target) -> bool:
        """Return whether operators and the platform allow new work for a target.

        This is checked when a target is chosen, so that a call that was queued before a
        zone was taken out or a target began to leave isn't sent there afterwards.
        """
        declaration = self._views.declaration
        if self.by_id.get(target.id) is not target:
            return False
        if declaration.zones[target.declared.zone].state == "out":
            return False
        return not self._views.instances.is_leaving(target.id)

    def ramp_fraction(self, zone: str) -> float:
        """Return the fraction of their limits that a zone's targets may use.

        It is 1.0 except for some time after the zone's return to service. A zone that
        returns is the least loaded one and would get all new work at once; its idle
        targets might collapse and the return would fail. Raising their limits
        gradually prevents that.
        """
        returned_at = self._returned_at_by_zone.get(zone)
        if returned_at is None:
            return 1.0
        fraction = (now() - returned_at) / self._settings.timing.return_ramp
        return min(1.0, max(0.1, fraction))

    def _update_zones(self) -> None:
        zones = self._views.declaration.zones
        out = {zone.name for zone in zones.values() if zone.state == "out"}
        for zone in self._zones_out - out:
            self._returned_at_by_zone[zone] = now()
        self._zones_out = out
