"""The memory of this process, as the kernel counts it."""

from __future__ import annotations

import os
from typing import NamedTuple

STATM = "/proc/self/statm"
RESIDENT_FIELD, SHARED_FIELD = 1, 2  # of /proc/self/statm, in pages
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes


class ProcessMemory(NamedTuple):
    """Memory of a process in bytes."""

    resident: int
    anonymous: int  # the part of `resident` that belongs to no file: heap, stacks, written pages of libraries


def measure() -> ProcessMemory:
    """Return the memory of this process; zeros where the kernel does not tell it."""
    try:
        with open(STATM, "rb") as file:
            fields = file.read().split()
    except OSError:
        return ProcessMemory(0, 0)
    resident, shared = int(fields[RESIDENT_FIELD]), int(fields[SHARED_FIELD])
    return ProcessMemory(resident * PAGE_SIZE, (resident - shared) * PAGE_SIZE)
