"""Captures the decisions' state as a snapshot, in steps short enough not to delay the reactor.

Each record carries its own time, so the records of a snapshot may be captured at different moments. Only
accounts that had a request since the last snapshot, or had attempts in flight when it was made, are encoded
again; for the others the bytes of the last snapshot are reused.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator
from itertools import islice
from typing import TYPE_CHECKING

from ..decisions import persisted_state
from ..decisions.persisted_state import StoredBackend, StoredFleet
from .clock import ClockReading
from .codec import SnapshotHead, encode_page, encode_page_entry, encode_record
from .restore import RestoredState

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway

ACCOUNTS_PER_CHECK = 32  # accounts encoded between two readings of the clock
MAX_STEP_TIME = 0.0007  # seconds after which a step yields
ACCOUNTS_PER_PAGE = 1000


class StateCapture:
    """Makes snapshots of one gateway's decisions: exhaust `steps`, then take `pages` and `head`."""

    def __init__(
        self, decisions: Gateway, name: str, program: str, restored: RestoredState | None = None
    ) -> None:
        """`restored` is the state given to the decisions; records not claimed yet are written again."""
        self.decisions = decisions
        self.name = name
        self.program = program
        self.restored = restored
        self.encoded_entries: dict[int, bytes] = {}  # encoded page entries by customer
        self._in_flight: set[int] = set()  # customers whose entry counts attempts in flight
        self._unclaimed: dict[int, bytes] | None = None  # filled by the first snapshot, then only shrinks
        self._unclaimed_entries: list[bytes] = []  # `_unclaimed` as it was when the current snapshot began
        decisions.changed_customers = None  # None: the first snapshot encodes all accounts

    def steps(
        self,
        now: Callable[[], float],
        clock: Callable[[], ClockReading],
        tick: Callable[[], float],
    ) -> Iterator[None]:
        """Bring the accounts' entries up to date; yields whenever a step has taken `MAX_STEP_TIME` by `tick`.

        `now` returns the decisions' time, `clock` reads both clocks, `tick` is a performance counter.
        """
        # Collected and written first: an account that is claimed during the capture occurs twice in the
        # snapshot, and a reader takes the later entry.
        self._unclaimed_entries = list(self._update_unclaimed(now(), clock()).values())
        step_started_at = tick()
        customers = iter(self._take_changed_customers())
        offset = clock().boot - now()
        while batch := list(islice(customers, ACCOUNTS_PER_CHECK)):
            self._encode_accounts(batch, offset)
            if tick() - step_started_at > MAX_STEP_TIME:
                yield
                step_started_at = tick()
                offset = clock().boot - now()
        yield
        self._drop_forgotten_accounts()

    def pages(self) -> Iterator[bytes]:
        """Yield the accounts' pages; encoding one takes about as long as a step."""
        yield from encoded_pages(self._unclaimed_entries)
        yield from encoded_pages(list(self.encoded_entries.values()))

    def head(
        self,
        now: float,
        clock: ClockReading,
        write_interval: float,
        is_clean: bool,
        addresses: dict[str, str],
    ) -> SnapshotHead:
        """Return all of the snapshot but the accounts; `addresses` maps backends to `host:port`."""
        backends = self._backend_records(now, clock, addresses)
        fleet: StoredFleet = self.decisions.state_transfer.export_fleet(self.decisions.quota_fraction)
        latencies = tuple([record._replace(recorded_at=clock.boot) for record in fleet.usual_latencies])
        return SnapshotHead(
            self.name,
            self.program,
            clock,
            write_interval,
            is_clean,
            fleet._replace(usual_latencies=latencies),
            tuple(backends),
        )

    def _take_changed_customers(self) -> list[int]:
        """Return the customers whose accounts must be encoded again, and start collecting the next ones."""
        changed = self.decisions.changed_customers
        customers = list(self.decisions.accounts)
        if changed is not None:
            customers = list(changed | self._in_flight)
        self.decisions.changed_customers = set()
        self._in_flight = set()
        return customers

    def _encode_accounts(self, customers: Iterable[int], offset: float) -> None:
        """Encode the accounts that still exist; `offset` is the boot clock less the decisions' time."""
        incarnations = self.decisions.peer_incarnations
        for customer in customers:
            account = self.decisions.accounts.get(customer)
            if account is None:
                continue
            record = persisted_state.export_account(account, offset, incarnations)
            self.encoded_entries[customer] = encode_page_entry(customer, encode_record(record))
            if account.in_flight:  # an attempt's end does not add the customer to `changed_customers`
                self._in_flight.add(customer)

    def _drop_forgotten_accounts(self) -> None:
        """Drop the entries of accounts that the decisions no longer have."""
        if len(self.encoded_entries) > len(self.decisions.accounts):
            for customer in self.encoded_entries.keys() - self.decisions.accounts.keys():
                del self.encoded_entries[customer]

    def _update_unclaimed(self, now: float, clock: ClockReading) -> dict[int, bytes]:
        """Return the entries of restored accounts that the decisions have not claimed yet."""
        restored = self.restored
        if restored is None:
            return {}
        if self._unclaimed is None:
            stored = restored.head.clock
            is_same_boot = bool(clock.boot_id) and clock.boot_id == stored.boot_id and restored.age < math.inf
            self._unclaimed = restored.unclaimed_entries(now, is_same_boot, clock.boot)
        else:
            for customer in self._unclaimed.keys() - restored.encoded_accounts.keys():
                del self._unclaimed[customer]
        if not restored.encoded_accounts and not restored.backends:
            self.restored = None
        return self._unclaimed

    def _backend_records(
        self, now: float, clock: ClockReading, addresses: dict[str, str]
    ) -> list[StoredBackend]:
        """Return the records of all listed backends, and of restored ones not listed yet."""
        classes = self.decisions.settings.classes
        offset = clock.boot - now
        records: list[StoredBackend] = []
        for backend in self.decisions.backends.records.values():
            record = persisted_state.export_backend(backend, classes, now, offset)
            records.append(record._replace(address=addresses.get(record.backend, "")))
        if self.restored is not None:
            records += self.restored.unlisted_backends(now, clock.boot)
        return records


def encoded_pages(entries: list[bytes]) -> Iterator[bytes]:
    """Yield the entries in pages of at most `ACCOUNTS_PER_PAGE`, in order."""
    remaining = iter(entries)
    while batch := list(islice(remaining, ACCOUNTS_PER_PAGE)):
        yield encode_page(batch, len(batch))
