"""Reads the operators' pages of daemons."""

from typing import Any, NamedTuple

import msgspec
import urllib3

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_contracts.ini import parse_address

_LIMIT = 3.0
_OK = 200
_NOT_FOUND = 404


class DaemonUnreachableError(BergamotsaddleError):
    """A daemon that gave no usable answer."""


class Page(NamedTuple):
    """One daemon's page.

    Attributes:
        address: Operators' address of the daemon.
        content: The parsed JSON; None if the daemon has no such thing.
    """

    address: str
    content: Any


class Pages:
    """The pages of some daemons.

    Args:
        addresses: Their operators' addresses, as ``IP:port``.

    Raises:
        ValueError: If an address is malformed.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = [str(parse_address(address)) for address in addresses]
        self._http = urllib3.PoolManager(retries=False)

    def read(self, address: str, path: str) -> Page:
        """Read one page.

        Raises:
            UnreachableError: If the daemon gives no usable answer.
        """
        url = f"http://{address}/{path}"
        try:
            reply = self._http.request("GET", url, timeout=_LIMIT)
        except urllib3.exceptions.HTTPError as error:
            raise DaemonUnreachableError(f"{address}: {error}") from error
        if reply.status == _NOT_FOUND:
            return Page(address, None)
        if reply.status != _OK:
            raise DaemonUnreachableError(f"{address}: status {reply.status}")
        return Page(address, msgspec.json.decode(reply.data))

    def read_all(self, path: str) -> tuple[list[Page], list[str]]:
        """Read a page of every daemon.

        Returns:
            The pages read, and a message for each daemon that can't be reached.
        """
        pages: list[Page] = []
        failures: list[str] = []
        for address in self.addresses:
            try:
                pages.append(self.read(address, path))
            except DaemonUnreachableError as error:
                failures.append(str(error))
        return pages, failures
