"""`corkdeal experiment`: long runs against fake clients and backends, on loopback only."""

from __future__ import annotations

import json
import os

import click


@click.group("experiment")
def command() -> None:
    """Run experiments with fake clients and backends. They take minutes and need otherwise idle cores."""


@command.command("restarts")
@click.option("--seeds", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option("--together", type=click.IntRange(1, 16), default=3, show_default=True, help="Concurrent runs.")
@click.option(
    "--every",
    type=click.FloatRange(0.1, 60),
    default=1.0,
    show_default=True,
    help="Seconds between snapshots.",
)
@click.option("--load", type=click.Choice(["usual", "high"]), default="usual", show_default=True)
@click.option("--out", type=click.Path(file_okay=False), required=True, help="Folder for results and chart.")
def restarts(seeds: int, together: int, every: float, load: str, out: str) -> None:
    """Measure what restarts cost with and without persisted state; needs requirements-experiment.txt."""
    from ..experiment import restarts as experiment
    from ..experiment import summary

    runs = experiment.run_all(list(range(1, seeds + 1)), list(experiment.VARIANTS), every, load, together)
    os.makedirs(out, exist_ok=True)
    with open(os.path.join(out, f"restarts-{load}.json"), "w", encoding="utf-8") as file:
        json.dump(runs, file, separators=(",", ":"))
    rows = summary.restart_rows(runs)
    summary.chart(
        rows, os.path.join(out, f"restarts-{load}.svg"), f"Loss after a restart, {load} load, {seeds} seeds"
    )
    click.echo(summary.markdown(rows))


@command.command("kills")
@click.option("--kills", type=click.IntRange(1, 10_000), default=300, show_default=True)
@click.option(
    "--together", type=click.IntRange(2, 8), default=4, show_default=True, help="Gateways of the tier."
)
@click.option("--seed", type=int, default=1, show_default=True)
def kills(kills: int, together: int, seed: int) -> None:
    """Kill gateways at random moments under load and check the files after each; stop at the first fault."""
    import asyncio

    from ..experiment import crash_test as experiment

    click.echo(json.dumps(asyncio.run(experiment.run(kills, together, seed))))


@command.command("cuts")
@click.option("--days", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1, 1000),
    default=30.0,
    show_default=True,
    help="Attempts a second at one gateway.",
)
def cuts(days: int, rate: float) -> None:
    """Measure false alarms and detection times of lost zones, in virtual time."""
    from ..experiment import zone_outage as experiment

    alarms = experiment.false_alarms(days, 60.0, rate)
    delays = [experiment.detection_delays(days, rate, kind) for kind in experiment.CONDITIONS]
    click.echo(json.dumps({"false_alarms": alarms, "delays": delays}, indent=1))


@command.command("tier")
@click.argument("schedule", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--seed", "seeds", type=int, multiple=True, default=(1,), show_default=True, help="One run per seed."
)
@click.option("--out", type=click.Path(file_okay=False), required=True, help="Folder for logs and results.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    multiple=True,
    help="Another checkout of the program to run and compare with.",
)
@click.option("--together", type=click.IntRange(1, 8), default=1, show_default=True, help="Concurrent runs.")
@click.option("--report", type=click.Path(file_okay=False), help="Folder for a JSON summary and a chart.")
def tier(
    schedule: str,
    seeds: tuple[int, ...],
    out: str,
    program: tuple[str, ...],
    together: int,
    report: str | None,
) -> None:
    """Run a schedule of faults against real gateways; exit code 1 if a rule was broken. See docs/tier.md."""
    from ..experiment import variants
    from ..options import OptionsError

    try:
        runs = variants.run_all(schedule, list(seeds), ["", *program], out, together)
    except OptionsError as error:
        for fault in error.faults:
            click.echo(f"{schedule}: {fault}", err=True)
        raise SystemExit(2) from None
    if report:
        os.makedirs(report, exist_ok=True)
        name = os.path.splitext(os.path.basename(schedule))[0]
        variants.report(os.path.join(report, f"{name}.json"), runs)
        variants.chart(os.path.join(report, f"{name}.svg"), runs, name)
    click.echo(variants.table(runs))
    broken = [b for run in runs if not run["arm"] for b in run["broken"]]
    for violation in broken[:10]:
        click.echo(f"broken: {violation['rule']}\n  " + "\n  ".join(violation["lines"]))
    raise SystemExit(1 if broken else 0)


@command.command("explore")
@click.option(
    "--depth", type=click.IntRange(1, 8), default=4, show_default=True, help="Steps of the exhaustive search."
)
@click.option(
    "--walks",
    type=click.IntRange(0, 100_000),
    default=1000,
    show_default=True,
    help="Number of longer random runs.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--together", type=click.IntRange(1, 16), default=4, show_default=True, help="Worker processes."
)
def explore(depth: int, walks: int, seed: int, together: int) -> None:
    """Check all orders of crash, start, message, loss and tick on three gateways' decisions; no sockets."""
    from ..experiment import explore as experiment

    result = experiment.explore(depth, walks, seed, together)
    click.echo(json.dumps(result, indent=1))
    raise SystemExit(1 if result["faults"] else 0)


@command.command("members")
@click.option(
    "--size",
    "sizes",
    type=click.IntRange(3, 1000),
    multiple=True,
    default=(3, 10, 20),
    show_default=True,
    help="Number of gateways; may be repeated.",
)
@click.option(
    "--hours",
    type=click.FloatRange(0.01, 1000),
    default=100.0,
    show_default=True,
    help="Member-hours per row of false alarms.",
)
@click.option(
    "--explore",
    "depth",
    type=click.IntRange(0, 5),
    default=0,
    show_default=True,
    help="Instead, check all orders of that many cuts and pauses.",
)
@click.option(
    "--together", type=click.IntRange(1, 16), default=4, show_default=True, help="Worker processes."
)
def members(sizes: tuple[int, ...], hours: float, depth: int, together: int) -> None:
    """Measure failure detection in virtual time, or check that no quota share is ever spent twice."""
    from ..experiment import membership as experiment

    if not depth:
        return click.echo(json.dumps(experiment.measure(list(sizes), hours, together), indent=1))
    result = [experiment.explore(n, depth, together) for n in sizes]
    click.echo(json.dumps(result, indent=1))
    raise SystemExit(1 if any(one["faults"] for one in result) else 0)


@command.command("fleet")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--out", type=click.Path(), help="JSON file for the result; a chart is written beside it as .svg."
)
@click.option("--title", default="", help="Title of the chart.")
def fleet(folder: str, out: str | None, title: str) -> None:
    """Add up the `figures` lines of all logs in a folder, per second and cause."""
    import pathlib

    from ..experiment import fleet_metrics as experiment

    result = experiment.sum_logs(pathlib.Path(folder))
    if not result["rows"]:
        raise click.ClickException(f"{folder}: contains no log with `figures` lines")
    if out:
        pathlib.Path(out).write_text(json.dumps(result, separators=(",", ":")))
        experiment.chart(result, str(pathlib.Path(out).with_suffix(".svg")), title or folder)
    click.echo(experiment.table(result))


def parse_seed_range(context: click.Context, parameter: click.Parameter, value: str) -> list[int]:
    """Parse `A-B` or one seed."""
    first, _, last = value.partition("-")
    try:
        seeds = list(range(int(first), int(last or first) + 1))
    except ValueError:
        raise click.BadParameter(f"{value!r} is not a seed or a range A-B") from None
    if not seeds:
        raise click.BadParameter(f"{value!r} is an empty range")
    return seeds


@command.command("soak")
@click.option(
    "--seeds", callback=parse_seed_range, default="1-5", show_default=True, help="One seed, or a range A-B."
)
@click.option(
    "--duration",
    type=click.FloatRange(5, 3600),
    default=30.0,
    show_default=True,
    help="Seconds of a run until its final shutdown.",
)
@click.option("--together", type=click.IntRange(1, 8), default=1, show_default=True, help="Concurrent runs.")
@click.option(
    "--out",
    type=click.Path(file_okay=False),
    default="found/soak",
    show_default=True,
    help="Folder for the logs of seeds that broke a rule.",
)
def soak(seeds: list[int], duration: float, together: int, out: str) -> None:
    """Run gateways under drawn faults, signals and upgrades; exit code 1 if a rule was broken."""
    from ..experiment.soak import run

    broken = 0
    for result in run.run_seeds(seeds, duration, together, out):
        click.echo(result.summary())
        for violation in result.violations[:3]:
            click.echo(f"  broken: {violation.rule}\n    " + "\n    ".join(violation.lines))
        if result.violations:
            broken += 1
            again = f"corkdeal experiment soak --seeds {result.seed} --duration {duration:g}"
            click.echo(f"  {len(result.violations)} in all; again with: {again}\n  logs: {result.folder}")
    click.echo(f"{len(seeds)} seeds of {duration:g} s, {broken} with a broken rule")
    raise SystemExit(1 if broken else 0)
