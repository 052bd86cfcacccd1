"""Decides whether a call may wait for a place, and for how long."""

from typing import NamedTuple

from bergamotsaddle_contracts.declaration import Team
from bergamotsaddle_contracts.errors import ErrorKind, Ran, RequestError
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.registry import ADMISSION_POLICIES

_MIN_RETRY_AFTER = 0.1
# Waiting for as long as the deadline just allows would make every request that is
# served under overload a close call; the rest of the slack absorbs what varies. A
# team that has nothing else waiting is not the cause of the overload and may use all.
_WAIT_SHARE = 0.6


class Need(NamedTuple):
    """What a call needs.

    Attributes:
        request: Id of the request.
        team: Team of the caller.
        kind: Kind of target.
        model: Model the target must serve, or an empty string.
        prefix: Start of the prompt, for cache affinity.
        deadline: When the request must be answered, on the hub's clock.
        ahead: Expected seconds of this call and all later ones.
        ran: What holds of the request so far.
        exclude: Targets that already failed this call.
    """

    request: str
    team: Team
    kind: str
    model: str
    prefix: str
    deadline: float
    ahead: float
    ran: Ran
    exclude: frozenset[str] = frozenset()

    @property
    def slack(self) -> float:
        """Seconds the call can wait and still make the deadline."""
        return self.deadline - self.ahead - now()


@ADMISSION_POLICIES.register("none")
class AdmitAll:
    """Every request waits until its deadline; the baseline."""

    def check(self, need: Need, wait: float, *, is_first: bool) -> None:
        """Admit."""

    def give_up_at(self, need: Need, *, is_first: bool) -> float:
        """When a waiting call is refused."""
        return need.deadline


@ADMISSION_POLICIES.register("feasible")
class AdmitFeasible:
    """Only requests that can be expected to make their deadline."""

    def check(self, need: Need, wait: float, *, is_first: bool) -> None:
        """Refuse a call that would wait too long.

        Args:
            need: What the call needs.
            wait: Seconds that it is expected to wait.
            is_first: Whether no other call of its team waits.

        Raises:
            RequestError: With the seconds until the wait is expected to be short.
        """
        if wait <= _wait_share(is_first) * need.slack:
            return
        raise RequestError(
            ErrorKind.DEADLINE_INFEASIBLE,
            f"{need.kind} is expected to take {wait + need.ahead:.2f} s,"
            f" {need.deadline - now():.2f} s are left",
            ran=need.ran,
            retry_after=max(_MIN_RETRY_AFTER, wait - max(0.0, need.slack)),
        )

    def give_up_at(self, need: Need, *, is_first: bool) -> float:
        """When a waiting call is refused."""
        return now() + _wait_share(is_first) * need.slack


def _wait_share(is_first: bool) -> float:
    return 1.0 if is_first else _WAIT_SHARE
