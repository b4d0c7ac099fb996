"""Merges the snapshots of lost machines into another's, record by record, by age; pure.

Of each server, class and size, and account the newest record counts; where two are of one moment, the one
whose bytes sort later, so that the order of merging makes no difference. Times of another machine are
translated by its wall clock. What belongs to a place in the tier stays the target's: its name, pace,
incarnation and ledgers, and the addresses under which it reaches servers. An account taken from another
machine comes without ledgers.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import TypeVar

import msgspec

from ..decisions.persisted_state import StoredAccount, StoredBackend, StoredFleet, StoredLatency
from .codec import Snapshot, SnapshotHead, decode_account, encode_record
from .errors import MalformedRecordError

Key = TypeVar("Key", bound=Hashable)
Record = TypeVar("Record", StoredBackend, StoredLatency, StoredAccount)


def clock_offset(head: SnapshotHead, target: SnapshotHead) -> float:
    """Return the seconds to add to a time of one snapshot to make it one of the target's boot clock."""
    if head.clock.boot_id and head.clock.boot_id == target.clock.boot_id:
        return 0.0
    return (head.clock.wall - head.clock.boot) - (target.clock.wall - target.clock.boot)


def newest_records(records: Iterable[tuple[Key, Record]]) -> dict[Key, Record]:
    """Return the record that counts for each key."""
    newest: dict[Key, Record] = {}
    for key, record in records:
        if key not in newest or precedence(record) > precedence(newest[key]):
            newest[key] = record
    return newest


def precedence(record: Record) -> tuple[float, float, bytes]:
    """Order by start and time; then by bytes, which is arbitrary but always the same."""
    started = record.started if isinstance(record, StoredBackend) else 0.0
    made_at = record.refilled_at if isinstance(record, StoredAccount) else record.recorded_at
    return started, made_at, encode_record(record)


def server_from_other_machine(record: StoredBackend, offset: float) -> StoredBackend:
    """Return a server's record of another machine in the target's time, without its address there."""
    return record._replace(recorded_at=record.recorded_at + offset, address="")


def account_from_other_machine(record: StoredAccount, offset: float) -> StoredAccount:
    """Return an account of another machine in the target's time, without ledgers and open attempts."""
    return record._replace(
        refilled_at=record.refilled_at + offset,
        last_request_at=record.last_request_at + offset,
        in_flight=0,
        total_asked=0.0,
        total_spent=0.0,
        ledgers=(),
        tree_edges=(),
    )


def accounts_of(snapshot: Snapshot) -> dict[int, StoredAccount]:
    """Return all accounts that can be decoded, by customer."""
    accounts: dict[int, StoredAccount] = {}
    for customer, encoded in snapshot.encoded_accounts().items():
        try:
            accounts[customer] = decode_account(encoded)
        except MalformedRecordError:
            continue
    return accounts


def merge(target: Snapshot, others: Iterable[Snapshot]) -> Snapshot:
    """Return the target with the records of the others that are newer than its own."""
    sources = list(others)
    heads = [target.head, *(other.head for other in sources)]
    merged = msgspec.structs.replace(
        target.head,
        fleet=_merged_fleet(heads),
        servers=_merged_servers(heads),
        is_clean=all(head.is_clean for head in heads),
        write_interval=max(head.write_interval for head in heads),
    )
    accounts = dict(sorted(_merged_accounts(target, sources).items()))
    return Snapshot(merged, [_encoded(accounts)])


def _merged_servers(heads: list[SnapshotHead]) -> tuple[StoredBackend, ...]:
    """Return the newest record of each server; the first head is the target's."""
    target = heads[0]
    records = [(record.backend, record) for record in target.servers]
    for head in heads[1:]:
        offset = clock_offset(head, target)
        records += [(record.backend, server_from_other_machine(record, offset)) for record in head.servers]
    merged = newest_records(records)
    for record in target.servers:
        is_same_process = merged[record.backend].started == record.started
        if record.address and is_same_process:
            merged[record.backend] = merged[record.backend]._replace(address=record.address)
    return tuple(sorted(merged.values()))


def _merged_fleet(heads: list[SnapshotHead]) -> StoredFleet:
    """Return the target's fleet with the newest usual latencies; the first head is the target's."""
    target = heads[0]
    records = [((record.request_class, record.size), record) for record in target.fleet.usual_latencies]
    for head in heads[1:]:
        offset = clock_offset(head, target)
        for record in head.fleet.usual_latencies:
            records.append(
                (
                    (record.request_class, record.size),
                    record._replace(recorded_at=record.recorded_at + offset),
                )
            )
    return target.fleet._replace(usual_latencies=tuple(sorted(newest_records(records).values())))


def _merged_accounts(target: Snapshot, others: list[Snapshot]) -> dict[int, StoredAccount]:
    """Return the newest record of each account."""
    records = list(accounts_of(target).items())
    for other in others:
        offset = clock_offset(other.head, target.head)
        for customer, record in accounts_of(other).items():
            records.append((customer, account_from_other_machine(record, offset)))
    return newest_records(records)


def _encoded(accounts: dict[int, StoredAccount]) -> dict[int, msgspec.Raw]:
    """Return one page of records, by customer, in the order given."""
    return {customer: msgspec.Raw(encode_record(record)) for customer, record in accounts.items()}


def backdated(snapshot: Snapshot, seconds: float) -> Snapshot:
    """Return the same snapshot as if it had been written that much earlier, to try out what age does."""
    head = snapshot.head
    clock = head.clock._replace(wall=head.clock.wall - seconds, boot=head.clock.boot - seconds)
    work = tuple(
        record._replace(recorded_at=record.recorded_at - seconds) for record in head.fleet.usual_latencies
    )
    servers = tuple(record._replace(recorded_at=record.recorded_at - seconds) for record in head.servers)
    accounts = {
        customer: record._replace(
            refilled_at=record.refilled_at - seconds, last_request_at=record.last_request_at - seconds
        )
        for customer, record in accounts_of(snapshot).items()
    }
    earlier = msgspec.structs.replace(
        head, clock=clock, fleet=head.fleet._replace(usual_latencies=work), servers=servers
    )
    return Snapshot(earlier, [_encoded(accounts)])
