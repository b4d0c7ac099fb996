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
from corkdeal.membership.messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag
from corkdeal.membership.protocol import MAX_ROUND_INTERVAL, MembershipProtocol
from corkdeal.net.membership import MembershipService
from corkdeal.recovery.quota_restore import QuotaRestore
from corkdeal.recovery.resume import resume_after_stall
from tests.helpers import PLAN, FakeTier, pick, servers, settings


class Tier(FakeTier):
    """Gateways with membership, all in the ring of one customer."""

    def __init__(self, gateways=3):
        self.size = self.spread = gateways
        super().__init__(gateways)

    def start(self, index, gateways=None):
        gateway = Gateway(settings(index, self.size, plans=(PLAN,)), seed=index)
        gateway.quota_restore, gateway.membership = (
            QuotaRestore(gateway),
            MembershipProtocol(gateway, is_later),
        )
        self.gateways[index] = gateway
        self.process_actions(index, gateway.handle(self.now, [servers("a", "b", "c")]))

    def offered_units(self, index):
        return 0.2

    def run_and_track(self, seconds):
        """Let time pass; return the largest total of the quota shares that could be spent at any one time."""
        max_total = 0.0
        for _ in range(round(seconds / 0.05)):
            self.run(0.05, lambda index: 0.2)
            max_total = max(max_total, sum(self.quota_shares().values()))
        return max_total

    def quota_shares(self):
        return {
            index: gateway.quota_share(gateway.accounts[7])
            for index, gateway in self.gateways.items()
            if 7 in gateway.accounts
        }

    def drop_links(self, *links):
        self.lost = lambda sender, to, number: (sender, to) in links

    def member_state(self, observer, member):
        return self.gateways[observer].membership.detector.members[member].state


def two_way_links(first, second):
    return [(i, j) for i in first for j in second] + [(j, i) for i in first for j in second]


ALL_GATEWAYS = range(5)
PARTITIONS = {  # lost links, one way each; fraction of the quota still in use at the end
    "pair, one way": ([(0, 1)], 0.99),
    "pair": (two_way_links([0], [1]), 0.99),
    "one received by nobody": ([(0, j) for j in ALL_GATEWAYS if j], 0.9),
    "one that receives nothing": ([(j, 0) for j in ALL_GATEWAYS if j], 0.8),
    "one by itself": (two_way_links([0], [1, 2, 3, 4]), 0.9),
    "two and three": (two_way_links([0, 1], [2, 3, 4]), 0.99),
    "every other one": (two_way_links([0, 2], [1, 3, 4]), 0.5),
    "a ring of one-way cuts": ([(0, 1), (1, 2), (2, 3), (3, 4), (4, 0)], 0.99),
}


@pytest.mark.parametrize("partition", PARTITIONS)
@pytest.mark.parametrize("loss", [0.0, 0.12])
def test_no_part_of_the_quota_is_spent_twice_in_a_partition_or_after_it_and_most_stays_in_use(
    partition, loss
):
    tier, (lost_links, min_in_use), rng = Tier(5), PARTITIONS[partition], random.Random(5)
    tier.lost = lambda *a: rng.random() < loss
    tier.run(4.0, tier.offered_units)
    tier.lost = lambda sender, to, number: (sender, to) in lost_links or rng.random() < loss
    max_total = tier.run_and_track(14.0)
    assert sum(tier.quota_shares().values()) >= min_in_use - (loss > 0) * 0.25
    tier.lost = lambda *a: rng.random() < loss
    max_total = max(max_total, tier.run_and_track(8.0))
    assert max_total <= 1.0 + 0.05  # the two ends of an exchange may differ for as long as a message travels
    assert sum(tier.quota_shares().values()) == pytest.approx(1.0, abs=0.25 if loss else 0.01)
    assert not any(gateway.membership.takeover.members for gateway in tier.gateways.values())


def test_a_dead_member_s_share_is_taken_over_and_returned_after_its_restart():
    tier = Tier(5)
    tier.run(4.0, tier.offered_units)
    del tier.gateways[2]
    tier.run(MIN_DEAD_SILENCE + 2 * MAX_ROUND_INTERVAL + 1.0, tier.offered_units)
    assert sum(tier.quota_shares().values()) == pytest.approx(1 - KEPT_FRACTION / 5, abs=0.02)
    assert all(tier.member_state(observer, 2) == MemberState.DEAD for observer in tier.gateways)
    tier.start(2)
    assert tier.run_and_track(2.0) <= 1.02 and all(
        tier.member_state(observer, 2) == MemberState.ALIVE for observer in (0, 1, 3, 4)
    )
    assert sum(tier.quota_shares().values()) == pytest.approx(1.0, abs=0.01)


def test_the_share_of_a_leaving_member_is_taken_over_at_once_and_gossip_does_not_revive_it():
    tier = Tier(5)
    tier.run(4.0, tier.offered_units)
    leaving = tier.gateways.pop(2)
    leaving.actions = []
    leaving.membership.leave()
    tier.process_actions(2, leaving.actions)
    tier.run(2 * MAX_ROUND_INTERVAL + 0.1, tier.offered_units)
    assert all(tier.member_state(observer, 2) == MemberState.LEFT for observer in tier.gateways)
    assert sum(tier.quota_shares().values()) == pytest.approx(1 - KEPT_FRACTION / 5, abs=0.02)
    late_update = GossipEntry(
        GossipKind.ALIVE_UPDATE,
        2,
        leaving.incarnation,
        messages.next_sequence(leaving.membership.sender.sequence),
    )
    assert (
        not tier.gateways[0].membership.detector.record_gossip(tier.now, late_update)
        and tier.member_state(0, 2) == MemberState.LEFT
    )


def test_a_sole_survivor_keeps_a_part_of_its_share_and_one_of_two_survivors_all_of_it():
    tier = Tier(5)
    tier.run(4.0, tier.offered_units)
    for index in (1, 2, 3, 4):
        del tier.gateways[index]
    tier.run(4.0, tier.offered_units)
    assert tier.quota_shares()[0] == pytest.approx(KEPT_FRACTION / 5, abs=0.01)
    tier.start(2)  # not a ring neighbour of gateway 0
    tier.run(7.0, tier.offered_units)
    assert tier.quota_shares()[0] == pytest.approx(1 / 5, abs=0.01)


@pytest.mark.parametrize("stall_time", [0.8, 2.2, 6.0])
def test_a_stalled_gateway_suspects_nobody_and_spends_nothing_on_an_expired_lease(stall_time):
    tier = Tier(5)
    tier.run(4.0, tier.offered_units)
    stalled = tier.gateways.pop(0)
    max_total = tier.run_and_track(stall_time)
    tier.in_flight = [message for message in tier.in_flight if message[2]]
    resume_after_stall(stalled, tier.now, stall_time)
    share = stalled.quota_share(stalled.accounts[7])
    assert stall_time < LEASE_TIME or share == pytest.approx(KEPT_FRACTION / 5, abs=0.01)
    tier.gateways[0] = stalled
    stalled.membership.step()
    assert {record.state for record in stalled.membership.detector.members.values()} == {MemberState.ALIVE}
    assert max(max_total, tier.run_and_track(3.0)) <= 1.02
    assert sum(tier.quota_shares().values()) == pytest.approx(1.0, abs=0.01)


def test_false_gossip_moves_no_quota_share_and_is_overridden_by_the_members_own_heartbeats():
    tier = Tier(5)
    tier.run(4.0, tier.offered_units)
    faulty, max_total = tier.gateways[4], 0.0
    false_entries = (
        (GossipKind.LEFT, 0, 9),
        (GossipKind.ALIVE_UPDATE, 0, 30000),
        (GossipKind.ALIVE_UPDATE, 5000, 1),
        (GossipKind.LEASE_GRANT, 0, 1),
        (GossipKind.LEASE_REQUEST, 0, 1),
    )
    for kind, incarnation_offset, sequence_offset in false_entries * 4:
        entries = tuple(
            GossipEntry(
                kind,
                member,
                gateway.incarnation + incarnation_offset,
                (gateway.membership.sender.sequence + sequence_offset) % 65535 + 1,
            )
            for member, gateway in tier.gateways.items()
            if member != 4
        )
        for receiver in range(4):
            false_heartbeat = Heartbeat(
                faulty.incarnation,
                tier.gateways[receiver].incarnation,
                faulty.membership.sender.sequence,
                0,
                0,
                HeartbeatFlag(0),
                entries,
            )
            tier.in_flight.append((tier.now, 4, receiver, messages.pack(false_heartbeat)))
        max_total = max(max_total, tier.run_and_track(0.5))
    assert max_total <= 1.02 and not any(
        gateway.membership.takeover.members for gateway in tier.gateways.values()
    )
    # ring neighbours
    assert {tier.member_state(i, j) for i, j in two_way_links([1], [0, 2]) + two_way_links([2], [1, 3])} == {
        MemberState.ALIVE
    }
    assert sum(tier.quota_shares().values()) == pytest.approx(1.0, abs=0.01)


def test_quota_is_exchanged_with_a_gateway_without_membership_whose_share_is_not_taken_over():
    tier = Tier(3)
    tier.gateways[1].membership = None
    tier.run(4.0, tier.offered_units)
    assert sum(tier.quota_shares().values()) == pytest.approx(1.0, abs=0.01)
    del tier.gateways[1]
    tier.run(6.0, tier.offered_units)
    assert not tier.gateways[2].membership.takeover.members


def test_silence_limits_follow_the_update_interval_and_concurrent_silences_are_recognized():
    detector = FailureDetector(is_later, 5)
    for sequence in range(1, 41):
        for member in (1, 2):
            detector.record_gossip(
                sequence * member / 2, GossipEntry(GossipKind.ALIVE_UPDATE, member, 9, sequence)
            )
    for member, silence, state in (
        (1, 1.4, MemberState.SUSPECT),
        (2, 1.4, MemberState.ALIVE),
        (1, 2.8, MemberState.DEAD),
        (2, 2.8, MemberState.SUSPECT),
    ):
        # updates of member 1 arrived twice a second, those of member 2 once
        detector.update(detector.members[member].updated_at + silence)
        assert detector.members[member].state == state
    assert detector.has_isolated_silence(1, 44.0)  # member 2 fell silent 20 s after it
    detector.members[2].updated_at = detector.members[1].updated_at + 4.0
    assert not detector.has_isolated_silence(1, 44.0) and not detector.has_isolated_silence(2, 44.0)
    detector.record_gossip(51.0, GossipEntry(GossipKind.LEFT, 2, 9, 41))
    assert not detector.record_gossip(
        52.0, GossipEntry(GossipKind.ALIVE_UPDATE, 2, 9, 42)
    ) and detector.record_gossip(52.0, GossipEntry(GossipKind.ALIVE_UPDATE, 2, 10, 1))


def test_a_lease_counts_from_the_send_time_of_the_heartbeat_and_a_grant_prevents_renewal():
    owner, taker, other = Leases(), Leases(), Leases()
    for leases in (owner, taker, other):
        leases.record_sent(100.0, 1)
    other.record_renewal(0, 1, 100.2)
    assert owner.renewed_until(2, 1) == 100.0 + LEASE_TIME and owner.renewed_until(2, 7) is None
    assert not other.try_grant(0, 100.2 + TAKEOVER_TIME - 0.01) and other.try_grant(0, 100.2 + TAKEOVER_TIME)
    other.acknowledged_sent_at[0] = 1e9  # member 0 receives this gateway's heartbeats
    assert not other.may_renew(0, 100.2 + 2 * TAKEOVER_TIME - 0.01) and other.may_renew(
        0, 100.2 + 2 * TAKEOVER_TIME
    )
    for sequence in range(2, 400):  # many replies do not evict a heartbeat that a lease may still count from
        owner.record_sent(100.5, sequence)
    assert owner.renewed_until(2, 1) == 100.0 + LEASE_TIME
    owner.record_sent(100.0 + LEASE_TIME + TAKEOVER_TIME + 0.1, 400)
    assert owner.renewed_until(2, 1) is None and len(owner.sent_at) == 399
    taker.record_sent(103.0, 2)
    taker.record_grant(TakeoverRequest(1, 0), 2)
    assert taker.grants[TakeoverRequest(1, 0)] == 103.0 + LEASE_TIME


incarnations, sequences = st.integers(1, 2**32 - 1), st.integers(1, 65535)
entries = st.builds(GossipEntry, st.sampled_from(GossipKind), st.integers(0, 4), incarnations, sequences)
words = st.builds(
    Heartbeat,
    incarnations,
    st.just(0) | incarnations,
    sequences,
    st.just(0) | sequences,
    st.just(0) | sequences,
    st.integers(0, 3).map(HeartbeatFlag),
    st.lists(entries, max_size=messages.MAX_ENTRIES).map(tuple),
)


@given(words)
def test_a_beat_comes_over_as_it_was_packed_within_a_datagram(beat):
    payload = messages.pack(beat)
    assert len(payload) <= 256 and messages.unpack(payload, 1, settings(0, 5)) == beat


@given(st.binary(max_size=300), words)
def test_whatever_comes_costs_one_message_at_most(noise, beat):
    one = Gateway(settings(0, 5), seed=1)
    one.membership = MembershipProtocol(one, is_later)
    one.handle(100.0, [servers("a")])
    for payload in (noise, b"\x05" + noise, messages.pack(beat) + noise[:1]):
        one.handle(101.0, [PeerMessage(1, payload)])
    out = one.handle(101.5, [PeerMessage(1, messages.pack(beat))])
    assert len(pick(out, SendToPeer)) <= 2
    told = [b for m in pick(out, SendToPeer) if (b := messages.unpack(m.payload, 2, one.settings))]
    assert GossipKind.LEASE_REQUEST not in {r.kind for b in told for r in b.entries}


class FakeReactor:
    """A fake reactor that never runs a call."""

    def callLater(self, seconds, call):
        pass


@pytest.mark.parametrize(
    ("upgrade_handover", "is_delegated", "announces_leave"),
    [
        (None, False, True),
        (SimpleNamespace(is_awaiting_remainder=True, is_finished=False), True, True),
        # its quota shares were handed over to its successor
        (SimpleNamespace(is_awaiting_remainder=False, is_finished=True), False, False),
    ],
)
def test_beside_another_incarnation_the_share_is_delegated_and_after_a_handover_no_leave_is_announced(
    upgrade_handover, is_delegated, announces_leave
):
    tier = Tier(3)
    tier.run(2.0, tier.offered_units)
    decisions, sent, stopped = tier.gateways[0], [], []
    gateway = SimpleNamespace(
        decisions=decisions,
        upgrade_handover=upgrade_handover,
        shutdown=SimpleNamespace(subsystems_to_stop=[]),
        now=lambda: tier.now,
    )
    gateway.send_to_peer = sent.append
    membership = MembershipService(FakeReactor(), gateway)
    membership.start()
    assert (
        decisions.membership.shares.has_delegated_share is is_delegated
        and gateway.shutdown.subsystems_to_stop == [membership]
    )
    assert not is_delegated or decisions.membership.shares.own_fraction(decisions.accounts[7]) == 1.0
    membership.stop(lambda: stopped.append(True))
    flags = {
        messages.unpack(action.payload, 0, settings(1, 3)).flags & HeartbeatFlag.LEAVING for action in sent
    }
    assert stopped and flags == ({HeartbeatFlag.LEAVING} if announces_leave else set())
