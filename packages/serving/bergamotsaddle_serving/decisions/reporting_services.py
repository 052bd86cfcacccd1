"""Which services have targets that share their machines with others.

This module does no input or output.
"""


class ReportingServices:
    """Names of the services whose targets report their slowdown.

    Targets that share their machines report it. Their capacity changes without a change
    of demand, which the decisions for machines of their own do not account for. Some
    decisions apply to such services only.

    Args:
        includes_all: Whether operators declare that the targets of all services share
            their machines, whatever they report.
    """

    def __init__(self, *, includes_all: bool = False) -> None:
        self._includes_all = includes_all
        self._names: set[str] = set()

    def record(self, service: str) -> None:
        """Record that a target of a service reported its slowdown."""
        self._names.add(service)

    def __contains__(self, service: str) -> bool:
        """Return whether targets of a service share their machines."""
        return self._includes_all or service in self._names
