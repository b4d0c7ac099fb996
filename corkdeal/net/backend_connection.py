"""Backend connections and their pool: one attempt at a time on each; idle connections are reused."""

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
from .backend_replies import Reply, check_header, read_health_check, read_reply
from .budget import MAX_READ_SIZE, MIN_READ_SIZE, Budget
from .invariants import count, holds
from .request_stream import CommandWriter
from .resp import Frame, MalformedError, Parser
from .response_stream import ResponseStream
from .rpc import RPC

# share of the idle timeout after which an idle connection is closed: a backend closes it at the timeout at
# the latest, and a write that crosses that close is reset
IDLE_TIMEOUT_SHARE = 0.8
REUSE_DELAY = 0.007  # s between a reply and reuse: bytes after the reply must not be read as the next RPC's
# s that a reply may take between two reads, and from its first byte to its last
REPLY_STALL_TIMEOUT, REPLY_TIMEOUT = 0.1, 0.3
CONNECT_TIMEOUT_SHARE = 0.5  # share of the time left that connecting may take; a retry has as long
ABORTED = Failure(ConnectionAborted())


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt of an RPC, or a health check if `rpc` is None."""

    rpc: RPC | None
    number: int
    backend: str
    sent_at: float
    deadline: float
    parts: list[vectored_write.Part]  # of a health check; those of an RPC are set as it is written
    conn: BackendConnection | None = None
    is_finished: bool = False
    # s from sending it to the first byte of a large reply, once that is streamed
    first_byte_latency: float | None = None
    decided_at: float = 0.0  # when the decisions started it; unlike `sent_at`, never changed
    write_by: float = math.inf  # deadline for its last byte: backends deduplicate a retry until then only

    @property
    def is_fully_written(self) -> bool:
        """Whether its last byte was handed to the kernel, so that the backend may have executed it."""
        conn = self.conn
        return (
            conn is not None
            and conn.write_started_at is not None
            and not (conn.command_writer or vectored_write.pending(conn.transport))
        )


class BackendConnection(LineReceiver):
    """One connection to a backend: a LineReceiver in raw mode. Abandoning its attempt closes it."""

    line_mode = 0

    def __init__(self, pool: BackendPool, backend: str, attempt: Attempt) -> None:
        self.pool, self.backend, self.parser = pool, backend, Parser()
        self.process = pool.process(backend)  # that the endpoint list named when it was opened
        self.attempt: Attempt | None = attempt
        self.is_connected = self.ended = False
        self.response_stream: ResponseStream | None = None  # the large reply being received
        self.command_writer: CommandWriter | None = None  # writer of a large command, until all is written
        self.idle_since = 0.0
        self.held_bytes = 0  # in its buffers, for the memory budget
        self.connector: Any = None
        self.write_started_at: float | None = None  # when writing of the current attempt started
        attempt.conn = self

    def connectionMade(self) -> None:
        """Connected: write the attempt for which the connection was opened."""
        self.is_connected = True
        if self.pool.check_stall is not None:
            self.pool.check_stall()  # abandons the attempt if the process stalled while connecting
        if self.ended:
            return
        self.transport.setTcpNoDelay(True)
        if self.attempt is None:
            return self.close()
        if self.pool.may_write(self.attempt):
            self.write_attempt(self.attempt)

    def write_attempt(self, attempt: Attempt) -> None:
        """Write an attempt, which counts as sent from its first byte; abandon it if `write_by` has passed."""
        self.attempt, attempt.conn = attempt, self
        now = self.pool.now()
        if now > attempt.write_by:
            return self.pool.abandon_unwritten(attempt)
        self.write_started_at = now
        self.transport.bufferSize = self.pool.budget.reply_read_size()
        if attempt.rpc is not None:
            attempt.parts = attempt.rpc.parts(attempt.deadline - now)
        if attempt.rpc is None or attempt.rpc.body is None:
            vectored_write.write(self.transport, attempt.parts)
            return
        self.command_writer = CommandWriter(
            self.transport, attempt.parts, self.update_memory, self.command_written
        )
        self.command_writer.start()

    def command_written(self) -> None:
        """A large command is fully written.

        Latency counts from here: the time that writing took says little about the backend.
        """
        self.command_writer = None
        if self.attempt:
            self.attempt.sent_at = self.pool.now()

    def rawDataReceived(self, data: bytes) -> None:
        """Parse a reply; unexpected bytes close the connection."""
        if self.attempt is None:
            if not self.ended:
                count("backend_connection_unasked")
                self.close()
            return
        if self.response_stream is not None:
            self.response_stream.receive(data)
            return self.update_memory()
        attempt, had_partial_frame = self.attempt, self.parser.has_partial_frame
        try:
            self.parser.feed(data)
            if (frame := self.parser.next()) is None:
                return self.await_rest(attempt, had_partial_frame)
            if not frame.is_last:
                return self.start_response_stream(attempt, frame)
            reply = self.parse_reply(attempt, frame)
        except MalformedError:
            return self.fail_malformed(attempt)
        self.finish_reply(attempt, reply)

    def parse_reply(self, attempt: Attempt, frame: Frame) -> Reply:
        """Parse a complete reply; raise `MalformedError` if it can't be one to this attempt."""
        if attempt.rpc is None:
            return read_health_check(frame)
        reply = read_reply(frame)
        if self.command_writer and reply.status is Status.OK:
            raise MalformedError("reply before the command was fully written")
        return reply

    def await_rest(self, attempt: Attempt, had_partial_frame: bool) -> None:
        """Hold an incomplete reply, and read all that is known to be missing at once."""
        if attempt.rpc is not None:
            check_header(*self.parser.header())
        if not self.hold_incomplete():
            return
        self.transport.bufferSize = min(MAX_READ_SIZE, self.parser.missing_bytes + MIN_READ_SIZE)
        if not had_partial_frame:
            self.schedule_stall_check(attempt)

    def buffered_bytes(self) -> int:
        """Return the bytes received, unless memory is reserved for them, and those not accepted yet."""
        if self.ended or not self.is_connected:
            return 0
        waiting = self.response_stream.unreserved_bytes() if self.response_stream else 0
        unsent = vectored_write.unsent_bytes(self.transport) if self.command_writer else 0
        return len(self.parser.buf) + waiting + unsent

    def update_memory(self) -> None:
        """Report to the memory budget what is in the buffers."""
        size = self.buffered_bytes()
        if size != self.held_bytes:
            self.pool.budget.set_held(self, size)

    def schedule_stall_check(self, attempt: Attempt) -> None:
        """Check the progress of a reply that has begun: it must not hold its request until the deadline."""
        self.pool.reactor.callLater(
            REPLY_STALL_TIMEOUT,
            self.check_reply_stall,
            attempt,
            self.pool.now() + REPLY_TIMEOUT,
            len(self.parser.buf),
        )

    def hold_incomplete(self) -> bool:
        """Count the bytes of an incomplete reply; without memory its attempt ends, and False is returned."""
        self.update_memory()
        if not self.pool.budget.is_exhausted:
            return True
        count("reply_without_memory")
        self.pool.abandon(self.attempt, Status.CANCELLED)  # its backend is not to blame
        return False

    def finish_reply(self, attempt: Attempt, reply: Reply) -> None:
        """The reply is complete; keep the connection unless further bytes were received."""
        self.pool.budget.set_held(self, 0)
        if self.response_stream:
            self.response_stream.finish()
        self.attempt = self.response_stream = None
        if self.parser.has_partial_frame or self.command_writer:
            count(
                "backend_connection_answered_early" if self.command_writer else "backend_connection_unasked"
            )
            self.close()
        else:
            self.pool.keep(self)
        self.pool.finish(attempt, reply)

    def start_response_stream(self, attempt: Attempt, frame: Frame) -> None:
        """Start to stream a reply that was received up to a large value."""
        if attempt.rpc is None or self.command_writer:
            raise MalformedError("unexpected large value")
        self.response_stream = ResponseStream(self, attempt, frame)
        self.response_stream.start()
        if not self.ended and self.response_stream is not None and self.response_stream.is_waiting:
            self.hold_incomplete()

    def check_reply_stall(self, attempt: Attempt, deadline: float, previous_size: int) -> None:
        """Fail an attempt whose reply was begun and makes no progress."""
        size = len(self.parser.buf)
        if self.response_stream is not None:
            return  # the stream has its own stall timer
        if not attempt.is_finished and size > previous_size and self.pool.now() < deadline:
            self.pool.reactor.callLater(REPLY_STALL_TIMEOUT, self.check_reply_stall, attempt, deadline, size)
        else:
            self.fail_malformed(attempt)

    def fail_malformed(self, attempt: Attempt) -> None:
        """Fail an attempt whose reply is malformed or incomplete; the backend may have executed it."""
        if not attempt.is_finished:
            count("backend_connection_malformed")
            self.pool.abandon(attempt, Status.RESET)

    def is_reusable(self) -> bool:
        """Return whether the socket holds neither bytes nor a close since the last reply.

        The reactor may not have read them yet.
        """
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
        """Close now; Twisted's abortConnection acts in the next reactor iteration, after further attempts."""
        if self.ended:
            return
        self.ended, self.attempt = True, None
        self.pool.budget.set_held(self, 0)
        self.parser = Parser()  # the transport keeps this object for a while, but not what it received
        self.pool.remove(self)
        if self.response_stream:
            self.response_stream.handle_backend_close()
        if self.is_connected:
            self.pool.closing.add(self)
            try:
                self.transport.getHandle().shutdown(socket.SHUT_RDWR)
            except OSError:
                count("shutdown_on_broken_connection")
            self.transport.abortConnection()
        elif self.connector is not None:
            self.connector.stopConnecting()

    def drop(self) -> None:
        """Close an idle connection and free its descriptor at once.

        Many connections may be opened in this reactor iteration.
        """
        self.close()
        self.transport.connectionLost(ABORTED)

    def handle_loss(self) -> None:
        """Connecting failed or the connection broke; the attempt may have run only if fully written."""
        if self.ended:
            return
        attempt, self.ended, self.attempt = self.attempt, True, None
        self.pool.budget.set_held(self, 0)
        self.pool.remove(self)
        if self.response_stream:
            self.response_stream.handle_backend_close()
        if attempt:
            was_written = (
                self.is_connected and not self.command_writer and not vectored_write.pending(self.transport)
            )
            self.pool.finish(attempt, Reply(Status.RESET if was_written else Status.CONNECT_FAILED))

    def connectionLost(self, reason: Any = None) -> None:
        """The connection is closed, by the backend or by this side, or broken."""
        self.pool.closing.discard(self)
        self.handle_loss()


class BackendConnectionFactory(ClientFactory):
    """Client factory for one backend connection."""

    noisy = False

    def __init__(self, conn: BackendConnection) -> None:
        self.conn = conn

    def buildProtocol(self, addr: Any) -> BackendConnection:
        """Return the backend connection that is being opened."""
        return self.conn

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        """The connection was refused, or timed out."""
        self.conn.handle_loss()


class BackendPool:
    """All backend connections, by backend; `on_finish` is called exactly once for each attempt that ended.

    `on_stream_start` is called at the first bytes of a large reply and returns whether a client still waits.
    `may_write` returns whether an attempt may start on the connection opened for it, and abandons it if not.
    `has_free_descriptor` returns whether a descriptor is free for one more connection.
    """

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        max_connections: int,
        now: Callable[[], float],
        on_finish: Callable[[Attempt, Reply], None],
        has_free_descriptor: Callable[[], bool],
        on_stream_start: Callable[[Attempt, ResponseStream], bool],
        may_write: Callable[[Attempt], bool],
        budget: Budget,
    ) -> None:
        self.reactor, self.max_connections, self.now, self.on_finish, self.has_free_descriptor = (
            reactor,
            max_connections,
            now,
            on_finish,
            has_free_descriptor,
        )
        self.on_stream_start, self.may_write, self.budget = on_stream_start, may_write, budget
        self.max_connect_timeout = settings.connect_timeout
        self.idle_limit = settings.idle_timeout * IDLE_TIMEOUT_SHARE
        self.addresses: dict[str, tuple[str, int]] = {}
        self.started: dict[str, float] = {}  # s; when the process of each backend started, 0 for long ago
        self.idle: dict[str, list[BackendConnection]] = {}
        self.open: set[BackendConnection] = set()
        self.closing: set[BackendConnection] = set()  # closed by this side, descriptor not yet freed
        self.opened = 0  # connections opened since the start
        self.check_stall: Callable[[], bool] | None = None  # stall check before a write; True on a stall

    def send(self, attempt: Attempt) -> None:
        """Write the attempt on the latest idle connection past `REUSE_DELAY`, or on a new one."""
        if self.check_stall is not None and self.check_stall():  # the process stalled since this was decided
            return self.finish(attempt, Reply(Status.ABANDONED))
        now = self.now()
        for conn in reversed(self.idle.get(attempt.backend, ())[:]):
            if conn.idle_since > now - REUSE_DELAY:
                continue
            if conn.idle_since > now - self.idle_limit and conn.is_reusable():
                self.idle[attempt.backend].remove(conn)
                return conn.write_attempt(attempt)
            conn.close()
        if (address := self.addresses.get(attempt.backend)) is None:
            count("backend_connection_without_address")
            return self.finish(attempt, Reply(Status.CONNECT_FAILED))
        if (
            len(self.open) >= self.max_connections or not self.has_free_descriptor()
        ) and not self.evict_idle():
            # the gateway is short of descriptors, which says nothing about the backend
            count("backend_connection_none_left")
            return self.finish(attempt, Reply(Status.ABANDONED))
        conn = BackendConnection(self, attempt.backend, attempt)
        self.open.add(conn)
        self.opened += 1
        timeout = min(self.max_connect_timeout, CONNECT_TIMEOUT_SHARE * (attempt.deadline - now))
        conn.connector = self.reactor.connectTCP(*address, BackendConnectionFactory(conn), timeout=timeout)

    def schedule_write_deadline(self, attempt: Attempt) -> None:
        """Abandon the attempt at its `write_by`, unless it is fully written by then."""
        if attempt.write_by < math.inf and not attempt.is_finished:
            self.reactor.callLater(max(0.0, attempt.write_by - self.now()), self.check_written, attempt)

    def check_written(self, attempt: Attempt) -> None:
        """Abandon an attempt that is not fully written at its `write_by`."""
        if not attempt.is_finished and not attempt.is_fully_written:
            self.abandon_unwritten(attempt)

    def abandon_unwritten(self, attempt: Attempt) -> None:
        """Abandon an attempt that was not written in time, which says nothing about its backend."""
        count("repeat_too_late_to_write")
        self.abandon(attempt, Status.ABANDONED)

    def drop_connecting(self) -> None:
        """Abandon the attempts not yet written, which says nothing about their backends."""
        for conn in [
            c for c in self.open if c.attempt and not c.attempt.is_finished and c.write_started_at is None
        ]:
            self.abandon(conn.attempt, Status.ABANDONED)

    def evict_idle(self) -> bool:
        """Close the connection that was idle for longest and free its descriptor at once."""
        if candidates := [conns[0] for conns in self.idle.values() if conns]:
            min(candidates, key=lambda c: c.idle_since).drop()
        return bool(candidates)

    def keep(self, conn: BackendConnection) -> None:
        """Keep a connection for reuse, unless its backend is not ready in the endpoint list, or replaced."""
        if conn.backend not in self.addresses or conn.process != self.process(conn.backend):
            return conn.close()
        conn.idle_since = self.now()
        self.idle.setdefault(conn.backend, []).append(conn)

    def remove(self, conn: BackendConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open.discard(conn)
        if conn in (idle := self.idle.get(conn.backend, [])):
            idle.remove(conn)

    def finish(self, attempt: Attempt, reply: Reply) -> None:
        """Report the outcome of an attempt."""
        if holds(not attempt.is_finished, "second_outcome"):
            attempt.is_finished, attempt.conn, attempt.parts = True, None, []
            self.on_finish(attempt, reply)
            attempt.rpc = None  # a pending timer may keep the attempt alive; free its frame

    def abandon(self, attempt: Attempt, status: Status) -> None:
        """Abandon an attempt; its connection is closed, so that a late reply is discarded."""
        if not attempt.is_finished:
            if attempt.conn:
                attempt.conn.close()
            self.finish(attempt, Reply(status))

    def close_idle(self, backend: str) -> None:
        """Close a backend's idle connections."""
        for conn in list(self.idle.pop(backend, ())):
            conn.close()

    def update_endpoint(
        self, backend: str, ready: bool, address: tuple[str, int], started: float = 0.0
    ) -> None:
        """Apply an endpoint-list update for one backend; `started` is when its process did, in s, if known.

        Attempts still connecting to a draining backend end, since they could be written after its grace.
        Idle connections to another process than the one that is listed now are closed.
        """
        moved = self.addresses.pop(backend, address) != address
        restarted = started > self.started.pop(backend, started)
        if ready:  # nothing is kept of removed backends: there are many over a long run
            self.addresses[backend], self.started[backend] = address, started
        if restarted:
            count("backend_process_replaced")
        if not ready or moved or restarted:
            self.close_idle(backend)
            for conn in [c for c in self.open if c.backend == backend and not c.is_connected and c.attempt]:
                count("backend_connection_drained_while_connecting")
                self.abandon(conn.attempt, Status.CONNECT_FAILED)

    def process(self, backend: str) -> tuple[tuple[str, int] | None, float]:
        """Return what tells the listed process of a backend from others: its address, and when it started."""
        return self.addresses.get(backend), self.started.get(backend, 0.0)

    def buffered_bytes(self) -> int:
        """Return the bytes in the buffers of all backend connections."""
        return sum(conn.buffered_bytes() for conn in self.open)

    def sweep(self) -> None:
        """Close idle connections before the backends do."""
        oldest = self.now() - self.idle_limit
        for conns in self.idle.values():
            for conn in [c for c in conns if c.idle_since <= oldest]:
                conn.close()
