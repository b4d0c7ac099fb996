"""Backend connections and their pool: one attempt at a time on each, warm ones used again."""

from __future__ import annotations

import math
import socket
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionAborted
from twisted.internet.protocol import ClientFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from ..decisions.events import Status
from ..decisions.settings import Settings
from . import vectored_write
from .answers import Reply, check_head, read_probe, read_reply
from .budget import Budget
from .invariants import count, holds
from .request_stream import Sender
from .resp import Frame, Malformed, Parser
from .response_stream import ResponseStream
from .rpc import RPC

IDLE_PART = 0.8  # of the idle limit; a backend closes "at the latest" then, and a crossing send is a reset
SETTLE = 0.007  # s that a connection rests after an answer: what comes behind it must not answer the next RPC
REPLY_STALL, REPLY_LATE = 0.1, 0.3  # s without another byte of an answer, and from its first to its last
CONNECT_PART = 0.25  # of the shortest aim, after which a connection that is not up is given up
ABORTED = Failure(ConnectionAborted())


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an RPC, or a probe where there is none."""

    rpc: RPC | None
    number: int
    server: str
    sent_at: float
    until: float
    parts: list[vectored_write.Part]
    conn: BackendConnection | None = None
    over: bool = False
    first: float | None = None  # s from sending it to the first byte of a long answer, once that is passed on
    decided_at: float = 0.0  # when it was decided on; unlike `sent_at` this stays as it is
    write_by: float = math.inf  # when its last byte has to be written: a repeat is dropped for so long only

    @property
    def whole(self) -> bool:
        """Whether its last byte was handed to the kernel, so that its backend may have begun it."""
        conn = self.conn
        return (
            conn is not None
            and conn.begun_at is not None
            and not (conn.sender or vectored_write.pending(conn.transport))
        )


class BackendConnection(LineReceiver):
    """One connection to a backend: a LineReceiver in raw mode; giving up its attempt ends it."""

    line_mode = 0

    def __init__(self, pool: Pool, server: str, attempt: Attempt) -> None:
        self.pool, self.server, self.parser = pool, server, Parser()
        self.attempt: Attempt | None = attempt
        self.up = self.ended = False
        self.response_stream: ResponseStream | None = None  # the long answer that it is giving
        self.sender: Sender | None = None  # what writes a long command, until it is whole
        self.idle_since = 0.0
        self.connector: Any = None
        self.begun_at: float | None = None  # when its attempt was written, or began to be
        attempt.conn = self

    def connectionMade(self) -> None:
        """Up: write the attempt that it was opened for."""
        self.up = True
        if self.pool.turn is not None:
            self.pool.turn()  # may end the attempt, where the process stood still while it connected
        if self.ended:
            return
        self.transport.setTcpNoDelay(True)
        if self.attempt is None:
            return self.close()
        if self.pool.may_write(self.attempt):
            self.begin(self.attempt)

    def begin(self, attempt: Attempt) -> None:
        """Write an attempt; from its first byte on it counts as sent. One that is too late to write ends."""
        self.attempt, attempt.conn = attempt, self
        now = self.pool.now()
        if now > attempt.write_by:
            return self.pool.too_late(attempt)
        self.begun_at = now
        if attempt.rpc is None or attempt.rpc.body is None:
            vectored_write.write(self.transport, attempt.parts)
            return
        self.sender = Sender(self.transport, attempt.parts, self.sent)
        self.sender.start()

    def sent(self) -> None:
        """A long command is written whole. Its attempt counts from here: how slowly it went says little."""
        self.sender = None
        if self.attempt:
            self.attempt.sent_at = self.pool.now()

    def rawDataReceived(self, data: bytes) -> None:
        """The answer; bytes that nobody asked for end the connection."""
        if self.attempt is None:
            if not self.ended:
                count("backend_connection_unasked")
                self.close()
            return
        if self.response_stream is not None:
            return self.response_stream.take(data)
        begun = self.parser.midway
        try:
            self.parser.feed(data)
            frame = self.parser.next()
            if frame and not frame.last:
                return self.long_answer(self.attempt, frame)
            reply = frame and (read_reply if self.attempt.rpc else read_probe)(frame)
            if not frame and self.attempt.rpc:
                check_head(*self.parser.head())
            elif reply and self.sender and reply.status is Status.OK:
                raise Malformed("an answer to a command that it does not have whole")
        except Malformed:
            return self.spoilt(self.attempt)
        if not reply and not begun:  # one that never ends would hold its request up to the deadline
            self.pool.reactor.callLater(
                REPLY_STALL, self.stalled, self.attempt, self.pool.now() + REPLY_LATE, len(self.parser.buf)
            )
        if reply:
            self.answered(self.attempt, reply)

    def answered(self, attempt: Attempt, reply: Reply) -> None:
        """The whole answer has come; the connection is kept unless more than that did."""
        if self.response_stream:
            self.response_stream.finish()
        self.attempt = self.response_stream = None
        if self.parser.midway or self.sender:
            count("backend_connection_answered_early" if self.sender else "backend_connection_unasked")
            self.close()
        else:
            self.pool.keep(self)
        self.pool.finish(attempt, reply)

    def long_answer(self, attempt: Attempt, frame: Frame) -> None:
        """An answer has come up to a long value: it is passed on from here."""
        if attempt.rpc is None or self.sender:
            raise Malformed("no answer to what was asked")
        self.response_stream = ResponseStream(self, attempt, frame)
        self.response_stream.start()

    def stalled(self, attempt: Attempt, until: float, had: int) -> None:
        """Whether an answer that had begun still comes."""
        have = len(self.parser.buf)
        if self.response_stream is not None:
            return  # it looks after itself
        if not attempt.over and have > had and self.pool.now() < until:
            self.pool.reactor.callLater(REPLY_STALL, self.stalled, attempt, until, have)
        else:
            self.spoilt(attempt)

    def spoilt(self, attempt: Attempt) -> None:
        """No sound answer came, or not the whole of one; the attempt may have run."""
        if not attempt.over:
            count("backend_connection_malformed")
            self.pool.give_up(attempt, Status.RESET)

    def clean(self) -> bool:
        """Whether nothing has come since the last answer, not even an end; the reactor may not know yet."""
        try:
            self.transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            count("backend_connection_broken_while_idle")
            return False
        count("backend_connection_unasked")
        return False

    def close(self) -> None:
        """End it now. Twisted's abort waits for the next turn, and by then another attempt may be out."""
        if self.ended:
            return
        self.ended, self.attempt = True, None
        self.pool.forget(self)
        if self.response_stream:
            self.response_stream.broken()
        if self.up:
            self.pool.closing.add(self)
            try:
                self.transport.getHandle().shutdown(socket.SHUT_RDWR)
            except OSError:
                count("shutdown_on_broken_connection")
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def drop(self) -> None:
        """End an idle one for another's sake. Many may be opened in this turn, so its descriptor goes now."""
        self.close()
        self.transport.connectionLost(ABORTED)

    def lost(self) -> None:
        """It never came up, or broke: the attempt ran only if its last byte was written."""
        if self.ended:
            return
        attempt, self.ended, self.attempt = self.attempt, True, None
        self.pool.forget(self)
        if self.response_stream:
            self.response_stream.broken()
        if attempt:
            whole = self.up and not self.sender and not vectored_write.pending(self.transport)
            self.pool.finish(attempt, Reply(Status.RESET if whole else Status.CONNECT_FAILED))

    def connectionLost(self, reason: Any = None) -> None:
        """Broken, closed by the backend, or closed here."""
        self.pool.closing.discard(self)
        self.lost()


class Dial(ClientFactory):
    """Opens one backend connection."""

    noisy = False

    def __init__(self, conn: BackendConnection) -> None:
        self.conn = conn

    def buildProtocol(self, addr: Any) -> BackendConnection:
        """The backend connection that was waiting for it."""
        return self.conn

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """Refused, or not up in time."""
        self.conn.lost()


class Pool:
    """All backend connections, by backend; `finished` hears how each attempt ended, exactly once.

    `passing` hears of the first bytes of a long answer, and tells whether somebody waits for it. `may_write`
    tells whether an attempt may begin on a connection that has come up for it, and gives up one that may not.
    `room` tells whether the process can spare a descriptor for one more.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        most: int,
        now: Callable[[], float],
        finished: Callable[[Attempt, Reply], None],
        room: Callable[[], bool],
        passing: Callable[[Attempt, ResponseStream], bool],
        may_write: Callable[[Attempt], bool],
        budget: Budget,
    ) -> None:
        self.reactor, self.most, self.now, self.finished, self.room = reactor, most, now, finished, room
        self.passing, self.may_write, self.budget = passing, may_write, budget
        aim = min(c.latency_objective for c in settings.classes)
        self.connect_timeout = min(settings.connect_timeout, CONNECT_PART * aim)
        self.idle_limit = settings.idle_timeout * IDLE_PART
        self.addresses: dict[str, tuple[str, int]] = {}
        self.idle: dict[str, list[BackendConnection]] = {}
        self.open: set[BackendConnection] = set()
        self.closing: set[BackendConnection] = set()  # closed here, with a descriptor until the next turn
        self.opened = 0  # since the start
        self.turn: Callable[[], bool] | None = None  # called before a write: whether the process stood still

    def send(self, attempt: Attempt) -> None:
        """Write the attempt on the connection that was used last and has settled, or on a new one."""
        if self.turn is not None and self.turn():  # the process stood still since this was decided
            return self.finish(attempt, Reply(Status.ABANDONED))
        now = self.now()
        for conn in reversed(self.idle.get(attempt.server, ())[:]):
            if conn.idle_since > now - SETTLE:
                continue
            if conn.idle_since > now - self.idle_limit and conn.clean():
                self.idle[attempt.server].remove(conn)
                return conn.begin(attempt)
            conn.close()
        if (at := self.addresses.get(attempt.server)) is None:
            count("backend_connection_without_address")
            return self.finish(attempt, Reply(Status.CONNECT_FAILED))
        if (len(self.open) >= self.most or not self.room()) and not self.make_room():
            # this gateway's own shortage, which says nothing of the backend
            count("backend_connection_none_left")
            return self.finish(attempt, Reply(Status.ABANDONED))
        conn = BackendConnection(self, attempt.server, attempt)
        self.open.add(conn)
        self.opened += 1
        conn.connector = self.reactor.connectTCP(*at, Dial(conn), timeout=self.connect_timeout)

    def limit_write(self, attempt: Attempt) -> None:
        """End the attempt at its `write_by`, unless its last byte is written by then."""
        if attempt.write_by < math.inf and not attempt.over:
            self.reactor.callLater(max(0.0, attempt.write_by - self.now()), self.write_is_due, attempt)

    def write_is_due(self, attempt: Attempt) -> None:
        """Its time to be written is over."""
        if not attempt.over and not attempt.whole:
            self.too_late(attempt)

    def too_late(self, attempt: Attempt) -> None:
        """End an attempt that was not written in time; this says nothing of its backend."""
        count("repeat_too_late_to_write")
        self.give_up(attempt, Status.ABANDONED)

    def drop_connecting(self) -> None:
        """End the attempts that have not been written yet; this says nothing of their backends."""
        for conn in [c for c in self.open if c.attempt and not c.attempt.over and c.begun_at is None]:
            self.give_up(conn.attempt, Status.ABANDONED)

    def make_room(self) -> bool:
        """Close the connection that has stood idle for longest, and free its descriptor in this turn."""
        if spare := [conns[0] for conns in self.idle.values() if conns]:
            min(spare, key=lambda c: c.idle_since).drop()
        return bool(spare)

    def keep(self, conn: BackendConnection) -> None:
        """Hold a connection for the next attempt, unless its backend has left the list meanwhile."""
        if conn.server not in self.addresses:
            return conn.close()
        conn.idle_since = self.now()
        self.idle.setdefault(conn.server, []).append(conn)

    def forget(self, conn: BackendConnection) -> None:
        """Let go of a connection that has ended."""
        self.open.discard(conn)
        if conn in (spare := self.idle.get(conn.server, [])):
            spare.remove(conn)

    def finish(self, attempt: Attempt, reply: Reply) -> None:
        """Tell how an attempt ended."""
        if holds(not attempt.over, "second_outcome"):
            attempt.over, attempt.conn, attempt.parts = True, None, []
            self.finished(attempt, reply)
            attempt.rpc = None  # its timer holds the attempt until it is due, and must not hold the frame

    def give_up(self, attempt: Attempt, status: Status) -> None:
        """Stop waiting; its connection ends, so a late answer reaches nobody."""
        if not attempt.over:
            if attempt.conn:
                attempt.conn.close()
            self.finish(attempt, Reply(status))

    def close_idle(self, server: str) -> None:
        """Close a backend's idle connections."""
        for conn in list(self.idle.pop(server, ())):
            conn.close()

    def told(self, server: str, ready: bool, at: tuple[str, int]) -> None:
        """Follow the list. Attempts connecting to a drained backend end: their first byte could come late."""
        moved = self.addresses.pop(server, at) != at
        if ready:  # of backends that left nothing is kept: over a long day there are many
            self.addresses[server] = at
        if not ready or moved:
            self.close_idle(server)
            for conn in [c for c in self.open if c.server == server and not c.up and c.attempt]:
                count("backend_connection_drained_while_connecting")
                self.give_up(conn.attempt, Status.CONNECT_FAILED)

    def sweep(self) -> None:
        """Retire connections before the backends do."""
        oldest = self.now() - self.idle_limit
        for conns in self.idle.values():
            for conn in [c for c in conns if c.idle_since <= oldest]:
                conn.close()
