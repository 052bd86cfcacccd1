"""Reads and watches what the platform publishes."""

from typing import NamedTuple, Protocol

import eventlet
import urllib3

from bergamotsaddle_contracts.errors import PlatformUnreachableError
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_contracts.instances import parse_instances
from bergamotsaddle_contracts.whole_responses import WholeConnectionPool
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.views import Views

_CONFIG_PATH = "/v1/values/declaration"
_INSTANCES_PATH = "/v1/instances"
_RESPONSE_MARGIN = 1.0
_RETRY_DELAY = 0.5
_NOT_MODIFIED = 304
_OK = 200


class PublishedValue(NamedTuple):
    """A published value and the tag of its version."""

    tag: str
    payload: bytes


class PlatformReader(Protocol):
    """Reads one published value."""

    def read(self, tag: str, wait: float) -> PublishedValue | None:
        """Read the value once its tag differs from a given one.

        Args:
            tag: Tag of the known version, or an empty string.
            wait: Seconds that the service may wait for a change.

        Returns:
            The value, or None if it has not changed.

        Raises:
            PlatformUnreachableError: If the service gave no usable response.
        """


class HttpReader:
    """Reads one value over HTTP by long polling.

    Args:
        address: Address of the service.
        path: Path of the value.
    """

    def __init__(self, address: Address, path: str) -> None:
        self._path = path
        self._pool = WholeConnectionPool(
            address.host, address.port, maxsize=1, retries=False
        )

    def read(self, tag: str, wait: float) -> PublishedValue | None:
        """Read the value once its tag differs from a given one."""
        fields = {"after": tag, "wait": f"{wait:.3f}"}
        # A watch whose connection was silently dropped would wait forever, and this
        # instance would miss all changes. So the read times out shortly after the
        # service's own wait, and the next one opens a new connection.
        timeout = urllib3.Timeout(
            connect=_RESPONSE_MARGIN, read=wait + _RESPONSE_MARGIN
        )
        try:
            response = self._pool.request(
                "GET", self._path, fields=fields, timeout=timeout
            )
        except (urllib3.exceptions.HTTPError, OSError) as error:
            raise PlatformUnreachableError(str(error)) from error
        if response.status == _NOT_MODIFIED:
            return None
        if response.status != _OK:
            raise PlatformUnreachableError(f"status {response.status}")
        return PublishedValue(response.headers.get("ETag", ""), response.data)


def make_config_reader(settings: Settings) -> HttpReader:
    """Create the reader of the declaration."""
    return HttpReader(settings.platform.config_address, _CONFIG_PATH)


def make_instances_reader(settings: Settings) -> HttpReader:
    """Create the reader of the instance list."""
    return HttpReader(settings.platform.instances_address, _INSTANCES_PATH)


class PlatformWatch:
    """Keeps the views up to date with the platform, with one green thread per value.

    Args:
        settings: The daemon's settings.
        views: The views to update.
        config: Reads the declaration.
        instances: Reads the instance list.
    """

    def __init__(
        self,
        settings: Settings,
        views: Views,
        *,
        config: PlatformReader,
        instances: PlatformReader,
    ) -> None:
        self._timing = settings.timing
        self._views = views
        self._config = config
        self._instances = instances
        self.config_error = ""
        self.instances_error = ""

    def watch_declaration(self) -> None:
        """Watch the declaration forever."""
        tag = ""
        while True:
            queried_at = now()
            try:
                value = self._config.read(tag, self._timing.watch_wait)
            except PlatformUnreachableError as error:
                self.config_error = str(error)
                self._views.platform_queried_at = queried_at
                eventlet.sleep(_RETRY_DELAY)
                continue
            self.config_error = ""
            if value is not None:
                tag = value.tag
                text = value.payload.decode(errors="replace")
                self._views.offer_declaration(text, source="service")
            self._views.platform_queried_at = queried_at
            self._views.confirm(queried_at)
            eventlet.sleep(self._timing.watch_pause)

    def watch_instances(self) -> None:
        """Watch the instance list forever."""
        tag = ""
        while True:
            queried_at = now()
            try:
                value = self._instances.read(tag, self._timing.watch_wait)
                if value is not None:
                    offered = parse_instances(value.payload)
                    tag = value.tag
                    self._views.offer_instances(offered, source="platform")
            except (PlatformUnreachableError, ValueError) as error:
                self.instances_error = str(error)
                eventlet.sleep(_RETRY_DELAY)
                continue
            self.instances_error = "; ".join(self._views.instances.malformed)
            self._views.list_read_at = queried_at
            eventlet.sleep(self._timing.watch_pause)
