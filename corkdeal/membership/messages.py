"""The membership datagram: message types and wire format.

A datagram is one heartbeat. It holds the incarnations of sender and receiver, the sender's sequence number,
the last sequence number that the sender got from the receiver, the last one whose lease the sender renews
(see `leases`), and gossip entries about other members. Sequence numbers run from 1 to 65,535 and wrap around
to 1; 0 means none.
"""

from __future__ import annotations

import enum
import struct
from dataclasses import dataclass

from ..decisions.peer_messages import MESSAGE_BYTES
from ..decisions.settings import Settings

VERSION = 5  # of the peer datagram; 3 and 4 are those of the quota exchange
HEADER_LAYOUT = struct.Struct("<BIIHHHB")
ENTRY_LAYOUT = struct.Struct("<BHIH")
MAX_ENTRIES = (MESSAGE_BYTES - HEADER_LAYOUT.size) // ENTRY_LAYOUT.size
SEQUENCE_MODULUS = 1 << 16


class GossipKind(enum.IntEnum):
    """Kind of a gossip entry; the values are those on the wire."""

    ALIVE_UPDATE = 1  # the latest heartbeat of the member that the sender knows of
    LEFT = 2  # that incarnation of the member has shut down as planned
    LEASE_REQUEST = 3  # the sender requests permission to take over the member's quota share
    LEASE_GRANT = 4  # the sender grants such a request; `sequence` is that of the requesting heartbeat


class HeartbeatFlag(enum.IntFlag):
    """Flags of a heartbeat; the values are those on the wire."""

    LEAVING = 1  # the sender shuts down
    REPLY_REQUESTED = 2  # the sender holds no lease from the receiver and requests an immediate reply


@dataclass(frozen=True, slots=True)
class GossipEntry:
    """An entry of a heartbeat about a member other than its sender and receiver."""

    kind: GossipKind
    member: int
    incarnation: int  # ms
    sequence: int


@dataclass(frozen=True, slots=True)
class Heartbeat:
    """One datagram from a member to another."""

    incarnation: int  # ms
    receiver_incarnation: int  # ms; 0 if the sender does not know it
    sequence: int
    received_sequence: int  # the receiver's last heartbeat that reached the sender, or 0
    renewed_sequence: int  # the receiver's last heartbeat whose lease the sender renews, or 0
    flags: HeartbeatFlag
    entries: tuple[GossipEntry, ...]


def pack(heartbeat: Heartbeat) -> bytes:
    """Encode a heartbeat as a datagram; entries beyond MAX_ENTRIES are dropped."""
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
    """Decode a heartbeat sent by `peer`; return None for any other or a malformed payload."""
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
    """Decode the entries; return None if one has an unknown kind or member, or a zero field."""
    entries = []
    for kind, member, incarnation, sequence in ENTRY_LAYOUT.iter_unpack(payload):
        is_known_kind = GossipKind.ALIVE_UPDATE <= kind <= GossipKind.LEASE_GRANT
        if not is_known_kind or member >= settings.gateway_count or not incarnation or not sequence:
            return None
        entries.append(GossipEntry(GossipKind(kind), member, incarnation, sequence))
    return tuple(entries)


def is_newer(sequence: int, reference: int) -> bool:
    """Return whether sequence number `sequence` comes after `reference`."""
    return 0 < (sequence - reference) % SEQUENCE_MODULUS < SEQUENCE_MODULUS // 2


def next_sequence(sequence: int) -> int:
    """Return the sequence number after `sequence`."""
    return sequence % (SEQUENCE_MODULUS - 1) + 1
