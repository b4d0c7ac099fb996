"""Backends held out by an operator: they override the endpoint list and persist through an upgrade.

`maintenance/enter/ID` holds a backend out until `maintenance/exit/ID`, whatever the endpoint list says; one
exit ends any number of enters. Each change is written to a small file in the folder for temporary files
(under another name first, then renamed), so that the next process of the same name, which shares that folder
during an upgrade, holds the same backends out from its start. While both processes run, an operator may call
either, so each checks whether the other has replaced the file. A backend that comes back is reported to the
decisions as one that has just started, so that it goes through slow start.
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

FORMAT = 1  # of the file; one of another format is not read, and nothing is held out


class ManualOverrides:
    """The backends held out, those that came back, and the file that persists both."""

    def __init__(self, name: str, folder: str | None = None) -> None:
        safe = "".join(c if c.isalnum() or c in "-_." else "_" for c in name) or "gateway"
        self.path = os.path.join(folder or tempfile.gettempdir(), f"corkdeal-{safe}.held-out.json")
        self.out: set[str] = set()
        self.back: dict[str, float] = {}  # by id, in the decisions' time
        self.known: tuple[int, int] | None = None  # inode and mtime of the file last read or written

    def load(self) -> None:
        """Read the file of an earlier process of this name; an unreadable one is counted and ignored."""
        self.known = self.stamp()  # before the read: a file renamed over it meanwhile is read next time
        try:
            with open(self.path, "rb") as file:
                raw = orjson.loads(file.read())
            out, back = raw["out"], raw["back"]
            if (
                raw.get("format") != FORMAT
                or not all(isinstance(x, str) for x in out)
                or not all(isinstance(k, str) and type(v) is float for k, v in back.items())
            ):
                raise ValueError("unexpected format")
            self.out, self.back = set(out), back
        except FileNotFoundError:
            return
        except (OSError, ValueError, TypeError, KeyError, AttributeError) as error:
            count("held_out_unreadable")
            logs.event("held_out_unreadable", file=self.path, error=f"{type(error).__name__}: {error}"[:200])

    def stamp(self) -> tuple[int, int] | None:
        """Return the inode and mtime of the file that exists now; None if there is none."""
        try:
            seen = os.stat(self.path)
        except OSError:
            return None
        return seen.st_ino, seen.st_mtime_ns

    def follow(self) -> set[str]:
        """Read the file if another process of this gateway replaced it; returns the ids that changed."""
        if self.stamp() in (self.known, None):
            return set()
        out, back = self.out, self.back
        self.load()
        return (out ^ self.out) | {k for k, v in self.back.items() if back.get(k) != v}

    def save(self) -> None:
        """Write the file; if that fails, only the next process lacks what is held out."""
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
        """Hold a backend out; returns whether it was not held out before."""
        new = server not in self.out
        self.out.add(server)
        self.save()
        return new

    def exit(self, server: str, now: float) -> bool:
        """Let a backend back in, as one that has just started; returns whether it was held out."""
        if server not in self.out:
            return False
        self.out.discard(server)
        self.back[server] = now
        self.save()
        return True

    def overlay(self, entries: Iterable[Endpoint]) -> tuple[Endpoint, ...]:
        """Return the endpoints as the decisions see them: draining if held out, new if they came back."""
        return tuple(self.entry(e) for e in entries)

    def entry(self, e: Endpoint) -> Endpoint:
        """Return one endpoint with the overrides applied."""
        if e.backend in self.out and e.state is EndpointState.READY:
            return dataclasses.replace(e, state=EndpointState.DRAINING)
        back = self.back.get(e.backend)
        if back is not None and e.started < back:
            return dataclasses.replace(e, started=back)
        return e
