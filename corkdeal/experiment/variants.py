"""Runs a schedule for each seed and each variant of the program; table and chart of the results.

A variant is this checkout or another one whose gateways run instead.
"""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from . import schedule as schedules
from .summary import mean_and_half_width


def run_all(
    path: str, seeds: list[int], programs: list[str], out: str, together: int
) -> list[dict[str, Any]]:
    """Run every combination of seed and program, at most `together` at a time, each in its own process.

    The results are also saved in `out`. Raises `OptionsError` before the first run if the schedule is
    invalid.
    """
    schedules.load(path)
    os.makedirs(out, exist_ok=True)
    jobs = [(seed, program) for seed in seeds for program in programs]
    running: list[tuple[int, str, subprocess.Popen[str]]] = []
    runs = []
    try:
        while jobs or running:
            while jobs and len(running) < together:
                seed, program = jobs.pop(0)
                running.append(
                    (
                        seed,
                        program,
                        subprocess.Popen(
                            [
                                sys.executable,
                                "-m",
                                __name__,
                                path,
                                str(seed),
                                program,
                                run_folder(out, seed, program),
                            ],
                            stdout=subprocess.PIPE,
                            text=True,
                        ),
                    )
                )
            seed, program, process = running[0]
            output, _ = process.communicate()
            running.pop(0)
            if process.returncode:
                raise RuntimeError(f"run with seed {seed} failed with exit code {process.returncode}")
            runs.append({"arm": os.path.basename(program.rstrip("/")), **json.loads(output)})
    finally:
        for _, _, process in running:  # killing a run also kills its gateways (PR_SET_PDEATHSIG)
            process.kill()
            process.wait()
    name = os.path.splitext(os.path.basename(path))[0]
    with open(os.path.join(out, f"{name}.json"), "w", encoding="utf-8") as file:
        json.dump(runs, file, separators=(",", ":"))
    return runs


def run_folder(out: str, seed: int, program: str) -> str:
    """The folder of one run, for its logs and persisted state."""
    return os.path.abspath(os.path.join(out, f"{seed}-{os.path.basename(program.rstrip('/')) or 'here'}"))


def metrics_of(run: dict[str, Any]) -> dict[str, float]:
    """The metrics by which runs are compared, by their label in the table."""
    never_full = run["full_after"] is None
    return {
        "time to full service, s": run["curve_s"] if never_full else run["full_after"],
        "worth lost until then": run["lost_worth"],
        "served, % of asked": 100 * run["outcomes"]["served"] / max(1, run["asked"]),
        "units over quota, worst account, 5 s": run["over_most"]["5"],
        "units over quota, all accounts, 5 s": run["over_sum"]["5"],
        **{
            f"peak of {kind}, times steady": p["peak"] / p["steady"] if p["steady"] else float(p["peak"])
            for kind, p in run["peaks"].items()
        },
        "rules broken": len(run["broken"]),
    }


def table(runs: list[dict[str, Any]]) -> str:
    """A Markdown table with mean, 95% confidence interval and maximum of each metric by variant."""
    variants = list(dict.fromkeys(run["arm"] for run in runs))
    metrics_by_variant = {
        variant: [metrics_of(run) for run in runs if run["arm"] == variant] for variant in variants
    }
    lines = [
        "| | " + " | ".join(variant or "here" for variant in variants) + " |",
        "| --- |" + " --- |" * len(variants),
    ]
    for key in metrics_of(runs[0]):
        cells = []
        for variant in variants:
            values = [metrics[key] for metrics in metrics_by_variant[variant]]
            mean, half_width = mean_and_half_width(values)
            cells.append(
                f"{mean:.2f}"
                + (f" ± {half_width:.2f}" if len(values) > 1 else "")
                + f" (most {max(values):.2f})"
            )
        lines.append(f"| {key} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


REPORTED_FIELDS = (
    "arm",
    "seed",
    "gateways",
    "servers",
    "asked",
    "outcomes",
    "before",
    "back_at",
    "full_after",
    "full_after_fault",
    "lost_worth",
    "peaks",
    "over_most",
    "over_sum",
    "over_bound",
    "fallen",
    "links",
    "link_delay_ms",
    "ready_s",
    "full_said",
    "curve",
)


def report(path: str, runs: list[dict[str, Any]]) -> None:
    """Write the fields in `REPORTED_FIELDS` of all runs, and their violations by rule, for docs/reports."""
    reported = []
    for run in runs:
        violations: dict[str, int] = {}
        for violation in run["broken"]:
            violations[violation["rule"]] = violations.get(violation["rule"], 0) + 1
        reported.append({**{key: run[key] for key in REPORTED_FIELDS}, "broken": violations})
    with open(path, "w", encoding="utf-8") as file:
        json.dump(reported, file, separators=(",", ":"))
        file.write("\n")


def chart(path: str, runs: list[dict[str, Any]], title: str) -> None:
    """Plot the worth served in time, relative to the worth requested within quotas, for each variant."""
    import matplotlib

    matplotlib.use("Agg")
    matplotlib.rcParams["svg.hashsalt"] = "corkdeal"
    from matplotlib import pyplot

    figure, axis = pyplot.subplots(figsize=(8, 3.6))
    for variant in dict.fromkeys(run["arm"] for run in runs):
        curves = [run["curve"] for run in runs if run["arm"] == variant]
        length = min(map(len, curves))
        seconds = [0.5 + i / 2 for i in range(length)]
        mean = [sum(curve[i] for curve in curves) / len(curves) for i in range(length)]
        axis.plot(seconds, mean, label=variant or "here")
        low, high = ([pick(curve[i] for curve in curves) for i in range(length)] for pick in (min, max))
        axis.fill_between(seconds, low, high, alpha=0.2)
    axis.set_xlabel("s")
    axis.set_ylabel("worth served in time")
    axis.set_ylim(0, 1)
    axis.set_title(title, fontsize=10)
    axis.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(path, metadata={"Date": None} if path.endswith("svg") else None)
    pyplot.close(figure)


def main() -> None:
    """Run one schedule once, and print its results as JSON."""
    import asyncio

    from .tier import run_schedule

    path, seed, program, folder = sys.argv[1:]
    folder_path = pathlib.Path(folder)
    folder_path.mkdir(parents=True, exist_ok=True)
    results = asyncio.run(
        run_schedule(schedules.load(path), int(seed), folder_path, pathlib.Path(program) if program else None)
    )
    print(json.dumps(results))


if __name__ == "__main__":
    main()
