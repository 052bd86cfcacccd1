"""Reports outcomes of pieces to the instances that submitted them."""

from collections.abc import Callable, Iterable

from bergamotsaddle_serving._stage_worker import ServiceQueue
from bergamotsaddle_serving.decisions.stage_queue import PieceKey, QueuedPiece
from bergamotsaddle_serving.messages import PieceFailure, PieceResult
from bergamotsaddle_serving.peer_messages import PieceOutcome, Results, Started
from bergamotsaddle_serving.peers import Peers

FinishedPiece = tuple[PieceKey, PieceResult]


def _no_receiver(message: Results | Started) -> None:
    raise RuntimeError(f"no receiver is set for {type(message).__name__}")


class StageResults:
    """Sends results to the instances whose requests wait for them.

    Args:
        peers: The other instances.

    Attributes:
        deliver_locally: Called with messages for requests of this instance itself.
    """

    def __init__(self, peers: Peers) -> None:
        self._peers = peers
        self.deliver_locally: Callable[[Results | Started], None] = _no_receiver

    def finish(self, queue: ServiceQueue, finished: Iterable[FinishedPiece]) -> None:
        """Report outcomes, and keep results in case a datagram is lost.

        Args:
            queue: Queue of the pieces.
            finished: Finished pieces with their results.
        """
        outcomes_by_stage: dict[tuple[str, int, int], list[PieceOutcome]] = {}
        for key, result in finished:
            outcome = PieceOutcome(key.number, result.handle, result.reason)
            if result.handle:
                queue.record_outcome(key, outcome)
            stage = (key.request, key.stage, key.round)
            outcomes_by_stage.setdefault(stage, []).append(outcome)
        for (request, stage, round_number), group in outcomes_by_stage.items():
            self._send(queue, Results(request, stage, round_number, group))

    def finish_waiting(self, queue: ServiceQueue, reason: PieceFailure) -> None:
        """Send all queued pieces back to their requests, with the reason."""
        keys = list(queue.queue.piece_by_key)
        queue.queue.piece_by_key.clear()
        self.finish(queue, [(key, PieceResult("", reason)) for key in keys])

    def send_started(self, queue: ServiceQueue, batch: list[QueuedPiece]) -> None:
        """Report that a target has fetched the inputs of pieces."""
        numbers: dict[tuple[str, int, int], list[int]] = {}
        for piece in batch:
            if piece.inputs:
                key = piece.key
                stage = (key.request, key.stage, key.round)
                numbers.setdefault(stage, []).append(key.number)
        for (request, stage, round_number), group in numbers.items():
            self._send(queue, Started(request, stage, round_number, group))

    def _send(self, queue: ServiceQueue, message: Results | Started) -> None:
        sender = queue.sender_by_request.get(message.request)
        if sender is None:
            return
        if sender.id == self._peers.own.id:
            self.deliver_locally(message)
        else:
            self._peers.send(sender.id, message)
