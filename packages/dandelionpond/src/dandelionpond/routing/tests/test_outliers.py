"""Test the ejection of engines."""

import pytest

from dandelionpond.routing.outliers import Ejected, Outliers, Returned
from dandelionpond.routing.settings import RoutingSettings


def outliers(count=10):
    made = Outliers(RoutingSettings())
    made.set_reach(tuple(f"e{i}" for i in range(count)))
    return made


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
        expected = [Ejected("e0", reason, 110.0)] if reason else []
        assert watch.tick(100.0) == expected

    def test_fleet_wide_slowness_ejects_nothing(self):
        """Guard against ejecting healthy engines when all are busy."""
        watch = outliers()
        for index in range(10):
            feed(watch, f"e{index}", ratio=8.0)
        assert watch.tick(1.0) == []

    def test_ejected_share_is_bounded(self):
        """Guard against taking the whole fleet out at once."""
        watch = outliers()
        for index in range(10):
            feed(watch, f"e{index}", failed=True)
        assert len(watch.tick(1.0)) == 3
        assert len(watch.ejected) == 3
        assert watch.refused_ejections == 7

    def test_return_with_slow_start_and_longer_second_ejection(self):
        """Guard against an engine that alternates between use and ejection."""
        watch = outliers()
        feed(watch, "e0", failed=True)
        watch.tick(0.0)
        assert watch.tick(9.9) == []
        assert watch.tick(10.0) == [Returned("e0")]
        assert watch.start_share("e0", 10.0) == 0.0
        assert watch.start_share("e0", 15.0) == pytest.approx(0.5)
        assert watch.start_share("e0", 30.0) == 1.0
        feed(watch, "e0", failed=True)
        assert watch.tick(30.0) == [Ejected("e0", "failures", 50.0)]
