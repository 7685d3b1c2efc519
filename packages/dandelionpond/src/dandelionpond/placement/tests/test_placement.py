"""Test placement under the load patterns of peak days, without a network.

Each class covers one load pattern. The engine model has the figures of the users'
sites: 51 decode steps per pass, prefill of 177 tokens per millisecond, 8 slots.
"""

from random import Random

import pytest
import xxhash

from dandelionpond.memory.settings import MemorySettings
from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.jobs import IDLE, Job, JobTracker, Load, Phase, Stream
from dandelionpond.placement.placement import (
    EngineCandidate,
    Prompt,
    WorkerCandidate,
    place_call,
    place_group,
    place_prompt,
)
from dandelionpond.published.messages import EngineCostModel

MODEL = EngineCostModel(
    slots=8,
    memory_tokens=315_000,
    stride=51,
    step_s=0.00085,
    per_sequence_s=0.0000085,
    per_context_token_s=0.00000000285,
    read_tokens_per_s=177_000.0,
    per_pair_s=0.184e-9,
)
SHORT = Prompt(5_000, 3_000, 0.3, 0.25)
MEDIUM = Prompt(45_000, 2_000, 1.5, 0.6)
LONG = Prompt(154_000, 2_000, 3.0, 1.0)
NAMES = [f"e{number:02d}" for number in range(16)]


def hash_of(node, name):
    """Return a number that gives each node its own order of engines."""
    return xxhash.xxh64_intdigest(f"{node}/{name}".encode())


class Cluster:
    """The outstanding jobs on 16 engines, as one node sees them."""

    def __init__(self):
        self.jobs = JobTracker()
        self.now = 0.0
        self._requests = 0

    def engines(self, excluded=()):
        return [
            EngineCandidate(name, position, self.jobs.load(name, self.now))
            for position, name in enumerate(NAMES)
            if name not in excluded
        ]

    def place(self, prompt):
        return place_prompt(prompt, self.engines(), MODEL)

    def start(self, prompt, placement, is_decoding=False):
        self._requests += 1
        request = f"r{self._requests}"
        age, part = -placement.start_delay_s, placement.part_prefill_s
        jobs = [
            Job(
                placement.main,
                Phase.PREFILL,
                age,
                part,
                prompt.tokens,
                prompt.memory_tokens,
                prompt.gap_target_s,
                prompt.value,
            )
        ]
        jobs += [
            Job(name, Phase.HELPER_PREFILL, age, part) for name in placement.helpers
        ]
        self.jobs.start(request, jobs, self.now)
        if is_decoding:
            self.jobs.mark_decoding(request)
        return request

    def start_streams(self, prompt, count):
        """Place `count` prompts one after the other and start their streams."""
        return [
            self.start(prompt, self.place(prompt), is_decoding=True)
            for _ in range(count)
        ]

    def stream_counts(self):
        return [len(self.jobs.load(name, self.now).decoding) for name in NAMES]


class TestPrefillTime:
    @pytest.mark.parametrize(
        ("tokens", "expected_s"),
        [(5_000, 0.03), (45_000, 0.44), (154_000, 3.05), (700_000, 49.0)],
    )
    def test_grows_quadratically(self, tokens, expected_s):
        """Guard against a model that underestimates the prefill of long prompts."""
        assert prefill_s(MODEL, tokens) == pytest.approx(expected_s, rel=0.04)


class TestLowLoad:
    def test_short_prompt_gets_one_engine(self):
        """Guard against helpers for prompts that do not benefit from them."""
        placement = Cluster().place(SHORT)
        assert placement.helpers == ()
        assert placement.first_event_s < 0.05

    def test_long_prompt_gets_helpers_and_meets_its_target(self):
        """Guard against a long prompt whose prefill takes one engine three seconds."""
        placement = Cluster().place(LONG)
        assert placement.helpers
        assert placement.first_event_s < 0.6 * LONG.target_s

    def test_short_and_long_prompts_fill_engines_from_opposite_ends(self):
        """Guard against long prefills on engines that generate streams."""
        cluster = Cluster()
        short, long = cluster.place(SHORT), cluster.place(LONG)
        assert short.main == NAMES[0]
        assert long.main == NAMES[-1]


class TestShortBurst:
    """Load with 2.4 times the usual short prompts: 70 concurrent streams."""

    def test_streams_share_engines_and_leave_others_free(self):
        """Guard against a long prompt that finds streams on every engine."""
        cluster = Cluster()
        cluster.start_streams(SHORT, 60)
        counts = cluster.stream_counts()
        assert max(counts) <= MODEL.slots
        assert counts.count(0) >= 6

    def test_placement_delays_no_stream(self):
        """Guard against short prompts that overload one engine's passes."""
        cluster = Cluster()
        for _ in range(90):
            placement = cluster.place(SHORT)
            assert placement.first_event_s < SHORT.target_s
            cluster.start(SHORT, placement, is_decoding=True)

    def test_full_engines_get_no_prompt(self):
        """Guard against prompts that are queued at an engine without a free slot."""
        cluster = Cluster()
        cluster.start_streams(SHORT, 8 * len(NAMES))
        assert cluster.place(SHORT) is None


class TestBurstAtManyNodes:
    """Nodes that place short prompts before they hear of each other's."""

    def engines(self, node, loads):
        return [
            EngineCandidate(name, position, load, preference=hash_of(node, name))
            for position, (name, load) in enumerate(zip(NAMES, loads, strict=True))
        ]

    def test_nodes_choose_different_engines_of_about_equal_cost(self):
        """Guard against simultaneous prompts that all take one engine's last slot."""
        busy = Load(
            requests=3, decoding=(Stream(0.25, 1.6),) * 3, context_tokens=15_000
        )
        loads = [busy] * 8 + [IDLE] * 8
        mains = [
            place_prompt(SHORT, self.engines(node, loads), MODEL).main
            for node in range(16)
        ]
        assert max(mains.count(name) for name in mains) <= 6
        # The unused engines stay free for long prompts.
        assert set(mains) <= set(NAMES[:8])

    def test_much_cheaper_engine_is_chosen_by_all(self):
        """Guard against late prompts for the sake of spreading them."""
        full = Load(requests=7, decoding=(Stream(0.25, 1.6),) * 7, backlog_s=0.3)
        loads = [full] * 15 + [IDLE]
        mains = {
            place_prompt(SHORT, self.engines(node, loads), MODEL).main
            for node in range(16)
        }
        assert mains == {NAMES[15]}


class TestManyEnginesInEachDomain:
    """A large fleet in which nodes hear late of short prompts in other domains."""

    def engines(self, local_load):
        return [
            EngineCandidate(
                name,
                position,
                local_load if position < 8 else IDLE,
                is_remote=position >= 8,
                is_load_delayed=position >= 8,
            )
            for position, name in enumerate(NAMES)
        ]

    def test_short_prompt_uses_an_engine_of_its_own_domain(self):
        """Guard against short prompts on engines whose slots may be taken."""
        assert place_prompt(SHORT, self.engines(IDLE), MODEL).main in NAMES[:8]

    def test_full_domain_uses_engines_of_other_domains(self):
        """Guard against a refusal while other domains have free engines."""
        full = Load(requests=8, decoding=(Stream(0.25, 1.6),) * 8)
        assert place_prompt(SHORT, self.engines(full), MODEL).main in NAMES[8:]

    def test_long_prompt_uses_helpers_of_other_domains(self):
        """Guard against a late long prompt while other domains have free engines."""
        busy = Load(requests=6, decoding=(Stream(0.25, 1.6),) * 6, backlog_s=1.0)
        placement = place_prompt(LONG, self.engines(busy), MODEL)
        assert placement.first_event_s < LONG.target_s
        assert {placement.main, *placement.helpers} <= set(NAMES[8:])


class TestLongBurst:
    """Load with 2.7 times the usual long prompts and few short ones."""

    def test_long_prompts_avoid_engines_with_short_streams(self):
        """Guard against pauses in short streams during the prefill of long prompts."""
        cluster = Cluster()
        cluster.start_streams(SHORT, 10)
        busy = {
            NAMES[position]
            for position, count in enumerate(cluster.stream_counts())
            if count
        }
        for _ in range(4):
            placement = cluster.place(LONG)
            assert not busy & {placement.main, *placement.helpers}
            cluster.start(LONG, placement)

    def test_parts_never_overlap_on_an_engine(self):
        """Guard against a newer part that starves an older one.

        Engines prefill the newest part first.
        """
        cluster = Cluster()
        ends = dict.fromkeys(NAMES, 0.0)
        for _ in range(12):
            placement = cluster.place(LONG)
            names = (placement.main, *placement.helpers)
            start = cluster.now + placement.start_delay_s
            for name in names:
                assert start >= ends[name] - 0.01
                ends[name] = start + placement.part_prefill_s
            cluster.start(LONG, placement)
            cluster.now += 0.15

    def test_memory_of_an_engine_is_not_assigned_twice(self):
        """Guard against a newer prompt whose memory preempts an older stream."""
        cluster = Cluster()
        mains = []
        for _ in range(6):
            placement = cluster.place(Prompt(200_000, 2_000, 3.0, 1.0))
            mains.append(placement.main)
            cluster.start(Prompt(200_000, 2_000, 3.0, 1.0), placement, is_decoding=True)
        assert len(set(mains)) == 6


class TestLongBurstDuringShortBurst:
    """Load with a burst of long prompts while a short burst is still decoding."""

    def test_late_streams_do_not_repel_long_prompts(self):
        """Guard against a long prompt that delays streams on one more engine.

        That would happen if it were placed there only to spare streams that are already
        late.
        """
        cluster = Cluster()
        requests = cluster.start_streams(SHORT, 6)
        engine = next(
            name
            for name, count in zip(NAMES, cluster.stream_counts(), strict=True)
            if count
        )
        before = place_prompt(
            MEDIUM,
            [
                candidate
                for candidate in cluster.engines()
                if candidate.instance == engine
            ],
            MODEL,
        )
        for request in requests:
            cluster.jobs.mark_late(request)
        after = place_prompt(
            MEDIUM,
            [
                candidate
                for candidate in cluster.engines()
                if candidate.instance == engine
            ],
            MODEL,
        )
        assert after.cost < before.cost

    def test_disconnected_client_costs_more_than_late_stream(self):
        """Guard against prefills so long that clients of late streams disconnect."""
        cluster = Cluster()
        for request in cluster.start_streams(SHORT, 6):
            cluster.jobs.mark_late(request)
        engine = next(
            name
            for name, count in zip(NAMES, cluster.stream_counts(), strict=True)
            if count
        )
        candidates = [
            candidate for candidate in cluster.engines() if candidate.instance == engine
        ]
        small = place_prompt(Prompt(60_000, 100, 9.0, 9.0), candidates, MODEL)
        large = place_prompt(Prompt(160_000, 100, 9.0, 9.0), candidates, MODEL)
        assert large.cost - small.cost > 1.0


class TestGrayFailure:
    """Load on an engine that fails some of its requests but answers probes."""

    def test_failing_engine_is_avoided(self):
        """Guard against an engine that looks idle because its requests fail."""
        cluster = Cluster()
        engines = [
            EngineCandidate("bad", 0, IDLE, failure_rate=0.3),
            *cluster.engines()[8:],
        ]
        for prompt in (SHORT, MEDIUM, LONG):
            placement = place_prompt(prompt, engines, MODEL)
            assert "bad" not in (placement.main, *placement.helpers)


class TestOversizedPrompt:
    """Prompts that need the memory of more than one engine."""

    def test_memory_is_reserved_on_several_engines(self):
        """Guard against a prompt that every engine refuses for lack of memory."""
        cluster = Cluster()
        oversized = Prompt(700_000, 2_000, 3.0, 1.0)
        assert cluster.place(oversized) is None
        settings = MemorySettings(min_group_engines=2)
        placement = place_group(oversized, cluster.engines(), MODEL, settings)
        assert sum(part.tokens for part in placement.reserved) >= oversized.tokens
        engines = {part.engine for part in placement.reserved}
        assert placement.main in engines
        assert engines <= {placement.main, *placement.helpers}
        # The memory reserved on the main engine uses one of the 16 helper entries.
        assert len(placement.helpers) + 1 <= 16

    def test_no_placement_without_memory(self):
        """Guard against reservations that engines are bound to refuse."""
        cluster = Cluster()
        for _ in NAMES:
            placement = cluster.place(Prompt(290_000, 2_000, 3.0, 1.0))
            if placement is None:
                break
            cluster.start(Prompt(290_000, 2_000, 3.0, 1.0), placement, is_decoding=True)
        settings = MemorySettings(min_group_engines=2)
        oversized = Prompt(600_000, 2_000, 3.0, 1.0)
        assert place_group(oversized, cluster.engines(), MODEL, settings) is None


class TestPlainCalls:
    def test_load_is_spread(self):
        """Guard against calls that overload one of three small workers."""
        random = Random(3)
        outstanding = dict.fromkeys("abc", 0)
        for _ in range(18):
            workers = [
                WorkerCandidate(name, 6, count) for name, count in outstanding.items()
            ]
            outstanding[place_call(workers, True, random).instance] += 1
        assert set(outstanding.values()) <= {5, 6, 7}

    def test_failing_worker_is_avoided(self):
        """Guard against a least-loaded choice that prefers a fast-failing worker."""
        random = Random(3)
        workers = [
            WorkerCandidate("bad", 6, 0, failure_rate=0.5),
            WorkerCandidate("good", 6, 3),
        ]
        chosen = {place_call(workers, True, random).instance for _ in range(50)}
        assert chosen == {"good"}

    def test_slow_worker_is_avoided(self):
        """Guard against calls to a slow worker that looks idle and answers probes."""
        workers = [
            WorkerCandidate("slow", 6, 0, latency_ratio=8.0),
            WorkerCandidate("good", 6, 4),
        ]
        assert place_call(workers, False, Random(1)).instance == "good"

    def test_no_worker(self):
        """Guard against an exception where the caller expects None."""
        assert place_call([], True, Random(1)) is None
