"""Unit tests of the peer message codec: exact bytes, decoded values, and rejected input."""

import math
import struct

import pytest

from corkdeal.decisions import peer_messages
from corkdeal.decisions.peer_messages import AccountUpdate, ExchangeMessage, TotalsMessage, TreeTotals
from tests.helpers import settings

UPDATE = AccountUpdate(
    customer=(3 << 32) + 7,
    plan_index=0,
    first_gateway=0,
    member_count=3,
    share=0.5,
    demand=2.0,
    level=-1.5,
    received_share=-9000,
    received_units=0.25,
)
TOTALS = TreeTotals(
    customer=(3 << 32) + 7, plan_index=0, first_gateway=0, member_count=3, requested=2.125, spent=1.5
)


def test_exchange_messages_are_encoded_and_decoded():
    (payload,) = peer_messages.encode_exchange(11, 12, 13, [UPDATE])
    assert payload.hex() == "030b0000000c0000000d000000" + "0700000003000000030000380040" + "00bed8dc0000803e"
    decoded = peer_messages.decode_exchange(payload, 1, settings(0, 3))
    assert decoded == ExchangeMessage(11, 12, 13, [UPDATE])


def test_totals_messages_are_encoded_and_decoded():
    (payload,) = peer_messages.encode_totals(11, [TOTALS])
    assert payload.hex() == "050b000000" + "070000000300000003001100" + "0c00"
    assert peer_messages.decode_totals(payload, 1, settings(0, 3)) == TotalsMessage(11, [TOTALS])


def test_totals_wrap():
    wrapped = TreeTotals(7, 0, 0, 3, requested=peer_messages.TOTALS_WRAP + 1.0, spent=-1.0)
    (payload,) = peer_messages.encode_totals(11, [wrapped])
    (entry,) = peer_messages.decode_totals(payload, 1, settings(0, 3)).totals
    assert (entry.requested, entry.spent) == (1.0, peer_messages.TOTALS_WRAP - 1.0)


def test_values_are_limited_to_what_a_row_takes():
    extreme = AccountUpdate(7, 0, 0, 3, 1.0, 1e9, -1e9, 10**6, 0.0)
    (payload,) = peer_messages.encode_exchange(1, 2, 3, [extreme])
    (update,) = peer_messages.decode_exchange(payload, 1, settings(0, 3)).updates
    limits = (peer_messages.HALF_FLOAT_LIMIT, -peer_messages.HALF_FLOAT_LIMIT)
    assert (update.demand, update.level) == pytest.approx(limits, rel=1e-3)
    assert update.received_share == peer_messages.SHARE_STEPS_LIMIT


def test_many_rows_are_divided_among_datagrams():
    assert [len(p) for p in peer_messages.encode_exchange(1, 2, 3, [])] == [
        peer_messages.EXCHANGE_HEADER.size
    ]
    assert peer_messages.encode_totals(1, []) == []
    updates = [UPDATE] * (2 * peer_messages.EXCHANGE_ROWS + 1)
    payloads = peer_messages.encode_exchange(1, 2, 3, updates)
    assert len(payloads) == 3 and max(map(len, payloads)) <= peer_messages.MESSAGE_BYTES
    totals = [TOTALS] * (peer_messages.TOTALS_ROWS + 1)
    payloads = peer_messages.encode_totals(1, totals)
    assert len(payloads) == 2 and max(map(len, payloads)) <= peer_messages.MESSAGE_BYTES


@pytest.mark.parametrize("number", [math.nan, math.inf])
def test_a_number_that_is_not_finite_rules_out_the_message(number):
    header = peer_messages.EXCHANGE_HEADER.pack(peer_messages.EXCHANGE_VERSION, 1, 2, 3)
    row = struct.pack("<IBBHHeeehf", 7, 0, 0, 0, 3, 0.5, number, 1.0, 0, 0.0)
    assert peer_messages.decode_exchange(header + row, 1, settings(0, 3)) is None


def test_rows_that_the_settings_rule_out_are_left_out():
    foreign = AccountUpdate(8, 0, 1, 2, 0.5, 2.0, 1.0, 0, 0.0)  # gateway 0 is not a member
    (payload,) = peer_messages.encode_exchange(1, 2, 3, [foreign, UPDATE])
    assert peer_messages.decode_exchange(payload, 1, settings(0, 3)).updates == [UPDATE]
    (payload,) = peer_messages.encode_totals(1, [TreeTotals(8, 0, 0, 2, 1.0, 1.0)])
    assert peer_messages.decode_totals(payload, 1, settings(7, 8)).totals == []
    (payload,) = peer_messages.encode_totals(1, [TreeTotals(8, 0, 0, 7, 1.0, 1.0)])
    assert len(peer_messages.decode_totals(payload, 1, settings(7, 8)).totals) == 1  # whole tier's tree


@pytest.mark.parametrize("peer", [-1, 0, 3])
def test_messages_of_no_peer_are_rejected(peer):
    (exchange,) = peer_messages.encode_exchange(1, 2, 3, [UPDATE])
    (totals,) = peer_messages.encode_totals(1, [TOTALS])
    assert peer_messages.decode_exchange(exchange, peer, settings(0, 3)) is None
    assert peer_messages.decode_totals(totals, peer, settings(0, 3)) is None
