"""What the decisions knew before a pause, aged to the moment after it: nothing is used past its time.

While a gateway stands still its ring's successor takes its slices on loan, its neighbours' levels change, and
servers answer into its socket buffers. So after a pause

- no bucket fills for the time in which others may have had its slice; that costs at most `rate x slice` a
  second of the pause, never more than the bucket, and comes back by the bucket's own refill;
- no neighbour's told level backs a credit until that neighbour speaks again;
- nobody counts as silent for not having been heard then, and no server as hung for not having answered;
- reports and cold servers' saved-up credit from before count nothing.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway

LONG_AGO = -math.inf


def wake(decisions: Gateway, now: float, gap: float) -> None:
    """The process stood still for `gap` s until `now`; called before the decisions are told anything."""
    for a in decisions.accounts.values():
        a.refilled_at = max(a.refilled_at, min(now, a.refilled_at + gap))  # its bucket did not fill meanwhile
        for pair in a.ledgers.values():
            pair.peer_state_at = LONG_AGO
    for peer in decisions.peer_last_heard:
        decisions.peer_last_heard[peer] = now
    for server in decisions.backends.values():
        server.in_flight = {rid: (sent + gap, load) for rid, (sent, load) in server.in_flight.items()}
        server.last_answer_at, server.last_attempt_at = (
            max(server.last_answer_at, now),
            server.last_attempt_at + gap,
        )
        server.peer_load_at = LONG_AGO
        server.slow_start_credit = min(server.slow_start_credit, 0.0)
        server.slow_start_credit_at = None if server.slow_start_credit_at is None else now
    if decisions.membership is not None:
        decisions.now = now
        decisions.membership.resume(gap)
    decisions.last_exchange_at = decisions.last_poll_at = now
