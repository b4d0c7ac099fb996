"""Unit tests of `envelope`: what is built can be parsed, and an error names the byte of the wrong field."""

import pytest

from corkdeal.persistence import envelope
from corkdeal.persistence.errors import DamagedSnapshotError


def test_an_envelope_gives_back_its_fields_and_its_body():
    data = b"".join(envelope.build_envelope(7, 3, 42, 1000, [b"ab", b"", b"c"]))
    parsed = envelope.parse_envelope(data)
    assert parsed[:4] == (7, 3, 42, 1000) and bytes(parsed.body) == b"abc"


def test_the_body_parts_are_not_joined_or_copied():
    part = b"x" * 1000
    header, *rest = envelope.build_envelope(1, 1, 1, 0, iter([part]))
    assert len(header) == envelope.HEADER.size and rest[0] is part


def test_the_header_ends_with_the_checksum():
    assert envelope.CHECKSUM_OFFSET + envelope.CHECKSUM_SIZE == envelope.HEADER.size == 80


def restated(offset, value, size):
    """Return an envelope with one changed header field and a matching checksum."""
    data = bytearray(b"".join(envelope.build_envelope(3, 3, 1, 10, [b"body"])))
    data[offset : offset + size] = value.to_bytes(size, "little")
    checksum = envelope.blake3(bytes(data[: envelope.CHECKSUM_OFFSET]))
    checksum.update(bytes(data[envelope.HEADER.size :]))
    data[envelope.CHECKSUM_OFFSET : envelope.HEADER.size] = checksum.digest()
    return bytes(data)


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"", "byte 0: file ends within the header"),
        (bytes(80), "byte 0: not a snapshot file"),
        (restated(12, 79, 2), "byte 12: "),
        (restated(24, 5, 8), "byte 12: "),
        (restated(32, envelope.MAX_UNPACKED_SIZE + 1, 8), "byte 32: "),
        (restated(16, 2, 8)[:-1], "byte 48: "),
    ],
)
def test_a_field_that_does_not_fit_is_named_by_its_byte(data, reason):
    with pytest.raises(DamagedSnapshotError, match=f"^{reason}"):
        envelope.parse_envelope(data)
