"""Test the states of peers and the exchange of rumors."""

from random import Random

import msgspec

from dandelionpond.identity import Identity
from dandelionpond.membership.messages import (
    Exchange,
    IncarnationSuperseded,
    PeerState,
    PlatformList,
    Rumor,
    SendExchange,
    Vm,
)
from dandelionpond.membership.peers import Membership
from dandelionpond.membership.settings import MembershipSettings
from dandelionpond.membership.table import EPOCH

SETTINGS = MembershipSettings()


def listing(revision, *names, state="running"):
    vms = tuple(Vm(name, "node", f"{name}:1", "d1", state) for name in names)
    return PlatformList(revision, vms)


def node(name="a", peers=("b", "c", "d"), now=0.0):
    identity = Identity(name, 1_000, 1)
    membership = Membership(identity, f"{name}:1", "d1", SETTINGS, Random(1), now)
    membership.platform_list_received(listing(1, name, *peers), now)
    return membership


def hello(name, started=1_000, heartbeat=1, state="serving", rumors=()):
    sender = Identity(name, started, 2)
    return Exchange(sender, f"{name}:1", "d1", state, heartbeat, rumors=rumors)


def about(subject, state, heartbeat=1, started=1_000, nonce=2):
    address = f"{subject}:1"
    return Rumor(subject, "node", state, started, nonce, heartbeat, address, "d1", "z")


def fail_until(membership, peer, until, now=0.0):
    """Tick each second, fail exchanges with `peer` and answer the others."""
    while now < until:
        now += 1.1
        for action in membership.tick(now):
            if isinstance(action, SendExchange):
                if action.peer == peer:
                    membership.exchange_failed(peer, now)
                else:
                    reply = hello(action.peer, heartbeat=int(now))
                    membership.exchange_received(reply, now, is_reply=True)
    return now


class TestStates:
    def test_silent_peer_becomes_suspect_then_gone(self):
        """Guard against a dead peer that stays in use."""
        membership = node()
        membership.exchange_received(hello("b"), 0.0)
        now = fail_until(membership, "b", 12.0)
        assert membership.state_of("b") is PeerState.SUSPECT
        fail_until(membership, "b", now + 32.0, now)
        assert membership.state_of("b") is PeerState.GONE
        assert membership.state_of("c") is PeerState.LIVE

    def test_old_messages_do_not_revive_a_gone_incarnation(self):
        """Guard against late messages that bring back a dead node."""
        membership = node()
        membership.exchange_received(hello("b", heartbeat=7), 0.0)
        membership.exchange_received(hello("c", rumors=(about("b", "gone", 7),)), 1.0)
        membership.exchange_received(hello("b", heartbeat=900), 2.0)
        membership.exchange_received(hello("c", rumors=(about("b", "live", 901),)), 2.0)
        membership.platform_list_received(listing(2, "a", "b", "c"), 2.0)
        assert membership.state_of("b") is PeerState.GONE

    def test_newer_incarnation_replaces_and_older_is_ignored(self):
        """Guard against a restarted node that is taken for its previous run."""
        membership = node()
        membership.exchange_received(hello("c", rumors=(about("b", "gone"),)), 1.0)
        membership.exchange_received(hello("b", started=2_000), 2.0)
        assert membership.state_of("b") is PeerState.LIVE
        membership.exchange_received(
            hello("c", rumors=(about("b", "gone", EPOCH * 9),)), 3.0
        )
        assert membership.state_of("b") is PeerState.LIVE
        assert membership.counts["old_messages"] == 1

    def test_refutation_revives_after_a_partition(self):
        """Guard against a healed partition whose sides never meet again."""
        one, two = node("a", ("b",)), node("b", ("a",))
        one.exchange_received(hello("b"), 0.0)
        identity = Identity("b", 1_000, 2)
        two = Membership(identity, "b:1", "d1", SETTINGS, Random(2), 0.0)
        two.platform_list_received(listing(1, "a", "b"), 0.0)
        now = fail_until(one, "b", 60.0)
        assert one.state_of("b") is PeerState.GONE
        for _ in range(20):
            now += 1.1
            two.tick(now)
            for action in one.tick(now):
                two.exchange_received(action.message, now)
                one.exchange_received(two.reply_to(action.message), now, is_reply=True)
        assert one.state_of("b") is PeerState.LIVE
        assert two.counts["refuted"] == 1

    def test_reply_corrects_what_is_behind_and_questions_change_nothing(self):
        """Guard against gone entries of a healed partition that mislead others."""
        membership = node()
        membership.exchange_received(hello("b", heartbeat=EPOCH + 5), 0.0)
        membership.exchange_received(hello("d", heartbeat=3), 0.0)
        questions = tuple(
            msgspec.structs.replace(about(name, "gone"), origin="") for name in "bd"
        )
        asked = hello("c", heartbeat=50, rumors=questions)
        membership.exchange_received(asked, 1.0)
        assert membership.state_of("b") is PeerState.LIVE
        assert membership.state_of("d") is PeerState.LIVE
        answers = membership.reply_to(asked).rumors
        known = [(r.subject, r.state, r.heartbeat) for r in answers if not r.origin]
        assert ("b", "live", EPOCH + 5) in known

    def test_leaving_ends_a_suspicion(self):
        """Guard against a planned stop that peers take for a crash."""
        leaver, other = node("b", ("a",)), node("a", ("b",))
        other.exchange_received(leaver.reply_to(hello("a")), 0.5)
        suspicion = about("b", "suspect", heartbeat=1, nonce=1)
        other.exchange_received(hello("c", rumors=(suspicion,)), 1.0)
        assert other.state_of("b") is PeerState.SUSPECT
        other.exchange_received(leaver.announce_leaving()[0].message, 1.5)
        assert other.state_of("b") is PeerState.LEAVING

    def test_leaving_wins_over_earlier_messages(self):
        """Guard against a late message that hides a planned stop."""
        leaver, other = node("b", ("a",)), node("a", ("b",))
        before = leaver.reply_to(hello("a"))
        action = leaver.announce_leaving()[0]
        other.exchange_received(action.message, 1.0)
        other.exchange_received(before, 1.5)
        assert other.state_of("b") is PeerState.LEAVING

    def test_stepped_back_clock_is_reported(self):
        """Guard against a restarted node that its peers ignore for ever."""
        membership, early = node(), hello("b", started=500)
        membership.exchange_received(hello("b"), 0.0)
        membership.exchange_received(early, 1.0)
        reply = membership.reply_to(early)
        restarted = Membership(early.sender, "b:1", "d1", SETTINGS, Random(3), 0.0)
        assert IncarnationSuperseded(1_000) in restarted.exchange_received(
            reply, 1.0, is_reply=True
        )


class TestPauses:
    def test_own_pause_suspects_nobody_and_makes_the_view_stale(self):
        """Guard against a resumed node that suspects peers for its own sleep."""
        membership = node()
        membership.exchange_received(hello("b"), 0.0)
        now = fail_until(membership, "b", 4.0)
        assert membership.is_fresh(now)
        sent = [action.peer for action in membership.tick(now + 1.2)]
        assert sent
        now += 600.0
        assert not membership.is_fresh(now)
        for peer in sent[1:]:
            membership.exchange_failed(peer, now)
        assert not membership.is_fresh(now)
        assert set(membership.active_names()) == {"b", "c", "d"}
        late = hello(sent[0], heartbeat=9)
        membership.exchange_received(late, now, is_reply=True)
        assert not membership.is_fresh(now)
        now = fail_until(membership, None, now + 1.5, now)
        assert membership.is_fresh(now)

    def test_suspicion_runs_again_after_a_pause(self):
        """Guard against a peer declared gone for a refutation missed in sleep."""
        membership = node()
        membership.exchange_received(hello("c", rumors=(about("b", "suspect"),)), 0.5)
        membership.tick(500.0)
        assert membership.state_of("b") is PeerState.SUSPECT


class TestPlatformList:
    def test_unheard_peers_are_kept_until_the_first_pass(self):
        """Guard against a starting node that prunes what it has not heard of yet."""
        membership = node()
        membership.platform_list_received(listing(2, "a"), 1.0)
        membership.platform_list_received(listing(1, "a", "x"), 1.0)
        assert membership.counts["stale_lists"] == 1
        assert membership.state_of("x") is None
        assert set(membership.active_names()) == {"b", "c", "d"}

    def test_unheard_peer_is_not_gone_before_the_first_pass(self):
        """Guard against a starting node, itself cut off, that declares all gone."""
        membership, now = node(), 0.0
        for _ in range(60):
            now += 1.1
            for action in membership.tick(now):
                membership.exchange_failed(action.peer, now)
        assert set(membership.active_names()) == {"b", "c", "d"}
        assert membership.state_of("b") is PeerState.SUSPECT

    def test_heartbeats_outweigh_a_lagging_list(self):
        """Guard against a list that lags and removes a running node."""
        membership = node()
        now = fail_until(membership, None, 5.0)
        membership.platform_list_received(listing(2, "a"), now)
        assert "b" in membership.active_names()


class TestBounds:
    def test_message_size_and_relays_are_bounded(self):
        """Guard against news that grows a message or is relayed for ever."""
        membership = node()
        membership.tick(1.0)
        crowd = tuple(about(f"n{index}", "live") for index in range(500))
        for start in range(0, 500, 32):
            membership.exchange_received(
                hello("b", rumors=crowd[start : start + 32]), 1.0
            )
        assert membership.next_tick_at <= 1.0 + SETTINGS.relay_spacing_s
        sent, now = [], 1.0
        for _ in range(200):
            now += 1.0
            sent += [a.message for a in membership.tick(now)]
        assert max(len(message.rumors) for message in sent) <= SETTINGS.max_rumors
        assert len(sent[-1].rumors) <= 2

    def test_known_peers_are_not_news_and_relays_are_paced(self):
        """Guard against a storm when nodes learn the fleet from each other."""
        membership = node()
        membership.tick(1.0)
        for index in range(100):
            old = msgspec.structs.replace(about(f"n{index}", "live"), origin="")
            membership.exchange_received(hello("b", rumors=(old,)), 1.0)
        assert membership.next_tick_at > 1.5
        assert membership.state_of("n99") is PeerState.LIVE
        now, relays = 1.0, 0
        for index in range(500):
            now += 0.01
            membership.exchange_received(
                hello("b", rumors=(about(f"m{index}", "live"),)), now
            )
            relays += bool(membership.tick(now))
        assert relays <= SETTINGS.relay_burst + 2 * 6
        assert membership.relays_deferred > 0

    def test_table_bound_removes_gone_first(self):
        """Guard against a table that grows with every restarted VM."""
        settings = msgspec.structs.replace(SETTINGS, max_peers=3)
        identity = Identity("a", 1, 1)
        membership = Membership(identity, "a:1", "d1", settings, Random(1), 0.0)
        membership.exchange_received(hello("b", rumors=(about("b", "gone"),)), 0.0)
        membership.exchange_received(hello("c", rumors=(about("d", "live"),)), 0.0)
        membership.exchange_received(hello("e"), 0.0)
        assert membership.state_of("b") is None
        membership.exchange_received(hello("f"), 0.0)
        assert membership.state_of("f") is None
        assert membership.state_of("e") is PeerState.LIVE
