"""`corkdeal knowledge`: shows, verifies, ages and merges snapshot files of persisted state."""

from __future__ import annotations

import math
import os
from typing import Any

import click

from ..persistence import clock, expiry, merge
from ..persistence.codec import Snapshot, decode_snapshot, encode_page, encode_page_entry, encode_snapshot
from ..persistence.envelope import MAX_FILE_SIZE
from ..persistence.errors import DamagedSnapshotError, UnsupportedFormatError
from ..persistence.files import StateFolder
from ..persistence.store import match_snapshot_name
from . import json_option, print_result

MAX_ROWS = 20


def read_snapshot(path: str) -> tuple[int, int, Snapshot]:
    """Return a file's generation, format and snapshot; raise a click error if it is unusable."""
    try:
        return decode_snapshot(read_bytes(path))
    except (DamagedSnapshotError, UnsupportedFormatError, OSError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def read_bytes(path: str) -> bytes:
    """Return a file's bytes; reject a symlink, a FIFO and a file of another user, as the gateway does."""
    folder = StateFolder(os.path.dirname(os.path.abspath(path)), create_missing=False)
    try:
        return folder.read(os.path.basename(path), MAX_FILE_SIZE)
    finally:
        folder.close()


def write_snapshot(path: str, snapshot: Snapshot, generation: int) -> None:
    """Write a snapshot to a new file; an existing one is never overwritten."""
    entries = [
        encode_page_entry(customer, raw) for page in snapshot.accounts for customer, raw in page.items()
    ]
    parts = encode_snapshot(generation, snapshot.head, [encode_page(entries, len(entries))])
    folder = StateFolder(os.path.dirname(os.path.abspath(path)), create_missing=False)
    name = os.path.basename(path)
    try:
        file = folder.create(name)
        try:
            folder.write(file, parts)
            folder.sync(file)
        finally:
            folder.close_file(file)
        folder.sync_folder()
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    finally:
        folder.close()


def newest_generation(path: str) -> str:
    """Return the path of the newest generation in a folder; the path itself if it is a file."""
    if not os.path.isdir(path):
        return path
    names = sorted(filter(match_snapshot_name, os.listdir(path)))
    if not names:
        raise click.ClickException(f"{path}: contains no snapshot")
    return os.path.join(path, names[-1])


def describe(
    path: str, generation: int, format_version: int, snapshot: Snapshot, added_age: float = 0.0
) -> dict[str, Any]:
    """Describe a snapshot, with ages and weights as they are now, or `added_age` seconds later."""
    head = snapshot.head
    age, clock_anomalies = clock.measure_age(head.clock, clock.read_clocks())
    age += added_age

    def age_of(recorded_at: float) -> float:
        return max(0.0, age + head.clock.boot - recorded_at)

    accounts = merge.accounts_of(snapshot)
    return {
        "file": path,
        "generation": generation,
        "format": format_version,
        "name": head.name,
        "program": head.program,
        "age": round_finite(age),
        "odd": list(clock_anomalies),
        "clean": head.is_clean,
        "unseen": head.write_interval,
        "ledgers_hold": age < expiry.LEDGER_HORIZON and head.fleet.incarnation > 0,
        "fleet": {
            "pace": head.fleet.pace,
            "pace_weight": expiry.USUAL_LATENCY.weight(age),
            "slow": head.fleet.latency_ratio,
            "slow_weight": expiry.FLEET_LATENCY_RATIO.weight(age),
            "retries": head.fleet.retry_budget,
        },
        "work": [
            {
                "class": w.request_class,
                "size": w.size,
                "seconds": w.latency,
                "age": round_finite(age_of(w.recorded_at)),
                "weight": expiry.USUAL_LATENCY.weight(age_of(w.recorded_at)),
            }
            for w in head.fleet.usual_latencies
        ],
        "servers": [
            {
                "server": s.backend,
                "started": s.started,
                "age": round_finite(age_of(s.recorded_at)),
                "slow": s.latency_ratio,
                "weight": expiry.BACKEND_LATENCY_RATIO.weight(age_of(s.recorded_at)),
                "failures": s.failures,
                "ejected": s.is_ejected,
                "failures_weight": expiry.BACKEND_FAILURES.weight(age_of(s.recorded_at)),
                "address": s.address,
                "shut": [x.request_class for x in s.rejections],
            }
            for s in head.servers
        ],
        "accounts": [
            {
                "customer": f"{key:016x}",
                "plan": a.plan,
                "first": a.first_gateway,
                "spread": a.member_count,
                "age": round_finite(age_of(a.refilled_at)),
                "level": a.level,
                "demand": a.demand,
                "open": a.in_flight,
                "ledgers": len(a.ledgers) + len(a.tree_edges),
                "counts": age_of(a.refilled_at) < expiry.ACCOUNT_HORIZON,
            }
            for key, a in sorted(accounts.items())
        ],
    }


def round_finite(value: float) -> float | None:
    """Round a number for JSON, which has no infinity and no NaN: these become None."""
    return round(value, 3) if math.isfinite(value) else None


def format_table(rows: list[dict[str, Any]], max_rows: int = MAX_ROWS) -> str:
    """Format rows as columns under their names, at most `max_rows` rows."""
    if not rows:
        return "  none"
    names = list(rows[0])
    cells = [[format_cell(row[name]) for name in names] for row in rows[:max_rows]]
    widths = [max(len(name), *(len(row[i]) for row in cells)) for i, name in enumerate(names)]
    lines = ["  " + "  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True))]
    lines += ["  " + "  ".join(c.ljust(width) for c, width in zip(row, widths, strict=True)) for row in cells]
    more = [f"  and {len(rows) - max_rows} more; --json prints all"] if len(rows) > max_rows else []
    return "\n".join([line.rstrip() for line in lines] + more)


def format_cell(value: Any) -> str:
    """Format one cell."""
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return f"{value:.3f}" if isinstance(value, float) else "endless" if value is None else str(value)


def format_description(description: dict[str, Any]) -> str:
    """Format a described snapshot as text."""
    lines = [
        f"{key}: {format_cell(description[key])}"
        for key in (
            "file",
            "generation",
            "format",
            "name",
            "program",
            "age",
            "odd",
            "clean",
            "unseen",
            "ledgers_hold",
        )
    ]
    lines.append(
        "fleet: " + ", ".join(f"{key} {format_cell(value)}" for key, value in description["fleet"].items())
    )
    for key in ("work", "servers", "accounts"):
        lines += [f"{key} ({len(description[key])}):", format_table(description[key])]
    return "\n".join(lines)


@click.group("knowledge")
def command() -> None:
    """Show and repair persisted state. A folder stands for its newest generation."""


@command.command("show")
@click.argument("path", type=click.Path(exists=True))
@json_option
def show(path: str, as_json: bool) -> None:
    """Print a snapshot with ages and weights as they are now."""
    path = newest_generation(path)
    description = describe(path, *read_snapshot(path))
    print_result(description, as_json, format_description(description))


@command.command("verify")
@click.argument("paths", type=click.Path(exists=True), nargs=-1, required=True)
@json_option
@click.pass_context
def verify(ctx: click.Context, paths: tuple[str, ...], as_json: bool) -> None:
    """Report faults of files and their positions; of a folder all generations. Exit code 1 if any has one."""
    files: list[str] = []
    for path in paths:
        names = sorted(filter(match_snapshot_name, os.listdir(path))) if os.path.isdir(path) else None
        files += [path] if names is None else [os.path.join(path, name) for name in names]
    results = []
    for path in files:
        try:
            generation, format_version, snapshot = decode_snapshot(read_bytes(path))
            undecodable = sum(map(len, snapshot.accounts)) - len(merge.accounts_of(snapshot))
            name_match = match_snapshot_name(os.path.basename(path))
            fault = f"{undecodable} accounts cannot be decoded" if undecodable else ""
            if name_match and int(name_match[1]) != generation:
                fault = f"byte 16: generation {generation} in the file of generation {int(name_match[1])}"
            results.append({"file": path, "format": format_version, "good": not fault, "fault": fault})
        except (DamagedSnapshotError, UnsupportedFormatError, OSError) as error:
            results.append({"file": path, "format": None, "good": False, "fault": str(error)})
    lines = [f"{f['file']}: {'good' if f['good'] else f['fault']}" for f in results]
    print_result(results, as_json, "\n".join(lines) or "no files")
    ctx.exit(0 if all(f["good"] for f in results) else 1)


@command.command("age")
@click.argument("path", type=click.Path(exists=True))
@click.option("--by", type=click.FloatRange(min=0), required=True, help="Seconds to add to its age.")
@click.option("--write", "out", type=click.Path(), help="Write the aged snapshot to a new file.")
@json_option
def age(path: str, by: float, out: str | None, as_json: bool) -> None:
    """Print a snapshot as it would be after that many more seconds."""
    path = newest_generation(path)
    generation, format_version, snapshot = read_snapshot(path)
    if out:
        write_snapshot(out, merge.backdated(snapshot, by), generation)
    description = describe(path, generation, format_version, snapshot, by)
    print_result(description, as_json, format_description(description))


@command.command("merge")
@click.argument("target", type=click.Path(exists=True))
@click.argument("others", type=click.Path(exists=True), nargs=-1, required=True)
@click.option(
    "--out",
    type=click.Path(),
    required=True,
    help="A new file; to be restored, it must be the next generation in the folder of a stopped gateway.",
)
@json_option
def merge_files(target: str, others: tuple[str, ...], out: str, as_json: bool) -> None:
    """Merge the persisted state of lost machines into that of another: the newest of each record counts.

    Name, incarnation and ledgers stay those of TARGET. No file is overwritten.
    """
    target = newest_generation(target)
    generation, format_version, snapshot = read_snapshot(target)
    merged = merge.merge(snapshot, [read_snapshot(newest_generation(other))[2] for other in others])
    name_match = match_snapshot_name(os.path.basename(out))
    write_snapshot(out, merged, int(name_match[1]) if name_match else generation + 1)
    summary = {"file": out, "servers": len(merged.head.servers), "accounts": sum(map(len, merged.accounts))}
    print_result(summary, as_json, f"{out}: {summary['servers']} servers, {summary['accounts']} accounts")
