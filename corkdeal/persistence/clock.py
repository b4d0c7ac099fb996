"""The age of a snapshot by two clocks that may disagree; no I/O but reading the clocks themselves.

Each rule has a count of its own. In doubt the older reading is taken, so that the state counts for less.

- Same boot: the boot clock (it runs on while the machine sleeps, and nobody sets it) gives the age. If the
  wall clock moved otherwise by more than `MAX_CLOCK_DRIFT`, it was set: counted as `clock_stepped`, and the
  age stands.
- Same boot, but the boot clock went back: that is impossible; the age is unknown (`clock_impossible`).
- Another boot, wall clock forward: the wall clock gives the age, at least the time since this boot, because
  the snapshot is from before it (`clock_rebooted`; also `clock_stepped` where the wall clock gives less than
  that).
- Another boot, wall clock back: the snapshot is from the future, its age unknown (`clock_future`).
- No boot id on one side (it could not be read, or the format had none): the wall clock alone gives the age
  (`clock_boot_unknown`), unknown if it went back.
"""

from __future__ import annotations

import functools
import math
import time
from typing import NamedTuple

MAX_CLOCK_DRIFT = 2.0  # seconds between both clocks before the wall clock counts as set
UNKNOWN_AGE = math.inf  # older than every horizon
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"

Anomalies = tuple[str, ...]


class ClockReading(NamedTuple):
    """Both clocks at one moment."""

    wall: float  # seconds since 1970
    boot: float  # seconds since the machine booted, sleep included
    boot_id: str  # empty where it can't be read


@functools.cache
def boot_id() -> str:
    """Return this boot's id, empty where it can't be read; it does not change while a process runs."""
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
