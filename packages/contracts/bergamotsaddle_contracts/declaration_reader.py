"""Parses and validates declarations, in full or relative to a previous one."""

import re
from collections.abc import Callable
from typing import Any, NamedTuple

from bergamotsaddle_contracts.declaration import (
    DEFAULT_COLD_LIMIT,
    DEFAULT_COPIES,
    DEFAULT_DEADLINE,
    DEFAULT_LIMIT,
    DEFAULT_PRIORITY,
    DEFAULT_SHARE,
    KEY_DIGEST_BYTES,
    ZONE_STATES,
    Declaration,
    DeclaredTarget,
    Model,
    Pipeline,
    Team,
    Zone,
    digest_text,
)
from bergamotsaddle_contracts.errors import InvalidFileError
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

_SECTION_HEADER = re.compile(r"^\[(.+)\][ \t]*$", re.MULTILINE)
_MAIN_SECTION = "declaration"

SectionReader = Callable[[IniFile, str, str], Any]


class _SectionKind(NamedTuple):
    """A kind of section: the field of the declaration that it fills and its reader."""

    part: str
    read: SectionReader


_SECTION_KINDS: dict[str, _SectionKind] = {}


def _section_reader(kind: str, part: str) -> Callable[[SectionReader], SectionReader]:
    """Return a decorator that registers the reader of a kind of section."""

    def add(reader: SectionReader) -> SectionReader:
        _SECTION_KINDS[kind] = _SectionKind(part, reader)
        return reader

    return add


def parse_declaration(
    text: str, *, name: str = "declaration", previous: Declaration | None = None
) -> Declaration:
    """Parse and validate a complete declaration.

    Args:
        text: The INI text.
        name: Name of the file for error messages.
        previous: An earlier declaration. Sections with identical text are taken from
            it, which is many times faster with 4,700 targets.

    Raises:
        InvalidFileError: If the file has faults; it holds all of them.
    """
    sections = _split_sections(text)
    if previous is not None and sections:
        unchanged = {
            section
            for section, body in sections.items()
            if section != _MAIN_SECTION and previous.sections.get(section) == body
        }
        changed = "".join(b for s, b in sections.items() if s not in unchanged)
        try:
            ini = IniFile(changed, name=name)
            return _read_sections(ini, text, sections, unchanged, previous)
        except InvalidFileError:
            # Parsing the complete file reports every fault with its correct line.
            pass
    ini = IniFile(text, name=name)
    return _read_sections(ini, text, sections, set(), None)


def _split_sections(text: str) -> dict[str, str]:
    """Split a text at its section headers; empty if there are none or one repeats."""
    headers = list(_SECTION_HEADER.finditer(text))
    names = [header.group(1) for header in headers]
    if not headers or len(set(names)) < len(names):
        return {}
    ends = [*(header.start() for header in headers[1:]), len(text)]
    return {
        name: text[header.start() : end]
        for name, header, end in zip(names, headers, ends, strict=True)
    }


def _read_sections(
    ini: IniFile,
    text: str,
    sections: dict[str, str],
    unchanged: set[str],
    previous: Declaration | None,
) -> Declaration:
    parts: dict[str, dict[str, Any]] = {k.part: {} for k in _SECTION_KINDS.values()}
    deployment = ini.get(_MAIN_SECTION, "name", str, "") or ""
    revision = ini.get(_MAIN_SECTION, "revision", parse_count) or 0
    for section in filter(unchanged.__contains__, sections):
        kind, _, label = section.partition(" ")
        part = _SECTION_KINDS[kind].part
        parts[part][label] = getattr(previous, part)[label]
    for section in ini.sections:
        kind, _, label = section.partition(" ")
        section_kind = _SECTION_KINDS.get(kind)
        if section_kind is not None and label:
            parts[section_kind.part][label] = section_kind.read(ini, section, label)
        elif section != _MAIN_SECTION:
            kinds = "|".join(_SECTION_KINDS)
            ini.add_fault(section, "", "", f"expected [{kinds} NAME]")
    _check_references(ini, parts["zones"], parts["targets"], parts["pipelines"])
    _check_models(ini, parts["targets"], parts["models"])
    _check_keys(ini, parts["teams"])
    ini.raise_for_faults()
    return Declaration(
        name=deployment,
        revision=revision,
        digest=digest_text(text),
        text=text,
        sections=sections,
        **parts,
    )


@_section_reader("zone", "zones")
def _read_zone(ini: IniFile, section: str, label: str) -> Zone:
    return Zone(label, ini.get(section, "state", one_of(ZONE_STATES), "in") or "in")


@_section_reader("team", "teams")
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


@_section_reader("target", "targets")
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


@_section_reader("model", "models")
def _read_model(ini: IniFile, section: str, label: str) -> Model:
    copies = ini.get(section, "copies", parse_count, DEFAULT_COPIES)
    return Model(label, copies or DEFAULT_COPIES)


@_section_reader("pipeline", "pipelines")
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
            ini.add_fault(section, "zone", target.zone, "no such zone is declared")
        if target.cold_limit > target.limit:
            value = str(target.cold_limit)
            ini.add_fault(section, "cold_limit", value, f"above limit = {target.limit}")
        expected = repeatable_by_kind.setdefault(target.kind, target.repeatable)
        if expected != target.repeatable:
            value = "yes" if target.repeatable else "no"
            reason = f"differs from the other targets of kind {target.kind}"
            ini.add_fault(section, "repeatable", value, reason)
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
            ini.add_fault(f"model {model.name}", "", "", reason)


def _check_stages(
    ini: IniFile,
    pipeline: Pipeline,
    models: set[str],
    repeatable_by_kind: dict[str, bool],
) -> None:
    section = f"pipeline {pipeline.name}"
    for stage in pipeline.stages:
        if stage not in repeatable_by_kind:
            ini.add_fault(
                section, "stages", stage, "no target of this kind is declared"
            )
        elif not repeatable_by_kind[stage]:
            reason = "a stage must be repeatable; call such a service by itself"
            ini.add_fault(section, "stages", stage, reason)
    if pipeline.model and pipeline.model not in models:
        reason = "no generate target serves this model"
        ini.add_fault(section, "model", pipeline.model, reason)


def _check_keys(ini: IniFile, teams: dict[str, Team]) -> None:
    team_by_digest: dict[str, str] = {}
    for team in teams.values():
        for digest in team.key_digests:
            first_team = team_by_digest.setdefault(digest, team.name)
            if first_team != team.name:
                reason = f"also a key of team {first_team}"
                ini.add_fault(f"team {team.name}", "key_digests", digest, reason)
