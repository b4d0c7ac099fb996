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
DIGEST_AT = 48
MOST_BODY = 64 << 20  # bytes as it lies on disk
MOST_RAW = 192 << 20  # bytes unpacked
MOST_FILE = MOST_BODY + 4096


class Envelope(NamedTuple):
    """A checked header, and the body as it lies in the file."""

    format: int
    least_reader: int
    generation: int
    raw_size: int
    body: memoryview


def seal(form: int, least_reader: int, generation: int, raw_size: int, parts: Iterable[bytes]) -> list[bytes]:
    """The file's parts, header first; nothing is joined, so large bodies are not copied."""
    parts = list(parts)
    size = sum(map(len, parts))
    head = HEADER.pack(MAGIC, form, least_reader, HEADER.size, 0, generation, size, raw_size, 0, bytes(32))
    digest = blake3(head[:DIGEST_AT])
    for part in parts:
        digest.update(part)
    return [head[:DIGEST_AT] + digest.digest(), *parts]


def unseal(data: bytes) -> Envelope:
    """Check a file's bytes; `DamagedSnapshotError` where they are not whole."""
    if len(data) < HEADER.size:
        raise DamagedSnapshotError(f"byte {len(data)}: ends within the header of {HEADER.size} bytes")
    if len(data) > MOST_FILE:
        raise DamagedSnapshotError(f"byte {MOST_FILE}: larger than any file of ours")
    magic, form, least, head_size, _, generation, size, raw_size, _, digest = HEADER.unpack_from(data)
    if magic != MAGIC:
        raise DamagedSnapshotError("byte 0: no file of knowledge")
    view = memoryview(data)
    check = blake3(view[:DIGEST_AT])
    check.update(view[HEADER.size :])
    if check.digest() != digest:
        raise DamagedSnapshotError(
            f"byte {DIGEST_AT}: the checksum does not fit; it was cut short, changed or mixed"
        )
    if head_size < HEADER.size or head_size + size != len(data):
        raise DamagedSnapshotError(f"byte 12: header and body do not make {len(data)} bytes")
    if raw_size > MOST_RAW:
        raise DamagedSnapshotError(f"byte 32: would unpack to {raw_size} bytes, over {MOST_RAW}")
    return Envelope(form, least, generation, raw_size, view[head_size:])
