"""Tests of the engine model."""

import random

from hypothesis import given, strategies as st

from dandelionpond_standins.engine_model import (
    EngineModel,
    EngineSpec,
    ExportedBlock,
    ModelRequest,
    RequestEvicted,
    RequestFinished,
    SubmitRefused,
    Submitted,
    TokensGenerated,
    ideal_ttft,
)


def ask(request_id, prompt_tokens=1_000, **fields):
    """Return a request of the owner `node/1` for the model `m`."""
    return ModelRequest(request_id, "node/1", "m", prompt_tokens, **fields)


def first_token_at(events, request_id):
    return next(
        event.at
        for event in events
        if isinstance(event, TokensGenerated) and event.request_id == request_id
    )


class TestBatching:
    def test_one_request_meets_the_ideal(self):
        """An idle engine must not delay a request by queueing."""
        spec = EngineSpec()
        engine = EngineModel(spec, 1)
        engine.submit(ask("a", 10_000, max_tokens=5), 3.0)
        events = engine.advance(10.0)
        expected_ttft_s = ideal_ttft(spec, 10_000, 0)
        assert abs(first_token_at(events, "a") - 3.0 - expected_ttft_s) < 1e-9
        assert sum(e.count for e in events if isinstance(e, TokensGenerated)) == 5
        assert isinstance(events[-1], RequestFinished)

    def test_skipping_equal_steps_changes_nothing(self):
        """Computing equal steps at once must give the same times as single steps.

        Up to the last request, one run advances in intervals shorter than a step and
        the other from request to request.
        """
        finish_times = []
        for interval in (0.003, 60.0):
            rng = random.Random(5)
            engine = EngineModel(EngineSpec(), 1)
            finished_at, now, arrival = {}, 0.0, 0.0
            for index in range(40):
                arrival += rng.expovariate(2.0)
                while now < arrival:
                    now = min(arrival, now + interval)
                    for event in engine.advance(now):
                        if isinstance(event, RequestFinished):
                            finished_at[event.request_id] = round(event.at, 6)
                prompt_tokens = rng.choice([500, 4_000, 30_000])
                engine.submit(ask(str(index), prompt_tokens, max_tokens=50), now)
            for event in engine.advance(600.0):
                if isinstance(event, RequestFinished):
                    finished_at[event.request_id] = round(event.at, 6)
            finish_times.append(finished_at)
        assert len(finish_times[0]) == 40
        assert finish_times[0] == finish_times[1]

    def test_next_event_is_never_late(self):
        """A caller that advances to `next_event_at` must get each event at its time.

        It must also get there in few calls, not one for each step.
        """
        engine = EngineModel(EngineSpec(), 1)
        engine.reports_progress = False
        engine.submit(ask("a", 50_000, max_tokens=300), 0.0)
        engine.submit(ask("b", 500, max_tokens=100, priority=1), 0.0)
        calls = 0
        while (at := engine.next_event_at()) is not None:
            calls += 1
            assert all(abs(event.at - at) < 1e-6 for event in engine.advance(at))
        assert calls < 60

    def test_smaller_priority_number_goes_first(self):
        """A long prompt must not delay a short one with a smaller priority number."""
        engine = EngineModel(EngineSpec(), 1)
        engine.submit(ask("long", 200_000, priority=5), 0.0)
        engine.submit(ask("short", 500, priority=0), 1.0)
        events = engine.advance(60.0)
        assert first_token_at(events, "short") < 1.3
        assert first_token_at(events, "long") > 9.0

    def test_resume_continues_at_the_offset(self):
        """A resumed request must not repeat or skip tokens."""
        engine = EngineModel(EngineSpec(), 1)
        engine.submit(ask("a", max_tokens=20, from_offset=15), 0.0)
        events = [e for e in engine.advance(9.0) if isinstance(e, TokensGenerated)]
        assert events[0].offset == 15
        assert sum(event.count for event in events) == 5


class TestMemory:
    def test_requests_wait_for_memory_and_all_of_it_returns(self):
        """Running requests must not exceed the memory, and all of it must become free.

        Only some of the requests fit at once, and they share cached prefixes.
        """
        spec = EngineSpec(kv_capacity_tokens=20_000, max_running=8)
        engine = EngineModel(spec, 1)
        for index in range(20):
            hashes = tuple(hash((index % 3, b)) for b in range(6_000 // 256))
            engine.submit(ask(str(index), 6_000, prefix_hashes=hashes), 0.0)
        now = 0.0
        while (at := engine.next_event_at()) is not None:
            now = at
            engine.advance(now)
            assert engine.kv_tokens_used <= spec.kv_capacity_tokens
        assert engine.kv_tokens_used == 0
        assert engine.holdings(now) == []

    def test_cached_prefix_shortens_prefill_and_is_evicted(self):
        """A cached prefix must shorten prefill and be evicted when memory is needed."""
        engine = EngineModel(EngineSpec(kv_capacity_tokens=9_000), 1)
        hashes = tuple(range(16))
        engine.submit(ask("a", 4_096 + 10, prefix_hashes=hashes), 0.0)
        engine.advance(5.0)
        submitted = engine.submit(ask("b", 4_096 + 10, prefix_hashes=hashes), 5.0)
        assert submitted == Submitted("b", 4_096)
        assert first_token_at(engine.advance(9.0), "b") < 5.02
        engine.submit(ask("c", 8_900), 9.0)
        engine.advance(20.0)
        assert [e.action for e in engine.cache_events(0, 21.0)] == ["stored", "removed"]
        assert engine.submit(ask("d", 4_106, prefix_hashes=hashes), 21.0) != Submitted(
            "d", 4_096
        )

    def test_abandoned_stream_stays_listed_until_cancelled(self):
        """Memory of an abandoned stream must be listed until it is cancelled."""
        engine = EngineModel(EngineSpec(), 1)
        engine.submit(ask("a", expires_in_s=5.0), 0.0)
        engine.abandon("a", 0.01)
        (holding,) = engine.holdings(100.0)
        assert (holding.owner, holding.expires_in_s) == ("node/1", -95.0)
        assert engine.cancel("a", 100.0)
        assert not engine.cancel("a", 100.0)
        assert engine.kv_tokens_used == 0

    def test_self_expiring_engine_evicts(self):
        """An engine with `self_expire` must evict a request after its expiry."""
        engine = EngineModel(EngineSpec(self_expire=True), 1)
        engine.submit(ask("a", 300_000, expires_in_s=5.0), 0.0)
        assert isinstance(engine.advance(6.0)[-1], RequestEvicted)
        assert engine.kv_tokens_used == 0

    def test_reservation_export_and_import(self):
        """Reservations, exports and imports must use memory until released."""
        engine = EngineModel(EngineSpec(kv_capacity_tokens=10_000), 1)
        assert engine.reserve("r", "n/1", 9_000, 10.0, 0.0)
        assert engine.reserve("r", "n/1", 9_000, 10.0, 0.0)
        assert not engine.reserve("s", "n/1", 2_000, 10.0, 0.0)
        refused = engine.submit(ask("x", 20_000), 0.0)
        assert refused == SubmitRefused("x", "too_large")
        engine.submit(ask("a", 4_106, reservation="r"), 0.0)
        engine.advance(5.0)
        block = ExportedBlock("e", "m", 4_096, tuple(range(16)))
        assert engine.import_("i", "n/1", block, 10.0, 5.0)
        assert engine.kv_tokens_used == 4_096
        assert engine.export("e", "n/1", "m", tuple(range(16)), 9.0, 5.0) == block
        assert engine.release("i", 6.0) and engine.release("e", 6.0)
        assert engine.kv_tokens_used == 0


class TestRandomUse:
    @given(st.integers(0, 10_000))
    def test_memory_is_never_exceeded_and_returns(self, seed):
        """Guard against accounting that drifts under any order of calls."""
        rng = random.Random(seed)
        spec = EngineSpec(kv_capacity_tokens=20_000, max_running=4)
        engine = EngineModel(spec, seed)
        now = 0.0
        for index in range(60):
            now += rng.choice([0.0, 0.05, 2.0])
            name = f"h{rng.randrange(12)}"
            blocks = tuple((rng.randrange(3), b) for b in range(rng.randrange(30)))
            hashes = tuple(b * 10 + blocks[0][0] for _, b in blocks)
            match rng.randrange(6):
                case 0 | 1 | 2:
                    tokens = 256 * len(hashes) + rng.randrange(1, 300)
                    size = rng.randrange(1, 200)
                    request = ask(name, tokens, prefix_hashes=hashes, max_tokens=size)
                    engine.submit(request, now)
                case 3:
                    engine.reserve(name, "n/1", rng.randrange(9_000), 9.0, now)
                case 4:
                    block = ExportedBlock("x", "m", 256 * len(hashes), hashes)
                    engine.import_(name, "n/1", block, 9.0, now)
                    engine.export(f"x{index}", "n/1", "m", hashes, 9.0, now)
                case 5:
                    engine.cancel(name, now)
            assert 0 <= engine.kv_tokens_used <= spec.kv_capacity_tokens
        for holding in engine.holdings(now):
            engine.cancel(holding.holding_id, now)
        assert engine.kv_tokens_used == 0
        report = engine.load(now + 100.0)
        assert report.queued_prefill_tokens == report.waiting_requests == 0


class TestReports:
    def test_load_lags(self):
        """A load report must not be fresher than one of a real engine.

        Reports of real engines lag; `report_lag_s` is the lag that the model assumes.
        """
        engine = EngineModel(EngineSpec(report_lag_s=1.0), 1)
        for tenths in range(20):
            engine.advance(tenths / 10)
        engine.submit(ask("a", 100_000), 2.0)
        assert engine.load(2.5).running_requests == 0
        assert engine.load(3.6).running_requests == 1

    def test_change_on_an_idle_engine_is_reported(self):
        """A reservation must appear in the load report although no request runs."""
        engine = EngineModel(EngineSpec(report_lag_s=1.0), 1)
        engine.reserve("r", "n/1", 100, 30.0, 10.0)
        assert engine.load(20.0).kv_tokens_used == 100

    def test_events_are_late_and_have_gaps(self):
        """Cache events must be late and some of them missing.

        Otherwise no test covers a reader that misses an event.
        """
        engine = EngineModel(EngineSpec(event_lag_s=2.0, event_gap_ratio=0.3), 1)
        for index in range(50):
            engine.submit(ask(str(index), 300, prefix_hashes=(index,)), 0.0)
        engine.advance(10.0)
        assert engine.cache_events(0, 2.0) == []
        sequence_numbers = [event.seq for event in engine.cache_events(0, 12.0)]
        assert sequence_numbers == sorted(sequence_numbers)
        assert 20 < len(sequence_numbers) < 50


class TestReservations:
    def test_reserved_memory_goes_to_its_request(self):
        """A waiting request must not take memory reserved for another request."""
        engine = EngineModel(EngineSpec(kv_capacity_tokens=10_000), 1)
        assert engine.reserve("g/e", "node/1", 6_000, 30.0, 0.0)
        engine.submit(ask("waiting", 5_000, max_tokens=10), 0.0)
        request = ask("reserved", 5_000, max_tokens=10, priority=9, reservation="g/e")
        engine.submit(request, 1.0)
        events = engine.advance(10.0)
        assert first_token_at(events, "reserved") < first_token_at(events, "waiting")
