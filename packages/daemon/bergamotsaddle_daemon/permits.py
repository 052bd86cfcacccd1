"""Permits for calls to cold targets, issued by each target's home instance.

The protocol is modelled in ``model/permits.py``; docstrings name its steps.
"""

import itertools
import math
from typing import NamedTuple

import eventlet

from bergamotsaddle_contracts.errors import PeerUnreachableError
from bergamotsaddle_contracts.messages import (
    PermitAnswer,
    PermitHandover,
    PermitQuery,
    PermitReturn,
)
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.peers import Peers
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets
from bergamotsaddle_daemon.views import Views

# Homes wait longer by this factor than a permit lasts, so that a permit expires at its
# holder first even if the clocks run at slightly different rates.
_CLOCK_DRIFT = 1.01


class Permit(NamedTuple):
    """A permit for one call to a cold target.

    Attributes:
        target_id: Id of the target.
        number: The number that the home gave the permit.
        home: Id of the home instance.
        expires_at: When the permit expires, on this instance's clock.
    """

    target_id: str
    number: int
    home: str
    expires_at: float


class _Grants:
    """The permits that a home has granted for one target.

    Args:
        since: When this instance became the target's home.
        proven_from: Reports that were measured earlier prove nothing.

    Attributes:
        since: When this instance became the target's home.
        expiry_by_number: When each valid permit expires.
        unproven_calls: Upper bound on the calls that may run without a valid permit.
        proven_from: Reports that were measured earlier prove nothing.
    """

    def __init__(self, since: float, proven_from: float) -> None:
        self.since = since
        self.expiry_by_number: dict[int, float] = {}
        self.unproven_calls = math.inf
        self.proven_from = proven_from

    def expire(self) -> None:
        """Count expired permits as calls that may still be running."""
        for number, expiry in list(self.expiry_by_number.items()):
            if now() < expiry:
                continue
            del self.expiry_by_number[number]
            self.unproven_calls += 1
            self.proven_from = max(self.proven_from, expiry)

    def reset_unproven(self, proven_from: float) -> None:
        """Assume any number of calls without a permit, as while the target is warm."""
        self.unproven_calls = math.inf
        self.proven_from = proven_from

    def apply_measurement(self, in_flight: int, measured_at: float) -> None:
        """Bound the calls without a permit by the number that the target measured."""
        if measured_at >= self.proven_from:
            self.unproven_calls = min(self.unproven_calls, in_flight)

    def slots_in_use(self) -> float:
        """Return the number of calls that run or may run at the target."""
        return len(self.expiry_by_number) + self.unproven_calls


class PermitIssuer:
    """Grants permits for the targets that this instance is home to.

    Args:
        settings: The daemon's settings.
        views: Provides the age of the instance list.
        homes: Determines which targets this instance is home to.
        targets: The targets and their reports.
    """

    def __init__(
        self, settings: Settings, views: Views, homes: Homes, targets: Targets
    ) -> None:
        self._timing = settings.timing
        self._views = views
        self._homes = homes
        self._targets = targets
        self._grants_by_target: dict[str, _Grants] = {}
        self._handover_at_by_target: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._is_stopping = False

    @property
    def takeover_wait(self) -> float:
        """Seconds before a report can prove anything to a new home.

        Until then an earlier home may still grant permits by an older instance list,
        and its permits may be in use; the calls of both homes would add up at the
        target. After the list's lag plus the maximum age of a view the earlier home has
        stopped granting, and one permit lifetime later all its permits have expired.
        Model: ``take_over``.
        """
        timing = self._timing
        wait = timing.list_lag + timing.view_limit + timing.permit_lifetime
        return wait * _CLOCK_DRIFT

    def grant(self, query: PermitQuery) -> PermitAnswer:
        """Grant a permit or return the reason for refusing it. Model: ``grant``."""
        target = self._targets.by_id.get(query.target_id)
        refusal = self._refusal_reason(query.target_id, target)
        if refusal:
            return PermitAnswer(0, refusal)
        grants = self._grants(query.target_id)
        self._apply_report(grants, target)
        in_use = grants.slots_in_use()
        if math.isinf(in_use):
            return PermitAnswer(0, "earlier calls are not proven to have ended")
        if in_use >= target.declared.cold_limit:
            return PermitAnswer(
                0, f"{in_use} of {target.declared.cold_limit} are taken"
            )
        number = next(self._numbers)
        lifetime = min(query.lifetime, self._timing.permit_lifetime)
        grants.expiry_by_number[number] = now() + lifetime * _CLOCK_DRIFT
        return PermitAnswer(number, f"granted for {lifetime:.2f} s")

    def may_order(self, target_id: str) -> bool:
        """Return whether this instance may send orders to a target.

        An engine that checks no fencing number obeys the last order it gets. Two homes
        at the same time would keep undoing each other's orders, so a new home waits as
        long as it does for permits.
        """
        if self._refusal_reason(target_id, self._targets.by_id.get(target_id)):
            return False
        since = self._homes.home_since[target_id]
        has_waited = now() - since >= self.takeover_wait
        return has_waited or self._has_handover(target_id, since)

    def release(self, message: PermitReturn) -> None:
        """Release a permit after the target has answered. Model: ``finish``."""
        grants = self._grants_by_target.get(message.target_id)
        if grants is not None:
            grants.expiry_by_number.pop(message.permit, None)

    def apply_handover(self, message: PermitHandover) -> None:
        """Take over the permits that a stopping home granted. Model: ``hand_over``."""
        since = self._homes.home_since.get(message.target_id, now())
        grants = _Grants(since, now())
        grants.unproven_calls = 0
        for remaining in message.permits:
            expiry = now() + remaining * _CLOCK_DRIFT
            grants.expiry_by_number[next(self._numbers)] = expiry
        self._grants_by_target[message.target_id] = grants
        self._handover_at_by_target[message.target_id] = now()

    def hand_over(self) -> list[PermitHandover]:
        """Stop granting permits and hand over the valid ones.

        Returns:
            A message for the next home of each target, except for targets where calls
            without a permit may still run.
        """
        self._is_stopping = True
        messages = []
        for target_id in self._homes.home_since:
            grants = self._grants(target_id)
            grants.expire()
            if not grants.unproven_calls:
                remaining_lifetimes = [
                    expiry - now() for expiry in grants.expiry_by_number.values()
                ]
                messages.append(PermitHandover(target_id, tuple(remaining_lifetimes)))
        return messages

    def _refusal_reason(self, target_id: str, target: Target | None) -> str:
        if target is None or not self._homes.is_own(target_id):
            return "not this target's home"
        if self._is_stopping:
            return "home is stopping"
        if self._views.list_age() > self._timing.view_limit:
            return "home's instance list is stale"
        return ""

    def _has_handover(self, target_id: str, since: float) -> bool:
        # A handover is valid only for the change of home that it belongs to. Another
        # home in between would itself have waited longer than this window.
        handover_at = self._handover_at_by_target.get(target_id)
        window = self._timing.list_lag + self._timing.view_limit
        return handover_at is not None and abs(since - handover_at) <= window

    def _grants(self, target_id: str) -> _Grants:
        since = self._homes.home_since[target_id]
        grants = self._grants_by_target.get(target_id)
        if grants is None:
            grants = _Grants(since, self._proven_from(since))
            self._grants_by_target[target_id] = grants
        if grants.since != since:
            self._reset_after_takeover(target_id, grants, since)
        return grants

    def _reset_after_takeover(
        self, target_id: str, grants: _Grants, since: float
    ) -> None:
        """Discard what is known after another instance was home without a handover."""
        grants.since = since
        if not self._has_handover(target_id, since):
            grants.reset_unproven(self._proven_from(since))

    def _proven_from(self, since: float) -> float:
        """Return when a report can first prove that only calls with a permit run.

        Until then instances that saw the target warm may send calls without a permit,
        and calls with permits of an earlier home may still start.
        """
        last_warm = now() + self._timing.report_limit
        return max(last_warm, since + self.takeover_wait)

    def _apply_report(self, grants: _Grants, target: Target) -> None:
        """Use the target's report to prove that earlier calls have ended.

        A call may still run at the target when its permit expires, if the instance that
        sent it was killed or paused. Calls from before the target turned cold have no
        permit at all. Granting further permits in their place would overload the
        target, so they count until a report that was measured later bounds them. The
        report includes calls with a permit, but a permit may not have been used yet, so
        none is subtracted. Model: ``prove``.
        """
        grants.expire()
        report = target.report
        if report is None:
            return
        if not report.cold:
            grants.reset_unproven(self._proven_from(grants.since))
            return
        grants.apply_measurement(report.in_flight, now() - report.age)

    def refresh_grants(self) -> None:
        """Update the grants of all targets that this instance is home to.

        A target seen as warm has its grants reset, so that the calls sent without a
        permit must be proven to have ended at its next cold start.
        """
        for target_id in self._homes.home_since:
            target = self._targets.by_id.get(target_id)
            if target is not None:
                grants = self._grants(target_id)
                self._apply_report(grants, target)


class PermitClient:
    """Requests permits from homes and releases them.

    Args:
        settings: The daemon's settings.
        homes: Determines which instance is home to a target.
        issuer: Grants permits of targets that this instance is home to.
        peers: Calls the other instances.
    """

    def __init__(
        self, settings: Settings, homes: Homes, issuer: PermitIssuer, peers: Peers
    ) -> None:
        self._settings = settings
        self._homes = homes
        self._issuer = issuer
        self._peers = peers

    def request(self, target: Target, seconds: float) -> tuple[Permit | None, str]:
        """Request a permit for one call.

        Args:
            target: The cold target.
            seconds: Longest duration of the call.

        Returns:
            The permit, or None if it was refused, and the reason.
        """
        home = self._homes.by_target.get(target.id)
        if home is None:
            return None, "no home in the target's zone"
        lifetime = min(seconds, self._settings.timing.permit_lifetime)
        query = PermitQuery(target.id, self._settings.daemon.id, lifetime)
        # The lifetime is counted from before the query was sent, so a response that
        # arrives late or is read after a pause can only shorten the permit.
        expires_at = now() + lifetime
        try:
            answer = self._ask_home(home, query)
        except PeerUnreachableError as error:
            return None, f"home {home}: {error}"
        if not answer.permit:
            return None, f"home {home}: {answer.reason}"
        return Permit(target.id, answer.permit, home, expires_at), answer.reason

    def can_use(self, target: Target) -> bool:
        """Return whether this instance receives reports of a target's load."""
        home = self._homes.by_target.get(target.id)
        return home is None or home in self._homes.followed

    def release(self, permit: Permit) -> None:
        """Release a permit without waiting for the home's response."""
        message = PermitReturn(permit.target_id, permit.number)
        if permit.home == self._settings.daemon.id:
            self._issuer.release(message)
        else:
            eventlet.spawn_n(self._send_return, permit.home, message)

    def _ask_home(self, home: str, query: PermitQuery) -> PermitAnswer:
        if home == self._settings.daemon.id:
            return self._issuer.grant(query)
        return self._peers.call(home, query, self._settings.timing.peer_call)

    def _send_return(self, home: str, message: PermitReturn) -> None:
        try:
            self._peers.call(home, message, self._settings.timing.peer_call)
        except PeerUnreachableError:
            # The permit expires by itself and a report then proves the call's end.
            return
