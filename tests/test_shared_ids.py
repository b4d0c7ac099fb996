"""The files by which the two processes of an upgrade tell each other the ids of their requests."""

import os

import pytest

from corkdeal.net import invariants, shared_ids
from corkdeal.net.request_ids import RequestIds
from corkdeal.net.shared_ids import SharedIds


@pytest.fixture
def pair(tmp_path):
    invariants.counts.clear()
    pair = SharedIds(str(tmp_path), 6, 7), SharedIds(str(tmp_path), 7, 6)
    yield pair
    for each in pair:
        each.close()


def test_an_id_is_open_at_one_process_only(pair):
    predecessor, successor = pair
    predecessor.tell([1, 2])
    assert not successor.claim(2)
    assert successor.claim(3)
    assert not predecessor.claim(3)
    assert predecessor.claim(4)


def test_a_part_of_an_id_is_read_again_when_it_is_whole(pair):
    predecessor, successor = pair
    data = (5).to_bytes(shared_ids.ID_SIZE, "big")
    os.write(predecessor.file, data[:3])
    assert successor.claim(6)
    os.write(predecessor.file, data[3:])
    assert not successor.claim(5)


def test_files_have_a_limit(pair, monkeypatch):
    monkeypatch.setattr(shared_ids, "MAX_IDS", 3)
    predecessor, _ = pair
    for request_id in range(5):
        assert predecessor.claim(request_id)
    assert os.path.getsize(predecessor.path) == 3 * shared_ids.ID_SIZE


def test_a_disk_that_fails_costs_the_exchange_and_no_request(pair, monkeypatch):
    predecessor, _ = pair

    def fail(file, data):
        raise OSError(28, "no space left")

    monkeypatch.setattr(shared_ids.os, "write", fail)
    assert predecessor.claim(1)
    assert invariants.counts["shared_ids_failed"] == 1


def test_open_and_kept_ids_are_told_and_only_those_that_may_not_run_again_are_compared(pair):
    predecessor, successor = (RequestIds(lambda: 100.0, 10) for _ in pair)
    predecessor.claim(1)
    predecessor.claim(2)
    predecessor.release(2, may_not_run_again=True)
    for ids, shared in zip((predecessor, successor), pair, strict=True):
        ids.share(shared)
    assert not successor.claim(1, may_run_again=False) and not successor.claim(2, may_run_again=False)
    assert successor.claim(1, may_run_again=True)
    pair[1].close = lambda: None
    successor.end_sharing()
    assert successor.claim(2, may_run_again=False)
    del pair[1].close
