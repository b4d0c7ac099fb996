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
        a.at = max(a.at, min(now, a.at + gap))  # its bucket did not fill meanwhile
        for pair in a.pairs.values():
            pair.told_at = LONG_AGO
    for peer in decisions.peer_heard:
        decisions.peer_heard[peer] = now
    for server in decisions.servers.values():
        server.out = {rid: (sent + gap, load) for rid, (sent, load) in server.out.items()}
        server.answered_at, server.sent_at = max(server.answered_at, now), server.sent_at + gap
        server.others_at = LONG_AGO
        server.cold_left = min(server.cold_left, 0.0)
        server.cold_at = None if server.cold_at is None else now
    if decisions.members is not None:
        decisions.now = now
        decisions.members.woke(gap)
    decisions.traded_at = decisions.asked_list = now
