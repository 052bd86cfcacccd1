"""Keeps two soaks from using the same addresses."""

import socket
from collections.abc import Sequence

from bergamotsaddle_contracts.errors import BergamotsaddleError

# A soak holds this port of its first instance's address while it runs.
_GUARD_PORT = 7999


class AddressesInUseError(BergamotsaddleError):
    """Another soak runs at the same addresses."""


def hold_addresses(hosts: Sequence[str]) -> socket.socket:
    """Keep other soaks away from the addresses of this one.

    Args:
        hosts: IP addresses of the instances.

    Returns:
        A socket to keep open for as long as the addresses are used.

    Raises:
        AddressesInUseError: If another soak uses them.
    """
    guard = socket.socket()
    try:
        guard.bind((hosts[0], _GUARD_PORT))
    except OSError as error:
        guard.close()
        raise AddressesInUseError(
            f"another soak runs at {hosts[0]}; wait for its end or use another seed"
        ) from error
    return guard
