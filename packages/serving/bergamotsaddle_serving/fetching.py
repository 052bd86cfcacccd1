"""When a target has surely fetched the results that it was told to use."""

# Two trips between zones and the target's own work, several times over. A target
# fetches inputs as soon as it begins, and tells of it only when it has ended. Results
# that are given up only then keep scarce room for as long as the next piece of work
# takes, and other requests wait for that room.
_FETCH_S = 0.02
# Between targets, with several transfers at once.
_BYTES_PER_S = 800e6


def fetch_seconds(size: int) -> float:
    """Seconds from the begin of a call until its inputs have been fetched.

    Args:
        size: Bytes of all inputs.
    """
    return _FETCH_S + size / _BYTES_PER_S
