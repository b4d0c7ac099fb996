"""The tables by which the processes of an upgrade see each other's open ids."""

import os
import types

import pytest

from corkdeal.net import invariants, open_ids
from corkdeal.net.open_ids import BUCKET_SLOTS, OpenIds
from corkdeal.net.request_ids import RETENTION_TIME, RequestIds

CAPACITY = 1000
FLOOD = 100_000  # ids, more than a table could hold


@pytest.fixture
def tables(tmp_path):
    """The tables of three processes that look at one another's."""
    invariants.counts.clear()
    tables = [OpenIds(str(tmp_path), number, CAPACITY) for number in (6, 7, 8)]
    for table in tables:
        table.follow((6, 7, 8))
    yield tables
    for table in tables:
        table.close()


def test_an_id_is_open_at_one_process_only_and_free_once_that_has_removed_it(tables):
    first, second, third = tables
    assert first.claim(1) and not second.claim(1) and not third.claim(1)
    first.remove(1)
    assert third.claim(1) and not first.claim(1)


# The log of ids had a limit, beyond which the other process was told of none.
def test_a_flood_of_ids_does_not_hide_those_that_are_open(tables):
    first, second, _ = tables
    first.add(1)
    for request_id in range(2, FLOOD):
        first.add(request_id)
        first.remove(request_id)
    first.add(FLOOD)
    assert not second.claim(1) and not second.claim(FLOOD)


def test_a_full_table_holds_all_ids_and_is_free_afterwards(tables):
    first, second, _ = tables
    for request_id in range(CAPACITY):
        first.add(request_id)
    assert sum(not second.claim(request_id) for request_id in range(CAPACITY)) >= CAPACITY * 0.99
    for request_id in range(CAPACITY):
        first.remove(request_id)
    assert all(second.claim(request_id) for request_id in range(CAPACITY)) and not any(first.own.used)


def test_an_id_whose_bucket_is_full_is_counted_and_served(tables, monkeypatch):
    first, second, _ = tables
    monkeypatch.setattr(first.own.key, "bucket_count", 1)
    assert all(first.claim(request_id) for request_id in range(BUCKET_SLOTS + 1))
    assert invariants.counts["open_ids_full"] == 1
    first.remove(BUCKET_SLOTS)
    first.remove(0)
    first.add(99)
    assert invariants.counts["open_ids_full"] == 1


@pytest.mark.parametrize("failing", ["pwrite", "pread"])
def test_a_disk_that_fails_costs_the_comparison_and_no_request(tables, monkeypatch, failing):
    first, second, _ = tables
    first.add(1)
    assert not second.claim(1)

    def fail(*arguments):
        raise OSError(5, "input/output error")

    monkeypatch.setattr(open_ids.os, failing, fail)
    assert second.claim(2)
    second.remove(2)
    assert invariants.counts["shared_ids_failed"]


def test_a_table_that_is_made_later_or_in_part_is_read_once_it_is_there(tmp_path):
    first = OpenIds(str(tmp_path), 6, CAPACITY)
    first.follow([7])
    assert first.claim(1)
    with open(tmp_path / open_ids.file_name(7), "wb"):
        assert first.claim(2)
    second = OpenIds(str(tmp_path), 7, CAPACITY)
    second.add(3)
    assert not first.claim(3)
    first.close()
    second.close()


def test_ids_of_all_classes_are_told_until_they_are_free_or_no_longer_kept(tables):
    clock = types.SimpleNamespace(time=100.0)
    ids = [RequestIds(lambda: clock.time, 10) for _ in tables]
    assert ids[0].claim(1) and ids[0].claim(2, may_run_again=False)
    for each, table in zip(ids, tables, strict=True):
        each.share_open(table)
    assert ids[0].claim(3) and not any(ids[1].claim(request_id) for request_id in (1, 2, 3))
    assert invariants.counts["request_id_at_other_process"] == 3
    for request_id in (1, 2, 3):
        ids[0].release(request_id, may_not_run_again=request_id == 2)
    assert ids[1].claim(1) and ids[2].claim(3) and not ids[1].claim(2)
    clock.time += RETENTION_TIME
    assert ids[0].claim(4) and ids[1].claim(2)


def test_the_file_is_as_large_as_the_ids_that_may_be_open(tables):
    for request_id in range(CAPACITY):
        tables[0].add(request_id)
    path = os.path.join(tables[0].folder, open_ids.file_name(6))
    assert os.path.getsize(path) <= CAPACITY * 32
