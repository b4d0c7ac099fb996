"""Unit tests of the membership datagram: the bytes of each kind and flag, and payloads that are rejected."""

import struct

import pytest

from corkdeal.membership import messages
from corkdeal.membership.messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag
from tests.helpers import settings

HEADER = struct.Struct("<BIIHHHB")
ENTRY = struct.Struct("<BHIH")


def heartbeat(*entries, flags=0):
    return Heartbeat(77, 88, 5, 4, 3, HeartbeatFlag(flags), entries)


def datagram(*entries, version=5, incarnation=77, sequence=5, flags=0):
    header = HEADER.pack(version, incarnation, 88, sequence, 4, 3, flags)
    return header + b"".join(ENTRY.pack(*entry) for entry in entries)


@pytest.mark.parametrize(
    ("kind", "value"),
    [
        (GossipKind.ALIVE_UPDATE, 1),
        (GossipKind.LEFT, 2),
        (GossipKind.LEASE_REQUEST, 3),
        (GossipKind.LEASE_GRANT, 4),
    ],
)
def test_each_kind_has_its_value_on_the_wire_and_comes_back(kind, value):
    message = heartbeat(GossipEntry(kind, 2, 1234, 9))
    payload = messages.pack(message)
    assert payload == datagram((value, 2, 1234, 9))
    assert messages.unpack(payload, 1, settings(0, 5)) == message
    assert messages.unpack(payload, 1, settings(0, 5)).entries[0].kind is kind


@pytest.mark.parametrize("flags", range(4))
def test_flags_are_bits_of_the_last_byte_of_the_header(flags):
    payload = messages.pack(heartbeat(flags=flags))
    assert payload == datagram(flags=flags)
    unpacked = messages.unpack(payload, 1, settings(0, 5))
    assert (HeartbeatFlag.LEAVING in unpacked.flags) == bool(flags & 1)
    assert (HeartbeatFlag.REPLY_REQUESTED in unpacked.flags) == bool(flags & 2)


def test_a_flag_of_a_later_version_is_ignored():
    unpacked = messages.unpack(datagram(flags=0x81), 1, settings(0, 5))
    assert HeartbeatFlag.LEAVING in unpacked.flags and HeartbeatFlag.REPLY_REQUESTED not in unpacked.flags


def test_entries_beyond_a_datagram_are_left_out():
    entries = [GossipEntry(GossipKind.ALIVE_UPDATE, 2, 1, n) for n in range(1, messages.MAX_ENTRIES + 5)]
    payload = messages.pack(heartbeat(*entries))
    assert len(payload) <= 256
    assert messages.unpack(payload, 1, settings(0, 5)).entries == tuple(entries[: messages.MAX_ENTRIES])


@pytest.mark.parametrize(
    "payload",
    [
        b"",
        datagram()[:-1],
        datagram() + b"\0",
        datagram(version=4),
        datagram(incarnation=0),
        datagram(sequence=0),
        datagram((0, 2, 1, 1)),
        datagram((5, 2, 1, 1)),
        datagram((1, 5, 1, 1)),  # a member beyond the tier
        datagram((1, 2, 0, 1)),
        datagram((1, 2, 1, 0)),
        datagram(*[(1, 2, 1, 1)] * (messages.MAX_ENTRIES + 1)),
    ],
)
def test_what_does_not_follow_the_layout_is_none(payload):
    assert messages.unpack(payload, 1, settings(0, 5)) is None


def test_a_heartbeat_of_this_gateway_itself_is_none():
    assert messages.unpack(datagram(), 0, settings(0, 5)) is None


def test_sequence_numbers_wrap_past_zero():
    assert messages.next_sequence(1) == 2 and messages.next_sequence(65535) == 1
    assert messages.is_newer(1, 65535) and not messages.is_newer(65535, 1) and not messages.is_newer(7, 7)
