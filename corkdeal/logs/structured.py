"""Log lines by structlog, as JSON or logfmt. Imported only if the options file has a `log` node."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import orjson
import structlog
from twisted.logger import LogLevel, formatEvent

from . import event
from .events import LEVELS

LEVEL_NAMES = {number: name for name, number in LEVELS.items()}
FORMATS = ("json", "text")


def make_renderer(line_format: str) -> Any:
    """The last structlog processor, which encodes a line as bytes."""
    if line_format == "json":
        return structlog.processors.JSONRenderer(
            lambda fields, default, **_: orjson.dumps(fields, default=str)
        )
    logfmt = structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"], drop_missing=True)
    return lambda logger, method, fields: logfmt(
        logger, method, {key: logfmt_value(value) for key, value in fields.items()}
    ).encode()


def logfmt_value(value: Any) -> Any:
    """Convert a value for logfmt; the renderer escapes line feeds, but not carriage returns."""
    return value if isinstance(value, int | float | bool) else str(value).replace("\r", "\\r")


def make_sink(line_format: str, name: str, out: BinaryIO | None = None) -> Any:
    """Create a sink for `logs.configure`; each line has the gateway's name."""
    logger = structlog.wrap_logger(
        structlog.BytesLogger(out or sys.stdout.buffer),
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            make_renderer(line_format),
        ],
        wrapper_class=structlog.BoundLogger,
        context_class=dict,
        cache_logger_on_first_use=True,
    ).bind(gateway=name)

    def write(level: int, event_name: str, fields: dict[str, Any]) -> None:
        method = LEVEL_NAMES[level]
        getattr(logger, "warning" if method == "warn" else method)(event_name, **fields)

    return write


def observe_library_event(entry: dict[str, Any]) -> None:
    """A Twisted log observer that logs warnings and errors of libraries as the event `library`."""
    if entry.get("log_level", LogLevel.info) >= LogLevel.warn:
        text = formatEvent(entry)
        if (failure := entry.get("log_failure")) is not None:
            text = f"{text}\n{failure.getTraceback()}"
        event("library", source=entry.get("log_namespace", ""), text=text)
