"""The inside of a file: format 3, and the way there from the older two.

The body is one zstandard frame of a msgpack document. Accounts lie in pages, maps from the customer's number
to its record, and a page's records are taken apart only when their customer comes: a start with 100,000
accounts must not wait for them.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import Any

import msgspec
import zstandard

from ..decisions.persisted_state import AccountMemory, FleetMemory, ServerMemory
from . import migrate
from .clock import ClockReading
from .envelope import MAX_UNPACKED_SIZE, build_envelope, parse_envelope
from .errors import (
    DamagedSnapshotError,
    MalformedRecordError,
    MigrationError,
    SnapshotTooLargeError,
    UnsupportedFormatError,
)

CURRENT_FORMAT = 3
MINIMUM_READER = 3
COMPRESSION_LEVEL = 1  # of zstandard: higher ones cost more processor than the bytes are worth here
MAX_SERVERS = 100_000
MAX_ACCOUNTS = 1_000_000
MAP32 = b"\xdf"


class SnapshotHead(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """All but the accounts."""

    name: str
    program: str
    clock: ClockReading
    # seconds between writes: so much may have been spent unrecorded
    write_interval: float = msgspec.field(name="every")
    # written at a planned end, after which nothing was spent
    is_clean: bool = msgspec.field(name="clean")
    fleet: FleetMemory
    servers: tuple[ServerMemory, ...]


class Snapshot(msgspec.Struct):
    """A file's knowledge."""

    head: SnapshotHead
    accounts: list[dict[int, msgspec.Raw]]

    def encoded_accounts(self) -> dict[int, msgspec.Raw]:
        """All accounts by customer, still in their bytes; of one that stands twice the later."""
        return (
            self.accounts[0]
            if len(self.accounts) == 1
            else {k: v for page in self.accounts for k, v in page.items()}
        )


_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_account_decoder = msgspec.msgpack.Decoder(AccountMemory)
_encoder = msgspec.msgpack.Encoder()
encode_record = _encoder.encode


def decode_account(raw: bytes | msgspec.Raw) -> AccountMemory:
    """One account's record; `MalformedRecordError` for what is none."""
    try:
        made = _account_decoder.decode(raw)
    except msgspec.MsgspecError as error:
        raise MalformedRecordError(str(error)) from error
    if not is_finite(made):
        raise MalformedRecordError("a figure is not finite")
    return made


def is_finite(value: Any) -> bool:
    """Whether no figure in nested records is infinite or none at all."""
    if isinstance(value, float):
        return math.isfinite(value)
    return all(map(is_finite, value)) if isinstance(value, tuple) else True


def encode_page(entries: Iterable[bytes], count: int) -> bytes:
    """A page from entries that each are a key and a record already packed, see `entry`."""
    return MAP32 + count.to_bytes(4, "big") + b"".join(entries)


def encode_page_entry(customer: int, record: bytes | msgspec.Raw) -> bytes:
    """A page's entry."""
    return encode_record(customer) + bytes(record)


def _document_parts(head: SnapshotHead, pages: Iterable[bytes], count: int) -> Iterator[bytes]:
    """The document's msgpack, in parts."""
    yield b"\x82" + _encoder.encode("head") + _encoder.encode(head) + _encoder.encode("accounts")
    yield b"\xdd" + count.to_bytes(4, "big")
    yield from pages


def encode_snapshot(generation: int, head: SnapshotHead, pages: list[bytes]) -> list[bytes]:
    """A whole file, in parts: compressed and sealed. May run beside the reactor."""
    raw = list(_document_parts(head, pages, len(pages)))
    size = sum(map(len, raw))
    if size > MAX_UNPACKED_SIZE:
        raise SnapshotTooLargeError(f"{size} bytes of knowledge are over {MAX_UNPACKED_SIZE}")
    packer = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, write_content_size=True).compressobj(size=size)
    packed = [part for part in map(packer.compress, raw) if part]
    return build_envelope(CURRENT_FORMAT, MINIMUM_READER, generation, size, [*packed, packer.flush()])


def unpack(body: memoryview, unpacked_size: int) -> bytes:
    """A zstandard frame's content, which must have exactly the stated size; memory is taken for no more."""
    try:
        stated = zstandard.frame_content_size(body)
        if stated != unpacked_size:
            raise DamagedSnapshotError(f"byte 80: unpacks to {stated} bytes, not to {unpacked_size}")
        return zstandard.ZstdDecompressor().decompress(
            body, max_output_size=unpacked_size, allow_extra_data=False
        )
    except zstandard.ZstdError as error:
        raise DamagedSnapshotError(f"byte 80: {error}") from error


def decode_snapshot(data: bytes) -> tuple[int, int, Snapshot]:
    """A file's generation, the format that it has, and its document in today's form."""
    outside = parse_envelope(data)
    if outside.minimum_reader > CURRENT_FORMAT:
        raise UnsupportedFormatError(
            f"format {outside.format} needs a reader of format {outside.minimum_reader}, not {CURRENT_FORMAT}"
        )
    try:
        if outside.format >= CURRENT_FORMAT:
            document = _snapshot_decoder.decode(unpack(outside.body, outside.unpacked_size))
        else:
            raw = bytes(outside.body) if outside.format == 1 else unpack(outside.body, outside.unpacked_size)
            document = _snapshot_decoder.decode(
                _encoder.encode(migrate.migrate_to_current(outside.format, raw))
            )
    except (msgspec.MsgspecError, MigrationError) as error:
        raise DamagedSnapshotError(f"body: {error}") from error
    validate(document)
    return outside.generation, outside.format, document


def validate(document: Snapshot) -> None:
    """What the types do not say: sizes, and that every figure is one."""
    head = document.head
    if len(head.servers) > MAX_SERVERS or sum(map(len, document.accounts)) > MAX_ACCOUNTS:
        raise DamagedSnapshotError("body: more servers or accounts than any gateway has")
    figures = {
        "clock": head.clock,
        "fleet": head.fleet,
        "servers": head.servers,
        "every": head.write_interval,
    }
    for name, value in figures.items():
        if not is_finite(value):
            raise DamagedSnapshotError(f"body: {name}: a figure is not finite")
    if head.write_interval < 0:
        raise DamagedSnapshotError("body: every: below 0")
