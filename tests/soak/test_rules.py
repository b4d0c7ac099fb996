"""Each rule of the soak reports the fault that it stands for, and an allowed case beside it passes."""

import dataclasses

import pytest

from corkdeal.experiment.soak import rules
from corkdeal.experiment.soak.clients import shorten
from corkdeal.experiment.soak.plan import DEDUPLICATION_WINDOW
from corkdeal.experiment.soak.records import (
    Effect,
    ProcessRecord,
    SoakAttempt,
    SoakConnection,
    SoakRecord,
    SoakRequest,
)
from corkdeal.experiment.soak.services import fill_value, request_of
from corkdeal.standin.history import BackendAttempt, Quota, SentList

SOCKETS, MEMORY = 100, 1 << 20
QUOTA = Quota(rate=1.0, burst=2.0, bound=1.0)
METERED_CUSTOMER = 7


def make_request(number, sent_at=1.0, effect=Effect.IDEMPOTENT, customer=1, timeout=1.0, answered_at=1.1):
    answer = b"$40\r\ndone %016x after 10 ms\r\n" % number
    answer = b"" if answered_at is None else answer
    return SoakRequest(number, customer, effect, sent_at, timeout, answered_at, answer)


@pytest.fixture
def record():
    """A run in which one gateway served one request and was shut down: no rule is broken."""
    result = SoakRecord(ended_at=20.0)
    result.connections.append(
        SoakConnection(0, 0.5, is_prompt=True, requests=[make_request(1)], closed_at=9.0)
    )
    add_attempt(result, 1, at=1.05)
    result.history.sent_lists[0] = [SentList(0.0, frozenset({"a", "b"}))]
    result.processes.append(
        ProcessRecord(0, 0, 0.0, terminated_at=8.0, ended_at=9.0, exit_code=0, most_descriptors=50)
    )
    result.lateness = [(at / 10, 0.0) for at in range(200)]
    return result


def add_attempt(record, request, at, backend="a", customer=1, concurrent="", is_refused=False):
    record.attempts.append(SoakAttempt(at, request, backend, is_refused))
    record.history.attempts.append(BackendAttempt(at, backend, 0, request, customer, concurrent))


def broken_rules(record):
    violations = rules.check(record, {METERED_CUSTOMER: QUOTA}, SOCKETS, MEMORY)
    return {violation.rule for violation in violations}


def connection_of(record):
    return record.connections[0]


def test_a_correct_run_breaks_no_rule(record):
    assert broken_rules(record) == set()


def test_a_request_that_a_backend_saw_and_nobody_answered(record):
    connection_of(record).requests.append(make_request(2, answered_at=None))
    connection_of(record).closed_at = 2.0
    assert broken_rules(record) == set()  # not read before the connection was closed, as far as can be seen
    add_attempt(record, 2, at=1.2)
    assert broken_rules(record) == {"one final answer"}


def test_a_request_before_one_that_was_answered(record):
    connection_of(record).requests.insert(0, make_request(2, answered_at=None))
    assert broken_rules(record) == {"one final answer"}


def test_a_request_that_is_never_answered_on_an_open_connection(record):
    connection_of(record).requests.append(make_request(2, sent_at=8.0, answered_at=None))
    connection_of(record).closed_at = 9.4  # 0.1 s before it is overdue
    assert broken_rules(record) == set()
    connection_of(record).closed_at = 9.6
    assert broken_rules(record) == {"one final answer"}


def test_a_client_that_does_not_read_or_whose_gateway_was_killed_need_not_get_its_answer(record):
    connection_of(record).requests.append(make_request(2, answered_at=None))
    add_attempt(record, 2, at=1.2)
    connection_of(record).reads_to_end = False
    assert broken_rules(record) == set()
    connection_of(record).reads_to_end = True
    record.processes[0] = ProcessRecord(0, 0, 0.0, killed_at=8.0, ended_at=8.0, exit_code=-9)
    assert broken_rules(record) == set()
    record.processes[0].terminated_at = 7.0  # the kill that ends a shutdown frees nothing
    assert "one final answer" in broken_rules(record)


def test_a_connection_that_came_after_the_last_accept_need_not_be_read(record):
    late = SoakConnection(0, 8.5, is_prompt=True, requests=[make_request(2, 8.5, answered_at=None)])
    record.connections.append(late)
    assert broken_rules(record) == set()
    late.opened_at = 8.3
    assert broken_rules(record) == {"one final answer"}


def test_a_request_that_lay_unread_when_its_connection_was_closed(record):
    lost = make_request(2, sent_at=8.5, answered_at=None)
    lost.was_open = True
    connection_of(record).requests.append(lost)
    connection_of(record).closed_at = 8.54  # it may have crossed the end
    assert broken_rules(record) == set()
    connection_of(record).closed_at = 8.56
    assert broken_rules(record) == {"no request lost by a close"}
    lost.was_open = False  # its client could tell that the connection had ended
    assert broken_rules(record) == set()


def test_a_second_answer(record):
    connection_of(record).has_answer_without_request = True
    assert broken_rules(record) == {"one final answer"}


def test_the_answer_to_another_request(record):
    connection_of(record).requests[0].answer = make_request(3).answer
    assert broken_rules(record) == {"one final answer"}


@pytest.fixture
def broken_answer(record):
    """A long answer that its backend broke off 0.1 s after it began."""
    request = make_request(2, sent_at=2.0, answered_at=None)
    request.begun_at = 2.5
    add_attempt(record, 2, at=2.1)
    connection_of(record).requests.append(request)
    connection_of(record).closed_at = 2.6
    record.broken_answers.add(2)
    return request


def test_a_long_answer_that_a_gateway_cuts_off(record, broken_answer):
    assert broken_rules(record) == set()
    record.broken_answers.clear()
    assert broken_rules(record) == {"one final answer"}
    record.backend_ends = [1.0, 2.55]  # its backend may have ended within it
    assert broken_rules(record) == set()
    record.backend_ends = [1.0, 2.8]
    assert broken_rules(record) == {"one final answer"}


def test_a_request_that_ran_behind_a_long_answer_that_broke_off(record, broken_answer):
    connection_of(record).requests.append(make_request(3, sent_at=2.45, answered_at=None))
    assert broken_rules(record) == set()  # it may be unread, since it was sent just before the answer began
    add_attempt(record, 3, at=2.5)
    assert broken_rules(record) == {"one final answer"}


def test_a_request_that_was_sent_long_before_a_long_answer_began_that_broke_off(record, broken_answer):
    connection_of(record).requests.append(make_request(3, sent_at=2.0, answered_at=None))
    assert broken_rules(record) == {"one final answer"}
    record.lateness = [(at / 10, 0.4 if at == 25 else 0.0) for at in range(200)]
    assert broken_rules(record) == set()


def test_a_long_answer_is_timed_by_its_first_bytes(record):
    request = connection_of(record).requests[0]
    request.begun_at, request.answered_at = request.sent_at + request.timeout + 0.45, 5.0
    assert broken_rules(record) == set()
    request.begun_at += 0.1
    assert broken_rules(record) == {"answers in time"}


def test_a_long_answer_of_another_request_or_with_other_bytes_is_recorded_as_such():
    for made_for, value_id, is_changed in ((2, 2, False), (2, 3, False), (2, 2, True)):
        request = make_request(made_for, answered_at=None)
        value = fill_value(b"done %016x after 3 ms" % made_for, b"%016x" % value_id, 70_000)
        assert len(value) > 70_000 and request_of(value) == made_for
        if is_changed:
            value = value[:-3] + b"x" + value[-2:]
        request.answer = shorten(b"$%d\r\n%b\r\n" % (len(value), value), request)
        assert (b"%016x" % made_for in request.answer) is (made_for == value_id and not is_changed)


def test_an_answer_that_comes_too_late(record):
    request = connection_of(record).requests[0]
    request.answered_at = request.sent_at + request.timeout + 0.45
    assert broken_rules(record) == set()
    request.answered_at += 0.1
    assert broken_rules(record) == {"answers in time"}
    record.lateness = [(at / 10, 0.2 if 23 <= at <= 27 else 0.0) for at in range(200)]
    assert broken_rules(record) == set()  # the harness itself was late then
    record.lateness = [(at / 10, 0.0) for at in range(200)]
    record.processes[0].waits = [(2.4, 0.1), (2.6, 0.1)]
    assert broken_rules(record) == set()  # the machine did not run the gateway for so long
    record.processes[0].waits = [(1.0, 0.1), (2.6, 0.01)]
    assert broken_rules(record) == {"answers in time"}
    connection_of(record).is_prompt = False
    assert broken_rules(record) == set()


def test_the_wait_behind_an_earlier_answer_does_not_count(record):
    first = make_request(2, timeout=3.0, answered_at=4.0)
    connection_of(record).requests = [first, make_request(1, answered_at=4.1)]
    assert broken_rules(record) == set()


def test_an_attempt_after_the_timeout(record):
    record.attempts[0].at = 2.1
    assert broken_rules(record) == set()
    record.attempts[0].at = 2.2
    assert broken_rules(record) == {"no attempt after its time"}


def test_an_attempt_after_the_client_left(record):
    connection_of(record).left_at = 0.96
    assert broken_rules(record) == set()
    connection_of(record).left_at = 0.94
    assert broken_rules(record) == {"no attempt after the client left"}


@pytest.mark.parametrize(
    ("effect", "is_refused", "second_at", "is_allowed"),
    [
        (Effect.IDEMPOTENT, False, 1.9, True),
        (Effect.NOT_IDEMPOTENT, False, 1.9, False),
        (Effect.NOT_IDEMPOTENT, True, 1.9, True),
        (Effect.IDEMPOTENCY_KEY, False, 1.05 + DEDUPLICATION_WINDOW - 0.1, True),
        (Effect.IDEMPOTENCY_KEY, False, 1.05 + DEDUPLICATION_WINDOW + 0.1, False),
    ],
)
def test_a_repeat_of_what_may_have_run(record, effect, is_refused, second_at, is_allowed):
    connection_of(record).requests = [make_request(1, effect=effect, timeout=2.0)]
    record.attempts[0].is_refused = is_refused
    add_attempt(record, 1, at=second_at, backend="b")
    assert broken_rules(record) == (set() if is_allowed else {"repeats as the class permits"})


def test_two_attempts_at_once(record):
    add_attempt(record, 1, at=1.2, backend="b", concurrent="a")
    assert broken_rules(record) == {"never two attempts at once"}


def test_an_attempt_at_a_backend_that_drains(record):
    connection_of(record).requests.append(make_request(2, sent_at=3.0, answered_at=3.5))
    record.history.sent_lists[0].append(SentList(3.0, frozenset({"b"})))
    add_attempt(record, 2, at=3.3)
    assert broken_rules(record) == set()
    add_attempt(record, 2, at=3.4)
    assert broken_rules(record) == {"nothing new to a server told away"}


def test_more_than_the_quota(record):
    for number in range(10, 13):
        connection_of(record).requests.append(make_request(number, customer=METERED_CUSTOMER))
        add_attempt(record, number, at=1.05, customer=METERED_CUSTOMER)
    assert broken_rules(record) == set()
    connection_of(record).requests.append(make_request(13, customer=METERED_CUSTOMER))
    add_attempt(record, 13, at=1.05, customer=METERED_CUSTOMER)
    assert broken_rules(record) == {"units within quota"}


@pytest.mark.parametrize("changes", [{"most_descriptors": SOCKETS + 1}, {"most_memory": MEMORY + 1}])
def test_a_process_beyond_its_limits(record, changes):
    record.processes[0] = dataclasses.replace(record.processes[0], **changes)
    assert broken_rules(record) == {"limits"}


@pytest.mark.parametrize(
    "changes",
    [
        {"killed_at": 9.0},
        {"exit_code": -1},
        {"ended_at": None, "exit_code": None},
        {"terminated_at": None},
    ],
)
def test_a_process_that_does_not_end_as_it_has_to(record, changes):
    record.processes[0] = dataclasses.replace(record.processes[0], **changes)
    assert broken_rules(record) == {"ends before the kill"}


def test_a_process_that_the_machine_did_not_run_in_time_may_be_killed(record):
    record.processes[0].killed_at, record.processes[0].exit_code = 9.0, -9
    record.processes[0].waits = [(8.8, 0.08), (8.9, 0.06)]  # up to 0.15 s it has to cope with
    assert broken_rules(record) == {"ends before the kill"}
    record.processes[0].waits = [(8.8, 0.08), (8.9, 0.08)]
    assert broken_rules(record) == set()


def test_a_traceback_in_the_log(record):
    record.processes[0].faults_in_log = ["Traceback (most recent call last):"]
    assert broken_rules(record) == {"no fault in the log"}
