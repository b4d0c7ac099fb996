"""Quota exchange: ring neighbours balance their shares of a customer's quota by supply and demand.

The members of a customer's set form a ring, and each exchanges with its two neighbours. Of each pair, the end
with the lower index sends its share, its demand and the level of its bucket. The other end closes
EXCHANGE_FRACTION of the gap between the present shares and shares in proportion to demand, and replies.
Levels are balanced in the same way, within the capacity of the buckets.

Both ends keep running totals of what was moved, each the negative of the other, and messages carry totals,
not differences. The sum of a customer's shares is therefore conserved when messages are lost, duplicated or
reordered, and an end that recreated its account adopts the totals of the other end.

A gateway whose ring predecessor is silent borrows the predecessor's share.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import NamedTuple, Protocol

from .accounts import Account, AccountTable, PeerLedger
from .peer_messages import SHARE_STEPS, AccountUpdate
from .settings import Settings

EXCHANGE_INTERVAL = 0.25  # s; demand shifts within seconds, a message takes hundredths of a second
EXCHANGE_FRACTION = 0.5  # fraction of the gap closed by one exchange; a ring of three still converges
LEVEL_STEPS = 16  # steps per unit; levels are moved in these
MIN_DEMAND_FRACTION = 0.1  # of the even share's rate; leaves an idle gateway quota for its first requests
LOW_LEVEL_FRACTION = 0.6  # of the bucket; below this an end needs an exchange
IDLE_INTERVAL = 2.0  # s between updates if neither end needs an exchange
INACTIVITY_TIMEOUT = 8.0  # s without requests after which such updates stop
SILENCE_TIMEOUT = 1.0  # s; three exchange intervals and one for a late message


class ExchangeState(NamedTuple):
    """The state of an account that is sent to ring neighbours."""

    share: float  # of the quota
    demand: float  # units/s
    level: float  # units in the bucket, or free concurrency slots


class QuotaHost(Protocol):
    """What the exchange needs of the gateway's accounts."""

    def quota_share(self, account: Account, /) -> float:
        """Return the fraction of the quota that may be spent here, including borrowed shares."""

    def refill(self, account: Account, /) -> float:
        """Advance the account to the present time; returns the share that refills it."""


class QuotaExchange:
    """One gateway's side of the exchange with all its ring neighbours."""

    def __init__(self, settings: Settings, accounts: AccountTable, quotas: QuotaHost) -> None:
        self.settings = settings
        self.accounts = accounts
        self.quotas = quotas
        self.last_exchange_at = 0.0  # s
        self.peer_last_received_at: dict[int, float] = {}  # s

    def is_silent(self, peer: int, now: float) -> bool:
        """Return whether nothing was received from a peer for SILENCE_TIMEOUT.

        For a peer that never sent anything, the time counts from the first call.
        """
        return now - self.peer_last_received_at.setdefault(peer, now) > SILENCE_TIMEOUT

    def share_with_loan(self, account: Account, now: float) -> float:
        """Return the account's share plus that of a silent ring predecessor, which is borrowed."""
        share = account.base_share()
        predecessor = account.predecessor
        if predecessor is not None and self._may_borrow(predecessor, now):
            borrowed = account.ledgers[predecessor].peer_share
            share += 1 / account.member_count if borrowed is None else borrowed
        return min(1.0, share)

    def state(self, account: Account) -> ExchangeState:
        """Advance the account to now and return its state for neighbours."""
        share = self.quotas.refill(account)
        plan = account.plan
        full_rate = plan.rate or plan.max_in_flight or 1.0
        demand = min(full_rate, max(account.demand, MIN_DEMAND_FRACTION * full_rate / account.member_count))
        level = account.level if plan.rate else plan.max_in_flight * share - account.in_flight
        return ExchangeState(account.base_share(), demand, level)

    def update_for(self, customer: int, account: Account, peer: int, now: float) -> AccountUpdate:
        """Return the account's state and running totals for one neighbour, and record them as sent."""
        ledger = account.ledgers[peer]
        ledger.last_sent_at = now
        ledger.is_update_due = False
        state = self.state(account)
        return AccountUpdate(
            customer,
            account.plan_index,
            account.first_gateway,
            account.member_count,
            state.share,
            state.demand,
            state.level,
            ledger.received_share,
            ledger.received_units,
        )

    def due(self, now: float, may_update: Callable[[int], bool]) -> dict[int, list[AccountUpdate]]:
        """Return the updates to send now, a list for each ring neighbour, which may be empty.

        Drops idle accounts, and removes from the active ones those with no recent request that no ring
        neighbour needs an update of.
        """
        self.last_exchange_at = now
        due: dict[int, list[AccountUpdate]] = {peer: [] for peer in sorted(self.accounts.ring_neighbours)}
        self.accounts.forget_idle(now)
        for customer, account in list(self.accounts.active.items()):
            share = self.quotas.quota_share(account)
            is_low = _is_low(account, share, self.state(account).level)
            is_active = now - account.last_request_at < INACTIVITY_TIMEOUT
            for peer, ledger in account.ledgers.items():
                needs_exchange = is_low or ledger.is_update_due or _is_peer_low(account, ledger, now)
                is_active = is_active or needs_exchange
                interval = _update_interval(needs_exchange, is_active)
                if now - ledger.last_sent_at >= interval and may_update(peer):
                    due[peer].append(self.update_for(customer, account, peer, now))
            if not is_active:  # further updates would keep both ends' accounts alive forever
                del self.accounts.active[customer]
        return due

    def receive(
        self,
        account: Account,
        peer: int,
        round_number: int,
        update: AccountUpdate,
        peer_predates_start: bool,
        now: float,
    ) -> AccountUpdate | None:
        """Apply a neighbour's update; the end with the higher index makes the exchange and replies.

        `peer_predates_start`: the peer ran before this gateway started and counted units spent then.
        """
        ledger = account.ledgers.get(peer)
        if ledger is None or round_number <= ledger.last_round:
            return None
        self.accounts.active[update.customer] = account
        self._reconcile_totals(ledger, peer, update)
        ledger.last_round = round_number
        own = self.state(account)
        if not account.has_peer_level:
            account.has_peer_level = True
            if peer_predates_start:
                _limit_fill(account, own, update)
        makes_exchange = self.settings.gateway_index > peer
        if makes_exchange:
            share, level = _exchange(account, ledger, own, update)
        else:
            share, level = update.share, update.level
            _accept_exchange(account, ledger, update)
        ledger.peer_share = share
        ledger.peer_level = level
        ledger.peer_state_at = now
        account.last_peer_update_at = now
        return self.update_for(update.customer, account, peer, now) if makes_exchange else None

    def _may_borrow(self, predecessor: int, now: float) -> bool:
        """Return whether the predecessor is silent and this gateway is not itself cut off from all peers."""
        if not self.settings.may_message_peers or not self.is_silent(predecessor, now):
            return False
        return self.settings.gateway_count == 2 or any(
            not self.is_silent(peer, now) for peer in self.peer_last_received_at if peer != predecessor
        )

    def _reconcile_totals(self, ledger: PeerLedger, peer: int, update: AccountUpdate) -> None:
        """Reconcile running totals after one end recreated its account."""
        has_totals = bool(update.received_share or update.received_units)
        is_first = not ledger.last_round
        if is_first and (self.settings.gateway_index > peer or ledger.last_sent_at < 0):
            ledger.received_share = -update.received_share
            ledger.received_units = -update.received_units
        elif ledger.has_peer_totals and not has_totals:
            ledger.received_share = 0
            ledger.received_units = 0.0
        ledger.has_peer_totals = has_totals


def _is_low(account: Account, share: float, level: float) -> bool:
    """Return whether an end's level is so low that it needs an exchange."""
    plan = account.plan
    return level < LOW_LEVEL_FRACTION * share * (plan.burst if plan.rate else plan.max_in_flight)


def _is_peer_low(account: Account, ledger: PeerLedger, now: float) -> bool:
    """Return whether a neighbour's level is low, extrapolating its refill since its last update."""
    share, plan = ledger.peer_share, account.plan
    if share is None or not plan.rate:
        return _is_low(account, share or 0.0, ledger.peer_level)
    level = ledger.peer_level + plan.rate * share * (now - ledger.peer_state_at)
    return _is_low(account, share, min(plan.burst * share, level))


def _update_interval(needs_exchange: bool, is_active: bool) -> float:
    """Return the interval between updates of one account to one neighbour, in s."""
    if needs_exchange:
        return EXCHANGE_INTERVAL / 2
    return IDLE_INTERVAL if is_active else math.inf


def _limit_fill(account: Account, own: ExchangeState, update: AccountUpdate) -> None:
    """After a start, limit the bucket to the fill ratio of a neighbour that kept running."""
    if account.plan.rate and update.share > 0:
        fill = max(0.0, min(1.0, update.level / (update.share * account.plan.burst)))
        account.level = min(account.level, fill * account.plan.burst * own.share)


def _accept_exchange(account: Account, ledger: PeerLedger, update: AccountUpdate) -> None:
    """Adopt the totals of the end that makes the exchange."""
    account.level += -update.received_units - ledger.received_units
    ledger.received_share = -update.received_share
    ledger.received_units = -update.received_units
    ledger.is_update_due = _is_low(account, update.share, update.level)


def _exchange(
    account: Account, ledger: PeerLedger, own: ExchangeState, update: AccountUpdate
) -> tuple[float, float]:
    """Move share and level towards the proportion of demand; returns the neighbour's new share and level."""
    total_demand = update.demand + own.demand
    # Moves that the neighbour has not received yet are added to what it reported.
    level = update.level - (ledger.received_units + update.received_units)
    share = update.share - (ledger.received_share + update.received_share) / SHARE_STEPS
    gap = EXCHANGE_FRACTION * (update.demand * own.share - own.demand * share) / total_demand
    moved = round(max(-max(0.0, share), min(own.share, gap)) * SHARE_STEPS)
    ledger.received_share -= moved
    share += moved / SHARE_STEPS
    if account.plan.rate:
        burst = account.plan.burst
        gap = EXCHANGE_FRACTION * (update.demand * own.level - own.demand * level) / total_demand
        gap = min(gap, max(0.0, share * burst - level))  # neither bucket may overflow
        gap = max(gap, -max(0.0, account.base_share() * burst - own.level))
        units = round(LEVEL_STEPS * gap) / LEVEL_STEPS
        ledger.received_units -= units
        account.level -= units
        level += units
    return share, level
