"""Layout of the messages between gateways; packing and unpacking only."""

from __future__ import annotations

import math
import struct
from collections.abc import Callable
from dataclasses import dataclass

from .settings import Settings

VERSION, TOTALS_VERSION, MESSAGE_BYTES = 3, 5, 256  # totals went other ways up to version 4
HEAD, ENTRY = struct.Struct("<BIII"), struct.Struct("<IBBHHeeehf")
TOTALS_HEAD, TOTALS_ENTRY = struct.Struct("<BI"), struct.Struct("<IBBHHHH")
TOTALS_ENTRIES = (MESSAGE_BYTES - TOTALS_HEAD.size) // TOTALS_ENTRY.size
ENTRIES = (MESSAGE_BYTES - HEAD.size) // ENTRY.size
SLICE_UNIT = 30000  # slices travel as whole parts of this
FULL_PART = 0.5  # of the tier, a set above which shares its trees: messages then hold other sets' news too
PARTS = 8  # of a unit, in running totals
TOTAL_WRAP = 65536 / PARTS
HALF, SHORT = 60000.0, 32000  # largest values that the packed fields take


@dataclass(slots=True, frozen=True)
class Note:
    """One customer's state at the sender and the pair's running totals there."""

    customer: int
    plan: int
    first_gateway: int
    member_count: int
    share: float
    demand: float
    level: float
    share_total: int
    units_total: float


@dataclass(slots=True, frozen=True)
class Totals:
    """One customer of a wide ring: units asked and spent on the sender's side, modulo TOTAL_WRAP."""

    customer: int
    plan: int
    first_gateway: int
    member_count: int
    asked: float
    spent: float


def shares_trees(spread: int, gateways: int) -> bool:
    """Whether a wide set's totals go by the tier's own trees, so that others than members pass them on."""
    return spread > FULL_PART * gateways


def fits(note: Note | Totals, peer: int, s: Settings) -> bool:
    """Whether settings and set allow such a note between that peer and this gateway."""
    return (
        note.plan < len(s.plans)
        and note.first_gateway < s.gateway_count
        and 2 <= note.member_count <= s.gateway_count
        and (
            (isinstance(note, Totals) and shares_trees(note.member_count, s.gateway_count))
            or all(
                (member - note.first_gateway) % s.gateway_count < note.member_count
                for member in (peer, s.gateway_index)
            )
        )
    )


def pack(born: int, yours: int, number: int, notes: list[Note]) -> list[bytes]:
    """Messages, one at least: both ends' incarnations, a round number and the notes."""
    head, rows = (
        HEAD.pack(VERSION, born, yours, number),
        [
            ENTRY.pack(
                n.customer & 0xFFFFFFFF,
                n.customer >> 32 & 0xFF,
                n.plan,
                n.first_gateway,
                n.member_count,
                n.share,
                min(HALF, n.demand),
                max(-HALF, min(HALF, n.level)),
                max(-SHORT, min(SHORT, n.share_total)),
                n.units_total,
            )
            for n in notes
        ],
    )
    return [head + b"".join(rows[i : i + ENTRIES]) for i in range(0, max(1, len(rows)), ENTRIES)]


def pack_totals(born: int, notes: list[Totals]) -> list[bytes]:
    """Messages of a wide ring: the sender's incarnation and its notes."""
    head, rows = (
        TOTALS_HEAD.pack(TOTALS_VERSION, born),
        [
            TOTALS_ENTRY.pack(
                n.customer & 0xFFFFFFFF,
                n.customer >> 32 & 0xFF,
                n.plan,
                n.first_gateway,
                n.member_count,
                round(n.asked * PARTS) & 0xFFFF,
                round(n.spent * PARTS) & 0xFFFF,
            )
            for n in notes
        ],
    )
    return [head + b"".join(rows[i : i + TOTALS_ENTRIES]) for i in range(0, len(rows), TOTALS_ENTRIES)]


def rows_of(
    payload: bytes,
    peer: int,
    s: Settings,
    version: int,
    head: struct.Struct,
    row: struct.Struct,
    kind: Callable,
) -> list | None:
    """The notes behind a head, or None for what is not of this version or not whole."""
    size = len(payload) - head.size
    if (
        size < 0
        or size % row.size
        or payload[0] != version
        or peer == s.gateway_index
        or not 0 <= peer < s.gateway_count
    ):
        return None
    notes = [kind(*values) for values in row.iter_unpack(payload[head.size :])]
    return None if None in notes else [n for n in notes if fits(n, peer, s)]


def as_note(low: int, high: int, *rest: float) -> Note | None:
    """A row's values as a note, or None where one is no number."""
    return Note(low | high << 32, *rest) if all(map(math.isfinite, rest)) else None


def as_totals(low: int, high: int, plan: int, first: int, spread: int, asked: int, spent: int) -> Totals:
    """A row's values as totals."""
    return Totals(low | high << 32, plan, first, spread, asked / PARTS, spent / PARTS)


def unpack(payload: bytes, peer: int, s: Settings) -> tuple[int, int, int, list[Note]] | None:
    """Incarnations, round and notes, or None for what does not follow the layout."""
    notes = rows_of(payload, peer, s, VERSION, HEAD, ENTRY, as_note)
    return None if notes is None else (*HEAD.unpack_from(payload)[1:], notes)


def unpack_totals(payload: bytes, peer: int, s: Settings) -> tuple[int, list[Totals]] | None:
    """Incarnation and notes, or None for what does not follow the layout."""
    notes = rows_of(payload, peer, s, TOTALS_VERSION, TOTALS_HEAD, TOTALS_ENTRY, as_totals)
    return None if notes is None else (TOTALS_HEAD.unpack_from(payload)[1], notes)
