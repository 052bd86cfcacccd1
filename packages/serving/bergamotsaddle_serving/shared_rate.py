"""Grants permits for a rate that all instances share.

This module does no input or output.
"""

from collections.abc import Callable

from bergamotsaddle_daemon.clock import now

# A lower rate still gets this many requests per second; otherwise no instance would
# learn that the limit has ended.
_MIN_RATE = 0.1
# Unused permits that are kept: this number, or those of this many seconds if that is
# more.
_MIN_BURST = 2.0
_BURST_S = 0.5
# If more urgent requests were denied within this time, less urgent ones get only one
# permit in every _PERMITS_PER_TURN.
_RECENT_DENIAL_S = 2.0
_PERMITS_PER_TURN = 4
_IDLE_S = 60.0


class _Bucket:
    """Token bucket with the permits of one key."""

    def __init__(self) -> None:
        # Empty, since the previous owner may have just granted its last permit.
        self.permits = 0.0
        self.filled_at = now()
        self.granted = 0
        self.denied_at_by_urgency: dict[int, float] = {}

    def fill(self, rate: float) -> None:
        """Add the permits of the time since the last call."""
        current_time = now()
        depth = max(_MIN_BURST, _BURST_S * rate)
        gained = (current_time - self.filled_at) * rate
        self.permits = min(depth, self.permits + gained)
        self.filled_at = current_time

    def has_denied_more_urgent(self, urgency: int) -> bool:
        """Return whether more urgent requests were recently denied."""
        since = now() - _RECENT_DENIAL_S
        denied = self.denied_at_by_urgency.items()
        return any(other < urgency and at > since for other, at in denied)


class RateOwner:
    """Grants the permits of the keys that this instance owns.

    This serves a rate of one or two per second that a fleet of hundreds shares. If each
    instance took an equal share, it could send nothing for minutes; if each learned of
    the requests of the other instances afterwards, all would send at once. Therefore
    one owner per key counts for all instances.

    Instances that are cut off from each other have an owner each. Each owner grants
    the fraction of the rate that belongs to the instances it can reach, so that all
    owners together stay within the rate. A new owner starts without permits; the
    previous one kept at most two, or those of half a second.

    Args:
        reachable_fraction: Returns the fraction of all instances that this one can
            reach.
    """

    def __init__(self, reachable_fraction: Callable[[], float]) -> None:
        self._reachable_fraction = reachable_fraction
        self._bucket_by_key: dict[str, _Bucket] = {}

    def request_permit(self, key: str, rate: float, urgency: int) -> float:
        """Request a permit.

        Args:
            key: Key of the rate.
            rate: Permits per second for all instances together.
            urgency: Urgency of the request, 0 first.

        Returns:
            0 if the permit is granted, else the seconds after which to retry.
        """
        rate = max(_MIN_RATE, rate) * self._reachable_fraction()
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = self._bucket_by_key[key] = _Bucket()
        bucket.fill(rate)
        must_yield = bucket.granted % _PERMITS_PER_TURN and (
            bucket.has_denied_more_urgent(urgency)
        )
        if bucket.permits >= 1.0 and not must_yield:
            bucket.permits -= 1.0
            bucket.granted += 1
            return 0.0
        bucket.denied_at_by_urgency[urgency] = now()
        lacking = 1.0 if must_yield else 1.0 - bucket.permits
        return lacking / rate

    def forget_idle(self) -> None:
        """Forget keys for which no permit was recently requested."""
        since = now() - _IDLE_S
        for key, bucket in list(self._bucket_by_key.items()):
            if bucket.filled_at < since:
                del self._bucket_by_key[key]
