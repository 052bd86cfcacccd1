"""Owns queues of stage services: takes pieces from all instances and calls targets."""

from collections.abc import Callable
from typing import Any

import eventlet
from eventlet.event import Event
from eventlet.greenthread import GreenThread

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_serving._stage_worker import Sender, ServiceQueue, Worker
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import (
    ConnectionLostError,
    ConnectionPool,
)
from bergamotsaddle_serving.fetching import fetch_seconds
from bergamotsaddle_serving.messages import Dialect, PieceResult, Unmade
from bergamotsaddle_serving.owners import rank_owners
from bergamotsaddle_serving.peer_messages import (
    Accepted,
    Cancel,
    Done,
    Release,
    Results,
    Started,
    Submit,
)
from bergamotsaddle_serving.peers import Peers
from bergamotsaddle_serving.scopes import Scopes
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.stage_queue import (
    PieceKey,
    QueuedPiece,
    is_large,
)
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.zone_reach import ZoneReach

# A call that takes this many times its expected time, and a little, counts as lost: a
# target without power never answers, while slow ones keep within it.
_LOST_FACTOR = 2.0
_LOST_EXTRA_S = 0.4
_FULL_PAUSE_S = 0.05
_IDLE_CHECK_S = 0.25
_MAX_TRIES = 2
# Another owner must have been seen at this many checks in a row, half a second apart,
# for pieces to move there.
_CHECKS_TO_MOVE = 2
# How long after a call the next one may wait for the room that its results give up:
# their way to the sender, from there to an engine, and the word that they were fetched.
_ROOM_WAIT_S = 0.09


def _input_bytes(batch: list[QueuedPiece]) -> int:
    """Size of all inputs of a call; pieces of one stage share theirs."""
    by_stage = {piece.key[:2]: piece.input_bytes for piece in batch}
    return sum(by_stage.values())


class StageOwner:
    """The queues that this instance owns.

    Args:
        view: Targets and services.
        peers: Where results go.
        pool: Connections to targets.
        dialect: Makes the calls.
        reach: Knows the zones that are cut off.
        logger: Gets a line for each call.
    """

    def __init__(
        self,
        view: View,
        peers: Peers,
        pool: ConnectionPool,
        dialect: Dialect,
        reach: ZoneReach,
        logger: Any,
    ) -> None:
        self._view = view
        self._reach = reach
        self._peers = peers
        self._calls = StageCalls(view, pool, dialect)
        self._dialect = dialect
        self._logger = logger
        self._queue_by_service: dict[str, ServiceQueue] = {}
        self.scopes = Scopes(view, peers)
        self.deliver_here: Any = None
        self.calls = 0
        self.pieces = 0
        view.watch(self._retire)
        reach.watch(self._retire)

    def submit(self, message: Submit, sender: str) -> Accepted | Results:
        """Take pieces into the queue.

        Args:
            message: The pieces.
            sender: Instance that gets the results.

        Returns:
            What to tell the sender at once.
        """
        queue = self._queue(message.service)
        if queue is None or not self._has_targets(queue):
            done = [Done(n, "", Unmade.NO_TARGET) for n in message.numbers]
            return Results(message.request, message.stage, message.round, done)
        queue.note_submission()
        life = self._peers.life_of(sender)
        queue.note_sender(message.request, Sender(sender, life))
        known = [self._take(queue, message, number) for number in message.numbers]
        queue.wake()
        done = [result for result in known if result is not None]
        if done:
            return Results(message.request, message.stage, message.round, done)
        return Accepted(
            message.request, message.stage, message.numbers[0], message.round
        )

    def cancel(self, message: Cancel) -> None:
        """Drop what waits for a request, and mark what runs as not needed."""
        for queue in self._queue_by_service.values():
            if message.request in queue.sender_by_request:
                self._cancel(queue, message.request)

    def _cancel(self, queue: ServiceQueue, request: str) -> None:
        del queue.sender_by_request[request]
        queue.queue.cancel(request)
        queue.note_cancelled(request)

    def drop_orphans(self) -> None:
        """Drop the requests of instances that have died, and give up their results.

        Nobody would fetch these; their pieces would take calls, and their results hold
        room until they expire. An instance that was only cut off has its stages done
        again.
        """
        for queue in self._queue_by_service.values():
            senders = set(queue.sender_by_request.values())
            dead = {s for s in senders if self._is_dead(s)}
            if not dead:
                continue
            orphans = [r for r, s in queue.sender_by_request.items() if s in dead]
            for request in orphans:
                self._cancel(queue, request)
            handles = queue.take_results(set(orphans))
            self._logger.info(
                "orphans_dropped",
                service=queue.service,
                senders=sorted(sender.id for sender in dead),
                requests=len(orphans),
                results=len(handles),
            )
            self.release(Release(queue.service, handles))

    def _is_dead(self, sender: Sender) -> bool:
        return sender.life is not None and self._peers.life_of(sender.id) != sender.life

    def release(self, message: Release) -> None:
        """Give up results at the targets that hold them."""
        handles_by_maker: dict[Address, list[str]] = {}
        for handle in message.handles:
            maker = self._dialect.maker(handle)
            handles_by_maker.setdefault(maker, []).append(handle)
        for maker, handles in handles_by_maker.items():
            self._release(maker, handles, message.service)

    def loads(self) -> dict[str, list[float]]:
        """Load of each owned queue: drain by urgency, then call time and rate."""
        return {
            service: self._load(queue)
            for service, queue in self._queue_by_service.items()
            if self._owner(service) == self._peers.own.id and self._has_targets(queue)
        }

    def _owner(self, service: str) -> str | None:
        """The instance that owns the queue of which this one is a possible owner."""
        scope = self.scopes.of(service, self._peers.own.zone)
        return next(iter(rank_owners(self._peers, service, scope)), None)

    def is_busy(self) -> bool:
        """Tell whether pieces wait or run here."""
        return any(len(q.queue) or q.running for q in self._queue_by_service.values())

    def hand_over(self, *, is_final: bool = False) -> None:
        """Have pieces that wait here sent to another instance that owns the queue now.

        After an owner's return two instances would go on calling the same targets,
        each with half-filled calls and half of the knowledge of their room.

        Args:
            is_final: Whether this instance stops, so that the others need not be seen
                twice in its place.
        """
        for queue in self._queue_by_service.values():
            self._hire(queue)
            owner = self._owner(queue.service)
            if owner in (None, self._peers.own.id):
                queue.disowned_checks = 0
                continue
            queue.disowned_checks += 1
            if is_final or queue.disowned_checks == _CHECKS_TO_MOVE:
                self._finish_all(queue, Unmade.MOVED)

    def _finish_all(self, queue: ServiceQueue, reason: Unmade) -> None:
        """Send all pieces that wait back to their requests."""
        done_by_stage: dict[tuple[str, int, int], list[Done]] = {}
        for key in list(queue.queue.piece_by_key):
            del queue.queue.piece_by_key[key]
            stage = (key.request, key.stage, key.round)
            done_by_stage.setdefault(stage, []).append(Done(key.number, "", reason))
        for (request, stage, turn), done in done_by_stage.items():
            self._tell(queue, Results(request, stage, turn, done))

    def open_queues(self) -> None:
        """Open a queue for each stage service, so that its waits are known."""
        configuration = self._view.configuration
        if configuration is None:
            return
        for service in configuration.services_by_name.values():
            if service.batching is not None:
                self._queue(service.name)

    def _queue(self, service: str) -> ServiceQueue | None:
        configuration = self._view.configuration
        declared = configuration and configuration.services_by_name.get(service)
        if not declared or declared.batching is None:
            return None
        queue = self._queue_by_service.get(service)
        if queue is None:
            queue = ServiceQueue(service, declared.batching)
            self._queue_by_service[service] = queue
        queue.queue.batching = declared.batching
        return queue

    def _has_targets(self, queue: ServiceQueue) -> bool:
        self._hire(queue)
        return bool(queue.fit_workers())

    def _hire(self, queue: ServiceQueue) -> None:
        own = self._own_targets(queue.service)
        self._dismiss(queue, {target.life for target in own})
        for target in own:
            if target.life in queue.worker_by_life:
                continue
            worker = Worker(target, queue.queue.batching)
            queue.worker_by_life[target.life] = worker
            for _ in range(queue.queue.batching.slots):
                eventlet.spawn_n(self._keep_working, self._work, queue, worker)
            eventlet.spawn_n(self._keep_working, self._give_up, queue, worker)

    def _dismiss(self, queue: ServiceQueue, lives: set[tuple[str, int]]) -> None:
        """Stop calling targets that are not this queue's any more.

        A zone whose instances all stop for a moment has its targets called by owners
        in other zones. Had these kept them after the zone's return, two owners would
        call one target for good, each blind to the results that the other one's calls
        hold there: two pieces in five then found no room.
        """
        for life in [life for life in queue.worker_by_life if life not in lives]:
            # Its threads end by themselves after the call that runs.
            del queue.worker_by_life[life]

    def _keep_working(
        self,
        work: Callable[[ServiceQueue, Worker], None],
        queue: ServiceQueue,
        worker: Worker,
    ) -> None:
        # An error nobody thought of would end the only green thread that calls this
        # target, and its queue would stand still; the log line tells of it.
        while queue.worker_by_life.get(worker.target.life) is worker:
            try:
                work(queue, worker)
            except Exception:
                self._logger.exception("restarting", work=work.__qualname__)
                eventlet.sleep(_IDLE_CHECK_S)

    def _own_targets(self, service: str) -> list[Target]:
        scope = self.scopes.of(service, self._peers.own.zone)
        inhabited = self._peers.inhabited()
        return [
            known.target
            for known in self._view.usable(service)
            if not self._reach.is_lost(known.target.zone)
            and (
                self.scopes.of(service, known.target.zone) == scope
                or known.target.zone not in inhabited
            )
        ]

    def _retire(self) -> None:
        for queue in self._queue_by_service.values():
            self._hire(queue)
            self._turn_away(queue)
            queue.wake()

    def _take(self, queue: ServiceQueue, message: Submit, number: int) -> Done | None:
        key = PieceKey(message.request, message.stage, number, message.round)
        if key in queue.done_by_key:
            return queue.done_by_key[key]
        if key in queue.running or key in queue.queue.piece_by_key:
            return None
        moment = now()
        zone, zone_bytes = self._home(message)
        queue.queue.add(
            QueuedPiece(
                key,
                message.urgency,
                message.has_begun,
                moment + message.objective,
                moment + message.remaining,
                message.result_bytes,
                message.key,
                tuple(message.inputs),
                message.input_bytes,
                zone=zone,
                zone_bytes=zone_bytes,
            )
        )
        return None

    def _home(self, message: Submit) -> tuple[str, float]:
        """The zone in which pieces would move least, and the bytes that are there."""
        bytes_by_zone = {message.zone: float(message.result_bytes)}
        for handle in message.inputs:
            target = self._view.target_by_address.get(self._dialect.maker(handle))
            zone = target.zone if target is not None else ""
            share = message.input_bytes / len(message.inputs)
            bytes_by_zone[zone] = bytes_by_zone.get(zone, 0.0) + share
        home = max(bytes_by_zone, key=bytes_by_zone.__getitem__)
        return home, bytes_by_zone[home]

    def _load(self, queue: ServiceQueue) -> list[float]:
        workers = queue.fit_workers()
        until_free = max(0.0, min(w.free_at for w in workers) - now())
        pace = min(w.pace for w in workers)
        drains = queue.queue.drains(len(workers), until_free, pace)
        call = queue.queue.call_seconds(pace)
        rate = queue.queue.rate(len(workers), pace)
        return [round(figure, 3) for figure in (*drains, call, rate)]

    def _work(self, queue: ServiceQueue, worker: Worker) -> None:
        while queue.worker_by_life.get(worker.target.life) is worker:
            moment = now()
            if worker.rest_until > moment:
                self._turn_away(queue)
                eventlet.sleep(min(_IDLE_CHECK_S, worker.rest_until - moment))
                continue
            # Asked first, a dead target holds no pieces up for a whole call.
            if worker.failures and not self._ask_room(worker):
                worker.rest()
                continue
            for piece in queue.queue.take_expired(moment, worker.pace):
                self._finish(queue, piece, PieceResult("", Unmade.LATE))
            batch = queue.queue.take_batch(
                moment,
                worker.room.left(moment),
                worker.pace,
                may_wait=moment < worker.full_call_by,
                zone=worker.target.zone,
                others=queue.others(worker),
            )
            if not batch:
                self._await_news(queue, worker)
                continue
            self._call(queue, worker, batch)

    def _await_news(self, queue: ServiceQueue, worker: Worker) -> None:
        wait = worker.full_call_by - now()
        if wait <= 0:
            wait = _IDLE_CHECK_S
        with eventlet.Timeout(wait, False):
            queue.news.wait()

    def _turn_away(self, queue: ServiceQueue) -> None:
        # With all targets resting, the pieces have better chances in another zone,
        # and their senders choose that.
        if queue.fit_workers():
            return
        self._finish_all(queue, Unmade.NO_TARGET)

    def _call(
        self, queue: ServiceQueue, worker: Worker, batch: list[QueuedPiece]
    ) -> None:
        size = sum(piece.result_bytes for piece in batch)
        expected = queue.queue.batching.seconds(len(batch))
        began_at = now()
        worker.free_at = began_at + expected * worker.pace
        worker.room.reserve(size, began_at)
        queue.running.update(piece.key for piece in batch)
        self.calls += 1
        self.pieces += len(batch)
        limit = expected * max(1.0, worker.pace) * _LOST_FACTOR + _LOST_EXTRA_S
        started = self._announce_start(queue, worker, batch)
        try:
            results = self._calls.run(worker.target, batch, limit)
        except (ConnectionLostError, ValueError) as error:
            self._fail(queue, worker, batch, str(error))
            return
        finally:
            if started is not None:
                started.cancel()
            worker.room.end_reservation(size)
            queue.running.difference_update(piece.key for piece in batch)
            worker.free_at = now()
            worker.full_call_by = now() + _ROOM_WAIT_S
        if results is None:
            worker.note_shared()
            self._put_back(queue, batch, None)
            eventlet.sleep(_FULL_PAUSE_S)
            return
        worker.learn(now() - began_at, expected)
        self._logger.info(
            "stage_call",
            service=queue.service,
            target=worker.target.id,
            zone=worker.target.zone,
            pieces=len(batch),
            away=sum(p.zone != worker.target.zone for p in batch if is_large(p)),
            waiting=len(queue.queue),
            seconds=round(now() - began_at, 3),
            unmade=[result.reason for result in results if result.reason],
            room=int(worker.room.left(now())),
            requests=sorted({piece.key.request for piece in batch}),
        )
        if any(result.reason == Unmade.GONE for result in results):
            worker.note_shared()
        if any(result.reason == Unmade.NO_ROOM for result in results):
            self._ask_room(worker)
        self._take_results(queue, worker, batch, results)

    def _ask_room(self, worker: Worker) -> bool:
        """Ask a target for its room; False if it does not answer."""
        try:
            free = self._calls.ask_room(worker.target)
        except (ConnectionLostError, ValueError) as error:
            # What is known stays; the next refusal asks again.
            self._logger.warning(
                "room_unknown", target=worker.target.id, reason=str(error)
            )
            return False
        worker.failures = 0
        believed = worker.room.left(now())
        worker.room.correct(free, now())
        self._logger.info(
            "room", target=worker.target.id, free=int(free), believed=int(believed)
        )
        return True

    def _fail(
        self,
        queue: ServiceQueue,
        worker: Worker,
        batch: list[QueuedPiece],
        reason: str,
    ) -> None:
        worker.rest()
        worker.note_shared()
        self._logger.warning(
            "stage_call_failed",
            service=queue.service,
            target=worker.target.id,
            reason=reason,
            requests=sorted({piece.key.request for piece in batch}),
        )
        self._put_back(queue, batch, Unmade.FAILED)

    def _put_back(
        self, queue: ServiceQueue, batch: list[QueuedPiece], reason: Unmade | None
    ) -> None:
        for piece in batch:
            if piece.key.request in queue.cancelled:
                continue
            if piece.tries >= _MAX_TRIES:
                self._finish(queue, piece, PieceResult("", Unmade.FAILED))
                continue
            tries = piece.tries + (reason == Unmade.FAILED)
            queue.queue.add(piece._replace(tries=tries))
        queue.wake()

    def _take_results(
        self,
        queue: ServiceQueue,
        worker: Worker,
        batch: list[QueuedPiece],
        results: list[PieceResult],
    ) -> None:
        moment = now()
        done_by_stage: dict[tuple[str, int, int], list[Done]] = {}
        for piece, result in zip(batch, results, strict=True):
            if result.handle:
                worker.room.hold(result.handle, piece.result_bytes, moment)
            if piece.key.request in queue.cancelled:
                if result.handle:
                    self.release(Release(queue.service, [result.handle]))
                continue
            if result.reason == Unmade.NO_ROOM:
                worker.room.note_full(piece.result_bytes, moment)
                queue.queue.add(piece)
                continue
            stage = (piece.key.request, piece.key.stage, piece.key.round)
            done_by_stage.setdefault(stage, []).append(
                self._note(queue, piece.key, result)
            )
        for (request, stage, turn), done in done_by_stage.items():
            self._tell(queue, Results(request, stage, turn, done))

    def _finish(
        self, queue: ServiceQueue, piece: QueuedPiece, result: PieceResult
    ) -> None:
        done = self._note(queue, piece.key, result)
        key = piece.key
        self._tell(queue, Results(key.request, key.stage, key.round, [done]))

    def _note(self, queue: ServiceQueue, key: PieceKey, result: PieceResult) -> Done:
        done = Done(key.number, result.handle, result.reason)
        if result.handle:
            queue.note_done(key, done)
        return done

    def _tell(self, queue: ServiceQueue, message: Results | Started) -> None:
        sender = queue.sender_by_request.get(message.request)
        if sender is None:
            return
        if sender.id == self._peers.own.id:
            self.deliver_here(message)
        else:
            self._peers.send(sender.id, message)

    def _announce_start(
        self, queue: ServiceQueue, worker: Worker, batch: list[QueuedPiece]
    ) -> GreenThread | None:
        if worker.is_shared():
            return None
        delay = fetch_seconds(_input_bytes(batch))
        return eventlet.spawn_after(delay, self._tell_started, queue, batch)

    def _tell_started(self, queue: ServiceQueue, batch: list[QueuedPiece]) -> None:
        numbers: dict[tuple[str, int, int], list[int]] = {}
        for piece in batch:
            if piece.inputs:
                key = piece.key
                stage = (key.request, key.stage, key.round)
                numbers.setdefault(stage, []).append(key.number)
        for (request, stage, turn), group in numbers.items():
            self._tell(queue, Started(request, stage, turn, group))

    def _release(self, address: Address, handles: list[str], service: str) -> None:
        queue = self._queue_by_service.get(service)
        workers = queue.worker_by_life.values() if queue else ()
        for worker in workers:
            if worker.target.address == address:
                worker.to_release += handles
                if not worker.has_release.ready():
                    worker.has_release.send()
                return
        # Made for a target that this owner does not call any more.
        eventlet.spawn_n(self._release_elsewhere, address, handles)

    def _release_elsewhere(self, address: Address, handles: list[str]) -> None:
        target = self._view.target_by_address.get(address)
        if target is None or self._reach.is_lost(target.zone):
            # They have gone with their maker, or nobody can be told to give them up.
            self._logger.info("release_needless", address=str(address))
            return
        self._release_at(target, handles)

    def _release_at(self, target: Target, handles: list[str]) -> bool:
        try:
            self._calls.release(target, handles)
        except ConnectionLostError as error:
            # They end by themselves after their time; the room stays counted.
            self._logger.warning("release_failed", target=target.id, reason=str(error))
            return False
        return True

    def _give_up(self, queue: ServiceQueue, worker: Worker) -> None:
        while queue.worker_by_life.get(worker.target.life) is worker:
            if not worker.to_release:
                with eventlet.Timeout(_IDLE_CHECK_S * 4, False):
                    worker.has_release.wait()
                worker.has_release = Event()
                continue
            handles, worker.to_release = worker.to_release, []
            if self._release_at(worker.target, handles):
                for handle in handles:
                    worker.room.release(handle)
                queue.wake()
