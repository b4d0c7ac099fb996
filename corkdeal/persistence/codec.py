"""Encodes and decodes snapshots: writes format 3, and reads it and the two older formats.

The body is one Zstandard frame that holds a msgpack document. Accounts are stored in pages, maps from the
customer's number to its record, and a record is only decoded at the customer's first request: a start with
100,000 accounts must not wait for all of them. The names of stored fields are mapped to those of
`SnapshotHead` here and nowhere else.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator
from typing import NamedTuple

import msgspec
import zstandard

from ..decisions.persisted_state import StoredAccount, StoredBackend, StoredFleet
from . import migrate
from .clock import ClockReading
from .envelope import HEADER, MAX_UNPACKED_SIZE, Envelope, build_envelope, parse_envelope
from .errors import (
    DamagedSnapshotError,
    MalformedRecordError,
    MigrationError,
    SnapshotTooLargeError,
    UnsupportedFormatError,
)

CURRENT_FORMAT = 3
MINIMUM_READER = 3
COMPRESSION_LEVEL = 1  # of Zstandard; the bytes that higher levels save are not worth their processor time
MAX_BACKENDS = 100_000
MAX_ACCOUNTS = 1_000_000

MSGPACK_MAP_OF_2 = b"\x82"
MSGPACK_ARRAY_32 = b"\xdd"
MSGPACK_MAP_32 = b"\xdf"


class SnapshotHead(msgspec.Struct, frozen=True, forbid_unknown_fields=False):
    """All of a snapshot but the accounts."""

    name: str  # of the gateway
    program: str  # the version that wrote the snapshot
    clock: ClockReading
    # seconds between writes, in which units may have been spent that no snapshot records
    write_interval: float = msgspec.field(name="every")
    # written at a planned shutdown, after which no units were spent
    is_clean: bool = msgspec.field(name="clean")
    fleet: StoredFleet
    servers: tuple[StoredBackend, ...]


class Snapshot(msgspec.Struct):
    """A gateway's state; `accounts` holds pages of records that are still encoded."""

    head: SnapshotHead
    accounts: list[dict[int, msgspec.Raw]]

    def encoded_accounts(self) -> dict[int, msgspec.Raw]:
        """Return all accounts by customer, still encoded; for one that occurs twice the later record."""
        if len(self.accounts) == 1:
            return self.accounts[0]
        return {customer: record for page in self.accounts for customer, record in page.items()}


class DecodedSnapshot(NamedTuple):
    """A file's generation, the format it was stored in, and its snapshot, migrated to the current format."""

    generation: int
    format: int
    snapshot: Snapshot


_snapshot_decoder = msgspec.msgpack.Decoder(Snapshot)
_account_decoder = msgspec.msgpack.Decoder(StoredAccount)
_encoder = msgspec.msgpack.Encoder()

# Encodes a record or any other value of the stored form as msgpack.
encode_record = _encoder.encode


def decode_account(encoded: bytes | msgspec.Raw) -> StoredAccount:
    """Decode one account's record; raises `MalformedRecordError` for bytes that are not one."""
    try:
        record = _account_decoder.decode(encoded)
    except msgspec.MsgspecError as error:
        raise MalformedRecordError(str(error)) from error
    if not is_finite(record):
        raise MalformedRecordError("a number is not finite")
    return record


def is_finite(value: object) -> bool:
    """Whether every float in a record and the records nested in it is finite."""
    if isinstance(value, float):
        return math.isfinite(value)
    if isinstance(value, tuple):
        return all(map(is_finite, value))
    return True


def encode_page(entries: Iterable[bytes], count: int) -> bytes:
    """Encode a page of `count` entries, each made by `encode_page_entry`."""
    return MSGPACK_MAP_32 + count.to_bytes(4, "big") + b"".join(entries)


def encode_page_entry(customer: int, record: bytes | msgspec.Raw) -> bytes:
    """Encode the entry of one customer in a page; the record is encoded already."""
    return encode_record(customer) + bytes(record)


def encode_snapshot(generation: int, head: SnapshotHead, pages: list[bytes]) -> list[bytes]:
    """Return a whole file in parts: encoded, compressed and in an envelope. May run in a worker thread.

    Raises `SnapshotTooLargeError` for a document larger than readers accept.
    """
    document = list(_document_parts(head, pages))
    size = sum(map(len, document))
    if size > MAX_UNPACKED_SIZE:
        raise SnapshotTooLargeError(f"{size} bytes unpacked exceed the limit of {MAX_UNPACKED_SIZE}")
    compressor = zstandard.ZstdCompressor(level=COMPRESSION_LEVEL, write_content_size=True)
    frame = compressor.compressobj(size=size)
    compressed = [part for part in map(frame.compress, document) if part]
    compressed.append(frame.flush())
    return build_envelope(CURRENT_FORMAT, MINIMUM_READER, generation, size, compressed)


def _document_parts(head: SnapshotHead, pages: list[bytes]) -> Iterator[bytes]:
    """Yield the parts of the document; the pages are encoded already."""
    yield MSGPACK_MAP_OF_2 + encode_record("head") + encode_record(head) + encode_record("accounts")
    yield MSGPACK_ARRAY_32 + len(pages).to_bytes(4, "big")
    yield from pages


def decode_snapshot(data: bytes) -> DecodedSnapshot:
    """Decode a file of any supported format.

    Raises `UnsupportedFormatError` for an intact file that needs a newer reader, and `DamagedSnapshotError`
    for any other fault.
    """
    envelope = parse_envelope(data)
    if envelope.minimum_reader > CURRENT_FORMAT:
        requirement = f"needs a reader of format {envelope.minimum_reader}, not {CURRENT_FORMAT}"
        raise UnsupportedFormatError(f"format {envelope.format} {requirement}")
    try:
        snapshot = _snapshot_decoder.decode(_current_document(envelope))
    except (msgspec.MsgspecError, MigrationError) as error:
        raise DamagedSnapshotError(f"body: {error}") from error
    validate(snapshot)
    return DecodedSnapshot(envelope.generation, envelope.format, snapshot)


def _current_document(envelope: Envelope) -> bytes:
    """Return an envelope's document as msgpack of the current format."""
    if envelope.format == migrate.UNCOMPRESSED_FORMAT:
        document = bytes(envelope.body)
    else:
        document = decompress(envelope.body, envelope.unpacked_size)
    if envelope.format >= CURRENT_FORMAT:
        return document
    return encode_record(migrate.migrate_to_current(envelope.format, document))


def decompress(body: memoryview, unpacked_size: int) -> bytes:
    """Return the content of a Zstandard frame, which must have exactly `unpacked_size` bytes.

    No more memory than that is allocated. Raises `DamagedSnapshotError` for any other body.
    """
    try:
        stated_size = zstandard.frame_content_size(body)
        if stated_size != unpacked_size:
            raise DamagedSnapshotError(
                f"byte {HEADER.size}: unpacks to {stated_size} bytes, not to {unpacked_size}"
            )
        return zstandard.ZstdDecompressor().decompress(
            body, max_output_size=unpacked_size, allow_extra_data=False
        )
    except zstandard.ZstdError as error:
        raise DamagedSnapshotError(f"byte {HEADER.size}: {error}") from error


def validate(snapshot: Snapshot) -> None:
    """Check what decoding by type does not: sizes, and that all numbers of the head are finite."""
    head = snapshot.head
    account_count = sum(map(len, snapshot.accounts))
    if len(head.servers) > MAX_BACKENDS or account_count > MAX_ACCOUNTS:
        raise DamagedSnapshotError("body: more backends or accounts than a reader accepts")
    checked_values = {
        "clock": head.clock,
        "fleet": head.fleet,
        "servers": head.servers,
        "every": head.write_interval,
    }
    for stored_name, value in checked_values.items():
        if not is_finite(value):
            raise DamagedSnapshotError(f"body: {stored_name}: a number is not finite")
    if head.write_interval < 0:
        raise DamagedSnapshotError("body: every: must not be negative")
