"""The settings of one serving daemon, read from an INI file and checked at start."""

from typing import NamedTuple

from bergamotsaddle_contracts.ini import Address, IniFile, parse_address, parse_words
from bergamotsaddle_serving.policy import FULL_POLICY, Policy, parse_policy

# A link of so many megabits a second carries what an owner of queues sends and gets
# while it uses a core.
_MBPS_PER_CORE = 20.0


class InstanceSettings(NamedTuple):
    """Who this instance is (``[instance]``)."""

    id: str
    zone: str
    host: str


class ListenSettings(NamedTuple):
    """Where it listens (``[listen]``).

    Attributes:
        callers: Where callers connect.
        ready: Where the balancer asks whether this instance is ready.
        peer_port: UDP and TCP port of all instances for each other.
        metrics_port: Where metrics are served.
    """

    callers: Address
    ready: Address
    peer_port: int
    metrics_port: int


class PeerSettings(NamedTuple):
    """How to find other instances (``[peers]``)."""

    seeds: tuple[str, ...]


class ZoneSettings(NamedTuple):
    """The availability zones of the deployment (``[zones]``).

    Attributes:
        region_by_zone: Region of each zone.
    """

    region_by_zone: dict[str, str]


class StoreSettings(NamedTuple):
    """Where operators and targets publish (``[store]``)."""

    address: Address


class BoundSettings(NamedTuple):
    """What the deployment promises (``[bounds]``), in seconds unless told.

    Attributes:
        grace: Time between a request to stop and the end of the process.
        retry_ratio: Extra calls allowed, as a part of the plain ones.
        retry_window: Time over which extra calls are counted.
        retry_extra: Extra calls allowed besides, over all instances.
    """

    grace: float
    retry_ratio: float
    retry_window: float
    retry_extra: float


class CapacitySettings(NamedTuple):
    """What this instance may use of its machine (``[capacity]``).

    Attributes:
        cpu_share: Share of a core's time, as each of the cores gives it.
        cpus: Number of cores.
        link_mbps: Bandwidth of its link in megabits a second.
    """

    cpu_share: float = 1.0
    cpus: float = 1.0
    link_mbps: float = 1_000.0

    @property
    def cores(self) -> float:
        """How much work for others it can do, in cores."""
        return min(self.cpu_share * self.cpus, self.link_mbps / _MBPS_PER_CORE)


class ServingSettings(NamedTuple):
    """All settings of one serving daemon."""

    instance: InstanceSettings
    listen: ListenSettings
    peers: PeerSettings
    zones: ZoneSettings
    store: StoreSettings
    bounds: BoundSettings
    policy: Policy = FULL_POLICY
    capacity: CapacitySettings = CapacitySettings()


def _parse_number(text: str) -> float:
    """Turn text into a number that isn't negative.

    Raises:
        ValueError: If it is none.
    """
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError("expected a number from 0 on")
    return value


def _parse_positive(text: str) -> float:
    """Turn text into a number above zero.

    Raises:
        ValueError: If it is none.
    """
    value = _parse_number(text)
    if not value:
        raise ValueError("expected a number above 0")
    return value


def _parse_port(text: str) -> int:
    return parse_address(f"127.0.0.1:{text.strip()}").port


def _parse_name(text: str) -> str:
    if not text.strip():
        raise ValueError("expected a name")
    return text.strip()


def _parse_pairs(text: str) -> dict[str, str]:
    """Turn ``zone=region`` words into a table.

    Raises:
        ValueError: If a word is no such pair.
    """
    pairs = {}
    for word in parse_words(text):
        zone, sign, region = word.partition("=")
        if not (zone and sign and region):
            raise ValueError(f"expected zone=region, not {word!r}")
        pairs[zone] = region
    return pairs


def parse_settings(text: str, *, name: str) -> ServingSettings:
    """Read and check settings.

    Args:
        text: The INI text.
        name: Name of the file, for messages.

    Raises:
        InvalidFileError: With every fault that was found.
    """
    ini = IniFile(text, name=name)
    settings = ServingSettings(
        InstanceSettings(
            ini.get("instance", "id", _parse_name),
            ini.get("instance", "zone", _parse_name),
            ini.get("instance", "host", _parse_name),
        ),
        ListenSettings(
            ini.get("listen", "callers", parse_address),
            ini.get("listen", "ready", parse_address),
            ini.get("listen", "peer_port", _parse_port),
            ini.get("listen", "metrics_port", _parse_port),
        ),
        PeerSettings(ini.get("peers", "seeds", parse_words, ())),
        ZoneSettings(ini.get("zones", "regions", _parse_pairs, {})),
        StoreSettings(ini.get("store", "address", parse_address)),
        BoundSettings(
            ini.get("bounds", "grace_s", _parse_number),
            ini.get("bounds", "retry_ratio", _parse_number),
            ini.get("bounds", "retry_window_s", _parse_number),
            ini.get("bounds", "retry_extra", _parse_number),
        ),
        ini.get("policy", "off", parse_policy, FULL_POLICY),
        CapacitySettings(
            ini.get("capacity", "cpu_share", _parse_positive, 1.0),
            ini.get("capacity", "cpus", _parse_positive, 1.0),
            ini.get("capacity", "link_mbps", _parse_positive, 1_000.0),
        ),
    )
    ini.close()
    return settings
