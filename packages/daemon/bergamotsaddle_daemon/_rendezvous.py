"""Rendezvous hashing: who is chosen changes little when candidates come or go."""

import hashlib
from functools import lru_cache

_WEIGHT_BYTES = 8
# Weights are remembered: each request asks for those of every engine and instance, and
# the same subjects and services come again and again.
_KEPT_WEIGHTS = 16_384


@lru_cache(maxsize=_KEPT_WEIGHTS)
def rendezvous_weight(candidate: str, key: str) -> bytes:
    """Weight of a candidate for a key; the highest one is chosen."""
    text = f"{candidate} {key}".encode()
    return hashlib.blake2b(text, digest_size=_WEIGHT_BYTES).digest()
