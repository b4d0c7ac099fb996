"""The clients' side: connections that carry RPCs and answer them in the order of their commands."""

from __future__ import annotations

import socket
from collections import deque
from typing import Any

from twisted.internet.error import ConnectionAborted, ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from . import vectored_write
from .descriptors import SILENT_LEAST
from .invariants import count, holds
from .request_stream import RequestStream
from .resp import Frame, Malformed, Parser
from .response_stream import ResponseStream
from .rpc import READ, RPC, WRITE, BadRequest
from .tcp_state import PeerState, peer_state, since_fin

MOST_WAITING = 256  # commands of one client connection without an answer; past that it is not read on
MOST_BAD = 16  # bad requests of one connection; past that it is closed, so that a flood of them costs little
# A client that sends its request and its FIN together (`printf ... | nc`) still reads: its request may get to
# a backend in the first LEFT_GRACE s. One that has closed looks the same, and no attempt for it may begin
# more than 0.1 s after its close. The rest covers the tick in which the kernel dates a FIN (10 ms at most),
# the way to the backend, and a process that loses the processor between its check and its write.
LEFT_GRACE = 0.05  # s
KERNEL_TICK = 0.01  # s, the longest there is
LINGER = 0.5  # s that a refused client connection stays open, unread, so that its client can read why
OK = b"+OK\r\n"
TOO_MANY = b"-ERR max number of clients reached\r\n"
CLOSED, ABORTED = Failure(ConnectionDone()), Failure(ConnectionAborted())
STANDBY = b"-ERR standby\r\n"  # PING's answer on standby: the front takes anything but PONG as a no


class Ready:
    """An answer that needs no RPC, in its place among the others."""

    __slots__ = ("reply",)
    response_stream = None

    def __init__(self, reply: bytes) -> None:
        self.reply = [reply]


@implementer(IHalfCloseableProtocol)
class ClientConnection(LineReceiver):
    """One client connection: a LineReceiver in raw mode, whose heads are parsed where they arrived."""

    line_mode = 0

    def __init__(self, gateway: Any) -> None:
        self.gateway, self.parser = gateway, Parser()
        self.idle = gateway.descriptors.idle
        self.waiting: deque[RPC | Ready] = deque()  # in the order of their commands
        self.begun = 0.0  # when the first byte of a command that has not come whole was seen
        self.since = gateway.now()  # when it was connected or last fell idle
        self.spoke, self.asked = False, 0  # whether a whole command has come, and how many RPCs
        self.bad = 0
        self.waited = 0.0  # s that what is being read lay here while the process stood still
        self.half_closed = self.closing = self.refused = False
        self.held = self.reading = self.ended = False
        self.closed_at: float | None = None  # when its client may have ended its sending, where that is known
        self.left = False  # whether nothing more is begun for what its client asked
        self.is_reset = False  # whether its client has closed both ways, so that nobody reads an answer
        self.seen_open_at = self.since  # when its client was last known to send on
        self.body: RequestStream | None = None  # a command's long value on its way in
        self.kept = 0  # bytes of a long answer that its client has not taken, for the budget

    def connectionMade(self) -> None:
        """Join the others, unless all descriptors are in use for something better."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)  # a client that reads no answers is not read either
        self.gateway.client_connections.add(self)
        self.closing = self.gateway.operators.standby  # served, then closed: no more come soon
        self.idle.update(self)
        if self.gateway.lateness.is_overloaded and not self.gateway.draining:
            count("client_connection_shed")
            self.turn_away(TOO_MANY)
        elif not self.gateway.descriptors.for_client_connection():
            count("client_connection_refused")
            self.turn_away(TOO_MANY)

    def rawDataReceived(self, data: bytes) -> None:
        """Take bytes; malformed ones cost this connection only. Answers go out together."""
        if self.refused:
            return
        now = self.seen_open_at = self.gateway.now()
        if self.gateway.recovery is not None:
            self.waited = self.gateway.recovery.unread_time(self.transport.getHandle(), now)
        begun = self.begun if self.parser.midway else now
        self.reading = True
        try:
            self.parser.feed(data)
            more = not self.parser.body or self.body_comes()
            while more and not self.refused and (frame := self.parser.next()) is not None:
                if frame.last and self.body is None:
                    self.command(frame, now)
                else:
                    more = self.long_command(frame, now)
                begun = now
        except Malformed as error:
            count("client_connection_malformed")
            self.forget_body()
            self.refuse(b"-ERR Protocol error: %b\r\n" % str(error).encode())
        finally:
            self.reading = False
        self.begun = begun
        self.flush()

    def command(self, frame: Frame, now: float) -> None:
        """One command; what is no request is answered here."""
        if not frame.is_command():
            raise Malformed("expected an array of bulk strings")
        self.spoke = True
        name = frame.text(1).upper()
        if name in (READ, WRITE):
            try:
                rpc = self.gateway.reader.read(frame, now, self.waited)
            except BadRequest as error:
                return self.bad_request(error)
            self.line_up(rpc)
            self.take(rpc)
        elif name == b"PING" and len(frame.items) == 2:
            self.ready(STANDBY if self.gateway.operators.standby else b"+PONG\r\n")
        elif name in (b"PING", b"ECHO") and len(frame.items) == 3:
            self.ready(b"$%d\r\n%b\r\n" % (frame.items[2].size, frame.text(2)))
        elif name in (b"CLIENT", b"SELECT"):
            self.ready(OK)
        elif name == b"QUIT":
            self.refuse(OK)
        else:
            self.ready(b"-ERR unknown command\r\n")

    def take(self, rpc: RPC) -> None:
        """Hand on an RPC that has come whole, unless its client left while it lay here unread."""
        if self.left:
            rpc.reply = [self.gateway.turned_down(rpc, 0.0)]
            rpc.release()
        else:
            self.gateway.take(rpc)

    def line_up(self, rpc: RPC) -> None:
        """One more answer is owed here; past so many the client connection is not read on."""
        rpc.client_connection = self
        self.asked += 1
        self.waiting.append(rpc)
        self.idle.discard(self)
        if len(self.waiting) >= MOST_WAITING and not self.held:
            self.held = True
            self.regulate()

    def bad_request(self, error: BadRequest) -> None:
        """Tell what is wrong with it; many of them end the client connection."""
        count("request_malformed")
        self.bad += 1
        tell = self.ready if self.bad < MOST_BAD else self.refuse
        tell(b"-ERR %b\r\n" % str(error).encode())

    def long_command(self, frame: Frame, now: float) -> bool:
        """A part of a command with a long value; whether the next one can be looked for."""
        if self.body is None:
            self.spoke = True
            try:
                rpc = self.gateway.reader.read_head(frame, self.parser.left, now)
                self.line_up(rpc)
                rpc.body = self.body = RequestStream(self.gateway.budget, self, rpc)
                if (wait := self.gateway.beyond_quota(rpc.request)) is not None:
                    count("refused_at_head")
                    self.turn_down(self.body, wait)
            except BadRequest as error:
                self.body = RequestStream(self.gateway.budget, self, None)
                self.bad_request(error)
        elif frame.last:
            body, self.body = self.body, None
            body.end()
            if body.rpc is not None:
                body.rpc.deadline = now + body.rpc.request.timeout
                self.take(body.rpc)
            return True
        return self.body_comes()

    def body_comes(self) -> bool:
        """Take what has come of a long value; whether that is all."""
        while (piece := self.parser.piece()) is not None:
            self.body.take(piece)
        return not self.parser.body

    def turn_down(self, body: RequestStream, after: float) -> None:
        """Refuse a command whose long value has not come whole; the rest of it is read past."""
        if body.rpc is not None:
            body.rpc.reply = [self.gateway.turned_down(body.rpc, after)]
            body.drop()
            self.regulate()
            self.flush()

    def body_late(self) -> None:
        """A long value does not come on: what was to be an RPC is none, and the client connection ends."""
        self.forget_body()
        self.refuse(b"-ERR timeout: the command does not come\r\n")

    def forget_body(self) -> None:
        """The command whose long value was coming never comes whole; nothing was taken."""
        body, self.body = self.body, None
        if body is not None:
            if body.rpc is not None:
                self.waiting.remove(body.rpc)
                self.gateway.reader.open.discard(body.rpc.id)
            body.end()
            body.drop()

    def ready(self, reply: bytes) -> None:
        """An answer at once, behind those that are still to come."""
        self.waiting.append(Ready(reply))
        self.flush()

    def answer(self, rpc: RPC, reply: list[vectored_write.Part]) -> None:
        """The one final answer of an RPC."""
        if holds(rpc.reply is None, "second_answer"):
            rpc.reply = reply
            self.flush()

    def pass_on(self, rpc: RPC, response_stream: ResponseStream) -> None:
        """The one final answer of an RPC, yet to come whole; behind others its stream has to wait."""
        if holds(rpc.reply is None, "second_answer"):
            rpc.response_stream, rpc.reply = response_stream, [response_stream.head]
            response_stream.resume() if self.first(rpc) else response_stream.pause()

    def passed(self, rpc: RPC) -> None:
        """More of an answer has come."""
        if self.first(rpc):
            self.flush()

    def pace(self) -> None:
        """A long answer goes on once its client has taken all of it so far: at most one piece waits here."""
        if (unsent := self.unsent()) and not self.transport.producerPaused:
            self.transport.producerPaused = True  # its mark is 64 KiB; this way it tells when all is taken
            self.pauseProducing()
        elif not unsent and self.waiting and (response_stream := self.waiting[0].response_stream) is not None:
            response_stream.resume()
        self.gateway.budget.hold(self, unsent)

    def first(self, rpc: RPC) -> bool:
        """Whether this RPC's answer is the next to be written."""
        return bool(self.waiting) and rpc is self.waiting[0]

    def unsent(self) -> int:
        """Bytes that the client has not taken yet."""
        return len(self.transport.dataBuffer) - self.transport.offset + self.transport._tempDataLen

    def flush(self) -> None:
        """Write what is ready in order, by one vectored write; close where nothing is left to do."""
        if self.reading:
            return
        parts: list[vectored_write.Part] = []
        long = False
        while self.waiting and (reply := self.waiting[0].reply) is not None:
            parts += reply
            if (response_stream := self.waiting[0].response_stream) is not None:
                long = True
                if not response_stream.ended:
                    self.waiting[0].reply = []
                    break
            self.waiting.popleft()
        if parts and self.transport.connected:
            vectored_write.write(self.transport, parts)
        if long:
            self.pace()
        if self.held and len(self.waiting) < MOST_WAITING // 2:
            self.held = False
            if not self.refused:
                self.regulate()
        if not self.waiting:
            self.since = self.gateway.now()
            self.idle.update(self)
            if self.refused:
                if self.ended:
                    return
                self.ended = True
                self.transport.unregisterProducer()
                self.transport.loseWriteConnection()
                self.transport.pauseProducing()  # 60 MB that nobody wants would cost more than its client
                self.gateway.reactor.callLater(LINGER, self.transport.abortConnection)
            elif self.half_closed:
                self.end()
            elif self.closing:
                self.close_if_idle()  # half a command is waited for; the sweep bounds that wait

    def pauseProducing(self) -> None:
        """The client does not take what is written: it is not read on, and neither is who answers it."""
        self.regulate()
        if self.waiting and self.waiting[0].response_stream is not None:
            self.waiting[0].response_stream.pause()

    def resumeProducing(self) -> None:
        """All is written."""
        self.regulate()
        if self.kept:
            self.gateway.budget.hold(self, 0)
        if self.waiting and (response_stream := self.waiting[0].response_stream) is not None:
            response_stream.resume()

    def regulate(self) -> None:
        """Read the client or not: it takes no answers, is owed many, or what it sends finds no room."""
        no_room = self.body is not None and self.body.waits is not None
        stop = self.held or self.transport.producerPaused or no_room
        if stop is self.paused:
            return
        if stop:
            super().pauseProducing()
            self.gateway.descriptors.paused.add(self)
        else:
            super().resumeProducing()
            self.gateway.descriptors.paused.discard(self)

    def cut(self) -> None:
        """An answer that was begun can't be finished: end here, so that its client can tell.

        Nothing may be written behind it, for the client would take that for the rest.
        """
        count("answer_cut_off")
        self.refused = self.ended = True
        self.idle.discard(self)
        self.leave()
        self.end()
        self.gateway.reactor.callLater(LINGER, self.transport.abortConnection)

    def end(self) -> None:
        """Close once all is written. A transport with a paused producer would wait for it for ever."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def refuse(self, reply: bytes) -> None:
        """Answer what came before, then this, then end; closing at once could destroy it on its way."""
        self.refused = True
        self.ready(reply)

    def turn_away(self, reply: bytes) -> None:
        """End one that has sent nothing, without lingering: a crowd of those could fill the table."""
        self.refused = True
        self.idle.discard(self)
        vectored_write.write(self.transport, [reply])
        self.transport.connectionLost(CLOSED)

    def drop(self) -> None:
        """Close at once, for another connection's sake; nothing is open on this one.

        Twisted's abort waits for the next turn, and many connections may be accepted in this one.
        """
        self.refused = True
        self.idle.discard(self)
        self.transport.connectionLost(ABORTED)

    def close_when_idle(self) -> None:
        """Close between requests: now, or after the last answer. One that is about to be read is served."""
        if not self.closing and not self.refused:
            self.closing = True
            self.idle.update(self)
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close, unless there is a request to answer, or who has just connected may have one under way."""
        if self.refused or self.half_closed or self.waiting or self.parser.midway:
            return
        if self not in self.gateway.client_connections or self.transport.disconnecting:
            return  # it was asked again and has ended meanwhile
        if not self.spoke and (young := SILENT_LEAST - (self.gateway.now() - self.since)) > 0:
            self.gateway.reactor.callLater(young, self.close_if_idle)
        elif not self.unread():
            self.end()

    def unread(self) -> bool:
        """Whether bytes have come that are still to be read: closing now would cut their request off."""
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # nothing there, or no connection any more
            return False

    def readConnectionLost(self) -> None:
        """The client sends no more, for it has gone or will only read on; which, is not told.

        What is on its way to a backend has a moment to get there, and each request has its answer first.
        """
        self.half_closed = True
        self.idle.discard(self)
        if self.body is not None:
            count("command_cut_short")
            self.forget_body()
        if not self.waiting:
            self.end()
        else:
            self.half_close_seen(self.gateway.now())

    def may_begin(self, now: float) -> bool:
        """Whether an attempt for a request of its client may begin at this moment.

        The kernel is asked, not what was read: where this process is late, or does not read this connection,
        a FIN or a reset lies there unseen. That costs one system call for an attempt.
        """
        if not self.left:
            self.look(now)
        return not self.left and (self.closed_at is None or now < self.closed_at + LEFT_GRACE)

    def look(self, now: float) -> None:
        """Ask the kernel how far its client has ended the connection, and act on that."""
        if not self.transport.connected:
            return
        state = peer_state(self.transport.getHandle())
        if state is PeerState.OPEN:
            self.seen_open_at = now
        elif state is PeerState.HALF_CLOSED:
            self.half_close_seen(now)
        elif not self.is_reset:
            self.left = self.is_reset = True
            count("client_connection_reset_unread")
            self.transport.abortConnection()

    def look_behind(self) -> None:
        """Look at one that is not read, and so does not hear of its client's end."""
        if not (self.left or self.refused or self.transport.getHandle() is None):
            self.look(self.gateway.now())

    def half_close_seen(self, now: float) -> None:
        """Its client has sent its FIN: what is on its way to a backend has the grace to get there.

        The grace counts from when the FIN may have come, which is long ago where this process is late.
        """
        if self.closed_at is not None:
            return
        self.closed_at = now - self.closed_for(now)
        wait = max(0.0, self.closed_at + LEFT_GRACE - now)
        # By way of one more turn: answers that came while this process was late are seen first.
        later = self.gateway.reactor.callLater
        later(wait, later, 0, self.client_left)

    def closed_for(self, now: float) -> float:
        """Seconds since its client's FIN may have come, at the most.

        Where the kernel does not tell, it came after the last look at a connection that is not read, and in
        this turn of the loop, or in the time by which the turn is late, on one that is read.
        """
        if (age := since_fin(self.transport.getHandle())) is not None:
            return age + KERNEL_TICK
        return now - self.seen_open_at if self.paused else self.gateway.timers.late

    def client_left(self) -> None:
        """Nothing new is begun any more for what is open here, nor for what is still to be read."""
        if self.left:
            return
        self.left = True
        for rpc in [w for w in self.waiting if w.reply is None]:
            self.gateway.left(rpc)

    def writeConnectionLost(self) -> None:
        """This side's own half-close; the other half ends the client connection."""

    def connectionLost(self, reason: Any = None) -> None:
        """The client has gone away: nobody waits for what it asked."""
        self.gateway.client_connections.discard(self)
        self.idle.discard(self)
        self.gateway.descriptors.paused.discard(self)
        self.gateway.budget.hold(self, 0)
        self.leave()
        self.gateway.client_connection_ended()

    def leave(self) -> None:
        """Nobody waits any more for what is open here."""
        self.forget_body()
        waiting, self.waiting = self.waiting, deque()
        for rpc in waiting:
            if rpc.response_stream is not None:
                rpc.response_stream.client_gone()
            elif rpc.reply is None:
                self.gateway.gone(rpc)


class ClientConnections(ServerFactory):
    """Accepts clients."""

    noisy = False

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """The protocol of one connection."""
        return ClientConnection(self.gateway)
