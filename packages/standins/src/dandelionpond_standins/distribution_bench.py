"""Measure platform calls and the spread of a revision over decision objects.

This is a loop over `Distribution` objects with fixed message delays. It has no model of
a network beyond them.
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

TICK_S = 0.5
EXCHANGE_S = 1.0
FANOUT = 3
NEAR_S = 0.005
FAR_S = 0.040
PLATFORM_S = 0.002


class Spread(msgspec.Struct, frozen=True):
    """Report how a revision reached the nodes; `hops` is the longest chain."""

    nodes: int
    reached: int
    seconds_half: float
    seconds_99: float
    seconds_all: float
    hops: int


class FleetSimulation:
    """Run the decisions of many nodes against one platform revision counter.

    A folder read counts as one list and `files` reads for a node without settings or
    one read otherwise. Domains `2k` and `2k+1` are in one region.
    """

    def __init__(
        self,
        nodes: int,
        domains: int,
        seed: int,
        files: int = 10,
        knows_peers: bool = True,
    ) -> None:
        self.is_platform_down = False
        self.platform_revision = 1
        self.calls_by_second: Counter[int] = Counter()
        self.reached: dict[int, float] = {}
        self.hops: dict[int, int] = {}
        self._published = 0.0
        self._files = files
        self._rng = random.Random(seed)
        self._order = itertools.count()
        self._queue: list[tuple[float, int, int, m.DistributionEvent | None, int]] = []
        self._waiting: list[tuple[int, int, int]] = []
        self._now = 0.0
        self._domain = [i % domains for i in range(nodes)]
        peers = tuple(
            m.Peer(f"node-{i}", f"domain-{d}") for i, d in enumerate(self._domain)
        )
        settings = DistributionSettings()
        self._nodes = [
            Distribution(
                peer.name,
                peer.failure_domain,
                peers[:8],
                settings,
                random.Random(seed * 100_003 + i),
                0.0,
            )
            for i, peer in enumerate(peers)
        ]
        for i in range(nodes):
            if knows_peers:
                self._send(0.0, i, m.PeersChanged(peers))
            self._send(self._rng.uniform(0, TICK_S), i, m.Tick())
            self._send(self._rng.uniform(0, EXCHANGE_S), i, None)

    def revisions(self) -> list[int]:
        """Return the revision in force on each node."""
        return [node.revision for node in self._nodes]

    def older_refused(self) -> int:
        """Return how many older revisions the nodes refused."""
        return sum(node.counters.older_refused for node in self._nodes)

    def publish(self) -> None:
        """Publish one more revision and answer the waiting watches."""
        self.platform_revision += 1
        self._published = self._now
        self.reached.clear()
        self.hops.clear()
        if self.is_platform_down:
            return
        for i, call, _ in self._waiting:
            answer = m.WatchAnswered(call, self.platform_revision)
            self._send(PLATFORM_S, i, answer)
        self._waiting.clear()

    def run(self, until: float) -> None:
        """Handle all events up to a time in seconds."""
        while self._queue and self._queue[0][0] <= until:
            self._now, _, i, event, hop = heapq.heappop(self._queue)
            match event:
                case None:
                    self._exchange(i, hop)
                    self._send(EXCHANGE_S, i, None)
                    continue
                case m.Tick():
                    self._send(TICK_S, i, event)
            self._handle(i, event, hop)
        self._now = until

    def spread(self) -> Spread:
        """Return the time from publication to use over all nodes."""
        times = sorted(at - self._published for at in self.reached.values())
        return Spread(
            len(self._nodes),
            len(times),
            times[len(times) // 2],
            times[int(len(times) * 0.99)],
            times[-1],
            max(self.hops.values()),
        )

    def _send(
        self, delay: float, i: int, event: m.DistributionEvent | None, hop: int = 0
    ) -> None:
        item = (self._now + delay, next(self._order), i, event, hop)
        heapq.heappush(self._queue, item)

    def _delay(self, i: int, j: int) -> float:
        return NEAR_S if self._domain[i] // 2 == self._domain[j] // 2 else FAR_S

    def _exchange(self, i: int, hop: int) -> None:
        """Send revision and digest to `FANOUT` peers, which reply with theirs."""
        for j in self._rng.sample(range(len(self._nodes)), FANOUT):
            delay = self._delay(i, j)
            for source, target, after in ((i, j, delay), (j, i, 2 * delay)):
                # The reply carries the revision of the time it is sent; taking it one
                # delay earlier makes the spread slower than it is, never faster.
                revision = self._nodes[source].revision
                if revision > self._nodes[target].revision:
                    name, digest = f"node-{source}", str(revision)
                    event = m.PeerRevision(name, revision, digest)
                    self._send(after, target, event, self.hops.get(source, 0))

    def _handle(self, i: int, event: m.DistributionEvent, hop: int) -> None:
        for action in self._nodes[i].handle(event, self._now):
            match action:
                case m.ReadFolder(call):
                    self._read(i, call)
                case m.WatchPlatform(call, from_revision, wait_s):
                    self._watch(i, call, from_revision, wait_s)
                case m.FetchFromPeer(call, peer):
                    j = int(peer.removeprefix("node-"))
                    answer = m.PeerFetchCompleted(call, self._nodes[j].revision)
                    self._send(
                        2 * self._delay(i, j), i, answer, self.hops.get(j, 0) + 1
                    )
                case m.Offer(_, revision):
                    if revision == self.platform_revision:
                        self.reached[i] = self._now
                        self.hops[i] = hop
                    verdict = m.OfferDecided(
                        revision, m.OfferOutcome.ACCEPTED, str(revision)
                    )
                    self._handle(i, verdict, hop)
                case m.Announce():
                    self._exchange(i, hop)

    def _read(self, i: int, call: int) -> None:
        reads = 1 if self._nodes[i].revision else self._files
        if self.is_platform_down:
            self.calls_by_second[int(self._now)] += 1
            self._send(PLATFORM_S, i, m.PlatformCallFailed(call))
        else:
            self.calls_by_second[int(self._now)] += 1 + reads
            self._send(
                (1 + reads) * PLATFORM_S,
                i,
                m.FolderReadCompleted(call, self.platform_revision),
            )

    def _watch(self, i: int, call: int, from_revision: int, wait_s: float) -> None:
        self.calls_by_second[int(self._now)] += 1
        if self.is_platform_down:
            self._send(PLATFORM_S, i, m.PlatformCallFailed(call))
        elif self.platform_revision > from_revision:
            answer = m.WatchAnswered(call, self.platform_revision)
            self._send(PLATFORM_S, i, answer)
        else:
            self._waiting.append((i, call, from_revision))
            self._send(wait_s, i, m.WatchAnswered(call, self.platform_revision))


def _report(name: str, fleet: FleetSimulation, start: float) -> None:
    calls = fleet.calls_by_second
    peak = max(calls.values(), default=0)
    missing = sum(r != fleet.platform_revision for r in fleet.revisions())
    print(f"{name}: peak {peak} calls/s, {missing} nodes behind")
    print(f"  CPU {time.process_time() - start:.1f} s")


def main(nodes: int = 3_500, domains: int = 8, seed: int = 1) -> None:
    """Print the figures for an outage, for cold starts and for one revision."""
    start = time.process_time()
    fleet = FleetSimulation(nodes, domains, seed)
    fleet.run(15.0)
    _report("cold start, peers known", fleet, start)
    fleet.publish()
    fleet.run(25.0)
    print(" ", msgspec.json.encode(fleet.spread()).decode())
    fleet.calls_by_second.clear()
    fleet.is_platform_down = True
    fleet.run(85.0)
    fleet.is_platform_down = False
    fleet.publish()
    fleet.run(115.0)
    _report("60 s outage, then a new revision", fleet, start)
    print(" ", msgspec.json.encode(fleet.spread()).decode())
    start = time.process_time()
    fleet = FleetSimulation(nodes, domains, seed, knows_peers=False)
    fleet.run(40.0)
    _report("cold start, only seeds known, none serving", fleet, start)


if __name__ == "__main__":
    main()
