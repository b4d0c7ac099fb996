"""Structured logging: each line has the name of an event and its fields.

The rest of the program calls `event` only. Without a `log` node in the options file, lines go through
Twisted's text observer, which is loaded anyway; with one, `structured` writes them with structlog.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .events import EVENTS, INFO, LEVELS

Sink = Callable[[int, str, dict[str, Any]], None]
_least = INFO
_sink: Sink | None = None


def configure(sink: Sink | None, level: str = "info") -> None:
    """Send events of `level` and above to the sink; None stands for Twisted's logger."""
    global _sink, _least
    _sink, _least = sink, LEVELS[level]


def on(name: str) -> bool:
    """Whether the event's level is enabled, for callers whose fields are costly to compute."""
    return EVENTS[name][0] >= _least


def event(name: str, /, **pairs: Any) -> None:
    """Log an event if its level is enabled; a name that is not in `EVENTS` raises KeyError."""
    level = EVENTS[name][0]
    if level >= _least:
        (_sink or _twisted)(level, name, pairs)


def shown(value: Any) -> str:
    """Format a value for a line of text; it is quoted unless it is a single word."""
    text = str(value)
    return text if text and text.isprintable() and not set(text) & set(' ="') else repr(text)


def _twisted(level: int, name: str, pairs: dict[str, Any]) -> None:
    from twisted.logger import Logger, LogLevel

    levels = {10: LogLevel.debug, 20: LogLevel.info, 30: LogLevel.warn, 40: LogLevel.error}
    line = " ".join([name, *(f"{key}={shown(value)}" for key, value in pairs.items())])
    Logger("corkdeal").emit(levels[level], "{line}", line=line)
