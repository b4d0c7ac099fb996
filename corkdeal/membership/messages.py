"""Layout of the messages in which gateways tell that they live and whom they hear; no decision is made here.

A message is one beat: both ends' incarnations, the sender's beat number, the last of the receiver's that the
sender heard, the last that it confirms (`leases`), and rows about other members. Beat numbers run from 1 to
65,535 and begin anew; 0 is none.
"""

from __future__ import annotations

import struct
from typing import NamedTuple

from ..decisions.peer_messages import MESSAGE_BYTES
from ..decisions.settings import Settings

VERSION = 5  # of a peer's message: 3 and 4 are the trades'
HEAD, ROW = struct.Struct("<BIIHHHB"), struct.Struct("<BHIH")
ROWS = (MESSAGE_BYTES - HEAD.size) // ROW.size
WRAP = 1 << 16
NEWS, LEFT, ASK, GRANT = 1, 2, 3, 4  # kinds of rows
LEAVING, PROMPT = 1, 2  # flags: the sender ends; it holds no lease from the receiver and wants a word at once


class Row(NamedTuple):
    """One word about a member.

    NEWS: its latest beat known to the sender; LEFT: that life of it has ended as planned; ASK: the sender
    would take over its slice; GRANT: the sender won't confirm it meanwhile, in answer to the asking beat.
    """

    kind: int
    member: int
    born: int
    beat: int


class Beat(NamedTuple):
    """One message."""

    born: int
    yours: int  # the receiver's incarnation as far as known, else 0
    beat: int
    heard: int  # the receiver's last beat that came here, else 0
    ack: int  # the last one that is confirmed, else 0
    flags: int
    rows: tuple[Row, ...]


def pack(beat: Beat) -> bytes:
    """A message; rows beyond what fits are left for another."""
    head = HEAD.pack(VERSION, *beat[:-1])
    return head + b"".join([ROW.pack(*row) for row in beat.rows[:ROWS]])


def unpack(payload: bytes, peer: int, s: Settings) -> Beat | None:
    """The beat, or None for what does not follow the layout."""
    size = len(payload) - HEAD.size
    if size < 0 or size % ROW.size or len(payload) > MESSAGE_BYTES or payload[0] != VERSION:
        return None
    _, born, yours, beat, heard, ack, flags = HEAD.unpack_from(payload)
    rows = tuple([Row(*values) for values in ROW.iter_unpack(payload[HEAD.size :])])
    known = all(NEWS <= r.kind <= GRANT and r.member < s.gateway_count and r.born and r.beat for r in rows)
    made = Beat(born, yours, beat, heard, ack, flags, rows)
    return made if known and born and beat and peer != s.gateway_index else None


def newer(one: int, other: int) -> bool:
    """Whether a beat number is after another."""
    return 0 < (one - other) % WRAP < WRAP // 2


def following(beat: int) -> int:
    """The next beat's number."""
    return beat % (WRAP - 1) + 1
