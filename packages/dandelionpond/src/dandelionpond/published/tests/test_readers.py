"""Test that few nodes read the platform and that others take over."""

from itertools import pairwise

from dandelionpond.published.readers import (
    MAX_BACKOFF_S,
    READ_INTERVAL_S,
    TAKE_OVER_PLACES,
    TAKE_OVER_S,
    TAKE_OVER_STEP_S,
    Candidate,
    ReadPace,
    place_of,
)


def nodes(*names, domain="a"):
    return [Candidate(name, domain) for name in names]


class TestPlaceOf:
    def test_all_nodes_find_the_same_order(self):
        """Guard against a domain in which every node reads."""
        names = [f"n{number}" for number in range(40)]
        places = {name: place_of(name, "a", nodes(*names)) for name in names}
        assert sorted(places.values()) == list(range(40))
        assert places == {n: place_of(n, "a", nodes(*reversed(names))) for n in names}

    def test_other_domains_do_not_count(self):
        """Guard against a cut-off domain that relies on a reader beyond the cut."""
        far = nodes(*(f"x{number}" for number in range(9)), domain="b")
        assert place_of("n", "a", [*far, *nodes("n")]) == 0

    def test_small_vms_come_last(self):
        """Guard against a slow link that the whole domain waits for."""
        fleet = [Candidate(f"n{n}", "a", 7 + n) for n in range(9)]
        order = sorted(fleet, key=lambda one: place_of(one.name, "a", fleet))
        assert [one.capacity for one in order] == list(range(15, 6, -1))


class TestReadPace:
    def test_reader_reads_each_interval(self):
        """Guard against reads in each turn of the loop."""
        pace = ReadPace()
        pace.begun(0.0)
        assert not pace.is_due(READ_INTERVAL_S / 2, 0, 0.1)
        assert pace.is_due(READ_INTERVAL_S, 0, 0.1)

    def test_others_take_over_from_a_silent_reader(self):
        """Guard against a reader that is frozen while its peers wait for it."""
        pace = ReadPace()
        assert not pace.is_due(5.0, 1, TAKE_OVER_S - 0.1)
        assert pace.is_due(5.0, 1, TAKE_OVER_S + 0.1)
        assert pace.take_overs == 1

    def test_others_take_over_one_after_another(self):
        """Guard against a domain that reads as one when its reader falls silent."""
        ages = []
        for place in range(1, 40):
            age = 0.0
            while not ReadPace().is_due(5.0, place, age):
                age += 0.01
            ages.append(age)
        assert ages[1] - ages[0] > TAKE_OVER_STEP_S / 2
        # All of them read within the bound of 2 s for a document to be in force.
        assert max(ages) < TAKE_OVER_S + TAKE_OVER_STEP_S * TAKE_OVER_PLACES + 0.02
        assert max(ages) < 1.8

    def test_node_without_a_list_reads(self):
        """Guard against a first start in which nobody reads."""
        assert ReadPace().is_due(0.0, 7, None)

    def test_failures_slow_down_up_to_a_bound(self):
        """Guard against a fleet that presses on a platform that is down."""
        pace = ReadPace()
        now, starts = 0.0, []
        for _ in range(12):
            starts.append(now)
            pace.begun(now)
            pace.ended(now, False)
            while not pace.is_due(now, 0, 9.0):
                now += 0.01
        gaps = [b - a for a, b in pairwise(starts)]
        assert all(b >= a - 0.02 for a, b in pairwise(gaps))
        assert gaps[0] > READ_INTERVAL_S and gaps[-1] <= MAX_BACKOFF_S + 0.02
