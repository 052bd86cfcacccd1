"""Which models sit on which engines, brought about by orders of the engines' homes."""

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
_ORDER_LIMIT = 2.0
_HIGHEST_PRIORITY = 1
_FENCING_SHIFT = 32
_OK = 200


class Order(NamedTuple):
    """What a target is told to do."""

    action: str
    model: str


class OrderBody(msgspec.Struct):
    """An order as it is sent.

    Attributes:
        action: ``load`` or ``unload``.
        model: The model.
        fencing: Grows with every change of the published list and declaration; a
            target that checks it refuses a lower one than it has seen.
    """

    action: str
    model: str
    fencing: int


def plan_models(
    targets: list[DeclaredTarget], declaration: Declaration
) -> dict[str, frozenset[str]]:
    """Choose the models that each target should hold.

    Every instance with the same views comes to the same plan, and a target that comes
    or goes changes it for few others. Each model gets a copy somewhere before any gets
    a second, then each zone its declared copies, then the rarest fill the room left.

    Args:
        targets: All targets in service that hold models.
        declaration: Says how many copies are wanted.

    Returns:
        The models to hold, by target id.
    """
    plan: dict[str, set[str]] = {target.id: set() for target in targets}
    models = sorted({model for target in targets for model in target.models})
    zones = sorted({target.zone for target in targets})
    wanted = {model: _wanted(declaration, model) for model in models}
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


def _wanted(declaration: Declaration, model: str) -> int:
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
    able = [target for target in targets if model in target.models]
    return sorted(able, key=lambda t: rendezvous_weight(t.id, model), reverse=True)


class Placement:
    """Orders the engines that this instance is home to.

    Args:
        settings: The daemon's settings.
        views: The declaration and the list in force.
        homes: Which targets this instance is home to.
        home: Whether it may give them orders yet.
        targets: Their reports.
        decisions: Gets a line for each order.
        connections: Sends the orders.
    """

    def __init__(
        self,
        settings: Settings,
        views: Views,
        homes: Homes,
        home: PermitIssuer,
        targets: Targets,
        decisions: DecisionLog,
        connections: Connections,
    ) -> None:
        self._timing = settings.timing
        self._views = views
        self._homes = homes
        self._home = home
        self._targets = targets
        self._decisions = decisions
        self._connections = connections
        self._ordered_at: dict[str, float] = {}
        self._plan_version: object = None
        self._last_plan: dict[str, frozenset[str]] = {}

    def run(self) -> None:
        """Look and order for ever."""
        while True:
            eventlet.sleep(self._timing.placement)
            for target_id in list(self._homes.home_since):
                target = self._targets.by_id.get(target_id)
                if target is not None and target.declared.models:
                    self._look_at(target)

    def _look_at(self, target: Target) -> None:
        order = self._next_order(target)
        if order is None or not self._home.may_order(target.id):
            return
        # Weights come from a store that all share. One load at a time for each home
        # keeps a change of many engines from taking it all at once.
        if order.action == LOAD and self._is_loading():
            return
        self._send(target, order)

    def _next_order(self, target: Target) -> Order | None:
        """The next step towards the plan, or None if there is none to take now."""
        report = target.report
        if report is None or report.models is None or self._awaits_effect(target):
            return None
        loaded = frozenset(report.models)
        wanted = self._plan().get(target.id, frozenset())
        missing = sorted(wanted - loaded)
        if not missing:
            return None
        if len(loaded) < target.declared.holds:
            return Order(LOAD, missing[0])
        for model in sorted(loaded - wanted):
            if self._may_drop(target, model):
                return Order(UNLOAD, model)
        return None

    def _plan(self) -> dict[str, frozenset[str]]:
        """The plan by the views in force, made once for each of their versions."""
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

    def _may_drop(self, target: Target, model: str) -> bool:
        """Tell whether a model surely stays loaded at another target.

        Two homes that each counted on the other's copy would both drop it, and the
        model would be gone. A copy that the plan keeps is dropped by nobody, and
        among the others each counts only on copies at targets before it by id.
        Model: ``drop`` in ``model/placement.py``.
        """
        plan = self._plan()
        return any(
            other.report is not None
            and other.serves(model)
            and (model in plan.get(other.id, ()) or other.id < target.id)
            for other in self._targets.by_id.values()
            if other is not target and self._targets.accepts_new_work(other)
        )

    def _awaits_effect(self, target: Target) -> bool:
        """Tell whether the last order may still be under way.

        Ordering again before the report shows the effect would load twice, or undo
        what is just being done, and the engine would be busy with nothing else.
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
            if not self._home.may_order(target.id):
                raise PlaceLostError("not this target's home any more")

        body = msgspec.json.encode(OrderBody(*order, self._fencing()))
        attempt = f"{order.action}.{self._connections.next_attempt_number()}"
        call = Call(
            "order",
            attempt,
            _ORDERS_PATH,
            body,
            now() + _ORDER_LIMIT,
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
        eventlet.spawn_n(self._await_effect, target, order)

    def _await_effect(self, target: Target, order: Order) -> None:
        """Note the end of an order as soon as a report shows it."""
        until = self._ordered_at[target.id] + self._timing.load_model
        while now() < until:
            eventlet.sleep(self._timing.placement)
            report = target.report
            if report is None or report.models is None:
                continue
            if (order.model in report.models) == (order.action == LOAD):
                break
        self._ordered_at.pop(target.id, None)

    def _fencing(self) -> int:
        list_version = self._views.instances.version
        return (list_version << _FENCING_SHIFT) + self._views.declaration.revision
