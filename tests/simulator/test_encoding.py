"""Unit tests of encoding: the exact bytes of one record of each action."""

import struct
import typing

import pytest

from corkdeal.decisions import actions
from corkdeal.simulator.encoding import encode_action, encode_decision_error, encode_reply

BACKEND = b"\x0a\x00\x00\x01\x88\x13"
RECORDS = [
    (actions.StartAttempt(77, BACKEND, 0.25), ("<BIQ6sI", 0, 3, 77, BACKEND, 250_000)),
    (actions.Reject(77, 1.5), ("<BIQI", 1, 3, 77, 1_500_000)),
    (actions.Fail(77), ("<BIQ", 2, 3, 77)),
    (actions.CancelAttempt(77, 1), ("<BIQB", 3, 3, 77, 1)),
    (actions.SetTimer(0.001, 8), ("<BIII", 4, 3, 1_000, 8)),
    (actions.CheckHealth(BACKEND), ("<BI6s", 5, 3, BACKEND)),
    (actions.CloseIdleConnections(BACKEND), ("<BI6s", 6, 3, BACKEND)),
    (actions.SendToPeer(1, b"hi"), ("<BIIH2s", 7, 3, 1, 2, b"hi")),
    (actions.SendToPeer(None, b""), ("<BIIH", 7, 3, 0xFFFFFFFF, 0)),
    (actions.Log("so"), ("<BIH2s", 8, 3, 2, b"so")),
    (actions.WatchEndpoints(False), ("<BIB", 10, 3, 0)),
    (actions.FetchEndpoints(), ("<BI", 11, 3)),
    (actions.IncrementCounter(6, 2.5, 1.0), ("<BIQfI", 12, 3, 6, 2.5, 1_000_000)),
]


@pytest.mark.parametrize("action, fields", RECORDS)
def test_record_of_an_action(action, fields):
    assert encode_action(action, 3) == struct.pack(*fields)


def test_each_action_has_a_record():
    assert {type(action) for action, _ in RECORDS} == set(typing.get_args(actions.Action))


@pytest.mark.parametrize(
    "seconds, microseconds",
    [(0.0, 0), (-1.0, 0), (1e-7, 1), (0.1 + 0.2, 300_000), (1e6, 0xFFFFFFFF)],
)
def test_times_are_whole_microseconds_rounded_up_within_32_bits(seconds, microseconds):
    assert encode_action(actions.SetTimer(seconds, 0), 0) == struct.pack("<BIII", 4, 0, microseconds, 0)


def test_text_is_cut_at_2000_bytes():
    assert encode_decision_error(3, "x" * 2001) == struct.pack("<BIH", 9, 3, 2000) + b"x" * 2000


def test_what_is_no_action_is_an_error():
    with pytest.raises(TypeError, match="not an action: 'send'"):
        encode_action("send", 3)


def test_a_reply_has_its_length_and_the_number_of_records():
    assert encode_reply([b"abc", b"d"]) == struct.pack("<II", 8, 2) + b"abcd"
    assert encode_reply([]) == bytes.fromhex("0400000000000000")
