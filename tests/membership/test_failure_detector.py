"""Unit tests of the failure detector: timed updates in, states and gossip out."""

import math
import random

import pytest

from corkdeal.decisions.incarnations import is_later
from corkdeal.membership.failure_detector import (
    MAX_FULL_GOSSIP_SIZE,
    FailureDetector,
    MemberState,
    StateChange,
)
from corkdeal.membership.messages import GossipEntry, GossipKind


def update(member, sequence, kind=GossipKind.ALIVE_UPDATE, incarnation=9):
    return GossipEntry(kind, member, incarnation, sequence)


def make_detector(size=5, until=40):
    """Return a detector that received an update of member 1 every quarter of a second, the last one at 0."""
    detector = FailureDetector(is_later, size)
    for sequence in range(1, until + 1):
        detector.record_gossip((sequence - until) / 4, update(1, sequence))
    return detector


def test_a_silent_member_is_suspected_then_dead_and_alive_with_its_next_update():
    detector = make_detector()
    for now in (0.1, 1.4, 2.8):
        detector.update(now)
    detector.record_gossip(3.0, update(1, 41))
    states = [(change.previous, change.state) for change in detector.take_changes()]
    assert states == [
        (MemberState.ALIVE, MemberState.SUSPECT),
        (MemberState.SUSPECT, MemberState.DEAD),
        (MemberState.DEAD, MemberState.ALIVE),
    ]
    assert detector.take_changes() == []
    # the interval that raised suspicion is not averaged
    assert detector.members[1].interval == pytest.approx(0.25)


def test_states_have_the_names_of_the_log_event():
    assert [str(state) for state in MemberState] == ["alive", "suspect", "gone", "left"]


def test_an_older_sequence_number_or_incarnation_tells_nothing_new():
    detector = make_detector()
    assert not detector.record_gossip(1.0, update(1, 40)) and not detector.record_gossip(
        1.0, update(1, 41, incarnation=8)
    )
    assert detector.silence(1, 1.0) == 1.0 and detector.silence(2, 1.0) == math.inf
    assert detector.record_gossip(1.0, update(1, 1, incarnation=10)) and detector.silence(1, 1.0) == 0.0


@pytest.mark.parametrize(
    "false_gossip",
    [update(1, 30_000), update(1, 7, incarnation=5_000), update(1, 41, GossipKind.LEFT)],
)
def test_a_member_s_own_heartbeat_overrides_what_others_gossip(false_gossip):
    detector = make_detector()
    assert detector.record_gossip(0.1, false_gossip)
    detector.record_heartbeat(0.2, update(1, 42))
    assert detector.members[1].state is MemberState.ALIVE
    assert (detector.members[1].incarnation, detector.members[1].sequence) == (9, 42)


def test_an_announced_leave_is_final_for_that_incarnation():
    detector = make_detector()
    detector.record_heartbeat(0.1, update(1, 41, GossipKind.LEFT))
    detector.record_heartbeat(0.2, update(1, 42))
    assert detector.is_dead_or_left(1) and detector.members[1].has_announced_leave
    assert detector.take_changes() == [
        StateChange(1, MemberState.LEFT, MemberState.ALIVE, "announced its shutdown")
    ]
    detector.record_heartbeat(0.3, update(1, 1, incarnation=10))
    assert not detector.is_dead_or_left(1) and not detector.members[1].has_announced_leave


def test_a_stall_of_this_process_raises_no_suspicion():
    detector = make_detector()
    detector.update(1.4)
    detector.resume(9.0)
    detector.update(9.5)
    assert detector.members[1].state is MemberState.ALIVE and detector.silence(1, 9.5) == 0.5


def test_gossip_leaves_out_the_receiver_and_the_dead_and_draws_at_most_the_limit():
    detector = make_detector()
    for member in (2, 3, 4):
        detector.record_gossip(2.7, update(member, 1))
    detector.record_gossip(2.8, update(4, 2, GossipKind.LEFT))
    detector.update(2.9)
    detector.update(2.9)
    assert detector.members[1].state is MemberState.DEAD
    entries = detector.gossip(3, 9, random.Random(1))
    assert entries == [update(2, 1), update(4, 2, GossipKind.LEFT)]
    assert len(detector.gossip(3, 1, random.Random(1))) == 1


def test_in_a_tier_too_large_for_full_gossip_more_silence_is_needed():
    small, large = make_detector(), make_detector(MAX_FULL_GOSSIP_SIZE + 1)
    for detector in (small, large):
        detector.update(3.0)
    assert small.members[1].state is MemberState.DEAD and large.members[1].state is MemberState.ALIVE
    assert large.initial_interval > small.initial_interval
