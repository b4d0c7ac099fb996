"""A long answer on its way: its bytes go on from the backend's connection to the client's as they come.

From its first byte on the attempt is final. Nothing is kept here: while the client does not take what was
written, or an answer before this one is not through, the backend's side is not read. A backend that breaks
off, spoils the value or gives nothing for long has the client's connection ended, so that the client knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ..decisions.events import Status
from .answers import Reply, check_head, check_value, report_in
from .invariants import count
from .resp import Frame, Malformed, past

if TYPE_CHECKING:
    from .backend_connection import Attempt, BackendConnection

GIVE_STALL = 5.0  # s without a byte from a backend that is read, after which its answer is given up
TAKE_STALL = 5.0  # s without a byte taken by the client, after which its connection is ended


class ResponseStream:
    """One long answer between its backend connection and its client connection."""

    def __init__(self, conn: BackendConnection, attempt: Attempt, frame: Frame) -> None:
        """`frame` is the answer up to the content of its first long value; another form is malformed."""
        items = frame.items
        check_head(items[0].kind, items[0].size)
        check_value(items)
        stop, self.inner = past(items, 1)  # items of the value behind the long one
        if stop < len(items):
            raise Malformed("a long value where none belongs")
        self.conn, self.attempt, self.rpc = conn, attempt, attempt.rpc
        self.head: memoryview | None = memoryview(frame.buf)[items[1].head : items[-1].start]
        self.ended = False  # whether all of the value was handed to the client connection
        self.begun = False  # whether its first bytes went to the client, which makes the attempt final
        self.kept = 0  # bytes, for the budget
        self.timer: Any = None
        self.budget = conn.pool.budget
        self.paused = False
        self.moved = conn.pool.now()  # when the backend last gave something, or was read again
        self.unsent = -1  # what the client had not taken at the last look

    def start(self) -> None:
        """Begin, where there is room for one more long value; else it waits, and the backend is not read."""
        if self.budget.full:
            count("answer_waits_for_room")
            self.budget.hold(self, len(self.conn.parser.buf))
            self.budget.keep_out(self)
        else:
            self.go_on()

    def hold_back(self) -> None:
        """There is no room for it."""
        self.pause()

    def go_on(self) -> None:
        """There is room: from here on the attempt is final, unless nobody waits for it."""
        self.begun = True
        self.budget.hold(self, 0)
        self.timer = self.conn.pool.reactor.callLater(GIVE_STALL, self.look)
        if self.conn.pool.passing(self.attempt, self):
            self.head = None
            self.advance()
        else:
            count("answer_for_nobody")
            self.conn.pool.give_up(self.attempt, Status.CANCELLED)

    def take(self, data: bytes) -> None:
        """More of the answer."""
        self.moved = self.conn.pool.now()
        self.conn.parser.feed(data)
        self.advance()

    def advance(self) -> None:
        """Pass on what has come of the value; behind it the report is read."""
        parts: list[Any] = []
        try:
            reply = self.read(parts)
        except Malformed:
            return self.conn.spoilt(self.attempt)
        self.rpc.reply += parts
        self.rpc.client_connection.passed(self.rpc)
        if reply and not self.attempt.over:
            self.conn.answered(self.attempt, reply)

    def read(self, parts: list[Any]) -> Reply | None:
        """Collect what has come of the value; the reply once the rest of the answer is there too."""
        parser = self.conn.parser
        while True:
            while (piece := parser.piece()) is not None:
                parts.append(piece)
            if parser.body:
                return None
            self.ended = not self.inner
            if (frame := parser.next()) is None:
                return None
            stop = 0
            if not self.ended:
                stop, self.inner = past(frame.items, 0, self.inner)
                long = not frame.last and stop == len(frame.items)
                last = frame.items[stop - 1]
                parts.append(memoryview(frame.buf)[frame.items[0].head : last.start if long else last.end])
                if long:
                    continue
                self.ended = True
            if not frame.last:
                raise Malformed("a long value where none belongs")
            return Reply(Status.OK, None, report_in(frame, past(frame.items, stop)[0]))

    def pause(self) -> None:
        """Read the backend no further for now."""
        if not self.paused and not self.conn.ended:
            self.paused, self.unsent = True, -1
            self.conn.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self.paused and not self.conn.ended:
            self.paused, self.moved = False, self.conn.pool.now()
            self.conn.transport.resumeProducing()

    def look(self) -> None:
        """Whether it still moves. One that waits for an answer before it is that one's matter."""
        if self.attempt.over:
            return
        wait = TAKE_STALL
        if not self.paused:
            wait = self.moved + GIVE_STALL - self.conn.pool.now()
            if wait <= 0:
                count("answer_stalled")
                return self.conn.spoilt(self.attempt)
        elif self.rpc.client_connection.first(self.rpc):
            if (unsent := self.rpc.client_connection.unsent()) == self.unsent:
                count("answer_not_taken")
                return self.rpc.client_connection.cut()
            self.unsent = unsent
        self.timer = self.conn.pool.reactor.callLater(wait, self.look)

    def finish(self) -> None:
        """Nothing is left to look after, and nothing may hold the last piece: no timer, and no cycle."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        # all of the value is in its reply, or its client connection has ended
        self.rpc.response_stream = None

    def broken(self) -> None:
        """No more of it will come."""
        self.budget.forget(self)
        self.budget.hold(self, 0)
        if self.begun and not self.ended:
            self.ended = True
            self.rpc.client_connection.cut()
        self.finish()

    def client_gone(self) -> None:
        """Nobody takes the rest."""
        if not self.ended:
            self.ended = True
            self.conn.pool.give_up(self.attempt, Status.CANCELLED)
