"""Merges the snapshots of machines that were lost into the one of another machine. Without I/O.

For each backend, each request class and size, and each account the newest record is taken. If two have the
same time, the one whose encoding sorts later is taken, so that the result does not depend on the order of the
snapshots. Times of another machine are converted by means of its wall clock. What belongs to the position of
the target's gateway in its tier is kept: its name, pace, incarnation and ledgers, and the addresses at which
it reaches backends. An account that is taken from another machine has no ledgers.
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
    """Return the seconds to add to a snapshot's times to convert them to the target's boot clock."""
    if head.clock.boot_id and head.clock.boot_id == target.clock.boot_id:
        return 0.0
    return (head.clock.wall - head.clock.boot) - (target.clock.wall - target.clock.boot)


def newest_records(records: Iterable[tuple[Key, Record]]) -> dict[Key, Record]:
    """Return for each key the record of the highest precedence."""
    newest: dict[Key, Record] = {}
    for key, record in records:
        if key not in newest or precedence(record) > precedence(newest[key]):
            newest[key] = record
    return newest


def precedence(record: Record) -> tuple[float, float, bytes]:
    """Return the sort key of a record: start, time, then encoding, as an arbitrary but stable tie-breaker."""
    started = record.started if isinstance(record, StoredBackend) else 0.0
    recorded_at = record.refilled_at if isinstance(record, StoredAccount) else record.recorded_at
    return started, recorded_at, encode_record(record)


def backend_from_other_machine(record: StoredBackend, offset: float) -> StoredBackend:
    """Return another machine's record of a backend in the target's time, without its address."""
    return record._replace(recorded_at=record.recorded_at + offset, address="")


def account_from_other_machine(record: StoredAccount, offset: float) -> StoredAccount:
    """Return another machine's account in the target's time, without ledgers and attempts in flight."""
    return record._replace(
        refilled_at=record.refilled_at + offset,
        last_request_at=record.last_request_at + offset,
        in_flight=0,
        total_requested=0.0,
        total_spent=0.0,
        ledgers=(),
        tree_edges=(),
    )


def accounts_of(snapshot: Snapshot) -> dict[int, StoredAccount]:
    """Return all accounts by customer; malformed ones are left out."""
    accounts: dict[int, StoredAccount] = {}
    for customer, encoded in snapshot.encoded_accounts().items():
        try:
            accounts[customer] = decode_account(encoded)
        except MalformedRecordError:
            continue
    return accounts


def merge(target: Snapshot, others: Iterable[Snapshot]) -> Snapshot:
    """Return the target's snapshot with all records of the others that are newer than its own."""
    sources = list(others)
    heads = [target.head, *(other.head for other in sources)]
    merged = msgspec.structs.replace(
        target.head,
        fleet=_merged_fleet(heads),
        servers=_merged_backends(heads),
        is_clean=all(head.is_clean for head in heads),
        write_interval=max(head.write_interval for head in heads),
    )
    accounts = dict(sorted(_merged_accounts(target, sources).items()))
    return Snapshot(merged, [_encoded_page(accounts)])


def _merged_backends(heads: list[SnapshotHead]) -> tuple[StoredBackend, ...]:
    """Return the newest record of each backend; the first head is the target's."""
    target = heads[0]
    records = [(record.backend, record) for record in target.servers]
    for head in heads[1:]:
        offset = clock_offset(head, target)
        records += [(record.backend, backend_from_other_machine(record, offset)) for record in head.servers]
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


def _encoded_page(accounts: dict[int, StoredAccount]) -> dict[int, msgspec.Raw]:
    """Return the accounts as one page, in the same order."""
    return {customer: msgspec.Raw(encode_record(record)) for customer, record in accounts.items()}


def backdated(snapshot: Snapshot, seconds: float) -> Snapshot:
    """Return the snapshot as if it had been written `seconds` earlier, to show the effect of age."""
    head = snapshot.head
    clock = head.clock._replace(wall=head.clock.wall - seconds, boot=head.clock.boot - seconds)
    latencies = tuple(
        record._replace(recorded_at=record.recorded_at - seconds) for record in head.fleet.usual_latencies
    )
    servers = tuple(record._replace(recorded_at=record.recorded_at - seconds) for record in head.servers)
    accounts = {
        customer: record._replace(
            refilled_at=record.refilled_at - seconds, last_request_at=record.last_request_at - seconds
        )
        for customer, record in accounts_of(snapshot).items()
    }
    backdated_head = msgspec.structs.replace(
        head, clock=clock, fleet=head.fleet._replace(usual_latencies=latencies), servers=servers
    )
    return Snapshot(backdated_head, [_encoded_page(accounts)])
