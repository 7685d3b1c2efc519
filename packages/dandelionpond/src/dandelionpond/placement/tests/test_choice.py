"""Test placement under the loads of heavy days, without a network.

Each class names the pattern that it answers. Engines are those of the users' sites:
passes of 51 steps, 177 prompt tokens a millisecond, eight requests at once.
"""

from random import Random

import pytest

from dandelionpond.memory.settings import MemorySettings
from dandelionpond.placement.choice import (
    EngineCandidate,
    Prompt,
    WorkerCandidate,
    place_call,
    place_group,
    place_prompt,
)
from dandelionpond.placement.engine_time import prefill_s
from dandelionpond.placement.jobs import IDLE, Job, JobTracker, Phase
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
LEDGER = Prompt(45_000, 2_000, 1.5, 0.6)
CASE = Prompt(154_000, 2_000, 3.0, 1.0)
NAMES = [f"e{number:02d}" for number in range(16)]


class Site:
    """Hold the shared picture of work on 16 engines, as one node sees it."""

    def __init__(self):
        self.book = JobTracker()
        self.now = 0.0
        self._requests = 0

    def engines(self, avoid=()):
        return [
            EngineCandidate(name, place, self.book.load(name, self.now))
            for place, name in enumerate(NAMES)
            if name not in avoid
        ]

    def place(self, prompt):
        return place_prompt(prompt, self.engines(), MODEL)

    def start(self, prompt, placement, is_writing=False):
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
        self.book.start(request, jobs, self.now)
        if is_writing:
            self.book.mark_decoding(request)
        return request

    def write(self, prompt, count):
        """Let `count` prompts be written, placed one after the other."""
        return [
            self.start(prompt, self.place(prompt), is_writing=True)
            for _ in range(count)
        ]

    def writers(self):
        return [len(self.book.load(name, self.now).writers) for name in NAMES]


class TestReadingTime:
    @pytest.mark.parametrize(
        ("tokens", "expected_s"),
        [(5_000, 0.03), (45_000, 0.44), (154_000, 3.05), (700_000, 49.0)],
    )
    def test_grows_with_the_square(self, tokens, expected_s):
        """Guard against a model that takes long prompts for cheap ones."""
        assert prefill_s(MODEL, tokens) == pytest.approx(expected_s, rel=0.04)


class TestCalmDay:
    def test_short_prompt_is_read_by_one_engine(self):
        """Guard against helpers where they bring nothing."""
        placement = Site().place(SHORT)
        assert placement.helpers == ()
        assert placement.first_event_s < 0.05

    def test_case_bundle_gets_helpers_and_comes_in_time(self):
        """Guard against long prompts that one engine reads for three seconds."""
        placement = Site().place(CASE)
        assert placement.helpers
        assert placement.first_event_s < 0.6 * CASE.target_s

    def test_short_and_long_prompts_start_from_other_ends(self):
        """Guard against long reads among answers that are written."""
        site = Site()
        short, case = site.place(SHORT), site.place(CASE)
        assert short.main == NAMES[0]
        assert case.main == NAMES[-1]


class TestShortBurst:
    """The pattern of 2.4 times the short prompts: 70 answers are written at once."""

    def test_answers_fill_engines_and_leave_others(self):
        """Guard against a long prompt that finds answers on every engine."""
        site = Site()
        site.write(SHORT, 60)
        writers = site.writers()
        assert max(writers) <= MODEL.slots
        assert writers.count(0) >= 6

    def test_no_answer_is_delayed_by_placement(self):
        """Guard against short prompts that crowd one engine's passes."""
        site = Site()
        for _ in range(90):
            placement = site.place(SHORT)
            assert placement.first_event_s < SHORT.target_s
            site.start(SHORT, placement, is_writing=True)

    def test_full_engines_take_nothing(self):
        """Guard against prompts that wait for a slot in an engine's queue."""
        site = Site()
        site.write(SHORT, 8 * len(NAMES))
        assert site.place(SHORT) is None


class TestLongBurst:
    """The pattern of 2.7 times the case bundles among few short prompts."""

    def test_bundles_avoid_engines_that_write_short_answers(self):
        """Guard against pauses of short answers while case bundles are read."""
        site = Site()
        site.write(SHORT, 10)
        busy = {NAMES[place] for place, count in enumerate(site.writers()) if count}
        for _ in range(4):
            placement = site.place(CASE)
            assert not busy & {placement.main, *placement.helpers}
            site.start(CASE, placement)

    def test_parts_never_overlap_on_an_engine(self):
        """Guard against a newer part that is read first and starves the older one."""
        site = Site()
        ends = dict.fromkeys(NAMES, 0.0)
        for _ in range(12):
            placement = site.place(CASE)
            names = (placement.main, *placement.helpers)
            starts = site.now + placement.start_delay_s
            for name in names:
                assert starts >= ends[name] - 0.01
                ends[name] = starts + placement.part_prefill_s
            site.start(CASE, placement)
            site.now += 0.15

    def test_memory_of_one_engine_is_not_given_twice(self):
        """Guard against a newer prompt whose memory preempts an older answer."""
        site = Site()
        mains = []
        for _ in range(6):
            placement = site.place(Prompt(200_000, 2_000, 3.0, 1.0))
            mains.append(placement.main)
            site.start(Prompt(200_000, 2_000, 3.0, 1.0), placement, is_writing=True)
        assert len(set(mains)) == 6


class TestBurstChange:
    """The pattern of a long burst that begins while a short one is written."""

    def test_late_answers_no_longer_keep_long_prompts_away(self):
        """Guard against delaying further engines to spare answers that are late."""
        site = Site()
        requests = site.write(SHORT, 6)
        engine = next(n for n, c in zip(NAMES, site.writers(), strict=True) if c)
        before = place_prompt(
            LEDGER, [e for e in site.engines() if e.instance == engine], MODEL
        )
        for request in requests:
            site.book.mark_late(request)
        after = place_prompt(
            LEDGER, [e for e in site.engines() if e.instance == engine], MODEL
        )
        assert after.cost < before.cost

    def test_a_lost_stream_weighs_more_than_a_late_one(self):
        """Guard against reads so long that clients of late answers give up."""
        site = Site()
        for request in site.write(SHORT, 6):
            site.book.mark_late(request)
        engine = next(n for n, c in zip(NAMES, site.writers(), strict=True) if c)
        only = [e for e in site.engines() if e.instance == engine]
        small = place_prompt(Prompt(60_000, 100, 9.0, 9.0), only, MODEL)
        large = place_prompt(Prompt(160_000, 100, 9.0, 9.0), only, MODEL)
        assert large.cost - small.cost > 1.0


class TestGreyEngine:
    """The pattern of an engine that fails part of its requests and answers probes."""

    def test_engine_that_fails_goes_last(self):
        """Guard against an engine that looks free because it fails."""
        site = Site()
        engines = [
            EngineCandidate("bad", 0, IDLE, failure_rate=0.3),
            *site.engines()[8:],
        ]
        for prompt in (SHORT, LEDGER, CASE):
            placement = place_prompt(prompt, engines, MODEL)
            assert "bad" not in (placement.main, *placement.helpers)


class TestGiantPrompt:
    """The pattern of prompts that need the memory of more than one engine."""

    def test_memory_is_reserved_on_several_engines(self):
        """Guard against a prompt that every engine refuses as if it were full."""
        site = Site()
        giant = Prompt(700_000, 2_000, 3.0, 1.0)
        assert site.place(giant) is None
        settings = MemorySettings(min_group_engines=2)
        placement = place_group(giant, site.engines(), MODEL, settings)
        assert sum(part.tokens for part in placement.reserved) >= giant.tokens
        engines = {part.engine for part in placement.reserved}
        assert placement.main in engines
        assert engines <= {placement.main, *placement.helpers}
        # The main engine's own memory takes one of the 16 entries of the list.
        assert len(placement.helpers) + 1 <= 16

    def test_no_memory_no_placement(self):
        """Guard against reservations that can only be refused."""
        site = Site()
        for _ in NAMES:
            placement = site.place(Prompt(290_000, 2_000, 3.0, 1.0))
            if placement is None:
                break
            site.start(Prompt(290_000, 2_000, 3.0, 1.0), placement, is_writing=True)
        settings = MemorySettings(min_group_engines=2)
        giant = Prompt(600_000, 2_000, 3.0, 1.0)
        assert place_group(giant, site.engines(), MODEL, settings) is None


class TestPlainCalls:
    def test_load_is_spread(self):
        """Guard against calls that crowd one of three small workers."""
        random = Random(3)
        outstanding = dict.fromkeys("abc", 0)
        for _ in range(18):
            workers = [
                WorkerCandidate(name, 6, count) for name, count in outstanding.items()
            ]
            outstanding[place_call(workers, True, random).instance] += 1
        assert set(outstanding.values()) <= {5, 6, 7}

    def test_worker_that_fails_fast_is_left(self):
        """Guard against least-loaded choice that feeds a failing worker."""
        random = Random(3)
        workers = [
            WorkerCandidate("bad", 6, 0, failure_rate=0.5),
            WorkerCandidate("good", 6, 3),
        ]
        chosen = {place_call(workers, True, random).instance for _ in range(50)}
        assert chosen == {"good"}

    def test_slow_worker_gets_less(self):
        """Guard against a grey worker that answers its probes."""
        workers = [
            WorkerCandidate("slow", 6, 0, latency_ratio=8.0),
            WorkerCandidate("good", 6, 4),
        ]
        assert place_call(workers, False, Random(1)).instance == "good"

    def test_no_worker(self):
        """Guard against an error where a refusal is due."""
        assert place_call([], True, Random(1)) is None
