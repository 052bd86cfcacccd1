"""Serves requests for plain services: complete responses, retried where allowed."""

from typing import Any

from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.hedge_exchange import HedgeExchange
from bergamotsaddle_serving.messages import Dialect
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.placement_exchange import PlacementExchange
from bergamotsaddle_serving.plain_run import CompleteResponse, LongResponse, PlainRun
from bergamotsaddle_serving.selector import Selector
from bergamotsaddle_serving.target_crashes import TargetCrashes


class PlainServer:
    """Serves requests that have a single, complete response.

    Args:
        selector: Selects targets.
        pool: Connections to targets.
        budget: Limits retries.
        dialect: Makes headers.
        logger: Logs failed attempts.
        crashes: Detects crashed targets and the requests that they were running.
        hedges: Limits the hedges of slow requests.
        metrics: Counts hedges.
        placement: Places requests for services before few targets, None to choose
            targets here only.
    """

    def __init__(
        self,
        selector: Selector,
        pool: ConnectionPool,
        budget: RetryBudget,
        dialect: Dialect,
        logger: Any,
        *,
        crashes: TargetCrashes,
        hedges: HedgeExchange | None = None,
        metrics: Metrics | None = None,
        placement: PlacementExchange | None = None,
    ) -> None:
        self.selector = selector
        self.pool = pool
        self.budget = budget
        self.dialect = dialect
        self.logger = logger
        self.crashes = crashes
        self.suspects = crashes.suspects
        self.hedges = hedges if hedges is not None and hedges.is_enabled else None
        self.metrics = metrics or Metrics()
        self.placement = placement

    def serve(self, context: Context) -> CompleteResponse | LongResponse:
        """Return the response to a request; a long one is to be sent at once.

        Raises:
            RequestError: If there is none; it says whether the request may have run.
        """
        if self.hedges is not None and context.route.may_repeat:
            self.hedges.count_request(context.service.name)
        return PlainRun(self, context).run()
