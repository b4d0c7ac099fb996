"""The explorer of step sequences, to a small depth; `corkdeal experiment explore` goes deeper."""

import pytest

from corkdeal.decisions.accounts import PeerLedger
from corkdeal.decisions.peer_protocol import PeerProtocol
from corkdeal.experiment import explore
from corkdeal.recovery.quota_restore import QuotaRestore


def test_quota_shares_are_conserved_and_the_bound_holds_after_every_path():
    initial = explore.converged_ring()
    paths = list(explore.walk(initial, 2))
    kinds = {s.kind for path, _ in paths for s in path}
    assert len(paths) > 30 and kinds > {"crash", "start", "start-back", "lose"}
    assert not [
        violation for path, simulation in paths for violation in explore.violations_after(path, simulation)
    ]
    _, violations, kinds = explore.check_random_paths(3, 40, 20)
    assert not violations and min(kinds.values()) > 20


@pytest.mark.parametrize(
    ("faulty_ledger", "message"),
    [
        (lambda self, pair: PeerLedger(pair.received_share + 900, pair.received_units), "shares sum to"),
        (lambda self, pair: PeerLedger(pair.received_share, pair.received_units + 64), "ledgers disagree"),
    ],
)
def test_a_ledger_kept_wrongly_is_found(monkeypatch, faulty_ledger, message):
    monkeypatch.setattr(QuotaRestore, "ledger_after_peer_restart", faulty_ledger)
    monkeypatch.setattr(QuotaRestore, "accounts_to_report", lambda *a: [])
    monkeypatch.setattr(PeerProtocol, "receive_update", lambda self, peer, number, update: None)
    initial = explore.converged_ring()
    violations = [
        violation
        for path, simulation in explore.walk(initial, 2)
        for violation in explore.violations_after(path, simulation)
    ]
    assert any(message in violation for violation in violations)
