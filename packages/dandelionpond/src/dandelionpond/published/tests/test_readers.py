"""Test that few nodes read the platform and that others take over."""

from itertools import pairwise

from dandelionpond.published.readers import (
    MAX_BACKOFF_S,
    READ_INTERVAL_S,
    TAKE_OVER_S,
    Candidate,
    ReadPace,
    reader_of,
)


def nodes(*names, domain="a"):
    return [Candidate(name, domain) for name in names]


class TestReaderOf:
    def test_all_nodes_find_the_same_one(self):
        """Guard against a domain in which every node reads."""
        names = [f"n{number}" for number in range(40)]
        one = reader_of("a", nodes(*names))
        assert one == reader_of("a", nodes(*reversed(names)))
        rest = [name for name in names if name != one]
        assert reader_of("a", nodes(*rest)) in rest

    def test_other_domains_do_not_count(self):
        """Guard against a cut-off domain that relies on a reader beyond the cut."""
        assert reader_of("a", nodes("x", domain="b")) is None


class TestReadPace:
    def test_reader_reads_each_interval(self):
        """Guard against reads in each turn of the loop."""
        pace = ReadPace()
        pace.begun(0.0)
        assert not pace.is_due(READ_INTERVAL_S / 2, True, 0.1)
        assert pace.is_due(READ_INTERVAL_S, True, 0.1)

    def test_others_take_over_from_a_silent_reader(self):
        """Guard against a reader that is frozen while its peers wait for it."""
        pace = ReadPace()
        assert not pace.is_due(5.0, False, TAKE_OVER_S - 0.1)
        assert pace.is_due(5.0, False, TAKE_OVER_S + 0.1)
        assert pace.take_overs == 1

    def test_node_without_a_list_reads(self):
        """Guard against a first start in which nobody reads."""
        assert ReadPace().is_due(0.0, False, None)

    def test_failures_slow_down_up_to_a_bound(self):
        """Guard against a fleet that presses on a platform that is down."""
        pace = ReadPace()
        now, starts = 0.0, []
        for _ in range(12):
            starts.append(now)
            pace.begun(now)
            pace.ended(now, False)
            while not pace.is_due(now, True, 9.0):
                now += 0.01
        gaps = [b - a for a, b in pairwise(starts)]
        assert all(b >= a - 0.02 for a, b in pairwise(gaps))
        assert gaps[0] > READ_INTERVAL_S and gaps[-1] <= MAX_BACKOFF_S + 0.02
