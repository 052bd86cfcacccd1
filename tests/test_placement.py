"""Models on engines: enough copies, orders of a single home, and no flapping."""

import unittest

import msgspec
from nose2.tools import params

from bergamotsaddle_contracts.declaration import (
    EMPTY_DECLARATION,
    DeclaredTarget,
    Model,
)
from bergamotsaddle_contracts.ini import Address
from bergamotsaddle_daemon.calls import Reply
from bergamotsaddle_daemon.placement import LOAD, plan_models
from tests._fakes import FakeFleet
from tests._paused import advance, freeze

MODELS = ("chat", "plan", "review")
TAKEOVER_S = 17.0


def engines(count: int, holds: int) -> list[DeclaredTarget]:
    """Return engines of one zone that may each load every model."""
    address = Address("10.0.0.1", 1)
    return [
        DeclaredTarget(
            f"e{n}",
            address,
            "a",
            "generate",
            MODELS,
            holds,
            8,
            1,
            True,
            False,
            True,
            True,
            (),
        )
        for n in range(count)
    ]


class PlanTest(unittest.TestCase):
    """The planned models of each engine."""

    def plan(self, count, holds, **copies):
        models = {name: Model(name, number) for name, number in copies.items()}
        declaration = EMPTY_DECLARATION._replace(models=models)
        return plan_models(engines(count, holds), declaration)

    @params((1, 3), (3, 1), (3, 2), (7, 1), (10, 2))
    def test_every_model_has_a_copy_and_no_engine_has_too_many(self, count, holds):
        plan = self.plan(count, holds)
        self.assertEqual({m for held in plan.values() for m in held}, set(MODELS))
        self.assertEqual({len(held) for held in plan.values()}, {min(holds, 3)})

    def test_every_model_has_a_copy_when_zones_are_small(self):
        targets = [
            target._replace(id=f"{zone}{target.id}", zone=zone)
            for zone in "abc"
            for target in engines(1, 1)
        ]
        plan = plan_models(targets, EMPTY_DECLARATION)
        self.assertEqual({m for held in plan.values() for m in held}, set(MODELS))

    def test_declared_copies(self):
        plan = self.plan(6, 1, chat=4)
        self.assertGreaterEqual(sum("chat" in held for held in plan.values()), 4)

    def test_removing_an_engine_changes_little(self):
        before = self.plan(10, 1, chat=3, plan=3, review=3)
        after = plan_models(
            engines(9, 1),
            EMPTY_DECLARATION._replace(models={m: Model(m, 3) for m in MODELS}),
        )
        moved = sum(before[target] != held for target, held in after.items())
        self.assertLessEqual(moved, 4)


class OrderTest(unittest.TestCase):
    """Orders to one engine in each zone, which holds one of two models."""

    def setUp(self):
        lines = "models = chat, plan\nholds = 1"
        self.fleet = FakeFleet(("generate",), daemons_per_zone=2, target_lines=lines)
        self.addCleanup(self.fleet.close)
        self.engines = list(self.fleet.targets.values())
        for engine in self.engines:
            engine.models = ["plan"]
            engine.handle = lambda call, engine=engine: self.handle_order(engine, call)
        self.orders: list[tuple[str, dict]] = []
        self.ignores_orders = False

    def handle_order(self, engine, call) -> Reply:
        order = msgspec.json.decode(call.body)
        self.orders.append((engine.id, order))
        if not self.ignores_orders:
            self.apply(engine, order)
        return Reply(200, b"{}")

    def apply(self, engine, order) -> None:
        if order["action"] == LOAD:
            engine.models = [*engine.models, order["model"]]
        else:
            engine.models = [m for m in engine.models if m != order["model"]]

    def start(self, extra: str = ""):
        self.fleet.publish(1, extra)
        self.fleet.start(3.0)

    def test_home_orders_the_planned_models(self):
        self.start()
        advance(60.0)
        plan = self.fleet.daemons["a1"].placement._plan()
        for engine in self.engines:
            self.assertEqual(frozenset(engine.models), plan[engine.id])

    @params(["plan"], ["chat"])
    def test_no_model_ever_loses_its_last_copy(self, first):
        # Every engine holds the same model and some must change. Homes that rely on
        # each other's copies would unload the last one.
        for engine in self.engines:
            engine.models = list(first)
        self.start()
        for _ in range(120):
            advance(0.5)
            held = {model for engine in self.engines for model in engine.models}
            self.assertIn(first[0], held)
        self.assertEqual(held, {"chat", "plan"})

    def test_no_orders_before_the_takeover_wait(self):
        # A new home must not contradict the orders of an old one that is only paused.
        self.start()
        advance(10.0)
        self.assertEqual(self.orders, [])
        advance(60.0)
        self.assertTrue(self.orders)

    def test_paused_home_orders_nothing(self):
        self.start()
        advance(TAKEOVER_S)
        home = self.fleet.daemons[
            self.fleet.daemons["a1"].homes.by_target["generate-a"]
        ]
        self.assertTrue(home.home.may_order("generate-a"))
        freeze(20.0)
        self.assertFalse(home.home.may_order("generate-a"))

    def test_no_second_order_before_the_first_has_an_effect(self):
        # The engine takes long to load. Repeating the order each second would make it
        # and the weight store do the same work again and again.
        self.ignores_orders = True
        self.start()
        advance(60.0)
        ordered = [engine for engine, _ in self.orders]
        self.assertTrue(ordered)
        self.assertEqual(len(ordered), len(set(ordered)))

    def test_copies_outside_the_plan_are_not_relied_on(self):
        # Two engines hold a model that is planned for a third one, which has not loaded
        # it yet. If both homes unload it at once, no copy remains.
        home = self.ready_home()
        plan = home.placement._plan()
        keeper = next(t for t, held in plan.items() if list(held) == ["chat"])
        for engine in self.engines:
            engine.models = ["plan"] if engine.id == keeper else ["chat"]
        advance(0.5)
        holders = [e.id for e in self.engines if e.id != keeper]
        may_unload = [
            home.placement._may_unload(home.targets.by_id[holder], "chat")
            for holder in sorted(holders)
        ]
        self.assertEqual(may_unload, [False, True])

    def ready_home(self):
        self.start()
        advance(60.0)
        self.orders.clear()
        daemon = self.fleet.daemons["a1"]
        return self.fleet.daemons[daemon.homes.by_target["generate-a"]]

    def test_fencing_number_grows_with_list_and_declaration(self):
        home = self.ready_home()
        before = home.placement._fencing_number()
        self.fleet.publish(2)
        advance(2.0)
        between = home.placement._fencing_number()
        self.fleet.publish_list()
        advance(2.0)
        self.assertLess(before, between)
        self.assertLess(between, home.placement._fencing_number())

    def test_requests_are_sent_where_the_model_is_loaded(self):
        self.engines[0].models = ["chat"]
        self.start()
        targets = self.fleet.daemons["b1"].targets.by_id
        serving = [t.id for t in targets.values() if t.serves("chat")]
        self.assertEqual(serving, ["generate-a"])
