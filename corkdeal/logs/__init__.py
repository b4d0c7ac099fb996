"""Structured logs: one event's name and its pairs a line.

`event` is all that the rest of the program uses. Without a `log` node in the operators' file the lines go
through Twisted's text observer, which is loaded anyway; with one, `structured` writes them by structlog.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from .events import EVENTS, INFO, LEVELS

Sink = Callable[[int, str, dict[str, Any]], None]
_least = INFO
_sink: Sink | None = None


def configure(sink: Sink | None, level: str = "info") -> None:
    """Send lines of that level and above to the sink; None is Twisted's logger."""
    global _sink, _least
    _sink, _least = sink, LEVELS[level]


def on(name: str) -> bool:
    """Whether such a line would be written; for callers whose pairs cost something to make."""
    return EVENTS[name][0] >= _least


def event(name: str, /, **pairs: Any) -> None:
    """One line, if its level is on. An event that `events` does not name is a bug."""
    level = EVENTS[name][0]
    if level >= _least:
        (_sink or _twisted)(level, name, pairs)


def shown(value: Any) -> str:
    """A value in a line of text: quoted where it would not stand as one word."""
    text = str(value)
    return text if text and text.isprintable() and not set(text) & set(' ="') else repr(text)


def _twisted(level: int, name: str, pairs: dict[str, Any]) -> None:
    from twisted.logger import Logger, LogLevel

    levels = {10: LogLevel.debug, 20: LogLevel.info, 30: LogLevel.warn, 40: LogLevel.error}
    line = " ".join([name, *(f"{key}={shown(value)}" for key, value in pairs.items())])
    Logger("corkdeal").emit(levels[level], "{line}", line=line)
