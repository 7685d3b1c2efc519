"""Simulates how settings revisions reach a fleet and counts the platform calls.

The simulation runs one `Distribution` object per node. Messages have fixed delays;
nothing else of a network is modelled.
"""

import heapq
import itertools
import random
import time
from collections import Counter

import msgspec

from dandelionpond.config import messages as m
from dandelionpond.config.distribution import Distribution
from dandelionpond.config.settings import DistributionSettings

TICK_INTERVAL_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
FANOUT = 3
SAME_REGION_DELAY_S = 0.005
OTHER_REGION_DELAY_S = 0.040
PLATFORM_DELAY_S = 0.002


class Propagation(msgspec.Struct, frozen=True):
    """Propagation of one revision through the fleet.

    `reached` is the number of nodes that put the revision into effect. Half, 99% and
    all of them did so within `seconds_half`, `seconds_99` and `seconds_all` of the
    publication. `hops` is the length of the longest chain of fetches from peer to
    peer.
    """

    nodes: int
    reached: int
    seconds_half: float
    seconds_99: float
    seconds_all: float
    hops: int


class FleetSimulation:
    """Discrete-event simulation of nodes that get settings from one platform.

    The platform has only a revision counter, no files. Reading the folder counts as one
    list call plus `file_count` read calls for a node without settings, or one read call
    for any other node. Failure domains `2k` and `2k+1` are in the same region. With
    `knows_peers` false, a node starts with only its seeds, the first eight nodes. Times
    are in seconds.
    """

    def __init__(
        self,
        nodes: int,
        domains: int,
        seed: int,
        file_count: int = 10,
        knows_peers: bool = True,
    ) -> None:
        self.is_platform_down = False
        self.platform_revision = 1
        self.calls_by_second: Counter[int] = Counter()
        self.reached: dict[int, float] = {}
        self.hops: dict[int, int] = {}
        self._published_at = 0.0
        self._file_count = file_count
        self._rng = random.Random(seed)
        self._sequence = itertools.count()
        self._queue: list[tuple[float, int, int, m.DistributionEvent | None, int]] = []
        self._pending_watches: list[tuple[int, int, int]] = []
        self._now = 0.0
        self._domain_numbers = [index % domains for index in range(nodes)]
        peers = tuple(
            m.Peer(f"node-{index}", f"domain-{domain}")
            for index, domain in enumerate(self._domain_numbers)
        )
        settings = DistributionSettings()
        self._nodes = [
            Distribution(
                peer.name,
                peer.failure_domain,
                peers[:8],
                settings,
                random.Random(seed * 100_003 + index),
                0.0,
            )
            for index, peer in enumerate(peers)
        ]
        for index in range(nodes):
            if knows_peers:
                self._schedule(0.0, index, m.PeersChanged(peers))
            self._schedule(self._rng.uniform(0, TICK_INTERVAL_S), index, m.Tick())
            self._schedule(self._rng.uniform(0, EXCHANGE_INTERVAL_S), index, None)

    def revisions(self) -> list[int]:
        """Return the revision in effect on each node."""
        return [node.revision for node in self._nodes]

    def older_refused(self) -> int:
        """Return how many revisions the nodes refused because they were older."""
        return sum(node.counters.older_refused for node in self._nodes)

    def publish(self) -> None:
        """Publish the next revision and answer the pending watch calls."""
        self.platform_revision += 1
        self._published_at = self._now
        self.reached.clear()
        self.hops.clear()
        if self.is_platform_down:
            return
        for index, call_id, _ in self._pending_watches:
            reply = m.WatchAnswered(call_id, self.platform_revision)
            self._schedule(PLATFORM_DELAY_S, index, reply)
        self._pending_watches.clear()

    def run(self, until: float) -> None:
        """Process all events up to the simulated time `until`, in seconds."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, index, event, hop = heapq.heappop(self._queue)
            match event:
                case None:
                    self._exchange_with_peers(index, hop)
                    self._schedule(EXCHANGE_INTERVAL_S, index, None)
                    continue
                case m.Tick():
                    self._schedule(TICK_INTERVAL_S, index, event)
            self._handle(index, event, hop)
        self._now = until

    def propagation(self) -> Propagation:
        """Return how long the latest revision took to reach the nodes."""
        times = sorted(at - self._published_at for at in self.reached.values())
        return Propagation(
            len(self._nodes),
            len(times),
            times[len(times) // 2],
            times[int(len(times) * 0.99)],
            times[-1],
            max(self.hops.values()),
        )

    def _schedule(
        self, delay: float, index: int, event: m.DistributionEvent | None, hop: int = 0
    ) -> None:
        item = (self._now + delay, next(self._sequence), index, event, hop)
        heapq.heappush(self._queue, item)

    def _network_delay(self, index: int, peer_index: int) -> float:
        return (
            SAME_REGION_DELAY_S
            if self._domain_numbers[index] // 2 == self._domain_numbers[peer_index] // 2
            else OTHER_REGION_DELAY_S
        )

    def _exchange_with_peers(self, index: int, hop: int) -> None:
        """Exchange revision and digest with `FANOUT` random peers."""
        for peer_index in self._rng.sample(range(len(self._nodes)), FANOUT):
            delay = self._network_delay(index, peer_index)
            for source, target, arrival_delay in (
                (index, peer_index, delay),
                (peer_index, index, 2 * delay),
            ):
                # A real reply carries the peer's revision at the time of the reply.
                # Here it is read one delay earlier, which can only make propagation
                # slower than it is, never faster.
                revision = self._nodes[source].revision
                if revision > self._nodes[target].revision:
                    name, digest = f"node-{source}", str(revision)
                    event = m.PeerRevision(name, revision, digest)
                    self._schedule(
                        arrival_delay, target, event, self.hops.get(source, 0)
                    )

    def _handle(self, index: int, event: m.DistributionEvent, hop: int) -> None:
        for action in self._nodes[index].handle(event, self._now):
            match action:
                case m.ReadFolder(call_id):
                    self._read_folder(index, call_id)
                case m.WatchPlatform(call_id, from_revision, wait_s):
                    self._watch_platform(index, call_id, from_revision, wait_s)
                case m.FetchFromPeer(call_id, peer):
                    peer_index = int(peer.removeprefix("node-"))
                    reply = m.PeerFetchCompleted(
                        call_id, self._nodes[peer_index].revision
                    )
                    self._schedule(
                        2 * self._network_delay(index, peer_index),
                        index,
                        reply,
                        self.hops.get(peer_index, 0) + 1,
                    )
                case m.Offer(_, revision):
                    if revision == self.platform_revision:
                        self.reached[index] = self._now
                        self.hops[index] = hop
                    decision = m.OfferDecided(
                        revision, m.OfferOutcome.ACCEPTED, str(revision)
                    )
                    self._handle(index, decision, hop)
                case m.Announce():
                    self._exchange_with_peers(index, hop)

    def _read_folder(self, index: int, call_id: int) -> None:
        reads = 1 if self._nodes[index].revision else self._file_count
        if self.is_platform_down:
            self.calls_by_second[int(self._now)] += 1
            self._schedule(PLATFORM_DELAY_S, index, m.PlatformCallFailed(call_id))
        else:
            self.calls_by_second[int(self._now)] += 1 + reads
            self._schedule(
                (1 + reads) * PLATFORM_DELAY_S,
                index,
                m.FolderReadCompleted(call_id, self.platform_revision),
            )

    def _watch_platform(
        self, index: int, call_id: int, from_revision: int, wait_s: float
    ) -> None:
        self.calls_by_second[int(self._now)] += 1
        if self.is_platform_down:
            self._schedule(PLATFORM_DELAY_S, index, m.PlatformCallFailed(call_id))
        elif self.platform_revision > from_revision:
            reply = m.WatchAnswered(call_id, self.platform_revision)
            self._schedule(PLATFORM_DELAY_S, index, reply)
        else:
            self._pending_watches.append((index, call_id, from_revision))
            self._schedule(
                wait_s, index, m.WatchAnswered(call_id, self.platform_revision)
            )


def _print_report(label: str, fleet: FleetSimulation, start: float) -> None:
    calls = fleet.calls_by_second
    peak_calls = max(calls.values(), default=0)
    nodes_behind = sum(
        revision != fleet.platform_revision for revision in fleet.revisions()
    )
    print(f"{label}: peak {peak_calls} calls/s, {nodes_behind} nodes behind")
    print(f"  CPU {time.process_time() - start:.1f} s")


def main(nodes: int = 3_500, domains: int = 8, seed: int = 1) -> None:
    """Print the results of two cold starts, a new revision and a platform outage.

    In the second cold start the nodes know only their seeds.
    """
    start = time.process_time()
    fleet = FleetSimulation(nodes, domains, seed)
    fleet.run(15.0)
    _print_report("cold start, peers known", fleet, start)
    fleet.publish()
    fleet.run(25.0)
    print(" ", msgspec.json.encode(fleet.propagation()).decode())
    fleet.calls_by_second.clear()
    fleet.is_platform_down = True
    fleet.run(85.0)
    fleet.is_platform_down = False
    fleet.publish()
    fleet.run(115.0)
    _print_report("60 s outage, then a new revision", fleet, start)
    print(" ", msgspec.json.encode(fleet.propagation()).decode())
    start = time.process_time()
    fleet = FleetSimulation(nodes, domains, seed, knows_peers=False)
    fleet.run(40.0)
    _print_report("cold start, only seeds known, none serving", fleet, start)


if __name__ == "__main__":
    main()
