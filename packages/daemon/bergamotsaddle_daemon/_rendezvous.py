"""Rendezvous hashing, in which few choices change when a candidate comes or goes."""

import hashlib
from functools import lru_cache

_WEIGHT_BYTES = 8
# Each request needs the weights of every engine and instance, and the same keys occur
# again and again.
_MAX_CACHED_WEIGHTS = 16_384


@lru_cache(maxsize=_MAX_CACHED_WEIGHTS)
def rendezvous_weight(candidate: str, key: str) -> bytes:
    """Return a candidate's weight for a key; the highest weight is chosen."""
    text = f"{candidate} {key}".encode()
    return hashlib.blake2b(text, digest_size=_WEIGHT_BYTES).digest()
