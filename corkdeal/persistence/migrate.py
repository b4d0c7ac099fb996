"""Brings older formats forward one step at a time, on plain dictionaries.

Format 1: JSON, not compressed. Wall clock only, no shut-outs, no ledgers; times are wall times.
Format 2: msgpack in a Zstandard frame. Both clocks, shut-outs, ledgers without the rounds and incarnations
that are needed to resume them; times are of the boot clock. Accounts are one map of named fields.
Format 3: see `codec`. Records are arrays, accounts lie in pages, and ledgers can be resumed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .errors import MigrationError

UNCOMPRESSED_FORMAT = 1
# The decisions bound saved-up retries by fewer than this, so an unknown number becomes their own bound.
UNKNOWN_RETRIES = 1e6

Document = dict[str, Any]


def migrate_to_current(format_number: int, body: bytes) -> Document:
    """Return an older format's body in the plain form of format 3.

    Raises `MigrationError` for a body that is not of that format.
    """
    if format_number not in READERS:
        raise MigrationError(f"there is no format {format_number}")
    try:
        document = READERS[format_number](body)
        while format_number in STEPS:
            document = STEPS[format_number](document)
            format_number += 1
    except (KeyError, TypeError, AttributeError, IndexError, ValueError, msgspec.MsgspecError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise MigrationError(f"not of format {format_number}: {reason}") from error
    return document


def _read_json(body: bytes) -> Document:
    document: Document = msgspec.json.decode(body)
    return document


def _read_msgpack(body: bytes) -> Document:
    document: Document = msgspec.msgpack.decode(body, strict=False)
    return document


def format_1_to_2(old: Document) -> Document:
    """Turn wall times into those of a boot clock that was 0 at the writing; its boot id is unknown."""
    wall = old["wall"]
    work = [[entry["class"], entry["size"], entry["seconds"], 0.0] for entry in old["work"]]
    return {
        "name": old["name"],
        "clock": {"wall": wall, "boot": 0.0, "boot_id": ""},
        "interval": 1.0,
        "servers": [{**server, "at": server["at"] - wall, "shut": []} for server in old["servers"]],
        "fleet": {"pace": old["pace"], "slow": old["slow"], "work": work},
        "accounts": {int(account["customer"]): _account_1_to_2(account, wall) for account in old["accounts"]},
    }


def _account_1_to_2(account: Document, wall: float) -> Document:
    return {
        "plan": account["plan"],
        "first": account["first"],
        "spread": account["spread"],
        "at": account["at"] - wall,
        "level": account["level"],
        "demand": account["demand"],
        "open": 0,
        "pairs": [],
    }


def format_2_to_3(old: Document) -> Document:
    """Turn records into arrays; drop ledgers, for no incarnation tells whether they may be resumed."""
    clock = old["clock"]
    accounts = {customer: _account_2_to_3(account) for customer, account in old["accounts"].items()}
    return {
        "head": {
            "name": old["name"],
            "program": "format 2",
            "every": old["interval"],
            "clean": False,
            "clock": [clock["wall"], clock["boot"], clock["boot_id"]],
            "fleet": _fleet_2_to_3(old["fleet"], clock["boot"]),
            "servers": [_server_2_to_3(server) for server in old["servers"]],
        },
        "accounts": [accounts],
    }


def _fleet_2_to_3(fleet: Document, boot: float) -> list[Any]:
    """The last five fields are place, tier, incarnation, round and peers, all unknown."""
    work = [[*entry[:3], boot] for entry in fleet["work"]]
    return [fleet["pace"], fleet["slow"], UNKNOWN_RETRIES, work, 0, 0, 0, 0, []]


def _server_2_to_3(server: Document) -> list[Any]:
    names = ("id", "started", "at", "slow", "failures", "ejected", "out_for", "shut")
    unknown_address = ""
    return [*(server[name] for name in names), unknown_address]


def _account_2_to_3(account: Document) -> list[Any]:
    """The account was last asked for `at` its time; ceiling and totals start at 0, ledgers empty."""
    at = account["at"]
    identity = [account["plan"], account["first"], account["spread"]]
    bucket = [at, at, account["level"], 0.0, account["demand"], account["open"]]
    totals = [0.0, 0.0]
    return [*identity, *bucket, *totals, [], []]


READERS: dict[int, Callable[[bytes], Document]] = {1: _read_json, 2: _read_msgpack}
STEPS: dict[int, Callable[[Document], Document]] = {1: format_1_to_2, 2: format_2_to_3}
