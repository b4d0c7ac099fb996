"""One gateway's quota between two lives of it, while a new version starts beside the old one; without I/O.

The old life gives the new one a part of each bucket, of each rate and of its saved-up retries, and all that
it knows; later the rest. Each bucket's level and rate are divided, never copied, so both lives together let
in what one gateway may. The old one goes on with the ledgers until the rest is given, then the new one
does.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from typing import TYPE_CHECKING, Protocol

from ..decisions import persisted_state
from ..decisions.events import Endpoint
from ..decisions.settings import Plan

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway

STEP = 100  # accounts taken in one turn of the reactor, about 4 ms
NEW_PART = 0.3  # given at first: clients keep their connections, so most still comes to the old one


def settle(decisions: Gateway, now: float) -> None:
    """Bring all buckets up to now, so that their records can be made and divided in the same moment."""
    decisions.now = now
    for a in decisions.accounts.values():
        decisions.refill(a)


def keep(decisions: Gateway, part: float) -> None:
    """Keep that part of all that is spent here; the rest was given."""
    decisions.quota_fraction *= part
    decisions.retry_budget *= part
    for a in decisions.accounts.values():
        a.level, a.hard_limit_level = a.level * part, a.hard_limit_level * part


def keep_nothing(decisions: Gateway) -> None:
    """All was given, the ledgers too: neighbours trade with the new life, and back nothing here."""
    keep(decisions, 0.0)
    decisions.ring_neighbours.clear()
    decisions.active_accounts.clear()
    for a in decisions.accounts.values():
        a.ledgers, a.tree_edges, a.predecessor = {}, {}, None


class Rest(persisted_state.Memory, Protocol):
    """A memory that can give all its accounts at once."""

    def accounts(self, now: float) -> Iterable[tuple[int, int, persisted_state.AccountMemory]]:
        """Customer, the plan's number and the record of each."""


class Given:
    """A `memory.Memory` of which only a part was given, at `part` of what it says."""

    exact = True

    def __init__(self, known: persisted_state.Memory, part: float) -> None:
        self.known, self.part = known, part
        self.totals: dict[int, tuple[float, float]] = {}  # what was asked and spent when an account came over

    def fleet(self, now: float, first_work: dict[str, float]) -> persisted_state.FleetMemory:
        """The fleet's record."""
        made = self.known.fleet(now, first_work)
        return made._replace(retries=made.retries * self.part)

    def resumes(self) -> bool:
        """The slices are those of the ledgers; the old life goes on with them for now."""
        return self.known.resumes()

    def server(self, entry: Endpoint, now: float) -> persisted_state.ServerMemory | None:
        """A server's record, whole: what is known is not spent."""
        return self.known.server(entry, now)

    def account(
        self, customer: int, plan: Plan, first: int, spread: int, now: float
    ) -> persisted_state.AccountMemory | None:
        """The part of an account that was given."""
        m = self.known.account(customer, plan, first, spread, now)
        if m is None:
            return None
        self.totals[customer] = m.asked, m.spent
        return m._replace(level=m.level * self.part, ceiling=m.ceiling * self.part, demand=0.0)


def take_rest(
    decisions: Gateway, clock: Callable[[], float], first: Given, rest: Rest, part: float
) -> Iterator[None]:
    """The old life spends no more: its rest, its ledgers and its place among the peers come over, in steps.

    All accounts come, those not met here too, so that a third life finds them all. Until the last has come
    this life refills its buckets at its own part of the rate, which is less than it may; then the whole rate,
    the old incarnation and the ledgers are in force at once. Yields after each STEP accounts.
    """
    fleet = rest.fleet(clock(), {})
    peers = dict(fleet.peers)
    for taken, (customer, plan, m) in enumerate(rest.accounts(clock()), 1):
        decisions.now = clock()
        a = decisions.account(customer, plan, m.first, m.spread)
        decisions.refill(a)  # one that was not met has its first part now, under its bound
        asked, spent = first.totals.get(customer, (0.0, 0.0))
        mine = (
            a.level,
            a.hard_limit_level,
            a.demand,
            a.total_asked - asked,
            a.total_spent - spent,
            a.last_request_at,
        )
        persisted_state.put_account(a, m, rest.resumes(), peers)
        a.level, a.hard_limit_level, a.demand = (
            a.level + mine[0],
            a.hard_limit_level + mine[1],
            a.demand + mine[2],
        )
        a.total_asked, a.total_spent, a.last_request_at = (
            a.total_asked + mine[3],
            a.total_spent + mine[4],
            max(a.last_request_at, mine[5]),
        )
        decisions.active_accounts.update({customer: a} if a.ledgers else {})
        if taken % STEP == 0:
            yield
    decisions.now = clock()
    decisions.retry_budget += fleet.retries
    decisions.incarnations.resume(fleet.born, peers)
    decisions.message_round = fleet.round
    decisions.quota_fraction += part
    decisions.restored_state = rest  # of servers that no list has named yet


def take_rate(decisions: Gateway, now: float, part: float) -> None:
    """The other life ended without a word: its rate comes over, and what its buckets held is lost."""
    settle(decisions, now)
    decisions.quota_fraction += part
