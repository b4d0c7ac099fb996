"""Parses backend replies: checks their form and extracts the outcome, the value and the load report."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.events import Status
from .invariants import count
from .resp import ARRAY, BULK, ERROR, SIMPLE, UNKNOWN_SIZE, Frame, Item, MalformedError, skip_items

REPLY_ITEMS = 3  # the value, the usage metrics, the load report


@dataclass(slots=True)
class Reply:
    """A parsed backend reply: its outcome, with the value and the load report where it has them."""

    status: Status
    value: memoryview | None = None
    report: bytes = b""


def check_header(kind: int, size: int) -> None:
    """Raise `MalformedError` unless a reply begins as an array of three items or an error line.

    So a malformed reply fails as soon as its header is received.
    """
    if kind != ERROR and (kind != ARRAY or size not in (REPLY_ITEMS, UNKNOWN_SIZE)):
        raise MalformedError("reply is neither an error nor an array of 3 items")


def check_value(items: list[Item]) -> None:
    """Raise `MalformedError` unless the value, item 1, is a non-null bulk string or an array beginning so."""
    first = items[2] if items[1].kind == ARRAY and items[1].size > 0 else items[1]
    if first.kind != BULK or first.size < 0:
        raise MalformedError("reply value is not a bulk string")


def load_report_at(frame: Frame, i: int) -> bytes:
    """Return the load report if item `i` is a bulk string, else b""."""
    load = frame.items[i]
    return bytes(frame.buf[load.start : load.stop]) if load.kind == BULK else b""


def read_reply(frame: Frame) -> Reply:
    """Parse a complete reply to an RPC; raise `MalformedError` if it has none of the allowed forms.

    Only the value is checked: usage metrics are not read here, and a malformed report counts as none.
    """
    top, items = frame.items[0], frame.items
    check_header(top.kind, top.size)
    if top.kind == ARRAY:
        stop = skip_items(items, 1)[0]
        check_value(items)
        return Reply(
            Status.OK,
            memoryview(frame.buf)[items[1].head : items[stop - 1].end],
            load_report_at(frame, skip_items(items, stop)[0]),
        )
    code, _, rest = frame.text(0).partition(b" ")
    if code == b"BUSY":
        return Reply(Status.REJECTED, report=rest)
    if code not in (b"ERR", b"SYNTAX", b"NOPERM"):
        raise MalformedError("unknown error code")
    if code != b"ERR":
        count(f"backend_{code.decode().lower()}")
    return Reply(Status.ERROR, report=rest.rpartition(b" ")[2])


def read_health_check(frame: Frame) -> Reply:
    """Parse the reply to a health check: a load report, or any other reply that is not an error."""
    ok = frame.items[0].kind in (BULK, SIMPLE) and frame.items[0].size >= 0
    return Reply(Status.OK if ok else Status.ERROR, report=frame.text(0) if ok else b"")
