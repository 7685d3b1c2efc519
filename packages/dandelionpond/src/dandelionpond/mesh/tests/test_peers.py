"""Test which peers count as live and what each node costs."""

from random import Random

import msgspec
import pytest

from dandelionpond.mesh.messages import Beat, decode, encode, pack, unpack
from dandelionpond.mesh.peers import (
    BEAT_S,
    FORGET_S,
    MAX_BEATS_PER_S,
    MAX_PEERS,
    PeerTable,
)
from dandelionpond.placement.jobs import Job, Phase

SELF = "10.0.0.1:7000"


def beat(node="n", started_ms=5, sequence=1, domain="a", **fields):
    return Beat(
        node, f"{node}:1", started_ms, sequence, domain, False, 0, 0, 0, -1, **fields
    )


def book(*seeds):
    return PeerTable(SELF, seeds, Random(1))


class TestBeat:
    def test_survives_the_wire(self):
        """Guard against a datagram that peers cannot read."""
        jobs = (
            Job("e", Phase.PREFILL, -0.25, 0.2, 5_000, 6_000, 0.25, 1.6, True),
            Job("f", Phase.HELPER_PREFILL, 0.1, 0.2),
        )
        sent = beat(jobs=pack(jobs), peers=("x:1",))
        assert decode(encode(sent)) == sent
        assert unpack(sent.jobs) == jobs

    def test_news_is_small(self):
        """Guard against datagrams that make up most bytes between domains."""
        jobs = [
            Job("i-82b60f5048", Phase.HELPER_PREFILL, 0.123, 0.456) for _ in range(16)
        ]
        assert len(encode(beat(jobs=pack(jobs)))) < 16 * 30 + 60

    @pytest.mark.parametrize("data", [b"", b"\x00", b"x" * 40, b"\x93\x01\x02\x03"])
    def test_garbage_is_refused(self, data):
        """Guard against a datagram from elsewhere that ends the process."""
        with pytest.raises(msgspec.MsgspecError):
            decode(data)


class TestHear:
    def test_late_beat_is_dropped(self):
        """Guard against older work that replaces newer."""
        peers = book()
        assert peers.hear("p:1", beat(sequence=2), 0.0)
        assert not peers.hear("p:1", beat(sequence=1), 0.1)

    def test_restart_after_a_clock_step_back_is_heard(self):
        """Guard against a node that stays silent because its clock stepped back."""
        peers = book()
        peers.hear("p:1", beat(started_ms=9_000, sequence=50), 0.0)
        assert peers.hear("p:1", beat(started_ms=7_000, sequence=1), 1.0)
        assert not peers.hear("p:1", beat(started_ms=9_000, sequence=51), 1.1)

    def test_peers_of_peers_are_learned(self):
        """Guard against a node that knows its seeds only."""
        peers = book("s:1")
        peers.hear("s:1", beat(peers=("x:1", "y:1", SELF)), 0.0)
        assert set(peers.addresses) == {"s:1", "x:1", "y:1"}

    def test_number_of_peers_is_bounded(self):
        """Guard against a table that a broken peer fills."""
        peers = book()
        for number in range(MAX_PEERS + 5):
            peers.hear(f"p{number}:1", beat(node=f"n{number}"), 0.0)
        assert len(peers.addresses) == MAX_PEERS
        assert peers.counters["at_bound"] == 5


class TestDue:
    def test_cost_is_flat_in_the_size_of_the_fleet(self):
        """Guard against beats that grow with the square of the fleet."""
        peers = book(*(f"p{number}:1" for number in range(400)))
        assert len(peers.due(0.0)) / peers.interval_s <= MAX_BEATS_PER_S + 1

    def test_small_fleet_beats_often(self):
        """Guard against slow news in a small fleet."""
        assert book("p:1").interval_s == BEAT_S

    def test_silent_peer_is_asked_seldom_and_then_forgotten(self):
        """Guard against a fleet that keeps the addresses of replaced VMs."""
        peers = book()
        peers.hear("p:1", beat(), 0.0)
        asked = [bool(peers.due(5.0 + step * 0.5)) for step in range(40)]
        assert 0 < sum(asked) < 40
        assert peers.due(FORGET_S + 1.0) == []
        assert peers.addresses == ()


class TestRoutes:
    """The pattern of a large fleet whose bytes between failure domains are dear."""

    def fleet(self):
        peers = book()
        for domain in "abc":
            for number in range(5):
                name = f"{domain}{number}"
                peers.hear(f"{name}:1", beat(name, domain=domain), 0.0)
        return peers

    def test_one_peer_of_each_other_domain(self):
        """Guard against news that cross to every node of another domain."""
        peers = self.fleet()
        routes = peers.routes(peers.addresses, "a", 0.1)
        assert sorted(routes.direct) == [f"a{number}:1" for number in range(5)]
        assert sorted(address[0] for address in routes.relays) == ["b", "c"]

    def test_relay_changes(self):
        """Guard against a dead relay that hides a domain from its peers."""
        peers = self.fleet()
        drawn = {peers.routes(peers.addresses, "a", 0.1).relays for _ in range(50)}
        assert len(drawn) > 5

    def test_silent_and_unknown_peers_are_asked_directly(self):
        """Guard against sides of a cut that never meet again."""
        peers = self.fleet()
        routes = peers.routes((*peers.addresses, "new:1"), "a", 60.0)
        assert len(routes.direct) == 16
        assert routes.relays == ()


class TestSilentDomains:
    def test_domain_that_fell_silent(self):
        """Guard against waiting for each upstream beyond a cut to time out."""
        peers = book()
        peers.hear("a:1", beat("a1", domain="a"), 0.0)
        peers.hear("b:1", beat("b1", domain="b"), 0.0)
        peers.hear("a:1", beat("a1", sequence=2, domain="a"), 3.0)
        assert peers.silent_domains(3.0, 1.6) == frozenset({"b"})

    def test_own_isolation_says_nothing(self):
        """Guard against a node that is cut off and avoids every upstream."""
        peers = book()
        peers.hear("a:1", beat("a1", domain="a"), 0.0)
        peers.hear("b:1", beat("b1", domain="b"), 0.0)
        assert peers.silent_domains(9.0, 1.6) == frozenset()


class TestUnresponsive:
    """The pattern of engines that are taken away while the platform is down."""

    def test_one_near_peer_or_two_others(self):
        """Guard against each node that waits for each dead upstream by itself."""
        peers = book()
        peers.hear("a:1", beat("a1", unresponsive=("x",)), 0.0)
        peers.hear("b:1", beat("b1", domain="b", unresponsive=("y", "z")), 0.0)
        assert peers.unresponsive_upstreams("a", 0.1) == frozenset({"x"})
        peers.hear("c:1", beat("c1", domain="c", unresponsive=("y",)), 0.0)
        assert peers.unresponsive_upstreams("a", 0.1) == frozenset({"x", "y"})

    def test_silent_peer_says_nothing(self):
        """Guard against upstreams that stay out by the word of a dead node."""
        peers = book()
        peers.hear("a:1", beat("a1", unresponsive=("x",)), 0.0)
        assert peers.unresponsive_upstreams("a", 60.0) == frozenset()
