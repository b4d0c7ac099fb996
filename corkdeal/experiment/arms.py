"""Runs of one schedule, by seed and by program, each in a process of its own; their table and chart."""

from __future__ import annotations

import json
import os
import pathlib
import subprocess
import sys
from typing import Any

from . import schedule as schedules
from .summary import mean_and_half


def play_all(
    path: str, seeds: list[int], programs: list[str], out: str, together: int
) -> list[dict[str, Any]]:
    """All runs; a schedule with faults is refused before any. Results stand in `out` as JSON."""
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
                                folder_of(out, seed, program),
                            ],
                            stdout=subprocess.PIPE,
                            text=True,
                        ),
                    )
                )
            seed, program, process = running[0]
            said, _ = process.communicate()
            running.pop(0)
            if process.returncode:
                raise RuntimeError(f"seed {seed}: exit code {process.returncode}")
            runs.append({"arm": os.path.basename(program.rstrip("/")), **json.loads(said)})
    finally:
        for _, _, process in running:  # its gateways end with it
            process.kill()
            process.wait()
    name = os.path.splitext(os.path.basename(path))[0]
    with open(os.path.join(out, f"{name}.json"), "w", encoding="utf-8") as file:
        json.dump(runs, file, separators=(",", ":"))
    return runs


def folder_of(out: str, seed: int, program: str) -> str:
    """A run's own folder, for logs and stored state."""
    return os.path.abspath(os.path.join(out, f"{seed}-{os.path.basename(program.rstrip('/')) or 'here'}"))


def figures(run: dict[str, Any]) -> dict[str, float]:
    """The figures that runs are compared by."""
    never = run["full_after"] is None
    return {
        "time to full service, s": run["curve_s"] if never else run["full_after"],
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
    """Means with their 95% intervals by arm, and the worst."""
    names = list(dict.fromkeys(run["arm"] for run in runs))
    by_arm = {arm: [figures(r) for r in runs if r["arm"] == arm] for arm in names}
    lines = ["| | " + " | ".join(arm or "here" for arm in names) + " |", "| --- |" + " --- |" * len(names)]
    for key in figures(runs[0]):
        cells = []
        for arm in names:
            values = [f[key] for f in by_arm[arm]]
            mean, half = mean_and_half(values)
            cells.append(
                f"{mean:.2f}" + (f" ± {half:.2f}" if len(values) > 1 else "") + f" (most {max(values):.2f})"
            )
        lines.append(f"| {key} | " + " | ".join(cells) + " |")
    return "\n".join(lines)


def main() -> None:
    """One run, its results on standard output."""
    import asyncio

    from .tier import play

    path, seed, program, folder = sys.argv[1:]
    where = pathlib.Path(folder)
    where.mkdir(parents=True, exist_ok=True)
    made = asyncio.run(
        play(schedules.load(path), int(seed), where, pathlib.Path(program) if program else None)
    )
    print(json.dumps(made))


if __name__ == "__main__":
    main()
