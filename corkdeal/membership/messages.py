"""The membership datagram: its typed message, and its layout in bytes.

A datagram is one heartbeat: the incarnations of both ends, the sender's sequence number, the receiver's last
sequence number that arrived at the sender, the last one whose lease the sender renews (`leases`), and gossip
entries about other members. Sequence numbers run from 1 to 65,535 and wrap to 1; 0 stands for none.
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass

from ..decisions.peer_messages import MESSAGE_BYTES
from ..decisions.settings import Settings

VERSION = 5  # of a peer datagram; 3 and 4 are those of the quota exchange
HEADER_LAYOUT = struct.Struct("<BIIHHHB")
ENTRY_LAYOUT = struct.Struct("<BHIH")
MAX_ENTRIES = (MESSAGE_BYTES - HEADER_LAYOUT.size) // ENTRY_LAYOUT.size
SEQUENCE_MODULUS = 1 << 16


class GossipKind(enum.IntEnum):
    """What an entry tells or requests; the values are those on the wire."""

    ALIVE_UPDATE = 1  # the member's latest heartbeat known to the sender
    LEFT = 2  # that incarnation of the member has shut down as planned
    LEASE_REQUEST = 3  # the sender asks for leave to take over the member's quota share
    LEASE_GRANT = 4  # the sender grants that; `sequence` is that of the requesting heartbeat


class HeartbeatFlag(enum.IntFlag):
    """Flags of a heartbeat; the values are those on the wire."""

    LEAVING = 1  # the sender shuts down
    REPLY_REQUESTED = 2  # the sender holds no lease from the receiver and asks for a reply at once


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """What a heartbeat tells of a member other than its sender and receiver."""

    kind: GossipKind
    member: int
    incarnation: int  # ms
    sequence: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One datagram between two members."""

    incarnation: int  # ms
    receiver_incarnation: int  # ms, as far as the sender knows it, else 0
    sequence: int
    received_sequence: int  # the receiver's last heartbeat that arrived at the sender, else 0
    renewed_sequence: int  # the receiver's last heartbeat whose lease the sender renews, else 0
    flags: HeartbeatFlag
    entries: tuple[GossipEntry, ...]


def pack(heartbeat: Heartbeat) -> bytes:
    """The datagram of a heartbeat; entries beyond MAX_ENTRIES are left out."""
    header = HEADER_LAYOUT.pack(
        VERSION,
        heartbeat.incarnation,
        heartbeat.receiver_incarnation,
        heartbeat.sequence,
        heartbeat.received_sequence,
        heartbeat.renewed_sequence,
        heartbeat.flags,
    )
    entries = [
        ENTRY_LAYOUT.pack(entry.kind, entry.member, entry.incarnation, entry.sequence)
        for entry in heartbeat.entries[:MAX_ENTRIES]
    ]
    return header + b"".join(entries)


def unpack(payload: bytes, peer: int, settings: Settings) -> Heartbeat | None:
    """The heartbeat that `peer` sent, or None for a payload that does not follow the layout."""
    entries_size = len(payload) - HEADER_LAYOUT.size
    if entries_size < 0 or entries_size % ENTRY_LAYOUT.size:
        return None
    if len(payload) > MESSAGE_BYTES or payload[0] != VERSION or peer == settings.gateway_index:
        return None
    _, incarnation, receiver_incarnation, sequence, received, renewed, flags = HEADER_LAYOUT.unpack_from(
        payload
    )
    entries = _unpack_entries(payload[HEADER_LAYOUT.size :], settings)
    if entries is None or not incarnation or not sequence:
        return None
    return Heartbeat(
        incarnation, receiver_incarnation, sequence, received, renewed, HeartbeatFlag(flags), entries
    )


def _unpack_entries(payload: bytes, settings: Settings) -> tuple[GossipEntry, ...] | None:
    """The entries, or None if one of them names an unknown kind or member, or has a zero."""
    entries = []
    for kind, member, incarnation, sequence in ENTRY_LAYOUT.iter_unpack(payload):
        is_known_kind = GossipKind.ALIVE_UPDATE <= kind <= GossipKind.LEASE_GRANT
        if not is_known_kind or member >= settings.gateway_count or not incarnation or not sequence:
            return None
        entries.append(GossipEntry(GossipKind(kind), member, incarnation, sequence))
    return tuple(entries)


def is_newer(one: int, other: int) -> bool:
    """Whether a sequence number comes after another."""
    return 0 < (one - other) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def next_sequence(sequence: int) -> int:
    """The sequence number after `sequence`."""
    return sequence % (SEQUENCE_MODULUS - 1) + 1
