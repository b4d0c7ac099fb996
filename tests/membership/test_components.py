"""Unit tests of takeover, quota shares, heartbeat sender and receiver, each on a fake host."""

import random

import pytest

from corkdeal.decisions.incarnations import is_later
from corkdeal.membership import messages
from corkdeal.membership.events import LeaseLost, LeaseRegained, SharesReturned, SharesTakenOver
from corkdeal.membership.failure_detector import FailureDetector, MemberState, StateChange
from corkdeal.membership.heartbeat_receiver import HeartbeatReceiver
from corkdeal.membership.heartbeat_sender import REPLY_INTERVAL, HeartbeatSender
from corkdeal.membership.leases import KEPT_FRACTION, LEASE_TIME, TAKEOVER_TIME, Leases, TakeoverRequest
from corkdeal.membership.messages import GossipEntry, GossipKind, Heartbeat, HeartbeatFlag
from corkdeal.membership.protocol import MAX_ROUND_INTERVAL, MembershipProtocol
from corkdeal.membership.quota_shares import QuotaShares
from corkdeal.membership.takeover import REQUEST_INTERVAL, Takeover
from corkdeal.net.membership import log_fields
from tests.helpers import settings

from .fake_host import FakeHost


class Components:
    """All components of membership on one host, connected to each other."""

    def __init__(self, host=None):
        self.host = host or FakeHost()
        self.events = []
        self.detector = FailureDetector(is_later, self.host.settings.gateway_count)
        self.leases = Leases()
        self.takeover = Takeover(self.host, self.detector, self.leases, self.events)
        self.shares = QuotaShares(self.host, self.detector, self.leases, self.takeover, self.events)
        self.sender = HeartbeatSender(self.host, self.detector, self.leases, self.takeover, random.Random(1))
        self.receiver = HeartbeatReceiver(self.host, self.detector, self.leases, self.takeover, self.sender)
        self.sender.advance()

    def declare_dead(self, member, at=100.0):
        """Have a member declared dead, with its last update at that time and its lease lapsed."""
        incarnation = self.host.peer_incarnations[member]
        self.detector.record_gossip(at, GossipEntry(GossipKind.ALIVE_UPDATE, member, incarnation, 1))
        self.host.now = at + 9.0
        self.detector.record_gossip(self.host.now, GossipEntry(GossipKind.ALIVE_UPDATE, 2 - member, 12, 1))
        self.detector.update(self.host.now)

    def sent(self):
        """Return the heartbeats sent since the last call, with their receivers."""
        index = self.host.settings.gateway_index
        unpacked = [
            (action.peer, messages.unpack(action.payload, index, settings(action.peer, 3)))
            for action in self.host.actions
        ]
        self.host.actions = []
        return unpacked


def heartbeat(*entries, sequence=1, receiver=77, received=0, renewed=0, flags=0, incarnation=10):
    return Heartbeat(incarnation, receiver, sequence, received, renewed, HeartbeatFlag(flags), entries)


def test_a_dead_member_s_shares_are_taken_over_requested_and_returned():
    components = Components()
    components.declare_dead(0)
    assert components.takeover.update() == [TakeoverRequest(2, 0)]
    assert components.takeover.members == {0} and components.host.refill_times == [109.0]
    assert components.takeover.update() == []  # the request is not due again
    components.host.now += REQUEST_INTERVAL
    assert components.takeover.update() == [TakeoverRequest(2, 0)]
    components.takeover.release(0)
    components.takeover.release(0)
    assert components.events == [SharesTakenOver(0), SharesReturned(0)] and not components.takeover.members


def test_nothing_is_taken_over_from_one_of_several_silent_members_or_in_a_tier_of_two():
    components = Components()
    components.declare_dead(0)
    components.detector.members[2].updated_at = 100.0
    components.detector.update(components.host.now)
    assert components.takeover.update() == [] and not components.takeover.members
    pair = Components(FakeHost(gateway_count=2))
    pair.declare_dead(0)
    assert not pair.takeover.is_enabled and pair.takeover.update() == [] and not pair.takeover.members


def test_a_taken_share_is_spent_only_with_permission_of_its_other_neighbour():
    components = Components()
    components.declare_dead(0)
    components.takeover.update()
    account = components.host.account
    assert components.shares.taken_over_fraction(account, 0) == 0.0
    components.sender.advance()
    components.leases.record_grant(TakeoverRequest(2, 0), components.sender.sequence)
    assert components.shares.taken_over_fraction(account, 0) == 1 - KEPT_FRACTION
    assert components.shares.taken_over_fraction(account, 2) == 0.0
    components.host.now += LEASE_TIME
    assert components.shares.taken_over_fraction(account, 0) == 0.0
    account.ledgers[0].peer_share = 0.5
    components.detector.members[0].has_announced_leave = True
    own = KEPT_FRACTION / 3
    assert components.shares.quota_share(account) == pytest.approx(own + (1 - KEPT_FRACTION) * 0.5)


def test_without_a_lease_a_quarter_of_the_own_share_remains_and_the_log_has_both_changes():
    components = Components()
    components.host.silent_peers = {0, 2}
    components.leases.held_until[2] = 102.0
    for now in (100.0, 101.0, 102.0, 103.0):
        components.host.now = now
        components.shares.report_changes()
    assert components.shares.own_fraction(components.host.account) == KEPT_FRACTION
    components.leases.held_until[0] = 109.0
    components.shares.report_changes()
    assert (
        components.events == [LeaseLost((0, 2)), LeaseRegained((0, 2))]
        and components.shares.lease_losses == 1
    )


def test_a_share_is_exclusive_where_another_holds_the_leases_or_a_neighbour_has_no_membership():
    components = Components()
    account = components.host.account
    assert components.shares.is_exclusive(account)  # both neighbours send messages, but no heartbeats
    components.host.silent_peers = {0, 2}
    assert not components.shares.is_exclusive(account)
    components.shares.has_delegated_share = True
    assert components.shares.is_exclusive(account)


def test_with_both_neighbours_down_a_lease_by_anybody_else_shows_that_this_is_no_partition():
    components = Components(FakeHost(gateway_count=5))
    components.host.silent_peers = {0, 2}
    components.host.now = 120.0
    assert not components.shares.is_exclusive(components.host.account)
    components.leases.held_until[4] = 121.0
    assert components.shares.is_exclusive(components.host.account)
    components.detector.record_gossip(119.0, GossipEntry(GossipKind.ALIVE_UPDATE, 2, 12, 1))
    assert not components.shares.is_exclusive(components.host.account)


def test_a_heartbeat_renews_a_lease_once_and_returns_the_member_s_shares_before():
    components = Components()
    components.takeover.members.add(0)
    components.sender.received_sequences[0] = 5
    components.sender.send(0)
    components.host.now += 1.0
    components.sender.send(0)
    assert [h.renewed_sequence for _, h in components.sent()] == [5, 5]
    assert components.events == [SharesReturned(0)] and components.leases.renewed_at[0] == 100.0
    components.leases.granted_at[0] = 101.0
    components.sender.send(0)
    assert [h.renewed_sequence for _, h in components.sent()] == [0]


def test_flags_request_a_reply_while_no_lease_is_held_and_announce_the_leave():
    components = Components()
    components.sender.send(0)
    components.leases.held_until[0] = 109.0
    components.sender.send(0)
    components.sender.has_left = True
    components.sender.send(0)
    expected = [HeartbeatFlag.REPLY_REQUESTED, HeartbeatFlag(0), HeartbeatFlag.LEAVING]
    assert [h.flags for _, h in components.sent()] == expected


def test_nothing_is_sent_where_messages_to_peers_are_off():
    host = FakeHost()
    host.settings = settings(1, 3, may_message_peers=False)
    components = Components(host)
    components.sender.send(0)
    assert components.host.actions == []


def test_the_first_sequence_number_follows_the_clock_and_each_advance_adds_one():
    sender = Components().sender
    first = sender.sequence
    sender.advance()
    assert (first, sender.sequence) == (1001, 1002)


def test_a_received_renewal_prolongs_the_lease_and_refills_the_buckets_once():
    components = Components()
    renewal = heartbeat(received=1001, renewed=1001)
    components.receiver.receive(0, renewal)
    components.receiver.receive(0, renewal)
    assert components.leases.held_until == {0: 100.0 + LEASE_TIME} and components.host.refill_times == [100.0]
    assert components.leases.acknowledged_sent_at == {0: 100.0} and components.sender.received_sequences == {
        0: 1
    }


def test_what_was_for_an_earlier_incarnation_of_this_gateway_renews_and_grants_nothing():
    components = Components()
    entry = GossipEntry(GossipKind.LEASE_GRANT, 2, 12, 1001)
    components.receiver.receive(0, heartbeat(entry, receiver=76, received=1001, renewed=1001))
    assert (
        not components.leases.held_until
        and not components.leases.grants
        and not components.leases.acknowledged_sent_at
    )
    components.receiver.receive(0, heartbeat(entry, sequence=2))
    assert components.leases.grants == {TakeoverRequest(0, 2): 100.0 + LEASE_TIME}


@pytest.mark.parametrize(("wait", "kinds"), [(0.0, []), (TAKEOVER_TIME, [GossipKind.LEASE_GRANT])])
def test_a_request_is_answered_at_once_and_granted_only_for_a_lapsed_lease(wait, kinds):
    components = Components()
    components.host.now += wait
    components.receiver.receive(0, heartbeat(GossipEntry(GossipKind.LEASE_REQUEST, 2, 12, 9)))
    ((receiver, reply),) = components.sent()
    own_entries = [entry for entry in reply.entries if entry.kind is not GossipKind.ALIVE_UPDATE]
    assert receiver == 0 and [entry.kind for entry in own_entries] == kinds
    assert all((entry.member, entry.incarnation, entry.sequence) == (2, 12, 9) for entry in own_entries)


def test_replies_that_nothing_depends_on_are_limited():
    components = Components()
    reply_requested = HeartbeatFlag.REPLY_REQUESTED
    for sequence, wait in ((1, 0.0), (2, 0.1), (3, REPLY_INTERVAL)):
        components.host.now += wait
        components.receiver.receive(0, heartbeat(sequence=sequence, flags=reply_requested))
    assert len(components.sent()) == 2
    components.host.now += REPLY_INTERVAL
    components.receiver.receive(0, heartbeat(sequence=4, flags=reply_requested | HeartbeatFlag.LEAVING))
    assert components.sent() == [] and components.detector.members[0].state is MemberState.LEFT


def test_a_new_incarnation_of_a_member_voids_what_the_earlier_one_sent():
    components = Components()
    components.receiver.receive(0, heartbeat(GossipEntry(GossipKind.LEASE_GRANT, 2, 12, 1001), sequence=9))
    components.receiver.receive(0, heartbeat(sequence=1, incarnation=11))
    assert components.sender.received_sequences == {0: 1} and not components.leases.grants


def test_the_protocol_contacts_ring_neighbours_at_once_and_keeps_its_interval():
    host = FakeHost()
    protocol = MembershipProtocol(host, is_later)
    protocol.step()
    contacted = {action.peer for action in host.actions}
    host.actions = []
    host.now += 0.05
    protocol.step()
    sent_early = list(host.actions)
    host.now += MAX_ROUND_INTERVAL
    protocol.step()
    assert contacted == {0, 2} and not sent_early and {action.peer for action in host.actions} == {0, 2}


def test_the_protocol_hands_each_event_out_once_and_counts_states():
    host = FakeHost()
    protocol = MembershipProtocol(host, is_later)
    protocol.receive(0, heartbeat(flags=HeartbeatFlag.LEAVING))
    protocol.step()
    assert protocol.take_events() == [
        SharesTakenOver(0),
        SharesReturned(0),  # its last heartbeat is renewed once
        StateChange(0, MemberState.LEFT, MemberState.ALIVE, "announced its shutdown"),
    ]
    assert protocol.take_events() == []
    host.now += MAX_ROUND_INTERVAL
    protocol.step()
    assert protocol.take_events() == [SharesTakenOver(0)]
    expected = {"now_members": 1, "now_suspect": 0, "now_gone": 0, "now_taken": 1, "lapses": 0}
    assert protocol.metrics() == expected
    protocol.resume(3.0)
    assert protocol.metrics()["now_taken"] == 0


@pytest.mark.parametrize(
    ("event", "fields"),
    [
        (
            StateChange(3, MemberState.DEAD, MemberState.SUSPECT, "no update for 2.75 s"),
            {
                "what": "member",
                "member": 3,
                "state": "gone",
                "before": "suspect",
                "why": "no update for 2.75 s",
            },
        ),
        (SharesTakenOver(3), {"what": "slices_taken", "member": 3}),
        (SharesReturned(3), {"what": "slices_back", "member": 3}),
        (LeaseLost((1, 2)), {"what": "slices_unsure", "neighbours": "1,2"}),
        (LeaseRegained((1, 2)), {"what": "slices_sure", "neighbours": "1,2"}),
    ],
)
def test_events_are_logged_with_the_documented_fields(event, fields):
    logged = log_fields(event)
    assert logged == fields and list(logged) == list(fields)
    assert all(type(value) in (str, int) for value in logged.values())


@pytest.mark.parametrize("is_accepted", [True, False])
def test_a_payload_is_applied_if_it_is_a_heartbeat_that_the_decisions_accept(is_accepted):
    protocol, accept_calls = MembershipProtocol(FakeHost(), is_later), []

    def accept(*arguments):
        accept_calls.append(arguments)
        return is_accepted

    assert not protocol.receive_payload(b"\x03", 0, accept) and not accept_calls
    assert protocol.receive_payload(messages.pack(heartbeat()), 0, accept)
    assert accept_calls == [(0, 10, 77)] and protocol.sends_heartbeats(0) is is_accepted
