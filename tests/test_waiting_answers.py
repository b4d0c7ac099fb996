"""What long answers hold while they wait for room, and the room that other holders leave them."""

import pytest

from corkdeal.net.budget import MIN_READ_SIZE, MIN_READ_SIZE_WHEN_FULL, Budget
from corkdeal.net.resp import MAX_INLINE_VALUE, MAX_VALUE

from .test_bodies import HEAD, VALUE, BudgetHolder, GatewayWithClient, bulk
from .test_requests_behind_long_answers import Answer, Pipeline

FIRST_PART = (HEAD + VALUE)[:MAX_INLINE_VALUE]


def use_up_room(harness):
    """Reserve all the room of long answers."""
    return Answer(harness.gateway.budget.answers, harness.gateway.budget.answers.limit, True)


# A waiting answer counted as nothing, though its connection had read 64 KiB of it.
def test_what_was_read_of_a_waiting_answer_is_counted():
    harness = Pipeline()
    blocker = use_up_room(harness)
    conn, wire = harness.ask_once(1)
    harness.ask_once(2)
    before = harness.held()
    conn.dataReceived(FIRST_PART)
    assert wire.reading_paused
    assert harness.held() >= before + len(FIRST_PART) - len(HEAD)
    conn.connectionLost()
    assert harness.held() < before
    harness.gateway.budget.answers.discard(blocker)


# The words before the long one were not counted either: up to 256 KiB of one reply.
def test_the_words_before_the_long_one_of_a_waiting_answer_are_counted():
    harness = Pipeline()
    use_up_room(harness)
    conn, _ = harness.ask_once(1)
    harness.ask_once(2)
    before = harness.held()
    conn.dataReceived(HEAD + b"*4\r\n" + 3 * bulk(60_000) + VALUE[:1000])
    assert harness.held() >= before + 180_000


# Bytes behind a long value were not counted: a load report that does not end.
def test_what_follows_a_long_value_is_counted_until_it_is_complete():
    harness = GatewayWithClient()
    conn, _ = harness.ask(1)
    conn.dataReceived(HEAD + VALUE + b"$-1\r\n$60000\r\n" + b"x" * 59_000)
    assert harness.held() >= 59_000
    conn.dataReceived(b"x" * 1000 + b"\r\n")
    assert harness.held() == 0 and not conn.held_bytes


# A backend that reads slowly left a copy of a part of each long command in its connection's buffer.
def test_what_a_backend_does_not_take_of_a_long_command_is_counted_twice():
    harness = GatewayWithClient()
    conn, wire = harness.ask(1)
    wire.free_space = 0
    value_size = 200_000
    attempt = conn.attempt
    attempt.rpc.body = type("Body", (), {"buffer": type("Buffer", (), {"pieces": [b"x" * value_size]})})
    before = harness.held()
    conn.write_attempt(attempt)
    assert harness.held() >= before + value_size
    wire.take()
    assert harness.held() == before


@pytest.mark.parametrize("is_crowded", [False, True])
def test_little_is_read_of_an_answer_before_it_is_known_whether_there_is_room(is_crowded):
    harness = GatewayWithClient()
    if is_crowded:
        budget = harness.gateway.budget
        budget.set_held(BudgetHolder(budget), budget.crowded_mark + 1)
    conn, wire = harness.ask(1)
    assert wire.bufferSize == (MIN_READ_SIZE_WHEN_FULL if is_crowded else MIN_READ_SIZE)
    conn.dataReceived((HEAD + bulk(60_000))[: wire.bufferSize])
    assert 60_000 - MIN_READ_SIZE < wire.bufferSize <= MAX_INLINE_VALUE


def test_a_waiting_answer_ends_when_the_budget_is_used_up():
    harness = Pipeline()
    budget = harness.gateway.budget
    budget.set_held(BudgetHolder(budget), budget.limit - len(FIRST_PART))
    conn, _ = harness.ask_once(1)
    harness.ask_once(2)
    conn.dataReceived(FIRST_PART)
    assert conn.ended and not conn.held_bytes


# Bodies grew into all that became free, so that no longest answer found room while clients wrote.
def test_bodies_leave_room_for_an_answer_that_is_next():
    budget = Budget(5 * MAX_VALUE)
    bodies = [BudgetHolder(budget, body=True) for _ in range(4)]
    for body in bodies:
        budget.set_held(body, 15 * MAX_VALUE // 16)
    answer = Answer(budget.answers, MAX_VALUE + MAX_VALUE // 2, True)
    assert not answer.is_reserved
    assert [body.is_held_back for body in bodies] == [False, True, True, True]
    budget.remove_body(bodies[0])
    budget.set_held(bodies[0], 0)
    assert answer.is_reserved
    budget.answers.discard(answer)
    assert not any(body.is_held_back for body in bodies)


def test_the_only_answer_that_is_next_may_use_what_bodies_are_kept_from():
    budget = Budget(2 * MAX_VALUE)
    budget.set_held(BudgetHolder(budget), MAX_VALUE // 2)
    first = Answer(budget.answers, MAX_VALUE, True)
    assert first.is_reserved and budget.total <= budget.limit
    assert not Answer(budget.answers, MAX_VALUE, True).is_reserved
