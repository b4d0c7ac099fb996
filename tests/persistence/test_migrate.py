"""Unit tests of `migrate`: each step from one format to the next, and malformed documents."""

import msgspec
import pytest

from corkdeal.persistence import migrate
from corkdeal.persistence.errors import MigrationError

from . import samples


def test_format_1_becomes_format_2_with_times_relative_to_the_writing():
    migrated = migrate.format_1_to_2(samples.FORMAT_1_DOCUMENT)
    assert migrated["clock"] == {"wall": samples.FORMAT_1_DOCUMENT["wall"], "boot": 0.0, "boot_id": ""}
    assert migrated["servers"][0]["at"] == -10.0 and migrated["servers"][0]["shut"] == []
    assert migrated["fleet"]["work"] == [["look", 1, 0.25, 0.0]]
    account = migrated["accounts"][7]
    assert (account["at"], account["level"], account["open"], account["pairs"]) == (-5.0, 0.5, 0, [])


def test_format_2_becomes_arrays_without_ledgers():
    migrated = migrate.format_2_to_3(samples.FORMAT_2_DOCUMENT)
    assert migrated["head"]["clock"] == [1_790_000_000.0, 5000.0, "boot-a"]
    assert (migrated["head"]["every"], migrated["head"]["clean"]) == (2.0, False)
    assert migrated["head"]["fleet"] == [
        0.7,
        1.2,
        migrate.UNKNOWN_RETRY_BUDGET,
        [["look", 1, 0.25, 5000.0]],
        0,
        0,
        0,
        0,
        [],
    ]
    assert migrated["head"]["servers"] == [
        ["s-1", 1000.0, 4990.0, 5.0, 2, True, 1.0, [["note", 2.0, 0.5]], ""]
    ]
    assert migrated["accounts"] == [
        {7: ["small", 0, 2, 4995.0, 4995.0, 0.5, 0.0, 0.25, 1, 0.0, 0.0, [], []]},
    ]


def test_a_body_of_format_1_goes_through_both_steps():
    migrated = migrate.migrate_to_current(1, msgspec.json.encode(samples.FORMAT_1_DOCUMENT))
    assert migrated == migrate.format_2_to_3(migrate.format_1_to_2(samples.FORMAT_1_DOCUMENT))


@pytest.mark.parametrize(
    ("format_number", "body", "reason"),
    [
        (0, b"{}", "unknown format 0"),
        (3, b"", "unknown format 3"),
        (1, b"no json", "malformed document of format 1: DecodeError: "),
        (1, b"[]", "malformed document of format 1: TypeError: "),
        (2, msgspec.msgpack.encode({}), "malformed document of format 2: KeyError: 'clock'"),
    ],
)
def test_a_body_that_is_not_of_its_format_is_an_error_that_names_the_step(format_number, body, reason):
    with pytest.raises(MigrationError, match=f"^{reason}"):
        migrate.migrate_to_current(format_number, body)
