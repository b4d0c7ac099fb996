"""Unit tests of `capture`: how accounts are split into pages and steps, and which are carried over."""

from collections import Counter

from corkdeal.decisions.gateway import Gateway
from corkdeal.persistence import codec
from corkdeal.persistence.capture import ACCOUNTS_PER_CHECK, ACCOUNTS_PER_PAGE, StateCapture, encoded_pages
from corkdeal.persistence.clock import ClockReading
from corkdeal.persistence.restore import RestoredState

from .. import helpers
from . import samples

CLOCK = ClockReading(9000.0, 5002.0, "boot-a")


def exhaust(capture, tick=lambda: 0.0):
    return sum(1 for _ in capture.steps(lambda: 9000.0, lambda: CLOCK, tick))


def accounts_of(capture):
    head = capture.head(9000.0, CLOCK, 1.0, False, {})
    data = b"".join(codec.encode_snapshot(1, head, list(capture.pages())))
    return codec.decode_snapshot(data).snapshot.encoded_accounts()


def test_entries_are_split_into_full_pages_and_one_rest():
    entries = [
        codec.encode_page_entry(n, codec.encode_record(None)) for n in range(2 * ACCOUNTS_PER_PAGE + 1)
    ]
    pages = list(encoded_pages(entries))
    assert [int.from_bytes(page[1:5], "big") for page in pages] == [ACCOUNTS_PER_PAGE, ACCOUNTS_PER_PAGE, 1]
    assert b"".join(page[5:] for page in pages) == b"".join(entries) and not list(encoded_pages([]))


def test_a_step_ends_when_its_time_is_over_and_each_capture_has_one_at_least():
    decisions = Gateway(helpers.settings(), seed=1)
    for customer in range(3 * ACCOUNTS_PER_CHECK):
        decisions.account(customer, 0, 0, 3)
    capture = StateCapture(decisions, "n0", "test")
    ticks = iter(range(10**6))  # one second passes between two readings
    assert exhaust(capture, lambda: next(ticks)) == 3 + 1
    assert len(capture.encoded_entries) == 3 * ACCOUNTS_PER_CHECK
    assert exhaust(capture) == 1


def test_restored_accounts_are_carried_on_until_they_are_claimed_or_all_are_gone():
    decisions = Gateway(helpers.settings(), seed=1)
    stored = samples.snapshot_of(accounts={7: samples.ACCOUNT, 8: samples.ACCOUNT})
    restored = RestoredState(stored, 2.0, 9000.0, decisions.settings, lambda name: "", Counter())
    capture = StateCapture(decisions, "n0", "test", restored)
    exhaust(capture)
    assert sorted(accounts_of(capture)) == [7, 8]
    restored.encoded_accounts.pop(7)
    exhaust(capture)
    assert sorted(accounts_of(capture)) == [8] and capture.restored is restored
    restored.encoded_accounts.pop(8)
    restored.backends.clear()
    exhaust(capture)
    assert not accounts_of(capture) and capture.restored is None
