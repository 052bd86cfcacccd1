"""The targets as this instance sees them."""

from bergamotsaddle_contracts.declaration import DeclaredTarget
from bergamotsaddle_contracts.messages import TargetReport
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.limits import LIMIT_POLICIES, Limit
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.views import Views

_FAILURES_TO_OPEN = 3
_FIRST_REST = 0.5
_LONGEST_REST = 8.0
_LATENCY_WEIGHT = 0.1
_SUSPECT_FACTOR = 6.0
_SLOW_FACTOR = 3.0
_MIN_SLOW = 0.1
_MIN_SUSPECT = 1.0


class Target:
    """One target: what is declared, reported and measured of it.

    Args:
        declared: The operators' declaration of it.
        settings: The daemon's settings.
        instances: Number of entry instances that share its limit.
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
        self.answered_at = float("-inf")
        self.permit_refused_until = 0.0
        self._failed_in_row = 0
        self._rests_until = 0.0
        self._probing = False
        self._slow_in_row = 0
        self._slow_until = 0.0
        self._report: TargetReport | None = None
        self._measured_at = float("-inf")
        self._suspected_at = float("-inf")

    def redeclare(self, declared: DeclaredTarget, instances: int) -> None:
        """Follow a change of its declaration; what is known of it stays."""
        self.declared = declared
        self.limit = self._make_limit(instances)

    def share_among(self, instances: int) -> None:
        """Follow a change of the number of entry instances."""
        self.limit.share(self._even_share(instances))

    def _make_limit(self, instances: int) -> Limit:
        policy = LIMIT_POLICIES.by_name[self._settings.policies.limit]
        return policy(self._even_share(instances), self.declared.limit)

    def _even_share(self, instances: int) -> float:
        return max(1.0, self.declared.limit / max(1, instances))

    @property
    def id(self) -> str:
        """The target's id."""
        return self.declared.id

    def apply_report(self, report: TargetReport, *, sent_at: float) -> None:
        """Take a report unless a later one is known.

        Args:
            report: The report with its age when it was sent.
            sent_at: A time on this clock that is not after the sending.
        """
        measured_at = sent_at - report.age
        if measured_at <= self._measured_at:
            return
        self._report = report
        self._measured_at = measured_at

    @property
    def report(self) -> TargetReport | None:
        """The latest report, with its age as of now; None once it is too old."""
        report = self._fresh_report()
        if report is None:
            return None
        return report._replace(age=now() - self._measured_at)

    def _fresh_report(self) -> TargetReport | None:
        """The latest report as it came, which is cheaper to ask for often."""
        if now() - self._measured_at > self._settings.timing.report_limit:
            return None
        return self._report

    def is_cold(self) -> bool:
        """Tell whether the target must be treated as in cold start.

        A warm target turns cold without a word and collapses under full load. So
        only a fresh report makes it warm, and silence far longer than usual makes it
        cold again until a report measured later says otherwise.
        """
        report = self._fresh_report()
        if report is None or report.cold:
            return True
        return self._suspected_at >= self._measured_at

    def serves(self, model: str) -> bool:
        """Tell whether it has a model loaded; an empty name asks for none."""
        if not model:
            return True
        report = self._fresh_report()
        if report is None or report.models is None:
            return model in self.declared.models
        return model in report.models

    def load(self) -> float:
        """Share of the limit in use, by own calls and the latest report."""
        report = self._fresh_report()
        reported = report.in_flight if report else 0
        return max(self.in_flight, reported) / self.declared.limit

    def is_backing_off(self) -> bool:
        """Tell whether it is set aside after failures; one probe at a time passes."""
        if self._failed_in_row < _FAILURES_TO_OPEN:
            return False
        return now() < self._rests_until or self._probing

    def is_slow(self) -> bool:
        """Tell whether it is set aside for being far slower than its like."""
        if not self._slow_in_row:
            return False
        return now() < self._slow_until or self._probing

    def begin(self) -> None:
        """Count a call that is about to be sent."""
        self.in_flight += 1
        self.calls += 1
        is_failing = self._failed_in_row >= _FAILURES_TO_OPEN
        self._probing = is_failing or self._slow_in_row > 0

    def record_first_byte(self, latency: float, usual: float) -> None:
        """Note that it began to answer a call.

        The time to the first byte shows waiting at the target; what follows it
        depends on how much was asked.

        Args:
            latency: Seconds since the sending.
            usual: Seconds that targets of this kind usually take.
        """
        if not self._note_if_slow(latency, usual):
            self._slow_in_row = 0
        self._failed_in_row = 0
        self.limit.finish(latency, self.in_flight)
        if self.latency == 0.0:
            self.latency = latency
        self.latency += _LATENCY_WEIGHT * (latency - self.latency)

    def finish(self) -> None:
        """Count a call that was answered."""
        self._end()

    def fail(self, began_at: float, usual: float, *, timed_out: bool) -> None:
        """Count a call that failed.

        Under overload many calls run out of time at a target that works as fast as
        it can. Setting it aside would take away capacity just when it is short, so
        a timeout counts only if nothing was answered since the call began.

        Args:
            began_at: When the call began.
            usual: Seconds that targets of this kind usually take to answer.
            timed_out: Whether it failed by running out of time.
        """
        self._end()
        self.limit.fail()
        if timed_out:
            self._note_if_slow(now() - began_at, usual)
        if timed_out and self.answered_at > began_at:
            return
        self.failures += 1
        self._failed_in_row += 1
        over = max(0, self._failed_in_row - _FAILURES_TO_OPEN)
        rest = min(_LONGEST_REST, _FIRST_REST * 2.0 ** min(over, 8))
        self._rests_until = now() + rest
        if timed_out and now() - began_at > max(
            _MIN_SUSPECT, _SUSPECT_FACTOR * self.latency
        ):
            self._suspected_at = now()

    def abandon(self) -> None:
        """Count a call that was given up without blame, as when a caller left."""
        self._end()

    def _note_if_slow(self, latency: float, usual: float) -> bool:
        """Set it aside for a while if it is far slower than its like."""
        if latency < max(_MIN_SLOW, _SLOW_FACTOR * usual) or usual == 0.0:
            return False
        self._slow_in_row += 1
        rest = min(_LONGEST_REST, _FIRST_REST * 2.0 ** min(self._slow_in_row, 8))
        self._slow_until = now() + rest
        return True

    def _end(self) -> None:
        self.in_flight -= 1
        self._probing = False


class Targets:
    """All declared targets, kept across declarations.

    Args:
        settings: The daemon's settings.
        views: Declares the targets and lists who is leaving.
    """

    def __init__(self, settings: Settings, views: Views) -> None:
        self._settings = settings
        self._views = views
        self.by_id: dict[str, Target] = {}
        self.by_kind: dict[str, list[Target]] = {}
        self._returned_at_by_zone: dict[str, float] = {}
        self._out_zones: set[str] = set()
        views.subscribe(self.refresh)

    def refresh(self) -> None:
        """Follow the declaration: add, change and forget targets."""
        declaration = self._views.declaration
        entries = max(1, len(self._views.instances.entries()))
        kept: dict[str, Target] = {}
        for declared in declaration.targets.values():
            target = self.by_id.get(declared.id)
            if target is None or target.declared.address != declared.address:
                target = Target(declared, self._settings, entries)
            elif target.declared != declared:
                # A new object would forget its running calls and its report, and
                # take a warm target for cold until the next one.
                target.redeclare(declared, entries)
            # The list often arrives after the declaration; without this every
            # instance would start with the whole limit as its own.
            target.share_among(entries)
            kept[declared.id] = target
        self.by_id = kept
        self.by_kind = {}
        for target in kept.values():
            self.by_kind.setdefault(target.declared.kind, []).append(target)
        self._follow_zones()

    def accepts_new_work(self, target: Target) -> bool:
        """Tell whether operators and platform allow new work for a target.

        Checked at the moment of choice, so a request that queued before a zone was
        taken out or a target began to leave doesn't go there afterwards.
        """
        declaration = self._views.declaration
        if self.by_id.get(target.id) is not target:
            return False
        if declaration.zones[target.declared.zone].state == "out":
            return False
        return not self._views.instances.is_leaving(target.id)

    def ramp_fraction(self, zone: str) -> float:
        """Share of its room that a zone's targets get, 1.0 but after a return.

        A zone that returns is the least loaded one and would get all new work at
        once; its targets, idle meanwhile, may collapse and operators would see the
        return fail. Growing its room over some seconds prevents that.
        """
        returned_at = self._returned_at_by_zone.get(zone)
        if returned_at is None:
            return 1.0
        passed = (now() - returned_at) / self._settings.timing.return_ramp
        return min(1.0, max(0.1, passed))

    def _follow_zones(self) -> None:
        zones = self._views.declaration.zones
        out = {zone.name for zone in zones.values() if zone.state == "out"}
        for zone in self._out_zones - out:
            self._returned_at_by_zone[zone] = now()
        self._out_zones = out
