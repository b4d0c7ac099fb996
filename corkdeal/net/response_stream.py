"""Streams a large reply from its backend connection to its client connection as it is received.

Once forwarding has started, the attempt is final and not retried. The stream buffers nothing: while the
client does not read, or earlier replies are pending, reading from the backend is paused. If the backend
closes early, sends a malformed value or stalls, the client connection is closed, so that the client detects
it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..decisions.events import Status
from .backend_replies import Reply, check_header, check_value, load_report_at
from .invariants import count
from .resp import Frame, MalformedError, skip_items
from .stalled_readers import CLIENT_STALL_TIMEOUT

if TYPE_CHECKING:
    from .backend_connection import Attempt, BackendConnection

BACKEND_STALL_TIMEOUT = 5.0  # s without a byte from an unpaused backend, after which its reply is abandoned


class ResponseStream:
    """One large reply on its way from a backend connection to a client connection."""

    def __init__(self, conn: BackendConnection, attempt: Attempt, frame: Frame) -> None:
        """Take the reply up to its first large value; raise `MalformedError` for any other form."""
        items = frame.items
        check_header(items[0].kind, items[0].size)
        check_value(items)
        stop, self.remaining_items = skip_items(items, 1)  # items of the value after the large one
        if stop < len(items):
            raise MalformedError("unexpected large value")
        self.conn, self.attempt, self.rpc = conn, attempt, attempt.rpc
        self.head: memoryview | None = memoryview(frame.buf)[items[1].head : items[-1].start]
        self.ended = False  # whether the whole value was passed to the client connection
        self.is_forwarding = False  # whether forwarding has started, which makes the attempt final
        self.held_bytes = 0  # bytes held, for the memory budget
        self.timer: Any = None
        self.budget = conn.pool.budget
        self.paused = False
        self.progressed_at = conn.pool.now()  # when the backend last sent bytes, or reading from it resumed
        self.last_untaken = -1  # bytes not yet taken by the client at the last check; -1 for none

    def start(self) -> None:
        """Start to forward the reply, or wait with the backend paused until the memory budget allows it."""
        if self.budget.is_full:
            count("answer_waits_for_room")
            self.budget.set_held(self, len(self.conn.parser.buf))
            self.budget.make_wait(self)
        else:
            self.resume_with_space()

    def pause_for_space(self) -> None:
        """Pause, as the budget's callback: memory is short."""
        self.pause()

    def resume_with_space(self) -> None:
        """Start to forward, as the budget's callback: the attempt is final, unless no client waits for it."""
        self.is_forwarding = True
        self.budget.set_held(self, 0)
        self.timer = self.conn.pool.reactor.callLater(BACKEND_STALL_TIMEOUT, self.check_progress)
        if self.conn.pool.on_stream_start(self.attempt, self):
            self.head = None
            self.forward()
        else:
            count("answer_for_nobody")
            self.conn.pool.abandon(self.attempt, Status.CANCELLED)

    def receive(self, data: bytes) -> None:
        """Take further bytes of the reply from the backend."""
        self.progressed_at = self.conn.pool.now()
        self.conn.parser.feed(data)
        self.forward()

    def forward(self) -> None:
        """Forward the received part of the value, and finish once the load report after it is complete."""
        parts: list[Any] = []
        try:
            reply = self.read(parts)
        except MalformedError:
            return self.conn.fail_malformed(self.attempt)
        self.rpc.reply += parts
        self.rpc.client_connection.forward_response(self.rpc)
        if reply and not self.attempt.is_finished:
            self.conn.finish_reply(self.attempt, reply)

    def read(self, parts: list[Any]) -> Reply | None:
        """Append the received parts of the value to `parts`; return the reply once it is complete.

        A value may contain several large values. The parser returns the bytes of each in pieces, and what
        lies between them in frames. The items of the last frame that follow the value are the load report,
        which is not forwarded.
        """
        parser = self.conn.parser
        while True:
            while (piece := parser.piece()) is not None:
                parts.append(piece)
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
                parts.append(
                    memoryview(frame.buf)[frame.items[0].head : last.start if is_large else last.end]
                )
                if is_large:
                    continue
                self.ended = True
            if not frame.is_last:
                raise MalformedError("unexpected large value")
            return Reply(Status.OK, None, load_report_at(frame, skip_items(frame.items, stop)[0]))

    def pause(self) -> None:
        """Pause reading from the backend."""
        if not self.paused and not self.conn.ended:
            self.paused, self.last_untaken = True, -1
            self.conn.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading from the backend."""
        if self.paused and not self.conn.ended:
            self.paused, self.progressed_at = False, self.conn.pool.now()
            self.conn.transport.resumeProducing()

    def check_progress(self) -> None:
        """Check for progress, and end a stalled stream.

        A stream that waits for earlier replies is not checked: those have checks of their own.
        """
        if self.attempt.is_finished:
            return
        wait = CLIENT_STALL_TIMEOUT
        if not self.paused:
            wait = self.progressed_at + BACKEND_STALL_TIMEOUT - self.conn.pool.now()
            if wait <= 0:
                count("answer_stalled")
                return self.conn.fail_malformed(self.attempt)
        elif self.rpc.client_connection.is_next(self.rpc):
            if (untaken := self.rpc.client_connection.untaken_bytes()) == self.last_untaken:
                count("answer_not_taken")
                return self.rpc.client_connection.abort_response()
            self.last_untaken = untaken
        self.timer = self.conn.pool.reactor.callLater(wait, self.check_progress)

    def finish(self) -> None:
        """Cancel the timer and break the reference cycle, so that the last piece is freed at once."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        # the whole value is in `rpc.reply`, or the client connection is closed
        self.rpc.response_stream = None

    def handle_backend_close(self) -> None:
        """The backend connection is closed: end an incomplete response to the client."""
        self.budget.stop_waiting(self)
        self.budget.set_held(self, 0)
        if self.is_forwarding and not self.ended:
            self.ended = True
            self.rpc.client_connection.abort_response()
        self.finish()

    def handle_client_close(self) -> None:
        """The client connection is closed: abandon the attempt."""
        if not self.ended:
            self.ended = True
            self.conn.pool.abandon(self.attempt, Status.CANCELLED)
