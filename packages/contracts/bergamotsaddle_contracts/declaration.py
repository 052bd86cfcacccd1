"""What operators declare: pipelines, teams, availability zones and targets."""

import hashlib
from typing import NamedTuple

from bergamotsaddle_contracts.ini import (
    Address,
    IniFile,
    one_of,
    parse_address,
    parse_count,
    parse_counts,
    parse_duration,
    parse_words,
    parse_yes_no,
)

ZONE_STATES = ("in", "out")
STAGE_KINDS = ("encode", "retrieve", "rerank", "generate")
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

    @property
    def version(self) -> tuple[int, str]:
        """The pair by which declarations are ordered."""
        return (self.revision, self.digest)

    def is_repeatable(self, kind: str) -> bool:
        """Tell whether calls to a kind of target may be repeated."""
        return all(t.repeatable for t in self.targets.values() if t.kind == kind)


def digest_text(text: str) -> str:
    """Digest a declaration's text to 32 hexadecimal digits."""
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_key(key: str) -> str:
    """Digest a team's key as it is declared, to 64 hexadecimal digits."""
    return hashlib.blake2b(key.encode(), digest_size=KEY_DIGEST_BYTES).hexdigest()


def parse_declaration(text: str, *, name: str = "declaration") -> Declaration:
    """Read and check one whole declaration.

    Args:
        text: The INI text.
        name: Name of the file for messages.

    Raises:
        InvalidFileError: With every fault of the file.
    """
    ini = IniFile(text, name=name)
    zones: dict[str, Zone] = {}
    teams: dict[str, Team] = {}
    targets: dict[str, DeclaredTarget] = {}
    models: dict[str, Model] = {}
    pipelines: dict[str, Pipeline] = {}
    title = ini.get("declaration", "name", str, "") or ""
    revision = ini.get("declaration", "revision", parse_count) or 0
    for section in ini.sections:
        kind, _, label = section.partition(" ")
        if section == "declaration":
            continue
        if not label:
            ini.fault(
                section, "", "", "expected [zone|team|target|model|pipeline NAME]"
            )
        elif kind == "zone":
            zones[label] = _read_zone(ini, section, label)
        elif kind == "team":
            teams[label] = _read_team(ini, section, label)
        elif kind == "target":
            targets[label] = _read_target(ini, section, label)
        elif kind == "model":
            copies = ini.get(section, "copies", parse_count, DEFAULT_COPIES)
            models[label] = Model(label, copies or DEFAULT_COPIES)
        elif kind == "pipeline":
            pipelines[label] = _read_pipeline(ini, section, label)
        else:
            ini.fault(
                section, "", "", "expected [zone|team|target|model|pipeline NAME]"
            )
    _check_references(ini, zones, targets, pipelines)
    _check_models(ini, targets, models)
    _check_keys(ini, teams)
    ini.close()
    digest = digest_text(text)
    return Declaration(
        title, revision, digest, text, zones, teams, targets, models, pipelines
    )


def _read_zone(ini: IniFile, section: str, label: str) -> Zone:
    return Zone(label, ini.get(section, "state", one_of(ZONE_STATES), "in") or "in")


def _read_team(ini: IniFile, section: str, label: str) -> Team:
    return Team(
        label,
        ini.get(section, "share", parse_count, DEFAULT_SHARE) or DEFAULT_SHARE,
        ini.get(section, "priority", parse_count, DEFAULT_PRIORITY) or 1,
        ini.get(section, "key_digests", _parse_key_digests) or (),
    )


def _parse_key_digests(text: str) -> tuple[str, ...]:
    digests = parse_words(text)
    if not digests:
        raise ValueError("expected at least one digest")
    for digest in digests:
        if len(digest) != 2 * KEY_DIGEST_BYTES or set(digest) - set("0123456789abcdef"):
            raise ValueError("expected digests made by 'bergamotsaddle digest'")
    return digests


def _read_target(ini: IniFile, section: str, label: str) -> DeclaredTarget:
    models = ini.get(section, "models", parse_words, ()) or ()
    return DeclaredTarget(
        id=label,
        address=ini.get(section, "address", parse_address) or Address("0.0.0.0", 0),
        zone=ini.get(section, "zone", str) or "",
        kind=ini.get(section, "kind", str) or "",
        models=models,
        holds=ini.get(section, "holds", parse_count, max(1, len(models))) or 1,
        limit=ini.get(section, "limit", parse_count, DEFAULT_LIMIT) or 1,
        cold_limit=ini.get(section, "cold_limit", parse_count, DEFAULT_COLD_LIMIT) or 1,
        repeatable=bool(ini.get(section, "repeatable", parse_yes_no, True)),
        idempotency_key=bool(ini.get(section, "idempotency_key", parse_yes_no, False)),
        fencing=bool(ini.get(section, "fencing", parse_yes_no, False)),
        resumes=bool(ini.get(section, "resumes", parse_yes_no, False)),
        not_run_statuses=ini.get(section, "not_run_statuses", parse_counts, ()) or (),
    )


def _read_pipeline(ini: IniFile, section: str, label: str) -> Pipeline:
    return Pipeline(
        label,
        ini.get(section, "stages", parse_words) or (),
        ini.get(section, "deadline", parse_duration, DEFAULT_DEADLINE) or 1.0,
        ini.get(section, "model", str, "") or "",
        ini.get(section, "priority", parse_count, DEFAULT_PRIORITY) or 1,
    )


def _check_references(
    ini: IniFile,
    zones: dict[str, Zone],
    targets: dict[str, DeclaredTarget],
    pipelines: dict[str, Pipeline],
) -> None:
    repeatable_by_kind: dict[str, bool] = {}
    for target in targets.values():
        section = f"target {target.id}"
        if target.zone and target.zone not in zones:
            ini.fault(section, "zone", target.zone, "no such zone is declared")
        if target.cold_limit > target.limit:
            value = str(target.cold_limit)
            ini.fault(section, "cold_limit", value, f"above limit = {target.limit}")
        agreed = repeatable_by_kind.setdefault(target.kind, target.repeatable)
        if agreed != target.repeatable:
            value = "yes" if target.repeatable else "no"
            reason = f"differs from the other targets of kind {target.kind}"
            ini.fault(section, "repeatable", value, reason)
    models = {m for t in targets.values() for m in t.models if t.kind == "generate"}
    for pipeline in pipelines.values():
        _check_stages(ini, pipeline, models, repeatable_by_kind)


def _check_models(
    ini: IniFile, targets: dict[str, DeclaredTarget], models: dict[str, Model]
) -> None:
    held = {model for target in targets.values() for model in target.models}
    for model in models.values():
        if model.name not in held:
            reason = "no target may hold this model"
            ini.fault(f"model {model.name}", "", "", reason)


def _check_stages(
    ini: IniFile,
    pipeline: Pipeline,
    models: set[str],
    repeatable_by_kind: dict[str, bool],
) -> None:
    section = f"pipeline {pipeline.name}"
    for stage in pipeline.stages:
        if stage not in repeatable_by_kind:
            ini.fault(section, "stages", stage, "no target of this kind is declared")
        elif not repeatable_by_kind[stage]:
            reason = "a stage must be repeatable; call such a service by itself"
            ini.fault(section, "stages", stage, reason)
    if pipeline.model and pipeline.model not in models:
        reason = "no generate target serves this model"
        ini.fault(section, "model", pipeline.model, reason)


def _check_keys(ini: IniFile, teams: dict[str, Team]) -> None:
    owners: dict[str, str] = {}
    for team in teams.values():
        for digest in team.key_digests:
            owner = owners.setdefault(digest, team.name)
            if owner != team.name:
                reason = f"also a key of team {owner}"
                ini.fault(f"team {team.name}", "key_digests", digest, reason)
