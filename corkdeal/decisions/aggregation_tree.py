"""Wide rings: how the gateways of a large set tell each other what a customer asked and spent. No I/O.

The ways of one customer's news are a tree of two levels over its set, or over the whole tier where the set is
most of it: members tell the head of their block at once, heads tell the customer's collecting point, and that
one tells all, by the heads, where the quota is near its end. Only heads and collecting points wait, each for
a stated time after its last message: what waited goes in one message for all customers that share the way.
There are HUBS ways to lay the tree over the gateways, and customers take turns among them. So a view is old
by about one wait of a head, one of the collecting point and four messages' way, however many the members are.

The waits follow from what a gateway takes in, `peer_intake` a second: from HUBS collecting points it gets
PUSH_PART of that, and a collecting point gets RISE_PART of it from the heads. What a head gets from its block
is as much as is asked there.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .peer_messages import uses_tier_tree
from .records import Account, TreeEdge

if TYPE_CHECKING:
    from .gateway import Gateway
    from .peer_messages import TreeTotals

HUBS = 8  # collecting points; fewer bring more customers into one message, and more bear more news
BLOCKS = 0.5  # heads are the root of this times the members: 10 of 200, each with 20 members
PUSH_PART, RISE_PART = 0.2, 0.35  # of a gateway's intake, from collecting points, and at one from heads
USUAL_INTAKE = 60.0  # messages a second, where the settings name none
TELL_STEP = 0.4  # of the burst asked anew, for members to be told
TIGHT, LOW = 0.8, 0.4  # of the rate asked, and of the burst left, from which on members are told
RING_MEMORY = 2.5  # s that demand is averaged over: a few times as long as it takes members to hear of it


def blocks(size: int) -> int:
    """How many heads a tree over so many gateways has."""
    return max(1, round(math.sqrt(BLOCKS * size)))


def ways(me: int, customer: int, first: int, spread: int, gateways: int) -> tuple[int | None, list[int]]:
    """Whom this gateway tells of the customer: the one towards the collecting point, and all.

    A gateway that neither belongs to the set nor leads a block of the tier's tree tells nobody.
    """
    shared = uses_tier_tree(spread, gateways)
    start, size = (0, gateways) if shared else (first, spread)
    if (me - start) % gateways >= size:
        return None, []
    length = -(-(size - 1) // blocks(size))  # of a block
    way = customer % HUBS  # so laid that where blocks are long enough nobody leads or collects on two of them
    turn = (way * size // HUBS // length * length + 2 * way) % size
    at = ((me - start) % gateways - turn) % size

    def there(place: int) -> int:
        return (start + (place + turn) % size) % gateways

    def member(place: int) -> bool:
        return (there(place) - first) % gateways < spread

    if not at:
        return None, [there(p) for p in range(1, size, length)]
    if (at - 1) % length:
        head = there(at - (at - 1) % length)
        return (head, [head]) if member(at) else (None, [])
    below = [there(p) for p in range(at + 1, min(size, at + length)) if member(p)]
    return there(0), [*below, there(0)]


class Teller:
    """When a gateway passes on what it heard and what was asked of itself."""

    def __init__(self, gateways: int, intake: float) -> None:
        taken = intake or USUAL_INTAKE
        self.push_every = HUBS / (PUSH_PART * taken)  # s
        self.rise_every = blocks(gateways) / (RISE_PART * taken)
        self.rose_at: dict[int, float] = {}  # by collecting point
        self.pushed_at = -math.inf

    def due(self, d: Gateway) -> dict[int, list[TreeTotals]]:
        """Notes by peer; what has to wait is put off in `d.later`."""
        notes: dict[int, list[TreeTotals]] = {}
        news, d.pending_updates, rose, pushed = d.pending_updates, {}, set(), False
        for key, a in news.items():
            d.refill(a)
            for peer, edge in a.tree_edges.items():
                at = self.when(d, a, peer, edge)
                if at is None:
                    continue
                if at > d.now:
                    d.put_off(key, at)
                    continue
                notes.setdefault(peer, []).append(d.totals(key, a, edge))
                if peer == a.parent:
                    rose.add(peer)
                pushed = pushed or a.parent is None
            a.has_parent_update = False
        self.rose_at.update(dict.fromkeys(rose, d.now))
        self.pushed_at = d.now if pushed else self.pushed_at
        return notes

    def when(self, d: Gateway, a: Account, peer: int, edge: TreeEdge) -> float | None:
        """From when on that neighbour may be told; None while there is nothing for it."""
        new = a.total_asked - edge.remote_asked - edge.sent_asked
        if new <= 0:
            return None
        if peer == a.parent:
            return self.rose_at.get(peer, -math.inf) + self.rise_every if len(a.tree_edges) > 1 else d.now
        if a.parent is not None:  # news goes down as it came
            return d.now if a.has_parent_update else None
        tight = a.demand > TIGHT * d.rate(a) or a.level < LOW * a.plan.burst
        step = TELL_STEP * (a.plan.burst or d.rate(a) * RING_MEMORY)
        return self.pushed_at + self.push_every if tight and new >= step else None
