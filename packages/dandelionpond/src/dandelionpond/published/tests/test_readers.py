"""Test that few nodes read the store and that others take over from them."""

from itertools import pairwise

from dandelionpond.published.readers import (
    MAX_BACKOFF_S,
    MAX_TAKEOVER_STEPS,
    READ_INTERVAL_S,
    TAKEOVER_AGE_S,
    TAKEOVER_STEP_S,
    ReaderCandidate,
    ReadSchedule,
    reader_rank,
)


def nodes(*names, domain="a"):
    return [ReaderCandidate(name, domain) for name in names]


class TestReaderRank:
    def test_all_nodes_compute_the_same_order(self):
        """Guard against a failure domain in which every node reads."""
        names = [f"n{number}" for number in range(40)]
        ranks = {name: reader_rank(name, "a", nodes(*names)) for name in names}
        assert sorted(ranks.values()) == list(range(40))
        assert ranks == {n: reader_rank(n, "a", nodes(*reversed(names))) for n in names}

    def test_other_domains_do_not_count(self):
        """Guard against a partitioned domain whose reader is outside the partition."""
        remote = nodes(*(f"x{number}" for number in range(9)), domain="b")
        assert reader_rank("n", "a", [*remote, *nodes("n")]) == 0

    def test_small_vms_rank_last(self):
        """Guard against a domain that waits for a reader with a slow link."""
        fleet = [ReaderCandidate(f"n{n}", "a", 7 + n) for n in range(9)]
        order = sorted(fleet, key=lambda node: reader_rank(node.name, "a", fleet))
        assert [node.capacity for node in order] == list(range(15, 6, -1))


class TestReadSchedule:
    def test_reader_reads_each_interval(self):
        """Guard against a reader that reads at every check."""
        schedule = ReadSchedule()
        schedule.read_started(0.0)
        assert not schedule.is_due(READ_INTERVAL_S / 2, 0, 0.1)
        assert schedule.is_due(READ_INTERVAL_S, 0, 0.1)

    def test_next_rank_takes_over_from_a_silent_reader(self):
        """Guard against peers that keep waiting for a suspended reader."""
        schedule = ReadSchedule()
        assert not schedule.is_due(5.0, 1, TAKEOVER_AGE_S - 0.1)
        assert schedule.is_due(5.0, 1, TAKEOVER_AGE_S + 0.1)
        assert schedule.takeovers == 1

    def test_ranks_take_over_one_after_another(self):
        """Guard against simultaneous reads by a whole domain when its reader fails."""
        ages = []
        for rank in range(1, 40):
            age = 0.0
            while not ReadSchedule().is_due(5.0, rank, age):
                age += 0.01
            ages.append(age)
        assert ages[1] - ages[0] > TAKEOVER_STEP_S / 2
        # Every rank takes over early enough for a document to take effect within 2 s.
        assert max(ages) < TAKEOVER_AGE_S + TAKEOVER_STEP_S * MAX_TAKEOVER_STEPS + 0.02
        assert max(ages) < 1.8

    def test_node_without_a_list_reads(self):
        """Guard against a first start of the fleet in which no node reads."""
        assert ReadSchedule().is_due(0.0, 7, None)

    def test_failures_increase_the_delay_up_to_a_limit(self):
        """Guard against a fleet that overloads a platform that is down."""
        schedule = ReadSchedule()
        now, starts = 0.0, []
        for _ in range(12):
            starts.append(now)
            schedule.read_started(now)
            schedule.read_finished(now, False)
            while not schedule.is_due(now, 0, 9.0):
                now += 0.01
        gaps = [b - a for a, b in pairwise(starts)]
        assert all(b >= a - 0.02 for a, b in pairwise(gaps))
        assert gaps[0] > READ_INTERVAL_S and gaps[-1] <= MAX_BACKOFF_S + 0.02
