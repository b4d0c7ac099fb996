"""RPCs: parsing a client's command into a request for the decisions, and encoding it for a backend."""

from __future__ import annotations

import dataclasses
import re
from dataclasses import dataclass
from typing import Any

from ..decisions.events import Request
from ..decisions.settings import Effect, Settings
from .request_ids import RequestIds
from .resp import ARRAY, BULK, Frame, MalformedError, split_fields

CUSTOMER_LIMIT = 1 << 33
READ, WRITE = b"API.READ", b"API.WRITE"
CUSTOMER, ID, PARAMS = 2, 3, 4  # indexes into the frame's items; 0 is the array's head, 1 the command's name
CLIENT_LATENCY = 0.001  # s; estimated time that a request spent on its way from the client
# int() and float() also accept signs, blanks and underscores, which a backend may read differently.
match_hex_id = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
match_integer = re.compile(rb"[0-9]{1,7}").fullmatch
match_decimal = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?").fullmatch
match_key = re.compile(
    rb"[!-+\--<>-~]{1,64}"
).fullmatch  # printable ASCII without blank, comma and equals sign
match_flag = re.compile(rb"[01]").fullmatch
PARAMETER_FORMATS = {
    b"c": None,
    b"t": None,
    b"d": match_integer,
    b"k": match_key,
    b"r": match_flag,
    b"units": match_decimal,
    b"spread": match_integer,
    b"first": match_integer,
}
PARAMETER_DEFAULTS = {b"c": b"", b"t": b"", b"units": b"1", b"spread": b"1", b"first": b"0"}


class BadRequestError(ValueError):
    """The command can't be served; the message is sent to the client."""


@dataclass(slots=True, eq=False)
class RPC:
    """One accepted request, until its final answer is being sent."""

    request: Request
    id: int  # chosen by the client; unique among the open RPCs
    frame: Frame | None  # the command, until no attempt needs it any more
    timeout_start: int  # start and end of the value of `d` in the parameters
    timeout_stop: int
    deadline: float
    client_connection: Any = None
    attempt: Any = None  # the attempt in flight
    attempts: int = 0  # started so far
    first_run_at: float | None = None  # when the first attempt that may have run was decided on
    done: bool = False  # answered, or no answer is wanted
    has_client_left: bool = False  # its client sends no more, so no further attempt is started
    reply: list[Any] | None = None  # the answer; empty if `response_stream` has it
    response_stream: Any = None  # an answer with a long value, from its first byte until all is written
    body: Any = None  # the command's long value, if it has one
    held_bytes: int = 0  # counted for it by its client connection, for the memory budget
    waiting_bytes: int = 0  # of its answer while that waits to be written

    def parts(self, timeout: float) -> list[bytes | memoryview]:
        """The command for a backend: unchanged but for `d`, the time that this gateway waits, `timeout` s."""
        assert self.frame is not None
        buf, params = memoryview(self.frame.buf), self.frame.items[PARAMS]
        first, last = self.frame.items[0], self.frame.items[-1]
        left = buf[params.start : params.start + self.timeout_start]
        right = buf[params.start + self.timeout_stop : params.stop]
        new_params = b"%b%d%b" % (left, max(1, int(timeout * 1000)), right)
        head = [buf[first.head : params.head], b"$%d\r\n%b" % (len(new_params), new_params)]
        if self.body is not None:
            return [*head, buf[params.stop : last.start], *self.body.buffer.pieces]
        return [*head, buf[params.stop : last.end]]

    def restart_timeout(self, now: float, waited: float) -> None:
        """Count the timeout from the last byte of a long value, which arrived `waited` s before `now`."""
        self.deadline = now - waited + self.request.timeout
        if waited:
            left = max(0.0, self.request.timeout - waited)
            self.request = dataclasses.replace(self.request, timeout=left)

    def release(self) -> None:
        """Free the command once no attempt can need it any more."""
        if not self.done or self.attempt is not None:
            return
        self.frame = None
        if self.body is not None:
            self.body.drop()


class CommandParser:
    """Parses commands into RPCs, with the names of classes and plans from the settings."""

    def __init__(self, settings: Settings, ids: RequestIds) -> None:
        self.settings, self.ids = settings, ids
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.request_count = 0  # RPCs so far; each gets the next number as its request id

    def parse(self, frame: Frame, now: float, waited: float = 0.0) -> RPC:
        """Parse one complete API command; its timeout counts from the arrival of its last byte.

        `waited` is how long that byte lay unread in s, if the process was stalled.

        Everything is checked here: an invalid request would distort a customer's quota or count against a
        backend.
        """
        is_write = frame.text(1).upper() == WRITE
        if not PARAMS < len(frame.items) <= PARAMS + 1 + is_write:
            raise BadRequestError("wrong number of arguments")
        raw, settings = frame.text(PARAMS), self.settings
        parameters = self.parse_parameters(raw)
        class_index, plan_index = self.classes.get(parameters[b"c"]), self.plans.get(parameters[b"t"])
        if class_index is None or plan_index is None:
            raise BadRequestError("unknown class or plan")
        effect = settings.classes[class_index].effect
        if is_write is (effect is Effect.IDEMPOTENT):
            raise BadRequestError("this class is served by the other command")
        if effect is Effect.IDEMPOTENCY_KEY and b"k" not in parameters:
            raise BadRequestError("this class needs a key")
        if not match_hex_id(frame.text(CUSTOMER)) or not match_hex_id(frame.text(ID)):
            raise BadRequestError("customer and id must be 16 hexadecimal digits")
        customer, rid = int(frame.text(CUSTOMER), 16), int(frame.text(ID), 16)
        timeout_ms, units, member_count, first_gateway = (
            int(parameters[b"d"]),
            float(parameters[b"units"]),
            int(parameters[b"spread"]),
            int(parameters[b"first"]),
        )
        if not (
            customer < CUSTOMER_LIMIT
            and timeout_ms
            and 0 < units <= settings.max_units
            and 0 < member_count <= settings.gateway_count
            and first_gateway < settings.gateway_count
        ):
            raise BadRequestError("parameters out of range")
        if not self.ids.claim(rid, effect is Effect.IDEMPOTENT):
            raise BadRequestError("another request has this id")
        timeout_start = 2 if raw.startswith(b"d=") else raw.index(b",d=") + 3
        timeout_stop = raw.find(b",", timeout_start)
        deadline = now - waited + timeout_ms / 1000 - CLIENT_LATENCY
        self.request_count += 1
        return RPC(
            Request(
                self.request_count,
                customer,
                plan_index,
                class_index,
                units,
                first_gateway,
                member_count,
                max(0.0, deadline - now),
                parameters.get(b"r") == b"1",
                is_write,
            ),
            rid,
            frame,
            timeout_start,
            timeout_stop if timeout_stop >= 0 else len(raw),
            deadline,
        )

    def parse_head(self, frame: Frame, items_left: int, now: float) -> RPC:
        """Parse a command received up to its long value, after which `items_left` more items follow."""
        array, arguments = frame.items[0], frame.items[1:]
        if array.kind != ARRAY or not all(i.kind == BULK and i.size >= 0 for i in arguments):
            raise MalformedError("expected an array of bulk strings")
        if len(arguments) != PARAMS + 1 or items_left or frame.text(1).upper() != WRITE:
            raise BadRequestError("only the last argument of API.WRITE may be so long")
        return self.parse(frame, now)

    def parse_parameters(self, raw: bytes) -> dict[bytes, bytes]:
        """Parse the parameters; each may occur once. Unknown ones are allowed and forwarded as they are."""
        pairs = split_fields(raw)
        parameters = dict(pairs)
        if len(parameters) != raw.count(b",") + 1 or b"" in parameters or b"d" not in parameters:
            raise BadRequestError("bad parameters")
        for name, value in pairs:
            if (matches := PARAMETER_FORMATS.get(name)) and not matches(value):
                raise BadRequestError("bad parameters")
        return PARAMETER_DEFAULTS | parameters
