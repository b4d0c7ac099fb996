"""The schedule of an experiment on a tier, read from KDL: the size of the tier, and which faults occur when.

Errors in a schedule are reported with their line and column.

    tier gateways=10 servers=20 load=0.7 seconds=40
    at 15.0 { kill "70%"; }
    at 15.6 { start "down"; }
    timeline "lossy" begin=10.0 every=8.0 repeat=2 {
        at 0.0 { link loss=0.12 seconds=4.0; }
    }

`docs/tier.md` lists the nodes.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, fields
from typing import Any, NamedTuple

from ..options.reader import Fault, OptionsError, parse_document, read_text
from ..options.records import position_field, repeated, setting

MAX_GATEWAYS, MAX_SERVERS, MAX_SECONDS = 20, 60, 600.0
FOLDER_CHANGES = ("empty", "save", "older", "swap", "cut-short", "blocked", "freed", "hour-old", "full")
SERVER_CHANGES = ("slow", "well", "bad", "cold", "drain", "gone")


def selection_field(argument: int = 0) -> Any:
    """A field that selects by `all`, numbers as in `0,2`, or a random percentage as in `70%`.

    Gateways can also be selected by `up`, `down`, or `rest`: those that the last percentage did not select.
    """
    return setting("all", argument=argument)


@dataclass(frozen=True, kw_only=True)
class Process:
    """`kill`, `term`, `start`, `stop`, `continue`: sends a signal to gateways or starts them."""

    gateways: str = selection_field()
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Link:
    """`link`: faults on datagrams between gateways."""

    sender: str = setting("all")
    to: str = setting("all")
    loss: float = setting(0.0, minimum=0.0, maximum=1.0)
    delay: float = setting(0.0, minimum=0.0, maximum=10.0)
    jitter: float = setting(0.0, minimum=0.0, maximum=10.0)
    reorder: float = setting(0.0, minimum=0.0, maximum=1.0)
    double: float = setting(0.0, minimum=0.0, maximum=1.0)
    cut: bool = setting(False)
    both: bool = setting(False)  # also in the opposite direction
    seconds: float = setting(MAX_SECONDS, minimum=0.0, maximum=MAX_SECONDS)
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Folders:
    """`folders`: changes to the persisted state of gateways."""

    gateways: str = selection_field()
    what: str = setting(choices=FOLDER_CHANGES)
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Clock:
    """`clock`: an offset of the wall clock of gateways, from their next start on."""

    gateways: str = selection_field()
    by: float = setting(minimum=-86_400.0, maximum=86_400.0)  # s
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Door:
    """`door`: faults on the TCP connections of gateways to backends or to discovery."""

    gateways: str = selection_field()
    servers: str = setting("all")  # a selection of backends, or `discovery`
    refuse: bool = setting(False)
    silent: bool = setting(False)
    reset: float = setting(0.0, minimum=0.0, maximum=1.0)
    slow: float = setting(0.0, minimum=0.0, maximum=10.0)
    late: float = setting(0.0, minimum=0.0, maximum=60.0)  # s by which discovery delays its updates
    seconds: float = setting(MAX_SECONDS, minimum=0.0, maximum=MAX_SECONDS)
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Servers:
    """`servers`: changes to backends."""

    servers: str = selection_field()
    what: str = setting(choices=SERVER_CHANGES)
    times: float = setting(4.0, minimum=1.0, maximum=100.0)  # factor for `slow`
    place: Any = position_field()


STEP_TYPES = {
    "kill": Process,
    "term": Process,
    "start": Process,
    "stop": Process,
    "continue": Process,
    "link": Link,
    "folders": Folders,
    "clock": Clock,
    "door": Door,
    "servers": Servers,
}


@dataclass(frozen=True, kw_only=True)
class At:
    """`at 15.0`: the steps at that second, performed in the order of the file."""

    second: float = setting(minimum=0.0, maximum=MAX_SECONDS, argument=0)
    kill: tuple[Process, ...] = repeated(Process, "kill")
    term: tuple[Process, ...] = repeated(Process, "term")
    start: tuple[Process, ...] = repeated(Process, "start")
    stop: tuple[Process, ...] = repeated(Process, "stop")
    go_on: tuple[Process, ...] = repeated(Process, "continue")
    link: tuple[Link, ...] = repeated(Link, "link")
    folders: tuple[Folders, ...] = repeated(Folders, "folders")
    clock: tuple[Clock, ...] = repeated(Clock, "clock")
    door: tuple[Door, ...] = repeated(Door, "door")
    servers: tuple[Servers, ...] = repeated(Servers, "servers")
    place: Any = position_field()

    def steps(self) -> Iterator[tuple[str, Any]]:
        """Each step with the name of its node, in the order of the file."""
        positioned = [
            (step.place.position(), f.metadata["child"], step)
            for f in fields(self)
            if "repeated" in f.metadata
            for step in getattr(self, f.name)
        ]
        yield from ((kind, step) for _, kind, step in sorted(positioned, key=lambda row: row[:2]))


@dataclass(frozen=True, kw_only=True)
class Timeline:
    """`timeline "name"`: steps at seconds after `begin`, run `repeat` times, `every` seconds apart."""

    name: str = setting(argument=0)
    begin: float = setting(0.0, minimum=0.0, maximum=MAX_SECONDS)
    every: float = setting(0.0, minimum=0.0, maximum=MAX_SECONDS)
    repeat: int = setting(1, minimum=1, maximum=1000)
    at: tuple[At, ...] = repeated(At, "at")
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Tier:
    """`tier`: the size of the tier, its load and its options."""

    gateways: int = setting(5, minimum=2, maximum=MAX_GATEWAYS)
    servers: int = setting(12, minimum=1, maximum=MAX_SERVERS)
    load: float = setting(0.7, minimum=0.01, maximum=3.0)  # requests within quotas / backends' capacity
    greedy: float = setting(0.1, minimum=0.0, maximum=1.0)  # part of customers far beyond their quotas
    seconds: float = setting(20.0, minimum=1.0, maximum=MAX_SECONDS)
    knowledge: bool = setting(False)  # whether gateways persist their state
    recovery: bool = setting(True)  # whether the options have `recovery`, in programs that support it
    membership: bool = setting(False)  # likewise for `membership`
    cold: float = setting(16.0, minimum=0.1, maximum=60.0)  # s in which a started backend warms up
    settled: float = setting(5.0, minimum=0.5, maximum=MAX_SECONDS)  # s after which service counts as steady
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class Schedule:
    """The whole file."""

    tier: Tier | None = None
    timelines: tuple[Timeline, ...] = repeated(Timeline, "timeline")
    at: tuple[At, ...] = repeated(At, "at")


class Step(NamedTuple):
    """One event of the run, and when it occurs."""

    second: float
    line: str  # name of its timeline; empty for a step outside of one
    kind: str
    what: Any


def load(path: str) -> Schedule:
    """Read a schedule from a file; raises `OptionsError` with all errors and their positions."""
    return parse(read_text(path), path)


def parse(text: str, path: str = "schedule") -> Schedule:
    """Parse and validate a schedule; its steps may only select existing gateways and backends."""
    schedule, faults = parse_document(Schedule, text, path), []
    tier = schedule.tier or Tier()

    def fault(place: Any, node: str, message: str) -> None:
        faults.append(Fault(*place.position(), node, message))

    for timeline in schedule.timelines:
        if timeline.repeat > 1 and not timeline.every:
            fault(timeline.place, "timeline", "`repeat` above 1 needs `every`, the interval in seconds")
    for moment in (*schedule.at, *(at for timeline in schedule.timelines for at in timeline.at)):
        for kind, step in moment.steps():
            for name, count in (
                ("gateways", tier.gateways),
                ("sender", tier.gateways),
                ("to", tier.gateways),
                ("servers", tier.servers),
            ):
                selection = getattr(step, name, "all")
                if not (
                    is_valid_selection(selection, count) or (kind == "door" and selection == "discovery")
                ):
                    fault(step.place, f"{kind}.{name}", f"names nobody: {selection!r:.40}; there are {count}")
            if kind == "folders" and not tier.knowledge:
                fault(step.place, kind, "gateways persist their state only with `tier knowledge=true`")
            if kind == "door" and step.late and step.servers != "discovery":
                fault(step.place, "door.late", "only discovery can delay its updates")
    for step in steps(schedule):
        if step.second > tier.seconds:
            fault(
                step.what.place, step.kind, f"comes at {step.second:g} s, after the end at {tier.seconds:g} s"
            )
    if faults:
        raise OptionsError(path, faults)
    return schedule


def is_valid_selection(selection: str, count: int) -> bool:
    """Whether a selection is valid among `count` gateways or backends."""
    if selection in ("all", "up", "down", "rest"):
        return True
    if selection.endswith("%"):
        return selection[:-1].isdecimal() and 0 < int(selection[:-1]) <= 100
    return bool(selection) and all(part.isdecimal() and int(part) < count for part in selection.split(","))


def steps(schedule: Schedule) -> list[Step]:
    """All steps of a schedule, with repeated timelines expanded, in order of time."""
    all_steps = [Step(at.second, "", kind, step) for at in schedule.at for kind, step in at.steps()]
    for timeline in schedule.timelines:
        for repetition in range(timeline.repeat):
            begin = timeline.begin + repetition * timeline.every
            all_steps += [
                Step(begin + at.second, timeline.name, kind, step)
                for at in timeline.at
                for kind, step in at.steps()
            ]
    return sorted(all_steps, key=lambda step: step.second)
