"""Client connections: read RPCs and write their replies in the order of the commands."""

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

MOST_WAITING = 256  # unanswered commands of one client connection at which the gateway stops reading from it
MOST_BAD = 16  # bad requests at which a connection is closed, so that a flood of them costs little
# A client that sends its request and its FIN together (`printf ... | nc`) still reads the reply, so attempts
# for it may start within LEFT_GRACE of the FIN. A client that has closed the connection looks the same, and
# no attempt for it may start more than 0.1 s after the close. The margin between the two covers the kernel
# tick in which a FIN is timestamped (at most 10 ms), the network delay to the backend, and preemption of this
# process between the check and the write.
LEFT_GRACE = 0.05  # s
KERNEL_TICK = 0.01  # s; the longest tick of any kernel configuration
LINGER = 0.5  # s that a rejected connection stays open, unread, so that the client can read the error
OK = b"+OK\r\n"
TOO_MANY = b"-ERR max number of clients reached\r\n"
CLOSED, ABORTED = Failure(ConnectionDone()), Failure(ConnectionAborted())
STANDBY = b"-ERR standby\r\n"  # reply to PING; the load balancer takes any reply but PONG as not ready


class Ready:
    """A reply to a command that needs no RPC, queued in order with the RPCs."""

    __slots__ = ("reply",)
    response_stream = None

    def __init__(self, reply: bytes) -> None:
        self.reply = [reply]


@implementer(IHalfCloseableProtocol)
class ClientConnection(LineReceiver):
    """One client connection: a LineReceiver in raw mode that parses RESP headers in the received buffers."""

    line_mode = 0

    def __init__(self, gateway: Any) -> None:
        self.gateway, self.parser = gateway, Parser()
        self.idle = gateway.descriptors.idle
        self.waiting: deque[RPC | Ready] = deque()  # in command order
        self.begun = 0.0  # when the first byte of an incomplete command was read
        self.since = gateway.now()  # when it was accepted or last became idle
        self.spoke, self.asked = False, 0  # whether a complete command was read; number of RPCs
        self.bad = 0
        self.waited = 0.0  # s that the bytes being read lay in the socket while the process was stalled
        self.half_closed = self.closing = self.refused = False
        self.held = self.reading = self.ended = False
        self.closed_at: float | None = None  # earliest time at which the client may have sent its FIN
        self.left = False  # whether no further attempts start for this client's requests
        self.is_reset = False  # whether the client closed both directions and reads no reply
        self.seen_open_at = self.since  # last time at which the client was known not to have sent its FIN
        self.body: RequestStream | None = None  # the large value being received
        self.kept = 0  # bytes of a large reply not yet sent to the client, for the memory budget

    def connectionMade(self) -> None:
        """Register the connection, or reject it on overload or when no descriptor can be freed for it."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)  # backpressure: a client that does not read is not read
        self.gateway.client_connections.add(self)
        self.closing = self.gateway.operators.standby  # on standby, serve and then close it
        self.idle.update(self)
        if self.gateway.lateness.is_overloaded and not self.gateway.draining:
            count("client_connection_shed")
            self.turn_away(TOO_MANY)
        elif not self.gateway.descriptors.for_client_connection():
            count("client_connection_refused")
            self.turn_away(TOO_MANY)

    def rawDataReceived(self, data: bytes) -> None:
        """Parse received bytes and write all immediate replies together.

        Malformed input ends this connection only.
        """
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
        """Handle one complete command; commands other than API.READ and API.WRITE are answered here."""
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
        """Pass a complete RPC to the gateway, or reject it if its client disconnected before it was read."""
        if self.left:
            rpc.reply = [self.gateway.turned_down(rpc, 0.0)]
            rpc.release()
        else:
            self.gateway.take(rpc)

    def line_up(self, rpc: RPC) -> None:
        """Queue an RPC for its reply; stop reading from the client at `MOST_WAITING` pending replies."""
        rpc.client_connection = self
        self.asked += 1
        self.waiting.append(rpc)
        self.idle.discard(self)
        if len(self.waiting) >= MOST_WAITING and not self.held:
            self.held = True
            self.regulate()

    def bad_request(self, error: BadRequest) -> None:
        """Reply with the error; close the connection at `MOST_BAD` bad requests."""
        count("request_malformed")
        self.bad += 1
        tell = self.ready if self.bad < MOST_BAD else self.refuse
        tell(b"-ERR %b\r\n" % str(error).encode())

    def long_command(self, frame: Frame, now: float) -> bool:
        """Handle part of a command with a large value; return whether the next frame can be parsed."""
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
        """Take the available bytes of a large value; return whether the value is complete."""
        while (piece := self.parser.piece()) is not None:
            self.body.take(piece)
        return not self.parser.body

    def turn_down(self, body: RequestStream, after: float) -> None:
        """Reject a command whose large value is still being received; the rest of it is discarded."""
        if body.rpc is not None:
            body.rpc.reply = [self.gateway.turned_down(body.rpc, after)]
            body.drop()
            self.regulate()
            self.flush()

    def body_late(self) -> None:
        """Close the connection because a large value stalled; its RPC is dropped."""
        self.forget_body()
        self.refuse(b"-ERR timeout: the command does not come\r\n")

    def forget_body(self) -> None:
        """Drop the command whose large value is incomplete; the gateway has not accepted it yet."""
        body, self.body = self.body, None
        if body is not None:
            if body.rpc is not None:
                self.waiting.remove(body.rpc)
                self.gateway.reader.open.discard(body.rpc.id)
            body.end()
            body.drop()

    def ready(self, reply: bytes) -> None:
        """Queue an immediate reply behind the pending ones."""
        self.waiting.append(Ready(reply))
        self.flush()

    def answer(self, rpc: RPC, reply: list[vectored_write.Part]) -> None:
        """Set the final reply of an RPC; an RPC has only one."""
        if holds(rpc.reply is None, "second_answer"):
            rpc.reply = reply
            self.flush()

    def pass_on(self, rpc: RPC, response_stream: ResponseStream) -> None:
        """Set the final reply of an RPC as a stream, paused while earlier replies are pending."""
        if holds(rpc.reply is None, "second_answer"):
            rpc.response_stream, rpc.reply = response_stream, [response_stream.head]
            response_stream.resume() if self.first(rpc) else response_stream.pause()

    def passed(self, rpc: RPC) -> None:
        """Write what was received of a streamed response, if it is next in order."""
        if self.first(rpc):
            self.flush()

    def pace(self) -> None:
        """Pause a streamed response until the client has taken all bytes written so far.

        So at most one piece of it is buffered here.
        """
        if (unsent := self.unsent()) and not self.transport.producerPaused:
            # Twisted pauses at 64 KiB only; with this set, it calls resumeProducing once its buffer is empty
            self.transport.producerPaused = True
            self.pauseProducing()
        elif not unsent and self.waiting and (response_stream := self.waiting[0].response_stream) is not None:
            response_stream.resume()
        self.gateway.budget.hold(self, unsent)

    def first(self, rpc: RPC) -> bool:
        """Return whether the reply of this RPC is the next to be written."""
        return bool(self.waiting) and rpc is self.waiting[0]

    def unsent(self) -> int:
        """Return the number of bytes written but not yet accepted by the socket."""
        return len(self.transport.dataBuffer) - self.transport.offset + self.transport._tempDataLen

    def flush(self) -> None:
        """Write the replies that are next in order by one vectored write; close a connection that is done."""
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
                self.transport.pauseProducing()  # discarding 60 MB costs more than the connection itself
                self.gateway.reactor.callLater(LINGER, self.transport.abortConnection)
            elif self.half_closed:
                self.end()
            elif self.closing:
                self.close_if_idle()  # waits for the rest of a partial command; the sweep bounds that wait

    def pauseProducing(self) -> None:
        """The send buffer is full: stop reading from the client and from the backend whose response it is."""
        self.regulate()
        if self.waiting and self.waiting[0].response_stream is not None:
            self.waiting[0].response_stream.pause()

    def resumeProducing(self) -> None:
        """The send buffer is empty: read from the client and the backend again."""
        self.regulate()
        if self.kept:
            self.gateway.budget.hold(self, 0)
        if self.waiting and (response_stream := self.waiting[0].response_stream) is not None:
            response_stream.resume()

    def regulate(self) -> None:
        """Pause or resume reading from the client.

        It is paused while the send buffer is full, too many replies are pending, or a large value waits for
        memory.
        """
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
        """Close the connection because a response that was partly sent can't be completed.

        Nothing may be written after it: the client would read that as the rest of the response.
        """
        count("answer_cut_off")
        self.refused = self.ended = True
        self.idle.discard(self)
        self.leave()
        self.end()
        self.gateway.reactor.callLater(LINGER, self.transport.abortConnection)

    def end(self) -> None:
        """Close once all is written; a transport with a paused producer would never close."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def refuse(self, reply: bytes) -> None:
        """Write the pending replies and this one, then close.

        Closing at once, with input unread, would send a reset that may discard the reply at the client.
        """
        self.refused = True
        self.ready(reply)

    def turn_away(self, reply: bytes) -> None:
        """Write a reply and close at once, for a client that has sent nothing.

        Many such connections lingering could fill the descriptor table.
        """
        self.refused = True
        self.idle.discard(self)
        vectored_write.write(self.transport, [reply])
        self.transport.connectionLost(CLOSED)

    def drop(self) -> None:
        """Close at once to free the descriptor for another connection; no request is pending on this one.

        Twisted's abortConnection frees it in the next reactor iteration only, and many connections may be
        accepted in this one.
        """
        self.refused = True
        self.idle.discard(self)
        self.transport.connectionLost(ABORTED)

    def close_when_idle(self) -> None:
        """Close between requests: now or after the last pending reply. Unread requests are served first."""
        if not self.closing and not self.refused:
            self.closing = True
            self.idle.update(self)
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close, unless a request is pending, or may be on its way on a new connection."""
        if self.refused or self.half_closed or self.waiting or self.parser.midway:
            return
        if self not in self.gateway.client_connections or self.transport.disconnecting:
            return  # it has been closed since this call was scheduled
        if not self.spoke and (young := SILENT_LEAST - (self.gateway.now() - self.since)) > 0:
            self.gateway.reactor.callLater(young, self.close_if_idle)
        elif not self.unread():
            self.end()

    def unread(self) -> bool:
        """Return whether the socket holds unread bytes, whose request would be lost by closing now."""
        try:
            return bool(self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
        except OSError:  # no bytes, or the connection is broken
            return False

    def readConnectionLost(self) -> None:
        """The client has sent its FIN: it has closed, or only stopped sending; the two look the same.

        Attempts may still start within `LEFT_GRACE`, and each request gets its reply before the close.
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
        """Return whether an attempt for a request of this client may start now.

        The kernel is asked, because a FIN or a reset may not have been read yet if this process runs late or
        has paused reading. That costs one system call per attempt.
        """
        if not self.left:
            self.look(now)
        return not self.left and (self.closed_at is None or now < self.closed_at + LEFT_GRACE)

    def look(self, now: float) -> None:
        """Ask the kernel whether the client has closed or half-closed the connection, and act on that."""
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
        """Check the client's side of a paused connection, to which the reactor delivers no close events."""
        if not (self.left or self.refused or self.transport.getHandle() is None):
            self.look(self.gateway.now())

    def half_close_seen(self, now: float) -> None:
        """Start the grace period after the client's FIN, in which attempts may still start.

        It counts from when the FIN may have arrived, which may be long ago if this process runs late.
        """
        if self.closed_at is not None:
            return
        self.closed_at = now - self.closed_for(now)
        wait = max(0.0, self.closed_at + LEFT_GRACE - now)
        # One more reactor iteration, so that replies that arrived while this process was late are read first.
        later = self.gateway.reactor.callLater
        later(wait, later, 0, self.client_left)

    def closed_for(self, now: float) -> float:
        """Return an upper bound of the seconds since the client's FIN arrived.

        If the kernel does not report it: on a paused connection the FIN arrived after the last check;
        otherwise it arrived in this event-loop iteration, or in the time by which the iteration is late.
        """
        if (age := since_fin(self.transport.getHandle())) is not None:
            return age + KERNEL_TICK
        return now - self.seen_open_at if self.paused else self.gateway.timers.late

    def client_left(self) -> None:
        """Start no further attempts for pending requests, nor for those still unread."""
        if self.left:
            return
        self.left = True
        for rpc in [w for w in self.waiting if w.reply is None]:
            self.gateway.left(rpc)

    def writeConnectionLost(self) -> None:
        """This side has half-closed: nothing to do, since the client's close ends the connection."""

    def connectionLost(self, reason: Any = None) -> None:
        """The connection is closed: release what it holds and abandon its requests."""
        self.gateway.client_connections.discard(self)
        self.idle.discard(self)
        self.gateway.descriptors.paused.discard(self)
        self.gateway.budget.hold(self, 0)
        self.leave()
        self.gateway.client_connection_ended()

    def leave(self) -> None:
        """Abandon all pending requests and streamed responses."""
        self.forget_body()
        waiting, self.waiting = self.waiting, deque()
        for rpc in waiting:
            if rpc.response_stream is not None:
                rpc.response_stream.client_gone()
            elif rpc.reply is None:
                self.gateway.gone(rpc)


class ClientConnections(ServerFactory):
    """Creates the protocol of each accepted client connection."""

    noisy = False

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the protocol of one new connection."""
        return ClientConnection(self.gateway)
