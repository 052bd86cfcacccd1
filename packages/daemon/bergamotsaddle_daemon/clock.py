"""The hub's clock, the only time source of the daemon."""

from eventlet import hubs


def now() -> float:
    """Return the seconds on the hub's monotonic clock."""
    return hubs.get_hub().clock()
