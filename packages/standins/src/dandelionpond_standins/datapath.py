"""Benchmark of the processor time and the delay that a node adds to a request.

The same load is sent to engine stand-ins first directly, then through one node. Clients
run in their own processes, so that only the node's processor time is counted.
"""

import asyncio
import json
import statistics
import sys
import tempfile
from pathlib import Path

import cyclopts
import msgspec

from dandelionpond_standins.example_settings import KEY, MODEL, VERSION, ExampleSettings
from dandelionpond_standins.launcher import Stack, StackOptions
from dandelionpond_standins.load import LoadReport

ENGINES = 4
CLIENTS = 2
# One node's share of the target of 210,000 requests/s and 44 M tokens/s on 3,500 nodes.
TARGET_REQUESTS_PER_S = 60.0
TARGET_TOKENS_PER_S = 12_600.0
TOKENS_PER_REQUEST = int(TARGET_TOKENS_PER_S / TARGET_REQUESTS_PER_S)

app = cyclopts.App(help="Measure the cost of a node's data path.")


class RunResult(msgspec.Struct):
    """The clients' reports of one run and the node's processor time in seconds."""

    reports: list[LoadReport]
    cpu_s: float

    @property
    def requests(self) -> int:
        """The number of requests with a complete response."""
        return sum(report.verdicts.get("complete", 0) for report in self.reports)

    @property
    def tokens(self) -> int:
        """The number of tokens in complete responses."""
        return sum(report.tokens for report in self.reports)

    def median(self, metric: str, percentile: str) -> float:
        """Return the median over the clients of one percentile, in milliseconds.

        `metric` is a field of `LoadReport`, such as `ttft_ms`.
        """
        values = [getattr(report, metric)[percentile] for report in self.reports]
        return statistics.median(values)


async def _run_clients(
    urls: list[str], rate: float, duration_s: float, tokens: int, direct: bool
) -> list[LoadReport]:
    async def run_client(number: int) -> LoadReport:
        arguments = [
            "-m",
            "dandelionpond_standins.load",
            *(f"--url={url}" for url in urls),
            f"--key={KEY}",
            f"--model={MODEL}",
            f"--version={VERSION}",
            f"--rate={rate / CLIENTS}",
            f"--duration-s={duration_s}",
            f"--max-tokens={tokens}",
            f"--seed={number}",
            *(["--direct"] if direct else []),
        ]
        process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        return msgspec.json.decode(output, type=LoadReport)

    return list(
        await asyncio.gather(*(run_client(number) for number in range(CLIENTS)))
    )


async def _node_cpu_s(stack: Stack, node: str) -> float:
    dump = await stack.call_operator_api(node, "/v1/dump")
    return float(dump["process"]["cpu_s"])


async def measure(
    stack: Stack, rate: float, duration_s: float, tokens: int
) -> tuple[RunResult, RunResult]:
    """Run the same load directly and through the node, and return both results."""
    [node] = stack.nodes
    engines = [child.url for child in stack.engines.values()]
    direct = await _run_clients(engines, rate, duration_s, tokens, direct=True)
    cpu_before_s = await _node_cpu_s(stack, node)
    url = f"http://{stack.nodes[node].startup_info['caller_address']}"
    via_node = await _run_clients([url], rate, duration_s, tokens, direct=False)
    node_cpu_s = await _node_cpu_s(stack, node) - cpu_before_s
    return RunResult(direct, 0.0), RunResult(via_node, node_cpu_s)


async def _idle_share(stack: Stack, seconds: float) -> float:
    [node] = stack.nodes
    cpu_before_s = await _node_cpu_s(stack, node)
    await asyncio.sleep(seconds)
    return (await _node_cpu_s(stack, node) - cpu_before_s) / seconds


@app.default
async def main(
    *,
    rate: float = 30.0,
    duration_s: float = 8.0,
    repeats: int = 3,
    tokens: int = TOKENS_PER_REQUEST,
) -> int:
    """Print one JSON line with the processor time per token and the added delay.

    Parameters
    ----------
    rate
        Requests per second.
    duration_s
        Seconds of each run.
    repeats
        Number of runs. Figures of each run are printed; rates use the median.
    tokens
        Generated tokens of each request.
    """
    settings = ExampleSettings(
        failure_domains=1,
        engines_per_domain=ENGINES,
        kv_capacity_tokens=2_000_000,
        prefill_tokens_per_s=1_000_000.0,
        sections={"limits": {"engine_queue_s": 1.0}},
    )
    with tempfile.TemporaryDirectory() as folder:
        settings_folder = settings.write(Path(folder) / "settings")
        async with Stack(StackOptions(settings=settings_folder)) as stack:
            await asyncio.sleep(2.0)
            idle_share = await _idle_share(stack, 4.0)
            runs = [
                await measure(stack, rate, duration_s, tokens) for _ in range(repeats)
            ]
    cpu_us_per_token = [
        (via_node.cpu_s - idle_share * duration_s) / max(1, via_node.tokens) * 1e6
        for _, via_node in runs
    ]
    added_ms = {
        f"{metric}_{percentile}": [
            round(
                via_node.median(metric, percentile) - direct.median(metric, percentile),
                3,
            )
            for direct, via_node in runs
        ]
        for metric in ("ttft_ms", "gap_ms")
        for percentile in ("p50", "p99")
    }
    median_us_per_token = statistics.median(cpu_us_per_token)
    result = {
        "requests": [via_node.requests for _, via_node in runs],
        "tokens": [via_node.tokens for _, via_node in runs],
        "idle_core_share": round(idle_share, 4),
        "cpu_us_per_token_with_its_part_of_the_request": [
            round(value, 1) for value in cpu_us_per_token
        ],
        "tokens_per_s_of_one_core": round(1e6 / median_us_per_token),
        "target_tokens_per_s": TARGET_TOKENS_PER_S,
        "headroom": round(1e6 / median_us_per_token / TARGET_TOKENS_PER_S, 2),
        "added_ms": added_ms,
    }
    print(json.dumps(result), flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(app())
