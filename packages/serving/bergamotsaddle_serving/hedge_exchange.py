"""Asks the owner of a service's hedges for one, and grants them as an owner."""

import eventlet
from eventlet.event import Event

from bergamotsaddle_serving.decisions.hedge_pool import HedgePool
from bergamotsaddle_serving.message_numbers import make_numbers
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    HedgeEarnings,
    HedgeRequest,
    HedgeResponse,
)
from bergamotsaddle_serving.peers import Peers

# Several round trips between zones. The request is late already, so an owner that has
# not responded by then is not asked again.
_RESPONSE_TIMEOUT_S = 0.04
# Scope of pools that the instances of all regions share.
_EVERYWHERE = ""


class HedgeExchange:
    """The hedges that all instances share.

    Args:
        peers: The other instances.
        pool: What this instance has earned, and the pools that it owns.
    """

    def __init__(self, peers: Peers, pool: HedgePool) -> None:
        self._peers = peers
        self._pool = pool
        self._numbers = make_numbers()
        self._pending_by_number: dict[int, Event] = {}
        peers.set_handler(HedgeRequest, self._handle_request)
        peers.set_handler(
            HedgeResponse, lambda message, _: self._handle_response(message)
        )
        peers.set_handler(
            HedgeEarnings, lambda message, _: pool.add(message.service, message.earned)
        )

    @property
    def is_enabled(self) -> bool:
        """Whether any hedge is allowed."""
        return self._pool.is_enabled

    def count_request(self, service: str) -> None:
        """Count a repeatable request, and tell what is due."""
        self._pool.count_request(service)
        earned = self._pool.take_due(service)
        if not earned:
            return
        owner = self._owner_of(service)
        if owner == self._peers.own.id:
            self._pool.add(service, earned)
        else:
            self._peers.send(owner, HedgeEarnings(service, earned))

    def request(self, service: str) -> bool:
        """Return whether a hedge may be sent now, which uses it."""
        earned = self._pool.take_earned(service)
        owner = self._owner_of(service)
        if owner == self._peers.own.id:
            return self._pool.grant(service, earned)
        message = HedgeRequest(next(self._numbers), service, earned)
        response = self._pending_by_number[message.number] = Event()
        try:
            self._peers.send(owner, message)
            with eventlet.Timeout(_RESPONSE_TIMEOUT_S, False):
                return response.wait()
        finally:
            del self._pending_by_number[message.number]
        self._peers.verify(owner)
        return False

    def _owner_of(self, service: str) -> str:
        owners = rank_owners(self._peers, f"hedges of {service}", _EVERYWHERE)
        return next(iter(owners), self._peers.own.id)

    def _handle_request(self, message: HedgeRequest, address: tuple[str, int]) -> None:
        is_granted = self._pool.grant(message.service, message.earned)
        self._peers.send_to(address, HedgeResponse(message.number, is_granted))

    def _handle_response(self, message: HedgeResponse) -> None:
        response = self._pending_by_number.get(message.number)
        if response is not None and not response.ready():
            response.send(message.is_granted)
