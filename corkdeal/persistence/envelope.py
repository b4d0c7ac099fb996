"""The envelope of a stored file: format, generation, sizes and checksum. It is the same for all formats.

    offset  size  field, little-endian
         0     8  magic `CORKKNOW`
         8     2  format of the body
        10     2  lowest format that a reader of the file must support
        12     2  size of this header: 80; a later one may be longer, with the checksum at the same offset
        14     2  flags, 0
        16     8  generation, incremented by each write
        24     8  size of the body as stored
        32     8  size of the body unpacked; a reader allocates no more memory than that
        40     8  reserved, 0
        48    32  BLAKE3 of the first 48 bytes of the header and of all bytes after the checksum
        80        the body

The checksum is verified before any field but the magic is used. It detects damage, but does not authenticate
the writer: against other writers the folder's mode protects.
"""

from __future__ import annotations

import struct
from collections.abc import Iterable
from typing import NamedTuple

from blake3 import blake3

from .errors import DamagedSnapshotError

MAGIC = b"CORKKNOW"
HEADER = struct.Struct("<8sHHHHQQQQ32s")
CHECKSUM_OFFSET = 48
CHECKSUM_SIZE = 32
MAX_BODY_SIZE = 64 << 20  # bytes as stored
MAX_UNPACKED_SIZE = 192 << 20  # bytes
MAX_FILE_SIZE = MAX_BODY_SIZE + 4096  # bytes; allows for a longer header


class Envelope(NamedTuple):
    """The fields of a verified header, with the body as stored."""

    format: int
    minimum_reader: int
    generation: int
    unpacked_size: int
    body: memoryview


def build_envelope(
    format_number: int,
    minimum_reader: int,
    generation: int,
    unpacked_size: int,
    body_parts: Iterable[bytes],
) -> list[bytes]:
    """Return the file's parts, header first; they are not joined, so that a large body is not copied."""
    parts = list(body_parts)
    body_size = sum(map(len, parts))
    header = HEADER.pack(
        MAGIC,
        format_number,
        minimum_reader,
        HEADER.size,
        0,
        generation,
        body_size,
        unpacked_size,
        0,
        bytes(CHECKSUM_SIZE),
    )
    covered = header[:CHECKSUM_OFFSET]
    checksum = blake3(covered)
    for part in parts:
        checksum.update(part)
    return [covered + checksum.digest(), *parts]


def parse_envelope(data: bytes) -> Envelope:
    """Verify a file's bytes and return its fields; raises `DamagedSnapshotError` for a damaged file."""
    if len(data) < HEADER.size:
        raise DamagedSnapshotError(f"byte {len(data)}: file ends within the header of {HEADER.size} bytes")
    if len(data) > MAX_FILE_SIZE:
        raise DamagedSnapshotError(f"byte {MAX_FILE_SIZE}: file is larger than a reader accepts")
    fields = HEADER.unpack_from(data)
    (
        magic,
        format_number,
        minimum_reader,
        header_size,
        _,
        generation,
        body_size,
        unpacked_size,
        _,
        checksum,
    ) = fields
    if magic != MAGIC:
        raise DamagedSnapshotError("byte 0: not a snapshot file")
    if _checksum_of(data) != checksum:
        raise DamagedSnapshotError(
            f"byte {CHECKSUM_OFFSET}: checksum mismatch: the file is truncated or corrupted"
        )
    if header_size < HEADER.size or header_size + body_size != len(data):
        raise DamagedSnapshotError(f"byte 12: header and body sizes do not add up to {len(data)} bytes")
    if unpacked_size > MAX_UNPACKED_SIZE:
        raise DamagedSnapshotError(
            f"byte 32: unpacked size of {unpacked_size} bytes exceeds the limit of {MAX_UNPACKED_SIZE}"
        )
    body = memoryview(data)[header_size:]
    return Envelope(format_number, minimum_reader, generation, unpacked_size, body)


def _checksum_of(data: bytes) -> bytes:
    """Return the checksum of all bytes of a file but those of the checksum itself."""
    view = memoryview(data)
    checksum = blake3(view[:CHECKSUM_OFFSET])
    checksum.update(view[CHECKSUM_OFFSET + CHECKSUM_SIZE :])
    return checksum.digest()
