"""Test groups of engines for one prompt."""

import random

import pytest

from dandelionpond.errors import ErrorKind
from dandelionpond.memory.groups import GroupReservations, split_prompt
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import (
    GroupFailed,
    GroupReady,
    PromptPart,
    Release,
    Reserve,
)
from dandelionpond.memory.settings import MemorySettings

SETTINGS = MemorySettings()


def plan(**fields):
    settings = MemorySettings(**fields)
    leases = LeaseTable("n/1", settings, random.Random(1))
    return GroupReservations(leases, settings), leases


def parts(*names):
    return tuple(PromptPart(name, 10) for name in names)


def released(leases, now):
    return {a.engine for a in leases.tick(now) if isinstance(a, Release)}


class TestSplit:
    def test_parts_fit_and_there_are_at_least_three(self):
        """Guard against a part that is larger than the memory it goes to."""
        free = {"a": 400, "b": 400, "c": 310, "d": 10}
        assert split_prompt(900, 10, free, SETTINGS) == (
            PromptPart("a", 310),
            PromptPart("b", 310),
            PromptPart("c", 310),
        )
        assert split_prompt(900, 11, free, SETTINGS) is None
        assert split_prompt(100, 1, {"a": 400, "b": 400}, SETTINGS) is None


class TestGroupPlan:
    def test_parts_are_reserved_in_name_order(self):
        """Guard against two groups that reserve in opposite orders."""
        groups, leases = plan()
        actions = groups.start("g", parts("c", "a", "b"), 0.0).ok
        order = []
        while isinstance(actions[0], Reserve):
            order.append(actions[0].engine)
            actions = groups.on_part_reserved("g", actions[0].engine, 0.1)
        assert order == ["a", "b", "c"]
        assert actions == [GroupReady("g", parts("a", "b", "c"))]
        groups.on_stream_started("g", "a")
        groups.finish("g", 1.0)
        assert released(leases, 1.0) == {"b", "c"}

    @pytest.mark.parametrize("certain", [True, False])
    def test_refused_part_releases_the_rest(self, certain):
        """Guard against a group that keeps memory after it failed."""
        groups, leases = plan()
        groups.start("g", parts("a", "b", "c"), 0.0)
        groups.on_part_reserved("g", "a", 0.1)
        (failed,) = groups.on_part_refused("g", "b", certain, 0.2)
        assert failed.failure.kind is ErrorKind.INSUFFICIENT_MEMORY
        assert released(leases, 0.2) == ({"a"} if certain else {"a", "b"})
        assert groups.on_part_reserved("g", "b", 0.3) == []

    def test_group_ends_at_its_time_limit(self):
        """Guard against a group that waits for an answer while it holds memory."""
        groups, leases = plan()
        groups.start("g", parts("a", "b", "c"), 0.0)
        groups.on_part_reserved("g", "a", 0.1)
        assert groups.tick(4.9) == []
        (failed,) = groups.tick(5.0)
        assert isinstance(failed, GroupFailed)
        assert released(leases, 5.0) == {"a", "b"}

    def test_lost_part_ends_a_ready_group(self):
        """Guard against an answer from a group whose part is gone."""
        groups, leases = plan()
        groups.start("g", parts("a", "b", "c"), 0.0)
        for name in "abc":
            groups.on_part_reserved("g", name, 0.1)
        (failed,) = groups.on_lease_lost("b", groups.holding_id("g", "b"), 1.0)
        assert failed.failure.kind is ErrorKind.UPSTREAM_FAILED
        assert released(leases, 1.0) == {"a", "b", "c"}

    def test_groups_are_bounded(self):
        """Guard against long prompts that take every engine."""
        groups, _ = plan(max_groups=1)
        assert groups.start("g", parts("a", "b", "c"), 0.0).is_ok()
        refused = groups.start("h", parts("a", "b", "c"), 0.0)
        assert refused.error.kind is ErrorKind.OVERLOADED
        assert len(groups) == 1


def outcomes(wanted):
    """Run all interleavings of groups on engines with room for one part each.

    A state is the groups' histories; every order in which the engines answer and in
    which releases arrive is visited. Returns the set of groups ready in each end state.
    """
    ends, seen = set(), set()

    def replay(path):
        """Return holders by engine and the possible next steps after a path."""
        holders, plans, asks, frees, ready = {}, {}, {}, [], set()
        for index, names in enumerate(wanted):
            groups, leases = plan()
            plans[index] = (groups, leases)
            asks[index] = groups.start("g", parts(*names), 0.0).ok[0]
        for kind, index, engine in path:
            groups, leases = plans[index]
            if kind == "free":
                frees.remove((index, engine))
                if holders.get(engine) == index:
                    del holders[engine]
                continue
            if holders.setdefault(engine, index) == index:
                (action,) = groups.on_part_reserved("g", engine, 0.1)
            else:
                (action,) = groups.on_part_refused("g", engine, True, 0.1)
            del asks[index]
            if isinstance(action, Reserve):
                asks[index] = action
            elif isinstance(action, GroupReady):
                ready.add(index)
            else:
                frees += [(index, name) for name in released(leases, 0.1)]
        steps = [("ask", index, ask.engine) for index, ask in asks.items()]
        steps += [("free", index, engine) for index, engine in frees]
        return holders, steps, ready

    def visit(path):
        holders, steps, ready = replay(path)
        state = (tuple(sorted(holders.items())), tuple(sorted(steps)))
        if state in seen:
            return
        seen.add(state)
        if not steps:
            ends.add(frozenset(ready))
            assert set(holders.values()) <= ready
        for step in steps:
            visit([*path, step])

    visit([])
    return ends, len(seen)


class TestInterleavings:
    @pytest.mark.parametrize(
        "wanted",
        [
            ("abc", "abc"),
            ("abc", "bcd"),
            ("abc", "cde", "ace"),
            ("abcd", "bcd", "cda"),
        ],
    )
    def test_competing_groups_end_and_one_succeeds(self, wanted):
        """Guard against groups that wait for each other or all give up.

        Every interleaving ends, only successful groups hold memory at the end, and at
        least one group succeeds.
        """
        ends, states = outcomes(wanted)
        assert states > 10
        assert all(ends)


class TestLead:
    def reserved(self):
        groups, leases = plan()
        groups.start("g", parts("a", "b", "c"), 0.0)
        for name in ("a", "b", "c"):
            groups.on_part_reserved("g", name, 1.0)
        return groups, leases

    def test_reservation_that_the_stream_took_over_is_no_loss(self):
        """Guard against parts given up because the lead's reservation is gone."""
        groups, leases = self.reserved()
        assert groups.begin_stream("g", "a")
        (renew,) = (a for a in leases.tick(10.0) if getattr(a, "engine", "") == "a")
        for lost in leases.on_renewed(renew, renew.holding_ids, 10.0, 10.1):
            assert groups.on_lease_lost(lost.engine, lost.holding_id, 10.1) == []
        assert len(groups) == 1
        assert released(leases, 10.2) == {"a"}
        groups.finish("g", 11.0)
        assert {"b", "c"} <= released(leases, 11.0)

    def test_lost_part_ends_the_group_while_its_stream_runs(self):
        """Guard against a stream that goes on without a part of its prompt."""
        groups, leases = self.reserved()
        groups.begin_stream("g", "a")
        (failed,) = groups.on_lease_lost("b", "g/b", 10.0)
        assert failed.failure.kind is ErrorKind.UPSTREAM_FAILED
        assert "c" in released(leases, 10.0)
        assert not groups.begin_stream("g", "a")
