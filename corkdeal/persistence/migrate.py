"""Migrates documents of older formats to the current one, format by format, as plain dictionaries.

Format 1: JSON, not compressed. It has no boot clock, class rejections or ledgers; times are wall times.
Format 2: msgpack in a Zstandard frame. It has both clocks and class rejections; times are of the boot clock.
Its ledgers lack the rounds and incarnations that are needed to resume them. The accounts are one map from
customer to a record of named fields.
Format 3: see `codec`. Records are arrays, accounts are stored in pages, and ledgers can be resumed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from .errors import MigrationError

UNCOMPRESSED_FORMAT = 1
# Stands for a retry budget that the older format does not store. It exceeds the greatest budget that the
# decisions allow, to which the restore limits it.
UNKNOWN_RETRY_BUDGET = 1e6

Document = dict[str, Any]


def migrate_to_current(format_number: int, body: bytes) -> Document:
    """Return the body of an older format as a plain document of format 3.

    Raises `MigrationError` for a body that does not have that format.
    """
    if format_number not in DECODERS:
        raise MigrationError(f"unknown format {format_number}")
    try:
        document = DECODERS[format_number](body)
        while format_number in STEPS:
            document = STEPS[format_number](document)
            format_number += 1
    except (KeyError, TypeError, AttributeError, IndexError, ValueError, msgspec.MsgspecError) as error:
        reason = f"{type(error).__name__}: {error}"
        raise MigrationError(f"malformed document of format {format_number}: {reason}") from error
    return document


def _read_json(body: bytes) -> Document:
    document: Document = msgspec.json.decode(body)
    return document


def _read_msgpack(body: bytes) -> Document:
    document: Document = msgspec.msgpack.decode(body, strict=False)
    return document


def format_1_to_2(old: Document) -> Document:
    """Convert wall times to those of a boot clock that was 0 at the write; the boot id is unknown."""
    wall = old["wall"]
    latencies = [[entry["class"], entry["size"], entry["seconds"], 0.0] for entry in old["work"]]
    return {
        "name": old["name"],
        "clock": {"wall": wall, "boot": 0.0, "boot_id": ""},
        "interval": 1.0,
        "servers": [{**server, "at": server["at"] - wall, "shut": []} for server in old["servers"]],
        "fleet": {"pace": old["pace"], "slow": old["slow"], "work": latencies},
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
    """Convert records to arrays; drop ledgers, which can't be resumed without an incarnation."""
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
            "servers": [_backend_2_to_3(server) for server in old["servers"]],
        },
        "accounts": [accounts],
    }


def _fleet_2_to_3(fleet: Document, boot: float) -> list[Any]:
    """Return the fleet's record; gateway index and count, incarnation, round and peers are unknown."""
    latencies = [[*entry[:3], boot] for entry in fleet["work"]]
    return [fleet["pace"], fleet["slow"], UNKNOWN_RETRY_BUDGET, latencies, 0, 0, 0, 0, []]


def _backend_2_to_3(server: Document) -> list[Any]:
    names = ("id", "started", "at", "slow", "failures", "ejected", "out_for", "shut")
    unknown_address = ""
    return [*(server[name] for name in names), unknown_address]


def _account_2_to_3(account: Document) -> list[Any]:
    """Return an account's record; the time of its last request is assumed, unknown fields are 0 or empty."""
    at = account["at"]
    identity = [account["plan"], account["first"], account["spread"]]
    bucket = [at, at, account["level"], 0.0, account["demand"], account["open"]]
    totals = [0.0, 0.0]
    return [*identity, *bucket, *totals, [], []]


DECODERS: dict[int, Callable[[bytes], Document]] = {1: _read_json, 2: _read_msgpack}
STEPS: dict[int, Callable[[Document], Document]] = {1: format_1_to_2, 2: format_2_to_3}
