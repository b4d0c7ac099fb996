"""A long value of a command on its way in, kept in the pieces it came in, and how it is written to a backend.

A command is kept whole here before it is sent: it may have to be sent again, and a client that writes
slowly must not keep a server's place. What all of them hold together is bounded by the budget. One that the
decisions would refuse, or that waits for room too long, is answered at its head or at once, and the rest of
it is read past.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from . import vectored_write
from .budget import Budget
from .invariants import count

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .rpc import RPC

SMALL = 4096  # bytes; shorter pieces are put together: each one costs an object and a part of a write
LOOK_EVERY = 2.5  # s between looks at whether a body still comes
PACE = 16 * 1024  # bytes a second that a client is expected to write at least, looked at every LOOK_EVERY
WAIT_MOST = 2.0  # s that a body may wait for room, after which its command is refused
SEND_AT_ONCE = 256 * 1024  # bytes handed to a transport in one go


class RequestStream:
    """One command's long value; a holder of the budget. Without an RPC it is read past."""

    def __init__(self, budget: Budget, client_connection: ClientConnection, rpc: RPC | None) -> None:
        self.budget, self.client_connection, self.rpc = budget, client_connection, rpc
        self.pieces: list[Any] = []
        self.kept = 0  # bytes kept, for the budget
        self.came = self.looked_at = 0  # bytes so far, and at the last look
        self.waits: float | None = None  # since when it has waited for room, on the gateway's clock
        self.over = False  # all of it has come, or its client connection has ended
        self.look_later()
        if rpc is not None:
            budget.join(self)

    def take(self, piece: memoryview) -> None:
        """More of it."""
        self.came += len(piece)
        if self.rpc is None:
            return
        if len(piece) >= SMALL:
            self.pieces.append(piece)
        elif self.pieces and type(self.pieces[-1]) is bytearray and len(self.pieces[-1]) < SMALL:
            self.pieces[-1] += piece
        else:
            self.pieces.append(bytearray(piece))
        self.budget.hold(self, self.kept + len(piece))

    def end(self) -> None:
        """No more of it comes."""
        self.over = True
        self.budget.whole(self)

    def drop(self) -> None:
        """Nobody wants it any more: what was kept is let go, and the rest is read past."""
        self.budget.whole(self)
        self.rpc, self.pieces, self.waits = None, [], None
        self.budget.hold(self, 0)

    def hold_back(self) -> None:
        """There is no room: its client is not read on."""
        self.waits = self.client_connection.gateway.now()
        self.client_connection.regulate()
        self.client_connection.gateway.reactor.callLater(WAIT_MOST, self.waited)

    def go_on(self) -> None:
        """There is room again."""
        self.waits = None
        self.client_connection.regulate()

    def waited(self) -> None:
        """Refused if it has waited for all that time."""
        if self.waits is not None and self.client_connection.gateway.now() - self.waits >= WAIT_MOST * 0.99:
            count("body_without_room")
            self.client_connection.turn_down(self, WAIT_MOST)

    def look_later(self) -> None:
        """Look whether it comes."""
        self.client_connection.gateway.reactor.callLater(LOOK_EVERY, self.look)

    def look(self) -> None:
        """One that hardly comes ends its client connection, as half a command does."""
        if self.over:
            return
        if not self.client_connection.paused and self.came - self.looked_at < PACE * LOOK_EVERY:
            count("body_stalled")
            return self.client_connection.body_late()
        self.looked_at = self.came
        self.look_later()


class Sender:
    """Writes a long command as its backend takes it: a pull producer of a backend connection's transport."""

    def __init__(self, transport: Any, parts: list[Any], done: Any) -> None:
        self.transport, self.done = transport, done
        self.parts: Iterator[Any] = iter(parts)
        self.over = False

    def start(self) -> None:
        """Write as much as goes."""
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """The transport has written all that it had."""
        while not self.over and not vectored_write.pending(self.transport):
            batch, size = [], 0
            for part in self.parts:
                batch.append(part)
                size += len(part)
                if size >= SEND_AT_ONCE or len(batch) >= vectored_write.MOST_PARTS:
                    break
            if not batch:
                self.over = True
                self.transport.unregisterProducer()
                self.done()
            elif not vectored_write.write(self.transport, batch):
                self.over = True  # it never came whole, which its backend connection goes by

    def stopProducing(self) -> None:
        """The connection has ended; its backend connection hears of that."""
        self.over = True
