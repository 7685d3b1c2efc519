"""Test who reads the platform and which revision a node takes."""

import random

from dandelionpond.config.distribution import MAX_SOURCES, Distribution
from dandelionpond.config.messages import (
    Announce,
    FetchFromPeer,
    FolderReadCompleted,
    Offer,
    OfferDecided,
    OfferOutcome,
    Peer,
    PeerFetchCompleted,
    PeerFetchFailed,
    PeerRevision,
    PeersChanged,
    PlatformCallFailed,
    ReadFolder,
    Tick,
    WatchAnswered,
    WatchPlatform,
)
from dandelionpond.config.settings import DistributionSettings
from dandelionpond.hashing import owner, top_ranked
from dandelionpond_standins.distribution_bench import Fleet

NAMES = [f"n{i}" for i in range(6)]
RANKED = top_ranked("a", NAMES, 6)
# The reader that reads revision 6 at once, and the one that leaves it to peers first.
FIRST = owner("6", RANKED[:2])
[SECOND] = [name for name in RANKED[:2] if name != FIRST]
PEERS = tuple(Peer(name, "a") for name in NAMES)
SETTINGS = DistributionSettings()


def node(name: str, seeds: tuple[Peer, ...] = PEERS, seed: int = 1) -> Distribution:
    """Return a node at time 0."""
    return Distribution(name, "a", seeds, SETTINGS, random.Random(seed), 0.0)


def only(actions: list, kind: type) -> list:
    """Return the actions of one kind."""
    return [action for action in actions if isinstance(action, kind)]


def watching(
    revision: int = 5, name: str = FIRST
) -> tuple[Distribution, WatchPlatform]:
    """Return a reader with a revision in force and its open watch."""
    reader = node(name)
    [fetch, *_] = only(reader.handle(PeersChanged(PEERS), 0.0), FetchFromPeer)
    reader.handle(PeerFetchCompleted(fetch.call_id, revision), 0.1)
    actions = reader.handle(OfferDecided(revision, OfferOutcome.ACCEPTED, "d"), 0.1)
    for step in range(1, 4):
        actions += reader.handle(Tick(), step * 0.4)
    [watch] = only(actions, WatchPlatform)
    return reader, watch


class TestReaders:
    def test_next_by_rank_take_over(self):
        """Guard against a failure domain without a reader."""
        third = node(RANKED[2])
        third.handle(PeersChanged(PEERS), 0.0)
        assert third.readers == tuple(RANKED[:2])
        assert not third.is_reader
        rest = tuple(peer for peer in PEERS if peer.name not in RANKED[:2])
        third.handle(PeersChanged(rest), 1.0)
        assert third.readers == tuple(RANKED[2:4])
        assert third.is_reader

    def test_other_failure_domains_do_not_count(self):
        """Guard against readers chosen from another failure domain."""
        reader = node("n0")
        reader.handle(PeersChanged(tuple(Peer(n, "b") for n in NAMES)), 0.0)
        assert reader.readers == ("n0",)

    def test_non_reader_never_calls_the_platform(self):
        """Guard against a fleet that reads the platform as a whole."""
        other = node(RANKED[5])
        actions = other.handle(PeersChanged(PEERS), 0.0)
        for step in range(200):
            actions += other.handle(Tick(), step * 0.5)
        assert only(actions, ReadFolder) == only(actions, WatchPlatform) == []
        assert other.counters.peer_failures > 0


class TestStart:
    def test_peers_come_before_the_platform(self):
        """Guard against a new node that takes an old answer of the platform."""
        new = node(RANKED[0])
        actions = new.handle(PeersChanged(PEERS), 0.0) + new.handle(Tick(), 1.9)
        assert len(only(actions, FetchFromPeer)) >= SETTINGS.fetch_fanout
        assert not only(actions, ReadFolder)
        actions = new.handle(Tick(), 2.1) + new.handle(Tick(), 2.7)
        assert len(only(actions, ReadFolder)) == 1

    def test_platform_older_than_a_peer(self):
        """Guard against an older revision while a peer can send the newer one."""
        new = node(RANKED[0])
        new.handle(PeersChanged(PEERS), 0.0)
        [read] = only(new.handle(Tick(), 2.7), ReadFolder)
        new.handle(PeerRevision(RANKED[3], 9, "d"), 2.8)
        assert not only(new.handle(FolderReadCompleted(read.call_id, 8), 2.9), Offer)
        assert new.counters.older_refused == 1

    def test_alone_without_seeds(self):
        """Guard against a single node that waits for peers it does not have."""
        assert only(node("n0", ()).handle(Tick(), 0.0), ReadFolder)


class TestRevisions:
    def test_new_revision_is_read_offered_and_announced(self):
        """Guard against a revision that stops at its reader."""
        reader, watch = watching()
        assert watch.from_revision == 5
        [read] = only(reader.handle(WatchAnswered(watch.call_id, 6), 2.0), ReadFolder)
        assert reader.handle(FolderReadCompleted(read.call_id, 6), 2.1) == [
            Offer(read.call_id, 6)
        ]
        actions = reader.handle(OfferDecided(6, OfferOutcome.ACCEPTED, "e"), 2.2)
        assert actions[0] == Announce(6, "e")
        assert only(actions, WatchPlatform)[0].from_revision == 6

    def test_second_reader_leaves_the_read_to_peers_first(self):
        """Guard against lists of all files on each reader for each change."""
        reader, watch = watching(name=SECOND)
        assert reader.handle(WatchAnswered(watch.call_id, 6), 2.0) == []
        [fetch] = reader.handle(PeerRevision(FIRST, 6, "e"), 2.2)
        assert reader.handle(PeerFetchCompleted(fetch.call_id, 6), 2.3) == [
            Offer(fetch.call_id, 6)
        ]
        actions = reader.handle(OfferDecided(6, OfferOutcome.ACCEPTED, "e"), 2.3)
        actions += reader.handle(Tick(), 4.5)
        assert not only(actions, ReadFolder)
        assert [watch.from_revision for watch in only(actions, WatchPlatform)] == [6]

    def test_second_reader_reads_what_no_peer_sends(self):
        """Guard against a revision that waits for a first reader that is gone."""
        reader, watch = watching(name=SECOND)
        reader.handle(WatchAnswered(watch.call_id, 6), 2.0)
        longest_s = SETTINGS.read_stagger_s * 1.5
        [read] = reader.handle(Tick(), 2.0 + longest_s)
        assert isinstance(read, ReadFolder)
        assert reader.handle(FolderReadCompleted(read.call_id, 6), 3.6) == [
            Offer(read.call_id, 6)
        ]

    def test_lower_numbers_are_counted(self):
        """Guard against a platform that restarted with lower numbers."""
        reader, watch = watching()
        assert reader.handle(WatchAnswered(watch.call_id, 2), 2.0) == []
        assert reader.counters.older_refused == 1
        assert reader.revision == 5

    def test_refused_revision_is_not_read_again(self):
        """Guard against a loop over an invalid revision."""
        reader, watch = watching()
        [read] = only(reader.handle(WatchAnswered(watch.call_id, 6), 2.0), ReadFolder)
        reader.handle(FolderReadCompleted(read.call_id, 6), 2.1)
        [again] = reader.handle(OfferDecided(6, OfferOutcome.REFUSED), 2.2)
        assert isinstance(again, WatchPlatform)
        assert again.from_revision == 6
        assert reader.revision == 5

    def test_watch_that_ends_at_once_is_paced(self):
        """Guard against a busy loop on a platform that does not wait."""
        reader, watch = watching()
        count, now = 0, 1.2
        for _ in range(100):
            now += 0.01
            [*found] = only(reader.handle(WatchAnswered(watch.call_id, 5), now), object)
            count += len(found)
            watch = found[0] if found else watch
        assert count <= 2

    def test_fetch_moves_to_the_next_source(self):
        """Guard against a node that waits on one dead peer."""
        other = node(RANKED[5])
        [fetch, *_] = other.handle(PeersChanged(PEERS), 0.0)
        other.handle(PeerFetchCompleted(fetch.call_id, 5), 0.1)
        other.handle(OfferDecided(5, OfferOutcome.ACCEPTED, "d"), 0.1)
        other.handle(Tick(), 1.5)
        [first] = other.handle(PeerRevision(RANKED[1], 6, "e"), 1.6)
        assert other.handle(PeerRevision(RANKED[2], 6, "e"), 1.6) == []
        [second] = other.handle(PeerFetchFailed(first.call_id), 1.7)
        assert {first.peer, second.peer} == {RANKED[1], RANKED[2]}

    def test_sources_are_bounded(self):
        """Guard against a table that grows with the fleet."""
        other = node(RANKED[5])
        for i in range(MAX_SOURCES + 3):
            other.handle(PeerRevision(f"p{i}", 6, "e"), 0.1)
        assert other.counters.sources_dropped >= 1


class TestPause:
    def test_old_watch_answer_is_not_trusted(self):
        """Guard against a resumed process that acts on an answer from before."""
        reader, watch = watching()
        actions = reader.handle(WatchAnswered(watch.call_id, 6), 60.0)
        assert len(only(actions, FetchFromPeer)) == SETTINGS.fetch_fanout
        assert not only(actions, ReadFolder)
        assert reader.prefers_peers
        assert (reader.counters.pauses, reader.counters.late_ignored) == (1, 1)
        fetch = only(actions, FetchFromPeer)[0]
        actions = reader.handle(PeerFetchCompleted(fetch.call_id, 5), 60.1)
        assert not reader.prefers_peers
        assert only(actions + reader.handle(Tick(), 61.0), WatchPlatform)

    def test_old_answer_while_a_new_watch_is_open(self):
        """Guard against an old answer that is taken for the answer to a new call."""
        reader, old = watching()
        fetch = only(reader.handle(Tick(), 60.0), FetchFromPeer)[0]
        actions = reader.handle(PeerFetchCompleted(fetch.call_id, 5), 60.1)
        [new] = only(actions + reader.handle(Tick(), 61.0), WatchPlatform)
        assert reader.handle(WatchAnswered(old.call_id, 6), 61.1) == []
        assert reader.counters.late_ignored == 1
        assert only(reader.handle(WatchAnswered(new.call_id, 6), 61.2), ReadFolder)


class TestBackoff:
    def test_failures_are_spread(self):
        """Guard against readers that return to the platform in step."""
        times = []
        for seed in range(20):
            reader = node(RANKED[0], (), seed)
            [read] = reader.handle(Tick(), 0.0)
            now = 0.0
            for _ in range(4):
                reader.handle(PlatformCallFailed(read.call_id), now)
                found: list = []
                while not found:
                    now += 0.01
                    found = only(reader.handle(Tick(), now), ReadFolder)
                [read] = found
            times.append(now)
        assert max(times) - min(times) > 2.0


class TestRandomEvents:
    def test_never_back_and_no_answer_from_before_a_pause(self):
        """Guard against an order of events that brings an older revision into force."""
        rng = random.Random(11)
        for seed in range(60):
            reader, now, call_ids = node(rng.choice(RANKED), seed=seed), 0.0, [0]
            highest = 0
            for _ in range(200):
                paused = rng.random() < 0.05
                now += 10.0 if paused else rng.uniform(0.0, 1.0)
                event = rng.choice(
                    [
                        Tick(),
                        PeersChanged(tuple(rng.sample(PEERS, rng.randint(0, 6)))),
                        PeerRevision(rng.choice(NAMES), rng.randint(0, 9), "d"),
                        WatchAnswered(rng.choice(call_ids[-4:]), rng.randint(0, 9)),
                        FolderReadCompleted(
                            rng.choice(call_ids[-4:]), rng.randint(0, 9)
                        ),
                        PeerFetchCompleted(
                            rng.choice(call_ids[-4:]), rng.randint(0, 9)
                        ),
                        PlatformCallFailed(rng.choice(call_ids[-4:])),
                        PeerFetchFailed(rng.choice(call_ids[-4:])),
                    ]
                )
                actions = reader.handle(event, now)
                if paused:
                    assert not only(actions, Offer)
                for offer in only(actions, Offer):
                    assert offer.revision > highest
                    outcome = rng.choice([OfferOutcome.ACCEPTED, OfferOutcome.REFUSED])
                    actions += reader.handle(
                        OfferDecided(offer.revision, outcome, "d"), now
                    )
                assert reader.revision >= highest
                highest = reader.revision
                if not reader.is_reader or reader.prefers_peers:
                    assert not only(actions, ReadFolder) + only(actions, WatchPlatform)
                call_ids += [a.call_id for a in actions if hasattr(a, "call_id")]


class TestFleet:
    def test_platform_with_lower_numbers(self):
        """Guard against a fleet that follows a platform back."""
        fleet = Fleet(60, domains=2, seed=5)
        fleet.platform_revision = 50
        fleet.run(10.0)
        fleet.platform_revision = 3
        fleet.run(60.0)
        assert set(fleet.revisions()) == {50}
        assert fleet.older_refused() > 0

    def test_platform_outage(self):
        """Guard against a rush on the platform when it returns."""
        fleet = Fleet(400, domains=8, seed=3)
        fleet.run(10.0)
        # 16 readers, each with a list, ten reads and a watch.
        assert max(fleet.calls_by_second.values()) <= 16 * 12
        fleet.calls_by_second.clear()
        fleet.platform_down = True
        fleet.run(40.0)
        fleet.platform_down = False
        fleet.publish()
        fleet.run(65.0)
        # A list, one read and up to three watches for each reader.
        assert max(fleet.calls_by_second.values()) <= 16 * 5
        assert set(fleet.revisions()) == {fleet.platform_revision}

    def test_spread(self):
        """Guard against a revision that misses nodes or takes over 5 s."""
        fleet = Fleet(400, domains=8, seed=4)
        fleet.run(10.0)
        fleet.publish()
        fleet.run(15.0)
        assert set(fleet.revisions()) == {fleet.platform_revision}
