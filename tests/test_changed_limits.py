"""The memory budget and the descriptors of a process while another one has a part of the limits."""

import types

from corkdeal.net import gateway
from corkdeal.net.budget import MIN_SHARED_BUDGET
from corkdeal.net.descriptors import MAX_QUEUE_TIME, RESERVED, Descriptors
from corkdeal.net.resp import MAX_VALUE

from .test_bodies import HEAD, LONG, TAIL, VALUE, BudgetHolder, FakeTransport, GatewayWithClient, write

BUSY = b"-BUSY"
MOST = 16  # connections accepted at once


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


class FakePool:
    """Backend connections, of which some are idle."""

    def __init__(self, open_count, idle_count=0):
        self.open, self.closing = set(range(open_count)), set()
        self.idle_count, self.max_connections = idle_count, 512

    def evict_idle(self):
        if not self.idle_count:
            return False
        self.idle_count -= 1
        self.open.pop()
        return True


class FakeConnection:
    """A client connection that is busy."""

    def __init__(self, idle_since):
        self.idle_since, self.closing = idle_since, False

    def close_when_idle(self, reason):
        self.closing = True


def descriptors_with(clients, backends=0, idle_backends=0, limit=100 + RESERVED):
    clock = types.SimpleNamespace(time=10.0)
    connections = {FakeConnection(number) for number in range(clients)}
    descriptors = Descriptors(limit, connections, lambda: clock.time)
    descriptors.pool = FakePool(backends, idle_backends)
    return descriptors, clock


def test_connections_beyond_a_smaller_limit_are_closed_behind_their_answers_the_longest_idle_first():
    descriptors, _ = descriptors_with(clients=60, backends=40, idle_backends=30)
    descriptors.change_limit(50)
    descriptors.close_excess(is_draining=False)
    closing = sorted(each.idle_since for each in descriptors.client_connections if each.closing)
    assert len(descriptors.pool.open) == 37 and closing == list(range(60 + 37 - 50))
    descriptors.close_excess(is_draining=False)
    assert sum(each.closing for each in descriptors.client_connections) == len(closing)


def test_a_draining_process_closes_backend_connections_that_no_client_needs():
    descriptors, _ = descriptors_with(clients=3, backends=20, idle_backends=18)
    descriptors.close_excess(is_draining=True)
    assert len(descriptors.pool.open) == 3


def test_new_connections_are_left_to_the_other_process_for_a_while_and_taken_in_pairs_with_backends():
    descriptors, clock = descriptors_with(clients=80)
    assert descriptors.acceptable_count(MOST) == MOST
    descriptors.is_shared = descriptors.may_leave_queued = True
    refused_count = descriptors.max_refused(descriptors.open_count)
    assert descriptors.acceptable_count(MOST) == 1  # 2 are free beside those for backends and for refusals
    descriptors.client_connections.update(FakeConnection(0) for _ in range(2))
    assert descriptors.acceptable_count(MOST) == 0
    clock.time += MAX_QUEUE_TIME / 2
    assert descriptors.acceptable_count(MOST) == 0
    clock.time += MAX_QUEUE_TIME
    assert descriptors.acceptable_count(MOST) == refused_count
    for _ in range(refused_count):  # each is open before it is known that it has to be refused
        connection = FakeConnection(0)
        descriptors.client_connections.add(connection)
        assert not descriptors.admit_client_connection() and descriptors.may_keep_refused()
        descriptors.refused.add(connection)
    assert descriptors.acceptable_count(MOST) == 0
    assert descriptors.open_count + descriptors.reserved_for_backends() == descriptors.limit
