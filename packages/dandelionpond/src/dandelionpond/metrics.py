"""Define the Prometheus metrics of a node.

To bound their cardinality, labels only take values from lists in the code or in the
settings (error kinds, decision names, models, services). A client account or a request
is never a label.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

# Upper bounds of the length classes; one more class holds all longer prompts.
LENGTH_BOUNDS_TOKENS = (4_000, 20_000, 100_000, 400_000)

# The buckets include the latency targets: 0.53 s to the first token and 0.058 s between
# tokens.
_TTFT_BUCKETS_S = (0.05, 0.1, 0.2, 0.53, 1, 2, 5, 10, 30, 60, 120, 300, 900, 3600)
_CALL_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
_TOKEN_GAP_BUCKETS_S = (0.005, 0.01, 0.02, 0.058, 0.1, 0.2, 0.5, 1, 5)


def length_label(tokens: int) -> str:
    """Return the value of the label `length` for a prompt of this many tokens."""
    for bound in LENGTH_BOUNDS_TOKENS:
        if tokens <= bound:
            return f"le_{bound}"
    return f"gt_{LENGTH_BOUNDS_TOKENS[-1]}"


class SliceCollector(Collector):
    """Collector that exports the counters and table sizes of the parts of a node.

    The parts keep them as plain numbers, which are only read when metrics are
    collected. The label `slice` names the part.
    """

    def __init__(self) -> None:
        self._counters: dict[str, Callable[[], Mapping[str, int]]] = {}
        self._sizes: dict[str, Callable[[], float]] = {}

    def add_counters(self, name: str, read: Callable[[], Mapping[str, int]]) -> None:
        """Register a function that returns the counts of a slice by event."""
        self._counters[name] = read

    def add_size(self, name: str, read: Callable[[], float]) -> None:
        """Register a function that returns the number of entries in a table."""
        self._sizes[name] = read

    def counters(self) -> Iterator[tuple[str, str, int]]:
        """Yield `(slice, event, count)` for each counter."""
        for name, read in self._counters.items():
            for event, count in read().items():
                yield name, event, count

    def collect(self) -> Iterable[Metric]:
        """Return the metric families with their current values."""
        counter_family = CounterMetricFamily(
            "dandelionpond_slice_events",
            "Outcomes of decisions, by slice and event.",
            labels=["slice", "event"],
        )
        for name, event, count in self.counters():
            counter_family.add_metric([name, event], count)
        size_family = GaugeMetricFamily(
            "dandelionpond_table_entries",
            "Entries in a bounded table or queue.",
            labels=["table"],
        )
        for name, read in self._sizes.items():
            size_family.add_metric([name], read())
        return [counter_family, size_family]


class Metrics:
    """Metrics of one node, in their own registry instead of the global one."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.slices = SliceCollector()
        self.registry.register(self.slices)
        self.requests = Counter(
            "dandelionpond_requests",
            "Finished requests by kind of request and outcome.",
            ["kind", "outcome"],
            registry=self.registry,
        )
        self.error_responses = Counter(
            "dandelionpond_errors",
            "Answers with an error, by error kind.",
            ["kind"],
            registry=self.registry,
        )
        self.ttft = Histogram(
            "dandelionpond_time_to_first_token_seconds",
            "Time from admission to the first token, by length class of the prompt.",
            ["length"],
            buckets=_TTFT_BUCKETS_S,
            registry=self.registry,
        )
        self.token_gap = Histogram(
            "dandelionpond_token_gap_seconds",
            "Time between two deliveries of tokens to a caller.",
            buckets=_TOKEN_GAP_BUCKETS_S,
            registry=self.registry,
        )
        self.call_duration = Histogram(
            "dandelionpond_call_seconds",
            "Time from the arrival of a plain call to its complete answer.",
            buckets=_CALL_BUCKETS_S,
            registry=self.registry,
        )
        self.tokens = Counter(
            "dandelionpond_tokens",
            "Tokens of prompts sent to engines and of answers relayed to callers.",
            ["direction"],
            registry=self.registry,
        )
        self.in_flight = Gauge(
            "dandelionpond_requests_in_flight",
            "Admitted requests that have not ended.",
            ["kind"],
            registry=self.registry,
        )
        self.settings_revision = Gauge(
            "dandelionpond_settings_revision",
            "Revision of the published settings in force.",
            registry=self.registry,
        )
        self.loop_lag = Gauge(
            "dandelionpond_loop_lag_seconds",
            "Delay of the last timer of the event loop beyond its due time.",
            registry=self.registry,
        )
