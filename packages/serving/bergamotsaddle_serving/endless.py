"""Records responses of which more comes than a response may have."""

from typing import Any

from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_serving.client import EndlessError
from bergamotsaddle_serving.metrics import Metrics
from bergamotsaddle_serving.view import View


class EndlessResponses:
    """Logs and counts responses without end.

    Args:
        view: Names the target at an address.
        metrics: Counts them.
        logger: Gets a line for each of them.
    """

    def __init__(self, view: View, metrics: Metrics, logger: Any) -> None:
        self._view = view
        self._metrics = metrics
        self._logger = logger

    def record(self, address: Address, error: EndlessError) -> None:
        """Record that a connection is closed as its response has no end.

        Args:
            address: Address of the sender.
            error: What came.
        """
        target, service = self._find(address)
        self._metrics.count_endless(service, error.place)
        self._logger.warning(
            "endless",
            target=target,
            service=service,
            place=error.place,
            bytes=error.size,
            reason=error.reason,
        )

    def _find(self, address: Address) -> tuple[str, str]:
        """Return the id and the service of the target at an address.

        The address stands for the id of a sender that is no target.
        """
        for service, group in self._view.targets_by_service.items():
            for known in group:
                if known.target.address == address:
                    return known.target.id, service
        return f"{address.host}:{address.port}", ""
