"""Requests behind a long answer get their answers, however it ends."""

import itertools
import signal
import threading
import unittest.mock

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corkdeal.decisions.events import AttemptEnded, Status
from corkdeal.net import invariants, response_stream
from corkdeal.net.budget import Budget
from corkdeal.net.piece_buffer import MIN_PIECE, PieceBuffer
from corkdeal.net.resp import MAX_INLINE_VALUE, MAX_VALUE, encode_command
from corkdeal.net.stalled_readers import CHECK_INTERVAL, CLIENT_STALL_TIMEOUT

from .net_world import Program, served
from .test_bodies import HEAD, LONG, TAIL, VALUE, GatewayWithClient, bulk, write

FAILED, REJECTED = b"-ERR failed\r\n", b"-BUSY"
HALF = len(VALUE) // 2
DEADLINE = 3.0  # s, of the requests below


def unrepeatable(rid):
    """Encode a request of a class that is never retried."""
    params = b"c=pay,t=large,d=3000,units=1,spread=1,first=0"
    return encode_command(b"API.WRITE", b"%016x" % 7, b"%016x" % rid, params, b"body")


class Pipeline(GatewayWithClient):
    """A gateway whose client sends requests of a class that is never retried."""

    def ask_once(self, rid):
        """Send one request that may not be repeated; return its backend connection and its transport."""
        self.client_connection.dataReceived(unrepeatable(rid))
        return self.establish()

    def taken(self):
        return bytes(self.client.taken)


ENDS = {  # how a long answer ends that half of was received; its own answer follows from the class
    "reset": lambda harness, conn: conn.connectionLost(),
    "malformed": lambda harness, conn: conn.dataReceived(VALUE[HALF:-2] + b"xx"),
    "stalled until its deadline": lambda harness, conn: harness.reactor.pump([0.1] * 31),
    "drained": lambda harness, conn: harness.gateway.shutdown.answer_open_rpcs(),
    "cancelled": lambda harness, conn: harness.gateway.pool.abandon(conn.attempt, Status.CANCELLED),
}


# All that was pending behind a long answer that broke off was dropped, also what a backend had run.
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("answers_first", [False, True], ids=["answered after the end", "answered before"])
def test_a_request_behind_a_long_answer_that_breaks_off_is_answered(end, answers_first):
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    other, _ = harness.ask_once(2)
    if answers_first:
        other.dataReceived(served())
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert not harness.taken()
    end(harness, conn)
    if other.attempt:
        other.dataReceived(served())
    first, second = harness.taken()[: len(FAILED)], harness.taken()[len(FAILED) :]
    assert first == FAILED
    is_answered_late = end in (ENDS["drained"], ENDS["stalled until its deadline"]) and not answers_first
    assert second == (FAILED if is_answered_late else bulk(1))
    assert not harness.gateway.rpcs and not harness.client_connection.pending_replies
    assert harness.held() == 0 and not invariants.counts["answer_cut_off"]


def test_a_long_answer_that_breaks_off_before_the_client_has_any_of_it_is_retried_as_its_class_permits():
    harness = Pipeline()
    conn, _ = harness.ask(1)
    other, _ = harness.ask_once(2)
    conn.dataReceived(HEAD + VALUE[:HALF])
    conn.connectionLost()
    retry, _ = harness.establish()
    other.dataReceived(served())
    assert not harness.taken()
    retry.dataReceived(HEAD + VALUE + TAIL)
    assert harness.taken() == VALUE + bulk(1)
    assert harness.outcomes() == [Status.RESET, Status.OK, Status.OK]


@pytest.mark.parametrize("broken", [0, 1, 2])
def test_in_a_pipeline_of_long_answers_one_that_breaks_off_costs_only_itself(broken):
    harness = Pipeline()
    conns = [harness.ask_once(rid)[0] for rid in range(1, 5)]
    for conn in reversed(conns):
        conn.dataReceived(HEAD + VALUE[:HALF])
    conns[broken].connectionLost()
    for conn in conns[:broken] + conns[broken + 1 :]:
        conn.dataReceived(VALUE[HALF:] + TAIL)
    expected = [VALUE] * 4
    expected[broken] = FAILED
    assert harness.taken() == b"".join(expected)
    assert not harness.gateway.rpcs and harness.held() == 0


@pytest.mark.parametrize("is_whole", [False, True])
def test_a_long_request_behind_a_long_answer_that_breaks_off_is_answered(is_whole):
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    command = write(2)
    harness.client_connection.dataReceived(command if is_whole else command[:LONG])
    if is_whole:
        other, wire = harness.establish()
    conn.dataReceived(HEAD + VALUE[:HALF])
    conn.connectionLost()
    if not is_whole:
        harness.client_connection.dataReceived(command[LONG:])
        other, wire = harness.establish()
    wire.take()
    other.dataReceived(served())
    assert harness.taken() == FAILED + bulk(1)


# A value whose load report is malformed was passed on without its last bytes.
@pytest.mark.parametrize("is_behind", [False, True])
@pytest.mark.parametrize("rest", [None, b"junk\r\n"], ids=["reset", "malformed"])
def test_a_whole_value_whose_load_report_is_spoilt_is_served(is_behind, rest):
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    if is_behind:
        other, _ = harness.ask_once(2)
    conn.dataReceived(HEAD + VALUE[:HALF])
    conn.dataReceived(VALUE[HALF:] + (rest or b""))
    if rest is None:
        conn.connectionLost()
    if not is_behind:
        other, _ = harness.ask_once(2)
    other.dataReceived(served())
    assert harness.taken() == VALUE + bulk(1)


# The bytes behind a collected answer were read as its load report once more, which raised an exception.
@pytest.mark.parametrize(
    "more", [b"+more\r\n", served(), HEAD + VALUE], ids=["line", "answer", "long answer"]
)
def test_bytes_behind_a_collected_answer_end_its_backend_connection_only(more):
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    other, _ = harness.ask_once(2)
    conn.dataReceived(HEAD + VALUE[:HALF])
    conn.dataReceived(VALUE[HALF:] + TAIL + more)
    other.dataReceived(served())
    assert harness.taken() == VALUE + bulk(1)
    assert conn.ended and invariants.counts["backend_connection_unasked"] == 1
    assert harness.outcomes() == [Status.OK, Status.OK]


# A long answer was begun before it was whole when no whole request was behind it; if it broke off, a request
# that was on its way was lost with the connection.
@pytest.mark.parametrize("end", ENDS.values(), ids=ENDS)
@pytest.mark.parametrize("part", [0, 40], ids=["nothing", "a part"])
def test_a_request_that_comes_within_a_long_answer_that_breaks_off_is_answered(end, part):
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    command = unrepeatable(2)
    harness.client_connection.dataReceived(command[:part])
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert not harness.taken()
    harness.client_connection.dataReceived(command[part:])
    other, _ = harness.establish()
    other.dataReceived(served())
    end(harness, conn)
    assert harness.taken() == FAILED + bulk(1)
    assert harness.client.closed is (end is ENDS["drained"])
    assert harness.held() == 0 and not invariants.counts["answer_cut_off"]


# A part of a request did not count as one: the answer before it was passed on, and it was lost.
def test_a_long_answer_without_room_is_not_begun_while_a_part_of_a_request_is_behind_it():
    harness = Pipeline()
    harness.use_up_answer_room()
    conn, wire = harness.ask_once(1)
    command = unrepeatable(2)
    harness.client_connection.dataReceived(command[:40])
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert wire.reading_paused and not harness.taken()
    conn.connectionLost()
    harness.client_connection.dataReceived(command[40:])
    harness.establish()[0].dataReceived(served())
    assert harness.taken() == FAILED + bulk(1)


def test_a_long_answer_without_room_is_not_begun_while_its_client_has_sent_what_is_unread():
    harness = Pipeline()
    harness.use_up_answer_room()
    conn, wire = harness.ask_once(1)
    harness.client.recv = lambda size, flags: b"*"
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert wire.reading_paused and not harness.taken()


def test_a_long_answer_that_is_collected_at_its_deadline_is_forwarded_from_then_on():
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.reactor.pump([0.1] * 29)
    assert not harness.taken()
    harness.reactor.pump([0.1] * 2)
    assert harness.taken() == VALUE[:HALF] and harness.client.reading_paused
    conn.dataReceived(VALUE[HALF:] + TAIL)
    assert harness.taken() == VALUE and harness.held() == 0


def test_a_long_answer_with_nothing_behind_is_forwarded_at_once_and_nothing_is_read_meanwhile():
    harness = Pipeline()
    harness.use_up_answer_room()
    conn, _ = harness.ask_once(1)
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert harness.taken() == VALUE[:HALF] and harness.client.reading_paused
    harness.client_connection.dataReceived(unrepeatable(2))  # the reactor had seen it before the pause
    assert len(harness.reactor.tcpClients) == 1
    conn.dataReceived(VALUE[HALF:] + TAIL)
    assert not harness.client.reading_paused
    harness.reactor.advance(0.1)
    assert len(harness.gateway.rpcs) == 1
    harness.gateway.attempts_in_flight.popitem()[1].conn.dataReceived(served())
    assert harness.taken() == VALUE + bulk(1)


def test_a_request_that_comes_within_a_long_answer_that_breaks_off_is_never_run():
    harness = Pipeline()
    harness.use_up_answer_room()
    conn, _ = harness.ask_once(1)
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.client_connection.dataReceived(unrepeatable(2))
    conn.connectionLost()
    harness.reactor.advance(1.0)
    assert harness.taken() == VALUE[:HALF] and harness.client.closed
    assert len(harness.reactor.tcpClients) == 1 and not harness.gateway.rpcs


# Its connection was closed, though the client had taken no byte of it and could be told.
def test_a_long_answer_that_breaks_off_before_its_client_can_take_any_of_it_is_answered_as_failed():
    harness = Pipeline()
    first, _ = harness.ask_once(1)
    conn, _ = harness.ask_once(2)
    harness.client.free_space = 1000
    first.dataReceived(served(b"a" * 5000))
    conn.dataReceived(HEAD + VALUE[:HALF])
    conn.connectionLost()
    harness.client.take()
    assert harness.taken() == bulk(5000, b"a") + FAILED and not harness.client.closed


def test_a_long_answer_is_forwarded_once_its_client_has_taken_what_is_before_it():
    harness = Pipeline()
    harness.use_up_answer_room()
    first, _ = harness.ask_once(1)
    conn, _ = harness.ask_once(2)
    harness.client.free_space = 1000
    first.dataReceived(served(b"a" * 5000))
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.client.take()
    assert harness.taken() == bulk(5000, b"a") + VALUE[:HALF]
    conn.dataReceived(VALUE[HALF:] + TAIL)
    assert harness.taken() == bulk(5000, b"a") + VALUE and not harness.client_connection.paused


def test_a_part_of_a_command_that_had_to_wait_for_a_long_answer_gets_its_time_afterwards():
    harness = Pipeline()
    harness.use_up_answer_room()
    conn, _ = harness.ask_once(1)
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.client_connection.dataReceived(b"*1\r\n$4\r\nPI")  # the reactor had seen it before the pause
    for _ in range(8):
        harness.reactor.advance(1.0)
        conn.dataReceived(b"v")
    conn.dataReceived(VALUE[HALF + 8 :] + TAIL)
    harness.gateway.descriptors.sweep()
    harness.client_connection.dataReceived(b"NG\r\n")
    assert harness.taken() == VALUE + b"+PONG\r\n"


@pytest.mark.parametrize(("wait", "is_served"), [(0.2, True), (0.3, False)])
def test_the_wait_behind_earlier_answers_does_not_count_for_a_long_answer(wait, is_served):
    harness = Pipeline()
    first, _ = harness.ask_once(1)
    second, _ = harness.ask_once(2)
    third, _ = harness.ask_once(3)
    third.dataReceived(served())
    first.dataReceived(HEAD + VALUE[:HALF])
    second.dataReceived(HEAD + VALUE[:HALF])
    harness.reactor.pump([0.1] * 30)  # to the deadlines of both: the first one fails
    assert harness.taken() == FAILED
    harness.reactor.advance(wait)
    if not second.ended:
        second.dataReceived(VALUE[HALF:] + TAIL)
    assert harness.taken() == FAILED + (VALUE if is_served else FAILED) + bulk(1)
    assert is_served is (wait < response_stream.OVERDUE_TIME)


@pytest.mark.parametrize("is_whole", [False, True])
def test_a_client_that_leaves_frees_the_answers_that_were_collected_for_it(is_whole):
    harness = Pipeline()
    harness.ask_once(1)
    conn, _ = harness.ask_once(2)
    conn.dataReceived(HEAD + VALUE[:HALF])
    if is_whole:
        conn.dataReceived(VALUE[HALF:] + TAIL)
    assert harness.held() > 0
    harness.client_connection.connectionLost()
    assert harness.held() == 0 and not harness.gateway.rpcs
    assert Status.CANCELLED in harness.outcomes() or is_whole


# Abandoning the attempt aborted the closed connection once more: at the end of a shutdown that raised an
# exception, and the process did not end before the kill.
def test_a_client_connection_that_is_closed_within_a_long_answer_is_not_closed_again():
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.client.loseWriteConnection = unittest.mock.Mock()
    harness.client_connection.connectionLost()
    assert conn.ended and harness.outcomes() == [Status.CANCELLED]
    assert not harness.client.loseWriteConnection.called and not invariants.counts["answer_cut_off"]


def test_a_collected_answer_reaches_a_client_that_takes_it_slowly_and_frees_memory_meanwhile():
    harness = Pipeline()
    conn, _ = harness.ask_once(1)
    harness.client_connection.dataReceived(encode_command(b"PING"))
    harness.client.free_space = 1000
    value = bulk(MAX_VALUE)
    for start in range(0, len(value), MAX_INLINE_VALUE):
        conn.dataReceived((HEAD if not start else b"") + value[start : start + MAX_INLINE_VALUE])
    conn.dataReceived(TAIL)
    held = [harness.held()]
    while harness.client.dataBuffer:
        free_space = 1000
        harness.client.take()
        harness.client.free_space = free_space
        held.append(harness.held())
        assert len(harness.client.dataBuffer) <= response_stream.WRITE_BATCH + MAX_INLINE_VALUE
    assert harness.taken() == value + b"+PONG\r\n"
    assert held == sorted(held, reverse=True) and held[-1] == 0


@pytest.mark.parametrize("takes", [False, True])
def test_a_client_is_closed_only_if_it_takes_nothing_of_a_collected_answer(takes):
    harness = Pipeline()
    harness.gateway.descriptors.stalled_readers.now = harness.reactor.seconds
    conn, _ = harness.ask_once(1)
    harness.ask_once(2)
    harness.client.free_space = 1000
    value = bulk(MAX_VALUE)
    for start in range(0, len(value), MAX_INLINE_VALUE):
        conn.dataReceived((HEAD if not start else b"") + value[start : start + MAX_INLINE_VALUE])
    conn.dataReceived(TAIL)
    for _ in range(2 * int(CLIENT_STALL_TIMEOUT / CHECK_INTERVAL)):
        harness.reactor.advance(CHECK_INTERVAL)
        if takes:
            harness.client.dataBuffer = harness.client.dataBuffer[1000:]
        harness.gateway.descriptors.sweep()
    assert harness.held() > 0 and len(harness.taken()) < len(value)
    assert harness.client.aborted is not takes


class Answer:
    """An answer that reserves memory, without a connection."""

    def __init__(self, reservations, size, is_next):
        self.reservations, self.size, self.next = reservations, size, is_next
        self.held_bytes, self.is_reserved = 0, False
        self.proceed()

    def is_next(self):
        return self.next

    def proceed(self):
        self.is_reserved = self.reservations.reserve(self, self.size)


ANSWER_STEPS = st.lists(
    st.tuples(st.sampled_from(["next", "ahead", "end", "turn"]), st.integers(0, 1 << 30)), max_size=60
)


@given(ANSWER_STEPS, st.sampled_from([2, 4, 18]))
def test_reserved_memory_stays_within_the_budget_and_an_answer_that_is_next_always_gets_some(steps, values):
    budget = Budget(values * MAX_VALUE)
    answers = []
    for step, n in steps:
        if step in ("next", "ahead"):
            answers.append(Answer(budget.answers, n % MAX_VALUE + 1, step == "next"))
        elif answers and step == "end":
            budget.answers.discard(answers.pop(n % len(answers)))
        elif answers:
            answer = answers[n % len(answers)]
            answer.next = True
            if not answer.is_reserved:
                answer.proceed()
        held = sum(answer.size for answer in answers if answer.is_reserved)
        assert budget.total == budget.answers.total == held <= max(MAX_VALUE, budget.high_mark)
        ahead = [answer for answer in answers if answer.is_reserved and not answer.next]
        waiting = [answer for answer in answers if answer.next and not answer.is_reserved]
        assert not waiting or held > 0
        assert sum(answer.size for answer in ahead) <= budget.answers.ahead_limit


def test_an_answer_without_room_waits_with_its_backend_paused_and_is_served_once_there_is_some():
    harness = Pipeline()
    blocker = Answer(harness.gateway.budget.answers, harness.gateway.budget.answers.limit, True)
    conn, wire = harness.ask_once(1)
    other, _ = harness.ask_once(2)
    other.dataReceived(served())
    conn.dataReceived(HEAD + VALUE[:HALF])
    assert wire.reading_paused and not harness.taken()
    harness.gateway.budget.answers.discard(blocker)
    assert not wire.reading_paused
    conn.dataReceived(VALUE[HALF:] + TAIL)
    assert harness.taken() == VALUE + bulk(1)


def test_an_answer_without_room_fails_at_its_deadline_and_its_backend_is_not_blamed():
    harness = Pipeline()
    Answer(harness.gateway.budget.answers, harness.gateway.budget.answers.limit, True)
    conn, _ = harness.ask_once(1)
    other, _ = harness.ask_once(2)
    other.dataReceived(served())
    conn.dataReceived(HEAD + VALUE[:HALF])
    harness.reactor.pump([0.1] * 31)
    assert harness.taken() == FAILED + bulk(1)
    ended = [event for event in harness.events if isinstance(event, AttemptEnded)]
    assert [event.status for event in ended] == [Status.OK, Status.CANCELLED]


class RealConnections(Program):
    build = ("-O",)

    def send_pair(self):
        """Send two requests at once; return the client and what the backends received, in that order."""
        client = self.client()
        client.send(
            encode_command(*self.words(b"pay", rid=1, body=b"a"))
            + encode_command(*self.words(b"pay", rid=2, body=b"b"))
        )
        asked = sorted((self.world.next(), self.world.next()), key=lambda each: each.words[2])
        return client, asked

    # All that was pending behind a long answer that broke off was dropped, also what a backend had run.
    def test_a_request_behind_a_long_answer_that_is_reset_is_answered(self):
        self.start(a={}, b={})
        client, (board, solve) = self.send_pair()
        whole = served(b"v" * 500_000)
        board.conn.send(whole[:250_000])
        solve.conn.send(served(b"solved"))
        board.conn.end()
        self.assertEqual(client.read(), [b"ERR failed"])
        self.assertEqual(client.read(), [b"solved"])

    # SIGTERM: the long answer does not come whole, and the request behind it is owed its answer.
    def test_a_request_behind_a_long_answer_that_does_not_end_is_answered_in_a_shutdown(self):
        self.start(a={}, b={})
        client, (board, solve) = self.send_pair()
        board.conn.send(served(b"v" * 500_000)[:250_000])
        solve.conn.send(served(b"solved"))
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(client.read(), [b"ERR failed"])
        self.assertEqual(client.read(), [b"solved"])
        self.assertEqual(self.process.wait(10), 0)

    def test_a_pipeline_of_the_longest_answers_arrives_whole_and_in_order(self):
        self.start(a={}, b={}, c={})
        client, count = self.client(), 6
        client.send(
            b"".join(encode_command(*self.words(b"pay", rid=rid, body=b"x")) for rid in range(1, count + 1))
        )
        for _ in range(count):
            asked = self.world.next()
            reply = served(asked.words[2] * (MAX_VALUE // 16))
            threading.Thread(target=asked.conn.send, args=(reply,), daemon=True).start()
        received = bytearray()
        expected = b"".join(bulk(MAX_VALUE // 16, b"%016x" % rid) for rid in range(1, count + 1))
        expected = expected.replace(b"$%d\r\n" % (MAX_VALUE // 16), b"$%d\r\n" % MAX_VALUE)
        while len(received) < len(expected):
            data = client.sock.recv(1 << 20)
            self.assertTrue(data)
            received += data
        self.assertTrue(bytes(received) == expected)


def test_batches_of_all_sizes_hold_what_was_appended():
    for sizes in itertools.product((1, MIN_PIECE - 1, MIN_PIECE, 3 * MIN_PIECE), repeat=4):
        buffer, data = PieceBuffer(), bytes(range(256)) * (sum(sizes) // 256 + 1)
        position, taken = 0, bytearray()
        for size in sizes:
            buffer.append(memoryview(data)[position : position + size])
            position += size
        assert buffer.size == position
        while batch := buffer.take(2 * MIN_PIECE):
            taken += b"".join(batch)
        assert bytes(taken) == data[:position] and buffer.size == 0
