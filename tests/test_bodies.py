"""Long values: any cutting gives the same bytes, and each way in which a passage may end."""

import dataclasses
import json
from collections import deque

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock

from corkdeal import interface as t
from corkdeal.net import answers, config, gateway, invariants, passage, resp, subchannel
from corkdeal.net.resp import WHOLE, command

from .net_world import SETTINGS, Program, served

LONG = WHOLE + 1


def cut(raw, at):
    """The bytes in pieces, cut at these places."""
    marks = [0, *sorted({a % len(raw) for a in at}), len(raw)]
    return [raw[a:b] for a, b in zip(marks, marks[1:], strict=False) if a < b]


def bulk(size, fill=b"v"):
    return b"$%d\r\n%b\r\n" % (size, fill * size)


MESSAGES = st.lists(
    st.sampled_from(
        [
            bulk(0),
            bulk(5),
            bulk(WHOLE),
            bulk(LONG, b"\r"),
            b"*3\r\n" + bulk(LONG) + b"$-1\r\n$5\r\nqps=1\r\n",
            b"*3\r\n*3\r\n" + bulk(LONG, b"\n") + b":1\r\n" + bulk(2 * LONG) + b"$-1\r\n$-1\r\n",
            b"-BUSY\r\n",
            b"*2\r\n" + bulk(3) + bulk(LONG),
        ]
    ),
    min_size=1,
    max_size=4,
)


def read_all(pieces):
    """All bytes that a parser hands out, in order, and how many frames ended."""
    parser, out, frames = resp.Parser(), [], 0
    for data in pieces:
        parser.feed(data)
        while True:
            if (part := parser.piece()) is not None:
                out.append(bytes(part))
            elif parser.body or (frame := parser.next()) is None:
                break
            else:
                items, frames = frame.items, frames + frame.last
                if items:
                    end = items[-1].end if frame.last else items[-1].start
                    out.append(bytes(frame.buf[items[0].head : end]))
    return b"".join(out), frames, parser.midway


@given(MESSAGES, st.lists(st.integers(0, 10**6), max_size=12))
def test_any_cutting_of_any_messages_gives_the_same_bytes(messages, at):
    raw = b"".join(messages)
    assert read_all(cut(raw, at)) == (raw, len(messages), False)


class Wire:
    """A transport that keeps what is written, and takes only as much of it as it is let."""

    offset, _tempDataBuffer, _tempDataLen, connected = 0, (), 0, True

    def __init__(self):
        self.taken, self.room, self.dataBuffer = bytearray(), 1 << 40, b""
        self.producerPaused = self.reading_paused = self.closed = self.aborted = False
        self.producer = None

    def setTcpNoDelay(self, on):
        """Nothing."""

    def registerProducer(self, producer, streaming):
        self.producer = producer

    def unregisterProducer(self):
        self.producer = None

    def getHandle(self):
        return self

    def sendmsg(self, parts):
        data = b"".join(parts)[: self.room]
        if not data:
            raise BlockingIOError
        self.taken += data
        self.room -= len(data)
        return len(data)

    def write(self, data):
        self.dataBuffer += data
        if self.producer and len(self.dataBuffer) > WHOLE and not self.producerPaused:
            self.producerPaused = True
            self.producer.pauseProducing()

    def writeSequence(self, parts):
        self.write(b"".join(parts))

    def take(self):
        """The other side reads all, and has room again."""
        self.taken += self.dataBuffer
        self.dataBuffer, self.room = b"", 1 << 40
        if self.producer and self.producerPaused:
            self.producerPaused = False
            self.producer.resumeProducing()

    def pauseProducing(self):
        self.reading_paused = True

    def resumeProducing(self):
        self.reading_paused = False

    def loseConnection(self):
        self.closed = True

    def abortConnection(self):
        self.aborted = True

    def shutdown(self, how):
        self.closed = True


class Pair:
    """A gateway between one channel and backend connections, all on a fake reactor."""

    def __init__(self):
        self.reactor = MemoryReactorClock()
        raw = json.dumps({"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}).encode()
        self.gateway = gateway.Gateway(self.reactor, config.read(raw, {}))
        self.gateway.now = self.gateway.pool.now = self.gateway.descriptors.now = self.reactor.seconds
        self.gateway.timers.now = self.reactor.seconds
        entry = t.ServerEntry("a", t.ServerState.READY)
        self.gateway.feed(t.ServerList(t.ListKind.FULL, (entry,)))
        self.gateway.pool.told("a", True, ("127.0.0.1", 3))
        self.channel = gateway.channel.Channel(self.gateway)
        self.client = Wire()
        self.channel.makeConnection(self.client)
        self.heard = []
        handle = self.gateway.decisions.handle
        self.gateway.decisions.handle = lambda now, events: self.heard.extend(events) or handle(now, events)
        invariants.counts.clear()

    def ask(self, rid):
        """One request, and the connection that its attempt goes out on."""
        params = b"c=look,t=large,d=3000,units=1,spread=1,first=0"
        self.channel.dataReceived(command(b"API.READ", b"%016x" % 7, b"%016x" % rid, params))
        conn = self.reactor.tcpClients[-1][2].buildProtocol(None)
        wire = Wire()
        conn.makeConnection(wire)
        return conn, wire

    def outcomes(self):
        return [e.status for e in self.heard if isinstance(e, t.Outcome)]


VALUE = bulk(4 * LONG)
HEAD, TAIL = b"*3\r\n", b"$-1\r\n$5\r\nqps=1\r\n"


@given(st.lists(st.integers(0, 10**6), max_size=8), st.lists(st.integers(0, 3), max_size=12))
def test_a_value_arrives_whole_whatever_the_cuts_and_however_the_client_takes_it(at, takes):
    pair = Pair()
    first, _ = pair.ask(1)
    conn, wire = pair.ask(2)  # its answer has to wait for the first one's
    pair.client.room = 1000
    pieces, held, takes = deque(cut(HEAD + VALUE + TAIL, at)), 0, deque(takes)
    while pieces:
        if wire.reading_paused:
            if not first.attempt:
                pair.client.take()
                pair.client.room = takes.popleft() * LONG if takes else 0
            else:
                first.dataReceived(served())
            continue
        conn.dataReceived(pieces.popleft())
        held = max(held, len(pair.client.dataBuffer))
    if first.attempt:
        first.dataReceived(served())
    pair.client.take()
    assert bytes(pair.client.taken) == bulk(1) + VALUE
    assert pair.outcomes() == [t.Status.OK] * 2
    assert held <= 2 * len(max(cut(HEAD + VALUE + TAIL, at), key=len)) + WHOLE
    assert not pair.channel.waiting and not pair.gateway.rpcs


ENDS = [  # what the backend gives, what happens then, its outcome, a count, whether the client is cut off
    ([HEAD + VALUE[:90000], None], t.Status.RESET, "answer_cut_off", True),
    ([HEAD + VALUE[:90000], passage.GIVE_STALL], t.Status.RESET, "answer_stalled", True),
    ([HEAD + VALUE[:-2] + b"xx"], t.Status.RESET, "subchannel_malformed", True),
    ([HEAD + VALUE + TAIL + b"+more\r\n"], t.Status.OK, "subchannel_unasked", False),
    ([HEAD + VALUE + b"junk\r\n"], t.Status.RESET, "subchannel_malformed", False),
    ([HEAD + bulk(1) + VALUE], t.Status.RESET, "subchannel_malformed", False),
    ([HEAD + b"*2\r\n:1\r\n" + VALUE], t.Status.RESET, "subchannel_malformed", False),
    ([HEAD + b"$%d\r\n" % (resp.MOST_VALUE + 1)], t.Status.RESET, "subchannel_malformed", False),
]


@pytest.mark.parametrize(("given", "status", "name", "gone"), ENDS)
def test_a_backend_that_spoils_a_long_answer_costs_that_answer_only(given, status, name, gone):
    pair = Pair()
    conn, _ = pair.ask(1)
    for what in given:
        if what is None:
            conn.connectionLost()
        elif isinstance(what, float):
            pair.reactor.advance(what)
        else:
            conn.dataReceived(what)
    assert pair.outcomes()[0] is status
    assert invariants.counts[name] == 1
    assert pair.client.closed is gone
    assert bytes(pair.client.taken) in VALUE


def test_nothing_follows_a_value_that_is_not_whole():
    pair = Pair()
    conn, _ = pair.ask(1)
    other, _ = pair.ask(2)
    conn.dataReceived(HEAD + VALUE[:90000])
    conn.connectionLost()
    other.dataReceived(served())
    assert bytes(pair.client.taken) == VALUE[:90000] and pair.client.closed


def test_what_was_begun_is_neither_timed_out_nor_sent_again_and_loads_no_server():
    pair = Pair()
    conn, wire = pair.ask(1)
    pair.reactor.advance(0.25)
    conn.dataReceived(HEAD + VALUE[:90000])
    server = pair.gateway.decisions.servers["a"]
    assert not server.out and len(server.giving) == 1
    for _ in range(8):  # far past its deadline, a byte now and then
        pair.reactor.advance(1.0)
        conn.dataReceived(b"v")
    conn.dataReceived(VALUE[90008:] + TAIL)
    assert bytes(pair.client.taken) == VALUE
    last = [e for e in pair.heard if isinstance(e, t.Outcome)][-1]
    assert (last.status, last.elapsed, last.report) == (t.Status.OK, 0.25, {"qps": 1.0})
    assert not server.giving and len(pair.reactor.tcpClients) == 1


def test_a_client_that_takes_nothing_ends_and_one_that_goes_away_frees_its_backend():
    for leave in (False, True):
        pair = Pair()
        conn, wire = pair.ask(1)
        pair.client.room = 0
        conn.dataReceived(HEAD + VALUE[:90000])
        assert wire.reading_paused
        if leave:
            pair.channel.connectionLost()
        else:
            for _ in range(4):
                pair.reactor.advance(passage.TAKE_STALL)
            assert pair.client.closed and invariants.counts["answer_not_taken"] == 1
        assert conn.ended and pair.outcomes() == [t.Status.CANCELLED]


def test_a_probe_has_no_long_answer():
    pair = Pair()
    pool = pair.gateway.pool
    pool.send(subchannel.Attempt(None, 0, "a", 0.0, 9.0, [b"x"]))
    conn = pair.reactor.tcpClients[-1][2].buildProtocol(None)
    conn.makeConnection(Wire())
    conn.dataReceived(VALUE)
    assert conn.ended and invariants.counts["subchannel_malformed"] == 1
    assert [e.status for e in pair.heard if isinstance(e, t.ProbeResult)] == [t.Status.RESET]
    assert dataclasses.is_dataclass(answers.Reply)


def test_a_slow_commands_wait_counts_from_its_last_byte():
    pair = Pair()
    raw = command(b"API.READ", b"%016x" % 7, b"%016x" % 1, b"c=look,t=large,d=900,units=1,spread=1,first=0")
    pair.channel.dataReceived(raw[:-2])
    pair.reactor.advance(2.0)  # as long as clients may take
    pair.gateway.descriptors.sweep()
    pair.channel.dataReceived(raw[-2:])
    (request,) = [e for e in pair.heard if isinstance(e, t.Request)]
    assert request.patience == pytest.approx(0.9, abs=0.01)


class LongValues(Program):
    """The release build on real sockets."""

    build = ("-O",)

    def test_the_first_bytes_reach_the_client_before_the_backend_has_given_the_last(self):
        self.start(a={})
        client, value = self.client(), bytes(range(256)) * 16384  # 4 MiB
        self.ask(client)
        asked = self.world.next()
        whole = served(value)
        asked.conn.send(whole[:100_000])
        head = b"$%d\r\n" % len(value)
        got = bytearray(client.sock.recv(65536))
        self.assertTrue(got.startswith(head))
        asked.conn.send(whole[100_000:])
        while len(got) < len(head) + len(value) + 2:
            got += client.sock.recv(1 << 20)
        self.assertEqual(bytes(got), head + value + b"\r\n")
        self.ask(client, rid=2)
        self.world.next().conn.send(served())
        self.assertEqual(client.read(), [b"v"])
