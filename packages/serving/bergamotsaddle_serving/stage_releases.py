"""Gives up results at the targets that hold them."""

from typing import Any

import eventlet
from eventlet.event import Event

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving._stage_worker import ServiceQueue, Worker
from bergamotsaddle_serving.catalog import Target
from bergamotsaddle_serving.client import ConnectionLostError
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.stage_calls import StageCalls
from bergamotsaddle_serving.view import View
from bergamotsaddle_serving.zone_reach import ZoneReach

# How often a thread with nothing to give up looks whether its target is still called.
_IDLE_CHECK_S = 5.0


class StageReleases:
    """Gives up results, those of one target in one call where several wait.

    Args:
        view: Knows targets that are not called any more.
        reach: Knows the zones that are cut off.
        calls: Makes the calls.
        dialect: Tells which target holds a result.
        logger: Gets a line when a result is left to expire.
    """

    def __init__(
        self,
        view: View,
        reach: ZoneReach,
        calls: StageCalls,
        dialect: Dialect,
        logger: Any,
    ) -> None:
        self._view = view
        self._reach = reach
        self._calls = calls
        self._dialect = dialect
        self._logger = logger

    def release(self, queue: ServiceQueue | None, handles: list[str]) -> None:
        """Give up results.

        Args:
            queue: The queue of their service, None if it was dropped.
            handles: The results.
        """
        handles_by_maker: dict[Address, list[str]] = {}
        for handle in handles:
            maker = self._dialect.result_address(handle)
            handles_by_maker.setdefault(maker, []).append(handle)
        for maker, group in handles_by_maker.items():
            self._queue_release(maker, group, queue)

    def run(self, queue: ServiceQueue, worker: Worker) -> None:
        """Give up what is asked for at one target, while it is called."""
        while queue.worker_by_incarnation.get(worker.target.incarnation) is worker:
            if not worker.to_release:
                with eventlet.Timeout(_IDLE_CHECK_S, False):
                    worker.release_requested.wait()
                worker.release_requested = Event()
                continue
            handles, worker.to_release = worker.to_release, []
            if self._call_release(worker.target, handles):
                for handle in handles:
                    worker.memory.release(handle)
                queue.wake_workers()

    def _queue_release(
        self, maker: Address, handles: list[str], queue: ServiceQueue | None
    ) -> None:
        workers = queue.worker_by_incarnation.values() if queue else ()
        for worker in workers:
            if worker.target.address == maker:
                worker.to_release += handles
                if not worker.release_requested.ready():
                    worker.release_requested.send()
                return
        # Made by a target that this owner does not call any more.
        eventlet.spawn_n(self._release_directly, maker, handles)

    def _release_directly(self, maker: Address, handles: list[str]) -> None:
        target = self._view.target_by_address.get(maker)
        if target is None or self._reach.is_lost(target.zone):
            # They have gone with their maker, or nobody can be told to give them up.
            self._logger.info("release_needless", address=str(maker))
            return
        self._call_release(target, handles)

    def _call_release(self, target: Target, handles: list[str]) -> bool:
        try:
            self._calls.release(target, handles)
        except ConnectionLostError as error:
            # They end by themselves after their time; the room stays counted.
            self._logger.warning("release_failed", target=target.id, reason=str(error))
            return False
        return True
