"""The records that the operators' file becomes; each later subsystem adds one here.

A field's metadata says what is allowed: `least` and `most` (both allowed themselves), `choices`, `absolute`
for a path; see `setting`, `many` and `placed`. The reader goes by nothing else, so a record is all that a
subsystem has to write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


def setting(
    default: Any = ...,
    *,
    least: float | None = None,
    most: float | None = None,
    choices: tuple[str, ...] = (),
    absolute: bool = False,
    argument: int | None = None,
) -> Any:
    """A field with its bounds; without a default the node must give it.

    With `argument` its value stands at that place behind the node's name, without a name of its own.
    """
    bounds = {"least": least, "most": most, "choices": choices, "absolute": absolute, "argument": argument}
    return field(metadata=bounds) if default is ... else field(default=default, metadata=bounds)


def many(kind: type, child: str) -> Any:
    """A field that holds a record for each child of that name."""
    return field(default=(), metadata={"many": kind, "child": child})


def placed() -> Any:
    """A field that holds where the record stands, for faults that only show when records are put together."""
    return field(default=None, compare=False, repr=False, metadata={"placed": True})


@dataclass(frozen=True, kw_only=True)
class LogOptions:
    """`log`: how a line of the log is written."""

    format: str = setting("text", choices=("text", "json"))
    level: str = setting("info", choices=("debug", "info", "warn", "error"))


@dataclass(frozen=True, kw_only=True)
class KnowledgeOptions:
    """`knowledge`: what survives a restart. Times are in seconds."""

    path: str = setting(absolute=True)  # holds one folder a gateway's name
    every: float = setting(1.0, least=0.1, most=60.0)  # between writes
    generations: int = setting(2, least=2, most=16)  # whole files kept
    # a store slower than that is given up at the start
    read_wait: float = setting(0.5, least=0.01, most=10.0)
    stop_wait: float = setting(0.5, least=0.0, most=10.0)  # and at the end


@dataclass(frozen=True, kw_only=True)
class RecoveryOptions:
    """`recovery`: coming back after a start or a pause; it has nothing to set."""


@dataclass(frozen=True, kw_only=True)
class MembershipOptions:
    """`membership`: which gateways live, and whose slices may be spent; it has nothing to set."""


@dataclass(frozen=True, kw_only=True)
class FiguresOptions:
    """`figures`: running totals as a line of the log."""

    every: float = setting(10.0, least=0.25, most=3600.0)  # s


@dataclass(frozen=True, kw_only=True)
class NetOptions:
    """`net "10.1.0.0/16"`: a net of a hall."""

    cidr: str = setting(argument=0)
    place: Any = placed()


@dataclass(frozen=True, kw_only=True)
class HallOptions:
    """`hall "north-hall"`: one hall."""

    name: str = setting(argument=0)
    region: str = setting("")
    weight: float = setting(1.0, least=0.01, most=100.0)
    nets: tuple[NetOptions, ...] = many(NetOptions, "net")
    place: Any = placed()


@dataclass(frozen=True, kw_only=True)
class DistanceOptions:
    """`distance "north-hall" "east-hall" 1.5`: counts both ways; 1 is near, 2 is far."""

    one: str = setting(argument=0)
    other: str = setting(argument=1)
    value: float = setting(least=0.001, most=1000.0, argument=2)
    place: Any = placed()


@dataclass(frozen=True, kw_only=True)
class HallsOptions:
    """`halls`: who stands where, and how near."""

    halls: tuple[HallOptions, ...] = many(HallOptions, "hall")
    distances: tuple[DistanceOptions, ...] = many(DistanceOptions, "distance")


@dataclass(frozen=True, kw_only=True)
class Options:
    """The whole file; None is off."""

    log: LogOptions | None = None
    knowledge: KnowledgeOptions | None = None
    halls: HallsOptions | None = None
    recovery: RecoveryOptions | None = None
    membership: MembershipOptions | None = None
    figures: FiguresOptions | None = None
