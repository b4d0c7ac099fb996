"""The explorer of step sequences, to a small depth; `corkdeal experiment explore` goes deeper."""

import pytest

from corkdeal.decisions.accounts import PeerLedger
from corkdeal.decisions.peer_protocol import PeerProtocol
from corkdeal.experiment import explore
from corkdeal.recovery.quota_restore import QuotaRestore


def test_slices_are_conserved_and_the_bound_is_kept_after_every_way():
    begin = explore.traded()
    ways = list(explore.walk(begin, 2))
    kinds = {s.kind for path, _ in ways for s in path}
    assert len(ways) > 30 and kinds > {"crash", "start", "start-back", "lose"}
    assert not [f for path, world in ways for f in explore.judge(path, world)]
    _, faults, kinds = explore.at_random(3, 40, 20)
    assert not faults and min(kinds.values()) > 20


@pytest.mark.parametrize(
    ("broken", "said"),
    [
        (lambda self, pair: PeerLedger(pair.received_share + 900, pair.received_units), "shares sum to"),
        (lambda self, pair: PeerLedger(pair.received_share, pair.received_units + 64), "ledgers disagree"),
    ],
)
def test_a_ledger_kept_wrongly_is_found(monkeypatch, broken, said):
    monkeypatch.setattr(QuotaRestore, "ledger_after_peer_restart", broken)
    monkeypatch.setattr(QuotaRestore, "accounts_to_report", lambda *a: [])
    monkeypatch.setattr(PeerProtocol, "receive_update", lambda self, peer, number, update: None)
    begin = explore.traded()
    faults = [f for path, world in explore.walk(begin, 2) for f in explore.judge(path, world)]
    assert any(said in f for f in faults)
