"""Membership on whole decisions in virtual time: failure detection, and no quota share spent twice."""

import random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.decisions.actions import SendToPeer
from corkdeal.decisions.events import PeerMessage
from corkdeal.decisions.gateway import Gateway
from corkdeal.decisions.incarnations import is_later
from corkdeal.membership import messages
from corkdeal.membership.failure_detector import MIN_DEAD_SILENCE, FailureDetector, MemberState
from corkdeal.membership.leases import KEPT_FRACTION, LEASE_TIME, TAKEOVER_TIME, Leases, TakeoverRequest
from corkdeal.membership.members import MAX_ROUND_INTERVAL, Members
from corkdeal.membership.messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag
from corkdeal.net.membership import Membership
from corkdeal.recovery.quota_restore import QuotaRestore
from corkdeal.recovery.resume import resume_after_stall
from tests.helpers import PLAN, Ring, pick, servers, settings


class Tier(Ring):
    """Gateways with membership, all in the ring of one customer."""

    def __init__(self, gateways=3):
        self.size = self.spread = gateways
        super().__init__(gateways)

    def start(self, me, gateways=None):
        made = Gateway(settings(me, self.size, plans=(PLAN,)), seed=me)
        made.quota_restore, made.membership = QuotaRestore(made), Members(made, is_later)
        self.gateways[me] = made
        self.take(me, made.handle(self.now, [servers("a", "b", "c")]))

    def ask(self, me):
        return 0.2

    def go(self, seconds):
        """Let time pass; return the largest total of the quota shares that could be spent at any one time."""
        most = 0.0
        for _ in range(round(seconds / 0.05)):
            self.run(0.05, lambda me: 0.2)
            most = max(most, sum(self.spent().values()))
        return most

    def spent(self):
        return {me: g.quota_share(g.accounts[7]) for me, g in self.gateways.items() if 7 in g.accounts}

    def cut(self, *pairs):
        self.lost = lambda sender, to, number: (sender, to) in pairs

    def seen(self, by, member):
        return self.gateways[by].membership.detector.members[member].state


def both(ones, others):
    return [(i, j) for i in ones for j in others] + [(j, i) for i in ones for j in others]


ALL = range(5)
CUTS = {  # lost links, one way each; fraction of the quota still in use at the end
    "pair, one way": ([(0, 1)], 0.99),
    "pair": (both([0], [1]), 0.99),
    "one received by nobody": ([(0, j) for j in ALL if j], 0.9),
    "one that receives nothing": ([(j, 0) for j in ALL if j], 0.8),
    "one by itself": (both([0], [1, 2, 3, 4]), 0.9),
    "two and three": (both([0, 1], [2, 3, 4]), 0.99),
    "every other one": (both([0, 2], [1, 3, 4]), 0.5),
    "a ring of one-way cuts": ([(0, 1), (1, 2), (2, 3), (3, 4), (4, 0)], 0.99),
}


@pytest.mark.parametrize("kind", CUTS)
@pytest.mark.parametrize("loss", [0.0, 0.12])
def test_no_part_of_the_quota_is_spent_twice_in_a_cut_or_its_healing_and_most_stays_in_use(kind, loss):
    tier, (cut, least), chance = Tier(5), CUTS[kind], random.Random(5)
    tier.lost = lambda *a: chance.random() < loss
    tier.run(4.0, tier.ask)
    tier.lost = lambda sender, to, number: (sender, to) in cut or chance.random() < loss
    most = tier.go(14.0)
    assert sum(tier.spent().values()) >= least - (loss > 0) * 0.25
    tier.lost = lambda *a: chance.random() < loss
    most = max(most, tier.go(8.0))
    assert most <= 1.0 + 0.05  # the two ends of an exchange may differ for as long as a message travels
    assert sum(tier.spent().values()) == pytest.approx(1.0, abs=0.25 if loss else 0.01)
    assert not any(g.membership.takeover.members for g in tier.gateways.values())


def test_a_dead_one_s_slice_is_in_use_again_and_its_own_once_it_is_back():
    tier = Tier(5)
    tier.run(4.0, tier.ask)
    del tier.gateways[2]
    tier.run(MIN_DEAD_SILENCE + 2 * MAX_ROUND_INTERVAL + 1.0, tier.ask)
    assert sum(tier.spent().values()) == pytest.approx(1 - KEPT_FRACTION / 5, abs=0.02)
    assert all(tier.seen(by, 2) == MemberState.DEAD for by in tier.gateways)
    tier.start(2)
    assert tier.go(2.0) <= 1.02 and all(tier.seen(by, 2) == MemberState.ALIVE for by in (0, 1, 3, 4))
    assert sum(tier.spent().values()) == pytest.approx(1.0, abs=0.01)


def test_one_that_leaves_is_not_waited_for_and_does_not_rise():
    tier = Tier(5)
    tier.run(4.0, tier.ask)
    gone = tier.gateways.pop(2)
    gone.actions = []
    gone.membership.leave()
    tier.take(2, gone.actions)
    tier.run(2 * MAX_ROUND_INTERVAL + 0.1, tier.ask)
    assert all(tier.seen(by, 2) == MemberState.LEFT for by in tier.gateways)
    assert sum(tier.spent().values()) == pytest.approx(1 - KEPT_FRACTION / 5, abs=0.02)
    late = GossipEntry(
        GossipKind.ALIVE_UPDATE, 2, gone.incarnation, messages.next_sequence(gone.membership.sender.sequence)
    )
    assert (
        not tier.gateways[0].membership.detector.record_gossip(tier.now, late)
        and tier.seen(0, 2) == MemberState.LEFT
    )


def test_four_of_five_dead_leave_the_fifth_its_kept_part_and_two_in_company_their_own():
    tier = Tier(5)
    tier.run(4.0, tier.ask)
    for me in (1, 2, 3, 4):
        del tier.gateways[me]
    tier.run(4.0, tier.ask)
    assert tier.spent()[0] == pytest.approx(KEPT_FRACTION / 5, abs=0.01)
    tier.start(2)  # not a ring neighbour of gateway 0
    tier.run(7.0, tier.ask)
    assert tier.spent()[0] == pytest.approx(1 / 5, abs=0.01)


@pytest.mark.parametrize("pause", [0.8, 2.2, 6.0])
def test_an_observer_that_stood_still_accuses_nobody_and_spends_nothing_on_an_old_lease(pause):
    tier = Tier(5)
    tier.run(4.0, tier.ask)
    still = tier.gateways.pop(0)
    most = tier.go(pause)
    tier.flight = [m for m in tier.flight if m[2]]
    resume_after_stall(still, tier.now, pause)
    share = still.quota_share(still.accounts[7])
    assert pause < LEASE_TIME or share == pytest.approx(KEPT_FRACTION / 5, abs=0.01)
    tier.gateways[0] = still
    still.membership.step()
    assert {m.state for m in still.membership.detector.members.values()} == {MemberState.ALIVE}
    assert max(most, tier.go(3.0)) <= 1.02
    assert sum(tier.spent().values()) == pytest.approx(1.0, abs=0.01)


def test_one_that_lies_about_all_others_moves_no_slice_and_who_hears_them_believes_themselves():
    tier = Tier(5)
    tier.run(4.0, tier.ask)
    liar, most = tier.gateways[4], 0.0
    lies = (
        (GossipKind.LEFT, 0, 9),
        (GossipKind.ALIVE_UPDATE, 0, 30000),
        (GossipKind.ALIVE_UPDATE, 5000, 1),
        (GossipKind.LEASE_GRANT, 0, 1),
        (GossipKind.LEASE_REQUEST, 0, 1),
    )
    for kind, later_by, ahead in lies * 4:
        rows = tuple(
            GossipEntry(kind, m, g.incarnation + later_by, (g.membership.sender.sequence + ahead) % 65535 + 1)
            for m, g in tier.gateways.items()
            if m != 4
        )
        for to in range(4):
            lie = Heartbeat(
                liar.incarnation,
                tier.gateways[to].incarnation,
                liar.membership.sender.sequence,
                0,
                0,
                HeartbeatFlag(0),
                rows,
            )
            tier.flight.append((tier.now, 4, to, messages.pack(lie)))
        most = max(most, tier.go(0.5))
    assert most <= 1.02 and not any(g.membership.takeover.members for g in tier.gateways.values())
    assert {tier.seen(i, j) for i, j in both([1], [0, 2]) + both([2], [1, 3])} == {
        MemberState.ALIVE
    }  # ring neighbours
    assert sum(tier.spent().values()) == pytest.approx(1.0, abs=0.01)


def test_a_program_before_this_is_heard_as_it_was_and_nothing_of_it_is_taken():
    tier = Tier(3)
    tier.gateways[1].membership = None
    tier.run(4.0, tier.ask)
    assert sum(tier.spent().values()) == pytest.approx(1.0, abs=0.01)
    del tier.gateways[1]
    tier.run(6.0, tier.ask)
    assert not tier.gateways[2].membership.takeover.members


def test_silences_go_by_how_often_news_came_and_one_silence_among_several_is_not_its_own():
    detector = FailureDetector(is_later, 5)
    for beat in range(1, 41):
        for member in (1, 2):
            detector.record_gossip(beat * member / 2, GossipEntry(GossipKind.ALIVE_UPDATE, member, 9, beat))
    for member, after, state in (
        (1, 1.4, MemberState.SUSPECT),
        (2, 1.4, MemberState.ALIVE),
        (1, 2.8, MemberState.DEAD),
        (2, 2.8, MemberState.SUSPECT),
    ):
        # updates of member 1 arrived twice a second, those of member 2 once
        detector.update(detector.members[member].updated_at + after)
        assert detector.members[member].state == state
    assert detector.has_isolated_silence(1, 44.0)  # member 2 fell silent 20 s after it
    detector.members[2].updated_at = detector.members[1].updated_at + 4.0
    assert not detector.has_isolated_silence(1, 44.0) and not detector.has_isolated_silence(2, 44.0)
    detector.record_gossip(51.0, GossipEntry(GossipKind.LEFT, 2, 9, 41))
    assert not detector.record_gossip(
        52.0, GossipEntry(GossipKind.ALIVE_UPDATE, 2, 9, 42)
    ) and detector.record_gossip(52.0, GossipEntry(GossipKind.ALIVE_UPDATE, 2, 10, 1))


def test_a_lease_counts_from_when_the_beat_was_sent_and_a_grant_keeps_from_confirming():
    owner, taker, other = Leases(), Leases(), Leases()
    for each in (owner, taker, other):
        each.record_sent(100.0, 1)
    other.record_renewal(0, 1, 100.2)
    assert owner.renewed_until(2, 1) == 100.0 + LEASE_TIME and owner.renewed_until(2, 7) is None
    assert not other.try_grant(0, 100.2 + TAKEOVER_TIME - 0.01) and other.try_grant(0, 100.2 + TAKEOVER_TIME)
    other.acknowledged_sent_at[0] = 1e9  # member 0 receives this gateway's heartbeats
    assert not other.may_renew(0, 100.2 + 2 * TAKEOVER_TIME - 0.01) and other.may_renew(
        0, 100.2 + 2 * TAKEOVER_TIME
    )
    for number in range(2, 400):  # many replies do not evict a heartbeat that a lease may still count from
        owner.record_sent(100.5, number)
    assert owner.renewed_until(2, 1) == 100.0 + LEASE_TIME
    owner.record_sent(100.0 + LEASE_TIME + TAKEOVER_TIME + 0.1, 400)
    assert owner.renewed_until(2, 1) is None and len(owner.sent_at) == 399
    taker.record_sent(103.0, 2)
    taker.record_grant(TakeoverRequest(1, 0), 2)
    assert taker.grants[TakeoverRequest(1, 0)] == 103.0 + LEASE_TIME


starts, numbers = st.integers(1, 2**32 - 1), st.integers(1, 65535)
rows = st.builds(GossipEntry, st.sampled_from(GossipKind), st.integers(0, 4), starts, numbers)
words = st.builds(
    Heartbeat,
    starts,
    st.just(0) | starts,
    numbers,
    st.just(0) | numbers,
    st.just(0) | numbers,
    st.integers(0, 3).map(HeartbeatFlag),
    st.lists(rows, max_size=messages.MAX_ENTRIES).map(tuple),
)


@given(words)
def test_a_beat_comes_over_as_it_was_packed_within_a_datagram(beat):
    payload = messages.pack(beat)
    assert len(payload) <= 256 and messages.unpack(payload, 1, settings(0, 5)) == beat


@given(st.binary(max_size=300), words)
def test_whatever_comes_costs_one_message_at_most(noise, beat):
    one = Gateway(settings(0, 5), seed=1)
    one.membership = Members(one, is_later)
    one.handle(100.0, [servers("a")])
    for payload in (noise, b"\x05" + noise, messages.pack(beat) + noise[:1]):
        one.handle(101.0, [PeerMessage(1, payload)])
    out = one.handle(101.5, [PeerMessage(1, messages.pack(beat))])
    assert len(pick(out, SendToPeer)) <= 2
    told = [b for m in pick(out, SendToPeer) if (b := messages.unpack(m.payload, 2, one.settings))]
    assert GossipKind.LEASE_REQUEST not in {r.kind for b in told for r in b.entries}


class Loop:
    """A fake reactor that never runs a call."""

    def callLater(self, seconds, what):
        pass


@pytest.mark.parametrize(
    ("succession", "trusts", "leaves"),
    [
        (None, False, True),
        (SimpleNamespace(waits=True, done=False), True, True),
        # its quota shares were handed over to its successor
        (SimpleNamespace(waits=False, done=True), False, False),
    ],
)
def test_beside_another_life_the_leases_are_that_one_s_and_who_handed_on_does_not_leave(
    succession, trusts, leaves
):
    tier = Tier(3)
    tier.run(2.0, tier.ask)
    one, told, ended = tier.gateways[0], [], []
    gateway = SimpleNamespace(decisions=one, succession=succession, before_end=[], now=lambda: tier.now)
    gateway.tell = told.append
    membership = Membership(Loop(), gateway)
    membership.start()
    assert one.membership.shares.has_delegated_share is trusts and gateway.before_end == [membership]
    assert not trusts or one.membership.shares.own_fraction(one.accounts[7]) == 1.0
    membership.stop(lambda: ended.append(True))
    flags = {messages.unpack(a.payload, 0, settings(1, 3)).flags & HeartbeatFlag.LEAVING for a in told}
    assert ended and flags == ({HeartbeatFlag.LEAVING} if leaves else set())
