"""Names incarnations of targets in the keys of gossip facts."""

from typing import NamedTuple

from bergamotsaddle_serving.catalog import Target


class Incarnation(NamedTuple):
    """An incarnation of a target.

    Attributes:
        service: Service of the target.
        software: Version of its software.
        name: Id of the target and when the incarnation started.
    """

    service: str
    software: str
    name: str

    @property
    def target_id(self) -> str:
        """Id of the target."""
        return self.name.rpartition(":")[0]

    @property
    def target_incarnation(self) -> tuple[str, int]:
        """The incarnation as targets name it."""
        target_id, _, started_ms = self.name.rpartition(":")
        return target_id, int(started_ms)


def parse_incarnation(service: str, software: str, name: str) -> Incarnation | None:
    """Return the incarnation in a fact of a peer, None if its name has no start."""
    incarnation = Incarnation(service, software, name)
    try:
        _ = incarnation.target_incarnation
    except ValueError:
        return None
    return incarnation


def incarnation_of(target: Target) -> Incarnation:
    """Return the incarnation that a target's entry describes."""
    name = f"{target.id}:{target.started_ms}"
    return Incarnation(target.service, target.software, name)
