"""Rules for declarations that are valid but can't mean what they say.

This module does no input or output.
"""

from collections import Counter
from collections.abc import Iterator

from bergamotsaddle_contracts.declaration import Declaration
from bergamotsaddle_contracts.findings import Place, RuleBook, Severity

RULES: RuleBook[Declaration] = RuleBook()


@RULES.register(Severity.ERROR)
def stage_out_of_service(declaration: Declaration) -> Iterator[Place]:
    """Find stages whose targets are all in zones that are out of service."""
    kinds = _kinds_in_service(declaration)
    for pipeline in declaration.pipelines.values():
        for stage in pipeline.stages:
            if stage not in kinds:
                reason = f"all targets of kind {stage} are in zones out of service"
                yield Place(f"pipeline {pipeline.name}", "stages", reason)


@RULES.register(Severity.ERROR)
def service_out_of_service(declaration: Declaration) -> Iterator[Place]:
    """Find services that are no stage, with all targets in zones out of service."""
    stages = {s for p in declaration.pipelines.values() for s in p.stages}
    kinds = _kinds_in_service(declaration)
    found = {target.kind for target in declaration.targets.values()}
    for kind in sorted(found - kinds - stages):
        targets = [t.id for t in declaration.targets.values() if t.kind == kind]
        reason = f"all targets of kind {kind} are in zones out of service"
        yield Place(f"target {targets[0]}", "zone", reason)


@RULES.register(Severity.WARNING)
def empty_pipeline(declaration: Declaration) -> Iterator[Place]:
    """Find pipelines without stages."""
    for pipeline in declaration.pipelines.values():
        if not pipeline.stages:
            yield Place(f"pipeline {pipeline.name}", "stages", "there are none")


@RULES.register(Severity.WARNING)
def unused_model(declaration: Declaration) -> Iterator[Place]:
    """Find models that no pipeline names."""
    used = {pipeline.model for pipeline in declaration.pipelines.values()}
    by_model = {m: t for t in declaration.targets.values() for m in t.models}
    for model, target in by_model.items():
        if model not in used:
            reason = f"no pipeline names the model {model}"
            yield Place(f"target {target.id}", "models", reason)


@RULES.register(Severity.WARNING)
def copies_over_targets(declaration: Declaration) -> Iterator[Place]:
    """Find models of which a zone is to hold more copies than it has targets."""
    for model in declaration.models.values():
        holding = Counter(
            target.zone
            for target in declaration.targets.values()
            if model.name in target.models
        )
        fewest = min(holding.values(), default=0)
        if 0 < fewest < model.copies:
            reason = f"{model.copies} copies, but a zone has only {fewest} targets"
            yield Place(f"model {model.name}", "copies", reason)


@RULES.register(Severity.WARNING)
def holds_over_models(declaration: Declaration) -> Iterator[Place]:
    """Find targets with room for more models than they may hold."""
    for target in declaration.targets.values():
        if target.holds > max(1, len(target.models)):
            reason = f"room for {target.holds} of {len(target.models)} models"
            yield Place(f"target {target.id}", "holds", reason)


@RULES.register(Severity.WARNING)
def shared_address(declaration: Declaration) -> Iterator[Place]:
    """Find targets at the address of another one, whose limits then don't hold."""
    id_by_address: dict[str, str] = {}
    for target in declaration.targets.values():
        first = id_by_address.setdefault(str(target.address), target.id)
        if first != target.id:
            reason = f"the address of target {first}, so neither limit holds"
            yield Place(f"target {target.id}", "address", reason)


def _kinds_in_service(declaration: Declaration) -> set[str]:
    """Return the kinds that have a target in a zone in service."""
    return {
        target.kind
        for target in declaration.targets.values()
        if declaration.zones[target.zone].state == "in"
    }
