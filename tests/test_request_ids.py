"""Ids that come again."""

import types

from corkdeal.net.request_ids import RETENTION_TIME, RequestIds


def make_ids(max_kept=10):
    clock = types.SimpleNamespace(time=100.0)
    return RequestIds(lambda: clock.time, max_kept), clock


def test_an_open_id_can_not_be_claimed_and_one_that_may_run_again_can():
    ids, _ = make_ids()
    assert ids.claim(1) and not ids.claim(1)
    ids.release(1)
    assert ids.claim(1)


def test_the_id_of_a_request_that_may_not_run_again_is_kept_for_a_while():
    ids, clock = make_ids()
    ids.claim(1)
    ids.release(1, may_not_run_again=True)
    clock.time += RETENTION_TIME - 0.1
    assert not ids.claim(1)
    clock.time += 0.2
    assert ids.claim(1) and not ids.kept_until


def test_an_id_is_kept_once_and_only_so_many_are():
    ids, _ = make_ids(max_kept=3)
    for request_id in range(5):
        ids.claim(request_id)
        ids.release(request_id, may_not_run_again=True)
        ids.release(request_id, may_not_run_again=True)
    assert list(ids.kept_until) == [2, 3, 4]
