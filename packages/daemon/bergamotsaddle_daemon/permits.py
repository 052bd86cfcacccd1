"""Permits: places at cold targets, given out by one home instance a target.

The steps are those of ``model/permits.py``, named in the comments.
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

_CLOCK_DRIFT = 1.01


class Permit(NamedTuple):
    """A place for one call at a cold target.

    Attributes:
        target_id: The target.
        number: The home's number for it.
        home: Id of the home instance.
        expires_at: End of its lifetime on this instance's clock.
    """

    target_id: str
    number: int
    home: str
    expires_at: float


class _Grants:
    """What a home has given out for one target.

    Args:
        since: When this instance became home.
        proven_from: Before this time no report proves anything.
    """

    def __init__(self, since: float, proven_from: float) -> None:
        self.since = since
        self.expiry_by_number: dict[int, float] = {}
        self.unproven = math.inf
        self.proven_from = proven_from

    def expire(self) -> None:
        """Turn permits that ran out into calls that may still be running."""
        for number, expiry in list(self.expiry_by_number.items()):
            if now() < expiry:
                continue
            del self.expiry_by_number[number]
            self.unproven += 1
            self.proven_from = max(self.proven_from, expiry)

    def forget_cold_start(self, proven_from: float) -> None:
        """Count every call as possibly running, as while the target is warm."""
        self.unproven = math.inf
        self.proven_from = proven_from

    def prove(self, in_flight: int, measured_at: float) -> None:
        """Bound the calls without a permit by what the target measured."""
        if measured_at >= self.proven_from:
            self.unproven = min(self.unproven, in_flight)

    def places_taken(self) -> float:
        """Calls that run or may run."""
        return len(self.expiry_by_number) + self.unproven


class PermitIssuer:
    """Gives out permits for the targets that this instance is home to.

    Args:
        settings: The daemon's settings.
        views: How old the instance list is.
        homes: Which targets this instance is home to.
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
        self._handed_at_by_target: dict[str, float] = {}
        self._numbers = itertools.count(1)
        self._stopping = False

    @property
    def takeover_wait(self) -> float:
        """Seconds before a report can prove anything to a new home.

        Until then an earlier home may go on granting by an older list, and what it
        granted may be in use; both would add up at the target. After the list's
        lag plus the limit on a view's age the earlier home has stopped, and one
        permit's lifetime later nothing it granted is left. Model: ``take_over``.
        """
        timing = self._timing
        wait = timing.list_lag + timing.view_limit + timing.permit_lifetime
        return wait * _CLOCK_DRIFT

    def grant(self, query: PermitQuery) -> PermitAnswer:
        """Grant a permit or say why not. Model: ``grant``."""
        target = self._targets.by_id.get(query.target_id)
        refusal = self._refuse(query.target_id, target)
        if refusal:
            return PermitAnswer(0, refusal)
        grants = self._grants(query.target_id)
        self._settle(grants, target)
        taken = grants.places_taken()
        if math.isinf(taken):
            return PermitAnswer(0, "earlier calls are not proven to have ended")
        if taken >= target.declared.cold_limit:
            return PermitAnswer(0, f"{taken} of {target.declared.cold_limit} are taken")
        number = next(self._numbers)
        lifetime = min(query.lifetime, self._timing.permit_lifetime)
        grants.expiry_by_number[number] = now() + lifetime * _CLOCK_DRIFT
        return PermitAnswer(number, f"granted for {lifetime:.2f} s")

    def may_order(self, target_id: str) -> bool:
        """Tell whether this instance may give a target orders.

        An engine that checks no fencing number obeys whoever orders last. Two homes
        at once would load and unload against each other; the same wait as for
        permits keeps them apart.
        """
        if self._refuse(target_id, self._targets.by_id.get(target_id)):
            return False
        since = self._homes.home_since[target_id]
        waited = now() - since >= self.takeover_wait
        return waited or self._was_handed(target_id, since)

    def release(self, message: PermitReturn) -> None:
        """Take a permit back after the target answered. Model: ``finish``."""
        grants = self._grants_by_target.get(message.target_id)
        if grants is not None:
            grants.expiry_by_number.pop(message.permit, None)

    def apply_handover(self, message: PermitHandover) -> None:
        """Take over what a stopping home has given out. Model: ``hand_over``."""
        since = self._homes.home_since.get(message.target_id, now())
        grants = _Grants(since, now())
        grants.unproven = 0
        for remaining in message.permits:
            expiry = now() + remaining * _CLOCK_DRIFT
            grants.expiry_by_number[next(self._numbers)] = expiry
        self._grants_by_target[message.target_id] = grants
        self._handed_at_by_target[message.target_id] = now()

    def hand_over(self) -> list[PermitHandover]:
        """Stop granting and list what is still out, for the next home."""
        self._stopping = True
        messages = []
        for target_id in self._homes.home_since:
            grants = self._grants(target_id)
            grants.expire()
            if not grants.unproven:
                left = [expiry - now() for expiry in grants.expiry_by_number.values()]
                messages.append(PermitHandover(target_id, tuple(left)))
        return messages

    def _refuse(self, target_id: str, target: Target | None) -> str:
        if target is None or not self._homes.is_own(target_id):
            return "not this target's home"
        if self._stopping:
            return "home is stopping"
        if self._views.list_age() > self._timing.view_limit:
            return "home's instance list is stale"
        return ""

    def _was_handed(self, target_id: str, since: float) -> bool:
        # A handover speaks only for the change of home that it belongs to. Another
        # home in between would itself have waited longer than this window.
        handed_at = self._handed_at_by_target.get(target_id)
        window = self._timing.list_lag + self._timing.view_limit
        return handed_at is not None and abs(since - handed_at) <= window

    def _grants(self, target_id: str) -> _Grants:
        since = self._homes.home_since[target_id]
        grants = self._grants_by_target.get(target_id)
        if grants is None:
            grants = _Grants(since, self._proven_from(since))
            self._grants_by_target[target_id] = grants
        if grants.since != since:
            self._renew(target_id, grants, since)
        return grants

    def _renew(self, target_id: str, grants: _Grants, since: float) -> None:
        """Begin anew after another instance was home, unless it handed over."""
        grants.since = since
        if not self._was_handed(target_id, since):
            grants.forget_cold_start(self._proven_from(since))

    def _proven_from(self, since: float) -> float:
        """When a report can first prove that only permitted calls run.

        Until then instances that saw the target warm may send without a permit,
        and calls permitted by an earlier home may still start.
        """
        last_warm = now() + self._timing.report_limit
        return max(last_warm, since + self.takeover_wait)

    def _settle(self, grants: _Grants, target: Target) -> None:
        """Use the target's report to prove that earlier calls have ended.

        A call whose holder died or sleeps may still run at the target when its
        permit ends, and calls from before the target turned cold have no permit.
        Granting their places again would overload it. They count until a report
        measured later bounds them. The report counts permitted calls too, but a
        permit may not have been used yet, so none is subtracted. Model: ``prove``.
        """
        grants.expire()
        report = target.report
        if report is None:
            return
        if not report.cold:
            grants.forget_cold_start(self._proven_from(grants.since))
            return
        grants.prove(report.in_flight, now() - report.age)

    def refresh_grants(self) -> None:
        """Note when a target is warm, so that its next cold start is drained anew."""
        for target_id in self._homes.home_since:
            target = self._targets.by_id.get(target_id)
            if target is not None:
                grants = self._grants(target_id)
                self._settle(grants, target)


class PermitClient:
    """Asks homes for permits and gives them back.

    Args:
        settings: The daemon's settings.
        homes: Which instance is home to a target.
        home: This instance's own part.
        peers: How to reach the others.
    """

    def __init__(
        self, settings: Settings, homes: Homes, home: PermitIssuer, peers: Peers
    ) -> None:
        self._settings = settings
        self._homes = homes
        self._home = home
        self._peers = peers

    def request(self, target: Target, seconds: float) -> tuple[Permit | None, str]:
        """Ask for one call's place.

        Args:
            target: The cold target.
            seconds: How long the call may take.

        Returns:
            The permit, or None, and the reason.
        """
        home = self._homes.by_target.get(target.id)
        if home is None:
            return None, "no home in the target's zone"
        lifetime = min(seconds, self._settings.timing.permit_lifetime)
        query = PermitQuery(target.id, self._settings.daemon.id, lifetime)
        # The lifetime counts from before the question was sent, so an answer that
        # arrives late, or is read after a pause, is worth less, never more.
        expires_at = now() + lifetime
        try:
            answer = self._ask_home(home, query)
        except PeerUnreachableError as error:
            return None, f"home {home}: {error}"
        if not answer.permit:
            return None, f"home {home}: {answer.reason}"
        return Permit(target.id, answer.permit, home, expires_at), answer.reason

    def can_use(self, target: Target) -> bool:
        """Tell whether this instance hears of a target's load at all."""
        home = self._homes.by_target.get(target.id)
        return home is None or home in self._homes.followed

    def release(self, permit: Permit) -> None:
        """Give a permit back without waiting for the home."""
        message = PermitReturn(permit.target_id, permit.number)
        if permit.home == self._settings.daemon.id:
            self._home.release(message)
        else:
            eventlet.spawn_n(self._send_return, permit.home, message)

    def _ask_home(self, home: str, query: PermitQuery) -> PermitAnswer:
        if home == self._settings.daemon.id:
            return self._home.grant(query)
        return self._peers.call(home, query, self._settings.timing.peer_call)

    def _send_return(self, home: str, message: PermitReturn) -> None:
        try:
            self._peers.call(home, message, self._settings.timing.peer_call)
        except PeerUnreachableError:
            # The permit runs out by itself and the target's report proves its end.
            return
