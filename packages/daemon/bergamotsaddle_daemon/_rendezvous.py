"""Rendezvous hashing: who is chosen changes little when candidates come or go."""

import hashlib

_WEIGHT_BYTES = 8


def weigh(candidate: str, key: str) -> bytes:
    """Weight of a candidate for a key; the highest one is chosen."""
    text = f"{candidate} {key}".encode()
    return hashlib.blake2b(text, digest_size=_WEIGHT_BYTES).digest()
