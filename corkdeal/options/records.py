"""The records that the operators' file becomes; each later subsystem adds one here.

A field's metadata says what is allowed: `least` and `most` (both allowed themselves), `choices`, `absolute`
for a path. The reader goes by nothing else, so a record is all that a subsystem has to write.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


def setting(default: Any = ..., *, least: float | None = None, most: float | None = None,
            choices: tuple[str, ...] = (), absolute: bool = False) -> Any:
    """A field with its bounds; without a default the node must give it."""
    bounds = {"least": least, "most": most, "choices": choices, "absolute": absolute}
    return field(metadata=bounds) if default is ... else field(default=default, metadata=bounds)


@dataclass(slots=True, frozen=True, kw_only=True)
class LogOptions:
    """`log`: how a line of the log is written."""

    format: str = setting("text", choices=("text", "json"))
    level: str = setting("info", choices=("debug", "info", "warn", "error"))


@dataclass(slots=True, frozen=True, kw_only=True)
class KnowledgeOptions:
    """`knowledge`: what survives a restart. Times are in seconds."""

    path: str = setting(absolute=True)  # holds one folder a gateway's name
    every: float = setting(1.0, least=0.1, most=60.0)  # between writes
    generations: int = setting(2, least=2, most=16)  # whole files kept
    # a store slower than that is given up at the start
    read_wait: float = setting(0.5, least=0.01, most=10.0)
    stop_wait: float = setting(0.5, least=0.0, most=10.0)  # and at the end


@dataclass(slots=True, frozen=True, kw_only=True)
class Options:
    """The whole file; None is off."""

    log: LogOptions | None = None
    knowledge: KnowledgeOptions | None = None
