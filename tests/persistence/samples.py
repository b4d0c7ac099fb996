"""Sample snapshots, and the code that made the stored files of all formats in `data`."""

import pathlib

import msgspec
import zstandard

from corkdeal.decisions.persisted_state import (
    StoredAccount,
    StoredBackend,
    StoredFleet,
    StoredLatency,
    StoredLedger,
    StoredRejection,
)
from corkdeal.persistence import merge
from corkdeal.persistence.clock import ClockReading
from corkdeal.persistence.codec import (
    Snapshot,
    SnapshotHead,
    encode_page,
    encode_page_entry,
    encode_record,
    encode_snapshot,
)
from corkdeal.persistence.envelope import build_envelope

DATA = pathlib.Path(__file__).parent / "data"
CLOCK = ClockReading(1_790_000_000.0, 5000.0, "boot-a")
BACKEND = StoredBackend(
    "s-1", 1000.0, 4990.0, 4.0, 3, True, 2.0, (StoredRejection("note", 2.0, 1.5),), "10.1.0.1:6379"
)
ACCOUNT = StoredAccount(
    "small",
    0,
    2,
    4995.0,
    4995.0,
    1.5,
    0.0,
    0.5,
    1,
    ledgers=(StoredLedger(1, 1500, 0.5, 9, 0.45, 1.0, 4994.0, True, 55),),
)
FLEET = StoredFleet(0.6, 1.5, 4.0, (StoredLatency("look", 1, 0.3, 5000.0),), 0, 2, 77, 12, ((1, 55),))
HEAD = SnapshotHead("n0", "test", CLOCK, 1.0, False, FLEET, (BACKEND,))


def snapshot_of(head=HEAD, accounts=None):
    accounts = {7: ACCOUNT} if accounts is None else accounts
    return Snapshot(head, [{key: msgspec.Raw(encode_record(a)) for key, a in accounts.items()}])


def with_decoded_accounts(snapshot):
    """Return the snapshot with its accounts decoded, for comparison by value."""
    return snapshot.head, merge.accounts_of(snapshot)


def parts(generation=1, head=HEAD, accounts=None):
    accounts = {7: ACCOUNT} if accounts is None else accounts
    return encode_snapshot(
        generation,
        head,
        [encode_page([encode_page_entry(k, encode_record(a)) for k, a in accounts.items()], len(accounts))],
    )


def data(generation=1, **more):
    return b"".join(parts(generation, **more))


def build_file(format_number, document, minimum_reader=None, compressed=True, generation=1):
    body = zstandard.compress(document) if compressed else document
    return b"".join(
        build_envelope(format_number, minimum_reader or format_number, generation, len(document), [body])
    )


FORMAT_1_DOCUMENT = {
    "name": "n0",
    "wall": 1_790_000_000.0,
    "pace": 0.7,
    "slow": 1.2,
    "servers": [
        {
            "id": "s-1",
            "started": 1000.0,
            "slow": 5.0,
            "failures": 2,
            "ejected": False,
            "out_for": 0.0,
            "at": 1_789_999_990.0,
        }
    ],
    "work": [{"class": "look", "size": 1, "seconds": 0.25}],
    "accounts": [
        {
            "customer": 7,
            "plan": "small",
            "first": 0,
            "spread": 2,
            "at": 1_789_999_995.0,
            "level": 0.5,
            "demand": 0.25,
        }
    ],
}
FORMAT_2_DOCUMENT = {
    "name": "n0",
    "clock": {"wall": 1_790_000_000.0, "boot": 5000.0, "boot_id": "boot-a"},
    "interval": 2.0,
    "servers": [
        {
            "id": "s-1",
            "started": 1000.0,
            "at": 4990.0,
            "slow": 5.0,
            "failures": 2,
            "ejected": True,
            "out_for": 1.0,
            "shut": [["note", 2.0, 0.5]],
        }
    ],
    "fleet": {"pace": 0.7, "slow": 1.2, "work": [["look", 1, 0.25]]},
    "accounts": {
        7: {
            "plan": "small",
            "first": 0,
            "spread": 2,
            "at": 4995.0,
            "level": 0.5,
            "demand": 0.25,
            "open": 1,
            "pairs": [{"peer": 1, "slice": 10, "units": 0.5}],
        }
    },
}


def make():
    """Write the files that are missing; existing ones come from earlier versions and must not change."""
    DATA.mkdir(exist_ok=True)
    files = {
        "format-1.know": build_file(1, msgspec.json.encode(FORMAT_1_DOCUMENT), compressed=False),
        "format-2.know": build_file(2, msgspec.msgpack.encode(FORMAT_2_DOCUMENT)),
        "format-3.know": data(),
        "format-4.know": build_file(4, b"what only a later program knows", compressed=False),
    }
    for name, content in files.items():
        if not (DATA / name).exists():
            (DATA / name).write_bytes(content)


if __name__ == "__main__":
    make()
