"""Test the lease table."""

import itertools
import random

from dandelionpond.errors import ErrorKind
from dandelionpond.memory.leases import LeaseTable
from dandelionpond.memory.messages import Holding, LeaseLost, Release, Renew
from dandelionpond.memory.settings import MemorySettings


def make_leases(**fields):
    return LeaseTable("n/1", MemorySettings(**fields), random.Random(1))


def action_times(leases, kind, until, step=0.1):
    times = []
    for tick in range(int(until / step)):
        now = tick * step
        times += [now for a in leases.tick(now) if isinstance(a, kind)]
    return times


class TestRelease:
    def test_release_is_repeated_with_backoff_until_confirmed(self):
        """Guard against memory leaked by a lost cancel call, and too many repeats."""
        leases = make_leases()
        leases.acquire("e", "r", 0.0)
        leases.release("e", "r", 0.0)
        times = action_times(leases, Release, 3_600.0)
        gaps = [b - a for a, b in itertools.pairwise(times)]
        assert times[0] == 0.0
        assert gaps[0] < 0.7 and max(gaps) <= 10.2
        assert times[-1] > 3_580 and len(times) < 800
        leases.on_released("e", "r", True, 3_600.0)
        assert len(leases) == 0 and leases.tick(3_601.0) == []

    def test_unreachable_engine_is_probed_with_one_release(self):
        """Guard against thousands of calls to an engine that does not answer."""
        leases = make_leases()
        for index in range(1_000):
            leases.acquire("e", str(index), 0.0)
            leases.release("e", str(index), 0.0)
        sent = 0
        for now in range(1, 601):
            actions = leases.tick(float(now))
            sent += len(actions)
            if actions:
                leases.on_release_failed("e", float(now))
        assert sent < 1_000 + 150
        leases.on_released("e", "0", True, 601.0)
        assert len(leases.tick(601.0)) == 999

    def test_unknown_holding_is_released_again(self):
        """Guard against a leak from a request that arrives after its release."""
        leases = make_leases()
        leases.acquire("e", "r", 0.0)
        leases.release("e", "r", 0.0)
        leases.tick(0.0)
        leases.on_released("e", "r", False, 0.1)
        assert leases.tick(29.0) == []
        assert leases.tick(30.2) == [Release("e", "r", "n/1")]
        leases.on_released("e", "r", False, 30.3)
        assert len(leases) == 0

    def test_early_probe_does_not_count_as_the_second_answer(self):
        """Guard against a leak from a request that arrives after two early releases."""
        leases = make_leases()
        leases.acquire("e", "r", 0.0)
        leases.release("e", "r", 0.0)
        leases.on_released("e", "r", False, 0.1)
        leases.on_release_failed("e", 0.2)
        assert len(leases.tick(2.0)) == 1
        leases.on_released("e", "r", False, 2.1)
        assert len(leases) == 1
        leases.on_released("e", "r", True, 7.0)
        assert len(leases) == 0

    def test_table_is_bounded_and_counts_pending_releases(self):
        """Guard against unbounded growth of unconfirmed releases."""
        leases = make_leases(max_leases=2)
        assert leases.acquire("e", "a", 0.0).is_ok()
        assert leases.acquire("f", "b", 0.0).is_ok()
        leases.release("e", "a", 0.0)
        assert leases.pending_releases == 1
        refused = leases.acquire("e", "c", 0.0)
        assert refused.error.kind is ErrorKind.OVERLOADED
        assert leases.counters.refused_full == 1
        assert leases.drop_engine("f") == [LeaseLost("f", "b")]
        assert leases.acquire("e", "a", 0.0).error.kind is ErrorKind.INTERNAL
        assert leases.acquire("e", "c", 0.0).is_ok()


class TestReconcile:
    def test_unknown_own_holding_is_released_after_its_expiry(self):
        """Guard against a leak from a request that arrives after its release ended."""
        leases = make_leases()
        leases.acquire("e", "known", 0.0)
        holdings = [
            Holding("known", "stream", "n/1", 10, -1.0),
            Holding("late", "stream", "n/1", 10, -1.0),
            Holding("fresh", "stream", "n/1", 10, 9.0),
            Holding("other", "stream", "n/2", 10, -1.0),
        ]
        assert leases.reconcile("e", holdings, 1.0) == 1
        assert leases.tick(1.0) == [Release("e", "late", "n/1")]


class TestRenewal:
    def test_leases_are_renewed_in_one_call_for_each_engine(self):
        """Guard against one renewal call per stream and against late renewals."""
        leases = make_leases()
        for index in range(300):
            leases.acquire("e", str(index), 0.0)
        for tick in range(1, 1_000):
            now = tick / 10
            for action in leases.tick(now):
                assert isinstance(action, Renew) and len(action.holding_ids) <= 256
                leases.on_renewed(action, (), now, now + 0.05)
        assert leases.owns("e", "7", 99.9)
        assert leases.counters.lost == 0

    def test_after_a_pause_an_expired_lease_is_lost_and_never_renewed(self):
        """Guard against use of memory that another node released during a pause."""
        leases = make_leases()
        leases.acquire("e", "r", 0.0)
        assert leases.owns("e", "r", 29.9)
        assert not leases.owns("e", "r", 30.0)
        actions = leases.tick(100.0)
        assert actions == [LeaseLost("e", "r"), Release("e", "r", "n/1")]

    def test_answer_that_comes_after_expiry_does_not_revive_a_lease(self):
        """Guard against a renewal whose answer takes longer than the lease."""
        leases = make_leases()
        leases.acquire("e", "r", 0.0)
        (renew,) = leases.tick(10.0)
        assert leases.on_renewed(renew, (), 10.0, 31.0) == [LeaseLost("e", "r")]
        leases.acquire("e", "s", 31.0)
        leases.acquire("e", "t", 31.0)
        renew = Renew("e", ("s", "t"), 30.0)
        assert leases.on_renewed(renew, {"t"}, 40.0, 40.1) == [LeaseLost("e", "t")]
        assert leases.owns("e", "s", 69.9)
