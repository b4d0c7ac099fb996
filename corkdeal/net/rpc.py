"""RPCs: parsing a client's command into a request for the decisions, and encoding it for a backend."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from ..decisions.events import Request
from ..decisions.settings import Effect, Settings
from .resp import ARRAY, BULK, Frame, Malformed, fields_of

MOST_CUSTOMER = 1 << 33
READ, WRITE = b"API.READ", b"API.WRITE"
CUSTOMER, ID, PARAMS = 2, 3, 4  # indexes into the frame's items; 0 is the array's head, 1 the command's name
CLIENT_WAY = 0.001  # s; estimated time that a request spent on its way from the client
# int() and float() also accept signs, blanks and underscores, which a backend may read differently.
HEX = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WHOLE = re.compile(rb"[0-9]{1,7}").fullmatch
DECIMAL = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?").fullmatch
KEY = re.compile(rb"[!-+\--<>-~]{1,64}").fullmatch  # printable ASCII without blank, comma and equals sign
FLAG = re.compile(rb"[01]").fullmatch
FORMS = {
    b"c": None,
    b"t": None,
    b"d": WHOLE,
    b"k": KEY,
    b"r": FLAG,
    b"units": DECIMAL,
    b"spread": WHOLE,
    b"first": WHOLE,
}
DEFAULTS = {b"c": b"", b"t": b"", b"units": b"1", b"spread": b"1", b"first": b"0"}


class BadRequest(ValueError):
    """The command can't be served; the message is sent to the client."""


@dataclass(slots=True, eq=False)
class RPC:
    """One accepted request, until its final answer is being sent."""

    request: Request
    id: int  # chosen by the client; unique among the open RPCs
    frame: Frame
    wait_at: int  # start and end of the value of `d` in the parameters
    wait_stop: int
    deadline: float
    client_connection: Any = None
    attempt: Any = None  # the attempt in flight
    attempts: int = 0  # started so far
    ran_since: float | None = None  # when the first attempt that may have run was decided on
    done: bool = False  # answered, or no answer is wanted
    left: bool = False  # its client sends no more, so no further attempt is started
    reply: list[Any] | None = None  # the answer, or the part received so far, until it may be sent
    response_stream: Any = None  # forwards an answer with a long value
    body: Any = None  # the command's long value, if it has one

    def parts(self, wait: float) -> list[bytes | memoryview]:
        """The command for a backend: unchanged, except that `d` is how long this gateway waits (`wait` s)."""
        buf, params = memoryview(self.frame.buf), self.frame.items[PARAMS]
        first, last = self.frame.items[0], self.frame.items[-1]
        left = buf[params.start : params.start + self.wait_at]
        right = buf[params.start + self.wait_stop : params.stop]
        text = b"%b%d%b" % (left, max(1, int(wait * 1000)), right)
        head = [buf[first.head : params.head], b"$%d\r\n%b" % (len(text), text)]
        if self.body is not None:
            return [*head, buf[params.stop : last.start], *self.body.pieces]
        return [*head, buf[params.stop : last.end]]

    def release(self) -> None:
        """Free the command's long value once no attempt can need it any more."""
        if self.body is not None and self.done and self.attempt is None:
            self.body.drop()


class Reader:
    """Parses commands into RPCs, with the names of classes and plans from the settings."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.number = 0  # RPCs so far; each gets the next number as its request id
        self.open: set[int] = set()  # clients' ids of the unanswered RPCs

    def read(self, frame: Frame, now: float, waited: float = 0.0) -> RPC:
        """Parse one complete API command; its timeout counts from the arrival of its last byte.

        `waited` is how long that byte lay unread in s, if the process was stalled.

        Everything is checked here: an invalid request would distort a customer's quota or count against a
        backend.
        """
        write = frame.text(1).upper() == WRITE
        if not PARAMS < len(frame.items) <= PARAMS + 1 + write:
            raise BadRequest("wrong number of arguments")
        raw, s = frame.text(PARAMS), self.settings
        given = self.fields(raw)
        cls, plan = self.classes.get(given[b"c"]), self.plans.get(given[b"t"])
        if cls is None or plan is None:
            raise BadRequest("unknown class or plan")
        effect = s.classes[cls].effect
        if write is (effect is Effect.IDEMPOTENT):
            raise BadRequest("this class is served by the other command")
        if effect is Effect.IDEMPOTENCY_KEY and b"k" not in given:
            raise BadRequest("this class needs a key")
        if not HEX(frame.text(CUSTOMER)) or not HEX(frame.text(ID)):
            raise BadRequest("customer and id must be 16 hexadecimal digits")
        customer, rid = int(frame.text(CUSTOMER), 16), int(frame.text(ID), 16)
        wait, units, spread, first = (
            int(given[b"d"]),
            float(given[b"units"]),
            int(given[b"spread"]),
            int(given[b"first"]),
        )
        if not (
            customer < MOST_CUSTOMER
            and wait
            and 0 < units <= s.max_units
            and 0 < spread <= s.gateway_count
            and first < s.gateway_count
        ):
            raise BadRequest("parameters out of range")
        if rid in self.open:
            raise BadRequest("an open request has this id")
        self.open.add(rid)
        at = 2 if raw.startswith(b"d=") else raw.index(b",d=") + 3
        stop = raw.find(b",", at)
        deadline = now - waited + wait / 1000 - CLIENT_WAY
        self.number += 1
        return RPC(
            Request(
                self.number,
                customer,
                plan,
                cls,
                units,
                first,
                spread,
                max(0.0, deadline - now),
                given.get(b"r") == b"1",
                write,
                waited,
            ),
            rid,
            frame,
            at,
            stop if stop >= 0 else len(raw),
            deadline,
        )

    def read_head(self, frame: Frame, left: int, now: float) -> RPC:
        """Parse a command received up to its long value, after which `left` more items follow."""
        top, words = frame.items[0], frame.items[1:]
        if top.kind != ARRAY or not all(i.kind == BULK and i.size >= 0 for i in words):
            raise Malformed("expected an array of bulk strings")
        if len(words) != PARAMS + 1 or left or frame.text(1).upper() != WRITE:
            raise BadRequest("only the last argument of API.WRITE may be so long")
        return self.read(frame, now)

    def fields(self, raw: bytes) -> dict[bytes, bytes]:
        """Parse the parameters; each may occur once. Unknown ones are allowed and forwarded as they are."""
        pairs = fields_of(raw)
        given = dict(pairs)
        if len(given) != raw.count(b",") + 1 or b"" in given or b"d" not in given:
            raise BadRequest("bad parameters")
        for name, value in pairs:
            if (form := FORMS.get(name)) and not form(value):
                raise BadRequest("bad parameters")
        return DEFAULTS | given
