"""How old a document is, by two clocks that may disagree; no I/O but reading the clocks themselves.

Rules, each with a count of its own. When in doubt the older reading wins, so that knowledge counts for less.

- Same boot: the boot clock (it runs on while the machine sleeps, and nobody sets it) tells the age. If the
  wall clock moved otherwise by more than `MAX_CLOCK_DRIFT`, it was set: counted as `clock_stepped`, and the
  age stands.
- Same boot, but the boot clock went back: that can't be; the age is endless (`clock_impossible`).
- Another boot, wall clock forward: the wall clock tells the age, at least the time since this boot, because
  the document is from before it (`clock_rebooted`; also `clock_stepped` where the wall clock says less than
  that).
- Another boot, wall clock back: the document is from the future, its age endless (`clock_future`).
- No boot id on one side (it could not be read, or the format had none): the wall clock alone tells the age
  (`clock_boot_unknown`), endless if it went back.
"""

from __future__ import annotations

import functools
import math
import time
from typing import NamedTuple

MAX_CLOCK_DRIFT = 2.0  # s by which wall and boot clock may drift apart before the wall clock counts as set
UNKNOWN_AGE = math.inf
BOOT_ID_PATH = "/proc/sys/kernel/random/boot_id"


class ClockReading(NamedTuple):
    """Both clocks at one moment."""

    wall: float  # s since 1970
    boot: float  # s since the machine booted, sleep included
    boot_id: str  # empty where it can't be read


@functools.cache
def boot_id() -> str:
    """This boot's id, or nothing; it does not change while a process lives."""
    try:
        with open(BOOT_ID_PATH, encoding="ascii") as file:
            return file.read().strip()
    except OSError:
        return ""


def read_clocks() -> ClockReading:
    """Both clocks now."""
    return ClockReading(time.time(), time.clock_gettime(time.CLOCK_BOOTTIME), boot_id())


def measure_age(then: ClockReading, now: ClockReading) -> tuple[float, tuple[str, ...]]:
    """Seconds from one reading to a later one, endless where that can't be told, and what was odd."""
    by_wall, by_boot = now.wall - then.wall, now.boot - then.boot
    if not all(map(math.isfinite, (*then[:2], *now[:2]))):
        return UNKNOWN_AGE, ("clock_impossible",)
    if then.boot_id and then.boot_id == now.boot_id:
        if by_boot < 0:
            return UNKNOWN_AGE, ("clock_impossible",)
        return by_boot, ("clock_stepped",) if abs(by_wall - by_boot) > MAX_CLOCK_DRIFT else ()
    if by_wall < 0:
        return UNKNOWN_AGE, ("clock_future",)
    if not (then.boot_id and now.boot_id):
        return by_wall, ("clock_boot_unknown",)
    if by_wall < now.boot:
        return now.boot, ("clock_rebooted", "clock_stepped")
    return by_wall, ("clock_rebooted",)
