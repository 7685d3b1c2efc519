"""Test the ejection of engines."""

import pytest

from dandelionpond.routing.outliers import EngineEjected, EngineReturned, Outliers
from dandelionpond.routing.settings import RoutingSettings


def outliers(count=10):
    made = Outliers(RoutingSettings())
    made.set_engines(names(count))
    return made


def names(count=10):
    return tuple(f"e{i}" for i in range(count))


def feed(watch, name, ratio=1.0, idle=False, failed=False, times=10):
    for _ in range(times):
        if failed:
            watch.failed(name)
        else:
            watch.succeeded(name, ratio, idle)


class TestOutliers:
    @pytest.mark.parametrize(
        ("sample", "reason"),
        [
            ({"failed": True}, "failures"),
            ({"ratio": 3.5}, "slow"),
            ({"ratio": 4.5, "idle": True}, "contradicts_reports"),
            ({"ratio": 2.5}, None),
            ({"failed": True, "times": 3}, None),
        ],
    )
    def test_reason(self, sample, reason):
        """Guard against keeping a bad engine and against ejecting a good one."""
        watch = outliers()
        for index in range(1, 10):
            feed(watch, f"e{index}")
        feed(watch, "e0", **sample)
        expected = [EngineEjected("e0", reason, 110.0)] if reason else []
        assert watch.tick(100.0, names()) == expected

    def test_fleet_wide_slowness_ejects_nothing(self):
        """Guard against ejecting healthy engines when all are busy."""
        watch = outliers()
        for index in range(10):
            feed(watch, f"e{index}", ratio=8.0)
        assert watch.tick(1.0, names()) == []

    def test_ejected_share_is_bounded(self):
        """Guard against taking the whole fleet out at once."""
        watch = outliers()
        for index in range(10):
            feed(watch, f"e{index}", failed=True)
        assert len(watch.tick(1.0, names())) == 3
        assert len(watch.ejected) == 3
        assert watch.refused_ejections == 7

    def test_return_with_slow_start_and_longer_second_ejection(self):
        """Guard against an engine that alternates between use and ejection."""
        watch = outliers()
        feed(watch, "e0", failed=True)
        watch.tick(0.0, names())
        assert watch.tick(9.9, names()) == []
        assert watch.tick(10.0, names()) == [EngineReturned("e0")]
        assert watch.start_share("e0", 10.0) == 0.0
        assert watch.start_share("e0", 15.0) == pytest.approx(0.5)
        assert watch.start_share("e0", 30.0) == 1.0
        feed(watch, "e0", failed=True)
        assert watch.tick(30.0, names()) == [EngineEjected("e0", "failures", 50.0)]

    def test_engines_out_of_touch_do_not_raise_the_bound(self):
        """Guard against giving up the last engine that answers in a partition."""
        watch = outliers(6)
        feed(watch, "e0", failed=True)
        assert watch.tick(0.0, ("e0", "e1")) == []
        assert watch.refused_ejections == 1
        assert watch.tick(0.1, names(6)) == [EngineEjected("e0", "failures", 10.1)]

    def test_engine_returns_early_when_the_others_are_lost(self):
        """Guard against an engine that stays out while no other one answers."""
        watch = outliers(6)
        feed(watch, "e0", failed=True)
        watch.tick(0.0, names(6))
        assert watch.tick(1.0, names(4)) == []
        assert watch.tick(2.0, names(2)) == [EngineReturned("e0")]
