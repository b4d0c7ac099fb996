"""Unit tests of `errors`: the common base class, and the built-in classes by which callers catch errors."""

import inspect

import pytest

from corkdeal.errors import CorkdealError
from corkdeal.persistence import errors
from corkdeal.persistence.codec import decode_account, encode_snapshot
from corkdeal.persistence.store import MAX_GENERATION, SnapshotStore, snapshot_name

from . import samples

ALL = [
    error for _, error in inspect.getmembers(errors, inspect.isclass) if error.__module__ == errors.__name__
]


@pytest.mark.parametrize("error", ALL)
def test_each_error_has_the_common_base_and_tells_its_reason(error):
    assert issubclass(error, CorkdealError) and error.__name__.endswith("Error")
    assert str(error("byte 7: a reason")) == "byte 7: a reason"


def test_errors_of_content_are_value_errors_and_those_of_the_file_system_os_errors():
    assert {e.__name__ for e in ALL if issubclass(e, ValueError)} == {
        "DamagedSnapshotError",
        "MalformedRecordError",
        "MigrationError",
        "SnapshotTooLargeError",
        "UnsupportedFormatError",
    }
    assert {e.__name__ for e in ALL if issubclass(e, OSError)} == {
        "FolderLockedError",
        "GenerationsExhaustedError",
        "UnsafeFileError",
    }


def test_an_account_that_cannot_be_decoded_is_malformed():
    with pytest.raises(errors.MalformedRecordError):
        decode_account(b"\x01")


def test_a_snapshot_over_the_readers_bound_is_not_encoded(monkeypatch):
    monkeypatch.setattr("corkdeal.persistence.codec.MAX_UNPACKED_SIZE", 100)
    with pytest.raises(errors.SnapshotTooLargeError, match="bytes unpacked exceed the limit of 100"):
        encode_snapshot(1, samples.HEAD, [])


def test_after_the_highest_generation_none_is_written(tmp_path):
    (tmp_path / snapshot_name(MAX_GENERATION)).write_bytes(b"")
    store = SnapshotStore(str(tmp_path))
    with pytest.raises(errors.GenerationsExhaustedError):
        store.write(samples.parts)
    store.close()
