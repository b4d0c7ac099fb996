"""Takes the knowledge of lost machines into another's, record by record, by age; pure.

Of each server, class and size, and account the newest record counts; where two are of one moment, the one
whose bytes sort later, so that the order of merging says nothing. Stamps of another machine come over by its
wall clock. What belongs to a place in the tier stays the target's: its name, pace, incarnation and ledgers,
and the addresses under which it reaches servers. An account taken from another machine comes without ledgers.
"""

from __future__ import annotations

from collections.abc import Hashable, Iterable
from typing import Any, TypeVar

import msgspec

from ..decisions.persisted_state import AccountMemory, FleetMemory, ServerMemory, WorkMemory
from .codec import Snapshot, SnapshotHead, decode_account, encode_record

Record = TypeVar("Record", ServerMemory, WorkMemory, AccountMemory)


def clock_offset(head: SnapshotHead, target: SnapshotHead) -> float:
    """What is added to a stamp of one document to make it one of the target's boot clock."""
    if head.clock.boot_id and head.clock.boot_id == target.clock.boot_id:
        return 0.0
    return (head.clock.wall - head.clock.boot) - (target.clock.wall - target.clock.boot)


def newest_records(records: Iterable[tuple[Hashable, Record]]) -> dict[Any, Record]:
    """The record that counts for each key."""
    best: dict[Any, Record] = {}
    for key, record in records:
        if key not in best or precedence(record) > precedence(best[key]):
            best[key] = record
    return best


def precedence(record: Record) -> tuple[float, float, bytes]:
    """Later starts and moments first; then any order, so long as it is always the same."""
    started = record.started if isinstance(record, ServerMemory) else 0.0
    return started, record.at, encode_record(record)


def server_from_other_machine(m: ServerMemory, offset: float) -> ServerMemory:
    """A server's record of another machine."""
    return m._replace(at=m.at + offset, address="")


def account_from_other_machine(m: AccountMemory, offset: float) -> AccountMemory:
    """An account of another machine: its ledgers are that one's."""
    return m._replace(
        at=m.at + offset, asked_at=m.asked_at + offset, open=0, asked=0.0, spent=0.0, pairs=(), edges=()
    )


def accounts_of(document: Snapshot) -> dict[int, AccountMemory]:
    """All accounts that can be read."""
    made: dict[int, AccountMemory] = {}
    for customer, raw in document.encoded_accounts().items():
        try:
            made[customer] = decode_account(raw)
        except ValueError:
            continue
    return made


def merge(target: Snapshot, others: Iterable[Snapshot]) -> Snapshot:
    """The target with what the others know better."""
    servers = [(m.server, m) for m in target.head.servers]
    work = [((m.cls, m.size), m) for m in target.head.fleet.work]
    accounts = list(accounts_of(target).items())
    is_clean, write_interval = target.head.is_clean, target.head.write_interval
    for other in others:
        offset = clock_offset(other.head, target.head)
        servers += [(m.server, server_from_other_machine(m, offset)) for m in other.head.servers]
        work += [((m.cls, m.size), m._replace(at=m.at + offset)) for m in other.head.fleet.work]
        is_clean, write_interval = (
            is_clean and other.head.is_clean,
            max(write_interval, other.head.write_interval),
        )
        accounts += [(key, account_from_other_machine(m, offset)) for key, m in accounts_of(other).items()]
    merged = newest_records(servers)
    for m in target.head.servers:  # the same process under the target's own address
        if m.address and merged[m.server].started == m.started:
            merged[m.server] = merged[m.server]._replace(address=m.address)
    fleet = target.head.fleet._replace(work=tuple(sorted(newest_records(work).values())))
    head = msgspec.structs.replace(
        target.head,
        fleet=fleet,
        servers=tuple(sorted(merged.values())),
        is_clean=is_clean,
        write_interval=write_interval,
    )
    records = {key: msgspec.Raw(encode_record(m)) for key, m in sorted(newest_records(accounts).items())}
    return Snapshot(head, [records])


def backdated(document: Snapshot, seconds: float) -> Snapshot:
    """The same document as if it had been written that much earlier; for trying out what age does."""
    clock = document.head.clock._replace(
        wall=document.head.clock.wall - seconds, boot=document.head.clock.boot - seconds
    )
    fleet: FleetMemory = document.head.fleet._replace(
        work=tuple(w._replace(at=w.at - seconds) for w in document.head.fleet.work)
    )
    servers = tuple(m._replace(at=m.at - seconds) for m in document.head.servers)
    accounts = {
        key: msgspec.Raw(encode_record(m._replace(at=m.at - seconds, asked_at=m.asked_at - seconds)))
        for key, m in accounts_of(document).items()
    }
    head = msgspec.structs.replace(document.head, clock=clock, fleet=fleet, servers=servers)
    return Snapshot(head, [accounts])
