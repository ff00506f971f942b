"""Plot the figures of ``benchmarks.queueing``.

``python -m benchmarks.queueing_plots FILE docs/figures``
"""

import json
from pathlib import Path

import fire
import matplotlib.pyplot as plt

_LOADS = (70, 80, 90, 95)
_METHOD_LABELS = {
    "optimum": "one queue that knows all slots",
    "home": "coordinator, both hops counted",
    "entries_shed": "40 entries pick, full targets shed",
    "entries_queue": "40 entries pick, targets queue",
}
_CASES = {"five_times": "one customer at 5x", "shortage": "capacity 70 % of demand"}

Figures = dict[str, dict[str, float]]


def plot_waiting(figures: Figures, path: Path) -> None:
    """Plot the mean and 99th percentile of waiting times by load."""
    _, axes = plt.subplots(1, 2, figsize=(10, 4))
    for axis, metric, title in (
        (axes[0], "mean_wait_ms", "mean wait (ms)"),
        (axes[1], "p99_wait_ms", "p99 wait (ms)"),
    ):
        for method, label in _METHOD_LABELS.items():
            values = [figures[f"load_{load}_{method}"][metric] for load in _LOADS]
            axis.plot(_LOADS, values, marker="o", label=label)
        axis.set_yscale("log")
        axis.set_xlabel("load (%)")
        axis.set_title(title)
    axes[0].legend(fontsize=8)
    plt.tight_layout()
    plt.savefig(path, dpi=110)
    plt.close()


def plot_worst_served(figures: Figures, path: Path) -> None:
    """Plot the fraction answered in time of the worst-served customer."""
    _, axis = plt.subplots(figsize=(6, 4))
    for offset, discipline, label in (
        (-0.2, "fifo", "one queue"),
        (0.2, "home", "fair queue"),
    ):
        positions = [position + offset for position in range(len(_CASES))]
        values = [
            figures[f"{case}_{discipline}"]["worst_share_in_time"] for case in _CASES
        ]
        bars = axis.bar(positions, values, 0.4, label=label)
        axis.bar_label(bars, fmt="%.3f")
    axis.set_xticks(range(len(_CASES)), list(_CASES.values()))
    axis.set_ylabel("worst-served customer: fraction in time")
    axis.set_ylim(0.0, 1.15)
    axis.legend(fontsize=8)
    plt.tight_layout()
    plt.savefig(path, dpi=110)
    plt.close()


def main(source: str, folder: str) -> None:
    """Plot the figures of a JSON file into a folder."""
    figures: Figures = json.loads(Path(source).read_text())
    plot_waiting(figures, Path(folder) / "home-waiting.png")
    plot_worst_served(figures, Path(folder) / "home-worst-served.png")


if __name__ == "__main__":
    fire.Fire(main)
