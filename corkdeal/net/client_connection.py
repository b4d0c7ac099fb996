"""Client connections: read RPCs and write their replies in the order of the commands."""

from __future__ import annotations

import itertools
import math
import socket
from collections import deque
from typing import Any

from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from .. import logs
from . import client_transport, vectored_write
from .budget import ITEM_MEMORY, REQUEST_MEMORY
from .client_transport import count_unread
from .close_reason import CloseReason
from .connection_memory import ConnectionMemory
from .descriptors import MIN_SILENT_TIME
from .invariants import count, holds
from .parsing_queue import SLICE_TIME
from .request_stream import RequestStream
from .resp import Frame, MalformedError, Parser
from .response_stream import ResponseStream
from .rpc import READ, RPC, WRITE, BadRequestError
from .stalled_readers import CLIENT_STALL_TIMEOUT
from .tcp_state import (
    PeerState,
    peer_state,
    seconds_since_fin,
    seconds_since_last_data,
    unacknowledged_bytes,
    unread_bytes,
)

MAX_PENDING_REPLIES = 256  # unanswered commands at which the gateway stops reading from a client connection
MAX_PENDING_WHEN_CROWDED = 8  # the same, while the memory budget is crowded
MAX_SHORT_VALUE = 4 << 10  # bytes; a command's longer value is received in pieces, see `request_stream`
MAX_COMMAND_SIZE = 16 << 10  # bytes of a command without a longer value
# bytes of an incomplete command, to which it may grow while the memory budget is used up; longer than a
# request's head with a value of MAX_SHORT_VALUE
MAX_COMMAND_WITHOUT_MEMORY = 6 << 10
WRITE_BATCH = 64 << 10  # bytes of replies that are written at once
SHORT_ANSWER = 256  # bytes; answers up to that are always kept for their clients
IMMEDIATE_REPLY_MEMORY = 256  # bytes of an immediate reply, besides its text
VALUE_END_SIZE = 2  # bytes of the CRLF behind a value
MAX_BAD_REQUESTS = 16  # bad requests at which a connection is closed, so that a flood of them costs little
# A client that sends its request and its FIN together (`printf ... | nc`) still reads the reply, so attempts
# for it may start within HALF_CLOSE_GRACE of the FIN. A client that has closed the connection looks the same,
# and no attempt for it may start more than 0.1 s after the close. The margin of 0.05 s covers the kernel
# tick in which a FIN is timestamped (at most 10 ms), the network delay to the backend, and preemption of this
# process between the check and the write.
HALF_CLOSE_GRACE = 0.05  # s
UNREAD_WINDOW = 0.25  # s after a pause in which bytes may still be read that arrived during it
KERNEL_TICK = 0.01  # s; the longest tick of any kernel configuration
# s without a request, after which a connection is closed for a shutdown or a standby; one that is used more
# often is closed behind an answer, where no request can cross the close
MIN_QUIET_TIME = 0.5
# s between checks whether the client has taken all, so that the connection can be closed: after an error, and
# at first where none was sent
LINGER, MIN_LINGER = 0.5, 0.01
# Reasons for which clients are not idle; they may be about to send a request.
QUIET_CLOSE_REASONS = (CloseReason.SHUTDOWN, CloseReason.STANDBY, CloseReason.UPGRADE)
OK = b"+OK\r\n"
NO_COMMAND_MEMORY_REPLY = b"-ERR failed: no memory for the command\r\n"
NO_MEMORY_REPLY = b"-ERR failed: no memory for the answer\r\n"
TOO_MANY_CLIENTS = b"-ERR max number of clients reached\r\n"
connection_numbers = itertools.count(1)
CLOSED = Failure(ConnectionDone())
STANDBY_REPLY = b"-ERR standby\r\n"  # reply to PING; the load balancer takes any reply but PONG as not ready


class ImmediateReply:
    """A reply to a command that needs no RPC, queued in order with the RPCs."""

    __slots__ = ("held_bytes", "reply", "waiting_bytes")
    response_stream = None

    def __init__(self, reply: bytes) -> None:
        self.reply = [reply]
        self.held_bytes = self.waiting_bytes = 0


@implementer(IHalfCloseableProtocol)
class ClientConnection(LineReceiver):
    """One client connection: a LineReceiver in raw mode that parses RESP headers in the received buffers."""

    line_mode = 0

    def __init__(self, gateway: Any) -> None:
        self.gateway, self.parser = gateway, Parser(MAX_SHORT_VALUE, MAX_COMMAND_SIZE)
        self.memory = ConnectionMemory(gateway.budget)
        self.parsing_queue = gateway.parsing_queue
        self.resumed_at = -math.inf  # when reading was resumed last
        self.read_at = 0.0  # when the input that is being parsed was read
        self.is_shed = False  # whether it was accepted on overload
        self.ends_after_input = False  # whether it ends once all that was read is answered
        self.is_refusing = False  # whether it is about to end, and rejects the requests that come before
        self.has_unparsed_input = False  # whether it may hold commands that wait for their turn
        self.idle = gateway.descriptors.idle
        self.stalled_readers = gateway.descriptors.stalled_readers
        self.pending_replies: deque[RPC | ImmediateReply] = deque()  # in command order
        self.command_started_at = 0.0  # when the first byte of an incomplete command was read
        self.idle_since = self.opened_at = gateway.now()  # when it was accepted or last became idle
        self.number = next(connection_numbers)  # in the log
        # whether the client has sent a complete command, and the number of its RPCs
        self.has_sent_command, self.request_count = False, 0
        self.bad_request_count = 0
        self.unread_time = 0.0  # s that the bytes being read lay in the socket before
        self.half_closed = self.closing = self.terminating = False
        self.at_reply_limit = self.is_parsing = self.is_shut_down = False
        self.half_closed_at: float | None = None  # earliest time at which the client may have sent its FIN
        self.attempts_stopped = False  # whether no further attempts start for this client's requests
        self.is_reset = False  # whether the client closed both directions and reads no reply
        self.seen_open_at = self.idle_since  # when the client was last known not to have sent its FIN
        self.body: RequestStream | None = None  # the large value being received
        self.is_flushing = False
        self.is_streaming = False  # whether a reply that is not whole yet is being written
        self.close_reason: CloseReason | None = None  # the first cause of its end

    def connectionMade(self) -> None:
        """Register the connection.

        On overload its requests are rejected for as long as that lasts. If no descriptor can be freed for it,
        what it has sent is rejected before it is closed, unless there are many such connections.
        """
        self.transport.setTcpNoDelay(True)
        self.update_memory()
        self.transport.registerProducer(self, True)  # backpressure: a client that does not read is not read
        self.gateway.client_connections.add(self)
        self.closing = self.gateway.operators.standby  # on standby: close it once its requests are answered
        self.idle.update(self)
        if self.gateway.lateness.is_overloaded and not self.gateway.shutdown.is_draining:
            count("client_connection_shed")
            self.is_shed = True
        if self.gateway.descriptors.admit_client_connection():
            return
        count("client_connection_refused")
        if self.has_unread_bytes() and self.gateway.descriptors.may_keep_refused():
            self.is_refusing = True
            self.gateway.descriptors.refused.add(self)
            self.close_when_idle(CloseReason.DESCRIPTORS)
        else:
            self.reply_and_drop(TOO_MANY_CLIENTS, CloseReason.DESCRIPTORS)

    def read_size(self) -> int:
        """Return how many bytes to read next; asked before each read."""
        if self.body is not None and self.parser.value_left:
            return self.gateway.budget.body_read_size()
        return self.gateway.budget.command_read_size()

    def rawDataReceived(self, data: bytes) -> None:
        """Handle received bytes, at once or when this connection's turn comes."""
        if self.terminating:
            return
        now = self.read_at = self.seen_open_at = self.gateway.now()
        self.unread_time = self.measure_unread_time(now)
        if not self.parser.has_partial_frame:
            self.command_started_at = now
        self.parser.feed(data)
        if self.parsing_queue.has_time():
            self.parse_commands()
            self.parsing_queue.record_use(self.gateway.now() - now)
        else:
            self.has_unparsed_input = True
            self.update_reading()

    def measure_unread_time(self, now: float) -> float:
        """Return for how many seconds the bytes being read lay in the socket, as far as is known.

        That is while the process was stalled, or this connection was paused. The kernel tells it of the
        newest bytes; earlier ones have waited longer.
        """
        handle, unread_time = self.transport.getHandle(), 0.0
        if self.gateway.recovery is not None:
            unread_time = self.gateway.recovery.unread_time(handle, now)
        if self.resumed_at <= now < self.resumed_at + UNREAD_WINDOW:
            age = seconds_since_last_data(handle) or 0.0
            if age > KERNEL_TICK:
                unread_time = max(unread_time, age)
        return unread_time

    def parse_commands(self, slice_time: float = SLICE_TIME) -> None:
        """Handle the commands that were read, and write all immediate replies together.

        After `slice_time` the rest waits for the next turn. Malformed input ends this connection only.
        """
        if self.terminating or self not in self.gateway.client_connections:
            return
        self.has_unparsed_input = False
        self.is_parsing = True
        try:
            self.handle_commands(slice_time)
        except MalformedError as error:
            count("client_connection_malformed")
            self.drop_body()
            reply = b"-ERR Protocol error: %b\r\n" % str(error).encode()
            self.reply_and_close(reply, CloseReason.MALFORMED)
        finally:
            self.is_parsing = False
        if self.ends_after_input and not self.has_unparsed_input:
            self.drop_body()
            self.terminating = True
        self.flush()
        self.end_without_memory()
        if self.has_unparsed_input or self.paused:
            self.update_reading()

    def end_without_memory(self) -> None:
        """Close a connection with a large incomplete command, while the memory budget is used up."""
        if (
            self.gateway.budget.is_exhausted
            and not (self.terminating or self.has_unparsed_input)
            and self.unparsed_bytes() > MAX_COMMAND_WITHOUT_MEMORY
        ):
            count("command_without_memory")
            self.reply_and_close(NO_COMMAND_MEMORY_REPLY, CloseReason.NO_MEMORY)

    def handle_commands(self, slice_time: float) -> None:
        """Handle the commands that were read, until the time is over or replies have to be taken first."""
        started_at = now = self.gateway.now()
        can_parse = not self.parser.value_left or self.receive_body()
        while can_parse and not self.terminating:
            if now - started_at >= slice_time or self.is_blocked():
                self.has_unparsed_input = self.parser.has_partial_frame
                return
            if (frame := self.parser.next()) is None:
                return
            if frame.is_last and self.body is None:
                self.handle_command(frame, now)
            else:
                can_parse = self.handle_large_command(frame, now)
            self.command_started_at = now
            now = self.gateway.now()

    def handle_command(self, frame: Frame, now: float) -> None:
        """Handle one complete command; commands other than API.READ and API.WRITE are answered here."""
        if not frame.is_command():
            raise MalformedError("expected an array of bulk strings")
        self.has_sent_command = True
        name = frame.text(1).upper()
        if name in (READ, WRITE):
            try:
                rpc = self.gateway.command_parser.parse(frame, now, self.waited_time(now))
            except BadRequestError as error:
                return self.reject_bad_request(error)
            rpc.frame = frame.compacted()
            self.enqueue(rpc)
            self.submit(rpc)
        elif name == b"PING" and len(frame.items) == 2:
            self.queue_reply(self.ping_reply())
        elif name in (b"PING", b"ECHO") and len(frame.items) == 3:
            self.queue_reply(b"$%d\r\n%b\r\n" % (frame.items[2].size, frame.text(2)))
        elif name in (b"CLIENT", b"SELECT"):
            self.queue_reply(OK)
        elif name == b"QUIT":
            self.reply_and_close(OK, CloseReason.QUIT)
        else:
            self.queue_reply(b"-ERR unknown command\r\n")

    def ping_reply(self) -> bytes:
        """Return the reply to a PING, by which load balancers tell whether to send requests here."""
        if self.gateway.operators.standby:
            return STANDBY_REPLY
        return TOO_MANY_CLIENTS if self.is_refusing or self.is_shedding() else b"+PONG\r\n"

    def waited_time(self, now: float) -> float:
        """Return for how many seconds a command that is parsed now had arrived before, as far as is known."""
        in_queue = now - self.read_at
        return self.unread_time + (in_queue if in_queue > SLICE_TIME else 0.0)

    def submit(self, rpc: RPC) -> None:
        """Pass a complete RPC to the gateway, or reject it."""
        if (counter := self.rejection_counter()) is None:
            return self.gateway.accept_rpc(rpc)
        count(counter)
        rpc.reply = [self.gateway.reject_early(rpc, 0.0)]
        rpc.release()

    def rejection_counter(self) -> str | None:
        """Return the counter of the reason to reject a request of this client now, or None."""
        if self.attempts_stopped:
            return "request_after_close"  # its client disconnected before it was read
        if self.is_refusing:
            return "request_refused"
        if self.is_shedding():
            return "request_shed"
        return "request_without_memory" if self.gateway.budget.is_exhausted else None

    def is_shedding(self) -> bool:
        """Return whether the gateway is overloaded, as it was when it accepted this connection."""
        self.is_shed = self.is_shed and self.gateway.lateness.is_overloaded
        return self.is_shed

    def enqueue(self, rpc: RPC) -> None:
        """Queue an RPC for its reply."""
        rpc.client_connection = self
        self.request_count += 1
        self.append_pending(rpc, REQUEST_MEMORY + rpc.frame.size())
        self.idle.discard(self)

    def append_pending(self, pending: RPC | ImmediateReply, size: int) -> None:
        """Append to the pending replies what takes `size` bytes; stop reading at their limit."""
        self.pending_replies.append(pending)
        self.memory.add(pending, size)
        if len(self.pending_replies) >= self.max_pending_replies() and not self.at_reply_limit:
            self.at_reply_limit = True
            self.update_reading()

    def max_pending_replies(self) -> int:
        """Return at how many pending replies reading stops."""
        return MAX_PENDING_WHEN_CROWDED if self.gateway.budget.is_crowded else MAX_PENDING_REPLIES

    def reject_bad_request(self, error: BadRequestError) -> None:
        """Reply with the error; `MAX_BAD_REQUESTS` end the connection.

        Valid requests that were read with them are answered before, up to the next bad one.
        """
        count("request_malformed")
        self.bad_request_count += 1
        if self.bad_request_count > MAX_BAD_REQUESTS:
            self.drop_body()
            self.terminating = True
            return
        self.queue_reply(b"-ERR %b\r\n" % str(error).encode())
        if self.bad_request_count == MAX_BAD_REQUESTS:
            self.set_close_reason(CloseReason.BAD_REQUESTS)
            self.is_refusing = self.ends_after_input = True

    def handle_large_command(self, frame: Frame, now: float) -> bool:
        """Handle part of a command with a large value; return whether the next frame can be parsed."""
        if self.body is None:
            self.has_sent_command = True
            try:
                rpc = self.gateway.command_parser.parse_head(frame, self.parser.items_left, now)
                self.enqueue(rpc)
                rpc.body = self.body = self.request_stream(rpc)
                self.body.start()
                self.reject_at_head(rpc)
            except BadRequestError as error:
                self.body = self.request_stream(None)
                self.body.start()
                self.reject_bad_request(error)
        elif frame.is_last:
            body, self.body = self.body, None
            body.finish()
            self.update_reading()  # it may have been paused at its last piece
            if body.rpc is not None:
                body.rpc.restart_timeout(now, self.waited_time(now))
                self.submit(body.rpc)
            return True
        return self.receive_body()

    def request_stream(self, rpc: RPC | None) -> RequestStream:
        """Return the stream of the long value that begins; one without an RPC is discarded."""
        return RequestStream(self.gateway.budget, self, rpc, self.parser.value_left - VALUE_END_SIZE)

    def reject_at_head(self, rpc: RPC) -> None:
        """Reject a command before its long value has come, if that can't be taken or will not be sent on."""
        budget = self.gateway.budget
        if budget.is_exhausted or rpc.body.size > budget.longest_body:
            count("request_without_memory")
            self.reject_body(rpc.body, 0.0)
        elif (wait := self.early_retry_after(rpc)) is not None:
            count("refused_at_head")
            self.reject_body(rpc.body, wait)

    def early_retry_after(self, rpc: RPC) -> float | None:
        """Return the Retry-After in s if a command can be rejected by its head alone, else None."""
        if self.is_refusing or self.is_shedding():
            return 0.0
        return self.gateway.early_retry_after(rpc.request)

    def receive_body(self) -> bool:
        """Take the available bytes of a large value; return whether the value is complete."""
        while (piece := self.parser.piece()) is not None:
            self.body.receive(piece)
        return not self.parser.value_left

    def reject_body(self, body: RequestStream, after: float) -> None:
        """Reject a command whose large value is still being received; the rest of it is discarded."""
        if body.rpc is not None:
            body.rpc.reply = [self.gateway.reject_early(body.rpc, after)]
            body.rpc.release()
            self.update_reading()
            self.flush()

    def time_since_end_of(self, body: RequestStream) -> float | None:
        """Return for how many seconds a value that waits for memory has lain unread to its last byte.

        None stands for one whose end has not come. Bytes behind it make that time too short.
        """
        handle = self.transport.getHandle()
        if unread_bytes(handle) + len(self._buffer) < body.remaining_bytes + VALUE_END_SIZE:
            return None
        return seconds_since_last_data(handle)

    def body_timed_out(self) -> None:
        """Close the connection because a large value stalled; its RPC is dropped."""
        self.drop_body()
        self.reply_and_close(b"-ERR timeout: the command does not come\r\n", CloseReason.COMMAND_TIMEOUT)

    def drop_body(self) -> None:
        """Drop the command whose large value is incomplete; the gateway has not accepted it yet."""
        body, self.body = self.body, None
        if body is not None:
            if body.rpc is not None:
                self.pending_replies.remove(body.rpc)
                self.memory.remove(body.rpc)
                self.gateway.request_ids.release(body.rpc.id)
            body.finish()
            body.drop()
            self.update_memory()

    def queue_reply(self, reply: bytes) -> None:
        """Queue an immediate reply behind the pending ones."""
        self.append_pending(ImmediateReply(reply), IMMEDIATE_REPLY_MEMORY + len(reply))
        self.flush()

    def set_reply(self, rpc: RPC, reply: list[vectored_write.Part]) -> None:
        """Set the final reply of an RPC; an RPC has only one."""
        if holds(rpc.reply is None, "second_answer"):
            if rpc.response_stream is not None:
                rpc.response_stream.detach()
            size = sum(map(len, reply))
            if not self.may_keep_answer(rpc, size):
                count("answer_without_memory")
                reply, size = [NO_MEMORY_REPLY], len(NO_MEMORY_REPLY)
            rpc.reply = reply
            self.memory.add_answer(rpc, size)
            self.flush()
            if self.is_parsing:  # the flush has to wait for the end of that
                self.update_memory()

    def may_keep_answer(self, rpc: RPC, size: int) -> bool:
        """Return whether an answer may be kept until its turn comes and its client takes it.

        One that is next, for a client that has taken all before, needs no memory: the socket takes it.
        """
        if size <= SHORT_ANSWER or self.gateway.budget.may_keep_answer(size):
            return True
        return self.is_next(rpc) and not self.untaken_bytes()

    def set_streamed_reply(self, rpc: RPC) -> None:
        """Set the final reply of an RPC, which its response stream provides."""
        if holds(rpc.reply is None, "second_answer"):
            rpc.reply = []
            self.gateway.response_released(rpc)

    def forward_response(self, rpc: RPC) -> None:
        """Write what was received of a streamed response, if it is next in order."""
        if self.is_next(rpc):
            self.flush()

    def may_stream(self, rpc: RPC) -> bool:
        """Return whether a reply that is not whole may be written.

        It has to be next, with no request or part of one behind it, and the client has to take it.
        """
        return (
            self.is_next(rpc)
            and len(self.pending_replies) == 1
            and self.body is None
            and not (self.is_parsing or self.parser.has_partial_frame)
            and not (vectored_write.pending(self.transport) or self.has_unread_bytes())
        )

    def is_next(self, rpc: RPC) -> bool:
        """Return whether the reply of this RPC is the next to be written."""
        return bool(self.pending_replies) and rpc is self.pending_replies[0]

    def update_memory(self) -> None:
        """Report to the memory budget what this connection holds now."""
        self.memory.update(self.buffered_bytes())

    def buffered_bytes(self) -> int:
        """Return the number of bytes in this process's buffers, of input and of output."""
        return self.unparsed_bytes() + len(self._buffer) + self.unsent_bytes()

    def unparsed_bytes(self) -> int:
        """Return the number of bytes held for an incomplete command, without a long value."""
        return len(self.parser.buf) + ITEM_MEMORY * len(self.parser.items)

    def unsent_bytes(self) -> int:
        """Return the number of bytes written but not yet accepted by the socket."""
        return vectored_write.unsent_bytes(self.transport)

    def untaken_bytes(self) -> int:
        """Return the number of bytes written that the client's side has not acknowledged."""
        return self.unsent_bytes() + unacknowledged_bytes(self.transport.getHandle())

    def flush(self) -> None:
        """Write the replies that are next in order; close a connection that is done."""
        if self.is_parsing or self.is_flushing:
            return
        self.is_flushing = True
        try:
            self.write_ready_replies()
        finally:
            self.is_flushing = False
        self.update_memory()
        if self.at_reply_limit and len(self.pending_replies) < self.max_pending_replies() // 2:
            self.at_reply_limit = False
            if not self.terminating:
                self.update_reading()
        if not self.pending_replies:
            self.idle_since = self.gateway.now()
            self.idle.update(self)
            if self.terminating:
                if not self.is_shut_down:
                    self.linger()
            elif self.half_closed:
                self.close_when_written()
            elif self.closing:
                self.close_if_idle()  # waits for the rest of a partial command; the sweep bounds that wait

    def write_ready_replies(self) -> None:
        """Write the replies that are next in order, as far as the client takes them."""
        while self.pending_replies and not self.wait_for_client():
            pending = self.pending_replies[0]
            if (response_stream := pending.response_stream) is None:
                if pending.reply is None:
                    return
                self.write_batch()
                continue
            if not response_stream.is_released:
                response_stream.handle_turn()
                if pending.response_stream is response_stream and not response_stream.is_released:
                    return
                continue
            if not self.write_stream(response_stream):
                return
            response_stream.detach()
            self.memory.remove(self.pending_replies.popleft())

    def write_batch(self) -> None:
        """Write complete replies at the head of the queue, until they have `WRITE_BATCH` bytes or more.

        If the connection ends with the last of them, the FIN goes with it, in one segment if it is short: the
        client can't have sent a request in between.
        """
        parts: list[vectored_write.Part] = []
        size = 0
        while self.pending_replies and size < WRITE_BATCH:
            pending = self.pending_replies[0]
            if pending.response_stream is not None or pending.reply is None:
                break
            parts += pending.reply
            size += sum(map(len, pending.reply))
            self.memory.remove(self.pending_replies.popleft())
        is_last = self.may_end_behind_replies()
        self.write(parts, socket.MSG_MORE if is_last else 0)
        if is_last and not vectored_write.pending(self.transport):
            self.end_between_requests()

    def may_end_behind_replies(self) -> bool:
        """Return whether a connection that is to be closed may be closed behind what is written next."""
        return (
            self.closing
            and not (self.terminating or self.half_closed or self.pending_replies)
            and not (self.parser.has_partial_frame or self.has_unread_bytes())
        )

    def write_stream(self, response_stream: ResponseStream) -> bool:
        """Write what the client takes of a streamed reply; return whether all of it is written."""
        self.set_streaming(not response_stream.ended)
        while not vectored_write.pending(self.transport) and (batch := response_stream.take()):
            self.write(batch)
        if not self.wait_for_client():
            response_stream.resume()
        self.update_memory()
        return response_stream.ended and not response_stream.buffer.size

    def wait_for_client(self) -> bool:
        """Pause until the client has taken all that is written; return False if it has already."""
        if not vectored_write.pending(self.transport):
            return False
        if not self.transport.producerPaused:
            # Twisted pauses at 64 KiB only; with this set, it calls resumeProducing once its buffer is empty
            self.transport.producerPaused = True
            self.pauseProducing()
        return True

    def set_streaming(self, is_streaming: bool) -> None:
        """Pause reading while a reply that is not whole is written: requests behind it could be lost."""
        if is_streaming is self.is_streaming:
            return
        self.is_streaming = is_streaming
        if not (is_streaming or self.terminating) and self.parser.has_partial_frame:
            self.command_started_at = self.gateway.now()  # its client could not complete it meanwhile
        self.update_reading()

    def write(self, parts: list[vectored_write.Part], flags: int = 0) -> None:
        """Write parts of replies, with flags of sendmsg; a client that does not take them is watched."""
        if parts and self.transport.connected:
            vectored_write.write(self.transport, parts, flags)
            if self.wait_for_client():
                self.stalled_readers.watch(self)

    def pauseProducing(self) -> None:
        """The send buffer is full: stop reading from the client and from the backend whose response it is."""
        self.update_reading()
        if (response_stream := self.written_stream()) is not None:
            response_stream.pause()

    def resumeProducing(self) -> None:
        """The send buffer is empty: read from the client again, and write what waits."""
        self.update_reading()
        if self.pending_replies:
            self.flush()
            return
        self.update_memory()
        self.idle_since = self.gateway.now()
        self.idle.update(self)
        if self.closing:
            self.close_if_idle()

    def written_stream(self) -> ResponseStream | None:
        """Return the large reply that is being written, if there is one."""
        response_stream = self.pending_replies[0].response_stream if self.pending_replies else None
        return response_stream if response_stream is not None and response_stream.is_released else None

    @property
    def is_awaiting_reply(self) -> bool:
        """Whether the next reply is pending and not whole yet."""
        if not self.pending_replies:
            return False
        if (response_stream := self.written_stream()) is not None:
            return not response_stream.ended
        return self.pending_replies[0].reply is None

    def update_reading(self) -> None:
        """Pause or resume reading from the client, and queue unparsed input unless it is blocked, too."""
        is_blocked = self.is_blocked()
        stop = is_blocked or self.has_unparsed_input
        if self.has_unparsed_input and not is_blocked:
            self.parsing_queue.add(self)
        if stop is self.paused:
            return
        if stop:
            super().pauseProducing()
            self.gateway.descriptors.paused.add(self)
        else:
            self.resumed_at = self.gateway.now()
            super().resumeProducing()
            self.gateway.descriptors.paused.discard(self)

    def is_blocked(self) -> bool:
        """Whether nothing more is to be read or parsed for now.

        So it is while the send buffer is full, too many replies are pending, a large value waits for memory,
        or a large reply is being written that is not whole yet.
        """
        body, is_incomplete = self.body, self.parser.value_left > 0
        waits_for_memory = body is not None and is_incomplete and body.waiting_since is not None
        return self.at_reply_limit or self.transport.producerPaused or waits_for_memory or self.is_streaming

    def abort_response(self) -> None:
        """Close the connection because a response that was partly sent can't be completed.

        Nothing may be written after it: the client would read that as the rest of the response.
        """
        count("answer_cut_off")
        self.set_close_reason(CloseReason.ANSWER_CUT_OFF)
        self.terminating = True
        self.idle.discard(self)
        self.abandon_pending()
        self.linger()

    def linger(self) -> None:
        """Send the FIN behind what is written, and close once the client has taken all of it.

        Closing at once, with input unread, would send a reset, which discards what the client has not taken.
        """
        self.end_sending(LINGER)

    def end_sending(self, check_after: float) -> None:
        """Send the FIN behind what is written, at once if the socket has all of it, and read no more.

        The close follows once the client has taken all; that is checked in `check_after` s.
        """
        self.terminating = self.is_shut_down = True
        self.idle.discard(self)
        self.transport.unregisterProducer()
        if vectored_write.pending(self.transport):
            self.transport.loseWriteConnection()
        else:
            client_transport.end_sending(self.transport.getHandle())
        self.discard_input()
        self.transport.pauseProducing()  # reading 60 MB to discard it costs more than the connection
        self.gateway.reactor.callLater(check_after, self.end_lingering, check_after, 0, 0.0)

    def discard_input(self) -> None:
        """Free what was read and will not be parsed, and report it."""
        self.release_input()
        self.update_memory()

    def release_input(self) -> None:
        """Free what was read and will not be parsed."""
        self.parser = Parser(MAX_SHORT_VALUE, MAX_COMMAND_SIZE)
        self.clearLineBuffer()
        self.has_unparsed_input = False

    def end_lingering(self, elapsed: float, previous_untaken: int, stalled_time: float) -> None:
        """Close if the client has taken all, or has taken no byte for `CLIENT_STALL_TIMEOUT`.

        `elapsed` is the time in s since the check before, which is doubled up to `LINGER`.
        """
        if self not in self.gateway.client_connections:
            return
        untaken = self.untaken_bytes()
        stalled_time = stalled_time + elapsed if untaken == previous_untaken else 0.0
        if not untaken:
            self.close_now()
        elif stalled_time >= CLIENT_STALL_TIMEOUT:
            self.transport.abortConnection()
        else:
            wait = min(2 * elapsed, LINGER)
            self.gateway.reactor.callLater(wait, self.end_lingering, wait, untaken, stalled_time)

    def close_when_written(self) -> None:
        """Close once all is written; a transport with a paused producer would never close."""
        self.transport.unregisterProducer()
        self.transport.loseConnection()

    def set_close_reason(self, reason: CloseReason) -> None:
        """Record why this connection ends, unless a cause is recorded already."""
        self.close_reason = self.close_reason or reason

    def reply_and_close(self, reply: bytes, reason: CloseReason) -> None:
        """Write the pending replies and this one, then close.

        Closing at once, with input unread, would send a reset that may discard the reply at the client.
        """
        self.set_close_reason(reason)
        self.terminating = True
        self.queue_reply(reply)

    def reply_and_drop(self, reply: bytes, reason: CloseReason) -> None:
        """Write a reply and close at once, for a client that has sent nothing.

        Many such connections lingering could fill the descriptor table.
        """
        self.set_close_reason(reason)
        self.terminating = True
        vectored_write.write(self.transport, [reply])
        self.close_now()

    def close_now(self) -> None:
        """Close without waiting for the client; the kernel still sends what it has accepted."""
        self.terminating = True
        self.idle.discard(self)
        self.transport.connectionLost(CLOSED)

    def close_before_kill(self) -> None:
        """Close shortly before the process is killed, unless complete requests may be unread.

        Those are rejected when they are read. The kill loses what a client has not taken yet, or not sent
        completely, as well.
        """
        if self.has_unparsed_input and not self.is_blocked():
            self.parse_commands(slice_time=math.inf)
        if vectored_write.pending(self.transport):
            count("answer_not_taken")
        elif self.is_streaming:
            count("answer_cut_off")
        elif self.transport.disconnecting:
            # What came since is not read any more. The transport waits for room in a full socket.
            count("client_connection_not_closed_in_time")
        elif self.parser.has_partial_frame:
            count("client_connection_without_command")
        elif not self.terminating and (self.pending_replies or self.has_unread_bytes()):
            return
        self.set_close_reason(CloseReason.SHUTDOWN)
        self.close_now()

    def drop(self) -> None:
        """Close at once to free the descriptor for another connection; `may_be_replaced` was asked before.

        It is closed and not reset: the client may not have taken all of its last answer yet. Twisted's
        loseConnection frees it in a later reactor iteration only, and many connections may be accepted in
        this one.
        """
        self.set_close_reason(CloseReason.REPLACED)
        self.close_now()

    def may_be_replaced(self) -> bool:
        """Return whether nothing is lost by closing now: no bytes unread, and the socket has all answers."""
        return not (vectored_write.pending(self.transport) or self.has_unread_bytes())

    def close_unread(self) -> None:
        """Close because the client does not read its replies; those that it can't take are discarded."""
        count("answer_not_taken")
        self.set_close_reason(CloseReason.ANSWERS_NOT_TAKEN)
        self.terminating = self.is_shut_down = True
        self.idle.discard(self)
        self.transport.abortConnection()

    def close_when_idle(self, reason: CloseReason = CloseReason.IDLE) -> None:
        """Close between requests: behind the next reply, or once there was no request for a while.

        Unread requests are served first.
        """
        if not self.closing and not self.terminating:
            self.set_close_reason(reason)
            self.closing = True
            self.idle.update(self)
            self.close_if_idle()

    def close_if_idle(self) -> None:
        """Close, unless a request is pending, or may be on its way; no call lies between look and FIN."""
        if self.terminating or self.half_closed or self.pending_replies or self.parser.has_partial_frame:
            return
        if self not in self.gateway.client_connections or self.transport.disconnecting:
            return  # it has been closed since this call was scheduled
        if vectored_write.pending(self.transport):
            return  # until the client has taken all that was written
        remaining = self.min_quiet_time() - (self.gateway.now() - self.idle_since)
        if remaining > 0:
            self.gateway.reactor.callLater(remaining, self.close_if_idle)
        elif not self.has_unread_bytes():
            self.end_between_requests()

    def end_between_requests(self) -> None:
        """Close; right after a look for unread bytes. What has come since is counted."""
        self.end_sending(MIN_LINGER)
        if self.has_unread_bytes():
            count_unread(self.close_reason)

    def min_quiet_time(self) -> float:
        """Return for how many seconds a connection has to be idle before it is closed without an answer."""
        if not self.has_sent_command:
            return MIN_SILENT_TIME
        return MIN_QUIET_TIME if self.close_reason in QUIET_CLOSE_REASONS else 0.0

    def has_unread_bytes(self) -> bool:
        """Return whether there are unread bytes, whose request would be lost by closing now."""
        if self._buffer or self.has_unparsed_input:  # read and not parsed
            return True
        return client_transport.has_unread_bytes(self.transport.getHandle())

    def readConnectionLost(self) -> None:
        """The client has sent its FIN: it has closed, or only stopped sending; the two look the same.

        Attempts may still start within `HALF_CLOSE_GRACE`, and each request gets its reply before the close.
        """
        self.set_close_reason(CloseReason.HALF_CLOSED)
        self.half_closed = True
        self.idle.discard(self)
        if self.body is not None:
            count("command_cut_short")
            self.drop_body()
        if not self.pending_replies:
            self.close_when_written()
        else:
            self.handle_half_close(self.gateway.now())

    def may_start_attempt(self, now: float) -> bool:
        """Return whether an attempt for a request of this client may start now.

        The kernel is asked, because a FIN or a reset may not have been read yet if this process runs late or
        has paused reading. That costs one system call per attempt.
        """
        if not self.attempts_stopped:
            self.check_peer(now)
        return not self.attempts_stopped and (
            self.half_closed_at is None or now < self.half_closed_at + HALF_CLOSE_GRACE
        )

    def check_peer(self, now: float) -> None:
        """Ask the kernel whether the client has closed or half-closed the connection, and act on that."""
        if not self.transport.connected:
            return
        state = peer_state(self.transport.getHandle())
        if state is PeerState.OPEN:
            self.seen_open_at = now
        elif state is PeerState.HALF_CLOSED:
            self.handle_half_close(now)
        elif not self.is_reset:
            self.attempts_stopped = self.is_reset = True
            count("client_connection_reset_unread")
            self.transport.abortConnection()

    def check_paused(self) -> None:
        """Check the client's side of a paused connection, to which the reactor delivers no close events."""
        if not (self.attempts_stopped or self.terminating or self.transport.getHandle() is None):
            self.check_peer(self.gateway.now())

    def handle_half_close(self, now: float) -> None:
        """Start the grace period after the client's FIN, in which attempts may still start.

        It counts from when the FIN may have arrived, which may be long ago if this process runs late.
        """
        if self.half_closed_at is not None:
            return
        self.half_closed_at = now - self.time_since_fin(now)
        wait = max(0.0, self.half_closed_at + HALF_CLOSE_GRACE - now)
        # One more reactor iteration, so that replies that arrived while this process was late are read first.
        call_later = self.gateway.reactor.callLater
        call_later(wait, call_later, 0, self.stop_attempts)

    def time_since_fin(self, now: float) -> float:
        """Return an upper bound of the seconds since the client's FIN arrived.

        If the kernel does not report it: on a paused connection the FIN arrived after the last check;
        otherwise it arrived in this event-loop iteration, or in the time by which the iteration is late.
        """
        if (age := seconds_since_fin(self.transport.getHandle())) is not None:
            return age + KERNEL_TICK
        return now - self.seen_open_at if self.paused else self.gateway.timers.lateness

    def stop_attempts(self) -> None:
        """Start no further attempts for pending requests, nor for those still unread."""
        if self.attempts_stopped:
            return
        self.attempts_stopped = True
        for rpc in [w for w in self.pending_replies if w.reply is None]:
            self.gateway.client_half_closed(rpc)

    def writeConnectionLost(self) -> None:
        """This side has half-closed: nothing to do, since the client's close ends the connection."""

    def connectionLost(self, reason: Any = None) -> None:
        """The connection is closed: release what it holds and abandon its requests."""
        self.log_close()
        self.gateway.client_connections.discard(self)
        self.idle.discard(self)
        self.gateway.descriptors.paused.discard(self)
        self.gateway.descriptors.refused.discard(self)
        self.parsing_queue.discard(self)
        self.stalled_readers.discard(self)
        self.abandon_pending()
        self.release_input()
        self.memory.close()
        self.gateway.shutdown.end_if_idle()

    def log_close(self) -> None:
        """Log why the connection ended, and which requests are left without an answer."""
        if not logs.is_enabled("client_connection_closed"):
            return
        unanswered = [rpc.id for rpc in self.pending_replies if isinstance(rpc, RPC) and rpc.reply is None]
        logs.event(
            "client_connection_closed",
            connection=self.number,
            why=(self.close_reason or CloseReason.CLIENT_LEFT).value,
            age=round(self.gateway.now() - self.opened_at, 3),
            requests=self.request_count,
            unanswered=",".join(f"{request_id:016x}" for request_id in unanswered),
        )

    def abandon_pending(self) -> None:
        """Abandon all pending requests and streamed responses."""
        self.drop_body()
        abandoned, self.pending_replies = self.pending_replies, deque()
        for rpc in abandoned:
            self.memory.remove(rpc)
            if rpc.reply is None:
                self.gateway.client_disconnected(rpc)
            if rpc.response_stream is not None:
                rpc.response_stream.handle_client_close()


class ClientConnectionFactory(ServerFactory):
    """Creates the protocol of each accepted client connection."""

    noisy = False

    def __init__(self, gateway: Any) -> None:
        self.gateway = gateway

    def acceptable_count(self, most: int) -> int:
        """Return how many new connections to accept now, up to `most`."""
        return int(self.gateway.descriptors.acceptable_count(most))

    def buildProtocol(self, addr: Any) -> ClientConnection:
        """Return the protocol of one new connection."""
        return ClientConnection(self.gateway)
