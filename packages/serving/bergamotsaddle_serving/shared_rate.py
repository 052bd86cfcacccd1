"""Decides who may use a rate that a whole fleet shares. No input or output here."""

from collections.abc import Callable

from bergamotsaddle_daemon.clock import now

# A rate below this is tried that often all the same, or nobody would learn of its end.
_LEAST_RATE = 0.1
# Permits that are kept for a moment in which nobody asks: so many, or those of so many
# seconds.
_DEPTH = 2.0
_DEPTH_S = 0.5
# While more urgent requests were turned away so lately, less urgent ones get one permit
# in so many.
_RIVAL_S = 2.0
_TURNS = 4
_IDLE_S = 60.0


class _Bucket:
    """The permits of one key."""

    def __init__(self) -> None:
        # Empty, since the owner before may just have given out its last permit.
        self.permits = 0.0
        self.filled_at = now()
        self.granted = 0
        self.denied_at_by_urgency: dict[int, float] = {}

    def fill(self, rate: float) -> None:
        """Add the permits of the time that has passed."""
        moment = now()
        depth = max(_DEPTH, _DEPTH_S * rate)
        gained = (moment - self.filled_at) * rate
        self.permits = min(depth, self.permits + gained)
        self.filled_at = moment

    def has_rivals(self, urgency: int) -> bool:
        """Tell whether more urgent requests were turned away lately."""
        since = now() - _RIVAL_S
        denied = self.denied_at_by_urgency.items()
        return any(other < urgency and at > since for other, at in denied)


class RateOwner:
    """Gives out the permits of the keys that this instance owns.

    Answers a rate of one or two a second before a fleet of hundreds. If each instance
    took an equal part, none could send for minutes, and if each learnt of the others'
    requests afterwards, all would send at once. One owner a key counts for all.

    Instances that are cut off from each other have an owner each. Each of these gives
    out the part of the rate that belongs to the instances which it hears, so that all
    of them together stay within it. An owner that takes over begins with no permit; the
    one before kept two at most, or those of half a second.

    Args:
        heard_part: Tells which part of all instances this one hears.
    """

    def __init__(self, heard_part: Callable[[], float]) -> None:
        self._heard_part = heard_part
        self._bucket_by_key: dict[str, _Bucket] = {}

    def request_permit(self, key: str, rate: float, urgency: int) -> float:
        """Ask for a permit.

        Args:
            key: What the rate is for.
            rate: Permits a second, for all instances together.
            urgency: Of the request, 0 first.

        Returns:
            0 if there is one, else the seconds after which to ask again.
        """
        rate = max(_LEAST_RATE, rate) * self._heard_part()
        bucket = self._bucket_by_key.get(key)
        if bucket is None:
            bucket = self._bucket_by_key[key] = _Bucket()
        bucket.fill(rate)
        must_leave = bucket.granted % _TURNS and bucket.has_rivals(urgency)
        if bucket.permits >= 1.0 and not must_leave:
            bucket.permits -= 1.0
            bucket.granted += 1
            return 0.0
        bucket.denied_at_by_urgency[urgency] = now()
        lacking = 1.0 if must_leave else 1.0 - bucket.permits
        return lacking / rate

    def forget_idle(self) -> None:
        """Forget keys that nobody asks for any more."""
        since = now() - _IDLE_S
        for key, bucket in list(self._bucket_by_key.items()):
            if bucket.filled_at < since:
                del self._bucket_by_key[key]
