"""The ids that a process of an upgrade has open or keeps, in a file that the other processes read.

The file is a hash table of buckets. A process adds an id before it looks for it in the tables of the others,
so that of two processes that open the same id at the same time at least one sees the other's. Clients choose
the ids: each table has a random key, so that nobody can choose ids that share a bucket. An id is removed when
its request has ended, so the table holds as many as are open or kept, however many come.
"""

from __future__ import annotations

import contextlib
import hashlib
import os
import secrets
import struct
from array import array
from collections.abc import Iterable, Iterator

from .invariants import count

HEADER = struct.Struct(">16sI")  # the key and the number of buckets
HEADER_SIZE = 64  # bytes, with padding
TAG_SIZE = 8  # bytes of the digest by which a slot names an id
EMPTY_TAG = bytes(TAG_SIZE)
BUCKET_SLOTS = 16
BUCKET_SIZE = BUCKET_SLOTS * TAG_SIZE  # bytes
USUAL_BUCKET_LOAD = 8  # slots of a bucket in use, in the mean of a full table
SHORTEST_BUCKET_COUNT = 64


def file_name(writer: int) -> str:
    """Return the name of an incarnation's table; it has no certain reader, for which 0 stands."""
    return f"{writer:016d}-0.open"


class TableKey:
    """Finds the bucket and the tag of an id."""

    def __init__(self, key: bytes, bucket_count: int) -> None:
        self.key, self.bucket_count = key, bucket_count

    def locate(self, request_id: int) -> tuple[int, bytes]:
        """Return the number of the bucket and the tag of an id."""
        digest = hashlib.blake2b(request_id.to_bytes(8, "big"), digest_size=16, key=self.key).digest()
        bucket = int.from_bytes(digest[TAG_SIZE:], "big") % self.bucket_count
        tag = digest[:TAG_SIZE]
        return bucket, tag if tag != EMPTY_TAG else b"\x01" * TAG_SIZE


def bucket_offset(bucket: int) -> int:
    """Return where a bucket begins in the file, in bytes."""
    return HEADER_SIZE + bucket * BUCKET_SIZE


class OwnTable:
    """The table that this process writes."""

    def __init__(self, folder: str, own: int, capacity: int) -> None:
        """`capacity` is how many ids may be open and kept. Raises `OSError` if the file can't be made."""
        bucket_count = max(SHORTEST_BUCKET_COUNT, -(-capacity // USUAL_BUCKET_LOAD))
        self.key = TableKey(secrets.token_bytes(16), bucket_count)
        self.slots: dict[int, tuple[int, int]] = {}  # bucket and slot of each id
        self.used = array("H", bytes(2 * bucket_count))  # a bit for each slot of each bucket
        path = os.path.join(folder, file_name(own))
        self.file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            self._write(HEADER.pack(self.key.key, bucket_count), 0)
        except OSError:
            self.close()
            raise

    def add(self, request_id: int) -> None:
        """Add an id, unless its bucket is full. Raises `OSError` if it can't be written."""
        if request_id in self.slots:
            return
        bucket, tag = self.key.locate(request_id)
        used = self.used[bucket]
        slot = (~used & (used + 1)).bit_length() - 1  # the lowest bit that is not set
        if slot >= BUCKET_SLOTS:
            count("open_ids_full")
            return
        self._write(tag, bucket_offset(bucket) + slot * TAG_SIZE)
        self.used[bucket] = used | 1 << slot
        self.slots[request_id] = bucket, slot

    def remove(self, request_id: int) -> None:
        """Remove an id, if it is there. Raises `OSError` if that can't be written; the slot stays in use."""
        if (place := self.slots.pop(request_id, None)) is None:
            return
        bucket, slot = place
        self._write(EMPTY_TAG, bucket_offset(bucket) + slot * TAG_SIZE)
        self.used[bucket] &= ~(1 << slot)

    def _write(self, data: bytes, offset: int) -> None:
        if os.pwrite(self.file, data, offset) != len(data):
            raise OSError("the table of open ids was written in part")

    def close(self) -> None:
        """Close the file; the other processes may still read it."""
        os.close(self.file)


class OtherTable:
    """The table of another process, which may not have made it yet."""

    def __init__(self, folder: str, other: int) -> None:
        self.path = os.path.join(folder, file_name(other))
        self.file: int | None = None
        self.key: TableKey | None = None

    def has(self, request_id: int) -> bool:
        """Return whether the other process has an id. Raises `OSError` if its table can't be read."""
        if self.key is None:
            self.key = self._read_key()
        if self.key is None or self.file is None:
            return False
        bucket, tag = self.key.locate(request_id)
        data = os.pread(self.file, BUCKET_SIZE, bucket_offset(bucket))
        return any(data[at : at + TAG_SIZE] == tag for at in range(0, len(data), TAG_SIZE))

    def _read_key(self) -> TableKey | None:
        """Return the key of the table; None while there is none."""
        if self.file is None:
            try:
                self.file = os.open(self.path, os.O_RDONLY | os.O_CLOEXEC)
            except FileNotFoundError:
                return None
        data = os.pread(self.file, HEADER.size, 0)
        if len(data) < HEADER.size:
            return None
        key, bucket_count = HEADER.unpack(data)
        return TableKey(key, bucket_count) if bucket_count else None

    def close(self) -> None:
        """Close the file."""
        if self.file is not None:
            os.close(self.file)
            self.file = None


class OpenIds:
    """This process's table and those of the others. Failures of the disk are counted, and cost no request."""

    def __init__(self, folder: str, own: int, capacity: int) -> None:
        """Make this process's table; see `OwnTable`."""
        self.folder, self.own_number = folder, own
        self.own = OwnTable(folder, own, capacity)
        self.others: dict[int, OtherTable] = {}

    def follow(self, others: Iterable[int]) -> None:
        """Look at the tables of these processes too, from now on."""
        for other in others:
            if other != self.own_number and other not in self.others:
                self.others[other] = OtherTable(self.folder, other)

    def claim(self, request_id: int) -> bool:
        """Add an id; return False, and add nothing, if another process has it."""
        self.add(request_id)
        if not self._is_elsewhere(request_id):
            return True
        self.remove(request_id)
        return False

    def add(self, request_id: int) -> None:
        """Add an id."""
        with counted_failures():
            self.own.add(request_id)

    def remove(self, request_id: int) -> None:
        """Remove an id."""
        with counted_failures():
            self.own.remove(request_id)

    def _is_elsewhere(self, request_id: int) -> bool:
        with counted_failures():
            return any(other.has(request_id) for other in self.others.values())
        return False

    def close(self) -> None:
        """Close all files."""
        self.own.close()
        for other in self.others.values():
            other.close()


@contextlib.contextmanager
def counted_failures() -> Iterator[None]:
    """Count a failure of the disk, and go on."""
    try:
        yield
    except OSError:
        count("shared_ids_failed")
