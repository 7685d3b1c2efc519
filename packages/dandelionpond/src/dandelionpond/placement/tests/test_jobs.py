"""Test the picture of outstanding work that nodes share."""

import pytest

from dandelionpond.placement.jobs import (
    PEER_WORK_TTL_S,
    RESIDUAL_SHARE,
    Job,
    JobTracker,
    Phase,
    Writer,
)

PREFILL, DECODE = Phase.PREFILL, Phase.DECODE


def reading(instance="e", prefill_s=0.1, age_s=0.0, **fields):
    return Job(instance, PREFILL, age_s, prefill_s, **fields)


def helping(instance, **fields):
    return Job(instance, Phase.HELPER_PREFILL, **fields)


class TestLoad:
    def test_backlog_is_worked_off(self):
        """Guard against an engine that looks busy after it has finished reading."""
        book = JobTracker()
        book.start("a", [reading(prefill_s=0.4)], 0.0)
        book.start("b", [reading(prefill_s=0.2)], 0.1)
        assert book.load("e", 0.1).backlog_s == pytest.approx(0.5)
        assert book.load("e", 0.4).backlog_s == pytest.approx(0.2)

    def test_read_that_should_be_over_leaves_a_rest(self):
        """Guard against parts that are starved of their last chunk by newer ones."""
        book = JobTracker()
        book.start("a", [reading(prefill_s=0.4)], 0.0)
        assert book.load("e", 2.0).backlog_s == pytest.approx(RESIDUAL_SHARE * 0.4)
        book.mark_decoding("a")
        assert book.load("e", 2.0).backlog_s == 0.0

    def test_planned_read_counts_from_its_start(self):
        """Guard against two prompts that are held for the same engine."""
        book = JobTracker()
        book.start("a", [reading(prefill_s=0.4)], 0.0)
        book.start("b", [reading(prefill_s=0.5, age_s=-0.4)], 0.0)
        assert book.load("e", 0.0).backlog_s == pytest.approx(0.9)

    def test_only_the_oldest_read_is_first(self):
        """Guard against a part that is sent while an earlier one is read."""
        book = JobTracker()
        book.start("a", [reading()], 0.0)
        book.start("b", [reading(age_s=-0.1, is_held=True)], 0.0)
        assert book.earlier_prefills_end_at("b", 0.2) == pytest.approx(0.1)
        book.mark_decoding("a")
        assert book.earlier_prefills_end_at("b", 0.2) is None

    def test_held_prompts_never_wait_for_each_other(self):
        """Guard against two long prompts that both wait until their holds run out.

        Each has its main engine where the other one has a helper.
        """
        book = JobTracker()
        held = {"prefill_s": 1.0, "is_held": True}
        book.start(
            "first",
            [reading("x", age_s=-0.5, **held), helping("y", age_s=-0.5, **held)],
            0,
        )
        book.start(
            "next",
            [reading("y", age_s=-0.9, **held), helping("x", age_s=-0.9, **held)],
            0.1,
        )
        assert book.earlier_prefills_end_at("first", 0.2) is None
        assert book.earlier_prefills_end_at("next", 0.2) == pytest.approx(1.5)

    def test_prompt_sent_late_is_not_overtaken(self):
        """Guard against giant prompts in one second that overtake each other.

        One that is held longer than planned ends later than planned, and the next one
        must not be sent into its reading.
        """
        book = JobTracker()
        book.start("late", [reading("x", age_s=-0.5, prefill_s=3.0, is_held=True)], 0.0)
        book.start("next", [reading("x", age_s=-2.0, prefill_s=5.0, is_held=True)], 0.1)
        book.mark_sent("late", 2.4)
        assert book.earlier_prefills_end_at("next", 2.5) == pytest.approx(5.4)
        assert book.load("x", 2.4).backlog_s == pytest.approx(8.0)

    def test_short_reads_do_not_hold_a_long_prompt(self):
        """Guard against a stream of short prompts that holds a long one for good."""
        book = JobTracker()
        book.start("long", [reading("x", age_s=-0.5, prefill_s=3.0, is_held=True)], 0.0)
        book.start("short", [reading("x", prefill_s=0.03)], 0.6)
        assert book.earlier_prefills_end_at("long", 0.6) is None

    def test_reading_requests_are_known_as_writers_to_come(self):
        """Guard against a giant part read while answers that begin before it wait."""
        book = JobTracker()
        book.start("a", [reading("x", gap_target_s=0.2, value=3.0)], 0.0)
        load = book.load("x", 0.0)
        assert (load.writers, load.readers) == ((), (Writer(0.2, 3.0, False),))

    def test_held_work_counts_as_work_to_come(self):
        """Guard against an engine that looks free while a prompt waits for it."""
        book = JobTracker()
        book.start("held", [reading("x", age_s=-0.5, prefill_s=3.0, is_held=True)], 0.0)
        assert book.load("x", 2.0).backlog_s == pytest.approx(3.0)

    def test_idle_time_is_not_saved(self):
        """Guard against an idle pause that hides later reading."""
        book = JobTracker()
        book.start("a", [reading(prefill_s=0.1)], 0.0)
        book.start("b", [reading(prefill_s=0.3)], 5.0)
        assert book.load("e", 5.0).backlog_s == pytest.approx(0.3)

    def test_first_event_turns_reading_into_writing(self):
        """Guard against helpers that stay busy, and memory that is forgotten."""
        book = JobTracker()
        jobs = [
            reading("main", context_tokens=50, memory_tokens=60, gap_target_s=0.2),
            Job("plain", Phase.HELPER_PREFILL, 0.0, 0.1),
            Job("holder", Phase.HELPER_PREFILL, 0.0, 0.1, 40, 40),
        ]
        book.start("a", jobs, 0.0)
        assert book.load("plain", 0.0).helping == 1
        book.mark_decoding("a")
        main = book.load("main", 0.1)
        assert (main.requests, main.context_tokens, main.memory_tokens) == (1, 50, 60)
        assert [one.gap_target_s for one in main.writers] == [0.2]
        assert book.load("plain", 0.1).helping == 0
        holder = book.load("holder", 0.1)
        assert (holder.requests, holder.memory_tokens, holder.context_tokens) == (
            0,
            40,
            40,
        )

    def test_end_leaves_nothing(self):
        """Guard against work that stays in the book for ever."""
        book = JobTracker()
        book.start("a", [reading()], 0.0)
        book.finish("a")
        assert book.load("e", 0.0).requests == 0
        assert book.own_request_count == 0


class TestPeers:
    def test_peers_add_up(self):
        """Guard against many nodes that see an engine as free and all send there."""
        book = JobTracker()
        for number in range(3):
            book.update_peer(f"p{number}", [reading(prefill_s=0.1, age_s=0.05)], 1.0)
        load = book.load("e", 1.0)
        assert load.requests == 3
        assert load.backlog_s == pytest.approx(0.25)

    def test_newer_message_replaces(self):
        """Guard against work of a peer that is counted twice."""
        book = JobTracker()
        book.update_peer("p", [reading(), reading()], 0.0)
        book.update_peer("p", [reading()], 0.1)
        assert book.load("e", 0.1).requests == 1

    def test_silent_peer_expires(self):
        """Guard against engines that stay full of a dead node's work."""
        book = JobTracker()
        book.update_peer("p", [reading()], 0.0)
        book.expire_peers(PEER_WORK_TTL_S - 0.1)
        assert book.load("e", 0.0).requests == 1
        book.expire_peers(PEER_WORK_TTL_S + 0.1)
        assert book.load("e", 0.0).requests == 0

    def test_own_jobs_carry_their_age(self):
        """Guard against peers that count a job from the time they heard of it."""
        book = JobTracker()
        book.start("a", [reading()], 10.0)
        assert [job.age_s for job in book.own_jobs(10.25)] == [0.25]
