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
from . import json_option, tell

MOST_ROWS = 20


def read(path: str) -> tuple[int, int, Snapshot]:
    """Return a file's generation, format and snapshot; raise a click error if it is unusable."""
    try:
        return decode_snapshot(bytes_of(path))
    except (DamagedSnapshotError, UnsupportedFormatError, OSError) as error:
        raise click.ClickException(f"{path}: {error}") from error


def bytes_of(path: str) -> bytes:
    """Return a file's bytes; reject a symlink, a FIFO and a file of another user, as the gateway does."""
    files = StateFolder(os.path.dirname(os.path.abspath(path)), create_missing=False)
    try:
        return files.read(os.path.basename(path), MAX_FILE_SIZE)
    finally:
        files.close()


def write(path: str, document: Snapshot, generation: int) -> None:
    """Write a snapshot to a new file; an existing one is never overwritten."""
    entries = [
        encode_page_entry(customer, raw) for each in document.accounts for customer, raw in each.items()
    ]
    parts = encode_snapshot(generation, document.head, [encode_page(entries, len(entries))])
    files = StateFolder(os.path.dirname(os.path.abspath(path)), create_missing=False)
    name = os.path.basename(path)
    try:
        file = files.create(name)
        try:
            files.write(file, parts)
            files.sync(file)
        finally:
            files.close_file(file)
        files.sync_folder()
    except OSError as error:
        raise click.ClickException(f"{path}: {error.strerror or error}") from None
    finally:
        files.close()


def newest_in(path: str) -> str:
    """Return the path of the newest generation in a folder; the path itself if it is a file."""
    if not os.path.isdir(path):
        return path
    names = sorted(filter(match_snapshot_name, os.listdir(path)))
    if not names:
        raise click.ClickException(f"{path}: contains no snapshot")
    return os.path.join(path, names[-1])


def described(
    path: str, generation: int, form: int, document: Snapshot, extra: float = 0.0
) -> dict[str, Any]:
    """Describe a snapshot, with ages and weights as they are now, or `extra` seconds later."""
    head = document.head
    age, odd = clock.measure_age(head.clock, clock.read_clocks())
    age += extra

    def since(stamp: float) -> float:
        return max(0.0, age + head.clock.boot - stamp)

    accounts = merge.accounts_of(document)
    return {
        "file": path,
        "generation": generation,
        "format": form,
        "name": head.name,
        "program": head.program,
        "age": number(age),
        "odd": list(odd),
        "clean": head.is_clean,
        "unseen": head.write_interval,
        "ledgers_hold": age < expiry.LEDGER_HORIZON and head.fleet.incarnation > 0,
        "fleet": {
            "pace": head.fleet.pace,
            "pace_weight": expiry.USUAL_LATENCY.weight(age),
            "slow": head.fleet.slowness,
            "slow_weight": expiry.FLEET_SLOWNESS.weight(age),
            "retries": head.fleet.retry_budget,
        },
        "work": [
            {
                "class": w.request_class,
                "size": w.size,
                "seconds": w.latency,
                "age": number(since(w.recorded_at)),
                "weight": expiry.USUAL_LATENCY.weight(since(w.recorded_at)),
            }
            for w in head.fleet.usual_latencies
        ],
        "servers": [
            {
                "server": s.backend,
                "started": s.started,
                "age": number(since(s.recorded_at)),
                "slow": s.slowness,
                "weight": expiry.SERVER_SLOWNESS.weight(since(s.recorded_at)),
                "failures": s.failures,
                "ejected": s.is_ejected,
                "failures_weight": expiry.SERVER_FAILURES.weight(since(s.recorded_at)),
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
                "age": number(since(a.refilled_at)),
                "level": a.level,
                "demand": a.demand,
                "open": a.in_flight,
                "ledgers": len(a.ledgers) + len(a.tree_edges),
                "counts": since(a.refilled_at) < expiry.ACCOUNT_HORIZON,
            }
            for key, a in sorted(accounts.items())
        ],
    }


def number(value: float) -> float | None:
    """Round a number for JSON, which has no infinity and no NaN: these become None."""
    return round(value, 3) if math.isfinite(value) else None


def table(rows: list[dict[str, Any]], most: int = MOST_ROWS) -> str:
    """Format rows as columns under their names, at most `most` rows."""
    if not rows:
        return "  none"
    names = list(rows[0])
    cells = [[shown(row[name]) for name in names] for row in rows[:most]]
    widths = [max(len(name), *(len(row[i]) for row in cells)) for i, name in enumerate(names)]
    lines = ["  " + "  ".join(name.ljust(width) for name, width in zip(names, widths, strict=True))]
    lines += ["  " + "  ".join(c.ljust(width) for c, width in zip(row, widths, strict=True)) for row in cells]
    more = [f"  and {len(rows) - most} more; --json prints all"] if len(rows) > most else []
    return "\n".join([line.rstrip() for line in lines] + more)


def shown(value: Any) -> str:
    """Format one cell."""
    if isinstance(value, list):
        return ",".join(map(str, value)) or "-"
    return f"{value:.3f}" if isinstance(value, float) else "endless" if value is None else str(value)


def as_text(said: dict[str, Any]) -> str:
    """Format a described snapshot as text."""
    lines = [
        f"{key}: {shown(said[key])}"
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
    lines.append("fleet: " + ", ".join(f"{key} {shown(value)}" for key, value in said["fleet"].items()))
    for key in ("work", "servers", "accounts"):
        lines += [f"{key} ({len(said[key])}):", table(said[key])]
    return "\n".join(lines)


@click.group("knowledge")
def command() -> None:
    """Show and repair persisted state. A folder stands for its newest generation."""


@command.command("show")
@click.argument("path", type=click.Path(exists=True))
@json_option
def show(path: str, as_json: bool) -> None:
    """Print a snapshot with ages and weights as they are now."""
    path = newest_in(path)
    said = described(path, *read(path))
    tell(said, as_json, as_text(said))


@command.command("verify")
@click.argument("paths", type=click.Path(exists=True), nargs=-1, required=True)
@json_option
@click.pass_context
def verify(ctx: click.Context, paths: tuple[str, ...], as_json: bool) -> None:
    """Report faults of files and their positions; of a folder all generations. Exit code 1 if any has one."""
    files: list[str] = []
    for path in paths:
        inside = sorted(filter(match_snapshot_name, os.listdir(path))) if os.path.isdir(path) else None
        files += [path] if inside is None else [os.path.join(path, name) for name in inside]
    found = []
    for path in files:
        try:
            generation, form, document = decode_snapshot(bytes_of(path))
            bad = sum(map(len, document.accounts)) - len(merge.accounts_of(document))
            named = match_snapshot_name(os.path.basename(path))
            fault = f"{bad} accounts cannot be decoded" if bad else ""
            if named and int(named[1]) != generation:
                fault = f"byte 16: generation {generation} in the file of generation {int(named[1])}"
            found.append({"file": path, "format": form, "good": not fault, "fault": fault})
        except (DamagedSnapshotError, UnsupportedFormatError, OSError) as error:
            found.append({"file": path, "format": None, "good": False, "fault": str(error)})
    lines = [f"{f['file']}: {'good' if f['good'] else f['fault']}" for f in found]
    tell(found, as_json, "\n".join(lines) or "no files")
    ctx.exit(0 if all(f["good"] for f in found) else 1)


@command.command("age")
@click.argument("path", type=click.Path(exists=True))
@click.option("--by", type=click.FloatRange(min=0), required=True, help="Seconds to add to its age.")
@click.option("--write", "out", type=click.Path(), help="Write the aged snapshot to a new file.")
@json_option
def age(path: str, by: float, out: str | None, as_json: bool) -> None:
    """Print a snapshot as it would be after that many more seconds."""
    path = newest_in(path)
    generation, form, document = read(path)
    if out:
        write(out, merge.backdated(document, by), generation)
    said = described(path, generation, form, document, by)
    tell(said, as_json, as_text(said))


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
    target = newest_in(target)
    generation, form, document = read(target)
    made = merge.merge(document, [read(newest_in(other))[2] for other in others])
    named = match_snapshot_name(os.path.basename(out))
    write(out, made, int(named[1]) if named else generation + 1)
    said = {"file": out, "servers": len(made.head.servers), "accounts": sum(map(len, made.accounts))}
    tell(said, as_json, f"{out}: {said['servers']} servers, {said['accounts']} accounts")
