"""Test the states of upstreams."""

import msgspec

from dandelionpond.membership.messages import (
    PlatformList,
    Rumor,
    SpreadRumor,
    UpstreamState,
    Vm,
)
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.upstreams import UpstreamView

SETTINGS = MembershipSettings()


def view(count=12, name="a", settings=SETTINGS):
    upstreams = UpstreamView(name, "d1", settings)
    upstreams.set_upstreams({f"u{index}": "d1" for index in range(count)})
    return upstreams


def listing(revision, state):
    return PlatformList(revision, (Vm("u1", "engine", "u1:1", "d1", state),))


def report(origin, state="suspect", domain="d1", subject="u1", version=0):
    return Rumor(
        subject,
        "upstream",
        state,
        heartbeat=version,
        failure_domain=domain,
        origin=origin,
    )


class TestLeaving:
    def test_first_source_wins_and_is_spread(self):
        """Guard against a leaving upstream that gets work until the list says so."""
        for act in (
            lambda upstreams: upstreams.upstream_answered("u1", True, 0.0),
            lambda upstreams: upstreams.rumor_received(report("b", "leaving"), 0.0),
            lambda upstreams: upstreams.platform_list_received(
                listing(1, "leaving"), 0.0
            ),
        ):
            upstreams = view()
            actions = act(upstreams)
            assert upstreams.state_of("u1") is UpstreamState.LEAVING
            assert any(isinstance(action, SpreadRumor) for action in actions)

    def test_returns_only_by_newer_list_or_own_answer(self):
        """Guard against a late rumor or an old list that brings an upstream back."""
        upstreams = view()
        upstreams.platform_list_received(listing(5, "leaving"), 0.0)
        upstreams.rumor_received(report("b", "live", version=99 << 16), 1.0)
        upstreams.platform_list_received(listing(4, "running"), 1.0)
        assert upstreams.state_of("u1") is UpstreamState.LEAVING
        upstreams.platform_list_received(listing(6, "running"), 2.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE
        upstreams.rumor_received(report("b", "leaving", version=5 << 16), 3.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE
        upstreams.upstream_answered("u1", True, 4.0)
        upstreams.upstream_answered("u1", False, 5.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE

    def test_own_answer_does_not_end_what_the_list_says(self):
        """Guard against work for an upstream that does not know yet that it stops."""
        one, two = view(name="a"), view(name="b")
        spread = one.platform_list_received(listing(5, "leaving"), 0.0)
        [rumor] = [action.rumor for action in spread if isinstance(action, SpreadRumor)]
        two.rumor_received(rumor, 0.0)
        for upstreams in (one, two):
            upstreams.upstream_answered("u1", False, 1.0)
            assert upstreams.state_of("u1") is UpstreamState.LEAVING
        # After a return that the list shows, the answer counts again on both.
        spread = one.platform_list_received(listing(6, "running"), 2.0)
        [rumor] = [action.rumor for action in spread if isinstance(action, SpreadRumor)]
        two.rumor_received(rumor, 2.0)
        assert two.state_of("u1") is UpstreamState.LEAVING
        two.upstream_answered("u1", False, 3.0)
        assert two.state_of("u1") is UpstreamState.LIVE
        # Both have the same version, so a later stop seen by one reaches the other.
        spread = two.upstream_answered("u1", True, 4.0)
        [rumor] = [action.rumor for action in spread if isinstance(action, SpreadRumor)]
        one.rumor_received(rumor, 4.0)
        assert one.state_of("u1") is UpstreamState.LEAVING

    def test_lagging_newer_list_does_not_end_leaving(self):
        """Guard against new work for a leaving upstream that the list shows running."""
        upstreams = view()
        upstreams.platform_list_received(listing(5, "running"), 0.0)
        upstreams.upstream_answered("u1", True, 1.0)
        upstreams.platform_list_received(listing(6, "running"), 2.0)
        assert upstreams.state_of("u1") is UpstreamState.LEAVING
        upstreams.platform_list_received(PlatformList(7, ()), 3.0)
        upstreams.platform_list_received(listing(8, "running"), 4.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE

    def test_list_older_than_the_known_return_is_ignored(self):
        """Guard against a node whose list lags behind the registration it heard of."""
        upstreams = view()
        upstreams.platform_list_received(listing(5, "running"), 0.0)
        upstreams.rumor_received(report("b", "leaving", version=9 << 16), 1.0)
        upstreams.platform_list_received(listing(6, "leaving"), 2.0)
        upstreams.platform_list_received(listing(7, "running"), 3.0)
        assert upstreams.state_of("u1") is UpstreamState.LEAVING
        upstreams.platform_list_received(listing(10, "running"), 4.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE

    def test_new_address_is_a_new_registration(self):
        """Guard against a replaced upstream that stays out of use."""
        upstreams = view()
        upstreams.platform_list_received(listing(5, "running"), 0.0)
        upstreams.upstream_answered("u1", True, 1.0)
        moved = Vm("u1", "engine", "u1:2", "d1", "running")
        upstreams.platform_list_received(PlatformList(6, (moved,)), 2.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE
        upstreams.platform_list_received(listing(7, "running"), 3.0)
        upstreams.upstream_answered("u1", True, 4.0)
        upstreams.platform_list_received(listing(8, "running"), 5.0)
        assert upstreams.state_of("u1") is UpstreamState.LEAVING

    def test_second_stop_is_heard_by_nodes_that_saw_a_later_list(self):
        """Guard against a rumor refused because another list revealed the return."""
        one, two = view(name="a"), view(name="b")
        for upstreams, revision in ((one, 6), (two, 9)):
            upstreams.platform_list_received(listing(5, "leaving"), 0.0)
            for action in upstreams.platform_list_received(
                listing(revision, "running"), 1.0
            ):
                if isinstance(action, SpreadRumor):
                    one.rumor_received(action.rumor, 1.0)
        spread = [
            action.rumor
            for action in one.upstream_answered("u1", True, 2.0)
            if isinstance(action, SpreadRumor)
        ]
        two.rumor_received(spread[0], 2.0)
        assert two.state_of("u1") is UpstreamState.LEAVING


class TestSuspicion:
    def test_own_suspicion_stays_local(self):
        """Guard against one node with a bad link that takes an upstream from all."""
        one, two = view(name="a"), view(name="b")
        for action in one.raise_suspicion("u1", 0.0):
            if isinstance(action, SpreadRumor):
                two.rumor_received(action.rumor, 0.0)
        assert one.state_of("u1") is UpstreamState.SUSPECT
        assert two.state_of("u1") is UpstreamState.LIVE

    def test_echo_of_a_withdrawn_suspicion_is_ignored(self):
        """Guard against an own rumor that comes back and takes out an upstream."""
        upstreams = view()
        upstreams.raise_suspicion("u1", 0.0)
        upstreams.withdraw_suspicion("u1", 1.0)
        upstreams.rumor_received(report("a"), 2.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE

    def test_quorum_of_distinct_reporters_ejects_until_reports_expire(self):
        """Guard against repeats that count twice and against lasting ejection."""
        upstreams = view()
        for origin in ("b", "b", "c"):
            upstreams.rumor_received(report(origin), 0.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE
        upstreams.rumor_received(report("d"), 0.0)
        assert upstreams.state_of("u1") is UpstreamState.EJECTED
        upstreams.tick(SETTINGS.suspicion_ttl_s)
        assert upstreams.state_of("u1") is UpstreamState.LIVE

    def test_another_domain_counts_as_one_reporter(self):
        """Guard against a bad link of one domain that ejects another's upstream."""
        upstreams = view()
        for index in range(20):
            upstreams.rumor_received(report(f"x{index}", domain="d2"), 0.0)
        upstreams.rumor_received(report("y", domain="d3"), 0.0)
        assert upstreams.state_of("u1") is UpstreamState.LIVE
        upstreams.rumor_received(report("b"), 0.0)
        assert upstreams.state_of("u1") is UpstreamState.EJECTED

    def test_share_taken_out_is_bounded(self):
        """Guard against a failure of the observer that empties the fleet."""
        upstreams = view()
        for index in range(12):
            upstreams.raise_suspicion(f"u{index}", 0.0)
        assert len(upstreams.live_upstreams()) == 8
        assert upstreams.counts["share_bound"] == 8


class TestPartition:
    def test_cut_off_domain_keeps_its_own_upstreams(self):
        """Guard against unreachable domains that use up the share of the own one."""
        upstreams = UpstreamView("a", "d1", SETTINGS)
        domains = ("d1", "d2", "d3")
        upstreams.set_upstreams({f"{d}-{i}": d for d in domains for i in range(6)})
        for index in range(6):
            upstreams.raise_suspicion(f"d2-{index}", 0.0)
            upstreams.raise_suspicion(f"d3-{index}", 0.0)
        assert len(upstreams.live_upstreams("d1")) == 6
        upstreams.raise_suspicion("d1-0", 0.0)
        assert upstreams.state_of("d1-0") is UpstreamState.SUSPECT
        assert len(upstreams.live_upstreams("d1")) == 5


class TestTable:
    def test_bound_removes_only_unconfigured(self):
        """Guard against a table that grows with every registration."""
        settings = msgspec.structs.replace(SETTINGS, max_upstreams=2)
        upstreams = view(2, settings=settings)
        upstreams.set_upstreams({"u1": "d1"})
        assert upstreams.state_of("u0") is UpstreamState.GONE
        upstreams.set_upstreams({"u1": "d1", "v": "d1", "w": "d1"})
        assert upstreams.state_of("v") is UpstreamState.LIVE
        assert upstreams.counts["table_full"] == 1
