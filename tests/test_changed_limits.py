"""The memory budget of a process while another one has a part of the limits."""

from corkdeal.net import gateway
from corkdeal.net.budget import MIN_SHARED_BUDGET
from corkdeal.net.resp import MAX_VALUE

from .test_bodies import HEAD, LONG, TAIL, VALUE, BudgetHolder, FakeTransport, GatewayWithClient, write

BUSY = b"-BUSY"


def answers_to(transport):
    return bytes(transport.taken + transport.dataBuffer)


def another_client(harness):
    connection = gateway.client_connection.ClientConnection(harness.gateway)
    connection.makeConnection(FakeTransport())
    return connection


def test_a_smaller_budget_ends_the_newest_commands_and_the_oldest_completes():
    harness = GatewayWithClient()
    budget, newer = harness.gateway.budget, another_client(harness)
    harness.client_connection.dataReceived(write(1, size=3 * LONG)[: 2 * LONG])
    newer.dataReceived(write(2, size=3 * LONG)[: 2 * LONG])
    budget.change_limit(MIN_SHARED_BUDGET + 3 * LONG, fixed=0)
    assert answers_to(newer.transport).startswith(BUSY) and not answers_to(harness.client)
    assert budget.total <= budget.limit
    harness.client_connection.dataReceived(write(1, size=3 * LONG)[2 * LONG :])
    assert harness.gateway.rpcs
    newer.dataReceived(write(2, size=3 * LONG)[2 * LONG :])  # the rest is discarded
    newer.dataReceived(write(3))
    assert len(harness.gateway.rpcs) == 2


def test_a_command_longer_than_a_small_budget_takes_is_rejected_by_its_head_until_the_budget_is_whole():
    harness = GatewayWithClient()
    budget = harness.gateway.budget
    whole, command = budget.limit, write(1, size=12 * LONG)
    budget.change_limit(MIN_SHARED_BUDGET, fixed=0)
    harness.client_connection.dataReceived(command[:300])
    assert answers_to(harness.client).startswith(BUSY)
    harness.client_connection.dataReceived(command[300:])
    assert not harness.gateway.rpcs
    budget.change_limit(whole, fixed=0)
    assert budget.longest_body == MAX_VALUE and budget.high_mark == whole - MAX_VALUE
    harness.client_connection.dataReceived(write(2, size=12 * LONG))
    assert harness.gateway.rpcs


def test_a_long_answer_that_a_small_budget_cannot_collect_is_forwarded():
    harness = GatewayWithClient()
    harness.gateway.budget.change_limit(MIN_SHARED_BUDGET, fixed=0)
    value = b"$%d\r\n" % (2 * MIN_SHARED_BUDGET) + b"x" * (2 * MIN_SHARED_BUDGET) + b"\r\n"
    conn, _ = harness.ask(1)
    for start in range(0, len(value), LONG):
        conn.dataReceived((HEAD if not start else b"") + value[start : start + LONG])
        harness.client.take()
    conn.dataReceived(TAIL)
    assert bytes(harness.client.taken) == value


def test_a_waiting_answer_that_is_larger_than_the_budget_does_not_stop_commands():
    harness = GatewayWithClient()
    budget = harness.gateway.budget
    budget.change_limit(MIN_SHARED_BUDGET, fixed=0)
    conn, _ = harness.ask(1)
    harness.ask(2)  # so that the first answer has to be whole
    conn.dataReceived(HEAD + b"$%d\r\n" % (2 * MIN_SHARED_BUDGET) + b"x" * LONG)
    assert budget.answers.waiting_count == 1 and budget.answers.wanted == 0
    other = another_client(harness)
    other.dataReceived(write(3)[:LONG])
    assert not other.paused


def test_what_a_small_budget_holds_is_held_until_it_ends_of_itself():
    harness = GatewayWithClient()
    budget = harness.gateway.budget
    whole = budget.limit
    holder = BudgetHolder(budget)
    budget.set_held(holder, 2 * MIN_SHARED_BUDGET)
    budget.change_limit(MIN_SHARED_BUDGET, fixed=0)
    assert budget.is_exhausted
    budget.set_held(holder, 0)
    assert not budget.is_exhausted
    budget.change_limit(whole, fixed=0)
    conn, _ = harness.ask(1)
    conn.dataReceived(HEAD + VALUE + TAIL)
    harness.client.take()
    assert bytes(harness.client.taken) == VALUE
