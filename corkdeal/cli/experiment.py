"""`corkdeal experiment`: long runs on stand-ins, on loopback only."""

from __future__ import annotations

import json
import os

import click


@click.group("experiment")
def command() -> None:
    """Run experiments on stand-ins. They take minutes and want the cores to themselves."""


@command.command("restarts")
@click.option("--seeds", type=click.IntRange(1, 100), default=10, show_default=True)
@click.option(
    "--together", type=click.IntRange(1, 16), default=3, show_default=True, help="Runs at the same time."
)
@click.option(
    "--every", type=click.FloatRange(0.1, 60), default=1.0, show_default=True, help="Seconds between writes."
)
@click.option("--load", type=click.Choice(["usual", "high"]), default="usual", show_default=True)
@click.option(
    "--out", type=click.Path(file_okay=False), required=True, help="Folder for runs, table and chart."
)
def restarts(seeds: int, together: int, every: float, load: str, out: str) -> None:
    """What restarts cost with and without knowledge; needs requirements-experiment.txt."""
    from ..experiment import restarts as experiment
    from ..experiment import summary

    runs = experiment.play_all(list(range(1, seeds + 1)), list(experiment.ARMS), every, load, together)
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
    """Kill gateways at random moments under load; look at what each death left; stop at the first fault."""
    import asyncio

    from ..experiment import kills as experiment

    click.echo(json.dumps(asyncio.run(experiment.play(kills, together, seed))))


@command.command("cuts")
@click.option("--days", type=click.IntRange(1, 10_000), default=100, show_default=True)
@click.option(
    "--rate",
    type=click.FloatRange(1, 1000),
    default=30.0,
    show_default=True,
    help="Attempts a second of one gateway.",
)
def cuts(days: int, rate: float) -> None:
    """How often a hall is wrongly declared lost, and how soon rightly; in virtual time."""
    from ..experiment import cuts as experiment

    alarms = experiment.false_alarms(days, 60.0, rate)
    delays = [experiment.delays(days, rate, kind) for kind in experiment.TROUBLES]
    click.echo(json.dumps({"false_alarms": alarms, "delays": delays}, indent=1))


@command.command("tier")
@click.argument("schedule", type=click.Path(exists=True, dir_okay=False))
@click.option(
    "--seed", "seeds", type=int, multiple=True, default=(1,), show_default=True, help="Once for each."
)
@click.option("--out", type=click.Path(file_okay=False), required=True, help="Folder for logs and results.")
@click.option(
    "--program",
    type=click.Path(exists=True, file_okay=False),
    multiple=True,
    help="Another checkout to run as well, as an arm of its own.",
)
@click.option(
    "--together", type=click.IntRange(1, 8), default=1, show_default=True, help="Runs at the same time."
)
@click.option("--report", type=click.Path(file_okay=False), help="Folder for a short JSON and a chart.")
def tier(
    schedule: str,
    seeds: tuple[int, ...],
    out: str,
    program: tuple[str, ...],
    together: int,
    report: str | None,
) -> None:
    """Play a schedule of faults on real gateways; exit code 1 where a rule was broken. See docs/tier.md."""
    from ..experiment import arms
    from ..options import OptionsError

    try:
        runs = arms.play_all(schedule, list(seeds), ["", *program], out, together)
    except OptionsError as error:
        for fault in error.faults:
            click.echo(f"{schedule}: {fault}", err=True)
        raise SystemExit(2) from None
    if report:
        os.makedirs(report, exist_ok=True)
        name = os.path.splitext(os.path.basename(schedule))[0]
        arms.report(os.path.join(report, f"{name}.json"), runs)
        arms.chart(os.path.join(report, f"{name}.svg"), runs, name)
    click.echo(arms.table(runs))
    broken = [b for run in runs if not run["arm"] for b in run["broken"]]
    for each in broken[:10]:
        click.echo(f"broken: {each['rule']}\n  " + "\n  ".join(each["lines"]))
    raise SystemExit(1 if broken else 0)


@command.command("explore")
@click.option("--depth", type=click.IntRange(1, 8), default=4, show_default=True, help="Steps, all orders.")
@click.option("--walks", type=click.IntRange(0, 100_000), default=1000, show_default=True, help="Longer.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--together", type=click.IntRange(1, 16), default=4, show_default=True, help="Processes.")
def explore(depth: int, walks: int, seed: int, together: int) -> None:
    """Every order of crash, start, message, loss and tick on three gateways' decisions; no sockets."""
    from ..experiment import explore as experiment

    made = experiment.explore(depth, walks, seed, together)
    click.echo(json.dumps(made, indent=1))
    raise SystemExit(1 if made["faults"] else 0)


@command.command("members")
@click.option(
    "--size",
    "sizes",
    type=click.IntRange(3, 1000),
    multiple=True,
    default=(3, 10, 20),
    show_default=True,
    help="Gateways; several times.",
)
@click.option(
    "--hours",
    type=click.FloatRange(0.01, 1000),
    default=100.0,
    show_default=True,
    help="Member-hours for each row of false alarms.",
)
@click.option(
    "--explore",
    "depth",
    type=click.IntRange(0, 5),
    default=0,
    show_default=True,
    help="Instead, play all orders of so many cuts and pauses.",
)
@click.option("--together", type=click.IntRange(1, 16), default=4, show_default=True, help="Processes.")
def members(sizes: tuple[int, ...], hours: float, depth: int, together: int) -> None:
    """How soon and how rightly deaths are seen, in virtual time; or whether a slice is ever spent twice."""
    from ..experiment import members as experiment

    if not depth:
        return click.echo(json.dumps(experiment.measure(list(sizes), hours, together), indent=1))
    made = [experiment.explore(n, depth, together) for n in sizes]
    click.echo(json.dumps(made, indent=1))
    raise SystemExit(1 if any(one["faults"] for one in made) else 0)


@command.command("fleet")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.option(
    "--out", type=click.Path(), help="The same as JSON, to a file ending in .json; with a chart beside it."
)
@click.option("--title", default="", help="Of the chart.")
def fleet(folder: str, out: str | None, title: str) -> None:
    """Add up the `figures` lines of all logs in a folder, by second and by cause."""
    import pathlib

    from ..experiment import fleet as experiment

    seen = experiment.add_up(pathlib.Path(folder))
    if not seen["rows"]:
        raise click.ClickException(f"{folder}: no log there holds a line of figures")
    if out:
        pathlib.Path(out).write_text(json.dumps(seen, separators=(",", ":")))
        experiment.chart(seen, str(pathlib.Path(out).with_suffix(".svg")), title or folder)
    click.echo(experiment.table(seen))
