"""When a repeatable request is sent to a second target, and how often that may happen.

This module does no input or output.
"""

# A response that takes this many times as long as usual is rare at a sound target.
_RARE_FACTOR = 4.0
# Before this many times the usual time the first target is likely to respond soon.
_EARLY_FACTOR = 2.0
# The second target is given this many times the usual time before the objective.
_SECOND_RUN_FACTOR = 1.5
# Hedges of calm times that an instance may save for a target that turns slow.
_MAX_SAVED = 4.0


def hedge_delay(usual: float, objective: float) -> float:
    """Return the seconds after which a request is sent to a second target.

    This serves targets that slow down for a moment, while others of their service do
    not: the few requests that are at them take several times as long as the others.
    The second target gets the request while it can still respond in time, or once the
    response is so late that the first target has most likely slowed down. It never gets
    it earlier than that, also if the objective is short: the extra work would then be
    spent on requests whose responses are about to arrive.

    Args:
        usual: Seconds that a response of the service usually takes.
        objective: Seconds until the response is due.
    """
    latest = objective - _SECOND_RUN_FACTOR * usual
    return max(_EARLY_FACTOR * usual, min(latest, _RARE_FACTOR * usual))


class HedgeAllowance:
    """Keeps the hedges of all instances within a share of the requests.

    This serves services all of whose targets slow down together: each request is slow
    then, and hedges would double the load of targets that are behind already. Each
    request earns its instance the share, and each hedge costs one. An instance starts
    with nothing and spends nothing that it has not earned, so all instances together
    stay within the share of all requests without any messages, also while they are cut
    off from each other and after restarts.

    Args:
        max_share: Hedges allowed, as a fraction of the repeatable requests.
    """

    def __init__(self, max_share: float) -> None:
        self._max_share = max_share
        self._saved_by_service: dict[str, float] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether any hedge is allowed."""
        return self._max_share > 0

    def count_request(self, service: str) -> None:
        """Count a repeatable request."""
        saved = self.saved(service) + self._max_share
        self._saved_by_service[service] = min(_MAX_SAVED, saved)

    def saved(self, service: str) -> float:
        """Return the hedges that are left for a service, in parts of one."""
        return self._saved_by_service.get(service, 0.0)

    def try_use(self, service: str) -> bool:
        """Use one hedge and return True, or return False if none is left."""
        saved = self.saved(service)
        if saved < 1.0:
            return False
        self._saved_by_service[service] = saved - 1.0
        return True

    def give_back(self, service: str) -> None:
        """Give back a hedge that was not sent."""
        saved = self.saved(service) + 1.0
        self._saved_by_service[service] = min(_MAX_SAVED, saved)
