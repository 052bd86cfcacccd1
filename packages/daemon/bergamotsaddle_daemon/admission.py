"""Policies that decide whether a call may wait for a slot, and for how long."""

from typing import NamedTuple

from bergamotsaddle_contracts.declaration import Team
from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.registry import ADMISSION_POLICIES

_MIN_RETRY_AFTER = 0.1
# Under overload, calls that waited until the last possible moment would all finish
# close to their deadlines and miss them at the slightest delay, so part of the slack
# is kept in reserve. A team with no other waiting call does not cause the overload and
# may use all of its slack.
_MAX_SLACK_FRACTION = 0.6


class CallRequirements(NamedTuple):
    """What a call needs of a target, and how much time it has.

    Attributes:
        request: Id of the request.
        team: Team of the caller.
        kind: Kind of target.
        model: Model the target must serve, or an empty string for any target.
        prefix: Start of the prompt, for prefix cache affinity.
        deadline: When the request must be answered, on the hub's clock.
        expected_seconds: Expected duration of this call and all later ones.
        ran: Whether any part of the request has reached a target so far.
        exclude: Ids of the targets that already failed this call.
    """

    request: str
    team: Team
    kind: str
    model: str
    prefix: str
    deadline: float
    expected_seconds: float
    ran: Ran
    exclude: frozenset[str] = frozenset()

    @property
    def slack(self) -> float:
        """Seconds that the call can wait and still meet its deadline."""
        return self.deadline - self.expected_seconds - now()


@ADMISSION_POLICIES.register("none")
class AdmitAll:
    """Admits every call and lets it wait until its deadline; the baseline policy."""

    def check(
        self, requirements: CallRequirements, wait: float, *, is_first: bool
    ) -> None:
        """Admit the call."""

    def queue_deadline(
        self, requirements: CallRequirements, *, is_first: bool
    ) -> float:
        """Return the time at which a call that still waits is rejected."""
        return requirements.deadline


@ADMISSION_POLICIES.register("feasible")
class AdmitFeasible:
    """Admits only calls that are expected to meet their deadlines."""

    def check(
        self, requirements: CallRequirements, wait: float, *, is_first: bool
    ) -> None:
        """Reject a call that would wait too long.

        Args:
            requirements: What the call needs.
            wait: Seconds that the call is expected to wait.
            is_first: Whether no other call of its team is waiting.

        Raises:
            RequestError: If the call is rejected. Its ``retry_after`` is the time
                until the expected wait is short enough.
        """
        if wait <= _usable_slack_fraction(is_first) * requirements.slack:
            return
        raise RequestError(
            ErrorKind.DEADLINE_INFEASIBLE,
            f"{requirements.kind} is expected to take"
            f" {wait + requirements.expected_seconds:.2f} s,"
            f" {requirements.deadline - now():.2f} s are left",
            ran=requirements.ran,
            retry_after=max(_MIN_RETRY_AFTER, wait - max(0.0, requirements.slack)),
        )

    def queue_deadline(
        self, requirements: CallRequirements, *, is_first: bool
    ) -> float:
        """Return the time at which a call that still waits is rejected."""
        return now() + _usable_slack_fraction(is_first) * requirements.slack


def _usable_slack_fraction(is_first: bool) -> float:
    return 1.0 if is_first else _MAX_SLACK_FRACTION
