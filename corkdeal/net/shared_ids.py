"""The ids of requests that the two processes of an upgrade tell each other, so that none runs at both.

Each process appends the ids that it opens to a file of its own, in the folder that both share, and then reads
what the other one has appended. Of two processes that open the same id at the same time at least one sees the
other's. A file has a limit, since its ids are chosen by clients; beyond it, ids are no longer told.
"""

from __future__ import annotations

import os
from collections.abc import Iterable

from .invariants import count

ID_SIZE = 8  # bytes
MAX_IDS = 32_768  # in one file


class SharedIds:
    """One process's file of ids, and its view of the other process's."""

    def __init__(self, folder: str, own: int, other: int) -> None:
        """`own` and `other` are the processes' incarnations. Raises `OSError` if the file can't be made."""
        self.path = os.path.join(folder, file_name(own, other))
        self.other_path = os.path.join(folder, file_name(other, own))
        self.file = os.open(self.path, os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC, 0o600)
        self.written = 0  # ids
        self.read_bytes = 0  # of the other file
        self.claimed_elsewhere: set[int] = set()

    def tell(self, request_ids: Iterable[int]) -> None:
        """Append ids to this process's file, as far as its limit allows."""
        new = list(request_ids)[: MAX_IDS - self.written]
        if not new:
            return
        data = b"".join(request_id.to_bytes(ID_SIZE, "big") for request_id in new)
        if os.write(self.file, data) != len(data):
            raise OSError("the ids were written in part")
        self.written += len(new)

    def claim(self, request_id: int) -> bool:
        """Tell an id; return False if the other process has opened it. A failure is counted, and ignored."""
        try:
            self.tell([request_id])
            self._read_other()
        except OSError:
            count("shared_ids_failed")
        return request_id not in self.claimed_elsewhere

    def _read_other(self) -> None:
        """Read the ids that the other process has appended since the last call."""
        if os.stat(self.other_path).st_size < self.read_bytes + ID_SIZE:
            return
        with open(self.other_path, "rb") as file:
            file.seek(self.read_bytes)
            data = file.read(MAX_IDS * ID_SIZE - self.read_bytes)
        complete = len(data) - len(data) % ID_SIZE
        self.read_bytes += complete
        for start in range(0, complete, ID_SIZE):
            self.claimed_elsewhere.add(int.from_bytes(data[start : start + ID_SIZE], "big"))

    def close(self) -> None:
        """Close this process's file; the other process may still read it."""
        os.close(self.file)


def file_name(writer: int, reader: int) -> str:
    """Return the name of the file of ids that one incarnation writes for another."""
    return f"{writer:016d}-{reader}.ids"
