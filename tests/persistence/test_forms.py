"""Clock rules, ageing, files of all formats and everything that may be wrong with one."""

import math
import pathlib
import subprocess
import sys

import msgspec
import pytest
import zstandard
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.decisions.persisted_state import (
    StoredAccount,
    StoredBackend,
    StoredLatency,
    StoredLedger,
    StoredRejection,
)
from corkdeal.persistence import expiry, merge
from corkdeal.persistence.clock import ClockReading, measure_age
from corkdeal.persistence.codec import decode_account, decode_snapshot
from corkdeal.persistence.envelope import HEADER, MAX_UNPACKED_SIZE
from corkdeal.persistence.errors import DamagedSnapshotError, UnsupportedFormatError

from . import samples

YEARS = 10 * 365 * 86400.0
THEN = ClockReading(1_790_000_000.0, 5000.0, "a")


@pytest.mark.parametrize(
    ("wall", "boot", "boot_id", "expected", "odd"),
    [
        (7.0, 5007.0, "a", 7.0, ()),
        (3607.0, 5007.0, "a", 7.0, ("clock_stepped",)),  # set an hour forward while it was down
        (-3593.0, 5007.0, "a", 7.0, ("clock_stepped",)),
        (YEARS, 5007.0, "a", 7.0, ("clock_stepped",)),
        (-YEARS, 5007.0, "a", 7.0, ("clock_stepped",)),
        (7.0, 4000.0, "a", math.inf, ("clock_impossible",)),
        (90.0, 20.0, "b", 90.0, ("clock_rebooted",)),
        (5.0, 20.0, "b", 20.0, ("clock_rebooted", "clock_stepped")),  # the boot alone took longer
        (3600.0 + 90, 20.0, "b", 3690.0, ("clock_rebooted",)),  # forward: it counts for less
        (-3600.0, 20.0, "b", math.inf, ("clock_future",)),
        (YEARS, 20.0, "b", YEARS, ("clock_rebooted",)),
        (-YEARS, 20.0, "b", math.inf, ("clock_future",)),
        (9.0, 8000.0, "", 9.0, ("clock_boot_unknown",)),
        (-9.0, 8000.0, "", math.inf, ("clock_future",)),
        (math.nan, 5007.0, "a", math.inf, ("clock_impossible",)),
    ],
)
def test_age_by_two_clocks(wall, boot, boot_id, expected, odd):
    assert measure_age(THEN, ClockReading(THEN.wall + wall, boot, boot_id)) == (expected, odd)


AGES = st.floats(0, 2e5)
KINDS = [
    expiry.SERVER_SLOWNESS,
    expiry.SERVER_FAILURES,
    expiry.USUAL_LATENCY,
    expiry.FLEET_SLOWNESS,
    expiry.RETRY_BUDGET,
]
FIGURE = st.floats(0.01, 100)
SERVERS = st.builds(
    StoredBackend,
    st.sampled_from("abc"),
    st.sampled_from([0.0, 5.0, 9.0]),
    st.floats(0, 100),
    FIGURE,
    st.integers(0, 30),
    st.booleans(),
    st.floats(0, 6),
    st.lists(
        st.builds(StoredRejection, st.sampled_from(["look", "pay"]), st.floats(0, 16), st.floats(0, 16)),
        max_size=2,
    ).map(tuple),
    st.sampled_from(["", "10.0.0.1:1"]),
)


@given(st.sampled_from(KINDS), AGES, AGES)
def test_weights_never_grow_and_end_at_the_horizon(kind, one, other):
    young, old = sorted((one, other))
    assert 1 >= kind.weight(young) >= kind.weight(old) >= 0
    assert kind.weight(kind.horizon) == 0 == kind.weight(math.inf) == kind.weight(math.nan)
    assert kind.weight(kind.half_life) == pytest.approx(0.5)


@given(SERVERS, AGES, AGES)
def test_an_aged_server_lies_between_its_record_and_an_unknown_one(m, one, other):
    young, old = (expiry.expire_server(m, a) for a in sorted((one, other)))
    for made in (young, old):
        if made is not None:
            assert min(m.slowness, 1) <= made.slowness <= max(m.slowness, 1)
            assert 0 <= made.failures <= m.failures and made.ejection_time <= m.ejection_time
            assert made.is_ejected <= m.is_ejected and all(
                s.remaining <= t.remaining for s, t in zip(made.rejections, m.rejections, strict=False)
            )
    if young is None:
        assert old is None
    elif old is not None:
        assert abs(old.slowness - 1) <= abs(young.slowness - 1) and old.failures <= young.failures


@given(
    st.floats(0, 50), st.floats(0, 20), st.floats(0, 20), st.floats(0, 1), st.floats(0, 100), st.floats(0, 5)
)
def test_what_may_have_been_spent_unseen_makes_no_debt(level, demand, rate, share, quiet, unseen):
    m = samples.ACCOUNT._replace(level=level, demand=demand)
    spent = expiry.unrecorded_spending(m, rate, share, quiet, unseen)
    assert 0 <= spent <= level + rate * share * unseen + 1e-9 and spent <= demand * unseen + 1e-9


ACCOUNTS = st.builds(
    StoredAccount,
    st.sampled_from(["small", "large"]),
    st.integers(0, 3),
    st.integers(1, 4),
    st.floats(0, 100),
    st.floats(0, 100),
    FIGURE,
    FIGURE,
    FIGURE,
    st.integers(0, 9),
    st.just(0.0),
    st.just(0.0),
    st.lists(
        st.builds(
            StoredLedger,
            st.integers(0, 3),
            st.integers(-9, 9),
            FIGURE,
            st.integers(0, 9),
            st.none() | FIGURE,
            FIGURE,
            FIGURE,
            st.booleans(),
            st.integers(0, 2**32 - 1),
        ),
        max_size=2,
    ).map(tuple),
    st.just(()),
)
HEADS = st.builds(
    lambda boot_id, wall, boot, servers, work, clean: msgspec.structs.replace(
        samples.HEAD,
        clock=ClockReading(wall, boot, boot_id),
        servers=tuple({s.backend: s for s in servers}.values()),
        fleet=samples.FLEET._replace(
            usual_latencies=tuple({(w.request_class, w.size): w for w in work}.values())
        ),
        is_clean=clean,
    ),
    st.sampled_from("ab"),
    st.floats(1000, 2000),
    st.floats(100, 200),
    st.lists(SERVERS, max_size=4),
    st.lists(
        st.builds(
            StoredLatency, st.sampled_from(["look", "pay"]), st.integers(1, 2), FIGURE, st.floats(0, 100)
        )
    ),
    st.booleans(),
)
DOCUMENTS = st.builds(
    samples.document,
    HEADS,
    st.dictionaries(st.integers(0, 2**33 - 1) | st.integers(0, 3), ACCOUNTS, max_size=5),
)


def plain(document):
    return document.head, merge.accounts_of(document)


@given(HEADS, st.dictionaries(st.integers(0, 2**33 - 1), ACCOUNTS, max_size=5), st.integers(1, 10**16 - 1))
def test_what_is_written_is_read(head, accounts, generation):
    said, form, document = decode_snapshot(samples.data(generation, head=head, accounts=accounts))
    assert (said, form) == (generation, 3) and plain(document) == (head, accounts)


@given(DOCUMENTS, DOCUMENTS, DOCUMENTS)
def test_merging_twice_or_in_another_order_makes_no_difference(target, one, other):
    once = plain(merge.merge(target, [one, other]))
    assert (
        once
        == plain(merge.merge(target, [other, one]))
        == plain(merge.merge(merge.merge(target, [one]), [other]))
    )
    assert once == plain(merge.merge(merge.merge(target, [one, other]), [other, one]))
    for key, account in once[1].items():  # ledgers are the target's own or none
        assert not account.ledgers or account == merge.accounts_of(target)[key]


@pytest.mark.parametrize("form", [1, 2, 3])
def test_frozen_files_of_every_format_are_read(form):
    _, said, document = decode_snapshot((samples.DATA / f"format-{form}.know").read_bytes())
    head, account = document.head, decode_account(document.encoded_accounts()[7])
    (server,), (work,) = head.servers, head.fleet.usual_latencies
    assert said == form and (head.name, server.backend, server.started) == ("n0", "s-1", 1000.0)
    assert head.clock.boot - server.recorded_at == pytest.approx(
        10
    ) and head.clock.boot - account.refilled_at == pytest.approx(5)
    assert (server.slowness, account.level, head.write_interval) == {
        1: (5, 0.5, 1),
        2: (5, 0.5, 2),
        3: (4, 1.5, 1),
    }[form]
    assert (work.request_class, work.size, head.clock.boot - work.recorded_at) == ("look", 1, 0.0)
    assert [s.request_class for s in server.rejections] == ([] if form == 1 else ["note"]) and bool(
        account.ledgers
    ) is (form == 3)
    assert (head.fleet.incarnation > 0) is (form == 3)  # older ones can't go on with their ledgers


def test_a_newer_format_is_told_apart_from_a_damaged_one():
    with pytest.raises(UnsupportedFormatError, match="needs a reader of format 4"):
        decode_snapshot((samples.DATA / "format-4.know").read_bytes())


@pytest.mark.parametrize("form", [1, 2, 3, 4])
def test_a_file_cut_short_or_changed_anywhere_is_refused(form):
    whole = (samples.DATA / f"format-{form}.know").read_bytes()
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
    ("data", "why"),
    [
        (resized(MAX_UNPACKED_SIZE + 1, b"x"), "would unpack to"),
        (resized(100, zstandard.compress(bytes(1 << 28))), "unpacks to 268435456 bytes, not to 100"),
        (
            resized(100, zstandard.ZstdCompressor(write_content_size=False).compress(bytes(1 << 28))),
            "unpacks to -1",
        ),
        (resized(3, zstandard.compress(b"abc")), "body: "),
        (samples.sealed(3, msgspec.msgpack.encode({"head": 1, "accounts": []})), "head"),
        (samples.sealed(1, b"{}", packed=False), "not of format 1: KeyError"),
        (samples.sealed(2, msgspec.msgpack.encode({**samples.TWO, "accounts": 3})), "not of format 2"),
        (samples.sealed(7, b"x", least=3), "body: "),
        (
            samples.data(head=msgspec.structs.replace(samples.HEAD, write_interval=math.nan)),
            "every: a figure is not finite",
        ),
        (
            samples.data(
                head=msgspec.structs.replace(
                    samples.HEAD, servers=(samples.SERVER._replace(slowness=math.inf),)
                )
            ),
            "servers: a figure is not finite",
        ),
    ],
)
def test_a_sealed_file_with_a_bad_body_is_refused(data, why):
    with pytest.raises(DamagedSnapshotError, match=why):
        decode_snapshot(data)


def test_a_bomb_takes_no_memory():
    code = (
        "import resource, sys; from corkdeal.persistence.codec import decode_snapshot\n"
        "from corkdeal.persistence.errors import DamagedSnapshotError\n"
        "resource.setrlimit(resource.RLIMIT_AS, (1 << 29, 1 << 29))\n"
        "try:\n    decode_snapshot(sys.stdin.buffer.read())\nexcept DamagedSnapshotError as e:\n    print(e)"
    )
    bomb = zstandard.compress(bytes(3 << 30))  # 3 GiB of nothing in about 100 kB
    for data in (resized(3 << 30, bomb), resized(1 << 20, bomb)):
        done = subprocess.run(
            [sys.executable, "-c", code],
            input=data,
            capture_output=True,
            check=True,
            cwd=pathlib.Path(__file__).parents[2],
        )
        assert b"unpack" in done.stdout, done.stderr


def test_the_header_is_as_documented():
    assert HEADER.size == 80 and samples.data()[:8] == b"CORKKNOW"
