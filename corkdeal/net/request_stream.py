"""Receives the large value of a command, in the pieces it arrived in, and writes it to a backend.

A command is buffered whole before it is sent: it may have to be retried, and a client that sends slowly must
not occupy a backend meanwhile. The memory budget bounds the total of all such buffers. A command that the
decisions would reject, or that waits too long for memory, is answered before its value is complete, and the
rest of the value is discarded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING, Any

from twisted.internet.interfaces import IDelayedCall

from . import vectored_write
from .budget import Budget
from .invariants import count
from .piece_buffer import PieceBuffer

if TYPE_CHECKING:
    from .client_connection import ClientConnection
    from .rpc import RPC

RATE_CHECK_INTERVAL = 2.5  # s between checks of the receive rate
MIN_RECEIVE_RATE = 16 * 1024  # bytes/s that a client must send at least, checked every RATE_CHECK_INTERVAL
MEMORY_TIMEOUT = 2.0  # s that a value may wait for memory, after which its command is rejected
MIN_MEMORY_CHECK_INTERVAL = 0.1  # s between checks whether the time of a waiting value is up
WRITE_BATCH = 256 * 1024  # bytes passed to a transport at once


def cancel(call: IDelayedCall | None) -> None:
    """Cancel a delayed call if it is still due, which frees what it refers to."""
    if call is not None and call.active():
        call.cancel()


class RequestStream:
    """The large value of one command, which holds part of the memory budget; discarded if `rpc` is None."""

    def __init__(
        self, budget: Budget, client_connection: ClientConnection, rpc: RPC | None, size: int
    ) -> None:
        """`size` is the value's length in bytes."""
        self.budget, self.client_connection, self.rpc, self.size = budget, client_connection, rpc, size
        self.buffer = PieceBuffer()
        self.held_bytes = 0  # bytes held, for the memory budget
        self.received = self.received_at_check = 0  # bytes received so far, and at the last check
        self.waiting_since: float | None = None  # since when it waits for memory, on the gateway's clock
        self.is_finished = False  # whether it is complete, or its client connection is closed
        self.rate_check: IDelayedCall | None = None
        self.memory_timer: IDelayedCall | None = None  # while it waits for memory

    @property
    def remaining_bytes(self) -> int:
        """The bytes still to be received, for the memory budget."""
        return max(0, self.size - self.received)

    def start(self) -> None:
        """Begin to take part in the budget, which may pause the client connection at once."""
        self.schedule_rate_check()
        if self.rpc is not None:
            self.budget.add_body(self)

    def receive(self, piece: memoryview) -> None:
        """Take a further piece of the value."""
        self.received += len(piece)
        if self.rpc is None:
            return
        self.buffer.append(piece)
        self.budget.set_held(self, self.buffer.size)

    def finish(self) -> None:
        """The value is complete, or will not be completed."""
        self.is_finished = True
        self.budget.remove_body(self)
        cancel(self.rate_check)
        cancel(self.memory_timer)

    def drop(self) -> None:
        """Free the buffered pieces; what is still received will be discarded."""
        self.budget.remove_body(self)
        self.buffer.clear()
        self.rpc, self.waiting_since = None, None
        cancel(self.memory_timer)
        self.budget.set_held(self, 0)

    def pause_for_space(self) -> None:
        """Pause reading from the client, as the budget's callback: memory is short."""
        self.waiting_since = self.client_connection.gateway.now()
        self.client_connection.update_reading()
        self.schedule_memory_check(MEMORY_TIMEOUT)

    def resume_with_space(self) -> None:
        """Resume reading from the client, as the budget's callback: memory is free again."""
        self.waiting_since = None
        cancel(self.memory_timer)
        self.client_connection.update_reading()

    def schedule_memory_check(self, time_left: float) -> None:
        """Check the wait for memory after `time_left` s, or before if its client's time may be up by then."""
        time_left = min(time_left, max(MIN_MEMORY_CHECK_INTERVAL, self.rpc.request.timeout))
        reactor = self.client_connection.gateway.reactor
        self.memory_timer = reactor.callLater(time_left, self.check_memory_wait)

    def check_memory_wait(self) -> None:
        """Reject the command if it has waited for `MEMORY_TIMEOUT`, or its client's time is up.

        That time counts from the last byte of the command, which may lie unread in the socket.
        """
        self.memory_timer = None
        time_left = self.waiting_since + MEMORY_TIMEOUT - self.client_connection.gateway.now()
        since_end = self.client_connection.time_since_end_of(self)
        if since_end is not None:
            time_left = min(time_left, self.rpc.request.timeout - since_end)
        if time_left > 0:
            self.schedule_memory_check(time_left)
            return
        count("body_without_room")
        self.client_connection.reject_body(self, MEMORY_TIMEOUT)

    def evict(self) -> None:
        """Reject the command, as the budget's callback: another process needs the memory."""
        count("body_evicted")
        self.client_connection.reject_body(self, MEMORY_TIMEOUT)

    def schedule_rate_check(self) -> None:
        """Schedule the next check of the receive rate."""
        self.rate_check = self.client_connection.gateway.reactor.callLater(
            RATE_CHECK_INTERVAL, self.check_rate
        )

    def check_rate(self) -> None:
        """Close the client connection if the value arrives more slowly than `MIN_RECEIVE_RATE`."""
        self.rate_check = None
        if (
            not self.client_connection.paused
            and self.received - self.received_at_check < MIN_RECEIVE_RATE * RATE_CHECK_INTERVAL
        ):
            count("body_stalled")
            return self.client_connection.body_timed_out()
        self.received_at_check = self.received
        self.schedule_rate_check()


class CommandWriter:
    """Writes a large command as fast as its backend reads it: a pull producer of a transport."""

    def __init__(
        self,
        transport: Any,
        parts: list[Any],
        on_progress: Callable[[], None],
        on_written: Callable[[], None],
    ) -> None:
        """`on_progress` is called after each batch, `on_written` once all is written."""
        self.transport, self.on_progress, self.on_written = transport, on_progress, on_written
        self.parts: Iterator[Any] = iter(parts)
        self.is_finished = False

    def start(self) -> None:
        """Register with the transport, which pulls the first batch at once."""
        self.transport.registerProducer(self, False)

    def resumeProducing(self) -> None:
        """Write the next batches, until the socket accepts no more or all is written."""
        while not self.is_finished and not vectored_write.pending(self.transport):
            batch, size = [], 0
            for part in self.parts:
                batch.append(part)
                size += len(part)
                if size >= WRITE_BATCH or len(batch) >= vectored_write.MAX_PARTS:
                    break
            if not batch:
                self.is_finished = True
                self.transport.unregisterProducer()
                self.on_written()
            elif not vectored_write.write(self.transport, batch):
                self.is_finished = True  # broken; the backend connection sees that not all was written
        self.on_progress()

    def stopProducing(self) -> None:
        """The connection is closed, which the backend connection handles."""
        self.is_finished = True
