"""Backends put out of service by hand: they override what discovery says, and outlast an upgrade.

An operator's `maintenance/enter/ID` holds a backend out until `maintenance/exit/ID`, whatever discovery
says; one call back ends any number of calls out. What is held out is written to a small file in the
process's temporary folder at each change (written whole beside it, then renamed over it), so that the next
process of the same name, which shares that folder during an upgrade, holds the same ones out from its start.
While both live either may be called, so each looks whether the file is still the one that it knows.
A backend that comes back is told to the decisions as just started, so it is eased in as a cold one.
"""

from __future__ import annotations

import dataclasses
import os
import tempfile
from collections.abc import Iterable

import orjson

from .. import logs
from ..decisions.events import Endpoint, EndpointState
from .invariants import count

FORMAT = 1  # of the file; one of another form is not read, and the gateway holds nothing out


class ManualOverrides:
    """The ids held out, when each came back, and the file that hands them on."""

    def __init__(self, name: str, folder: str | None = None) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "gateway"
        self.path = os.path.join(folder or tempfile.gettempdir(), f"corkdeal-{safe}.held-out.json")
        self.out: set[str] = set()
        self.back: dict[str, float] = {}  # id: when it came back, on the decisions' clock
        self.known: tuple[int, int] | None = None  # which file was read or written last: a new one each time

    def load(self) -> None:
        """What an earlier process of this name held out; a file that can't be read is counted and ignored."""
        self.known = self.stamp()  # before it is read: what replaces it meanwhile is read again
        try:
            with open(self.path, "rb") as file:
                raw = orjson.loads(file.read())
            out, back = raw["out"], raw["back"]
            if (
                raw.get("format") != FORMAT
                or not all(isinstance(x, str) for x in out)
                or not all(isinstance(k, str) and type(v) is float for k, v in back.items())
            ):
                raise ValueError("unknown form")
            self.out, self.back = set(out), back
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            count("held_out_unreadable")
            logs.event("held_out_unreadable", file=self.path, error=f"{type(error).__name__}: {error}"[:200])

    def stamp(self) -> tuple[int, int] | None:
        """Which file there is now; None while there is none."""
        try:
            seen = os.stat(self.path)
        except OSError:
            return None
        return seen.st_ino, seen.st_mtime_ns

    def follow(self) -> set[str]:
        """What another life of this gateway was told; the ids that it changed something for."""
        if self.stamp() in (self.known, None):
            return set()
        out, back = self.out, self.back
        self.load()
        return (out ^ self.out) | {k for k, v in self.back.items() if back.get(k) != v}

    def save(self) -> None:
        """Hand the set on; a folder that can't be written costs the next process the set, not this one."""
        part = f"{self.path}.{os.getpid()}"
        try:
            with open(part, "wb") as file:
                file.write(orjson.dumps({"format": FORMAT, "out": sorted(self.out), "back": self.back}))
            os.replace(part, self.path)
            self.known = self.stamp()
        except OSError as error:
            count("held_out_not_saved")
            logs.event("held_out_not_saved", file=self.path, error=str(error)[:200])

    def enter(self, server: str) -> bool:
        """Hold it out; whether that is news."""
        new = server not in self.out
        self.out.add(server)
        self.save()
        return new

    def exit(self, server: str, now: float) -> bool:
        """Let it back, as a backend that has just started; whether it was held out."""
        if server not in self.out:
            return False
        self.out.discard(server)
        self.back[server] = now
        self.save()
        return True

    def overlay(self, entries: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """The entries as the decisions should see them: held out ones drain, returned ones are new."""
        return tuple(self.entry(e) for e in entries)

    def entry(self, e: Endpoint) -> Endpoint:
        """One entry under the operators' word."""
        if e.backend in self.out and e.state is EndpointState.READY:
            return dataclasses.replace(e, state=EndpointState.DRAINING)
        back = self.back.get(e.backend)
        if back is not None and e.started < back:
            return dataclasses.replace(e, started=back)
        return e
