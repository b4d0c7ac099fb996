"""Unit tests of `codec`: files of all formats, and damaged or malicious ones."""

import math
import pathlib
import subprocess
import sys

import msgspec
import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.persistence.codec import decode_account, decode_snapshot
from corkdeal.persistence.envelope import HEADER, MAX_UNPACKED_SIZE
from corkdeal.persistence.errors import DamagedSnapshotError, UnsupportedFormatError

from . import samples
from .strategies import ACCOUNTS, HEADS


@given(HEADS, st.dictionaries(st.integers(0, 2**33 - 1), ACCOUNTS, max_size=5), st.integers(1, 10**16 - 1))
def test_what_is_written_is_read(head, accounts, generation):
    stored_generation, format_number, snapshot = decode_snapshot(
        samples.data(generation, head=head, accounts=accounts)
    )
    assert (stored_generation, format_number) == (generation, 3) and samples.with_decoded_accounts(
        snapshot
    ) == (head, accounts)


@pytest.mark.parametrize("format_number", [1, 2, 3])
def test_frozen_files_of_every_format_are_read(format_number):
    _, stored_format, snapshot = decode_snapshot((samples.DATA / f"format-{format_number}.know").read_bytes())
    head, account = snapshot.head, decode_account(snapshot.encoded_accounts()[7])
    (server,), (latency,) = head.servers, head.fleet.usual_latencies
    assert stored_format == format_number and (head.name, server.backend, server.started) == (
        "n0",
        "s-1",
        1000.0,
    )
    assert head.clock.boot - server.recorded_at == pytest.approx(
        10
    ) and head.clock.boot - account.refilled_at == pytest.approx(5)
    assert (server.latency_ratio, account.level, head.write_interval) == {
        1: (5, 0.5, 1),
        2: (5, 0.5, 2),
        3: (4, 1.5, 1),
    }[format_number]
    assert (latency.request_class, latency.size, head.clock.boot - latency.recorded_at) == ("look", 1, 0.0)
    assert [s.request_class for s in server.rejections] == ([] if format_number == 1 else ["note"]) and bool(
        account.ledgers
    ) is (format_number == 3)
    assert (head.fleet.incarnation > 0) is (format_number == 3)  # 0: ledgers can't be resumed


def test_a_newer_format_is_distinguished_from_a_damaged_one():
    with pytest.raises(UnsupportedFormatError, match="needs a reader of format 4"):
        decode_snapshot((samples.DATA / "format-4.know").read_bytes())


@pytest.mark.parametrize("format_number", [1, 2, 3, 4])
def test_a_file_truncated_or_changed_anywhere_is_rejected(format_number):
    whole = (samples.DATA / f"format-{format_number}.know").read_bytes()
    for size in range(len(whole)):
        with pytest.raises(DamagedSnapshotError, match=r"^byte [0-9]+: "):
            decode_snapshot(whole[:size])
    for at in range(len(whole)):
        for flip in (0x01, 0x80, 0xFF):
            with pytest.raises(DamagedSnapshotError, match=r"^byte [0-9]+: "):
                decode_snapshot(whole[:at] + bytes([whole[at] ^ flip]) + whole[at + 1 :])
    with pytest.raises(DamagedSnapshotError):
        decode_snapshot(whole + b"\0")


def resized(unpacked_size, body):
    from corkdeal.persistence.envelope import build_envelope

    return b"".join(build_envelope(3, 3, 1, unpacked_size, [body]))


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (resized(MAX_UNPACKED_SIZE + 1, b"x"), "unpacked size of"),
        (resized(100, zstandard.compress(bytes(1 << 28))), "unpacks to 268435456 bytes, not to 100"),
        (
            resized(100, zstandard.ZstdCompressor(write_content_size=False).compress(bytes(1 << 28))),
            "unpacks to -1",
        ),
        (resized(3, zstandard.compress(b"abc")), "body: "),
        (samples.build_file(3, msgspec.msgpack.encode({"head": 1, "accounts": []})), "head"),
        (samples.build_file(1, b"{}", compressed=False), "malformed document of format 1: KeyError"),
        (
            samples.build_file(2, msgspec.msgpack.encode({**samples.FORMAT_2_DOCUMENT, "accounts": 3})),
            "malformed document of format 2",
        ),
        (samples.build_file(7, b"x", minimum_reader=3), "body: "),
        (
            samples.data(head=msgspec.structs.replace(samples.HEAD, write_interval=math.nan)),
            "every: a number is not finite",
        ),
        (
            samples.data(
                head=msgspec.structs.replace(
                    samples.HEAD, servers=(samples.BACKEND._replace(latency_ratio=math.inf),)
                )
            ),
            "servers: a number is not finite",
        ),
    ],
)
def test_a_file_with_a_valid_checksum_and_a_bad_body_is_rejected(data, reason):
    with pytest.raises(DamagedSnapshotError, match=reason):
        decode_snapshot(data)


def test_a_decompression_bomb_takes_no_memory():
    code = (
        "import resource, sys; from corkdeal.persistence.codec import decode_snapshot\n"
        "from corkdeal.persistence.errors import DamagedSnapshotError\n"
        "resource.setrlimit(resource.RLIMIT_AS, (1 << 29, 1 << 29))\n"
        "try:\n    decode_snapshot(sys.stdin.buffer.read())\nexcept DamagedSnapshotError as e:\n    print(e)"
    )
    bomb = zstandard.compress(bytes(3 << 30))  # 3 GiB of zeros compressed to about 100 kB
    for data in (resized(3 << 30, bomb), resized(1 << 20, bomb)):
        finished = subprocess.run(
            [sys.executable, "-c", code],
            input=data,
            capture_output=True,
            check=True,
            cwd=pathlib.Path(__file__).parents[2],
        )
        assert b"unpack" in finished.stdout, finished.stderr


def test_the_header_is_as_documented():
    assert HEADER.size == 80 and samples.data()[:8] == b"CORKKNOW"
