"""Unit tests of `clock`: the age of a snapshot by two clocks."""

import math

import pytest

from corkdeal.persistence.clock import ClockReading, measure_age

YEARS = 10 * 365 * 86400.0
THEN = ClockReading(1_790_000_000.0, 5000.0, "a")


@pytest.mark.parametrize(
    ("wall", "boot", "boot_id", "expected", "anomalies"),
    [
        (7.0, 5007.0, "a", 7.0, ()),
        (3607.0, 5007.0, "a", 7.0, ("clock_stepped",)),  # set forward while it was down
        (-3593.0, 5007.0, "a", 7.0, ("clock_stepped",)),
        (YEARS, 5007.0, "a", 7.0, ("clock_stepped",)),
        (-YEARS, 5007.0, "a", 7.0, ("clock_stepped",)),
        (7.0, 4000.0, "a", math.inf, ("clock_impossible",)),
        (90.0, 20.0, "b", 90.0, ("clock_rebooted",)),
        (5.0, 20.0, "b", 20.0, ("clock_rebooted", "clock_stepped")),  # less than the time since boot
        (3600.0 + 90, 20.0, "b", 3690.0, ("clock_rebooted",)),  # set forward: an older snapshot
        (-3600.0, 20.0, "b", math.inf, ("clock_future",)),
        (YEARS, 20.0, "b", YEARS, ("clock_rebooted",)),
        (-YEARS, 20.0, "b", math.inf, ("clock_future",)),
        (9.0, 8000.0, "", 9.0, ("clock_boot_unknown",)),
        (-9.0, 8000.0, "", math.inf, ("clock_future",)),
        (math.nan, 5007.0, "a", math.inf, ("clock_impossible",)),
    ],
)
def test_age_by_two_clocks(wall, boot, boot_id, expected, anomalies):
    assert measure_age(THEN, ClockReading(THEN.wall + wall, boot, boot_id)) == (expected, anomalies)
