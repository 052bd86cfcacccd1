"""Client of the operators' pages of daemons."""

from typing import Any, NamedTuple

import msgspec
import urllib3

from bergamotsaddle_contracts.errors import BergamotsaddleError
from bergamotsaddle_contracts.ini import parse_address
from bergamotsaddle_contracts.whole_responses import make_pool_manager

_TIMEOUT_S = 3.0
_OK = 200
_NOT_FOUND = 404


class DaemonUnreachableError(BergamotsaddleError):
    """A daemon that returned no usable response."""


class Page(NamedTuple):
    """A page of one daemon.

    Attributes:
        address: Operators' address of the daemon.
        content: The decoded JSON; None if the daemon has no such page.
    """

    address: str
    content: Any


class Pages:
    """The pages of one or more daemons.

    Args:
        addresses: Operators' addresses of the daemons, as ``IP:port``.

    Raises:
        ValueError: If an address is malformed.
    """

    def __init__(self, addresses: list[str]) -> None:
        self.addresses = [str(parse_address(address)) for address in addresses]
        self._http = make_pool_manager()

    def read(self, address: str, path: str) -> Page:
        """Read a page of one daemon.

        Raises:
            DaemonUnreachableError: If the daemon returns no usable response.
        """
        url = f"http://{address}/{path}"
        try:
            response = self._http.request("GET", url, timeout=_TIMEOUT_S)
        except urllib3.exceptions.HTTPError as error:
            raise DaemonUnreachableError(f"{address}: {error}") from error
        if response.status == _NOT_FOUND:
            return Page(address, None)
        if response.status != _OK:
            raise DaemonUnreachableError(f"{address}: status {response.status}")
        return Page(address, msgspec.json.decode(response.data))

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
