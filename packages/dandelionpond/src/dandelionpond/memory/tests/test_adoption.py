"""Test adoption of memory from dead owners."""

from dandelionpond import hashing
from dandelionpond.memory.adoption import Adoption
from dandelionpond.memory.messages import Holding, Release, Scan
from dandelionpond.memory.settings import MemorySettings

SETTINGS = MemorySettings()
LIVE = {"a": "a/2", "b": "b/1"}


def held(name, owner, expires_in_s):
    return Holding(name, "stream", owner, 10, expires_in_s)


def ready():
    """Return an adopter whose membership is fresh and its first scan."""
    adoption = Adoption("a", SETTINGS)
    assert adoption.tick(["e"], {"a"}, 0.0, 0.0) == []
    (scan,) = adoption.tick(["e"], {"a"}, 0.5, 1.0)
    return adoption, scan


class TestAdoption:
    def test_only_expired_holdings_of_dead_owners_are_released(self):
        """Guard against taking memory from a living or a renewing owner."""
        adoption, scan = ready()
        holdings = [
            held("dead", "gone/1", -2.5),
            held("earlier incarnation", "a/1", -2.5),
            held("within the margin", "gone/1", -1.5),
            held("renewing behind a partition", "far/1", 12.0),
            held("living", "b/1", -31.5),
            held("given up by a living owner", "b/1", -32.5),
        ]
        found = adoption.on_scan_result(scan, holdings, LIVE, 1.0, 1.1)
        assert found == [
            Release("e", "dead", "gone/1"),
            Release("e", "earlier incarnation", "a/1"),
            Release("e", "given up by a living owner", "b/1"),
        ]
        assert adoption.counters.held_by_live == 1
        assert adoption.counters.adopted_from_live == 1

    def test_each_engine_has_one_adopter(self):
        """Guard against an engine without an adopter or with all nodes on it."""
        names = {f"n{index}" for index in range(20)}
        engines = [f"e{index}" for index in range(200)]
        scans = []
        for name in names:
            adoption = Adoption(name, SETTINGS)
            adoption.tick(engines, names, 0.0, 0.0)
            scans += adoption.tick(engines, names, 0.5, 1.0)
        assert sorted(scan.engine for scan in scans) == sorted(engines)
        assert hashing.owner("adopt/e1", names) in names

    def test_scans_keep_their_interval(self):
        """Guard against a list call on each tick."""
        adoption, _ = ready()
        count = 0
        for tick in range(11, 1_000):
            now = tick / 10
            count += len(adoption.tick(["e"], {"a"}, now, now))
        assert count == 9

    def test_list_from_before_a_pause_is_discarded(self):
        """Guard against a resumed node that acts on a stale list or membership."""
        adoption, scan = ready()
        dead = [held("x", "gone/1", -5.0)]
        assert adoption.tick(["e"], {"a"}, 0.5, 100.0) == []
        assert adoption.on_scan_result(scan, dead, LIVE, 1.0, 100.0) == []
        assert adoption.tick(["e"], {"a"}, 100.0, 100.5) == []
        assert adoption.tick(["e"], {"a"}, 100.8, 101.0) == [Scan("e")]
        assert adoption.on_scan_result(scan, dead, LIVE, 101.0, 103.5) == []
        assert adoption.counters.discarded == 2
        assert adoption.on_scan_result(scan, dead, LIVE, 103.4, 103.5) != []

    def test_recent_list_from_before_a_short_pause_is_discarded(self):
        """Guard against a list that is young but older than the membership view."""
        adoption, scan = ready()
        dead = [held("x", "gone/1", -5.0)]
        assert adoption.tick(["e"], {"a"}, 3.0, 3.05) == []
        assert adoption.tick(["e"], {"a"}, 3.06, 3.08) == [scan]
        assert adoption.on_scan_result(scan, dead, LIVE, 1.2, 3.1) == []
        assert adoption.on_scan_result(scan, dead, LIVE, 3.08, 3.1) != []
