"""Resuming after a stall: what the decisions knew before it is aged, so that nothing is used past its time.

While a gateway is stalled its ring successor takes its shares over, its neighbours' bucket levels change, and
backends answer into its socket buffers. So after a stall

- no token bucket fills for the time in which others may have spent its share; that costs at most
  `rate x share` a second of the stall, never more than the bucket, and comes back by the usual refill;
- no bucket level that a neighbour sent earlier backs a credit until that neighbour sends another;
- no peer counts as silent and no backend as hung for the time of the stall;
- load reports and saved-up slow start credit from before count for nothing.
"""

from __future__ import annotations

import math

from ..decisions.backends import BackendRecord
from ..decisions.records import Account
from .host import ResumeHost

LONG_AGO = -math.inf  # s


def resume_after_stall(host: ResumeHost, now: float, stall_time: float) -> None:
    """The process was stalled for `stall_time` s until `now`; called before the decisions get any event."""
    for account in host.accounts.values():
        _age_account(account, now, stall_time)
    for peer in host.peer_last_heard:
        host.peer_last_heard[peer] = now
    for backend in host.backends.records.values():
        _age_backend(backend, now, stall_time)
    if host.membership is not None:
        host.now = now
        host.membership.resume(stall_time)
    host.last_exchange_at = now
    host.last_poll_at = now


def _age_account(account: Account, now: float, stall_time: float) -> None:
    """Leave the stall out of the account's next refill, and its peers' levels out of its credit."""
    account.refilled_at = max(account.refilled_at, min(now, account.refilled_at + stall_time))
    for ledger in account.ledgers.values():
        ledger.peer_state_at = LONG_AGO


def _age_backend(backend: BackendRecord, now: float, stall_time: float) -> None:
    """Leave the stall out of the backend's silence, and drop its reported load and its credit."""
    backend.in_flight = {
        request: (sent_at + stall_time, load) for request, (sent_at, load) in backend.in_flight.items()
    }
    backend.last_answer_at = max(backend.last_answer_at, now)
    backend.last_attempt_at += stall_time
    backend.peer_load_at = LONG_AGO
    backend.slow_start_credit = min(backend.slow_start_credit, 0.0)
    if backend.slow_start_credit_at is not None:
        backend.slow_start_credit_at = now
