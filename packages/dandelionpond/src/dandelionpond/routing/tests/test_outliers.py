"""Tests of the ejection of engines."""

import pytest

from dandelionpond.routing.outliers import (
    EngineEjected,
    EngineReturned,
    OutlierDetector,
)
from dandelionpond.routing.settings import RoutingSettings


def make_detector(count=10):
    detector = OutlierDetector(RoutingSettings())
    detector.set_engines(engine_names(count))
    return detector


def engine_names(count=10):
    return tuple(f"e{i}" for i in range(count))


def record_attempts(detector, name, ratio=1.0, idle=False, failed=False, times=10):
    for _ in range(times):
        if failed:
            detector.record_failure(name)
        else:
            detector.record_success(name, ratio, idle)


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
    def test_ejection_reason(self, sample, reason):
        """An outlier must be ejected and a healthy engine must not."""
        detector = make_detector()
        for index in range(1, 10):
            record_attempts(detector, f"e{index}")
        record_attempts(detector, "e0", **sample)
        expected = [EngineEjected("e0", reason, 110.0)] if reason else []
        assert detector.tick(100.0, engine_names()) == expected

    def test_fleet_wide_slowness_ejects_nothing(self):
        """Healthy engines must not be ejected when all engines are busy."""
        detector = make_detector()
        for index in range(10):
            record_attempts(detector, f"e{index}", ratio=8.0)
        assert detector.tick(1.0, engine_names()) == []

    def test_ejected_share_is_bounded(self):
        """Ejection must not take out the whole fleet at once."""
        detector = make_detector()
        for index in range(10):
            record_attempts(detector, f"e{index}", failed=True)
        assert len(detector.tick(1.0, engine_names())) == 3
        assert len(detector.ejected) == 3
        assert detector.refused_ejections == 7

    def test_return_with_slow_start_and_longer_second_ejection(self):
        """An engine must not alternate quickly between use and ejection."""
        detector = make_detector()
        record_attempts(detector, "e0", failed=True)
        detector.tick(0.0, engine_names())
        assert detector.tick(9.9, engine_names()) == []
        assert detector.tick(10.0, engine_names()) == [EngineReturned("e0")]
        assert detector.start_share("e0", 10.0) == 0.0
        assert detector.start_share("e0", 15.0) == pytest.approx(0.5)
        assert detector.start_share("e0", 30.0) == 1.0
        record_attempts(detector, "e0", failed=True)
        assert detector.tick(30.0, engine_names()) == [
            EngineEjected("e0", "failures", 50.0)
        ]

    def test_unreachable_engines_do_not_raise_the_bound(self):
        """The last responding engine in a partition must not be ejected."""
        detector = make_detector(6)
        record_attempts(detector, "e0", failed=True)
        assert detector.tick(0.0, ("e0", "e1")) == []
        assert detector.refused_ejections == 1
        assert detector.tick(0.1, engine_names(6)) == [
            EngineEjected("e0", "failures", 10.1)
        ]

    def test_engine_returns_early_when_others_become_unreachable(self):
        """An engine must not stay ejected while too few others respond."""
        detector = make_detector(6)
        record_attempts(detector, "e0", failed=True)
        detector.tick(0.0, engine_names(6))
        assert detector.tick(1.0, engine_names(4)) == []
        assert detector.tick(2.0, engine_names(2)) == [EngineReturned("e0")]
