"""Tables and charts of an experiment's runs: differences paired by seed, with confidence intervals."""

from __future__ import annotations

import math
import statistics
from collections.abc import Iterable
from typing import Any

# Quantiles of Student's t for a 95% interval, by degrees of freedom.
T95 = {1: 12.71, 2: 4.30, 3: 3.18, 4: 2.78, 5: 2.57, 6: 2.45, 7: 2.36, 8: 2.31, 9: 2.26, 14: 2.14, 19: 2.09}


def mean_and_half_width(values: Iterable[float]) -> tuple[float, float]:
    """Mean and half width of its 95% confidence interval (Student's t), infinite for a single value."""
    sample = list(values)
    if len(sample) < 2:
        return sample[0] if sample else math.nan, math.inf
    degrees_of_freedom = len(sample) - 1
    quantile = T95.get(degrees_of_freedom) or T95[max(k for k in T95 if k <= degrees_of_freedom)]
    return statistics.mean(sample), quantile * statistics.stdev(sample) / math.sqrt(len(sample))


def runs_by_seed(runs: list[dict[str, Any]]) -> dict[int, dict[str, dict[str, Any]]]:
    """Runs by seed and variant."""
    by_seed: dict[int, dict[str, dict[str, Any]]] = {}
    for run in runs:
        by_seed.setdefault(run["seed"], {})[run["arm"]] = run
    return by_seed


def restart_rows(runs: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """The loss of each variant against `calm` by window length, and how much of it persisted state saves."""
    rows = []
    for length in sorted({window["length"] for run in runs for window in run["windows"]}):
        for what, key, asked in (
            ("worth served in time, all gateways", "served", "asked"),
            ("worth served in time, there", "served_there", "asked_there"),
            ("units let in beyond quotas", "beyond", ""),
            ("attempts sent to slow servers, there", "to_slow", ""),
        ):
            losses: dict[str, list[float]] = {"forgets": [], "knows": []}
            for variants in runs_by_seed(runs).values():
                if not {"calm", *losses} <= variants.keys():
                    continue
                windows = {
                    variant: [window for window in run["windows"] if window["length"] == length]
                    for variant, run in variants.items()
                }
                for variant, variant_losses in losses.items():
                    window_losses = []
                    for window, calm in zip(windows[variant], windows["calm"], strict=True):
                        difference = calm[key] - window[key]
                        window_losses.append(100 * difference / calm[asked] if asked else -difference)
                    variant_losses.append(sum(window_losses) / len(window_losses))
            paired_differences = [a - b for a, b in zip(losses["forgets"], losses["knows"], strict=True)]
            forgets, knows, saved = (
                mean_and_half_width(sample)
                for sample in (losses["forgets"], losses["knows"], paired_differences)
            )
            rows.append(
                {
                    "window_s": length,
                    "what": what,
                    "unit": "% of asked" if asked else "units",
                    "forgets": forgets,
                    "knows": knows,
                    "saved": saved,
                    "saved_share": saved[0] / forgets[0] if forgets[0] else math.nan,
                }
            )
    return rows


def markdown(rows: list[dict[str, Any]]) -> str:
    """The rows as a Markdown table."""
    lines = [
        "| window | lost, or admitted in addition, compared with calm | forgets | knows | saved | share |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    for r in rows:
        cells = [f"{m:.2f} ± {h:.2f}" for m, h in (r["forgets"], r["knows"], r["saved"])]
        lines.append(
            f"| {r['window_s']:.0f} s | {r['what']}, {r['unit']} | {' | '.join(cells)} "
            f"| {100 * r['saved_share']:.0f}% |"
        )
    return "\n".join(lines)


def chart(rows: list[dict[str, Any]], path: str, title: str) -> None:
    """Draw a bar chart with confidence intervals, as SVG or PNG by the extension of the path."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "corkdeal"
    from matplotlib import pyplot

    kinds = list(dict.fromkeys(r["what"] for r in rows))
    figure, axes = pyplot.subplots(1, len(kinds), figsize=(4 * len(kinds), 3.4))
    for axis, what in zip(axes, kinds, strict=True):
        rows_of_kind = [r for r in rows if r["what"] == what]
        for offset, variant in ((-0.2, "forgets"), (0.2, "knows")):
            axis.bar(
                [i + offset for i in range(len(rows_of_kind))],
                [r[variant][0] for r in rows_of_kind],
                0.4,
                yerr=[r[variant][1] for r in rows_of_kind],
                capsize=3,
                label=variant,
            )
        axis.set_xticks(range(len(rows_of_kind)), [f"{r['window_s']:.0f} s" for r in rows_of_kind])
        axis.set_title(what, fontsize=9)
        axis.set_ylabel(rows_of_kind[0]["unit"])
        axis.axhline(0, color="black", linewidth=0.5)
    axes[0].legend(fontsize=8)
    figure.suptitle(title, fontsize=10)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith("svg") else None)
    pyplot.close(figure)
