"""Which services have targets that report how fast they work now.

This module does no input or output.
"""


class ReportingServices:
    """Names of the services whose targets report their slowdown.

    Targets that share their machines report it. Their capacity changes without a change
    of demand, which the decisions for machines of their own do not account for. Some
    decisions apply to such services only.
    """

    def __init__(self) -> None:
        self._names: set[str] = set()

    def record(self, service: str) -> None:
        """Record that a target of a service reported its slowdown."""
        self._names.add(service)

    def __contains__(self, service: str) -> bool:
        """Return whether targets of a service report their slowdown."""
        return service in self._names
