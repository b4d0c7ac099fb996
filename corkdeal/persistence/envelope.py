"""The outside of a file: who wrote it, how large it is and whether it is whole. The same for all formats.

    offset  size  field, little-endian
         0     8  magic `CORKKNOW`
         8     2  format of the body
        10     2  least format that a reader must know
        12     2  size of this header (80; a later one may be longer, the digest stays where it is)
        14     2  flags, 0
        16     8  generation, counted up by each write
        24     8  size of the body as it lies here
        32     8  size of the body unpacked; no memory is taken for more
        40     8  reserved, 0
        48    32  blake3 of the header's first 48 bytes and of all that follows the digest
        80        the body

The digest is checked before any field but the magic and the sizes is believed. It says that the file is
whole, not who wrote it: the folder's mode does that.
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
MAX_BODY_SIZE = 64 << 20  # bytes as it lies on disk
MAX_UNPACKED_SIZE = 192 << 20  # bytes unpacked
MAX_FILE_SIZE = MAX_BODY_SIZE + 4096


class Envelope(NamedTuple):
    """A checked header, and the body as it lies in the file."""

    format: int
    minimum_reader: int
    generation: int
    unpacked_size: int
    body: memoryview


def build_envelope(
    form: int, minimum_reader: int, generation: int, unpacked_size: int, parts: Iterable[bytes]
) -> list[bytes]:
    """The file's parts, header first; nothing is joined, so large bodies are not copied."""
    parts = list(parts)
    size = sum(map(len, parts))
    head = HEADER.pack(
        MAGIC, form, minimum_reader, HEADER.size, 0, generation, size, unpacked_size, 0, bytes(32)
    )
    digest = blake3(head[:CHECKSUM_OFFSET])
    for part in parts:
        digest.update(part)
    return [head[:CHECKSUM_OFFSET] + digest.digest(), *parts]


def parse_envelope(data: bytes) -> Envelope:
    """Check a file's bytes; `DamagedSnapshotError` where they are not whole."""
    if len(data) < HEADER.size:
        raise DamagedSnapshotError(f"byte {len(data)}: ends within the header of {HEADER.size} bytes")
    if len(data) > MAX_FILE_SIZE:
        raise DamagedSnapshotError(f"byte {MAX_FILE_SIZE}: larger than any file of ours")
    magic, form, least, head_size, _, generation, size, unpacked_size, _, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DamagedSnapshotError("byte 0: no file of knowledge")
    view = memoryview(data)
    check = blake3(view[:CHECKSUM_OFFSET])
    check.update(view[HEADER.size :])
    if check.digest() != digest:
        raise DamagedSnapshotError(
            f"byte {CHECKSUM_OFFSET}: the checksum does not fit; it was cut short, changed or mixed"
        )
    if head_size < HEADER.size or head_size + size != len(data):
        raise DamagedSnapshotError(f"byte 12: header and body do not make {len(data)} bytes")
    if unpacked_size > MAX_UNPACKED_SIZE:
        raise DamagedSnapshotError(
            f"byte 32: would unpack to {unpacked_size} bytes, over {MAX_UNPACKED_SIZE}"
        )
    return Envelope(form, least, generation, unpacked_size, view[head_size:])
