"""Receives a large reply from its backend connection, and provides it to its client connection.

A large reply is collected whole, in memory that is reserved for it, and only then *released* to its client
connection: a connection that ends within a reply ends with all requests that came behind it, at any time. If
it breaks off before, its attempt fails like any other. Without room it waits with its backend paused, unless
it is next in order with no request behind it: then it is released at once and forwarded as it is received,
and nothing is read from the client meanwhile. If that breaks off, the client connection is closed, so that
the client detects it. So it is at its deadline, too, for a reply that is next and not whole.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from ..decisions.events import Status
from .backend_replies import Reply, check_header, check_value, load_report_at
from .invariants import count
from .piece_buffer import Piece, PieceBuffer
from .resp import Frame, MalformedError, skip_items
from .stalled_readers import CLIENT_STALL_TIMEOUT

if TYPE_CHECKING:
    from .backend_connection import Attempt, BackendConnection

BACKEND_STALL_TIMEOUT = 5.0  # s without a byte from an unpaused backend, after which its reply is abandoned
# s from the last earlier reply by which a reply whose deadline has passed meanwhile must be whole; clients
# allow 0.5 s, of which the process may be held up for 0.15 s
OVERDUE_TIME = 0.25
WRITE_BATCH = 64 * 1024  # bytes passed to a client's transport at once


class ResponseStream:
    """One large reply, from its first bytes until it is written to its client connection."""

    def __init__(self, conn: BackendConnection, attempt: Attempt, frame: Frame) -> None:
        """Take the reply up to its first large value; raise `MalformedError` for any other form."""
        items = frame.items
        check_header(items[0].kind, items[0].size)
        check_value(items)
        stop, self.remaining_items = skip_items(items, 1)  # items of the value after the large one
        if stop < len(items):
            raise MalformedError("unexpected large value")
        self.conn, self.attempt, self.rpc = conn, attempt, attempt.rpc
        self.buffer = PieceBuffer()  # received and not yet taken by the client connection
        self.buffer.append(memoryview(frame.buf)[items[1].head : items[-1].start])
        self.size = items[-1].size  # bytes of the large values announced so far
        self.ended = False  # whether the whole value was received
        self.is_released = False  # whether it may be written to the client, which makes the attempt final
        self.is_detached = False  # whether the client connection has all of it, or needs it no more
        self.is_collecting = False  # whether memory is reserved for all that was announced
        self.has_waited = False  # whether its backend was paused before the release
        self.is_overdue = False  # whether the deadline passed before the release
        self.turn_at: float | None = None  # when it became next in order; -inf if it was from the start
        self.held_bytes = 0  # bytes reserved or held, for the memory budget
        self.timer: Any = None
        self.overdue_timer: Any = None
        self.budget = conn.pool.budget
        self.paused = False
        self.progressed_at = conn.pool.now()  # when the backend last sent bytes, or reading from it resumed
        self.last_untaken = -1  # bytes not yet taken by the client at the last check; -1 for none

    def start(self) -> None:
        """Start to receive the reply, unless no client waits for it."""
        if not self.conn.pool.on_stream_start(self.attempt, self):
            count("answer_for_nobody")
            return self.conn.pool.abandon(self.attempt, Status.CANCELLED)
        self.timer = self.conn.pool.reactor.callLater(BACKEND_STALL_TIMEOUT, self.check_progress)
        if self.is_next():
            self.turn_at = -math.inf
            self.rpc.client_connection.flush()
        else:
            self.proceed()

    def is_next(self) -> bool:
        """Return whether all earlier replies of the client connection have been written."""
        return bool(self.rpc.client_connection.is_next(self.rpc))

    def proceed(self) -> None:
        """Collect the reply, forward it or wait, by what memory and order allow."""
        if self.is_released or self.is_collecting or self.conn.ended or self.collect():
            return
        if self.may_stream():
            self.release()
            return
        if self.is_next() and self.budget.is_full:
            count("answer_waits_for_room")
            self.budget.make_wait(self)
        self.wait()

    def may_stream(self) -> bool:
        """Return whether the reply may be forwarded before it is whole."""
        return self.rpc.client_connection.may_stream(self.rpc) and not self.budget.is_full

    @property
    def is_waiting(self) -> bool:
        """Whether the reply is neither forwarded nor collected yet."""
        return not (self.is_released or self.is_collecting)

    def unreserved_bytes(self) -> int:
        """Return the bytes of a waiting reply that were received before any memory was reserved for it."""
        return self.buffer.size if self.is_waiting and not self.held_bytes else 0

    def handle_turn(self) -> None:
        """All earlier replies have been written: this one is next."""
        if self.turn_at is None:
            self.turn_at = self.conn.pool.now()
            if self.is_overdue:
                self.schedule_end()
        self.proceed()

    def collect(self) -> bool:
        """Collect the whole reply if there is room for it; return whether there is."""
        if not self.budget.answers.reserve(self, self.size):
            return False
        self.is_collecting = True
        self.budget.stop_waiting(self)
        self.resume()
        self.advance()
        return True

    def wait(self) -> None:
        """Wait with the backend paused."""
        self.has_waited = True
        self.pause()

    def pause_for_space(self) -> None:
        """Wait, as the budget's callback: memory is short."""
        self.wait()

    def resume_with_space(self) -> None:
        """Try again, as the budget's callback: there is free space."""
        self.proceed()

    def release(self) -> None:
        """Let the client connection write what was received and what follows."""
        if self.rpc.response_stream is not self:  # answered otherwise meanwhile
            return self.conn.pool.abandon(self.attempt, Status.CANCELLED)
        self.is_released = True
        self.budget.stop_waiting(self)
        self.budget.answers.discard(self)
        self.budget.answers.set_held(self, self.buffer.size)
        self.rpc.client_connection.set_streamed_reply(self.rpc)
        self.resume()
        if self.ended:  # what follows the value is read by the caller
            self.rpc.client_connection.forward_response(self.rpc)
        else:
            self.advance()

    def receive(self, data: bytes) -> None:
        """Take further bytes of the reply from the backend."""
        self.progressed_at = self.conn.pool.now()
        self.conn.transport.bufferSize = self.budget.value_read_size()
        self.conn.parser.feed(data)
        self.advance()

    def advance(self) -> None:
        """Read what was received, pass it on, and finish once the load report after the value is complete."""
        reply, is_malformed = None, False
        try:
            reply = self.read()
        except MalformedError:
            is_malformed = True
        if self.ended and not self.is_released:
            self.release()
        elif self.is_released:
            self.rpc.client_connection.forward_response(self.rpc)
            if not self.is_detached:
                self.budget.answers.set_held(self, self.buffer.size)
        if is_malformed:
            self.conn.fail_malformed(self.attempt)
        elif reply and not self.attempt.is_finished:
            self.conn.finish_reply(self.attempt, reply)
        else:
            self.conn.update_memory()

    def read(self) -> Reply | None:
        """Move the received parts of the value to the buffer; return the reply once it is complete.

        A value may contain several large values. The parser returns the bytes of each in pieces, and what
        lies between them in frames. The items of the last frame that follow the value are the load report,
        which is not forwarded.
        """
        parser = self.conn.parser
        while True:
            while (piece := parser.piece()) is not None:
                self.buffer.append(piece)
            if parser.value_left:
                return None
            self.ended = not self.remaining_items
            if (frame := parser.next()) is None:
                return None
            stop = 0
            if not self.ended:
                stop, self.remaining_items = skip_items(frame.items, 0, self.remaining_items)
                is_large = not frame.is_last and stop == len(frame.items)
                last = frame.items[stop - 1]
                self.buffer.append(
                    memoryview(frame.buf)[frame.items[0].head : last.start if is_large else last.end]
                )
                if is_large:
                    self.announce(last.size)
                    continue
                self.ended = True
            if not frame.is_last:
                raise MalformedError("unexpected large value")
            return Reply(Status.OK, None, load_report_at(frame, skip_items(frame.items, stop)[0]))

    def announce(self, size: int) -> None:
        """Reserve memory for one more large value of a reply that is being collected."""
        self.size += size
        if self.is_collecting and not self.budget.answers.reserve(self, self.size):
            self.is_collecting = False
            self.wait()

    def take(self) -> list[Piece]:
        """Remove and return the next pieces of the value, for the client connection."""
        batch = self.buffer.take(WRITE_BATCH)
        if self.held_bytes:
            self.budget.answers.set_held(self, self.buffer.size)
        return batch

    def pause(self) -> None:
        """Pause reading from the backend."""
        if not self.paused and not self.attempt.is_finished and not self.conn.ended:
            self.paused, self.last_untaken = True, -1
            self.conn.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading from the backend."""
        if self.paused and not self.attempt.is_finished and not self.conn.ended:
            self.paused, self.progressed_at = False, self.conn.pool.now()
            self.conn.transport.resumeProducing()

    def check_progress(self) -> None:
        """Check for progress, and end a stalled stream.

        A stream that waits for earlier replies or for memory is not checked: those have checks of their own.
        """
        if self.attempt.is_finished:
            return
        wait = CLIENT_STALL_TIMEOUT
        if not self.paused:
            wait = self.progressed_at + BACKEND_STALL_TIMEOUT - self.conn.pool.now()
            if wait <= 0:
                count("answer_stalled")
                return self.conn.fail_malformed(self.attempt)
        elif self.is_released:
            if (untaken := self.rpc.client_connection.untaken_bytes()) == self.last_untaken:
                count("answer_not_taken")
                return self.rpc.client_connection.abort_response()
            self.last_untaken = untaken
        self.timer = self.conn.pool.reactor.callLater(wait, self.check_progress)

    def handle_deadline(self) -> None:
        """The deadline of its request has passed, which ends a reply that is next and not released.

        The time that one spends waiting for earlier replies does not count.
        """
        self.is_overdue = True
        if self.turn_at is not None:
            self.schedule_end()

    def schedule_end(self) -> None:
        """Give up `OVERDUE_TIME` after the reply became next, or now if that is past."""
        wait = self.turn_at + OVERDUE_TIME - self.conn.pool.now()
        if wait > 0:
            self.overdue_timer = self.conn.pool.reactor.callLater(wait, self.give_up)
        else:
            self.give_up()

    def give_up(self) -> None:
        """End the attempt because its reply could not be released in time, unless it may be forwarded."""
        if self.attempt.is_finished or self.is_released:
            return
        if self.may_stream():
            self.release()
        else:
            count("answer_not_whole_in_time")
            # A backend that was paused is not to blame.
            self.conn.pool.abandon(self.attempt, Status.CANCELLED if self.has_waited else Status.TIMEOUT)

    def finish(self) -> None:
        """The backend connection is done with the reply, which is whole or will never be."""
        for timer in (self.timer, self.overdue_timer):
            if timer is not None and timer.active():
                timer.cancel()
        self.timer = self.overdue_timer = None

    def detach(self) -> None:
        """Free what is held, and break the reference cycle, so that the last piece is freed at once."""
        self.is_detached = True
        self.buffer.clear()
        self.budget.stop_waiting(self)
        self.budget.answers.discard(self)
        if self.rpc.response_stream is self:
            self.rpc.response_stream = None

    def handle_backend_close(self) -> None:
        """The backend connection is closed: end a reply to the client that is not whole."""
        self.finish()
        if not self.is_released:
            self.detach()
        elif not (self.ended or self.is_detached):
            self.rpc.client_connection.abort_response()

    def handle_client_close(self) -> None:
        """The client connection is closed: abandon the attempt."""
        self.detach()
        if not self.attempt.is_finished and not self.conn.ended:
            self.conn.pool.abandon(self.attempt, Status.CANCELLED)
