"""Measures the age of a snapshot by two clocks that may disagree. Its only I/O is reading the clocks.

Each anomaly has its own counter, named in parentheses. If two ages are possible, the greater one is
used, so that the persisted state has less weight.

- Same boot: the age is the difference of the boot clock, which runs on while the machine sleeps and cannot be
  set. If the difference of the wall clock is off by more than `MAX_CLOCK_DRIFT`, the wall clock was set
  (`clock_stepped`); the age stays.
- Same boot, boot clock earlier than in the snapshot: this cannot happen; the age is unknown
  (`clock_impossible`).
- Another boot, wall clock later: the age is the difference of the wall clock (`clock_rebooted`), but at least
  the time since this boot, because the snapshot is older than the boot (if the wall clock gives less than
  that, also `clock_stepped`).
- Another boot, wall clock earlier: the snapshot lies in the future; the age is unknown (`clock_future`).
- One side has no boot id (it could not be read, or the format did not store it): the age is the difference of
  the wall clock (`clock_boot_unknown`), or unknown if that is negative (`clock_future`).
"""

from __future__ import annotations

import functools
import math
import time
from typing import NamedTuple

MAX_CLOCK_DRIFT = 2.0  # seconds; a greater one between the two clocks means that the wall clock was set
UNKNOWN_AGE = math.inf  # beyond every horizon
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"

Anomalies = tuple[str, ...]


class ClockReading(NamedTuple):
    """The readings of both clocks at one moment."""

    wall: float  # seconds since 1970
    boot: float  # seconds since the machine booted, including sleep
    boot_id: str  # empty where it can't be read


@functools.cache
def boot_id() -> str:
    """Return this boot's id, empty where it can't be read. Cached: it is constant while a process runs."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


def read_clocks() -> ClockReading:
    """Read both clocks."""
    return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), boot_id())


def measure_age(then: ClockReading, now: ClockReading) -> tuple[float, Anomalies]:
    """Return the seconds from one reading to a later one, or `UNKNOWN_AGE`, and the names of anomalies."""
    if not all(map(math.isfinite, (then.wall, then.boot, now.wall, now.boot))):
        return UNKNOWN_AGE, ("clock_impossible",)
    if then.boot_id and then.boot_id == now.boot_id:
        return _age_within_one_boot(then, now)
    return _age_across_boots(then, now)


def _age_within_one_boot(then: ClockReading, now: ClockReading) -> tuple[float, Anomalies]:
    age = now.boot - then.boot
    if age < 0:
        return UNKNOWN_AGE, ("clock_impossible",)
    drift = abs(now.wall - then.wall - age)
    if drift > MAX_CLOCK_DRIFT:
        return age, ("clock_stepped",)
    return age, ()


def _age_across_boots(then: ClockReading, now: ClockReading) -> tuple[float, Anomalies]:
    age = now.wall - then.wall
    if age < 0:
        return UNKNOWN_AGE, ("clock_future",)
    if not (then.boot_id and now.boot_id):
        return age, ("clock_boot_unknown",)
    if age < now.boot:
        return now.boot, ("clock_rebooted", "clock_stepped")
    return age, ("clock_rebooted",)
