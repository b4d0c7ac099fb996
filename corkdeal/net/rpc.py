"""An RPC: how a command becomes the module's request, and how it is written out again to a backend."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from ..decisions.events import Request
from ..decisions.settings import Effect, Settings
from .resp import ARRAY, BULK, Frame, Malformed, fields_of

MOST_CUSTOMER = 1 << 33
READ, WRITE = b"API.READ", b"API.WRITE"
CUSTOMER, ID, PARAMS = 2, 3, 4  # items of the frame; the array's head is 0 and the command's name 1
CLIENT_WAY = 0.001  # s that a request has been on its way when it arrives, as far as one can guess
# Python's own int() and float() also take signs, blanks and underscores, which a backend need not read alike.
HEX = re.compile(rb"[0-9a-fA-F]{16}").fullmatch
WHOLE = re.compile(rb"[0-9]{1,7}").fullmatch
DECIMAL = re.compile(rb"[0-9]{1,6}(?:\.[0-9]{1,6})?").fullmatch
KEY = re.compile(rb"[!-+\--<>-~]{1,64}").fullmatch  # visible, and neither a comma nor an equals sign
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
    """A command that can't be served; the text goes to the client."""


@dataclass(slots=True, eq=False)
class RPC:
    """One request taken, until its final answer is on its way."""

    request: Request
    id: int  # the client's, which no other open RPC may have
    frame: Frame
    wait_at: int  # offsets of the value of `d` in the parameters
    wait_stop: int
    deadline: float
    client_connection: Any = None
    attempt: Any = None  # the attempt that is out
    attempts: int = 0
    ran_since: float | None = None  # when the first attempt that may have run was decided on
    done: bool = False  # answered, or nobody waits for it
    left: bool = False  # its client sends no more, so nothing more is begun for it
    reply: list[Any] | None = None  # the answer, or what has come of it, while it waits for those before it
    response_stream: Any = None  # what passes on an answer with a long value
    body: Any = None  # the command's own long value

    def parts(self, wait: float) -> list[bytes | memoryview]:
        """The command for a backend connection: all as it came, but `d` says how long this gateway waits."""
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
        """Let go of a long value once it can't be sent again."""
        if self.body is not None and self.done and self.attempt is None:
            self.body.drop()


class Reader:
    """Reads commands into RPCs by the names that the settings give classes and plans."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.number = 0
        self.open: set[int] = set()  # the ids of RPCs without an answer

    def read(self, frame: Frame, now: float, waited: float = 0.0) -> RPC:
        """One API command that has come whole; its wait counts from its last byte, as a request's time does.

        `waited` is how long that byte has lain here, in s, where this process stood still.

        All is checked here: what is wrong would spoil a customer's quota, or be held against a backend.
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
        """A command that has come up to its long value, with `left` items still to come behind that."""
        top, words = frame.items[0], frame.items[1:]
        if top.kind != ARRAY or not all(i.kind == BULK and i.size >= 0 for i in words):
            raise Malformed("expected an array of bulk strings")
        if len(words) != PARAMS + 1 or left or frame.text(1).upper() != WRITE:
            raise BadRequest("only the last argument of API.WRITE may be so long")
        return self.read(frame, now)

    def fields(self, raw: bytes) -> dict[bytes, bytes]:
        """The parameters, each once and in its form; names that are not known here go through as they are."""
        pairs = fields_of(raw)
        given = dict(pairs)
        if len(given) != raw.count(b",") + 1 or b"" in given or b"d" not in given:
            raise BadRequest("bad parameters")
        for name, value in pairs:
            if (form := FORMS.get(name)) and not form(value):
                raise BadRequest("bad parameters")
        return DEFAULTS | given
