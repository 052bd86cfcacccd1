"""The platform's list of live and leaving instances."""

from typing import Annotated, Any, NamedTuple

import msgspec

from bergamotsaddle_contracts.decoding import decode_json
from bergamotsaddle_contracts.ini import parse_address

ENTRY_ROLE = "entry"
LIVE = "live"
LEAVING = "leaving"


class Instance(NamedTuple):
    """One instance or target in the platform's list.

    Attributes:
        id: Name of the instance, or the id of the target.
        zone: Its availability zone.
        role: ``entry`` or ``target``.
        state: ``live`` or ``leaving``.
        peer_address: ``IP:port`` for other entry instances; empty for targets.
    """

    id: str
    zone: str
    role: str
    state: str
    peer_address: str


class InstanceList(NamedTuple):
    """The complete list at one version, as published by the platform.

    Attributes:
        version: Number that grows with every change.
        by_id: The instances by id.
        malformed: Why entries were left out.
    """

    version: int
    by_id: dict[str, Instance]
    malformed: tuple[str, ...] = ()

    def entries(self) -> list[Instance]:
        """Return all entry instances, ordered by id."""
        return sorted(i for i in self.by_id.values() if i.role == ENTRY_ROLE)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance is listed as leaving."""
        instance = self.by_id.get(instance_id)
        return instance is not None and instance.state == LEAVING


EMPTY_LIST = InstanceList(0, {})


class _PublishedList(msgspec.Struct):
    version: Annotated[int, msgspec.Meta(ge=0, le=2**63 - 1)]
    instances: list[Any]


def parse_instances(payload: bytes) -> InstanceList:
    """Decode the JSON list that the platform publishes.

    An entry that can't be read or reached is left out; the others hold.

    Raises:
        ValueError: If the payload isn't an instance list.
    """
    try:
        published = decode_json(payload, _PublishedList)
    except ValueError as error:
        raise ValueError(f"instance list: {error}") from error
    by_id = {}
    malformed = []
    for number, row in enumerate(published.instances):
        try:
            instance = _read_instance(row)
        except ValueError as error:
            malformed.append(f"instance {number}: {error}")
            continue
        by_id[instance.id] = instance
    return InstanceList(published.version, by_id, tuple(malformed))


def _read_instance(fields: Any) -> Instance:
    row = msgspec.convert(fields, _Row)
    if row.peer_address:
        parse_address(row.peer_address)
    return Instance(row.id, row.zone, row.role, row.state, row.peer_address)


class _Row(msgspec.Struct):
    id: str
    zone: str
    role: str
    state: str = LIVE
    peer_address: str = ""


def encode_instances(instances: InstanceList) -> bytes:
    """Encode a list in the format that the platform publishes."""
    rows = [instance._asdict() for instance in instances.by_id.values()]
    return msgspec.json.encode({"version": instances.version, "instances": rows})
