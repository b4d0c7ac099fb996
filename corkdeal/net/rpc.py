"""An RPC: how a command becomes the module's request, and how it is written out again to a subchannel."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from .. import interface as t
from .resp import Frame, fields_of

MOST_CUSTOMER = 1 << 33
READ, WRITE = b"API.READ", b"API.WRITE"
CUSTOMER, ID, PARAMS = 2, 3, 4  # items of the frame; the array's head is 0 and the command's name 1
CLIENT_WAY = 0.001  # s that a request has been on its way when it arrives, as far as one can guess


class BadRequest(ValueError):
    """A command that can't be served; the text goes to the client."""


@dataclass(slots=True, eq=False)
class RPC:
    """One request taken, until its final answer is on its way."""

    request: t.Request
    frame: Frame
    wait_at: int  # offsets of the value of `d` in the parameters
    wait_stop: int
    deadline: float
    channel: Any = None
    attempt: Any = None  # the attempt that is out
    attempts: int = 0
    done: bool = False  # answered, or nobody waits for it
    reply: list[Any] | None = None  # the answer while it waits for those before it

    def parts(self, wait: float) -> list[bytes | memoryview]:
        """The command for a subchannel: all as it came, but `d` says how long this gateway waits."""
        buf, params = memoryview(self.frame.buf), self.frame.items[PARAMS]
        first, last = self.frame.items[0], self.frame.items[-1]
        left = buf[params.start:params.start + self.wait_at]
        right = buf[params.start + self.wait_stop:params.stop]
        text = b"%b%d%b" % (left, max(1, int(wait * 1000)), right)
        return [buf[first.head:params.head], b"$%d\r\n%b" % (len(text), text), buf[params.stop:last.end]]


class Reader:
    """Reads commands into RPCs by the names that the settings give classes and plans."""

    def __init__(self, settings: t.Settings) -> None:
        self.settings = settings
        self.classes = {c.name.encode(): i for i, c in enumerate(settings.classes)}
        self.plans = {p.name.encode(): i for i, p in enumerate(settings.plans)}
        self.number = 0

    def read(self, frame: Frame, now: float, begun: float) -> RPC:
        """One API command; `begun` is when its first byte was seen, from which its wait counts."""
        if not PARAMS < len(frame.items) <= PARAMS + 2:
            raise BadRequest("wrong number of arguments")
        raw = frame.text(PARAMS)
        given = dict(fields_of(raw))
        cls, plan = self.classes.get(given.get(b"c", b"")), self.plans.get(given.get(b"t", b""))
        if cls is None or plan is None:
            raise BadRequest("unknown class or plan")
        try:
            customer = int(frame.text(CUSTOMER), 16)
            wait, units = int(given[b"d"]), float(given.get(b"units", b"1"))
            spread, first = int(given.get(b"spread", b"1")), int(given.get(b"first", b"0"))
        except (KeyError, ValueError):
            raise BadRequest("bad parameters") from None
        if not (0 <= customer < MOST_CUSTOMER and 0 < wait < 10**7 and 0 <= units < 10**6
                and spread >= 1 and 0 <= first < self.settings.gateways):
            raise BadRequest("parameters out of range")
        if self.settings.classes[cls].effect is t.Effect.KEYED and b"k" not in given:
            raise BadRequest("this class needs a key")
        at = 2 if raw.startswith(b"d=") else raw.index(b",d=") + 3
        stop = raw.find(b",", at)
        deadline = begun + wait / 1000 - CLIENT_WAY
        self.number += 1
        return RPC(t.Request(self.number, customer, plan, cls, units, first, spread, max(0.0, deadline - now),
                             given.get(b"r") == b"1", frame.text(1).upper() == WRITE),
                   frame, at, stop if stop >= 0 else len(raw), deadline)
