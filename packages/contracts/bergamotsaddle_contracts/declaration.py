"""What operators declare: pipelines, teams, availability zones and targets."""

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
        priority: 1 is served before 9 where shares allow.
        key_digests: BLAKE2b digests (hexadecimal) of the team's keys.
    """

    name: str
    share: int
    priority: int
    key_digests: tuple[str, ...]


class DeclaredTarget(NamedTuple):
    """A target as operators declare it.

    Attributes:
        id: Name of the target.
        address: Where it listens.
        zone: Its availability zone.
        kind: The stage or service it serves.
        models: Models it may hold; empty for services.
        holds: How many of them it holds at once.
        limit: Calls it bears at once when warm.
        cold_limit: Calls it bears at once in cold start.
        repeatable: Whether a call may be sent again after a failure.
        idempotency_key: Whether it honours an idempotency key.
        fencing: Whether it refuses orders with an old fencing number.
        resumes: Whether its streams can be resumed at a token.
        not_run_statuses: HTTP statuses by which it promises that nothing ran.
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
    """A model; ``copies`` targets of each zone should hold it, where they can."""

    name: str
    copies: int


class Pipeline(NamedTuple):
    """A pipeline.

    Attributes:
        name: Name of the pipeline.
        stages: Kinds of target called one after the other.
        deadline: Seconds that a request has unless its caller says less.
        model: Model of the generate stage, or an empty string.
        priority: Added to the team's priority towards engines.
    """

    name: str
    stages: tuple[str, ...]
    deadline: float
    model: str
    priority: int


class Declaration(NamedTuple):
    """One whole declaration.

    Attributes:
        name: Name of the deployment.
        revision: Chosen by operators; the higher one wins everywhere.
        digest: BLAKE2b digest of the text, which settles equal revisions.
        text: The file as applied.
        zones: Availability zones by name.
        teams: Teams by name.
        targets: Targets by id.
        models: Models whose copies are declared, by name.
        pipelines: Pipelines by name.
        sections: Text of each section, by which a later file is read faster.
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
        """The pair by which declarations are ordered."""
        return (self.revision, self.digest)

    def is_repeatable(self, kind: str) -> bool:
        """Tell whether calls to a kind of target may be repeated."""
        return all(t.repeatable for t in self.targets.values() if t.kind == kind)


EMPTY_DECLARATION = Declaration("", 0, "", "", {}, {}, {}, {}, {}, {})


def digest_text(text: str) -> str:
    """Digest a declaration's text to 32 hexadecimal digits."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_key(key: str) -> str:
    """Digest a team's key as it is declared, to 64 hexadecimal digits."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()
