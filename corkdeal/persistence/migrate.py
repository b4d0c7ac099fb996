"""Older formats, brought forward one step at a time on plain dictionaries.

Format 1: JSON, not compressed. Wall clock only, no shut-outs, no ledgers; times are wall times.
Format 2: msgpack in a zstandard frame. Both clocks, shut-outs, ledgers without the rounds and incarnations
that let them go on; times are of the boot clock. Accounts are one map of named fields. Format 3: `document`.
Records are arrays, accounts lie in pages, and ledgers can go on.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .errors import MigrationError

UNKNOWN_RETRIES = 1e6  # the decisions save up fewer and cut it to their own bound


def migrate_to_current(form: int, raw: bytes) -> dict[str, Any]:
    """A body of an older format as format 3's plain form."""
    if form not in READERS:
        raise MigrationError(f"there is no format {form}")
    try:
        made = READERS[form](raw)
        while form in STEPS:
            made, form = STEPS[form](made), form + 1
    except (KeyError, TypeError, AttributeError, IndexError, ValueError, msgspec.MsgspecError) as error:
        raise MigrationError(f"not of format {form}: {type(error).__name__}: {error}") from error
    return made


def format_1_to_2(old: dict[str, Any]) -> dict[str, Any]:
    """Turn wall times into those of a boot clock that was 0 at the writing; no boot id is known."""
    wall = old["wall"]
    return {
        "name": old["name"],
        "clock": {"wall": wall, "boot": 0.0, "boot_id": ""},
        "interval": 1.0,
        "servers": [{**s, "at": s["at"] - wall, "shut": []} for s in old["servers"]],
        "fleet": {
            "pace": old["pace"],
            "slow": old["slow"],
            "work": [[w["class"], w["size"], w["seconds"], 0.0] for w in old["work"]],
        },
        "accounts": {
            int(a["customer"]): {
                "plan": a["plan"],
                "first": a["first"],
                "spread": a["spread"],
                "at": a["at"] - wall,
                "level": a["level"],
                "demand": a["demand"],
                "open": 0,
                "pairs": [],
            }
            for a in old["accounts"]
        },
    }


def format_2_to_3(old: dict[str, Any]) -> dict[str, Any]:
    """Records become arrays; ledgers are dropped, since no incarnation says whether they may go on."""
    clock, fleet = old["clock"], old["fleet"]
    work = [[*w[:3], clock["boot"]] for w in fleet["work"]]
    return {
        "head": {
            "name": old["name"],
            "program": "format 2",
            "every": old["interval"],
            "clean": False,
            "clock": [clock["wall"], clock["boot"], clock["boot_id"]],
            "fleet": [fleet["pace"], fleet["slow"], UNKNOWN_RETRIES, work, 0, 0, 0, 0, []],
            "servers": [
                [
                    s["id"],
                    s["started"],
                    s["at"],
                    s["slow"],
                    s["failures"],
                    s["ejected"],
                    s["out_for"],
                    s["shut"],
                    "",
                ]
                for s in old["servers"]
            ],
        },
        "accounts": [
            {
                customer: [
                    a["plan"],
                    a["first"],
                    a["spread"],
                    a["at"],
                    a["at"],
                    a["level"],
                    0.0,
                    a["demand"],
                    a["open"],
                    0.0,
                    0.0,
                    [],
                    [],
                ]
                for customer, a in old["accounts"].items()
            }
        ],
    }


READERS = {1: msgspec.json.decode, 2: lambda raw: msgspec.msgpack.decode(raw, strict=False)}
STEPS = {1: format_1_to_2, 2: format_2_to_3}
