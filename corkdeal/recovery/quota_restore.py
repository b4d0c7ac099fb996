"""The quota after a start: slices and ledgers taken up from neighbours that hold the pairs' running totals.

A pair's two ends hold the same totals, so the one that went on can give them to the one that started again:

- the end that went on keeps a pair's totals when the other starts anew, and tells them with its next word;
- the end that started sends a neighbour no notes before it was told, or the neighbour had PEERS_WAIT to
  speak, or is known to have started at about the same time, so that its zeros do not wipe out what it
  asks for;
- what it is told it takes as its side of the pair, without a change to its bucket: that was spent before;
- its demand begins where slices and demand would be in balance with the neighbour's, and fades into its own;
- what a store holds stands in until then; it may be an older copy, so the neighbour's word goes before it;
- where nobody tells it anything and no store does, it begins at zero, and its first note sets the other
  end to zero as well.

So in each case both ends have the same totals after the first notes that come through, and the total of
slices is that of the design. A wide ring has no ledgers but running totals of what was spent; a start
there begins at the level at which it lets in the quota's rate and nothing saved up, for others may have
spent that.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..decisions.accounts import Account, PeerLedger
from ..decisions.peer_messages import SHARE_STEPS, AccountUpdate

if TYPE_CHECKING:
    from ..decisions.gateway import Gateway
    from ..decisions.persisted_state import AccountMemory

PEERS_WAIT = 1.0  # s that neighbours have to tell; three trades and a late message
WIDE_SPAN = 4.0  # s after a start in which a wide ring's news may not have come yet
WIDE_FILL = 0.4  # of the burst, at which a wide ring lets in its rate
MOST_GIVEN = 56  # notes to one that started; eight datagrams, of the sixty a second that it takes


class Ledgers:
    """One gateway's, for as long as it runs."""

    def __init__(self) -> None:
        self.begun: float | None = None
        self.asked: set[int] = set()
        self.told: set[int] = set()  # neighbours that have spoken to this life of the gateway

    def recalled(self, a: Account, m: AccountMemory, fresh: bool) -> None:
        """A store knew the account: its ledgers stand until a neighbour says otherwise.

        It may be an older copy, so the neighbour's word goes before it, and of two levels the lower counts.
        """
        a.has_peer_level = False
        for p in m.pairs if fresh else ():
            if p.peer in a.ledgers:
                a.ledgers[p.peer] = PeerLedger(p.slice, p.units, has_peer_totals=True)

    def met(self, d: Gateway, a: Account) -> None:
        """An account was just made: ask its neighbours, and trust no level that others may have spent."""
        if self.begun is None:
            self.begun = d.now
        if a.is_aggregated and d.now - self.begun < WIDE_SPAN and not d.resumed():
            a.level = min(a.level, WIDE_FILL * a.plan.burst)
        for peer in sorted(a.ledgers.keys() - self.asked):
            self.asked.add(peer)
            d.tell(peer, [])

    def cleared(self, d: Gateway, peer: int) -> bool:
        """Whether notes may go to a neighbour: it has told what it holds, or has nothing to tell."""
        if peer in self.told or d.resumed() or self.begun is None or d.now - self.begun > PEERS_WAIT:
            return True
        born = d.peer_incarnations.get(peer)
        return born is not None and not d.older(born)

    def take(self, d: Gateway, peer: int, note: AccountUpdate) -> None:
        """A neighbour that went on tells this start of a pair: from its own balance, the demand here."""
        a = d.account(note.customer, note.plan_index, note.first_gateway, note.member_count)
        pair = a.ledgers.get(peer)
        if (
            pair is None
            or pair.last_round
            or a.has_peer_level
            or note.share <= 0
            or not d.older(d.peer_incarnations[peer])
        ):
            return
        share = max(0.0, min(1.0, a.base_share() - (pair.received_share + note.received_share) / SHARE_STEPS))
        a.demand = max(a.demand, min(a.plan.rate, note.demand * share / note.share))

    def kept(self, pair: PeerLedger) -> PeerLedger:
        """What is left of a pair whose other end started anew: its totals, and that they stand."""
        return PeerLedger(pair.received_share, pair.received_units, has_peer_totals=True)

    def given(self, d: Gateway, peer: int) -> list[tuple[int, Account]]:
        """The accounts whose totals a neighbour that started anew is told, the largest first."""
        mine = [
            (key, a)
            for key, a in d.accounts.items()
            if (pair := a.ledgers.get(peer)) is not None and (pair.received_share or pair.received_units)
        ]
        mine.sort(key=lambda row: (-abs(row[1].ledgers[peer].received_share), row[0]))
        return mine[:MOST_GIVEN]
