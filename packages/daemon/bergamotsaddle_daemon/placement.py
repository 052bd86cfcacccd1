"""Placement of models on engines, by orders from each engine's home."""

from collections import Counter
from typing import NamedTuple

import eventlet
import msgspec

from bergamotsaddle_contracts.declaration import (
    DEFAULT_COPIES,
    Declaration,
    DeclaredTarget,
)
from bergamotsaddle_contracts.errors import PlaceLostError, TargetError
from bergamotsaddle_daemon._rendezvous import rendezvous_weight
from bergamotsaddle_daemon.calls import Call, Connections
from bergamotsaddle_daemon.clock import now
from bergamotsaddle_daemon.decisions import DecisionLog
from bergamotsaddle_daemon.homes import Homes
from bergamotsaddle_daemon.permits import PermitIssuer
from bergamotsaddle_daemon.settings import Settings
from bergamotsaddle_daemon.targets import Target, Targets
from bergamotsaddle_daemon.views import Views

LOAD = "load"
UNLOAD = "unload"
_ORDERS_PATH = "/v1/orders"
_ORDER_TIMEOUT = 2.0
_HIGHEST_PRIORITY = 1
_FENCING_SHIFT = 32
_OK = 200


class Order(NamedTuple):
    """An order to a target: ``load`` or ``unload``, and the model."""

    action: str
    model: str


class OrderBody(msgspec.Struct):
    """The body of an order.

    Attributes:
        action: ``load`` or ``unload``.
        model: The model.
        fencing: Fencing number, which grows with every change of the published instance
            list or declaration. A target that checks it refuses an order with a lower
            number than it has seen.
    """

    action: str
    model: str
    fencing: int


def plan_models(
    targets: list[DeclaredTarget], declaration: Declaration
) -> dict[str, frozenset[str]]:
    """Choose the models that each target should hold.

    Instances with the same views compute the same plan, and adding or removing a target
    changes the plan of few others. Each model first gets one copy, then each zone gets
    the declared copies of each model, and the rarest models fill the remaining places.

    Args:
        targets: All targets in service that hold models.
        declaration: Declares the number of copies of each model.

    Returns:
        The models to hold, by target id.
    """
    plan: dict[str, set[str]] = {target.id: set() for target in targets}
    models = sorted({model for target in targets for model in target.models})
    zones = sorted({target.zone for target in targets})
    wanted = {model: _wanted_copies(declaration, model) for model in models}
    for model in models:
        _add_copies(plan, targets, model, 1)
    for zone in zones:
        inside = [target for target in targets if target.zone == zone]
        for model in models:
            _add_copies(plan, inside, model, wanted[model])
    copies = Counter(model for held in plan.values() for model in held)
    for target in sorted(targets):
        while len(plan[target.id]) < min(target.holds, len(target.models)):
            missing = [m for m in sorted(target.models) if m not in plan[target.id]]
            rarest = min(missing, key=lambda m: copies[m] / wanted[m])
            plan[target.id].add(rarest)
            copies[rarest] += 1
    return {target_id: frozenset(models) for target_id, models in plan.items()}


def _wanted_copies(declaration: Declaration, model: str) -> int:
    declared = declaration.models.get(model)
    return declared.copies if declared else DEFAULT_COPIES


def _add_copies(
    plan: dict[str, set[str]], targets: list[DeclaredTarget], model: str, count: int
) -> None:
    copies = sum(model in plan[target.id] for target in targets)
    for target in _ranked(targets, model):
        if copies >= count:
            return
        if model not in plan[target.id] and len(plan[target.id]) < target.holds:
            plan[target.id].add(model)
            copies += 1


def _ranked(targets: list[DeclaredTarget], model: str) -> list[DeclaredTarget]:
    candidates = [target for target in targets if model in target.models]
    return sorted(
        candidates, key=lambda t: rendezvous_weight(t.id, model), reverse=True
    )


class Placement:
    """Loads and unloads models on the engines that this instance is home to.

    Args:
        settings: The daemon's settings.
        views: The declaration and the instance list in force.
        homes: Determines which targets this instance is home to.
        issuer: Determines whether this instance may send them orders yet.
        targets: The targets and their reports.
        decisions: Records each order.
        connections: Sends the orders.
    """

    def __init__(
        self,
        settings: Settings,
        views: Views,
        homes: Homes,
        issuer: PermitIssuer,
        targets: Targets,
        decisions: DecisionLog,
        connections: Connections,
    ) -> None:
        self._timing = settings.timing
        self._views = views
        self._homes = homes
        self._issuer = issuer
        self._targets = targets
        self._decisions = decisions
        self._connections = connections
        self._ordered_at: dict[str, float] = {}
        self._plan_version: object = None
        self._last_plan: dict[str, frozenset[str]] = {}

    def run(self) -> None:
        """Compare the engines with the plan and order the next steps, forever."""
        while True:
            eventlet.sleep(self._timing.placement)
            for target_id in list(self._homes.home_since):
                target = self._targets.by_id.get(target_id)
                if target is not None and target.declared.models:
                    self._reconcile(target)

    def _reconcile(self, target: Target) -> None:
        order = self._next_order(target)
        if order is None or not self._issuer.may_order(target.id):
            return
        # All engines load weights from the same store. One load at a time for each home
        # keeps a change that affects many engines from saturating the store.
        if order.action == LOAD and self._is_loading():
            return
        self._send(target, order)

    def _next_order(self, target: Target) -> Order | None:
        """Return the next order towards the plan, or None if none is due now."""
        report = target.report
        if report is None or report.models is None or self._is_order_pending(target):
            return None
        loaded = frozenset(report.models)
        wanted = self._plan().get(target.id, frozenset())
        missing = sorted(wanted - loaded)
        if not missing:
            return None
        if len(loaded) < target.declared.holds:
            return Order(LOAD, missing[0])
        for model in sorted(loaded - wanted):
            if self._may_unload(target, model):
                return Order(UNLOAD, model)
        return None

    def _plan(self) -> dict[str, frozenset[str]]:
        """Return the plan for the views in force, computed once for each version."""
        declaration = self._views.declaration
        version = (declaration.version, self._views.instances.version)
        if version != self._plan_version:
            self._plan_version = version
            holding = [
                target.declared
                for target in self._targets.by_id.values()
                if target.declared.models and self._targets.accepts_new_work(target)
            ]
            self._last_plan = plan_models(holding, declaration)
        return self._last_plan

    def _may_unload(self, target: Target, model: str) -> bool:
        """Return whether a model is certain to stay loaded at another target.

        If two homes each relied on the other's copy, both would unload it and the model
        would be lost. No home unloads a copy that the plan keeps, and for other copies
        each target relies only on targets with a lower id. Model: ``drop`` in
        ``model/placement.py``.
        """
        plan = self._plan()
        return any(
            other.report is not None
            and other.serves(model)
            and (model in plan.get(other.id, ()) or other.id < target.id)
            for other in self._targets.by_id.values()
            if other is not target and self._targets.accepts_new_work(other)
        )

    def _is_order_pending(self, target: Target) -> bool:
        """Return whether the last order may still be in progress.

        Another order before a report shows the effect would load the model twice or
        undo the order in progress, and the engine would do nothing else.
        """
        ordered_at = self._ordered_at.get(target.id)
        if ordered_at is None:
            return False
        return now() - ordered_at < self._timing.load_model

    def _is_loading(self) -> bool:
        limit = now() - self._timing.load_model
        return any(at > limit for at in self._ordered_at.values())

    def _send(self, target: Target, order: Order) -> None:
        def guard() -> None:
            if not self._issuer.may_order(target.id):
                raise PlaceLostError("not this target's home any more")

        body = msgspec.json.encode(OrderBody(*order, self._fencing_number()))
        attempt = f"{order.action}.{self._connections.next_attempt_number()}"
        call = Call(
            "order",
            attempt,
            _ORDERS_PATH,
            body,
            now() + _ORDER_TIMEOUT,
            self._timing.connect,
            _HIGHEST_PRIORITY,
            {},
        )
        self._ordered_at[target.id] = now()
        try:
            reply = self._connections.post_once(target.declared.address, call, guard)
            outcome = "obeyed" if reply.status == _OK else f"status {reply.status}"
        except (TargetError, PlaceLostError) as error:
            outcome = str(error)
        choice = f"{target.id} {order.action} {order.model}"
        self._decisions.record("", "placement", choice, outcome)
        eventlet.spawn_n(self._wait_for_effect, target, order)

    def _wait_for_effect(self, target: Target, order: Order) -> None:
        """Clear a pending order as soon as a report shows its effect."""
        until = self._ordered_at[target.id] + self._timing.load_model
        while now() < until:
            eventlet.sleep(self._timing.placement)
            report = target.report
            if report is None or report.models is None:
                continue
            if (order.model in report.models) == (order.action == LOAD):
                break
        self._ordered_at.pop(target.id, None)

    def _fencing_number(self) -> int:
        list_version = self._views.instances.version
        return (list_version << _FENCING_SHIFT) + self._views.declaration.revision
