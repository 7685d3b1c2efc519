"""Count outcomes and expose them in the Prometheus text format.

Labels are bounded by lists in the code or in the settings (error kinds, decision names,
models, services). A client account or a request is never a label.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

# Upper bounds of length classes in tokens; the last class is open.
LENGTH_CLASSES = (4_000, 20_000, 100_000, 400_000)

_TTFT_BUCKETS = (0.05, 0.1, 0.2, 0.53, 1, 2, 5, 10, 30, 60, 120, 300, 900, 3600)
_CALL_BUCKETS = (0.01, 0.025, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 30)
_GAP_BUCKETS = (0.005, 0.01, 0.02, 0.058, 0.1, 0.2, 0.5, 1, 5)


def length_label(tokens: int) -> str:
    """Return the label of the length class for a prompt of this many tokens."""
    for bound in LENGTH_CLASSES:
        if tokens <= bound:
            return f"le_{bound}"
    return f"gt_{LENGTH_CLASSES[-1]}"


class SliceCollector(Collector):
    """Read the counters and sizes that decision slices keep as plain numbers."""

    def __init__(self) -> None:
        self._counters: dict[str, Callable[[], Mapping[str, int]]] = {}
        self._sizes: dict[str, Callable[[], float]] = {}

    def add_counters(self, name: str, read: Callable[[], Mapping[str, int]]) -> None:
        """Expose a mapping from event to count under a slice's name."""
        self._counters[name] = read

    def add_size(self, name: str, read: Callable[[], float]) -> None:
        """Expose the number of entries of a table or queue."""
        self._sizes[name] = read

    def counters(self) -> Iterator[tuple[str, str, int]]:
        """Yield slice, event and count for each counter."""
        for name, read in self._counters.items():
            for event, count in read().items():
                yield name, event, count

    def collect(self) -> Iterable[Metric]:
        """Build the metric families at the time of a scrape."""
        events = CounterMetricFamily(
            "dandelionpond_slice_events",
            "Outcomes of decisions, by slice and event.",
            labels=["slice", "event"],
        )
        for name, event, count in self.counters():
            events.add_metric([name, event], count)
        sizes = GaugeMetricFamily(
            "dandelionpond_table_entries",
            "Entries in a bounded table or queue.",
            labels=["table"],
        )
        for name, read in self._sizes.items():
            sizes.add_metric([name], read())
        return [events, sizes]


class Metrics:
    """Hold the node's metrics in a registry of its own."""

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
            buckets=_TTFT_BUCKETS,
            registry=self.registry,
        )
        self.token_gap = Histogram(
            "dandelionpond_token_gap_seconds",
            "Time between two deliveries of tokens to a caller.",
            buckets=_GAP_BUCKETS,
            registry=self.registry,
        )
        self.call_duration = Histogram(
            "dandelionpond_call_seconds",
            "Time from the arrival of a plain call to its complete answer.",
            buckets=_CALL_BUCKETS,
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
