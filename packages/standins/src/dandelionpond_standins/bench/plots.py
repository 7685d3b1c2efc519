"""Plots of the benchmark's report as PNG files."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

from matplotlib import pyplot

from dandelionpond_standins.bench.workload import LENGTH_RANGES

_LOADS = ("0.3", "0.8", "1.0", "1.5")


def plot_report(report: Mapping[str, Any], folder: Path) -> None:
    """Write one file for each deployment.

    It shows the time to first token by prompt length, the slowdown of short prompts and
    the goodput.
    """
    for deployment, policies in report.items():
        figure, (ttft_axes, slowdown_axes, goodput_axes) = pyplot.subplots(
            1, 3, figsize=(15, 4.5), layout="constrained"
        )
        for policy, figures in policies.items():
            ratios_by_length = figures["loads"]["0.8"]["ttft_p95_over_ideal"]
            ttft_axes.plot(
                LENGTH_RANGES,
                [
                    ratios_by_length[name]["median"] if ratios_by_length[name] else None
                    for name in LENGTH_RANGES
                ],
                marker="o",
                label=policy,
            )
            slowdown_summary = figures["short_slowdown_p95"]["0.8"]
            if slowdown_summary:
                error = [
                    [slowdown_summary["median"] - slowdown_summary["min"]],
                    [slowdown_summary["max"] - slowdown_summary["median"]],
                ]
                slowdown_axes.bar(policy, slowdown_summary["median"], yerr=error)
            goodput_axes.plot(
                [float(load) for load in _LOADS],
                [
                    figures["loads"][load]["goodput_tokens_per_s"]["median"]
                    for load in _LOADS
                ],
                marker="o",
                label=policy,
            )
        ttft_axes.set(title="TTFT p95 over ideal at 80%", yscale="log", xlabel="tokens")
        slowdown_axes.set(title="short slowdown p95 at 80%")
        slowdown_axes.axhline(1.2, linestyle="--", color="grey")
        slowdown_axes.tick_params(axis="x", rotation=30)
        goodput_axes.set(title="goodput in tokens/s", xlabel="load over capacity")
        ttft_axes.legend()
        figure.suptitle(deployment)
        figure.savefig(folder / f"bench-{deployment}.png", dpi=100)
        pyplot.close(figure)
