"""Numbers that tie a response of an instance to the message that asked for it."""

import secrets
from collections.abc import Iterator
from itertools import count

_FIRST_NUMBER_BITS = 31


def make_numbers() -> Iterator[int]:
    """Return numbers for the messages of this process.

    Others remember the numbers of the process before it at this address, so it must not
    begin with the same ones.
    """
    return count(secrets.randbits(_FIRST_NUMBER_BITS))
