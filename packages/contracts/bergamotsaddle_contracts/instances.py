"""The platform's list of live and leaving instances."""

from typing import NamedTuple

import msgspec

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
    """

    version: int
    by_id: dict[str, Instance]

    def entries(self) -> list[Instance]:
        """Return all entry instances, ordered by id."""
        return sorted(i for i in self.by_id.values() if i.role == ENTRY_ROLE)

    def is_leaving(self, instance_id: str) -> bool:
        """Return whether an instance is listed as leaving."""
        instance = self.by_id.get(instance_id)
        return instance is not None and instance.state == LEAVING


EMPTY_LIST = InstanceList(0, {})


class _PublishedList(msgspec.Struct):
    version: int
    instances: list[dict[str, str]]


def parse_instances(payload: bytes) -> InstanceList:
    """Decode the JSON list that the platform publishes.

    Raises:
        ValueError: If the payload isn't a valid instance list.
    """
    try:
        published = msgspec.json.decode(payload, type=_PublishedList)
        rows = [msgspec.convert(row, _Row) for row in published.instances]
    except msgspec.MsgspecError as error:
        raise ValueError(f"instance list: {error}") from error
    instances = [Instance(r.id, r.zone, r.role, r.state, r.peer_address) for r in rows]
    return InstanceList(published.version, {i.id: i for i in instances})


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
