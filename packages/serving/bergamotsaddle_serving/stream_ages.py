"""Decides how old a stream may be that its caller takes up again.

This module does no input or output.
"""

from collections import OrderedDict

from bergamotsaddle_serving.catalog import Route

# No caller waits for longer, so no stream that began earlier is resumed.
MAX_STREAM_AGE_S = 600.0
_MAX_ROUTES = 5_000


class StreamAges:
    """Learns how long the callers of each route wait.

    A caller that takes a stream up states how long it still waits, not how long it has
    waited.
    """

    def __init__(self) -> None:
        self._longest_by_route: OrderedDict[str, float] = OrderedDict()

    def record(self, route: Route, deadline: float) -> None:
        """Record a new stream.

        Args:
            route: Its route.
            deadline: Seconds that its caller waits.
        """
        longest = self._longest_by_route.pop(route.name, 0.0)
        self._longest_by_route[route.name] = max(longest, deadline)
        if len(self._longest_by_route) > _MAX_ROUTES:
            self._longest_by_route.popitem(last=False)

    def limit(self, route: Route, remaining: float) -> float:
        """Return how old a stream may be, in seconds.

        Args:
            route: Its route.
            remaining: Seconds that its caller still waits.
        """
        longest = max(route.timeout, self._longest_by_route.get(route.name, 0.0))
        if remaining > longest:
            # Its caller waits for longer than any other one that is known.
            return MAX_STREAM_AGE_S
        return min(longest - remaining, MAX_STREAM_AGE_S)
