"""Test weighted fair queueing between client accounts."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.queue import FairQueue, QueuedRequest
from dandelionpond.limits.settings import LimitsSettings
from dandelionpond.routing.settings import RoutingSettings


def queue(short_weight=1.0, **changes):
    settings = LimitsSettings(**changes)
    return FairQueue(settings, RoutingSettings(short_weight=short_weight))


def item(name, account="a", tokens=1_000.0, at=0.0, deadline=1e9, needed_s=1.0):
    return QueuedRequest(name, account, tokens, deadline, needed_s, at)


def everything(_):
    return True


def drain(made, now=0.0, fits=everything):
    out = []
    while (popped := made.pop(now, fits)) is not None:
        out.append(popped)
    return out


sizes = st.sampled_from([1_000.0, 3_000.0, 50_000.0, 400_000.0])
arrivals = st.lists(st.tuples(st.sampled_from("abcd"), sizes), max_size=80)


class TestFairQueue:
    @pytest.mark.parametrize(
        ("settings", "account", "kind"),
        [
            ({"max_queue": 2}, "b", ErrorKind.OVERLOADED),
            ({"max_queue_per_account": 2}, "a", ErrorKind.OVERLOADED),
            ({"max_queue_per_account": 2}, "b", None),
        ],
    )
    def test_bounds(self, settings, account, kind):
        """Guard against a queue without a bound, or one account that fills it."""
        made = queue(**settings)
        for name in "xy":
            assert made.offer(item(name), 1.0, 0.0) is None
        assert made.offer(item("z", account), 1.0, 0.0) == kind
        assert made.refused == (kind is not None)

    def test_deadline_on_entry_and_while_waiting(self):
        """Guard against a request that is sent although it cannot finish in time."""
        made = queue()
        late = made.offer(item("late", deadline=0.5), 1.0, 0.0)
        assert late is ErrorKind.DEADLINE_UNREACHABLE
        made.offer(item("soon", deadline=5.0), 1.0, 0.0)
        assert made.expire(3.9) == []
        [expired] = made.expire(4.1)
        assert expired.kind is ErrorKind.DEADLINE_BEFORE_SEND
        assert (len(made), made.tokens, made.expired) == (0, 0.0, 1)

    @pytest.mark.parametrize(
        ("weight", "gap", "first"), [(1, 10, 1), (1, 21, 0), (0, 1, 0)]
    )
    def test_short_precedes_until_the_long_one_has_aged(self, weight, gap, first):
        """Guard against short prompts that hold a long one back for ever."""
        made = queue(short_weight=float(weight))
        made.offer(item("0", tokens=200_000.0), 1.0, 0.0)
        made.offer(item("1", at=float(gap)), 1.0, float(gap))
        assert made.pop(float(gap), everything).request_id == str(first)

    def test_head_that_does_not_fit_blocks_no_other(self):
        """Guard against a long prompt that waits for memory in front of all others."""
        made = queue(short_weight=0.0)
        made.offer(item("long", tokens=200_000.0), 1.0, 0.0)
        made.offer(item("short"), 1.0, 0.0)
        popped = drain(made, fits=lambda one: one.tokens < 100_000)
        assert [one.request_id for one in popped] == ["short"]
        assert made.pop(0.0, everything).request_id == "long"

    def test_bound_on_tokens_before_covers_what_is_served(self):
        """Guard against an estimate that promises a wait it cannot keep."""
        made = queue()
        for index in range(20):
            made.offer(item(f"b{index}", "b", 3_000.0), 1.0, 0.0)
        bound = made.tokens_before("a", 1.0, 9_000.0, 0.0)
        made.offer(item("mine", "a", 9_000.0), 1.0, 0.0)
        order = drain(made)
        place = [one.request_id for one in order].index("mine")
        assert sum(one.tokens for one in order[:place]) <= bound

    def test_caller_that_is_gone_is_removed(self):
        """Guard against work for a caller that has hung up."""
        made = queue()
        made.offer(item("x"), 1.0, 0.0)
        assert made.remove("x", "a")
        assert not made.remove("x", "a")
        assert len(made) == 0

    @given(arrivals, st.floats(0.0, 1.0))
    def test_everything_leaves_once_and_accounts_keep_arrival_order(
        self, items, weight
    ):
        """Guard against a request that is lost, doubled or starved."""
        made = queue(weight)
        for index, (account, tokens) in enumerate(items):
            made.offer(item(str(index), account, tokens), 1.0, 0.0)
        out = drain(made)
        assert sorted(int(one.request_id) for one in out) == list(range(len(items)))
        for key in {(one.account, one.tokens) for one in out}:
            same = [int(o.request_id) for o in out if (o.account, o.tokens) == key]
            assert same == sorted(same)
        assert (len(made), made.tokens, made.waiting("a")) == (0, 0.0, 0)

    @given(arrivals, st.lists(st.sampled_from([1.0, 2.0, 5.0]), min_size=4, max_size=4))
    def test_virtual_time_never_runs_backwards(self, items, weights):
        """Guard against an account that is served out of its order."""
        weight = dict(zip("abcd", weights, strict=True))
        made = queue()
        for index, (account, tokens) in enumerate(items):
            made.offer(item(str(index), account, tokens), weight[account], 0.0)
        seen = [made.virtual_time]
        while made.pop(0.0, everything):
            seen.append(made.virtual_time)
        assert seen == sorted(seen)

    @given(st.lists(st.tuples(st.sampled_from("ab"), sizes), min_size=1, max_size=40))
    def test_no_account_starves(self, steps):
        """Guard against an account whose waiting request others overtake for ever."""
        made = queue()
        made.offer(item("mine", "c", 50_000.0), 1.0, 0.0)
        served = Counter()
        for index, (account, tokens) in enumerate(steps * 20):
            made.offer(item(str(index), account, tokens), 1.0, 0.0)
            popped = made.pop(0.0, everything)
            if popped.request_id == "mine":
                return
            served[popped.account] += popped.tokens
            # Each other account gets at most as much virtual service and one request.
            assert served[popped.account] <= 50_000.0 + 400_000.0
        assert sum(served.values()) <= 2 * 450_000.0

    @given(st.sampled_from([1.0, 2.0, 4.0]), sizes, sizes)
    def test_backlogged_accounts_share_by_weight(self, weight, first, second):
        """Guard against a share that depends on how large the prompts are."""
        made = queue()
        for index in range(200):
            made.offer(item(f"a{index}", "a", first), weight, 0.0)
            made.offer(item(f"b{index}", "b", second), 1.0, 0.0)
        served = Counter()
        while made.waiting("a") and made.waiting("b"):
            popped = made.pop(0.0, everything)
            served[popped.account] += popped.tokens
        assert abs(served["a"] / weight - served["b"]) <= first / weight + second
