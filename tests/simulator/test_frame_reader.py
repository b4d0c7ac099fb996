"""Unit tests of the frame reader: order of fields, and the position of truncated ones."""

import struct

import pytest

from corkdeal.errors import CorkdealError
from corkdeal.simulator.frame_reader import FrameReader
from corkdeal.simulator.protocol import U16, U32, ProtocolError


def test_fields_are_read_in_order():
    reader = FrameReader(struct.pack("<HI", 7, 9) + b"abc")
    assert reader.unpack(U16, "first") == (7,)
    assert reader.unpack(U32, "second") == (9,)
    assert (reader.position, reader.remaining) == (6, 3)
    assert reader.read_bytes(3, "third") == b"abc"
    assert reader.remaining == 0


def test_a_truncated_field_is_reported_with_its_position():
    reader = FrameReader(b"\x01\x00\x02")
    reader.unpack(U16, "first")
    with pytest.raises(ProtocolError, match=r"^second truncated at byte 2 of 3$"):
        reader.unpack(U32, "second")


def test_truncated_bytes_are_reported_with_their_position_and_not_read():
    reader = FrameReader(b"abc")
    with pytest.raises(ProtocolError, match=r"^text truncated at byte 0 of 3$"):
        reader.read_bytes(4, "text")
    assert reader.position == 0


def test_errors_are_errors_of_the_project():
    assert issubclass(ProtocolError, CorkdealError)
