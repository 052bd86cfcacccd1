"""The hub's clock, the only time that the daemon goes by."""

from eventlet import hubs


def now() -> float:
    """Seconds on the hub's monotonic clock."""
    return hubs.get_hub().clock()
