"""Test leases, adoption and groups on simulated engines with random faults."""

import random

import pytest

from dandelionpond.memory.adoption import Adoption
from dandelionpond.memory.groups import GroupReservations
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import (
    GroupReady,
    Holding,
    LeaseLost,
    PromptPart,
    Release,
    Renew,
    Reserve,
)
from dandelionpond.memory.settings import MemorySettings
from dandelionpond_standins.engine_model import (
    EngineModel,
    EngineSpec,
    ModelRequest,
    Submitted,
)

SETTINGS = MemorySettings(clock_margin_s=2.0)
STEP_S = 0.5
ENGINES = [f"e{index}" for index in range(5)]


class Node:
    """A simulation of one incarnation of a node."""

    def __init__(self, fleet, name, incarnation):
        self.fleet, self.name, self.incarnation = fleet, name, incarnation
        self.owner = f"{name}/{incarnation}"
        self.leases = LeaseTable(self.owner, SETTINGS, fleet.random)
        self.adoption = Adoption(name, SETTINGS)
        self.groups = GroupReservations(self.leases, SETTINGS)
        self.streams, self.ready_groups = {}, []
        self.paused_until = 0.0

    def call(self, engine, method, *arguments):
        """Call an engine over a lossy network; return None if no answer arrives."""
        fleet = self.fleet
        if (self.name, engine) in fleet.broken_links:
            return None
        model = fleet.engines[engine]
        draw = fleet.random.random()
        if draw < fleet.loss:
            return None
        if draw < 2 * fleet.loss:
            fleet.delayed.append((fleet.now + 7.0, engine, method, arguments))
            return None
        answer = getattr(model, method)(*arguments, fleet.now)
        return None if draw < 3 * fleet.loss else answer

    def start_stream(self, engine):
        self.fleet.id_counter += 1
        name = f"{self.owner}/{self.fleet.id_counter}"
        if self.leases.acquire(engine, name, self.fleet.now).is_ok():
            request = ModelRequest(
                name, self.owner, "m", 900, max_tokens=2_000, expires_in_s=30.0
            )
            self.streams[name] = engine
            if not isinstance(self.call(engine, "submit", request), Submitted):
                self.release_stream(name)

    def release_stream(self, name):
        """Release the memory of a stream, which may not have started."""
        self.leases.release(self.streams.pop(name), name, self.fleet.now)

    def start_group(self):
        self.fleet.id_counter += 1
        names = self.fleet.random.sample(ENGINES, 3)
        parts = tuple(PromptPart(name, 30_000) for name in names)
        started = self.groups.start(
            f"{self.owner}/g{self.fleet.id_counter}", parts, self.now
        )
        if started.is_ok():
            self.perform(started.ok)

    @property
    def now(self):
        return self.fleet.now

    def perform(self, actions):
        for action in actions:
            match action:
                case Reserve():
                    reserved = self.call(
                        action.engine,
                        "reserve",
                        action.holding_id,
                        self.owner,
                        action.tokens,
                        action.ttl_s,
                    )
                    group, engine = action.group, action.engine
                    if reserved:
                        self.perform(
                            self.groups.on_part_reserved(group, engine, self.now)
                        )
                    else:
                        certain = reserved is False
                        self.groups.on_part_refused(group, engine, certain, self.now)
                case GroupReady():
                    self.ready_groups.append(action.group)
                case Release():
                    self.fleet.check_release(self, action)
                    was_held = self.call(action.engine, "cancel", action.holding_id)
                    if action.owner != self.owner:
                        pass
                    elif was_held is None:
                        self.leases.on_release_failed(action.engine, self.now)
                    else:
                        self.leases.on_released(
                            action.engine, action.holding_id, was_held, self.now
                        )
                case Renew():
                    answers = {
                        holding_id: self.call(
                            action.engine, "renew", holding_id, action.ttl_s
                        )
                        for holding_id in action.holding_ids
                    }
                    known = tuple(
                        holding_id
                        for holding_id, answer in answers.items()
                        if answer is not None
                    )
                    unknown = [
                        holding_id for holding_id in known if not answers[holding_id]
                    ]
                    answered = Renew(action.engine, known, action.ttl_s)
                    self.perform(
                        self.leases.on_renewed(answered, unknown, self.now, self.now)
                    )
                case LeaseLost():
                    self.streams.pop(action.holding_id, None)
                    self.groups.on_lease_lost(
                        action.engine, action.holding_id, self.now
                    )

    def tick(self):
        self.perform(self.leases.tick(self.now))
        self.groups.tick(self.now)
        live = self.fleet.live_owners(self.name)
        for scan in self.adoption.tick(ENGINES, set(live), self.now, self.now):
            listed = self.call(scan.engine, "holdings")
            if listed is not None:
                holdings = [
                    Holding(h.holding_id, h.kind, h.owner, h.tokens, h.expires_in_s)
                    for h in listed
                ]
                self.perform(
                    self.adoption.on_scan_result(
                        scan, holdings, live, self.now, self.now
                    )
                )


class Fleet:
    """A simulation of nodes, engines, the network and the clock."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.now, self.id_counter, self.loss = 0.0, 0, 0.03
        spec = EngineSpec(kv_capacity_tokens=300_000, report_lag_s=0.0)
        self.engines = {name: EngineModel(spec, seed) for name in ENGINES}
        self.broken_links, self.isolated, self.delayed = set(), set(), []
        self.nodes = {}
        self.adopted = 0
        for index in range(6):
            self.start_node(f"n{index}")

    def start_node(self, name):
        self.nodes[name] = Node(self, name, self.id_counter)
        self.id_counter += 1

    def live_owners(self, name):
        """Return the owners that a node sees as live: not paused and not isolated."""
        return {
            other.name: other.owner
            for other in self.nodes.values()
            if other.paused_until <= self.now
            and (other.name == name or not {other.name, name} & self.isolated)
        }

    def check_release(self, releaser, action):
        """Fail if a node releases a holding on which its owner has a valid lease."""
        if action.owner == releaser.owner:
            return
        self.adopted += 1
        for node in self.nodes.values():
            if node.owner == action.owner:
                assert not node.leases.owns(action.engine, action.holding_id, self.now)

    def step(self):
        self.now += STEP_S
        for model in self.engines.values():
            for event in model.advance(self.now):
                if type(event).__name__ == "RequestFinished":
                    self.finish_stream(event.request_id)
        due = [call for call in self.delayed if call[0] <= self.now]
        self.delayed = [call for call in self.delayed if call[0] > self.now]
        for _, engine, method, arguments in due:
            getattr(self.engines[engine], method)(*arguments, self.now)
        for node in list(self.nodes.values()):
            if node.paused_until <= self.now:
                node.tick()

    def finish_stream(self, name):
        for node in self.nodes.values():
            if node.paused_until <= self.now and name in node.streams:
                node.leases.on_freed(node.streams.pop(name), name)

    def inject_fault(self):
        """Inject one random fault."""
        node = self.random.choice(list(self.nodes.values()))
        engine = self.random.choice(ENGINES)
        match self.random.choices(range(7), (4, 4, 4, 2, 4, 4, 1))[0]:
            case 0:  # The process dies and a new incarnation starts at once.
                for name, stream_engine in node.streams.items():
                    self.engines[stream_engine].abandon(name, self.now)
                self.start_node(node.name)
            case 1:  # The process pauses, often for longer than its leases.
                node.paused_until = self.now + self.random.choice([3, 15, 45])
            case 2:
                self.broken_links.add((node.name, engine))
            case 3:
                self.broken_links.clear()
                self.isolated.clear()
            case 4:  # The node is cut off from its peers but reaches engines.
                self.isolated.add(node.name)
            case 5:  # The connection of a stream breaks; its node releases the stream.
                if node.streams and node.paused_until <= self.now:
                    name = self.random.choice(list(node.streams))
                    self.engines[node.streams[name]].abandon(name, self.now)
                    node.release_stream(name)
            case 6:  # The engine restarts and loses all state.
                self.engines[engine] = EngineModel(self.engines[engine].spec, 1)
                self.engines[engine].advance(self.now)


class TestRandomFaults:
    @pytest.mark.parametrize("seed", [1, 2, 74])
    def test_all_engine_memory_is_released(self, seed):
        """Guard against engine memory that leaks after any combination of faults.

        A thousand faults are injected into six nodes and five engines. Then the network
        recovers and a third of the nodes stays dead. No live owner may lose memory that
        it still owns. With seed 74 a reservation leaked when the answer to a probe
        counted as the second answer to a release.
        """
        fleet = Fleet(seed)
        max_used = 0
        for _ in range(1_000):
            for node in fleet.nodes.values():
                if node.paused_until <= fleet.now:
                    if len(node.streams) < 8:
                        node.start_stream(fleet.random.choice(ENGINES))
                    if fleet.random.random() < 0.1:
                        node.start_group()
                    for name in [
                        g for g in node.ready_groups if fleet.random.random() < 0.1
                    ]:
                        node.ready_groups.remove(name)
                        node.groups.finish(name, fleet.now)
            fleet.inject_fault()
            fleet.step()
            max_used = max(
                max_used, *(e.kv_tokens_used for e in fleet.engines.values())
            )
        assert max_used > 50_000
        assert fleet.adopted > 50
        fleet.broken_links.clear()
        fleet.isolated.clear()
        fleet.loss = 0.0
        for name in ["n0", "n1"]:
            del fleet.nodes[name]
        for node in fleet.nodes.values():
            node.paused_until = 0.0
            for name in list(node.streams):
                node.release_stream(name)
            for group in list(node.ready_groups):
                node.groups.finish(group, fleet.now)
        for _ in range(int(150 / STEP_S)):
            fleet.step()
        assert {e.kv_tokens_used for e in fleet.engines.values()} == {0}
        assert [e.holdings(fleet.now) for e in fleet.engines.values()] == [[]] * 5
        assert [len(node.leases) for node in fleet.nodes.values()] == [0] * 4
