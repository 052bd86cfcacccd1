"""Serves requests for plain services: complete responses, retried where allowed."""

from typing import Any

from bergamotsaddle_serving.budget import RetryBudget
from bergamotsaddle_serving.client import ConnectionPool
from bergamotsaddle_serving.context import Context
from bergamotsaddle_serving.messages import Dialect
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
    ) -> None:
        self.selector = selector
        self.pool = pool
        self.budget = budget
        self.dialect = dialect
        self.logger = logger
        self.crashes = crashes
        self.suspects = crashes.suspects

    def serve(self, context: Context) -> CompleteResponse | LongResponse:
        """Return the response to a request; a long one is to be sent at once.

        Raises:
            RequestError: If there is none; it says whether the request may have run.
        """
        return PlainRun(self, context).run()
