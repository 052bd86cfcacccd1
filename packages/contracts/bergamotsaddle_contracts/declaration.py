"""Declarations by operators: pipelines, teams, availability zones and targets."""

import hashlib
from typing import NamedTuple

from bergamotsaddle_contracts.ini import Address

ZONE_STATES = ("in", "out")
DEFAULT_DEADLINE = 4.0
DEFAULT_LIMIT = 16
DEFAULT_COLD_LIMIT = 1
DEFAULT_PRIORITY = 5
DEFAULT_SHARE = 1
DEFAULT_COPIES = 1
DIGEST_BYTES = 16
KEY_DIGEST_BYTES = 32


class Zone(NamedTuple):
    """An availability zone; ``state`` is ``in`` or ``out`` of service."""

    name: str
    state: str


class Team(NamedTuple):
    """A team of callers.

    Attributes:
        name: Name of the team.
        share: Weight among teams when capacity is short.
        priority: Rank of the team's requests; 1 is served before 9 where shares allow.
        key_digests: BLAKE2b digests (hexadecimal) of the team's keys.
    """

    name: str
    share: int
    priority: int
    key_digests: tuple[str, ...]


class DeclaredTarget(NamedTuple):
    """A target as declared by operators.

    Attributes:
        id: Name of the target.
        address: Address that it listens on.
        zone: Its availability zone.
        kind: Stage or service that it serves.
        models: Models that it may hold; empty for services.
        holds: Number of models that it holds at once.
        limit: Maximum number of concurrent calls when warm.
        cold_limit: Maximum number of concurrent calls in cold start.
        repeatable: Whether a call may be sent again after a failure.
        idempotency_key: Whether it supports an idempotency key.
        fencing: Whether it refuses orders with an outdated fencing number.
        resumes: Whether its streams can be resumed at a token.
        not_run_statuses: HTTP statuses that guarantee that nothing ran.
    """

    id: str
    address: Address
    zone: str
    kind: str
    models: tuple[str, ...]
    holds: int
    limit: int
    cold_limit: int
    repeatable: bool
    idempotency_key: bool
    fencing: bool
    resumes: bool
    not_run_statuses: tuple[int, ...]


class Model(NamedTuple):
    """A model that ``copies`` targets of each zone should hold, if they can."""

    name: str
    copies: int


class Pipeline(NamedTuple):
    """A pipeline.

    Attributes:
        name: Name of the pipeline.
        stages: Kinds of target that are called one after the other.
        deadline: Seconds that a request may take unless its caller sets less.
        model: Model of the generate stage, or an empty string.
        priority: Averaged with the team's priority in requests to targets.
    """

    name: str
    stages: tuple[str, ...]
    deadline: float
    model: str
    priority: int


class Declaration(NamedTuple):
    """A complete declaration.

    Attributes:
        name: Name of the deployment.
        revision: Number chosen by operators; the highest one takes effect everywhere.
        digest: BLAKE2b digest of the text, which decides between equal revisions.
        text: Text of the file as applied.
        zones: Availability zones by name.
        teams: Teams by name.
        targets: Targets by id.
        models: Models whose copies are declared, by name.
        pipelines: Pipelines by name.
        sections: Text of each section, so that a later file with the same sections is
            parsed faster.
    """

    name: str
    revision: int
    digest: str
    text: str
    zones: dict[str, Zone]
    teams: dict[str, Team]
    targets: dict[str, DeclaredTarget]
    models: dict[str, Model]
    pipelines: dict[str, Pipeline]
    sections: dict[str, str]

    @property
    def version(self) -> tuple[int, str]:
        """Revision and digest, by which declarations are ordered."""
        return (self.revision, self.digest)

    def is_repeatable(self, kind: str) -> bool:
        """Return whether calls to a kind of target may be repeated."""
        return all(t.repeatable for t in self.targets.values() if t.kind == kind)


EMPTY_DECLARATION = Declaration("", 0, "", "", {}, {}, {}, {}, {}, {})


def digest_text(text: str) -> str:
    """Return the digest of a declaration's text as 32 hexadecimal digits."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_key(key: str) -> str:
    """Return the digest of a team's key, as declared, as 64 hexadecimal digits."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
