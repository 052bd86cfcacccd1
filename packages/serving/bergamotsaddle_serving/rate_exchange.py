"""Requests permits from the owners of shared rates, and serves such requests."""

from collections import OrderedDict

import eventlet
from eventlet.event import Event

from bergamotsaddle_serving.message_numbers import make_numbers
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import RateRequest, RateResponse
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.shared_rate import RateOwner

# Several round trips between zones; after it a lost datagram is sent once more.
_RESPONSE_TIMEOUT_S = 0.04
_MAX_ATTEMPTS = 2
# How long a caller waits until the crash of an owner is detected, or until two
# instances agree on the owner of a rate.
_RETRY_DELAY_S = 0.2
# Scope of rates that the instances of all regions share.
_EVERYWHERE = ""
# Trials per second of a request that has crashed targets.
_TRIALS_PER_S = 0.2
# Number of responses that are kept, to be repeated for a request that arrives twice.
_MAX_REMEMBERED = 512


class RateExchange:
    """Requests permits from the owner of a rate, and grants them as an owner.

    Args:
        peers: The other instances.
        owner: The rates that this instance owns.
    """

    def __init__(self, peers: Peers, owner: RateOwner) -> None:
        self._peers = peers
        self._owner = owner
        self._numbers = make_numbers()
        self._pending_by_number: dict[int, Event] = {}
        self._sent_responses: OrderedDict[tuple[str, int], RateResponse] = OrderedDict()
        peers.set_handler(RateRequest, self._handle_request)
        peers.set_handler(
            RateResponse, lambda message, _: self._handle_response(message)
        )

    def request_permit(self, key: str, scope: str, rate: float, urgency: int) -> float:
        """Request a permit from the owner of a rate.

        Args:
            key: Key of the shared rate.
            scope: Zone whose instances own the rate, if there are any.
            rate: Permits per second for all instances together.
            urgency: Urgency of the caller's request, 0 first.

        Returns:
            0 if a permit is granted, otherwise seconds until the next attempt.
        """
        owner = self._owner_of(key, scope)
        if owner == self._peers.own.id:
            return self._owner.request_permit(key, rate, urgency)
        request = RateRequest(next(self._numbers), key, scope, rate, urgency)
        response = self._pending_by_number[request.number] = Event()
        try:
            for _ in range(_MAX_ATTEMPTS):
                self._peers.send(owner, request)
                with eventlet.Timeout(_RESPONSE_TIMEOUT_S, False):
                    return response.wait()
        finally:
            del self._pending_by_number[request.number]
        self._peers.verify(owner)
        return _RETRY_DELAY_S

    def request_trial(self, fingerprint: str) -> bool:
        """Request a permit to try a request that has crashed targets.

        All instances in reach together let one such request through in some seconds.

        Args:
            fingerprint: Fingerprint of the request.
        """
        key = f"trial {fingerprint}"
        return self.request_permit(key, _EVERYWHERE, _TRIALS_PER_S, 0) <= 0

    def _owner_of(self, key: str, scope: str) -> str:
        return next(iter(rank_owners(self._peers, key, scope)), self._peers.own.id)

    def _handle_request(self, message: RateRequest, address: tuple[str, int]) -> None:
        request_key = (address[0], message.number)
        response = self._sent_responses.get(request_key)
        if response is None:
            response = RateResponse(message.number, self._decide(message))
            self._sent_responses[request_key] = response
            if len(self._sent_responses) > _MAX_REMEMBERED:
                self._sent_responses.popitem(last=False)
        self._peers.send_to(address, response)

    def _decide(self, message: RateRequest) -> float:
        if self._owner_of(message.key, message.scope) != self._peers.own.id:
            return _RETRY_DELAY_S
        return self._owner.request_permit(message.key, message.rate, message.urgency)

    def _handle_response(self, message: RateResponse) -> None:
        response = self._pending_by_number.get(message.number)
        if response is not None and not response.ready():
            response.send(message.wait)
