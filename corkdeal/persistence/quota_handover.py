"""One gateway's quota between two processes, while a new version starts beside the old one; without I/O.

The old process gives the new one a fraction of each bucket, of each rate and of its retry budget, and all
records; later the rest. Each bucket's level and rate are divided, never copied, so both processes together
admit what one gateway may. The old one goes on with the ledgers until the rest is given, then the new one
does.
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

ACCOUNTS_PER_STEP = 100  # taken over in one turn of the reactor, about 4 ms
# Given at first. Clients keep their connections, so most requests still come to the old process.
SUCCESSOR_SHARE = 0.3


def refill_accounts(decisions: Gateway, now: float) -> None:
    """Refill all buckets up to now, so that their records can be made and divided in the same moment."""
    decisions.now = now
    for account in decisions.accounts.values():
        decisions.refill(account)


def keep_fraction(decisions: Gateway, fraction: float) -> None:
    """Keep that fraction of all that may be spent here; the rest was given."""
    decisions.quota_fraction *= fraction
    decisions.retries.budget *= fraction
    for account in decisions.accounts.values():
        account.level *= fraction
        account.hard_limit_level *= fraction


def keep_nothing(decisions: Gateway) -> None:
    """Give up all, the ledgers too: neighbours exchange with the successor, and nothing is backed here."""
    keep_fraction(decisions, 0.0)
    decisions.ring_neighbours.clear()
    decisions.active_accounts.clear()
    for account in decisions.accounts.values():
        account.ledgers = {}
        account.tree_edges = {}
        account.predecessor = None


def take_fraction(decisions: Gateway, now: float, fraction: float) -> None:
    """Take the rate of a process that ended without handing over; what its buckets held is lost."""
    refill_accounts(decisions, now)
    decisions.quota_fraction += fraction


class CompleteState(persisted_state.PersistedState, Protocol):
    """Persisted state that can give all its accounts at once."""

    def accounts(self, now: float) -> Iterable[tuple[int, int, persisted_state.StoredAccount]]:
        """Yield customer, plan's number and record of each."""


class Totals(NamedTuple):
    """Running totals of an account."""

    asked: float
    spent: float


class PartialState:
    """Persisted state of which only a fraction of what may be spent was given."""

    is_exact = True

    def __init__(self, state: persisted_state.PersistedState, fraction: float) -> None:
        self.state = state
        self.fraction = fraction
        self.totals: dict[int, Totals] = {}  # of each account as it came over

    def fleet(self, now: float, default_latencies: dict[str, float]) -> persisted_state.StoredFleet:
        """Return the fleet's record, with a fraction of the retry budget."""
        record = self.state.fleet(now, default_latencies)
        return record._replace(retry_budget=record.retry_budget * self.fraction)

    def may_resume(self) -> bool:
        """Whether shares are those of the ledgers; the old process goes on with them for now."""
        return self.state.may_resume()

    def server(self, endpoint: Endpoint, now: float) -> persisted_state.StoredBackend | None:
        """Return a server's record, whole: nothing of it can be spent."""
        return self.state.server(endpoint, now)

    def account(
        self, customer: int, plan: Plan, first_gateway: int, member_count: int, now: float
    ) -> persisted_state.StoredAccount | None:
        """Return an account with the fraction that was given."""
        record = self.state.account(customer, plan, first_gateway, member_count, now)
        if record is None:
            return None
        self.totals[customer] = Totals(record.total_asked, record.total_spent)
        return record._replace(
            level=record.level * self.fraction,
            hard_limit_level=record.hard_limit_level * self.fraction,
            demand=0.0,
        )


def take_rest(
    decisions: Gateway,
    clock: Callable[[], float],
    first: PartialState,
    rest: CompleteState,
    fraction: float,
) -> Iterator[None]:
    """Take over what the old process kept: buckets, ledgers and its place among the peers, in steps.

    The old process spends no more. All accounts come, those not met here too, so that a third process finds
    them all. Until the last has come this process refills its buckets at its own fraction of the rate, which
    is less than it may; then the whole rate, the old incarnation and the ledgers are in force at once. Yields
    after every `ACCOUNTS_PER_STEP` accounts.
    """
    fleet = rest.fleet(clock(), {})
    incarnations = dict(fleet.peer_incarnations)
    for taken, (customer, plan, record) in enumerate(rest.accounts(clock()), 1):
        decisions.now = clock()
        account = decisions.account(customer, plan, record.first_gateway, record.member_count)
        decisions.refill(account)  # one that was not met has its first fraction now, under its bound
        given = first.totals.get(customer, Totals(0.0, 0.0))
        _add_record(account, record, given, rest.may_resume(), incarnations)
        if account.ledgers:
            decisions.active_accounts[customer] = account
        if taken % ACCOUNTS_PER_STEP == 0:
            yield
    decisions.now = clock()
    decisions.retries.budget += fleet.retry_budget
    decisions.peers.incarnations.resume(fleet.incarnation, incarnations)
    decisions.peers.message_round = fleet.message_round
    decisions.quota_fraction += fraction
    decisions.state_transfer.restored = rest  # for servers that no list has named yet


def _add_record(
    account: Account,
    record: persisted_state.StoredAccount,
    given: Totals,
    resumes: bool,
    incarnations: dict[int, int],
) -> None:
    """Put a record in an account's place, and add what the account holds and counted since it came over."""
    level = account.level
    hard_limit_level = account.hard_limit_level
    demand = account.demand
    asked = account.total_asked - given.asked
    spent = account.total_spent - given.spent
    last_request_at = account.last_request_at
    persisted_state.restore_account(account, record, resumes, incarnations)
    account.level += level
    account.hard_limit_level += hard_limit_level
    account.demand += demand
    account.total_asked += asked
    account.total_spent += spent
    account.last_request_at = max(account.last_request_at, last_request_at)
