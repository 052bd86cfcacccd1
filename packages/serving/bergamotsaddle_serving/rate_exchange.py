"""Carries questions for permits to the owners of shared rates."""

from collections import OrderedDict
from itertools import count

import eventlet
from eventlet.event import Event

from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import RateRequest, RateResponse
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.shared_rate import RateOwner

# Several trips between zones; a lost datagram is asked once more.
_ANSWER_LIMIT_S = 0.04
_TRIES = 2
# Until the death of an owner is known, or two instances agree on who owns a rate.
_UNSETTLED_S = 0.2
# Answers that are repeated for a question that comes twice.
_MOST_ANSWERED = 512


class RateExchange:
    """Asks the owner of a rate for permits, and answers as an owner.

    Args:
        peers: The other instances.
        owner: The rates that this instance owns.
    """

    def __init__(self, peers: Peers, owner: RateOwner) -> None:
        self._peers = peers
        self._owner = owner
        self._numbers = count(1)
        self._answer_by_number: dict[int, Event] = {}
        self._answered: OrderedDict[tuple[str, int], RateResponse] = OrderedDict()
        peers.set_handler(RateRequest, self._serve)
        peers.set_handler(RateResponse, lambda message, _: self._take(message))

    def request_permit(self, key: str, scope: str, rate: float, urgency: int) -> float:
        """Ask for a permit.

        Args:
            key: What the rate is for.
            scope: The zone whose instances own it, if there are any.
            rate: Permits a second, for all instances together.
            urgency: Of the request, 0 first.

        Returns:
            0 if there is one, else the seconds after which to ask again.
        """
        owner = self._owner_of(key, scope)
        if owner == self._peers.own.id:
            return self._owner.request_permit(key, rate, urgency)
        question = RateRequest(next(self._numbers), key, scope, rate, urgency)
        answer = self._answer_by_number[question.number] = Event()
        try:
            for _ in range(_TRIES):
                self._peers.send(owner, question)
                with eventlet.Timeout(_ANSWER_LIMIT_S, False):
                    return answer.wait()
        finally:
            del self._answer_by_number[question.number]
        self._peers.verify(owner)
        return _UNSETTLED_S

    def _owner_of(self, key: str, scope: str) -> str:
        return next(iter(rank_owners(self._peers, key, scope)), self._peers.own.id)

    def _serve(self, message: RateRequest, address: tuple[str, int]) -> None:
        question = (address[0], message.number)
        answer = self._answered.get(question)
        if answer is None:
            answer = RateResponse(message.number, self._decide(message))
            self._answered[question] = answer
            if len(self._answered) > _MOST_ANSWERED:
                self._answered.popitem(last=False)
        self._peers.send_to(address, answer)

    def _decide(self, message: RateRequest) -> float:
        if self._owner_of(message.key, message.scope) != self._peers.own.id:
            return _UNSETTLED_S
        return self._owner.request_permit(message.key, message.rate, message.urgency)

    def _take(self, message: RateResponse) -> None:
        answer = self._answer_by_number.get(message.number)
        if answer is not None and not answer.ready():
            answer.send(message.wait)
