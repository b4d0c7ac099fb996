"""RESP2 heads, parsed in place as bytes come in; no sockets and no decisions.

A frame is a buffer and the offsets of its items, so values are never copied on their way through. A frame
stays whole as long as no value in it is over `WHOLE` bytes; a longer one is handed out in pieces as it comes.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MOST_VALUE = 4 << 20  # bytes in one value; the longest that the operators' clients and backends hold
WHOLE = 64 * 1024  # bytes in a value that is kept whole with its frame
MOST_LINE = 4096  # bytes in a simple string or an error line
MOST_FRAME = 4 * WHOLE  # bytes kept of one frame
MOST_ITEMS = 64  # items in one frame, nested ones counted
ARRAY, BULK, SIMPLE, ERROR, INTEGER = b"*$+-:"
UNKNOWN = -2  # a size that has not come yet
FIGURE = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,12})?").fullmatch  # float() takes `1_0` and `nan` as well
KINDS = frozenset((ARRAY, BULK, SIMPLE, ERROR, INTEGER))


class Malformed(ValueError):
    """Bytes that are no RESP2, or more of them than allowed."""


@dataclass(slots=True)
class Item:
    """One item: offsets of its head, its content and its end; `size` is -1 for null."""

    kind: int
    head: int
    start: int
    stop: int
    end: int
    size: int


@dataclass(slots=True)
class Frame:
    """One command or reply, left where it arrived: whole, or in parts where it holds long values.

    The last item of a part that is not the last one is a long value, whose content comes in pieces.
    """

    buf: bytes | bytearray
    items: list[Item]
    last: bool = True  # whether nothing of the command or reply comes behind it

    def text(self, i: int) -> bytes:
        """A copy of an item's content, for the short ones."""
        item = self.items[i]
        return bytes(self.buf[item.start : item.stop])

    def is_command(self) -> bool:
        """An array of bulk strings, one at least and none of them null."""
        top, words = self.items[0], self.items[1:]
        return (
            top.kind == ARRAY
            and 0 < top.size == len(words)
            and all(i.kind == BULK and i.size >= 0 for i in words)
        )


class Parser:
    """Frames from bytes fed in pieces; it keeps its place, so no byte is looked at twice.

    After a part that is not the last one, `piece` gives the long value's bytes until `body` is 0, and `next`
    goes on behind it.
    """

    def __init__(self) -> None:
        self.buf: bytes | bytearray = b""
        self.at = 0  # first byte not yet parsed
        self.begin = 0  # first byte of the frame being parsed
        self.need = 0  # bytes the buffer must hold before another look pays
        self.left = 1  # items to come
        self.items: list[Item] = []
        self.body = 0  # bytes to come of a long value, its end of line counted
        self.seen = 0  # items of the frame in parts that were handed out; 0 where none was

    @property
    def midway(self) -> bool:
        """Whether part of a frame has come."""
        return len(self.buf) > self.begin or self.seen > 0

    def feed(self, data: bytes) -> None:
        """Take more bytes; a frame that came whole in one piece stays in that piece."""
        if len(self.buf) == self.begin:
            self.buf, self.at, self.begin, self.need = data, 0, 0, 0
        elif self.begin or not isinstance(self.buf, bytearray):
            self.shift()
            self.buf += data
        else:
            self.buf += data  # grows in place; earlier frames never share a growing buffer

    def shift(self) -> None:
        """Move an unfinished frame to a buffer of its own."""
        by, self.buf = self.begin, bytearray(memoryview(self.buf)[self.begin :])
        self.at, self.need, self.begin = self.at - by, self.need - by, 0
        for i in self.items:
            i.head, i.start, i.stop, i.end = i.head - by, i.start - by, i.stop - by, i.end - by

    def head(self) -> tuple[int, int]:
        """Kind and size of the frame that has begun to come, as far as they can be told."""
        return (self.items[0].kind, self.items[0].size) if self.items else (self.buf[self.begin], UNKNOWN)

    def piece(self) -> memoryview | None:
        """What has come of the long value that has begun, its end of line included; None for nothing."""
        at = self.at
        if not (take := min(len(self.buf) - at, self.body)):
            return None
        end, self.body = at + take, self.body - take
        if self.body < 2:  # the last byte, or the one before it, is in this piece
            tail = b"\r\n"[max(0, 2 - self.body - take) : 2 - self.body]
            if self.buf[end - len(tail) : end] != tail:
                raise Malformed("value does not end where it should")
        self.at = self.begin = end
        return memoryview(self.buf)[at:end]

    def next(self) -> Frame | None:
        """The next frame that is whole or has come to a long value, or None until more bytes come."""
        buf, have = self.buf, len(self.buf)
        if have < self.need:
            return None
        while self.left:
            at = self.at
            if at >= have:
                return None
            if at - self.begin > MOST_FRAME:
                raise Malformed("frame too long")
            kind = buf[at]
            if kind not in KINDS:
                raise Malformed(f"unexpected byte {kind:#04x}")
            stop = buf.find(b"\r\n", at + 1, at + MOST_LINE)
            if stop < 0:
                if have - at >= MOST_LINE:
                    raise Malformed("line too long")
                return None
            end = stop + 2
            if kind in (BULK, ARRAY):
                size = self.number(at + 1, stop)
                if kind == BULK and size >= 0:
                    start, stop = end, end + size
                    if size > WHOLE:
                        return self.part(Item(kind, at, start, stop, stop + 2, size))
                    end = stop + 2
                    if have < end:
                        self.need = end
                        return None
                    if buf[stop] != 13 or buf[stop + 1] != 10:
                        raise Malformed("value does not end where it should")
                    item = Item(kind, at, start, stop, end, size)
                else:
                    item = Item(kind, at, end, end, end, size)
                    self.left += max(0, size)
                if self.seen + len(self.items) + self.left > MOST_ITEMS + 1:
                    raise Malformed("too many items")
            else:
                item = Item(kind, at, at + 1, stop, end, stop - at - 1)
            self.items.append(item)
            self.left -= 1
            self.at = end
        frame = Frame(buf, self.items)
        self.begin, self.left, self.items, self.seen = self.at, 1, [], 0
        return frame

    def part(self, value: Item) -> Frame:
        """The frame as far as it has come, up to the content of a long value."""
        self.left -= 1
        frame = Frame(self.buf, [*self.items, value], False)
        self.at = self.begin = value.start
        self.body, self.items, self.seen = value.size + 2, [], self.seen + len(frame.items)
        return frame

    def number(self, start: int, stop: int) -> int:
        """The length in a head; -1 stands for null."""
        raw = self.buf[start:stop]
        if raw == b"-1":
            return -1
        if not raw.isdigit() or len(raw) > 8:
            raise Malformed("bad length")
        if (size := int(raw)) > MOST_VALUE:
            raise Malformed("value too long")
        return size


def past(items: list[Item], i: int, left: int = 1) -> tuple[int, int]:
    """Index of the item behind the next `left`, nested ones passed over, and how many are missing."""
    while left and i < len(items):
        left += max(0, items[i].size) - 1 if items[i].kind == ARRAY else -1
        i += 1
    return i, left


def command(*words: bytes) -> bytes:
    """A short command, written whole."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def fields_of(raw: bytes) -> list[tuple[bytes, bytes]]:
    """Names and values of `a=1,b=2`; parts without a name are left out."""
    return [(name, value) for part in raw.split(b",") for name, eq, value in (part.partition(b"="),) if eq]


def report_of(raw: bytes, names: dict[str, str]) -> dict[str, float]:
    """A load report: the fields that the settings name, as numbers; anything else is left out."""
    return {
        known: float(value)
        for name, value in fields_of(raw)
        if (known := names.get(name.decode("latin-1"))) and FIGURE(value)
    }
