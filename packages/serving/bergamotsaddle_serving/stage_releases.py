"""Releases results at the targets that hold them."""

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


class StageReleases:
    """Releases results, batching the pending ones of a target into one call.

    Args:
        view: Finds targets that are no longer called from here.
        reach: Zones that are cut off from this instance.
        calls: Makes the calls.
        dialect: Finds the target that holds a result.
        logger: Logs results that are left to expire.
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

    def release(
        self, service: str, queue: ServiceQueue | None, handles: list[str]
    ) -> None:
        """Release results.

        Args:
            service: Their service.
            queue: Queue of the service, None if there is none.
            handles: Handles of the results.
        """
        handles_by_address: dict[Address, list[str]] = {}
        for handle in handles:
            address = self._dialect.result_address(handle)
            handles_by_address.setdefault(address, []).append(handle)
        for address, group in handles_by_address.items():
            self._queue_release(service, address, group, queue)

    def run(self, queue: ServiceQueue, worker: Worker) -> None:
        """Process the releases of a target for as long as it belongs to the queue."""
        while queue.worker_by_incarnation.get(worker.target.incarnation) is worker:
            if not worker.to_release:
                worker.release_requested.wait()
                worker.release_requested = Event()
                continue
            handles, worker.to_release = worker.to_release, []
            if self._call_release(worker.target, handles):
                for handle in handles:
                    worker.memory.release(handle)
                queue.wake_workers()

    def _queue_release(
        self,
        service: str,
        address: Address,
        handles: list[str],
        queue: ServiceQueue | None,
    ) -> None:
        workers = queue.worker_by_incarnation.values() if queue else ()
        for worker in workers:
            if worker.target.address == address:
                worker.to_release += handles
                worker.wake_releases()
                return
        # The target that holds them is no longer called from here.
        eventlet.spawn_n(self._release_directly, service, address, handles)

    def _release_directly(
        self, service: str, address: Address, handles: list[str]
    ) -> None:
        target = self._view.target_by_address.get(address)
        # A target of another service that has taken over the address would run the call
        # as a request.
        is_gone = target is None or target.service != service
        if is_gone or self._reach.is_lost(target.zone):
            # The results are gone with their target, or the target is unreachable.
            self._logger.info("release_needless", address=str(address))
            return
        self._call_release(target, handles)

    def _call_release(self, target: Target, handles: list[str]) -> bool:
        try:
            self._calls.release(target, handles)
        except ConnectionLostError as error:
            # The results expire by themselves. Their memory counts as used until then.
            self._logger.warning("release_failed", target=target.id, reason=str(error))
            return False
        return True
