"""Tests of the orders that nodes send to simulated engines."""

import random

import pytest

from dandelionpond.config.schema import EngineUpstream, FailureDomain, Model, Settings
from dandelionpond.identity import Identity
from dandelionpond.orders.desired import desired_state, missing_changes
from dandelionpond.orders.load_scheduler import LoadScheduler
from dandelionpond.orders.messages import (
    EngineChange,
    EngineReport,
    FencingToken,
    ModelState,
    RequestReport,
    SendOrder,
)
from dandelionpond.orders.plan import OrderPlanner
from dandelionpond.orders.settings import OrdersSettings
from dandelionpond_standins.engine_orders import Order, OrderState

HIGH_LOAD_RATE = OrdersSettings(weight_store_loads_per_s=100.0)


def make_settings(version="1", engines=3, role="general", orders=HIGH_LOAD_RATE):
    return Settings(
        failure_domains={"d": FailureDomain()},
        models={"m": Model(version, 1_000, adapters=("x",)), "k": Model("1", 1_000)},
        upstreams={
            f"e{index}": EngineUpstream("d", "http://[::1]:1", ("m",), role)
            for index in range(engines)
        },
        orders=orders,
    )


def make_report(engine, now):
    report = engine.report(now)
    models = {
        name: ModelState(model["version"], model["state"], model["adapters"])
        for name, model in report["models"].items()
    }
    return EngineReport(models, report["role"], FencingToken(*report["fencing"]))


class FleetSimulation:
    """Simulation of several nodes' order planners and their engines."""

    def __init__(self, settings, nodes=3, enforced=True, loaded=None):
        self.now = 0.0
        self.engines = {
            name: OrderState(loaded or {"k": "1"}, "short", enforced, load_s=2.0)
            for name in settings.upstreams
        }
        self.planners = {}
        self.paused = set()
        self.sent = []
        for index in range(nodes):
            planner = OrderPlanner(Identity(f"n{index}", 1_000 * index, index), "d")
            planner.configure(1, settings, 0.0)
            self.planners[f"n{index}"] = planner

    def live_nodes(self):
        return set(self.planners) - self.paused

    def tick(self, name):
        """Run one node and return its orders without delivering them."""
        planner = self.planners[name]
        orders = []
        for action in planner.tick(self.live_nodes(), self.now, self.now):
            match action:
                case RequestReport():
                    report = make_report(self.engines[action.engine], self.now)
                    planner.record_report(action.engine, report, self.now)
                case SendOrder():
                    orders.append(action)
        return orders

    def deliver(self, order):
        """Apply an order to its engine, possibly long after it was sent."""
        change = order.change
        token = (order.token.revision, order.token.started_ms, order.token.sequence)
        result = self.engines[order.engine].apply(
            Order(
                token,
                change.action,
                change.model,
                change.version,
                change.adapter,
                change.role,
            ),
            self.now,
        )
        self.sent.append((self.now, order.engine, change, result))
        return result

    def run(self, seconds):
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            for name in sorted(self.live_nodes()):
                for order in self.tick(name):
                    if self.planners[name].fencing.may_send(order, self.now):
                        self.deliver(order)

    def has_converged(self, settings):
        return all(
            not missing_changes(
                desired_state(settings, name), make_report(engine, self.now)
            )
            for name, engine in self.engines.items()
        )

    def pause_before_write(self):
        """Run until a node has decided on an order, then pause it before the write."""
        while True:
            self.now += 0.5
            for name in sorted(self.live_nodes()):
                orders = self.tick(name)
                if orders:
                    self.paused.add(name)
                    return name, orders[0]


class TestConvergence:
    @pytest.mark.parametrize("enforced", [True, False])
    def test_engines_reach_the_desired_state_and_stay(self, enforced):
        """Orders must lead to the desired state and then end."""
        settings = make_settings()
        fleet = FleetSimulation(settings, enforced=enforced)
        fleet.run(60)
        assert fleet.has_converged(settings)
        engine = fleet.engines["e0"].report(fleet.now)
        assert engine["models"].keys() == {"m"}
        assert engine["models"]["m"]["adapters"] == {"x": "ready"}
        count = len(fleet.sent)
        fleet.run(60)
        assert len(fleet.sent) == count == 12

    def test_each_engine_is_assigned_to_one_node(self):
        """Two nodes must not send orders to the same engine."""
        fleet = FleetSimulation(make_settings(engines=40), nodes=10)
        fleet.run(3)
        assigned = [
            engine
            for planner in fleet.planners.values()
            for engine in planner.assigned_engines
        ]
        assert sorted(assigned) == sorted(fleet.engines)

    @pytest.mark.parametrize("enforced", [True, False])
    def test_two_operators_end_in_one_result(self, enforced):
        """Nodes with different revisions must not undo each other's orders forever."""
        first, second = make_settings("2"), make_settings("3", role="long")
        fleet = FleetSimulation(make_settings("1"), enforced=enforced)
        fleet.run(30)
        for index, planner in enumerate(fleet.planners.values()):
            planner.configure(2, first, fleet.now)
            if index != 1:
                planner.configure(3, second, fleet.now)
        fleet.run(5)
        for planner in fleet.planners.values():
            planner.configure(3, second, fleet.now)
            planner.configure(2, first, fleet.now)
        fleet.run(40)
        assert fleet.has_converged(second)

    def test_node_that_started_earlier_takes_over(self):
        """Orders of a successor must not be refused as stale."""
        settings = make_settings(engines=12)
        fleet = FleetSimulation(settings, nodes=3)
        fleet.run(30)
        fleet.paused = {"n1", "n2"}
        for engine in fleet.engines.values():
            engine.highest_fencing_token = max(
                engine.highest_fencing_token, (1, 2_000, 50)
            )
            engine.apply(
                Order(engine.highest_fencing_token, "set_role", role="long"), fleet.now
            )
        fleet.run(30)
        assert fleet.has_converged(settings)
        assert {result for *_, result in fleet.sent} == {"accepted"}

    @pytest.mark.parametrize("seed", range(5))
    @pytest.mark.parametrize("enforced", [True, False])
    def test_random_pauses_and_late_orders_converge(self, seed, enforced):
        """Engines must converge despite pauses, lost orders and late orders."""
        rng = random.Random(seed)
        final = make_settings("9", role="long")
        fleet = FleetSimulation(make_settings("1"), enforced=enforced)
        in_flight = []
        for step in range(300):
            fleet.now += 0.5
            if step % 40 == 0:
                new = final if step == 280 else make_settings(str(step))
                for planner in fleet.planners.values():
                    planner.configure(step + 2, new, fleet.now)
            if rng.random() < 0.05:
                fleet.paused = set(rng.sample(sorted(fleet.planners), 2))
            elif rng.random() < 0.05:
                fleet.paused = set()
            for name in sorted(fleet.live_nodes()):
                for order in fleet.tick(name):
                    if rng.random() < 0.8:
                        in_flight.append((fleet.now + rng.choice([0, 1, 20]), order))
            for due in [entry for entry in in_flight if entry[0] <= fleet.now]:
                in_flight.remove(due)
                fleet.deliver(due[1])
        for _, order in in_flight:
            fleet.deliver(order)
        fleet.paused = set()
        fleet.run(60)
        assert fleet.has_converged(final)


class TestPausedNode:
    def test_enforcing_engine_refuses_an_old_order(self):
        """A node that resumes must not revert an engine to old settings."""
        fleet = FleetSimulation(make_settings("1"), enforced=True)
        _, old = fleet.pause_before_write()
        new = make_settings("2")
        for planner in fleet.planners.values():
            planner.configure(2, new, fleet.now)
        fleet.run(40)
        assert fleet.deliver(old) == "stale"
        assert fleet.has_converged(new)

    def test_old_order_is_not_sent_to_an_ignoring_engine(self):
        """An engine that ignores fencing tokens must not be sent an old order."""
        fleet = FleetSimulation(make_settings("1"), enforced=False)
        name, old = fleet.pause_before_write()
        fleet.now += 3.1
        assert not fleet.planners[name].fencing.may_send(old, fleet.now)

    def test_ignoring_engine_recovers_from_an_order_that_was_in_flight(self):
        """An outdated order that the validity check cannot stop must be corrected.

        An engine that ignores fencing tokens obeys an order that was sent before the
        pause. The node that the engine is assigned to corrects it after the next
        report.
        """
        fleet = FleetSimulation(make_settings("1"), enforced=False)
        _, old = fleet.pause_before_write()
        new = make_settings("2", role="long")
        for planner in fleet.planners.values():
            planner.configure(2, new, fleet.now)
        fleet.run(40)
        assert fleet.has_converged(new)
        assert fleet.deliver(old) == "accepted"
        assert not fleet.has_converged(new)
        fleet.run(20)
        assert fleet.has_converged(new)

    def test_nothing_is_sent_before_membership_and_report_are_fresh(self):
        """Membership and reports from before a pause must not lead to orders."""
        fleet = FleetSimulation(make_settings("1"), nodes=1)
        fleet.run(30)
        planner = fleet.planners["n0"]
        fleet.engines["e0"].apply(Order((1, 0, 999), "set_role", role="long"), 30.0)
        heard_at = fleet.now
        assert planner.tick({"n0"}, heard_at, 100.0) == []
        assert planner.tick({"n0"}, heard_at, 101.0) == []
        assert planner.counters.pauses == 1
        actions = planner.tick({"n0"}, 101.5, 102.0)
        assert {type(action) for action in actions} == {RequestReport}


class TestReports:
    def planner(self, **fields):
        settings = make_settings("1", 1, orders=OrdersSettings(**fields))
        planner = OrderPlanner(Identity("n0", 1, 1), "d")
        planner.configure(1, settings, 0.0)
        planner.tick({"n0"}, 0.0, 0.0)
        planner.tick({"n0"}, 0.5, 1.0)
        return planner

    def orders(self, planner, now):
        actions = planner.tick({"n0"}, now, now)
        return [action for action in actions if isinstance(action, SendOrder)]

    def test_no_order_on_an_old_report(self):
        """A report that other orders may have outdated must not lead to an order."""
        planner = self.planner()
        models = {"m": ModelState("1", "ready", {"x": "ready"})}
        planner.record_report("e0", EngineReport(models, "general"), 1.0)
        for now in (2.0, 3.0, 4.0):
            assert self.orders(planner, now) == []
        planner.configure(2, make_settings("1", 1, role="long"), 4.1)
        assert self.orders(planner, 4.5) == []
        planner.record_report("e0", EngineReport(models, "general"), 4.5)
        assert len(self.orders(planner, 5.0)) == 1

    def test_no_repeat_before_a_report_that_can_show_the_effect(self):
        """An order must not be repeated while no later report has arrived."""
        planner = self.planner(repeat_after_s=1.0)
        planner.record_report("e0", EngineReport({}, "short"), 1.0)
        assert len(self.orders(planner, 1.5)) == 1
        assert self.orders(planner, 3.0) == []
        planner.record_report("e0", EngineReport({}, "short"), 3.0)
        assert len(self.orders(planner, 3.5)) == 1
        assert planner.counters.repeated == 1


class TestLoadScheduler:
    def test_roll_out_keeps_the_rate_of_the_weight_store(self):
        """The engines of a fleet must not all load a new version at once."""
        slow = OrdersSettings(weight_store_loads_per_s=0.5, weight_store_burst=2)
        fleet = FleetSimulation(
            make_settings("1", 20, orders=slow), 6, loaded={"m": "1"}
        )
        fleet.run(400)
        new = make_settings("2", 20, orders=slow)
        for planner in fleet.planners.values():
            planner.configure(2, new, fleet.now)
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
        """Loads after restarts must not exceed the share of one node."""
        scheduler = LoadScheduler(OrdersSettings(weight_store_loads_per_s=1.0))
        load = EngineChange("load_model", model="m", version="1")
        permitted = [
            now
            for now in range(100)
            if scheduler.try_start(("e", load), 0.1, float(now))
        ]
        assert len(permitted) in (10, 11)
