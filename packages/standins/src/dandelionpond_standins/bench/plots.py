"""Draw the report's figures as PNG files."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from dandelionpond_standins.bench.workload import LENGTH_RANGES

_LOADS = ("0.3", "0.8", "1.0", "1.5")


def plot_report(report: Mapping[str, Any], folder: Path) -> None:
    """Write one file for each deployment: lateness by length, slowdown and goodput."""
    for deployment, policies in report.items():
        figure, (lengths, slowdown, goodput) = pyplot.subplots(
            1, 3, figsize=(15, 4.5), layout="constrained"
        )
        for policy, figures in policies.items():
            by_class = figures["loads"]["0.8"]["ttft_p95_over_ideal"]
            lengths.plot(
                LENGTH_RANGES,
                [
                    by_class[name]["median"] if by_class[name] else None
                    for name in LENGTH_RANGES
                ],
                marker="o",
                label=policy,
            )
            value = figures["short_slowdown_p95"]["0.8"]
            if value:
                error = [
                    [value["median"] - value["min"]],
                    [value["max"] - value["median"]],
                ]
                slowdown.bar(policy, value["median"], yerr=error)
            goodput.plot(
                [float(load) for load in _LOADS],
                [
                    figures["loads"][load]["goodput_tokens_per_s"]["median"]
                    for load in _LOADS
                ],
                marker="o",
                label=policy,
            )
        lengths.set(title="TTFT p95 over ideal at 80%", yscale="log", xlabel="tokens")
        slowdown.set(title="short slowdown p95 at 80%")
        slowdown.axhline(1.2, linestyle="--", color="grey")
        slowdown.tick_params(axis="x", rotation=30)
        goodput.set(title="goodput in tokens/s", xlabel="load over capacity")
        lengths.legend()
        figure.suptitle(deployment)
        figure.savefig(folder / f"bench-{deployment}.png", dpi=100)
        pyplot.close(figure)
