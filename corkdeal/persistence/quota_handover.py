"""Divides one gateway's quota between two processes while a new version starts beside the old one.

The predecessor first hands over a fraction of each bucket, of each rate and of its retry budget, together
with all records, and later its remaining share. The level and rate of a bucket are divided, never copied, so
that both processes together admit no more than one gateway may. The predecessor keeps the ledgers up to date
until it hands over the remainder; from then on the successor does. Without I/O.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, NamedTuple, Protocol

from ..decisions import persisted_state
from ..decisions.events import Endpoint
from ..decisions.settings import Plan

if TYPE_CHECKING:
    from ..decisions.accounts import Account
    from ..decisions.gateway import Gateway

ACCOUNTS_PER_STEP = 100  # taken over in one reactor iteration, about 4 ms
# Fraction of the quota that is handed over first. It is the smaller part, because clients keep their
# connections and most requests still go to the predecessor.
SUCCESSOR_FRACTION = 0.3


def refill_accounts(decisions: Gateway, now: float) -> None:
    """Refill all buckets up to `now`, so that they are exported and divided as of the same moment."""
    decisions.now = now
    for account in decisions.accounts.values():
        decisions.refill(account)


def reduce_to_fraction(decisions: Gateway, fraction: float) -> None:
    """Keep a fraction of the quota, of each bucket and of the retry budget; the rest was handed over."""
    decisions.quota_fraction *= fraction
    decisions.retries.budget *= fraction
    for account in decisions.accounts.values():
        account.level *= fraction
        account.hard_limit_level *= fraction


def release_all(decisions: Gateway) -> None:
    """Give up all quota and ledgers, which the successor has from now on; borrow no silent peer's share."""
    reduce_to_fraction(decisions, 0.0)
    decisions.ring_neighbours.clear()
    decisions.active_accounts.clear()
    for account in decisions.accounts.values():
        account.ledgers = {}
        account.tree_edges = {}
        account.predecessor = None


def add_fraction(decisions: Gateway, now: float, fraction: float) -> None:
    """Add the quota fraction of a process that ended without handing over; its bucket levels are lost."""
    refill_accounts(decisions, now)
    decisions.quota_fraction += fraction


class CompleteState(persisted_state.PersistedState, Protocol):
    """Persisted state whose accounts can be iterated."""

    def accounts(self, now: float) -> Iterable[tuple[int, int, persisted_state.StoredAccount]]:
        """Yield the customer, the plan's number and the record of each account."""


class Totals(NamedTuple):
    """Running totals of an account."""

    requested: float
    spent: float


class PartialState:
    """Persisted state in which everything that can be spent is reduced to a fraction."""

    is_exact = True

    def __init__(self, state: persisted_state.PersistedState, fraction: float) -> None:
        self.state = state
        self.fraction = fraction
        self.totals: dict[int, Totals] = {}  # of each account as it was handed over

    def fleet(self, now: float, default_latencies: dict[str, float]) -> persisted_state.StoredFleet:
        """Return the fleet's record with the fraction of its retry budget."""
        record = self.state.fleet(now, default_latencies)
        return record._replace(retry_budget=record.retry_budget * self.fraction)

    def may_resume(self) -> bool:
        """Whether quota shares follow from the ledgers, which the predecessor still keeps."""
        return self.state.may_resume()

    def backend(self, endpoint: Endpoint, now: float) -> persisted_state.StoredBackend | None:
        """Return a backend's record, unchanged: nothing in it can be spent."""
        return self.state.backend(endpoint, now)

    def account(
        self, customer: int, plan: Plan, first_gateway: int, member_count: int, now: float
    ) -> persisted_state.StoredAccount | None:
        """Return an account's record with the fraction of its bucket levels, and remember its totals."""
        record = self.state.account(customer, plan, first_gateway, member_count, now)
        if record is None:
            return None
        self.totals[customer] = Totals(record.total_requested, record.total_spent)
        return record._replace(
            level=record.level * self.fraction,
            hard_limit_level=record.hard_limit_level * self.fraction,
            demand=0.0,
        )


def take_over_remainder(
    decisions: Gateway,
    clock: Callable[[], float],
    partial: PartialState,
    remainder: CompleteState,
    fraction: float,
) -> Iterator[None]:
    """Take over the predecessor's remaining share in steps: buckets, ledgers and its identity towards peers.

    The predecessor admits nothing any more. All accounts are taken over, even those without a request here,
    so that a later successor gets all of them. Until the last one is taken over, this process refills its
    buckets at its first fraction of the rate, which is less than allowed; then the whole rate, the
    predecessor's incarnation and the ledgers take effect together. Yields after every `ACCOUNTS_PER_STEP`
    accounts.
    """
    fleet = remainder.fleet(clock(), {})
    incarnations = dict(fleet.peer_incarnations)
    for taken_count, (customer, plan, record) in enumerate(remainder.accounts(clock()), 1):
        decisions.now = clock()
        account = decisions.account(customer, plan, record.first_gateway, record.member_count)
        decisions.refill(account)  # a new account has its first fraction now, limited to its burst
        initial_totals = partial.totals.get(customer, Totals(0.0, 0.0))
        _add_record(account, record, initial_totals, remainder.may_resume(), incarnations)
        if account.ledgers:
            decisions.active_accounts[customer] = account
        if taken_count % ACCOUNTS_PER_STEP == 0:
            yield
    decisions.now = clock()
    decisions.retries.budget += fleet.retry_budget
    decisions.peers.incarnations.resume(fleet.incarnation, incarnations)
    decisions.peers.message_round = fleet.message_round
    decisions.quota_fraction += fraction
    decisions.state_transfer.restored = remainder  # for backends that no endpoint list has named yet


def _add_record(
    account: Account,
    record: persisted_state.StoredAccount,
    initial_totals: Totals,
    may_resume: bool,
    incarnations: dict[int, int],
) -> None:
    """Restore an account from a record, and add what it held and counted here since the first part."""
    level = account.level
    hard_limit_level = account.hard_limit_level
    demand = account.demand
    requested = account.total_requested - initial_totals.requested
    spent = account.total_spent - initial_totals.spent
    last_request_at = account.last_request_at
    persisted_state.restore_account(account, record, may_resume, incarnations)
    account.level += level
    account.hard_limit_level += hard_limit_level
    account.demand += demand
    account.total_requested += requested
    account.total_spent += spent
    account.last_request_at = max(account.last_request_at, last_request_at)
