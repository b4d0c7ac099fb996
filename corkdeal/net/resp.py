"""An incremental RESP2 parser that works in place on received buffers; no sockets and no decisions.

A frame is a buffer and the offsets of its items, so values are never copied while being forwarded. A value of
at most `MAX_INLINE_VALUE` bytes stays within its frame; a larger one is returned in pieces as it is received.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

MAX_VALUE = 4 << 20  # bytes in one value; the largest that clients and backends support
MAX_INLINE_VALUE = 64 * 1024  # bytes in a value that is kept within its frame; larger ones are "large values"
MAX_LINE = 4096  # bytes in a simple string or an error line
MAX_FRAME = 4 * MAX_INLINE_VALUE  # bytes buffered of one frame
# A frame that is kept is copied out of a buffer so many times as large, which it would keep as well.
MIN_COMPACTED_RATIO = 4
MAX_ITEMS = 64  # items in one frame, including nested ones
ARRAY, BULK, SIMPLE, ERROR, INTEGER = b"*$+-:"
UNKNOWN_SIZE = -2  # a size not received yet
DECIMAL = re.compile(rb"[0-9]{1,12}(?:\.[0-9]{1,12})?").fullmatch  # float() would also accept `1_0` and `nan`
KINDS = frozenset((ARRAY, BULK, SIMPLE, ERROR, INTEGER))


class MalformedError(ValueError):
    """Input that is not valid RESP2, or exceeds a limit."""


@dataclass(slots=True)
class Item:
    """One item: offsets of its header, its content and its end; `size` is -1 for null."""

    kind: int
    head: int
    start: int
    stop: int
    end: int
    size: int


@dataclass(slots=True)
class Frame:
    """One command or reply in the buffer it arrived in, or a part of one that has large values.

    Unless `is_last` is set, the last item is a large value, whose content `Parser.piece` returns.
    """

    buf: bytes | bytearray
    items: list[Item]
    is_last: bool = True  # whether this is the end of the command or reply

    def text(self, i: int) -> bytes:
        """Return a copy of an item's content; meant for short items."""
        item = self.items[i]
        return bytes(self.buf[item.start : item.stop])

    def size(self) -> int:
        """Return the number of bytes from the head of the first item to the end of the last one received."""
        last = self.items[-1]
        return (last.end if self.is_last else last.start) - self.items[0].head

    def compacted(self) -> Frame:
        """Return this frame in a buffer of its own, if it is a small part of the present one."""
        size = self.size()
        if len(self.buf) < MIN_COMPACTED_RATIO * size:
            return self
        offset = self.items[0].head
        items = [
            Item(i.kind, i.head - offset, i.start - offset, i.stop - offset, i.end - offset, i.size)
            for i in self.items
        ]
        return Frame(bytes(memoryview(self.buf)[offset : offset + size]), items, self.is_last)

    def is_command(self) -> bool:
        """Return whether this is a non-empty array of bulk strings, none of them null."""
        top, words = self.items[0], self.items[1:]
        return (
            top.kind == ARRAY
            and 0 < top.size == len(words)
            and all(i.kind == BULK and i.size >= 0 for i in words)
        )


class Parser:
    """Parses frames from bytes fed in pieces; it keeps its position, so that no byte is parsed twice.

    After a frame that is not the last part, call `piece` for the bytes of the large value until `value_left`
    is 0; `next` then continues after the value.
    """

    def __init__(self, max_inline_value: int = MAX_INLINE_VALUE, max_frame: int = MAX_FRAME) -> None:
        """`max_inline_value` is the size of the longest value kept within its frame, in bytes."""
        self.max_inline_value, self.max_frame = max_inline_value, max_frame
        self.buf: bytes | bytearray = b""
        self.position = 0  # first byte not yet parsed
        self.frame_start = 0  # first byte of the frame being parsed
        self.needed = 0  # bytes that the buffer must hold before parsing can go on
        self.items_left = 1  # items still to be parsed
        self.items: list[Item] = []
        self.value_left = 0  # bytes still to be received of a large value, including its CRLF
        self.items_returned = 0  # items in the parts of this frame returned so far; 0 if there are none

    @property
    def has_partial_frame(self) -> bool:
        """Whether part of a frame was received."""
        return len(self.buf) > self.frame_start or self.items_returned > 0

    def feed(self, data: bytes) -> None:
        """Add received bytes; a frame that arrives in one piece is not copied."""
        if len(self.buf) == self.frame_start:
            self.buf, self.position, self.frame_start, self.needed = data, 0, 0, 0
        elif self.frame_start or not isinstance(self.buf, bytearray):
            self.detach_frame()
            self.buf += data
        else:
            self.buf += data  # grows in place; no earlier frame refers to this buffer

    def detach_frame(self) -> None:
        """Copy the incomplete frame to a buffer of its own."""
        offset, self.buf = self.frame_start, bytearray(memoryview(self.buf)[self.frame_start :])
        self.position, self.needed, self.frame_start = self.position - offset, self.needed - offset, 0
        for i in self.items:
            i.head, i.start, i.stop, i.end = (
                i.head - offset,
                i.start - offset,
                i.stop - offset,
                i.end - offset,
            )

    @property
    def missing_bytes(self) -> int:
        """The bytes that have to be received before the next item is complete, as far as that is known."""
        return max(0, self.needed - len(self.buf))

    def release_buffer(self) -> None:
        """Let go of a buffer of which everything was returned."""
        if self.position == len(self.buf):
            self.buf, self.position, self.frame_start, self.needed = b"", 0, 0, 0

    def header(self) -> tuple[int, int]:
        """Return kind and size of the incomplete frame; `UNKNOWN_SIZE` for a size not received yet."""
        return (
            (self.items[0].kind, self.items[0].size)
            if self.items
            else (self.buf[self.frame_start], UNKNOWN_SIZE)
        )

    def piece(self) -> memoryview | None:
        """Return the received bytes of the current large value and its CRLF, or None if there are none."""
        at = self.position
        if not (take := min(len(self.buf) - at, self.value_left)):
            return None
        end, self.value_left = at + take, self.value_left - take
        if self.value_left < 2:  # this piece holds one or both bytes of the CRLF
            tail = b"\r\n"[max(0, 2 - self.value_left - take) : 2 - self.value_left]
            if self.buf[end - len(tail) : end] != tail:
                raise MalformedError("value does not end where it should")
        self.position = self.frame_start = end
        piece = memoryview(self.buf)[at:end]
        self.release_buffer()
        return piece

    def next(self) -> Frame | None:
        """Return the next frame, complete or up to a large value; None if more bytes are needed."""
        buf, available = self.buf, len(self.buf)
        if available < self.needed:
            return None
        while self.items_left:
            at = self.position
            if at >= available:
                return None
            if at - self.frame_start > self.max_frame:
                raise MalformedError("frame too long")
            kind = buf[at]
            if kind not in KINDS:
                raise MalformedError(f"unexpected byte {kind:#04x}")
            stop = buf.find(b"\r\n", at + 1, at + MAX_LINE)
            if stop < 0:
                if available - at >= MAX_LINE:
                    raise MalformedError("line too long")
                return None
            end = stop + 2
            if kind in (BULK, ARRAY):
                size = self.read_length(at + 1, stop)
                if kind == BULK and size >= 0:
                    start, stop = end, end + size
                    if size > self.max_inline_value:
                        return self.large_value_frame(Item(kind, at, start, stop, stop + 2, size))
                    end = stop + 2
                    if available < end:
                        self.needed = end
                        return None
                    if buf[stop] != 13 or buf[stop + 1] != 10:
                        raise MalformedError("value does not end where it should")
                    item = Item(kind, at, start, stop, end, size)
                else:
                    item = Item(kind, at, end, end, end, size)
                    self.items_left += max(0, size)
                if self.items_returned + len(self.items) + self.items_left > MAX_ITEMS + 1:
                    raise MalformedError("too many items")
            else:
                item = Item(kind, at, at + 1, stop, end, stop - at - 1)
            self.items.append(item)
            self.items_left -= 1
            self.position = end
        frame = Frame(buf, self.items)
        self.frame_start, self.items_left, self.items, self.items_returned = self.position, 1, [], 0
        self.release_buffer()
        return frame

    def large_value_frame(self, value: Item) -> Frame:
        """Return the frame so far, up to the content of a large value."""
        self.items_left -= 1
        frame = Frame(self.buf, [*self.items, value], False)
        self.position = self.frame_start = value.start
        self.value_left, self.items, self.items_returned = (
            value.size + 2,
            [],
            self.items_returned + len(frame.items),
        )
        return frame

    def read_length(self, start: int, stop: int) -> int:
        """Return the length in a header; -1 stands for null."""
        raw = self.buf[start:stop]
        if raw == b"-1":
            return -1
        if not raw.isdigit() or len(raw) > 8:
            raise MalformedError("bad length")
        if (size := int(raw)) > MAX_VALUE:
            raise MalformedError("value too long")
        return size


def skip_items(items: list[Item], i: int, left: int = 1) -> tuple[int, int]:
    """Skip `left` items from `i`, nested ones included; return the next index and how many are missing."""
    while left and i < len(items):
        left += max(0, items[i].size) - 1 if items[i].kind == ARRAY else -1
        i += 1
    return i, left


def encode_command(*words: bytes) -> bytes:
    """Encode a short command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%b\r\n" % (len(w), w) for w in words)


def split_fields(raw: bytes) -> list[tuple[bytes, bytes]]:
    """Split `a=1,b=2` into names and values; parts without `=` are ignored."""
    return [(name, value) for part in raw.split(b",") for name, eq, value in (part.partition(b"="),) if eq]


def parse_load_report(raw: bytes, names: dict[str, str]) -> dict[str, float]:
    """Parse a load report: the fields named in the settings, as numbers; anything else is ignored."""
    return {
        known: float(value)
        for name, value in split_fields(raw)
        if (known := names.get(name.decode("latin-1"))) and DECIMAL(value)
    }
