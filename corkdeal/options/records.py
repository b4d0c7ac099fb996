"""The records that the options file is read into, one per subsystem.

A field's metadata holds its constraints: `minimum` and `maximum` (inclusive bounds), `choices`, and
`absolute` for an absolute path; see `setting`, `repeated` and `position_field`. The reader relies on this
metadata alone, so to add options a subsystem only needs to add a record here.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


def setting(
    default: Any = ...,
    *,
    minimum: float | None = None,
    maximum: float | None = None,
    choices: tuple[str, ...] = (),
    absolute: bool = False,
    argument: int | None = None,
) -> Any:
    """Declare a field with its constraints; without a default the setting is required.

    With `argument` the value is the node's positional argument with that index, instead of a named setting.
    """
    constraints = {
        "minimum": minimum,
        "maximum": maximum,
        "choices": choices,
        "absolute": absolute,
        "argument": argument,
    }
    return field(metadata=constraints) if default is ... else field(default=default, metadata=constraints)


def repeated(kind: type, child: str) -> Any:
    """Declare a field that holds a tuple of records, one for each child node of that name."""
    return field(default=(), metadata={"repeated": kind, "child": child})


def position_field() -> Any:
    """Declare a field that holds the record's position, for faults that span several records."""
    return field(default=None, compare=False, repr=False, metadata={"position_field": True})


@dataclass(frozen=True, kw_only=True)
class LogOptions:
    """`log`: format and level of the log."""

    format: str = setting("text", choices=("text", "json"))
    level: str = setting("info", choices=("debug", "info", "warn", "error"))


@dataclass(frozen=True, kw_only=True)
class PersistenceOptions:
    """`knowledge`: state that is persisted across restarts. Times are in seconds."""

    path: str = setting(absolute=True)  # parent of one folder per gateway name
    every: float = setting(1.0, minimum=0.1, maximum=60.0)  # between snapshots
    generations: int = setting(2, minimum=2, maximum=16)  # complete snapshot files kept
    # timeout of the read at the start; after it the gateway serves without persisted state
    read_wait: float = setting(0.5, minimum=0.01, maximum=10.0)
    # timeout of the last write before a planned exit
    stop_wait: float = setting(0.5, minimum=0.0, maximum=10.0)


@dataclass(frozen=True, kw_only=True)
class RecoveryOptions:
    """`recovery`: gradual return to service after a start or a pause; it has no settings."""


@dataclass(frozen=True, kw_only=True)
class MembershipOptions:
    """`membership`: which gateways are alive, and whose quota shares may be spent; it has no settings."""


@dataclass(frozen=True, kw_only=True)
class MetricsOptions:
    """`figures`: a periodic log line with running totals."""

    every: float = setting(10.0, minimum=0.25, maximum=3600.0)  # seconds between lines


@dataclass(frozen=True, kw_only=True)
class NetworkOptions:
    """`net "10.1.0.0/16"`: a network of a zone."""

    cidr: str = setting(argument=0)
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class ZoneOptions:
    """`hall "north-hall"`: one zone."""

    name: str = setting(argument=0)
    region: str = setting("")
    weight: float = setting(1.0, minimum=0.01, maximum=100.0)
    nets: tuple[NetworkOptions, ...] = repeated(NetworkOptions, "net")
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class DistanceOptions:
    """`distance "north-hall" "east-hall" 1.5`: applies in both directions.

    Without it zones are at distance 1 within a region and 2 across regions.
    """

    one: str = setting(argument=0)
    other: str = setting(argument=1)
    value: float = setting(minimum=0.001, maximum=1000.0, argument=2)
    place: Any = position_field()


@dataclass(frozen=True, kw_only=True)
class ZonesOptions:
    """`halls`: the zones, their networks, and the distances between zones."""

    halls: tuple[ZoneOptions, ...] = repeated(ZoneOptions, "hall")
    distances: tuple[DistanceOptions, ...] = repeated(DistanceOptions, "distance")


@dataclass(frozen=True, kw_only=True)
class Options:
    """The whole options file; None means that the subsystem is off."""

    log: LogOptions | None = None
    knowledge: PersistenceOptions | None = None
    halls: ZonesOptions | None = None
    recovery: RecoveryOptions | None = None
    membership: MembershipOptions | None = None
    figures: MetricsOptions | None = None
