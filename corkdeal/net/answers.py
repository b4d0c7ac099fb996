"""What a backend's answer means: its form, its outcome, and where its value and its report lie."""

from __future__ import annotations

from dataclasses import dataclass

from ..decisions.events import Status
from .invariants import count
from .resp import ARRAY, BULK, ERROR, SIMPLE, UNKNOWN, Frame, Item, Malformed, past

REPLY_ITEMS = 3  # the value, the figures on use, the load report


@dataclass(slots=True)
class Reply:
    """What a backend answered: an outcome, and where its value and its report lie."""

    status: Status
    value: memoryview | None = None
    report: bytes = b""


def check_head(kind: int, size: int) -> None:
    """An answer begins as an array of three or as an error line; anything else need not be waited for."""
    if kind != ERROR and (kind != ARRAY or size not in (REPLY_ITEMS, UNKNOWN)):
        raise Malformed("no answer to a request")


def check_value(items: list[Item]) -> None:
    """An answer's value, from item 1 on, is a bulk string that is not null or an array that begins so."""
    first = items[2] if items[1].kind == ARRAY and items[1].size > 0 else items[1]
    if first.kind != BULK or first.size < 0:
        raise Malformed("no value")


def report_in(frame: Frame, i: int) -> bytes:
    """The load report, where item i holds one."""
    load = frame.items[i]
    return bytes(frame.buf[load.start : load.stop]) if load.kind == BULK else b""


def read_reply(frame: Frame) -> Reply:
    """The outcome that a backend's answer stands for; what has no form that it may have is malformed.

    Only the value has to be sound: figures on use have no reader here, and an odd report is none.
    """
    top, items = frame.items[0], frame.items
    check_head(top.kind, top.size)
    if top.kind == ARRAY:
        stop = past(items, 1)[0]
        check_value(items)
        return Reply(
            Status.OK,
            memoryview(frame.buf)[items[1].head : items[stop - 1].end],
            report_in(frame, past(items, stop)[0]),
        )
    word, _, rest = frame.text(0).partition(b" ")
    if word == b"BUSY":
        return Reply(Status.REJECTED, report=rest)
    if word not in (b"ERR", b"SYNTAX", b"NOPERM"):
        raise Malformed("unknown error")
    if word != b"ERR":
        count(f"backend_{word.decode().lower()}")
    return Reply(Status.ERROR, report=rest.rpartition(b" ")[2])


def read_probe(frame: Frame) -> Reply:
    """The outcome of a probe: a report, or any answer that is no error."""
    ok = frame.items[0].kind in (BULK, SIMPLE) and frame.items[0].size >= 0
    return Reply(Status.OK if ok else Status.ERROR, report=frame.text(0) if ok else b"")
