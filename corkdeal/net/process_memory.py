"""The memory of this process, as the kernel counts it."""

from __future__ import annotations

import os

STATM = "/proc/self/statm"
RESIDENT_FIELD = 1  # of /proc/self/statm, in pages
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")  # bytes


def resident_bytes() -> int:
    """Return the resident memory in bytes; 0 where the kernel does not tell it."""
    try:
        with open(STATM, "rb") as file:
            return int(file.read().split()[RESIDENT_FIELD]) * PAGE_SIZE
    except OSError:
        return 0
