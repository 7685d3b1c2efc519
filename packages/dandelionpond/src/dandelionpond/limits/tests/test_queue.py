"""Test weighted fair queueing between client accounts."""

from collections import Counter

import pytest
from hypothesis import given, strategies as st

from dandelionpond.errors import ErrorKind
from dandelionpond.limits.queue import FairQueue, QueuedRequest
from dandelionpond.limits.settings import LimitsSettings
from dandelionpond.routing.settings import RoutingSettings


def make_queue(short_weight=1.0, **changes):
    settings = LimitsSettings(**changes)
    return FairQueue(settings, RoutingSettings(short_weight=short_weight))


def queued(name, account="a", tokens=1_000.0, at=0.0, deadline=1e9, needed_s=1.0):
    return QueuedRequest(name, account, tokens, deadline, needed_s, at)


def always_fits(_):
    return True


def drain(queue, now=0.0, fits=always_fits):
    popped_requests = []
    while (popped := queue.pop(now, fits)) is not None:
        popped_requests.append(popped)
    return popped_requests


prompt_sizes = st.sampled_from([1_000.0, 3_000.0, 50_000.0, 400_000.0])
arrivals = st.lists(st.tuples(st.sampled_from("abcd"), prompt_sizes), max_size=80)


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
        """Guard against an unbounded queue, and one account that fills it."""
        queue = make_queue(**settings)
        for name in "xy":
            assert queue.offer(queued(name), 1.0, 0.0) is None
        assert queue.offer(queued("z", account), 1.0, 0.0) == kind
        assert queue.refused == (kind is not None)

    def test_deadline_on_entry_and_while_waiting(self):
        """Guard against sending a request that cannot finish before its deadline."""
        queue = make_queue()
        late = queue.offer(queued("late", deadline=0.5), 1.0, 0.0)
        assert late is ErrorKind.DEADLINE_UNREACHABLE
        queue.offer(queued("soon", deadline=5.0), 1.0, 0.0)
        assert queue.expire(3.9) == []
        [expired] = queue.expire(4.1)
        assert expired.kind is ErrorKind.DEADLINE_BEFORE_SEND
        assert (len(queue), queue.tokens, queue.expired) == (0, 0.0, 1)

    @pytest.mark.parametrize(
        ("weight", "gap", "first"), [(1, 10, 1), (1, 21, 0), (0, 1, 0)]
    )
    def test_short_precedes_until_the_long_one_has_aged(self, weight, gap, first):
        """Guard against short prompts that delay a long one forever."""
        queue = make_queue(short_weight=float(weight))
        queue.offer(queued("0", tokens=200_000.0), 1.0, 0.0)
        queue.offer(queued("1", at=float(gap)), 1.0, float(gap))
        assert queue.pop(float(gap), always_fits).request_id == str(first)

    def test_head_that_does_not_fit_blocks_no_other(self):
        """Guard against a long prompt that blocks others while it waits for memory."""
        queue = make_queue(short_weight=0.0)
        queue.offer(queued("long", tokens=200_000.0), 1.0, 0.0)
        queue.offer(queued("short"), 1.0, 0.0)
        popped = drain(queue, fits=lambda request: request.tokens < 100_000)
        assert [request.request_id for request in popped] == ["short"]
        assert queue.pop(0.0, always_fits).request_id == "long"

    def test_bound_on_tokens_before_covers_what_is_served(self):
        """Guard against an estimated wait that is too short."""
        queue = make_queue()
        for index in range(20):
            queue.offer(queued(f"b{index}", "b", 3_000.0), 1.0, 0.0)
        bound = queue.tokens_before("a", 1.0, 9_000.0, 0.0)
        queue.offer(queued("mine", "a", 9_000.0), 1.0, 0.0)
        order = drain(queue)
        position = [request.request_id for request in order].index("mine")
        assert sum(request.tokens for request in order[:position]) <= bound

    def test_caller_that_is_gone_is_removed(self):
        """Guard against work for a caller that has disconnected."""
        queue = make_queue()
        queue.offer(queued("x"), 1.0, 0.0)
        assert queue.remove("x", "a")
        assert not queue.remove("x", "a")
        assert len(queue) == 0

    @given(arrivals, st.floats(0.0, 1.0))
    def test_everything_leaves_once_and_accounts_keep_arrival_order(
        self, items, weight
    ):
        """Guard against a request that is lost, duplicated or starved."""
        queue = make_queue(weight)
        for index, (account, tokens) in enumerate(items):
            queue.offer(queued(str(index), account, tokens), 1.0, 0.0)
        popped = drain(queue)
        assert sorted(int(request.request_id) for request in popped) == list(
            range(len(items))
        )
        for key in {(request.account, request.tokens) for request in popped}:
            request_ids = [
                int(request.request_id)
                for request in popped
                if (request.account, request.tokens) == key
            ]
            assert request_ids == sorted(request_ids)
        assert (len(queue), queue.tokens, queue.waiting("a")) == (0, 0.0, 0)

    @given(arrivals, st.lists(st.sampled_from([1.0, 2.0, 5.0]), min_size=4, max_size=4))
    def test_virtual_time_never_decreases(self, items, weights):
        """Guard against an account that is served out of order."""
        weight_of = dict(zip("abcd", weights, strict=True))
        queue = make_queue()
        for index, (account, tokens) in enumerate(items):
            queue.offer(queued(str(index), account, tokens), weight_of[account], 0.0)
        virtual_times = [queue.virtual_time]
        while queue.pop(0.0, always_fits):
            virtual_times.append(queue.virtual_time)
        assert virtual_times == sorted(virtual_times)

    @given(
        st.lists(
            st.tuples(st.sampled_from("ab"), prompt_sizes), min_size=1, max_size=40
        )
    )
    def test_no_account_starves(self, steps):
        """Guard against an account whose request others overtake forever."""
        queue = make_queue()
        queue.offer(queued("mine", "c", 50_000.0), 1.0, 0.0)
        served = Counter()
        for index, (account, tokens) in enumerate(steps * 20):
            queue.offer(queued(str(index), account, tokens), 1.0, 0.0)
            popped = queue.pop(0.0, always_fits)
            if popped.request_id == "mine":
                return
            served[popped.account] += popped.tokens
            # Another account is served at most the same tokens plus one request.
            assert served[popped.account] <= 50_000.0 + 400_000.0
        assert sum(served.values()) <= 2 * 450_000.0

    @given(st.sampled_from([1.0, 2.0, 4.0]), prompt_sizes, prompt_sizes)
    def test_backlogged_accounts_share_by_weight(self, weight, first, second):
        """Guard against a share of service that depends on prompt length."""
        queue = make_queue()
        for index in range(200):
            queue.offer(queued(f"a{index}", "a", first), weight, 0.0)
            queue.offer(queued(f"b{index}", "b", second), 1.0, 0.0)
        served = Counter()
        while queue.waiting("a") and queue.waiting("b"):
            popped = queue.pop(0.0, always_fits)
            served[popped.account] += popped.tokens
        assert abs(served["a"] / weight - served["b"]) <= first / weight + second
