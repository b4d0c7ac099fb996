"""Resumes the decisions after a stall: invalidates what they knew before it, so that no old data is used.

While a gateway is stalled, its ring successor takes its shares over, its neighbours' bucket levels change,
and replies of backends accumulate in its socket buffers. So after a stall:

- No token bucket is refilled for the time in which others may have spent its share. That costs at most
  `rate x share` per second of the stall, never more than the bucket, and the usual refill makes up for it.
- No bucket level that a neighbour sent earlier is used as credit until that neighbour sends a new one.
- No peer counts as silent, and no backend as unresponsive, on account of the stall.
- Load reports and accumulated slow start credit from before the stall are discarded.
"""

from __future__ import annotations

import math

from ..decisions.accounts import Account
from ..decisions.backends import BackendRecord
from .host import ResumeHost

NEVER = -math.inf  # s


def resume_after_stall(host: ResumeHost, now: float, stall_time: float) -> None:
    """Update the decisions after the process was stalled for `stall_time` seconds until `now`.

    This must be called before the decisions handle any event.
    """
    for account in host.accounts.values():
        _adjust_account(account, now, stall_time)
    for peer in host.peer_last_received_at:
        host.peer_last_received_at[peer] = now
    for backend in host.backends.records.values():
        _adjust_backend(backend, now, stall_time)
    if host.membership is not None:
        host.now = now
        host.membership.resume(stall_time)
    host.last_exchange_at = now
    host.last_poll_at = now


def _adjust_account(account: Account, now: float, stall_time: float) -> None:
    """Exclude the stall from the account's next refill, and its peers' levels from its credit."""
    account.refilled_at = max(account.refilled_at, min(now, account.refilled_at + stall_time))
    for ledger in account.ledgers.values():
        ledger.peer_state_at = NEVER


def _adjust_backend(backend: BackendRecord, now: float, stall_time: float) -> None:
    """Exclude the stall from the backend's silence, and discard its reported load and its credit."""
    backend.in_flight = {
        request: (sent_at + stall_time, load) for request, (sent_at, load) in backend.in_flight.items()
    }
    backend.last_answer_at = max(backend.last_answer_at, now)
    backend.last_attempt_at += stall_time
    backend.peer_load_at = NEVER
    backend.slow_start_credit = min(backend.slow_start_credit, 0.0)
    if backend.slow_start_credit_at is not None:
        backend.slow_start_credit_at = now
