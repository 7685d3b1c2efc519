"""Test memory reservations on groups of engines."""

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


def make_groups(**fields):
    settings = MemorySettings(**fields)
    leases = LeaseTable("n/1", settings, random.Random(1))
    return GroupReservations(leases, settings), leases


def make_parts(*names):
    return tuple(PromptPart(name, 10) for name in names)


def released_engines(leases, now):
    return {a.engine for a in leases.tick(now) if isinstance(a, Release)}


class TestSplitPrompt:
    def test_parts_fit_and_there_are_at_least_three(self):
        """Guard against a part that is larger than the free memory of its engine."""
        free_tokens = {"a": 400, "b": 400, "c": 310, "d": 10}
        assert split_prompt(900, 10, free_tokens, SETTINGS) == (
            PromptPart("a", 310),
            PromptPart("b", 310),
            PromptPart("c", 310),
        )
        assert split_prompt(900, 11, free_tokens, SETTINGS) is None
        assert split_prompt(100, 1, {"a": 400, "b": 400}, SETTINGS) is None


class TestGroupReservations:
    def test_parts_are_reserved_in_name_order(self):
        """Guard against a deadlock of groups that reserve in opposite orders."""
        groups, leases = make_groups()
        actions = groups.start("g", make_parts("c", "a", "b"), 0.0).ok
        order = []
        while isinstance(actions[0], Reserve):
            order.append(actions[0].engine)
            actions = groups.on_part_reserved("g", actions[0].engine, 0.1)
        assert order == ["a", "b", "c"]
        assert actions == [GroupReady("g", make_parts("a", "b", "c"))]
        groups.on_stream_started("g", "a")
        groups.finish("g", 1.0)
        assert released_engines(leases, 1.0) == {"b", "c"}

    @pytest.mark.parametrize("certain", [True, False])
    def test_refused_part_releases_the_rest(self, certain):
        """Guard against a failed group that keeps its memory."""
        groups, leases = make_groups()
        groups.start("g", make_parts("a", "b", "c"), 0.0)
        groups.on_part_reserved("g", "a", 0.1)
        (failed,) = groups.on_part_refused("g", "b", certain, 0.2)
        assert failed.failure.kind is ErrorKind.INSUFFICIENT_MEMORY
        assert released_engines(leases, 0.2) == ({"a"} if certain else {"a", "b"})
        assert groups.on_part_reserved("g", "b", 0.3) == []

    def test_group_ends_at_its_time_limit(self):
        """Guard against a group that waits without limit while it holds memory."""
        groups, leases = make_groups()
        groups.start("g", make_parts("a", "b", "c"), 0.0)
        groups.on_part_reserved("g", "a", 0.1)
        assert groups.tick(4.9) == []
        (failed,) = groups.tick(5.0)
        assert isinstance(failed, GroupFailed)
        assert released_engines(leases, 5.0) == {"a", "b"}

    def test_lost_part_ends_a_ready_group(self):
        """Guard against an answer from a group that has lost a part."""
        groups, leases = make_groups()
        groups.start("g", make_parts("a", "b", "c"), 0.0)
        for name in "abc":
            groups.on_part_reserved("g", name, 0.1)
        (failed,) = groups.on_lease_lost("b", groups.holding_id("g", "b"), 1.0)
        assert failed.failure.kind is ErrorKind.UPSTREAM_FAILED
        assert released_engines(leases, 1.0) == {"a", "b", "c"}

    def test_groups_are_bounded(self):
        """Guard against long prompts that occupy every engine."""
        groups, _ = make_groups(max_groups=1)
        assert groups.start("g", make_parts("a", "b", "c"), 0.0).is_ok()
        refused = groups.start("h", make_parts("a", "b", "c"), 0.0)
        assert refused.error.kind is ErrorKind.OVERLOADED
        assert len(groups) == 1


def run_interleavings(engine_sets):
    """Run all interleavings of groups on engines with memory for one part each.

    Visits every order in which engines answer and releases arrive. `engine_sets` lists
    the engines that each group needs. Returns the sets of groups that are ready in the
    final states, and the number of states visited.
    """
    final_ready_groups, visited_states = set(), set()

    def replay(path):
        """Return the holder of each engine, the next steps and the ready groups."""
        holders, reservations, requests, releases, ready = {}, {}, {}, [], set()
        for index, names in enumerate(engine_sets):
            groups, leases = make_groups()
            reservations[index] = (groups, leases)
            requests[index] = groups.start("g", make_parts(*names), 0.0).ok[0]
        for kind, index, engine in path:
            groups, leases = reservations[index]
            if kind == "release":
                releases.remove((index, engine))
                if holders.get(engine) == index:
                    del holders[engine]
                continue
            if holders.setdefault(engine, index) == index:
                (action,) = groups.on_part_reserved("g", engine, 0.1)
            else:
                (action,) = groups.on_part_refused("g", engine, True, 0.1)
            del requests[index]
            if isinstance(action, Reserve):
                requests[index] = action
            elif isinstance(action, GroupReady):
                ready.add(index)
            else:
                releases += [(index, name) for name in released_engines(leases, 0.1)]
        steps = [
            ("reserve", index, request.engine) for index, request in requests.items()
        ]
        steps += [("release", index, engine) for index, engine in releases]
        return holders, steps, ready

    def visit(path):
        holders, steps, ready = replay(path)
        state = (tuple(sorted(holders.items())), tuple(sorted(steps)))
        if state in visited_states:
            return
        visited_states.add(state)
        if not steps:
            final_ready_groups.add(frozenset(ready))
            assert set(holders.values()) <= ready
        for step in steps:
            visit([*path, step])

    visit([])
    return final_ready_groups, len(visited_states)


class TestInterleavings:
    @pytest.mark.parametrize(
        "engine_sets",
        [
            ("abc", "abc"),
            ("abc", "bcd"),
            ("abc", "cde", "ace"),
            ("abcd", "bcd", "cda"),
        ],
    )
    def test_competing_groups_end_and_one_succeeds(self, engine_sets):
        """Guard against groups that deadlock or all fail.

        Every interleaving ends, only successful groups hold memory at the end, and at
        least one group succeeds.
        """
        final_ready_groups, state_count = run_interleavings(engine_sets)
        assert state_count > 10
        assert all(final_ready_groups)


class TestLead:
    def ready_group(self):
        groups, leases = make_groups()
        groups.start("g", make_parts("a", "b", "c"), 0.0)
        for name in ("a", "b", "c"):
            groups.on_part_reserved("g", name, 1.0)
        return groups, leases

    def test_reservation_taken_over_by_the_stream_is_not_lost(self):
        """Guard against ending a group when the stream takes over its reservation."""
        groups, leases = self.ready_group()
        assert groups.begin_stream("g", "a")
        (renew,) = (a for a in leases.tick(10.0) if getattr(a, "engine", "") == "a")
        for lost in leases.on_renewed(renew, renew.holding_ids, 10.0, 10.1):
            assert groups.on_lease_lost(lost.engine, lost.holding_id, 10.1) == []
        assert len(groups) == 1
        assert released_engines(leases, 10.2) == {"a"}
        groups.finish("g", 11.0)
        assert {"b", "c"} <= released_engines(leases, 11.0)

    def test_lost_part_ends_the_group_while_its_stream_runs(self):
        """Guard against a stream that continues after a part of its prompt is lost."""
        groups, leases = self.ready_group()
        groups.begin_stream("g", "a")
        (failed,) = groups.on_lease_lost("b", "g/b", 10.0)
        assert failed.failure.kind is ErrorKind.UPSTREAM_FAILED
        assert "c" in released_engines(leases, 10.0)
        assert not groups.begin_stream("g", "a")
