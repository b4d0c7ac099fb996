"""Unit tests of `merge`: merging and backdating of snapshots."""

import msgspec
import pytest
from hypothesis import given

from corkdeal.decisions.persisted_state import StoredLatency
from corkdeal.persistence import merge
from corkdeal.persistence.clock import ClockReading

from . import samples
from .strategies import SNAPSHOTS

OTHER_MACHINE_CLOCK = ClockReading(
    1_790_000_100.0, 9000.0, "boot-b"
)  # wall clock 100 s later, boot clock 4000 s ahead


def test_times_of_another_machine_are_translated_by_its_wall_clock():
    head = msgspec.structs.replace(samples.HEAD, clock=OTHER_MACHINE_CLOCK)
    assert merge.clock_offset(head, samples.HEAD) == pytest.approx(100.0 - 4000.0)
    assert merge.clock_offset(samples.HEAD, samples.HEAD) == 0.0


def test_newer_records_of_another_machine_count_without_its_address_and_ledgers():
    server = samples.BACKEND._replace(recorded_at=9000.0, latency_ratio=9.0, address="10.9.9.9:1")
    account = samples.ACCOUNT._replace(refilled_at=8990.0, last_request_at=8990.0, level=0.25)
    fleet = samples.FLEET._replace(usual_latencies=(StoredLatency("look", 1, 0.9, 9000.0),), pace=0.1)
    head = msgspec.structs.replace(
        samples.HEAD,
        clock=OTHER_MACHINE_CLOCK,
        servers=(server,),
        fleet=fleet,
        write_interval=3.0,
        is_clean=True,
    )
    other = samples.snapshot_of(head, {7: account, 9: account})
    merged = merge.merge(samples.snapshot_of(), [other])
    (found,) = merged.head.servers
    assert (found.latency_ratio, found.recorded_at, found.address) == (9.0, 5100.0, samples.BACKEND.address)
    assert merged.head.fleet == samples.FLEET._replace(
        usual_latencies=(StoredLatency("look", 1, 0.9, 5100.0),)
    )
    assert (merged.head.write_interval, merged.head.is_clean) == (3.0, False)
    accounts = merge.accounts_of(merged)
    assert list(accounts) == [7, 9]
    for taken in accounts.values():
        assert (taken.level, taken.refilled_at, taken.ledgers, taken.in_flight) == (0.25, 5090.0, (), 0)


def test_a_backdated_snapshot_differs_by_its_times_only_and_keeps_its_order():
    snapshot = samples.snapshot_of(accounts={9: samples.ACCOUNT, 7: samples.ACCOUNT})
    earlier = merge.backdated(snapshot, 60.0)
    assert earlier.head.clock == ClockReading(samples.CLOCK.wall - 60.0, samples.CLOCK.boot - 60.0, "boot-a")
    assert earlier.head.servers == (samples.BACKEND._replace(recorded_at=samples.BACKEND.recorded_at - 60.0),)
    assert list(earlier.encoded_accounts()) == [9, 7]
    assert merge.backdated(earlier, -60.0) == snapshot


@given(SNAPSHOTS, SNAPSHOTS, SNAPSHOTS)
def test_merging_twice_or_in_another_order_makes_no_difference(target, one, other):
    once = samples.with_decoded_accounts(merge.merge(target, [one, other]))
    assert (
        once
        == samples.with_decoded_accounts(merge.merge(target, [other, one]))
        == samples.with_decoded_accounts(merge.merge(merge.merge(target, [one]), [other]))
    )
    assert once == samples.with_decoded_accounts(merge.merge(merge.merge(target, [one, other]), [other, one]))
    for key, account in once[1].items():  # ledgers come from the target only
        assert not account.ledgers or account == merge.accounts_of(target)[key]
