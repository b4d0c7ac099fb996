"""Unit tests of the transfer of state from one process to the next."""

from types import SimpleNamespace

import pytest

from corkdeal.decisions.backends import BackendRecord
from corkdeal.decisions.events import Endpoint, EndpointState
from corkdeal.decisions.incarnations import Incarnations
from corkdeal.decisions.latency_model import LatencyModel
from corkdeal.decisions.persisted_state import StoredBackend, StoredFleet, StoredLatency
from corkdeal.decisions.retries import MAX_RETRY_BUDGET, Retries
from corkdeal.decisions.settings import RequestClass
from corkdeal.decisions.state_transfer import StateTransfer
from tests.helpers import PLAN, settings

CLASSES = (RequestClass(latency_objective=1.0, deadline=3.0, name="look"),)
FLEET = StoredFleet(
    pace=0.3,
    latency_ratio=1.5,
    retry_budget=4.0,
    usual_latencies=(StoredLatency("look", 2, 0.25),),
    gateway_index=0,
    gateway_count=3,
    incarnation=77,
    message_round=9,
    peer_incarnations=((1, 55),),
)


class FakeState:
    """Persisted state of an earlier process, with one backend."""

    def __init__(self, fleet=FLEET, may_resume=True, is_exact=True):
        self.stored_fleet = fleet
        self.is_resumable = may_resume
        self.is_exact = is_exact

    def fleet(self, now, default_latencies):
        return self.stored_fleet

    def may_resume(self):
        return self.is_resumable

    def backend(self, endpoint, now):
        if endpoint.backend != "a":
            return None
        return StoredBackend("a", 0.0, now, 3.0, 2, True, 1.0)


def make():
    config = settings(0, 3, classes=CLASSES, plans=(PLAN,))
    peers = SimpleNamespace(incarnations=Incarnations(), message_round=0)
    return StateTransfer(config, LatencyModel(CLASSES, False), Retries(config), peers)


def test_what_was_restored_is_exported_again():
    transfer = make()
    transfer.restore_fleet(FakeState(), 100.0, None)
    assert transfer.export_fleet(1.0) == FLEET


@pytest.mark.parametrize(
    ("may_resume", "is_exact", "asks_neighbours", "has_resumed"),
    [
        (True, True, True, True),
        (True, False, False, True),
        (True, False, True, False),  # a snapshot may be outdated, and the neighbours have the totals
        (False, True, False, False),
    ],
)
def test_an_incarnation_is_resumed_or_a_later_one_begins(may_resume, is_exact, asks_neighbours, has_resumed):
    transfer = make()
    quota_restore = object() if asks_neighbours else None
    transfer.restore_fleet(FakeState(may_resume=may_resume, is_exact=is_exact), 100.0, quota_restore)
    assert transfer.has_resumed(quota_restore) is has_resumed
    assert transfer.peers.incarnations.own == (77 if has_resumed else 78)
    assert transfer.peers.message_round == (9 if has_resumed else 0)
    assert transfer.peers.incarnations.peers == ({1: 55} if has_resumed else {})


@pytest.mark.parametrize("pace", [-7.0, 7.0])
def test_values_out_of_range_are_clamped(pace):
    transfer = make()
    transfer.restore_fleet(
        FakeState(FLEET._replace(pace=pace, latency_ratio=-1.0, retry_budget=1e9)), 100.0, None
    )
    model = transfer.latency_model
    factor = 0.0 if pace < 0 else float(transfer.settings.gateway_count)
    assert factor < 7.0
    assert (model.queueing_factor, model.fleet_latency_ratio) == (factor, 0.0)
    assert transfer.retries.budget == MAX_RETRY_BUDGET


def test_a_backend_gets_its_record_and_an_unknown_one_none():
    transfer = make()
    transfer.restore_fleet(FakeState(), 100.0, None)
    known, unknown = (BackendRecord(Endpoint(name, EndpointState.READY)) for name in ("a", "b"))
    for record in (known, unknown):
        transfer.restore_backend(record, 100.0)
    assert (known.latency_ratio, known.failures, known.is_ejected) == (3.0, 2, True)
    assert (unknown.latency_ratio, unknown.failures, unknown.is_ejected) == (1.0, 0, False)


def test_without_an_earlier_process_nothing_is_restored():
    transfer = make()
    record = BackendRecord(Endpoint("a", EndpointState.READY))
    transfer.restore_backend(record, 100.0)
    assert record.latency_ratio == 1.0 and not transfer.has_resumed(None)
