"""The stored form must not change by a byte, so that earlier and later versions read each other's files.

`data/format-3-full.know` is generation 2 in a folder that the store of revision 42616ba (version 0.2.0) wrote
from the records below.
"""

import shutil

from corkdeal.decisions.persisted_state import (
    StoredAccount,
    StoredBackend,
    StoredFleet,
    StoredLatency,
    StoredLedger,
    StoredRejection,
    StoredTreeEdge,
)
from corkdeal.persistence import merge
from corkdeal.persistence.clock import ClockReading
from corkdeal.persistence.codec import (
    SnapshotHead,
    encode_page,
    encode_page_entry,
    encode_record,
    encode_snapshot,
)
from corkdeal.persistence.store import SnapshotStore, snapshot_name

from . import samples

FULL_FILE = samples.DATA / "format-3-full.know"
BACKENDS = (
    StoredBackend(
        "s-1", 1000.0, 4990.0, 4.0, 3, True, 2.0, (StoredRejection("note", 2.0, 1.5),), "10.1.0.1:6379"
    ),
    StoredBackend("s-2", 0.0, 4991.25, 1.0, 0, False, 0.0),
)
LATENCIES = (StoredLatency("look", 1, 0.3, 5000.0), StoredLatency("note", 2, 0.7, 4999.5))
FLEET = StoredFleet(0.6, 1.5, 4.0, LATENCIES, 1, 3, 77, 12, ((0, 55), (2, 99)), 0.7)
LEDGERS = (
    StoredLedger(1, 1500, 0.5, 9, 0.45, 1.0, 4994.0, True, 55),
    StoredLedger(2, -10, 0.0, 0, None, 0.0, 0.0, False),
)
TREE_EDGES = (StoredTreeEdge(0, 1.5, 2.5, (3.0, 4.0), 0.5, 55), StoredTreeEdge(2, 0.0, 0.0, None, 0.0))
ACCOUNTS = {
    7: StoredAccount("small", 0, 2, 4995.0, 4995.0, 1.5, 0.0, 0.5, 1, 0.0, 0.0, LEDGERS),
    2**33 - 1: StoredAccount("large", 1, 40, 4996.0, 4997.0, -1.5, 2.5, 0.25, 0, 12.5, 3.5, (), TREE_EDGES),
}
HEAD = SnapshotHead(
    "n0", "0.2.0", ClockReading(1_790_000_000.0, 5000.0, "boot-a"), 1.25, True, FLEET, BACKENDS
)


def full_parts(generation):
    """Return the parts of the file, with each account in a page of its own."""
    pages = [
        encode_page([encode_page_entry(customer, encode_record(a))], 1) for customer, a in ACCOUNTS.items()
    ]
    return encode_snapshot(generation, HEAD, pages)


def test_each_kind_of_record_is_encoded_to_the_bytes_that_version_0_2_0_wrote():
    assert b"".join(full_parts(2)) == FULL_FILE.read_bytes()


def test_a_folder_that_version_0_2_0_wrote_is_loaded_and_gone_on_with(tmp_path):
    shutil.copy(FULL_FILE, tmp_path / snapshot_name(2))
    store = SnapshotStore(str(tmp_path))
    store.open()
    loaded = store.load()
    assert (loaded.file, loaded.format, loaded.rejected) == ("0000000000000002.know", 3, [])
    assert loaded.snapshot.head == HEAD
    assert merge.accounts_of(loaded.snapshot) == ACCOUNTS
    assert store.write(full_parts) == 3
    assert (tmp_path / "0000000000000003.know").read_bytes() == b"".join(full_parts(3))
    store.close()
