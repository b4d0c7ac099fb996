"""Unit tests of backend records: endpoint updates, preferred subsets, load and decay."""

import math
from collections import Counter

import pytest

from corkdeal.decisions.backends import (
    LOAD_REPORT_LIFETIME,
    RECORD_DECAY_TIME,
    RECORD_LIFETIME,
    SUBSET_SIZE,
    BackendRecord,
    Backends,
)
from corkdeal.decisions.events import Endpoint, EndpointState, UpdateKind
from tests.helpers import servers


def listed(*updates, gateway_index=0, is_large_tier=False):
    backends = Backends(gateway_index, is_large_tier)
    for update in updates:
        backends.apply(update, BackendRecord)
    return backends


def test_a_complete_list_drops_what_it_does_not_name_and_a_delta_does_not():
    assert list(listed(servers("a", "b"), servers("b", "c")).records) == ["b", "c"]
    assert list(listed(servers("a"), servers("b", kind=UpdateKind.DELTA)).records) == ["a", "b"]
    assert list(listed(servers("a"), servers("b", kind=UpdateKind.CACHED)).records) == ["b"]


@pytest.mark.parametrize("state", [EndpointState.GONE, EndpointState.DRAINING])
def test_only_ready_backends_have_a_record(state):
    leaving = servers("a", kind=UpdateKind.DELTA, state=state)
    assert list(listed(servers("a", "b"), leaving, leaving).records) == ["b"]


def test_a_backend_keeps_its_record_until_it_starts_again():
    backends = listed(servers("a", started=5.0))
    record = backends.records["a"]
    backends.apply(servers("a", started=5.0, zones=[3]), BackendRecord)
    assert backends.records["a"] is record and record.endpoint.zone == 3
    backends.apply(servers("a", started=6.0), BackendRecord)
    assert backends.records["a"] is not record and backends.preferred == [backends.records["a"]]


def test_a_gateway_of_a_small_tier_prefers_all_backends():
    backends = listed(servers(*map(str, range(40))))
    assert backends.preferred == list(backends.records.values()) and not backends.has_non_preferred()


def test_gateways_of_a_large_tier_prefer_each_backend_equally_often():
    preferred = Counter()
    for gateway_index in range(8):
        backends = listed(servers(*map(str, range(40))), gateway_index=gateway_index, is_large_tier=True)
        assert len(backends.preferred) == SUBSET_SIZE and backends.has_non_preferred()
        preferred.update(record.endpoint.backend for record in backends.preferred)
    assert set(preferred.values()) == {8 * SUBSET_SIZE // 40} and len(preferred) == 40


def test_a_load_report_counts_beside_own_requests_and_less_the_older_it_is():
    record = BackendRecord(Endpoint("a", EndpointState.READY))
    record.in_flight[1] = (100.0, 0.0)
    assert record.load(100.0) == 1.0
    record.peer_load, record.peer_load_at = 6.0, 100.0
    assert record.load(100.0) == 7.0
    assert record.load(100.0 + LOAD_REPORT_LIFETIME / 2) == 4.0
    assert record.load(100.0 + 2 * LOAD_REPORT_LIFETIME) == 1.0


def test_a_record_decays_without_attempts():
    record = BackendRecord(Endpoint("a", EndpointState.READY))
    assert record.freshness(100.0) == 0.0
    record.last_attempt_at = 100.0
    assert record.freshness(100.0) == 1.0
    assert record.freshness(100.0 + RECORD_LIFETIME) == 1.0
    assert record.freshness(100.0 + RECORD_LIFETIME + RECORD_DECAY_TIME) == pytest.approx(1 / math.e)


def test_an_attempt_counts_as_load_until_its_answer_begins():
    record = BackendRecord(Endpoint("a", EndpointState.READY))
    record.start_attempt(1, 100.0)
    record.start_attempt(2, 100.1)
    assert record.load(100.1) == 2.0 and record.last_attempt_at == 100.1
    record.start_streaming(2)
    record.start_streaming(3)  # not in flight here
    assert record.load(100.2) == 1.0 and list(record.streaming) == [2]
    assert record.end_attempt(2, 100.3) == 1.0 and record.end_attempt(1, 100.3) == 0.0
    assert record.end_attempt(1, 100.3) == 0.0 and record.load(100.3) == 0.0 and not record.streaming


def test_own_requests_are_subtracted_from_a_load_report():
    record = BackendRecord(Endpoint("a", EndpointState.READY))
    record.start_attempt(1, 100.0)
    record.set_reported_load(5.0, 100.0)
    assert record.peer_load == 4.0 and record.load(100.0) == 5.0
    record.set_reported_load(0.0, 100.0)
    assert record.peer_load == 0.0


def test_a_record_in_steady_use_does_not_decay():
    """Else a slow backend would be expected to answer faster than it ever did."""
    record = BackendRecord(Endpoint("a", EndpointState.READY), latency_ratio=3.0, last_attempt_at=100.0)
    for number in range(100):
        record.start_attempt(number, 100.0 + number * RECORD_LIFETIME / 2)
    assert record.latency_ratio == 3.0


def test_an_attempt_makes_the_decay_of_a_record_permanent():
    record = BackendRecord(Endpoint("a", EndpointState.READY), latency_ratio=9.0, last_attempt_at=100.0)
    record.start_attempt(1, 100.0 + 20 * RECORD_DECAY_TIME)
    assert record.latency_ratio == pytest.approx(1.0) and record.freshness(record.last_attempt_at) == 1.0
