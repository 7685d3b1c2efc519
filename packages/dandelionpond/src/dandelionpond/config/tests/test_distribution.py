"""Test which nodes read the platform and which revision a node accepts."""

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
from dandelionpond_standins.distribution_bench import FleetSimulation

NAMES = [f"n{i}" for i in range(6)]
RANKED_NAMES = top_ranked("a", NAMES, 6)
# The reader that reads revision 6 at once, and the one that defers the read.
FIRST_READER = owner("6", RANKED_NAMES[:2])
[SECOND_READER] = [name for name in RANKED_NAMES[:2] if name != FIRST_READER]
PEERS = tuple(Peer(name, "a") for name in NAMES)
SETTINGS = DistributionSettings()


def make_node(
    name: str, seeds: tuple[Peer, ...] = PEERS, seed: int = 1
) -> Distribution:
    """Return the distribution state of a node that starts at time 0."""
    return Distribution(name, "a", seeds, SETTINGS, random.Random(seed), 0.0)


def of_type(actions: list, action_type: type) -> list:
    """Return the actions of one type."""
    return [action for action in actions if isinstance(action, action_type)]


def make_watching_reader(
    revision: int = 5, name: str = FIRST_READER
) -> tuple[Distribution, WatchPlatform]:
    """Return a reader with a revision in effect, and its open watch."""
    reader = make_node(name)
    [fetch, *_] = of_type(reader.handle(PeersChanged(PEERS), 0.0), FetchFromPeer)
    reader.handle(PeerFetchCompleted(fetch.call_id, revision), 0.1)
    actions = reader.handle(OfferDecided(revision, OfferOutcome.ACCEPTED, "d"), 0.1)
    for step in range(1, 4):
        actions += reader.handle(Tick(), step * 0.4)
    [watch] = of_type(actions, WatchPlatform)
    return reader, watch


class TestReaders:
    def test_next_ranked_nodes_replace_lost_readers(self):
        """A failure domain must not stay without readers when its readers are lost."""
        third = make_node(RANKED_NAMES[2])
        third.handle(PeersChanged(PEERS), 0.0)
        assert third.readers == tuple(RANKED_NAMES[:2])
        assert not third.is_reader
        remaining_peers = tuple(
            peer for peer in PEERS if peer.name not in RANKED_NAMES[:2]
        )
        third.handle(PeersChanged(remaining_peers), 1.0)
        assert third.readers == tuple(RANKED_NAMES[2:4])
        assert third.is_reader

    def test_other_failure_domains_do_not_count(self):
        """A node must not select its readers from another failure domain."""
        reader = make_node("n0")
        reader.handle(PeersChanged(tuple(Peer(n, "b") for n in NAMES)), 0.0)
        assert reader.readers == ("n0",)

    def test_non_reader_never_calls_the_platform(self):
        """Only readers may call the platform; the whole fleet would overload it."""
        non_reader = make_node(RANKED_NAMES[5])
        actions = non_reader.handle(PeersChanged(PEERS), 0.0)
        for step in range(200):
            actions += non_reader.handle(Tick(), step * 0.5)
        assert of_type(actions, ReadFolder) == of_type(actions, WatchPlatform) == []
        assert non_reader.counters.peer_failures > 0


class TestStart:
    def test_peers_are_asked_before_the_platform(self):
        """A new node must not accept an older revision if the platform is behind.

        Its peers may have a newer one, so it asks them first.
        """
        new = make_node(RANKED_NAMES[0])
        actions = new.handle(PeersChanged(PEERS), 0.0) + new.handle(Tick(), 1.9)
        assert len(of_type(actions, FetchFromPeer)) >= SETTINGS.fetch_fanout
        assert not of_type(actions, ReadFolder)
        actions = new.handle(Tick(), 2.1) + new.handle(Tick(), 2.7)
        assert len(of_type(actions, ReadFolder)) == 1

    def test_platform_revision_older_than_a_peers_is_refused(self):
        """A new node must refuse a revision older than one that a peer reported."""
        new = make_node(RANKED_NAMES[0])
        new.handle(PeersChanged(PEERS), 0.0)
        [read] = of_type(new.handle(Tick(), 2.7), ReadFolder)
        new.handle(PeerRevision(RANKED_NAMES[3], 9, "d"), 2.8)
        assert not of_type(new.handle(FolderReadCompleted(read.call_id, 8), 2.9), Offer)
        assert new.counters.older_refused == 1

    def test_node_without_seeds_reads_at_once(self):
        """A single node must not wait for peers that do not exist."""
        assert of_type(make_node("n0", ()).handle(Tick(), 0.0), ReadFolder)


class TestRevisions:
    def test_new_revision_is_read_offered_and_announced(self):
        """A reader must offer a new revision to its node and announce it to peers."""
        reader, watch = make_watching_reader()
        assert watch.from_revision == 5
        [read] = of_type(
            reader.handle(WatchAnswered(watch.call_id, 6), 2.0), ReadFolder
        )
        assert reader.handle(FolderReadCompleted(read.call_id, 6), 2.1) == [
            Offer(read.call_id, 6)
        ]
        actions = reader.handle(OfferDecided(6, OfferOutcome.ACCEPTED, "e"), 2.2)
        assert actions[0] == Announce(6, "e")
        assert of_type(actions, WatchPlatform)[0].from_revision == 6

    def test_second_reader_prefers_the_revision_of_a_peer(self):
        """Only one reader should list all files for a change.

        The other ones wait a moment and fetch the change from a peer.
        """
        reader, watch = make_watching_reader(name=SECOND_READER)
        assert reader.handle(WatchAnswered(watch.call_id, 6), 2.0) == []
        [fetch] = reader.handle(PeerRevision(FIRST_READER, 6, "e"), 2.2)
        assert reader.handle(PeerFetchCompleted(fetch.call_id, 6), 2.3) == [
            Offer(fetch.call_id, 6)
        ]
        actions = reader.handle(OfferDecided(6, OfferOutcome.ACCEPTED, "e"), 2.3)
        actions += reader.handle(Tick(), 4.5)
        assert not of_type(actions, ReadFolder)
        assert [watch.from_revision for watch in of_type(actions, WatchPlatform)] == [6]

    def test_second_reader_reads_if_no_peer_sends_the_revision(self):
        """A new revision must be read although the first reader does not send it.

        The first reader may be cut off, paused or gone.
        """
        reader, watch = make_watching_reader(name=SECOND_READER)
        reader.handle(WatchAnswered(watch.call_id, 6), 2.0)
        longest_s = SETTINGS.read_stagger_s * 1.5
        [read] = reader.handle(Tick(), 2.0 + longest_s)
        assert isinstance(read, ReadFolder)
        assert reader.handle(FolderReadCompleted(read.call_id, 6), 3.6) == [
            Offer(read.call_id, 6)
        ]

    def test_lower_revision_is_refused_and_counted(self):
        """A reader must not follow a restarted platform to a lower revision."""
        reader, watch = make_watching_reader()
        assert reader.handle(WatchAnswered(watch.call_id, 2), 2.0) == []
        assert reader.counters.older_refused == 1
        assert reader.revision == 5

    def test_refused_revision_is_not_read_again(self):
        """A reader must not read an invalid revision again and again."""
        reader, watch = make_watching_reader()
        [read] = of_type(
            reader.handle(WatchAnswered(watch.call_id, 6), 2.0), ReadFolder
        )
        reader.handle(FolderReadCompleted(read.call_id, 6), 2.1)
        [next_action] = reader.handle(OfferDecided(6, OfferOutcome.REFUSED), 2.2)
        assert isinstance(next_action, WatchPlatform)
        assert next_action.from_revision == 6
        assert reader.revision == 5

    def test_watches_that_end_at_once_are_spaced_out(self):
        """A platform that ends each watch at once must not cause a busy loop."""
        reader, watch = make_watching_reader()
        count, now = 0, 1.2
        for _ in range(100):
            now += 0.01
            [*actions] = of_type(
                reader.handle(WatchAnswered(watch.call_id, 5), now), object
            )
            count += len(actions)
            watch = actions[0] if actions else watch
        assert count <= 2

    def test_failed_fetch_is_repeated_from_another_source(self):
        """A node must fetch a revision from another peer if one peer fails."""
        non_reader = make_node(RANKED_NAMES[5])
        [fetch, *_] = non_reader.handle(PeersChanged(PEERS), 0.0)
        non_reader.handle(PeerFetchCompleted(fetch.call_id, 5), 0.1)
        non_reader.handle(OfferDecided(5, OfferOutcome.ACCEPTED, "d"), 0.1)
        non_reader.handle(Tick(), 1.5)
        [first] = non_reader.handle(PeerRevision(RANKED_NAMES[1], 6, "e"), 1.6)
        assert non_reader.handle(PeerRevision(RANKED_NAMES[2], 6, "e"), 1.6) == []
        [second] = non_reader.handle(PeerFetchFailed(first.call_id), 1.7)
        assert {first.peer, second.peer} == {RANKED_NAMES[1], RANKED_NAMES[2]}

    def test_sources_are_bounded(self):
        """The table of peers with a newer revision must not grow with the fleet."""
        non_reader = make_node(RANKED_NAMES[5])
        for i in range(MAX_SOURCES + 3):
            non_reader.handle(PeerRevision(f"p{i}", 6, "e"), 0.1)
        assert non_reader.counters.sources_dropped >= 1


class TestPause:
    def test_watch_answer_from_before_a_pause_is_ignored(self):
        """A node must not use an answer that may date from before its pause.

        It asks its peers first, because they may have newer settings.
        """
        reader, watch = make_watching_reader()
        actions = reader.handle(WatchAnswered(watch.call_id, 6), 60.0)
        assert len(of_type(actions, FetchFromPeer)) == SETTINGS.fetch_fanout
        assert not of_type(actions, ReadFolder)
        assert reader.prefers_peers
        assert (reader.counters.pauses, reader.counters.late_ignored) == (1, 1)
        fetch = of_type(actions, FetchFromPeer)[0]
        actions = reader.handle(PeerFetchCompleted(fetch.call_id, 5), 60.1)
        assert not reader.prefers_peers
        assert of_type(actions + reader.handle(Tick(), 61.0), WatchPlatform)

    def test_old_answer_while_a_new_watch_is_open(self):
        """A late answer must not be taken for the answer to a newer call."""
        reader, old = make_watching_reader()
        fetch = of_type(reader.handle(Tick(), 60.0), FetchFromPeer)[0]
        actions = reader.handle(PeerFetchCompleted(fetch.call_id, 5), 60.1)
        [new] = of_type(actions + reader.handle(Tick(), 61.0), WatchPlatform)
        assert reader.handle(WatchAnswered(old.call_id, 6), 61.1) == []
        assert reader.counters.late_ignored == 1
        assert of_type(reader.handle(WatchAnswered(new.call_id, 6), 61.2), ReadFolder)


class TestBackoff:
    def test_retries_are_spread(self):
        """Readers must not all repeat a failed platform call at the same time."""
        times = []
        for seed in range(20):
            reader = make_node(RANKED_NAMES[0], (), seed)
            [read] = reader.handle(Tick(), 0.0)
            now = 0.0
            for _ in range(4):
                reader.handle(PlatformCallFailed(read.call_id), now)
                reads: list = []
                while not reads:
                    now += 0.01
                    reads = of_type(reader.handle(Tick(), now), ReadFolder)
                [read] = reads
            times.append(now)
        assert max(times) - min(times) > 2.0


class TestRandomEvents:
    def test_revision_never_decreases_and_old_answers_are_ignored(self):
        """No sequence of events may bring a node back to an older revision.

        Nor may a node offer a revision right after a pause, or call the platform while
        it is not a reader or asks its peers first.
        """
        rng = random.Random(11)
        for seed in range(60):
            reader, now, call_ids = (
                make_node(rng.choice(RANKED_NAMES), seed=seed),
                0.0,
                [0],
            )
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
                    assert not of_type(actions, Offer)
                for offer in of_type(actions, Offer):
                    assert offer.revision > highest
                    outcome = rng.choice([OfferOutcome.ACCEPTED, OfferOutcome.REFUSED])
                    actions += reader.handle(
                        OfferDecided(offer.revision, outcome, "d"), now
                    )
                assert reader.revision >= highest
                highest = reader.revision
                if not reader.is_reader or reader.prefers_peers:
                    assert not of_type(actions, ReadFolder) + of_type(
                        actions, WatchPlatform
                    )
                call_ids += [a.call_id for a in actions if hasattr(a, "call_id")]


class TestFleet:
    def test_lower_platform_revision_is_refused(self):
        """The fleet must not follow the platform back to an older revision."""
        fleet = FleetSimulation(60, domains=2, seed=5)
        fleet.platform_revision = 50
        fleet.run(10.0)
        fleet.platform_revision = 3
        fleet.run(60.0)
        assert set(fleet.revisions()) == {50}
        assert fleet.older_refused() > 0

    def test_calls_after_an_outage_are_bounded(self):
        """Readers must not overload the platform when it is back after an outage."""
        fleet = FleetSimulation(400, domains=8, seed=3)
        fleet.run(10.0)
        # Each of 16 readers makes one list, ten reads and one watch.
        assert max(fleet.calls_by_second.values()) <= 16 * 12
        fleet.calls_by_second.clear()
        fleet.is_platform_down = True
        fleet.run(40.0)
        fleet.is_platform_down = False
        fleet.publish()
        fleet.run(65.0)
        # Each reader makes one list, one read and up to three watches.
        assert max(fleet.calls_by_second.values()) <= 16 * 5
        assert set(fleet.revisions()) == {fleet.platform_revision}

    def test_revision_reaches_all_nodes_in_time(self):
        """A revision must reach every node within 5 s."""
        fleet = FleetSimulation(400, domains=8, seed=4)
        fleet.run(10.0)
        fleet.publish()
        fleet.run(15.0)
        assert set(fleet.revisions()) == {fleet.platform_revision}
