"""Test which orders are sent, against modelled engines."""

import random

import pytest

from dandelionpond.config.schema import EngineUpstream, FailureDomain, Model, Settings
from dandelionpond.identity import Identity
from dandelionpond.orders.desired import changes, desired_state
from dandelionpond.orders.messages import (
    EngineChange,
    EngineReport,
    FencingToken,
    ModelState,
    RequestReport,
    SendOrder,
)
from dandelionpond.orders.pace import LoadPace
from dandelionpond.orders.plan import OrderPlanner
from dandelionpond.orders.settings import OrdersSettings
from dandelionpond_standins.engine_orders import Order, OrderState

FAST = OrdersSettings(weight_store_loads_per_s=100.0)


def settings_of(version="1", engines=3, role="general", orders=FAST):
    return Settings(
        failure_domains={"d": FailureDomain()},
        models={"m": Model(version, 1_000, adapters=("x",)), "k": Model("1", 1_000)},
        upstreams={
            f"e{index}": EngineUpstream("d", "http://[::1]:1", ("m",), role)
            for index in range(engines)
        },
        orders=orders,
    )


def report_of(engine, now):
    found = engine.report(now)
    models = {
        name: ModelState(m["version"], m["state"], m["adapters"])
        for name, m in found["models"].items()
    }
    return EngineReport(models, found["role"], FencingToken(*found["fencing"]))


class Fleet:
    """Run order plans of several nodes on modelled engines."""

    def __init__(self, settings, nodes=3, enforced=True, held=None):
        self.now = 0.0
        self.engines = {
            name: OrderState(held or {"k": "1"}, "short", enforced, load_s=2.0)
            for name in settings.upstreams
        }
        self.plans = {}
        self.paused = set()
        self.sent = []
        for index in range(nodes):
            plan = OrderPlanner(Identity(f"n{index}", 1_000 * index, index), "d")
            plan.configure(1, settings, 0.0)
            self.plans[f"n{index}"] = plan

    def live(self):
        return set(self.plans) - self.paused

    def tick(self, name):
        """Run one node; return its orders without sending them."""
        plan = self.plans[name]
        orders = []
        for action in plan.tick(self.live(), self.now, self.now):
            match action:
                case RequestReport():
                    report = report_of(self.engines[action.engine], self.now)
                    plan.record_report(action.engine, report, self.now)
                case SendOrder():
                    orders.append(action)
        return orders

    def deliver(self, order):
        """Apply an order to its engine, at any time after it left."""
        c = order.change
        token = (order.token.revision, order.token.started_ms, order.token.sequence)
        result = self.engines[order.engine].apply(
            Order(token, c.action, c.model, c.version, c.adapter, c.role), self.now
        )
        self.sent.append((self.now, order.engine, c, result))
        return result

    def run(self, seconds):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for name in sorted(self.live()):
                for order in self.tick(name):
                    if self.plans[name].fencing.may_send(order, self.now):
                        self.deliver(order)

    def agrees(self, settings):
        return all(
            not changes(desired_state(settings, name), report_of(engine, self.now))
            for name, engine in self.engines.items()
        )

    def held_order(self):
        """Run until a node has decided an order, and pause it before the write."""
        while True:
            self.now += 0.5
            for name in sorted(self.live()):
                orders = self.tick(name)
                if orders:
                    self.paused.add(name)
                    return name, orders[0]


class TestConvergence:
    @pytest.mark.parametrize("enforced", [True, False])
    def test_engines_reach_the_desired_state_and_stay(self, enforced):
        """Guard against orders that never agree or are repeated for ever."""
        settings = settings_of()
        fleet = Fleet(settings, enforced=enforced)
        fleet.run(60)
        assert fleet.agrees(settings)
        engine = fleet.engines["e0"].report(fleet.now)
        assert engine["models"].keys() == {"m"}
        assert engine["models"]["m"]["adapters"] == {"x": "ready"}
        count = len(fleet.sent)
        fleet.run(60)
        assert len(fleet.sent) == count == 12

    def test_each_engine_has_one_giver(self):
        """Guard against two nodes that load the same model twice."""
        fleet = Fleet(settings_of(engines=40), nodes=10)
        fleet.run(3)
        given = [e for plan in fleet.plans.values() for e in plan.assigned_engines]
        assert sorted(given) == sorted(fleet.engines)

    @pytest.mark.parametrize("enforced", [True, False])
    def test_two_operators_end_in_one_result(self, enforced):
        """Guard against nodes with two revisions that undo each other for ever."""
        first, second = settings_of("2"), settings_of("3", role="long")
        fleet = Fleet(settings_of("1"), enforced=enforced)
        fleet.run(30)
        for index, plan in enumerate(fleet.plans.values()):
            plan.configure(2, first, fleet.now)
            if index != 1:
                plan.configure(3, second, fleet.now)
        fleet.run(5)
        for plan in fleet.plans.values():
            plan.configure(3, second, fleet.now)
            plan.configure(2, first, fleet.now)
        fleet.run(40)
        assert fleet.agrees(second)

    def test_giver_that_started_earlier_takes_over(self):
        """Guard against a successor whose orders are refused as stale."""
        settings = settings_of(engines=12)
        fleet = Fleet(settings, nodes=3)
        fleet.run(30)
        fleet.paused = {"n1", "n2"}
        for engine in fleet.engines.values():
            engine.highest = max(engine.highest, (1, 2_000, 50))
            engine.apply(Order(engine.highest, "set_role", role="long"), fleet.now)
        fleet.run(30)
        assert fleet.agrees(settings)
        assert {result for *_, result in fleet.sent} == {"accepted"}

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("enforced", [True, False])
    def test_random_pauses_and_late_orders_converge(self, seed, enforced):
        """Guard against a mix of pauses, losses and old orders that never settles."""
        rng = random.Random(seed)
        final = settings_of("9", role="long")
        fleet = Fleet(settings_of("1"), enforced=enforced)
        flying = []
        for step in range(300):
            fleet.now += 0.5
            if step % 40 == 0:
                new = final if step == 280 else settings_of(str(step))
                for plan in fleet.plans.values():
                    plan.configure(step + 2, new, fleet.now)
            if rng.random() < 0.05:
                fleet.paused = set(rng.sample(sorted(fleet.plans), 2))
            elif rng.random() < 0.05:
                fleet.paused = set()
            for name in sorted(fleet.live()):
                for order in fleet.tick(name):
                    if rng.random() < 0.8:
                        flying.append((fleet.now + rng.choice([0, 1, 20]), order))
            for due in [each for each in flying if each[0] <= fleet.now]:
                flying.remove(due)
                fleet.deliver(due[1])
        for _, order in flying:
            fleet.deliver(order)
        fleet.paused = set()
        fleet.run(60)
        assert fleet.agrees(final)


class TestPausedNode:
    def test_enforcing_engine_refuses_an_old_order(self):
        """Guard against a resumed node that reverts an engine to old settings."""
        fleet = Fleet(settings_of("1"), enforced=True)
        _, old = fleet.held_order()
        new = settings_of("2")
        for plan in fleet.plans.values():
            plan.configure(2, new, fleet.now)
        fleet.run(40)
        assert fleet.deliver(old) == "stale"
        assert fleet.agrees(new)

    def test_old_order_is_not_sent_to_an_ignoring_engine(self):
        """Guard against the same on an engine that would obey."""
        fleet = Fleet(settings_of("1"), enforced=False)
        name, old = fleet.held_order()
        fleet.now += 3.1
        assert not fleet.plans[name].fencing.may_send(old, fleet.now)

    def test_ignoring_engine_recovers_from_an_order_that_was_in_flight(self):
        """Guard against a lasting effect of the window that the check leaves.

        An order that had left before the pause is obeyed. The giver corrects it with
        its next reports.
        """
        fleet = Fleet(settings_of("1"), enforced=False)
        _, old = fleet.held_order()
        new = settings_of("2", role="long")
        for plan in fleet.plans.values():
            plan.configure(2, new, fleet.now)
        fleet.run(40)
        assert fleet.agrees(new)
        assert fleet.deliver(old) == "accepted"
        assert not fleet.agrees(new)
        fleet.run(20)
        assert fleet.agrees(new)

    def test_nothing_is_sent_before_membership_and_report_are_fresh(self):
        """Guard against decisions from before a pause."""
        fleet = Fleet(settings_of("1"), nodes=1)
        fleet.run(30)
        plan = fleet.plans["n0"]
        fleet.engines["e0"].apply(Order((1, 0, 999), "set_role", role="long"), 30.0)
        heard = fleet.now
        assert plan.tick({"n0"}, heard, 100.0) == []
        assert plan.tick({"n0"}, heard, 101.0) == []
        assert plan.counters.pauses == 1
        actions = plan.tick({"n0"}, 101.5, 102.0)
        assert {type(action) for action in actions} == {RequestReport}


class TestReports:
    def plan(self, **fields):
        settings = settings_of("1", 1, orders=OrdersSettings(**fields))
        plan = OrderPlanner(Identity("n0", 1, 1), "d")
        plan.configure(1, settings, 0.0)
        plan.tick({"n0"}, 0.0, 0.0)
        plan.tick({"n0"}, 0.5, 1.0)
        return plan

    def orders(self, plan, now):
        actions = plan.tick({"n0"}, now, now)
        return [action for action in actions if isinstance(action, SendOrder)]

    def test_no_order_on_an_old_report(self):
        """Guard against an order from a report that other orders have overtaken."""
        plan = self.plan()
        models = {"m": ModelState("1", "ready", {"x": "ready"})}
        plan.record_report("e0", EngineReport(models, "general"), 1.0)
        for now in (2.0, 3.0, 4.0):
            assert self.orders(plan, now) == []
        plan.configure(2, settings_of("1", 1, role="long"), 4.1)
        assert self.orders(plan, 4.5) == []
        plan.record_report("e0", EngineReport(models, "general"), 4.5)
        assert len(self.orders(plan, 5.0)) == 1

    def test_no_repeat_before_a_report_that_can_show_the_effect(self):
        """Guard against repeats while no report has followed the order."""
        plan = self.plan(repeat_after_s=1.0)
        plan.record_report("e0", EngineReport({}, "short"), 1.0)
        assert len(self.orders(plan, 1.5)) == 1
        assert self.orders(plan, 3.0) == []
        plan.record_report("e0", EngineReport({}, "short"), 3.0)
        assert len(self.orders(plan, 3.5)) == 1
        assert plan.counters.repeated == 1


class TestPace:
    def test_roll_out_keeps_the_rate_of_the_weight_store(self):
        """Guard against a fleet that loads a new version all at once."""
        slow = OrdersSettings(weight_store_loads_per_s=0.5, weight_store_burst=2)
        fleet = Fleet(settings_of("1", 20, orders=slow), 6, held={"m": "1"})
        fleet.run(400)
        new = settings_of("2", 20, orders=slow)
        for plan in fleet.plans.values():
            plan.configure(2, new, fleet.now)
        start = fleet.now
        fleet.run(60)
        times = [
            at - start
            for at, _, change, _ in fleet.sent
            if change == EngineChange("load_model", model="m", version="2")
        ]
        assert len(times) == 20
        for at in times:
            assert sum(at - 10 < other <= at for other in times) <= 2 + 10 * 0.5 + 1
        assert max(times) < 45

    def test_share_limits_loads_outside_a_roll_out(self):
        """Guard against mass restarts that exceed the share of one node."""
        pace = LoadPace(OrdersSettings(weight_store_loads_per_s=1.0))
        load = EngineChange("load_model", model="m", version="1")
        permitted = [
            now for now in range(100) if pace.may_start(("e", load), 0.1, float(now))
        ]
        assert len(permitted) in (10, 11)
